//! Invariants 1 and 2 over all launches of a request: no launch after the final answer, no two
//! launches at the same time, and no repeat that may take effect twice.
use crate::launches::{LaunchEnd, SentLaunch};
use crate::requests::RequestRecord;
use crate::{Framework, InvariantChecker, RequestId};
use basaltpitch_agent::wire::AnswerKind;

/// Returns when a planner may treat a launch as ended, and how it ended: by an end that the planner
/// can know of, or by the launch's timeout.
fn end_of(sent: &SentLaunch) -> (i64, LaunchEnd) {
    let timeout = sent.at_us + sent.time_out_us;
    let (end, how) = sent.end.unwrap_or((timeout, LaunchEnd::MayHaveRun));
    (end.min(timeout), how)
}

impl InvariantChecker {
    /// Checks all launches of a request against its final answer and against each other.
    pub(crate) fn check_request(&mut self, id: &RequestId, request: &RequestRecord, sent: &[SentLaunch]) {
        let Some(framework) = self.config.frameworks.get(&request.framework).cloned() else { return };
        let answered = request.answers.first();
        for (index, launch) in sent.iter().enumerate() {
            if let Some(&(answered_at, _)) = answered {
                self.check_after_answer(id, launch, answered_at);
            }
            for before in &sent[..index] {
                self.check_pair(id, &framework, before, launch);
            }
        }
        let harmless = framework.idempotency == "repeatable"
            || (framework.idempotency == "keyed" && framework.group == "all");
        let declined = answered.filter(|answer| answer.1 == AnswerKind::Declined as i32);
        if let (Some(&(at_us, _)), false) = (declined, harmless) {
            let may_have_run = |sent: &&SentLaunch| sent.end.is_none_or(|end| end.1 == LaunchEnd::MayHaveRun);
            if let Some(launch) = sent.iter().find(may_have_run) {
                let text = format!(
                    "request {}: declined, though attempt {} on {} may have run; only a task that may run twice \
                     may be declined then",
                    id.2, launch.number, launch.machine
                );
                self.report(2, at_us, &id.0, &id.1, text);
            }
        }
    }

    /// Reports a launch that reached its machine after the request's final answer at `at_us`.
    fn check_after_answer(&mut self, (planner, key, number): &RequestId, launch: &SentLaunch, at_us: i64) {
        if !launch.late && launch.at_us > at_us + self.config.reorder_tolerance_us {
            let text = format!(
                "request {number}: attempt {} reached {} {} ms after the final answer; none may follow it",
                launch.number,
                launch.machine,
                (launch.at_us - at_us) / 1000
            );
            self.report(1, launch.at_us, planner, key, text);
        }
    }

    /// Checks a launch against an earlier launch of the same request.
    fn check_pair(
        &mut self,
        id: &RequestId,
        framework: &Framework,
        before: &SentLaunch,
        launch: &SentLaunch,
    ) {
        let (end, how) = end_of(before);
        if !launch.late && launch.at_us + self.config.reorder_tolerance_us < end {
            let text = format!(
                "request {}: attempt {} on {} while attempt {} is still open on {}; only one may be open at a \
                 time",
                id.2, launch.number, launch.machine, before.number, before.machine
            );
            self.report(2, launch.at_us, &id.0, &id.1, text);
        } else if how == LaunchEnd::MayHaveRun {
            self.check_repeat(id, framework, before, launch);
        }
    }

    /// Checks whether a launch is allowed after an earlier one that may have run.
    fn check_repeat(
        &mut self,
        (planner, key, number): &RequestId,
        framework: &Framework,
        before: &SentLaunch,
        launch: &SentLaunch,
    ) {
        let location = |machine: &str| self.locations.get(machine).cloned().unwrap_or_default();
        let (first, second) = (location(&before.machine), location(&launch.machine));
        let in_group = match framework.group.as_str() {
            "all" => true,
            "zone" => first.zone == second.zone,
            _ => first == second,
        };
        let known_until = before.at_us + framework.window_us + self.config.reorder_tolerance_us;
        let why = match framework.idempotency.as_str() {
            "repeatable" => return,
            "keyed" if !in_group => "is outside the group of machines that drops repeats of the task",
            "keyed" if !launch.late && launch.at_us > known_until => {
                "came after the window in which machines drop repeats"
            }
            "keyed" => return,
            _ => "is not allowed, as the task must not run twice",
        };
        let text = format!(
            "request {number}: attempt {} on {} {why}; earlier attempt {} on {} may have run",
            launch.number, launch.machine, before.number, before.machine
        );
        self.report(2, launch.at_us, planner, key, text);
    }
}
