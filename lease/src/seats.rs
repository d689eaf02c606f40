//! Which seat a spare asks for: one for which no majority of votes is out, by chance, so that many spares
//! spread over many seats.
use std::collections::{BTreeMap, BTreeSet};

/// What one process wants of the seats. `D` names duties.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Seats<D> {
    all: Vec<D>,
    voters: usize,
    /// By voter: the seats that its votes are out for, as it last said.
    taken: BTreeMap<usize, BTreeSet<D>>,
    seed: u64,
    tries: u64,
    wanted: Option<D>,
}

impl<D: Ord + Clone> Seats<D> {
    pub fn new(all: Vec<D>, voters: usize, seed: u64) -> Self {
        Seats { all, voters, taken: BTreeMap::new(), seed, tries: 0, wanted: None }
    }

    /// A voter said for which duties its votes are out to others.
    pub fn told(&mut self, voter: usize, taken: impl IntoIterator<Item = D>) {
        self.taken.insert(voter, taken.into_iter().collect());
    }

    /// A voter said that its vote is free.
    pub fn freed(&mut self, voter: usize, duty: &D) {
        self.taken.entry(voter).or_default().remove(duty);
    }

    /// A voter is not heard any more: a seat whose holder died with it stayed taken for ever.
    pub fn unheard(&mut self, voter: usize) {
        self.taken.remove(&voter);
    }

    pub fn wanted(&self) -> Option<&D> {
        self.wanted.as_ref()
    }

    fn is_taken(&self, duty: &D) -> bool {
        2 * self.taken.values().filter(|t| t.contains(duty)).count() > self.voters
    }

    /// The seat to ask for from now on, and the one to leave for it: that which is wanted turned out to be
    /// another's. Nothing changes while no seat is free or no voter was heard.
    pub fn choose(&mut self) -> (Option<D>, Option<D>) {
        let taken = self.wanted.as_ref().is_some_and(|w| self.is_taken(w));
        let left = if taken { self.wanted.take() } else { None };
        if self.wanted.is_some() || self.taken.is_empty() {
            return (None, left);
        }
        let free: Vec<&D> = self.all.iter().filter(|d| !self.is_taken(d)).collect();
        if free.is_empty() {
            return (None, left);
        }
        self.tries += 1;
        let chance = &mut fastrand::Rng::with_seed(self.seed.wrapping_add(self.tries << 20));
        self.wanted = Some(free[chance.usize(0..free.len())].clone());
        (self.wanted.clone(), left)
    }

    /// It holds no seat any more, and looks for one anew.
    pub fn unseated(&mut self) {
        self.wanted = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_spare_asks_for_a_free_seat_and_leaves_it_to_who_has_it() {
        let mut seats = Seats::new(vec![0, 1, 2], 3, 1);
        assert_eq!(seats.choose(), (None, None), "no voter was heard");
        seats.told(0, [0, 1, 2]);
        seats.told(1, [0, 1, 2]);
        assert_eq!(seats.choose(), (None, None), "all are taken");
        seats.freed(0, &1);
        assert_eq!(seats.choose(), (Some(1), None));
        assert_eq!(seats.choose(), (None, None), "it goes on asking");
        seats.told(2, [0, 1]);
        assert_eq!(seats.choose(), (None, Some(1)), "0 and 2 are taken, too");
        seats.unheard(0);
        assert_eq!(seats.choose(), (Some(2), None), "one vote is no majority");
    }

    #[test]
    fn spares_spread_over_the_seats() {
        let first = |seed| {
            let mut seats = Seats::new((0..10).collect(), 3, seed);
            seats.told(0, []);
            seats.choose().0.unwrap()
        };
        let chosen: BTreeSet<usize> = (0..60).map(first).collect();
        assert!(chosen.len() >= 8, "{chosen:?}");
    }
}
