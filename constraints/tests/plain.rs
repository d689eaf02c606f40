//! Compares `ConstraintState` with a direct evaluation of the constraints' semantics, on random
//! constraints, fleets and sequences of changes, and conflicts with a brute-force search on small
//! fleets. The reference evaluator shares only the types of constraints with the code under test.
use basaltpitch_constraints::conflict::conflict;
use basaltpitch_constraints::state::{ConstraintState, MachineState};
use basaltpitch_constraints::{
    Constraint, MachineAttributes, MachineSelector, Rule, Scope, SpreadGrouping, TaskAttributes,
    TopologyLevel, UnavailableDomains,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

fn one_of(list: &'static [&'static str]) -> impl Strategy<Value = String> {
    proptest::sample::select(list).prop_map(str::to_owned)
}

fn subset_of(list: &'static [&'static str]) -> impl Strategy<Value = Vec<String>> {
    proptest::sample::subsequence(list, 0..=list.len())
        .prop_map(|l| l.into_iter().map(str::to_owned).collect())
}

const FRAMEWORKS: &[&str] = &["web", "batch"];
const TENANTS: &[&str] = &["orders", "stores"];
const ZONES: &[&str] = &["a", "b"];
const LABELS: &[&str] = &["ssd", "gpu"];
const KINDS: &[&str] = &["std", "wide"];
const KEYS: &[&str] = &["x/1", "x/2", "y/1"];

fn scope() -> impl Strategy<Value = Scope> {
    let optional = |list| proptest::option::weighted(0.4, one_of(list));
    let key = proptest::option::weighted(0.2, one_of(&["x/", "y/", "x/1"]));
    (optional(FRAMEWORKS), optional(TENANTS), proptest::option::weighted(0.2, 0u64..3), key)
        .prop_map(|(framework, tenant, service, task)| Scope { framework, tenant, service, task })
}

fn level() -> impl Strategy<Value = TopologyLevel> {
    prop_oneof![Just(TopologyLevel::Machine), Just(TopologyLevel::Rack), Just(TopologyLevel::Zone)]
}

fn selector() -> impl Strategy<Value = MachineSelector> {
    let racks = proptest::collection::vec((one_of(ZONES), 0u32..2), 0..3);
    (subset_of(KINDS), subset_of(ZONES), racks, subset_of(LABELS))
        .prop_map(|(kinds, zones, racks, labels)| MachineSelector { kinds, zones, racks, labels })
}

fn rule() -> impl Strategy<Value = Rule> {
    let limit = || proptest::option::of(1u32..3);
    let by = prop_oneof![Just(SpreadGrouping::Service), Just(SpreadGrouping::All)];
    let unavailable = prop_oneof![Just(UnavailableDomains::Ignored), Just(UnavailableDomains::Counted)];
    prop_oneof![
        selector().prop_map(Rule::In),
        selector().prop_map(Rule::NotIn),
        (scope(), level()).prop_map(|(scope, level)| Rule::With(scope, level)),
        (scope(), level()).prop_map(|(scope, level)| Rule::Apart(scope, level)),
        (level(), by, limit(), limit(), unavailable)
            .prop_map(|(over, by, max, skew, unavailable)| Rule::Spread { over, by, max, skew, unavailable }),
    ]
}

fn constraint() -> impl Strategy<Value = Constraint> {
    (scope(), proptest::option::weighted(0.3, 1u32..4), rule()).prop_map(|(scope, preference_rank, rule)| {
        Constraint { name: String::new(), at: Default::default(), scope, preference_rank, rule }
    })
}

fn task() -> impl Strategy<Value = TaskAttributes> {
    (one_of(FRAMEWORKS), one_of(TENANTS), 0u64..3, one_of(KEYS))
        .prop_map(|(framework, tenant, service, key)| TaskAttributes { framework, tenant, service, key })
}

fn machine() -> impl Strategy<Value = MachineAttributes> {
    (one_of(KINDS), one_of(ZONES), 0u32..2, subset_of(LABELS))
        .prop_map(|(kind, zone, rack, labels)| MachineAttributes { kind, zone, rack, labels })
}

fn state() -> impl Strategy<Value = MachineState> {
    prop_oneof![4 => Just(MachineState::Ready), 1 => Just(MachineState::Down), 1 => Just(MachineState::Far), 1 => Just(MachineState::Gone)]
}

/// The reference evaluator: stores machines and attempts only, and evaluates each query from
/// scratch.
#[derive(Default)]
struct Reference {
    machines: Vec<(MachineAttributes, MachineState)>,
    attempts: BTreeMap<u64, (TaskAttributes, usize)>,
}

impl Reference {
    fn near(&self, a: usize, b: usize, level: TopologyLevel) -> bool {
        let (x, y) = (&self.machines[a].0, &self.machines[b].0);
        match level {
            TopologyLevel::Machine => a == b,
            TopologyLevel::Rack => x.zone == y.zone && x.rack == y.rack,
            TopologyLevel::Zone => x.zone == y.zone,
        }
    }

    fn count(&self, machine: usize, level: TopologyLevel, counted: impl Fn(&TaskAttributes) -> bool) -> u32 {
        self.attempts.values().filter(|(task, at)| counted(task) && self.near(*at, machine, level)).count()
            as u32
    }

    fn satisfies(&self, all: &[Constraint], c: &Constraint, task: &TaskAttributes, machine: usize) -> bool {
        let attributes = &self.machines[machine].0;
        let applies = c.scope.matches(task);
        match &c.rule {
            Rule::In(selector) => !applies || selector.selects(attributes),
            Rule::NotIn(selector) => !applies || !selector.selects(attributes),
            Rule::With(scope, level) => {
                let reachable = |at: &usize| self.machines[*at].1 != MachineState::Far;
                let companions =
                    || self.attempts.values().filter(|(other, at)| scope.matches(other) && reachable(at));
                let near = companions().any(|(_, at)| self.near(*at, machine, *level));
                !applies || if companions().next().is_some() { near } else { scope.matches(task) }
            }
            Rule::Apart(scope, level) => {
                let conflicts = applies && self.count(machine, *level, |other| scope.matches(other)) > 0;
                let conflicts_back =
                    scope.matches(task) && self.count(machine, *level, |other| c.scope.matches(other)) > 0;
                !conflicts && !conflicts_back
            }
            Rule::Spread { over, by, max, skew, unavailable } => {
                let counted = |other: &TaskAttributes| {
                    c.scope.matches(other) && (*by == SpreadGrouping::All || other.service == task.service)
                };
                let count = self.count(machine, *over, counted);
                let selected = |other: usize| {
                    all.iter().filter(|c| c.is_hard() && c.scope.matches(task)).all(|c| match &c.rule {
                        Rule::In(selector) => selector.selects(&self.machines[other].0),
                        Rule::NotIn(selector) => !selector.selects(&self.machines[other].0),
                        _ => true,
                    })
                };
                let eligible = |other: &usize| {
                    selected(*other)
                        && (*unavailable == UnavailableDomains::Counted
                            || self.machines[*other].1 == MachineState::Ready)
                };
                let fewest = (0..self.machines.len())
                    .filter(eligible)
                    .map(|other| self.count(other, *over, counted))
                    .min()
                    .unwrap_or(0);
                !applies
                    || (max.is_none_or(|max| count < max) && skew.is_none_or(|skew| count < fewest + skew))
            }
        }
    }

    fn allows(&self, all: &[Constraint], task: &TaskAttributes, machine: usize) -> bool {
        all.iter().filter(|c| c.is_hard()).all(|c| self.satisfies(all, c, task, machine))
    }
}

#[derive(Clone, Debug)]
enum Step {
    UpdateMachine(usize, MachineAttributes, MachineState),
    StartAttempt(TaskAttributes, usize),
    EndAttempt(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (0usize..5, machine(), state()).prop_map(|(m, a, s)| Step::UpdateMachine(m, a, s)),
        4 => (task(), 0usize..5).prop_map(|(t, m)| Step::StartAttempt(t, m)),
        2 => (0usize..8).prop_map(Step::EndAttempt),
    ]
}

fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(cases(1500))]

    #[test]
    fn incremental_state_matches_evaluation_from_scratch(
        constraints in proptest::collection::vec(constraint(), 1..6),
        fleet in proptest::collection::vec((machine(), state()), 5),
        steps in proptest::collection::vec(step(), 1..30),
        queries in proptest::collection::vec(task(), 1..6),
    ) {
        let (mut reference, mut tested) = (Reference::default(), ConstraintState::new(constraints.clone()));
        for (m, (attributes, state)) in fleet.into_iter().enumerate() {
            tested.update_machine(m, attributes.clone(), state);
            reference.machines.push((attributes, state));
        }
        let mut n = 0;
        for step in steps {
            match step {
                Step::UpdateMachine(m, attributes, state) => {
                    tested.update_machine(m, attributes.clone(), state);
                    reference.machines[m] = (attributes, state);
                }
                Step::StartAttempt(task, m) => {
                    n += 1;
                    let group = tested.acquire_group(&task);
                    tested.attempt_started((0, n), group, m);
                    tested.release_group(group);
                    reference.attempts.insert(n, (task, m));
                }
                Step::EndAttempt(i) => {
                    let id = reference.attempts.keys().nth(i).copied();
                    if let Some(id) = id {
                        tested.attempt_ended((0, id));
                        reference.attempts.remove(&id);
                    }
                }
            }
            for task in &queries {
                let group = tested.acquire_group(task);
                for m in 0..reference.machines.len() {
                    prop_assert_eq!(
                        tested.allows(group, m), reference.allows(&constraints, task, m), "{:?} on {}", task, m
                    );
                    let violated: Vec<&Constraint> =
                        tested.violated_constraints(group, m).into_iter().map(|c| &constraints[c]).collect();
                    prop_assert!(
                        violated.iter().all(|c| !reference.satisfies(&constraints, c, task, m)), "{:?} on {}", task, m
                    );
                    // With a single preference that is not an anti-affinity, the score is 1 if the
                    // machine satisfies it and 0 otherwise.
                    let mut soft: Vec<&Constraint> = constraints.iter().filter(|c| !c.is_hard()).collect();
                    soft.retain(|c| c.scope.matches(task) || matches!(&c.rule, Rule::Apart(s, _) if s.matches(task)));
                    if soft.len() == 1 && !matches!(soft[0].rule, Rule::Apart(..)) {
                        prop_assert_eq!(
                            tested.preference_score(group, m), u64::from(reference.satisfies(&constraints, soft[0], task, m))
                        );
                    }
                }
                tested.release_group(group);
            }
        }
    }
}

/// Brute-force reference for `conflict`: whether the constraints allow some placement of the task
/// and of one companion for each affinity.
fn possible(constraints: &[&Constraint], fleet: &[MachineAttributes], task: &TaskAttributes) -> bool {
    let selected = |applies: &dyn Fn(&Constraint) -> bool, m: usize| {
        constraints.iter().filter(|c| applies(c)).all(|c| match &c.rule {
            Rule::In(selector) => selector.selects(&fleet[m]),
            Rule::NotIn(selector) => !selector.selects(&fleet[m]),
            _ => true,
        })
    };
    let near = |a: usize, b: usize, level: TopologyLevel| match level {
        TopologyLevel::Machine => a == b,
        TopologyLevel::Rack => fleet[a].zone == fleet[b].zone && fleet[a].rack == fleet[b].rack,
        TopologyLevel::Zone => fleet[a].zone == fleet[b].zone,
    };
    (0..fleet.len()).any(|m| {
        selected(&|c| c.scope.matches(task), m)
            && constraints.iter().filter(|c| c.scope.matches(task)).all(|c| {
                let Rule::With(scope, level) = &c.rule else { return true };
                scope.matches(task)
                    || (0..fleet.len()).any(|n| {
                        let apart = constraints.iter().any(|c| match &c.rule {
                            Rule::Apart(from, far) => {
                                let applies = c.scope.matches(task) && from.covers(scope)
                                    || from.matches(task) && c.scope.covers(scope);
                                applies && near(m, n, *far)
                            }
                            _ => false,
                        });
                        near(m, n, *level) && !apart && selected(&|c| c.scope.covers(scope), n)
                    })
            })
    })
}

proptest! {
    #![proptest_config(cases(3000))]

    /// Leaves out constraints whose companions have affinities of their own, as the brute-force
    /// search places companions of the task only.
    #[test]
    fn conflict_matches_brute_force_and_is_minimal(
        constraints in proptest::collection::vec(constraint(), 1..7),
        fleet in proptest::collection::vec(machine(), 1..6),
        task in task(),
    ) {
        let constraints: Vec<Constraint> =
            constraints.into_iter().map(|c| Constraint { preference_rank: None, ..c }).collect();
        let has_affinity =
            |c: &Constraint, scope: &Scope| matches!(c.rule, Rule::With(..)) && c.scope.covers(scope);
        let is_nested = |c: &Constraint| match &c.rule {
            Rule::With(scope, _) => constraints.iter().any(|other| has_affinity(other, scope)),
            _ => false,
        };
        prop_assume!(!constraints.iter().any(is_nested));
        let all: Vec<&Constraint> = constraints.iter().collect();
        let found = conflict(&constraints, fleet.iter(), &task, 1_000_000);
        prop_assert_eq!(found.is_none(), possible(&all, &fleet, &task));
        if let Some(found) = found {
            prop_assert!(found.minimal);
            let set: Vec<&Constraint> = found.constraints.iter().map(|&c| &constraints[c]).collect();
            prop_assert!(!possible(&set, &fleet, &task), "brute force places the task despite the conflict");
            for left_out in 0..set.len() {
                let mut fewer = set.clone();
                fewer.remove(left_out);
                prop_assert!(possible(&fewer, &fleet, &task), "{:?} is not needed for the conflict", set[left_out]);
            }
        }
    }
}

#[test]
fn reports_exhausted_steps() {
    let in_zone = |zone: &str| Constraint {
        name: zone.into(),
        at: Default::default(),
        scope: Scope::default(),
        preference_rank: None,
        rule: Rule::In(MachineSelector { zones: vec![zone.into()], ..MachineSelector::default() }),
    };
    let constraints = [in_zone("a"), in_zone("a"), in_zone("b")];
    let fleet = [
        MachineAttributes { zone: "a".into(), ..MachineAttributes::default() },
        MachineAttributes { zone: "b".into(), ..MachineAttributes::default() },
    ];
    let found = |steps| conflict(&constraints, fleet.iter(), &TaskAttributes::default(), steps);
    assert_eq!(found(2), None, "a search that runs out of steps reports no conflict");
    assert!(!found(6).unwrap().minimal);
    let all = found(1000).unwrap();
    assert_eq!((all.constraints, all.minimal), (vec![1, 2], true));
}
