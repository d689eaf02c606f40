//! The report on takeovers of slots. Serialized names of fields stay the same across versions, as
//! tools read them.
use super::ProcessHarness;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Takeovers of slots, and errors of the processes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SlotReport {
    /// Number of takeovers of a slot by another process.
    #[serde(rename = "hand_overs")]
    pub takeovers: u64,
    /// Share of the total time of all slots in which a planner unaffected by faults held them.
    pub held: f64,
    /// Times from a fault to the successor's acquisition of the slot, by the kind of fault.
    #[serde(rename = "by_trouble")]
    pub by_fault: Vec<TakeoverTimes>,
    /// Times from the kill or termination of a holder to its successor's first launch; `None` if no
    /// such successor launched an attempt.
    pub first_launch: Option<TakeoverTimes>,
    /// Time from the start of the rolling restart to the last machine's restart, in seconds; `None`
    /// without a rolling restart.
    #[serde(rename = "roll_s")]
    pub rolling_restart_s: Option<f64>,
    /// Errors, such as an epoch that did not rise, a slot without a planner at the end, or a
    /// process that exited by itself.
    #[serde(rename = "faults")]
    pub errors: Vec<String>,
}

/// Distribution of the times that slots were without a planner, in lease durations.
#[derive(Clone, Debug, Serialize)]
pub struct TakeoverTimes {
    /// The kind of fault.
    #[serde(rename = "trouble")]
    pub fault: String,
    /// Number of takeovers.
    pub count: u64,
    /// The median.
    #[serde(rename = "median_terms")]
    pub median_lease_durations: f64,
    /// The 99th percentile.
    #[serde(rename = "p99_terms")]
    pub p99_lease_durations: f64,
    /// The maximum.
    #[serde(rename = "most_terms")]
    pub max_lease_durations: f64,
}

/// Returns an empty histogram of microseconds.
pub(super) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid histogram bounds")
}

impl ProcessHarness {
    /// Ends all processes, and returns the report.
    pub async fn finish(&self) -> SlotReport {
        let now = self.context.clock.now();
        self.processes().for_each(|process| self.check_running(process));
        let mut errors = self.errors.take();
        for (number, slot) in self.slots.iter().enumerate() {
            if let Some((at, fault)) = slot.affected.take() {
                let without_ms = (now - at) / 1000;
                errors.push(format!(
                    "slot planner-{number}: still without a holder {without_ms} ms after the fault {fault}"
                ));
                slot.without_us.set(slot.without_us.get() + now - at);
            }
        }
        for machine in self.context.checker.borrow().machines_not_restarted() {
            errors.push(format!("{machine}: not restarted by the rolling restart of its zone"));
        }
        for process in self.processes() {
            let child = process.child.borrow_mut().take();
            let Some(mut child) = child else { continue };
            let _ = child.kill().await;
            process.pid.set(None);
        }
        self.report(now, errors)
    }

    /// Returns the report at the time `now`, in microseconds.
    fn report(&self, now: i64, errors: Vec<String>) -> SlotReport {
        let total_us: i64 = self.slots.iter().map(|slot| slot.since.get().map_or(0, |at| now - at)).sum();
        let without_us: i64 = self.slots.iter().map(|slot| slot.without_us.get()).sum();
        let lease_durations = |us: u64| (us as f64 / self.lease_duration_us as f64 * 100.0).round() / 100.0;
        let times = |fault: &str, histogram: &Histogram<u64>| TakeoverTimes {
            fault: fault.to_owned(),
            count: histogram.len(),
            median_lease_durations: lease_durations(histogram.value_at_quantile(0.5)),
            p99_lease_durations: lease_durations(histogram.value_at_quantile(0.99)),
            max_lease_durations: lease_durations(histogram.max()),
        };
        let gaps = self.gaps.take();
        let checker = self.context.checker.borrow();
        let mut launches = new_histogram();
        checker.takeover_times_us().iter().for_each(|&us| launches.saturating_record(us.max(1) as u64));
        SlotReport {
            takeovers: gaps.values().map(Histogram::len).sum(),
            held: 1.0 - without_us as f64 / total_us.max(1) as f64,
            by_fault: gaps.iter().map(|(fault, histogram)| times(fault, histogram)).collect(),
            rolling_restart_s: checker.rolling_restart_us().map(|us| us as f64 / 1e6),
            first_launch: (!launches.is_empty()).then(|| times("first launch", &launches)),
            errors,
        }
    }
}
