//! A scripted day of trouble: what is asked for, and what goes wrong when.
use crate::faulty_link::bit_of;
use crate::machine::{MachineCommand, SimulatedMachine, TestbedContext};
use crate::registry::SimulatedRegistry;
use basaltpitch_config::installation::Installation;
use basaltpitch_config::ResolvedValue;
use rand::seq::SliceRandom;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct ScheduledFault {
    pub what: String,
    pub at_us: i64,
    pub for_us: i64,
    pub part: f64,
    pub zone: Option<String>,
    pub machine: Option<String>,
    pub size: f64,
}

/// The troubles of a day, in the order of the file; one that comes several times, each time.
pub fn troubles(day: &ResolvedValue) -> Vec<ScheduledFault> {
    let one = |t: &ResolvedValue| ScheduledFault {
        what: t.text("what").unwrap_or("").to_owned(),
        at_us: t.duration_us("at").unwrap_or(0),
        for_us: t.duration_us("for").unwrap_or(0),
        part: t.number("part").unwrap_or(0.2),
        zone: t.text("zone").map(str::to_owned),
        machine: t.text("machine").map(str::to_owned),
        size: t.number("size").unwrap_or(2.0),
    };
    let of = |t: &ResolvedValue| {
        let (times, every) = (t.number("times").unwrap_or(1.0) as i64, t.duration_us("every").unwrap_or(0));
        let first = one(t);
        (0..times).map(move |n| ScheduledFault { at_us: first.at_us + n * every, ..first.clone() })
    };
    day.list("troubles").iter().flat_map(of).collect()
}

/// A drawn part of all, one at least.
pub(crate) fn drawn<T>(mut all: Vec<T>, part: f64, chance: &mut StdRng) -> Vec<T> {
    all.shuffle(chance);
    all.truncate(((part * all.len() as f64).ceil() as usize).max(1));
    all
}

/// DrillConfig the load is bent by troubles.
#[derive(Default)]
pub struct LoadModifiers {
    pub burst: Cell<f64>,
    pub tenant: RefCell<Option<(String, f64)>>,
    pub hot: RefCell<HashSet<u64>>,
    /// Share of tasks that use so many times more.
    pub heavy: Cell<(f64, f64)>,
}

/// PlannerControl as processes that can be killed and come back.
pub trait PlannerControl {
    fn count(&self) -> usize;
    /// The zone that a planner is in.
    fn zone(&self, planner: usize) -> String;
    fn kill(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>>;
    fn start(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>>;
    /// Whether all planners say that this zone is lost.
    fn say_lost<'a>(&'a self, _zone: &'a str) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(async { true })
    }
    fn wrong(&self, _what: String) {}
    /// Plays a trouble that only planners and voters have; false where it is none of theirs.
    fn strikes<'a>(
        &'a self,
        _t: &'a ScheduledFault,
        _chance: &'a mut StdRng,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(async { false })
    }
}

/// All that a trouble can strike.
pub struct FaultTargets {
    pub world: Rc<TestbedContext>,
    pub fleet: Vec<Rc<SimulatedMachine>>,
    pub register: Rc<SimulatedRegistry>,
    pub load: Rc<LoadModifiers>,
    pub planners: Rc<dyn PlannerControl>,
    pub tenants: Vec<String>,
}

impl FaultTargets {
    /// Machines that a trouble strikes: the named one, those of a zone, or a drawn part of all.
    fn struck(&self, t: &ScheduledFault, chance: &mut StdRng) -> Vec<Rc<SimulatedMachine>> {
        let right = |m: &&Rc<SimulatedMachine>| {
            t.machine.as_ref().is_none_or(|n| *n == m.name) && t.zone.as_ref().is_none_or(|z| *z == m.zone)
        };
        let mut all: Vec<Rc<SimulatedMachine>> = self.fleet.iter().filter(right).cloned().collect();
        if t.machine.is_none() {
            all = drawn(all, t.part, chance);
        }
        all
    }

    /// Plays one trouble from its start to its end.
    pub async fn play(self: Rc<Self>, t: ScheduledFault, seed: u64) {
        let mut chance = StdRng::seed_from_u64(seed);
        tokio::time::sleep(Duration::from_micros(t.at_us as u64)).await;
        let last = Duration::from_micros(t.for_us as u64);
        let until = self.world.clock.now() + t.for_us;
        let struck = self.struck(&t, &mut chance);
        let names: Vec<&str> = struck.iter().map(|m| m.name.as_str()).collect();
        tracing::info!(trouble = t.what, machines = names.join(" "), "begins");
        match t.what.as_str() {
            "ageing" => {
                for step in 1..=10 {
                    struck.iter().for_each(|m| m.leaked.set(0.05 * f64::from(step) * t.size.min(2.0)));
                    tokio::time::sleep(last / 10).await;
                }
                struck.iter().for_each(|m| m.tell(MachineCommand::Restart));
            }
            "balancer_crash" | "planner_kill" => {
                let n = if t.what == "planner_kill" {
                    1.0
                } else {
                    (t.part * self.planners.count() as f64).ceil()
                };
                let first = chance.random_range(0..self.planners.count());
                let dead: Vec<usize> = (0..n as usize).map(|i| (first + i) % self.planners.count()).collect();
                for &p in &dead {
                    self.planners.kill(p).await;
                }
                tokio::time::sleep(last).await;
                for &p in &dead {
                    self.planners.start(p).await;
                }
            }
            "burst" => {
                self.load.burst.set(t.size);
                tokio::time::sleep(last).await;
                self.load.burst.set(0.0);
            }
            "tenant_burst" => {
                let tenant = self.tenants.first().cloned().unwrap_or_default();
                *self.load.tenant.borrow_mut() = Some((tenant, t.size));
                tokio::time::sleep(last).await;
                *self.load.tenant.borrow_mut() = None;
            }
            "hot_key" => {
                *self.load.hot.borrow_mut() = (0..64).filter(|_| chance.random_bool(t.part)).collect();
                tokio::time::sleep(last).await;
                self.load.hot.borrow_mut().clear();
            }
            "heavy_tail" => {
                self.load.heavy.set((t.part, t.size));
                tokio::time::sleep(last).await;
                self.load.heavy.set((0.0, 1.0));
            }
            "crash" => {
                struck.iter().for_each(|m| m.tell(MachineCommand::Down));
                tokio::time::sleep(last).await;
                struck.iter().for_each(|m| m.tell(MachineCommand::Up));
            }
            "hall_lost" => {
                let zone = t.zone.clone().unwrap_or_else(|| self.fleet[0].zone.clone());
                let hall: Vec<&Rc<SimulatedMachine>> = self.fleet.iter().filter(|m| m.zone == zone).collect();
                hall.iter().for_each(|m| m.tell(MachineCommand::Down));
                tokio::time::sleep(last).await;
                // On a slow machine it takes longer until all know; back before that, it was never lost.
                let mut tries = 0;
                while !self.planners.say_lost(&zone).await && tries < 300 {
                    tries += 1;
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
                if tries == 300 {
                    self.planners.wrong(format!("{zone}: not said to be lost by all planners"));
                }
                let now = self.world.clock.now();
                self.world.checker.borrow_mut().zone_recovered(now, &zone);
                hall.iter().for_each(|m| m.tell(MachineCommand::Up));
            }
            "vanish" => {
                struck.iter().for_each(|m| {
                    m.vanished.set(true);
                    m.knobs.held_until.set(until);
                });
                tokio::time::sleep(last).await;
                struck.iter().for_each(|m| {
                    m.tell(MachineCommand::Restart);
                    m.vanished.set(false);
                });
            }
            "mass_restart" => struck.iter().for_each(|m| m.tell(MachineCommand::Restart)),
            "restart" => {
                // The links of before stay open and say nothing: they still look alive.
                struck.iter().for_each(|m| {
                    m.knobs.dead_up_to.set(m.conns.get());
                    m.tell(MachineCommand::Restart);
                });
                tokio::time::sleep(last).await;
            }
            "half_open" => struck.iter().for_each(|m| m.knobs.dead_up_to.set(m.conns.get())),
            "deploy" => {
                let waves = (1.0 / t.part).ceil().max(1.0) as usize;
                let mut all: Vec<Rc<SimulatedMachine>> = self.fleet.clone();
                all.shuffle(&mut chance);
                for wave in all.chunks(all.len().div_ceil(waves)) {
                    wave.iter().for_each(|m| m.tell(MachineCommand::Drain(true)));
                    tokio::time::sleep(last / waves as u32).await;
                    wave.iter().for_each(|m| {
                        m.tell(MachineCommand::SendAway);
                        m.tell(MachineCommand::Restart);
                    });
                }
            }
            "drain" => {
                struck.iter().for_each(|m| m.tell(MachineCommand::Drain(true)));
                tokio::time::sleep(last).await;
                struck.iter().for_each(|m| m.tell(MachineCommand::Drain(false)));
            }
            "drain_offline" => {
                struck.iter().for_each(|m| {
                    m.knobs.held_until.set(until);
                    m.tell(MachineCommand::Drain(true));
                });
                tokio::time::sleep(2 * last).await;
                struck.iter().for_each(|m| m.tell(MachineCommand::Drain(false)));
            }
            "fast_errors" => {
                struck.iter().for_each(|m| m.fails.set(t.size.min(1.0)));
                tokio::time::sleep(last).await;
                struck.iter().for_each(|m| m.fails.set(0.0));
            }
            "flush" => struck.iter().for_each(|m| m.tell(MachineCommand::Flush)),
            "preempt" => struck.iter().for_each(|m| m.tell(MachineCommand::PushOut(t.size.min(1.0)))),
            "report_late" => {
                struck.iter().for_each(|m| m.late_reports_us.set((t.size * 1e6) as i64));
                tokio::time::sleep(last).await;
                struck.iter().for_each(|m| m.late_reports_us.set(0));
            }
            "discovery_stale" => {
                self.register.stale_us.set((t.size * 1e6) as i64);
                tokio::time::sleep(last).await;
                self.register.stale_us.set(0);
            }
            "zone_cut" => {
                let zone = t.zone.clone().unwrap_or_else(|| self.fleet[0].zone.clone());
                for m in &self.fleet {
                    let far = |p: &usize| (self.planners.zone(*p) == zone) != (m.zone == zone);
                    let bits = (0..self.planners.count()).filter(far).map(|p| bit_of(&p.to_string()));
                    m.knobs.held_for.set(bits.fold(0, |a, b| a | b));
                    m.knobs.held_until.set(if m.knobs.held_for.get() == 0 { 0 } else { until });
                }
                tokio::time::sleep(last).await;
                self.fleet.iter().for_each(|m| m.knobs.held_for.set(0));
            }
            "stall" => struck.iter().for_each(|m| m.knobs.held_until.set(until)),
            "heartbeats" => struck.iter().for_each(|m| m.knobs.no_beats_until.set(until)),
            "reads_nothing" => struck.iter().for_each(|m| m.knobs.deaf_until.set(until)),
            "cut_frames" => {
                for _ in 0..5 {
                    struck.iter().for_each(|m| m.knobs.cut_after.set(Some(chance.random_range(0..30))));
                    tokio::time::sleep(last / 5).await;
                }
                struck.iter().for_each(|m| m.knobs.cut_after.set(None));
            }
            "reconnects" => {
                for _ in 0..5 {
                    struck.iter().for_each(|m| m.knobs.ends.set(m.knobs.ends.get() + 1));
                    tokio::time::sleep(last / 5).await;
                }
            }
            _ if self.planners.strikes(&t, &mut chance).await => {}
            what => {
                let feast = self.world.directory.borrow().clone();
                if let Some(feast) = feast {
                    feast.play(what, last, &self.world).await;
                }
            }
        }
        tracing::info!(trouble = t.what, "its cause is over");
    }
}

/// What a task uses: the usual share of its ask, with the day's troubles laid over it.
pub fn uses(installation: &Installation, load: Rc<LoadModifiers>) -> crate::machine::TaskUsage {
    let day = installation.all.get("day").cloned();
    let tasks: Vec<(String, f64)> = day
        .iter()
        .flat_map(|d| d.list("tasks"))
        .map(|t| (t.text("framework").unwrap_or("").to_owned(), t.number("uses").unwrap_or(0.5)))
        .collect();
    let chance = RefCell::new(StdRng::seed_from_u64(11));
    Box::new(move |l| {
        let mut chance = chance.borrow_mut();
        let share = tasks.iter().find(|t| t.0 == l.framework).map_or(0.5, |t| t.1);
        let mut share = share * chance.random_range(0.8..1.2);
        if load.hot.borrow().contains(&(l.service % 64)) {
            share = 1.0;
        }
        let (part, times) = load.heavy.get();
        if part > 0.0 && chance.random_bool(part.min(1.0)) {
            share *= times;
        }
        if load.burst.get() > 0.0 {
            share *= 1.2;
        }
        let runs = (l.runs_for_us as f64 * chance.random_range(0.5..1.5)) as i64;
        (l.cores * share, l.memory * (0.2 + share).min(1.6), runs.max(1000))
    })
}
