//! Reading of installations: the resulting settings, and the errors as they are shown to an
//! operator.
use basaltpitch_config::installation::{load_texts, FlattenedValue, Installation, PlannerSlot};
use expect_test::expect;

const INSTALLATION: &str = r#"
zones: ["hall-a", "hall-b"]
kinds: [{name: "std", cores: 32, memory: 64GiB}]
frameworks: [
	{name: "small", repeat: "repeatable", goal: 600ms, limit: 6s},
	{name: "big", repeat: "keyed", group: "zone", window: 6s, goal: 5s, limit: 9s, value: 5, priority: 2},
]
"#;

fn render_errors(texts: &[(&str, &str)]) -> String {
    match load_texts(texts) {
        Ok(_) => "none\n".into(),
        Err((sources, errors)) => errors.iter().map(|e| e.render(&sources) + "\n").collect(),
    }
}

fn errors_with(additional: &str) -> String {
    render_errors(&[("a.rec", INSTALLATION), ("b.rec", additional)])
}

#[test]
fn unifies_files_and_flattens_them_to_dotted_names() {
    let additional =
        "rules: cold: 20s\nplanners: 3\ntenants: [{name: \"x\", share: 40%}, {name: \"y\", share: 0.6}]";
    let all = load_texts(&[("a.rec", INSTALLATION), ("b.rec", additional)]).unwrap();
    let settings = all.flatten(&PlannerSlot { number: 2, planners: 3, zone: "hall-b".into() });
    let get = |name: &str| settings.iter().find(|s| s.0 == name).map(|s| s.1.clone());
    assert_eq!(get("rules.coldUs"), Some(FlattenedValue::Number(20e6)));
    assert_eq!(get("classes.1.windowUs"), Some(FlattenedValue::Number(6e6)));
    assert_eq!(get("classes.1.semantics"), Some(FlattenedValue::Text("dedup".into())));
    assert_eq!(get("familyInfo.sizeMemory.0"), Some(FlattenedValue::Number(64.0)));
    assert_eq!(get("familyInfo.coldSends"), Some(FlattenedValue::Number(8.0)), "a default");
    assert_eq!(get("tenants.1.name"), Some(FlattenedValue::Text("y".into())));
    assert_eq!(get("myZone"), Some(FlattenedValue::Text("hall-b".into())));
}

#[test]
fn rejects_wrong_types_values_out_of_bounds_and_unknown_fields() {
    expect![[r#"
        b.rec:1:14: rules.cold: found "soon"; expected 14s or a duration such as 600ms at least 0s
          built-in types:190:16: conflicts with this declaration
    "#]]
    .assert_eq(&errors_with("rules: cold: \"soon\""));
    expect![[r#"
        b.rec:1:17: launches.most: found 40; expected 3 or a whole number at least 1 and at most 16
          built-in types:197:12: conflicts with this declaration
    "#]]
    .assert_eq(&errors_with("launches: most: 40"));
    expect![[r#"
        b.rec:1:14: found field rules.cald; expected one of drain_grace, answer_grace, cold, cold_offers, cold_window, settle
          built-in types:184:9: this record allows no other fields
    "#]]
    .assert_eq(&errors_with("rules: cald: 3s"));
}

#[test]
fn conflict_names_location_of_both_sides() {
    expect![[r#"
        b.rec:1:9: zones[0]: found "hall-c"; expected "hall-a"
          a.rec:2:9: conflicts with this declaration
    "#]]
    .assert_eq(&errors_with("zones: [\"hall-c\"]"));
    let text =
        render_errors(&[("a.rec", INSTALLATION), ("b.rec", "planners: 2"), ("c.rec", "\nplanners: 3")]);
    expect![[r#"
        c.rec:2:11: planners: found 3; expected 2
          b.rec:1:11: conflicts with this declaration
    "#]]
    .assert_eq(&text);
}

#[test]
fn syntax_errors_name_their_location() {
    expect![[r#"
        b.rec:2:8: found }; expected a value or a type
    "#]]
    .assert_eq(&errors_with("rules: {\n cold: }"));
    expect![[r#"
        b.rec:1:14: found 3parsec; expected a unit of us, ms, s, m, h, KiB, MiB, GiB, TiB or %
    "#]]
    .assert_eq(&errors_with("rules: cold: 3parsec"));
    expect![[r#"
        b.rec:1:14: found the end of the file; expected a field or '}'
    "#]]
    .assert_eq(&errors_with("rules: cold:{"));
    let nested = format!("rules: cold: {}", "[".repeat(5000));
    assert!(errors_with(&nested).contains("at most 64 levels"));
}

#[test]
fn rejects_contradictory_values_that_fit_their_types() {
    let contradictory = r#"
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
          a.rec:2:9: first occurrence
        a.rec:6:54: big: found a latency objective (goal) of 5000000 us over the time limit; expected at most 4000000 us
          a.rec:6:65: time limit declared here
        a.rec:6:41: big: found a window of 100000 us; expected over 250000 us, the connection timeout
        a.rec:6:75: big: found kind "huge"; expected one of std
        a.rec:7:69: one: found a time limit of 400000 us; expected over 500000 us, twice the connection timeout
        a.rec:7:45: one: found a window; expected none, because only keyed tasks are deduplicated
          a.rec:7:24: idempotency declared here
        a.rec:4:10: tenants: found shares with the sum 1.4; expected 1
    "#]]
    .assert_eq(&render_errors(&[("a.rec", contradictory)]));
}

#[test]
fn reports_every_missing_field() {
    expect![[r#"
        a.rec:2:14: frameworks[0].goal is missing; expected a duration such as 600ms above 0s
          built-in types:8:12: type declared here
        a.rec:2:14: frameworks[0].limit is missing; expected a duration such as 600ms above 0s
          built-in types:9:12: type declared here
    "#]]
    .assert_eq(&render_errors(&[("a.rec", "zones: [\"a\"] kinds: [{name: \"s\", cores: 1, memory: 1}]\nframeworks: [{name: \"x\", repeat: \"repeatable\"}]")]));
}

#[test]
fn checks_regions_and_subsets_and_applies_defaults() {
    let all = load_texts(&[("a.rec", INSTALLATION)]).unwrap();
    assert_eq!(all.regions(), [("all".to_owned(), vec![0, 1])], "one region if none is named");
    assert_eq!(
        (all.heartbeat_us(), all.planners_per_machine(), all.control_bytes_per_s()),
        (250_000, None, None)
    );
    let view = |all: &Installation| {
        let settings = all.flatten(&PlannerSlot { number: 0, planners: 1, zone: "hall-a".into() });
        settings.into_iter().find(|s| s.0 == "familyInfo.view").map(|s| s.1)
    };
    assert_eq!(
        view(&all),
        Some(FlattenedValue::Number(1.0)),
        "the machine list shows free capacity by default"
    );
    let voters = "council: voters: [{name: \"v0\", address: \"127.0.0.1:1\"}]\n";
    let additional =
        "regions: [{name: \"east\", zones: [\"hall-b\"]}, {name: \"west\", zones: [\"hall-a\"]}]\n\
                heartbeat: 2s\nparts: copies: 2\ncontrol: bytes_a_second: 4000\n";
    let all = load_texts(&[("a.rec", INSTALLATION), ("b.rec", additional), ("c.rec", voters)]).unwrap();
    assert_eq!(all.regions(), [("east".to_owned(), vec![1]), ("west".to_owned(), vec![0])]);
    assert_eq!((all.heartbeat_us(), all.planners_per_machine()), (2_000_000, Some(2)));
    assert_eq!(
        view(&all),
        Some(FlattenedValue::Number(0.0)),
        "the machine list of planners with subsets shows no free capacity"
    );
    assert_eq!(all.control_bytes_per_s(), Some(4000.0));
    let errors = errors_with(
        "regions: [{name: \"east\", zones: [\"hall-a\", \"hall-c\"]}, {name: \"west\", zones: [\"hall-a\"]}]\n\
         parts: copies: 3",
    );
    expect![[r#"
        b.rec:1:44: region east: found zone "hall-c"; expected one of hall-a, hall-b
        b.rec:1:79: region west: found zone "hall-a" twice; expected each zone in one region
          b.rec:1:34: first occurrence
        a.rec:2:19: zone hall-b: found in no region; expected in exactly one
        b.rec:2:8: parts: found without the record council; expected both, because slots need voters
    "#]]
    .assert_eq(&errors);
    expect![[r#"
        b.rec:1:12: heartbeat: found 1ms; expected 250ms or a duration such as 600ms at least 10ms and at most 60s
          built-in types:164:13: conflicts with this declaration
    "#]]
    .assert_eq(&errors_with("heartbeat: 1ms"));
    expect![[r#"
        b.rec:1:11: region east: found no zones; expected at least one
        a.rec:2:9: zone hall-a: found in no region; expected in exactly one
        a.rec:2:19: zone hall-b: found in no region; expected in exactly one
    "#]]
    .assert_eq(&errors_with("regions: [{name: \"east\", zones: []}]"));
}
