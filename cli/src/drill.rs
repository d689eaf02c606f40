//! `basaltpitch drill`: runs a fault scenario on loopback, checks the invariants against the
//! recorded traffic and prints the report.
use crate::{load, Failure};
use basaltpitch_invariants::Violation;
use basaltpitch_testbed::drill::{run, DrillReport};
use basaltpitch_testbed::drill_config::DrillConfig;
use basaltpitch_testbed::process_harness::SlotReport;
use std::path::PathBuf;

/// The maximum number of violations in the text report.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// The invariants of every scenario: the number, and the name in the text report.
const INVARIANTS: [(u8, &str); 7] = [
    (1, "one final answer, in time"),
    (2, "no double effect"),
    (3, "drains kept"),
    (4, "cold machines spared"),
    (5, "spread kept"),
    (10, "a hall returns by steps"),
    (11, "worth more goes first"),
];
/// The invariants that are checked only in scenarios with planner slots.
const SLOT_INVARIANTS: [(u8, &str); 2] = [(7, "one holder acts"), (8, "rolls within their limit")];
/// The number of the invariant that tasks satisfy their placement constraints.
const PLACEMENT_INVARIANT: u8 = 6;

/// The arguments of `basaltpitch drill`.
#[derive(clap::Args)]
pub struct Drill {
    /// The installation's files; one of them describes the scenario in the field `day`
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Seed of the random number generator; by default the seed of the scenario
    #[arg(long)]
    seed: Option<u64>,
    /// Folder that the planners write their recordings into
    #[arg(long)]
    record: Option<PathBuf>,
}

impl Drill {
    /// Runs the scenario and prints its report.
    ///
    /// # Errors
    /// The scenario is invalid or could not be run, or an invariant was violated (`Failed` without
    /// a text).
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let installation = load(&self.files)?;
        if installation.all.get("day").is_none() {
            return Err(Failure::InvalidInput(
                "found no field day in these files; expected the description of a fault scenario".into(),
            ));
        }
        let binary = std::env::current_exe().map_err(|e| Failure::Failed(e.to_string()))?;
        let config =
            DrillConfig { installation, files: self.files, binary, seed: self.seed, recordings: self.record };
        let report = run(config).map_err(|e| Failure::Failed(e.to_string()))?;
        if json {
            println!("{}", serde_json::to_string(&report).map_err(|e| Failure::Failed(e.to_string()))?);
        } else {
            print!("{}", text_of(&report));
        }
        let slots_kept = report.slots.as_ref().is_none_or(|slots| slots.errors.is_empty());
        if report.violations.is_empty() && report.tenant_errors.is_empty() && slots_kept {
            Ok(())
        } else {
            Err(Failure::Failed(String::new()))
        }
    }
}

/// Renders the report as text.
fn text_of(report: &DrillReport) -> String {
    let mut text = format!(
        "seed {}: {} machines, {} planners, {} tasks wanted\n\n",
        report.seed, report.machines, report.planners, report.tasks
    );
    for (name, value) in totals(report) {
        text += &format!("{name:26}{value}\n");
    }
    text.push('\n');
    let violated =
        report.violations.iter().filter(|violation| violation.invariant == PLACEMENT_INVARIANT).count();
    if violated > 0 {
        text += &format!("clauses BROKEN {violated} times\n");
    }
    for (number, name) in INVARIANTS {
        text += &invariant_line(number, name, &report.violations);
    }
    if report.stale_answers + report.newcomer_answers > 0 || !report.tenant_errors.is_empty() {
        text += &format!(
            "tenants: {} answers said that they rest on old knowledge, {} to a newcomer once known, {} wrong\n",
            report.stale_answers,
            report.newcomer_answers,
            report.tenant_errors.len()
        );
        report.tenant_errors.iter().for_each(|error| text += &format!("  {error}\n"));
    }
    if let Some(slots) = &report.slots {
        for (number, name) in SLOT_INVARIANTS {
            text += &invariant_line(number, name, &report.violations);
        }
        text += &slot_lines(slots);
    }
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        let Violation { invariant, at_us, planner, subject, description } = violation;
        text += &format!("\nrule {invariant} at {at_us} us, {planner}, {subject}: {description}");
    }
    if !report.violations.is_empty() {
        text.push('\n');
    }
    text
}

/// Returns the rows of the report's table: label and value.
fn totals(report: &DrillReport) -> [(&'static str, String); 14] {
    let DrillReport { traffic, placed_ms, .. } = report;
    [
        ("askings", traffic.requests.to_string()),
        ("  placed", traffic.placed.to_string()),
        ("  declined", traffic.declined.to_string()),
        ("  aborted", traffic.aborted.to_string()),
        ("  no answer owed", traffic.excused.to_string()),
        ("launches", format!("{} ({} seen twice)", traffic.launches, traffic.repeated_launches)),
        ("  accepted", traffic.accepted.to_string()),
        ("  refused", traffic.refused.to_string()),
        ("tasks run", report.ran.to_string()),
        (
            "tasks done",
            format!(
                "{} ({} lost on the way, {} never placed)",
                report.completed, report.lost, report.unplaced
            ),
        ),
        (
            "submit to placed",
            format!("p50 {} ms, p99 {} ms, p99.9 {} ms", placed_ms.p50, placed_ms.p99, placed_ms.p999),
        ),
        (
            "worth of what was asked",
            format!(
                "{:.0}, placed {:.0}, within its latency goal {:.0}",
                traffic.weight_requested, traffic.weight_placed, traffic.weight_in_objective
            ),
        ),
        ("taken in and missed", traffic.missed.to_string()),
        ("offers to a cold machine", format!("{} in a window at most", traffic.max_warm_up_offers)),
    ]
}

/// Renders one invariant: kept, or how often it was violated.
fn invariant_line(number: u8, name: &str, violations: &[Violation]) -> String {
    let violated = violations.iter().filter(|violation| violation.invariant == number).count();
    let result = if violated == 0 { "kept".to_owned() } else { format!("BROKEN {violated} times") };
    // Two-digit numbers get a narrower name, so that the results line up in one column.
    let width = if number < 10 { 26 } else { 25 };
    format!("rule {number} {name:width$}{result}\n")
}

/// Renders how long slots were without a holder, by fault, and the errors found.
fn slot_lines(slots: &SlotReport) -> String {
    let held_percent = slots.held * 100.0;
    let mut text = format!("\nseats: {} hand-overs, held {held_percent:.2}% of the time\n", slots.takeovers);
    for times in slots.by_fault.iter().chain(&slots.first_launch) {
        text += &format!(
            "  {:24}{:4} times, in terms: median {}, p99 {}, most {}\n",
            times.fault,
            times.count,
            times.median_lease_durations,
            times.p99_lease_durations,
            times.max_lease_durations
        );
    }
    if let Some(seconds) = slots.rolling_restart_s {
        text += &format!("  the roll's last machine restarted {seconds:.1} s after its beginning\n");
    }
    slots.errors.iter().for_each(|error| text += &format!("  WRONG: {error}\n"));
    text
}
