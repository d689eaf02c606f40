//! Validates the simulation of a scale run (`measure-scale --believe`). Simulated planners are
//! compared with real planners in one small fleet, and the simulated machines of a scale run with
//! those of `basaltpitch machine`, each under a planner with the same load. Traffic and CPU time
//! may differ by a bound for each figure.
use super::run::ScaleRun;
use super::{progress, site, Measure};
use crate::processes::Process;
use basaltpitch_agent::wire::{Entry, Readiness};
use basaltpitch_testbed::scale::traffic::{self, RelayCounts, Traffic, KINDS};
use basaltpitch_testbed::scale::{hosts, registry};
use serde_json::{json, Value};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// The maximum relative difference of bytes and frames between a simulated and a real process.
const TRAFFIC_BOUND: f64 = 0.15;
/// The maximum relative difference of CPU time between a simulated and a real process.
const CPU_BOUND: f64 = 0.5;
/// Number of real planners, and of simulated planners.
const PLANNERS: usize = 4;
/// Number of machines in each comparison.
const MACHINES: usize = 8;
/// Seconds that planners are measured.
const MEASURED_S: f64 = 24.0;
/// Tasks a second that clients submit.
const RATE: f64 = 20.0;
/// Seconds that clients submit tasks.
const SUBMIT_S: u64 = 8;
/// Average run time of a task in seconds.
const TASK_RUN_S: f64 = 0.5;
/// How long to wait until all machines are linked.
const LINK_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a row of the report: the figures of a real and of a simulated process, and whether their
/// relative difference is within the bound.
fn row(what: &str, real: f64, simulated: f64, bound: f64) -> Value {
    let difference = if real == simulated { 0.0 } else { (simulated - real).abs() / real.abs().max(1e-9) };
    let rounded = |value: f64| (value * 100.0).round() / 100.0;
    json!({"what": what, "real": rounded(real), "hollow": rounded(simulated),
        "apart_percent": (difference * 1000.0).round() / 10.0, "bound_percent": bound * 100.0,
        "believed": difference <= bound})
}

/// Returns the median of the values, 0 without any.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let count = values.len();
    if count == 0 {
        return 0.0;
    }
    (values[(count - 1) / 2] + values[count / 2]) / 2.0
}

/// Returns the bytes and frames of a traffic kind, both directions together.
fn bytes_and_frames(traffic: &Traffic, kind: usize) -> [f64; 2] {
    let count = &traffic.0[kind];
    [count.bytes() as f64, count.frames() as f64]
}

/// Returns the index of a traffic kind.
fn kind_index(kind: &str) -> usize {
    KINDS.iter().position(|name| *name == kind).unwrap_or(0)
}

/// Runs all comparisons and returns one row for each figure.
pub async fn compare_all(base: &Measure, folder: &Path) -> io::Result<Vec<Value>> {
    progress("comparing simulated planners with real planners");
    let mut rows = compare_planners(base, folder).await?;
    progress("comparing simulated machines with those of `basaltpitch machine`");
    let real = measure_machines(folder, true).await?;
    let simulated = measure_machines(folder, false).await?;
    for (kind, unit) in [("heartbeats", "a second"), ("inventories", "a link"), ("tasks", "a task")] {
        for (unit_index, what) in ["bytes", "frames"].iter().enumerate() {
            let index = kind_index(kind);
            let name = format!("machines: {what} of {kind} {unit}");
            rows.push(row(
                &name,
                real.traffic[index][unit_index],
                simulated.traffic[index][unit_index],
                TRAFFIC_BOUND,
            ));
        }
    }
    rows.push(row(
        "machines: processor time of their planner, s",
        real.planner_cpu_s,
        simulated.planner_cpu_s,
        CPU_BOUND,
    ));
    Ok(rows)
}

/// Compares simulated with real planners, which run in one fleet without clients.
async fn compare_planners(base: &Measure, folder: &Path) -> io::Result<Vec<Value>> {
    let measure = Measure {
        planners: 2 * PLANNERS,
        real: PLANNERS,
        machines: MACHINES,
        tenants: 5,
        hollow_links: true,
        term: 2000,
        ..base.clone()
    };
    let mut run = ScaleRun::start(&measure, folder).await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (started, before) = (Instant::now(), run.traffic_by_planner().await?);
    let cpu_before = run.cpu_by_sort()?;
    tokio::time::sleep(Duration::from_secs_f64(MEASURED_S)).await;
    let (now, cpu_now) = (run.traffic_by_planner().await?, run.cpu_by_sort()?);
    let seconds = started.elapsed().as_secs_f64();
    let mut rows = Vec::new();
    for kind in ["heartbeats", "summaries", "council", "lists"] {
        for (unit_index, what) in ["bytes", "frames"].iter().enumerate() {
            // Lease traffic is compared by its median, because a planner that holds a lease besides
            // its slot exchanges more with the voters. Gossip chooses peers at random, so other
            // kinds use the mean.
            let typical_rate = |real: bool| {
                let rates = now.iter().filter(|entry| (*entry.0 < PLANNERS) == real);
                let rate = |(index, traffic): (&usize, &Traffic)| {
                    bytes_and_frames(
                        &traffic.since(&before.get(index).copied().unwrap_or_default()),
                        kind_index(kind),
                    )[unit_index]
                        / seconds
                };
                let rates: Vec<f64> = rates.map(rate).collect();
                if kind == "council" {
                    median(rates)
                } else {
                    rates.iter().sum::<f64>() / rates.len().max(1) as f64
                }
            };
            let name = format!("planners: {what} of {kind} a second");
            rows.push(row(&name, typical_rate(true), typical_rate(false), TRAFFIC_BOUND));
        }
    }
    let percent = |group: usize| (cpu_now[group] - cpu_before[group]) / PLANNERS as f64 / seconds * 100.0;
    rows.push(row("planners: percent of a core", percent(0), percent(1), CPU_BOUND));
    Ok(rows)
}

/// The figures of one set of machines and its planner.
struct MachineFigures {
    /// Bytes and frames by traffic kind: of inventories per machine until all were linked, of tasks
    /// per placed task, of other kinds per second.
    traffic: Vec<[f64; 2]>,
    /// CPU time of the planner in seconds, from the first submission to the end of the last task.
    planner_cpu_s: f64,
}

/// Measures one planner with machines behind relays under a fixed load. `real` selects the machines
/// of `basaltpitch machine` instead of those of a scale run.
async fn measure_machines(folder: &Path, real: bool) -> io::Result<MachineFigures> {
    let file = folder.join("alone.rec");
    std::fs::write(&file, site::single_planner(MACHINES))?;
    let file = file.display().to_string();
    let (count, zone) = (MACHINES.to_string(), site::zones()[0]);
    let mut machines = Vec::new();
    let mut add_machine = |line: &Value, field: &str, address: &str| {
        let text = |name: &str| line[name].as_str().unwrap_or("").to_owned();
        machines.push((text(field), text(address)));
    };
    let _process = if real {
        let mut process = Process::start(&["machine", &file, "--count", &count, "--zone", zone])?;
        for _ in 0..MACHINES {
            add_machine(&process.read_line().await?, "machine", "listening");
        }
        process.read_line().await?;
        process
    } else {
        let mut process = Process::start_with_commands(&[
            "simulated",
            "machines",
            &file,
            "--first",
            "0",
            "--count",
            &count,
        ])?;
        let all = process.read_line().await?;
        all["machines"]
            .as_array()
            .into_iter()
            .flatten()
            .for_each(|machine| add_machine(machine, "machine", "address"));
        process
    };
    let (relay_counts, mut entries) = (Rc::new(RelayCounts::default()), Vec::new());
    for (machine, address) in machines {
        entries.push(Entry {
            machine,
            address: traffic::relay(address, relay_counts.clone()).await?,
            kind: "std".into(),
            zone: zone.into(),
            readiness: Readiness::Ready as i32,
            started_us: 1,
            cores_left: 16.0,
            memory_left: 64.0,
            ..Entry::default()
        });
    }
    let listener = TcpListener::bind((hosts::loopback_host(2).as_str(), 0)).await?;
    let address = listener.local_addr()?.to_string();
    let (_commands, command_receiver) = mpsc::channel(1);
    tokio::task::spawn_local(registry::run(listener, entries, command_receiver, |_| {}));
    let args = ["serve", &file, "--name", "planner-0", "--zone", zone, "--register", &address];
    let mut planner = Process::start(&[&args[..], &["--listen", "127.0.0.1:0"]].concat())?;
    let planner_address = planner.read_line().await?["listening"].as_str().unwrap_or("").to_owned();
    let until = Instant::now() + LINK_TIMEOUT;
    let traffic_so_far = || *relay_counts.traffic.borrow();
    while traffic_so_far().0[kind_index("inventories")].frames_out < MACHINES as u64 {
        if Instant::now() > until {
            return Err(io::Error::other("timed out before the planner was linked to all machines"));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let linked = traffic_so_far();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (before, started, used) = (traffic_so_far(), Instant::now(), planner.used()?);
    let (rate, runs) = (RATE.to_string(), TASK_RUN_S.to_string());
    let args = ["simulated", "clients", "--planners", &planner_address, "--conns", "1", "--rate", &rate];
    let more = ["--runs", &runs, "--tenants", "5", "--seed", "7"];
    let mut clients = Process::start_with_commands(&[&args[..], &more].concat())?;
    tokio::time::sleep(Duration::from_secs(SUBMIT_S)).await;
    clients.send_command("stop").await?;
    // Ten average run times, so that the placed tasks end.
    tokio::time::sleep(Duration::from_secs_f64(TASK_RUN_S * 10.0)).await;
    let report = clients.request("tell").await?;
    let placed =
        report["frameworks"].as_array().and_then(|name| name.last()).and_then(|all| all["placed"].as_f64());
    let placed = placed
        .filter(|placed| *placed > 0.0)
        .ok_or_else(|| io::Error::other("clients report no placed task; expected some"))?;
    let (all, seconds) = (traffic_so_far().since(&before), started.elapsed().as_secs_f64());
    let per_unit = |kind: usize| match KINDS[kind] {
        "inventories" => bytes_and_frames(&linked, kind).map(|total| total / MACHINES as f64),
        "tasks" => bytes_and_frames(&all, kind).map(|total| total / placed),
        _ => bytes_and_frames(&all, kind).map(|total| total / seconds),
    };
    Ok(MachineFigures {
        traffic: (0..KINDS.len()).map(per_unit).collect(),
        planner_cpu_s: planner.used()?.cpu_s - used.cpu_s,
    })
}
