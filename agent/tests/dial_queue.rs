//! Schedule of connection attempts: limited over all peers, and with a backoff that grows with each
//! failure of a peer. The clock is simulated.
use basaltpitch_agent::dial_queue::{DialConfig, DialQueue};

/// A switch failure makes all attempts to a thousand peers fail for ten seconds. Guards against a
/// storm of attempts to all peers at once.
#[test]
fn limits_attempts_per_second_when_all_peers_fail() {
    let mut queue = DialQueue::new(3, 0, DialConfig::DEFAULT);
    (0..1000).for_each(|peer| queue.add(peer, 0));
    let (mut times, mut now) = (Vec::new(), 0);
    while now < 10_000_000 {
        while let Some(peer) = queue.next_due(now) {
            times.push(now);
            queue.link_down(peer, now);
        }
        now = queue.next_due_at().unwrap().max(now + 1);
    }
    for (i, &at) in times.iter().enumerate() {
        let attempts = times[i..].iter().take_while(|&&t| t < at + 1_000_000).count();
        assert!(attempts <= 250, "{attempts} attempts in the second from {at} us");
    }
    assert!(
        times.len() > 1500,
        "expected over 1500 attempts, so that the limit is reached; found {}",
        times.len()
    );
}

#[test]
fn short_lived_link_does_not_reset_backoff() {
    let mut queue = DialQueue::new(3, 0, DialConfig::DEFAULT);
    queue.add(0, 0);
    let (mut now, mut backoffs) = (0, Vec::new());
    for _ in 0..6 {
        assert_eq!(queue.next_due(now), Some(0));
        queue.link_up(0, now);
        queue.link_down(0, now + 1000);
        backoffs.push(queue.next_due_at().unwrap() - now);
        now = queue.next_due_at().unwrap();
    }
    assert!(
        backoffs.windows(2).all(|pair| pair[1] > pair[0] / 2) && backoffs[5] > 8 * backoffs[0],
        "{backoffs:?}"
    );
    assert_eq!(queue.next_due(now), Some(0));
    queue.link_up(0, now);
    queue.link_down(0, now + 3_000_000);
    assert!(queue.next_due_at().unwrap() - now - 3_000_000 <= 50_000, "a stable link resets the backoff");
}
