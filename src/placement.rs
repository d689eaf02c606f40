//! Every decision of basaltpitch. One `Planner` is one scheduler; it shares nothing with another.
//! A caller (today `benchlink`, later the placing service) makes it with the settings, a seed and a
//! `Host`, then calls one method for each thing that happens: list, task, launch, note, probe, timer.
//! The planner acts by calling the host at once. The interface is in `host.rs`, the why in `docs/design.md`.
#![allow(clippy::too_many_arguments)]
use crate::host::{
    number, text, AttemptOutcome, Host, Location, MachineEstimate, Readiness, Resources, Settings, Value,
};
use std::collections::BTreeMap;

/// Confidence 99%: the standard normal quantile (the paper's D; DESIGN runs 99.9% and 99%).
const D: f64 = 2.326;
/// Share of a machine's cores that the mean plus margin may fill, and of its memory (see docs/design.md).
const HEADROOM: f64 = 1.0;
const MEMORY_SHARE: f64 = 0.95;
/// Machines whose UCaC is within this many cores of the best are drawn from at random.
const TIE: f64 = 0.1;
/// A report or an entry of the list is taken to contain a task that had run this long when it came.
const LAG: i64 = 1_500_000;
/// Own tasks yet to start that a machine may have before others go first.
const LINE: usize = 6;
/// Share of the latency goal over which a waiting task's margin melts.
const EASE: f64 = 0.3;
/// Served below this share, a task of higher priority is better off moved.
const POOR: f64 = 0.5;
/// Launches to a machine that are remembered for its cold budget.
const MOST_SENDS: usize = 256;
/// How full the machines may be on average that the fleet's load is kept to; the others run empty.
const FILLED: f64 = 0.4;
/// The memory share for a task whose margin has melted: asks count in full but are not used in full.
const MEMORY_EASED: f64 = 1.1;
/// Share in use, over all reports, from which on turns at cold machines come first.
const PRESSED: f64 = 0.6;
/// An offer that a machine answers was sent so long after an own one without an answer: that answer is lost.
const OVERTAKEN: i64 = 50_000;
/// How long a failure of any kind bars a machine.
const BARRED: i64 = 3_000_000;
const TICK: i64 = 100_000;
const PROBE_EVERY: i64 = 1_000_000;
/// Planners that may each probe every machine that often; more of them share the probes.
const PROBERS: f64 = 4.0;
/// A report older than this says nothing any more.
const STALE: i64 = 10_000_000;
/// Homes that are asked before a task is placed, unless their report is younger than FRESH.
const ASKED: usize = 4;
const FRESH: i64 = 2_500_000;
/// Machines of a service that all planners agree on, so that its program is kept on few.
const HOMES: usize = 2;

#[derive(Clone, Copy, Default, PartialEq)]
enum Phase {
    #[default]
    Over,
    Waiting,
    Out,
    Placed,
}

/// Mean and variance of one task's use, and the notes that they rest on.
#[derive(Clone)]
struct Use {
    mean: f64,
    variance: f64,
    notes: f64,
}

impl Use {
    const START: Use = Use { mean: 1.0, variance: 0.25, notes: 0.0 };

    /// The start counts as one note; each moves mean and variance by at least one part in `memory`.
    fn learn(&mut self, value: f64, memory: f64) {
        self.notes += 1.0;
        let (w, off) = ((1.0 / (self.notes + 1.0)).max(1.0 / memory), value - self.mean);
        self.mean += w * off;
        self.variance = (1.0 - w) * (self.variance + w * off * off);
    }
}

/// What the settings say of a framework, read once: ranking a large fleet asks for it all the time.
struct Framework {
    semantics: String,
    spread: String,
    most: usize,
    kind: f64,
    priority: f64,
    value: f64,
    goal: f64,
    calm: f64,
    /// The middle of its fade over the headroom share: below 0, crowding stops its tasks.
    bears: f64,
}

#[derive(Default)]
struct Task {
    stamp: u64,
    phase: Phase,
    framework: usize,
    service: usize,
    cores: f64,
    memory: f64,
    born_at: i64,
    limit_at: i64,
    machine: usize,
    launches: u32,
    sent_at: i64,
    ran_at: i64,
    /// The first launch that may have run: its machine and when it was sent.
    unsure: Option<(usize, i64)>,
    /// The machine that answered it with an error.
    erred: Option<usize>,
    tried: Vec<usize>,
}

/// C and B of a machine, the memory in use there, and what own binds ask that neither can contain.
type Load = (f64, f64, f64, Resources);

/// Figures of machines, in parallel arrays under the machine's index.
#[derive(Default)]
struct Machines {
    listed: Vec<bool>,
    /// Kind, zone and cell.
    place: Vec<Location>,
    started: Vec<i64>,
    cores: Vec<f64>,
    memory: Vec<f64>,
    used_cores: Vec<f64>,
    used_memory: Vec<f64>,
    report_at: Vec<i64>,
    /// The id's number, which is the same at every planner, and what was asked when the report came.
    number: Vec<u64>,
    asked_then: Vec<Resources>,
    /// Cores and memory that nobody had asked for, as listed.
    view: Vec<Resources>,
    view_at: Vec<i64>,
    held: Vec<Vec<usize>>,
    sends: Vec<Vec<i64>>,
    cold_until: Vec<i64>,
    shun_until: Vec<i64>,
    probed_at: Vec<i64>,
    /// When the machine last said anything: an answer, a note, an end.
    heard_at: Vec<i64>,
}

pub struct Planner<H: Host> {
    pub host: H,
    given: Settings,
    chance: fastrand::Rng,
    /// The clock as the last call of `clock` told it, and when this planner was started.
    now: i64,
    born_at: i64,
    /// Probes without an answer.
    asked: usize,
    /// Whether probes tell a report, and until when it is not looked at again that they don't.
    probes_tell: bool,
    blind_until: i64,
    stamp: u64,
    tasks: Vec<Task>,
    waiting: Vec<usize>,
    // The list: when it was last heard, when to ask for it again (never while a watch stands), failed calls.
    heard_at: i64,
    list_due: i64,
    list_fails: u32,
    /// Used cores of one task of each service.
    uses: Vec<Use>,
    service_numbers: Vec<u64>,
    /// Share of the asked cores and memory that all tasks use.
    cores_use: Use,
    memory_use: Use,
    /// Share of a machine's cores and memory in use, over the reports; whether the list tells what is asked.
    average: (Use, Use),
    view: bool,
    answer_us: Vec<f64>,
    frameworks: Vec<Framework>,
    /// This planner's zone, where running tasks in another has a price.
    home_zone: Option<usize>,
    mac: Machines,
}

impl<H: Host> Planner<H> {
    pub fn new(host: H, seed: u64, now: i64, given: Settings) -> Self {
        let framework = |i: usize| {
            let per = |name: &str| number(&given, &format!("classes.{i}.{name}"));
            let kin = |name: &str| number(&given, &format!("familyInfo.{name}.{i}")).unwrap_or(0.0);
            Some(Framework {
                goal: per("objectiveUs")?,
                semantics: text(&given, &format!("classes.{i}.semantics")).to_owned(),
                spread: text(&given, &format!("familyInfo.classSpread.{i}")).to_owned(),
                most: kin("mostTogether") as usize,
                kind: kin("classKind"),
                priority: kin("priorityByClass"),
                value: per("worth").unwrap_or(0.0),
                calm: kin("calmLevel"),
                bears: kin("calmLevel") + 0.5 * kin("fadeSpan") - HEADROOM,
            })
        };
        let view = number(&given, "familyInfo.view").unwrap_or(0.0) > 0.0;
        let priced = number(&given, "tariffs.crossZone").unwrap_or(0.0) > 0.0;
        let mut zones = (0..).map(|z| text(&given, &format!("localities.{z}"))).take_while(|z| !z.is_empty());
        let home_zone = zones.position(|z| priced && z == text(&given, "myZone"));
        let frameworks: Vec<Framework> = (0..).map_while(framework).collect();
        let mut planner = Planner {
            host,
            given,
            chance: fastrand::Rng::with_seed(seed),
            now,
            born_at: now,
            asked: 0,
            probes_tell: false,
            blind_until: 0,
            stamp: 0,
            tasks: Vec::new(),
            waiting: Vec::new(),
            heard_at: now,
            list_due: i64::MAX,
            list_fails: 0,
            uses: Vec::new(),
            service_numbers: Vec::new(),
            cores_use: Use::START,
            memory_use: Use::START,
            average: (Use::START, Use::START),
            view,
            answer_us: frameworks.iter().map(|f| f.goal * 0.5).collect(),
            frameworks,
            home_zone,
            mac: Machines::default(),
        };
        if text(&planner.given, "discovery") == "ask" {
            planner.ask_for_list();
        }
        planner.host.set_timer(TICK, 0);
        planner
    }

    pub fn set_clock(&mut self, now: i64) {
        self.now = now;
    }

    /// Entries follow, then `list_ends`. A whole list names every machine; only a fresh one counts as heard.
    pub fn list_started(&mut self, whole: bool, fresh: bool) {
        self.mac.listed.iter_mut().for_each(|listed| *listed &= !whole);
        if fresh {
            (self.heard_at, self.list_fails, self.list_due) = (self.now, 0, i64::MAX);
        }
    }

    pub fn machine_listed(
        &mut self,
        m: usize,
        at: Location,
        ready: Readiness,
        started: i64,
        left: Resources,
    ) {
        self.know_machine(m);
        self.mac.listed[m] = ready == Readiness::Ready;
        self.mac.cores[m] = self.rule(&format!("familyInfo.cpuOfKind.{}", at.0));
        self.mac.memory[m] = self.rule(&format!("familyInfo.sizeMemory.{}", at.0));
        (self.mac.place[m], self.mac.view[m], self.mac.view_at[m]) = (at, left, self.now);
        if started > self.mac.started[m] {
            // A newer start: a cold machine with empty hands.
            (self.mac.started[m], self.mac.report_at[m], self.mac.shun_until[m]) = (started, 0, 0);
            self.mac.cold_until[m] = self.mac.cold_until[m].max(started + self.rule("rules.coldUs") as i64);
        }
    }

    /// A machine's or service's id as a number that is the same at every planner.
    pub fn set_machine_number(&mut self, m: usize, number: u64) {
        self.know_machine(m);
        self.mac.number[m] = number;
    }

    /// A tenant's share of the fleet, in place of the one that the settings gave.
    pub fn set_tenant_share(&mut self, tenant: usize, share: f64) {
        self.given.insert(format!("tenants.{tenant}.share"), Value::Number(share));
    }

    pub fn set_service_number(&mut self, s: usize, number: u64) {
        let known = self.service_numbers.len().max(s + 1);
        self.service_numbers.resize(known, number);
    }

    /// Nothing runs of a service any more and its index goes to another: what was learnt of it leaves.
    pub fn service_removed(&mut self, s: usize) {
        self.uses[s] = Use::START;
    }

    /// A machine that is gone and holds no launch leaves its index.
    pub fn machine_removed(&mut self, m: usize) {
        let (mac, none) = (&mut self.mac, Vec::new);
        (mac.listed[m], mac.place[m], mac.held[m], mac.sends[m]) = (false, (0, 0, 0), none(), Vec::new());
        (mac.view[m], mac.asked_then[m]) = ((0.0, 0.0), (0.0, 0.0));
        for times in [&mut mac.started, &mut mac.report_at, &mut mac.view_at, &mut mac.cold_until] {
            times[m] = 0;
        }
        (mac.shun_until[m], mac.probed_at[m], mac.heard_at[m]) = (0, 0, 0);
        (mac.used_cores[m], mac.used_memory[m]) = (0.0, 0.0);
    }

    pub fn list_finished(&mut self) {
        self.probe_round();
        self.serve_waiting();
    }

    /// A watch or fetch failed, or the watch dropped; which is not told, so ask anew, later each time.
    pub fn list_lost(&mut self) {
        self.list_fails += 1;
        let wait = 200_000 << self.list_fails.min(4);
        self.list_due = self.now + self.chance.i64(wait / 2..wait);
    }

    fn ask_for_list(&mut self) {
        self.host.watch_list(true);
        self.list_due = self.now + 5_000_000;
    }

    /// Whether the list can be relied on for drains: a planner that has not asked for long counts as told.
    fn list_holds(&self) -> bool {
        self.list_due == i64::MAX || self.now < self.heard_at + self.rule("rules.askEveryUs") as i64
    }

    pub fn task_requested(
        &mut self,
        task: usize,
        f: usize,
        _tenant: Option<usize>,
        s: usize,
        asks: Resources,
        left: i64,
    ) {
        self.enter(task, f, s, asks);
        let t = &mut self.tasks[task];
        (t.phase, t.born_at, t.limit_at) = (Phase::Waiting, self.now, self.now + left);
        if self.asks_first(s) || !self.place(task) {
            self.wait(task);
        }
    }

    /// Many planners can't keep up with a fleet, so they ask a service's homes when a task comes.
    fn asks_first(&mut self, s: usize) -> bool {
        if self.rule("permissions.probes") == 0.0 || self.probe_every() < STALE {
            return false;
        }
        let mut homes: Vec<usize> = self.ready().filter(|&m| self.now >= self.mac.shun_until[m]).collect();
        homes.sort_by_cached_key(|&m| std::cmp::Reverse(self.draw_of(s, m)));
        homes.truncate(ASKED);
        homes.retain(|&m| self.now - self.mac.report_at[m].max(self.mac.probed_at[m]) >= FRESH);
        homes.iter().for_each(|&m| self.probe(m));
        self.asked > 0
    }

    pub fn running_task_found(
        &mut self,
        task: usize,
        f: usize,
        _tenant: Option<usize>,
        s: usize,
        asks: Resources,
        m: usize,
    ) {
        self.know_machine(m);
        self.enter(task, f, s, asks);
        let t = &mut self.tasks[task];
        (t.phase, t.machine, t.launches) = (Phase::Placed, m, 1);
        // It runs already, so that reports contain it; it counts as launch 0.
        (t.sent_at, t.ran_at) = (self.now, self.now - LAG);
        self.mac.held[m].push(task);
    }

    fn enter(&mut self, task: usize, f: usize, s: usize, asks: Resources) {
        let known = self.uses.len().max(s + 1);
        self.uses.resize(known, Use::START);
        if self.uses[s].notes == 0.0 {
            // The ask and a quarter of its square, until notes of other tasks tell better.
            let share = &self.cores_use;
            self.uses[s].mean = asks.0 * share.mean;
            self.uses[s].variance = asks.0 * asks.0 * share.variance;
        }
        let slots = self.tasks.len().max(task + 1);
        self.tasks.resize_with(slots, Task::default);
        self.stamp += 1;
        let (stamp, (cores, memory)) = (self.stamp, asks);
        self.tasks[task] = Task { stamp, framework: f, service: s, cores, memory, ..Task::default() };
    }

    /// The ordinary path: filter, mean plus margin, the fullest fitting machine, launch. False: it waits.
    fn place(&mut self, task: usize) -> bool {
        let t = &self.tasks[task];
        let (f, s, cores, memory) = (t.framework, t.service, t.cores, t.memory);
        let (mu, b) = (self.uses[s].mean, self.uses[s].variance);
        // Waiting costs more than a thin margin: it melts away early in the latency goal. Then a task that
        // crowding only slows goes to the least crowded machine.
        let waited = self.now - t.born_at;
        let ease = (waited as f64 / (EASE * self.frameworks[f].goal).max(1.0)).min(1.0);
        let bears = self.frameworks[f].bears;
        let accepts_cores = self.rule("familyInfo.admitCores");
        let accepts_memory = self.rule("familyInfo.admitMemory");
        let memory_share = MEMORY_SHARE + ease * (MEMORY_EASED - MEMORY_SHARE);
        let ratio = self.spread_ratio();
        // Fits: machine, UCaC after the bind, how well it suits.
        let mut fits: Vec<(usize, f64, u8)> = Vec::new();
        let mut crowded = Vec::new();
        let mut room = (f64::MAX, 0, 0.0, 0.0, Vec::new());
        let holds = self.list_holds();
        let loads: Vec<_> = self.ready().map(|m| (m, self.load(m, ratio))).collect();
        let kept = self.kept(&loads);
        for (m, (c, big_b, used_memory, later)) in loads {
            if !holds || !self.may_send(task, m) {
                continue;
            }
            let root = (big_b + b).sqrt();
            let ucac = c + mu + D * root;
            let over_cores = c + mu + (1.0 - ease) * D * root - HEADROOM * self.mac.cores[m];
            // All that a machine has accepted, listed late; where no list tells, own tasks at least.
            let listed = self.asked(m);
            let asked = if self.view { listed.0 + later.0 } else { self.own(m).map(|t| t.cores).sum() };
            let asked_memory = if self.view { listed.1 + later.1 } else { 0.0 };
            let over_asked = asked + cores > accepts_cores * self.mac.cores[m];
            if over_asked || asked_memory + memory > accepts_memory * self.mac.memory[m] {
                continue;
            }
            // Memory must fit what nobody asked for, or else a share of all by use.
            let mut over_memory = used_memory + memory - memory_share * self.mac.memory[m];
            if self.view {
                over_memory = over_memory.min(asked_memory + memory - self.mac.memory[m]);
            }
            if over_cores <= 0.0 && over_memory <= 0.0 {
                fits.push((m, ucac, self.suits(m, f, s, ucac, kept[m])));
            } else if ease == 1.0 && over_memory <= 0.0 && over_cores <= bears * self.mac.cores[m] {
                crowded.push((m, -over_cores, 0));
            } else if self.frameworks[f].priority > 0.0 && fits.is_empty() {
                let line = self.movable(m, f);
                let leaving = || line.iter().map(|&o| &self.tasks[o]);
                let free: f64 = leaving().map(|t| self.uses[t.service].mean).sum();
                let free_memory = leaving().map(|t| t.memory).sum::<f64>() * self.memory_use.mean;
                let loss = (over_cores / self.mac.cores[m]).max(over_memory / self.mac.memory[m]);
                if free >= over_cores && free_memory >= over_memory && loss < room.0 {
                    room = (loss, m, over_cores, over_memory, line);
                }
            }
        }
        let mut fits = if fits.is_empty() { crowded } else { fits };
        // Of the fitting machines those that suit best; of these the most wished for, the service's homes,
        // then the fullest.
        let first = fits.iter().map(|x| x.2 >> 2).max().unwrap_or(0);
        fits.retain(|x| x.2 >> 2 == first);
        let wishes: Vec<u64> = fits.iter().map(|x| self.host.preference_score(task, x.0)).collect();
        let most = wishes.iter().copied().max().unwrap_or(0);
        let mut wished = wishes.iter().map(|&w| w == most);
        fits.retain(|_| wished.next() == Some(true));
        fits.sort_by_cached_key(|x| std::cmp::Reverse(self.draw_of(s, x.0)));
        fits.truncate(HOMES);
        let best = fits.iter().map(|x| x.2).max().unwrap_or(0);
        fits.retain(|x| x.2 == best);
        let fullest = fits.iter().map(|x| x.1).fold(f64::MIN, f64::max);
        fits.retain(|x| x.1 >= fullest - TIE);
        let m = if !fits.is_empty() {
            fits[self.chance.usize(0..fits.len())].0
        } else if room.0 < f64::MAX {
            // No machine fits a task of higher priority: room is made where the least must move.
            self.relieve(room.4, room.2, room.3);
            room.1
        } else {
            return false;
        };
        // Half of the limit, or all of it where an answer comes once the task runs: a start given up is lost.
        let share = if text(&self.given, "familyInfo.yesAt") == "running" { 1.0 } else { 0.5 };
        let patience = (share * self.rule(&format!("classes.{f}.deadlineUs"))) as i64;
        let t = &mut self.tasks[task];
        let patience = patience.min(t.limit_at - self.now);
        (t.phase, t.machine, t.sent_at, t.ran_at) = (Phase::Out, m, self.now, 0);
        t.launches += 1;
        self.mac.held[m].push(task);
        self.mac.sends[m].insert(0, self.now);
        self.mac.sends[m].truncate(MOST_SENDS);
        self.host.launch(task, m, patience);
        true
    }

    /// The rules and the health of machines, before any fit.
    fn may_send(&self, task: usize, m: usize) -> bool {
        let t = &self.tasks[task];
        let (f, s) = (t.framework, t.service);
        let kind = self.frameworks[f].kind;
        let wrong_kind = kind >= 0.0 && kind as usize != self.mac.place[m].0;
        if wrong_kind || !self.host.allows(task, m) || !self.group_allows(task, m) {
            return false;
        }
        if self.now < self.mac.shun_until[m] || t.tried.contains(&m) {
            return false;
        }
        let spread = self.frameworks[f].spread.as_str();
        let here = |o: usize| self.own(o).filter(|t| t.service == s).count();
        let near = |a: Location, b: Location| if spread == "cell" { a.2 == b.2 } else { a.1 == b.1 };
        let places = |o: &usize| near(self.mac.place[*o], self.mac.place[m]);
        let together = match spread {
            "machine" => here(m),
            "cell" | "zone" => (0..self.mac.listed.len()).filter(places).map(here).sum(),
            _ => return self.cold_budget_allows(m),
        };
        together < self.frameworks[f].most && self.cold_budget_allows(m)
    }

    /// A cold machine always bears some offers in each window; this planner keeps to its even part of
    /// them, and after its own start counts them as spent for a window, not knowing what it sent before.
    /// Where there are more planners than offers they take turns by the clock, in slots as long as a window
    /// with all that may be under way, half of the offers a slot, as a window may lie across two.
    fn cold_budget_allows(&self, m: usize) -> bool {
        if self.now >= self.mac.cold_until[m] {
            return true;
        }
        // A launch may be late by the time that a connection takes.
        let window = self.rule("rules.fallUs") as i64 + self.rule("permissions.connectTimeoutUs") as i64;
        let (bears, planners) = (self.rule("familyInfo.coldSends"), self.rule("nInstances").max(1.0));
        let (mut part, mut since) = ((bears / planners) as usize, self.now - window);
        if part == 0 {
            // Of an odd number every second slot has one more: a machine that bears one is not left alone.
            let (slot, bears) = ((self.now / window) as u64, bears as u64);
            let (turns, begun) =
                (bears / 2 + slot % 2 * (bears % 2), slot / 2 * bears + slot % 2 * (bears / 2));
            let first = (self.mac.number[m] % planners as u64 + begun) % planners as u64;
            let after = (self.rule("myNumber") + planners) as u64 - first;
            part = usize::from(after % (planners as u64) < turns);
            since = slot as i64 * window - 1;
        }
        let sent = self.mac.sends[m].iter().filter(|&&at| at > since).count();
        self.now >= self.born_at + window && sent < part.min(MOST_SENDS)
    }

    /// Rule 2: where a launch may have run, a further one must be harmless.
    fn group_allows(&self, task: usize, m: usize) -> bool {
        let t = &self.tasks[task];
        let Some((first, at)) = t.unsure else { return true };
        let kept = match self.frameworks[t.framework].semantics.as_str() {
            "retryable" => return true,
            "dedup" => match text(&self.given, &format!("classes.{}.group", t.framework)) {
                "all" => true,
                "zone" => self.mac.place[first].1 == self.mac.place[m].1,
                _ => self.mac.place[first].2 == self.mac.place[m].2,
            },
            _ => false,
        };
        let travel = self.rule("permissions.connectTimeoutUs") as i64;
        kept && self.now + travel < at + self.rule(&format!("classes.{}.windowUs", t.framework)) as i64
    }

    pub fn attempt_accepted(&mut self, task: usize) {
        let t = &mut self.tasks[task];
        if t.phase != Phase::Out {
            return;
        }
        t.phase = Phase::Placed;
        let (m, sent_at) = (t.machine, t.sent_at);
        self.mac.heard_at[m] = self.now;
        // Another machine takes what one answered with an error: that one is at fault.
        if let Some(m) = t.erred.filter(|&m| m != t.machine) {
            self.mac.shun_until[m] = self.mac.shun_until[m].max(self.now + BARRED);
        }
        let (f, took) = (t.framework, (self.now - t.sent_at) as f64);
        self.answer_us[f] += 0.1 * (took - self.answer_us[f]);
        if text(&self.given, "familyInfo.yesAt") == "running" {
            self.tasks[task].ran_at = self.now;
        } else {
            self.overtaken(m, sent_at);
        }
    }

    /// A machine looks at one offer at a time, so that an answer shows earlier ones to be lost on the way:
    /// their launches are not waited for any longer.
    fn overtaken(&mut self, m: usize, sent_at: i64) {
        let lost = |&o: &usize| {
            let t = &self.tasks[o];
            t.phase == Phase::Out && t.sent_at + OVERTAKEN < sent_at
        };
        let lost: Vec<usize> = self.mac.held[m].iter().copied().filter(lost).collect();
        if !lost.is_empty() && self.rule("permissions.cancelling") > 0.0 {
            // More of them may be lost there: it is left as one that does not answer.
            self.mac.shun_until[m] = self.mac.shun_until[m].max(self.now + BARRED);
            lost.into_iter().for_each(|o| self.host.cancel(o, self.tasks[o].launches - 1));
        }
    }

    /// News of a task: 1 it runs, 2 cores and 3 memory in use, 4 how well it is served.
    pub fn task_status(&mut self, task: usize, sort: i64, value: f64) {
        let t = &self.tasks[task];
        self.mac.heard_at[t.machine] = self.now;
        match sort {
            1 if t.ran_at == 0 => self.tasks[task].ran_at = self.now,
            2 => {
                self.cores_use.learn(value / t.cores.max(0.001), 64.0);
                self.uses[t.service].learn(value, 32.0);
            }
            3 => self.memory_use.learn(value / t.memory.max(0.001), 128.0),
            4 => self.served(task, value),
            _ => {}
        }
    }

    /// Where a task is served badly, from whatever cause, own tasks of lower priority make way; where there
    /// are none, one of higher priority leaves itself for a machine that is calm for it.
    fn served(&mut self, task: usize, value: f64) {
        let t = &self.tasks[task];
        let (f, m, mean, memory) = (t.framework, t.machine, self.uses[t.service].mean, t.memory);
        let calm = self.frameworks[f].calm;
        let line = self.movable(m, f);
        if value < 0.9 && !line.is_empty() && self.load(m, 0.0).0 > 0.6 * calm * self.mac.cores[m] {
            self.relieve(line, 0.1 * self.mac.cores[m], 0.0);
        } else if value < POOR && self.frameworks[f].priority > 0.0 && t.phase == Phase::Placed {
            let calm_there = |o: usize| {
                let (c, _, used, _) = self.load(o, 0.0);
                let well = o != m && self.now >= self.mac.shun_until[o];
                let cores = c + mean <= calm * self.mac.cores[o];
                well && cores && used + memory <= MEMORY_SHARE * self.mac.memory[o]
            };
            if self.ready().any(calm_there) {
                self.relieve(vec![task], mean, 0.0);
            }
        }
    }

    pub fn attempt_ended(&mut self, task: usize, end: AttemptOutcome, why: i64, over: bool, report: &[f64]) {
        let t = &self.tasks[task];
        let (m, phase, sent_at) = (t.machine, t.phase, t.sent_at);
        self.mac.held[m].retain(|&o| o != task);
        self.heard_end(m, end);
        self.read_report(m, report);
        // A machine that fails is barred, and so is one that leaves: it turns tasks off or sends them away,
        // which the list tells only later. Where a line is long or room is short, others fit soon.
        // An error is not held against it yet: a task that no machine can use would bar one after another.
        let bar = match end {
            AttemptOutcome::Full if why != 4 => 1_000_000,
            AttemptOutcome::ConnectFailed | AttemptOutcome::TimedOut | AttemptOutcome::Full => BARRED,
            AttemptOutcome::Reset if phase == Phase::Out || why == 0 || why == 7 => BARRED,
            _ => 0,
        };
        self.mac.shun_until[m] = self.mac.shun_until[m].max(self.now + bar);
        let t = &mut self.tasks[task];
        if over || phase != Phase::Out {
            t.phase = Phase::Over;
            if phase != Phase::Out {
                self.serve_waiting();
            }
            return;
        }
        t.tried.push(m);
        if !matches!(end, AttemptOutcome::Full | AttemptOutcome::ConnectFailed | AttemptOutcome::Moot) {
            t.unsure = t.unsure.or(Some((m, sent_at)));
        }
        t.phase = Phase::Waiting;
        // A second machine that errs shows that the task is at fault.
        let useless = end == AttemptOutcome::Error && t.erred.replace(m).is_some();
        let spent = useless || f64::from(t.launches) >= self.rule("permissions.attemptsCap");
        if spent || self.too_late(task) {
            self.give_up(task);
        } else if !self.place(task) {
            self.wait(task);
        }
    }

    pub fn task_expired(&mut self, task: usize) {
        let t = &self.tasks[task];
        if t.phase == Phase::Out && self.rule("permissions.cancelling") > 0.0 {
            self.host.cancel(task, t.launches - 1);
        }
        self.tasks[task].phase = Phase::Over;
        self.waiting.retain(|&o| o != task);
        self.serve_waiting();
    }

    /// Waits for room, with a timer of its own for the last moment at which a launch could be answered.
    fn wait(&mut self, task: usize) {
        let t = &self.tasks[task];
        let stop = t.limit_at - self.answer_us[t.framework] as i64 - self.now;
        let token = self.token(task);
        self.host.set_timer(stop.max(0), token);
        self.tasks[task].tried.clear();
        self.waiting.push(task);
    }

    /// Too little time for an answer, or what may have run forbids every further launch.
    fn too_late(&self, task: usize) -> bool {
        let t = &self.tasks[task];
        let barred = t.unsure.is_some_and(|u| !self.group_allows(task, u.0));
        barred || self.now + self.answer_us[t.framework] as i64 >= t.limit_at
    }

    /// The final answer: declined where a further try is harmless, else aborted.
    fn give_up(&mut self, task: usize) {
        self.tasks[task].phase = Phase::Over;
        let f = self.tasks[task].framework;
        let in_all = text(&self.given, &format!("classes.{f}.group")) == "all";
        let harmless = self.frameworks[f].semantics == "retryable"
            || (self.frameworks[f].semantics == "dedup" && in_all);
        if harmless || self.tasks[task].unsure.is_none() {
            self.host.reject(task, 0);
        } else {
            self.host.abort(task);
        }
    }

    /// Room may have come: those who wait are tried by value, the oldest first.
    fn serve_waiting(&mut self) {
        let mut line = std::mem::take(&mut self.waiting);
        let value = |o: usize| self.frameworks[self.tasks[o].framework].value;
        let stamp = |o: usize| self.tasks[o].stamp;
        line.sort_by(|&a, &b| value(b).total_cmp(&value(a)).then(stamp(a).cmp(&stamp(b))));
        let mut least = BTreeMap::new();
        for task in line {
            let (f, cores) = (self.tasks[task].framework, self.tasks[task].cores);
            if self.too_late(task) {
                self.give_up(task);
                continue;
            }
            // Where one could not go, a larger one that is bound alike cannot.
            let alike = (f, self.host.constraint_group(task));
            let smallest: &mut f64 = least.entry(alike).or_insert(f64::MAX);
            if cores >= *smallest || !self.place(task) {
                *smallest = smallest.min(cores);
                self.waiting.push(task);
            }
        }
    }

    pub fn timer_fired(&mut self, token: u64) {
        if token != 0 {
            let task = (token & 0xffff_ffff) as usize;
            if self.tasks[task].phase == Phase::Waiting && self.token(task) == token {
                self.waiting.retain(|&o| o != task);
                self.give_up(task);
            }
            return;
        }
        self.host.set_timer(TICK, 0);
        if self.now >= self.list_due {
            self.ask_for_list();
        }
        self.probe_round();
        self.serve_waiting();
    }

    fn token(&self, task: usize) -> u64 {
        (self.tasks[task].stamp & 0x3fff_ffff) << 32 | task as u64
    }

    fn probe_round(&mut self) {
        let every = self.probe_every();
        if every >= STALE || self.rule("permissions.probes") == 0.0 {
            return;
        }
        let mac = &self.mac;
        let since = |m: usize| {
            self.now - mac.probed_at[m].max(if self.probes_tell { mac.report_at[m] } else { mac.heard_at[m] })
        };
        let mut due: Vec<usize> = self.ready().filter(|&m| since(m) >= every).collect();
        if !self.probes_tell {
            let look = due.get(self.rule("myNumber") as usize % due.len().max(1)).copied();
            due.retain(|&m| !self.mac.held[m].is_empty());
            due.extend(look.filter(|m| self.asked == 0 && self.now >= self.blind_until && !due.contains(m)));
        }
        due.into_iter().for_each(|m| self.probe(m));
    }

    fn probe(&mut self, m: usize) {
        self.mac.probed_at[m] = self.now;
        self.asked += 1;
        self.host.probe(m);
    }

    /// Planners share the probes that a machine bears.
    fn probe_every(&self) -> i64 {
        (PROBE_EVERY as f64 * (self.rule("nInstances") / PROBERS).max(1.0)) as i64
    }

    pub fn probe_finished(&mut self, m: usize, outcome: AttemptOutcome, report: &[f64]) {
        self.know_machine(m);
        self.heard_end(m, outcome);
        if outcome == AttemptOutcome::Ended {
            self.read_report(m, report);
            self.probe_told(!report.is_empty());
        } else if outcome != AttemptOutcome::Full {
            self.mac.shun_until[m] = self.now + BARRED;
        }
        self.asked = self.asked.saturating_sub(1);
        if self.asked == 0 {
            self.serve_waiting();
        }
    }

    /// A probe was passed: the first that tells a report shows that all are worth their price, and one that
    /// tells none that they are not. Machines that have just started tell none yet: it is looked at again
    /// once this planner is twice as old, and then each time that a report would be good for.
    fn probe_told(&mut self, report: bool) {
        if report && !self.probes_tell {
            (self.probes_tell, self.blind_until) = (true, 0);
            self.probe_round();
        } else if !self.probes_tell {
            self.blind_until = self.now + (self.now - self.born_at).clamp(TICK, STALE);
        }
    }

    /// What only the machine itself can have said shows that it is there.
    fn heard_end(&mut self, m: usize, end: AttemptOutcome) {
        if matches!(end, AttemptOutcome::Ended | AttemptOutcome::Error | AttemptOutcome::Full) {
            self.mac.heard_at[m] = self.now;
        }
    }

    fn read_report(&mut self, m: usize, report: &[f64]) {
        let asked = self.asked(m);
        self.mac.asked_then[m] = asked;
        for (i, &value) in report.iter().enumerate() {
            match text(&self.given, &format!("stats.fields.{i}")) {
                "x0" => {
                    let used = (self.mac.cores[m] - value).max(0.0);
                    (self.mac.used_cores[m], self.mac.report_at[m]) = (used, self.now);
                    self.average.0.learn(used / self.mac.cores[m].max(1.0), 16.0);
                    if self.view && asked.0 > 0.1 * self.mac.cores[m] {
                        self.cores_use.learn(used / asked.0, 64.0);
                    }
                }
                "x1" => {
                    let used = (self.mac.memory[m] - value).max(0.0);
                    self.mac.used_memory[m] = used;
                    self.average.1.learn(used / self.mac.memory[m].max(1.0), 16.0);
                }
                _ => {}
            }
        }
    }

    /// C and B of a machine and the memory in use there: as reported, brought up to date by what the list
    /// shows as asked since, and own binds that neither can contain. Without a report that is not stale, what
    /// the list shows as asked times the share in use, or the average where it shows nothing.
    fn load(&self, m: usize, ratio: f64) -> Load {
        let mac = &self.mac;
        let (mut known, mut more, mut b, mut later) = (0.0, 0.0, 0.0, (0.0, 0.0));
        let told_at = if self.view { mac.view_at[m].max(mac.report_at[m]) } else { mac.report_at[m] };
        for t in self.own(m).filter(|t| t.sent_at >= mac.started[m]) {
            b += self.uses[t.service].variance;
            if t.ran_at > 0 && t.ran_at + LAG <= told_at {
                known += self.uses[t.service].mean;
            } else {
                more += self.uses[t.service].mean;
                later = (later.0 + t.cores, later.1 + t.memory);
            }
        }
        let fresh = mac.report_at[m] > 0 && self.now - mac.report_at[m] < STALE;
        let (mut used, mut memory) = (mac.used_cores[m], mac.used_memory[m]);
        if self.view {
            let (now, then) = (self.asked(m), mac.asked_then[m]);
            let from = if fresh { (used, memory, then) } else { (0.0, 0.0, (0.0, 0.0)) };
            used = (from.0 + self.cores_use.mean * (now.0 - from.2 .0)).max(0.0);
            memory = (from.1 + self.memory_use.mean * (now.1 - from.2 .1)).max(0.0);
        } else if !fresh && self.average.0.notes > 0.0 {
            (used, memory) = (self.average.0.mean * mac.cores[m], self.average.1.mean * mac.memory[m]);
        }
        (used + more, b + (used - known).max(0.0) * ratio, memory + later.1, later)
    }

    pub fn machine_estimate(&self, m: usize) -> MachineEstimate {
        let (c, b, used_memory, _) = self.load(m, self.spread_ratio());
        let mac = &self.mac;
        MachineEstimate {
            listed: mac.listed[m],
            cores: mac.cores[m],
            memory: mac.memory[m],
            c,
            b,
            ucac: c + D * b.sqrt(),
            used_memory,
            held: mac.held[m].len(),
            report_at: mac.report_at[m],
            cold_until: mac.cold_until[m],
            shun_until: mac.shun_until[m],
            may_launch: self.cold_budget_allows(m),
        }
    }

    /// Cores and memory asked of a machine, as the list shows it.
    fn asked(&self, m: usize) -> Resources {
        let mac = &self.mac;
        (mac.cores[m] - mac.view[m].0, mac.memory[m] - mac.view[m].1)
    }

    /// Every planner draws the same number for a service on a machine.
    fn draw_of(&self, s: usize, m: usize) -> u64 {
        let service = self.service_numbers.get(s).copied().unwrap_or(s as u64);
        let mixed = (service.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.mac.number[m])
            .wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed ^ mixed >> 31).wrapping_mul(0x94d0_49bb_1331_11eb) ^ mixed >> 29
    }

    /// How well a fitting machine suits: it is cold and, among many planners, this one's turn, while the
    /// fleet is pressed (mass losses, deploys); it is calm, for what crowding stops; few own tasks start
    /// there; it is one of those that the fleet's load is kept to; it has the program, as a start takes far
    /// longer without; it is near; it stays calm for others.
    fn suits(&self, m: usize, f: usize, s: usize, ucac: f64, kept: bool) -> u8 {
        let calm = |f: usize| self.frameworks[f].calm * self.mac.cores[m] >= ucac;
        let short = self.own(m).filter(|t| t.ran_at == 0).count() < LINE;
        let program = self.own(m).any(|t| t.service == s && t.sent_at >= self.mac.started[m]);
        let others = self.own(m).all(|t| calm(t.framework));
        let near = self.home_zone.is_none_or(|zone| zone == self.mac.place[m].1);
        let pressed = self.average.0.mean.max(self.average.1.mean) > PRESSED;
        let many = || self.rule("familyInfo.coldSends") < self.rule("nInstances");
        let turn = self.now < self.mac.cold_until[m] && pressed && many();
        let bears = self.frameworks[f].bears >= 0.0 || calm(f);
        let marks = [turn, bears, short, kept, program, near, calm(f), others];
        marks.iter().fold(0, |all, &mark| 2 * all + u8::from(mark))
    }

    /// The fullest machines that the load of all would fill to FILLED: it is kept to them, as each machine
    /// that holds a task has a price. Many planners can't keep up with a fleet and would all crowd the same
    /// few.
    fn kept(&self, loads: &[(usize, Load)]) -> Vec<bool> {
        if self.probe_every() >= STALE {
            return vec![true; self.mac.listed.len()];
        }
        let full = |&(m, (c, _, memory, _)): &(usize, Load)| {
            (m, c, memory, (c / self.mac.cores[m].max(1.0)).max(memory / self.mac.memory[m].max(1.0)))
        };
        let mut all: Vec<(usize, f64, f64, f64)> = loads.iter().map(full).collect();
        all.sort_by(|a, b| b.3.total_cmp(&a.3).then(a.0.cmp(&b.0)));
        let mut cores = all.iter().map(|x| x.1).sum::<f64>();
        let mut memory = all.iter().map(|x| x.2).sum::<f64>();
        let mut kept = vec![false; self.mac.listed.len()];
        for (m, ..) in all {
            kept[m] = cores > 0.0 || memory > 0.0;
            cores -= FILLED * self.mac.cores[m];
            memory -= FILLED * self.mac.memory[m];
        }
        kept
    }

    /// Own placed tasks on a machine that give way to a framework: of lower priority, and free to run again.
    fn movable(&self, m: usize, f: usize) -> Vec<usize> {
        let of = |o: usize| &self.frameworks[self.tasks[o].framework];
        let below = |o: usize| of(o).semantics == "retryable" && of(o).priority < self.frameworks[f].priority;
        let may = |&o: &usize| self.tasks[o].phase == Phase::Placed && below(o);
        self.mac.held[m].iter().copied().filter(may).collect()
    }

    /// Moves tasks, the largest first, until they free so many cores and memory units.
    fn relieve(&mut self, mut line: Vec<usize>, mut cores: f64, mut memory: f64) {
        let size = |o: usize| self.tasks[o].cores;
        line.sort_by(|&a, &b| size(b).total_cmp(&size(a)).then(a.cmp(&b)));
        for o in line {
            if cores <= 0.0 && memory <= 0.0 {
                return;
            }
            cores -= self.uses[self.tasks[o].service].mean;
            memory -= self.tasks[o].memory * self.memory_use.mean;
            self.tasks[o].phase = Phase::Over;
            self.host.evict(o);
        }
    }

    /// Mean variance-to-mean ratio of the known services.
    fn spread_ratio(&self) -> f64 {
        let known = || self.uses.iter().filter(|u| u.notes > 0.0 && u.mean > 0.0);
        known().map(|u| u.variance / u.mean).sum::<f64>() / known().count().max(1) as f64
    }

    /// Machines that the list shows as ready.
    fn ready(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.mac.listed.len()).filter(|&m| self.mac.listed[m])
    }

    /// Tasks with a launch on a machine that has no outcome yet.
    fn own(&self, m: usize) -> impl Iterator<Item = &Task> {
        self.mac.held[m].iter().map(|&o| &self.tasks[o])
    }

    fn rule(&self, name: &str) -> f64 {
        number(&self.given, name).unwrap_or(0.0)
    }

    fn know_machine(&mut self, m: usize) {
        let (mac, n) = (&mut self.mac, m + 1);
        if n <= mac.listed.len() {
            return;
        }
        mac.listed.resize(n, false);
        mac.place.resize(n, (0, 0, 0));
        mac.number.resize(n, m as u64);
        for rooms in [&mut mac.view, &mut mac.asked_then] {
            rooms.resize(n, (0.0, 0.0));
        }
        mac.held.resize(n, Vec::new());
        mac.sends.resize(n, Vec::new());
        let a = [&mut mac.started, &mut mac.report_at, &mut mac.view_at];
        let b = [&mut mac.cold_until, &mut mac.shun_until, &mut mac.probed_at, &mut mac.heard_at];
        a.into_iter().chain(b).for_each(|times| times.resize(n, 0));
        for figures in [&mut mac.cores, &mut mac.memory, &mut mac.used_cores, &mut mac.used_memory] {
            figures.resize(n, 0.0);
        }
    }
}
