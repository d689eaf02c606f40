//! Every state that three voters, two members and one duty can reach within stated bounds, with frames
//! lost, late and overtaken, members that pause, clocks that differ, and a voter that starts again with and
//! without what it kept. At no moment do two members hold the duty by their own clocks, tokens rise, and
//! where the duty takes effect no act of an older holder follows one of a newer.
//!
//! A frame comes at once, or is one of a bounded number that are late: those come at any time after, or
//! never. A member that does not look at the clock pauses. As voters differ in nothing, the one that starts
//! again and the one whose clock is late is the first.
use basaltpitch_lease::member::{Call, Member};
use basaltpitch_lease::voter::Voter;
use basaltpitch_lease::{Answer, Terms};
use pathfinding::directed::bfs::bfs_reach;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

const VOTERS: usize = 3;
const MEMBERS: usize = 2;
const DUTY: u8 = 0;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Frame {
    Ask { member: usize, token: u64, round: u64, to: usize },
    Back { member: usize, token: u64, to: usize },
    Answer { voter: usize, round: u64, to: usize, answer: Answer },
    Act { token: u64 },
}

/// What is taken away from the council, to see that the check notices it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Without {
    Nothing,
    Drift,
    Wait,
    Learning,
    Votes,
    Fence,
}

/// How far a search goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bounds {
    /// A term, in ticks; the drift is one tick.
    term: i64,
    ticks: i64,
    rounds: [u64; MEMBERS],
    /// Frames that are late or lost.
    late: u32,
    /// One clock of all falls behind by a tick, at any time.
    clocks: bool,
    /// The first voter starts again so often, at any time.
    restarts: u32,
    /// What is late comes any number of times.
    doubled: bool,
    /// Members act, at any time after they looked whether they may.
    acts: bool,
}

const PLAIN: Bounds = Bounds {
    term: 3,
    ticks: 5,
    rounds: [2, 2],
    late: 1,
    clocks: false,
    restarts: 0,
    doubled: false,
    acts: false,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    without: Without,
    bounds: Bounds,
    now: i64,
    /// The clock that is a tick behind: a voter's, or after those a member's.
    behind: Option<usize>,
    // Shared among worlds, as a step changes one of them.
    voters: [Rc<Voter<u8, usize>>; VOTERS],
    members: [Rc<Member<u8>>; MEMBERS],
    net: Rc<BTreeSet<Frame>>,
    /// Frames that are on their way at this moment; none in a state that is visited.
    flying: VecDeque<Frame>,
    late: u32,
    asked: [u64; MEMBERS],
    restarted: u32,
    /// The highest token that was won, and that acted; what is wrong, if anything.
    won: u64,
    acted: u64,
    wrong: Option<&'static str>,
}

impl World {
    fn new(without: Without, bounds: Bounds) -> Self {
        let mut w = World {
            without,
            bounds,
            now: 0,
            behind: None,
            voters: [0; VOTERS].map(|_| Rc::new(Voter::new(Terms { term: 1, drift: 1 }, 0))),
            members: [0; MEMBERS].map(|_| Rc::new(Member::new(Terms { term: 1, drift: 1 }, VOTERS, 1, 0))),
            net: Rc::default(),
            flying: VecDeque::new(),
            late: 0,
            asked: [0; MEMBERS],
            restarted: 0,
            won: 0,
            acted: 0,
            wrong: None,
        };
        let mut member = Member::new(w.terms(), VOTERS, 1, 0);
        member.want(0, DUTY);
        w.members = [0; MEMBERS].map(|_| Rc::new(member.clone()));
        w.voters = [0; VOTERS].map(|_| Rc::new(Voter::new(w.terms(), 0)));
        w
    }

    fn terms(&self) -> Terms {
        Terms { term: self.bounds.term, drift: i64::from(self.without != Without::Drift) }
    }

    fn clock(&self, process: usize) -> i64 {
        self.now - i64::from(self.behind == Some(process))
    }

    fn holds(&self, m: usize) -> Option<u64> {
        self.members[m].holds(self.clock(VOTERS + m), &DUTY)
    }

    /// What members called is on its way.
    fn called(&mut self, m: usize) {
        while let Some(call) = Rc::make_mut(&mut self.members[m]).next_call() {
            match call {
                Call::Ask { token, round, .. } => {
                    self.asked[m] += 1;
                    self.flying.extend((0..VOTERS).map(|to| Frame::Ask { member: m, token, round, to }));
                    // What was said of a round before says nothing any more.
                    Rc::make_mut(&mut self.net)
                        .retain(|f| !matches!(f, Frame::Answer { to, .. } if *to == m));
                }
                Call::GiveBack { token, .. } => {
                    self.flying.extend((0..VOTERS).map(|to| Frame::Back { member: m, token, to }));
                }
                Call::Won { token, .. } => {
                    if token <= self.won {
                        self.wrong = Some("a token is not above the one before");
                    }
                    self.won = token;
                }
                Call::Lost { .. } | Call::Recorded { .. } => {}
            }
        }
    }

    /// Each frame on its way arrives, or is late.
    fn settle(mut self, all: &mut Vec<World>) {
        while let Some(frame) = self.flying.pop_front() {
            if self.late < self.bounds.late {
                let mut w = World { late: self.late + 1, ..self.clone() };
                Rc::make_mut(&mut w.net).insert(frame.clone());
                w.settle(all);
            }
            self.arrives(&frame);
        }
        all.push(self);
    }

    fn arrives(&mut self, frame: &Frame) {
        match frame {
            Frame::Ask { member, token, round, to } => {
                let now = self.clock(*to);
                let voter = Rc::make_mut(&mut self.voters[*to]);
                let answer = voter.asked(now, &DUTY, member, *token, None);
                if *round == self.asked[*member] {
                    let answer = Frame::Answer { voter: *to, round: *round, to: *member, answer };
                    self.flying.push_back(answer);
                }
            }
            Frame::Back { member, token, to } => {
                Rc::make_mut(&mut self.voters[*to]).given_back(&DUTY, member, *token);
            }
            Frame::Answer { voter, round, to, answer } => {
                let now = self.clock(VOTERS + to);
                let member = Rc::make_mut(&mut self.members[*to]);
                member.answered(now, *voter, &DUTY, *round, answer.clone());
                self.called(*to);
            }
            Frame::Act { token } => {
                // The fence: a token under the highest that acted is refused.
                if *token < self.acted && self.without == Without::Fence {
                    self.wrong = Some("an older holder acted after a newer one");
                }
                self.acted = self.acted.max(*token);
            }
        }
    }

    fn next(&self) -> Vec<World> {
        let mut all = Vec::new();
        if self.now < self.bounds.ticks {
            let tick = World { now: self.now + 1, ..self.clone() };
            if self.bounds.clocks && self.behind.is_none() {
                let late = [0, VOTERS, VOTERS + 1];
                all.extend(late.map(|i| World { behind: Some(i), ..tick.clone() }));
            }
            all.push(tick);
        }
        for m in 0..MEMBERS {
            if self.asked[m] < self.bounds.rounds[m] {
                let mut w = self.clone();
                Rc::make_mut(&mut w.members[m]).clock(self.clock(VOTERS + m));
                w.called(m);
                w.settle(&mut all);
            }
            if let Some(token) = self.holds(m).filter(|_| self.bounds.acts) {
                let mut w = self.clone();
                Rc::make_mut(&mut w.net).insert(Frame::Act { token });
                all.push(w);
            }
        }
        for frame in self.net.iter() {
            let mut w = self.clone();
            if !self.bounds.doubled {
                Rc::make_mut(&mut w.net).remove(frame);
            }
            w.arrives(frame);
            w.settle(&mut all);
        }
        let first = &self.voters[0];
        if self.restarted < self.bounds.restarts {
            let kept = first.kept().map(|(d, k)| (*d, k.clone()));
            let lost = match self.without {
                Without::Wait => Voter::lost(Terms { term: 0, drift: 0 }, self.clock(0), VOTERS),
                Without::Learning => Voter::lost(self.terms(), self.clock(0), 1),
                _ => Voter::lost(self.terms(), self.clock(0), VOTERS),
            };
            // What a life keeps counts from when it votes.
            let votes = first.votes(self.clock(0)) || self.without == Without::Votes;
            let restored = votes.then(|| Voter::restored(self.terms(), self.clock(0), kept));
            for voter in restored.into_iter().chain([lost]) {
                let mut w = World { restarted: self.restarted + 1, ..self.clone() };
                w.voters[0] = Rc::new(voter);
                all.push(w);
            }
        }
        if !first.is_whole() {
            for other in 1..VOTERS {
                let mut w = self.clone();
                let kept = self.voters[other].told();
                Rc::make_mut(&mut w.voters[0]).learnt(other, true, kept);
                all.push(w);
            }
        }
        all
    }

    fn wrong(&self) -> Option<&'static str> {
        let both = self.holds(0).is_some() && self.holds(1).is_some();
        both.then_some("two members hold the duty").or(self.wrong)
    }
}

/// The number of states, or what is wrong in the first state in which something is.
fn explore(without: Without, bounds: Bounds) -> Result<usize, &'static str> {
    let mut states = 0;
    for world in bfs_reach(World::new(without, bounds), World::next) {
        states += 1;
        if let Some(why) = world.wrong() {
            return Err(why);
        }
    }
    Ok(states)
}

const LATE: Bounds = Bounds { rounds: [2, 1], late: 2, ..PLAIN };
const DOUBLED: Bounds = Bounds { rounds: [1, 1], late: 2, doubled: true, ..PLAIN };
const CLOCKS: Bounds = Bounds { clocks: true, ..PLAIN };
const RENEWS: Bounds = Bounds { rounds: [3, 2], ..PLAIN };
const RESTARTS: Bounds = Bounds { restarts: 1, ticks: 6, late: 0, ..PLAIN };
const BOTH: Bounds = Bounds { rounds: [1, 2], clocks: true, ..RESTARTS };
const LOST: Bounds = Bounds { rounds: [1, 1], late: 1, ..RESTARTS };
const TWICE: Bounds = Bounds { restarts: 2, rounds: [1, 2], ticks: 4, ..RESTARTS };
const ACTS: Bounds = Bounds { rounds: [1, 2], acts: true, ..PLAIN };

#[test]
fn no_two_members_hold_a_duty_in_any_state() {
    for bounds in [LATE, DOUBLED, CLOCKS, RENEWS, RESTARTS, BOTH, LOST, TWICE, ACTS] {
        let states = explore(Without::Nothing, bounds);
        assert!(states.is_ok(), "{states:?} within {bounds:?}");
    }
}

#[test]
fn the_check_notices_what_is_missing() {
    assert_eq!(explore(Without::Drift, CLOCKS), Err("two members hold the duty"));
    assert_eq!(explore(Without::Wait, Bounds { rounds: [1, 2], ..LOST }), Err("two members hold the duty"));
    assert_eq!(explore(Without::Learning, LOST), Err("a token is not above the one before"));
    assert_eq!(explore(Without::Votes, Bounds { late: 1, ..TWICE }), Err("two members hold the duty"));
    assert_eq!(explore(Without::Fence, ACTS), Err("an older holder acted after a newer one"));
}
