//! The processes of a scale run: hollow machines, their register, planners and clients. Each takes words on
//! standard input, a line each, answers on standard output in JSON, and ends when there are no more words.
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

#[derive(clap::Subcommand)]
pub enum Simulated {
    Machines(Machines),
    Register,
    Planners(Planners),
    Clients(Clients),
}

#[derive(clap::Args)]
pub struct Machines {
    file: PathBuf,
    #[arg(long)]
    first: usize,
    #[arg(long)]
    count: usize,
    /// Where the register listens; without one the machines are only printed
    #[arg(long)]
    register: Option<String>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Restarts of each machine an hour, on average
    #[arg(long, default_value_t = 0.0)]
    restarts: f64,
    /// Tasks a second of planners that are not there, and seconds that one runs on average
    #[arg(long, default_value_t = 0.0)]
    others: f64,
    #[arg(long, default_value_t = 1.0)]
    runs: f64,
}

#[derive(clap::Args)]
pub struct Planners {
    /// The installation as each planner has it, with ways of its own to the voters
    #[arg(required = true)]
    files: Vec<String>,
    /// RelayControl to the register, and all else, one for each planner
    #[arg(long, value_delimiter = ',')]
    register: Vec<String>,
    #[arg(long, value_delimiter = ',')]
    listen: Vec<String>,
    #[arg(long, value_delimiter = ',')]
    advertise: Vec<String>,
    #[arg(long, value_delimiter = ',')]
    zone: Vec<String>,
}

#[derive(clap::Args)]
pub struct Clients {
    /// Where planners listen: first those that are asked, then those that are turned to
    #[arg(long, value_delimiter = ',')]
    planners: Vec<String>,
    /// Connections, each to a planner of its own at first
    #[arg(long)]
    conns: usize,
    #[arg(long)]
    rate: f64,
    /// Seconds that a task runs on average
    #[arg(long)]
    runs: f64,
    #[arg(long)]
    tenants: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// One planner of many: the same command line as a process of its own has.
#[derive(Parser)]
struct One {
    #[command(flatten)]
    serve: Serve,
}

/// Words from standard input; the channel ends with it.
fn words<W: Send + 'static>(read: impl Fn(&str) -> Option<W> + Send + 'static) -> mpsc::Receiver<W> {
    let (out, words) = mpsc::channel(16);
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            match read(line.trim()) {
                Some(word) => {
                    if out.blocking_send(word).is_err() {
                        return;
                    }
                }
                None => tracing::error!(line, "a word that is not known"),
            }
        }
    });
    words
}

fn print(value: Value) {
    println!("{value}");
    let _ = std::io::stdout().flush();
}

fn local<T>(job: impl std::future::Future<Output = std::io::Result<T>>) -> Result<T, Failure> {
    let failed = |e: std::io::Error| Failure::Failed(e.to_string());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed)?;
    tokio::task::LocalSet::new().block_on(&runtime, job).map_err(failed)
}

impl Simulated {
    pub fn run(self) -> Result<(), Failure> {
        match self {
            Simulated::Machines(machines) => machines.run(),
            Simulated::Register => {
                let words = words(|line| (line == "tell").then_some(registry::RegistryCommand::Report));
                local(async {
                    let listener =
                        tokio::net::TcpListener::bind((hosts::loopback_host(1).as_str(), 0)).await?;
                    print(json!({"register": listener.local_addr()?.to_string()}));
                    registry::run(listener, Vec::new(), words, print).await;
                    Ok(())
                })
            }
            Simulated::Planners(planners) => planners.run(),
            Simulated::Clients(clients) => clients.run(),
        }
    }
}

impl Machines {
    fn run(self) -> Result<(), Failure> {
        let found = load(&[self.file])?;
        let kind = found
            .all
            .list("kinds")
            .first()
            .ok_or_else(|| Failure::InvalidInput("kinds: found none".into()))?;
        let accepts = |field: &str, usual| found.all.number(field).unwrap_or(usual);
        let plan = machines::MachinesConfig {
            first: self.first,
            count: self.count,
            zones: found.names("zones"),
            kind: kind.text("name").unwrap_or("").to_owned(),
            cores: kind.number("cores").unwrap_or(1.0),
            memory: kind.number("memory").unwrap_or(1.0),
            accepts: (accepts("machines.accept_cores", 2.0), accepts("machines.accept_memory", 1.5)),
            accepts_when_running: found.all.text("machines.yes") == Some("running"),
            restarts_per_hour: self.restarts,
            absent_load: (self.others, self.runs),
            seed: self.seed,
        };
        let words = words(|line| {
            let (word, of) = line.split_once(' ').unwrap_or((line, ""));
            Some(match word {
                "tell" => machines::MachinesCommand::Report,
                "vanish" => machines::MachinesCommand::Vanish(of.to_owned()),
                "return" => machines::MachinesCommand::Return(of.to_owned()),
                "roll" => machines::MachinesCommand::RollingRestart(of.parse().ok()?),
                _ => return None,
            })
        });
        local(async {
            let hollow = machines::start(plan).await?;
            let all: Vec<Value> = hollow
                .entries()
                .into_iter()
                .map(|e| json!({"machine": e.machine, "address": e.address, "zone": e.zone, "kind": e.kind}))
                .collect();
            print(json!({ "machines": all }));
            hollow.run(self.register, words, print).await;
            Ok(())
        })
    }
}

impl Planners {
    /// Each planner on a thread of its own, by the command `serve` as it stands: nothing of it is left out.
    fn run(self) -> Result<(), Failure> {
        for (n, file) in self.files.iter().enumerate() {
            let mut args = vec!["planner", file, "--seat", "any"];
            let ways = [&self.register, &self.listen, &self.advertise, &self.zone];
            for (name, all) in ["--register", "--listen", "--advertise", "--zone"].into_iter().zip(ways) {
                let none = || {
                    Failure::InvalidInput(format!(
                        "{name}: found {}; expected {}",
                        all.len(),
                        self.files.len()
                    ))
                };
                args.extend([name, all.get(n).ok_or_else(none)?]);
            }
            let one = One::try_parse_from(args).map_err(|e| Failure::InvalidInput(e.to_string()))?;
            std::thread::spawn(move || {
                if let Err(Failure::Failed(why) | Failure::InvalidInput(why)) = one.serve.run(true) {
                    eprintln!("a hollow planner ended: {why}");
                }
            });
            // Who a planner is to the council goes by the microsecond of its start.
            std::thread::sleep(Duration::from_millis(5));
        }
        std::io::stdin().lock().lines().map_while(Result::ok).for_each(drop);
        Ok(())
    }
}

impl Clients {
    fn run(self) -> Result<(), Failure> {
        let plan = clients::ClientsConfig {
            planners: self.planners,
            connections: self.conns,
            rate: self.rate,
            runs_s: self.runs,
            frameworks: site::FRAMEWORKS.iter().map(|f| f.asked).collect(),
            tenants: self.tenants,
            batch_every: site::ONE_IN,
            batch_size: site::MANY,
            seed: self.seed,
        };
        let words = words(|line| {
            Some(match line {
                "tell" => clients::ClientsCommand::Report,
                "begin" => clients::ClientsCommand::Begin,
                "stop" => clients::ClientsCommand::Stop,
                _ => return None,
            })
        });
        local(async {
            clients::run(plan, words, print).await;
            Ok(())
        })
    }
}
