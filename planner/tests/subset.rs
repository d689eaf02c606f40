//! A whole planner under a made-up clock that works a part of the fleet, with the auditor on.
mod net;

use basaltpitch_agent::wire::{AnswerKind, Body, Fetch};
use basaltpitch_config::installation::load_texts;
use basaltpitch_constraints::parse::parse;
use basaltpitch_subsetting::{name_hash, SubsetConfig};
use net::{SimulatedNetwork, ONCE, SMALL};
use serde_json::Value;
use std::collections::BTreeSet;

const S: i64 = 1_000_000;
const MACHINES: usize = 24;

/// One of eight planners, each machine in two parts; clauses bind where there are any.
fn begin(clauses: &str, labelled: &[usize]) -> SimulatedNetwork {
    let seats = (0..8).map(|s| name_hash(&format!("planner-{s}"))).collect();
    let mut net = SimulatedNetwork::without_list(MACHINES);
    net.use_subset(SubsetConfig::from_lease_duration(2, seats, 3, S));
    if !clauses.is_empty() {
        let site = "zones: [\"hall-a\", \"hall-b\"]\nkinds: [{name: \"std\", cores: 16, memory: 32}]\n\
                    frameworks: [{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}]\n";
        let site = load_texts(&[("site.rec", site), ("c.rec", clauses)]).map_err(|e| format!("{:?}", e.1));
        let clauses = parse(&site.unwrap().all).map_err(|e| format!("{e:?}")).unwrap();
        net.planner.set_constraints(clauses, vec!["fast".into()]);
    }
    labelled.iter().for_each(|&m| net.machines[m].labels = vec!["ssd".into()]);
    net.send_list(true);
    net.run_rounds(40);
    net
}

fn part(net: &mut SimulatedNetwork) -> Value {
    let query =
        |what: &str| Body::Query(basaltpitch_agent::wire::Query { what: what.into(), about: String::new() });
    let told = net.operator_request(query("planner")).unwrap();
    serde_json::from_str::<Value>(&told).unwrap()["part"].clone()
}

/// Machines of this role, by what operators are told.
fn of_role(net: &mut SimulatedNetwork, role: &str) -> BTreeSet<String> {
    let query = Body::Query(basaltpitch_agent::wire::Query { what: "machines".into(), about: String::new() });
    let rows: Vec<Value> = serde_json::from_str(&net.operator_request(query).unwrap()).unwrap();
    rows.iter().filter(|r| r["role"] == role).map(|r| r["machine"].as_str().unwrap().to_owned()).collect()
}

fn answer(net: &SimulatedNetwork, key: &str) -> (i32, String) {
    let a = net
        .received_answers
        .iter()
        .find(|a| a.key == key)
        .unwrap_or_else(|| panic!("no answer to {key}: {}", net.log));
    (a.kind, a.machine.clone())
}

fn questions(net: &SimulatedNetwork) -> Vec<Fetch> {
    let of = |body: &Body| match body {
        Body::Fetch(fetch) => Some(fetch.clone()),
        _ => None,
    };
    net.registry_frames.iter().filter_map(of).collect()
}

/// Each machine is heard once, for what an earlier life may have launched there; then only the part
/// is linked, and only its machines get work.
#[test]
fn a_planner_links_to_its_part_alone_and_launches_there() {
    let mut net = begin("", &[]);
    assert!(
        matches!(&net.registry_frames[0], Body::Watch(w) if w.on && w.brief),
        "{:?}",
        net.registry_frames[0]
    );
    assert_eq!(part(&mut net)["links"], MACHINES, "all are visited");
    net.run_rounds(1500);
    let view = part(&mut net);
    let worked = of_role(&mut net, "part");
    assert!((4..=9).contains(&worked.len()), "{view}");
    assert_eq!(
        (&view["links"], &view["to_visit"], &view["listed"]),
        (&worked.len().into(), &0.into(), &MACHINES.into())
    );
    for n in 0..30 {
        net.submit(SMALL, &format!("t{n}"), 1, 6 * S);
        net.run_rounds(5);
    }
    net.run_rounds(100);
    for n in 0..30 {
        let (kind, machine) = answer(&net, &format!("t{n}"));
        assert!(kind == AnswerKind::Placed as i32 && worked.contains(&machine), "{machine}");
    }
    assert_eq!(net.finish().0, []);
}

/// A seat's machines are taken on once it is vacant, and let go after it is held again; a task on
/// one that leaves keeps its link, gets no company, and is found by the seat's next life.
#[test]
fn tasks_on_machines_that_leave_the_part_are_kept_and_found() {
    let mut net = begin("", &[]);
    net.run_rounds(1500);
    let own = of_role(&mut net, "part");
    let held = |net: &mut SimulatedNetwork, seats: &[usize], rounds: usize| {
        for _ in 0..rounds {
            net.planner.slots_held(net.now_us, seats.iter().copied());
            net.run_rounds(100);
        }
    };
    held(&mut net, &[0, 3, 4], 40);
    let wide = of_role(&mut net, "part");
    assert!(wide.is_superset(&own) && wide.len() > own.len(), "{own:?} {wide:?}");
    let mut outside = None;
    for n in 0.. {
        net.submit(ONCE, &format!("o{n}"), 1, 8 * S);
        net.run_rounds(30);
        let (_, machine) = answer(&net, &format!("o{n}"));
        if !own.contains(&machine) {
            outside = Some((n, machine));
            break;
        }
        assert!(n < 60, "all went to the part of before");
    }
    let (n, machine) = outside.unwrap();
    held(&mut net, &(0..8).collect::<Vec<_>>(), 100);
    assert_eq!(of_role(&mut net, "part"), own);
    assert!(of_role(&mut net, "kept").contains(&machine), "{}", part(&mut net));
    let launched = net.launches.len();
    for n in 0..20 {
        net.submit(SMALL, &format!("s{n}"), 1, 6 * S);
        net.run_rounds(5);
        assert!(own.contains(&answer(&net, &format!("s{n}")).1));
    }
    assert_eq!(net.launches.len(), launched + 20);
    // Its successor finds the task outside its part, and does not start it a second time.
    net.kill_planner();
    net.run_rounds(3500);
    assert!(of_role(&mut net, "kept").contains(&machine));
    net.received_answers.clear();
    net.submit(ONCE, &format!("o{n}"), 2, 8 * S);
    net.run_rounds(50);
    assert_eq!(answer(&net, &format!("o{n}")), (AnswerKind::Placed as i32, machine.clone()));
    assert!(net.duplicate_run.is_none(), "{:?}", net.duplicate_run);
    assert_eq!(net.finish().0, []);
}

/// Of a task that clauses let go only to a machine outside the part, the register is asked at once;
/// what it names is a guest, takes the task, and goes once it has held nothing for its time.
#[test]
fn a_task_that_fits_only_outside_is_placed_on_a_guest() {
    let own = of_role(&mut begin("", &[]), "part");
    let outside = (0..MACHINES).find(|m| !own.contains(&format!("m{m}"))).unwrap();
    let bound = "clauses: [{name: \"fast\", of: {framework: \"small\"}, in: {labels: [\"ssd\"]}}]\n";
    let mut net = begin(bound, &[outside]);
    net.run_rounds(1500);
    let name = format!("m{outside}");
    net.submit(SMALL, "t", 1, 6 * S);
    net.run_rounds(150);
    let asked = questions(&net);
    assert_eq!((asked.len(), &asked[0].among), (1, &vec![name.clone()]), "{asked:?}");
    net.send_selected_list(false, asked[0].question, |m| m == outside);
    net.run_rounds(100);
    assert_eq!(answer(&net, "t"), (AnswerKind::Placed as i32, name.clone()));
    assert_eq!(of_role(&mut net, "guest"), BTreeSet::from([name.clone()]));
    net.withdraw("t", 1);
    net.run_rounds(4500);
    assert_eq!((part(&mut net)["guests"].clone(), part(&mut net)["kept"].clone()), (0.into(), 0.into()));
    assert!(!of_role(&mut net, "guest").contains(&name));
    assert_eq!(net.finish().0, []);
}
