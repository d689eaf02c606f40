//! A holder's renewals at voters that come and go.
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
    /// Lets time pass in small steps; every request is replied to at once by the voters that are there.
    fn pass(&mut self, time_us: i64) {
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

    fn recover(&mut self, lost: usize, other: usize) {
        let from = self.voters[other].as_ref().expect("it is there");
        let (is_complete, votes) = (from.is_complete(), from.votes_for_recovery());
        self.voters[lost].as_mut().expect("it is there").recover_from(other, is_complete, votes);
    }
}

/// A fault that a drill showed: a voter that had lost its state knew the token from the others
/// and refused the holder of that very token for ever, so that the next voter's death cost the slot.
#[test]
fn a_voter_that_lost_its_state_votes_for_a_holder_of_before() {
    let voters = vec![Some(Voter::new(CONFIG, 0)); 3];
    let mut quorum = Quorum { now: 0, voters, client: LeaseClient::new(CONFIG, 3, 7, 1) };
    quorum.client.acquire(0, 9);
    quorum.pass(3000);
    let token = quorum.client.held_token(quorum.now, &9).expect("it holds");
    quorum.voters[0] = Some(Voter::without_state(CONFIG, quorum.now, 3));
    quorum.recover(0, 1);
    quorum.recover(0, 2);
    quorum.pass(3000);
    quorum.voters[1] = None;
    quorum.pass(3000);
    assert_eq!(
        quorum.client.held_token(quorum.now, &9),
        Some(token),
        "held on with the one that lost its state and the third"
    );
}

/// One that only tried is not a holder: what it had of a vote is not recovered.
#[test]
fn a_voter_recovers_no_client_that_never_held() {
    let mut one: Voter<u8, u8> = Voter::new(CONFIG, 0);
    one.request_vote(0, &9, &1, 5, None);
    let mut lost = Voter::without_state(CONFIG, 0, 3);
    lost.recover_from(1, true, one.votes_for_recovery());
    lost.recover_from(2, true, Vec::new());
    assert_eq!(lost.stored_vote(&9).map(|vote| (vote.token, vote.holder)), Some((5, None)));
    one.request_vote(10, &9, &1, 5, None);
    let mut lost = Voter::without_state(CONFIG, 0, 3);
    lost.recover_from(1, true, one.votes_for_recovery());
    assert_eq!(lost.stored_vote(&9).map(|vote| (vote.token, vote.holder)), Some((5, Some(1))));
    let mut newer: Voter<u8, u8> = Voter::new(CONFIG, 0);
    newer.request_vote(0, &9, &2, 6, None);
    lost.recover_from(2, true, newer.votes_for_recovery());
    assert_eq!(
        lost.stored_vote(&9).map(|vote| (vote.token, vote.holder)),
        Some((6, None)),
        "a newer token, held by nobody yet"
    );
}
