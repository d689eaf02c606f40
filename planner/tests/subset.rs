//! A planner on a simulated network that links to a subset of the fleet. The invariant checker
//! checks all traffic.
mod net;

use basaltpitch_agent::wire::{AnswerKind, Body, Fetch};
use basaltpitch_config::installation::load_texts;
use basaltpitch_constraints::parse::parse;
use basaltpitch_subsetting::{name_hash, SubsetConfig};
use net::{SimulatedNetwork, ONCE, SMALL};
use serde_json::Value;
use std::collections::BTreeSet;

/// Microseconds in a second.
const SECOND_US: i64 = 1_000_000;
const MACHINES: usize = 24;

/// Creates a network of one of eight planners, with each machine in two subsets, under these
/// constraints. The machines in `labelled` have the label ssd.
fn network_with(constraints: &str, labelled: &[usize]) -> SimulatedNetwork {
    let slots = (0..8).map(|s| name_hash(&format!("planner-{s}"))).collect();
    let mut net = SimulatedNetwork::without_list(MACHINES);
    net.use_subset(SubsetConfig::from_lease_duration(2, slots, 3, SECOND_US));
    if !constraints.is_empty() {
        let site = "zones: [\"hall-a\", \"hall-b\"]\nkinds: [{name: \"std\", cores: 16, memory: 32}]\n\
                    frameworks: [{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}]\n";
        let site =
            load_texts(&[("site.rec", site), ("c.rec", constraints)]).map_err(|e| format!("{:?}", e.1));
        let constraints = parse(&site.unwrap().all).map_err(|e| format!("{e:?}")).unwrap();
        net.planner.set_constraints(constraints, vec!["fast".into()]);
    }
    labelled.iter().for_each(|&m| net.machines[m].labels = vec!["ssd".into()]);
    net.send_list(true);
    net.run_rounds(40);
    net
}

/// Returns the subset's status, as shown to operators.
fn subset_status(net: &mut SimulatedNetwork) -> Value {
    let query =
        |what: &str| Body::Query(basaltpitch_agent::wire::Query { what: what.into(), about: String::new() });
    let reply = net.operator_request(query("planner")).unwrap();
    serde_json::from_str::<Value>(&reply).unwrap()["part"].clone()
}

/// Returns the machines whose link has this role, as shown to operators.
fn machines_with_role(net: &mut SimulatedNetwork, role: &str) -> BTreeSet<String> {
    let query = Body::Query(basaltpitch_agent::wire::Query { what: "machines".into(), about: String::new() });
    let rows: Vec<Value> = serde_json::from_str(&net.operator_request(query).unwrap()).unwrap();
    rows.iter().filter(|r| r["role"] == role).map(|r| r["machine"].as_str().unwrap().to_owned()).collect()
}

/// Returns the kind and the machine of the first answer to a task.
fn answer(net: &SimulatedNetwork, key: &str) -> (i32, String) {
    let answer = net
        .received_answers
        .iter()
        .find(|a| a.key == key)
        .unwrap_or_else(|| panic!("no answer to {key}: {}", net.log));
    (answer.kind, answer.machine.clone())
}

/// Returns the planner's queries to the registry for machines outside its subset.
fn fetches(net: &SimulatedNetwork) -> Vec<Fetch> {
    let of = |body: &Body| match body {
        Body::Fetch(fetch) => Some(fetch.clone()),
        _ => None,
    };
    net.registry_frames.iter().filter_map(of).collect()
}

/// A planner links to each machine once, since an earlier process may have launched tasks there.
/// Then it must link only to the machines of its subset and launch only there.
#[test]
fn links_only_to_its_subset_and_launches_only_there() {
    let mut net = network_with("", &[]);
    assert!(
        matches!(&net.registry_frames[0], Body::Watch(w) if w.on && w.brief),
        "{:?}",
        net.registry_frames[0]
    );
    assert_eq!(subset_status(&mut net)["links"], MACHINES, "the planner links to all machines first");
    net.run_rounds(1500);
    let view = subset_status(&mut net);
    let in_subset = machines_with_role(&mut net, "part");
    assert!((4..=9).contains(&in_subset.len()), "{view}");
    assert_eq!(
        (&view["links"], &view["to_visit"], &view["listed"]),
        (&in_subset.len().into(), &0.into(), &MACHINES.into())
    );
    for n in 0..30 {
        net.submit(SMALL, &format!("t{n}"), 1, 6 * SECOND_US);
        net.run_rounds(5);
    }
    net.run_rounds(100);
    for n in 0..30 {
        let (kind, machine) = answer(&net, &format!("t{n}"));
        assert!(kind == AnswerKind::Placed as i32 && in_subset.contains(&machine), "{machine}");
    }
    assert_eq!(net.finish().0, []);
}

/// When a slot becomes vacant, its machines join the subsets of other planners, and leave them once
/// the slot is held again. A task on a machine that leaves must keep the link, no further task may
/// be launched there, and the planner's successor must find the task instead of launching it again.
#[test]
fn keeps_and_finds_tasks_on_machines_that_left_subset() {
    let mut net = network_with("", &[]);
    net.run_rounds(1500);
    let own = machines_with_role(&mut net, "part");
    let hold_slots = |net: &mut SimulatedNetwork, slots: &[usize], rounds: usize| {
        for _ in 0..rounds {
            net.planner.slots_held(net.now_us, slots.iter().copied());
            net.run_rounds(100);
        }
    };
    hold_slots(&mut net, &[0, 3, 4], 40);
    let widened = machines_with_role(&mut net, "part");
    assert!(widened.is_superset(&own) && widened.len() > own.len(), "{own:?} {widened:?}");
    let mut outside = None;
    for n in 0.. {
        net.submit(ONCE, &format!("o{n}"), 1, 8 * SECOND_US);
        net.run_rounds(30);
        let (_, machine) = answer(&net, &format!("o{n}"));
        if !own.contains(&machine) {
            outside = Some((n, machine));
            break;
        }
        assert!(n < 60, "all tasks were placed on the original subset");
    }
    let (n, machine) = outside.unwrap();
    hold_slots(&mut net, &(0..8).collect::<Vec<_>>(), 100);
    assert_eq!(machines_with_role(&mut net, "part"), own);
    assert!(machines_with_role(&mut net, "kept").contains(&machine), "{}", subset_status(&mut net));
    let launched = net.launches.len();
    for n in 0..20 {
        net.submit(SMALL, &format!("s{n}"), 1, 6 * SECOND_US);
        net.run_rounds(5);
        assert!(own.contains(&answer(&net, &format!("s{n}")).1));
    }
    assert_eq!(net.launches.len(), launched + 20);
    // The successor finds the task outside its subset and does not launch it again.
    net.kill_planner();
    net.run_rounds(3500);
    assert!(machines_with_role(&mut net, "kept").contains(&machine));
    net.received_answers.clear();
    net.submit(ONCE, &format!("o{n}"), 2, 8 * SECOND_US);
    net.run_rounds(50);
    assert_eq!(answer(&net, &format!("o{n}")), (AnswerKind::Placed as i32, machine.clone()));
    assert!(net.duplicate_run.is_none(), "{:?}", net.duplicate_run);
    assert_eq!(net.finish().0, []);
}

/// A task's constraints allow only a machine outside the subset. The planner must ask the registry
/// at once, open an extra link to the machine in the reply, place the task there, and close the
/// link after the machine has held no task for a while.
#[test]
fn places_task_that_fits_only_outside_subset_over_extra_link() {
    let own = machines_with_role(&mut network_with("", &[]), "part");
    let outside = (0..MACHINES).find(|m| !own.contains(&format!("m{m}"))).unwrap();
    let constraints = "clauses: [{name: \"fast\", of: {framework: \"small\"}, in: {labels: [\"ssd\"]}}]\n";
    let mut net = network_with(constraints, &[outside]);
    net.run_rounds(1500);
    let name = format!("m{outside}");
    net.submit(SMALL, "t", 1, 6 * SECOND_US);
    net.run_rounds(150);
    let queries = fetches(&net);
    assert_eq!((queries.len(), &queries[0].among), (1, &vec![name.clone()]), "{queries:?}");
    net.send_selected_list(false, queries[0].question, |m| m == outside);
    net.run_rounds(100);
    assert_eq!(answer(&net, "t"), (AnswerKind::Placed as i32, name.clone()));
    assert_eq!(machines_with_role(&mut net, "guest"), BTreeSet::from([name.clone()]));
    net.withdraw("t", 1);
    net.run_rounds(4500);
    assert_eq!(
        (subset_status(&mut net)["guests"].clone(), subset_status(&mut net)["kept"].clone()),
        (0.into(), 0.into())
    );
    assert!(!machines_with_role(&mut net, "guest").contains(&name));
    assert_eq!(net.finish().0, []);
}
