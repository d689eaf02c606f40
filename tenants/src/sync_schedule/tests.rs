//! Choice of the server, backoff, and the state of the directory.
use super::*;

/// One second in microseconds.
const SECOND: i64 = 1_000_000;

#[test]
fn tries_servers_in_order_and_backs_off_after_failures() {
    let mut scheduler = SyncScheduler::new(1, 0, 3, None, DEFAULT_SYNC_SCHEDULE);
    let mut tried = Vec::new();
    for now in 0..4 {
        let server = scheduler.next(now * SECOND / 10);
        tried.push(server);
        scheduler.ended(now * SECOND / 10, SyncOutcome::Failed);
    }
    assert_eq!(tried, [Some(0), Some(1), Some(2), None]);
    assert_eq!(scheduler.state(SECOND), DirectoryState::Blind);
    assert!(scheduler.next_at() > 3 * SECOND / 10 && scheduler.next_at() <= 3 * SECOND);
}

#[test]
fn replaces_slow_server_by_a_much_faster_one() {
    let mut scheduler = SyncScheduler::new(1, 0, 2, None, DEFAULT_SYNC_SCHEDULE);
    assert_eq!(scheduler.next(0), Some(0));
    scheduler.ended(SECOND, SyncOutcome::Failed);
    assert_eq!(scheduler.next(SECOND), Some(1));
    scheduler.ended(2 * SECOND, SyncOutcome::Full);
    // Server 0 works again and took a tenth of the time that server 1 takes.
    scheduler.servers[0] = Server { mean_us: Some(SECOND / 10), ..Server::default() };
    assert_eq!(scheduler.next(40 * SECOND), Some(0));
}

#[test]
fn state_goes_from_stale_over_recovering_to_fresh_and_back_to_stale() {
    let mut scheduler = SyncScheduler::new(1, 0, 1, Some(-200 * SECOND), DEFAULT_SYNC_SCHEDULE);
    assert_eq!(scheduler.state(0), DirectoryState::Stale, "an old snapshot, restored after a restart");
    assert_eq!(scheduler.next(0), Some(0));
    scheduler.first_page_received();
    assert_eq!(scheduler.state(1), DirectoryState::Recovering);
    scheduler.ended(2, SyncOutcome::Partial);
    assert_eq!(scheduler.state(2), DirectoryState::Recovering, "only a part was received");
    let at = scheduler.next_at();
    assert_eq!(scheduler.next(at), Some(0));
    scheduler.ended(at, SyncOutcome::Full);
    assert_eq!(
        (scheduler.state(at), scheduler.state(at + DEFAULT_SYNC_SCHEDULE.stale_after_us)),
        (DirectoryState::Fresh, DirectoryState::Stale)
    );
}

#[test]
fn fails_a_synchronization_that_times_out_and_tries_the_next_server() {
    let mut scheduler = SyncScheduler::new(1, 0, 2, None, DEFAULT_SYNC_SCHEDULE);
    assert_eq!(scheduler.next(0), Some(0));
    assert_eq!(scheduler.next_at(), DEFAULT_SYNC_SCHEDULE.timeout_us);
    assert_eq!(scheduler.next(DEFAULT_SYNC_SCHEDULE.timeout_us), Some(1));
}
