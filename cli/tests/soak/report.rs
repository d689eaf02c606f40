//! What a soak found, for people.
use super::judge::{RefusalWait, Rule, Verdict, Violation};
use super::plan::Plan;
use super::trace::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Violations of a life that are shown; the others are counted.
const MAX_SHOWN: usize = 5;

pub struct LifeReport {
    pub number: usize,
    plan: Plan,
    verdict: Verdict,
}

impl LifeReport {
    pub fn new(plan: &Plan, number: usize, verdict: Verdict) -> LifeReport {
        LifeReport { number, plan: plan.clone(), verdict }
    }

    fn trace(&self) -> &[Entry] {
        match std::env::var_os("SOAK_TRACE") {
            Some(_) if !self.verdict.violations.is_empty() => &self.verdict.entries,
            _ => &[],
        }
    }
}

impl fmt::Display for LifeReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (seed, violations) = (self.plan.seed, &self.verdict.violations);
        for violation in violations.iter().take(MAX_SHOWN) {
            writeln!(f, "seed {seed} life {}: {violation}", self.number)?;
        }
        if violations.len() > MAX_SHOWN {
            writeln!(f, "seed {seed} life {}: {} more", self.number, violations.len() - MAX_SHOWN)?;
        }
        if !violations.is_empty() {
            let Plan { clients, pace, machines, .. } = &self.plan;
            writeln!(f, "    {clients} clients, pace {pace:?}, {:?}", self.plan.lives[self.number])?;
            writeln!(f, "    {machines:?}")?;
        }
        self.trace().iter().try_for_each(|entry| writeln!(f, "{entry}"))
    }
}

pub struct SeedReport {
    pub seed: u64,
    pub is_crowd: bool,
    pub lives: Vec<LifeReport>,
}

pub struct SoakReport {
    seeds: Vec<SeedReport>,
}

impl SoakReport {
    pub fn new(mut seeds: Vec<SeedReport>) -> SoakReport {
        seeds.sort_by_key(|report| report.seed);
        SoakReport { seeds }
    }

    fn lives(&self) -> impl Iterator<Item = &LifeReport> {
        self.seeds.iter().flat_map(|seed| &seed.lives)
    }

    pub fn violations(&self) -> impl Iterator<Item = &Violation> {
        self.lives().flat_map(|life| &life.verdict.violations)
    }

    /// Violations, and the seeds that have any, by rule.
    fn counts(&self) -> BTreeMap<Rule, (usize, BTreeSet<u64>)> {
        let mut counts: BTreeMap<Rule, (usize, BTreeSet<u64>)> = BTreeMap::new();
        for life in self.lives() {
            for violation in &life.verdict.violations {
                let count = counts.entry(violation.rule).or_default();
                count.0 += 1;
                count.1.insert(life.plan.seed);
            }
        }
        counts
    }

    fn write_waits(
        &self,
        f: &mut fmt::Formatter,
        name: &str,
        is_crowd: bool,
        after_stop: bool,
    ) -> fmt::Result {
        let seeds = self.seeds.iter().filter(|seed| seed.is_crowd == is_crowd);
        let waits = seeds.flat_map(|seed| &seed.lives).flat_map(|life| &life.verdict.refusals);
        let mut waits: Vec<i64> = waits
            .filter(|wait| wait.after_stop == after_stop)
            .map(|wait: &RefusalWait| wait.wait_us)
            .collect();
        waits.sort_unstable();
        let Some(last) = waits.len().checked_sub(1) else { return Ok(()) };
        let quantile = |share: f64| waits[(share * last as f64) as usize] as f64 / 1000.0;
        let (median, p90, p99, most) = (quantile(0.5), quantile(0.9), quantile(0.99), quantile(1.0));
        writeln!(f, "refusals, {name}: {} of them waited {median:.0}, {p90:.0}, {p99:.0}, {most:.0} ms (0.5, 0.9, 0.99, most)", waits.len())
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.lives().try_for_each(|life| write!(f, "{life}"))?;
        let requests: usize = self.lives().map(|life| life.verdict.requests).sum();
        let failed = self.counts().into_values().flat_map(|count| count.1).collect::<BTreeSet<u64>>();
        writeln!(
            f,
            "{} seeds, {} lives, {requests} requests; {} seeds failed",
            self.seeds.len(),
            self.lives().count(),
            failed.len()
        )?;
        for (rule, (count, seeds)) in self.counts() {
            writeln!(f, "{rule:?}: {count} in {} seeds {seeds:?}", seeds.len())?;
        }
        self.write_waits(f, "crowd, before the order to stop", true, false)?;
        self.write_waits(f, "crowd, after it", true, true)?;
        self.write_waits(f, "others, before", false, false)?;
        self.write_waits(f, "others, after", false, true)
    }
}
