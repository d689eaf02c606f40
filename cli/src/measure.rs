//! `basaltpitch measure`: what one planner carries end to end, beside the bare decisions on the same events.
//! The planner is a process of its own; machines, a register and owners are light ones on other threads,
//! which answer at once. Loads are open loops: arrivals come by the clock, and a wait before sending counts.
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

#[derive(clap::Args)]
pub struct Measure {
    /// Machines in the fleet
    #[arg(long, default_value_t = 100)]
    machines: usize,
    /// Seconds that each load lasts
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Connections that owners submit on
    #[arg(long, default_value_t = 8)]
    owners: usize,
    /// Askings without an answer at one time while the highest rate is sought
    #[arg(long, default_value_t = 256)]
    window: usize,
    /// Compare with a planner that learns so many people from a directory; 0: not
    #[arg(long, default_value_t = 0)]
    people: usize,
    /// Rounds of that comparison
    #[arg(long, default_value_t = 9)]
    rounds: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    tasks: u64,
    per_s: f64,
    cpu_us: f64,
}

fn failed(e: impl ToString) -> Failure {
    Failure::Failed(e.to_string())
}

/// Probes are left out, and the list shows no room: what is measured is a task's path.
const SITE: &str = "zones: [\"z\"]\nkinds: [{name: \"std\", cores: 64, memory: 256GiB}]\n\
     frameworks: [{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}]\n\
     launches: probes: false\nmachines: lists_room: false\n";

fn on_thread<T: Send + 'static>(
    name: &str,
    job: impl FnOnce() -> T + Send + 'static,
) -> std::thread::JoinHandle<T> {
    std::thread::Builder::new().name(name.into()).spawn(job).expect("a thread")
}

fn local<T>(job: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, job)
}

/// Microseconds between the time that a key was to be sent at and now; both on the one monotonic clock.
fn since(zero: Instant, key: &str) -> u64 {
    let at: u64 = key.rsplit('/').next().and_then(|t| t.parse().ok()).unwrap_or(0);
    (zero.elapsed().as_micros() as u64).saturating_sub(at).max(1)
}

/// Machines and a register. Tasks end after `runs_for_us` of their launch. Sends the register's address.
fn fleet(machines: usize, zero: Instant, ready: channel::Sender<String>, seen: channel::Sender<u64>) {
    local(async move {
        let clock = Clock::start();
        let mut entries = Vec::new();
        for m in 0..machines {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address").to_string();
            entries.push(wire::Entry {
                machine: format!("m{m}"),
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
                    tokio::task::spawn_local(machine(stream, format!("m{m}"), clock, zero, seen.clone()));
                }
            });
        }
        let register = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let _ = ready.send(register.local_addr().expect("an address").to_string());
        while let Ok((stream, _)) = register.accept().await {
            let (orders, inbox) = mpsc::channel(16);
            let (news, mut heard) = mpsc::channel(16);
            let me = PeerIdentity {
                role: Role::Register,
                name: "register".into(),
                epoch: 1,
                link: 1,
                login: String::new(),
            };
            let list = wire::List { whole: true, stamp: 1, entries: entries.clone(), question: 0 };
            tokio::task::spawn_local(link::run(
                stream,
                link::LinkContext::new(me, clock),
                inbox,
                news,
                |n| n,
            ));
            tokio::task::spawn_local(async move {
                while let Some(news) = heard.recv().await {
                    if matches!(news, LinkEvent::Session(SessionEvent::Frame(Body::Watch(_)))) {
                        let _ = orders.send(LinkCommand::Send(Body::List(list.clone()), None)).await;
                    }
                }
            });
        }
    });
}

async fn machine(stream: TcpStream, name: String, clock: Clock, zero: Instant, seen: channel::Sender<u64>) {
    let (orders, inbox) = mpsc::channel(8192);
    let (news, mut heard) = mpsc::channel(1024);
    let me = PeerIdentity { role: Role::Machine, name, epoch: 1, link: 1, login: String::new() };
    tokio::task::spawn_local(link::run(stream, link::LinkContext::new(me, clock), inbox, news, |n| n));
    let running = Rc::new(Cell::new(0u32));
    let report =
        |n: u32| Some(Report { values: vec![64.0 - 0.01 * f64::from(n), 256.0 - 0.01 * f64::from(n)] });
    while let Some(news) = heard.recv().await {
        match news {
            LinkEvent::Session(SessionEvent::Up(_)) => {
                let _ =
                    orders.send(LinkCommand::Send(Body::Inventory(wire::Inventory::default()), None)).await;
            }
            LinkEvent::Session(SessionEvent::Frame(Body::Launch(l))) => {
                let _ = seen.send(since(zero, &l.key));
                let id: Option<LaunchId> = l.id;
                running.set(running.get() + 1);
                let yes = wire::Yes { id, key: String::new(), report: report(running.get()) };
                let _ = orders.send(LinkCommand::Send(Body::Yes(yes), None)).await;
                let run = wire::Running { id, key: String::new() };
                let _ = orders.send(LinkCommand::Send(Body::Running(run), None)).await;
                let (orders, running) = (orders.clone(), running.clone());
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(l.runs_for_us.max(0) as u64)).await;
                    running.set(running.get() - 1);
                    let report = report(running.get());
                    let ended = wire::Ended { id, key: String::new(), how: 0, report };
                    let _ = orders.send(LinkCommand::Send(Body::Ended(ended), None)).await;
                });
            }
            _ => {}
        }
    }
}

/// How an owner's load arrives.
#[derive(Clone, Copy)]
enum Arrivals {
    /// So many a second, by the clock.
    Open(f64),
    /// So many without an answer at one time.
    Window(usize),
}

struct Submits {
    planner: String,
    owners: usize,
    arrivals: Arrivals,
    lasts: Duration,
    runs_for_us: i64,
    most: u64,
    login: String,
    tenant: String,
}

/// What owners saw: tasks placed, and the time from when each was to be sent to its answer.
struct Saw {
    placed: u64,
    took: Duration,
    answer_us: Histogram<u64>,
}

fn own(zero: Instant, submits: Submits) -> Saw {
    local(async move {
        let clock = Clock::start();
        let answers = Rc::new(RefCell::new(Histogram::<u64>::new(3).expect("three digits")));
        let (placed, out) = (Rc::new(Cell::new(0u64)), Rc::new(Cell::new(0u64)));
        let freed = Rc::new(tokio::sync::Notify::new());
        let mut owners = Vec::new();
        for n in 0..submits.owners {
            let stream = TcpStream::connect(&submits.planner).await.expect("the planner listens");
            let _ = stream.set_nodelay(true);
            let (orders, inbox) = mpsc::channel(65_536);
            let (news, mut heard) = mpsc::channel(1024);
            let (login, name) = (submits.login.clone(), format!("owner-{n}"));
            let me = PeerIdentity { role: Role::Owner, name, epoch: 1, link: 1, login };
            tokio::task::spawn_local(link::run(
                stream,
                link::LinkContext::new(me, clock),
                inbox,
                news,
                |n| n,
            ));
            let (answers, placed, out, freed) = (answers.clone(), placed.clone(), out.clone(), freed.clone());
            tokio::task::spawn_local(async move {
                while let Some(news) = heard.recv().await {
                    match news {
                        LinkEvent::Session(SessionEvent::Frame(Body::Answer(a))) => {
                            answers.borrow_mut().saturating_record(since(zero, &a.key));
                            out.set(out.get() - 1);
                            if a.kind == AnswerKind::Placed as i32 {
                                placed.set(placed.get() + 1);
                            }
                            freed.notify_one();
                        }
                        LinkEvent::Session(SessionEvent::Frame(Body::Life(l)))
                            if l.how != LifeHow::LifeEnded as i32 => {}
                        _ => {}
                    }
                }
            });
            owners.push(orders);
        }
        let start = Instant::now();
        let mut n = 0u64;
        while start.elapsed() < submits.lasts && n < submits.most {
            let due = match submits.arrivals {
                Arrivals::Open(per_s) => {
                    let at = start + Duration::from_secs_f64(n as f64 / per_s);
                    if at > Instant::now() {
                        tokio::time::sleep_until(at.into()).await;
                    }
                    at
                }
                Arrivals::Window(window) => {
                    while out.get() >= window as u64 {
                        freed.notified().await;
                    }
                    Instant::now()
                }
            };
            let at = due.saturating_duration_since(zero).as_micros();
            let submit = wire::Submit {
                key: format!("{n}/{at}"),
                ask: 1,
                framework: "small".into(),
                tenant: submits.tenant.clone(),
                service: n % 200,
                cores: 0.01,
                memory: 0.01,
                runs_for_us: submits.runs_for_us,
                time_left_us: 6_000_000,
            };
            out.set(out.get() + 1);
            let _ =
                owners[n as usize % owners.len()].send(LinkCommand::Send(Body::Submit(submit), None)).await;
            n += 1;
            if n.is_multiple_of(32) {
                tokio::task::yield_now().await;
            }
        }
        let took = start.elapsed();
        let until = Instant::now() + Duration::from_secs(5);
        while out.get() > 0 && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let answer_us = answers.borrow().clone();
        Saw { placed: placed.get(), took, answer_us }
    })
}

struct Planner {
    child: Child,
    address: String,
}

impl Planner {
    fn start(files: &[PathBuf], register: &str, record: Option<&PathBuf>) -> Result<Self, Failure> {
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
        command.args(["--register", register]);
        if let Some(path) = record {
            command.arg("--record").arg(path);
        }
        let mut child = command.stdout(Stdio::piped()).stdin(Stdio::null()).spawn().map_err(failed)?;
        let out = child.stdout.take().ok_or_else(|| failed("no output"))?;
        let mut line = String::new();
        std::io::BufReader::new(out).read_line(&mut line).map_err(failed)?;
        let said: serde_json::Value = serde_json::from_str(&line).map_err(failed)?;
        Ok(Planner { child, address: said["listening"].as_str().unwrap_or_default().to_owned() })
    }

    fn of_proc(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
    }

    /// Processor time so far, in microseconds.
    fn cpu_us(&self) -> f64 {
        let text = self.of_proc("schedstat");
        text.split(' ').next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1000.0
    }

    /// Resident memory in bytes.
    fn memory(&self) -> f64 {
        let text = self.of_proc("status");
        let line = text.lines().find(|l| l.starts_with("VmRSS:"));
        line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0
    }

    /// Waits until it has a link to every machine.
    fn linked(&self, machines: usize) -> Result<(), Failure> {
        for _ in 0..600 {
            let at = crate::ask::PlannerConnection { planner: self.address.clone(), login: String::new() };
            let request = wire::Query { what: "machines".into(), about: String::new() };
            let rows = crate::ask::query(&at, Body::Query(request))?;
            let well = |r: &&serde_json::Value| r["state"] == "ready";
            if rows.as_array().is_some_and(|rows| rows.iter().filter(well).count() >= machines.min(1000)) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(failed("the planner did not reach all machines in 30 s"))
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Measure {
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let folder = std::env::temp_dir().join(format!("basaltpitch-measure-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(failed)?;
        let done = self.measure(&folder, json);
        let _ = std::fs::remove_dir_all(&folder);
        done
    }

    fn load(&self, planner: &Planner, zero: Instant, arrivals: Arrivals, lasts: u64) -> (Load, Saw) {
        self.load_as(planner, zero, arrivals, lasts, "", "")
    }

    fn load_as(
        &self,
        planner: &Planner,
        zero: Instant,
        arrivals: Arrivals,
        lasts: u64,
        login: &str,
        tenant: &str,
    ) -> (Load, Saw) {
        let before = planner.cpu_us();
        let submits = Submits {
            planner: planner.address.clone(),
            owners: self.owners,
            arrivals,
            lasts: Duration::from_secs(lasts),
            runs_for_us: 200_000,
            most: u64::MAX,
            login: login.to_owned(),
            tenant: tenant.to_owned(),
        };
        let saw = on_thread("owners", move || own(zero, submits)).join().expect("owners end");
        let cpu_us = planner.cpu_us() - before;
        let load = Load { tasks: saw.placed, per_s: saw.placed as f64 / saw.took.as_secs_f64(), cpu_us };
        (load, saw)
    }

    fn measure(&self, folder: &std::path::Path, json: bool) -> Result<(), Failure> {
        let zero = Instant::now();
        let file = folder.join("site.rec");
        std::fs::write(&file, SITE).map_err(failed)?;
        let (ready, started) = channel::channel();
        let (seen, launches) = channel::channel();
        let machines = self.machines;
        on_thread("fleet", move || fleet(machines, zero, ready, seen));
        let register = started.recv().map_err(failed)?;
        let files = [file];

        let planner = Planner::start(&files, &register, None)?;
        planner.linked(machines)?;
        let (most, _) = self.load(&planner, zero, Arrivals::Window(self.window), self.seconds);
        let idle: u64 = launches.try_iter().map(|_| 1).sum();
        let (half, saw) = self.load(&planner, zero, Arrivals::Open(most.per_s / 2.0), self.seconds);
        let mut launch_us = Histogram::<u64>::new(3).map_err(failed)?;
        launches.try_iter().for_each(|us| launch_us.saturating_record(us));
        drop(planner);

        if self.people > 0 {
            let found = self.tenants(&files, folder, &register, zero, most.per_s / 2.0)?;
            crate::ask::print_value(&found, json);
            return Ok(());
        }
        let (per_conn, per_task) = self.memory(&files, &register, zero)?;

        let path = folder.join("events.recording");
        let recorded = Planner::start(&files, &register, Some(&path))?;
        recorded.linked(machines)?;
        let rate = Arrivals::Open(most.per_s / 2.0);
        let (with_record, _) = self.load(&recorded, zero, rate, self.seconds.min(3));
        std::thread::sleep(Duration::from_millis(1500));
        drop(recorded);
        let text = std::fs::read(&path).map_err(failed)?;
        let bare = recording::time_replay(&text[..]).map_err(failed)?;
        let bare_us = bare.as_secs_f64() * 1e6 / with_record.tasks.max(1) as f64;

        let path_us = |l: &Load| l.cpu_us / l.tasks.max(1) as f64;
        let q = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
        let found = serde_json::json!({
            "machines": machines,
            "most_tasks_per_s": most.per_s.round(),
            "cpu_us_a_task_at_most": path_us(&most),
            "cpu_us_a_task_at_half": path_us(&half),
            "bare_us_a_task": bare_us,
            "path_to_bare": path_us(&most) / bare_us,
            "submit_to_launch_ms": {"p50": q(&launch_us, 0.5), "p99": q(&launch_us, 0.99), "p99.9": q(&launch_us, 0.999)},
            "submit_to_answer_ms": {"p50": q(&saw.answer_us, 0.5), "p99": q(&saw.answer_us, 0.99), "p99.9": q(&saw.answer_us, 0.999)},
            "bytes_a_connection": per_conn.round(),
            "bytes_an_open_task": per_task.round(),
            "launches_seen": idle + launch_us.len(),
        });
        if json {
            println!("{found}");
        } else {
            for (name, value) in found.as_object().into_iter().flatten() {
                println!("{name:26}{value}");
            }
        }
        Ok(())
    }

    /// Memory that an idle owner's connection and a placed task take, from the growth under many of each.
    fn memory(&self, files: &[PathBuf], register: &str, zero: Instant) -> Result<(f64, f64), Failure> {
        const CONNS: usize = 500;
        const TASKS: u64 = 20_000;
        let planner = Planner::start(files, register, None)?;
        planner.linked(self.machines)?;
        let submits = |owners, most, runs_for_us| Submits {
            planner: planner.address.clone(),
            owners,
            arrivals: Arrivals::Window(64),
            lasts: Duration::from_secs(60),
            runs_for_us,
            most,
            login: String::new(),
            tenant: String::new(),
        };
        // A first load, so that buffers have grown.
        let warm = submits(1, 2000, 1000);
        on_thread("warm", move || own(zero, warm)).join().expect("owners end");
        let empty = planner.memory();
        let many = submits(1, TASKS, 120_000_000);
        let saw = on_thread("many", move || own(zero, many)).join().expect("owners end");
        let full = planner.memory();
        let conns = (0..CONNS).map(|_| std::net::TcpStream::connect(&planner.address));
        let conns: Vec<_> = conns.collect::<Result<_, _>>().map_err(failed)?;
        std::thread::sleep(Duration::from_millis(300));
        let connected = planner.memory();
        drop(conns);
        Ok(((connected - full) / CONNS as f64, (full - empty) / saw.placed.max(1) as f64))
    }
}
