//! The `basaltpitch` binary: the planner and voter servers, the operators' commands, and the
//! commands that test and measure an installation.
mod ask;
mod constraints;
mod council;
mod drill;
mod machine;
mod measure;
mod measure_council;
mod measure_scale;
mod measure_seats;
mod node;
mod processes;
mod roll;
mod serve;
mod tenants;

use basaltpitch_config::installation::{self, Installation};
use basaltpitch_config::{ConfigError, Sources};
use clap::{Parser, Subcommand, ValueEnum};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Output {
    Text,
    Json,
}

/// A scheduler for long-running tasks. Exit codes: 0 success, 1 failure, 2 invalid input.
#[derive(Parser)]
#[command(version, about, max_term_width = 110)]
struct Cli {
    /// Format of results on standard output and of logs on standard error
    #[arg(short, long, global = true, value_enum, default_value = "text")]
    output: Output,
    /// Log filter for standard error, such as `info` or `basaltpitch_planner=debug`
    #[arg(long, global = true, default_value = "warn", env = "BASALTPITCH_LOG")]
    log: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a planner
    Serve(serve::Serve),
    /// Run a voter; a quorum of voters grants each planner slot's lease to one process
    Voter(council::RunVoter),
    /// Show the holder of each lease as recorded by each voter, or transfer a lease
    Council(council::ShowLeases),
    /// Start, pause, stop or show a rolling restart of a zone's machines
    Roll(roll::Roll),
    /// Run a planner on the platform, with the configuration file that the platform provides
    Node(node::Node),
    /// Run simulated machines and a registry that lists them
    Machine(machine::Machine),
    /// Run a fault scenario on loopback and check the invariants against the recorded traffic
    Drill(drill::Drill),
    /// Validate an installation's files
    Check {
        /// The installation's files
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Also read all entries from each server of the tenant directory; no planner is contacted
        #[arg(long)]
        directory: bool,
    },
    /// Submit a task and wait for its final answer
    Submit(ask::Submit),
    /// Show open and placed tasks, or one task by its key
    Tasks(ask::Tasks),
    /// Show a planner's state of each machine: link, usage, remaining capacity
    Machines(ask::PlannerConnection),
    /// Show a planner's name, epoch and counters
    Planner(ask::PlannerConnection),
    /// Drain a machine, or end its drain
    Drain(ask::Drain),
    /// Check, explain, compare or apply placement constraints
    #[command(subcommand)]
    Constraints(constraints::Constraints),
    /// Show a planner's tenants, their members and the state of the tenant directory
    Tenants(tenants::Tenants),
    /// Measure one planner's throughput and latency, and compare with a replay of its decisions
    /// alone
    Measure(measure::Measure),
    /// Measure how long a planner slot has no holder after its holder fails or stops
    MeasureSeats(measure_seats::Measure),
    /// Measure the cost of leases for planners and voters, by the number of planners
    MeasureCouncil(measure_council::Measure),
    /// Measure planners, voters and the registry in a full-size, mostly simulated fleet
    MeasureScale(measure_scale::Measure),
    /// Run simulated machines, registries, planners or clients; started by `measure-scale`
    #[command(hide = true, subcommand, alias = "hollow")]
    Simulated(measure_scale::simulated::Simulated),
    /// Replay a planner's recording and compare the calls it makes with the recorded ones
    Replay {
        /// The recording, as written by `serve --record`
        file: PathBuf,
    },
}

/// Why a command failed; the variant selects the exit code.
#[derive(Debug)]
enum Failure {
    /// Exit code 1: the operation was attempted and failed. An empty text prints nothing.
    Failed(String),
    /// Exit code 2: an option, a file or a setting is invalid.
    InvalidInput(String),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = tracing_subscriber::EnvFilter::try_new(&cli.log);
    let filter = match filter {
        Ok(filter) => filter,
        Err(e) => {
            return report_failure(Failure::InvalidInput(format!(
                "--log: found {:?} ({e}); expected a filter such as info",
                cli.log
            )))
        }
    };
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(logs_are_coloured());
    match cli.output {
        Output::Json => logs.json().init(),
        Output::Text => logs.init(),
    }
    let json = cli.output == Output::Json;
    let result = match cli.command {
        Command::Serve(serve) => serve.run(json),
        Command::Voter(voter) => voter.run(json),
        Command::Council(council) => council.run(json),
        Command::Roll(roll) => roll.run(json),
        Command::Node(node) => node.run(),
        Command::Machine(machine) => machine.run(json),
        Command::Drill(drill) => drill.run(json),
        Command::Check { files, directory } => check(&files, directory, json),
        Command::Constraints(constraints) => constraints.run(json),
        Command::Tenants(tenants) => tenants.run(json),
        Command::Submit(submit) => submit.run(json),
        Command::Tasks(tasks) => tasks.run(json),
        Command::Machines(at) => at.run("machines", json),
        Command::Planner(at) => at.run("planner", json),
        Command::Drain(drain) => drain.run(json),
        Command::Measure(measure) => measure.run(json),
        Command::MeasureSeats(measure) => measure.run(json),
        Command::MeasureCouncil(measure) => measure.run(json),
        Command::MeasureScale(measure) => measure.run(json),
        Command::Simulated(simulated) => simulated.run(),
        Command::Replay { file } => replay(&file, json),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => report_failure(failure),
    }
}

/// Returns whether logs are coloured: only on a terminal, and only while `NO_COLOR` is unset or
/// empty.
fn logs_are_coloured() -> bool {
    let is_disabled = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
    std::io::stderr().is_terminal() && !is_disabled
}

/// Prints the failure's text on standard error and returns its exit code.
fn report_failure(failure: Failure) -> ExitCode {
    let (text, code) = match failure {
        Failure::Failed(text) => (text, 1),
        Failure::InvalidInput(text) => (text, 2),
    };
    if !text.is_empty() {
        eprintln!("{}", text.trim_end());
    }
    ExitCode::from(code)
}

/// Loads an installation; the error lists every fault in its files.
fn load(files: &[PathBuf]) -> Result<Installation, Failure> {
    installation::load(files).map_err(|(sources, faults)| config_failure(&sources, &faults))
}

/// Builds the error that lists each fault with the source lines it refers to.
fn config_failure(sources: &Sources, faults: &[ConfigError]) -> Failure {
    let text = faults.iter().map(|fault| format!("{}\n{:?}", fault.render(sources), fault.report(sources)));
    Failure::InvalidInput(text.collect::<Vec<_>>().join("\n"))
}

/// Returns the tenant directory's settings, `None` where the files configure no directory.
fn directory_settings(found: &Installation) -> Result<Option<basaltpitch_ldap::DirectorySettings>, Failure> {
    basaltpitch_ldap::read_settings(&found.all).map_err(|faults| config_failure(&found.sources, &faults))
}

/// Returns the placement constraints of an installation's files, each with its name and
/// `(file:line)`.
fn named_constraints(
    found: &Installation,
) -> Result<Vec<(basaltpitch_constraints::Constraint, String)>, Failure> {
    let constraints = basaltpitch_constraints::parse::parse(&found.all)
        .map_err(|faults| config_failure(&found.sources, &faults))?;
    let with_location = |constraint: basaltpitch_constraints::Constraint| {
        let (file, line, _) = found.sources.location(constraint.at);
        let label = format!("{} ({file}:{line})", constraint.name);
        (constraint, label)
    };
    Ok(constraints.into_iter().map(with_location).collect())
}

/// Validates an installation's files; with `read_directory` also reads the tenant directory's
/// servers.
fn check(files: &[PathBuf], read_directory: bool, json: bool) -> Result<(), Failure> {
    let found = load(files)?;
    named_constraints(&found)?;
    let directory = directory_settings(&found)?;
    if read_directory {
        let none =
            || Failure::InvalidInput("--directory: found no directory in these files; expected one".into());
        return tenants::try_directory(&directory.ok_or_else(none)?, json);
    }
    let name_count = |list: &str| found.names(list).len();
    if json {
        let found = serde_json::json!({
            "frameworks": found.names("frameworks"), "kinds": found.names("kinds"),
            "zones": found.names("zones"), "tenants": found.names("tenants"),
        });
        println!("{found}");
    } else {
        println!(
            "right: {} frameworks, {} kinds of machine, {} zones, {} tenants",
            name_count("frameworks"),
            name_count("kinds"),
            name_count("zones"),
            name_count("tenants")
        );
    }
    Ok(())
}

/// Replays a recording and fails at the first call that differs from the recorded one.
fn replay(path: &std::path::Path, json: bool) -> Result<(), Failure> {
    use basaltpitch_planner::recording::{replay, ReplayOutcome};
    let file =
        std::fs::File::open(path).map_err(|e| Failure::InvalidInput(format!("{}: {e}", path.display())))?;
    let found = replay(std::io::BufReader::new(file));
    match found.map_err(|e| Failure::InvalidInput(format!("{}: {e}", path.display())))? {
        ReplayOutcome::Same { events, calls } if json => {
            println!("{}", serde_json::json!({"same": true, "told": events, "calls": calls}))
        }
        ReplayOutcome::Same { events, calls } => println!("same: {calls} calls after {events} things told"),
        ReplayOutcome::Differs { line, recorded, now } => {
            let text = format!("{}: line {line}: recorded {recorded:?}, now {now:?}", path.display());
            return Err(Failure::Failed(text));
        }
    }
    Ok(())
}
