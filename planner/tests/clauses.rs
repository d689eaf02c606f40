//! A whole planner under a made-up clock that keeps clauses, with the auditor on: each send is checked
//! against the clauses by counting what stands on machines then; conflicts are named at once, and what is
//! only kept out waits.
mod net;

use basaltpitch_agent::wire::{self, AnswerKind, Body};
use basaltpitch_config::installation::load_texts;
use basaltpitch_constraints::parse::parse;
use net::{SimulatedNetwork, BIG, ONCE, SMALL};

const S: i64 = 1_000_000;
const SITE: &str =
    "zones: [\"hall-a\", \"hall-b\"]\nkinds: [{name: \"std\", cores: 16, memory: 32}]\nframeworks: [\n\
     {name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s},\n\
     {name: \"big\", repeat: \"repeatable\", goal: 600ms, limit: 6s},\n\
     {name: \"once\", repeat: \"repeatable\", goal: 600ms, limit: 6s}]\n";

/// Six machines, in racks of two by turns of the halls; `labelled` bear the label ssd.
fn begin(clauses: &str, labelled: &[usize]) -> SimulatedNetwork {
    let text = format!("clauses: [\n{clauses}\n]\n");
    let site = load_texts(&[("site.rec", SITE), ("c.rec", &text)]).map_err(|e| format!("{:?}", e.1)).unwrap();
    let clauses = parse(&site.all).map_err(|e| format!("{e:?}")).unwrap();
    let places = clauses.iter().map(|c| c.name.clone()).collect();
    let mut net = SimulatedNetwork::without_list(6);
    net.planner.set_constraints(clauses, places);
    for m in 0..6 {
        net.machines[m].cell = (m / 4) as u32;
    }
    labelled.iter().for_each(|&m| net.machines[m].labels = vec!["ssd".into()]);
    net.send_list(true);
    net.run_rounds(40);
    net
}

fn ask(net: &mut SimulatedNetwork, framework: &str, key: &str, ask: u64) -> Option<wire::Answer> {
    net.received_answers.clear();
    net.submit(framework, key, ask, 6 * S);
    net.run_rounds(20);
    net.received_answers.iter().find(|a| a.key == key && a.ask == ask).cloned()
}

fn placed(net: &mut SimulatedNetwork, framework: &str, key: &str) -> String {
    let a = ask(net, framework, key, 1).unwrap_or_else(|| panic!("no answer to {key}"));
    assert_eq!(a.kind, AnswerKind::Placed as i32, "{key}: {}", a.reason);
    a.machine
}

fn hall(machine: &str) -> usize {
    machine[1..].parse::<usize>().unwrap() % 2
}

#[test]
fn in_not_in_apart_with_and_spread_hold_at_every_send() {
    let mut net = begin(
        "{name: \"fast\", of: {framework: \"small\"}, in: {labels: [\"ssd\"]}},
         {name: \"not there\", of: {framework: \"small\"}, not_in: {halls: [\"hall-b\"]}},
         {name: \"alone\", of: {framework: \"big\"}, apart: {framework: \"small\", within: \"machine\"}},
         {name: \"beside\", of: {framework: \"once\"}, with: {framework: \"big\", within: \"hall\"}},
         {name: \"level\", of: {framework: \"big\"}, spread: {over: \"machine\", by: \"all\", most: 1}}",
        &[0, 1, 2],
    );
    let small: Vec<String> = (0..4).map(|n| placed(&mut net, SMALL, &format!("s{n}"))).collect();
    assert!(small.iter().all(|m| ["m0", "m2"].contains(&m.as_str())), "{small:?}");
    let mut big = Vec::new();
    for n in 0..3 {
        big.push(placed(&mut net, BIG, &format!("big {n}")));
    }
    assert!(big.iter().all(|m| !small.contains(m)), "{big:?} apart from {small:?}");
    let mut once: Vec<String> = big.clone();
    once.sort();
    once.dedup();
    assert_eq!(once.len(), big.len(), "one on each machine");
    let at = placed(&mut net, ONCE, "o");
    assert!(big.iter().any(|m| hall(m) == hall(&at)), "{at} beside {big:?}");
    assert_eq!(net.finish().0, []);
}

#[test]
fn what_no_machine_can_meet_is_declined_at_once_with_the_clauses() {
    let mut net = begin(
        "{name: \"fast\", of: {framework: \"small\"}, in: {labels: [\"ssd\"]}},
         {name: \"there\", of: {framework: \"small\"}, in: {halls: [\"hall-b\"]}},
         {name: \"other\", of: {framework: \"small\"}, not_in: {labels: [\"gpu\"]}}",
        &[0, 2],
    );
    let a = ask(&mut net, SMALL, "s", 1).unwrap();
    assert_eq!(
        (a.kind, a.reason.as_str()),
        (AnswerKind::Declined as i32, "no machine that is known could ever meet together: fast, there")
    );
    // The label arrives: a new asking goes through, a repeat of the old one is answered alike.
    net.machines[1].labels = vec!["ssd".into()];
    net.send_list(true);
    net.run_rounds(10);
    assert_eq!(ask(&mut net, SMALL, "s", 2).unwrap().machine, "m1");
    assert_eq!(net.finish().0, []);
}

#[test]
fn what_is_only_kept_out_waits_and_is_told_by_what() {
    let mut net = begin(
        "{name: \"one a hall\", of: {framework: \"small\"}, spread: {over: \"hall\", by: \"all\", most: 1}}",
        &[],
    );
    let first = placed(&mut net, SMALL, "a");
    let second = placed(&mut net, SMALL, "b");
    assert_ne!(hall(&first), hall(&second));
    assert_eq!(ask(&mut net, SMALL, "c", 1), None, "it waits");
    // One ends, and the third takes its hall.
    let m: usize = first[1..].parse().unwrap();
    let id = net.launches.iter().find(|l| l.key == "a").and_then(|l| l.id).unwrap();
    net.end_attempt(m, (id.epoch, id.number), wire::EndedHow::EndedDone);
    net.run_rounds(20);
    net.advance(S);
    net.run_rounds(20);
    let third = net.received_answers.iter().find(|a| a.key == "c").expect("an answer").clone();
    assert_eq!((third.kind, hall(&third.machine)), (AnswerKind::Placed as i32, hall(&first)));
    assert_eq!(ask(&mut net, SMALL, "d", 1), None);
    net.advance(7 * S);
    let d = net.received_answers.iter().find(|a| a.key == "d").expect("an answer");
    assert_eq!(d.reason, "no machine had room in time; kept out by what runs, under: one a hall");
    assert_eq!(net.finish().0, []);
}

/// The planner is killed: its successor counts what machines tell it before it sends anything.
#[test]
fn a_successor_counts_what_it_finds() {
    let clauses =
        "{name: \"one a hall\", of: {framework: \"big\"}, spread: {over: \"hall\", by: \"all\", most: 1}}";
    let mut net = begin(clauses, &[]);
    let two = [placed(&mut net, BIG, "a"), placed(&mut net, BIG, "b")];
    assert_ne!(hall(&two[0]), hall(&two[1]));
    let text = format!("clauses: [\n{clauses}\n]\n");
    let site = load_texts(&[("site.rec", SITE), ("c.rec", &text)]).map_err(|e| e.1).unwrap();
    net.kill_planner();
    net.planner.set_constraints(parse(&site.all).unwrap(), vec!["one a hall".into()]);
    net.send_list(true);
    net.run_rounds(40);
    assert_eq!(ask(&mut net, BIG, "c", 1), None, "both halls have theirs");
    assert_eq!(net.finish().0, []);
}

/// Clauses change in service: what they would break is told first, what runs runs on, and new tasks are
/// bound.
#[test]
fn other_clauses_are_taken_whole() {
    let old = "{name: \"ssd\", of: {framework: \"small\"}, in: {labels: [\"ssd\"]}}";
    let mut net = begin(old, &[0, 2]);
    let first = placed(&mut net, SMALL, "a");
    assert_eq!(hall(&first), 0);
    let text = |c: &str| {
        let site = format!("clauses: [{c}]\n");
        let site = load_texts(&[("site.rec", SITE), ("c.rec", &site)]).map_err(|e| e.1).unwrap();
        let all: Vec<_> = parse(&site.all).unwrap().into_iter().map(|c| (c.clone(), c.name)).collect();
        serde_json::to_string(&all).unwrap()
    };
    let new = text("{name: \"b\", of: {framework: \"small\"}, in: {halls: [\"hall-b\"]}}");
    let say = |take| Body::Clauses(wire::Clauses { json: new.clone(), take });
    let broken = format!("[{{\"clauses\":[\"b\"],\"key\":\"a\",\"machine\":\"{first}\"}}]");
    assert_eq!(net.operator_request(say(false)).unwrap(), format!("{{\"broken\":{broken},\"taken\":false}}"));
    assert_eq!(hall(&placed(&mut net, SMALL, "b")), 0, "not taken");
    assert!(net.operator_request(Body::Clauses(wire::Clauses { json: "[3]".into(), take: true })).is_err());
    assert_eq!(hall(&placed(&mut net, SMALL, "c")), 0, "nothing half-taken");
    assert!(net.operator_request(say(true)).unwrap().contains("\"taken\":true"));
    assert_eq!(hall(&placed(&mut net, SMALL, "d")), 1);
    let about = "{\"key\":\"a\",\"machines\":true}".to_owned();
    let told = net.operator_request(Body::Query(wire::Query { what: "explain".into(), about })).unwrap();
    let told: serde_json::Value = serde_json::from_str(&told).unwrap();
    assert_eq!((&told["clauses"][0]["clause"], &told["clauses"][0]["leaves"]), (&"b".into(), &3.into()));
    assert_eq!(told["machines"].as_array().unwrap().len(), 6);
    assert_eq!(net.finish().0, []);
}

/// What is sent to a planner in service keeps its words, whatever the types are called.
#[test]
fn constraints_are_sent_in_the_words_that_planners_know() {
    let text = "clauses: [
    {name: \"s\", of: {framework: \"small\"}, spread: {over: \"hall\", skew: 1, gone: \"keeps\"}},
    {name: \"w\", how: \"prefer\", rank: 2, with: {framework: \"small\", within: \"hall\"}},
    {name: \"i\", in: {halls: [\"hall-a\"], labels: [\"ssd\"]}},
    {name: \"g\", spread: {over: \"rack\", most: 2, by: \"all\"}}]\n";
    let site = load_texts(&[("site.rec", SITE), ("clauses.rec", text)]).map_err(|e| e.1).unwrap();
    let sent: Vec<String> =
        parse(&site.all).unwrap().iter().map(|c| serde_json::to_string(c).unwrap()).collect();
    let all = r#"{"framework":null,"tenant":null,"service":null,"task":null}"#;
    let small = r#"{"framework":"small","tenant":null,"service":null,"task":null}"#;
    assert_eq!(
        sent,
        [
            format!(
                r#"{{"name":"s","of":{small},"wish":null,"rule":{{"Spread":{{"over":"Hall","by":"Service","most":null,"skew":1,"gone":"Keeps"}}}}}}"#
            ),
            format!(r#"{{"name":"w","of":{all},"wish":2,"rule":{{"With":[{small},"Hall"]}}}}"#),
            format!(
                r#"{{"name":"i","of":{all},"wish":null,"rule":{{"In":{{"kinds":[],"halls":["hall-a"],"racks":[],"labels":["ssd"]}}}}}}"#
            ),
            format!(
                r#"{{"name":"g","of":{all},"wish":null,"rule":{{"Spread":{{"over":"Rack","by":"All","most":2,"skew":null,"gone":"Live"}}}}}}"#
            ),
        ]
    );
}
