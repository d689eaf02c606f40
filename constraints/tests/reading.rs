//! Clauses as installations write them: what they become, and what makes no sense, with both places.
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

/// A rule, each field of it, in the words of installations' files.
fn in_words(rule: &Rule) -> String {
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
        Rule::Spread { over, by, most, skew, gone } => {
            let by = match by {
                SpreadGrouping::Service => "Service",
                SpreadGrouping::All => "All",
            };
            let gone = match gone {
                UnavailableDomains::Ignored => "Live",
                UnavailableDomains::Counted => "Keeps",
            };
            let over = within(over);
            format!("Spread {{ over: {over}, by: {by}, most: {most:?}, skew: {skew:?}, gone: {gone} }}")
        }
    }
}

fn said(clauses: &str) -> String {
    let clauses =
        &if clauses.contains("racks: [{") { clauses.to_owned() } else { format!("{clauses}{RACKS}") };
    match load_texts(&[("site.rec", SITE), ("clauses.rec", clauses)]) {
        Ok(site) => match parse(&site.all) {
            Ok(clauses) => {
                clauses.iter().map(|c| format!("{}: {:?} {}\n", c.name, c.of, in_words(&c.rule))).collect()
            }
            Err(faults) => faults.iter().map(|f| format!("{}\n", f.render(&site.sources))).collect(),
        },
        Err((sources, faults)) => faults.iter().map(|f| format!("{}\n", f.render(&sources))).collect(),
    }
}

fn check(clauses: &str, want: Expect) {
    want.assert_eq(&said(clauses));
}

#[test]
fn definitions_are_used_again_and_unified() {
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
fn what_types_alone_do_not_find() {
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
            clauses.rec:3:48: two: found a spread of nothing; expected most, skew or both
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
fn clauses_that_can_never_hold_and_such_as_say_nothing() {
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
            clauses.rec:3:2: there: found halls of which none is in both; expected clauses that can hold together
              clauses.rec:2:2: here, which binds the same tasks
            clauses.rec:4:2: also here: found a clause that another swallows; expected one that says more
              clauses.rec:2:2: here, which says as much of all these tasks
            clauses.rec:6:2: away: found tasks that it must be with and apart from; expected clauses that can hold together
              clauses.rec:5:2: beside, which binds the same tasks
            clauses.rec:8:2: two each: found a clause that another swallows; expected one that says more
              clauses.rec:7:2: one each, which says as much of all these tasks
            clauses.rec:9:2: clauses: found "here" twice; expected each name once
              clauses.rec:2:2: the first
        "#]],
    );
}

#[test]
fn tasks_that_wait_for_each_other() {
    check(
        r#"clauses: [
	{name: "a", of: {framework: "web"}, with: {framework: "batch", within: "rack"}},
	{name: "b", of: {framework: "batch"}, with: {framework: "web", within: "hall"}},
]
"#,
        expect![[r#"
            clauses.rec:2:2: a: found tasks that wait for each other (a, b); expected one that may begin
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

/// A hall goes, comes back and goes again with tasks in it: the spread is over the halls that live, and
/// nothing that was counted is counted twice or lost.
#[test]
fn a_hall_gone_back_and_gone_again() {
    for (gone, free_then) in [("live", true), ("keeps", false)] {
        let text =
            format!("clauses: [{{name: \"s\", spread: {{over: \"hall\", skew: 1, gone: \"{gone}\"}}}}]\n");
        let site = load_texts(&[("site.rec", SITE), ("clauses.rec", &text)]).map_err(|e| e.1).unwrap();
        let mut d = ConstraintState::new(parse(&site.all).unwrap());
        let hall = |d: &mut ConstraintState, name: &str, from: usize, state: MachineState| {
            for m in from..from + 2 {
                let facts =
                    MachineAttributes { kind: "std".into(), zone: name.into(), rack: 1, labels: vec![] };
                d.update_machine(m, facts, state);
            }
        };
        for (from, name) in [(0, "hall-a"), (2, "hall-b"), (4, "hall-c")] {
            hall(&mut d, name, from, MachineState::Ready);
        }
        let g = d.acquire_group(&TaskAttributes::default());
        for (n, m) in [0, 2, 4].into_iter().enumerate() {
            assert!(d.allows(g, m));
            d.attempt_started((0, n as u64), g, m);
        }
        d.attempt_started((0, 9), g, 0);
        assert_eq!([0, 2, 4].map(|m| d.allows(g, m)), [false, true, true], "two in the first hall");
        d.attempt_started((0, 10), g, 2);
        for _ in 0..2 {
            hall(&mut d, "hall-c", 4, MachineState::Down);
            assert_eq!([0, 2].map(|m| d.allows(g, m)), [free_then, free_then], "{gone}");
            hall(&mut d, "hall-c", 4, MachineState::Ready);
            assert_eq!([0, 2, 4].map(|m| d.allows(g, m)), [false, false, true], "new ones level it out");
        }
        d.attempt_ended((0, 2));
        d.attempt_started((0, 11), g, 5);
        d.attempt_started((0, 12), g, 4);
        assert_eq!([0, 2, 4].map(|m| d.allows(g, m)), [true, true, true]);
    }
}

/// Services come and go: what was kept for one that nothing uses leaves, and is right when it comes back.
#[test]
fn groups_that_nothing_uses_leave() {
    let text = "clauses: [{name: \"s\", spread: {over: \"machine\", most: 1}}]\n";
    let site = load_texts(&[("site.rec", SITE), ("clauses.rec", text)]).map_err(|e| e.1).unwrap();
    let mut d = ConstraintState::new(parse(&site.all).unwrap());
    for m in 0..4 {
        d.update_machine(
            m,
            MachineAttributes { zone: "hall-a".into(), ..MachineAttributes::default() },
            MachineState::Ready,
        );
    }
    let task = |service| TaskAttributes { service, ..TaskAttributes::default() };
    let held = d.acquire_group(&task(7));
    d.attempt_started((0, 7), held, 2);
    d.release_group(held);
    for round in 0..3 {
        for service in 1000..3000 {
            let g = d.acquire_group(&task(service));
            assert!((0..4).all(|m| d.allows(g, m)), "round {round}");
            d.attempt_started((1, service), g, 1);
            assert!(!d.allows(g, 1) && d.allows(g, 2));
            d.attempt_ended((1, service));
            d.release_group(g);
        }
        let g = d.acquire_group(&task(7));
        assert_eq!([1, 2].map(|m| d.allows(g, m)), [true, false], "what runs is counted all along");
        d.release_group(g);
    }
    assert!(d.group_count() < 600, "{} groups", d.group_count());
}
