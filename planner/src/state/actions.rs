//! Carries out the actions of the ledger and the requests of the placement module: sends frames to
//! machines, clients and the registry, and passes events to the placement module.
use super::names::idempotency_text;
use super::*;

/// Limit on the unanswered probes; further probes fail without being sent.
const MAX_PROBES: usize = 100_000;

impl PlannerState {
    /// Carries out one action of the ledger.
    pub(super) fn perform(&mut self, action: LedgerAction<TaskKey>) {
        match action {
            LedgerAction::Pending { task, time_left_us } => {
                let Some((job, service)) = self.register_task(task) else { return };
                self.subset_task_waiting(task, &job, time_left_us);
                self.notify_placement(PlacementEvent::Wanted {
                    task,
                    framework: job.framework,
                    tenant: job.tenant,
                    service,
                    size: (job.cores, job.memory),
                    time_left_us,
                });
            }
            LedgerAction::Adopted { task, machine } => {
                self.counts.found += 1;
                let Some((job, service)) = self.register_task(task) else { return };
                self.notify_placement(PlacementEvent::Found {
                    task,
                    framework: job.framework,
                    tenant: job.tenant,
                    service,
                    size: (job.cores, job.memory),
                    machine,
                });
            }
            LedgerAction::Accepted { task } => self.notify_placement(PlacementEvent::Accepted { task }),
            LedgerAction::Expired { task } => {
                self.subset_task_settled(task);
                self.notify_placement(PlacementEvent::Expired { task });
            }
            LedgerAction::Resolved { task, outcome, reason_code, over } => {
                let report = std::mem::take(&mut self.pending_report);
                self.subset_attempt_resolved(task, outcome, over);
                let outcome = outcome_code(outcome);
                self.notify_placement(PlacementEvent::Resolved { task, outcome, reason_code, over, report });
            }
            LedgerAction::Launch { key, attempt, machine, timeout_us } => {
                self.launch(&key, attempt, machine, timeout_us);
            }
            LedgerAction::Cancel { attempt, machine } => {
                self.send_machine(machine, Body::Cancel(wire::Cancel { id: wire_id(attempt) }));
            }
            LedgerAction::Stop { attempt, machine } => {
                self.send_machine(machine, Body::Stop(wire::Stop { id: wire_id(attempt) }));
            }
            LedgerAction::Acknowledge { attempt, machine } => {
                self.send_machine(machine, Body::Noted(wire::Noted { id: wire_id(attempt) }));
            }
            LedgerAction::Reply { key, request_id, client, outcome } => {
                self.reply(&key, request_id, client, outcome);
            }
            // The host adapter has passed these to the constraints already.
            LedgerAction::AttemptStarted { .. } | LedgerAction::AttemptEnded { .. } => {}
            LedgerAction::Lifecycle { key, request_id, client, event } => {
                self.send_lifecycle(&key, request_id, client, event);
            }
        }
    }

    /// Prepares a task for the placement module: reserves an index for the task's service until the
    /// module is done with the task, and records the task with the constraints. Returns the task's
    /// job and the index of its service; `None` if the ledger does not know the task.
    fn register_task(&mut self, task: usize) -> Option<(TaskJob, usize)> {
        let now = self.now();
        let ledger = &self.placement.host.ledger;
        let job = ledger.record(ledger.key_of(task)?)?.job.clone();
        let service = self.service_ids.acquire(job.service, now);
        if let (Some(constraints), Some(attributes)) = (&mut self.placement.host.constraints, &job.attributes)
        {
            constraints.task_opened(task, attributes);
        }
        if task >= self.service_of_task.len() {
            self.service_of_task.resize(task + 1, 0);
        }
        self.service_of_task[task] = service;
        self.notify_placement(PlacementEvent::Service { service, number: job.service });
        Some((job, service))
    }

    /// Sends a lifecycle event of a placed task to the client that submitted it, if that
    /// client is still connected.
    fn send_lifecycle(&mut self, key: &TaskKey, request_id: u64, client: u64, event: LifecycleEvent) {
        self.counts.lost += u64::from(event == LifecycleEvent::Lost);
        let how = match event {
            LifecycleEvent::Ended => wire::LifeHow::LifeEnded,
            LifecycleEvent::Lost => wire::LifeHow::LifeLost,
            LifecycleEvent::Evicted => wire::LifeHow::LifeEvicted,
            LifecycleEvent::Moved => wire::LifeHow::LifeMoved,
            LifecycleEvent::Stopped => wire::LifeHow::LifeStopped,
        };
        if client != 0 {
            let life = wire::Life { key: key.to_string(), ask: request_id, how: how as i32 };
            self.outputs.push_back(Output::Client { conn: client, body: Body::Life(life) });
        }
    }

    /// Sends a frame to a machine, unless its link is down.
    fn send_machine(&mut self, machine: usize, body: Body) {
        if self.machine(machine).is_some_and(|record| record.availability.link.is_up()) {
            self.outputs.push_back(Output::Machine { machine, body, mark: None });
        }
    }

    /// Sends an attempt to a machine and sets its timeout. Without a usable link, the attempt is
    /// reported to the ledger as not sent.
    fn launch(&mut self, key: &TaskKey, attempt: AttemptId, machine: usize, timeout_us: i64) {
        self.counts.launched += 1;
        if let Some(counts) = self.zone_attempts_mut(machine) {
            counts.launched += 1;
        }
        if let Some(task) = self.placement.host.ledger.record(key).and_then(|record| record.task) {
            self.subset_task_launched(task);
        }
        let now = self.now();
        let link = self.machine(machine).map(|record| record.availability.link);
        let record = self.placement.host.ledger.record(key);
        let (Some(LinkState::Healthy | LinkState::Suspect), Some(record)) = (link, record) else {
            return self.placement.host.on_ledger(|ledger, actions| ledger.unsent(attempt, actions));
        };
        let job = &record.job;
        let (tenant, tenant_id) =
            job.tenant.map(|tenant| self.tenancy.tenant_name_and_id(tenant)).unwrap_or_default();
        let body = Body::Launch(wire::Launch {
            id: wire_id(attempt),
            key: key.to_string(),
            ask: record.request_id,
            framework: self.names.frameworks[job.framework].name.clone(),
            tenant,
            tenant_id,
            service: job.service,
            cores: job.cores,
            memory: job.memory,
            runs_for_us: job.runs_for_us,
            time_out_us: timeout_us,
            kind: idempotency_text(record.idempotency).to_owned(),
        });
        let machine_name = &**self.machine_ids.ids.id(machine);
        tracing::debug!(
            task = &**key,
            launch = attempt.number,
            machine = machine_name,
            "launching an attempt on the machine"
        );
        self.outputs.push_back(Output::Machine { machine, body, mark: Some(attempt.number) });
        self.placement.host.timers.set(now + timeout_us, TimerKind::AttemptTimeout(attempt));
    }

    /// Counts the outcome of a request, and sends the answer to its client.
    fn reply(&mut self, key: &TaskKey, request_id: u64, client: u64, outcome: RequestOutcome) {
        let record = self.placement.host.ledger.record(key);
        let record = record.filter(|record| record.request_id == request_id);
        let mut answer = wire::Answer {
            key: key.to_string(),
            ask: request_id,
            stale_us: record.map_or(0, |record| record.job.stale_us),
            ..wire::Answer::default()
        };
        self.report_to_admission(key, request_id, outcome);
        match outcome {
            RequestOutcome::Placed { machine } => {
                self.counts.placed += 1;
                answer.kind = wire::AnswerKind::Placed as i32;
                answer.machine = self.machine_ids.ids.id(machine).to_string();
            }
            RequestOutcome::Declined { retry_after_us, reason } => {
                self.counts.declined += 1;
                answer.kind = wire::AnswerKind::Declined as i32;
                (answer.retry_after_us, answer.reason) = (retry_after_us, reason.message().to_owned());
                answer.not_allowed = matches!(reason, RejectReason::NotAllowed(_));
                self.explain_decline(key, reason, &mut answer);
            }
            RequestOutcome::Aborted { reason } => {
                self.counts.aborted += 1;
                answer.kind = wire::AnswerKind::Aborted as i32;
                answer.reason = reason.message().to_owned();
            }
        }
        tracing::debug!(
            task = &**key,
            ask = request_id,
            kind = answer.kind,
            machine = answer.machine,
            reason = answer.reason,
            "answering the request"
        );
        if client != 0 {
            self.outputs.push_back(Output::Client { conn: client, body: Body::Answer(answer) });
        }
    }

    /// Reports the outcome of a request to the admission controller.
    fn report_to_admission(&mut self, key: &TaskKey, request_id: u64, outcome: RequestOutcome) {
        let Some(admission) = &mut self.admission else { return };
        let (now, request) = (self.placement.host.now, (key.clone(), request_id));
        match outcome {
            RequestOutcome::Placed { .. } => admission.request_placed(now, &request),
            RequestOutcome::Declined { reason: RejectReason::NoCapacity, .. } => {
                admission.request_expired(now, &request);
            }
            _ => admission.request_withdrawn(&request),
        }
    }

    /// Adds a more detailed reason to the answer of a declined request, if one is known.
    fn explain_decline(&mut self, key: &TaskKey, reason: RejectReason, answer: &mut wire::Answer) {
        let pending = self.pending_rejection.as_mut().filter(|pending| pending.request_id == answer.ask);
        match (reason, pending) {
            (
                RejectReason::NotAllowed(_) | RejectReason::NoMatchingMachine | RejectReason::NoSlack,
                Some(pending),
            ) => {
                answer.stale_us = pending.stale_us;
                if let Some(explanation) = pending.explanation.take() {
                    answer.reason = explanation;
                }
            }
            (RejectReason::NoCapacity, _) => {
                self.subset_capacity_refused();
                let record = self.placement.host.ledger.record(key);
                let attributes = record.and_then(|record| record.job.attributes.clone());
                if let Some(explanation) = attributes.and_then(|attributes| self.explain_blocked(&attributes))
                {
                    answer.reason = format!("{}; {explanation}", answer.reason);
                }
            }
            _ => {}
        }
    }

    /// Carries out a call of the placement module that does not concern a task.
    pub(super) fn perform_host_request(&mut self, request: HostRequest) {
        match request {
            HostRequest::Probe(machine) => self.probe(machine),
            HostRequest::Watch(on) if self.registry_up => {
                self.watching = on;
                self.watch(on);
            }
            HostRequest::Fetch if self.registry_up => {
                self.outputs.push_back(Output::Registry(Body::Fetch(wire::Fetch::default())));
            }
            HostRequest::Watch(_) | HostRequest::Fetch => self.notify_placement(PlacementEvent::ListLost),
        }
    }

    /// Sends a probe to a machine and sets its timeout. Without a link, the probe fails at once.
    fn probe(&mut self, machine: usize) {
        self.last_probe += 1;
        let number = self.last_probe;
        let is_up = self.machine(machine).is_some_and(|record| record.availability.link.is_up());
        self.probes.insert(number, machine);
        if !is_up || self.probes.len() > MAX_PROBES {
            return self.probe_failed(number, AttemptOutcome::ConnectFailed);
        }
        self.send_machine(machine, Body::Probe(wire::Probe { number }));
        let timeout_at = self.now() + self.connect_timeout_us;
        self.placement.host.timers.set(timeout_at, TimerKind::Probe(number));
    }
}

fn wire_id(attempt: AttemptId) -> Option<wire::LaunchId> {
    Some(wire::LaunchId { epoch: attempt.epoch, number: attempt.number })
}
