//! Explores every state that the ledger, the machines' attempt tables and a faulty network can
//! reach within bounds, for two machines and one task, and checks the invariants of each state. The
//! placement module is replaced by one that may make any call its contract allows. A link may be
//! cut at any point: frames to the planner are then lost, and frames to the machine are lost or
//! read late, until the machine reads the hello of the next link.
#![allow(clippy::too_many_lines, reason = "one case for each action, and one step for each event")]
use basaltpitch::host::AttemptOutcome;
use basaltpitch_agent::attempt_table::{AttemptReply, AttemptState, AttemptTable};
use basaltpitch_ledger::{
    AttemptEnd, AttemptId, Idempotency, InventoryEntry, Ledger, LedgerAction, LedgerConfig, Request,
    RequestOutcome, RequestPhase,
};
use pathfinding::prelude::bfs_reach;
use std::collections::{BTreeSet, VecDeque};

const MACHINES: usize = 2;
/// Bounds of the exploration: link cuts, attempts launched, requests submitted.
const MAX_CUTS: u8 = 1;
const MAX_ATTEMPTS: u8 = 2;
const MAX_REQUESTS: u64 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ToMachine {
    Hello(u64),
    Launch(AttemptId),
    Cancel(AttemptId),
    Stop(AttemptId),
    Acknowledge(AttemptId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ToPlanner {
    Reply(AttemptId, AttemptReply),
    Inventory(Vec<(AttemptId, bool)>),
}

/// One machine and the frames in transit to and from it. A link that was cut may still deliver its
/// frames.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct MachineEnd {
    table: AttemptTable<u8, ()>,
    to_machine: VecDeque<ToMachine>,
    previous: VecDeque<ToMachine>,
    to_planner: VecDeque<ToPlanner>,
    link: u64,
    connected: bool,
    /// Whether the planner has received the inventory on the current link.
    inventory_received: bool,
}

/// What the placement module knows of the task. `in_doubt` is the machine of an attempt that may
/// have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Module {
    None,
    Waiting { in_doubt: Option<usize> },
    InFlight { machine: usize, in_doubt: Option<usize> },
    Placed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    ledger: Ledger<u8, ()>,
    machines: [MachineEnd; MACHINES],
    module: Module,
    /// Attempts that the ledger counts on machines.
    counted: BTreeSet<AttemptId>,
    /// Number of times that a machine started the task.
    starts: u8,
    answers: u8,
    requests: u64,
    cuts: u8,
    attempts: u8,
    violation: Option<&'static str>,
}

fn table_id(attempt: AttemptId) -> (u64, u64) {
    (attempt.epoch, attempt.number)
}

impl World {
    fn new(kind: Idempotency) -> Self {
        let mut world = World {
            ledger: Ledger::new(1, 0, LedgerConfig::DEFAULT),
            machines: Default::default(),
            module: Module::None,
            counted: BTreeSet::new(),
            starts: 0,
            answers: 0,
            requests: 0,
            cuts: 0,
            attempts: 0,
            violation: None,
        };
        for m in 0..MACHINES {
            world.connect(m);
            world.machine_reads(m, false);
            world.planner_reads(m, kind);
        }
        world.submit(kind);
        world
    }

    fn submit(&mut self, kind: Idempotency) {
        self.requests += 1;
        self.answers = 0;
        let mut actions = Vec::new();
        let request = Request { key: 0, request_id: self.requests, client: 1, idempotency: kind, job: () };
        self.ledger.submit(request, 9_000_000, &mut actions);
        self.carry_out(actions);
    }

    fn connect(&mut self, m: usize) {
        let machine = &mut self.machines[m];
        machine.link += 1;
        (machine.connected, machine.inventory_received) = (true, false);
        machine.to_machine.push_back(ToMachine::Hello(machine.link));
    }

    /// Carries out the ledger's actions, and updates what the placement module knows.
    fn carry_out(&mut self, actions: Vec<LedgerAction<u8>>) {
        for action in actions {
            match action {
                LedgerAction::Pending { .. } => self.module = Module::Waiting { in_doubt: None },
                LedgerAction::Adopted { .. } | LedgerAction::Accepted { .. } => self.module = Module::Placed,
                LedgerAction::Expired { .. } => self.module = Module::None,
                LedgerAction::Resolved { outcome, over, .. } => {
                    self.module = match self.module {
                        Module::InFlight { machine, in_doubt } if !over => {
                            let may_have_run = !matches!(
                                outcome,
                                AttemptOutcome::Refused
                                    | AttemptOutcome::ConnectFailed
                                    | AttemptOutcome::NotSent
                            );
                            Module::Waiting { in_doubt: in_doubt.or(may_have_run.then_some(machine)) }
                        }
                        Module::Waiting { in_doubt } if !over => Module::Waiting { in_doubt },
                        _ => Module::None,
                    }
                }
                LedgerAction::Launch { attempt: id, machine, .. } => {
                    if self.machines[machine].connected && self.machines[machine].inventory_received {
                        self.machines[machine].to_machine.push_back(ToMachine::Launch(id));
                    } else {
                        let mut further = Vec::new();
                        self.ledger.unsent(id, &mut further);
                        self.carry_out(further);
                    }
                }
                LedgerAction::Cancel { attempt: id, machine } => self.send(machine, ToMachine::Cancel(id)),
                LedgerAction::Stop { attempt: id, machine } => self.send(machine, ToMachine::Stop(id)),
                LedgerAction::Acknowledge { attempt: id, machine } => {
                    self.send(machine, ToMachine::Acknowledge(id))
                }
                LedgerAction::Reply { request_id: id, outcome: reply, .. } => {
                    self.answers += u8::from(id == self.requests);
                    if self.answers > 1 {
                        self.violation = Some("a request received two final answers");
                    }
                    let in_flight = self.ledger.record(&0).is_some_and(|r| {
                        r.idempotency != Idempotency::Repeatable
                            && r.attempts
                                .iter()
                                .any(|attempt| attempt.state == basaltpitch_ledger::AttemptState::InFlight)
                    });
                    if matches!(reply, RequestOutcome::Declined { .. }) && in_flight {
                        self.violation = Some("a request was declined with an attempt in flight");
                    }
                }
                LedgerAction::Lifecycle { .. } => {}
                LedgerAction::AttemptStarted { attempt: id, .. } => {
                    if !self.counted.insert(id) {
                        self.violation = Some("an attempt was counted twice");
                    }
                }
                LedgerAction::AttemptEnded { attempt: id } => {
                    if !self.counted.remove(&id) {
                        self.violation = Some("the end of an uncounted attempt was reported");
                    }
                }
            }
        }
        self.ledger.free_task_indices();
        let recorded: BTreeSet<AttemptId> =
            self.ledger.record(&0).into_iter().flat_map(|r| &r.attempts).map(|attempt| attempt.id).collect();
        if recorded != self.counted {
            self.violation = Some("the counted attempts differ from the record's attempts");
        }
    }

    fn send(&mut self, m: usize, frame: ToMachine) {
        if self.machines[m].connected {
            self.machines[m].to_machine.push_back(frame);
        }
    }

    /// The machine reads the next frame of its newest link, or of the link before.
    fn machine_reads(&mut self, m: usize, previous_link: bool) {
        let machine = &mut self.machines[m];
        let Some(frame) =
            (if previous_link { machine.previous.pop_front() } else { machine.to_machine.pop_front() })
        else {
            return;
        };
        let mut send_reply = |attempt, reply| {
            if reply != AttemptReply::Nothing && machine.connected && !previous_link {
                machine.to_planner.push_back(ToPlanner::Reply(attempt, reply));
            }
        };
        match frame {
            ToMachine::Hello(link) => {
                if machine.table.admit_link(&0, 1, link) {
                    // The machine ignores every older link from now on.
                    machine.previous.clear();
                    let (endings, held) = machine.table.inventory(&0);
                    let from_table_id = |id: (u64, u64)| AttemptId { epoch: id.0, number: id.1 };
                    machine
                        .to_planner
                        .extend(endings.into_iter().map(|(i, s)| ToPlanner::Reply(from_table_id(i), s)));
                    let held =
                        held.into_iter().map(|(i, s, ())| (from_table_id(i), s != AttemptState::Queued));
                    machine.to_planner.push_back(ToPlanner::Inventory(held.collect()));
                }
            }
            ToMachine::Launch(attempt) => {
                let answer = machine.table.launch(&0, table_id(attempt), ()).0;
                send_reply(attempt, answer);
            }
            ToMachine::Cancel(attempt) => {
                let answer = machine.table.cancel(&0, table_id(attempt));
                send_reply(attempt, answer);
            }
            ToMachine::Stop(attempt) => match machine.table.state(&0, table_id(attempt)) {
                Some(AttemptState::Accepted | AttemptState::Running) => {
                    machine.table.set_state(&0, table_id(attempt), AttemptState::Ended(4));
                    send_reply(attempt, AttemptReply::Ended(4));
                }
                _ => {
                    let answer = machine.table.cancel(&0, table_id(attempt));
                    send_reply(attempt, answer);
                }
            },
            ToMachine::Acknowledge(attempt) => machine.table.acknowledge(&0, table_id(attempt)),
        }
    }

    fn planner_reads(&mut self, m: usize, kind: Idempotency) {
        let Some(frame) = self.machines[m].to_planner.pop_front() else { return };
        let mut actions = Vec::new();
        match frame {
            ToPlanner::Reply(attempt, AttemptReply::Accepted) => self.ledger.accepted(attempt, &mut actions),
            ToPlanner::Reply(attempt, AttemptReply::NotHere) => self.ledger.refused(attempt, 4, &mut actions),
            ToPlanner::Reply(attempt, AttemptReply::Ended(4)) => {
                self.ledger.ended(attempt, m, AttemptEnd::Stopped, &mut actions)
            }
            ToPlanner::Reply(attempt, AttemptReply::Ended(_)) => {
                self.ledger.ended(attempt, m, AttemptEnd::Done, &mut actions)
            }
            ToPlanner::Reply(attempt, _) => self.ledger.failed(attempt, m, &mut actions),
            ToPlanner::Inventory(held) => {
                let held = held.into_iter().map(|(id, accepted)| InventoryEntry {
                    attempt: id,
                    key: 0,
                    request_id: 1,
                    idempotency: kind,
                    accepted,
                    job: (),
                });
                self.ledger.inventory(m, held.collect(), &mut actions);
                self.machines[m].inventory_received = true;
            }
        }
        self.carry_out(actions);
    }

    /// Cuts the link. Frames already handed to the stream may still reach the machine, until it
    /// reads the hello of a newer link.
    fn cut(&mut self, m: usize) {
        self.cuts += 1;
        let machine = &mut self.machines[m];
        machine.connected = false;
        machine.to_planner.clear();
        machine.previous = std::mem::take(&mut machine.to_machine);
        machine.previous.retain(|f| !matches!(f, ToMachine::Hello(_)));
        let mut actions = Vec::new();
        self.ledger.link_cut(m, &[], &mut actions);
        self.carry_out(actions);
    }

    fn successors(&self, kind: Idempotency) -> Vec<World> {
        let mut successors = Vec::new();
        let mut add_successor = |change: &dyn Fn(&mut World)| {
            let mut next = self.clone();
            change(&mut next);
            if next != *self {
                successors.push(next);
            }
        };
        for m in 0..MACHINES {
            add_successor(&|w| w.machine_reads(m, false));
            add_successor(&|w| w.machine_reads(m, true));
            add_successor(&|w| w.planner_reads(m, kind));
            if self.machines[m].connected && self.cuts < MAX_CUTS {
                add_successor(&|w| w.cut(m));
            }
            if !self.machines[m].connected {
                add_successor(&|w| w.connect(m));
            }
            // The machine accepts or refuses a queued attempt; a running attempt ends.
            for (table_id, state, ()) in self.machines[m].table.inventory(&0).1 {
                let attempt = AttemptId { epoch: table_id.0, number: table_id.1 };
                let send_reply = |w: &mut World, reply| {
                    if w.machines[m].connected && w.machines[m].table.is_current(&0, 1, w.machines[m].link) {
                        w.machines[m].to_planner.push_back(ToPlanner::Reply(attempt, reply));
                    }
                };
                match state {
                    AttemptState::Queued => {
                        add_successor(&|w| {
                            w.machines[m].table.set_state(&0, table_id, AttemptState::Running);
                            w.starts += 1;
                            send_reply(w, AttemptReply::Accepted);
                        });
                        add_successor(&|w| {
                            w.machines[m].table.forget(&0, table_id);
                            send_reply(w, AttemptReply::NotHere);
                        });
                    }
                    _ => add_successor(&|w| {
                        w.machines[m].table.set_state(&0, table_id, AttemptState::Ended(0));
                        send_reply(w, AttemptReply::Ended(0));
                    }),
                }
            }
            // The module may launch where the task's idempotency allows: a keyed task only in the
            // deduplication group of the machine whose attempt is in doubt (here the machine
            // itself), a once-only task only while no attempt is in doubt.
            if let Module::Waiting { in_doubt } = self.module {
                let allowed = match kind {
                    Idempotency::Repeatable => true,
                    Idempotency::Keyed => in_doubt.is_none_or(|first| first == m),
                    Idempotency::OnceOnly => in_doubt.is_none(),
                };
                if allowed && self.attempts < MAX_ATTEMPTS {
                    add_successor(&|w| {
                        w.attempts += 1;
                        w.module = Module::InFlight { machine: m, in_doubt };
                        let mut actions = Vec::new();
                        w.ledger.launch(0, m, 3_000_000, &mut actions);
                        w.carry_out(actions);
                    });
                }
            }
        }
        if let Module::Waiting { in_doubt } = self.module {
            add_successor(&|w| {
                let mut actions = Vec::new();
                if in_doubt.is_none() || kind == Idempotency::Repeatable {
                    w.ledger.decline(0, 0, &mut actions);
                } else {
                    w.ledger.abort(0, &mut actions);
                }
                w.module = Module::None;
                w.carry_out(actions);
            });
        }
        let in_flight = self.ledger.record(&0).and_then(|r| {
            r.attempts
                .iter()
                .find(|attempt| attempt.state == basaltpitch_ledger::AttemptState::InFlight)
                .copied()
        });
        if let Some(attempt) = in_flight {
            add_successor(&|w| {
                let mut actions = Vec::new();
                w.ledger.timed_out(attempt.id, &mut actions);
                w.carry_out(actions);
            });
        }
        let closed = self.ledger.record(&0).is_some_and(|r| !r.phase.is_open());
        if closed && self.requests < MAX_REQUESTS {
            add_successor(&|w| w.submit(kind));
        }
        successors
    }

    /// Checks the invariants of a state.
    fn check_invariants(&self, kind: Idempotency) -> Result<(), &'static str> {
        if let Some(violation) = self.violation {
            return Err(violation);
        }
        let record = self.ledger.record(&0);
        let attempts = || record.iter().flat_map(|r| &r.attempts);
        if attempts().filter(|attempt| attempt.state == basaltpitch_ledger::AttemptState::InFlight).count()
            > 1
        {
            return Err("two attempts of a task are in flight");
        }
        if attempts().filter(|attempt| attempt.state == basaltpitch_ledger::AttemptState::Active).count() > 1
        {
            return Err("two attempts of a task are active");
        }
        let open = record.is_some_and(|r| r.phase.is_open());
        if open != (self.ledger.open_count() == 1) {
            return Err("the count of open requests is wrong");
        }
        if open == (self.module == Module::None || self.module == Module::Placed) {
            return Err("the placement module and the ledger disagree on whether the request is open");
        }
        if record.is_some_and(|r| r.phase == RequestPhase::Placed)
            && attempts().all(|attempt| attempt.state != basaltpitch_ledger::AttemptState::Active)
        {
            return Err("a task is placed without an active attempt");
        }
        let runs = |machine: &MachineEnd| {
            machine.table.inventory(&0).1.iter().filter(|h| h.1 == AttemptState::Running).count()
        };
        let running: usize = self.machines.iter().map(runs).sum();
        if kind == Idempotency::OnceOnly && running > 1 {
            return Err("two attempts of a once-only task run at once");
        }
        if kind == Idempotency::OnceOnly && self.requests == 1 && self.starts > 1 {
            return Err("a once-only request was started twice");
        }
        Ok(())
    }
}

fn explore(kind: Idempotency, min_states: usize) {
    let mut seen = 0;
    for world in bfs_reach(World::new(kind), |w| w.successors(kind)) {
        seen += 1;
        if let Err(violation) = world.check_invariants(kind) {
            panic!("{kind:?}, state {seen}: {violation}\n{world:#?}");
        }
    }
    println!("{kind:?}: {seen} states");
    assert!(seen >= min_states, "{kind:?}: only {seen} states were reached");
}

#[test]
fn invariants_hold_in_every_state_of_a_repeatable_task() {
    explore(Idempotency::Repeatable, 10_000);
}

#[test]
fn invariants_hold_in_every_state_of_a_keyed_task() {
    explore(Idempotency::Keyed, 10_000);
}

#[test]
fn invariants_hold_in_every_state_of_a_once_only_task() {
    explore(Idempotency::OnceOnly, 10_000);
}
