//! The tenant directory: tenants, groups and persons, synchronized from an external directory such
//! as LDAP. No I/O and no clock of its own: the caller passes in the results of synchronizations
//! and the time. Times are microseconds.
//!
//! - [`group_closure`] stores the transitive members of nested groups.
//! - [`sync_schedule`] decides when to synchronize with which server, and how fresh the directory
//!   is.
//! - [`change_guard`] decides which changes of a synchronization are accepted.
//! - [`authorization`] decides who may submit, drain and see tasks.
//! - [`tenant_directory`] combines these.
pub mod authorization;
pub mod change_guard;
pub mod group_closure;
pub mod sync_schedule;
pub mod tenant_directory;

use basaltpitch_interner::IdAllocator;
use fnv::FnvHashMap;
use group_closure::GroupClosure;
use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The stable id of a directory entry (`entryUUID`), which does not change when the entry is
/// renamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id(pub u128);

impl Id {
    /// Parses 32 hex digits, with or without dashes. `None`: the text is not an id.
    pub fn parse(text: &str) -> Option<Id> {
        // Called with the tenant's name of every request: the length excludes most names cheaply.
        if !matches!(text.len(), 32..=36) {
            return None;
        }
        let (mut id, mut digits) = (0u128, 0);
        for c in text.chars().filter(|c| *c != '-') {
            (id, digits) = (id << 4 | u128::from(c.to_digit(16)?), digits + 1);
        }
        (digits == 32).then_some(Id(id))
    }
}

impl std::fmt::Display for Id {
    /// Formats the id as in RFC 4122.
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        let hex = format!("{:032x}", self.0);
        let parts = [&hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..]];
        formatter.write_str(&parts.join("-"))
    }
}

/// The time of an entry's last change, in the directory's notation. Later times sort higher, as
/// LDAP generalized time does as text.
pub type Stamp = String;

/// The kind of a directory entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryKind {
    /// A tenant: a group with a share of the fleet.
    Tenant {
        /// The tenant's share of the fleet, from 0 to 1.
        share: f64,
    },
    /// A group that is not a tenant. It may be a member of other groups.
    Group,
    /// A person, who submits tasks or operates the installation.
    Person,
}

/// An entry of the directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's stable id.
    pub id: Id,
    /// The kind of entry.
    #[serde(rename = "what")]
    pub kind: EntryKind,
    /// The tenant's or group's name, or the person's login.
    pub name: String,
    /// The entry's distinguished name, normalized so that equal names are equal strings.
    pub dn: String,
    /// Distinguished names of the direct members.
    pub members: Vec<String>,
    /// The time of the last change.
    pub stamp: Stamp,
}

/// Change sequence numbers that a server reports (`contextCSN`): the latest one for each server on
/// which changes were made. Empty if the server reports none.
pub type Mark = BTreeMap<String, String>;

/// The result of a synchronization with one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectoryUpdate {
    /// Entries that were received.
    pub entries: Vec<Entry>,
    /// Ids of entries that the server reports as unchanged since an earlier synchronization.
    pub present: Vec<Id>,
    /// Whether all pages were received without a size limit or a referral, so that other entries
    /// are not in the directory.
    pub complete: bool,
    /// The server's change sequence numbers.
    pub mark: Mark,
    /// Ids of entries that the server reports as deleted; all other known entries are unchanged.
    /// `None`: the server reports no deletions, and entries that were not received are deleted.
    pub deleted: Option<Vec<Id>>,
    /// The cookie with which the server can send only the changes that follow.
    pub cookie: Option<Vec<u8>>,
}

impl DirectoryUpdate {
    /// Creates the result of a synchronization that reads all entries.
    pub fn new(entries: Vec<Entry>, complete: bool) -> Self {
        DirectoryUpdate { entries, complete, ..DirectoryUpdate::default() }
    }
}

/// A change of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A tenant was added.
    Added {
        /// The tenant's id.
        id: Id,
        /// The tenant's name.
        name: String,
    },
    /// A tenant was renamed.
    Renamed {
        /// The tenant's id.
        id: Id,
        /// The previous name.
        from: String,
        /// The new name.
        to: String,
    },
    /// A tenant was removed.
    Removed {
        /// The tenant's id.
        id: Id,
        /// The tenant's last name.
        name: String,
    },
    /// The number of a tenant's members changed.
    MemberCountChanged {
        /// The tenant's id.
        id: Id,
        /// The tenant's name.
        name: String,
        /// The new number of members.
        count: u64,
    },
    /// A tenant's share of the fleet changed.
    ShareChanged {
        /// The tenant's id.
        id: Id,
        /// The tenant's name.
        name: String,
        /// The previous share.
        from: f64,
        /// The new share.
        to: f64,
    },
}

/// A known entry with its number in the closure.
#[derive(Clone, Debug, PartialEq)]
struct EntryRecord {
    entry: Entry,
    /// The number of the group or tenant, or of the person, in the closure.
    number: u32,
    /// The name before the last renaming, and when the renaming was received, in microseconds.
    previous_name: Option<(String, i64)>,
}

/// How long a renamed tenant's old name stays valid beside the new one, in microseconds.
pub const OLD_NAME_VALID_US: i64 = 86_400_000_000;

/// A tenant as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's stable id.
    pub id: Id,
    /// The current name.
    pub name: String,
    /// The previous name, for [`OLD_NAME_VALID_US`] after a renaming.
    pub previous_name: Option<String>,
    /// The tenant's share of the fleet, from 0 to 1.
    pub share: f64,
    /// Number of persons in the tenant and in its nested groups.
    pub members: u64,
    /// The tenant's index in the placement module, which a renaming does not change.
    pub index: usize,
}

/// The accepted entries of a directory, indexed for look-up.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    known: BTreeMap<Id, EntryRecord>,
    by_dn: FnvHashMap<String, Id>,
    /// Previous distinguished names, as the directory may still list a renamed entry as a member
    /// under its old name. Current names take precedence.
    old_dns: FnvHashMap<String, Id>,
    /// By distinguished name: the groups that list it as a member, which a change of the name
    /// affects.
    mentions: FnvHashMap<String, BTreeSet<Id>>,
    by_name: FnvHashMap<String, Id>,
    by_login: FnvHashMap<String, Id>,
    persons: IdAllocator<Id>,
    groups: IdAllocator<Id>,
    /// All tenants ever known, by index. An index is never reused for another tenant, as the
    /// placement module's shares and running tasks refer to it.
    tenants: Vec<Id>,
    /// The index of each tenant.
    indices: FnvHashMap<Id, usize>,
    /// By index: the tenant's last known name, empty if none was received, and its id as text.
    names: Vec<(String, String)>,
    /// Previous names of renamed tenants; see `find`.
    old_names: FnvHashMap<String, Id>,
    /// The last stamp of each removed entry, to recognize outdated versions of it.
    removed_stamps: FnvHashMap<Id, Stamp>,
    closure: GroupClosure,
    revision: u64,
}

impl Tenants {
    /// Returns the number of changes to entries so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a known entry.
    pub fn entry(&self, id: Id) -> Option<&Entry> {
        self.known.get(&id).map(|record| &record.entry)
    }

    /// Returns all entries, in the order of their ids.
    pub fn entries(&self) -> impl Iterator<Item = (Id, &Entry)> {
        self.known.iter().map(|(id, record)| (*id, &record.entry))
    }

    /// Applies the changes that `change_guard` accepted: entries to add or update, and ids to
    /// remove. An entry that is older than its known version is ignored.
    pub fn apply(&mut self, now: i64, entries: Vec<Entry>, gone: &[Id]) -> Vec<Change> {
        self.apply_accepted(now, entries, gone, false)
    }

    /// Applies accepted changes; with `as_is`, older entries replace newer versions of them.
    pub(crate) fn apply_accepted(
        &mut self,
        now: i64,
        entries: Vec<Entry>,
        gone: &[Id],
        as_is: bool,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        let before: Vec<(Id, u64)> = self.tenants.iter().map(|&t| (t, self.count(t))).collect();
        // Groups whose direct members must be resolved again.
        let mut dirty = BTreeSet::new();
        for &id in gone {
            self.drop_entry(id, &mut dirty, &mut changes);
        }
        for entry in entries {
            let id = entry.id;
            let old = self.known.get(&id).is_some_and(|record| entry.stamp < record.entry.stamp)
                || self.removed_stamps.get(&id).is_some_and(|stamp| entry.stamp < *stamp);
            if (as_is || !old) && self.known.get(&id).is_none_or(|record| record.entry != entry) {
                self.put(now, entry, &mut dirty, &mut changes);
            }
        }
        for id in dirty {
            self.set_members(id);
        }
        for (id, count) in before {
            let Some(record) = self.known.get(&id).filter(|_| self.count(id) != count) else { continue };
            changes.push(Change::MemberCountChanged {
                id,
                name: record.entry.name.clone(),
                count: self.count(id),
            });
        }
        changes
    }

    /// Marks the groups that list a distinguished name, as it refers to another entry from now on.
    fn mark_mentions(&self, dn: &str, dirty: &mut BTreeSet<Id>) {
        dirty.extend(self.mentions.get(dn).into_iter().flatten());
    }

    /// Updates the index of listed members for a group whose members changed.
    fn update_mentions(&mut self, id: Id, old: &[String], new: &[String]) {
        for dn in old {
            if let Some(groups) = self.mentions.get_mut(dn) {
                groups.remove(&id);
                if groups.is_empty() {
                    self.mentions.remove(dn);
                }
            }
        }
        for dn in new {
            self.mentions.entry(dn.clone()).or_default().insert(id);
        }
    }

    /// Adds or updates an entry.
    fn put(&mut self, now: i64, entry: Entry, dirty: &mut BTreeSet<Id>, changes: &mut Vec<Change>) {
        let id = entry.id;
        self.revision += 1;
        self.removed_stamps.remove(&id);
        let number = match entry.kind {
            EntryKind::Person => self.persons.intern(id),
            _ => self.groups.intern(id),
        } as u32;
        let old = self.known.remove(&id);
        let mut previous_name = old.as_ref().and_then(|record| record.previous_name.clone());
        if let Some(record) = &old {
            if record.entry.dn != entry.dn && self.by_dn.get(&record.entry.dn) == Some(&id) {
                self.by_dn.remove(&record.entry.dn);
                self.old_dns.insert(record.entry.dn.clone(), id);
                self.mark_mentions(&record.entry.dn, dirty);
            }
            self.remove_name(&record.entry);
        }
        let same_dn = old.as_ref().is_some_and(|record| record.entry.dn == entry.dn);
        if !same_dn {
            self.mark_mentions(&entry.dn, dirty);
        }
        let members: &[String] = old.as_ref().map_or(&[], |record| &record.entry.members);
        if members != entry.members {
            self.update_mentions(id, members, &entry.members);
            dirty.insert(id);
        }
        if let EntryKind::Tenant { share } = entry.kind {
            let index = self.index_or_assign(id);
            self.names[index].0.clone_from(&entry.name);
            match &old {
                None => changes.push(Change::Added { id, name: entry.name.clone() }),
                Some(record) => {
                    if record.entry.name != entry.name {
                        previous_name = Some((record.entry.name.clone(), now));
                        self.old_names.insert(record.entry.name.clone(), id);
                        let (from, to) = (record.entry.name.clone(), entry.name.clone());
                        changes.push(Change::Renamed { id, from, to });
                    }
                    if let EntryKind::Tenant { share: from } = record.entry.kind {
                        if from != share {
                            changes.push(Change::ShareChanged {
                                id,
                                name: entry.name.clone(),
                                from,
                                to: share,
                            });
                        }
                    }
                }
            }
            self.by_name.insert(entry.name.clone(), id);
        } else if entry.kind == EntryKind::Person {
            self.by_login.insert(entry.name.clone(), id);
        }
        self.by_dn.insert(entry.dn.clone(), id);
        self.known.insert(id, EntryRecord { entry, number, previous_name });
    }

    /// Removes an entry's name from the look-up, unless another entry has it by now.
    fn remove_name(&mut self, entry: &Entry) {
        let names = if entry.kind == EntryKind::Person { &mut self.by_login } else { &mut self.by_name };
        if names.get(&entry.name) == Some(&entry.id) {
            names.remove(&entry.name);
        }
    }

    /// Removes an entry.
    fn drop_entry(&mut self, id: Id, dirty: &mut BTreeSet<Id>, changes: &mut Vec<Change>) {
        let Some(record) = self.known.remove(&id) else { return };
        self.revision += 1;
        self.remove_name(&record.entry);
        self.mark_mentions(&record.entry.dn, dirty);
        self.update_mentions(id, &record.entry.members, &[]);
        if self.by_dn.get(&record.entry.dn) == Some(&id) {
            self.by_dn.remove(&record.entry.dn);
        }
        if record.entry.kind == EntryKind::Person {
            self.persons.release(record.number as usize);
        } else {
            self.closure.set_persons(record.number, RoaringBitmap::new());
            self.closure.set_groups(record.number, RoaringBitmap::new());
            self.groups.release(record.number as usize);
        }
        if matches!(record.entry.kind, EntryKind::Tenant { .. }) {
            changes.push(Change::Removed { id, name: record.entry.name.clone() });
        }
        self.removed_stamps.insert(id, record.entry.stamp);
    }

    /// Resolves a group's direct members to known entries. Names of unknown entries are ignored.
    fn set_members(&mut self, id: Id) {
        let Some(record) = self.known.get(&id) else { return };
        let (mut persons, mut groups) = (RoaringBitmap::new(), RoaringBitmap::new());
        for dn in &record.entry.members {
            let member = self.by_dn.get(dn).or_else(|| self.old_dns.get(dn)).and_then(|m| self.known.get(m));
            match member {
                Some(m) if m.entry.kind == EntryKind::Person => persons.insert(m.number),
                Some(m) => groups.insert(m.number),
                None => false,
            };
        }
        let number = record.number;
        self.closure.set_persons(number, persons);
        self.closure.set_groups(number, groups);
    }

    fn count(&self, id: Id) -> u64 {
        self.known.get(&id).map_or(0, |record| self.closure.count(record.number))
    }

    /// Finds a tenant by its id in hex digits or by its name. A previous name is valid for
    /// [`OLD_NAME_VALID_US`] if no other tenant has it, so that clients need not switch at the
    /// moment of a renaming.
    pub fn find(&self, name: &str, now: i64) -> Option<Id> {
        let is_tenant = |id: &Id| self.index(*id).is_some();
        let had_name = |id: &Id| {
            let was = self.known.get(id).and_then(|record| record.previous_name.as_ref());
            is_tenant(id) && was.is_some_and(|w| w.0 == name && now < w.1 + OLD_NAME_VALID_US)
        };
        let by_id = Id::parse(name).filter(is_tenant);
        let by_name = || self.by_name.get(name).copied().filter(is_tenant);
        by_id.or_else(by_name).or_else(|| self.old_names.get(name).copied().filter(had_name))
    }

    /// Returns the current or last known name of the tenant with an index, and its id as text.
    pub fn name_and_id(&self, index: usize) -> (&str, &str) {
        self.names.get(index).map_or(("", ""), |x| (&x.0, &x.1))
    }

    /// Returns the logins of all persons in a group or tenant, nested groups included.
    pub fn member_logins(&self, group: Id) -> Vec<&str> {
        let Some(g) = self.known.get(&group) else { return Vec::new() };
        let entry =
            |n: u32| self.known.get(self.persons.id(n as usize)).map(|record| record.entry.name.as_str());
        self.closure.persons(g.number).filter_map(entry).collect()
    }

    /// Returns the person with a login.
    pub fn person(&self, login: &str) -> Option<Id> {
        self.by_login.get(login).copied()
    }

    /// Returns the index of a tenant, and assigns one if it has none. The tenant may be known,
    /// removed, or not received yet and only named by a machine that runs one of its tasks.
    pub fn index_or_assign(&mut self, id: Id) -> usize {
        *self.indices.entry(id).or_insert_with(|| {
            self.tenants.push(id);
            self.names.push((String::new(), id.to_string()));
            self.tenants.len() - 1
        })
    }

    /// Returns the index of a known tenant; `None` if the tenant is not in the directory.
    pub fn index(&self, id: Id) -> Option<usize> {
        self.known.get(&id).filter(|record| matches!(record.entry.kind, EntryKind::Tenant { .. }))?;
        self.indices.get(&id).copied()
    }

    /// Returns the tenant with an index, whether or not it is in the directory.
    pub fn id_at(&self, index: usize) -> Option<Id> {
        self.tenants.get(index).copied()
    }

    /// Returns a group or tenant by its distinguished name.
    pub fn group_by_dn(&self, dn: &str) -> Option<Id> {
        let id = *self.by_dn.get(dn)?;
        (self.known[&id].entry.kind != EntryKind::Person).then_some(id)
    }

    /// Returns whether a person is in a group or tenant, directly or through nested groups.
    pub fn is_member(&self, person: Id, group: Id) -> bool {
        match (self.known.get(&group), self.known.get(&person)) {
            (Some(g), Some(p)) => self.closure.contains(g.number, p.number),
            _ => false,
        }
    }

    /// Returns whether a tenant or group is nested in another, directly or not, or is the same.
    pub fn is_below(&self, id: Id, above: Id) -> bool {
        match (self.known.get(&id), self.known.get(&above)) {
            (Some(g), Some(a)) => self.closure.is_below(g.number, a.number),
            _ => false,
        }
    }

    /// Returns the names of the groups on a path by which a person is a member of a group, that
    /// group first; empty if the person is not a member.
    pub fn path(&self, person: Id, group: Id) -> Vec<String> {
        let (Some(g), Some(p)) = (self.known.get(&group), self.known.get(&person)) else { return Vec::new() };
        let name =
            |n: u32| self.known.get(self.groups.id(n as usize)).map(|record| record.entry.name.clone());
        self.closure.path(g.number, p.number).into_iter().filter_map(name).collect()
    }

    /// Returns a tenant as shown to operators at `now`; `None` if it is not in the directory.
    pub fn tenant(&self, id: Id, now: i64) -> Option<Tenant> {
        let (record, index) = (self.known.get(&id)?, self.index(id)?);
        let EntryKind::Tenant { share } = record.entry.kind else { return None };
        let previous_name =
            record.previous_name.as_ref().filter(|w| now < w.1 + OLD_NAME_VALID_US).map(|w| w.0.clone());
        Some(Tenant {
            id,
            name: record.entry.name.clone(),
            previous_name,
            share,
            members: self.count(id),
            index,
        })
    }

    /// Returns all tenants of the directory, in the order of their indices.
    pub fn tenants(&self, now: i64) -> impl Iterator<Item = Tenant> + '_ {
        self.tenants.iter().filter_map(move |&id| self.tenant(id, now))
    }

    /// Returns the estimated size of the transitive memberships in bytes.
    pub fn bytes(&self) -> usize {
        self.closure.bytes()
    }
}
