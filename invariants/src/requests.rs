//! Requests and their answers, as clients see them, and the part of invariant 1 that can be checked
//! from them: each request gets one final answer in time.
use crate::{Incarnation, InvariantChecker, RequestId};
use basaltpitch_agent::wire::{Answer, AnswerKind, Body, Submit};
use std::collections::BTreeMap;

/// What was observed of one request. Times are microseconds.
#[derive(Debug, Default)]
pub(crate) struct RequestRecord {
    pub(crate) submitted_at: i64,
    pub(crate) cores: f64,
    pub(crate) deadline: i64,
    /// How often the client submitted the request.
    submits: usize,
    /// Time and kind of each answer.
    pub(crate) answers: Vec<(i64, i32)>,
    /// Whether the request may stay unanswered or be answered late.
    pub(crate) excused: bool,
    /// Whether an answer gave a reason to decline other than a lack of capacity.
    pub(crate) declined_for_other_reason: bool,
    pub(crate) framework: String,
}

impl RequestRecord {
    /// Returns whether the request was placed or declined for lack of capacity; `None` without an
    /// answer, and after any other answer.
    pub(crate) fn placed(&self) -> Option<bool> {
        match AnswerKind::try_from(self.answers.first()?.1) {
            Ok(AnswerKind::Placed) => Some(true),
            Ok(AnswerKind::Declined) if !self.declined_for_other_reason => Some(false),
            _ => None,
        }
    }
}

impl InvariantChecker {
    /// Records that a client submitted a request.
    pub fn client_sent(&mut self, at_us: i64, planner: &Incarnation, submit: &Submit) {
        let id = (planner.clone(), submit.key.clone(), submit.ask);
        let request = self.requests.entry(id).or_default();
        if request.submits == 0 {
            request.deadline = at_us + submit.time_left_us;
            (request.submitted_at, request.cores) = (at_us, submit.cores);
            request.framework = submit.framework.clone();
            request.excused = self.planners.is_stopped(planner);
            self.totals.requests += 1;
        }
        request.submits += 1;
    }

    /// Records that a client withdrew its request: an answer may come, but is not required.
    pub fn client_withdrew(&mut self, planner: &Incarnation, key: &str, request: u64) {
        if let Some(request) = self.requests.get_mut(&(planner.clone(), key.to_owned(), request)) {
            request.excused = true;
        }
    }

    /// Records that a client's connection ended before the answer came.
    pub fn client_disconnected(&mut self, planner: &Incarnation, key: &str, request: u64) {
        self.client_withdrew(planner, key, request);
    }

    /// Records and checks a planner's frame that reached a client.
    pub fn client_received(&mut self, at_us: i64, planner: &Incarnation, body: &Body) {
        let Body::Answer(answer) = body else { return };
        let id = (planner.clone(), answer.key.clone(), answer.ask);
        let Some(request) = self.requests.get_mut(&id) else {
            let text = format!("received an answer to request {}, which was never submitted", answer.ask);
            return self.report(1, at_us, planner, &answer.key, text);
        };
        request.declined_for_other_reason |= answer.not_allowed || answer.reason.contains("may still run");
        request.answers.push((at_us, answer.kind));
        self.check_answer(at_us, &id, answer);
    }

    /// Reports answers that contradict each other, exceed the number of submits, or come too late.
    fn check_answer(&mut self, at_us: i64, id: &RequestId, answer: &Answer) {
        let Some(request) = self.requests.get(id) else { return };
        let (first, answers, submits) = (request.answers[0], request.answers.len(), request.submits);
        let (deadline, excused) = (request.deadline, request.excused);
        if answers > submits || first.1 != answer.kind {
            let text = format!(
                "request {}: answer {answers} has kind {} after {submits} submits; the first had kind {} and \
                 came at {} us; only one answer per submit is allowed, all of the same kind",
                answer.ask, answer.kind, first.1, first.0
            );
            self.report(1, at_us, &id.0, &answer.key, text);
        }
        if answers > 1 {
            return;
        }
        if !excused && at_us > deadline + self.config.answer_grace_us {
            let late_ms = (at_us - deadline) / 1000;
            let text = format!(
                "request {}: answered {late_ms} ms after its deadline, more than the grace period",
                answer.ask
            );
            self.report(1, at_us, &id.0, &answer.key, text);
        }
        match AnswerKind::try_from(answer.kind) {
            Ok(AnswerKind::Placed) => self.totals.placed += 1,
            Ok(AnswerKind::Declined) => self.totals.declined += 1,
            _ => self.totals.aborted += 1,
        }
    }

    /// Reports requests without an answer, at the end of the scenario.
    pub(crate) fn check_unanswered(&mut self, requests: &BTreeMap<RequestId, RequestRecord>, now_us: i64) {
        for ((planner, key, number), request) in requests {
            if !request.answers.is_empty() {
                continue;
            }
            if request.excused {
                self.totals.excused += 1;
            } else if now_us > request.deadline + self.config.answer_grace_us {
                let text =
                    format!("request {number}: no answer, though its deadline and grace period are over");
                self.report(1, request.deadline, planner, key, text);
            }
        }
    }
}
