//! Invariant 11: no tasks of lower priority are placed while tasks of higher priority that need no
//! more cores are declined for lack of capacity, for longer than planners may act on outdated
//! summaries of each other. Also computes the totals of priority weight.
use crate::requests::RequestRecord;
use crate::{InvariantChecker, RequestId};
use basaltpitch_agent::wire::AnswerKind;
use std::collections::{BTreeMap, HashMap};

/// Length of the windows in which the classes are compared, in microseconds: the largest age at
/// which planners still use each other's summaries, and the time until all of them act on a change.
const WINDOW_US: i64 = 6_000_000;
/// Minimum number of requests of either class in a window; fewer are not significant.
const MIN_REQUESTS: usize = 12;

/// Requests with equal needs: the framework's name, and thousandths of a core per task.
type RequestClass<'a> = (&'a str, u64);

/// When a request was submitted, in microseconds, and whether it was placed.
type PlacementRecord = (i64, bool);

impl InvariantChecker {
    /// Reports priority inversions, and adds up the priority weights of all tasks.
    pub(crate) fn check_priority(&mut self, requests: &BTreeMap<RequestId, RequestRecord>) {
        self.total_weights(requests);
        let violations = self.priority_inversions(&by_class(requests));
        let planner = (String::from("all planners"), 0);
        for (at_us, higher, lower) in violations {
            let describe = |class: RequestClass| format!("{} of {} cores", class.0, class.1 as f64 / 1000.0);
            let text = format!(
                "at least {MIN_REQUESTS} requests declined and none placed in {} s, while at least \
                 {MIN_REQUESTS} of {}, with a lower priority weight per core, were placed",
                WINDOW_US / 1_000_000,
                describe(lower)
            );
            self.report(11, at_us, &planner, &describe(higher), text);
        }
    }

    /// Finds priority inversions. Each is the start of its window in microseconds, the declined
    /// class of higher priority, and the placed class of lower priority. A class counts as lower if
    /// it needs at least as many cores and has less than half the priority weight per core.
    fn priority_inversions<'a>(
        &self,
        classes: &[(RequestClass<'a>, Vec<PlacementRecord>)],
    ) -> Vec<(i64, RequestClass<'a>, RequestClass<'a>)> {
        let framework = |class: &RequestClass| self.config.frameworks.get(class.0);
        let weight_of_core = |class: &RequestClass| {
            framework(class).map_or(0.0, |f| f.priority_weight) / class.1.max(1) as f64
        };
        // Keyed and once-only tasks are limited to certain machines after a launch, and tasks with
        // a spread by their service's other tasks, so that they may be declined while capacity is
        // free.
        let unrestricted = |class: &RequestClass| {
            framework(class).is_some_and(|f| f.idempotency == "repeatable" && f.spread == "none")
        };
        let mut found = Vec::new();
        for (higher, declined) in classes {
            let is_lower = |class: &RequestClass| {
                unrestricted(higher)
                    && unrestricted(class)
                    && class.1 >= higher.1
                    && weight_of_core(higher) > 2.0 * weight_of_core(class)
            };
            for (lower, placed) in classes.iter().filter(|class| is_lower(&class.0)) {
                found.extend(inverted_from(declined, placed).map(|at_us| (at_us, *higher, *lower)));
            }
        }
        found
    }

    /// Adds up the priority weights of requested and placed tasks, and counts the requests that
    /// were declined for lack of capacity after more than half of their time.
    fn total_weights(&mut self, requests: &BTreeMap<RequestId, RequestRecord>) {
        // By task: its weight, whether it was placed, and whether within its latency objective.
        let mut tasks: BTreeMap<&str, (f64, bool, bool)> = BTreeMap::new();
        for ((_, key, _), request) in requests {
            let Some(framework) = self.config.frameworks.get(&request.framework) else { continue };
            let task = tasks.entry(key).or_insert((framework.priority_weight, false, false));
            let Some(&(at_us, kind)) = request.answers.first() else { continue };
            let placed = kind == AnswerKind::Placed as i32;
            task.1 |= placed;
            task.2 |= placed && at_us <= request.submitted_at + framework.latency_objective_us;
            let half = (request.deadline - request.submitted_at) / 2;
            let missed = request.placed() == Some(false) && at_us > request.submitted_at + half;
            self.totals.missed += usize::from(missed);
        }
        for (weight, placed, in_objective) in tasks.into_values() {
            self.totals.weight_requested += weight;
            self.totals.weight_placed += if placed { weight } else { 0.0 };
            self.totals.weight_in_objective += if in_objective { weight } else { 0.0 };
        }
    }
}

/// Returns the requests that were placed or declined for lack of capacity, by class, in the order
/// of their submission.
fn by_class(requests: &BTreeMap<RequestId, RequestRecord>) -> Vec<(RequestClass<'_>, Vec<PlacementRecord>)> {
    let mut classes: HashMap<RequestClass, Vec<PlacementRecord>> = HashMap::new();
    for request in requests.values() {
        if let Some(placed) = request.placed() {
            let class = (request.framework.as_str(), (request.cores * 1000.0) as u64);
            classes.entry(class).or_default().push((request.submitted_at, placed));
        }
    }
    classes.values_mut().for_each(|records| records.sort_unstable());
    let mut all: Vec<_> = classes.into_iter().collect();
    all.sort_unstable_by_key(|class| class.0);
    all
}

/// Returns the start of the first window in which at least `MIN_REQUESTS` of the one class are
/// declined and none placed, while at least `MIN_REQUESTS` of the other class are placed.
fn inverted_from(declined: &[PlacementRecord], placed: &[PlacementRecord]) -> Option<i64> {
    let count = |records: &[PlacementRecord], from: i64, wanted: bool| {
        let window = records.iter().filter(|record| record.0 >= from && record.0 < from + WINDOW_US);
        window.filter(|record| record.1 == wanted).count()
    };
    let mut starts = declined.iter().map(|record| record.0);
    starts.find(|&from| {
        count(declined, from, true) == 0
            && count(declined, from, false) >= MIN_REQUESTS
            && count(placed, from, true) >= MIN_REQUESTS
    })
}
