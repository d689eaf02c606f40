//! `basaltpitch measure`: measures the throughput and latency of one planner end to end, and
//! compares its CPU time per task with a replay of its decisions alone on the same events.
//!
//! The planner is a process of its own. Simulated machines, a registry and clients run on threads
//! of this process and answer at once. Latency is measured with open-loop load: arrivals follow the
//! clock, and a delay before sending counts as latency.
#[path = "measure_tenants.rs"]
mod tenants;

use crate::Failure;
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, AnswerKind, Body, LaunchId, LifeHow, Report, Role};
use basaltpitch_planner::recording;
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::io::BufRead;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc as channel;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// The arguments of `basaltpitch measure`.
#[derive(clap::Args)]
pub struct Measure {
    /// Number of simulated machines
    #[arg(long, default_value_t = 100)]
    machines: usize,
    /// Duration of each load, in seconds; at most 3 for the load that is recorded and replayed
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Number of client connections that tasks are submitted on
    #[arg(long, default_value_t = 8)]
    owners: usize,
    /// Requests in flight while the maximum rate is measured
    #[arg(long, default_value_t = 256)]
    window: usize,
    /// Compare with planners that sync this many people from a tenant directory; 0 skips the
    /// comparison
    #[arg(long, default_value_t = 0)]
    people: usize,
    /// Number of rounds of that comparison
    #[arg(long, default_value_t = 9)]
    rounds: usize,
}

/// The tasks that a planner placed under a load, and its CPU time meanwhile.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Tasks placed.
    tasks: u64,
    /// Tasks placed per second.
    per_s: f64,
    /// The planner's CPU time in microseconds.
    cpu_us: f64,
}

/// Builds a failure from an error.
fn failed(e: impl ToString) -> Failure {
    Failure::Failed(e.to_string())
}

/// The installation that is measured. Probes are disabled and the machine list shows no free
/// capacity, so that only the path of a task is measured.
const INSTALLATION: &str = "zones: [\"z\"]\nkinds: [{name: \"std\", cores: 64, memory: 256GiB}]\n\
     frameworks: [{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}]\n\
     launches: probes: false\nmachines: lists_room: false\n";

/// Runs a job on a named thread.
fn spawn_thread<T: Send + 'static>(
    name: &str,
    job: impl FnOnce() -> T + Send + 'static,
) -> std::thread::JoinHandle<T> {
    std::thread::Builder::new().name(name.into()).spawn(job).expect("the thread starts")
}

/// Runs a future to completion on a single-threaded runtime that accepts local tasks.
fn run_local<T>(job: impl std::future::Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    LocalSet::new().block_on(&runtime, job)
}

/// Returns the microseconds from the due time of a request, which its key ends with, until now; at
/// least 1. Both are relative to `zero` on the monotonic clock.
fn us_since_due(zero: Instant, key: &str) -> u64 {
    let due_us: u64 = key.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
    (zero.elapsed().as_micros() as u64).saturating_sub(due_us).max(1)
}

/// Runs simulated machines and a registry, whose address is sent on `ready`. A task ends
/// `runs_for_us` after its launch. The latency of each launch in microseconds is sent on `seen`.
fn run_machines(machines: usize, zero: Instant, ready: channel::Sender<String>, seen: channel::Sender<u64>) {
    run_local(async move {
        let clock = Clock::start();
        let mut entries = Vec::new();
        for index in 0..machines {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free loopback port");
            let address = listener.local_addr().expect("a bound listener has an address").to_string();
            entries.push(wire::Entry {
                machine: format!("m{index}"),
                address,
                kind: "std".into(),
                zone: "z".into(),
                started_us: 1,
                ..wire::Entry::default()
            });
            let seen = seen.clone();
            tokio::task::spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    tokio::task::spawn_local(serve_machine(
                        stream,
                        format!("m{index}"),
                        clock,
                        zero,
                        seen.clone(),
                    ));
                }
            });
        }
        let registry = TcpListener::bind("127.0.0.1:0").await.expect("a free loopback port");
        let _ = ready.send(registry.local_addr().expect("a bound listener has an address").to_string());
        while let Ok((stream, _)) = registry.accept().await {
            let (commands, command_receiver) = mpsc::channel(16);
            let (event_sender, mut events) = mpsc::channel(16);
            let identity = PeerIdentity {
                role: Role::Register,
                name: "register".into(),
                epoch: 1,
                link: 1,
                login: String::new(),
            };
            let list = wire::List { whole: true, stamp: 1, entries: entries.clone(), question: 0 };
            tokio::task::spawn_local(link::run(
                stream,
                link::LinkContext::new(identity, clock),
                command_receiver,
                event_sender,
                |n| n,
            ));
            tokio::task::spawn_local(async move {
                while let Some(event) = events.recv().await {
                    if matches!(event, LinkEvent::Session(SessionEvent::Frame(Body::Watch(_)))) {
                        let _ = commands.send(LinkCommand::Send(Body::List(list.clone()), None)).await;
                    }
                }
            });
        }
    });
}

/// Serves one planner's link to a simulated machine, which accepts and starts each task at once.
async fn serve_machine(
    stream: TcpStream,
    name: String,
    clock: Clock,
    zero: Instant,
    seen: channel::Sender<u64>,
) {
    let (commands, command_receiver) = mpsc::channel(8192);
    let (event_sender, mut events) = mpsc::channel(1024);
    let identity = PeerIdentity { role: Role::Machine, name, epoch: 1, link: 1, login: String::new() };
    tokio::task::spawn_local(link::run(
        stream,
        link::LinkContext::new(identity, clock),
        command_receiver,
        event_sender,
        |event| event,
    ));
    let running = Rc::new(Cell::new(0u32));
    let report = |running_tasks: u32| {
        Some(Report {
            values: vec![64.0 - 0.01 * f64::from(running_tasks), 256.0 - 0.01 * f64::from(running_tasks)],
        })
    };
    while let Some(event) = events.recv().await {
        match event {
            LinkEvent::Session(SessionEvent::Up(_)) => {
                let _ =
                    commands.send(LinkCommand::Send(Body::Inventory(wire::Inventory::default()), None)).await;
            }
            LinkEvent::Session(SessionEvent::Frame(Body::Launch(launch))) => {
                let _ = seen.send(us_since_due(zero, &launch.key));
                let id: Option<LaunchId> = launch.id;
                running.set(running.get() + 1);
                let accepted = wire::Yes { id, key: String::new(), report: report(running.get()) };
                let _ = commands.send(LinkCommand::Send(Body::Yes(accepted), None)).await;
                let started = wire::Running { id, key: String::new() };
                let _ = commands.send(LinkCommand::Send(Body::Running(started), None)).await;
                let (commands, running) = (commands.clone(), running.clone());
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(launch.runs_for_us.max(0) as u64)).await;
                    running.set(running.get() - 1);
                    let report = report(running.get());
                    let ended = wire::Ended { id, key: String::new(), how: 0, report };
                    let _ = commands.send(LinkCommand::Send(Body::Ended(ended), None)).await;
                });
            }
            _ => {}
        }
    }
}

/// When clients submit tasks.
#[derive(Clone, Copy)]
enum Arrivals {
    /// Open loop: this number of tasks a second, by the clock.
    Open(f64),
    /// Closed loop: this number of requests in flight.
    Window(usize),
}

/// The load that clients submit to a planner.
struct ClientLoad {
    /// The planner's address.
    planner: String,
    /// Number of client connections.
    connections: usize,
    arrivals: Arrivals,
    /// How long clients submit.
    duration: Duration,
    /// Run time of each task, in microseconds.
    runs_for_us: i64,
    /// The maximum number of tasks.
    max_tasks: u64,
    /// Login of the clients; empty without a tenant directory.
    login: String,
    /// Tenant of the tasks; empty without tenants.
    tenant: String,
}

/// What clients observed of a load.
struct ClientResults {
    /// Tasks placed.
    placed: u64,
    /// How long tasks were submitted.
    submitted_for: Duration,
    /// Microseconds from the time that each request was due to its answer.
    answer_us: Histogram<u64>,
}

/// Submits a load on a number of connections and waits up to 5 s for the last answers.
fn submit_load(zero: Instant, load: ClientLoad) -> ClientResults {
    run_local(async move {
        let clock = Clock::start();
        let answers =
            Rc::new(RefCell::new(Histogram::<u64>::new(3).expect("three significant digits are valid")));
        let (placed, in_flight) = (Rc::new(Cell::new(0u64)), Rc::new(Cell::new(0u64)));
        let answered = Rc::new(tokio::sync::Notify::new());
        let mut connections = Vec::new();
        for index in 0..load.connections {
            let stream = TcpStream::connect(&load.planner).await.expect("the planner accepts connections");
            let _ = stream.set_nodelay(true);
            let (commands, command_receiver) = mpsc::channel(65_536);
            let (event_sender, mut events) = mpsc::channel(1024);
            let (login, name) = (load.login.clone(), format!("owner-{index}"));
            let identity = PeerIdentity { role: Role::Owner, name, epoch: 1, link: 1, login };
            tokio::task::spawn_local(link::run(
                stream,
                link::LinkContext::new(identity, clock),
                command_receiver,
                event_sender,
                |event| event,
            ));
            let (answers, placed, in_flight, answered) =
                (answers.clone(), placed.clone(), in_flight.clone(), answered.clone());
            tokio::task::spawn_local(async move {
                while let Some(event) = events.recv().await {
                    match event {
                        LinkEvent::Session(SessionEvent::Frame(Body::Answer(answer))) => {
                            answers.borrow_mut().saturating_record(us_since_due(zero, &answer.key));
                            in_flight.set(in_flight.get() - 1);
                            if answer.kind == AnswerKind::Placed as i32 {
                                placed.set(placed.get() + 1);
                            }
                            answered.notify_one();
                        }
                        LinkEvent::Session(SessionEvent::Frame(Body::Life(life)))
                            if life.how != LifeHow::LifeEnded as i32 => {}
                        _ => {}
                    }
                }
            });
            connections.push(commands);
        }
        let start = Instant::now();
        let mut index = 0u64;
        while start.elapsed() < load.duration && index < load.max_tasks {
            let due = match load.arrivals {
                Arrivals::Open(per_s) => {
                    let due = start + Duration::from_secs_f64(index as f64 / per_s);
                    if due > Instant::now() {
                        tokio::time::sleep_until(due.into()).await;
                    }
                    due
                }
                Arrivals::Window(window) => {
                    while in_flight.get() >= window as u64 {
                        answered.notified().await;
                    }
                    Instant::now()
                }
            };
            let due_us = due.saturating_duration_since(zero).as_micros();
            let submit = wire::Submit {
                key: format!("{index}/{due_us}"),
                ask: 1,
                framework: "small".into(),
                tenant: load.tenant.clone(),
                service: index % 200,
                cores: 0.01,
                memory: 0.01,
                runs_for_us: load.runs_for_us,
                time_left_us: 6_000_000,
            };
            in_flight.set(in_flight.get() + 1);
            let _ = connections[index as usize % connections.len()]
                .send(LinkCommand::Send(Body::Submit(submit), None))
                .await;
            index += 1;
            if index.is_multiple_of(32) {
                tokio::task::yield_now().await;
            }
        }
        let submitted_for = start.elapsed();
        let until = Instant::now() + Duration::from_secs(5);
        while in_flight.get() > 0 && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let answer_us = answers.borrow().clone();
        ClientResults { placed: placed.get(), submitted_for, answer_us }
    })
}

/// A planner process; dropping it kills the process.
struct Planner {
    child: Child,
    address: String,
}

impl Planner {
    /// Starts a planner and waits until it prints its address.
    fn start(files: &[PathBuf], registry: &str, record: Option<&PathBuf>) -> Result<Self, Failure> {
        let binary = std::env::current_exe().map_err(failed)?;
        let mut command = Command::new(binary);
        command.arg("serve").args(files).args([
            "--name",
            "p",
            "--zone",
            "z",
            "--listen",
            "127.0.0.1:0",
            "-o",
            "json",
        ]);
        command.args(["--register", registry]);
        if let Some(path) = record {
            command.arg("--record").arg(path);
        }
        let mut child = command.stdout(Stdio::piped()).stdin(Stdio::null()).spawn().map_err(failed)?;
        let out = child.stdout.take().ok_or_else(|| failed("the planner process has no standard output"))?;
        let mut line = String::new();
        std::io::BufReader::new(out).read_line(&mut line).map_err(failed)?;
        let line: serde_json::Value = serde_json::from_str(&line).map_err(failed)?;
        Ok(Planner { child, address: line["listening"].as_str().unwrap_or_default().to_owned() })
    }

    /// Reads a file of the process in /proc; empty where it cannot be read.
    fn read_proc(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
    }

    /// Returns the CPU time used so far, in microseconds.
    fn cpu_us(&self) -> f64 {
        let text = self.read_proc("schedstat");
        text.split(' ').next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1000.0
    }

    /// Returns the resident memory in bytes.
    fn memory(&self) -> f64 {
        let text = self.read_proc("status");
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0
    }

    /// Waits up to 30 s until the planner is linked to every machine, or to 1000, the planner's
    /// limit of rows per query.
    fn wait_until_linked(&self, machines: usize) -> Result<(), Failure> {
        for _ in 0..600 {
            let connection =
                crate::ask::PlannerConnection { planner: self.address.clone(), login: String::new() };
            let request = wire::Query { what: "machines".into(), about: String::new() };
            let rows = crate::ask::query(&connection, Body::Query(request))?;
            let is_ready = |row: &&serde_json::Value| row["state"] == "ready";
            if rows.as_array().is_some_and(|rows| rows.iter().filter(is_ready).count() >= machines.min(1000))
            {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(failed("the planner is not linked to all machines after 30 s"))
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Measure {
    /// Runs the measurement in a temporary folder and prints its results.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let folder = std::env::temp_dir().join(format!("basaltpitch-measure-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(failed)?;
        let result = self.measure(&folder, json);
        let _ = std::fs::remove_dir_all(&folder);
        result
    }

    /// Submits a load without login and tenant.
    fn load(
        &self,
        planner: &Planner,
        zero: Instant,
        arrivals: Arrivals,
        duration: u64,
    ) -> (Load, ClientResults) {
        self.load_as(planner, zero, arrivals, duration, "", "")
    }

    /// Submits a load of 200 ms tasks for a login and tenant, and measures the planner's CPU time
    /// meanwhile.
    fn load_as(
        &self,
        planner: &Planner,
        zero: Instant,
        arrivals: Arrivals,
        duration: u64,
        login: &str,
        tenant: &str,
    ) -> (Load, ClientResults) {
        let before = planner.cpu_us();
        let client_load = ClientLoad {
            planner: planner.address.clone(),
            connections: self.owners,
            arrivals,
            duration: Duration::from_secs(duration),
            runs_for_us: 200_000,
            max_tasks: u64::MAX,
            login: login.to_owned(),
            tenant: tenant.to_owned(),
        };
        let results = spawn_thread("owners", move || submit_load(zero, client_load))
            .join()
            .expect("the client thread does not panic");
        let cpu_us = planner.cpu_us() - before;
        let load = Load {
            tasks: results.placed,
            per_s: results.placed as f64 / results.submitted_for.as_secs_f64(),
            cpu_us,
        };
        (load, results)
    }

    /// Measures the maximum rate and the latency at half of it. With `people`, then compares
    /// planners with and without a tenant directory; otherwise measures memory and compares the CPU
    /// time per task with a replay. Prints the report.
    fn measure(&self, folder: &std::path::Path, json: bool) -> Result<(), Failure> {
        let zero = Instant::now();
        let file = folder.join("site.rec");
        std::fs::write(&file, INSTALLATION).map_err(failed)?;
        let (ready, started) = channel::channel();
        let (seen, launches) = channel::channel();
        let machines = self.machines;
        spawn_thread("fleet", move || run_machines(machines, zero, ready, seen));
        let registry = started.recv().map_err(failed)?;
        let files = [file];

        let planner = Planner::start(&files, &registry, None)?;
        planner.wait_until_linked(machines)?;
        let (saturated, _) = self.load(&planner, zero, Arrivals::Window(self.window), self.seconds);
        let saturated_launches: u64 = launches.try_iter().map(|_| 1).sum();
        let (half_rate, results) =
            self.load(&planner, zero, Arrivals::Open(saturated.per_s / 2.0), self.seconds);
        let mut launch_us = Histogram::<u64>::new(3).map_err(failed)?;
        launches.try_iter().for_each(|us| launch_us.saturating_record(us));
        drop(planner);

        if self.people > 0 {
            let report = self.tenants(&files, folder, &registry, zero, saturated.per_s / 2.0)?;
            crate::ask::print_value(&report, json);
            return Ok(());
        }
        let (bytes_per_connection, bytes_per_task) = self.memory(&files, &registry, zero)?;

        let path = folder.join("events.recording");
        let recorded = Planner::start(&files, &registry, Some(&path))?;
        recorded.wait_until_linked(machines)?;
        let rate = Arrivals::Open(saturated.per_s / 2.0);
        let (recorded_load, _) = self.load(&recorded, zero, rate, self.seconds.min(3));
        std::thread::sleep(Duration::from_millis(1500));
        drop(recorded);
        let text = std::fs::read(&path).map_err(failed)?;
        let replay_time = recording::time_replay(&text[..]).map_err(failed)?;
        let replay_us_per_task = replay_time.as_secs_f64() * 1e6 / recorded_load.tasks.max(1) as f64;

        let cpu_us_per_task = |load: &Load| load.cpu_us / load.tasks.max(1) as f64;
        let quantile_ms =
            |histogram: &Histogram<u64>, quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let report = serde_json::json!({
            "machines": machines,
            "most_tasks_per_s": saturated.per_s.round(),
            "cpu_us_a_task_at_most": cpu_us_per_task(&saturated),
            "cpu_us_a_task_at_half": cpu_us_per_task(&half_rate),
            "bare_us_a_task": replay_us_per_task,
            "path_to_bare": cpu_us_per_task(&saturated) / replay_us_per_task,
            "submit_to_launch_ms": {"p50": quantile_ms(&launch_us, 0.5), "p99": quantile_ms(&launch_us, 0.99), "p99.9": quantile_ms(&launch_us, 0.999)},
            "submit_to_answer_ms": {"p50": quantile_ms(&results.answer_us, 0.5), "p99": quantile_ms(&results.answer_us, 0.99), "p99.9": quantile_ms(&results.answer_us, 0.999)},
            "bytes_a_connection": bytes_per_connection.round(),
            "bytes_an_open_task": bytes_per_task.round(),
            "launches_seen": saturated_launches + launch_us.len(),
        });
        if json {
            println!("{report}");
        } else {
            for (name, value) in report.as_object().into_iter().flatten() {
                println!("{name:26}{value}");
            }
        }
        Ok(())
    }

    /// Returns the bytes of memory of an idle client connection and of a placed task, from the
    /// growth of resident memory with many of each.
    fn memory(&self, files: &[PathBuf], registry: &str, zero: Instant) -> Result<(f64, f64), Failure> {
        const CONNECTIONS: usize = 500;
        const TASKS: u64 = 20_000;
        let planner = Planner::start(files, registry, None)?;
        planner.wait_until_linked(self.machines)?;
        let client_load = |connections, max_tasks, runs_for_us| ClientLoad {
            planner: planner.address.clone(),
            connections,
            arrivals: Arrivals::Window(64),
            duration: Duration::from_secs(60),
            runs_for_us,
            max_tasks,
            login: String::new(),
            tenant: String::new(),
        };
        // A first load lets buffers grow before memory is read.
        let warm_up_load = client_load(1, 2000, 1000);
        spawn_thread("warm", move || submit_load(zero, warm_up_load))
            .join()
            .expect("the client thread does not panic");
        let empty_bytes = planner.memory();
        let task_load = client_load(1, TASKS, 120_000_000);
        let results = spawn_thread("many", move || submit_load(zero, task_load))
            .join()
            .expect("the client thread does not panic");
        let full_bytes = planner.memory();
        let streams = (0..CONNECTIONS).map(|_| std::net::TcpStream::connect(&planner.address));
        let streams: Vec<_> = streams.collect::<Result<_, _>>().map_err(failed)?;
        std::thread::sleep(Duration::from_millis(300));
        let connected_bytes = planner.memory();
        drop(streams);
        Ok((
            (connected_bytes - full_bytes) / CONNECTIONS as f64,
            (full_bytes - empty_bytes) / results.placed.max(1) as f64,
        ))
    }
}
