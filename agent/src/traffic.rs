//! What the links of a process carry, counted by kind of frame, lengths before the frames included: bytes as
//! they are read from streams and handed to them, so that the sum over all kinds is what the streams carried
//! at any moment. Of one thread: no atomics.
use crate::wire::Body;
use std::cell::Cell;

/// Kinds of frames, as operators see them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
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

impl Kind {
    pub const ALL: [Kind; 10] = [
        Kind::Heartbeats,
        Kind::Links,
        Kind::Tasks,
        Kind::Inventories,
        Kind::Probes,
        Kind::Lists,
        Kind::Council,
        Kind::Summaries,
        Kind::Operators,
        Kind::Unfinished,
    ];

    pub fn word(self) -> &'static str {
        match self {
            Kind::Heartbeats => "heartbeats",
            Kind::Links => "links",
            Kind::Tasks => "tasks",
            Kind::Inventories => "inventories",
            Kind::Probes => "probes",
            Kind::Lists => "lists",
            Kind::Council => "council",
            Kind::Summaries => "summaries",
            Kind::Operators => "operators",
            Kind::Unfinished => "unfinished",
        }
    }

    pub fn of(body: &Body) -> Kind {
        match body {
            Body::Heartbeat(_) => Kind::Heartbeats,
            Body::Hello(_) | Body::Credit(_) | Body::Goodbye(_) => Kind::Links,
            Body::Launch(_) | Body::Yes(_) | Body::Refused(_) | Body::Failed(_) | Body::Running(_) => {
                Kind::Tasks
            }
            Body::Note(_) | Body::Ended(_) | Body::Noted(_) | Body::Cancel(_) | Body::Stop(_) => Kind::Tasks,
            Body::Submit(_) | Body::Answer(_) | Body::Life(_) | Body::Withdraw(_) => Kind::Tasks,
            Body::Inventory(_) => Kind::Inventories,
            Body::Probe(_) | Body::Probed(_) => Kind::Probes,
            Body::Watch(_) | Body::Fetch(_) | Body::List(_) => Kind::Lists,
            Body::Ballots(_) | Body::Votes(_) | Body::GiveBack(_) | Body::Freed(_) => Kind::Council,
            Body::Record(_) | Body::Kept(_) | Body::HandOn(_) => Kind::Council,
            Body::Digest(_) | Body::Summaries(_) => Kind::Summaries,
            Body::Query(_) | Body::Told(_) | Body::Accept(_) | Body::Clauses(_) | Body::Drain(_) => {
                Kind::Operators
            }
        }
    }
}

/// Of one kind, since the process began. A frame counts once its last byte is read or handed over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub frames_in: u64,
    pub frames_out: u64,
}

/// The counts of all links of a process.
#[derive(Debug, Default)]
pub struct Traffic {
    counts: [Cell<Count>; Kind::ALL.len()],
}

impl Traffic {
    fn change(&self, kind: Kind, how: impl FnOnce(&mut Count)) {
        let cell = &self.counts[kind as usize];
        let mut count = cell.get();
        how(&mut count);
        cell.set(count);
    }

    /// Bytes were read from a stream; of which frames they are shows later.
    pub fn read(&self, bytes: u64) {
        self.change(Kind::Unfinished, |c| c.bytes_in += bytes);
    }

    /// Bytes that were read are a whole frame of this kind.
    pub fn read_frame(&self, kind: Kind, bytes: u64) {
        self.change(Kind::Unfinished, |c| c.bytes_in -= bytes);
        self.change(kind, |c| {
            c.bytes_in += bytes;
            c.frames_in += 1;
        });
    }

    /// Bytes of a frame of this kind were handed to a stream; whether its last is among them.
    pub fn wrote(&self, kind: Kind, bytes: u64, last: bool) {
        self.change(kind, |c| {
            c.bytes_out += bytes;
            c.frames_out += u64::from(last);
        });
    }

    pub fn of(&self, kind: Kind) -> Count {
        self.counts[kind as usize].get()
    }

    /// Over all kinds: what the streams carried.
    pub fn sum(&self) -> Count {
        let all = Kind::ALL.into_iter().map(|kind| self.of(kind));
        all.fold(Count::default(), |sum, c| Count {
            bytes_in: sum.bytes_in + c.bytes_in,
            bytes_out: sum.bytes_out + c.bytes_out,
            frames_in: sum.frames_in + c.frames_in,
            frames_out: sum.frames_out + c.frames_out,
        })
    }
}
