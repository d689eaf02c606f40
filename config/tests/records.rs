//! What the reader of records says, good and bad, as an operator sees it.
use basaltpitch_config::installation::{load_texts, FlattenedValue, Installation, PlannerSlot};
use expect_test::expect;

const GOOD: &str = r#"
zones: ["hall-a", "hall-b"]
kinds: [{name: "std", cores: 32, memory: 64GiB}]
frameworks: [
	{name: "small", repeat: "repeatable", goal: 600ms, limit: 6s},
	{name: "big", repeat: "keyed", group: "zone", window: 6s, goal: 5s, limit: 9s, value: 5, priority: 2},
]
"#;

fn faults(texts: &[(&str, &str)]) -> String {
    match load_texts(texts) {
        Ok(_) => "none\n".into(),
        Err((sources, faults)) => faults.iter().map(|f| f.render(&sources) + "\n").collect(),
    }
}

fn with(more: &str) -> String {
    faults(&[("a.rec", GOOD), ("b.rec", more)])
}

#[test]
fn several_files_become_one_and_lay_out_under_dotted_names() {
    let more =
        "rules: cold: 20s\nplanners: 3\ntenants: [{name: \"x\", share: 40%}, {name: \"y\", share: 0.6}]";
    let all = load_texts(&[("a.rec", GOOD), ("b.rec", more)]).unwrap();
    let laid = all.flatten(&PlannerSlot { number: 2, planners: 3, zone: "hall-b".into() });
    let get = |name: &str| laid.iter().find(|x| x.0 == name).map(|x| x.1.clone());
    assert_eq!(get("rules.coldUs"), Some(FlattenedValue::Number(20e6)));
    assert_eq!(get("classes.1.windowUs"), Some(FlattenedValue::Number(6e6)));
    assert_eq!(get("classes.1.semantics"), Some(FlattenedValue::Text("dedup".into())));
    assert_eq!(get("familyInfo.sizeMemory.0"), Some(FlattenedValue::Number(64.0)));
    assert_eq!(get("familyInfo.coldSends"), Some(FlattenedValue::Number(8.0)), "a default");
    assert_eq!(get("tenants.1.name"), Some(FlattenedValue::Text("y".into())));
    assert_eq!(get("myZone"), Some(FlattenedValue::Text("hall-b".into())));
}

#[test]
fn types_bounds_and_closed_records() {
    expect![[r#"
        b.rec:1:14: rules.cold: found "soon"; expected 14s or a time such as 600ms at least 0s
          built-in types:190:16: this is what it was to be unified with
    "#]]
    .assert_eq(&with("rules: cold: \"soon\""));
    expect![[r#"
        b.rec:1:17: launches.most: found 40; expected 3 or a whole number at least 1 and at most 16
          built-in types:197:12: this is what it was to be unified with
    "#]]
    .assert_eq(&with("launches: most: 40"));
    expect![[r#"
        b.rec:1:14: found field rules.cald; expected one of drain_grace, answer_grace, cold, cold_offers, cold_window, settle
          built-in types:184:9: the record is closed here
    "#]]
    .assert_eq(&with("rules: cald: 3s"));
}

#[test]
fn a_conflict_names_both_sides() {
    expect![[r#"
        b.rec:1:9: zones[0]: found "hall-c"; expected "hall-a"
          a.rec:2:9: this is what it was to be unified with
    "#]]
    .assert_eq(&with("zones: [\"hall-c\"]"));
    let text = faults(&[("a.rec", GOOD), ("b.rec", "planners: 2"), ("c.rec", "\nplanners: 3")]);
    expect![[r#"
        c.rec:2:11: planners: found 3; expected 2
          b.rec:1:11: this is what it was to be unified with
    "#]]
    .assert_eq(&text);
}

#[test]
fn what_does_not_parse_is_named_with_its_place() {
    expect![[r#"
        b.rec:2:8: found }; expected a value or a type
    "#]]
    .assert_eq(&with("rules: {\n cold: }"));
    expect![[r#"
        b.rec:1:14: found 3parsec; expected a unit of us, ms, s, m, h, KiB, MiB, GiB, TiB or %
    "#]]
    .assert_eq(&with("rules: cold: 3parsec"));
    expect![[r#"
        b.rec:1:14: found the end of the file; expected a field or '}'
    "#]]
    .assert_eq(&with("rules: cold:{"));
    let deep = format!("rules: cold: {}", "[".repeat(5000));
    assert!(with(&deep).contains("at most 64 levels"));
}

#[test]
fn what_types_alone_do_not_find() {
    let late = r#"
zones: ["a", "a"]
kinds: [{name: "std", cores: 32, memory: 64}]
tenants: [{name: "x", share: 0.7}, {name: "y", share: 0.7}]
frameworks: [
	{name: "big", repeat: "keyed", window: 100ms, goal: 5s, limit: 4s, kind: "huge"},
	{name: "one", repeat: "once-only", window: 1s, goal: 100ms, limit: 400ms},
]
"#;
    expect![[r#"
        a.rec:2:14: zones: found "a" twice; expected each name once
          a.rec:2:9: the first
        a.rec:6:54: big: found a latency goal of 5000000 us over the time limit; expected at most 4000000 us
          a.rec:6:65: the time limit
        a.rec:6:41: big: found a window of 100000 us; expected over 250000 us, the time that a connection may take
        a.rec:6:75: big: found kind "huge"; expected one of std
        a.rec:7:69: one: found a time limit of 400000 us; expected over 500000 us, a connection's time there and back
        a.rec:7:45: one: found a window; expected none, as only keyed tasks are known by a mark
          a.rec:7:24: how often it may run
        a.rec:4:10: tenants: found shares that add up to 1.4; expected 1
    "#]]
    .assert_eq(&faults(&[("a.rec", late)]));
}

#[test]
fn what_is_missing_is_named() {
    expect![[r#"
        a.rec:2:14: frameworks[0].goal is not given; expected a time such as 600ms above 0s
          built-in types:8:12: its type stands here
        a.rec:2:14: frameworks[0].limit is not given; expected a time such as 600ms above 0s
          built-in types:9:12: its type stands here
    "#]]
    .assert_eq(&faults(&[("a.rec", "zones: [\"a\"] kinds: [{name: \"s\", cores: 1, memory: 1}]\nframeworks: [{name: \"x\", repeat: \"repeatable\"}]")]));
}

#[test]
fn regions_hold_each_zone_once_and_parts_need_a_council() {
    let all = load_texts(&[("a.rec", GOOD)]).unwrap();
    assert_eq!(all.regions(), [("all".to_owned(), vec![0, 1])], "one region where none is named");
    assert_eq!(
        (all.heartbeat_us(), all.planners_per_machine(), all.control_bytes_per_s()),
        (250_000, None, None)
    );
    let view = |all: &Installation| {
        let laid = all.flatten(&PlannerSlot { number: 0, planners: 1, zone: "hall-a".into() });
        laid.into_iter().find(|x| x.0 == "familyInfo.view").map(|x| x.1)
    };
    assert_eq!(view(&all), Some(FlattenedValue::Number(1.0)), "the list shows room by default");
    let council = "council: voters: [{name: \"v0\", address: \"127.0.0.1:1\"}]\n";
    let more = "regions: [{name: \"east\", zones: [\"hall-b\"]}, {name: \"west\", zones: [\"hall-a\"]}]\n\
                heartbeat: 2s\nparts: copies: 2\ncontrol: bytes_a_second: 4000\n";
    let all = load_texts(&[("a.rec", GOOD), ("b.rec", more), ("c.rec", council)]).unwrap();
    assert_eq!(all.regions(), [("east".to_owned(), vec![1]), ("west".to_owned(), vec![0])]);
    assert_eq!((all.heartbeat_us(), all.planners_per_machine()), (2_000_000, Some(2)));
    assert_eq!(
        view(&all),
        Some(FlattenedValue::Number(0.0)),
        "the brief list of planners with parts tells no room"
    );
    assert_eq!(all.control_bytes_per_s(), Some(4000.0));
    let wrong = with(
        "regions: [{name: \"east\", zones: [\"hall-a\", \"hall-c\"]}, {name: \"west\", zones: [\"hall-a\"]}]\n\
         parts: copies: 3",
    );
    expect![[r#"
        b.rec:1:44: region east: found zone "hall-c"; expected one of hall-a, hall-b
        b.rec:1:79: region west: found zone "hall-a" a second time; expected it in one region
          b.rec:1:34: the first
        a.rec:2:19: zone hall-b: found it in no region; expected it in one
        b.rec:2:8: parts: found them without a council; expected one, as parts are dealt among its seats
    "#]]
    .assert_eq(&wrong);
    expect![[r#"
        b.rec:1:12: heartbeat: found 1ms; expected 250ms or a time such as 600ms at least 10ms and at most 60s
          built-in types:164:13: this is what it was to be unified with
    "#]]
    .assert_eq(&with("heartbeat: 1ms"));
    expect![[r#"
        b.rec:1:11: region east: found no zone; expected at least one
        a.rec:2:9: zone hall-a: found it in no region; expected it in one
        a.rec:2:19: zone hall-b: found it in no region; expected it in one
    "#]]
    .assert_eq(&with("regions: [{name: \"east\", zones: []}]"));
}
