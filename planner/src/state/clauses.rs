//! The core's room for clauses: what binds, what it would break, and why a task cannot run.
use super::*;

impl PlannerState {
    // Clauses.

    /// From now on clauses bind, with a name and place of each for answers. To be called before anything else
    /// comes.
    pub fn set_constraints(&mut self, clauses: Vec<Clause>, places: Vec<String>) {
        self.constraint_names = places;
        if !clauses.is_empty() {
            self.placement.host.constraints = Some(Bounds::new(clauses));
        }
    }

    /// What clauses see of a task, where there are clauses.
    pub(super) fn facts(
        &self,
        framework: usize,
        tenant: Option<usize>,
        service: u64,
        key: &str,
    ) -> Option<Rc<Facts>> {
        let bound = self.placement.host.constraints.is_some();
        bound.then(|| self.facts_anyway(framework, tenant, service, key))
    }

    pub(super) fn facts_anyway(
        &self,
        framework: usize,
        tenant: Option<usize>,
        service: u64,
        key: &str,
    ) -> Rc<Facts> {
        let tenant = tenant.map(|t| self.tenancy.called(t).0).unwrap_or_default();
        let framework = self.names.frameworks[framework].0.clone();
        Rc::new(Facts { framework, tenant, service, key: key.to_owned() })
    }

    pub(super) fn clause_names(&self, clauses: &[usize]) -> String {
        let names: Vec<&str> = clauses.iter().map(|&c| self.constraint_names[c].as_str()).collect();
        names.join(", ")
    }

    /// Why no machine could ever take a task, if none could.
    pub(super) fn never(&mut self, facts: Option<&Rc<Facts>>) -> Option<String> {
        match self.placement.host.constraints.as_mut()?.stands(facts?) {
            Stands::Never { clauses, smallest } => {
                let names = self.clause_names(&clauses);
                let more = if smallest { "" } else { "; not found smaller" };
                Some(format!("no machine that is known could ever meet together: {names}{more}"))
            }
            _ => None,
        }
    }

    /// Clauses in place of those that bind: what they break of what runs. Taken whole, or not at all.
    pub(super) fn rebind(&mut self, clauses: Vec<(Clause, String)>, take: bool) -> Value {
        let (clauses, places): (Vec<Clause>, Vec<String>) = clauses.into_iter().unzip();
        // Machines are told to the new ones as they are told to those that bind.
        let before = self.placement.host.constraints.replace(Bounds::new(clauses));
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
            let copies: Vec<(Launch, usize)> = r.copies.iter().map(|c| (c.launch, c.machine)).collect();
            all.push((key.clone(), facts, copies, r.task));
        }
        for (_, facts, copies, _) in &all {
            copies.iter().for_each(|c| bounds.began(c.0, c.1, facts));
        }
        let mut broken = Vec::new();
        for (key, facts, copies, _) in &all {
            for &(launch, m) in copies {
                // As if it came now, the last of all.
                bounds.over(launch);
                let g = bounds.deciding.enter(facts);
                let clauses: Vec<&str> =
                    bounds.deciding.forbidding(g, m).into_iter().map(|c| places[c].as_str()).collect();
                if !clauses.is_empty() {
                    broken.push(
                        json!({"key": &**key, "machine": &**self.machine_ids.ids.id(m), "clauses": clauses}),
                    );
                }
                bounds.deciding.leave(g);
                bounds.began(launch, m, facts);
            }
        }
        if take {
            for (_, facts, _, task) in &all {
                if let Some(task) = task {
                    bounds.enter(*task, facts);
                }
            }
            let mut facts: BTreeMap<TaskKey, Rc<Facts>> = all.into_iter().map(|x| (x.0, x.1)).collect();
            self.placement.host.ledger.jobs_mut().for_each(|(key, job)| job.facts = facts.remove(key));
            self.placement.host.constraints = Some(bounds);
            self.constraint_names = places;
        }
        json!({"taken": take, "broken": broken})
    }

    /// How clauses stand to a task: each that binds it, what it leaves, and who forbids which machine.
    pub(crate) fn explain_constraints(&mut self, facts: &Facts, machines: bool) -> Value {
        let Some(bounds) = self.placement.host.constraints.as_mut() else { return json!({"clauses": []}) };
        let stands = bounds.stands(facts);
        let g = bounds.deciding.enter(facts);
        let known = bounds.deciding.fleet().filter(|x| x.2 != State::Gone).count();
        let leaves = bounds.deciding.leaves(g);
        let named =
            |c: &[usize]| -> Vec<&str> { c.iter().map(|&c| self.constraint_names[c].as_str()).collect() };
        let rows: Vec<Value> = leaves
            .iter()
            .map(|x| json!({"clause": self.constraint_names[x.0], "leaves": x.1, "of": known}))
            .collect();
        let mut by_machine = Vec::new();
        for (m, facts, state) in bounds.deciding.fleet().filter(|_| machines).take(MOST_ROWS) {
            let state = match state {
                State::Ready => "ready",
                State::Down => "drains",
                State::Far => "link not well",
                State::Gone => "gone",
            };
            let forbidding = named(&bounds.deciding.forbidding(g, m));
            by_machine
                .push(json!({"machine": &**self.machine_ids.ids.id(m), "state": state, "kind": facts.kind,
                "hall": facts.hall, "rack": facts.rack, "labels": facts.labels, "forbidden_by": forbidding}));
        }
        let verdict = match &stands {
            Stands::Free => json!("some machine is allowed"),
            Stands::KeptOut => json!("kept out by what runs"),
            Stands::Never { clauses, smallest } => {
                json!({"never": named(clauses), "smallest": smallest})
            }
        };
        bounds.deciding.leave(g);
        json!({"task": {"framework": facts.framework, "tenant": facts.tenant, "service": facts.service,
            "key": facts.key}, "verdict": verdict, "clauses": rows, "machines": by_machine})
    }

    /// What clauses see of a task that is known by its key, and its tenant.
    pub(crate) fn known_task_facts(&self, key: &str) -> Option<(Rc<Facts>, Option<usize>)> {
        let job = &self.ledger().record(&key.into())?.job;
        Some((job.facts.clone()?, job.tenant))
    }

    /// The clauses that keep a task out everywhere now, if clauses do.
    pub(super) fn kept_out(&mut self, facts: &Rc<Facts>) -> Option<String> {
        let bounds = self.placement.host.constraints.as_mut()?;
        let Stands::KeptOut = bounds.stands(facts) else { return None };
        let g = bounds.deciding.enter(facts);
        let known: Vec<usize> = bounds.deciding.fleet().map(|x| x.0).collect();
        let mut clauses: Vec<usize> = known.iter().flat_map(|&m| bounds.deciding.forbidding(g, m)).collect();
        bounds.deciding.leave(g);
        clauses.sort_unstable();
        clauses.dedup();
        Some(format!("kept out by what runs, under: {}", self.clause_names(&clauses)))
    }
}
