//! Plays the lives of one seed: the planner's process, its peers, and the signals of the plan.
use super::client::Client;
use super::coordinator::Coordinator;
use super::judge;
use super::machine::Machine;
use super::plan::{LifePlan, Plan, PlannerSignal};
use super::report::{LifeReport, SeedReport};
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

/// Descriptors and memory that the planner has.
pub const MAX_DESCRIPTORS: usize = 256;
pub const MAX_MEMORY_MB: f64 = 64.0;
const SAMPLE_EVERY: Duration = Duration::from_millis(200);
/// After the kill clients read what had come.
const READ_REST: Duration = Duration::from_millis(150);

/// All that stays from one life to the next.
struct Fleet {
    listen: String,
    coordinator_address: String,
    coordinator: Rc<Coordinator>,
    names: Vec<(String, String)>,
    machines: Vec<Rc<Machine>>,
    last_id: Rc<Cell<u64>>,
}

/// Plays all lives of a seed on this thread.
pub fn play(plan: &Plan) -> SeedReport {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let fleet = start_fleet(plan).await;
        let mut lives = Vec::new();
        for (number, life) in plan.lives.iter().enumerate() {
            lives.push(play_life(plan, number, life, &fleet).await);
        }
        SeedReport { seed: plan.seed, is_crowd: plan.is_crowd, lives }
    })
}

async fn start_fleet(plan: &Plan) -> Fleet {
    let mut names = Vec::new();
    let mut machines = Vec::new();
    for (number, machine) in plan.machines.iter().enumerate() {
        let address = wire::free_address();
        let listener = TcpListener::bind(&address).await.unwrap();
        let machine = Machine::new(number, machine.clone(), plan.seed << 8 | number as u64, Trace::begin());
        spawn_local(machine.clone().serve(listener));
        names.push((format!("m{number}"), address));
        machines.push(machine);
    }
    let coordinator = Coordinator::of(&names);
    let coordinator_address = wire::free_address();
    let listener = TcpListener::bind(&coordinator_address).await.unwrap();
    spawn_local(coordinator.clone().serve(listener));
    let listen = wire::free_address();
    Fleet {
        listen,
        coordinator_address,
        coordinator,
        names,
        machines,
        last_id: Rc::new(Cell::new(plan.seed << 32)),
    }
}

fn configuration(fleet: &Fleet) -> Value {
    let mut all = wire::configuration(&fleet.listen, &fleet.coordinator_address, &[]);
    all["known"] = fleet.coordinator.since(0);
    all["limits"]["sockets"] = json!(MAX_DESCRIPTORS);
    all["limits"]["memory_mb"] = json!(MAX_MEMORY_MB);
    all
}

async fn play_life(plan: &Plan, number: usize, life: &LifePlan, fleet: &Fleet) -> LifeReport {
    let trace = Trace::begin();
    for machine in &fleet.machines {
        machine.trace.replace(trace.clone());
    }
    let mut node = wire::start_node_from(&format!("soak-{}-{number}", plan.seed), &configuration(fleet));
    let mut tasks = Vec::new();
    for client in 0..plan.clients {
        let client = Client::new(client, plan, &fleet.listen, trace.clone(), fleet.last_id.clone());
        tasks.push(spawn_local(client.run()));
    }
    tasks.push(spawn_local(sample(node.child.id(), trace.clone())));
    tasks.push(spawn_local(change_list(
        life.clone(),
        fleet.coordinator.clone(),
        leaving(life, fleet),
        trace.clone(),
    )));
    let pid = Pid::from_child(&node.child);
    let stops_at = Instant::now() + life.serves_for;
    for planned in &life.signals {
        let offset = Duration::from_millis(planned.at_ms.unsigned_abs());
        let at = if planned.at_ms < 0 { stops_at - offset } else { stops_at + offset };
        sleep_until(at).await;
        trace.add(Event::Signalled(planned.signal));
        // Only a planner that ended by itself cannot be signalled.
        let _ = kill_process(pid, signal_of(planned.signal));
    }
    sleep(READ_REST).await;
    tasks.iter().for_each(|task| task.abort());
    let _ = node.child.wait();
    let logged_at_us = trace.now_us();
    node.log_lines().into_iter().for_each(|line| trace.add_at(logged_at_us, Event::Logged(line)));
    LifeReport::new(plan, number, judge::judge(trace.take()))
}

fn signal_of(signal: PlannerSignal) -> Signal {
    match signal {
        PlannerSignal::Reload => Signal::HUP,
        PlannerSignal::Stop => Signal::TERM,
        PlannerSignal::Hold => Signal::STOP,
        PlannerSignal::Resume => Signal::CONT,
        PlannerSignal::Kill => Signal::KILL,
    }
}

/// The machine that leaves in this life, with its name and address.
fn leaving(life: &LifePlan, fleet: &Fleet) -> Option<(Rc<Machine>, (String, String))> {
    let (number, _) = life.drains?;
    Some((fleet.machines[number].clone(), fleet.names[number].clone()))
}

/// Breaks of the coordinator and a machine that drains, from the order to stop on.
async fn change_list(
    life: LifePlan,
    coordinator: Rc<Coordinator>,
    leaving: Option<(Rc<Machine>, (String, String))>,
    trace: Trace,
) {
    sleep(life.serves_for).await;
    coordinator.set_broken(true);
    sleep(life.coordinator_breaks_for).await;
    coordinator.set_broken(false);
    let (Some((machine, (name, address))), Some((_, after))) = (leaving, life.drains) else { return };
    sleep(after).await;
    trace.add(Event::ToldToLeave(machine.number));
    coordinator.tell(&name, &address, "terminating");
    machine.drains.set(true);
}

async fn sample(pid: u32, trace: Trace) {
    loop {
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |all| all.count());
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident_kb = resident.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
        trace.add(Event::Sampled { descriptors, memory_mb: resident_kb.unwrap_or(0.0) / 1024.0 });
        sleep(SAMPLE_EVERY).await;
    }
}
