//! A holder's renewals at voters that come and go.
use basaltpitch_lease::member::{Call, Member};
use basaltpitch_lease::voter::Voter;
use basaltpitch_lease::Terms;

const TERMS: Terms = Terms { term: 1000, drift: 50 };

struct Council {
    now: i64,
    voters: Vec<Option<Voter<u8, u8>>>,
    member: Member<u8>,
}

impl Council {
    /// Lets time pass in small steps; every asking is answered at once by the voters that are there.
    fn pass(&mut self, time: i64) {
        for _ in 0..time / 10 {
            self.now += 10;
            self.member.clock(self.now);
            while let Some(call) = self.member.next_call() {
                if let Call::Ask { duty, token, round, note, .. } = call {
                    for (v, voter) in self.voters.iter_mut().enumerate() {
                        let Some(voter) = voter else { continue };
                        let answer = voter.asked(self.now, &duty, &1, token, note.clone());
                        self.member.answered(self.now, v, &duty, round, answer);
                    }
                }
            }
        }
    }

    fn hears(&mut self, v: usize, from: usize) {
        let other = self.voters[from].as_ref().expect("it is there");
        let (whole, told) = (other.is_whole(), other.told());
        self.voters[v].as_mut().expect("it is there").learnt(from, whole, told);
    }
}

/// Trouble that a drill of the council showed: a voter that had lost its state knew the token from the others
/// and refused the holder of that very token for ever, so that the next voter's death cost the seat.
#[test]
fn a_voter_that_lost_its_state_votes_for_a_holder_of_before() {
    let voters = vec![Some(Voter::new(TERMS, 0)); 3];
    let mut c = Council { now: 0, voters, member: Member::new(TERMS, 3, 7, 1) };
    c.member.want(0, 9);
    c.pass(3000);
    let token = c.member.holds(c.now, &9).expect("it holds");
    c.voters[0] = Some(Voter::lost(TERMS, c.now, 3));
    c.hears(0, 1);
    c.hears(0, 2);
    c.pass(3000);
    c.voters[1] = None;
    c.pass(3000);
    assert_eq!(
        c.member.holds(c.now, &9),
        Some(token),
        "held on with the one that lost its state and the third"
    );
}

/// One that only tried is not a holder: what it had of a vote is not learnt.
#[test]
fn a_voter_learns_no_asker_that_never_held() {
    let mut one: Voter<u8, u8> = Voter::new(TERMS, 0);
    one.asked(0, &9, &1, 5, None);
    let mut lost = Voter::lost(TERMS, 0, 3);
    lost.learnt(1, true, one.told());
    lost.learnt(2, true, Vec::new());
    assert_eq!(lost.kept_of(&9).map(|k| (k.token, k.holder)), Some((5, None)));
    one.asked(10, &9, &1, 5, None);
    let mut lost = Voter::lost(TERMS, 0, 3);
    lost.learnt(1, true, one.told());
    assert_eq!(lost.kept_of(&9).map(|k| (k.token, k.holder)), Some((5, Some(1))));
    let mut newer: Voter<u8, u8> = Voter::new(TERMS, 0);
    newer.asked(0, &9, &2, 6, None);
    lost.learnt(2, true, newer.told());
    assert_eq!(
        lost.kept_of(&9).map(|k| (k.token, k.holder)),
        Some((6, None)),
        "a newer token, held by nobody yet"
    );
}
