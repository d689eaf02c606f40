//! What the peers of the planner saw, in order of time.
use super::plan::PlannerSignal;
use serde_json::Value;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Instant;

/// Causes of a `close`, as the protocol numbers them; literal, so that the soak does not follow the product's.
pub mod cause {
    pub const ENDED: i64 = 16;
    pub const CANCELLED: i64 = 31;
    pub const FULL: i64 = 34;
    pub const BUSY: i64 = 42;
    pub const ERROR: i64 = 47;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    Client(usize),
    Machine(usize),
}

/// A line of the protocol, as far as the judge looks at it.
#[derive(Clone, Debug)]
pub struct Message {
    pub kind: String,
    pub id: String,
    pub code: Option<i64>,
}

impl Message {
    pub fn of(line: &Value) -> Message {
        let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
        Message { kind: text("msg"), id: text("sid"), code: line["code"].as_i64() }
    }
}

#[derive(Clone, Debug)]
#[allow(dead_code, reason = "some fields are only printed")]
pub enum Event {
    /// A peer wrote a line on its connection of this number.
    Said(Party, u64, Message),
    /// A peer read a line.
    Heard(Party, u64, Message),
    /// A peer's connection was opened, or ended by the planner.
    Connected(Party, u64),
    EndedByPlanner(Party, u64),
    /// A machine ended its connection.
    EndedByPeer(Party, u64),
    Signalled(PlannerSignal),
    /// The coordinator tells that a machine drains or is gone.
    ToldToLeave(usize),
    Sampled {
        descriptors: usize,
        memory_mb: f64,
    },
    /// A line of the planner's log.
    Logged(String),
}

#[derive(Clone, Debug)]
pub struct Entry {
    /// Since the start of the life.
    pub at_us: i64,
    pub event: Event,
}

/// The record of one life; all peers of one planner run on one thread.
#[derive(Clone)]
pub struct Trace {
    began_at: Instant,
    entries: Rc<RefCell<Vec<Entry>>>,
}

impl Trace {
    pub fn begin() -> Trace {
        Trace { began_at: Instant::now(), entries: Rc::default() }
    }

    pub fn now_us(&self) -> i64 {
        self.began_at.elapsed().as_micros() as i64
    }

    pub fn add(&self, event: Event) {
        self.add_at(self.now_us(), event);
    }

    pub fn add_at(&self, at_us: i64, event: Event) {
        self.entries.borrow_mut().push(Entry { at_us, event });
    }

    /// Takes all entries, in order of time.
    pub fn take(&self) -> Vec<Entry> {
        let mut entries = std::mem::take(&mut *self.entries.borrow_mut());
        entries.sort_by_key(|entry| entry.at_us);
        entries
    }
}

impl fmt::Display for Message {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let code = self.code.map(|code| format!(" {code}")).unwrap_or_default();
        write!(f, "{} {}{code}", self.kind, self.id)
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:10.3} ms  ", self.at_us as f64 / 1000.0)?;
        match &self.event {
            Event::Said(party, on, message) => write!(f, "{party:?} on {on} says   {message}"),
            Event::Heard(party, on, message) => write!(f, "{party:?} on {on} hears  {message}"),
            other => write!(f, "{other:?}"),
        }
    }
}
