//! Connections of clients and operators: handles requests, cancellations and operator commands.
use super::*;

/// The longest key of a task, in bytes.
const MAX_KEY_BYTES: usize = 500;

impl PlannerState {
    /// Queues an answer to an operator's query or command.
    pub(crate) fn answer_operator(&mut self, conn: u64, json: String) {
        self.outputs.push_back(Output::Client { conn, body: Body::Told(wire::Told { json, more: false }) });
    }

    /// Handles a frame of a client or an operator, other than a query.
    ///
    /// # Errors
    /// The frame is invalid, or the login of its connection may not send it; the caller closes the
    /// connection.
    pub fn client_frame(&mut self, now: i64, conn: u64, body: Body) -> Result<(), ClientFrameError> {
        self.set_clock(now);
        match body {
            Body::Submit(submit) => self.submit(conn, submit),
            Body::Withdraw(withdraw) => self.cancel(&withdraw),
            Body::Drain(drain) => self.drain_machine(conn, drain)?,
            Body::Clauses(frame) => self.try_constraints(conn, &frame)?,
            Body::Accept(_) => self.accept_directory(conn)?,
            _ => return Err(ClientFrameError::UnexpectedFrame),
        }
        self.perform_pending();
        Ok(())
    }

    /// Cancels a request for its client.
    fn cancel(&mut self, withdraw: &wire::Withdraw) {
        let (key, request_id): (TaskKey, u64) = (withdraw.key.as_str().into(), withdraw.ask);
        if let Some(admission) = &mut self.admission {
            admission.request_withdrawn(&(key.clone(), request_id));
        }
        self.placement.host.on_ledger(|ledger, actions| ledger.cancel(&key, request_id, actions));
    }

    /// Returns the login of a connection if it may perform operator commands; otherwise the error
    /// names `operation`.
    fn check_operator(&self, conn: u64, operation: &str) -> Result<Rc<str>, ClientFrameError> {
        let login = self.login(conn);
        let allowed = self.tenancy.check_operator(self.now(), &login, operation);
        allowed.map_err(|error| ClientFrameError::Denied(error.to_string()))?;
        Ok(login)
    }

    /// Forwards an operator's drain, or the end of a drain, to the registry.
    fn drain_machine(&mut self, conn: u64, drain: wire::Drain) -> Result<(), ClientFrameError> {
        self.check_operator(conn, "drain")?;
        if !self.registry_up {
            return Err(ClientFrameError::NoRegistry);
        }
        let json = format!("{{\"machine\":{:?},\"drain\":{}}}", drain.machine, drain.on);
        self.outputs.push_back(Output::Registry(Body::Drain(drain)));
        self.answer_operator(conn, json);
        Ok(())
    }

    /// Answers which running attempts would violate the constraints in an operator's frame, and
    /// applies these constraints if the frame requests it.
    fn try_constraints(&mut self, conn: u64, frame: &wire::Clauses) -> Result<(), ClientFrameError> {
        let login = self.check_operator(conn, "clauses")?;
        let constraints: Vec<(Constraint, String)> =
            serde_json::from_str(&frame.json).map_err(ClientFrameError::InvalidConstraints)?;
        if frame.take {
            let count = constraints.len();
            tracing::warn!(login = &*login, constraints = count, "an operator replaces the constraints");
        }
        let json = self.replace_constraints(constraints, frame.take).to_string();
        self.answer_operator(conn, json);
        Ok(())
    }

    /// Accepts the directory changes that are held back, on behalf of an operator.
    fn accept_directory(&mut self, conn: u64) -> Result<(), ClientFrameError> {
        let login = self.check_operator(conn, "accept")?;
        self.tenancy.accept_held_changes().map_err(|error| ClientFrameError::Denied(error.to_string()))?;
        tracing::warn!(
            login = &*login,
            "an operator confirmed the held directory changes; the next full sync is applied"
        );
        self.answer_operator(conn, "{\"accepted\":true}".to_owned());
        Ok(())
    }

    /// Records the login with which a client or an operator connected.
    pub fn client_connected(&mut self, conn: u64, login: &str) {
        self.logins.insert(conn, login.into());
    }

    /// Returns the login of a connection; empty if it has none.
    pub(crate) fn login(&self, conn: u64) -> Rc<str> {
        self.logins.get(&conn).cloned().unwrap_or_default()
    }

    /// Handles the end of a client's or an operator's connection.
    pub fn client_disconnected(&mut self, conn: u64) {
        self.logins.remove(&conn);
        self.placement.host.ledger.client_disconnected(conn);
    }

    /// Handles a request: declines an invalid one at once, and passes all others to the ledger,
    /// which rejects the request if its login, the constraints or admission control forbid it.
    fn submit(&mut self, conn: u64, submit: wire::Submit) {
        self.counts.submitted += 1;
        let (framework, access) = match self.check_submit(conn, &submit) {
            Ok(checked) => checked,
            Err(reason) => {
                let kind = wire::AnswerKind::Declined as i32;
                let (key, ask) = (submit.key, submit.ask);
                let answer = wire::Answer { key, ask, kind, reason, ..wire::Answer::default() };
                return self.outputs.push_back(Output::Client { conn, body: Body::Answer(answer) });
            }
        };
        let AccessDecision { tenant, stale_us, rejection } = access;
        let attributes = self.constraint_attributes(framework, tenant, submit.service, &submit.key);
        let rejection = match rejection {
            Some((reason, retry_after_us)) => Some((Rejection { reason, retry_after_us }, None)),
            None => self.reject(&submit, framework, attributes.as_ref()),
        };
        let job = TaskJob {
            framework,
            tenant,
            service: submit.service,
            cores: submit.cores,
            memory: submit.memory,
            runs_for_us: submit.runs_for_us,
            stale_us,
            attributes,
        };
        let request = Request {
            key: submit.key.as_str().into(),
            request_id: submit.ask,
            client: conn,
            idempotency: self.names.frameworks[framework].idempotency,
            job,
        };
        let host = &mut self.placement.host;
        match rejection {
            None => {
                host.on_ledger(|ledger, actions| ledger.submit(request, submit.time_left_us, actions));
            }
            Some((rejection, explanation)) => {
                let request_id = submit.ask;
                self.pending_rejection = Some(PendingRejection { request_id, stale_us, explanation });
                host.on_ledger(|ledger, actions| ledger.submit_rejected(request, rejection, actions));
                self.perform_pending();
                self.pending_rejection = None;
            }
        }
    }

    /// Returns a request's framework and the access decision for its login, or, if the request is
    /// invalid, the reason to decline it with.
    fn check_submit(&self, conn: u64, submit: &wire::Submit) -> Result<(usize, AccessDecision), String> {
        let access = self.tenancy.authorize_submit(self.now(), &self.login(conn), &submit.tenant);
        let is_valid = |size: f64| size.is_finite() && size > 0.0 && size < 1e9;
        let key_bytes = submit.key.len();
        if key_bytes == 0 || key_bytes > MAX_KEY_BYTES {
            return Err(format!("key: found {key_bytes} bytes; expected 1 to {MAX_KEY_BYTES}"));
        }
        let Some(framework) = self.names.framework_index(&submit.framework) else {
            let known = self.names.frameworks.iter().map(|framework| framework.name.as_str());
            let known: Vec<&str> = known.collect();
            let found = &submit.framework;
            return Err(format!("framework: found {found:?}; expected one of {}", known.join(", ")));
        };
        let access = access.map_err(|error| error.to_string())?;
        let (cores, memory) = (submit.cores, submit.memory);
        if !is_valid(cores) || !is_valid(memory) {
            return Err(format!("cores, memory: found {cores} and {memory}; expected two numbers over 0"));
        }
        Ok((framework, access))
    }

    /// Returns why constraints or admission control reject a request, with an explanation for its
    /// client; `None` if they accept it.
    fn reject(
        &mut self,
        submit: &wire::Submit,
        framework: usize,
        attributes: Option<&Rc<TaskAttributes>>,
    ) -> Option<(Rejection, Option<String>)> {
        if let Some(explanation) = self.explain_infeasible(attributes) {
            let rejection = Rejection { reason: RejectReason::NoMatchingMachine, retry_after_us: 0 };
            return Some((rejection, Some(explanation)));
        }
        let rejected = self.reject_by_admission(submit, framework)?;
        let retry_after_us = rejected.retry_after_us;
        Some((Rejection { reason: RejectReason::NoSlack, retry_after_us }, Some(rejected.reason)))
    }

    /// Returns the rejection of a request by admission control, if any. A repeated request, or one
    /// for a task that is placed already, is not new demand and is always admitted.
    fn reject_by_admission(
        &mut self,
        submit: &wire::Submit,
        framework: usize,
    ) -> Option<crate::admission::Rejection> {
        let (now, key): (i64, TaskKey) = (self.now(), submit.key.as_str().into());
        let is_repeat = |record: &TaskRecord<TaskJob>| {
            submit.ask <= record.request_id || record.phase == RequestPhase::Placed
        };
        if self.placement.host.ledger.record(&key).is_some_and(is_repeat) {
            return None;
        }
        let needs = RequestNeeds { framework, cores: submit.cores, time_left_us: submit.time_left_us };
        self.admission.as_mut()?.request_arrived(now, (key, submit.ask), needs)
    }
}
