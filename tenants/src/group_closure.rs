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

/// The members of nested groups. Groups and persons are small dense numbers of the caller's, each from 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupClosure {
    groups: Vec<Group>,
}

impl GroupClosure {
    fn ensure_group(&mut self, group_id: u32) {
        while self.groups.len() <= group_id as usize {
            let own: RoaringBitmap = [self.groups.len() as u32].into_iter().collect();
            self.groups.push(Group { below: own.clone(), above: own, ..Group::default() });
        }
    }

    fn get(&self, group_id: u32) -> Option<&Group> {
        self.groups.get(group_id as usize)
    }

    /// Whether a person is in a group or in one below it.
    pub fn contains(&self, group_id: u32, person: u32) -> bool {
        self.get(group_id).is_some_and(|group| group.all.contains(person))
    }

    /// Whether a group is below another, or is it.
    pub fn is_below(&self, group_id: u32, above: u32) -> bool {
        self.get(above).is_some_and(|group| group.below.contains(group_id))
    }

    /// All persons in a group and below it.
    pub fn persons(&self, group_id: u32) -> impl Iterator<Item = u32> + '_ {
        self.get(group_id).into_iter().flat_map(|group| group.all.iter())
    }

    /// How many persons are in a group and below it.
    pub fn count(&self, group_id: u32) -> u64 {
        self.get(group_id).map_or(0, |group| group.all.len())
    }

    /// The groups on a way down from one group to one that holds a person, the first found; for "why".
    pub fn path(&self, group_id: u32, person: u32) -> Vec<u32> {
        let mut paths = vec![vec![group_id]];
        let mut seen: RoaringBitmap = [group_id].into_iter().collect();
        while !paths.is_empty() {
            let mut next = Vec::new();
            for path in paths {
                let Some(group) = self.get(path[path.len() - 1]) else { continue };
                if group.persons.contains(person) {
                    return path;
                }
                for inner in group.groups.iter().filter(|&i| self.contains(i, person)) {
                    if seen.insert(inner) {
                        next.push(path.iter().copied().chain([inner]).collect());
                    }
                }
            }
            paths = next;
        }
        Vec::new()
    }

    /// Sets who is directly in a group. Returns whether that changed anything.
    pub fn set_persons(&mut self, group_id: u32, persons: RoaringBitmap) -> bool {
        self.ensure_group(group_id);
        let old = std::mem::replace(&mut self.groups[group_id as usize].persons, persons);
        let new = &self.groups[group_id as usize].persons;
        let (added, removed) = (new - &old, &old - new);
        if added.is_empty() && removed.is_empty() {
            return false;
        }
        for ancestor in self.groups[group_id as usize].above.clone() {
            if !added.is_empty() {
                self.groups[ancestor as usize].all |= &added;
            }
            if !removed.is_empty() {
                self.remove_persons(ancestor, &removed);
            }
        }
        true
    }

    /// Persons left one group below `ancestor`: those whom no other group below holds leave its closure.
    fn remove_persons(&mut self, ancestor: u32, removed: &RoaringBitmap) {
        let mut gone = removed.clone();
        for descendant in &self.groups[ancestor as usize].below {
            gone -= &self.groups[descendant as usize].persons;
            if gone.is_empty() {
                return;
            }
        }
        self.groups[ancestor as usize].all -= &gone;
    }

    /// Sets which groups are directly in a group. Returns whether that changed anything.
    pub fn set_groups(&mut self, group_id: u32, groups: RoaringBitmap) -> bool {
        self.ensure_group(groups.max().unwrap_or(0).max(group_id));
        let old = self.groups[group_id as usize].groups.clone();
        let (added, removed) = (&groups - &old, &old - &groups);
        if !removed.is_empty() {
            // First what goes, without what comes: each step finds the sets as the other left them.
            self.groups[group_id as usize].groups = &old & &groups;
            self.recompute_above(group_id);
        }
        self.groups[group_id as usize].groups = groups;
        for child in &added {
            self.add_edge(group_id, child);
        }
        !added.is_empty() || !removed.is_empty()
    }

    /// An edge from a group down to a child was added.
    fn add_edge(&mut self, group_id: u32, child: u32) {
        if self.groups[group_id as usize].below.contains(child) {
            return;
        }
        let (above, below) =
            (self.groups[group_id as usize].above.clone(), self.groups[child as usize].below.clone());
        let all = self.groups[child as usize].all.clone();
        for ancestor in &above {
            let group = &mut self.groups[ancestor as usize];
            group.below |= &below;
            group.all |= &all;
        }
        for descendant in &below {
            self.groups[descendant as usize].above |= &above;
        }
    }

    /// An edge below a group was removed: the groups above it recompute what is below them.
    fn recompute_above(&mut self, group_id: u32) {
        let above = self.groups[group_id as usize].above.clone();
        for ancestor in &above {
            let mut below: RoaringBitmap = [ancestor].into_iter().collect();
            let mut open = vec![ancestor];
            while let Some(descendant) = open.pop() {
                open.extend(self.groups[descendant as usize].groups.iter().filter(|&c| below.insert(c)));
            }
            let lost = &self.groups[ancestor as usize].below - &below;
            for descendant in &lost {
                self.groups[descendant as usize].above.remove(ancestor);
            }
            if lost.is_empty() {
                continue;
            }
            let mut removed = RoaringBitmap::new();
            for descendant in &lost {
                removed |= &self.groups[descendant as usize].persons;
            }
            self.groups[ancestor as usize].below = below;
            self.remove_persons(ancestor, &removed);
        }
    }

    /// Bytes that the sets take when written, as a measure of their size.
    pub fn bytes(&self) -> usize {
        let size = |group: &Group| {
            [&group.persons, &group.groups, &group.below, &group.above, &group.all]
                .iter()
                .map(|bitmap| bitmap.serialized_size())
                .sum::<usize>()
        };
        self.groups.iter().map(size).sum()
    }
}
