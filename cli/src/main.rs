//! `basaltpitch`: the planner service and the operators' command line.
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

/// A scheduler for long-running tasks. Exit codes: 0 done, 1 it did not work out, 2 wrong input.
#[derive(Parser)]
#[command(version, about, max_term_width = 110)]
struct Cli {
    /// How results and logs are written
    #[arg(short, long, global = true, value_enum, default_value = "text")]
    output: Output,
    /// What is logged on standard error, such as `info` or `basaltpitch_planner=debug`
    #[arg(long, global = true, default_value = "warn", env = "BASALTPITCH_LOG")]
    log: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a planner
    Serve(serve::Serve),
    /// Run a voter of the council, which agrees on which planner has which seat
    Voter(council::Vote),
    /// Show who holds what, as each voter of the council has it
    Council(council::Show),
    /// Restart the machines of a zone a few at a time, whichever planner conducts it
    Roll(roll::Roll),
    /// Run a planner on the platform, from the configuration that it hands over
    Node(node::Node),
    /// Run stand-in machines, with a register that lists them
    Machine(machine::Machine),
    /// Play a scripted day of trouble on loopback and judge the five rules by the traffic
    Drill(drill::Drill),
    /// Check an installation's files
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Ask each server of the directory for everything, too; no planner is touched
        #[arg(long)]
        directory: bool,
    },
    /// Submit a task and wait for its answer
    Submit(ask::Submit),
    /// Show open and placed tasks, or one
    Tasks(ask::Tasks),
    /// Show what a planner believes of each machine
    Machines(ask::PlannerConnection),
    /// Show a planner's name, epoch and counts
    Planner(ask::PlannerConnection),
    /// Drain a machine, or take that back
    Drain(ask::Drain),
    /// Clauses on where tasks may run
    #[command(subcommand)]
    Constraints(constraints::Constraints),
    /// What a planner knows of tenants, and the state of the directory
    Tenants(tenants::Tenants),
    /// Measure what one planner carries, beside the bare decisions on the same events
    Measure(measure::Measure),
    /// Measure how long a seat stands without a planner when its holder ceases
    MeasureSeats(measure_seats::Measure),
    /// Measure what the council costs members and voters, by the number of members
    MeasureCouncil(measure_council::Measure),
    /// Measure planners, voters and the register in a fleet of full size, most of it hollow
    MeasureScale(measure_scale::Measure),
    /// Hollow machines, their register, planners and clients: what `measure-scale` starts
    #[command(hide = true, subcommand, alias = "hollow")]
    Simulated(measure_scale::simulated::Simulated),
    /// Tell the decisions what a recording holds and compare their calls
    Replay { file: PathBuf },
}

/// What went wrong, by exit code.
#[derive(Debug)]
enum Failure {
    /// 1: it was tried and did not work out.
    Failed(String),
    /// 2: the input was wrong.
    InvalidInput(String),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = tracing_subscriber::EnvFilter::try_new(&cli.log);
    let filter = match filter {
        Ok(filter) => filter,
        Err(e) => {
            return fail(Failure::InvalidInput(format!(
                "--log: found {:?} ({e}); expected such as info",
                cli.log
            )))
        }
    };
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(logs_have_colours());
    match cli.output {
        Output::Json => logs.json().init(),
        Output::Text => logs.init(),
    }
    let json = cli.output == Output::Json;
    let done = match cli.command {
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
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => fail(failure),
    }
}

/// Colour codes go to a terminal only, and to none where `NO_COLOR` is set to anything.
fn logs_have_colours() -> bool {
    let is_unwanted = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
    std::io::stderr().is_terminal() && !is_unwanted
}

fn fail(failure: Failure) -> ExitCode {
    let (text, code) = match failure {
        Failure::Failed(text) => (text, 1),
        Failure::InvalidInput(text) => (text, 2),
    };
    if !text.is_empty() {
        eprintln!("{}", text.trim_end());
    }
    ExitCode::from(code)
}

/// Reads an installation, or says all that is wrong with it.
fn load(files: &[PathBuf]) -> Result<Installation, Failure> {
    installation::load(files).map_err(|(sources, faults)| wrong(&sources, &faults))
}

/// All that is wrong with files, each with its lines.
fn wrong(sources: &Sources, faults: &[ConfigError]) -> Failure {
    let text = faults.iter().map(|f| format!("{}\n{:?}", f.render(sources), f.report(sources)));
    Failure::InvalidInput(text.collect::<Vec<_>>().join("\n"))
}

/// The directory that an installation's files name, or all that is wrong with it.
fn directory_settings(found: &Installation) -> Result<Option<basaltpitch_ldap::DirectorySettings>, Failure> {
    basaltpitch_ldap::read_settings(&found.all).map_err(|faults| wrong(&found.sources, &faults))
}

/// The clauses of an installation's files with a name and place of each, or all that is wrong with them.
fn named_constraints(
    found: &Installation,
) -> Result<Vec<(basaltpitch_constraints::Constraint, String)>, Failure> {
    let read =
        basaltpitch_constraints::parse::parse(&found.all).map_err(|faults| wrong(&found.sources, &faults))?;
    let placed = |c: basaltpitch_constraints::Constraint| {
        let (file, line, _) = found.sources.location(c.at);
        let words = format!("{} ({file}:{line})", c.name);
        (c, words)
    };
    Ok(read.into_iter().map(placed).collect())
}

fn check(files: &[PathBuf], ask: bool, json: bool) -> Result<(), Failure> {
    let found = load(files)?;
    named_constraints(&found)?;
    let directory = directory_settings(&found)?;
    if ask {
        let none =
            || Failure::InvalidInput("--directory: found no directory in these files; expected one".into());
        return tenants::try_directory(&directory.ok_or_else(none)?, json);
    }
    let count = |list: &str| found.names(list).len();
    if json {
        let found = serde_json::json!({
            "frameworks": found.names("frameworks"), "kinds": found.names("kinds"),
            "zones": found.names("zones"), "tenants": found.names("tenants"),
        });
        println!("{found}");
    } else {
        println!(
            "right: {} frameworks, {} kinds of machine, {} zones, {} tenants",
            count("frameworks"),
            count("kinds"),
            count("zones"),
            count("tenants")
        );
    }
    Ok(())
}

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
