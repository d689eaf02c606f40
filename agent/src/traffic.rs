//! Counters of the frames and bytes that the links of a process read and write, by kind of frame.
//!
//! The length prefixes of frames are included, and bytes are counted when they are read from or
//! written to a stream, so that at any time the sum over all kinds equals the bytes that the
//! streams carried. Single-threaded: the counters are not atomic.
use crate::wire::Body;
use std::cell::Cell;

/// Kind of a frame, as traffic counters are shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Heartbeats, of both directions.
    Heartbeats,
    /// Frames that manage a link: hello, credit and goodbye.
    Links,
    /// Requests of clients and their answers; attempts on machines and their outcomes.
    Tasks,
    /// Inventories, which a machine sends when a link is set up.
    Inventories,
    /// Probes of machines and their answers.
    HealthChecks,
    /// Queries to the registry and its machine lists: watch, fetch and list.
    MachineLists,
    /// Lease requests, votes and the voters' records.
    Leases,
    /// Digests and summaries between planners.
    Summaries,
    /// Queries and commands of operators, including drains.
    Operators,
    /// Bytes read that do not belong to a decoded frame: the beginning of a frame that is not yet
    /// complete, a frame that the stream's end cut off, and bytes that are not a valid frame.
    Incomplete,
}

impl FrameKind {
    /// All kinds, in the order in which they are shown to operators.
    pub const ALL: [FrameKind; 10] = [
        FrameKind::Heartbeats,
        FrameKind::Links,
        FrameKind::Tasks,
        FrameKind::Inventories,
        FrameKind::HealthChecks,
        FrameKind::MachineLists,
        FrameKind::Leases,
        FrameKind::Summaries,
        FrameKind::Operators,
        FrameKind::Incomplete,
    ];

    /// Returns the key of this kind in the traffic counters that operators see.
    pub fn label(self) -> &'static str {
        match self {
            FrameKind::Heartbeats => "heartbeats",
            FrameKind::Links => "links",
            FrameKind::Tasks => "tasks",
            FrameKind::Inventories => "inventories",
            FrameKind::HealthChecks => "probes",
            FrameKind::MachineLists => "lists",
            FrameKind::Leases => "council",
            FrameKind::Summaries => "summaries",
            FrameKind::Operators => "operators",
            FrameKind::Incomplete => "unfinished",
        }
    }

    /// Returns the kind of the frame with this body.
    pub fn from_body(body: &Body) -> FrameKind {
        match body {
            Body::Heartbeat(_) => FrameKind::Heartbeats,
            Body::Hello(_) | Body::Credit(_) | Body::Goodbye(_) => FrameKind::Links,
            Body::Launch(_) | Body::Yes(_) | Body::Refused(_) | Body::Failed(_) | Body::Running(_) => {
                FrameKind::Tasks
            }
            Body::Note(_) | Body::Ended(_) | Body::Noted(_) | Body::Cancel(_) | Body::Stop(_) => {
                FrameKind::Tasks
            }
            Body::Submit(_) | Body::Answer(_) | Body::Life(_) | Body::Withdraw(_) => FrameKind::Tasks,
            Body::Inventory(_) => FrameKind::Inventories,
            Body::Probe(_) | Body::Probed(_) => FrameKind::HealthChecks,
            Body::Watch(_) | Body::Fetch(_) | Body::List(_) => FrameKind::MachineLists,
            Body::Ballots(_) | Body::Votes(_) | Body::GiveBack(_) | Body::Freed(_) => FrameKind::Leases,
            Body::Record(_) | Body::Kept(_) | Body::HandOn(_) => FrameKind::Leases,
            Body::Digest(_) | Body::Summaries(_) => FrameKind::Summaries,
            Body::Query(_) | Body::Told(_) | Body::Accept(_) | Body::Clauses(_) | Body::Drain(_) => {
                FrameKind::Operators
            }
        }
    }
}

/// Bytes and frames since the start of the process. A frame is counted once its last byte was read
/// or written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Bytes read.
    pub bytes_in: u64,
    /// Bytes written.
    pub bytes_out: u64,
    /// Complete frames read.
    pub frames_in: u64,
    /// Complete frames written.
    pub frames_out: u64,
}

/// Traffic counters of all links of a process.
#[derive(Debug, Default)]
pub struct Traffic {
    counts: [Cell<TrafficCount>; FrameKind::ALL.len()],
}

impl Traffic {
    fn update(&self, kind: FrameKind, change: impl FnOnce(&mut TrafficCount)) {
        let cell = &self.counts[kind as usize];
        let mut count = cell.get();
        change(&mut count);
        cell.set(count);
    }

    /// Counts bytes read from a stream as `Incomplete`, until they are decoded as frames.
    pub fn record_read(&self, bytes: u64) {
        self.update(FrameKind::Incomplete, |count| count.bytes_in += bytes);
    }

    /// Moves the bytes of a decoded frame from `Incomplete` to the frame's kind.
    pub fn record_frame_read(&self, kind: FrameKind, bytes: u64) {
        self.update(FrameKind::Incomplete, |count| count.bytes_in -= bytes);
        self.update(kind, |count| {
            count.bytes_in += bytes;
            count.frames_in += 1;
        });
    }

    /// Counts bytes of a frame of this kind that were written to a stream; `complete` if they
    /// include its last byte.
    pub fn record_written(&self, kind: FrameKind, bytes: u64, complete: bool) {
        self.update(kind, |count| {
            count.bytes_out += bytes;
            count.frames_out += u64::from(complete);
        });
    }

    /// Returns the counters of one kind.
    pub fn count(&self, kind: FrameKind) -> TrafficCount {
        self.counts[kind as usize].get()
    }

    /// Returns the sum of the counters over all kinds.
    pub fn total(&self) -> TrafficCount {
        let all = FrameKind::ALL.into_iter().map(|kind| self.count(kind));
        all.fold(TrafficCount::default(), |sum, count| TrafficCount {
            bytes_in: sum.bytes_in + count.bytes_in,
            bytes_out: sum.bytes_out + count.bytes_out,
            frames_in: sum.frames_in + count.frames_in,
            frames_out: sum.frames_out + count.frames_out,
        })
    }
}
