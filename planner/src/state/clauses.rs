//! The installation's constraints: replaces them, reports which running tasks would violate a
//! different set of constraints, and explains why a task cannot run.
use super::*;

impl PlannerState {
    /// Sets the constraints, and for answers the name and settings location of each. Must be called
    /// before any machine or task is known.
    pub fn set_constraints(&mut self, constraints: Vec<Constraint>, names: Vec<String>) {
        self.constraint_names = names;
        if !constraints.is_empty() {
            self.placement.host.constraints = Some(PlacementConstraints::new(constraints));
        }
    }

    /// Returns the attributes of a task that constraints match; `None` if there are no constraints.
    pub(super) fn constraint_attributes(
        &self,
        framework: usize,
        tenant: Option<usize>,
        service: u64,
        key: &str,
    ) -> Option<Rc<TaskAttributes>> {
        let has_constraints = self.placement.host.constraints.is_some();
        has_constraints.then(|| self.task_attributes(framework, tenant, service, key))
    }

    /// Returns the attributes of a task that constraints match.
    pub(super) fn task_attributes(
        &self,
        framework: usize,
        tenant: Option<usize>,
        service: u64,
        key: &str,
    ) -> Rc<TaskAttributes> {
        let tenant = tenant.map(|tenant| self.tenancy.tenant_name_and_id(tenant).0).unwrap_or_default();
        let framework = self.names.frameworks[framework].name.clone();
        Rc::new(TaskAttributes { framework, tenant, service, key: key.to_owned() })
    }

    /// Returns the names of constraints, separated by commas.
    pub(super) fn join_constraint_names(&self, constraints: &[usize]) -> String {
        let names: Vec<&str> =
            constraints.iter().map(|&constraint| self.constraint_names[constraint].as_str()).collect();
        names.join(", ")
    }

    /// Explains why no machine could ever run a task, if the constraints rule out all known
    /// machines.
    pub(super) fn explain_infeasible(&mut self, attributes: Option<&Rc<TaskAttributes>>) -> Option<String> {
        match self.placement.host.constraints.as_mut()?.eligibility(attributes?) {
            Eligibility::Infeasible { constraints, minimal } => {
                let names = self.join_constraint_names(&constraints);
                let suffix = if minimal { "" } else { "; not found smaller" };
                Some(format!("no machine that is known could ever meet together: {names}{suffix}"))
            }
            _ => None,
        }
    }

    /// Evaluates a different set of constraints against the attempts that run, and returns as JSON
    /// which attempts would violate which constraints. With `apply`, the new constraints replace
    /// the current ones as a whole, even if attempts violate them; without it, nothing changes.
    pub(super) fn replace_constraints(
        &mut self,
        constraints: Vec<(Constraint, String)>,
        apply: bool,
    ) -> Value {
        let (constraints, names): (Vec<Constraint>, Vec<String>) = constraints.into_iter().unzip();
        // The new constraints take the place of the current ones while all machines are passed to
        // them.
        let current = self.placement.host.constraints.replace(PlacementConstraints::new(constraints));
        for machine in 0..self.machines.len() {
            if let Some(ready) = self.machines[machine].as_ref().map(|record| record.availability.readiness())
            {
                self.update_machine_constraints(machine, ready);
            }
        }
        let Some(mut replacement) = std::mem::replace(&mut self.placement.host.constraints, current) else {
            return Value::Null;
        };
        let mut tasks = Vec::new();
        for (key, record) in self.ledger().records() {
            let attributes =
                self.task_attributes(record.job.framework, record.job.tenant, record.job.service, key);
            let attempts: Vec<(AttemptId, usize)> =
                record.attempts.iter().map(|attempt| (attempt.id, attempt.machine)).collect();
            tasks.push((key.clone(), attributes, attempts, record.task));
        }
        for (_, attributes, attempts, _) in &tasks {
            attempts.iter().for_each(|attempt| replacement.attempt_started(attempt.0, attempt.1, attributes));
        }
        let mut violations = Vec::new();
        for (key, attributes, attempts, _) in &tasks {
            for &(attempt, machine) in attempts {
                // Each attempt is evaluated as if it were placed now, after all others.
                replacement.attempt_ended(attempt);
                let group = replacement.state.acquire_group(attributes);
                let violated: Vec<&str> = replacement
                    .state
                    .violated_constraints(group, machine)
                    .into_iter()
                    .map(|constraint| names[constraint].as_str())
                    .collect();
                if !violated.is_empty() {
                    violations.push(json!({"key": &**key, "machine": &**self.machine_ids.ids.id(machine),
                            "clauses": violated}));
                }
                replacement.state.release_group(group);
                replacement.attempt_started(attempt, machine, attributes);
            }
        }
        if apply {
            for (_, attributes, _, task) in &tasks {
                if let Some(task) = task {
                    replacement.task_opened(*task, attributes);
                }
            }
            let mut attributes: BTreeMap<TaskKey, Rc<TaskAttributes>> =
                tasks.into_iter().map(|task| (task.0, task.1)).collect();
            self.placement
                .host
                .ledger
                .jobs_mut()
                .for_each(|(key, job)| job.attributes = attributes.remove(key));
            self.placement.host.constraints = Some(replacement);
            self.constraint_names = names;
        }
        json!({"taken": apply, "broken": violations})
    }

    /// Explains the constraints of a task as JSON: each constraint that applies with the number of
    /// machines that it leaves, and, with `machines`, for each machine the constraints that forbid
    /// the task there.
    pub(crate) fn explain_constraints(&mut self, attributes: &TaskAttributes, machines: bool) -> Value {
        let Some(constraints) = self.placement.host.constraints.as_mut() else {
            return json!({"clauses": []});
        };
        let eligibility = constraints.eligibility(attributes);
        let group = constraints.state.acquire_group(attributes);
        let known = constraints.state.fleet().filter(|entry| entry.2 != MachineState::Gone).count();
        let leaves = constraints.state.machines_left(group);
        let names_of = |constraints: &[usize]| -> Vec<&str> {
            constraints.iter().map(|&constraint| self.constraint_names[constraint].as_str()).collect()
        };
        let rows: Vec<Value> = leaves
            .iter()
            .map(|entry| json!({"clause": self.constraint_names[entry.0], "leaves": entry.1, "of": known}))
            .collect();
        let mut by_machine = Vec::new();
        for (machine, machine_attributes, state) in
            constraints.state.fleet().filter(|_| machines).take(MAX_ROWS)
        {
            let state = match state {
                MachineState::Ready => "ready",
                MachineState::Down => "drains",
                MachineState::Far => "link not well",
                MachineState::Gone => "gone",
            };
            let forbidding = names_of(&constraints.state.violated_constraints(group, machine));
            by_machine.push(json!({"machine": &**self.machine_ids.ids.id(machine), "state": state,
                "kind": machine_attributes.kind, "hall": machine_attributes.zone,
                "rack": machine_attributes.rack, "labels": machine_attributes.labels,
                "forbidden_by": forbidding}));
        }
        let verdict = match &eligibility {
            Eligibility::Eligible => json!("some machine is allowed"),
            Eligibility::Blocked => json!("kept out by what runs"),
            Eligibility::Infeasible { constraints, minimal } => {
                json!({"never": names_of(constraints), "smallest": minimal})
            }
        };
        constraints.state.release_group(group);
        json!({"task": {"framework": attributes.framework, "tenant": attributes.tenant,
            "service": attributes.service, "key": attributes.key},
            "verdict": verdict, "clauses": rows, "machines": by_machine})
    }

    /// Returns the attributes and the tenant of the task with this key; `None` if the task is not
    /// known or there are no constraints.
    pub(crate) fn known_task_attributes(&self, key: &str) -> Option<(Rc<TaskAttributes>, Option<usize>)> {
        let job = &self.ledger().record(&key.into())?.job;
        Some((job.attributes.clone()?, job.tenant))
    }

    /// Names the constraints that forbid a task on all machines now, if the running tasks block it.
    pub(super) fn explain_blocked(&mut self, attributes: &Rc<TaskAttributes>) -> Option<String> {
        let constraints = self.placement.host.constraints.as_mut()?;
        let Eligibility::Blocked = constraints.eligibility(attributes) else { return None };
        let group = constraints.state.acquire_group(attributes);
        let known: Vec<usize> = constraints.state.fleet().map(|entry| entry.0).collect();
        let mut violated: Vec<usize> = known
            .iter()
            .flat_map(|&machine| constraints.state.violated_constraints(group, machine))
            .collect();
        constraints.state.release_group(group);
        violated.sort_unstable();
        violated.dedup();
        Some(format!("kept out by what runs, under: {}", self.join_constraint_names(&violated)))
    }
}
