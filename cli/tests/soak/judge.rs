//! Judges one life by its traffic alone, by the words of the platform's protocol.
use super::life::{MAX_DESCRIPTORS, MAX_MEMORY_MB};
use super::plan::PlannerSignal;
use super::trace::{cause, Entry, Event, Message, Party};
use std::collections::BTreeMap;
use std::fmt;

/// By so much the platform extends every time limit.
const SLACK_US: i64 = 50_000;
/// Requests that come so long after the order to stop are late.
const STOP_GRACE_US: i64 = 700_000;
/// No attempt begins so long after its client has left; the third in a life breaks the rule.
const DEPARTURE_US: i64 = 100_000;
const MAX_LATE_DEPARTURES: usize = 2;
/// Nothing is sent to a machine so long after it was told to leave.
const DRAIN_GRACE_US: i64 = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A line on a request after its final answer, other than the end of what stood.
    SecondAnswer,
    /// The connection was closed with no answer.
    DroppedWithConnection,
    /// Taken before the order to stop or shortly after it, and unanswered at the kill.
    UnansweredAtKill,
    /// Taken later, and unanswered at the kill.
    LateUnansweredAtKill,
    /// Taken late and not refused.
    LateServed,
    TwoAttempts,
    AttemptAfterDeparture,
    SentToLeaving,
    LimitExceeded,
    Crashed,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub id: String,
    pub at_us: i64,
    /// The order to stop, or the outright kill.
    pub end_us: i64,
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let since_ms = (self.at_us - self.end_us) as f64 / 1000.0;
        write!(f, "{:?} {} at {since_ms:+.1} ms from the signal: {}", self.rule, self.id, self.detail)
    }
}

/// The wait of a request that was refused.
#[derive(Clone, Copy, Debug)]
pub struct RefusalWait {
    pub wait_us: i64,
    /// Whether the answer came after the order to stop.
    pub after_stop: bool,
}

pub struct Verdict {
    pub violations: Vec<Violation>,
    pub requests: usize,
    pub refusals: Vec<RefusalWait>,
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Answer {
    at_us: i64,
    message: Message,
}

/// What a client and the machines saw of one request.
struct Request {
    client: Party,
    connection: u64,
    said_us: i64,
    given_up_us: Option<i64>,
    answer: Option<Answer>,
    is_over: bool,
}

/// An attempt at a machine, from its arrival on.
struct Attempt {
    machine: Party,
    connection: u64,
    from_us: i64,
    until_us: i64,
}

#[derive(Default)]
struct Life {
    requests: BTreeMap<String, Request>,
    attempts: BTreeMap<String, Vec<Attempt>>,
    client_ends: BTreeMap<(Party, u64), i64>,
    leaves_us: BTreeMap<Party, i64>,
    stop_us: Option<i64>,
    kill_us: i64,
    holds: Vec<(i64, i64)>,
    violations: Vec<Violation>,
}

/// Judges what was recorded of a life.
pub fn judge(entries: Vec<Entry>) -> Verdict {
    let mut life = Life { kill_us: i64::MAX, ..Life::default() };
    life.read_signals(&entries);
    entries.iter().for_each(|entry| life.read(entry));
    life.judge_answers();
    life.judge_attempts();
    life.judge_departures();
    let answered = life.requests.values().filter_map(|request| Some((request, request.answer.as_ref()?)));
    let refusals =
        answered.filter(|(_, answer)| is_refusal(&answer.message)).map(|(request, answer)| RefusalWait {
            wait_us: answer.at_us - request.said_us,
            after_stop: life.stop_us.is_some_and(|stop_us| answer.at_us > stop_us),
        });
    Verdict {
        refusals: refusals.collect(),
        requests: life.requests.len(),
        violations: life.violations,
        entries,
    }
}

fn is_refusal(answer: &Message) -> bool {
    answer.kind == "close" && matches!(answer.code, Some(cause::FULL | cause::BUSY))
}

impl Life {
    fn violate(&mut self, rule: Rule, id: &str, at_us: i64, detail: String) {
        let end_us = self.stop_us.unwrap_or(self.kill_us);
        self.violations.push(Violation { rule, id: id.to_owned(), at_us, end_us, detail });
    }

    fn read_signals(&mut self, entries: &[Entry]) {
        for entry in entries {
            match entry.event {
                Event::Signalled(PlannerSignal::Stop) => self.stop_us = self.stop_us.or(Some(entry.at_us)),
                Event::Signalled(PlannerSignal::Kill) => self.kill_us = entry.at_us,
                Event::Signalled(PlannerSignal::Hold) => self.holds.push((entry.at_us, i64::MAX)),
                Event::Signalled(PlannerSignal::Resume) => {
                    if let Some(hold) = self.holds.last_mut() {
                        hold.1 = entry.at_us;
                    }
                }
                _ => {}
            }
        }
    }

    /// How long the process was held between two times.
    fn held_us(&self, from_us: i64, to_us: i64) -> i64 {
        let overlap = |hold: &(i64, i64)| (hold.1.min(to_us) - hold.0.max(from_us)).max(0);
        self.holds.iter().map(overlap).sum()
    }

    fn read(&mut self, entry: &Entry) {
        let at_us = entry.at_us;
        match &entry.event {
            Event::Said(Party::Client(number), connection, message) => {
                self.client_said(Party::Client(*number), *connection, message, at_us);
            }
            Event::Heard(Party::Client(_), _, message) => self.client_heard(message, at_us),
            Event::Heard(machine, connection, message) => {
                self.machine_heard(*machine, *connection, message, at_us);
            }
            Event::Said(machine, _, message) if message.kind == "close" => {
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
                self.leaves_us.entry(Party::Machine(*machine)).or_insert(at_us);
            }
            Event::Sampled { descriptors, memory_mb }
                if *descriptors >= MAX_DESCRIPTORS || *memory_mb > MAX_MEMORY_MB =>
            {
                let detail = format!("{descriptors} descriptors, {memory_mb:.1} MB");
                self.violate(Rule::LimitExceeded, "-", at_us, detail);
            }
            Event::Logged(line) if line.contains("panicked") => {
                self.violate(Rule::Crashed, "-", at_us, line.clone());
            }
            _ => {}
        }
    }

    fn client_said(&mut self, client: Party, connection: u64, message: &Message, at_us: i64) {
        if message.kind == "open" {
            let request = Request {
                client,
                connection,
                said_us: at_us,
                given_up_us: None,
                answer: None,
                is_over: false,
            };
            self.requests.insert(message.id.clone(), request);
        } else if let Some(request) = self.requests.get_mut(&message.id).filter(|r| r.answer.is_none()) {
            request.given_up_us = Some(at_us);
        }
    }

    fn client_heard(&mut self, message: &Message, at_us: i64) {
        let Some(request) = self.requests.get_mut(&message.id) else { return };
        let is_second = match (message.kind.as_str(), &request.answer) {
            ("closed" | "trying", _) => return,
            (_, None) => false,
            ("close" | "relocate", Some(answer)) => answer.message.kind != "ready" || request.is_over,
            _ => true,
        };
        request.is_over |= message.kind == "close";
        if is_second {
            let detail = format!("{message} after {}", request.answer.as_ref().unwrap().message);
            self.violate(Rule::SecondAnswer, &message.id, at_us, detail);
        } else if request.answer.is_none() {
            request.answer = Some(Answer { at_us, message: message.clone() });
        }
    }

    fn machine_heard(&mut self, machine: Party, connection: u64, message: &Message, at_us: i64) {
        match message.kind.as_str() {
            "open" => {
                let leaves_us = self.leaves_us.get(&machine).copied();
                if let Some(leaves_us) = leaves_us.filter(|leaves_us| {
                    at_us - leaves_us > DRAIN_GRACE_US + SLACK_US + self.held_us(*leaves_us, at_us)
                }) {
                    let detail =
                        format!("{machine:?} was told to leave {} ms before", (at_us - leaves_us) / 1000);
                    self.violate(Rule::SentToLeaving, &message.id, at_us, detail);
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

    fn judge_answers(&mut self) {
        let mut found = Vec::new();
        for (id, request) in &self.requests {
            if request.answer.is_none() && request.given_up_us.is_none() {
                found.extend(
                    self.judge_unanswered(request)
                        .map(|(rule, text)| (rule, id.clone(), request.said_us, text)),
                );
            } else if let Some(detail) = self.late_service(id, request) {
                found.push((Rule::LateServed, id.clone(), request.said_us, detail));
            }
        }
        found.into_iter().for_each(|(rule, id, at_us, detail)| self.violate(rule, &id, at_us, detail));
    }

    fn judge_unanswered(&self, request: &Request) -> Option<(Rule, String)> {
        let ended_us = self.client_ends.get(&(request.client, request.connection)).copied();
        let kill_us = self.kill_us;
        let on = format!("{:?} on {}", request.client, request.connection);
        if let Some(ended_us) = ended_us.filter(|&ended_us| ended_us < kill_us) {
            let is_crossing =
                request.said_us > ended_us - SLACK_US && !self.has_open_before(request, ended_us);
            let detail =
                format!("{on} was closed {:.1} ms later", (ended_us - request.said_us) as f64 / 1000.0);
            return (!is_crossing).then_some((Rule::DroppedWithConnection, detail));
        }
        let stop_us = self.stop_us?;
        if request.said_us > kill_us - SLACK_US {
            return None;
        }
        let is_late = request.said_us - stop_us > STOP_GRACE_US;
        let rule = if is_late { Rule::LateUnansweredAtKill } else { Rule::UnansweredAtKill };
        Some((rule, format!("{on}: no answer at the kill, {} ms later", (kill_us - request.said_us) / 1000)))
    }

    /// Whether another request was open on the same connection well before its end: it must not be closed then.
    fn has_open_before(&self, request: &Request, ended_us: i64) -> bool {
        self.requests.values().any(|other| {
            (other.client, other.connection) == (request.client, request.connection)
                && other.said_us <= ended_us - SLACK_US
                && other.answer.is_none()
                && other.given_up_us.is_none()
        })
    }

    /// What is wrong with a late request, which must be refused and reach no machine.
    fn late_service(&self, id: &str, request: &Request) -> Option<String> {
        let stop_us = self.stop_us?;
        let late_after_us = STOP_GRACE_US + SLACK_US + self.held_us(stop_us, request.said_us);
        if request.said_us - stop_us <= late_after_us {
            return None;
        }
        if self.attempts.contains_key(id) {
            return Some("it was sent to a machine".to_owned());
        }
        let answer = request.answer.as_ref()?;
        (!is_refusal(&answer.message)).then(|| format!("answered {}", answer.message))
    }

    fn judge_attempts(&mut self) {
        let mut found = Vec::new();
        for (id, attempts) in &self.attempts {
            for pair in attempts.windows(2) {
                if pair[1].from_us < pair[0].until_us.saturating_sub(SLACK_US) {
                    let detail = format!("{:?} while out at {:?}", pair[1].machine, pair[0].machine);
                    found.push((id.clone(), pair[1].from_us, detail));
                }
            }
        }
        found.into_iter().for_each(|(id, at_us, detail)| self.violate(Rule::TwoAttempts, &id, at_us, detail));
    }

    fn judge_departures(&mut self) {
        let mut found = Vec::new();
        for (id, request) in &self.requests {
            let Some(left_us) = request.given_up_us else { continue };
            for attempt in self.attempts.get(id).into_iter().flatten() {
                let late_us = attempt.from_us - left_us - self.held_us(left_us, attempt.from_us);
                if late_us > DEPARTURE_US + SLACK_US {
                    found.push((
                        id.clone(),
                        attempt.from_us,
                        format!("{} ms after its client had left", late_us / 1000),
                    ));
                }
            }
        }
        if found.len() > MAX_LATE_DEPARTURES {
            found
                .into_iter()
                .for_each(|(id, at_us, text)| self.violate(Rule::AttemptAfterDeparture, &id, at_us, text));
        }
    }
}
