//! Runs a drill: planners are started as processes of their own, all other peers are simulated in
//! this process, and a fault scenario is played. The report is based on the traffic on the sockets.
mod arrivals;
mod fleet;
mod planners;
mod report;

use self::arrivals::{submit_all, Clients};
use self::fleet::start_fleet;
use self::planners::{DirectoryFiles, PlannerProcesses, PlannerSetup};
use crate::client::{self, ClientSetup, ClientTotals, PlannerAddresses};
use crate::context::TestbedContext;
use crate::directory_scenario::{DirectoryScenario, NEWCOMER};
use crate::drill_config::DrillConfig;
use crate::fault_scenario::{self, FaultTargets, LoadModifiers, PlannerControl};
use crate::machine::SimulatedMachine;
use crate::process_harness::{HarnessSetup, ProcessHarness, SlotReport};
use crate::registry::{self, RegistryDelays, SimulatedRegistry};
use crate::settings::{context, invariant_config, placement_invariants};
use basaltpitch_config::ResolvedValue;
use basaltpitch_invariants::InvariantChecker;
use rand::{rngs::StdRng, SeedableRng};
use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::LocalSet;

pub use self::fleet::start_machines;
pub use self::report::{DrillReport, Percentiles};

/// Set when a simulated peer panics. The drill then fails, as its checks prove nothing any more.
static PANICKED: AtomicBool = AtomicBool::new(false);

/// Runs a drill to its end.
///
/// # Errors
///
/// Fails if the files have no fault scenario, a process or socket cannot be started, a planner
/// exits by itself, or a simulated peer panics.
pub fn run(config: DrillConfig) -> io::Result<DrillReport> {
    std::panic::set_hook(Box::new(|info| {
        PANICKED.store(true, Ordering::Relaxed);
        eprintln!("a simulated peer panicked: {info}");
    }));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, play(config))
}

/// Starts all peers, submits the scenario's tasks while the faults play, and returns the report.
async fn play(config: DrillConfig) -> io::Result<DrillReport> {
    let Some(scenario) = config.installation.all.get("day").cloned() else {
        return Err(io::Error::other("found no fault scenario in the files; expected the setting `day`"));
    };
    let seed = config.seed.unwrap_or(scenario.number("seed").unwrap_or(1.0) as u64);
    let mut rng = StdRng::seed_from_u64(seed);
    let drill = Drill::start(config, scenario, seed, &mut rng).await?;
    let totals = Rc::new(RefCell::new(ClientTotals::default()));
    let clients = drill.start_clients(&totals);
    drill.start_faults();
    let (all, scenario) = (&drill.config.installation.all, &drill.scenario);
    let tasks = submit_all(all, scenario, &drill.load, &clients, &mut rng).await;
    tokio::time::sleep(Duration::from_micros(scenario.duration_us("settle").unwrap_or(0) as u64)).await;
    let now_us = drill.context.clock.now();
    let slots = drill.stop().await?;
    if PANICKED.load(Ordering::Relaxed) {
        return Err(io::Error::other("a simulated peer panicked, so the drill's checks prove nothing"));
    }
    let totals = totals.borrow();
    Ok(drill.report(tasks, &totals, slots, now_us))
}

/// The planner processes of a drill.
enum PlannerBackend {
    /// Planners with fixed numbers, without voters.
    Fixed(Rc<PlannerProcesses>),
    /// Planners that hold slots by leases, with voters and spare planners.
    Slots(Rc<ProcessHarness>),
}

/// All peers of a running drill.
struct Drill {
    seed: u64,
    config: Rc<DrillConfig>,
    scenario: ResolvedValue,
    load: Rc<LoadModifiers>,
    context: Rc<TestbedContext>,
    fleet: Vec<Rc<SimulatedMachine>>,
    registry: Rc<SimulatedRegistry>,
    directory: Option<Rc<DirectoryScenario>>,
    addresses: PlannerAddresses,
    planners: PlannerBackend,
    /// Folder of the drill's files; dropped, and so removed, with the drill.
    _folder: TemporaryFolder,
}

impl Drill {
    /// Starts all peers, and waits up to 10 seconds until every planner has a link to every
    /// machine.
    async fn start(
        config: DrillConfig,
        scenario: ResolvedValue,
        seed: u64,
        rng: &mut StdRng,
    ) -> io::Result<Drill> {
        let all = config.installation.all.clone();
        let load = Rc::new(LoadModifiers::default());
        let context = context(&config.installation, load.clone());
        context.checker.borrow_mut().set_placement_invariants(placement_invariants(&all));
        let fleet = start_fleet(&all, &scenario, &context, rng).await?;
        let time = |path: &str| scenario.duration_us(path).unwrap_or(0);
        let delays = RegistryDelays {
            notice_us: time("notice"),
            silent_notice_us: time("silent_notice"),
            period_us: time("period"),
        };
        let registry = registry::start(context.clone(), fleet.clone(), delays).await?;
        let count = all.number("planners").unwrap_or(1.0) as usize;
        let directory =
            DirectoryScenario::start(&scenario, client_count(&scenario), context.clock.now()).await?;
        let folder = std::env::temp_dir().join(format!("basaltpitch-drill-{}", std::process::id()));
        if let Some(directory) = &directory {
            std::fs::create_dir_all(&folder)?;
            *context.directory.borrow_mut() = Some(directory.clone());
        }
        let removed_at_end = TemporaryFolder(folder.clone());
        let addresses: PlannerAddresses = Rc::new(RefCell::new(vec![String::new(); count]));
        let config = Rc::new(config);
        let setup = HarnessSetup {
            config: config.clone(),
            context: context.clone(),
            addresses: addresses.clone(),
            registry: registry.address.clone(),
            folder,
        };
        let planners = start_planners(setup, &scenario, directory.as_deref()).await?;
        let drill = Drill {
            seed,
            config,
            scenario,
            load,
            context,
            fleet,
            registry,
            directory,
            addresses,
            planners,
            _folder: removed_at_end,
        };
        drill.wait_for_links(count).await;
        Ok(drill)
    }

    /// Waits up to 10 seconds until every planner has links to all machines and has searched the
    /// directory, if there is one.
    async fn wait_for_links(&self, planners: usize) {
        let linked = |machine: &Rc<SimulatedMachine>| machine.connections.get() >= planners as u64;
        for _ in 0..200 {
            let synced = self
                .directory
                .as_ref()
                .is_none_or(|directory| directory.servers[0].searches.get() >= planners as u32);
            if synced && self.fleet.iter().all(linked) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Starts the scenario's clients; with a directory, also the client that joins the tenants
    /// during an outage.
    fn start_clients(&self, totals: &Rc<RefCell<ClientTotals>>) -> Clients {
        let settle_us = self.config.installation.all.duration_us("rules.settle").unwrap_or(3_000_000);
        let start = |number: u64, login: &str| {
            client::start(ClientSetup {
                context: self.context.clone(),
                login: login.to_owned(),
                addresses: self.addresses.clone(),
                totals: totals.clone(),
                number,
                seed: self.seed ^ number,
                settle_us,
            })
        };
        let count = client_count(&self.scenario);
        let newcomer = self.directory.as_ref().map(|_| start(count, NEWCOMER));
        let usual = (0..count).map(|number| start(number, &format!("owner-{number}"))).collect();
        Clients { usual, newcomer }
    }

    /// Schedules all faults of the scenario.
    fn start_faults(&self) {
        let targets = Rc::new(FaultTargets {
            context: self.context.clone(),
            fleet: self.fleet.clone(),
            registry: self.registry.clone(),
            load: self.load.clone(),
            planners: match &self.planners {
                PlannerBackend::Fixed(processes) => processes.clone() as Rc<dyn PlannerControl>,
                PlannerBackend::Slots(harness) => harness.clone(),
            },
            tenants: self.config.installation.names("tenants"),
        });
        for (index, fault) in fault_scenario::faults(&self.scenario).into_iter().enumerate() {
            let seed = self.seed.wrapping_mul(1000) + index as u64;
            tokio::task::spawn_local(targets.clone().play(fault, seed));
        }
    }

    /// Stops all planner processes, and the voters if the scenario has slots; then returns the
    /// report on slots.
    async fn stop(&self) -> io::Result<Option<SlotReport>> {
        match &self.planners {
            PlannerBackend::Fixed(processes) => processes.stop().await.map(|()| None),
            PlannerBackend::Slots(harness) => Ok(Some(harness.finish().await)),
        }
    }

    /// Returns the drill's report from the counts of clients, machines and the checker.
    fn report(
        self,
        tasks: u64,
        totals: &ClientTotals,
        slots: Option<SlotReport>,
        now_us: i64,
    ) -> DrillReport {
        let all = &self.config.installation.all;
        let checker = self.context.checker.replace(InvariantChecker::new(invariant_config(all)));
        let (violations, traffic) = checker.finish(now_us);
        let ms = |quantile: f64| totals.placed_us.value_at_quantile(quantile) as f64 / 1000.0;
        DrillReport {
            seed: self.seed,
            machines: self.fleet.len(),
            planners: self.addresses.borrow().len(),
            tasks,
            submitted: totals.submitted,
            completed: totals.completed,
            lost: totals.lost,
            given_up: totals.given_up,
            unplaced: totals.unplaced,
            ran: self.fleet.iter().map(|machine| machine.ran.get()).sum(),
            placed_ms: Percentiles { p50: ms(0.5), p99: ms(0.99), p999: ms(0.999) },
            traffic,
            violations,
            stale_answers: self.directory.as_ref().map_or(0, |directory| directory.stale_answers.get()),
            newcomer_answers: self.directory.as_ref().map_or(0, |directory| directory.newcomer_answers.get()),
            tenant_errors: self.directory.as_ref().map_or(Vec::new(), |directory| directory.finish()),
            slots,
        }
    }
}

/// Starts the planners of a scenario: with slots if it has them, else with fixed numbers.
async fn start_planners(
    setup: HarnessSetup,
    scenario: &ResolvedValue,
    directory: Option<&DirectoryScenario>,
) -> io::Result<PlannerBackend> {
    if scenario.get("seats").is_some() {
        std::fs::create_dir_all(&setup.folder)?;
        let harness = ProcessHarness::new(setup, scenario).await?;
        harness.start_all().await?;
        return Ok(PlannerBackend::Slots(harness));
    }
    let HarnessSetup { config, context, addresses, registry, folder } = setup;
    let mut files = None;
    if let Some(directory) = directory {
        let settings = directory.write_settings(scenario, &folder)?;
        files = Some(DirectoryFiles { settings, state: folder.join("state") });
    }
    let count = addresses.borrow().len();
    let setup = PlannerSetup { config, context, registry, addresses, directory: files };
    let processes = Rc::new(PlannerProcesses::new(setup));
    for planner in 0..count {
        processes.spawn(planner).await?;
    }
    Ok(PlannerBackend::Fixed(processes))
}

/// Returns the number of clients in a scenario.
fn client_count(scenario: &ResolvedValue) -> u64 {
    scenario.number("owners").unwrap_or(1.0) as u64
}

/// A folder that is removed when the value is dropped.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
