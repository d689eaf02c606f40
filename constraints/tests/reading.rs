//! Parses constraints from configuration files: the constraints that result, the errors with their
//! locations, and the machines that parsed spreads allow.
use basaltpitch_config::installation::load_texts;
use basaltpitch_constraints::parse::parse;
use basaltpitch_constraints::state::{ConstraintState, MachineState};
use basaltpitch_constraints::{
    MachineAttributes, MachineSelector, Rule, SpreadGrouping, TaskAttributes, TopologyLevel,
    UnavailableDomains,
};
use expect_test::{expect, Expect};

const SITE: &str = r#"zones: ["hall-a", "hall-b"]
kinds: [{name: "std", cores: 16, memory: 32}, {name: "wide", cores: 60, memory: 96}]
frameworks: [
	{name: "web", repeat: "repeatable", goal: 600ms, limit: 6s},
	{name: "batch", repeat: "repeatable", goal: 600ms, limit: 6s},
]
"#;
const RACKS: &str =
    "racks: [{name: \"a1\", hall: \"hall-a\", cell: 1}, {name: \"b1\", hall: \"hall-b\", cell: 1}]\n";

/// Formats all fields of a rule, with the values named as in configuration files.
fn describe(rule: &Rule) -> String {
    let machines = |selector: &MachineSelector| {
        let MachineSelector { kinds, zones, racks, labels } = selector;
        format!("Which {{ kinds: {kinds:?}, halls: {zones:?}, racks: {racks:?}, labels: {labels:?} }}")
    };
    let within = |level: &TopologyLevel| match level {
        TopologyLevel::Machine => "Machine",
        TopologyLevel::Rack => "Rack",
        TopologyLevel::Zone => "Hall",
    };
    match rule {
        Rule::In(selector) => format!("In({})", machines(selector)),
        Rule::NotIn(selector) => format!("NotIn({})", machines(selector)),
        Rule::With(scope, level) => format!("With({scope:?}, {})", within(level)),
        Rule::Apart(scope, level) => format!("Apart({scope:?}, {})", within(level)),
        Rule::Spread { over, by, max, skew, unavailable } => {
            let by = match by {
                SpreadGrouping::Service => "Service",
                SpreadGrouping::All => "All",
            };
            let unavailable = match unavailable {
                UnavailableDomains::Ignored => "Live",
                UnavailableDomains::Counted => "Keeps",
            };
            let over = within(over);
            format!("Spread {{ over: {over}, by: {by}, most: {max:?}, skew: {skew:?}, gone: {unavailable} }}")
        }
    }
}

/// Parses a file of constraints and formats the constraints or the errors. Adds `RACKS` to a file
/// without racks.
fn parse_and_format(file: &str) -> String {
    let file = &if file.contains("racks: [{") { file.to_owned() } else { format!("{file}{RACKS}") };
    match load_texts(&[("site.rec", SITE), ("clauses.rec", file)]) {
        Ok(site) => match parse(&site.all) {
            Ok(parsed) => {
                parsed.iter().map(|c| format!("{}: {:?} {}\n", c.name, c.scope, describe(&c.rule))).collect()
            }
            Err(errors) => errors.iter().map(|e| format!("{}\n", e.render(&site.sources))).collect(),
        },
        Err((sources, errors)) => errors.iter().map(|e| format!("{}\n", e.render(&sources))).collect(),
    }
}

fn check(file: &str, expected: Expect) {
    expected.assert_eq(&parse_and_format(file));
}

#[test]
fn resolves_definitions_in_constraints() {
    check(
        r#"#Fast: #Which & {labels: ["ssd"]}
clauses: [
	{name: "fast", of: {framework: "web"}, in: #Fast & {halls: ["hall-a"]}},
	{name: "spread", of: {framework: "web"}, spread: {over: "rack", skew: 1}},
	{name: "near", how: "prefer", rank: 3, of: {service: 4}, with: {framework: "batch", within: "rack"}},
	{name: "first rack", of: {task: "db/"}, in: racks: ["a1"]},
]
"#,
        expect![[r#"
            fast: Scope { framework: Some("web"), tenant: None, service: None, task: None } In(Which { kinds: [], halls: ["hall-a"], racks: [], labels: ["ssd"] })
            spread: Scope { framework: Some("web"), tenant: None, service: None, task: None } Spread { over: Rack, by: Service, most: None, skew: Some(1), gone: Live }
            near: Scope { framework: None, tenant: None, service: Some(4), task: None } With(Scope { framework: Some("batch"), tenant: None, service: None, task: None }, Rack)
            first rack: Scope { framework: None, tenant: None, service: None, task: Some("db/") } In(Which { kinds: [], halls: [], racks: [("hall-a", 1)], labels: [] })
        "#]],
    );
}

#[test]
fn rejects_undefined_names_and_incomplete_rules() {
    check(
        r#"clauses: [
	{name: "one", in: {halls: ["hall-c"]}},
	{name: "two", of: {framework: "wob"}, spread: {over: "hall"}},
	{name: "three", in: {}},
	{name: "four", in: {halls: ["hall-a"]}, not_in: {halls: ["hall-b"]}},
	{name: "five"},
]
racks: [{name: "c1", hall: "hall-c", cell: 1}]
"#,
        expect![[r#"
            clauses.rec:8:28: rack c1: found hall "hall-c"; expected one of hall-a, hall-b
            clauses.rec:2:29: found "hall-c"; expected one of the halls (zones): hall-a, hall-b
            clauses.rec:3:32: found "wob"; expected one of the frameworks: web, batch
            clauses.rec:3:48: two: found a spread without a limit; expected most, skew or both
            clauses.rec:4:22: found no kinds, halls, racks or labels; expected at least one
            clauses.rec:5:2: four: found in and not_in; expected one of in, not_in, with, apart, spread
            clauses.rec:6:2: five: found none; expected one of in, not_in, with, apart, spread
        "#]],
    );
    check(
        "clauses: [{name: \"x\", spread: {over: \"table\", most: 0}}]\n",
        expect![[r#"
        clauses.rec:1:38: clauses[0].spread.over: found "table"; expected "machine" or "rack" or "hall"
          built-in types:51:8: conflicts with this declaration
    "#]],
    );
}

#[test]
fn rejects_contradictory_redundant_and_duplicate_constraints() {
    check(
        r#"clauses: [
	{name: "here", of: {framework: "web"}, in: {halls: ["hall-a"]}},
	{name: "there", of: {framework: "web", service: 3}, in: {halls: ["hall-b"]}},
	{name: "also here", of: {framework: "web"}, in: {halls: ["hall-a", "hall-b"]}},
	{name: "beside", of: {framework: "batch"}, with: {framework: "web", within: "rack"}},
	{name: "away", of: {framework: "batch"}, apart: {framework: "web", within: "hall"}},
	{name: "one each", spread: {over: "rack", most: 1}},
	{name: "two each", of: {framework: "web"}, spread: {over: "rack", most: 2}},
	{name: "here", of: {framework: "batch"}, in: {kinds: ["std"]}},
]
"#,
        expect![[r#"
            clauses.rec:3:2: there: found halls that have no member in common; expected constraints that can hold together
              clauses.rec:2:2: here, which applies to the same tasks
            clauses.rec:4:2: also here: found a constraint that another implies; expected one that restricts more
              clauses.rec:2:2: here, which restricts all these tasks at least as much
            clauses.rec:6:2: away: found tasks that its tasks must run both with and apart from; expected constraints that can hold together
              clauses.rec:5:2: beside, which applies to the same tasks
            clauses.rec:8:2: two each: found a constraint that another implies; expected one that restricts more
              clauses.rec:7:2: one each, which restricts all these tasks at least as much
            clauses.rec:9:2: clauses: found "here" twice; expected each name once
              clauses.rec:2:2: first defined here
        "#]],
    );
}

#[test]
fn rejects_affinity_cycles_unless_a_task_may_be_placed_first() {
    check(
        r#"clauses: [
	{name: "a", of: {framework: "web"}, with: {framework: "batch", within: "rack"}},
	{name: "b", of: {framework: "batch"}, with: {framework: "web", within: "hall"}},
]
"#,
        expect![[r#"
            clauses.rec:2:2: a: found a cycle of affinities (a, b); expected at least one of them to allow its tasks to be placed first
              clauses.rec:3:2: b
        "#]],
    );
    check(
        r#"clauses: [
	{name: "a", of: {framework: "web"}, with: {framework: "batch", within: "rack"}},
	{name: "b", of: {framework: "batch"}, with: {framework: "batch", within: "hall"}},
]
"#,
        expect![[r#"
            a: Scope { framework: Some("web"), tenant: None, service: None, task: None } With(Scope { framework: Some("batch"), tenant: None, service: None, task: None }, Rack)
            b: Scope { framework: Some("batch"), tenant: None, service: None, task: None } With(Scope { framework: Some("batch"), tenant: None, service: None, task: None }, Hall)
        "#]],
    );
}

/// A zone with running tasks becomes unavailable and available again, twice. Guards against
/// attempts that are counted twice or lost on the way, and checks that the skew is measured against
/// the unavailable zone only with `gone: "keeps"`.
#[test]
fn spread_counts_survive_repeated_zone_outages() {
    for (gone, allowed_in_outage) in [("live", true), ("keeps", false)] {
        let text =
            format!("clauses: [{{name: \"s\", spread: {{over: \"hall\", skew: 1, gone: \"{gone}\"}}}}]\n");
        let site = load_texts(&[("site.rec", SITE), ("clauses.rec", &text)]).map_err(|e| e.1).unwrap();
        let mut state = ConstraintState::new(parse(&site.all).unwrap());
        let set_zone = |state: &mut ConstraintState, name: &str, from: usize, to: MachineState| {
            for m in from..from + 2 {
                let attributes =
                    MachineAttributes { kind: "std".into(), zone: name.into(), rack: 1, labels: vec![] };
                state.update_machine(m, attributes, to);
            }
        };
        for (from, name) in [(0, "hall-a"), (2, "hall-b"), (4, "hall-c")] {
            set_zone(&mut state, name, from, MachineState::Ready);
        }
        let group = state.acquire_group(&TaskAttributes::default());
        for (n, m) in [0, 2, 4].into_iter().enumerate() {
            assert!(state.allows(group, m));
            state.attempt_started((0, n as u64), group, m);
        }
        state.attempt_started((0, 9), group, 0);
        assert_eq!(
            [0, 2, 4].map(|m| state.allows(group, m)),
            [false, true, true],
            "two tasks in hall-a, one in each other zone"
        );
        state.attempt_started((0, 10), group, 2);
        for _ in 0..2 {
            set_zone(&mut state, "hall-c", 4, MachineState::Down);
            assert_eq!(
                [0, 2].map(|m| state.allows(group, m)),
                [allowed_in_outage, allowed_in_outage],
                "hall-c down, gone: {gone}"
            );
            set_zone(&mut state, "hall-c", 4, MachineState::Ready);
            assert_eq!(
                [0, 2, 4].map(|m| state.allows(group, m)),
                [false, false, true],
                "only hall-c, with the fewest tasks, takes another"
            );
        }
        state.attempt_ended((0, 2));
        state.attempt_started((0, 11), group, 5);
        state.attempt_started((0, 12), group, 4);
        assert_eq!([0, 2, 4].map(|m| state.allows(group, m)), [true, true, true]);
    }
}

/// Many services come and go. Guards against groups that are never dropped, and against wrong
/// counts of a running attempt whose group was dropped and is created again.
#[test]
fn drops_idle_groups_and_keeps_running_attempts_counted() {
    let text = "clauses: [{name: \"s\", spread: {over: \"machine\", most: 1}}]\n";
    let site = load_texts(&[("site.rec", SITE), ("clauses.rec", text)]).map_err(|e| e.1).unwrap();
    let mut state = ConstraintState::new(parse(&site.all).unwrap());
    for m in 0..4 {
        state.update_machine(
            m,
            MachineAttributes { zone: "hall-a".into(), ..MachineAttributes::default() },
            MachineState::Ready,
        );
    }
    let task = |service| TaskAttributes { service, ..TaskAttributes::default() };
    let running = state.acquire_group(&task(7));
    state.attempt_started((0, 7), running, 2);
    state.release_group(running);
    for round in 0..3 {
        for service in 1000..3000 {
            let group = state.acquire_group(&task(service));
            assert!((0..4).all(|m| state.allows(group, m)), "round {round}");
            state.attempt_started((1, service), group, 1);
            assert!(!state.allows(group, 1) && state.allows(group, 2));
            state.attempt_ended((1, service));
            state.release_group(group);
        }
        let group = state.acquire_group(&task(7));
        assert_eq!(
            [1, 2].map(|m| state.allows(group, m)),
            [true, false],
            "the running attempt on machine 2 stays counted"
        );
        state.release_group(group);
    }
    assert!(state.group_count() < 600, "{} groups", state.group_count());
}
