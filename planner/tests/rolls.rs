//! The rolling-restart coordinator of a planner. Tests feed it lease events and machine lists, and
//! check the metadata that it writes and the drain frames that it sends to the registry.
use basaltpitch_agent::wire::{Body, Entry, List, Readiness};
use basaltpitch_planner::lease_client::{LeaseCommand, LeaseDeadline, LeaseEvent};
use basaltpitch_planner::rolling_restart::{
    RollingRestartConfig, RollingRestartCoordinator, PLAN_LEASE, RESTART_LEASE,
};
use basaltpitch_planner::voter_links::boottime_us;
use basaltpitch_rolling_restart::{RestartPlan, RestartProgress};
use std::collections::HashMap;
use tokio::sync::mpsc;

/// Microseconds in a second.
const SECOND_US: i64 = 1_000_000;

/// A coordinator with its commands to the lease client and a simulated clock.
struct CoordinatorTest {
    coordinator: RollingRestartCoordinator,
    lease_commands: mpsc::Receiver<LeaseCommand>,
    now_us: i64,
}

impl CoordinatorTest {
    fn new() -> CoordinatorTest {
        let ((_, lease_events), (command_sender, lease_commands)) = (mpsc::channel(4), mpsc::channel(4));
        let machine_sizes = HashMap::from([("std".to_owned(), (8.0, 16.0))]);
        let coordinator = RollingRestartCoordinator::new(RollingRestartConfig {
            lease_events,
            lease_commands: command_sender,
            machine_sizes,
            drain_grace_us: SECOND_US,
        });
        CoordinatorTest { coordinator, lease_commands, now_us: SECOND_US }
    }

    /// Reports that the lease was acquired, with the previous holder's metadata and this remaining
    /// time.
    fn acquire_lease(&mut self, token: u64, metadata: &[u8], remaining_us: i64) {
        let deadline = LeaseDeadline::at_us(boottime_us() + remaining_us);
        self.coordinator.on_lease_event(
            self.now_us,
            LeaseEvent::Acquired {
                lease: RESTART_LEASE.into(),
                token,
                metadata: metadata.to_vec(),
                deadline,
            },
        );
    }

    /// Sends a complete list of machines in hall-a, given by name, start and readiness.
    fn send_list(&mut self, machines: &[(&str, i64, Readiness)]) {
        let entry = |m: &(&str, i64, Readiness)| Entry {
            machine: m.0.into(),
            kind: "std".into(),
            zone: "hall-a".into(),
            readiness: m.2 as i32,
            started_us: m.1,
            cores_left: 8.0,
            memory_left: 16.0,
            ..Entry::default()
        };
        let list = List { whole: true, stamp: 1, entries: machines.iter().map(entry).collect(), question: 0 };
        self.coordinator.on_machine_list(self.now_us, &list);
    }

    /// Reports the operator's plan, as a majority stores it.
    fn set_plan(&mut self, plan: &RestartPlan) {
        let metadata = serde_json::to_vec(plan).unwrap();
        self.coordinator
            .on_lease_event(self.now_us, LeaseEvent::MetadataChanged { lease: PLAN_LEASE.into(), metadata });
    }

    /// Takes the drain frames to the registry, as machine, on, token, number and start.
    fn take_drains(&mut self) -> Vec<(String, bool, u64, u64, i64)> {
        let mut drains = Vec::new();
        while let Some(Body::Drain(drain)) = self.coordinator.next_frame() {
            drains.push((drain.machine, drain.on, drain.token, drain.number, drain.started_us));
        }
        drains
    }

    /// Takes the metadata that the coordinator writes, and reports that a majority stores it. No
    /// drain may be sent before that.
    fn store_metadata(&mut self) -> Vec<u8> {
        assert_eq!(self.take_drains(), [], "drains sent before the metadata is stored");
        let Ok(LeaseCommand::WriteMetadata { lease, metadata, .. }) = self.lease_commands.try_recv() else {
            panic!("no metadata was written")
        };
        assert_eq!(&*lease, RESTART_LEASE);
        self.coordinator.on_lease_event(self.now_us, LeaseEvent::MetadataRecorded { lease });
        metadata
    }
}

fn plan() -> RestartPlan {
    RestartPlan {
        id: 3,
        zone: "hall-a".into(),
        max_draining: 1,
        drain_timeout_us: 60 * SECOND_US,
        restart_timeout_us: 60 * SECOND_US,
        ..RestartPlan::default()
    }
}

const READY: Readiness = Readiness::Ready;

#[test]
fn drain_carries_token_number_and_start_and_successor_continues() {
    let mut first = CoordinatorTest::new();
    first.acquire_lease(7, b"", 60 * SECOND_US);
    first.set_plan(&plan());
    first.send_list(&[("m0", 100, READY), ("m1", 200, READY)]);
    first.store_metadata();
    let progress = first.store_metadata();
    assert_eq!(first.take_drains(), [("m0".into(), true, 7, 1, 100)]);
    // Another planner coordinates from here on. It starts from the stored progress, which it first
    // writes under its own token.
    let mut successor = CoordinatorTest::new();
    successor.send_list(&[("m0", 900, READY), ("m1", 200, READY)]);
    successor.acquire_lease(8, &progress, 60 * SECOND_US);
    successor.set_plan(&plan());
    successor.store_metadata();
    // The machine has restarted meanwhile: its drain ends whatever its start, and it is not drained
    // again.
    successor.store_metadata();
    assert_eq!(successor.take_drains(), [("m0".into(), false, 8, 1, 0)]);
    successor.now_us += 2 * SECOND_US;
    successor.coordinator.advance(successor.now_us);
    let progress: RestartProgress<String> = serde_json::from_slice(&successor.store_metadata()).unwrap();
    assert_eq!(progress.machines.len(), 2);
    assert_eq!(successor.take_drains(), [("m1".into(), true, 8, 2, 200)]);
}

#[test]
fn sends_nothing_after_its_deadline_or_with_unreadable_progress() {
    let mut expired = CoordinatorTest::new();
    expired.acquire_lease(7, b"", -1);
    expired.set_plan(&plan());
    expired.send_list(&[("m0", 100, READY)]);
    expired.store_metadata();
    expired.store_metadata();
    assert_eq!(expired.take_drains(), [], "the lease has expired, and another planner may coordinate");
    let mut unreadable = CoordinatorTest::new();
    unreadable.acquire_lease(7, b"{\"of another format\": 1}", 60 * SECOND_US);
    unreadable.set_plan(&plan());
    unreadable.send_list(&[("m0", 100, READY)]);
    assert_eq!(unreadable.take_drains(), []);
    assert!(unreadable.lease_commands.try_recv().is_err(), "unreadable progress must not be overwritten");
}

#[test]
fn waits_for_complete_list_and_sends_drain_again_after_registry_loss() {
    let mut scenario = CoordinatorTest::new();
    scenario.acquire_lease(7, b"", 60 * SECOND_US);
    scenario.set_plan(&plan());
    assert!(scenario.take_drains().is_empty() && scenario.lease_commands.try_recv().is_err());
    scenario.send_list(&[("m0", 100, READY)]);
    scenario.store_metadata();
    scenario.store_metadata();
    assert_eq!(scenario.take_drains().len(), 1);
    scenario.coordinator.on_registry_lost();
    scenario.now_us += 10 * SECOND_US;
    scenario.coordinator.advance(scenario.now_us);
    assert_eq!(scenario.take_drains(), [], "the list is outdated");
    scenario.send_list(&[("m0", 100, READY)]);
    assert_eq!(
        scenario.take_drains(),
        [("m0".into(), true, 7, 2, 100)],
        "the drain may have been lost, so it is sent again"
    );
}
