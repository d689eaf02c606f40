//! A voter: one vote for each duty, out to one member at a time.
use crate::{Answer, Note, Terms};
use std::collections::BTreeMap;

/// Duties that a voter keeps at the most; what is asked for beyond them is refused.
pub const MOST_DUTIES: usize = 4096;

/// What a voter keeps of one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Kept<M> {
    /// The highest token that it voted for, or was told is given back.
    pub token: u64,
    /// To whom the vote went out, and until when it binds; `None`: given back.
    pub holder: Option<M>,
    pub until: i64,
    /// The member asked for more time under its token: it is a holder, not one of many that try.
    pub renewed: bool,
    pub note: Note,
}

/// Nothing was voted for.
impl<M> Default for Kept<M> {
    fn default() -> Self {
        Kept { token: 0, holder: None, until: 0, renewed: false, note: Note::default() }
    }
}

/// `D` names duties; `M` names members, each process of its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter<D, M> {
    terms: Terms,
    /// Nothing is voted before this time.
    from: i64,
    /// How many of the other voters must still tell what they keep: see `learnt`.
    lacks: Option<Lacks>,
    kept: BTreeMap<D, Kept<M>>,
    /// Duties that were handed on: to whom alone the vote is free, and until when. A refusal harms nothing.
    handed: BTreeMap<D, (M, i64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lacks {
    voters: usize,
    /// Who told, and whether it had kept everything.
    told: BTreeMap<usize, bool>,
}

impl<D: Ord + Clone, M: PartialEq + Clone> Voter<D, M> {
    /// A voter of a council that never voted before.
    pub fn new(terms: Terms, now: i64) -> Self {
        Voter { terms, from: now, lacks: None, kept: BTreeMap::new(), handed: BTreeMap::new() }
    }

    /// A voter without what it kept, among so many in all. It may have voted a moment ago: it waits until
    /// that binds nobody. It may have been one of the two that knew of the newest token or note: it hears the
    /// others.
    pub fn lost(terms: Terms, now: i64, voters: usize) -> Self {
        let lacks = (voters > 1).then(|| Lacks { voters, told: BTreeMap::new() });
        Voter { from: now + terms.wait(), lacks, ..Voter::new(terms, now) }
    }

    /// A voter with what it kept, by a life that `votes`: a start soon after another that had lost everything
    /// would else vote while what was voted before that still binds. How long it was away is not known: what
    /// is out binds for a whole term more.
    pub fn restored(terms: Terms, now: i64, kept: impl IntoIterator<Item = (D, Kept<M>)>) -> Self {
        let mut voter = Voter { kept: kept.into_iter().collect(), ..Voter::new(terms, now) };
        voter.kept.values_mut().for_each(|k| k.until = now + terms.wait());
        voter
    }

    /// What another voter that lacks what it kept learns from this one: of each duty the token, who held it
    /// under that, and the note. One that only asked is not named: under a token that it shares with another
    /// it could else become a second holder.
    pub fn told(&self) -> Vec<(D, u64, Option<M>, Note)> {
        let holder = |k: &Kept<M>| k.holder.clone().filter(|_| k.renewed);
        self.kept.iter().map(|(d, k)| (d.clone(), k.token, holder(k), k.note.clone())).collect()
    }

    /// Another voter told what it keeps of tokens, holders and notes, and whether that is all that it ever
    /// kept. Enough have told once every majority that this voter was part of has another member among them;
    /// or once all others have, as there is nobody more to ask.
    pub fn learnt(
        &mut self,
        from: usize,
        whole: bool,
        kept: impl IntoIterator<Item = (D, u64, Option<M>, Note)>,
    ) {
        let Some(lacks) = &mut self.lacks else { return };
        lacks.told.insert(from, whole);
        let wholes = lacks.told.values().filter(|w| **w).count();
        let enough = wholes > lacks.voters - (lacks.voters / 2 + 1) || lacks.told.len() + 1 >= lacks.voters;
        for (duty, token, holder, note) in kept {
            let k = self.kept.entry(duty).or_default();
            // Without it, it would refuse the holder of that very token until there is another.
            if token > k.token || (token == k.token && k.holder.is_none()) {
                (k.renewed, k.holder) = (holder.is_some(), holder);
            }
            k.token = k.token.max(token);
            k.note = note.max(std::mem::take(&mut k.note));
        }
        if enough {
            self.lacks = None;
        }
    }

    /// Whether it votes: only from then on what it keeps is enough for a next life.
    pub fn votes(&self, now: i64) -> bool {
        now >= self.from && self.lacks.is_none()
    }

    /// Whether it has all that it ever kept, or learnt it again.
    pub fn is_whole(&self) -> bool {
        self.lacks.is_none()
    }

    /// A member asks for a duty under a token of its choice, or for a term more under the one that it has.
    /// With the vote goes its note, if it brings one.
    pub fn asked(&mut self, now: i64, duty: &D, member: &M, token: u64, note: Option<Note>) -> Answer {
        if !self.votes(now) {
            return Answer::Refused { token: 0, left: (self.from - now).max(self.terms.drift) };
        }
        if self.kept.len() >= MOST_DUTIES && !self.kept.contains_key(duty) {
            return Answer::Refused { token: 0, left: self.terms.term };
        }
        let kept = self.kept.entry(duty.clone()).or_default();
        if let Some((_, until)) = self.handed.get(duty).filter(|h| h.0 != *member && now < h.1) {
            return Answer::Refused { token: kept.token, left: until - now };
        }
        let its = kept.holder.as_ref() == Some(member) && kept.token == token;
        if !its {
            if kept.holder.is_some() && now < kept.until {
                // One of many askers mostly gives its vote back at once: the others need not wait out a term.
                let most = if kept.renewed { self.terms.term } else { self.terms.patience() };
                return Answer::Refused { token: kept.token, left: (kept.until - now).min(most) };
            }
            if token <= kept.token {
                return Answer::Refused { token: kept.token, left: 0 };
            }
        }
        // Not before it has the vote: its first asking may be refused for its token, and others would have
        // it.
        self.handed.remove(duty);
        kept.renewed = its;
        (kept.token, kept.holder, kept.until) = (token, Some(member.clone()), now + self.terms.term);
        let before = kept.note.clone();
        if let Some(note) = note.filter(|n| n.token == token && *n > kept.note) {
            kept.note = note;
        }
        Answer::Granted { note: before }
    }

    /// A member gives a vote back: it does not hold the duty, or does not act on it any more. True where a
    /// holder's vote is free by this, which others will want to know. An asking under that token that comes
    /// late finds nothing.
    pub fn given_back(&mut self, duty: &D, member: &M, token: u64) -> bool {
        let Some(kept) = self.kept.get_mut(duty) else { return false };
        let its = kept.holder.as_ref() == Some(member) && kept.token == token;
        if its {
            kept.holder = None;
            return kept.renewed;
        } else if kept.holder.is_none() {
            kept.token = kept.token.max(token);
        }
        false
    }

    /// What was just given back was handed on: for a term the vote is free for this member alone.
    pub fn handed_on(&mut self, now: i64, duty: &D, to: M) {
        if self.kept.get(duty).is_some_and(|k| k.holder.is_none()) {
            self.handed.insert(duty.clone(), (to, now + self.terms.term));
        }
    }

    /// What it keeps of one duty.
    pub fn kept_of(&self, duty: &D) -> Option<&Kept<M>> {
        self.kept.get(duty)
    }

    /// Everything that it keeps, for a store and for operators.
    pub fn kept(&self) -> impl Iterator<Item = (&D, &Kept<M>)> {
        self.kept.iter()
    }

    /// The time from which on it votes, if it is whole.
    pub fn votes_from(&self) -> i64 {
        self.from
    }
}
