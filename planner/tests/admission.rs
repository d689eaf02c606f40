//! Admission control in front of the whole planner: what it rejects, and what it must let alone.
mod net;
use basaltpitch_agent::wire::{AnswerKind, EndedHow};
use basaltpitch_planner::admission::AdmissionController;
use net::{placement_settings, SimulatedNetwork, SMALL};

/// A planner with a few machines that are full, and more asked of it than they can do.
fn crowded() -> SimulatedNetwork {
    let mut net = SimulatedNetwork::new(3);
    let controller = AdmissionController::new(net.now_us, 1, &placement_settings());
    net.planner.enable_admission(net.now_us, controller);
    net.submit(SMALL, "books", 1, 6_000_000);
    net.run_rounds(100);
    // Some end and others take their place, so that the controller sees how the queue drains.
    for n in 0..400 {
        net.submit(SMALL, &format!("task-{n}"), 1, 2_000_000);
        net.run_rounds(20);
        if n % 40 == 39 {
            net.advance(250_000);
            net.run_rounds(100);
            let ends: Vec<_> = net.launches.iter().rev().take(2).filter_map(|l| l.id).collect();
            for id in ends {
                (0..3).for_each(|m| net.end_attempt(m, (id.epoch, id.number), EndedHow::EndedDone));
            }
        }
    }
    net
}

fn rejected_requests(net: &SimulatedNetwork) -> Vec<(String, u64)> {
    let rejected = net.received_answers.iter().filter(|a| a.reason.starts_with("not worth starting"));
    rejected.map(|a| (a.key.clone(), a.ask)).collect()
}

#[test]
fn a_rejected_request_gets_the_time_to_retry_and_the_reason_at_once() {
    let mut net = crowded();
    let rejected = rejected_requests(&net);
    assert!(!rejected.is_empty(), "nothing was rejected on arrival");
    for a in net.received_answers.iter().filter(|a| a.reason.starts_with("not worth starting")) {
        assert_eq!(a.kind, AnswerKind::Declined as i32);
        assert!(a.retry_after_us > 0 && !a.not_allowed, "{a:?}");
        assert!(a.reason.contains("what this planner sees itself"), "{}", a.reason);
        let launched = net.launches.iter().filter(|l| l.key == a.key && l.ask == a.ask).count();
        assert_eq!(launched, 0, "{} was launched", a.key);
    }
    // The same request again gets the same answer, or a new decision; a task that runs is no new
    // request.
    let before = net.received_answers.len();
    net.submit(SMALL, "books", 2, 1);
    let books = net.received_answers[before..].iter().find(|a| a.key == "books").expect("an answer");
    assert_eq!(books.kind, AnswerKind::Placed as i32, "{books:?}");
    net.advance(20_000_000);
    net.run_rounds(400);
    assert_eq!(net.finish().0, []);
}

#[test]
fn withdrawn_and_answered_requests_wait_no_more() {
    let mut net = crowded();
    for n in 0..400 {
        net.withdraw(&format!("task-{n}"), 1);
    }
    net.advance(20_000_000);
    let view = net.planner.admission().map(|admission| admission.view()).expect("an admission controller");
    let line = serde_json::to_value(view).expect("plain values");
    assert_eq!(line["cores_that_wait"], 0.0, "{line}");
}
