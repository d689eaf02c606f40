//! One planner's part of the fleet as list, seats and tasks change. No I/O; times are whole microseconds.
//!
//! A machine is taken on as soon as this planner's own view deals it here. It is let go only once the view
//! has dealt it elsewhere for `hold`, so that views may differ for that long: whoever had the machine when
//! the views last agreed still has it. A seat that the council tells to be vacant without a break for a time
//! has its machines taken over. Only time in which this planner itself ran counts: one that was stopped and
//! wakes takes its own absence for nobody else's.
use crate::deal::{deal, weight};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The part changes with time each so often.
pub const TICK: i64 = 100_000;
/// Endings follow an inventory at once; so long after it a link that is wanted for nothing else may go.
pub const VISIT: i64 = 1_000_000;
/// What was taken on so long ago is linked, if it answers at all.
pub const LINKED: i64 = 5_000_000;
/// Clocks of two hosts may differ by so much.
pub const CLOCKS: i64 = 5_000_000;

/// The parts of settings that bind a part.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// In how many parts each machine is.
    pub copies: usize,
    /// Hashes of all seats' names, in the installation's order, and which of them is this planner's.
    pub seats: Vec<u64>,
    pub me: usize,
    /// A seat that nobody holds for so long has its machines taken over.
    pub vacant: i64,
    /// A machine that is dealt elsewhere is let go after this time; views may differ for as long.
    pub hold: i64,
    /// A guest that has held nothing for so long goes.
    pub idle: i64,
    /// Guests at one time, at most.
    pub guests: usize,
}

impl Terms {
    /// By the council's term: a seat is vacant once all voters in turn tell so for three of them. Four cover
    /// that planners hear of it at different times and in any order; 4 s are for a list that is late.
    pub fn of_term(copies: usize, seats: Vec<u64>, me: usize, term: i64) -> Terms {
        Terms { copies, seats, me, vacant: 3 * term, hold: 4 * term + 4_000_000, idle: 4 * term, guests: 32 }
    }

    /// How often a planner lets time pass here, at the least: a longer break is one in which it did not run.
    pub fn step(&self) -> i64 {
        (self.vacant / 8).max(1)
    }
}

/// What a machine is to this planner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Role {
    /// No link is wanted, but for the first visit.
    #[default]
    Outside,
    /// Of the part, or of it until a while ago.
    Worked,
    /// Linked for its room.
    Guest,
    /// Linked for the tasks on it alone.
    Kept,
}

impl Role {
    pub fn words(self) -> &'static str {
        match self {
            Role::Outside => "outside",
            Role::Worked => "part",
            Role::Guest => "guest",
            Role::Kept => "kept",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Machine {
    name: u64,
    stratum: (usize, usize),
    /// The view deals it here.
    mine: bool,
    role: Role,
    /// When it was last mine (worked), or last held something (guest).
    last: i64,
}

/// The part of one planner. Machines are small indices of the caller's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    terms: Terms,
    /// The caller's clock when time last passed, and time in which this planner ran.
    now: i64,
    ran: i64,
    machines: BTreeMap<usize, Machine>,
    /// Machines whose inventory came once in this planner's life, or that have nothing to tell.
    visited: BTreeSet<usize>,
    strata: BTreeMap<(usize, usize), BTreeSet<(u64, usize)>>,
    dirty: BTreeSet<(usize, usize)>,
    /// Since when each seat is vacant.
    vacant: Vec<Option<i64>>,
    live: Vec<bool>,
    /// How many times the even part this one is, in percent.
    width: u32,
    changed: VecDeque<usize>,
}

impl Part {
    /// All seats count as held at first: which of them are not shows in time.
    pub fn new(now: i64, terms: Terms) -> Part {
        let seats = terms.seats.len();
        Part {
            now,
            ran: 0,
            machines: BTreeMap::new(),
            visited: BTreeSet::new(),
            strata: BTreeMap::new(),
            dirty: BTreeSet::new(),
            vacant: vec![None; seats],
            live: vec![true; seats],
            width: 100,
            changed: VecDeque::new(),
            terms,
        }
    }

    /// The list has a machine, ready or draining, with the hash of its name.
    /// True: it was not on the list before.
    pub fn listed(&mut self, m: usize, name: u64, zone: usize, kind: usize) -> bool {
        let (stratum, new) = ((zone, kind), !self.machines.contains_key(&m));
        match self.machines.get_mut(&m) {
            Some(known) if known.name == name && known.stratum == stratum => return false,
            Some(known) => {
                let before = std::mem::replace(&mut known.stratum, stratum);
                let name_before = std::mem::replace(&mut known.name, name);
                self.leave(before, name_before, m);
            }
            None => {
                let (role, last) = (Role::Outside, self.ran);
                self.machines.insert(m, Machine { name, stratum, mine: false, role, last });
                self.changed.push_back(m);
            }
        }
        self.strata.entry(stratum).or_default().insert((name, m));
        self.dirty.insert(stratum);
        new
    }

    /// The list has a machine no longer.
    pub fn unlisted(&mut self, m: usize) {
        if let Some(known) = self.machines.remove(&m) {
            self.leave(known.stratum, known.name, m);
            self.changed.push_back(m);
        }
    }

    fn leave(&mut self, stratum: (usize, usize), name: u64, m: usize) {
        if let Some(names) = self.strata.get_mut(&stratum) {
            names.remove(&(name, m));
        }
        self.dirty.insert(stratum);
    }

    /// The council tells whether a seat is held.
    pub fn seat(&mut self, seat: usize, held: bool) {
        if let Some(since) = self.vacant.get_mut(seat) {
            *since = (!held).then(|| since.unwrap_or(self.ran));
        }
    }

    /// How wide the part is to be, in percent of the even part.
    pub fn widen(&mut self, width: u32) {
        if std::mem::replace(&mut self.width, width.max(100)) != self.width {
            self.dirty.extend(self.strata.keys());
        }
    }

    /// A machine's inventory came, or it started later than this planner did: what an earlier life of the seat
    /// launched there is known.
    pub fn visited(&mut self, m: usize) {
        if self.visited.insert(m) {
            self.changed.push_back(m);
        }
    }

    /// A machine's index may go to another.
    pub fn forget(&mut self, m: usize) {
        self.unlisted(m);
        self.visited.remove(&m);
    }

    /// A machine has room for what fits nowhere in the part. False: there are as many guests as may be.
    pub fn invite(&mut self, m: usize) -> bool {
        let guests = self.count(Role::Guest);
        let Some(known) = self.machines.get_mut(&m) else { return false };
        if matches!(known.role, Role::Outside | Role::Kept) && guests < self.terms.guests {
            (known.role, known.last) = (Role::Guest, self.ran);
            self.changed.push_back(m);
        }
        matches!(known.role, Role::Worked | Role::Guest)
    }

    /// Whether a link is wanted to a machine that is listed.
    pub fn links(&self, m: usize) -> bool {
        self.machines.get(&m).is_some_and(|x| x.role != Role::Outside || !self.visited.contains(&m))
    }

    /// Whether a machine is offered work.
    pub fn offers(&self, m: usize) -> bool {
        matches!(self.role(m), Role::Worked | Role::Guest)
    }

    pub fn role(&self, m: usize) -> Role {
        self.machines.get(&m).map_or(Role::Outside, |x| x.role)
    }

    pub fn count(&self, role: Role) -> usize {
        self.machines.values().filter(|x| x.role == role).count()
    }

    /// Listed machines that are still wanted for their inventory alone or beside it.
    pub fn unvisited(&self) -> usize {
        self.machines.keys().filter(|m| !self.visited.contains(m)).count()
    }

    /// Whether this planner is one of those that speak for a machine which the list has no longer: the seats of
    /// its highest weights.
    pub fn speaks_for(&self, name: u64) -> bool {
        let own = weight(name, self.terms.seats[self.terms.me]);
        let seats = self.terms.seats.iter().zip(&self.live).filter(|x| *x.1);
        seats.filter(|x| weight(name, *x.0) > own).count() < self.terms.copies
    }

    /// Machines that the list has.
    pub fn listed_count(&self) -> usize {
        self.machines.len()
    }

    /// Machines that are offered work.
    pub fn offered(&self) -> impl Iterator<Item = usize> + '_ {
        self.machines.iter().filter(|x| matches!(x.1.role, Role::Worked | Role::Guest)).map(|x| *x.0)
    }

    /// Machines that the view deals here.
    pub fn mine(&self) -> usize {
        self.machines.values().filter(|x| x.mine).count()
    }

    /// Seats whose machines are not taken over.
    pub fn live(&self) -> usize {
        self.live.iter().filter(|l| **l).count()
    }

    pub fn seats(&self) -> usize {
        self.live.len()
    }

    pub fn width(&self) -> u32 {
        self.width
    }

    /// When time must pass next.
    pub fn next_at(&self) -> i64 {
        self.now + self.terms.step()
    }

    /// A machine whose link or offers may have changed.
    pub fn next_changed(&mut self) -> Option<usize> {
        self.changed.pop_front()
    }

    /// Time passes, and what was heard takes effect. `busy`: whether tasks of this planner are known on a
    /// machine.
    pub fn clock(&mut self, now: i64, busy: impl Fn(usize) -> bool) {
        self.ran += (now - self.now).clamp(0, 2 * self.terms.step());
        self.now = self.now.max(now);
        self.vacant[self.terms.me] = None;
        let lives = |since: &Option<i64>| since.is_none_or(|at| self.ran - at < self.terms.vacant);
        let live: Vec<bool> = self.vacant.iter().map(lives).collect();
        if live != self.live {
            self.live = live;
            self.dirty.extend(self.strata.keys());
        }
        for stratum in std::mem::take(&mut self.dirty) {
            self.deal(stratum);
        }
        for (&m, x) in &mut self.machines {
            if x.mine {
                x.last = self.ran;
            }
            let role = match x.role {
                _ if x.mine => Role::Worked,
                Role::Worked if self.ran - x.last < self.terms.hold => Role::Worked,
                Role::Guest if busy(m) => {
                    x.last = self.ran;
                    Role::Guest
                }
                Role::Guest if self.ran - x.last < self.terms.idle => Role::Guest,
                _ if busy(m) => Role::Kept,
                _ => Role::Outside,
            };
            if std::mem::replace(&mut x.role, role) != role {
                self.changed.push_back(m);
            }
        }
    }

    /// Which machines of a stratum are this planner's, by what it knows now.
    fn deal(&mut self, stratum: (usize, usize)) {
        let Some(names) = self.strata.get(&stratum).filter(|names| !names.is_empty()) else {
            self.strata.remove(&stratum);
            return;
        };
        let own = self.terms.seats[self.terms.me];
        let seats = self.terms.seats.iter().zip(&self.live).filter(|x| *x.1).map(|x| *x.0);
        let seats: Vec<u64> = seats.collect();
        let me = seats.iter().position(|s| *s == own).unwrap_or(0) as u16;
        let hashes: Vec<u64> = names.iter().map(|x| x.0).collect();
        let salt = weight(stratum.0 as u64, stratum.1 as u64);
        let dealt = deal(&seats, &hashes, self.terms.copies, salt);
        let mut beyond = Vec::new();
        for (&(name, m), taken) in names.iter().zip(&dealt) {
            let mine = taken.contains(&me);
            if !mine && self.width > 100 {
                beyond.push((weight(name, own), m));
            }
            if let Some(x) = self.machines.get_mut(&m) {
                x.mine = mine;
            }
        }
        // Wider by the same share in each stratum, so that it holds its share of every zone and kind.
        beyond.sort_unstable_by(|a, b| b.cmp(a));
        let even = (self.terms.copies * names.len()) as f64 / seats.len() as f64;
        let more = (even * f64::from(self.width - 100) / 100.0).ceil() as usize;
        for (_, m) in beyond.into_iter().take(more) {
            if let Some(x) = self.machines.get_mut(&m) {
                x.mine = true;
            }
        }
    }
}
