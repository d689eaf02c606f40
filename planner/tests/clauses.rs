//! Placement constraints in a planner on a simulated network. Tests check every placement against
//! the constraints, that a request that no machine could ever meet is declined at once with the
//! names of the constraints, and that a request that only running tasks block waits.
mod net;

use basaltpitch_agent::wire::{self, AnswerKind, Body};
use basaltpitch_config::installation::load_texts;
use basaltpitch_constraints::parse::parse;
use net::{SimulatedNetwork, BIG, ONCE, SMALL};

/// Microseconds in a second.
const SECOND_US: i64 = 1_000_000;
/// An installation of two zones, one machine kind and three frameworks.
const SITE: &str =
    "zones: [\"hall-a\", \"hall-b\"]\nkinds: [{name: \"std\", cores: 16, memory: 32}]\nframeworks: [\n\
     {name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s},\n\
     {name: \"big\", repeat: \"repeatable\", goal: 600ms, limit: 6s},\n\
     {name: \"once\", repeat: \"repeatable\", goal: 600ms, limit: 6s}]\n";

/// Creates a network of six machines, alternately in hall-a and hall-b, under these constraints.
/// The machines in `labelled` have the label ssd.
fn network_with(constraints: &str, labelled: &[usize]) -> SimulatedNetwork {
    let text = format!("clauses: [\n{constraints}\n]\n");
    let site = load_texts(&[("site.rec", SITE), ("c.rec", &text)]).map_err(|e| format!("{:?}", e.1)).unwrap();
    let constraints = parse(&site.all).map_err(|e| format!("{e:?}")).unwrap();
    let locations = constraints.iter().map(|c| c.name.clone()).collect();
    let mut net = SimulatedNetwork::without_list(6);
    net.planner.set_constraints(constraints, locations);
    for m in 0..6 {
        net.machines[m].cell = (m / 4) as u32;
    }
    labelled.iter().for_each(|&m| net.machines[m].labels = vec!["ssd".into()]);
    net.send_list(true);
    net.run_rounds(40);
    net
}

/// Submits a request, lets the network run for 20 ms, and returns the answer if there is one.
fn submit(net: &mut SimulatedNetwork, framework: &str, key: &str, request_id: u64) -> Option<wire::Answer> {
    net.received_answers.clear();
    net.submit(framework, key, request_id, 6 * SECOND_US);
    net.run_rounds(20);
    net.received_answers.iter().find(|a| a.key == key && a.ask == request_id).cloned()
}

/// Submits a request that must be placed, and returns its machine.
fn place(net: &mut SimulatedNetwork, framework: &str, key: &str) -> String {
    let answer = submit(net, framework, key, 1).unwrap_or_else(|| panic!("no answer to {key}"));
    assert_eq!(answer.kind, AnswerKind::Placed as i32, "{key}: {}", answer.reason);
    answer.machine
}

/// Returns the index of a machine's zone.
fn zone_of(machine: &str) -> usize {
    machine[1..].parse::<usize>().unwrap() % 2
}

#[test]
fn placements_satisfy_in_not_in_apart_with_and_spread() {
    let mut net = network_with(
        "{name: \"fast\", of: {framework: \"small\"}, in: {labels: [\"ssd\"]}},
         {name: \"not there\", of: {framework: \"small\"}, not_in: {halls: [\"hall-b\"]}},
         {name: \"alone\", of: {framework: \"big\"}, apart: {framework: \"small\", within: \"machine\"}},
         {name: \"beside\", of: {framework: \"once\"}, with: {framework: \"big\", within: \"hall\"}},
         {name: \"level\", of: {framework: \"big\"}, spread: {over: \"machine\", by: \"all\", most: 1}}",
        &[0, 1, 2],
    );
    let small: Vec<String> = (0..4).map(|n| place(&mut net, SMALL, &format!("s{n}"))).collect();
    assert!(small.iter().all(|m| ["m0", "m2"].contains(&m.as_str())), "{small:?}");
    let mut big = Vec::new();
    for n in 0..3 {
        big.push(place(&mut net, BIG, &format!("big {n}")));
    }
    assert!(big.iter().all(|m| !small.contains(m)), "{big:?} must be apart from {small:?}");
    let mut distinct: Vec<String> = big.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), big.len(), "more than one on a machine");
    let machine = place(&mut net, ONCE, "o");
    assert!(big.iter().any(|m| zone_of(m) == zone_of(&machine)), "{machine} must be in a zone of {big:?}");
    assert_eq!(net.finish().0, []);
}

#[test]
fn declines_unsatisfiable_request_at_once_and_names_constraints() {
    let mut net = network_with(
        "{name: \"fast\", of: {framework: \"small\"}, in: {labels: [\"ssd\"]}},
         {name: \"there\", of: {framework: \"small\"}, in: {halls: [\"hall-b\"]}},
         {name: \"other\", of: {framework: \"small\"}, not_in: {labels: [\"gpu\"]}}",
        &[0, 2],
    );
    let answer = submit(&mut net, SMALL, "s", 1).unwrap();
    assert_eq!(
        (answer.kind, answer.reason.as_str()),
        (AnswerKind::Declined as i32, "no machine that is known could ever meet together: fast, there")
    );
    // A machine in the right zone gets the label, and a new request is placed there.
    net.machines[1].labels = vec!["ssd".into()];
    net.send_list(true);
    net.run_rounds(10);
    assert_eq!(submit(&mut net, SMALL, "s", 2).unwrap().machine, "m1");
    assert_eq!(net.finish().0, []);
}

#[test]
fn request_blocked_by_running_tasks_waits_and_answer_names_constraint() {
    let mut net = network_with(
        "{name: \"one a hall\", of: {framework: \"small\"}, spread: {over: \"hall\", by: \"all\", most: 1}}",
        &[],
    );
    let first = place(&mut net, SMALL, "a");
    let second = place(&mut net, SMALL, "b");
    assert_ne!(zone_of(&first), zone_of(&second));
    assert_eq!(submit(&mut net, SMALL, "c", 1), None, "the request must wait");
    // A task ends, and the waiting request is placed in its zone.
    let m: usize = first[1..].parse().unwrap();
    let id = net.launches.iter().find(|l| l.key == "a").and_then(|l| l.id).unwrap();
    net.end_attempt(m, (id.epoch, id.number), wire::EndedHow::EndedDone);
    net.run_rounds(20);
    net.advance(SECOND_US);
    net.run_rounds(20);
    let third = net.received_answers.iter().find(|a| a.key == "c").expect("an answer").clone();
    assert_eq!((third.kind, zone_of(&third.machine)), (AnswerKind::Placed as i32, zone_of(&first)));
    assert_eq!(submit(&mut net, SMALL, "d", 1), None);
    net.advance(7 * SECOND_US);
    let declined = net.received_answers.iter().find(|a| a.key == "d").expect("an answer");
    assert_eq!(declined.reason, "no machine had room in time; kept out by what runs, under: one a hall");
    assert_eq!(net.finish().0, []);
}

/// A planner is killed. Its successor must count the tasks in the machines' inventories before it
/// launches anything, or it would break the constraint.
#[test]
fn successor_counts_tasks_found_on_machines() {
    let constraints =
        "{name: \"one a hall\", of: {framework: \"big\"}, spread: {over: \"hall\", by: \"all\", most: 1}}";
    let mut net = network_with(constraints, &[]);
    let two = [place(&mut net, BIG, "a"), place(&mut net, BIG, "b")];
    assert_ne!(zone_of(&two[0]), zone_of(&two[1]));
    let text = format!("clauses: [\n{constraints}\n]\n");
    let site = load_texts(&[("site.rec", SITE), ("c.rec", &text)]).map_err(|e| e.1).unwrap();
    net.kill_planner();
    net.planner.set_constraints(parse(&site.all).unwrap(), vec!["one a hall".into()]);
    net.send_list(true);
    net.run_rounds(40);
    assert_eq!(submit(&mut net, BIG, "c", 1), None, "both zones are full under the constraint");
    assert_eq!(net.finish().0, []);
}

/// Constraints change while the planner runs: an operator first sees which tasks violate the new
/// constraints, running tasks continue, and new tasks follow the new constraints.
#[test]
fn replaces_constraints_as_a_whole() {
    let old = "{name: \"ssd\", of: {framework: \"small\"}, in: {labels: [\"ssd\"]}}";
    let mut net = network_with(old, &[0, 2]);
    let first = place(&mut net, SMALL, "a");
    assert_eq!(zone_of(&first), 0);
    let text = |c: &str| {
        let site = format!("clauses: [{c}]\n");
        let site = load_texts(&[("site.rec", SITE), ("c.rec", &site)]).map_err(|e| e.1).unwrap();
        let all: Vec<_> = parse(&site.all).unwrap().into_iter().map(|c| (c.clone(), c.name)).collect();
        serde_json::to_string(&all).unwrap()
    };
    let new = text("{name: \"b\", of: {framework: \"small\"}, in: {halls: [\"hall-b\"]}}");
    let request = |take| Body::Clauses(wire::Clauses { json: new.clone(), take });
    let broken = format!("[{{\"clauses\":[\"b\"],\"key\":\"a\",\"machine\":\"{first}\"}}]");
    assert_eq!(
        net.operator_request(request(false)).unwrap(),
        format!("{{\"broken\":{broken},\"taken\":false}}")
    );
    assert_eq!(zone_of(&place(&mut net, SMALL, "b")), 0, "the new constraints must not apply yet");
    assert!(net.operator_request(Body::Clauses(wire::Clauses { json: "[3]".into(), take: true })).is_err());
    assert_eq!(zone_of(&place(&mut net, SMALL, "c")), 0, "rejected constraints must not apply in part");
    assert!(net.operator_request(request(true)).unwrap().contains("\"taken\":true"));
    assert_eq!(zone_of(&place(&mut net, SMALL, "d")), 1);
    let about = "{\"key\":\"a\",\"machines\":true}".to_owned();
    let reply = net.operator_request(Body::Query(wire::Query { what: "explain".into(), about })).unwrap();
    let reply: serde_json::Value = serde_json::from_str(&reply).unwrap();
    assert_eq!((&reply["clauses"][0]["clause"], &reply["clauses"][0]["leaves"]), (&"b".into(), &3.into()));
    assert_eq!(reply["machines"].as_array().unwrap().len(), 6);
    assert_eq!(net.finish().0, []);
}

/// Constraints are sent to planners as JSON. Its keys and values must stay the same when the types
/// are renamed, because planners of an earlier build read it too.
#[test]
fn constraint_json_keeps_its_keys_and_values() {
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
