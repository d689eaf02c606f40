//! The record of one run: what the planner's peers sent and received, in order of time.
use super::plan::PlannerSignal;
use serde_json::Value;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Instant;

/// Codes of a `close` message, as the protocol defines them. They are written out here so that an
/// error in the product's own constants cannot go unnoticed.
pub mod cause {
    /// The task has ended, or its client ends the task or cancels the request.
    pub const ENDED: i64 = 16;
    /// A machine confirms that it stopped a task on the planner's order.
    pub const CANCELLED: i64 = 31;
    /// Refused for lack of capacity.
    pub const FULL: i64 = 34;
    /// Refused by the planner, such as a late request after the order to stop.
    pub const BUSY: i64 = 42;
    /// A machine could not run the task.
    pub const ERROR: i64 = 47;
}

/// A peer of the planner, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    Client(usize),
    Machine(usize),
}

/// The fields of a protocol line that the invariants depend on.
#[derive(Clone, Debug)]
pub struct Message {
    /// The `msg` field.
    pub kind: String,
    /// The request's id, from the `sid` field.
    pub id: String,
    /// The code of a `close` or `probed`; `None` for lines without a code.
    pub code: Option<i64>,
}

impl Message {
    /// Extracts the fields from a line.
    pub fn from_line(line: &Value) -> Message {
        let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
        Message { kind: text("msg"), id: text("sid"), code: line["code"].as_i64() }
    }
}

/// A recorded event. Connections are given by their number on the peer's side.
#[derive(Clone, Debug)]
#[allow(dead_code, reason = "some fields are only printed")]
pub enum Event {
    /// A peer sent a line on a connection.
    Sent(Party, u64, Message),
    /// A peer received a line on a connection.
    Received(Party, u64, Message),
    /// A peer's connection to the planner was opened.
    Connected(Party, u64),
    /// The planner closed a peer's connection.
    EndedByPlanner(Party, u64),
    /// A machine closed its connection.
    EndedByPeer(Party, u64),
    /// The planner process was sent a signal.
    Signalled(PlannerSignal),
    /// The coordinator published that this machine is terminating.
    ToldToLeave(usize),
    /// The resource usage of the planner process.
    Sampled { descriptors: usize, memory_mb: f64 },
    /// A line of the planner's log.
    Logged(String),
}

/// An event and its time.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Microseconds since the start of the run.
    pub at_us: i64,
    pub event: Event,
}

/// The events of one run. All peers of one planner share it on one thread.
#[derive(Clone)]
pub struct Trace {
    started_at: Instant,
    entries: Rc<RefCell<Vec<Entry>>>,
}

impl Trace {
    /// Starts an empty trace whose clock starts now.
    pub fn start() -> Trace {
        Trace { started_at: Instant::now(), entries: Rc::default() }
    }

    /// Returns the microseconds since the start of the run.
    pub fn now_us(&self) -> i64 {
        self.started_at.elapsed().as_micros() as i64
    }

    /// Records an event that happens now.
    pub fn add(&self, event: Event) {
        self.add_at(self.now_us(), event);
    }

    /// Records an event with its time.
    pub fn add_at(&self, at_us: i64, event: Event) {
        self.entries.borrow_mut().push(Entry { at_us, event });
    }

    /// Removes and returns all entries in order of time.
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
            Event::Sent(party, connection, message) => {
                write!(f, "{party:?} on connection {connection} sent     {message}")
            }
            Event::Received(party, connection, message) => {
                write!(f, "{party:?} on connection {connection} received {message}")
            }
            other => write!(f, "{other:?}"),
        }
    }
}
