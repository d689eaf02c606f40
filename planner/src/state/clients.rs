//! The core's room for what owners and operators say.
use super::*;

impl PlannerState {
    // Owners and operators.

    /// An answer to an operator.
    pub(crate) fn reply_to(&mut self, conn: u64, json: String) {
        self.outputs.push_back(Output::Client { conn, body: Body::Told(wire::Told { json, more: false }) });
    }

    /// A frame of an owner's or operator's that is no question. An error names field, what was found and what
    /// was expected.
    pub fn client_frame(&mut self, now: i64, conn: u64, body: Body) -> Result<(), String> {
        self.set_clock(now);
        match body {
            Body::Submit(s) => self.submit(conn, s),
            Body::Withdraw(w) => {
                if let Some(admission) = &mut self.admission {
                    admission.request_withdrawn(&(w.key.as_str().into(), w.ask));
                }
                self.placement.host.on_ledger(|l, acts| l.withdraw(&w.key.as_str().into(), w.ask, acts));
            }
            Body::Drain(drain) => {
                self.tenancy.operates(now, &self.login(conn), "drain")?;
                if !self.registry_up {
                    return Err("drain: found no link to the register; expected one".into());
                }
                let json = format!("{{\"machine\":{:?},\"drain\":{}}}", drain.machine, drain.on);
                self.outputs.push_back(Output::Registry(Body::Drain(drain)));
                self.reply_to(conn, json);
            }
            Body::Clauses(c) => {
                let login = self.login(conn);
                self.tenancy.operates(now, &login, "clauses")?;
                let clauses: Vec<(Constraint, String)> = serde_json::from_str(&c.json).map_err(|e| {
                    format!("clauses: found {e}; expected clauses in JSON with words for each")
                })?;
                if c.take {
                    tracing::warn!(
                        login = &*login,
                        clauses = clauses.len(),
                        "other clauses bind from now on"
                    );
                }
                let json = self.rebind(clauses, c.take).to_string();
                self.outputs
                    .push_back(Output::Client { conn, body: Body::Told(wire::Told { json, more: false }) });
            }
            Body::Accept(_) => {
                let login = self.login(conn);
                self.tenancy.operates(now, &login, "accept")?;
                self.tenancy.accept()?;
                tracing::warn!(
                    login = &*login,
                    "an operator's word: the next full answer of the directory is believed"
                );
                let json = "{\"accepted\":true}".to_owned();
                self.outputs
                    .push_back(Output::Client { conn, body: Body::Told(wire::Told { json, more: false }) });
            }
            _ => {
                return Err(
                    "found a frame that no owner sends; expected submit, withdraw, drain or query".into()
                )
            }
        }
        self.perform_pending();
        Ok(())
    }

    /// An owner or operator said hello.
    pub fn client_connected(&mut self, conn: u64, login: &str) {
        self.logins.insert(conn, login.into());
    }

    pub(crate) fn login(&self, conn: u64) -> Rc<str> {
        self.logins.get(&conn).cloned().unwrap_or_default()
    }

    pub fn client_disconnected(&mut self, conn: u64) {
        self.logins.remove(&conn);
        self.placement.host.ledger.owner_left(conn);
    }

    pub(super) fn submit(&mut self, conn: u64, s: wire::Submit) {
        self.counts.submitted += 1;
        let framework = self.names.frameworks.iter().position(|f| f.0 == s.framework);
        let now = self.now();
        let asked = self.tenancy.asked(now, &self.login(conn), &s.tenant);
        let sane = |x: f64| x.is_finite() && x > 0.0 && x < 1e9;
        let wrong = if s.key.is_empty() || s.key.len() > 500 {
            Some(format!("key: found {} bytes; expected 1 to 500", s.key.len()))
        } else if framework.is_none() {
            let known: Vec<&str> = self.names.frameworks.iter().map(|f| f.0.as_str()).collect();
            Some(format!("framework: found {:?}; expected one of {}", s.framework, known.join(", ")))
        } else if let Err(e) = &asked {
            Some(e.clone())
        } else if !sane(s.cores) || !sane(s.memory) {
            Some(format!("cores, memory: found {} and {}; expected two numbers over 0", s.cores, s.memory))
        } else {
            None
        };
        let (Some(framework), None, Ok(asked)) = (framework, &wrong, asked) else {
            let reason = wrong.unwrap_or_default();
            let kind = wire::AnswerKind::Declined as i32;
            let answer = wire::Answer { key: s.key, ask: s.ask, kind, reason, ..wire::Answer::default() };
            return self.outputs.push_back(Output::Client { conn, body: Body::Answer(answer) });
        };
        let kind = self.names.frameworks[framework].1;
        let (cores, memory, runs_for_us) = (s.cores, s.memory, s.runs_for_us);
        let Asked { tenant, stale_us, refused } = asked;
        let facts = self.facts(framework, tenant, s.service, &s.key);
        let mut words = if refused.is_none() { self.never(facts.as_ref()) } else { None };
        let mut refused = refused.or(words.as_ref().map(|_| (Reason::NoMachine, 0)));
        if refused.is_none() {
            if let Some(refusal) = self.not_worth(&s, framework) {
                refused = Some((Reason::NoSlack, refusal.retry_after_us));
                words = Some(refusal.reason);
            }
        }
        let job =
            TaskJob { framework, tenant, service: s.service, cores, memory, runs_for_us, stale_us, facts };
        let asking = Asking { key: s.key.as_str().into(), ask: s.ask, owner: conn, kind, job };
        let host = &mut self.placement.host;
        match refused {
            None => host.on_ledger(|l, acts| l.submit(asking, s.time_left_us, acts)),
            Some(why) => {
                self.pending_rejection = Some(PendingRejection { ask: s.ask, stale_us, words });
                host.on_ledger(|l, acts| l.declined_at_door(asking, why, acts));
                self.perform_pending();
                self.pending_rejection = None;
            }
        }
    }

    /// Whether an asking is not worth starting. One that is open, answered or runs is no new one.
    pub(super) fn not_worth(&mut self, s: &wire::Submit, framework: usize) -> Option<Rejection> {
        let (now, key): (i64, TaskKey) = (self.now(), s.key.as_str().into());
        let known = self.placement.host.ledger.record(&key);
        if known.is_some_and(|r| s.ask <= r.ask || r.phase == Phase::Placed) {
            return None;
        }
        let needs = RequestNeeds { framework, cores: s.cores, time_left_us: s.time_left_us };
        self.admission.as_mut()?.request_arrived(now, (key, s.ask), needs)
    }
}
