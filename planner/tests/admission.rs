//! Admission control in a planner on a simulated network: which requests it rejects, and which it
//! must not reject.
mod net;
use basaltpitch_agent::wire::{AnswerKind, EndedHow};
use basaltpitch_planner::admission::AdmissionController;
use net::{placement_settings, SimulatedNetwork, SMALL};

/// Creates a network of a few machines that are full, with more requests than they can run.
fn overloaded_network() -> SimulatedNetwork {
    let mut net = SimulatedNetwork::new(3);
    let controller = AdmissionController::new(net.now_us, 1, &placement_settings());
    net.planner.enable_admission(net.now_us, controller);
    net.submit(SMALL, "books", 1, 6_000_000);
    net.run_rounds(100);
    // Some tasks end and others take their places, so that the controller can measure the rate at
    // which queued tasks are placed.
    for n in 0..400 {
        net.submit(SMALL, &format!("task-{n}"), 1, 2_000_000);
        net.run_rounds(20);
        if n % 40 == 39 {
            net.advance(250_000);
            net.run_rounds(100);
            let ids: Vec<_> = net.launches.iter().rev().take(2).filter_map(|l| l.id).collect();
            for id in ids {
                (0..3).for_each(|m| net.end_attempt(m, (id.epoch, id.number), EndedHow::EndedDone));
            }
        }
    }
    net
}

/// Returns the requests that admission control rejected.
fn rejected_requests(net: &SimulatedNetwork) -> Vec<(String, u64)> {
    let rejected = net.received_answers.iter().filter(|a| a.reason.starts_with("not worth starting"));
    rejected.map(|a| (a.key.clone(), a.ask)).collect()
}

#[test]
fn rejected_request_gets_retry_time_and_reason_at_once() {
    let mut net = overloaded_network();
    let rejected = rejected_requests(&net);
    assert!(!rejected.is_empty(), "no request was rejected on arrival");
    for answer in net.received_answers.iter().filter(|a| a.reason.starts_with("not worth starting")) {
        assert_eq!(answer.kind, AnswerKind::Declined as i32);
        assert!(answer.retry_after_us > 0 && !answer.not_allowed, "{answer:?}");
        assert!(answer.reason.contains("what this planner sees itself"), "{}", answer.reason);
        let launched = net.launches.iter().filter(|l| l.key == answer.key && l.ask == answer.ask).count();
        assert_eq!(launched, 0, "{} was launched", answer.key);
    }
    // A request for a task that already runs is not subject to admission control and gets the
    // task's placement.
    let before = net.received_answers.len();
    net.submit(SMALL, "books", 2, 1);
    let books = net.received_answers[before..].iter().find(|a| a.key == "books").expect("an answer");
    assert_eq!(books.kind, AnswerKind::Placed as i32, "{books:?}");
    net.advance(20_000_000);
    net.run_rounds(400);
    assert_eq!(net.finish().0, []);
}

#[test]
fn withdrawn_and_answered_requests_leave_queue() {
    let mut net = overloaded_network();
    for n in 0..400 {
        net.withdraw(&format!("task-{n}"), 1);
    }
    net.advance(20_000_000);
    let view = net.planner.admission().map(|admission| admission.view()).expect("an admission controller");
    let status = serde_json::to_value(view).expect("a view that serializes to JSON");
    assert_eq!(status["cores_that_wait"], 0.0, "{status}");
}
