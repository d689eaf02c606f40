//! Which machines are allowed for whom, kept by the change. Tasks that the same clauses bind in the same way
//! form a group; a group holds, for each machine, how many of its clauses forbid it, so that a question is
//! one look-up. A change (a task placed or over, a machine listed, down, ready, gone) touches only the
//! clauses that watch the place where it happened.
use crate::{
    Constraint, MachineAttributes, MachineSelector, Rule, Scope, SpreadGrouping, TaskAttributes,
    TopologyLevel, UnavailableDomains,
};
use fnv::FnvHashMap;
use std::collections::VecDeque;
use std::rc::Rc;

/// Groups that no task uses are kept up to so many: services come back.
const MOST_IDLE: usize = 256;
/// Tasks whose group is remembered by what they are; then all is found anew.
const MOST_REMEMBERED: usize = 100_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Takes work.
    Ready,
    /// Known, and takes none now: it drains.
    Down,
    /// Its link is not well: what is there counts against others, and not as company.
    Far,
    /// Not listed any more; what ran there may still be counted.
    Gone,
}

#[derive(Clone, Debug)]
struct Known {
    facts: MachineAttributes,
    state: MachineState,
    /// Places of the machine: itself, its rack, its hall.
    at: [usize; 3],
    /// Groups of the copies on it, one each.
    holds: Vec<usize>,
}

/// Places of one level, and the machines in each.
#[derive(Clone, Debug, Default)]
struct Places {
    names: FnvHashMap<(String, u32), usize>,
    machines: Vec<Vec<usize>>,
}

/// How many of some tasks are in each place.
#[derive(Clone, Debug)]
struct Tally {
    scope: Scope,
    service: Option<u64>,
    level: TopologyLevel,
    counts: Vec<u32>,
    /// Of these, those on machines whose link is well; and of all places.
    sure: Vec<u32>,
    total: u32,
    watchers: Vec<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Test {
    Selector {
        which: MachineSelector,
        inside: bool,
    },
    /// `may_begin`: the tasks bound are of those themselves.
    With {
        tally: usize,
        may_begin: bool,
    },
    Apart {
        tally: usize,
    },
    Spread {
        tally: usize,
        most: Option<u32>,
        skew: Option<u32>,
        gone: UnavailableDomains,
        among: Vec<usize>,
    },
}

/// A clause as it binds some groups, and the machines that it forbids them.
#[derive(Clone, Debug)]
struct Bound {
    clause: usize,
    test: Test,
    forbids: Vec<bool>,
    groups: Vec<usize>,
    /// Of a spread with a skew: machines that count by place, which they are, and the fewest tasks in a place
    /// that counts.
    counting: Vec<u32>,
    counted: Vec<Option<usize>>,
    fewest: u32,
}

#[derive(Clone, Debug, Default)]
struct Group {
    hard: Vec<usize>,
    /// By rank, highest first.
    soft: Vec<usize>,
    feeds: Vec<usize>,
    blocks: Vec<u16>,
    uses: u32,
}

/// What makes a group: hard and soft bound clauses, and the tallies that its tasks count in.
type Binding = (Vec<usize>, Vec<usize>, Vec<usize>);

/// Names a copy of a task for as long as it counts.
pub type Copy = (u64, u64);

pub struct ConstraintState {
    clauses: Rc<[Constraint]>,
    machines: Vec<Option<Known>>,
    places: [Places; 3],
    tallies: Vec<Tally>,
    tally_of: FnvHashMap<(Scope, Option<u64>, TopologyLevel), usize>,
    free_tallies: Vec<usize>,
    bounds: Vec<Bound>,
    bound_of: FnvHashMap<(usize, Test), usize>,
    free_bounds: Vec<usize>,
    groups: Vec<Group>,
    group_of: FnvHashMap<Binding, usize>,
    free_groups: Vec<usize>,
    idle: VecDeque<usize>,
    remembered: FnvHashMap<TaskAttributes, usize>,
    /// Some clause looks at keys.
    by_key: bool,
    copies: FnvHashMap<Copy, (usize, usize)>,
}

fn index(level: TopologyLevel) -> usize {
    level as usize
}

/// Puts something into a slot that is free, or a new one.
fn put<T>(all: &mut Vec<T>, free: &mut Vec<usize>, one: T) -> usize {
    match free.pop() {
        Some(slot) => {
            all[slot] = one;
            slot
        }
        None => {
            all.push(one);
            all.len() - 1
        }
    }
}

impl ConstraintState {
    pub fn new(clauses: Vec<Constraint>) -> Self {
        let looks = |s: &Scope| s.task.is_some();
        let by_key = clauses
            .iter()
            .any(|c| looks(&c.of) || matches!(&c.rule, Rule::With(s, _) | Rule::Apart(s, _) if looks(s)));
        let mut d = ConstraintState {
            clauses: clauses.into(),
            machines: Vec::new(),
            places: Default::default(),
            tallies: Vec::new(),
            tally_of: FnvHashMap::default(),
            free_tallies: Vec::new(),
            bounds: Vec::new(),
            bound_of: FnvHashMap::default(),
            free_bounds: Vec::new(),
            groups: Vec::new(),
            group_of: FnvHashMap::default(),
            free_groups: Vec::new(),
            idle: VecDeque::new(),
            remembered: FnvHashMap::default(),
            by_key,
            copies: FnvHashMap::default(),
        };
        // Tallies that are not of one service stand from the start: tasks count before anybody asks about
        // them.
        for clause in d.clauses.clone().iter() {
            match &clause.rule {
                Rule::With(s, level) => {
                    d.tally(s, None, *level);
                }
                Rule::Apart(s, level) => {
                    d.tally(s, None, *level);
                    d.tally(&clause.of, None, *level);
                }
                Rule::Spread { over, by: SpreadGrouping::All, .. } => {
                    d.tally(&clause.of, None, *over);
                }
                _ => {}
            }
        }
        d
    }

    pub fn constraints(&self) -> &[Constraint] {
        &self.clauses
    }

    fn tally(&mut self, scope: &Scope, service: Option<u64>, level: TopologyLevel) -> usize {
        let key = (scope.clone(), service, level);
        if let Some(&t) = self.tally_of.get(&key) {
            return t;
        }
        let counts = vec![0; self.places_of(level)];
        let sure = counts.clone();
        let tally =
            Tally { scope: scope.clone(), service, level, counts, sure, total: 0, watchers: Vec::new() };
        let t = put(&mut self.tallies, &mut self.free_tallies, tally);
        self.tally_of.insert(key, t);
        t
    }

    fn places_of(&self, level: TopologyLevel) -> usize {
        if level == TopologyLevel::Machine {
            self.machines.len()
        } else {
            self.places[index(level)].machines.len()
        }
    }

    // Machines.

    /// A machine as it is listed now. The same index may be another machine's later, once nothing counts on
    /// it.
    pub fn update_machine(&mut self, m: usize, facts: MachineAttributes, state: MachineState) {
        if m >= self.machines.len() {
            self.machines.resize(m + 1, None);
        }
        let known = self.machines[m].take();
        if known.as_ref().is_some_and(|k| k.facts == facts && k.state == state) {
            self.machines[m] = known;
            return;
        }
        let before = known.as_ref().map(|k| k.at);
        let holds = known.as_ref().map(|k| k.holds.clone()).unwrap_or_default();
        // What is on it is taken off where it was, and put where it is now.
        let again =
            known.as_ref().is_some_and(|k| k.state == MachineState::Far) != (state == MachineState::Far);
        let hall = self.place(TopologyLevel::Zone, (facts.hall.clone(), 0));
        let rack = self.place(TopologyLevel::Rack, (facts.hall.clone(), facts.rack));
        let at = [m, rack, hall];
        let moved = before.is_some_and(|b| b != at);
        if before != Some(at) {
            if let Some(old) = before {
                for level in [TopologyLevel::Rack, TopologyLevel::Zone] {
                    self.places[index(level)].machines[old[index(level)]].retain(|&o| o != m);
                }
            }
            for level in [TopologyLevel::Rack, TopologyLevel::Zone] {
                self.places[index(level)].machines[at[index(level)]].push(m);
            }
        }
        for t in 0..self.tallies.len() {
            let places = self.places_of(self.tallies[t].level);
            self.tallies[t].counts.resize(places, 0);
            self.tallies[t].sure.resize(places, 0);
        }
        let recounted = (moved || again) && !holds.is_empty();
        if recounted {
            let was_far = known.as_ref().is_some_and(|k| k.state == MachineState::Far);
            for &g in &holds {
                self.tally_up(g, before.unwrap_or(at), was_far, false);
                self.tally_up(g, at, state == MachineState::Far, true);
            }
        }
        self.machines[m] = Some(Known { facts, state, at, holds });
        for g in &mut self.groups {
            if g.blocks.len() <= m {
                g.blocks.resize(m + 1, 0);
            }
        }
        for b in 0..self.bounds.len() {
            self.machine_of(b, m);
            if moved || recounted {
                self.fewest_anew(b);
                self.refresh_all(b);
            }
        }
    }

    fn place(&mut self, level: TopologyLevel, name: (String, u32)) -> usize {
        let places = &mut self.places[index(level)];
        let new = places.machines.len();
        let place = *places.names.entry(name).or_insert(new);
        if place == new {
            places.machines.push(Vec::new());
        }
        place
    }

    /// A bound clause hears of a machine that is new or another than before.
    fn machine_of(&mut self, b: usize, m: usize) {
        let size = self.machines.len();
        let bound = &mut self.bounds[b];
        bound.forbids.resize(size, false);
        bound.counted.resize(size, None);
        if self.counts_anew(b, m) && self.fewest_anew(b) {
            return self.refresh_all(b);
        }
        self.refresh(b, m);
    }

    /// Whether a machine counts for a spread's fewest; true: a place began or ceased to count.
    fn counts_anew(&mut self, b: usize, m: usize) -> bool {
        let Test::Spread { tally, skew: Some(_), gone, among, .. } = &self.bounds[b].test else {
            return false;
        };
        let Some(known) = &self.machines[m] else { return false };
        let level = index(self.tallies[*tally].level);
        let named = among.iter().all(|&c| match &self.clauses[c].rule {
            Rule::In(which) => which.names(&known.facts),
            Rule::NotIn(which) => !which.names(&known.facts),
            _ => true,
        });
        let counts = named && (known.state == MachineState::Ready || *gone == UnavailableDomains::Counted);
        let place = known.at[level];
        let bound = &mut self.bounds[b];
        if bound.counting.len() <= place {
            bound.counting.resize(place + 1, 0);
        }
        let now = counts.then_some(place);
        let before = std::mem::replace(&mut bound.counted[m], now);
        if before == now {
            return false;
        }
        let mut turned = false;
        if let Some(place) = before {
            bound.counting[place] -= 1;
            turned |= bound.counting[place] == 0;
        }
        if let Some(place) = now {
            turned |= bound.counting[place] == 0;
            bound.counting[place] += 1;
        }
        turned
    }

    /// Finds the fewest tasks in a place that counts; true: it is another than before.
    fn fewest_anew(&mut self, b: usize) -> bool {
        let Test::Spread { tally, skew: Some(_), .. } = self.bounds[b].test else { return false };
        let counts = &self.tallies[tally].counts;
        let bound = &mut self.bounds[b];
        let counting = bound.counting.iter().enumerate().filter(|x| *x.1 > 0);
        let fewest = counting.map(|(p, _)| counts.get(p).copied().unwrap_or(0)).min().unwrap_or(0);
        std::mem::replace(&mut bound.fewest, fewest) != fewest
    }

    /// One copy of a group more or less in the places of a machine.
    fn tally_up(&mut self, g: usize, at: [usize; 3], far: bool, more: bool) {
        for &t in &self.groups[g].feeds {
            let tally = &mut self.tallies[t];
            let place = at[index(tally.level)];
            for (count, counts) in
                [(&mut tally.counts[place], true), (&mut tally.sure[place], !far), (&mut tally.total, !far)]
            {
                if counts {
                    *count = if more { *count + 1 } else { *count - 1 };
                }
            }
        }
    }

    fn forbids(&self, b: usize, m: usize) -> bool {
        let Some(known) = &self.machines[m] else { return true };
        let bound = &self.bounds[b];
        let here = |t: usize| {
            let tally = &self.tallies[t];
            tally.counts.get(known.at[index(tally.level)]).copied().unwrap_or(0)
        };
        match &bound.test {
            Test::Selector { which, inside } => which.names(&known.facts) != *inside,
            Test::With { tally, may_begin } if self.tallies[*tally].total == 0 => !may_begin,
            Test::With { tally, .. } => {
                let tally = &self.tallies[*tally];
                tally.sure.get(known.at[index(tally.level)]).is_none_or(|n| *n == 0)
            }
            Test::Apart { tally } => here(*tally) > 0,
            Test::Spread { tally, most, skew, .. } => {
                most.is_some_and(|most| here(*tally) >= most)
                    || skew.is_some_and(|skew| here(*tally) + 1 > bound.fewest + skew)
            }
        }
    }

    fn refresh(&mut self, b: usize, m: usize) {
        let forbids = self.forbids(b, m);
        let bound = &mut self.bounds[b];
        if std::mem::replace(&mut bound.forbids[m], forbids) == forbids || !self.clauses[bound.clause].must()
        {
            return;
        }
        for &g in &bound.groups {
            let blocks = &mut self.groups[g].blocks[m];
            *blocks = if forbids { *blocks + 1 } else { *blocks - 1 };
        }
    }

    fn refresh_all(&mut self, b: usize) {
        for m in 0..self.machines.len() {
            self.refresh(b, m);
        }
    }

    // Groups.

    /// The group of a task, held until `leave`. What it is called or belongs to must not change meanwhile.
    pub fn acquire_group(&mut self, task: &TaskAttributes) -> usize {
        let plain = TaskAttributes {
            key: if self.by_key { task.key.clone() } else { String::new() },
            ..task.clone()
        };
        let g = match self.remembered.get(&plain) {
            Some(&g) => g,
            None => {
                let g = self.find_group(task);
                if self.remembered.len() >= MOST_REMEMBERED {
                    self.remembered.clear();
                }
                self.remembered.insert(plain, g);
                g
            }
        };
        self.groups[g].uses += 1;
        g
    }

    pub fn release_group(&mut self, g: usize) {
        self.groups[g].uses -= 1;
        if self.groups[g].uses > 0 {
            return;
        }
        self.idle.push_back(g);
        while self.idle.len() > MOST_IDLE {
            let Some(oldest) = self.idle.pop_front() else { return };
            if self.groups[oldest].uses == 0 && !self.idle.contains(&oldest) {
                self.forget(oldest);
            }
        }
    }

    fn forget(&mut self, g: usize) {
        let group = std::mem::take(&mut self.groups[g]);
        self.group_of.remove(&(group.hard.clone(), group.soft.clone(), group.feeds.clone()));
        self.remembered.retain(|_, x| *x != g);
        self.free_groups.push(g);
        for b in group.hard.iter().chain(&group.soft).copied() {
            self.bounds[b].groups.retain(|&x| x != g);
            // Only what was made for one service goes.
            let own = match self.bounds[b].test {
                Test::Spread { tally, .. } => self.tallies[tally].service.map(|_| tally),
                _ => None,
            };
            if let (Some(t), true) = (own, self.bounds[b].groups.is_empty()) {
                let bound = &mut self.bounds[b];
                self.bound_of.remove(&(bound.clause, bound.test.clone()));
                bound.test = Test::Selector { which: MachineSelector::default(), inside: true };
                self.free_bounds.push(b);
                self.tallies[t].watchers.retain(|&x| x != b);
                let tally = &self.tallies[t];
                if tally.watchers.is_empty() && tally.counts.iter().all(|n| *n == 0) {
                    self.tally_of.remove(&(tally.scope.clone(), tally.service, tally.level));
                    self.tallies[t].counts.clear();
                    self.tallies[t].sure.clear();
                    self.free_tallies.push(t);
                }
            }
        }
    }

    fn find_group(&mut self, task: &TaskAttributes) -> usize {
        let clauses = self.clauses.clone();
        let binds: Vec<usize> = (0..clauses.len()).filter(|&c| clauses[c].of.matches(task)).collect();
        let fixed =
            |c: &usize| clauses[*c].must() && matches!(clauses[*c].rule, Rule::In(_) | Rule::NotIn(_));
        let among: Vec<usize> = binds.iter().copied().filter(fixed).collect();
        let (mut hard, mut soft) = (Vec::new(), Vec::new());
        for (c, clause) in clauses.iter().enumerate() {
            let mut tests = Vec::new();
            let bound = clause.of.matches(task);
            match &clause.rule {
                Rule::In(which) if bound => tests.push(Test::Selector { which: which.clone(), inside: true }),
                Rule::NotIn(which) if bound => {
                    tests.push(Test::Selector { which: which.clone(), inside: false })
                }
                Rule::With(s, level) if bound => {
                    let tally = self.tally(s, None, *level);
                    tests.push(Test::With { tally, may_begin: s.matches(task) });
                }
                Rule::Apart(s, level) => {
                    if bound {
                        tests.push(Test::Apart { tally: self.tally(s, None, *level) });
                    }
                    // The other way round: where a bound task is, none of these may come.
                    if s.matches(task) && clause.of != *s {
                        tests.push(Test::Apart { tally: self.tally(&clause.of, None, *level) });
                    }
                }
                Rule::Spread { over, by, most, skew, gone } if bound => {
                    let service = (*by == SpreadGrouping::Service).then_some(task.service);
                    let tally = self.tally(&clause.of, service, *over);
                    let among = if skew.is_some() { among.clone() } else { Vec::new() };
                    tests.push(Test::Spread { tally, most: *most, skew: *skew, gone: *gone, among });
                }
                _ => {}
            }
            for test in tests {
                let b = self.bind(c, test);
                if clause.must() { &mut hard } else { &mut soft }.push(b);
            }
        }
        soft.sort_by_key(|&b| std::cmp::Reverse(clauses[self.bounds[b].clause].wish));
        let counts = |t: &Tally| t.scope.matches(task) && t.service.is_none_or(|s| s == task.service);
        let mut feeds: Vec<usize> =
            self.tally_of.values().copied().filter(|&t| counts(&self.tallies[t])).collect();
        feeds.sort_unstable();
        let key = (hard, soft, feeds);
        if let Some(&g) = self.group_of.get(&key) {
            return g;
        }
        let blocked = |m: usize| key.0.iter().filter(|&&b| self.bounds[b].forbids[m]).count() as u16;
        let blocks = (0..self.machines.len()).map(blocked).collect();
        let (hard, soft, feeds) = key.clone();
        let group = Group { hard: hard.clone(), soft: soft.clone(), feeds, blocks, uses: 0 };
        let g = put(&mut self.groups, &mut self.free_groups, group);
        for b in hard.into_iter().chain(soft) {
            self.bounds[b].groups.push(g);
        }
        self.group_of.insert(key, g);
        g
    }

    fn bind(&mut self, clause: usize, test: Test) -> usize {
        if let Some(&b) = self.bound_of.get(&(clause, test.clone())) {
            return b;
        }
        let watched = match &test {
            Test::With { tally, .. } | Test::Apart { tally } | Test::Spread { tally, .. } => Some(*tally),
            Test::Selector { .. } => None,
        };
        let size = self.machines.len();
        let bound = Bound {
            clause,
            test: test.clone(),
            forbids: vec![false; size],
            groups: Vec::new(),
            counting: Vec::new(),
            counted: vec![None; size],
            fewest: 0,
        };
        let b = put(&mut self.bounds, &mut self.free_bounds, bound);
        if let Some(t) = watched {
            self.tallies[t].watchers.push(b);
        }
        self.bound_of.insert((clause, test), b);
        for m in 0..size {
            self.counts_anew(b, m);
        }
        self.fewest_anew(b);
        self.refresh_all(b);
        b
    }

    // Tasks.

    /// A copy of a group's task is on a machine, or was sent there and its outcome is not known.
    pub fn attempt_started(&mut self, copy: Copy, g: usize, m: usize) {
        if self.copies.insert(copy, (g, m)).is_none() {
            self.groups[g].uses += 1;
            self.count(g, m, true);
        }
    }

    /// A copy is over, or is known never to have begun.
    pub fn attempt_ended(&mut self, copy: Copy) {
        if let Some((g, m)) = self.copies.remove(&copy) {
            self.count(g, m, false);
            self.release_group(g);
        }
    }

    fn count(&mut self, g: usize, m: usize, more: bool) {
        let Some(known) = self.machines.get_mut(m).and_then(Option::as_mut) else { return };
        if more {
            known.holds.push(g);
        } else if let Some(i) = known.holds.iter().position(|&x| x == g) {
            known.holds.swap_remove(i);
        }
        let (at, far) = (known.at, known.state == MachineState::Far);
        let before: Vec<u32> = self.groups[g].feeds.iter().map(|&t| self.tallies[t].total).collect();
        self.tally_up(g, at, far, more);
        for (i, was) in before.into_iter().enumerate() {
            let t = self.groups[g].feeds[i];
            let tally = &self.tallies[t];
            let place = at[index(tally.level)];
            let (level, turned) = (tally.level, (was == 0) != (tally.total == 0));
            for w in 0..self.tallies[t].watchers.len() {
                let b = self.tallies[t].watchers[w];
                let begins = turned && matches!(self.bounds[b].test, Test::With { .. });
                if begins || self.fewest_anew(b) {
                    self.refresh_all(b);
                } else if level == TopologyLevel::Machine {
                    self.refresh(b, place);
                } else {
                    for n in 0..self.places[index(level)].machines[place].len() {
                        let m = self.places[index(level)].machines[place][n];
                        self.refresh(b, m);
                    }
                }
            }
        }
    }

    // Answers.

    /// Whether a group's task may go to a machine, its state aside.
    pub fn allows(&self, g: usize, m: usize) -> bool {
        self.groups[g].blocks.get(m).is_some_and(|b| *b == 0)
    }

    /// Whether any machine that is known is allowed.
    pub fn allows_any(&self, g: usize) -> bool {
        self.groups[g]
            .blocks
            .iter()
            .zip(&self.machines)
            .any(|(b, k)| *b == 0 && k.as_ref().is_some_and(|k| k.state != MachineState::Gone))
    }

    /// How well wishes are met on a machine; more is better. A wish of a higher rank weighs more than all
    /// below it.
    pub fn preference_score(&self, g: usize, m: usize) -> u64 {
        let soft = &self.groups[g].soft;
        soft.iter().take(64).fold(0, |all, &b| 2 * all + u64::from(!self.bounds[b].forbids[m]))
    }

    /// The clauses that forbid a machine, by their place in the files; hard ones.
    pub fn violated_constraints(&self, g: usize, m: usize) -> Vec<usize> {
        let mut all: Vec<usize> = self.groups[g]
            .hard
            .iter()
            .filter(|&&b| self.bounds[b].forbids[m])
            .map(|&b| self.bounds[b].clause)
            .collect();
        all.dedup();
        all
    }

    /// The hard clauses that bind a group, and how many known machines each leaves.
    pub fn machines_left(&self, g: usize) -> Vec<(usize, usize)> {
        let known = |m: &usize| self.machines[*m].as_ref().is_some_and(|k| k.state != MachineState::Gone);
        let left =
            |b: usize| (0..self.machines.len()).filter(known).filter(|&m| !self.bounds[b].forbids[m]).count();
        self.groups[g].hard.iter().map(|&b| (self.bounds[b].clause, left(b))).collect()
    }

    /// Groups that are kept now.
    pub fn group_count(&self) -> usize {
        self.groups.len() - self.free_groups.len()
    }

    /// Machines that are known, by what is listed of them.
    pub fn fleet(&self) -> impl Iterator<Item = (usize, &MachineAttributes, MachineState)> {
        self.machines.iter().enumerate().filter_map(|(m, k)| k.as_ref().map(|k| (m, &k.facts, k.state)))
    }
}
