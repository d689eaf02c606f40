//! `basaltpitch measure-scale`: measures planners, voters and the registry in a fleet of full size
//! on loopback. A few planners are processes of their own (real planners) and are measured. The
//! other planners, all machines and all clients are simulated: many share one process, but use the
//! real protocol, sockets and frames.
mod believe;
mod pages;
mod run;
pub mod simulated;
mod site;

use crate::processes::measure_in_temp_folder;
use crate::Failure;
use run::ScaleRun;
use serde_json::{json, Value};
use site::InstallationParams;
use std::io::{self, IsTerminal};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The maximum number of processes in a run.
const MAX_PROCESSES: usize = 300;
/// The maximum resident memory of all processes of a run, in MiB.
const MAX_MIB: f64 = 12.0 * 1024.0;
/// File descriptors that a process needs besides its links.
const BASE_DESCRIPTORS: usize = 64;

/// A fault that a run injects in the middle third of the measured time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Fault {
    /// No fault
    None,
    /// No data passes between one region's planners and those of other regions
    Cut,
    /// No data passes from one region's planners to those of other regions; the reverse still works
    OneWay,
    /// All machines of one zone disappear and later return
    Zone,
    /// All machines restart, a few at a time
    Roll,
    /// One real planner in four, at least one and at most ten, is killed; as many spares run
    Kill,
}

/// The arguments of `basaltpitch measure-scale`.
#[derive(Clone, clap::Args)]
pub struct Measure {
    /// Number of planners, each with a slot
    #[arg(long, default_value_t = 84)]
    planners: usize,
    /// Number of real planners: processes of their own, which clients submit to and which are
    /// measured
    #[arg(long, default_value_t = 3)]
    real: usize,
    /// Number of simulated machines
    #[arg(long, default_value_t = 2100)]
    machines: usize,
    /// Number of tenants
    #[arg(long, default_value_t = 680)]
    tenants: usize,
    /// Average number of running tasks
    #[arg(long, default_value_t = 11_000)]
    running: usize,
    /// Tasks a second that are requested from all planners together
    #[arg(long, default_value_t = 520.0)]
    rate: f64,
    /// Send the load of all planners to the real planners instead of their share of it
    #[arg(long)]
    all_load: bool,
    /// Simulated planners link to machines as real planners do
    #[arg(long)]
    hollow_links: bool,
    /// Number of voters, 3 or 5
    #[arg(long, default_value_t = 3)]
    voters: usize,
    /// Lease duration in milliseconds; the clock drift is a twenty-fifth of it
    #[arg(long, default_value_t = 5000)]
    term: u64,
    /// Duration of the measurement in seconds, after the warm-up
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Seconds of load before the measurement; by default the average run time of a task, 5 to 30
    #[arg(long)]
    rise: Option<u64>,
    /// Seed of the random number generators
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Average restarts of each machine per hour, at random times
    #[arg(long, default_value_t = 0.0)]
    restarts: f64,
    /// Configure three regions in the installation
    #[arg(long)]
    regions: bool,
    /// Heartbeat period in milliseconds; by default the installation's default
    #[arg(long)]
    heartbeat: Option<u64>,
    /// Number of planners whose subset each machine is in; by default every planner links to all
    /// machines
    #[arg(long)]
    copies: Option<usize>,
    /// A planner's budget for control traffic, in bytes a second; by default unlimited
    #[arg(long)]
    bytes: Option<u64>,
    /// Fault to inject in the middle third of the measured time
    #[arg(long, value_enum, default_value = "none")]
    faults: Fault,
    /// Region that is cut off (cut, one-way) or whose first zone disappears (zone)
    #[arg(long, default_value = "east")]
    region: String,
    /// Check that the traffic counters by kind add up to the bytes on the sockets; for small runs
    #[arg(long)]
    counters: bool,
    /// Compare traffic and CPU time of simulated planners and machines with real ones instead, and
    /// fail where the difference exceeds its bound
    #[arg(long, conflicts_with_all = ["sweep", "into"])]
    believe: bool,
    /// Run several times with different values of machines, planners, tenants, running or rate,
    /// such as machines=500,1000,1500,2100, and fit a line to each measured figure
    #[arg(long)]
    sweep: Option<String>,
    /// Markdown page to write the tables into, between the lines `<!-- measured: MARK -->` and
    /// `<!-- end -->`
    #[arg(long)]
    into: Option<PathBuf>,
    /// Mark in that page; by default the axis of the sweep, or the fault
    #[arg(long, requires = "into")]
    mark: Option<String>,
}

/// The sections of a report, each with the name of its first column; empty stands for the axis of
/// the sweep.
const SECTIONS: [(&str, &str); 8] = [
    ("shape", "what"),
    ("roles", "role"),
    ("traffic", "kind"),
    ("load", "framework"),
    ("seen", "what"),
    ("laws", "what"),
    ("rows", ""),
    ("lines", "figure"),
];

/// Returns a section's rows; an object becomes one row per field.
fn rows_of(value: &Value, first: &str) -> Value {
    match value {
        Value::Object(fields) => {
            fields.iter().map(|(name, value)| json!({first: name, "found": value})).collect()
        }
        rows => rows.clone(),
    }
}

/// Renders the text of a page: the command line, then each section as a table.
fn page_text(report: &Value) -> String {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let mut text = format!("`basaltpitch {}`\n", args.join(" "));
    for (section, first) in SECTIONS.iter().filter(|p| !report[p.0].is_null()) {
        let axis = report["axis"].as_str().unwrap_or("");
        let first = if first.is_empty() { axis } else { first };
        text += &format!("\n{}", pages::table(&rows_of(&report[section], first), first));
    }
    text
}

/// Returns the error for an invalid option.
fn invalid_option<T>(field: &str, found: impl std::fmt::Display, expected: &str) -> Result<T, Failure> {
    Err(Failure::InvalidInput(format!("--{field}: found {found}; expected {expected}")))
}

/// Reports the progress of a run in the log and, on a terminal, on standard error.
fn progress(what: &str) {
    if io::stderr().is_terminal() {
        eprintln!("measure-scale: {what}");
    }
    tracing::info!(what, "measure-scale");
}

/// Returns the limit of open file descriptors per process.
fn descriptor_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.map_or(usize::MAX, |n| n as usize)
}

impl Fault {
    /// Returns the fault's name on the command line.
    fn option_name(self) -> String {
        clap::ValueEnum::to_possible_value(&self).map_or(String::new(), |v| v.get_name().to_owned())
    }
}

impl Measure {
    /// Runs the measurement, sweep or comparison, prints the report and updates the page, if one is
    /// given.
    ///
    /// # Errors
    /// The options are invalid, a run failed, or one of its checks failed.
    pub fn run(self, as_json: bool) -> Result<(), Failure> {
        if self.believe {
            self.check()?;
            let rows = measure_in_temp_folder("believe", async |folder: &Path| {
                believe::compare_all(&self, folder).await
            })?;
            let failed_rows = rows.iter().filter(|r| r["believed"] == false).count();
            crate::ask::print_value(&Value::Array(rows), as_json);
            return match failed_rows {
                0 => Ok(()),
                n => Err(Failure::Failed(format!(
                    "{n} figures of simulated planners or machines differ from real ones by more than their bound"
                ))),
            };
        }
        let sweep = self.sweep.as_deref().map(pages::Sweep::read).transpose()?;
        let runs = sweep.as_ref().map_or_else(|| vec![self.clone()], |s| s.runs(&self));
        runs.iter().try_for_each(Measure::check)?;
        let default_mark = sweep.as_ref().map_or(self.faults.option_name(), |s| s.axis.clone());
        let mark = self.mark.clone().unwrap_or(default_mark);
        let page = self.into.as_ref().map(|page| pages::Page::find(page, &mark)).transpose()?;
        let mut reports = Vec::new();
        for run in &runs {
            reports.push(measure_in_temp_folder("scale", async |folder: &Path| run.measure(folder).await)?);
        }
        let report = match &sweep {
            None => reports[0].clone(),
            Some(sweep) => {
                let rows = sweep
                    .points
                    .iter()
                    .zip(&reports)
                    .map(|(point, report)| pages::row(&sweep.axis, *point, report));
                let rows: Vec<Value> = rows.collect();
                let lines = pages::fit_lines(&sweep.axis, &rows);
                json!({"axis": sweep.axis, "lines": lines, "rows": rows, "runs": reports})
            }
        };
        if let Some(page) = page {
            page.write(&page_text(&report))?;
        }
        if as_json {
            println!("{report}");
        } else {
            for (section, first) in SECTIONS.iter().filter(|p| !report[p.0].is_null()) {
                println!("{section}");
                crate::ask::print_value(&rows_of(&report[section], first), false);
                println!();
            }
        }
        let has_failed_check =
            |report: &&Value| report["laws"].as_object().into_iter().flatten().any(|l| *l.1 == json!(false));
        match reports.iter().find(has_failed_check) {
            Some(report) => Err(Failure::Failed(format!("checks of the run failed: {}", report["laws"]))),
            None => Ok(()),
        }
    }

    /// Validates the options before anything is started.
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
                return invalid_option(field, 0, "1 or more; give a higher number");
            }
        }
        if self.real > self.planners {
            let expected =
                format!("{} at most, as --planners says; lower it or raise --planners", self.planners);
            return invalid_option("real", self.real, &expected);
        }
        if !self.rate.is_finite() || self.rate <= 0.0 {
            return invalid_option("rate", self.rate, "tasks a second, above 0");
        }
        if ![3, 5].contains(&self.voters) {
            return invalid_option("voters", self.voters, "3 or 5, as an installation has");
        }
        if self.term < 100 {
            return invalid_option("term", self.term, "100 ms or more, as an installation has");
        }
        if !(0.0..=3600.0).contains(&self.restarts) {
            return invalid_option("restarts", self.restarts, "0 to 3600 an hour");
        }
        if !site::REGIONS.iter().any(|r| r.0 == self.region) {
            let names: Vec<&str> = site::REGIONS.iter().map(|r| r.0).collect();
            return invalid_option(
                "region",
                format!("{:?}", self.region),
                &format!("one of {}", names.join(", ")),
            );
        }
        if self.heartbeat == Some(0) {
            return invalid_option("heartbeat", 0, "milliseconds, 1 or more");
        }
        if self.copies.is_some_and(|c| c == 0 || c > self.planners) {
            let found = self.copies.unwrap_or(0);
            return invalid_option("copies", found, &format!("1 to {}, as --planners says", self.planners));
        }
        let (limit, needed) = (descriptor_limit(), self.planner_descriptors());
        if needed > limit {
            let allowed = limit.saturating_sub(BASE_DESCRIPTORS + self.planners + self.voters);
            let expected = format!(
                "{allowed} at most, since a planner needs {needed} descriptors and a process may have {limit}; \
                 lower it, or raise the limit (ulimit -n)"
            );
            return invalid_option("machines", self.machines, &expected);
        }
        if self.processes() > MAX_PROCESSES {
            let expected = format!(
                "fewer, since the run would have {} processes, {MAX_PROCESSES} at most; lower it",
                self.processes()
            );
            return invalid_option("real", self.real, &expected);
        }
        Ok(())
    }

    /// Returns the parameters of the run's installation.
    fn installation_params(&self) -> InstallationParams {
        InstallationParams {
            planners: self.planners,
            tenants: self.tenants,
            lease_ms: self.term,
            regions: self.regions,
            heartbeat_ms: self.heartbeat,
            planners_per_machine: self.copies,
            control_bytes_per_s: self.bytes,
        }
    }

    /// Returns the descriptors of one planner. It links to all machines; with subsets it does so
    /// too when it starts, to fetch the inventory of each.
    fn planner_descriptors(&self) -> usize {
        BASE_DESCRIPTORS + self.machines + self.planners + self.voters
    }

    /// Returns the number of simulated planners.
    fn simulated_planners(&self) -> usize {
        self.planners - self.real
    }

    /// Returns whether simulated planners link to machines.
    fn hollow_links(&self) -> bool {
        self.hollow_links || self.copies.is_some()
    }

    /// Returns the number of simulated planners per process, as the descriptor limit allows, 20 at
    /// most.
    fn planners_per_process(&self) -> usize {
        let links = if self.hollow_links() { self.machines } else { 0 };
        (descriptor_limit() / 10 * 9 / (BASE_DESCRIPTORS + links + self.planners + self.voters)).clamp(1, 20)
    }

    /// Returns the number of simulated machines per process, at most a quarter of them.
    fn machines_per_process(&self) -> usize {
        let links_per_machine = match (self.copies, self.hollow_links) {
            // Planners that start together fetch the machine's inventory at the same time.
            (Some(copies), _) => {
                let starting_planners = (self.real + self.spares()).max(self.planners_per_process());
                (2 * copies + 4 + starting_planners).min(self.planners + self.spares())
            }
            (None, true) => self.planners,
            (None, false) => self.real + self.spares(),
        };
        let max_machines =
            (descriptor_limit() / 10 * 9).saturating_sub(BASE_DESCRIPTORS) / (1 + links_per_machine);
        self.machines.div_ceil(4).clamp(1, max_machines.max(1))
    }

    /// Returns the number of spare planners: as many as the fault `kill` kills, else none.
    fn spares(&self) -> usize {
        if self.faults == Fault::Kill {
            (self.real / 4).clamp(1, 10)
        } else {
            0
        }
    }

    /// Returns the number of processes that the run starts.
    fn processes(&self) -> usize {
        let planners =
            self.real + self.spares() + self.simulated_planners().div_ceil(self.planners_per_process());
        // The 4: two registries and two processes of clients.
        planners + self.machines.div_ceil(self.machines_per_process()) + self.voters + 4
    }

    /// Returns the average run time of a task in seconds.
    fn runs_s(&self) -> f64 {
        self.running as f64 / self.rate
    }

    /// Returns the tasks a second that are requested from the real planners.
    fn real_rate(&self) -> f64 {
        if self.all_load {
            self.rate
        } else {
            self.rate * self.real as f64 / self.planners as f64
        }
    }

    /// Runs one measurement, with the fault in the middle third, and returns its report.
    async fn measure(&self, folder: &Path) -> io::Result<Value> {
        let shape = json!({
            "planners": self.planners, "real_planners": self.real, "machines": self.machines,
            "tenants": self.tenants, "running": self.running, "rate": self.rate,
            "rate_at_real": (self.real_rate() * 10.0).round() / 10.0, "voters": self.voters,
            "term_ms": self.term, "seconds": self.seconds, "seed": self.seed,
            "heartbeat_ms": self.heartbeat, "copies": self.copies, "bytes": self.bytes,
            "hollow_planners_link": self.hollow_links(), "machines_a_process": self.machines_per_process(),
            "hollow_planners_a_process": self.planners_per_process(), "descriptors": descriptor_limit(),
            "faults": self.faults.option_name(),
        });
        let mut run = ScaleRun::start(self, folder).await?;
        let default_warm_up_s = (self.runs_s() as u64).clamp(5, 30);
        run.start_clients().await?;
        progress("warming up: clients submit before the measurement starts");
        tokio::time::sleep(Duration::from_secs(self.rise.unwrap_or(default_warm_up_s))).await;
        let before = run.begin().await?;
        let third = Duration::from_millis(self.seconds * 1000 / 3);
        run.watch_memory(third).await?;
        run.fault(self.faults).await?;
        run.watch_memory(third).await?;
        run.heal(self.faults).await?;
        run.watch_memory(third).await?;
        let mut report = run.end(before).await?;
        report["shape"] = shape;
        Ok(report)
    }
}
