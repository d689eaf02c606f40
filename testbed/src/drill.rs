//! A drill: planners as processes of their own, stand-ins for all else in this one, a scripted day of
//! trouble, and a verdict by the traffic on the sockets.
use crate::client::{self, ClientTotals, PlannerAddresses, SubmitPlan};
use crate::directory_scenario::{DirectoryScenario, NEWCOMER};
use crate::drill_config::DrillConfig;
use crate::fault_scenario::{self, FaultTargets, LoadModifiers, PlannerControl};
use crate::machine::{self, MachineBehaviour, TestbedContext};
use crate::process_harness::{ProcessHarness, SlotReport};
use crate::registry::{self, RegistryDelays};
use basaltpitch_agent::link::Clock;
use basaltpitch_agent::wire::Submit;
use basaltpitch_config::installation::Installation;
use basaltpitch_config::{PlainValue, ResolvedValue};
use basaltpitch_invariants::placement::{PlacementInvariant, PlacementRequirement, TaskSelector};
use basaltpitch_invariants::{
    Framework, InvariantChecker, InvariantConfig, Location, TrafficTotals, Violation,
};
use rand::{rngs::StdRng, Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::pin::Pin;
use std::process::Stdio;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::task::LocalSet;

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct DrillReport {
    pub seed: u64,
    pub machines: usize,
    pub planners: usize,
    pub wanted: u64,
    pub asked: u64,
    pub done: u64,
    pub lost: u64,
    pub given_up: u64,
    pub unplaced: u64,
    pub ran: u64,
    pub placed_ms: Percentiles,
    pub traffic: TrafficTotals,
    pub breaches: Vec<Violation>,
    /// Of a day with a directory: answers that rested on old knowledge, answers to a newcomer that were not
    /// "not allowed", and what was wrong.
    pub stale_answers: u64,
    pub newcomers: u64,
    pub tenant_faults: Vec<String>,
    /// Of a day with seats.
    pub seats: Option<SlotReport>,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
}

/// A line that `serve` prints once it listens.
#[derive(serde::Deserialize)]
struct Listening {
    listening: String,
    epoch: u64,
}

struct Process {
    child: RefCell<Option<Child>>,
    epoch: Cell<u64>,
}

struct Processes {
    how: Rc<DrillConfig>,
    register: String,
    zones: Vec<String>,
    world: Rc<TestbedContext>,
    front: PlannerAddresses,
    all: Vec<Process>,
    lives: Cell<u32>,
    /// Of a day with a directory: what planners read beside the files, and where they keep what outlives
    /// them.
    more: Option<(PathBuf, PathBuf)>,
}

impl Processes {
    async fn spawn(&self, p: usize) -> io::Result<()> {
        let mut command = Command::new(&self.how.binary);
        command.arg("serve").args(&self.how.files);
        let name = format!("planner-{p}");
        let number = p.to_string();
        command.args(["--name", &name, "--number", &number, "--zone", &self.zone(p)]);
        command.args(["--register", &self.register, "--listen", "127.0.0.1:0", "-o", "json"]);
        if let Some((settings, state)) = &self.more {
            command.arg(settings).arg("--state").arg(state);
        }
        if let Some(folder) = &self.how.record {
            self.lives.set(self.lives.get() + 1);
            command.arg("--record").arg(folder.join(format!("{name}-{}.recording", self.lives.get())));
        }
        let mut child = command.stdout(Stdio::piped()).stdin(Stdio::null()).kill_on_drop(true).spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        let mut lines = BufReader::new(out).lines();
        let first = tokio::time::timeout(Duration::from_secs(20), lines.next_line()).await;
        let first =
            first.map_err(|_| io::Error::other("planner did not start in 20 s"))??.unwrap_or_default();
        let started: Listening = serde_json::from_str(&first).map_err(|e| {
            io::Error::other(format!("planner said {first:?}; expected where it listens ({e})"))
        })?;
        self.front.borrow_mut()[p] = started.listening;
        self.all[p].epoch.set(started.epoch);
        *self.all[p].child.borrow_mut() = Some(child);
        Ok(())
    }
}

impl PlannerControl for Processes {
    fn count(&self) -> usize {
        self.all.len()
    }

    fn zone(&self, planner: usize) -> String {
        self.zones[planner % self.zones.len()].clone()
    }

    fn kill(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(async move {
            let child = self.all[planner].child.borrow_mut().take();
            if let Some(mut child) = child {
                let (now, epoch) = (self.world.clock.now(), self.all[planner].epoch.get());
                self.world.checker.borrow_mut().planner_killed(now, &format!("planner-{planner}"), epoch);
                let _ = child.kill().await;
            }
        })
    }

    fn start(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(async move {
            if let Err(e) = self.spawn(planner).await {
                tracing::error!(planner, error = %e, "a planner did not come back");
            }
        })
    }
}

fn terms(all: &ResolvedValue) -> InvariantConfig {
    let time = |path: &str| all.duration_us(path).unwrap_or(0);
    let framework = |f: &ResolvedValue| Framework {
        repeats: f.text("repeat").unwrap_or("").to_owned(),
        group: f.text("group").unwrap_or("all").to_owned(),
        window_us: f.duration_us("window").unwrap_or(0),
        spread: f.text("spread").unwrap_or("none").to_owned(),
        max_together: f.number("most").unwrap_or(1.0) as usize,
        priority_weight: f.number("value").unwrap_or(1.0),
        latency_objective_us: f.duration_us("goal").unwrap_or(0),
    };
    let named = |f: &ResolvedValue| (f.text("name").unwrap_or("").to_owned(), framework(f));
    InvariantConfig {
        answer_grace_us: time("rules.answer_grace"),
        drain_grace_us: time("rules.drain_grace"),
        warm_up_us: time("rules.cold"),
        offer_window_us: time("rules.cold_window"),
        max_offers: all.number("rules.cold_offers").unwrap_or(1.0) as usize,
        reorder_tolerance_us: 250_000,
        frameworks: all.list("frameworks").iter().map(named).collect(),
    }
}

fn manners(all: &ResolvedValue, day: &ResolvedValue) -> MachineBehaviour {
    let by_framework = |field: &str| -> HashMap<String, String> {
        let of = |f: &ResolvedValue| Some((f.text("name")?.to_owned(), f.text(field)?.to_owned()));
        all.list("frameworks").iter().filter_map(of).collect()
    };
    let priority = |f: &ResolvedValue| {
        (f.text("name").unwrap_or("").to_owned(), f.number("priority").unwrap_or(0.0) as i64)
    };
    let count = |path: &str| day.number(path).unwrap_or(1.0) as usize;
    MachineBehaviour {
        look_us: day.duration_us("look").unwrap_or(3_000),
        start_us: day.duration_us("start").unwrap_or(30_000),
        cold_start: day.number("cold_start").unwrap_or(8.0),
        starts: count("starts"),
        line: count("line"),
        keeps: count("keeps"),
        accept_cores: all.number("machines.accept_cores").unwrap_or(2.0),
        accept_memory: all.number("machines.accept_memory").unwrap_or(1.5),
        yes_when_running: all.text("machines.yes") == Some("running"),
        cold_us: all.duration_us("rules.cold").unwrap_or(0),
        cold_offers: all.number("rules.cold_offers").unwrap_or(1.0) as usize,
        cold_window: all.duration_us("rules.cold_window").unwrap_or(1),
        report_every: 200_000,
        kinds: by_framework("kind"),
        groups: by_framework("group"),
        priorities: all.list("frameworks").iter().map(priority).collect(),
        // A front knows how long a seat may stand without a planner: three terms, a try each 100 ms.
        front_tries: 8 + day.duration_us("seats.term").map_or(0, |term| 3 * term / 100_000) as u32,
        updater: day
            .get("updater")
            .map(|u| (u.duration_us("most").unwrap_or(0), u.duration_us("away").unwrap_or(0))),
    }
}

fn texts(of: &ResolvedValue, list: &str) -> Vec<String> {
    of.texts(list).into_iter().map(|x| x.0).collect()
}

/// The clauses that a drill judges, read anew from the records: hard ones, skews aside.
fn laws(all: &ResolvedValue) -> Vec<PlacementInvariant> {
    let whose = |s: Option<&ResolvedValue>| {
        let text = |f: &str| s.and_then(|s| s.text(f)).unwrap_or("").to_owned();
        let service = s.and_then(|s| s.number("service")).map(|n| n as u64);
        TaskSelector { framework: text("framework"), tenant: text("tenant"), service, task: text("task") }
    };
    let be = |w: &ResolvedValue, inside| {
        let list = |l: &str| texts(w, l);
        PlacementRequirement::Be {
            kinds: list("kinds"),
            halls: list("halls"),
            labels: list("labels"),
            inside,
        }
    };
    let law = |c: &ResolvedValue| {
        let near = |s: &ResolvedValue, f: &str| s.text(f).unwrap_or("hall").to_owned();
        let must = if let Some(w) = c.get("in") {
            be(w, true)
        } else if let Some(w) = c.get("not_in") {
            be(w, false)
        } else if let Some(s) = c.get("with") {
            PlacementRequirement::With { whose: whose(Some(s)), near: near(s, "within") }
        } else if let Some(s) = c.get("apart") {
            PlacementRequirement::Apart { whose: whose(Some(s)), near: near(s, "within") }
        } else {
            let s = c.get("spread")?;
            let by_service = s.text("by") != Some("all");
            PlacementRequirement::Most { near: near(s, "over"), by_service, most: s.number("most")? as usize }
        };
        let name = c.text("name").unwrap_or("").to_owned();
        Some(PlacementInvariant { name, of: whose(c.get("of")), must })
    };
    all.list("clauses").iter().filter(|c| c.text("how") != Some("prefer")).filter_map(law).collect()
}

/// The terms that an installation's text sets.
pub fn invariant_config_of(text: &str) -> InvariantConfig {
    let site = basaltpitch_config::installation::load_texts(&[("site.rec", text)]);
    terms(&site.map_err(|e| e.1).expect("an installation in order").all)
}

/// What the stand-ins of an installation share.
pub fn context(installation: &Installation, load: Rc<LoadModifiers>) -> Rc<TestbedContext> {
    let all = &installation.all;
    Rc::new(TestbedContext {
        clock: Clock::start(),
        checker: RefCell::new(InvariantChecker::new(terms(all))),
        behaviour: manners(all, all.get("day").unwrap_or(all)),
        standing: RefCell::new(HashMap::new()),
        uses: RefCell::new(fault_scenario::uses(installation, load)),
        directory: RefCell::new(None),
    })
}

/// A stand-in that panicked proves nothing any more: the drill fails.
static PANICKED: AtomicBool = AtomicBool::new(false);

/// Runs a drill to its end.
pub fn run(how: DrillConfig) -> io::Result<DrillReport> {
    std::panic::set_hook(Box::new(|info| {
        PANICKED.store(true, Ordering::Relaxed);
        eprintln!("a stand-in failed: {info}");
    }));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, play(how))
}

async fn play(how: DrillConfig) -> io::Result<DrillReport> {
    let all = how.installation.all.clone();
    let Some(day) = all.get("day").cloned() else { return Err(io::Error::other("the files hold no day")) };
    let seed = how.seed.unwrap_or(day.number("seed").unwrap_or(1.0) as u64);
    let mut chance = StdRng::seed_from_u64(seed);
    let load = Rc::new(LoadModifiers::default());
    let world = context(&how.installation, load.clone());
    world.checker.borrow_mut().set_placement_invariants(laws(&all));
    let fleet = start_fleet(&all, &day, &world, &mut chance).await?;
    let time = |path: &str| day.duration_us(path).unwrap_or(0);
    let late = RegistryDelays {
        notice_us: time("notice"),
        silent_notice_us: time("silent_notice"),
        period_us: time("period"),
    };
    let register = registry::start(world.clone(), fleet.clone(), late).await?;
    let planners = all.number("planners").unwrap_or(1.0) as usize;
    let owners = day.number("owners").unwrap_or(1.0) as u64;
    let feast = DirectoryScenario::start(&day, owners, world.clock.now()).await?;
    let folder = std::env::temp_dir().join(format!("basaltpitch-drill-{}", std::process::id()));
    let mut more = None;
    if let Some(feast) = &feast {
        std::fs::create_dir_all(&folder)?;
        more = Some((feast.file(&day, &folder)?, folder.join("state")));
        *world.directory.borrow_mut() = Some(feast.clone());
    }
    let _gone = Gone(folder.clone());
    let front: PlannerAddresses = Rc::new(RefCell::new(vec![String::new(); planners]));
    let how = Rc::new(how);
    let rig = match day.get("seats") {
        Some(_) => {
            std::fs::create_dir_all(&folder)?;
            let (front, register) = (front.clone(), &register.address);
            Some(ProcessHarness::new(how.clone(), &day, world.clone(), front, register, &folder).await?)
        }
        None => None,
    };
    let processes = Rc::new(Processes {
        register: register.address.clone(),
        zones: how.installation.names("zones"),
        world: world.clone(),
        front: front.clone(),
        all: (0..planners).map(|_| Process { child: RefCell::new(None), epoch: Cell::new(0) }).collect(),
        lives: Cell::new(0),
        more,
        how,
    });
    if let Some(rig) = &rig {
        rig.begin().await?;
    } else {
        for p in 0..planners {
            processes.spawn(p).await?;
        }
    }
    // The day begins once every planner has a link to every machine.
    let linked = |m: &Rc<machine::SimulatedMachine>| m.conns.get() >= planners as u64;
    for _ in 0..200 {
        let heard = feast.as_ref().is_none_or(|f| f.servers[0].searches.get() >= planners as u32);
        if heard && fleet.iter().all(linked) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let seens = Rc::new(RefCell::new(ClientTotals::default()));
    let settle_us = all.duration_us("rules.settle").unwrap_or(3_000_000);
    let own = |n: u64, login: &str| {
        client::start(world.clone(), login, front.clone(), seens.clone(), n, seed ^ n, settle_us)
    };
    let newcomer = feast.as_ref().map(|_| own(owners, NEWCOMER));
    let owners: Vec<_> = (0..owners).map(|n| own(n, &format!("owner-{n}"))).collect();
    let stage = Rc::new(FaultTargets {
        world: world.clone(),
        fleet: fleet.clone(),
        register,
        load: load.clone(),
        planners: match &rig {
            Some(rig) => rig.clone(),
            None => processes.clone(),
        },
        tenants: processes.how.installation.names("tenants"),
    });
    for (i, trouble) in fault_scenario::troubles(&day).into_iter().enumerate() {
        tokio::task::spawn_local(stage.clone().play(trouble, seed.wrapping_mul(1000) + i as u64));
    }
    let wanted = ask_all(&all, &day, &load, &owners, newcomer.as_ref(), &mut chance).await;
    tokio::time::sleep(Duration::from_micros(time("settle") as u64)).await;
    let now = world.clock.now();
    for p in 0..planners {
        let child = processes.all[p].child.borrow_mut().take();
        if let Some(mut child) = child {
            if let Ok(Some(status)) = child.try_wait() {
                return Err(io::Error::other(format!("planner-{p} ended by itself: {status}")));
            }
            let _ = child.kill().await;
        }
    }
    let seats = match &rig {
        Some(rig) => Some(rig.finish().await),
        None => None,
    };
    if PANICKED.load(Ordering::Relaxed) {
        return Err(io::Error::other("a stand-in failed, so the day proves nothing"));
    }
    let ran = fleet.iter().map(|m| m.ran.get()).sum();
    let checker = world.checker.replace(InvariantChecker::new(terms(&all)));
    let (breaches, traffic) = checker.finish(now);
    let seens = seens.borrow();
    let ms = |q: f64| seens.placed_us.value_at_quantile(q) as f64 / 1000.0;
    Ok(DrillReport {
        seed,
        machines: fleet.len(),
        planners,
        wanted,
        asked: seens.asked,
        done: seens.done,
        lost: seens.lost,
        given_up: seens.given_up,
        unplaced: seens.unplaced,
        ran,
        placed_ms: Percentiles { p50: ms(0.5), p99: ms(0.99), p999: ms(0.999) },
        traffic,
        breaches,
        stale_answers: feast.as_ref().map_or(0, |f| f.stale.get()),
        newcomers: feast.as_ref().map_or(0, |f| f.newcomers.get()),
        tenant_faults: feast.map_or(Vec::new(), |f| f.finish()),
        seats,
    })
}

/// Takes a folder away at the end.
struct Gone(PathBuf);

impl Drop for Gone {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn size_of(all: &ResolvedValue, kind: &str) -> (f64, f64) {
    let sized = all.list("kinds").iter().find(|k| k.text("name") == Some(kind));
    sized.map_or((1.0, 1.0), |k| (k.number("cores").unwrap_or(1.0), k.number("memory").unwrap_or(1.0)))
}

/// Stand-in machines of one kind in one zone.
pub async fn start_machines(
    all: &ResolvedValue,
    world: &Rc<TestbedContext>,
    kind: &str,
    zone: &str,
    count: usize,
) -> io::Result<Vec<Rc<machine::SimulatedMachine>>> {
    let mut fleet = Vec::new();
    for i in 0..count {
        let place = (zone.to_owned(), i as u32 / 4);
        let name = format!("machine-{i}");
        fleet.push(
            machine::start(world.clone(), name, place, kind.to_owned(), size_of(all, kind), i as u64).await?,
        );
    }
    Ok(fleet)
}

async fn start_fleet(
    all: &ResolvedValue,
    day: &ResolvedValue,
    world: &Rc<TestbedContext>,
    chance: &mut StdRng,
) -> io::Result<Vec<Rc<machine::SimulatedMachine>>> {
    let mut fleet = Vec::new();
    let cell_of = day.number("cell").unwrap_or(4.0) as usize;
    let mut cells: HashMap<String, u32> = HashMap::new();
    let mut next_cell = 0;
    for group in day.list("machines") {
        let (kind, zone) = (group.text("kind").unwrap_or(""), group.text("zone").unwrap_or(""));
        let size = size_of(all, kind);
        for i in 0..group.number("count").unwrap_or(1.0) as usize {
            if i % cell_of == 0 {
                next_cell += 1;
                cells.insert(zone.to_owned(), next_cell);
            }
            let place = (zone.to_owned(), cells[zone]);
            let name = format!("machine-{}", fleet.len());
            let labels = texts(group, "labels");
            let spot = Location { zone: zone.to_owned(), cell: place.1, kind: kind.to_owned(), labels };
            world.checker.borrow_mut().set_location(&name, spot);
            let seed = chance.random();
            let machine = machine::start(world.clone(), name, place, kind.to_owned(), size, seed).await?;
            *machine.labels.borrow_mut() = texts(group, "labels");
            fleet.push(machine);
        }
    }
    Ok(fleet)
}

/// Asks for tasks by the clock, until the day's length is over: arrivals do not wait for answers.
async fn ask_all(
    all: &ResolvedValue,
    day: &ResolvedValue,
    load: &LoadModifiers,
    owners: &[tokio::sync::mpsc::Sender<SubmitPlan>],
    newcomer: Option<&tokio::sync::mpsc::Sender<SubmitPlan>>,
    chance: &mut StdRng,
) -> u64 {
    let number = |s: &ResolvedValue| match s.value {
        PlainValue::Number(n) => n,
        _ => 0.0,
    };
    let sources = day.list("tasks");
    let start = tokio::time::Instant::now();
    let length = day.duration_us("length").unwrap_or(0) as f64 / 1e6;
    let rate = |t: &ResolvedValue| {
        let burst = if load.burst.get() > 0.0 { load.burst.get() } else { 1.0 };
        let tenant = load.tenant.borrow();
        let of_tenant =
            tenant.as_ref().filter(|x| t.text("tenant") == Some(x.0.as_str())).map_or(1.0, |x| x.1);
        t.number("per_s").unwrap_or(1.0) * burst * of_tenant
    };
    let gap = |t: &ResolvedValue, chance: &mut StdRng| Exp::new(rate(t)).map_or(1.0, |e| e.sample(chance));
    let mut next: Vec<f64> = sources.iter().map(|t| gap(t, chance)).collect();
    let mut wanted = 0;
    let soonest = |next: &[f64]| next.iter().copied().enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
    while let Some((i, at)) = soonest(&next).filter(|x| x.1 < length) {
        tokio::time::sleep_until(start + Duration::from_secs_f64(at)).await;
        let t = &sources[i];
        next[i] = at + gap(t, chance);
        wanted += 1;
        let framework = t.text("framework").unwrap_or("");
        let of = all.list("frameworks").iter().find(|f| f.text("name") == Some(framework));
        let limit_us = of.and_then(|f| f.duration_us("limit")).unwrap_or(1_000_000);
        let repeatable = of.and_then(|f| f.text("repeat")) == Some("repeatable");
        let size = chance.random_range(0..t.list("cores").len());
        let submit = Submit {
            key: format!("{framework}/{i}/{wanted}"),
            ask: 0,
            framework: framework.to_owned(),
            tenant: t.text("tenant").unwrap_or("").to_owned(),
            service: (i as u64) * 1000 + chance.random_range(0..t.number("services").unwrap_or(1.0) as u64),
            cores: number(&t.list("cores")[size]),
            memory: number(&t.list("memory")[size]),
            runs_for_us: t.duration_us("runs").unwrap_or(1_000_000),
            time_left_us: 0,
        };
        let tries = day.number("tries").unwrap_or(3.0) as u32;
        let tenant = submit.tenant.clone();
        let wish = SubmitPlan { submit, tenant, limit_us, repeatable, tries };
        let owner = &owners[chance.random_range(0..owners.len())];
        // One task in twenty is the newcomer's.
        let owner = newcomer.filter(|_| wanted % 20 == 0).unwrap_or(owner);
        let _ = owner.try_send(wish);
    }
    wanted
}
