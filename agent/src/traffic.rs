//! What the links of a process carry, counted by kind of frame, lengths before the frames included: bytes as
//! they are read from streams and written to them, so that the sum over all kinds is what the streams carried
//! at any moment. For one thread: no atomics.
use crate::wire::Body;
use std::cell::Cell;

/// Kinds of frames, as operators see them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Heartbeats of either side.
    Heartbeats,
    /// Hello, credit, goodbye.
    Links,
    /// Requests of clients and their answers; attempts on machines and what becomes of them.
    Tasks,
    /// What a machine runs, when a link begins.
    Inventories,
    /// Health checks of machines and their answers.
    HealthChecks,
    /// The registry's: watch, fetch, list.
    MachineLists,
    /// Votes, leases and the voters' records.
    Leases,
    /// Digests and summaries between planners.
    Summaries,
    /// Questions and commands of operators, drains among them.
    Operators,
    /// Bytes read that are no whole frame yet. What ends in the middle of a frame, or is none, stays here.
    Incomplete,
}

impl FrameKind {
    /// All kinds, in the order in which operators see them.
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

    /// The key under which operators see this kind.
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

    /// The kind of a frame.
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

/// What was carried since the process began. A frame counts once its last byte is read or written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Bytes read.
    pub bytes_in: u64,
    /// Bytes written.
    pub bytes_out: u64,
    /// Whole frames read.
    pub frames_in: u64,
    /// Whole frames written.
    pub frames_out: u64,
}

/// The counts of all links of a process.
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

    /// Bytes were read from a stream; which frames they belong to shows later.
    pub fn record_read(&self, bytes: u64) {
        self.update(FrameKind::Incomplete, |count| count.bytes_in += bytes);
    }

    /// Bytes that were read are a whole frame of this kind.
    pub fn record_frame_read(&self, kind: FrameKind, bytes: u64) {
        self.update(FrameKind::Incomplete, |count| count.bytes_in -= bytes);
        self.update(kind, |count| {
            count.bytes_in += bytes;
            count.frames_in += 1;
        });
    }

    /// Bytes of a frame of this kind were written to a stream; `complete` if its last is among them.
    pub fn record_written(&self, kind: FrameKind, bytes: u64, complete: bool) {
        self.update(kind, |count| {
            count.bytes_out += bytes;
            count.frames_out += u64::from(complete);
        });
    }

    /// What was carried of one kind.
    pub fn count(&self, kind: FrameKind) -> TrafficCount {
        self.counts[kind as usize].get()
    }

    /// Over all kinds: what the streams carried.
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
