//! When a planner connects again: bounded over all peers, and later after each failure. A made-up clock.
use basaltpitch_agent::dial_queue::{DialConfig, DialQueue};

/// Attempts of a thousand peers that all fail for ten seconds after a switch broke.
#[test]
fn a_healed_switch_is_no_storm() {
    let mut dials = DialQueue::new(3, 0, DialConfig::DEFAULT);
    (0..1000).for_each(|peer| dials.add(peer, 0));
    let (mut times, mut now) = (Vec::new(), 0);
    while now < 10_000_000 {
        while let Some(peer) = dials.next_due(now) {
            times.push(now);
            dials.link_down(peer, now);
        }
        now = dials.next_due_at().unwrap().max(now + 1);
    }
    for (i, &at) in times.iter().enumerate() {
        let within = times[i..].iter().take_while(|&&t| t < at + 1_000_000).count();
        assert!(within <= 250, "{within} attempts in the second from {at} us");
    }
    assert!(times.len() > 1500, "the bound is used: {}", times.len());
}

#[test]
fn a_link_that_falls_at_once_does_not_reset_the_wait() {
    let mut dials = DialQueue::new(3, 0, DialConfig::DEFAULT);
    dials.add(0, 0);
    let (mut now, mut waits) = (0, Vec::new());
    for _ in 0..6 {
        assert_eq!(dials.next_due(now), Some(0));
        dials.link_up(0, now);
        dials.link_down(0, now + 1000);
        waits.push(dials.next_due_at().unwrap() - now);
        now = dials.next_due_at().unwrap();
    }
    assert!(waits.windows(2).all(|w| w[1] > w[0] / 2) && waits[5] > 8 * waits[0], "{waits:?}");
    assert_eq!(dials.next_due(now), Some(0));
    dials.link_up(0, now);
    dials.link_down(0, now + 3_000_000);
    assert!(dials.next_due_at().unwrap() - now - 3_000_000 <= 50_000, "it stood: soon again");
}
