//! The core's room for clauses: what binds, what it would break, and why a task cannot run.
use super::*;

impl PlannerState {
    // Clauses.

    /// From now on clauses bind, with a name and place of each for answers. To be called before
    /// anything else comes.
    pub fn set_constraints(&mut self, clauses: Vec<Constraint>, places: Vec<String>) {
        self.constraint_names = places;
        if !clauses.is_empty() {
            self.placement.host.constraints = Some(PlacementConstraints::new(clauses));
        }
    }

    /// What clauses see of a task, where there are clauses.
    pub(super) fn facts(
        &self,
        framework: usize,
        tenant: Option<usize>,
        service: u64,
        key: &str,
    ) -> Option<Rc<TaskAttributes>> {
        let bound = self.placement.host.constraints.is_some();
        bound.then(|| self.facts_anyway(framework, tenant, service, key))
    }

    pub(super) fn facts_anyway(
        &self,
        framework: usize,
        tenant: Option<usize>,
        service: u64,
        key: &str,
    ) -> Rc<TaskAttributes> {
        let tenant = tenant.map(|t| self.tenancy.called(t).0).unwrap_or_default();
        let framework = self.names.frameworks[framework].name.clone();
        Rc::new(TaskAttributes { framework, tenant, service, key: key.to_owned() })
    }

    pub(super) fn clause_names(&self, clauses: &[usize]) -> String {
        let names: Vec<&str> = clauses.iter().map(|&c| self.constraint_names[c].as_str()).collect();
        names.join(", ")
    }

    /// Why no machine could ever take a task, if none could.
    pub(super) fn never(&mut self, facts: Option<&Rc<TaskAttributes>>) -> Option<String> {
        match self.placement.host.constraints.as_mut()?.eligibility(facts?) {
            Eligibility::Infeasible { constraints, minimal } => {
                let names = self.clause_names(&constraints);
                let more = if minimal { "" } else { "; not found smaller" };
                Some(format!("no machine that is known could ever meet together: {names}{more}"))
            }
            _ => None,
        }
    }

    /// Clauses in place of those that bind: what they break of what runs. Taken whole, or not at
    /// all.
    pub(super) fn rebind(&mut self, clauses: Vec<(Constraint, String)>, take: bool) -> Value {
        let (clauses, places): (Vec<Constraint>, Vec<String>) = clauses.into_iter().unzip();
        // Machines are told to the new ones as they are told to those that bind.
        let before = self.placement.host.constraints.replace(PlacementConstraints::new(clauses));
        for m in 0..self.machines.len() {
            if let Some(ready) = self.machines[m].as_ref().map(|x| x.availability.readiness()) {
                self.update_machine_constraints(m, ready);
            }
        }
        let Some(mut bounds) = std::mem::replace(&mut self.placement.host.constraints, before) else {
            return Value::Null;
        };
        let mut all = Vec::new();
        for (key, r) in self.ledger().records() {
            let facts = self.facts_anyway(r.job.framework, r.job.tenant, r.job.service, key);
            let copies: Vec<(AttemptId, usize)> = r.attempts.iter().map(|c| (c.id, c.machine)).collect();
            all.push((key.clone(), facts, copies, r.task));
        }
        for (_, facts, copies, _) in &all {
            copies.iter().for_each(|c| bounds.attempt_started(c.0, c.1, facts));
        }
        let mut broken = Vec::new();
        for (key, facts, copies, _) in &all {
            for &(launch, m) in copies {
                // As if it came now, the last of all.
                bounds.attempt_ended(launch);
                let g = bounds.state.acquire_group(facts);
                let clauses: Vec<&str> =
                    bounds.state.violated_constraints(g, m).into_iter().map(|c| places[c].as_str()).collect();
                if !clauses.is_empty() {
                    broken.push(
                        json!({"key": &**key, "machine": &**self.machine_ids.ids.id(m), "clauses": clauses}),
                    );
                }
                bounds.state.release_group(g);
                bounds.attempt_started(launch, m, facts);
            }
        }
        if take {
            for (_, facts, _, task) in &all {
                if let Some(task) = task {
                    bounds.task_opened(*task, facts);
                }
            }
            let mut facts: BTreeMap<TaskKey, Rc<TaskAttributes>> =
                all.into_iter().map(|x| (x.0, x.1)).collect();
            self.placement.host.ledger.jobs_mut().for_each(|(key, job)| job.facts = facts.remove(key));
            self.placement.host.constraints = Some(bounds);
            self.constraint_names = places;
        }
        json!({"taken": take, "broken": broken})
    }

    /// How clauses stand to a task: each that binds it, what it leaves, and who forbids which
    /// machine.
    pub(crate) fn explain_constraints(&mut self, facts: &TaskAttributes, machines: bool) -> Value {
        let Some(bounds) = self.placement.host.constraints.as_mut() else { return json!({"clauses": []}) };
        let stands = bounds.eligibility(facts);
        let g = bounds.state.acquire_group(facts);
        let known = bounds.state.fleet().filter(|x| x.2 != MachineState::Gone).count();
        let leaves = bounds.state.machines_left(g);
        let named =
            |c: &[usize]| -> Vec<&str> { c.iter().map(|&c| self.constraint_names[c].as_str()).collect() };
        let rows: Vec<Value> = leaves
            .iter()
            .map(|x| json!({"clause": self.constraint_names[x.0], "leaves": x.1, "of": known}))
            .collect();
        let mut by_machine = Vec::new();
        for (m, facts, state) in bounds.state.fleet().filter(|_| machines).take(MAX_ROWS) {
            let state = match state {
                MachineState::Ready => "ready",
                MachineState::Down => "drains",
                MachineState::Far => "link not well",
                MachineState::Gone => "gone",
            };
            let forbidding = named(&bounds.state.violated_constraints(g, m));
            by_machine
                .push(json!({"machine": &**self.machine_ids.ids.id(m), "state": state, "kind": facts.kind,
                "hall": facts.zone, "rack": facts.rack, "labels": facts.labels, "forbidden_by": forbidding}));
        }
        let verdict = match &stands {
            Eligibility::Eligible => json!("some machine is allowed"),
            Eligibility::Blocked => json!("kept out by what runs"),
            Eligibility::Infeasible { constraints, minimal } => {
                json!({"never": named(constraints), "smallest": minimal})
            }
        };
        bounds.state.release_group(g);
        json!({"task": {"framework": facts.framework, "tenant": facts.tenant, "service": facts.service,
            "key": facts.key}, "verdict": verdict, "clauses": rows, "machines": by_machine})
    }

    /// What clauses see of a task that is known by its key, and its tenant.
    pub(crate) fn known_task_facts(&self, key: &str) -> Option<(Rc<TaskAttributes>, Option<usize>)> {
        let job = &self.ledger().record(&key.into())?.job;
        Some((job.facts.clone()?, job.tenant))
    }

    /// The clauses that keep a task out everywhere now, if clauses do.
    pub(super) fn kept_out(&mut self, facts: &Rc<TaskAttributes>) -> Option<String> {
        let bounds = self.placement.host.constraints.as_mut()?;
        let Eligibility::Blocked = bounds.eligibility(facts) else { return None };
        let g = bounds.state.acquire_group(facts);
        let known: Vec<usize> = bounds.state.fleet().map(|x| x.0).collect();
        let mut clauses: Vec<usize> =
            known.iter().flat_map(|&m| bounds.state.violated_constraints(g, m)).collect();
        bounds.state.release_group(g);
        clauses.sort_unstable();
        clauses.dedup();
        Some(format!("kept out by what runs, under: {}", self.clause_names(&clauses)))
    }
}
