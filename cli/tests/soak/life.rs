//! Plays the plan of one seed: starts the planner process and its peers for each run and sends the
//! planned signals.
use super::client::Client;
use super::coordinator::Coordinator;
use super::judge;
use super::machine::Machine;
use super::plan::{Plan, PlannerSignal, RunPlan};
use super::report::{RunReport, SeedReport};
use super::trace::{Event, Trace};
use super::wire;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

/// The planner's limit of open descriptors.
pub const MAX_DESCRIPTORS: usize = 256;
/// The planner's memory limit in megabytes.
pub const MAX_MEMORY_MB: f64 = 64.0;
/// Time between two samples of the planner's resource usage.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the kill in which clients read lines that the planner had already sent.
const FINAL_READ_TIME: Duration = Duration::from_millis(150);

/// The planner's address and its peers, which outlive a run of the planner process.
struct Fleet {
    /// The planner's listening address.
    listen: String,
    coordinator_address: String,
    coordinator: Rc<Coordinator>,
    /// The name and address of each machine.
    machine_addresses: Vec<(String, String)>,
    machines: Vec<Rc<Machine>>,
    /// The number of the last request of any client.
    last_id: Rc<Cell<u64>>,
}

/// Plays all runs of a plan on this thread.
pub fn play(plan: &Plan) -> SeedReport {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let fleet = start_fleet(plan).await;
        let mut runs = Vec::new();
        for (number, run) in plan.runs.iter().enumerate() {
            runs.push(play_run(plan, number, run, &fleet).await);
        }
        SeedReport { seed: plan.seed, is_overloaded: plan.is_overloaded, runs }
    })
}

/// Starts the machines and the coordinator of a plan.
async fn start_fleet(plan: &Plan) -> Fleet {
    let mut machine_addresses = Vec::new();
    let mut machines = Vec::new();
    for (number, machine) in plan.machines.iter().enumerate() {
        let address = wire::free_address();
        let listener = TcpListener::bind(&address).await.unwrap();
        let machine = Machine::new(number, machine.clone(), plan.seed << 8 | number as u64, Trace::start());
        spawn_local(machine.clone().serve(listener));
        machine_addresses.push((format!("m{number}"), address));
        machines.push(machine);
    }
    let coordinator = Coordinator::with_machines(&machine_addresses);
    let coordinator_address = wire::free_address();
    let listener = TcpListener::bind(&coordinator_address).await.unwrap();
    spawn_local(coordinator.clone().serve(listener));
    let listen = wire::free_address();
    Fleet {
        listen,
        coordinator_address,
        coordinator,
        machine_addresses,
        machines,
        last_id: Rc::new(Cell::new(plan.seed << 32)),
    }
}

/// Returns the planner's configuration with the current machine list and its limits.
fn configuration(fleet: &Fleet) -> Value {
    let mut configuration = wire::configuration(&fleet.listen, &fleet.coordinator_address, &[]);
    configuration["known"] = fleet.coordinator.since(0);
    configuration["limits"]["sockets"] = json!(MAX_DESCRIPTORS);
    configuration["limits"]["memory_mb"] = json!(MAX_MEMORY_MB);
    configuration
}

/// Plays one run of the planner process and checks its trace.
async fn play_run(plan: &Plan, number: usize, run: &RunPlan, fleet: &Fleet) -> RunReport {
    let trace = Trace::start();
    for machine in &fleet.machines {
        machine.trace.replace(trace.clone());
    }
    let mut node = wire::start_node_from(&format!("soak-{}-{number}", plan.seed), &configuration(fleet));
    let mut tasks = Vec::new();
    for client in 0..plan.clients {
        let client = Client::new(client, plan, &fleet.listen, trace.clone(), fleet.last_id.clone());
        tasks.push(spawn_local(client.run()));
    }
    tasks.push(spawn_local(sample_resources(node.child.id(), trace.clone())));
    tasks.push(spawn_local(change_machine_list(
        run.clone(),
        fleet.coordinator.clone(),
        draining_machine(run, fleet),
        trace.clone(),
    )));
    let pid = Pid::from_child(&node.child);
    let stops_at = Instant::now() + run.serves_for;
    for planned in &run.signals {
        let offset = Duration::from_millis(planned.at_ms.unsigned_abs());
        let at = if planned.at_ms < 0 { stops_at - offset } else { stops_at + offset };
        sleep_until(at).await;
        trace.add(Event::Signalled(planned.signal));
        // Sending fails only when the planner has already exited.
        let _ = kill_process(pid, unix_signal(planned.signal));
    }
    sleep(FINAL_READ_TIME).await;
    tasks.iter().for_each(|task| task.abort());
    let _ = node.child.wait();
    let logged_at_us = trace.now_us();
    node.log_lines().into_iter().for_each(|line| trace.add_at(logged_at_us, Event::Logged(line)));
    RunReport::new(plan, number, judge::judge(trace.take()))
}

/// Returns the Unix signal of a planned signal.
fn unix_signal(signal: PlannerSignal) -> Signal {
    match signal {
        PlannerSignal::Reload => Signal::HUP,
        PlannerSignal::Stop => Signal::TERM,
        PlannerSignal::Hold => Signal::STOP,
        PlannerSignal::Resume => Signal::CONT,
        PlannerSignal::Kill => Signal::KILL,
    }
}

/// Returns the machine that drains in this run, with its name and address; `None` when no machine
/// drains.
fn draining_machine(run: &RunPlan, fleet: &Fleet) -> Option<(Rc<Machine>, (String, String))> {
    let (number, _) = run.drain?;
    Some((fleet.machines[number].clone(), fleet.machine_addresses[number].clone()))
}

/// Makes the coordinator unavailable and drains a machine as planned, from the order to stop on.
async fn change_machine_list(
    run: RunPlan,
    coordinator: Rc<Coordinator>,
    draining: Option<(Rc<Machine>, (String, String))>,
    trace: Trace,
) {
    sleep(run.serves_for).await;
    coordinator.set_unavailable(true);
    sleep(run.coordinator_outage).await;
    coordinator.set_unavailable(false);
    let (Some((machine, (name, address))), Some((_, delay))) = (draining, run.drain) else { return };
    sleep(delay).await;
    trace.add(Event::ToldToLeave(machine.number));
    coordinator.publish(&name, &address, "terminating");
    machine.is_draining.set(true);
}

/// Records the process's open descriptors and resident memory until the future is dropped.
async fn sample_resources(pid: u32, trace: Trace) {
    loop {
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |all| all.count());
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident_kb = resident.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
        trace.add(Event::Sampled { descriptors, memory_mb: resident_kb.unwrap_or(0.0) / 1024.0 });
        sleep(SAMPLE_INTERVAL).await;
    }
}
