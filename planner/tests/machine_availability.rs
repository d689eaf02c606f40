//! When a machine is offered work, and how its restart changes its availability.
use basaltpitch::host::Readiness;
use basaltpitch_planner::machine_availability::{LinkState, MachineAvailability};

#[test]
fn offers_work_only_if_list_machine_and_link_allow_it() {
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
                let availability =
                    MachineAvailability { listed, link, draining, ..MachineAvailability::default() };
                if availability.readiness() == Readiness::Ready {
                    ready.push((listed, link, draining));
                }
                assert!(!availability.is_lost() || availability.readiness() == Readiness::Gone);
            }
        }
    }
    assert_eq!(ready, [(Some(Readiness::Ready), LinkState::Healthy, false)]);
}

#[test]
fn newer_start_ends_drain_and_older_start_is_ignored() {
    let mut availability = MachineAvailability { draining: true, ..MachineAvailability::default() };
    assert!(!availability.observe_start(5), "the first known start is not a restart");
    availability.draining = true;
    assert!(!availability.observe_start(4) && availability.draining);
    assert!(availability.observe_start(6) && !availability.draining);
}
