//! A hollow process is believed where it was laid beside a real one: planners beside planners in one small
//! fleet, and hollow machines beside stand-in machines under two planners of the same work. What both carry
//! and use is compared, and what is further apart than its bound fails.
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

/// How far apart a hollow one may be, as a part of the real one: bytes and frames, and processor time.
const CARRIES: f64 = 0.15;
const USES: f64 = 0.5;
/// Planners of each sort, machines of each sort, and seconds that are measured.
const PLANNERS: usize = 4;
const MACHINES: usize = 8;
const SECONDS: f64 = 24.0;
/// Of tasks: how many a second, for how many seconds, and how long one runs on average.
const RATE: f64 = 20.0;
const ASKS_S: u64 = 8;
const RUNS_S: f64 = 0.5;
const PATIENCE: Duration = Duration::from_secs(30);

fn row(what: &str, real: f64, hollow: f64, bound: f64) -> Value {
    let apart = if real == hollow { 0.0 } else { (hollow - real).abs() / real.abs().max(1e-9) };
    let round = |x: f64| (x * 100.0).round() / 100.0;
    json!({"what": what, "real": round(real), "hollow": round(hollow),
        "apart_percent": (apart * 1000.0).round() / 10.0, "bound_percent": bound * 100.0,
        "believed": apart <= bound})
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    let n = all.len();
    if n == 0 {
        return 0.0;
    }
    (all[(n - 1) / 2] + all[n / 2]) / 2.0
}

/// Bytes and frames of a kind, both ways.
fn of(traffic: &Traffic, kind: usize) -> [f64; 2] {
    let count = &traffic.0[kind];
    [count.bytes() as f64, count.frames() as f64]
}

fn number_of(kind: &str) -> usize {
    KINDS.iter().position(|k| *k == kind).unwrap_or(0)
}

/// All rows.
pub async fn believe(usual: &Measure, folder: &Path) -> io::Result<Vec<Value>> {
    progress("hollow planners beside real ones");
    let mut rows = planners(usual, folder).await?;
    progress("hollow machines beside stand-in machines");
    let real = machines(folder, true).await?;
    let hollow = machines(folder, false).await?;
    for (kind, unit) in [("heartbeats", "a second"), ("inventories", "a link"), ("tasks", "a task")] {
        for (n, what) in ["bytes", "frames"].iter().enumerate() {
            let at = number_of(kind);
            let named = format!("machines: {what} of {kind} {unit}");
            rows.push(row(&named, real.carried[at][n], hollow.carried[at][n], CARRIES));
        }
    }
    rows.push(row("machines: processor time of their planner, s", real.planner_s, hollow.planner_s, USES));
    Ok(rows)
}

async fn planners(usual: &Measure, folder: &Path) -> io::Result<Vec<Value>> {
    let shape = Measure {
        planners: 2 * PLANNERS,
        real: PLANNERS,
        machines: MACHINES,
        tenants: 5,
        hollow_links: true,
        term: 2000,
        ..usual.clone()
    };
    let mut run = ScaleRun::start(&shape, folder).await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (began, before) = (Instant::now(), run.traffic_by_planner().await?);
    let used = run.cpu_by_sort()?;
    tokio::time::sleep(Duration::from_secs_f64(SECONDS)).await;
    let (now, used_now) = (run.traffic_by_planner().await?, run.cpu_by_sort()?);
    let seconds = began.elapsed().as_secs_f64();
    let mut rows = Vec::new();
    for kind in ["heartbeats", "summaries", "council", "lists"] {
        for (n, what) in ["bytes", "frames"].iter().enumerate() {
            // Of one that holds a duty beside its seat the council has more: the middle one is compared. Whom
            // planners tell how they are is by chance: all are.
            let middle = |real: bool| {
                let all = now.iter().filter(|x| (*x.0 < PLANNERS) == real);
                let rate = |(place, t): (&usize, &Traffic)| {
                    of(&t.since(&before.get(place).copied().unwrap_or_default()), number_of(kind))[n]
                        / seconds
                };
                let all: Vec<f64> = all.map(rate).collect();
                if kind == "council" {
                    median(all)
                } else {
                    all.iter().sum::<f64>() / all.len().max(1) as f64
                }
            };
            let named = format!("planners: {what} of {kind} a second");
            rows.push(row(&named, middle(true), middle(false), CARRIES));
        }
    }
    let percent = |sort: usize| (used_now[sort] - used[sort]) / PLANNERS as f64 / seconds * 100.0;
    rows.push(row("planners: percent of a core", percent(0), percent(1), USES));
    Ok(rows)
}

struct Found {
    /// By kind, bytes and frames: of heartbeats a second, of the first inventories, of tasks each.
    carried: Vec<[f64; 2]>,
    planner_s: f64,
}

/// One planner with machines of a sort behind relays, and the same work for either.
async fn machines(folder: &Path, real: bool) -> io::Result<Found> {
    let file = folder.join("alone.rec");
    std::fs::write(&file, site::alone(MACHINES))?;
    let file = file.display().to_string();
    let (count, zone) = (MACHINES.to_string(), site::zones()[0]);
    let mut names = Vec::new();
    let mut text = |line: &Value, field: &str, at: &str| {
        let of = |f: &str| line[f].as_str().unwrap_or("").to_owned();
        names.push((of(field), of(at)));
    };
    let _process = if real {
        let mut process = Process::start(&["machine", &file, "--count", &count, "--zone", zone])?;
        for _ in 0..MACHINES {
            text(&process.read_line().await?, "machine", "listening");
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
        all["machines"].as_array().into_iter().flatten().for_each(|m| text(m, "machine", "address"));
        process
    };
    let (way, mut lists) = (Rc::new(RelayCounts::default()), Vec::new());
    for (machine, at) in names {
        lists.push(Entry {
            machine,
            address: traffic::relay(at, way.clone()).await?,
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
    let at = listener.local_addr()?.to_string();
    let (_words, inbox) = mpsc::channel(1);
    tokio::task::spawn_local(registry::run(listener, lists, inbox, |_| {}));
    let args = ["serve", &file, "--name", "planner-0", "--zone", zone, "--register", &at];
    let mut planner = Process::start(&[&args[..], &["--listen", "127.0.0.1:0"]].concat())?;
    let listens = planner.read_line().await?["listening"].as_str().unwrap_or("").to_owned();
    let until = Instant::now() + PATIENCE;
    let counted = || *way.traffic.borrow();
    while counted().0[number_of("inventories")].frames_out < MACHINES as u64 {
        if Instant::now() > until {
            return Err(io::Error::other("not all machines are linked in time"));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let linked = counted();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (before, began, used) = (counted(), Instant::now(), planner.used()?);
    let (rate, runs) = (RATE.to_string(), RUNS_S.to_string());
    let args = ["simulated", "clients", "--planners", &listens, "--conns", "1", "--rate", &rate];
    let more = ["--runs", &runs, "--tenants", "5", "--seed", "7"];
    let mut clients = Process::start_with_commands(&[&args[..], &more].concat())?;
    tokio::time::sleep(Duration::from_secs(ASKS_S)).await;
    clients.send_command("stop").await?;
    // All that was placed ends.
    tokio::time::sleep(Duration::from_secs_f64(RUNS_S * 10.0)).await;
    let told = clients.request("tell").await?;
    let placed = told["frameworks"].as_array().and_then(|f| f.last()).and_then(|all| all["placed"].as_f64());
    let placed = placed.filter(|p| *p > 0.0).ok_or_else(|| io::Error::other("nothing was placed"))?;
    let (all, seconds) = (counted().since(&before), began.elapsed().as_secs_f64());
    let per = |n: usize| match KINDS[n] {
        "inventories" => of(&linked, n).map(|x| x / MACHINES as f64),
        "tasks" => of(&all, n).map(|x| x / placed),
        _ => of(&all, n).map(|x| x / seconds),
    };
    Ok(Found { carried: (0..KINDS.len()).map(per).collect(), planner_s: planner.used()?.cpu_s - used.cpu_s })
}
