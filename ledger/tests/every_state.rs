//! Every state that the ledger, the machines' ends and a hostile network can reach within bounds, for two
//! machines and one task: no state breaks a rule. The placing module is replaced by one that may make any
//! call that the module's rules allow; links may be cut at any point, with frames in the air lost, or late by
//! a whole link.
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
/// The bounds within which every state is visited: links cut, launches made, askings.
const CUTS: u8 = 1;
const LAUNCHES: u8 = 2;
const ASKS: u64 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Down {
    Hello(u64),
    Launch(AttemptId),
    Cancel(AttemptId),
    Stop(AttemptId),
    Noted(AttemptId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Up {
    Said(AttemptId, AttemptReply),
    Inventory(Vec<(AttemptId, bool)>),
}

/// One machine and what is in the air to and from it. An old link may still deliver what it had.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Far {
    holder: AttemptTable<u8, ()>,
    down: VecDeque<Down>,
    old: VecDeque<Down>,
    up: VecDeque<Up>,
    link: u64,
    stands: bool,
    /// The inventory of the standing link has come.
    met: bool,
}

/// What the module knows of the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Module {
    None,
    Waiting { unsure: Option<usize> },
    Out { on: usize, unsure: Option<usize> },
    Placed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    ledger: Ledger<u8, ()>,
    far: [Far; MACHINES],
    module: Module,
    /// Copies that count, by the ledger's word.
    counted: BTreeSet<AttemptId>,
    /// Copies that ran to their end, or run, by what the machines did.
    starts: u8,
    answers: u8,
    asks: u64,
    cuts: u8,
    launches: u8,
    wrong: Option<&'static str>,
}

fn id(l: AttemptId) -> (u64, u64) {
    (l.epoch, l.number)
}

impl World {
    fn new(kind: Idempotency) -> Self {
        let mut world = World {
            ledger: Ledger::new(1, 0, LedgerConfig::DEFAULT),
            far: Default::default(),
            module: Module::None,
            counted: BTreeSet::new(),
            starts: 0,
            answers: 0,
            asks: 0,
            cuts: 0,
            launches: 0,
            wrong: None,
        };
        for m in 0..MACHINES {
            world.connect(m);
            world.far_reads(m, false);
            world.near_reads(m, kind);
        }
        world.submit(kind);
        world
    }

    fn submit(&mut self, kind: Idempotency) {
        self.asks += 1;
        self.answers = 0;
        let mut acts = Vec::new();
        let asking = Request { key: 0, request_id: self.asks, client: 1, idempotency: kind, job: () };
        self.ledger.submit(asking, 9_000_000, &mut acts);
        self.carry(acts);
    }

    fn connect(&mut self, m: usize) {
        let far = &mut self.far[m];
        far.link += 1;
        (far.stands, far.met) = (true, false);
        far.down.push_back(Down::Hello(far.link));
    }

    /// Carries out acts; the module's part is to know of what it is told.
    fn carry(&mut self, acts: Vec<LedgerAction<u8>>) {
        for act in acts {
            match act {
                LedgerAction::Pending { .. } => self.module = Module::Waiting { unsure: None },
                LedgerAction::Adopted { .. } | LedgerAction::Accepted { .. } => self.module = Module::Placed,
                LedgerAction::Expired { .. } => self.module = Module::None,
                LedgerAction::Resolved { outcome, over, .. } => {
                    self.module = match self.module {
                        Module::Out { on, unsure } if !over => {
                            let ran = !matches!(
                                outcome,
                                AttemptOutcome::Refused
                                    | AttemptOutcome::ConnectFailed
                                    | AttemptOutcome::NotSent
                            );
                            Module::Waiting { unsure: unsure.or(ran.then_some(on)) }
                        }
                        Module::Waiting { unsure } if !over => Module::Waiting { unsure },
                        _ => Module::None,
                    }
                }
                LedgerAction::Launch { attempt: launch, machine, .. } => {
                    if self.far[machine].stands && self.far[machine].met {
                        self.far[machine].down.push_back(Down::Launch(launch));
                    } else {
                        let mut more = Vec::new();
                        self.ledger.unsent(launch, &mut more);
                        self.carry(more);
                    }
                }
                LedgerAction::Cancel { attempt: launch, machine } => self.send(machine, Down::Cancel(launch)),
                LedgerAction::Stop { attempt: launch, machine } => self.send(machine, Down::Stop(launch)),
                LedgerAction::Acknowledge { attempt: launch, machine } => {
                    self.send(machine, Down::Noted(launch))
                }
                LedgerAction::Reply { request_id: ask, outcome: answer, .. } => {
                    self.answers += u8::from(ask == self.asks);
                    if self.answers > 1 {
                        self.wrong = Some("two answers to one asking");
                    }
                    let doubt = self.ledger.record(&0).is_some_and(|r| {
                        r.idempotency != Idempotency::Repeatable
                            && r.attempts
                                .iter()
                                .any(|c| c.state == basaltpitch_ledger::AttemptState::InFlight)
                    });
                    if matches!(answer, RequestOutcome::Declined { .. }) && doubt {
                        self.wrong = Some("declined with a launch out");
                    }
                }
                LedgerAction::Lifecycle { .. } => {}
                LedgerAction::AttemptStarted { attempt: launch, .. } => {
                    if !self.counted.insert(launch) {
                        self.wrong = Some("a copy that began twice");
                    }
                }
                LedgerAction::AttemptEnded { attempt: launch } => {
                    if !self.counted.remove(&launch) {
                        self.wrong = Some("a copy that was over and had not begun");
                    }
                }
            }
        }
        self.ledger.free_task_indices();
        let copies: BTreeSet<AttemptId> =
            self.ledger.record(&0).into_iter().flat_map(|r| &r.attempts).map(|c| c.id).collect();
        if copies != self.counted {
            self.wrong = Some("copies that count are others than those of the record");
        }
    }

    fn send(&mut self, m: usize, frame: Down) {
        if self.far[m].stands {
            self.far[m].down.push_back(frame);
        }
    }

    /// The machine reads the next frame of its newest link, or of the one before.
    fn far_reads(&mut self, m: usize, old: bool) {
        let far = &mut self.far[m];
        let Some(frame) = (if old { far.old.pop_front() } else { far.down.pop_front() }) else { return };
        let mut say = |launch, say| {
            if say != AttemptReply::Nothing && far.stands && !old {
                far.up.push_back(Up::Said(launch, say));
            }
        };
        match frame {
            Down::Hello(link) => {
                if far.holder.admit_link(&0, 1, link) {
                    // Every older link is out of use.
                    far.old.clear();
                    let (endings, held) = far.holder.inventory(&0);
                    let launch = |id: (u64, u64)| AttemptId { epoch: id.0, number: id.1 };
                    far.up.extend(endings.into_iter().map(|(i, s)| Up::Said(launch(i), s)));
                    let held = held.into_iter().map(|(i, s, ())| (launch(i), s != AttemptState::Queued));
                    far.up.push_back(Up::Inventory(held.collect()));
                }
            }
            Down::Launch(l) => {
                let answer = far.holder.launch(&0, id(l), ()).0;
                say(l, answer);
            }
            Down::Cancel(l) => {
                let answer = far.holder.cancel(&0, id(l));
                say(l, answer);
            }
            Down::Stop(l) => match far.holder.state(&0, id(l)) {
                Some(AttemptState::Accepted | AttemptState::Running) => {
                    far.holder.set_state(&0, id(l), AttemptState::Ended(4));
                    say(l, AttemptReply::Ended(4));
                }
                _ => {
                    let answer = far.holder.cancel(&0, id(l));
                    say(l, answer);
                }
            },
            Down::Noted(l) => far.holder.acknowledge(&0, id(l)),
        }
    }

    fn near_reads(&mut self, m: usize, kind: Idempotency) {
        let Some(frame) = self.far[m].up.pop_front() else { return };
        let mut acts = Vec::new();
        match frame {
            Up::Said(l, AttemptReply::Accepted) => self.ledger.accepted(l, &mut acts),
            Up::Said(l, AttemptReply::NotHere) => self.ledger.refused(l, 4, &mut acts),
            Up::Said(l, AttemptReply::Ended(4)) => self.ledger.ended(l, m, AttemptEnd::Stopped, &mut acts),
            Up::Said(l, AttemptReply::Ended(_)) => self.ledger.ended(l, m, AttemptEnd::Done, &mut acts),
            Up::Said(l, _) => self.ledger.failed(l, m, &mut acts),
            Up::Inventory(held) => {
                let held = held.into_iter().map(|(launch, accepted)| InventoryEntry {
                    attempt: launch,
                    key: 0,
                    request_id: 1,
                    idempotency: kind,
                    accepted,
                    job: (),
                });
                self.ledger.inventory(m, held.collect(), &mut acts);
                self.far[m].met = true;
            }
        }
        self.carry(acts);
    }

    /// What was handed to the stream is in the air; the machine may still read it, until a newer link greets
    /// it.
    fn cut(&mut self, m: usize) {
        self.cuts += 1;
        let far = &mut self.far[m];
        far.stands = false;
        far.up.clear();
        far.old = std::mem::take(&mut far.down);
        far.old.retain(|f| !matches!(f, Down::Hello(_)));
        let mut acts = Vec::new();
        self.ledger.link_cut(m, &[], &mut acts);
        self.carry(acts);
    }

    fn next(&self, kind: Idempotency) -> Vec<World> {
        let mut all = Vec::new();
        let mut with = |change: &dyn Fn(&mut World)| {
            let mut next = self.clone();
            change(&mut next);
            if next != *self {
                all.push(next);
            }
        };
        for m in 0..MACHINES {
            with(&|w| w.far_reads(m, false));
            with(&|w| w.far_reads(m, true));
            with(&|w| w.near_reads(m, kind));
            if self.far[m].stands && self.cuts < CUTS {
                with(&|w| w.cut(m));
            }
            if !self.far[m].stands {
                with(&|w| w.connect(m));
            }
            // The machine looks at an offer: it takes it, or turns it off; a copy that runs ends.
            for (launch, state, ()) in self.far[m].holder.inventory(&0).1 {
                let l = AttemptId { epoch: launch.0, number: launch.1 };
                let say = |w: &mut World, say| {
                    if w.far[m].stands && w.far[m].holder.is_current(&0, 1, w.far[m].link) {
                        w.far[m].up.push_back(Up::Said(l, say));
                    }
                };
                match state {
                    AttemptState::Queued => {
                        with(&|w| {
                            w.far[m].holder.set_state(&0, launch, AttemptState::Running);
                            w.starts += 1;
                            say(w, AttemptReply::Accepted);
                        });
                        with(&|w| {
                            w.far[m].holder.forget(&0, launch);
                            say(w, AttemptReply::NotHere);
                        });
                    }
                    _ => with(&|w| {
                        w.far[m].holder.set_state(&0, launch, AttemptState::Ended(0));
                        say(w, AttemptReply::Ended(0));
                    }),
                }
            }
            // The module may launch where its rules let it: keyed, only on the first machine's group, which
            // is the machine itself here; once-only, only if nothing is unsure.
            if let Module::Waiting { unsure } = self.module {
                let allowed = match kind {
                    Idempotency::Repeatable => true,
                    Idempotency::Keyed => unsure.is_none_or(|first| first == m),
                    Idempotency::OnceOnly => unsure.is_none(),
                };
                if allowed && self.launches < LAUNCHES {
                    with(&|w| {
                        w.launches += 1;
                        w.module = Module::Out { on: m, unsure };
                        let mut acts = Vec::new();
                        w.ledger.launch(0, m, 3_000_000, &mut acts);
                        w.carry(acts);
                    });
                }
            }
        }
        if let Module::Waiting { unsure } = self.module {
            with(&|w| {
                let mut acts = Vec::new();
                if unsure.is_none() || kind == Idempotency::Repeatable {
                    w.ledger.decline(0, 0, &mut acts);
                } else {
                    w.ledger.abort(0, &mut acts);
                }
                w.module = Module::None;
                w.carry(acts);
            });
        }
        let out = self.ledger.record(&0).and_then(|r| {
            r.attempts.iter().find(|c| c.state == basaltpitch_ledger::AttemptState::InFlight).copied()
        });
        if let Some(copy) = out {
            with(&|w| {
                let mut acts = Vec::new();
                w.ledger.timed_out(copy.id, &mut acts);
                w.carry(acts);
            });
        }
        let closed = self.ledger.record(&0).is_some_and(|r| !r.phase.is_open());
        if closed && self.asks < ASKS {
            with(&|w| w.submit(kind));
        }
        all
    }

    /// What no state may show.
    fn judge(&self, kind: Idempotency) -> Result<(), &'static str> {
        if let Some(wrong) = self.wrong {
            return Err(wrong);
        }
        let record = self.ledger.record(&0);
        let copies = || record.iter().flat_map(|r| &r.attempts);
        if copies().filter(|c| c.state == basaltpitch_ledger::AttemptState::InFlight).count() > 1 {
            return Err("two launches out");
        }
        if copies().filter(|c| c.state == basaltpitch_ledger::AttemptState::Active).count() > 1 {
            return Err("two copies held");
        }
        let open = record.is_some_and(|r| r.phase.is_open());
        if open != (self.ledger.open_count() == 1) {
            return Err("the count of open askings is wrong");
        }
        if open == (self.module == Module::None || self.module == Module::Placed) {
            return Err("module and ledger differ on what is open");
        }
        if record.is_some_and(|r| r.phase == RequestPhase::Placed)
            && copies().all(|c| c.state != basaltpitch_ledger::AttemptState::Active)
        {
            return Err("placed without a copy");
        }
        let runs =
            |far: &Far| far.holder.inventory(&0).1.iter().filter(|h| h.1 == AttemptState::Running).count();
        let running: usize = self.far.iter().map(runs).sum();
        if kind == Idempotency::OnceOnly && running > 1 {
            return Err("a once-only task runs twice");
        }
        if kind == Idempotency::OnceOnly && self.asks == 1 && self.starts > 1 {
            return Err("a once-only asking was started twice");
        }
        Ok(())
    }
}

fn visit(kind: Idempotency, at_least: usize) {
    let mut seen = 0;
    for world in bfs_reach(World::new(kind), |w| w.next(kind)) {
        seen += 1;
        if let Err(what) = world.judge(kind) {
            panic!("{kind:?}, state {seen}: {what}\n{world:#?}");
        }
    }
    println!("{kind:?}: {seen} states");
    assert!(seen >= at_least, "{kind:?}: only {seen} states were reached");
}

#[test]
fn a_repeatable_task() {
    visit(Idempotency::Repeatable, 10_000);
}

#[test]
fn a_keyed_task() {
    visit(Idempotency::Keyed, 10_000);
}

#[test]
fn a_once_only_task() {
    visit(Idempotency::OnceOnly, 10_000);
}
