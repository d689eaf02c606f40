//! The soak's report: violations of each run and a summary of all seeds.
use super::judge::{Invariant, RefusalWait, Verdict, Violation};
use super::plan::Plan;
use super::trace::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Violations of a run that are printed in full; the rest is only counted.
const MAX_SHOWN: usize = 5;

/// The result of one run of the planner process.
pub struct RunReport {
    /// The run's index in the plan.
    pub number: usize,
    plan: Plan,
    verdict: Verdict,
}

impl RunReport {
    /// Creates the report of a run.
    pub fn new(plan: &Plan, number: usize, verdict: Verdict) -> RunReport {
        RunReport { number, plan: plan.clone(), verdict }
    }

    /// Returns the trace to print: that of a run with violations when `SOAK_TRACE` is set.
    fn trace(&self) -> &[Entry] {
        match std::env::var_os("SOAK_TRACE") {
            Some(_) if !self.verdict.violations.is_empty() => &self.verdict.entries,
            _ => &[],
        }
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (seed, violations) = (self.plan.seed, &self.verdict.violations);
        for violation in violations.iter().take(MAX_SHOWN) {
            writeln!(f, "seed {seed} run {}: {violation}", self.number)?;
        }
        if violations.len() > MAX_SHOWN {
            writeln!(f, "seed {seed} run {}: {} more violations", self.number, violations.len() - MAX_SHOWN)?;
        }
        if !violations.is_empty() {
            let Plan { clients, mean_interval, machines, .. } = &self.plan;
            writeln!(
                f,
                "    {clients} clients, mean interval {mean_interval:?}, {:?}",
                self.plan.runs[self.number]
            )?;
            writeln!(f, "    {machines:?}")?;
        }
        self.trace().iter().try_for_each(|entry| writeln!(f, "{entry}"))
    }
}

/// The results of all runs of one seed.
pub struct SeedReport {
    pub seed: u64,
    /// Whether the clients offered more load than the machines can hold.
    pub is_overloaded: bool,
    pub runs: Vec<RunReport>,
}

/// The results of all seeds.
pub struct SoakReport {
    seeds: Vec<SeedReport>,
}

impl SoakReport {
    /// Creates the report with the seeds in ascending order.
    pub fn new(mut seeds: Vec<SeedReport>) -> SoakReport {
        seeds.sort_by_key(|report| report.seed);
        SoakReport { seeds }
    }

    fn runs(&self) -> impl Iterator<Item = &RunReport> {
        self.seeds.iter().flat_map(|seed| &seed.runs)
    }

    /// Returns the violations of all seeds.
    pub fn violations(&self) -> impl Iterator<Item = &Violation> {
        self.runs().flat_map(|run| &run.verdict.violations)
    }

    /// Returns the number of violations and the seeds that have any, by invariant.
    fn counts(&self) -> BTreeMap<Invariant, (usize, BTreeSet<u64>)> {
        let mut counts: BTreeMap<Invariant, (usize, BTreeSet<u64>)> = BTreeMap::new();
        for run in self.runs() {
            for violation in &run.verdict.violations {
                let count = counts.entry(violation.invariant).or_default();
                count.0 += 1;
                count.1.insert(run.plan.seed);
            }
        }
        counts
    }

    /// Writes quantiles of the time that refused requests waited, for one group of seeds before or
    /// after the order to stop.
    fn write_waits(
        &self,
        f: &mut fmt::Formatter,
        name: &str,
        is_overloaded: bool,
        after_stop: bool,
    ) -> fmt::Result {
        let seeds = self.seeds.iter().filter(|seed| seed.is_overloaded == is_overloaded);
        let waits = seeds.flat_map(|seed| &seed.runs).flat_map(|run| &run.verdict.refusals);
        let mut waits: Vec<i64> = waits
            .filter(|wait| wait.after_stop == after_stop)
            .map(|wait: &RefusalWait| wait.wait_us)
            .collect();
        waits.sort_unstable();
        let Some(last) = waits.len().checked_sub(1) else { return Ok(()) };
        let quantile = |share: f64| waits[(share * last as f64) as usize] as f64 / 1000.0;
        let (median, p90, p99, max) = (quantile(0.5), quantile(0.9), quantile(0.99), quantile(1.0));
        writeln!(f, "refusals, {name}: {} requests waited {median:.0}, {p90:.0}, {p99:.0}, {max:.0} ms (p50, p90, p99, max)", waits.len())
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.runs().try_for_each(|run| write!(f, "{run}"))?;
        let requests: usize = self.runs().map(|run| run.verdict.requests).sum();
        let failed = self.counts().into_values().flat_map(|count| count.1).collect::<BTreeSet<u64>>();
        writeln!(
            f,
            "{} seeds, {} runs, {requests} requests; {} seeds failed",
            self.seeds.len(),
            self.runs().count(),
            failed.len()
        )?;
        for (invariant, (count, seeds)) in self.counts() {
            writeln!(f, "{invariant:?}: {count} violations in {} seeds {seeds:?}", seeds.len())?;
        }
        self.write_waits(f, "overloaded, before the order to stop", true, false)?;
        self.write_waits(f, "overloaded, after the order to stop", true, true)?;
        self.write_waits(f, "not overloaded, before the order to stop", false, false)?;
        self.write_waits(f, "not overloaded, after the order to stop", false, true)
    }
}
