//! `basaltpitch drill`: a scripted day of trouble, judged by the traffic.
use crate::{load, Failure};
use basaltpitch_testbed::drill::{run, DrillReport};
use basaltpitch_testbed::drill_config::DrillConfig;
use std::path::PathBuf;

#[derive(clap::Args)]
pub struct Drill {
    /// The installation's files, with a day in one of them
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Where chance starts from, in place of the day's own
    #[arg(long)]
    seed: Option<u64>,
    /// Planners write recordings into this folder
    #[arg(long)]
    record: Option<PathBuf>,
}

impl Drill {
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let installation = load(&self.files)?;
        if installation.all.get("day").is_none() {
            return Err(Failure::Wrong("found no field day in these files; expected one for a drill".into()));
        }
        let binary = std::env::current_exe().map_err(|e| Failure::Failed(e.to_string()))?;
        let how =
            DrillConfig { installation, files: self.files, binary, seed: self.seed, record: self.record };
        let verdict = run(how).map_err(|e| Failure::Failed(e.to_string()))?;
        if json {
            println!("{}", serde_json::to_string(&verdict).map_err(|e| Failure::Failed(e.to_string()))?);
        } else {
            print!("{}", table(&verdict));
        }
        let seats = verdict.seats.as_ref().is_none_or(|s| s.faults.is_empty());
        let held = verdict.breaches.is_empty() && verdict.tenant_faults.is_empty() && seats;
        if held {
            Ok(())
        } else {
            Err(Failure::Failed(String::new()))
        }
    }
}

fn table(v: &DrillReport) -> String {
    let t = &v.traffic;
    let mut text = format!(
        "seed {}: {} machines, {} planners, {} tasks wanted\n\n",
        v.seed, v.machines, v.planners, v.wanted
    );
    let rows: [(&str, String); 14] = [
        ("askings", format!("{}", t.requests)),
        ("  placed", format!("{}", t.placed)),
        ("  declined", format!("{}", t.declined)),
        ("  aborted", format!("{}", t.aborted)),
        ("  no answer owed", format!("{}", t.excused)),
        ("launches", format!("{} ({} seen twice)", t.launches, t.repeated_launches)),
        ("  accepted", format!("{}", t.accepted)),
        ("  refused", format!("{}", t.refused)),
        ("tasks run", format!("{}", v.ran)),
        ("tasks done", format!("{} ({} lost on the way, {} never placed)", v.done, v.lost, v.unplaced)),
        (
            "submit to placed",
            format!("p50 {} ms, p99 {} ms, p99.9 {} ms", v.placed_ms.p50, v.placed_ms.p99, v.placed_ms.p999),
        ),
        (
            "worth of what was asked",
            format!(
                "{:.0}, placed {:.0}, within its latency goal {:.0}",
                t.weight_requested, t.weight_placed, t.weight_in_objective
            ),
        ),
        ("taken in and missed", format!("{}", t.missed)),
        ("offers to a cold machine", format!("{} in a window at most", t.max_warm_up_offers)),
    ];
    for (name, value) in rows {
        text += &format!("{name:26}{value}\n");
    }
    text.push('\n');
    let rules = [
        "one final answer, in time",
        "no double effect",
        "drains kept",
        "cold machines spared",
        "spread kept",
    ];
    let clauses = v.breaches.iter().filter(|b| b.invariant == 6).count();
    if clauses > 0 {
        text += &format!("clauses BROKEN {clauses} times\n");
    }
    for (i, rule) in rules.iter().enumerate() {
        let broken = v.breaches.iter().filter(|b| usize::from(b.invariant) == i + 1).count();
        let word = if broken == 0 { "kept".to_owned() } else { format!("BROKEN {broken} times") };
        text += &format!("rule {} {rule:26}{word}\n", i + 1);
    }
    let broken = v.breaches.iter().filter(|b| b.invariant == 10).count();
    let word = if broken == 0 { "kept".to_owned() } else { format!("BROKEN {broken} times") };
    text += &format!("rule 10 {:25}{word}\n", "a hall returns by steps");
    let broken = v.breaches.iter().filter(|b| b.invariant == 11).count();
    let word = if broken == 0 { "kept".to_owned() } else { format!("BROKEN {broken} times") };
    text += &format!("rule 11 {:25}{word}\n", "worth more goes first");
    if v.stale_answers + v.newcomers > 0 || !v.tenant_faults.is_empty() {
        text += &format!(
            "tenants: {} answers said that they rest on old knowledge, {} to a newcomer once known, {} wrong\n",
            v.stale_answers,
            v.newcomers,
            v.tenant_faults.len()
        );
        v.tenant_faults.iter().for_each(|f| text += &format!("  {f}\n"));
    }
    if let Some(seats) = &v.seats {
        let broken = v.breaches.iter().filter(|b| b.invariant == 7).count();
        let word = if broken == 0 { "kept".to_owned() } else { format!("BROKEN {broken} times") };
        text += &format!("rule 7 {:26}{word}\n", "one holder acts");
        let broken = v.breaches.iter().filter(|b| b.invariant == 8).count();
        let word = if broken == 0 { "kept".to_owned() } else { format!("BROKEN {broken} times") };
        text += &format!("rule 8 {:26}{word}\n", "rolls within their limit");
        let held = seats.held * 100.0;
        text += &format!("\nseats: {} hand-overs, held {held:.2}% of the time\n", seats.hand_overs);
        for t in seats.by_trouble.iter().chain(&seats.first_launch) {
            text += &format!(
                "  {:24}{:4} times, in terms: median {}, p99 {}, most {}\n",
                t.trouble, t.count, t.median_terms, t.p99_terms, t.most_terms
            );
        }
        if let Some(roll_s) = seats.roll_s {
            text += &format!("  the roll's last machine restarted {roll_s:.1} s after its beginning\n");
        }
        seats.faults.iter().for_each(|f| text += &format!("  WRONG: {f}\n"));
    }
    for b in v.breaches.iter().take(20) {
        text += &format!(
            "\nrule {} at {} us, {}, {}: {}",
            b.invariant, b.at_us, b.planner, b.subject, b.description
        );
    }
    if !v.breaches.is_empty() {
        text.push('\n');
    }
    text
}
