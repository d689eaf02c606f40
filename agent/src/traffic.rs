//! What the links of a process carry, counted by kind of frame, lengths before the frames included: bytes as
//! they are read from streams and handed to them, so that the sum over all kinds is what the streams carried
//! at any moment. Of one thread: no atomics.
use crate::wire::Body;
use std::cell::Cell;

/// Kinds of frames, as operators see them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    Heartbeats,
    /// Hello, credit, goodbye.
    Links,
    /// Of owners and on machines: askings, answers, launches and what becomes of them.
    Tasks,
    Inventories,
    Probes,
    /// The register's: discovery watch, fetch, list.
    Lists,
    Council,
    /// Between planners.
    Summaries,
    /// Questions and words of operators, drains among them.
    Operators,
    /// Read, and of no whole frame yet. What is cut in the middle of a frame, or is none, stays here.
    Unfinished,
}

impl FrameKind {
    pub const ALL: [FrameKind; 10] = [
        FrameKind::Heartbeats,
        FrameKind::Links,
        FrameKind::Tasks,
        FrameKind::Inventories,
        FrameKind::Probes,
        FrameKind::Lists,
        FrameKind::Council,
        FrameKind::Summaries,
        FrameKind::Operators,
        FrameKind::Unfinished,
    ];

    pub fn label(self) -> &'static str {
        match self {
            FrameKind::Heartbeats => "heartbeats",
            FrameKind::Links => "links",
            FrameKind::Tasks => "tasks",
            FrameKind::Inventories => "inventories",
            FrameKind::Probes => "probes",
            FrameKind::Lists => "lists",
            FrameKind::Council => "council",
            FrameKind::Summaries => "summaries",
            FrameKind::Operators => "operators",
            FrameKind::Unfinished => "unfinished",
        }
    }

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
            Body::Probe(_) | Body::Probed(_) => FrameKind::Probes,
            Body::Watch(_) | Body::Fetch(_) | Body::List(_) => FrameKind::Lists,
            Body::Ballots(_) | Body::Votes(_) | Body::GiveBack(_) | Body::Freed(_) => FrameKind::Council,
            Body::Record(_) | Body::Kept(_) | Body::HandOn(_) => FrameKind::Council,
            Body::Digest(_) | Body::Summaries(_) => FrameKind::Summaries,
            Body::Query(_) | Body::Told(_) | Body::Accept(_) | Body::Clauses(_) | Body::Drain(_) => {
                FrameKind::Operators
            }
        }
    }
}

/// Of one kind, since the process began. A frame counts once its last byte is read or handed over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub frames_in: u64,
    pub frames_out: u64,
}

/// The counts of all links of a process.
#[derive(Debug, Default)]
pub struct Traffic {
    counts: [Cell<TrafficCount>; FrameKind::ALL.len()],
}

impl Traffic {
    fn change(&self, kind: FrameKind, how: impl FnOnce(&mut TrafficCount)) {
        let cell = &self.counts[kind as usize];
        let mut count = cell.get();
        how(&mut count);
        cell.set(count);
    }

    /// Bytes were read from a stream; of which frames they are shows later.
    pub fn record_read(&self, bytes: u64) {
        self.change(FrameKind::Unfinished, |c| c.bytes_in += bytes);
    }

    /// Bytes that were read are a whole frame of this kind.
    pub fn record_frame_read(&self, kind: FrameKind, bytes: u64) {
        self.change(FrameKind::Unfinished, |c| c.bytes_in -= bytes);
        self.change(kind, |c| {
            c.bytes_in += bytes;
            c.frames_in += 1;
        });
    }

    /// Bytes of a frame of this kind were handed to a stream; whether its last is among them.
    pub fn record_written(&self, kind: FrameKind, bytes: u64, last: bool) {
        self.change(kind, |c| {
            c.bytes_out += bytes;
            c.frames_out += u64::from(last);
        });
    }

    pub fn count(&self, kind: FrameKind) -> TrafficCount {
        self.counts[kind as usize].get()
    }

    /// Over all kinds: what the streams carried.
    pub fn total(&self) -> TrafficCount {
        let all = FrameKind::ALL.into_iter().map(|kind| self.count(kind));
        all.fold(TrafficCount::default(), |sum, c| TrafficCount {
            bytes_in: sum.bytes_in + c.bytes_in,
            bytes_out: sum.bytes_out + c.bytes_out,
            frames_in: sum.frames_in + c.frames_in,
            frames_out: sum.frames_out + c.frames_out,
        })
    }
}
