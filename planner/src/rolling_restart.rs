//! A planner that conducts a roll, between the council, the register and the decisions of
//! `basaltpitch_rolling_restart`: what is heard goes in, what is to be written and said comes out.
use crate::lease_client::{LeaseCommand, LeaseDeadline, LeaseEvent};
use crate::voter_server::LONGEST_METADATA;
use basaltpitch_agent::wire::{self, Body, List, Readiness};
use basaltpitch_rolling_restart::{Call, Conductor, Listed, Pace, Plan, Progress};
use std::collections::{BTreeMap, HashMap};
use tokio::sync::mpsc;

/// The duty of who conducts rolls; its note is how far the roll is.
pub const RESTART_LEASE: &str = "roll";
/// The duty of an operator who says what roll is wanted; its note says it.
pub const PLAN_LEASE: &str = "roll-wanted";

/// What a planner under a seat can do beside placing.
pub struct RollingRestartConfig {
    pub lease_events: mpsc::Receiver<LeaseEvent>,
    pub lease_commands: mpsc::Sender<LeaseCommand>,
    /// Cores and memory of each kind of machine: what is free on one that is empty.
    pub machine_sizes: HashMap<String, (f64, f64)>,
    /// Launches are on their way to a machine that drains for so long, in microseconds.
    pub drain_grace_us: i64,
}

struct Conducting {
    token: u64,
    tenure: LeaseDeadline,
    conductor: Conductor<String>,
}

/// The list of machines as the register last told it, and the roll, while this planner conducts it.
pub struct RollingRestartCoordinator {
    duties: RollingRestartConfig,
    fleet: BTreeMap<String, (String, Listed)>,
    /// Whether the list was heard whole since the register's link came up.
    whole: bool,
    conducting: Option<Conducting>,
    looks_at: i64,
}

impl RollingRestartCoordinator {
    pub fn new(duties: RollingRestartConfig) -> Self {
        RollingRestartCoordinator {
            duties,
            fleet: BTreeMap::new(),
            whole: false,
            conducting: None,
            looks_at: i64::MAX,
        }
    }

    /// The next word of the council; none any more once the seat is lost.
    pub async fn next_lease_event(&mut self) -> Option<LeaseEvent> {
        self.duties.lease_events.recv().await
    }

    /// The time at which `clock` has something to do.
    pub fn next_wakeup_us(&self) -> i64 {
        self.looks_at
    }

    /// Time passes.
    pub fn advance(&mut self, now: i64) {
        if now < self.looks_at {
            return;
        }
        self.looks_at = i64::MAX;
        if let Some(c) = &mut self.conducting {
            c.conductor.clock(now);
            self.looks_at = now + self.duties.drain_grace_us;
        }
    }

    /// A word of the council.
    pub fn on_lease_event(&mut self, now: i64, word: LeaseEvent) {
        match (word, &mut self.conducting) {
            (LeaseEvent::Acquired { lease: duty, token, metadata: note, deadline: tenure }, _)
                if &*duty == RESTART_LEASE =>
            {
                let left = match note.is_empty() {
                    true => None,
                    // Begun anew, it would drain machines a second time.
                    false => match serde_json::from_slice::<Progress<String>>(&note) {
                        Ok(left) => Some(left),
                        Err(e) => {
                            tracing::error!(error = %e, "what the last conductor left makes no sense");
                            return;
                        }
                    },
                };
                // The list shows a drain when its machine has heard of it, which takes a moment.
                let pace = Pace { quiet: self.duties.drain_grace_us, again: self.duties.drain_grace_us };
                let conductor = Conductor::won(now, pace, left);
                self.looks_at = now + self.duties.drain_grace_us;
                let conducting = self.conducting.insert(Conducting { token, tenure, conductor });
                if self.whole {
                    let c = &mut conducting.conductor;
                    self.fleet.iter().for_each(|(m, (zone, is))| c.listed(now, m.clone(), zone, *is));
                    c.list_was_whole(|m| self.fleet.contains_key(m));
                    c.clock(now);
                }
            }
            (LeaseEvent::Lost { lease: duty }, _) if &*duty == RESTART_LEASE => self.conducting = None,
            (LeaseEvent::MetadataRecorded { lease: duty }, Some(c)) if &*duty == RESTART_LEASE => {
                c.conductor.recorded(now)
            }
            (LeaseEvent::MetadataChanged { lease: duty, metadata: note }, Some(c))
                if &*duty == PLAN_LEASE =>
            {
                match serde_json::from_slice::<Plan>(&note) {
                    Ok(plan) => c.conductor.wished(now, plan),
                    Err(e) => tracing::error!(error = %e, "the roll that is wanted makes no sense"),
                }
            }
            _ => {}
        }
    }

    /// Entries of the register's list, whole or changes.
    pub fn on_machine_list(&mut self, now: i64, list: &List) {
        if list.whole {
            (self.whole, self.fleet) = (true, BTreeMap::new());
        }
        for e in &list.entries {
            let size = self.duties.machine_sizes.get(&e.kind).copied().unwrap_or((f64::MAX, f64::MAX));
            let ready = Readiness::try_from(e.readiness);
            let is = Listed {
                started: e.started_us,
                drains: ready == Ok(Readiness::Draining),
                gone: ready != Ok(Readiness::Draining) && ready != Ok(Readiness::Ready),
                empty: e.cores_left >= size.0 - 1e-6 && e.memory_left >= size.1 - 1e-6,
            };
            if let Some(c) = &mut self.conducting {
                c.conductor.listed(now, e.machine.clone(), &e.zone, is);
            }
            self.fleet.insert(e.machine.clone(), (e.zone.clone(), is));
        }
        if let Some(c) = &mut self.conducting {
            if list.whole {
                c.conductor.list_was_whole(|m| self.fleet.contains_key(m));
            }
            c.conductor.clock(now);
        }
    }

    /// The register's link ended.
    pub fn on_registry_lost(&mut self) {
        self.whole = false;
        if let Some(c) = &mut self.conducting {
            c.conductor.unheard();
        }
    }

    /// The next frame for the register. What is to be recorded goes to the council.
    pub fn next_frame(&mut self) -> Option<Body> {
        let c = self.conducting.as_mut()?;
        while let Some(call) = c.conductor.next_call() {
            match call {
                Call::Write(progress) => {
                    let text = serde_json::to_vec(&progress).expect("it has texts for keys");
                    let long = text.len() > LONGEST_METADATA;
                    let write = LeaseCommand::WriteMetadata {
                        lease: RESTART_LEASE.into(),
                        token: c.token,
                        metadata: text,
                    };
                    if long || self.duties.lease_commands.try_send(write).is_err() {
                        let machines = progress.machines.len();
                        tracing::error!(
                            machines,
                            long,
                            "the council takes no note of the roll; it stands still"
                        );
                        self.conducting = None;
                        return None;
                    }
                }
                // A process that was stopped wakes with words decided: another may conduct by then.
                Call::Drain { .. } if !c.tenure.is_held() => {}
                Call::Drain { machine, started, on, number } => {
                    tracing::info!(machine, on, "the roll");
                    let drain = wire::Drain { machine, on, token: c.token, number, started_us: started };
                    return Some(Body::Drain(drain));
                }
            }
        }
        None
    }
}
