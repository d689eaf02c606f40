//! The compiled form beside a plain evaluator of what clauses mean, on drawn clauses, fleets and days;
//! conflicts beside brute force on small fleets. The evaluator shares the grammar's types with the compiler
//! and nothing else.
use basaltpitch_constraints::conflict::conflict;
use basaltpitch_constraints::state::{ConstraintState, MachineState};
use basaltpitch_constraints::{
    Constraint, MachineAttributes, MachineSelector, Rule, Scope, SpreadGrouping, TaskAttributes,
    TopologyLevel, UnavailableDomains,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

fn text(list: &'static [&'static str]) -> impl Strategy<Value = String> {
    proptest::sample::select(list).prop_map(str::to_owned)
}

fn some(list: &'static [&'static str]) -> impl Strategy<Value = Vec<String>> {
    proptest::sample::subsequence(list, 0..=list.len())
        .prop_map(|l| l.into_iter().map(str::to_owned).collect())
}

const FRAMEWORKS: &[&str] = &["web", "batch"];
const TENANTS: &[&str] = &["orders", "stores"];
const HALLS: &[&str] = &["a", "b"];
const LABELS: &[&str] = &["ssd", "gpu"];
const KINDS: &[&str] = &["std", "wide"];
const KEYS: &[&str] = &["x/1", "x/2", "y/1"];

fn scope() -> impl Strategy<Value = Scope> {
    let maybe = |list| proptest::option::weighted(0.4, text(list));
    let key = proptest::option::weighted(0.2, text(&["x/", "y/", "x/1"]));
    (maybe(FRAMEWORKS), maybe(TENANTS), proptest::option::weighted(0.2, 0u64..3), key)
        .prop_map(|(framework, tenant, service, task)| Scope { framework, tenant, service, task })
}

fn level() -> impl Strategy<Value = TopologyLevel> {
    prop_oneof![Just(TopologyLevel::Machine), Just(TopologyLevel::Rack), Just(TopologyLevel::Zone)]
}

fn which() -> impl Strategy<Value = MachineSelector> {
    let racks = proptest::collection::vec((text(HALLS), 0u32..2), 0..3);
    (some(KINDS), some(HALLS), racks, some(LABELS))
        .prop_map(|(kinds, zones, racks, labels)| MachineSelector { kinds, zones, racks, labels })
}

fn rule() -> impl Strategy<Value = Rule> {
    let few = || proptest::option::of(1u32..3);
    let by = prop_oneof![Just(SpreadGrouping::Service), Just(SpreadGrouping::All)];
    let gone = prop_oneof![Just(UnavailableDomains::Ignored), Just(UnavailableDomains::Counted)];
    prop_oneof![
        which().prop_map(Rule::In),
        which().prop_map(Rule::NotIn),
        (scope(), level()).prop_map(|(s, l)| Rule::With(s, l)),
        (scope(), level()).prop_map(|(s, l)| Rule::Apart(s, l)),
        (level(), by, few(), few(), gone).prop_map(|(over, by, most, skew, gone)| Rule::Spread {
            over,
            by,
            most,
            skew,
            gone
        }),
    ]
}

fn clause() -> impl Strategy<Value = Constraint> {
    (scope(), proptest::option::weighted(0.3, 1u32..4), rule()).prop_map(|(of, preference_rank, rule)| {
        Constraint { name: String::new(), at: Default::default(), of, preference_rank, rule }
    })
}

fn task() -> impl Strategy<Value = TaskAttributes> {
    (text(FRAMEWORKS), text(TENANTS), 0u64..3, text(KEYS))
        .prop_map(|(framework, tenant, service, key)| TaskAttributes { framework, tenant, service, key })
}

fn machine() -> impl Strategy<Value = MachineAttributes> {
    (text(KINDS), text(HALLS), 0u32..2, some(LABELS))
        .prop_map(|(kind, zone, rack, labels)| MachineAttributes { kind, zone, rack, labels })
}

fn state() -> impl Strategy<Value = MachineState> {
    prop_oneof![4 => Just(MachineState::Ready), 1 => Just(MachineState::Down), 1 => Just(MachineState::Far), 1 => Just(MachineState::Gone)]
}

/// All that is so, with no index and nothing kept.
#[derive(Default)]
struct Plain {
    machines: Vec<(MachineAttributes, MachineState)>,
    copies: BTreeMap<u64, (TaskAttributes, usize)>,
}

impl Plain {
    fn near(&self, a: usize, b: usize, level: TopologyLevel) -> bool {
        let (x, y) = (&self.machines[a].0, &self.machines[b].0);
        match level {
            TopologyLevel::Machine => a == b,
            TopologyLevel::Rack => x.zone == y.zone && x.rack == y.rack,
            TopologyLevel::Zone => x.zone == y.zone,
        }
    }

    fn count(&self, m: usize, level: TopologyLevel, is: impl Fn(&TaskAttributes) -> bool) -> u32 {
        self.copies.values().filter(|(t, o)| is(t) && self.near(*o, m, level)).count() as u32
    }

    fn met(&self, all: &[Constraint], c: &Constraint, t: &TaskAttributes, m: usize) -> bool {
        let here = &self.machines[m].0;
        let bound = c.of.matches(t);
        match &c.rule {
            Rule::In(w) => !bound || w.names(here),
            Rule::NotIn(w) => !bound || !w.names(here),
            Rule::With(s, l) => {
                let sure = |o: &usize| self.machines[*o].1 != MachineState::Far;
                let company = || self.copies.values().filter(|(t, o)| s.matches(t) && sure(o));
                let near = company().any(|(_, o)| self.near(*o, m, *l));
                !bound || if company().next().is_some() { near } else { s.matches(t) }
            }
            Rule::Apart(s, l) => {
                let there = bound && self.count(m, *l, |t| s.matches(t)) > 0;
                let back = s.matches(t) && self.count(m, *l, |t| c.of.matches(t)) > 0;
                !there && !back
            }
            Rule::Spread { over, by, most, skew, gone } => {
                let alike = |o: &TaskAttributes| {
                    c.of.matches(o) && (*by == SpreadGrouping::All || o.service == t.service)
                };
                let n = self.count(m, *over, alike);
                let fixed = |x: usize| {
                    all.iter().filter(|c| c.is_hard() && c.of.matches(t)).all(|c| match &c.rule {
                        Rule::In(w) => w.names(&self.machines[x].0),
                        Rule::NotIn(w) => !w.names(&self.machines[x].0),
                        _ => true,
                    })
                };
                let counts = |x: &usize| {
                    fixed(*x)
                        && (*gone == UnavailableDomains::Counted
                            || self.machines[*x].1 == MachineState::Ready)
                };
                let fewest = (0..self.machines.len())
                    .filter(counts)
                    .map(|x| self.count(x, *over, alike))
                    .min()
                    .unwrap_or(0);
                !bound || (most.is_none_or(|k| n < k) && skew.is_none_or(|k| n < fewest + k))
            }
        }
    }

    fn allows(&self, all: &[Constraint], t: &TaskAttributes, m: usize) -> bool {
        all.iter().filter(|c| c.is_hard()).all(|c| self.met(all, c, t, m))
    }
}

#[derive(Clone, Debug)]
enum Step {
    Machine(usize, MachineAttributes, MachineState),
    Placed(TaskAttributes, usize),
    Over(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (0usize..5, machine(), state()).prop_map(|(m, f, s)| Step::Machine(m, f, s)),
        4 => (task(), 0usize..5).prop_map(|(t, m)| Step::Placed(t, m)),
        2 => (0usize..8).prop_map(Step::Over),
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
    fn mended_sets_answer_as_the_plain_meaning_does(
        clauses in proptest::collection::vec(clause(), 1..6),
        fleet in proptest::collection::vec((machine(), state()), 5),
        steps in proptest::collection::vec(step(), 1..30),
        asks in proptest::collection::vec(task(), 1..6),
    ) {
        let (mut plain, mut ours) = (Plain::default(), ConstraintState::new(clauses.clone()));
        for (m, (facts, state)) in fleet.into_iter().enumerate() {
            ours.update_machine(m, facts.clone(), state);
            plain.machines.push((facts, state));
        }
        let mut n = 0;
        for step in steps {
            match step {
                Step::Machine(m, facts, state) => {
                    ours.update_machine(m, facts.clone(), state);
                    plain.machines[m] = (facts, state);
                }
                Step::Placed(t, m) => {
                    n += 1;
                    let g = ours.acquire_group(&t);
                    ours.attempt_started((0, n), g, m);
                    ours.release_group(g);
                    plain.copies.insert(n, (t, m));
                }
                Step::Over(i) => {
                    let id = plain.copies.keys().nth(i).copied();
                    if let Some(id) = id {
                        ours.attempt_ended((0, id));
                        plain.copies.remove(&id);
                    }
                }
            }
            for t in &asks {
                let g = ours.acquire_group(t);
                for m in 0..plain.machines.len() {
                    prop_assert_eq!(ours.allows(g, m), plain.allows(&clauses, t, m), "{:?} on {}", t, m);
                    let named: Vec<&Constraint> = ours.violated_constraints(g, m).into_iter().map(|c| &clauses[c]).collect();
                    prop_assert!(named.iter().all(|c| !plain.met(&clauses, c, t, m)), "{:?} on {}", t, m);
                    // Wishes, by the plain meaning: rank before rank, in the order of the files.
                    let mut soft: Vec<&Constraint> = clauses.iter().filter(|c| !c.is_hard()).collect();
                    soft.retain(|c| c.of.matches(t) || matches!(&c.rule, Rule::Apart(s, _) if s.matches(t)));
                    if soft.len() == 1 && !matches!(soft[0].rule, Rule::Apart(..)) {
                        prop_assert_eq!(ours.preference_score(g, m), u64::from(plain.met(&clauses, soft[0], t, m)));
                    }
                }
                ours.release_group(g);
            }
        }
    }
}

/// Whether some placing of the task and of one helper for each clause `with` meets the clauses, tried one by
/// one.
fn possible(clauses: &[&Constraint], fleet: &[MachineAttributes], t: &TaskAttributes) -> bool {
    let fixed = |binds: &dyn Fn(&Constraint) -> bool, m: usize| {
        clauses.iter().filter(|c| binds(c)).all(|c| match &c.rule {
            Rule::In(w) => w.names(&fleet[m]),
            Rule::NotIn(w) => !w.names(&fleet[m]),
            _ => true,
        })
    };
    let near = |a: usize, b: usize, level: TopologyLevel| match level {
        TopologyLevel::Machine => a == b,
        TopologyLevel::Rack => fleet[a].zone == fleet[b].zone && fleet[a].rack == fleet[b].rack,
        TopologyLevel::Zone => fleet[a].zone == fleet[b].zone,
    };
    (0..fleet.len()).any(|m| {
        fixed(&|c| c.of.matches(t), m)
            && clauses.iter().filter(|c| c.of.matches(t)).all(|c| {
                let Rule::With(s, level) = &c.rule else { return true };
                s.matches(t)
                    || (0..fleet.len()).any(|n| {
                        let apart = clauses.iter().any(|c| match &c.rule {
                            Rule::Apart(from, far) => {
                                let there =
                                    c.of.matches(t) && from.covers(s) || from.matches(t) && c.of.covers(s);
                                there && near(m, n, *far)
                            }
                            _ => false,
                        });
                        near(m, n, *level) && !apart && fixed(&|c| c.of.covers(s), n)
                    })
            })
    })
}

proptest! {
    #![proptest_config(cases(3000))]

    /// Of clauses that do not wait for helpers of helpers, as brute force tries one round of them.
    #[test]
    fn a_conflict_is_one_and_none_of_it_can_be_left_out(
        clauses in proptest::collection::vec(clause(), 1..7),
        fleet in proptest::collection::vec(machine(), 1..6),
        task in task(),
    ) {
        let clauses: Vec<Constraint> = clauses.into_iter().map(|c| Constraint { preference_rank: None, ..c }).collect();
        let waits = |d: &Constraint, s: &Scope| matches!(d.rule, Rule::With(..)) && d.of.covers(s);
        let helps = |c: &Constraint| match &c.rule {
            Rule::With(s, _) => clauses.iter().any(|d| waits(d, s)),
            _ => false,
        };
        prop_assume!(!clauses.iter().any(helps));
        let all: Vec<&Constraint> = clauses.iter().collect();
        let found = conflict(&clauses, fleet.iter(), &task, 1_000_000);
        prop_assert_eq!(found.is_none(), possible(&all, &fleet, &task));
        if let Some(found) = found {
            prop_assert!(found.minimal);
            let set: Vec<&Constraint> = found.constraints.iter().map(|&c| &clauses[c]).collect();
            prop_assert!(!possible(&set, &fleet, &task), "a conflict");
            for left_out in 0..set.len() {
                let mut fewer = set.clone();
                fewer.remove(left_out);
                prop_assert!(possible(&fewer, &fleet, &task), "{:?} can be left out", set[left_out]);
            }
        }
    }
}

#[test]
fn steps_end_honestly() {
    let of = |zones: &str| Constraint {
        name: zones.into(),
        at: Default::default(),
        of: Scope::default(),
        preference_rank: None,
        rule: Rule::In(MachineSelector { zones: vec![zones.into()], ..MachineSelector::default() }),
    };
    let clauses = [of("a"), of("a"), of("b")];
    let fleet = [
        MachineAttributes { zone: "a".into(), ..MachineAttributes::default() },
        MachineAttributes { zone: "b".into(), ..MachineAttributes::default() },
    ];
    let found = |steps| conflict(&clauses, fleet.iter(), &TaskAttributes::default(), steps);
    assert_eq!(found(2), None, "not known: it waits");
    assert!(!found(6).unwrap().minimal);
    let all = found(1000).unwrap();
    assert_eq!((all.constraints, all.minimal), (vec![1, 2], true));
}
