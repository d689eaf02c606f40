//! The owner of one keyed task, as the pages describe it: after a loss or an attempt that may have run
//! it waits, hands a task that a machine turns out to hold to a planner, and else asks again.
use crate::client::Client;
use crate::machine::Machine;
use crate::record::Record;
use crate::settings::Ask;
use std::time::{Duration, Instant};

/// How long the owner waits before it asks again for a task that may run (`makeSureUs`).
const SETTLE: Duration = Duration::from_secs(3);

/// What an owner was last told of its task.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Belief {
    /// A set-up awaits its answer.
    Asked,
    /// The task stands; the planner was told at this time, or said so.
    Stands(Instant),
    /// The planner released or refused the task.
    Over(Instant),
}

pub struct Owner<'a> {
    pub client: Client,
    pub ask: Ask<'a>,
    pub belief: Belief,
    /// How often the task was handed to the planner.
    pub handed: u32,
    record: Record,
}

impl<'a> Owner<'a> {
    /// Asks for a task.
    pub fn start(record: &Record, mut client: Client, ask: Ask<'a>) -> Owner<'a> {
        client.send(&ask.line());
        Owner { client, ask, belief: Belief::Asked, handed: 0, record: record.clone() }
    }

    /// Takes what the planner sends until the time, and acts on it.
    pub fn until(&mut self, until: Instant, machine: &Machine) {
        loop {
            let settled = match self.belief {
                Belief::Over(at) => Some(at + SETTLE),
                _ => None,
            };
            let next = self.client.next(settled.map_or(until, |settled| settled.min(until)));
            if let Some((at, Some(message))) = next {
                if message.get("sid").text() == self.ask.id {
                    match message.get("msg").text() {
                        "ready" => self.belief = Belief::Stands(at),
                        "close" | "relocate" => self.belief = Belief::Over(at),
                        _ => {}
                    }
                }
            }
            let now = Instant::now();
            if settled.is_some_and(|settled| now >= settled) {
                if !machine.runs(self.ask.id) {
                    self.record.note("owner", "no machine holds the task; nothing more is handed over");
                    return;
                }
                self.record.note("owner", "a machine holds the task; handing it to the planner");
                let line = Ask { at: Some(&machine.name), ..self.ask_again() }.line();
                self.client.send(&line);
                self.handed += 1;
                self.belief = Belief::Stands(Instant::now());
            }
            if now >= until {
                return;
            }
        }
    }

    fn ask_again(&self) -> Ask<'a> {
        let Ask { id, class, left_ms, tenant, key, idem, cores, memory, .. } = self.ask;
        Ask { id, class, left_ms, tenant, key, idem, cores, memory, at: None }
    }
}
