//! Who is in a group, through groups in groups: the closure is kept, and mended by the change alone.
//!
//! For each group three sets are kept as compressed bitmaps: the groups below it (itself included), the
//! groups above it, and all persons in the groups below. A person who comes or goes touches the groups above
//! his group. An edge that comes joins sets; an edge that goes makes the groups above it count anew, and no
//! others. Cycles need no care of their own: groups of a cycle are above and below one another. A look-up is
//! one test of a bitmap.
use roaring::RoaringBitmap;

#[derive(Clone, Debug, Default, PartialEq)]
struct Group {
    persons: RoaringBitmap,
    groups: RoaringBitmap,
    below: RoaringBitmap,
    above: RoaringBitmap,
    all: RoaringBitmap,
}

/// Groups and persons are small dense numbers of the caller's, each from 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupClosure {
    groups: Vec<Group>,
}

impl GroupClosure {
    fn know(&mut self, g: u32) {
        while self.groups.len() <= g as usize {
            let own: RoaringBitmap = [self.groups.len() as u32].into_iter().collect();
            self.groups.push(Group { below: own.clone(), above: own, ..Group::default() });
        }
    }

    fn of(&self, g: u32) -> Option<&Group> {
        self.groups.get(g as usize)
    }

    /// Whether a person is in a group or in one below it.
    pub fn holds(&self, g: u32, person: u32) -> bool {
        self.of(g).is_some_and(|group| group.all.contains(person))
    }

    /// Whether a group is below another, or is it.
    pub fn is_below(&self, g: u32, above: u32) -> bool {
        self.of(above).is_some_and(|group| group.below.contains(g))
    }

    /// All persons in a group and below it.
    pub fn persons(&self, g: u32) -> impl Iterator<Item = u32> + '_ {
        self.of(g).into_iter().flat_map(|group| group.all.iter())
    }

    pub fn count(&self, g: u32) -> u64 {
        self.of(g).map_or(0, |group| group.all.len())
    }

    /// The groups on a way down from one group to one that holds a person, the first found; for "why".
    pub fn way(&self, g: u32, person: u32) -> Vec<u32> {
        let mut ways = vec![vec![g]];
        let mut seen: RoaringBitmap = [g].into_iter().collect();
        while !ways.is_empty() {
            let mut next = Vec::new();
            for way in ways {
                let Some(group) = self.of(way[way.len() - 1]) else { continue };
                if group.persons.contains(person) {
                    return way;
                }
                for inner in group.groups.iter().filter(|&i| self.holds(i, person)) {
                    if seen.insert(inner) {
                        next.push(way.iter().copied().chain([inner]).collect());
                    }
                }
            }
            ways = next;
        }
        Vec::new()
    }

    /// Sets who is directly in a group. Returns whether that changed anything.
    pub fn set_persons(&mut self, g: u32, persons: RoaringBitmap) -> bool {
        self.know(g);
        let old = std::mem::replace(&mut self.groups[g as usize].persons, persons);
        let new = &self.groups[g as usize].persons;
        let (came, went) = (new - &old, &old - new);
        if came.is_empty() && went.is_empty() {
            return false;
        }
        for a in self.groups[g as usize].above.clone() {
            if !came.is_empty() {
                self.groups[a as usize].all |= &came;
            }
            if !went.is_empty() {
                self.lose(a, &went);
            }
        }
        true
    }

    /// Persons left one group below `a`: those whom no other group below holds leave its closure.
    fn lose(&mut self, a: u32, went: &RoaringBitmap) {
        let mut gone = went.clone();
        for b in &self.groups[a as usize].below {
            gone -= &self.groups[b as usize].persons;
            if gone.is_empty() {
                return;
            }
        }
        self.groups[a as usize].all -= &gone;
    }

    /// Sets which groups are directly in a group. Returns whether that changed anything.
    pub fn set_groups(&mut self, g: u32, groups: RoaringBitmap) -> bool {
        self.know(groups.max().unwrap_or(0).max(g));
        let old = self.groups[g as usize].groups.clone();
        let (came, went) = (&groups - &old, &old - &groups);
        if !went.is_empty() {
            // First what goes, without what comes: each step finds the sets as the other left them.
            self.groups[g as usize].groups = &old & &groups;
            self.count_anew(g);
        }
        self.groups[g as usize].groups = groups;
        for h in &came {
            self.join(g, h);
        }
        !came.is_empty() || !went.is_empty()
    }

    /// An edge from `g` down to `h` came.
    fn join(&mut self, g: u32, h: u32) {
        if self.groups[g as usize].below.contains(h) {
            return;
        }
        let (above, below) = (self.groups[g as usize].above.clone(), self.groups[h as usize].below.clone());
        let all = self.groups[h as usize].all.clone();
        for a in &above {
            let group = &mut self.groups[a as usize];
            group.below |= &below;
            group.all |= &all;
        }
        for b in &below {
            self.groups[b as usize].above |= &above;
        }
    }

    /// An edge below `g` went: the groups above it find anew what is below them.
    fn count_anew(&mut self, g: u32) {
        let above = self.groups[g as usize].above.clone();
        for a in &above {
            let mut below: RoaringBitmap = [a].into_iter().collect();
            let mut open = vec![a];
            while let Some(b) = open.pop() {
                open.extend(self.groups[b as usize].groups.iter().filter(|&c| below.insert(c)));
            }
            let lost = &self.groups[a as usize].below - &below;
            for b in &lost {
                self.groups[b as usize].above.remove(a);
            }
            if lost.is_empty() {
                continue;
            }
            let mut went = RoaringBitmap::new();
            for b in &lost {
                went |= &self.groups[b as usize].persons;
            }
            self.groups[a as usize].below = below;
            self.lose(a, &went);
        }
    }

    /// Bytes that the sets take when written, as a measure of their size.
    pub fn bytes(&self) -> usize {
        let of = |g: &Group| {
            [&g.persons, &g.groups, &g.below, &g.above, &g.all]
                .iter()
                .map(|b| b.serialized_size())
                .sum::<usize>()
        };
        self.groups.iter().map(of).sum()
    }
}
