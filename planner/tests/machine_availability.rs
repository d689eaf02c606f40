//! When a machine is offered work, and what a newer start of it means.
use basaltpitch::host::Readiness;
use basaltpitch_planner::machine_availability::{LinkState, MachineAvailability};

#[test]
fn work_is_offered_only_where_list_machine_and_link_agree() {
    let all = [None, Some(Readiness::Ready), Some(Readiness::Draining), Some(Readiness::Gone)];
    let links = [
        LinkState::None,
        LinkState::Connecting,
        LinkState::AwaitingInventory,
        LinkState::Healthy,
        LinkState::Suspect,
    ];
    let mut ready = Vec::new();
    for listed in all {
        for link in links {
            for draining in [false, true] {
                let s = MachineAvailability { listed, link, draining, ..MachineAvailability::default() };
                if s.readiness() == Readiness::Ready {
                    ready.push((listed, link, draining));
                }
                assert!(!s.is_lost() || s.readiness() == Readiness::Gone);
            }
        }
    }
    assert_eq!(ready, [(Some(Readiness::Ready), LinkState::Healthy, false)]);
}

#[test]
fn a_newer_start_takes_back_a_drain_and_an_older_one_says_nothing() {
    let mut s = MachineAvailability { draining: true, ..MachineAvailability::default() };
    assert!(!s.observe_start(5), "the first that is known loses nothing");
    s.draining = true;
    assert!(!s.observe_start(4) && s.draining);
    assert!(s.observe_start(6) && !s.draining);
}
