//! `basaltpitch measure-scale`: what planners, voters and the register cost in a fleet of full size, on
//! loopback. A few planners are processes of their own and are what is measured; the other planners, all
//! machines and the clients are hollow: many in one process, with the real protocol, sockets and frames.
mod believe;
mod pages;
mod run;
pub mod simulated;
mod site;

use crate::processes::measure_in_temp_folder;
use crate::Failure;
use run::ScaleRun;
use serde_json::{json, Value};
use site::Site;
use std::io::{self, IsTerminal};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Bounds of a run: processes, and memory of all of them in MiB.
const MOST_PROCESSES: usize = 300;
const MOST_MIB: f64 = 12.0 * 1024.0;
/// Descriptors that a process needs beside its links.
const APART: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Fault {
    None,
    /// Planners of one region and of the others do not hear each other
    Cut,
    /// Planners of one region hear the others, and are not heard
    OneWay,
    /// The machines of a zone vanish, and come back
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
    /// The region that is cut off, or whose first zone is lost
    #[arg(long, default_value = "east")]
    region: String,
    /// Check that what was counted by kind adds up to what the sockets carried; for small runs
    #[arg(long)]
    counters: bool,
    /// Lay hollow planners and machines beside real ones instead, compare what both carry and use, and fail
    /// where they are further apart than a bound
    #[arg(long, conflicts_with_all = ["sweep", "into"])]
    believe: bool,
    /// Several runs along one axis: machines, planners, tenants, running or rate, such as
    /// machines=500,1000,1500,2100; lines are drawn through what was measured
    #[arg(long)]
    sweep: Option<String>,
    /// A page that the tables go into, between the lines `<!-- measured: MARK -->` and `<!-- end -->`
    #[arg(long)]
    into: Option<PathBuf>,
    /// The mark in that page; by default the axis of a sweep, or what goes wrong
    #[arg(long, requires = "into")]
    mark: Option<String>,
}

/// What is shown of a run or a sweep, and the first column of each table.
const PARTS: [(&str, &str); 8] = [
    ("shape", "what"),
    ("roles", "role"),
    ("traffic", "kind"),
    ("load", "framework"),
    ("seen", "what"),
    ("laws", "what"),
    ("rows", ""),
    ("lines", "figure"),
];

/// Rows as they are, or a row for each field of one thing.
fn rows_of(value: &Value, first: &str) -> Value {
    match value {
        Value::Object(fields) => fields.iter().map(|(k, v)| json!({first: k, "found": v})).collect(),
        rows => rows.clone(),
    }
}

/// What a page is told, with the command that tells it anew.
fn tables(whole: &Value) -> String {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let mut text = format!("`basaltpitch {}`\n", args.join(" "));
    for (part, first) in PARTS.iter().filter(|p| !whole[p.0].is_null()) {
        let axis = whole["axis"].as_str().unwrap_or("");
        let first = if first.is_empty() { axis } else { first };
        text += &format!("\n{}", pages::table(&rows_of(&whole[part], first), first));
    }
    text
}

fn wrong<T>(field: &str, found: impl std::fmt::Display, expected: &str) -> Result<T, Failure> {
    Err(Failure::InvalidInput(format!("--{field}: found {found}; expected {expected}")))
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

impl Fault {
    /// Its name as an option.
    fn word(self) -> String {
        clap::ValueEnum::to_possible_value(&self).map_or(String::new(), |v| v.get_name().to_owned())
    }
}

impl Measure {
    pub fn run(self, as_json: bool) -> Result<(), Failure> {
        if self.believe {
            self.check()?;
            let rows = measure_in_temp_folder("believe", async |folder: &Path| {
                believe::believe(&self, folder).await
            })?;
            let doubted = rows.iter().filter(|r| r["believed"] == false).count();
            crate::ask::print_value(&Value::Array(rows), as_json);
            return match doubted {
                0 => Ok(()),
                n => Err(Failure::Failed(format!(
                    "{n} figures of hollow ones are further apart than their bound"
                ))),
            };
        }
        let sweep = self.sweep.as_deref().map(pages::Sweep::read).transpose()?;
        let runs = sweep.as_ref().map_or_else(|| vec![self.clone()], |s| s.runs(&self));
        runs.iter().try_for_each(Measure::check)?;
        let usual = sweep.as_ref().map_or(self.faults.word(), |s| s.axis.clone());
        let mark = self.mark.clone().unwrap_or(usual);
        let page = self.into.as_ref().map(|page| pages::Page::find(page, &mark)).transpose()?;
        let mut found = Vec::new();
        for run in &runs {
            found.push(measure_in_temp_folder("scale", async |folder: &Path| run.measure(folder).await)?);
        }
        let whole = match &sweep {
            None => found[0].clone(),
            Some(sweep) => {
                let rows = sweep.points.iter().zip(&found).map(|(at, f)| pages::row(&sweep.axis, *at, f));
                let rows: Vec<Value> = rows.collect();
                let lines = pages::fits(&sweep.axis, &rows);
                json!({"axis": sweep.axis, "lines": lines, "rows": rows, "runs": found})
            }
        };
        if let Some(page) = page {
            page.write(&tables(&whole))?;
        }
        if as_json {
            println!("{whole}");
        } else {
            for (part, first) in PARTS.iter().filter(|p| !whole[p.0].is_null()) {
                println!("{part}");
                crate::ask::print_value(&rows_of(&whole[part], first), false);
                println!();
            }
        }
        let broken = |f: &&Value| f["laws"].as_object().into_iter().flatten().any(|l| *l.1 == json!(false));
        match found.iter().find(broken) {
            Some(f) => Err(Failure::Failed(format!("laws are broken: {}", f["laws"]))),
            None => Ok(()),
        }
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
        if !site::REGIONS.iter().any(|r| r.0 == self.region) {
            let names: Vec<&str> = site::REGIONS.iter().map(|r| r.0).collect();
            return wrong("region", format!("{:?}", self.region), &format!("one of {}", names.join(", ")));
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

    /// A planner links to all machines; with parts it visits each once when it begins.
    fn planner_descriptors(&self) -> usize {
        APART + self.machines + self.planners + self.voters
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
        let links = if self.hollow_links() { self.machines } else { 0 };
        (limit() / 10 * 9 / (APART + links + self.planners + self.voters)).clamp(1, 20)
    }

    /// Hollow machines in one process.
    fn machines_each(&self) -> usize {
        let linked = match (self.copies, self.hollow_links) {
            // Those that begin together visit it together.
            (Some(copies), _) => {
                let begin = (self.real + self.spares()).max(self.planners_each());
                (2 * copies + 4 + begin).min(self.planners + self.spares())
            }
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
            "faults": self.faults.word(),
        });
        let mut run = ScaleRun::start(self, folder).await?;
        let usual = (self.runs_s() as u64).clamp(5, 30);
        run.ask().await?;
        progress("the load comes up");
        tokio::time::sleep(Duration::from_secs(self.rise.unwrap_or(usual))).await;
        let before = run.begin().await?;
        let third = Duration::from_millis(self.seconds * 1000 / 3);
        run.watched(third).await?;
        run.fault(self.faults).await?;
        run.watched(third).await?;
        run.heal(self.faults).await?;
        run.watched(third).await?;
        let mut found = run.end(before).await?;
        found["shape"] = shape;
        Ok(found)
    }
}
