//! What a voter keeps, told by what changed. A voter numbers the changes of its record with a revision of its
//! own life; who asks says which life and revision it has, and gets the duties that changed since, or all
//! of them where that life is not known. Revisions of two voters have nothing to do with each other, so an
//! asker keeps one for each.
//!
//! Why nothing is missed: an answer names the revision from which on it tells, and the one that it brings to;
//! it counts only where the asker has the first, and the second is had only once all of it was taken in. A
//! doubled or late answer brings nothing new, or is one of a life that is over, with which the voter is asked
//! for all again. Why nothing older is told: of each duty what was told last is kept, and only what is above
//! it is news, whichever voter says it.
use crate::voter::Kept;
use std::collections::{BTreeMap, BTreeSet};

/// The life of a voter, by the time of its start, and the revision of its record there. 0: none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Have {
    pub life: u64,
    pub revision: u64,
}

/// How an answer tells: from after which revision on, and what it brings to. `since` 0: all is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Said {
    pub since: u64,
    pub to: Have,
}

/// What counts as a change: that a term lapsed, not that a holder renewed it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Face {
    token: u64,
    held: bool,
    renewed: bool,
    note: (u64, u64),
}

/// A voter's side: at which revision each duty changed last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Revisions<D> {
    now: Have,
    changed: BTreeMap<D, (Face, u64)>,
}

impl<D: Ord + Clone> Revisions<D> {
    /// `life` is over 0, and another at each start of the voter.
    pub fn new(life: u64) -> Self {
        Revisions { now: Have { life, revision: 1 }, changed: BTreeMap::new() }
    }

    /// How to answer who has this, of a record that is kept like this now.
    pub fn answer<'a, M: 'a>(
        &mut self,
        now: i64,
        has: Have,
        kept: impl Iterator<Item = (&'a D, &'a Kept<M>)>,
    ) -> Said
    where
        D: 'a,
    {
        let next = self.now.revision + 1;
        for (duty, k) in kept {
            let (held, note) = (k.holder.is_some() && now < k.until, (k.note.token, k.note.number));
            let face = Face { token: k.token, held, renewed: k.renewed, note };
            if self.changed.get(duty).is_none_or(|(before, _)| *before != face) {
                self.changed.insert(duty.clone(), (face, next));
                self.now.revision = next;
            }
        }
        let knows = has.life == self.now.life && has.revision <= self.now.revision;
        Said { since: if knows { has.revision } else { 0 }, to: self.now }
    }

    /// Whether an answer has to name this duty. One that was not looked at is named.
    pub fn names(&self, said: &Said, duty: &D) -> bool {
        self.changed.get(duty).is_none_or(|(_, at)| *at > said.since)
    }
}

/// An asker's side: what it has of each voter's record, by a part of it (`P`), and what it was told last of
/// each duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Known<P, D> {
    has: BTreeMap<(usize, P), Have>,
    told: BTreeMap<D, (u64, u64)>,
}

impl<P, D> Default for Known<P, D> {
    fn default() -> Self {
        Known { has: BTreeMap::new(), told: BTreeMap::new() }
    }
}

impl<P: Ord + Clone, D: Ord + Clone> Known<P, D> {
    /// What to say in a question to this voter.
    pub fn has(&self, voter: usize, part: &P) -> Have {
        self.has.get(&(voter, part.clone())).copied().unwrap_or_default()
    }

    /// Whether an answer may be taken in. One of an older build (life 0) tells all each time.
    pub fn counts(&self, voter: usize, part: &P, said: &Said) -> bool {
        let has = self.has(voter, part);
        match said.to.life == has.life && has.life != 0 {
            true => said.since <= has.revision,
            false => said.since == 0,
        }
    }

    /// Whether it is above what was told last of a duty: its token, then the number of the note under it.
    pub fn is_news(&self, duty: &D, of: (u64, u64)) -> bool {
        self.told.get(duty).is_none_or(|told| of > *told)
    }

    /// All news of an answer that counts were taken in.
    pub fn took(
        &mut self,
        voter: usize,
        part: &P,
        said: &Said,
        news: impl IntoIterator<Item = (D, (u64, u64))>,
    ) {
        if said.to.life != 0 {
            self.has.insert((voter, part.clone()), said.to);
        }
        self.told.extend(news);
    }
}

/// Which duties are held, as each voter tells it by what changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holders<D>(BTreeMap<usize, BTreeSet<D>>);

impl<D> Default for Holders<D> {
    fn default() -> Self {
        Holders(BTreeMap::new())
    }
}

impl<D: Ord> Holders<D> {
    /// A voter's answer that counts names these duties, each held or not.
    pub fn told(&mut self, voter: usize, said: &Said, named: impl IntoIterator<Item = (D, bool)>) {
        let held = self.0.entry(voter).or_default();
        if said.since == 0 {
            held.clear();
        }
        for (duty, holds) in named {
            match holds {
                true => drop(held.insert(duty)),
                false => drop(held.remove(&duty)),
            }
        }
    }

    /// Duties that are held, as this voter told last.
    pub fn of(&self, voter: usize) -> impl Iterator<Item = &D> {
        self.0.get(&voter).into_iter().flatten()
    }
}
