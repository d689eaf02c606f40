//! Transitive membership of nested groups, updated incrementally.
//!
//! Each group stores three sets as compressed bitmaps: its descendants and its ancestors, both with
//! the group itself, and all persons in its descendants. A person who is added or removed changes
//! only the ancestors of the group. An added edge merges sets; a removed edge makes the ancestors
//! of the group recompute their sets. Cycles need no special handling: groups of a cycle are
//! ancestors and descendants of each other. A membership look-up is one bitmap test.
use roaring::RoaringBitmap;

/// A group with its direct members and its transitive sets.
#[derive(Clone, Debug, Default, PartialEq)]
struct Group {
    /// Persons directly in the group.
    persons: RoaringBitmap,
    /// Groups directly in the group.
    groups: RoaringBitmap,
    /// Descendants of the group, itself included.
    descendants: RoaringBitmap,
    /// Ancestors of the group, itself included.
    ancestors: RoaringBitmap,
    /// Persons in any of the descendants.
    members: RoaringBitmap,
}

/// The transitive members of nested groups. The caller numbers groups and persons densely from 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupClosure {
    groups: Vec<Group>,
}

impl GroupClosure {
    /// Creates empty groups up to a number, if absent.
    fn ensure_group(&mut self, group_id: u32) {
        while self.groups.len() <= group_id as usize {
            let own: RoaringBitmap = [self.groups.len() as u32].into_iter().collect();
            self.groups.push(Group { descendants: own.clone(), ancestors: own, ..Group::default() });
        }
    }

    fn get(&self, group_id: u32) -> Option<&Group> {
        self.groups.get(group_id as usize)
    }

    /// Returns whether a person is in a group or in one of its descendants.
    pub fn contains(&self, group_id: u32, person: u32) -> bool {
        self.get(group_id).is_some_and(|group| group.members.contains(person))
    }

    /// Returns whether a group is a descendant of `ancestor`, or is that group.
    pub fn is_below(&self, group_id: u32, ancestor: u32) -> bool {
        self.get(ancestor).is_some_and(|group| group.descendants.contains(group_id))
    }

    /// Returns all persons in a group and its descendants.
    pub fn persons(&self, group_id: u32) -> impl Iterator<Item = u32> + '_ {
        self.get(group_id).into_iter().flat_map(|group| group.members.iter())
    }

    /// Returns the number of persons in a group and its descendants.
    pub fn count(&self, group_id: u32) -> u64 {
        self.get(group_id).map_or(0, |group| group.members.len())
    }

    /// Returns a shortest path of groups from a group to a descendant that a person is directly in,
    /// to explain a membership. Empty if the person is not a member.
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

    /// Sets the persons directly in a group. Returns whether the set changed.
    pub fn set_persons(&mut self, group_id: u32, persons: RoaringBitmap) -> bool {
        self.ensure_group(group_id);
        let old = std::mem::replace(&mut self.groups[group_id as usize].persons, persons);
        let new = &self.groups[group_id as usize].persons;
        let (added, removed) = (new - &old, &old - new);
        if added.is_empty() && removed.is_empty() {
            return false;
        }
        for ancestor in self.groups[group_id as usize].ancestors.clone() {
            if !added.is_empty() {
                self.groups[ancestor as usize].members |= &added;
            }
            if !removed.is_empty() {
                self.remove_persons(ancestor, &removed);
            }
        }
        true
    }

    /// Updates `ancestor` after persons were removed from one of its descendants: those that no
    /// other descendant contains are removed from its transitive members.
    fn remove_persons(&mut self, ancestor: u32, removed: &RoaringBitmap) {
        let mut gone = removed.clone();
        for descendant in &self.groups[ancestor as usize].descendants {
            gone -= &self.groups[descendant as usize].persons;
            if gone.is_empty() {
                return;
            }
        }
        self.groups[ancestor as usize].members -= &gone;
    }

    /// Sets the groups directly in a group. Returns whether the set changed.
    pub fn set_groups(&mut self, group_id: u32, groups: RoaringBitmap) -> bool {
        self.ensure_group(groups.max().unwrap_or(0).max(group_id));
        let old = self.groups[group_id as usize].groups.clone();
        let (added, removed) = (&groups - &old, &old - &groups);
        if !removed.is_empty() {
            // Removes edges before adding any, as `recompute_above` reads the direct groups and
            // `add_edge` relies on consistent transitive sets.
            self.groups[group_id as usize].groups = &old & &groups;
            self.recompute_above(group_id);
        }
        self.groups[group_id as usize].groups = groups;
        for child in &added {
            self.add_edge(group_id, child);
        }
        !added.is_empty() || !removed.is_empty()
    }

    /// Updates the transitive sets after an edge from a group to a child was added.
    fn add_edge(&mut self, group_id: u32, child: u32) {
        if self.groups[group_id as usize].descendants.contains(child) {
            return;
        }
        let (ancestors, descendants) = (
            self.groups[group_id as usize].ancestors.clone(),
            self.groups[child as usize].descendants.clone(),
        );
        let members = self.groups[child as usize].members.clone();
        for ancestor in &ancestors {
            let group = &mut self.groups[ancestor as usize];
            group.descendants |= &descendants;
            group.members |= &members;
        }
        for descendant in &descendants {
            self.groups[descendant as usize].ancestors |= &ancestors;
        }
    }

    /// Recomputes the descendants of a group's ancestors after an edge from the group was removed.
    fn recompute_above(&mut self, group_id: u32) {
        let ancestors = self.groups[group_id as usize].ancestors.clone();
        for ancestor in &ancestors {
            let mut descendants: RoaringBitmap = [ancestor].into_iter().collect();
            let mut open = vec![ancestor];
            while let Some(descendant) = open.pop() {
                open.extend(
                    self.groups[descendant as usize].groups.iter().filter(|&c| descendants.insert(c)),
                );
            }
            let lost = &self.groups[ancestor as usize].descendants - &descendants;
            for descendant in &lost {
                self.groups[descendant as usize].ancestors.remove(ancestor);
            }
            if lost.is_empty() {
                continue;
            }
            let mut removed = RoaringBitmap::new();
            for descendant in &lost {
                removed |= &self.groups[descendant as usize].persons;
            }
            self.groups[ancestor as usize].descendants = descendants;
            self.remove_persons(ancestor, &removed);
        }
    }

    /// Returns the serialized size of all sets in bytes, as an estimate of their memory use.
    pub fn bytes(&self) -> usize {
        let size = |group: &Group| {
            [&group.persons, &group.groups, &group.descendants, &group.ancestors, &group.members]
                .iter()
                .map(|bitmap| bitmap.serialized_size())
                .sum::<usize>()
        };
        self.groups.iter().map(size).sum()
    }
}
