//! `basaltpitch measure-scale`: what planners, voters and the register cost in a fleet of full size, on
//! loopback. A few planners are processes of their own and are what is measured; the other planners, all
//! machines and the clients are hollow: many in one process, with the real protocol, sockets and frames.
pub mod hollow;
mod laid;
mod site;

use crate::processes::measured_once;
use crate::Failure;
use laid::Laid;
use serde_json::{json, Value};
use site::Site;
use std::io::{self, IsTerminal};
use std::path::Path;
use std::time::Duration;

/// Bounds of a run: processes, and memory of all of them in MiB.
const MOST_PROCESSES: usize = 300;
const MOST_MIB: f64 = 12.0 * 1024.0;
/// Descriptors that a process needs beside its links.
const APART: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Fault {
    None,
    /// Planners of the first region and of the others do not hear each other
    Cut,
    /// The first region hears the others, and is not heard
    OneWay,
    /// The machines of the first zone vanish, and come back
    Zone,
    /// All machines restart, a few at a time
    Roll,
    /// Planners are killed, one in four and ten at most; as many spares stand by
    Kill,
}

#[derive(Clone, clap::Args)]
pub struct Measure {
    /// Planners, each under a seat
    #[arg(long, default_value_t = 84)]
    planners: usize,
    /// How many of them are processes of their own; these are measured, and asked by clients
    #[arg(long, default_value_t = 3)]
    real: usize,
    #[arg(long, default_value_t = 2100)]
    machines: usize,
    #[arg(long, default_value_t = 680)]
    tenants: usize,
    /// Tasks that run at one time, on average
    #[arg(long, default_value_t = 11_000)]
    running: usize,
    /// Tasks a second that clients ask all planners for
    #[arg(long, default_value_t = 520.0)]
    rate: f64,
    /// Real planners get all the load, not their part of it
    #[arg(long)]
    all_load: bool,
    /// Hollow planners link to machines as real ones do
    #[arg(long)]
    hollow_links: bool,
    /// Voters of the council: three or five
    #[arg(long, default_value_t = 3)]
    voters: usize,
    /// The council's term, in milliseconds; the drift is a twenty-fifth of it
    #[arg(long, default_value_t = 5000)]
    term: u64,
    /// Seconds that are measured, after the load has come up
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Seconds that the load comes up in; by default as long as a task runs on average, 5 to 30
    #[arg(long)]
    rise: Option<u64>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Restarts of each machine an hour, on average, drawn from the seed
    #[arg(long, default_value_t = 0.0)]
    restarts: f64,
    /// Tell the installation of three regions
    #[arg(long)]
    regions: bool,
    /// The period of heartbeats in milliseconds; by default the installation does not say
    #[arg(long)]
    heartbeat: Option<u64>,
    /// Each machine is in so many parts; by default every planner links to all machines
    #[arg(long)]
    copies: Option<usize>,
    /// The budget of a planner for control, in bytes a second; by default none
    #[arg(long)]
    bytes: Option<u64>,
    /// What goes wrong in the middle third of the measured time
    #[arg(long, value_enum, default_value = "none")]
    faults: Fault,
}

fn wrong<T>(field: &str, found: impl std::fmt::Display, expected: &str) -> Result<T, Failure> {
    Err(Failure::Wrong(format!("--{field}: found {found}; expected {expected}")))
}

/// What is told of a run while it goes on, on a terminal.
fn progress(what: &str) {
    if io::stderr().is_terminal() {
        eprintln!("measure-scale: {what}");
    }
    tracing::info!(what, "measure-scale");
}

/// Descriptors that a process may have.
fn limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.map_or(usize::MAX, |n| n as usize)
}

impl Measure {
    pub fn run(self, as_json: bool) -> Result<(), Failure> {
        self.check()?;
        let found = measured_once("scale", async |folder: &Path| self.measure(folder).await)?;
        if as_json {
            println!("{found}");
            return Ok(());
        }
        for part in ["shape", "roles", "traffic", "load", "laws"] {
            println!("{part}");
            crate::ask::show(&found[part], false);
            println!();
        }
        Ok(())
    }

    /// What is wrong with the options, before anything is started.
    fn check(&self) -> Result<(), Failure> {
        let at_least = [
            ("planners", self.planners),
            ("real", self.real),
            ("machines", self.machines),
            ("tenants", self.tenants),
            ("running", self.running),
            ("seconds", self.seconds as usize),
        ];
        for (field, found) in at_least {
            if found == 0 {
                return wrong(field, 0, "1 or more; give a higher number");
            }
        }
        if self.real > self.planners {
            let expected =
                format!("{} at most, as --planners says; lower it or raise --planners", self.planners);
            return wrong("real", self.real, &expected);
        }
        if !self.rate.is_finite() || self.rate <= 0.0 {
            return wrong("rate", self.rate, "tasks a second, above 0");
        }
        if ![3, 5].contains(&self.voters) {
            return wrong("voters", self.voters, "3 or 5, as an installation has");
        }
        if self.term < 100 {
            return wrong("term", self.term, "100 ms or more, as an installation has");
        }
        if !(0.0..=3600.0).contains(&self.restarts) {
            return wrong("restarts", self.restarts, "0 to 3600 an hour");
        }
        if self.heartbeat == Some(0) {
            return wrong("heartbeat", 0, "milliseconds, 1 or more");
        }
        if self.copies.is_some_and(|c| c == 0 || c > self.planners) {
            let found = self.copies.unwrap_or(0);
            return wrong("copies", found, &format!("1 to {}, as --planners says", self.planners));
        }
        let (limit, most) = (limit(), self.planner_descriptors());
        if most > limit {
            let has = limit.saturating_sub(APART + self.planners + self.voters);
            let expected = format!(
                "{has} at most, since a planner needs {most} descriptors and a process may have {limit}; \
                 lower it, or raise the limit (ulimit -n)"
            );
            return wrong("machines", self.machines, &expected);
        }
        if self.processes() > MOST_PROCESSES {
            let expected = format!(
                "fewer, since the run would have {} processes, {MOST_PROCESSES} at most; lower it",
                self.processes()
            );
            return wrong("real", self.real, &expected);
        }
        Ok(())
    }

    fn site(&self) -> Site {
        Site {
            planners: self.planners,
            tenants: self.tenants,
            term_ms: self.term,
            regions: self.regions,
            heartbeat_ms: self.heartbeat,
            copies: self.copies,
            bytes: self.bytes,
        }
    }

    /// Links of a planner to machines; without parts all of them.
    fn links(&self) -> usize {
        let part = |copies: usize| (self.machines * copies).div_ceil(self.planners) * 2 + 64;
        self.copies.map_or(self.machines, |c| part(c).min(self.machines))
    }

    fn planner_descriptors(&self) -> usize {
        APART + self.links() + self.planners + self.voters
    }

    fn hollow(&self) -> usize {
        self.planners - self.real
    }

    /// Whether hollow planners link to machines.
    fn hollow_links(&self) -> bool {
        self.hollow_links || self.copies.is_some()
    }

    /// Hollow planners in one process.
    fn planners_each(&self) -> usize {
        let links = if self.hollow_links() { self.links() } else { 0 };
        (limit() / 10 * 9 / (APART + links + self.planners + self.voters)).clamp(1, 20)
    }

    /// Hollow machines in one process.
    fn machines_each(&self) -> usize {
        let linked = match (self.copies, self.hollow_links) {
            (Some(copies), _) => (2 * copies + 4).min(self.planners),
            (None, true) => self.planners,
            (None, false) => self.real + self.spares(),
        };
        let most = (limit() / 10 * 9).saturating_sub(APART) / (1 + linked);
        self.machines.div_ceil(4).clamp(1, most.max(1))
    }

    fn spares(&self) -> usize {
        if self.faults == Fault::Kill {
            (self.real / 4).clamp(1, 10)
        } else {
            0
        }
    }

    fn processes(&self) -> usize {
        let planners = self.real + self.spares() + self.hollow().div_ceil(self.planners_each());
        // Two registers, and two processes of clients.
        planners + self.machines.div_ceil(self.machines_each()) + self.voters + 4
    }

    /// Seconds that a task runs on average.
    fn runs_s(&self) -> f64 {
        self.running as f64 / self.rate
    }

    /// Tasks a second that the real planners are asked for.
    fn asked_rate(&self) -> f64 {
        if self.all_load {
            self.rate
        } else {
            self.rate * self.real as f64 / self.planners as f64
        }
    }

    async fn measure(&self, folder: &Path) -> io::Result<Value> {
        let shape = json!({
            "planners": self.planners, "real_planners": self.real, "machines": self.machines,
            "tenants": self.tenants, "running": self.running, "rate": self.rate,
            "rate_at_real": (self.asked_rate() * 10.0).round() / 10.0, "voters": self.voters,
            "term_ms": self.term, "seconds": self.seconds, "seed": self.seed,
            "heartbeat_ms": self.heartbeat, "copies": self.copies, "bytes": self.bytes,
            "hollow_planners_link": self.hollow_links(), "machines_a_process": self.machines_each(),
            "hollow_planners_a_process": self.planners_each(), "descriptors": limit(),
            "faults": format!("{:?}", self.faults).to_lowercase(),
        });
        let mut laid = Laid::lay(self, folder).await?;
        let usual = (self.runs_s() as u64).clamp(5, 30);
        progress("the load comes up");
        tokio::time::sleep(Duration::from_secs(self.rise.unwrap_or(usual))).await;
        let before = laid.begin().await?;
        let third = Duration::from_millis(self.seconds * 1000 / 3);
        laid.watched(third).await?;
        laid.fault(self.faults).await?;
        laid.watched(third).await?;
        laid.heal(self.faults).await?;
        laid.watched(third).await?;
        let mut found = laid.end(before).await?;
        found["shape"] = shape;
        Ok(found)
    }
}
