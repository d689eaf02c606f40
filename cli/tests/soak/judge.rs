//! Checks the invariants of the platform's protocol on the recorded traffic of one run.
use super::life::{MAX_DESCRIPTORS, MAX_MEMORY_MB};
use super::plan::PlannerSignal;
use super::trace::{cause, Entry, Event, Message, Party};
use std::collections::BTreeMap;
use std::fmt;

/// Tolerance that the platform adds to every time limit.
const SLACK_US: i64 = 50_000;
/// Requests sent later than this after the order to stop are late and must be refused.
const STOP_GRACE_US: i64 = 700_000;
/// Attempts must not begin later than this after their client has cancelled the request.
const MAX_CANCELLATION_DELAY_US: i64 = 100_000;
/// Attempts per run that may begin too late; from the third on all of them are violations.
const MAX_LATE_ATTEMPTS: usize = 2;
/// No attempt may reach a machine later than this after the coordinator listed it as terminating.
const DRAIN_GRACE_US: i64 = 1_000_000;

/// The invariants. Their names appear in the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A client received a second answer to a request; the end of a placed task is not one.
    SecondAnswer,
    /// The planner closed the client's connection while a request was unanswered.
    DroppedWithConnection,
    /// A request sent before the order to stop, or at most 700 ms after it, was unanswered at the
    /// kill.
    UnansweredAtKill,
    /// A request sent more than 700 ms after the order to stop was unanswered at the kill.
    LateUnansweredAtKill,
    /// A late request was not refused, or reached a machine.
    LateServed,
    /// A request had attempts on two machines at the same time.
    TwoAttempts,
    /// Attempts began too long after their client had cancelled the request.
    AttemptAfterDeparture,
    /// An attempt reached a machine too long after it was listed as terminating.
    SentToLeaving,
    /// The planner exceeded its limit of descriptors or memory.
    LimitExceeded,
    /// The planner logged a panic.
    Crashed,
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    pub invariant: Invariant,
    /// The request's id, or `-` for the planner as a whole.
    pub id: String,
    /// When it happened, in microseconds since the start of the run.
    pub at_us: i64,
    /// The time of the order to stop, or of the outright kill.
    pub end_us: i64,
    /// What was found, for the report.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let since_ms = (self.at_us - self.end_us) as f64 / 1000.0;
        write!(
            f,
            "{:?} {} at {since_ms:+.1} ms relative to the signal: {}",
            self.invariant, self.id, self.detail
        )
    }
}

/// How long a refused request waited for its answer.
#[derive(Clone, Copy, Debug)]
pub struct RefusalWait {
    /// Microseconds from the request to its refusal.
    pub wait_us: i64,
    /// Whether the answer came after the order to stop.
    pub after_stop: bool,
}

/// The result of checking one run.
pub struct Verdict {
    pub violations: Vec<Violation>,
    /// The number of requests that clients sent.
    pub requests: usize,
    /// The waits of all refused requests.
    pub refusals: Vec<RefusalWait>,
    /// The trace that was checked.
    pub entries: Vec<Entry>,
}

/// The first answer to a request.
#[derive(Clone, Debug)]
struct Answer {
    at_us: i64,
    message: Message,
}

/// A request as its client saw it.
struct Request {
    client: Party,
    connection: u64,
    sent_us: i64,
    /// When the client cancelled the request before any answer; `None` when it did not.
    cancelled_us: Option<i64>,
    /// The first answer; `None` while there is none.
    answer: Option<Answer>,
    /// Whether the client received a `close`.
    is_closed: bool,
}

/// An attempt on a machine.
struct Attempt {
    machine: Party,
    connection: u64,
    /// When the machine received the attempt.
    from_us: i64,
    /// When the attempt or its connection ended; `i64::MAX` while it is open.
    until_us: i64,
}

/// The state of one run, built from its trace.
#[derive(Default)]
struct RunState {
    /// Requests by id.
    requests: BTreeMap<String, Request>,
    /// Attempts by the request's id, in order of arrival.
    attempts: BTreeMap<String, Vec<Attempt>>,
    /// When the planner closed each client connection.
    client_ends: BTreeMap<(Party, u64), i64>,
    /// When the coordinator first listed each machine as terminating.
    terminating_us: BTreeMap<Party, i64>,
    /// When the planner was first ordered to stop; `None` when it was killed outright.
    stop_us: Option<i64>,
    kill_us: i64,
    /// The start and end of each pause of the planner process.
    pauses: Vec<(i64, i64)>,
    violations: Vec<Violation>,
}

/// Checks all invariants on the trace of a run.
pub fn judge(entries: Vec<Entry>) -> Verdict {
    let mut run = RunState { kill_us: i64::MAX, ..RunState::default() };
    run.read_signals(&entries);
    entries.iter().for_each(|entry| run.read_entry(entry));
    run.judge_answers();
    run.judge_attempts();
    run.judge_cancellations();
    let answered = run.requests.values().filter_map(|request| Some((request, request.answer.as_ref()?)));
    let refusals =
        answered.filter(|(_, answer)| is_refusal(&answer.message)).map(|(request, answer)| RefusalWait {
            wait_us: answer.at_us - request.sent_us,
            after_stop: run.stop_us.is_some_and(|stop_us| answer.at_us > stop_us),
        });
    Verdict {
        refusals: refusals.collect(),
        requests: run.requests.len(),
        violations: run.violations,
        entries,
    }
}

/// Returns whether an answer refuses the request.
fn is_refusal(answer: &Message) -> bool {
    answer.kind == "close" && matches!(answer.code, Some(cause::FULL | cause::BUSY))
}

impl RunState {
    /// Records a violation.
    fn add_violation(&mut self, invariant: Invariant, id: &str, at_us: i64, detail: String) {
        let end_us = self.stop_us.unwrap_or(self.kill_us);
        self.violations.push(Violation { invariant, id: id.to_owned(), at_us, end_us, detail });
    }

    /// Reads the times of all signals first, since other checks depend on them.
    fn read_signals(&mut self, entries: &[Entry]) {
        for entry in entries {
            match entry.event {
                Event::Signalled(PlannerSignal::Stop) => self.stop_us = self.stop_us.or(Some(entry.at_us)),
                Event::Signalled(PlannerSignal::Kill) => self.kill_us = entry.at_us,
                Event::Signalled(PlannerSignal::Hold) => self.pauses.push((entry.at_us, i64::MAX)),
                Event::Signalled(PlannerSignal::Resume) => {
                    if let Some(pause) = self.pauses.last_mut() {
                        pause.1 = entry.at_us;
                    }
                }
                _ => {}
            }
        }
    }

    /// Returns how long the process was paused between two times.
    fn paused_us(&self, from_us: i64, to_us: i64) -> i64 {
        let overlap = |pause: &(i64, i64)| (pause.1.min(to_us) - pause.0.max(from_us)).max(0);
        self.pauses.iter().map(overlap).sum()
    }

    /// Applies one entry of the trace to the state.
    fn read_entry(&mut self, entry: &Entry) {
        let at_us = entry.at_us;
        match &entry.event {
            Event::Sent(Party::Client(number), connection, message) => {
                self.client_sent(Party::Client(*number), *connection, message, at_us);
            }
            Event::Received(Party::Client(_), _, message) => self.client_received(message, at_us),
            Event::Received(machine, connection, message) => {
                self.machine_received(*machine, *connection, message, at_us);
            }
            Event::Sent(machine, _, message) if message.kind == "close" => {
                self.attempt_ended(*machine, &message.id, at_us);
            }
            Event::EndedByPlanner(party @ Party::Client(_), connection) => {
                self.client_ends.insert((*party, *connection), at_us);
            }
            Event::EndedByPlanner(party, connection) | Event::EndedByPeer(party, connection) => {
                let on_link = |attempt: &&mut Attempt| {
                    attempt.machine == *party
                        && attempt.connection == *connection
                        && attempt.until_us == i64::MAX
                };
                self.attempts
                    .values_mut()
                    .flatten()
                    .filter(on_link)
                    .for_each(|attempt| attempt.until_us = at_us);
            }
            Event::ToldToLeave(machine) => {
                self.terminating_us.entry(Party::Machine(*machine)).or_insert(at_us);
            }
            Event::Sampled { descriptors, memory_mb }
                if *descriptors >= MAX_DESCRIPTORS || *memory_mb > MAX_MEMORY_MB =>
            {
                let detail = format!("{descriptors} descriptors, {memory_mb:.1} MB");
                self.add_violation(Invariant::LimitExceeded, "-", at_us, detail);
            }
            Event::Logged(line) if line.contains("panicked") => {
                self.add_violation(Invariant::Crashed, "-", at_us, line.clone());
            }
            _ => {}
        }
    }

    fn client_sent(&mut self, client: Party, connection: u64, message: &Message, at_us: i64) {
        if message.kind == "open" {
            let request = Request {
                client,
                connection,
                sent_us: at_us,
                cancelled_us: None,
                answer: None,
                is_closed: false,
            };
            self.requests.insert(message.id.clone(), request);
        } else if let Some(request) = self.requests.get_mut(&message.id).filter(|r| r.answer.is_none()) {
            request.cancelled_us = Some(at_us);
        }
    }

    fn client_received(&mut self, message: &Message, at_us: i64) {
        let Some(request) = self.requests.get_mut(&message.id) else { return };
        let is_second = match (message.kind.as_str(), &request.answer) {
            ("closed" | "trying", _) => return,
            (_, None) => false,
            ("close" | "relocate", Some(answer)) => answer.message.kind != "ready" || request.is_closed,
            _ => true,
        };
        request.is_closed |= message.kind == "close";
        if is_second {
            let detail = format!("{message} after {}", request.answer.as_ref().unwrap().message);
            self.add_violation(Invariant::SecondAnswer, &message.id, at_us, detail);
        } else if request.answer.is_none() {
            request.answer = Some(Answer { at_us, message: message.clone() });
        }
    }

    fn machine_received(&mut self, machine: Party, connection: u64, message: &Message, at_us: i64) {
        match message.kind.as_str() {
            "open" => {
                let terminating_us = self.terminating_us.get(&machine).copied();
                if let Some(terminating_us) = terminating_us.filter(|terminating_us| {
                    at_us - terminating_us
                        > DRAIN_GRACE_US + SLACK_US + self.paused_us(*terminating_us, at_us)
                }) {
                    let detail = format!(
                        "{machine:?} was listed as terminating {} ms before",
                        (at_us - terminating_us) / 1000
                    );
                    self.add_violation(Invariant::SentToLeaving, &message.id, at_us, detail);
                }
                let attempt = Attempt { machine, connection, from_us: at_us, until_us: i64::MAX };
                self.attempts.entry(message.id.clone()).or_default().push(attempt);
            }
            "close" => self.attempt_ended(machine, &message.id, at_us),
            _ => {}
        }
    }

    fn attempt_ended(&mut self, machine: Party, id: &str, at_us: i64) {
        let attempts = self.attempts.get_mut(id).into_iter().flatten();
        let open = attempts.filter(|attempt| attempt.machine == machine && attempt.until_us == i64::MAX);
        open.for_each(|attempt| attempt.until_us = at_us);
    }

    /// Checks that each request got its answer in time and that late requests were refused.
    fn judge_answers(&mut self) {
        let mut found = Vec::new();
        for (id, request) in &self.requests {
            if request.answer.is_none() && request.cancelled_us.is_none() {
                found.extend(
                    self.judge_unanswered(request)
                        .map(|(invariant, text)| (invariant, id.clone(), request.sent_us, text)),
                );
            } else if let Some(detail) = self.late_request_error(id, request) {
                found.push((Invariant::LateServed, id.clone(), request.sent_us, detail));
            }
        }
        found
            .into_iter()
            .for_each(|(invariant, id, at_us, detail)| self.add_violation(invariant, &id, at_us, detail));
    }

    /// Returns the violation of a request without an answer; `None` when none was due.
    fn judge_unanswered(&self, request: &Request) -> Option<(Invariant, String)> {
        let ended_us = self.client_ends.get(&(request.client, request.connection)).copied();
        let kill_us = self.kill_us;
        let peer = format!("{:?} on connection {}", request.client, request.connection);
        if let Some(ended_us) = ended_us.filter(|&ended_us| ended_us < kill_us) {
            let is_simultaneous =
                request.sent_us > ended_us - SLACK_US && !self.has_open_before(request, ended_us);
            let detail = format!(
                "{peer}, which was closed {:.1} ms after the request",
                (ended_us - request.sent_us) as f64 / 1000.0
            );
            return (!is_simultaneous).then_some((Invariant::DroppedWithConnection, detail));
        }
        let stop_us = self.stop_us?;
        if request.sent_us > kill_us - SLACK_US {
            return None;
        }
        let is_late = request.sent_us - stop_us > STOP_GRACE_US;
        let invariant = if is_late { Invariant::LateUnansweredAtKill } else { Invariant::UnansweredAtKill };
        Some((
            invariant,
            format!(
                "{peer}: no answer at the kill, {} ms after the request",
                (kill_us - request.sent_us) / 1000
            ),
        ))
    }

    /// Returns whether a request was open on the same connection well before its end, in which case
    /// the planner must not close that connection.
    fn has_open_before(&self, request: &Request, ended_us: i64) -> bool {
        self.requests.values().any(|other| {
            (other.client, other.connection) == (request.client, request.connection)
                && other.sent_us <= ended_us - SLACK_US
                && other.answer.is_none()
                && other.cancelled_us.is_none()
        })
    }

    /// Returns what is wrong with a late request, which must be refused and must not reach a
    /// machine.
    fn late_request_error(&self, id: &str, request: &Request) -> Option<String> {
        let stop_us = self.stop_us?;
        let late_after_us = STOP_GRACE_US + SLACK_US + self.paused_us(stop_us, request.sent_us);
        if request.sent_us - stop_us <= late_after_us {
            return None;
        }
        if self.attempts.contains_key(id) {
            return Some("the late request was sent to a machine".to_owned());
        }
        let answer = request.answer.as_ref()?;
        (!is_refusal(&answer.message))
            .then(|| format!("the late request was answered with {}", answer.message))
    }

    /// Checks that no request has two open attempts.
    fn judge_attempts(&mut self) {
        let mut found = Vec::new();
        for (id, attempts) in &self.attempts {
            for pair in attempts.windows(2) {
                if pair[1].from_us < pair[0].until_us.saturating_sub(SLACK_US) {
                    let detail = format!(
                        "attempt on {:?} while another is open on {:?}",
                        pair[1].machine, pair[0].machine
                    );
                    found.push((id.clone(), pair[1].from_us, detail));
                }
            }
        }
        found
            .into_iter()
            .for_each(|(id, at_us, detail)| self.add_violation(Invariant::TwoAttempts, &id, at_us, detail));
    }

    /// Checks that no attempts begin for requests cancelled long before.
    fn judge_cancellations(&mut self) {
        let mut found = Vec::new();
        for (id, request) in &self.requests {
            let Some(cancelled_us) = request.cancelled_us else { continue };
            for attempt in self.attempts.get(id).into_iter().flatten() {
                let late_us = attempt.from_us - cancelled_us - self.paused_us(cancelled_us, attempt.from_us);
                if late_us > MAX_CANCELLATION_DELAY_US + SLACK_US {
                    found.push((
                        id.clone(),
                        attempt.from_us,
                        format!(
                            "attempt began {} ms after its client had cancelled the request",
                            late_us / 1000
                        ),
                    ));
                }
            }
        }
        if found.len() > MAX_LATE_ATTEMPTS {
            found.into_iter().for_each(|(id, at_us, text)| {
                self.add_violation(Invariant::AttemptAfterDeparture, &id, at_us, text)
            });
        }
    }
}
