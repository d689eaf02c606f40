//! `basaltpitch simulated`: the processes of a scale run that simulate many machines, planners or
//! clients, or run the registry. Each process reads commands from standard input, one a line,
//! answers on standard output in JSON, and exits at the end of its input.
use super::site;
use crate::serve::Serve;
use crate::{load, Failure};
use basaltpitch_testbed::scale::{clients, hosts, machines, registry};
use clap::Parser;
use serde_json::{json, Value};
use std::io::{BufRead, Write};
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc;

/// The subcommands of `basaltpitch simulated`.
#[derive(clap::Subcommand)]
pub enum Simulated {
    /// Run simulated machines
    Machines(Machines),
    /// Run a registry, which lists the machines that report to it
    Register,
    /// Run several planners, each as `serve --seat any` does
    Planners(Planners),
    /// Run clients that submit tasks to planners
    Clients(Clients),
}

/// The arguments of `basaltpitch simulated machines`.
#[derive(clap::Args)]
pub struct Machines {
    /// The installation's file
    file: PathBuf,
    /// Number of the first machine
    #[arg(long)]
    first: usize,
    /// Number of machines
    #[arg(long)]
    count: usize,
    /// Address (host:port) of the registry to report to; by default the machines are only printed
    #[arg(long)]
    register: Option<String>,
    /// Seed of the random number generator
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Average restarts of each machine per hour
    #[arg(long, default_value_t = 0.0)]
    restarts: f64,
    /// Tasks a second that machines simulate on behalf of simulated planners
    #[arg(long, default_value_t = 0.0)]
    others: f64,
    /// Average run time of these tasks, in seconds
    #[arg(long, default_value_t = 1.0)]
    runs: f64,
}

/// The arguments of `basaltpitch simulated planners`.
#[derive(clap::Args)]
pub struct Planners {
    /// The installation's file of each planner, with its own relays as the voters' addresses
    #[arg(required = true)]
    files: Vec<String>,
    /// Address (host:port) of the registry, or of a relay to it, for each planner
    #[arg(long, value_delimiter = ',')]
    register: Vec<String>,
    /// Address (host:port) that each planner listens on
    #[arg(long, value_delimiter = ',')]
    listen: Vec<String>,
    /// Address (host:port) that other planners connect to, for each planner
    #[arg(long, value_delimiter = ',')]
    advertise: Vec<String>,
    /// Zone of each planner
    #[arg(long, value_delimiter = ',')]
    zone: Vec<String>,
}

/// The arguments of `basaltpitch simulated clients`.
#[derive(clap::Args)]
pub struct Clients {
    /// Addresses of planners: first those to connect to, then those to fall back to
    #[arg(long, value_delimiter = ',')]
    planners: Vec<String>,
    /// Number of connections, initially each to a different planner
    #[arg(long)]
    conns: usize,
    /// Tasks a second to submit on all connections together
    #[arg(long)]
    rate: f64,
    /// Average run time of a task, in seconds
    #[arg(long)]
    runs: f64,
    /// Number of tenants that tasks are submitted for
    #[arg(long)]
    tenants: usize,
    /// Seed of the random number generator
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// The command line of one simulated planner: the arguments of `serve`.
#[derive(Parser)]
struct SimulatedPlanner {
    #[command(flatten)]
    serve: Serve,
}

/// Starts a thread that reads commands from standard input, and returns the channel that they are
/// sent on. The channel closes at the end of the input; an unknown command is logged and skipped.
fn commands<W: Send + 'static>(parse: impl Fn(&str) -> Option<W> + Send + 'static) -> mpsc::Receiver<W> {
    let (sender, commands) = mpsc::channel(16);
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            match parse(line.trim()) {
                Some(command) => {
                    if sender.blocking_send(command).is_err() {
                        return;
                    }
                }
                None => tracing::error!(line, "unknown command on standard input; skipping it"),
            }
        }
    });
    commands
}

/// Prints one line of JSON and flushes standard output.
fn print(value: Value) {
    println!("{value}");
    let _ = std::io::stdout().flush();
}

/// Runs a future to completion on a single-threaded runtime that accepts local tasks.
fn run_local<T>(job: impl std::future::Future<Output = std::io::Result<T>>) -> Result<T, Failure> {
    let failed = |e: std::io::Error| Failure::Failed(e.to_string());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed)?;
    tokio::task::LocalSet::new().block_on(&runtime, job).map_err(failed)
}

impl Simulated {
    /// Runs the chosen process until the end of standard input.
    pub fn run(self) -> Result<(), Failure> {
        match self {
            Simulated::Machines(machines) => machines.run(),
            Simulated::Register => {
                let commands = commands(|line| (line == "tell").then_some(registry::RegistryCommand::Report));
                run_local(async {
                    let listener =
                        tokio::net::TcpListener::bind((hosts::loopback_host(1).as_str(), 0)).await?;
                    print(json!({"register": listener.local_addr()?.to_string()}));
                    registry::run(listener, Vec::new(), commands, print).await;
                    Ok(())
                })
            }
            Simulated::Planners(planners) => planners.run(),
            Simulated::Clients(clients) => clients.run(),
        }
    }
}

impl Machines {
    /// Runs the machines; accepts the commands `tell`, `vanish ZONE`, `return ZONE` and `roll
    /// COUNT`.
    fn run(self) -> Result<(), Failure> {
        let installation = load(&[self.file])?;
        let kind = installation.all.list("kinds").first().ok_or_else(|| {
            Failure::InvalidInput("kinds: found none in the installation; expected one or more".into())
        })?;
        let accept_factor = |field: &str, default| installation.all.number(field).unwrap_or(default);
        let config = machines::MachinesConfig {
            first: self.first,
            count: self.count,
            zones: installation.names("zones"),
            kind: kind.text("name").unwrap_or("").to_owned(),
            cores: kind.number("cores").unwrap_or(1.0),
            memory: kind.number("memory").unwrap_or(1.0),
            overcommit: (
                accept_factor("machines.accept_cores", 2.0),
                accept_factor("machines.accept_memory", 1.5),
            ),
            accepts_when_running: installation.all.text("machines.yes") == Some("running"),
            restarts_per_hour: self.restarts,
            absent_load: (self.others, self.runs),
            seed: self.seed,
        };
        let commands = commands(|line| {
            let (command, argument) = line.split_once(' ').unwrap_or((line, ""));
            Some(match command {
                "tell" => machines::MachinesCommand::Report,
                "vanish" => machines::MachinesCommand::Vanish(argument.to_owned()),
                "return" => machines::MachinesCommand::Return(argument.to_owned()),
                "roll" => machines::MachinesCommand::RollingRestart(argument.parse().ok()?),
                _ => return None,
            })
        });
        run_local(async {
            let machines = machines::start(config).await?;
            let all: Vec<Value> = machines
                .entries()
                .into_iter()
                .map(|entry| json!({"machine": entry.machine, "address": entry.address, "zone": entry.zone, "kind": entry.kind}))
                .collect();
            print(json!({ "machines": all }));
            machines.run(self.register, commands, print).await;
            Ok(())
        })
    }
}

impl Planners {
    /// Runs each planner on a thread of its own with the unchanged code of `serve`, so that a
    /// simulated planner does all the work of a real planner.
    fn run(self) -> Result<(), Failure> {
        for (index, file) in self.files.iter().enumerate() {
            let mut args = vec!["planner", file, "--seat", "any"];
            let options = [&self.register, &self.listen, &self.advertise, &self.zone];
            for (name, values) in ["--register", "--listen", "--advertise", "--zone"].into_iter().zip(options)
            {
                let missing = || {
                    Failure::InvalidInput(format!(
                        "{name}: found {} values; expected {}, one for each file",
                        values.len(),
                        self.files.len()
                    ))
                };
                args.extend([name, values.get(index).ok_or_else(missing)?]);
            }
            let planner =
                SimulatedPlanner::try_parse_from(args).map_err(|e| Failure::InvalidInput(e.to_string()))?;
            std::thread::spawn(move || {
                if let Err(Failure::Failed(why) | Failure::InvalidInput(why)) = planner.serve.run(true) {
                    eprintln!("a simulated planner failed: {why}");
                }
            });
            // The voters tell processes apart by the microsecond of their start, because all share
            // one process id.
            std::thread::sleep(Duration::from_millis(5));
        }
        std::io::stdin().lock().lines().map_while(Result::ok).for_each(drop);
        Ok(())
    }
}

impl Clients {
    /// Runs the clients; accepts the commands `tell`, `begin` and `stop`.
    fn run(self) -> Result<(), Failure> {
        let config = clients::ClientsConfig {
            planners: self.planners,
            connections: self.conns,
            rate: self.rate,
            mean_run_s: self.runs,
            frameworks: site::FRAMEWORKS.iter().map(|framework| framework.load).collect(),
            tenants: self.tenants,
            batch_every: site::BATCH_EVERY,
            batch_size: site::BATCH_SIZE,
            seed: self.seed,
        };
        let commands = commands(|line| {
            Some(match line {
                "tell" => clients::ClientsCommand::Report,
                "begin" => clients::ClientsCommand::BeginWindow,
                "stop" => clients::ClientsCommand::Stop,
                _ => return None,
            })
        });
        run_local(async {
            clients::run(config, commands, print).await;
            Ok(())
        })
    }
}
