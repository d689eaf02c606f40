//! The failure detector of a link. The clock is simulated.
use basaltpitch_agent::link_health::{HealthMonitor, LinkHealth};

fn record_heartbeats(monitor: &mut HealthMonitor, from: i64, gaps: &[i64]) -> i64 {
    gaps.iter().fold(from, |at, gap| {
        monitor.record_frame(at + gap, true);
        monitor.update_state(at + gap);
        at + gap
    })
}

#[test]
fn suspects_link_with_even_gaps_sooner_than_link_with_uneven_gaps() {
    let (mut even, mut uneven) = (HealthMonitor::new(0, 100), HealthMonitor::new(0, 100));
    let even_end = record_heartbeats(&mut even, 0, &[100; 40]);
    let uneven_end = record_heartbeats(&mut uneven, 0, &[60, 180].repeat(20));
    assert!(even.suspect_after_us() < uneven.suspect_after_us());
    assert_eq!(even.update_state(even_end + 200), LinkHealth::Suspect);
    assert_eq!(uneven.update_state(uneven_end + 200), LinkHealth::Healthy);
}

#[test]
fn suspect_link_recovers_only_after_three_timely_heartbeats() {
    let mut monitor = HealthMonitor::new(0, 100);
    let at = record_heartbeats(&mut monitor, 0, &[100; 40]);
    assert_eq!(monitor.update_state(at + 300), LinkHealth::Suspect);
    let at = record_heartbeats(&mut monitor, at + 300, &[10, 100]);
    assert_eq!(
        monitor.update_state(at),
        LinkHealth::Suspect,
        "the late heartbeat resets the count of timely ones"
    );
    let at = record_heartbeats(&mut monitor, at, &[100, 100]);
    assert_eq!(monitor.update_state(at), LinkHealth::Healthy);
}

#[test]
fn lost_link_stays_lost_after_a_frame() {
    let mut monitor = HealthMonitor::new(0, 100);
    assert_eq!(monitor.update_state(monitor.lost_after_us()), LinkHealth::Lost);
    monitor.record_frame(monitor.lost_after_us() + 1, true);
    assert_eq!(monitor.update_state(monitor.lost_after_us() + 1), LinkHealth::Lost);
}
