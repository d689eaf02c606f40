//! A planner that conducts a roll, between the council's words and the register's list: what it writes and
//! says, and what it keeps to itself.
use basaltpitch_agent::wire::{Body, Entry, List, Readiness};
use basaltpitch_planner::lease_client::{LeaseCommand, LeaseDeadline, LeaseEvent};
use basaltpitch_planner::rolling_restart::{
    RollingRestartConfig, RollingRestartCoordinator, PLAN_LEASE, RESTART_LEASE,
};
use basaltpitch_planner::voter_links::boottime_us;
use basaltpitch_rolling_restart::{RestartPlan, RestartProgress};
use std::collections::HashMap;
use tokio::sync::mpsc;

const S: i64 = 1_000_000;

struct Net {
    rolls: RollingRestartCoordinator,
    wishes: mpsc::Receiver<LeaseCommand>,
    now: i64,
}

impl Net {
    fn new() -> Net {
        let ((_, heard), (wishes_out, wishes)) = (mpsc::channel(4), mpsc::channel(4));
        let sizes = HashMap::from([("std".to_owned(), (8.0, 16.0))]);
        let rolls = RollingRestartCoordinator::new(RollingRestartConfig {
            lease_events: heard,
            lease_commands: wishes_out,
            machine_sizes: sizes,
            drain_grace_us: S,
        });
        Net { rolls, wishes, now: S }
    }

    fn won(&mut self, token: u64, note: &[u8], left: i64) {
        let tenure = LeaseDeadline::at_us(boottime_us() + left);
        self.rolls.on_lease_event(
            self.now,
            LeaseEvent::Acquired {
                lease: RESTART_LEASE.into(),
                token,
                metadata: note.to_vec(),
                deadline: tenure,
            },
        );
    }

    /// The list, whole: machines of hall-a by name, start and readiness.
    fn list(&mut self, machines: &[(&str, i64, Readiness)]) {
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
        self.rolls.on_machine_list(self.now, &list);
    }

    fn wanted(&mut self, plan: &RestartPlan) {
        let note = serde_json::to_vec(plan).unwrap();
        self.rolls.on_lease_event(
            self.now,
            LeaseEvent::MetadataChanged { lease: PLAN_LEASE.into(), metadata: note },
        );
    }

    /// What goes to the register, as machine, on, token, number and start.
    fn said(&mut self) -> Vec<(String, bool, u64, u64, i64)> {
        let mut said = Vec::new();
        while let Some(Body::Drain(d)) = self.rolls.next_frame() {
            said.push((d.machine, d.on, d.token, d.number, d.started_us));
        }
        said
    }

    /// What is to be kept, and a majority keeps it.
    fn kept(&mut self) -> Vec<u8> {
        assert_eq!(self.said(), [], "nothing before it is kept");
        let Ok(LeaseCommand::WriteMetadata { lease: duty, metadata: text, .. }) = self.wishes.try_recv()
        else {
            panic!("nothing is written")
        };
        assert_eq!(&*duty, RESTART_LEASE);
        self.rolls.on_lease_event(self.now, LeaseEvent::MetadataRecorded { lease: duty });
        text
    }
}

fn plan() -> RestartPlan {
    RestartPlan {
        id: 3,
        zone: "hall-a".into(),
        max_draining: 1,
        drain_timeout_us: 60 * S,
        restart_timeout_us: 60 * S,
        ..RestartPlan::default()
    }
}

const READY: Readiness = Readiness::Ready;

#[test]
fn a_word_carries_token_number_and_start_and_goes_on_with_the_successor() {
    let mut one = Net::new();
    one.won(7, b"", 60 * S);
    one.wanted(&plan());
    one.list(&[("m0", 100, READY), ("m1", 200, READY)]);
    one.kept();
    let begun = one.kept();
    assert_eq!(one.said(), [("m0".into(), true, 7, 1, 100)]);
    // Another conducts from here on, with what was kept; it writes that under its own token first.
    let mut two = Net::new();
    two.list(&[("m0", 900, READY), ("m1", 200, READY)]);
    two.won(8, &begun, 60 * S);
    two.wanted(&plan());
    two.kept();
    // The machine restarted meanwhile: it is let go, whatever its start, and not drained again.
    two.kept();
    assert_eq!(two.said(), [("m0".into(), false, 8, 1, 0)]);
    two.now += 2 * S;
    two.rolls.advance(two.now);
    let progress: RestartProgress<String> = serde_json::from_slice(&two.kept()).unwrap();
    assert_eq!(progress.machines.len(), 2);
    assert_eq!(two.said(), [("m1".into(), true, 8, 2, 200)]);
}

#[test]
fn past_its_term_and_after_a_note_without_sense_it_says_nothing() {
    let mut late = Net::new();
    late.won(7, b"", -1);
    late.wanted(&plan());
    late.list(&[("m0", 100, READY)]);
    late.kept();
    late.kept();
    assert_eq!(late.said(), [], "the term is over, and another may conduct");
    let mut lost = Net::new();
    lost.won(7, b"{\"of another format\": 1}", 60 * S);
    lost.wanted(&plan());
    lost.list(&[("m0", 100, READY)]);
    assert_eq!(lost.said(), []);
    assert!(lost.wishes.try_recv().is_err(), "what it cannot read it does not write over");
}

#[test]
fn without_the_register_it_waits_for_the_whole_list() {
    let mut net = Net::new();
    net.won(7, b"", 60 * S);
    net.wanted(&plan());
    assert!(net.said().is_empty() && net.wishes.try_recv().is_err());
    net.list(&[("m0", 100, READY)]);
    net.kept();
    net.kept();
    assert_eq!(net.said().len(), 1);
    net.rolls.on_registry_lost();
    net.now += 10 * S;
    net.rolls.advance(net.now);
    assert_eq!(net.said(), [], "what the list shows is old");
    net.list(&[("m0", 100, READY)]);
    assert_eq!(net.said(), [("m0".into(), true, 7, 2, 100)], "it may not have come through: said again");
}
