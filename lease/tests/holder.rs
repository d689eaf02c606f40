//! Tests of a holder's renewals while voters stop, lose their state and recover it.
use basaltpitch_lease::client::{LeaseAction, LeaseClient};
use basaltpitch_lease::voter::Voter;
use basaltpitch_lease::LeaseConfig;

const CONFIG: LeaseConfig = LeaseConfig { duration_us: 1000, clock_drift_us: 50 };

struct Quorum {
    now: i64,
    voters: Vec<Option<Voter<u8, u8>>>,
    client: LeaseClient<u8>,
}

impl Quorum {
    /// Lets time pass in steps of 10 us; every running voter replies to every request at once.
    fn run_for(&mut self, time_us: i64) {
        for _ in 0..time_us / 10 {
            self.now += 10;
            self.client.advance(self.now);
            while let Some(action) = self.client.next_action() {
                if let LeaseAction::RequestVotes { lease, token, round, metadata, .. } = action {
                    for (index, voter) in self.voters.iter_mut().enumerate() {
                        let Some(voter) = voter else { continue };
                        let reply = voter.request_vote(self.now, &lease, &1, token, metadata.clone());
                        self.client.on_vote_reply(self.now, index, &lease, round, reply);
                    }
                }
            }
        }
    }

    fn recover(&mut self, recovering: usize, other: usize) {
        let from = self.voters[other].as_ref().expect("the voter runs");
        let (is_complete, votes) = (from.is_complete(), from.votes_for_recovery());
        self.voters[recovering].as_mut().expect("the voter runs").recover_from(other, is_complete, votes);
    }
}

/// Guards against a voter that, after losing its state, learned the token from the other voters but
/// not its holder. It refused the renewals of that holder for ever, so the next failure of a voter
/// cost the holder its slot.
#[test]
fn recovered_voter_votes_for_the_holder_from_before_the_loss() {
    let voters = vec![Some(Voter::new(CONFIG, 0)); 3];
    let mut quorum = Quorum { now: 0, voters, client: LeaseClient::new(CONFIG, 3, 7, 1) };
    quorum.client.acquire(0, 9);
    quorum.run_for(3000);
    let token = quorum.client.held_token(quorum.now, &9).expect("the client holds the lease");
    quorum.voters[0] = Some(Voter::without_state(CONFIG, quorum.now, 3));
    quorum.recover(0, 1);
    quorum.recover(0, 2);
    quorum.run_for(3000);
    quorum.voters[1] = None;
    quorum.run_for(3000);
    assert_eq!(
        quorum.client.held_token(quorum.now, &9),
        Some(token),
        "the lease is renewed by the recovered voter and the third one"
    );
}

/// A client that requested a lease but never held it is not a holder, so a recovering voter learns
/// its token but not its name.
#[test]
fn recovery_omits_clients_that_never_held_the_lease() {
    let mut running: Voter<u8, u8> = Voter::new(CONFIG, 0);
    running.request_vote(0, &9, &1, 5, None);
    let mut recovering = Voter::without_state(CONFIG, 0, 3);
    recovering.recover_from(1, true, running.votes_for_recovery());
    recovering.recover_from(2, true, Vec::new());
    assert_eq!(recovering.stored_vote(&9).map(|vote| (vote.token, vote.holder)), Some((5, None)));
    running.request_vote(10, &9, &1, 5, None);
    let mut recovering = Voter::without_state(CONFIG, 0, 3);
    recovering.recover_from(1, true, running.votes_for_recovery());
    assert_eq!(recovering.stored_vote(&9).map(|vote| (vote.token, vote.holder)), Some((5, Some(1))));
    let mut newer: Voter<u8, u8> = Voter::new(CONFIG, 0);
    newer.request_vote(0, &9, &2, 6, None);
    recovering.recover_from(2, true, newer.votes_for_recovery());
    assert_eq!(
        recovering.stored_vote(&9).map(|vote| (vote.token, vote.holder)),
        Some((6, None)),
        "a newer token without a known holder"
    );
}
