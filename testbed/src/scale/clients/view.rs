//! The report of the clients. Serialized names of fields are part of the protocol between
//! processes.
use super::{Clients, FrameworkTotals, TaskCounts};
use crate::scale::traffic::{by_planner, TrafficByPlanner};
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::Value;

/// The report of a process of clients.
#[derive(Serialize)]
struct ClientsView<'a> {
    frameworks: Vec<FrameworkView<'a>>,
    /// Tasks without an answer.
    open: usize,
    /// Length of the measuring window so far, in seconds.
    seconds: f64,
    /// The 99.9th percentile of the time by which submissions lagged behind the arrivals, in
    /// milliseconds.
    #[serde(rename = "sent_late_p99.9_ms")]
    late_p999_ms: f64,
    /// Traffic by planner.
    planners: TrafficByPlanner,
}

/// Results of one framework, or of all. Times are `None` if no task was placed.
#[derive(Serialize)]
struct FrameworkView<'a> {
    framework: &'a str,
    #[serde(rename = "asked")]
    submitted: u64,
    placed: u64,
    declined: u64,
    aborted: u64,
    unanswered: u64,
    #[serde(rename = "cut")]
    disconnected: u64,
    lost: u64,
    answered_again: u64,
    value: f64,
    p50_ms: Option<f64>,
    p99_ms: Option<f64>,
    #[serde(rename = "p99.9_ms")]
    p999_ms: Option<f64>,
    #[serde(rename = "most_ms")]
    max_ms: Option<f64>,
}

/// Converts microseconds to milliseconds.
fn to_ms(us: u64) -> f64 {
    us as f64 / 1000.0
}

impl<'a> FrameworkView<'a> {
    /// Returns the view of a framework's results.
    fn new(framework: &'a str, started_us: &Histogram<u64>, counts: &TaskCounts) -> Self {
        // Without a placed task there is no time to report.
        let at =
            |quantile: f64| (!started_us.is_empty()).then(|| to_ms(started_us.value_at_quantile(quantile)));
        FrameworkView {
            framework,
            submitted: counts.submitted,
            placed: counts.placed,
            declined: counts.declined,
            aborted: counts.aborted,
            unanswered: counts.unanswered,
            disconnected: counts.disconnected,
            lost: counts.lost,
            answered_again: counts.answered_again,
            value: (counts.value * 10.0).round() / 10.0,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: at(1.0),
        }
    }
}

impl TaskCounts {
    /// Adds the counts of another framework.
    fn add(&mut self, more: &TaskCounts) {
        self.submitted += more.submitted;
        self.placed += more.placed;
        self.declined += more.declined;
        self.aborted += more.aborted;
        self.unanswered += more.unanswered;
        self.disconnected += more.disconnected;
        self.lost += more.lost;
        self.answered_again += more.answered_again;
        self.value += more.value;
    }
}

impl Clients {
    /// Returns the report on the measuring window, by framework and for all frameworks together.
    pub(super) fn view(&self) -> Value {
        let mut all = FrameworkTotals::new();
        let mut frameworks = Vec::new();
        for (totals, framework) in self.totals.iter().zip(&self.config.frameworks) {
            let _ = all.started_us.add(&totals.started_us);
            all.counts.add(&totals.counts);
            frameworks.push(FrameworkView::new(framework.name, &totals.started_us, &totals.counts));
        }
        frameworks.push(FrameworkView::new("all", &all.started_us, &all.counts));
        let current = self.connections.iter();
        let current = current.map(|connection| (connection.planner.as_str(), *connection.traffic.borrow()));
        let seconds = (self.clock.now() - self.begun_at) as f64 / 1e6;
        let view = ClientsView {
            frameworks,
            open: self.open.len(),
            seconds: (seconds * 1000.0).round() / 1000.0,
            late_p999_ms: to_ms(self.late_us.value_at_quantile(0.999)),
            planners: by_planner(&self.past_traffic, current),
        };
        serde_json::to_value(view).unwrap_or_default()
    }
}
