//! How the silence of a link is judged. A made-up clock.
use basaltpitch_agent::link_health::{HealthMonitor, LinkHealth};

fn beats(health: &mut HealthMonitor, from: i64, gaps: &[i64]) -> i64 {
    gaps.iter().fold(from, |at, gap| {
        health.record_frame(at + gap, true);
        health.judge(at + gap);
        at + gap
    })
}

#[test]
fn an_even_link_is_suspected_sooner_than_an_uneven_one() {
    let (mut even, mut uneven) = (HealthMonitor::new(0, 100), HealthMonitor::new(0, 100));
    let even_end = beats(&mut even, 0, &[100; 40]);
    let uneven_end = beats(&mut uneven, 0, &[60, 180].repeat(20));
    assert!(even.suspect_after_us() < uneven.suspect_after_us());
    assert_eq!(even.judge(even_end + 200), LinkHealth::Suspect);
    assert_eq!(uneven.judge(uneven_end + 200), LinkHealth::Healthy);
}

#[test]
fn a_suspect_link_is_well_only_after_three_heartbeats_in_time() {
    let mut monitor = HealthMonitor::new(0, 100);
    let at = beats(&mut monitor, 0, &[100; 40]);
    assert_eq!(monitor.judge(at + 300), LinkHealth::Suspect);
    let at = beats(&mut monitor, at + 300, &[10, 100]);
    assert_eq!(monitor.judge(at), LinkHealth::Suspect, "the late one started the count at none");
    let at = beats(&mut monitor, at, &[100, 100]);
    assert_eq!(monitor.judge(at), LinkHealth::Healthy);
}

#[test]
fn lost_is_final() {
    let mut monitor = HealthMonitor::new(0, 100);
    assert_eq!(monitor.judge(monitor.lost_after_us()), LinkHealth::Lost);
    monitor.record_frame(monitor.lost_after_us() + 1, true);
    assert_eq!(monitor.judge(monitor.lost_after_us() + 1), LinkHealth::Lost);
}
