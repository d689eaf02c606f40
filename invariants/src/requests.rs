//! Requests and their answers, as clients saw them, and the part of invariant 1 that they show: one final
//! answer to each request, in time.
use crate::{Incarnation, InvariantChecker, RequestId};
use basaltpitch_agent::wire::{Answer, AnswerKind, Body, Submit};
use std::collections::BTreeMap;

/// What was seen of one request. Times are microseconds.
#[derive(Debug, Default)]
pub(crate) struct RequestRecord {
    pub(crate) submitted_at: i64,
    pub(crate) cores: f64,
    pub(crate) deadline: i64,
    submits: usize,
    /// When each answer came, and its kind.
    pub(crate) answers: Vec<(i64, i32)>,
    /// No answer is owed.
    pub(crate) excused: bool,
    /// Declined for another reason than want of capacity.
    pub(crate) declined_for_other_reason: bool,
    pub(crate) framework: String,
}

impl RequestRecord {
    /// Whether it was placed; none where no answer came, or it was declined for another reason than want of
    /// capacity.
    pub(crate) fn placed(&self) -> Option<bool> {
        match AnswerKind::try_from(self.answers.first()?.1) {
            Ok(AnswerKind::Placed) => Some(true),
            Ok(AnswerKind::Declined) if !self.declined_for_other_reason => Some(false),
            _ => None,
        }
    }
}

impl InvariantChecker {
    /// A client submitted a request.
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

    /// A client withdrew its request: no answer is owed, though one may come.
    pub fn client_withdrew(&mut self, planner: &Incarnation, key: &str, request: u64) {
        if let Some(request) = self.requests.get_mut(&(planner.clone(), key.to_owned(), request)) {
            request.excused = true;
        }
    }

    /// A client's connection ended before the answer came.
    pub fn client_disconnected(&mut self, planner: &Incarnation, key: &str, request: u64) {
        self.client_withdrew(planner, key, request);
    }

    /// A frame of a planner's reached a client.
    pub fn client_received(&mut self, at_us: i64, planner: &Incarnation, body: &Body) {
        let Body::Answer(answer) = body else { return };
        let id = (planner.clone(), answer.key.clone(), answer.ask);
        let Some(request) = self.requests.get_mut(&id) else {
            let text = format!("an answer to asking {} that was never made", answer.ask);
            return self.report(1, at_us, planner, &answer.key, text);
        };
        request.declined_for_other_reason |= answer.not_allowed || answer.reason.contains("may still run");
        request.answers.push((at_us, answer.kind));
        self.check_answer(at_us, &id, answer);
    }

    fn check_answer(&mut self, at_us: i64, id: &RequestId, answer: &Answer) {
        let Some(request) = self.requests.get(id) else { return };
        let (first, answers, submits) = (request.answers[0], request.answers.len(), request.submits);
        let (deadline, excused) = (request.deadline, request.excused);
        if answers > submits || first.1 != answer.kind {
            let text = format!(
                "asking {}: answer {answers} of kind {} to {submits} submits; the first, of kind {}, came at {}",
                answer.ask, answer.kind, first.1, first.0
            );
            self.report(1, at_us, &id.0, &answer.key, text);
        }
        if answers > 1 {
            return;
        }
        if !excused && at_us > deadline + self.config.answer_grace_us {
            let late_ms = (at_us - deadline) / 1000;
            let text = format!("asking {}: answered {late_ms} ms after its time limit", answer.ask);
            self.report(1, at_us, &id.0, &answer.key, text);
        }
        match AnswerKind::try_from(answer.kind) {
            Ok(AnswerKind::Placed) => self.totals.placed += 1,
            Ok(AnswerKind::Declined) => self.totals.declined += 1,
            _ => self.totals.aborted += 1,
        }
    }

    /// At the end: requests that no answer came to.
    pub(crate) fn check_unanswered(&mut self, requests: &BTreeMap<RequestId, RequestRecord>, now_us: i64) {
        for ((planner, key, number), request) in requests {
            if !request.answers.is_empty() {
                continue;
            }
            if request.excused {
                self.totals.excused += 1;
            } else if now_us > request.deadline + self.config.answer_grace_us {
                let text = format!("asking {number}: no answer");
                self.report(1, request.deadline, planner, key, text);
            }
        }
    }
}
