//! Which server is swept when, and what state the directory is in.
use super::*;

const S: i64 = 1_000_000;

#[test]
fn servers_are_tried_in_order_and_a_failing_one_waits() {
    let mut h = SyncScheduler::new(1, 0, 3, None, DEFAULT_SYNC_SCHEDULE);
    let mut tried = Vec::new();
    for now in 0..4 {
        let server = h.next(now * S / 10);
        tried.push(server);
        h.ended(now * S / 10, SyncOutcome::Failed);
    }
    assert_eq!(tried, [Some(0), Some(1), Some(2), None]);
    assert_eq!(h.state(S), DirectoryState::Blind);
    assert!(h.next_at() > 3 * S / 10 && h.next_at() <= 3 * S);
}

#[test]
fn a_slow_server_is_left_for_a_fast_one() {
    let mut h = SyncScheduler::new(1, 0, 2, None, DEFAULT_SYNC_SCHEDULE);
    assert_eq!(h.next(0), Some(0));
    h.ended(S, SyncOutcome::Failed);
    assert_eq!(h.next(S), Some(1));
    h.ended(2 * S, SyncOutcome::Full);
    // The second becomes slow once the first, which works again, is known to be fast.
    h.servers[0] = Server { took_us: Some(S / 10), ..Server::default() };
    assert_eq!(h.next(40 * S), Some(0));
}

#[test]
fn fresh_then_stale_then_recovering_then_fresh() {
    let mut h = SyncScheduler::new(1, 0, 1, Some(-200 * S), DEFAULT_SYNC_SCHEDULE);
    assert_eq!(h.state(0), DirectoryState::Stale, "what was remembered over a restart");
    assert_eq!(h.next(0), Some(0));
    h.answered();
    assert_eq!(h.state(1), DirectoryState::Recovering);
    h.ended(2, SyncOutcome::Partial);
    assert_eq!(h.state(2), DirectoryState::Recovering, "not all of it came");
    let at = h.next_at();
    assert_eq!(h.next(at), Some(0));
    h.ended(at, SyncOutcome::Full);
    assert_eq!(
        (h.state(at), h.state(at + DEFAULT_SYNC_SCHEDULE.fresh_us)),
        (DirectoryState::Fresh, DirectoryState::Stale)
    );
}

#[test]
fn a_sweep_that_hangs_is_given_up() {
    let mut h = SyncScheduler::new(1, 0, 2, None, DEFAULT_SYNC_SCHEDULE);
    assert_eq!(h.next(0), Some(0));
    assert_eq!(h.next_at(), DEFAULT_SYNC_SCHEDULE.patience_us);
    assert_eq!(h.next(DEFAULT_SYNC_SCHEDULE.patience_us), Some(1));
}
