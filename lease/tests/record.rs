//! Every state that a voter's record, one that asks for it, and the frames between them can reach within
//! stated bounds: duties that change, frames lost, late, overtaken and doubled, answers that are not taken
//! in, terms that lapse, and a voter that starts again with and without what it kept. What is told never goes back, and in
//! every state one undisturbed question is enough for the asker to know all that the voter keeps.
use basaltpitch_lease::record::{Have, Holders, Known, Revisions, Said};
use basaltpitch_lease::voter::Kept;
use basaltpitch_lease::Note;
use pathfinding::directed::bfs::bfs_reach;
use std::collections::{BTreeMap, BTreeSet};

/// Voter and part of the record: there is one of each.
const VOTER: usize = 0;
const PART: &str = "planner-";

/// What an answer says of a duty: token, number of its note.
type Named = BTreeMap<u8, (u64, u64)>;
/// The voter's time: terms that lapsed ended at 0, all others last.
const NOW: i64 = 0;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Frame {
    Ask(Have),
    /// With those of the named that are held.
    Answer(Said, Named, BTreeSet<u8>),
}

/// What is taken away, to see that the check notices it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Without {
    Nothing,
    /// The voter goes by the revision alone.
    Life,
    /// The asker has the revision of an answer that was not taken in.
    Taken,
    /// The asker does not look whether it has what an answer goes on from.
    Since,
    /// What is told is not compared with what was told before.
    News,
    /// That a term lapsed is no change.
    Lapse,
    /// Who holds what is taken from an answer whose revision is not.
    Together,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bounds {
    duties: u8,
    changes: u32,
    asks: u32,
    restarts: u32,
    /// The asker begins anew with nothing so often, and its frames still come.
    anew: u32,
    /// Frames stay on their way however often they came.
    doubled: bool,
}

const PLAIN: Bounds = Bounds { duties: 2, changes: 3, asks: 3, restarts: 1, anew: 0, doubled: false };

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    without: Without,
    bounds: Bounds,
    kept: BTreeMap<u8, Kept<u8>>,
    revisions: Revisions<u8>,
    known: Known<&'static str, u8>,
    holders: Holders<u8>,
    /// What was told last of each duty.
    told: Named,
    net: BTreeSet<Frame>,
    changes: u32,
    asks: u32,
    restarts: u32,
    anew: u32,
    went_back: bool,
}

impl World {
    fn new(without: Without, bounds: Bounds) -> Self {
        World {
            without,
            bounds,
            kept: BTreeMap::new(),
            revisions: Revisions::new(1),
            known: Known::default(),
            holders: Holders::default(),
            told: Named::new(),
            net: BTreeSet::new(),
            changes: 0,
            asks: 0,
            restarts: 0,
            anew: 0,
            went_back: false,
        }
    }

    fn answer(&mut self, mut has: Have) -> Frame {
        let now = if self.without == Without::Lapse { NOW - 1 } else { NOW };
        if self.without == Without::Life && has.life != 0 {
            has.life = self.revisions.answer(now, Have::default(), self.kept.iter()).to.life;
        }
        let said = self.revisions.answer(now, has, self.kept.iter());
        let named = || self.kept.iter().filter(|(duty, _)| self.revisions.names(&said, duty));
        let held = named().filter(|(_, k)| NOW < k.until).map(|(duty, _)| *duty).collect();
        let named = named().map(|(duty, k)| (*duty, (k.token, k.note.number))).collect();
        Frame::Answer(said, named, held)
    }

    /// An answer comes, and what it brings is taken in or not.
    fn hears(&mut self, said: &Said, named: &Named, held: &BTreeSet<u8>, takes: bool) {
        let has = self.known.has(VOTER, &PART);
        let counts = match self.without {
            Without::Life => true,
            Without::Since => said.to.life == has.life || said.since == 0,
            _ => self.known.counts(VOTER, &PART, said),
        };
        if !counts {
            return;
        }
        let is_news =
            |(duty, of): &(&u8, &(u64, u64))| self.without == Without::News || self.known.is_news(duty, **of);
        let news: Named = named.iter().filter(is_news).map(|(duty, of)| (*duty, *of)).collect();
        if takes {
            let older = |(duty, of): (&u8, &(u64, u64))| self.told.get(duty).is_some_and(|told| of < told);
            self.went_back |= news.iter().any(older);
            self.told.extend(news.clone());
            self.holders.told(VOTER, said, named.keys().map(|duty| (*duty, held.contains(duty))));
            self.known.took(VOTER, &PART, said, news);
        } else if self.without == Without::Together {
            self.holders.told(VOTER, said, named.keys().map(|duty| (*duty, held.contains(duty))));
        } else if self.without == Without::Taken {
            self.known.took(VOTER, &PART, said, []);
        }
    }

    fn next(&self) -> Vec<World> {
        let mut all = Vec::new();
        if self.changes < self.bounds.changes {
            for duty in 0..self.bounds.duties {
                // Another holder, or another note of the one there is.
                let mut token = self.clone();
                token.changes += 1;
                let mut note = token.clone();
                let k = token.kept.entry(duty).or_default();
                k.token += 1;
                (k.holder, k.renewed, k.note) = (Some(0), true, Note { token: k.token, ..Note::default() });
                k.until = NOW + 1;
                all.push(token);
                let mut lapsed = note.clone();
                if let Some(k) = note.kept.get_mut(&duty) {
                    k.note.number += 1;
                    all.push(note);
                }
                if let Some(k) = lapsed.kept.get_mut(&duty).filter(|k| NOW < k.until) {
                    k.until = NOW;
                    all.push(lapsed);
                }
            }
        }
        if self.asks < self.bounds.asks {
            let mut w = World { asks: self.asks + 1, ..self.clone() };
            w.net.insert(Frame::Ask(self.known.has(VOTER, &PART)));
            all.push(w);
        }
        if self.restarts < self.bounds.restarts {
            let life = u64::from(self.restarts) + 2;
            for kept in [self.kept.clone(), BTreeMap::new()] {
                let revisions = Revisions::new(life);
                all.push(World { restarts: self.restarts + 1, kept, revisions, ..self.clone() });
            }
        }
        if self.anew < self.bounds.anew {
            let (known, told, holders) = (Known::default(), Named::new(), Holders::default());
            all.push(World { anew: self.anew + 1, known, told, holders, ..self.clone() });
        }
        for frame in &self.net {
            let mut w = self.clone();
            if !self.bounds.doubled {
                w.net.remove(frame);
                // Lost, or never to come.
                all.push(w.clone());
            }
            match frame {
                Frame::Ask(has) => {
                    let answer = w.answer(*has);
                    w.net.insert(answer);
                    all.push(w);
                }
                Frame::Answer(said, named, held) => {
                    for takes in [true, false] {
                        let mut w = w.clone();
                        w.hears(said, named, held, takes);
                        all.push(w);
                    }
                }
            }
        }
        all
    }

    fn wrong(&self) -> Option<&'static str> {
        if self.went_back {
            return Some("something older was told");
        }
        let mut w = self.clone();
        if let Frame::Answer(said, named, held) = w.answer(w.known.has(VOTER, &PART)) {
            w.hears(&said, &named, &held, true);
        }
        let knows =
            |(duty, k): (&u8, &Kept<u8>)| w.told.get(duty).is_some_and(|t| *t >= (k.token, k.note.number));
        if !w.kept.iter().all(knows) {
            return Some("something is never told");
        }
        let holds: BTreeSet<u8> =
            w.kept.iter().filter(|(_, k)| NOW < k.until).map(|(duty, _)| *duty).collect();
        // What the other guards are for shows in what is told, if not as early.
        let looks = matches!(self.without, Without::Nothing | Without::Lapse | Without::Together);
        (looks && !w.holders.of(VOTER).eq(&holds)).then_some("who holds what is not known")
    }
}

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

const THREE: Bounds = Bounds { duties: 3, changes: 3, asks: 2, ..PLAIN };
const TWICE: Bounds = Bounds { changes: 2, restarts: 2, ..PLAIN };
const ANEW: Bounds = Bounds { changes: 2, restarts: 0, anew: 1, ..PLAIN };
const DOUBLED: Bounds = Bounds { changes: 2, asks: 2, anew: 1, doubled: true, ..PLAIN };

#[test]
fn in_every_state_a_question_is_enough_and_nothing_older_is_told() {
    for bounds in [PLAIN, THREE, TWICE, ANEW, DOUBLED] {
        let states = explore(Without::Nothing, bounds);
        println!("{states:?} states within {bounds:?}");
        assert!(states.is_ok(), "{states:?} within {bounds:?}");
    }
}

#[test]
fn the_check_notices_what_is_missing() {
    assert_eq!(explore(Without::Life, PLAIN), Err("something is never told"));
    assert_eq!(explore(Without::Taken, PLAIN), Err("something is never told"));
    assert_eq!(explore(Without::Since, ANEW), Err("something is never told"));
    assert_eq!(explore(Without::News, PLAIN), Err("something older was told"));
    assert_eq!(explore(Without::Together, PLAIN), Err("who holds what is not known"));
    assert_eq!(explore(Without::Lapse, PLAIN), Err("who holds what is not known"));
}
