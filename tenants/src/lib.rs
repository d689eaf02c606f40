//! Tenants as a directory tells of them. No I/O and no clock of its own: sweeps of the directory come in,
//! changes go out, and questions are answered with how far the answer can be relied on. `group_closure` keeps
//! members of nested groups, `sync_schedule` says when to ask which server and how fresh what is known is,
//! `change_guard` what of a sweep is accepted, `authorization` who may do what, and `tenant_directory` joins
//! them. Times are whole microseconds.
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

/// The directory's stable id of an entry (`entryUUID`), whatever its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id(pub u128);

impl Id {
    /// Reads 32 hex digits, with or without dashes.
    pub fn read(text: &str) -> Option<Id> {
        // Names are looked up with every asking: most are none by their length.
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
    /// As RFC 4122 writes it.
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        let hex = format!("{:032x}", self.0);
        let parts = [&hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..]];
        formatter.write_str(&parts.join("-"))
    }
}

/// When an entry last changed, as the directory says; later ones are larger. Generalized time in text sorts
/// so.
pub type Stamp = String;

/// What an entry of the directory stands for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryKind {
    /// A tenant is a group with a share of the fleet.
    Tenant {
        /// Its share of the fleet, from 0 to 1.
        share: f64,
    },
    /// A group that is no tenant; it may be a member of other groups.
    Group,
    /// Someone who submits and operates.
    Person,
}

/// One entry of the directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its stable id.
    pub id: Id,
    /// What it stands for.
    #[serde(rename = "what")]
    pub kind: EntryKind,
    /// What people call it: the tenant's name, the person's login.
    pub name: String,
    /// Its distinguished name, in one spelling.
    pub dn: String,
    /// Distinguished names of direct members.
    pub members: Vec<String>,
    /// When it last changed.
    pub stamp: Stamp,
}

/// How far a server says that it is, by the server that a change was made on (`contextCSN`); empty: it does
/// not say.
pub type Mark = BTreeMap<String, String>;

/// What came of a sweep of one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sweep {
    /// Entries that were read, as they are now.
    pub entries: Vec<Entry>,
    /// Entries that are there as this server gave them before.
    pub present: Vec<Id>,
    /// Every page came, no limit was met and no referral: what is not in it is not in the directory.
    pub complete: bool,
    /// How far the server says that it is.
    pub mark: Mark,
    /// Entries that the server says were deleted; all others are as they were. None: what is not in it is
    /// gone.
    pub gone: Option<Vec<Id>>,
    /// From where on the server can say what changed.
    pub cookie: Option<Vec<u8>>,
}

impl Sweep {
    /// A sweep that reads every entry.
    pub fn of(entries: Vec<Entry>, complete: bool) -> Self {
        Sweep { entries, complete, ..Sweep::default() }
    }
}

/// What is different from before.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A tenant was added.
    Came {
        /// Its id.
        id: Id,
        /// Its name.
        name: String,
    },
    /// A tenant has another name.
    Renamed {
        /// Its id.
        id: Id,
        /// Its name before.
        from: String,
        /// Its name now.
        to: String,
    },
    /// A tenant was removed.
    Went {
        /// Its id.
        id: Id,
        /// Its last name.
        name: String,
    },
    /// A tenant has more or fewer members.
    Members {
        /// Its id.
        id: Id,
        /// Its name.
        name: String,
        /// How many members it has now.
        count: u64,
    },
    /// A tenant has another share of the fleet.
    Share {
        /// Its id.
        id: Id,
        /// Its name.
        name: String,
        /// Its share before.
        from: f64,
        /// Its share now.
        to: f64,
    },
}

#[derive(Clone, Debug, PartialEq)]
struct EntryRecord {
    entry: Entry,
    /// Number of a group or tenant, or of a person, in the closure.
    number: u32,
    /// The name before the last renaming, and when that was heard.
    was: Option<(String, i64)>,
}

/// For how long, in microseconds, a renamed tenant's old name is shown beside the new one.
pub const OLD_NAME_SHOWN: i64 = 86_400_000_000;

/// A tenant as it is shown.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its stable id.
    pub id: Id,
    /// Its name now.
    pub name: String,
    /// Its name before, for [`OLD_NAME_SHOWN`] after a renaming.
    pub was: Option<String>,
    /// Its share of the fleet.
    pub share: f64,
    /// How many persons are in it and in the groups below it.
    pub members: u64,
    /// The index under which the placing module knows it, which stays over renamings.
    pub index: usize,
}

/// The entries of a directory as last accepted, indexed for look-up.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    known: BTreeMap<Id, EntryRecord>,
    by_dn: FnvHashMap<String, Id>,
    /// Distinguished names of before, for members that the directory has not mended yet. Entries of now go
    /// first.
    old_dns: FnvHashMap<String, Id>,
    /// Groups that name a distinguished name among their members, so that its change reaches them and no
    /// others.
    mentions: FnvHashMap<String, BTreeSet<Id>>,
    by_name: FnvHashMap<String, Id>,
    by_login: FnvHashMap<String, Id>,
    persons: IdAllocator<Id>,
    groups: IdAllocator<Id>,
    /// Tenants' indices are never given to another: the module's shares and running tasks rest on them.
    tenants: Vec<Id>,
    places: FnvHashMap<Id, usize>,
    /// The last known name of each tenant, by index, empty where none was heard; and its id as text.
    names: Vec<(String, String)>,
    /// Names of before that no tenant has now; see `find`.
    old_names: FnvHashMap<String, Id>,
    /// The last stamp of an entry that went.
    gone: FnvHashMap<Id, Stamp>,
    closure: GroupClosure,
    edits: u64,
}

impl Tenants {
    /// How often anything changed.
    pub fn edits(&self) -> u64 {
        self.edits
    }

    /// What is known of an entry.
    pub fn entry(&self, id: Id) -> Option<&Entry> {
        self.known.get(&id).map(|record| &record.entry)
    }

    /// All entries, in the order of their ids.
    pub fn ids(&self) -> impl Iterator<Item = (Id, &Entry)> {
        self.known.iter().map(|(id, record)| (*id, &record.entry))
    }

    /// Takes in what `change_guard` accepted: entries that are there, and ids that are gone. An entry older
    /// than what is known of it changes nothing.
    pub fn take(&mut self, now: i64, entries: Vec<Entry>, gone: &[Id]) -> Vec<Change> {
        self.take_in(now, entries, gone, false)
    }

    /// The same; with `as_is`, entries count however old they are.
    pub(crate) fn take_in(&mut self, now: i64, entries: Vec<Entry>, gone: &[Id], as_is: bool) -> Vec<Change> {
        let mut changes = Vec::new();
        let before: Vec<(Id, u64)> = self.tenants.iter().map(|&t| (t, self.count(t))).collect();
        // Groups whose members are to be found anew.
        let mut dirty = BTreeSet::new();
        for &id in gone {
            self.drop_entry(id, &mut dirty, &mut changes);
        }
        for entry in entries {
            let id = entry.id;
            let old = self.known.get(&id).is_some_and(|record| entry.stamp < record.entry.stamp)
                || self.gone.get(&id).is_some_and(|stamp| entry.stamp < *stamp);
            if (as_is || !old) && self.known.get(&id).is_none_or(|record| record.entry != entry) {
                self.put(now, entry, &mut dirty, &mut changes);
            }
        }
        for id in dirty {
            self.set_members(id);
        }
        for (id, count) in before {
            let Some(record) = self.known.get(&id).filter(|_| self.count(id) != count) else { continue };
            changes.push(Change::Members { id, name: record.entry.name.clone(), count: self.count(id) });
        }
        changes
    }

    /// A distinguished name leads elsewhere from now on.
    fn dn_moves(&self, dn: &str, dirty: &mut BTreeSet<Id>) {
        dirty.extend(self.mentions.get(dn).into_iter().flatten());
    }

    fn mention(&mut self, id: Id, old: &[String], new: &[String]) {
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

    fn put(&mut self, now: i64, entry: Entry, dirty: &mut BTreeSet<Id>, changes: &mut Vec<Change>) {
        let id = entry.id;
        self.edits += 1;
        self.gone.remove(&id);
        let number = match entry.kind {
            EntryKind::Person => self.persons.intern(id),
            _ => self.groups.intern(id),
        } as u32;
        let old = self.known.remove(&id);
        let mut was = old.as_ref().and_then(|record| record.was.clone());
        if let Some(record) = &old {
            if record.entry.dn != entry.dn && self.by_dn.get(&record.entry.dn) == Some(&id) {
                self.by_dn.remove(&record.entry.dn);
                self.old_dns.insert(record.entry.dn.clone(), id);
                self.dn_moves(&record.entry.dn, dirty);
            }
            self.unname(&record.entry);
        }
        let known_there = old.as_ref().is_some_and(|record| record.entry.dn == entry.dn);
        if !known_there {
            self.dn_moves(&entry.dn, dirty);
        }
        let members: &[String] = old.as_ref().map_or(&[], |record| &record.entry.members);
        if members != entry.members {
            self.mention(id, members, &entry.members);
            dirty.insert(id);
        }
        if let EntryKind::Tenant { share } = entry.kind {
            let index = self.place(id);
            self.names[index].0.clone_from(&entry.name);
            match &old {
                None => changes.push(Change::Came { id, name: entry.name.clone() }),
                Some(record) => {
                    if record.entry.name != entry.name {
                        was = Some((record.entry.name.clone(), now));
                        self.old_names.insert(record.entry.name.clone(), id);
                        let (from, to) = (record.entry.name.clone(), entry.name.clone());
                        changes.push(Change::Renamed { id, from, to });
                    }
                    if let EntryKind::Tenant { share: from } = record.entry.kind {
                        if from != share {
                            changes.push(Change::Share { id, name: entry.name.clone(), from, to: share });
                        }
                    }
                }
            }
            self.by_name.insert(entry.name.clone(), id);
        } else if entry.kind == EntryKind::Person {
            self.by_login.insert(entry.name.clone(), id);
        }
        self.by_dn.insert(entry.dn.clone(), id);
        self.known.insert(id, EntryRecord { entry, number, was });
    }

    /// A name is free again, unless another entry has taken it in the meantime.
    fn unname(&mut self, entry: &Entry) {
        let names = if entry.kind == EntryKind::Person { &mut self.by_login } else { &mut self.by_name };
        if names.get(&entry.name) == Some(&entry.id) {
            names.remove(&entry.name);
        }
    }

    fn drop_entry(&mut self, id: Id, dirty: &mut BTreeSet<Id>, changes: &mut Vec<Change>) {
        let Some(record) = self.known.remove(&id) else { return };
        self.edits += 1;
        self.unname(&record.entry);
        self.dn_moves(&record.entry.dn, dirty);
        self.mention(id, &record.entry.members, &[]);
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
            changes.push(Change::Went { id, name: record.entry.name.clone() });
        }
        self.gone.insert(id, record.entry.stamp);
    }

    /// Finds a group's members among the entries of now; a name that leads nowhere is nobody.
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

    /// A tenant by its id in hex digits or its name; by its name of before for a while, if no other has that
    /// now, so that those who ask need not change in the moment of a renaming.
    pub fn find(&self, name: &str, now: i64) -> Option<Id> {
        let there = |id: &Id| self.index(*id).is_some();
        let was = |id: &Id| {
            let was = self.known.get(id).and_then(|record| record.was.as_ref());
            there(id) && was.is_some_and(|w| w.0 == name && now < w.1 + OLD_NAME_SHOWN)
        };
        let by_id = Id::read(name).filter(there);
        let by_name = || self.by_name.get(name).copied().filter(there);
        by_id.or_else(by_name).or_else(|| self.old_names.get(name).copied().filter(was))
    }

    /// The name of the tenant under an index, the last known one if it is gone, and its id as text.
    pub fn called(&self, index: usize) -> (&str, &str) {
        self.names.get(index).map_or(("", ""), |x| (&x.0, &x.1))
    }

    /// The people in a group or tenant, by login.
    pub fn people(&self, group: Id) -> Vec<&str> {
        let Some(g) = self.known.get(&group) else { return Vec::new() };
        let entry =
            |n: u32| self.known.get(self.persons.id(n as usize)).map(|record| record.entry.name.as_str());
        self.closure.persons(g.number).filter_map(entry).collect()
    }

    /// The person with a login.
    pub fn login(&self, login: &str) -> Option<Id> {
        self.by_login.get(login).copied()
    }

    /// The index of a tenant, whether it is there, was, or is only named by a machine that runs a task of
    /// its.
    pub fn place(&mut self, id: Id) -> usize {
        *self.places.entry(id).or_insert_with(|| {
            self.tenants.push(id);
            self.names.push((String::new(), id.to_string()));
            self.tenants.len() - 1
        })
    }

    /// The module's index of a tenant that is there.
    pub fn index(&self, id: Id) -> Option<usize> {
        self.known.get(&id).filter(|record| matches!(record.entry.kind, EntryKind::Tenant { .. }))?;
        self.places.get(&id).copied()
    }

    /// The tenant under an index, there or not.
    pub fn at(&self, index: usize) -> Option<Id> {
        self.tenants.get(index).copied()
    }

    /// A group or tenant by its distinguished name.
    pub fn group(&self, dn: &str) -> Option<Id> {
        let id = *self.by_dn.get(dn)?;
        (self.known[&id].entry.kind != EntryKind::Person).then_some(id)
    }

    /// Whether a person is in a group or tenant, or in a group below it.
    pub fn is_member(&self, person: Id, group: Id) -> bool {
        match (self.known.get(&group), self.known.get(&person)) {
            (Some(g), Some(p)) => self.closure.contains(g.number, p.number),
            _ => false,
        }
    }

    /// Whether a tenant or group is below another in the tree of groups, or is it.
    pub fn is_below(&self, id: Id, above: Id) -> bool {
        match (self.known.get(&id), self.known.get(&above)) {
            (Some(g), Some(a)) => self.closure.is_below(g.number, a.number),
            _ => false,
        }
    }

    /// Names of the groups through which a person is in a group; empty where he is not.
    pub fn why(&self, person: Id, group: Id) -> Vec<String> {
        let (Some(g), Some(p)) = (self.known.get(&group), self.known.get(&person)) else { return Vec::new() };
        let name =
            |n: u32| self.known.get(self.groups.id(n as usize)).map(|record| record.entry.name.clone());
        self.closure.path(g.number, p.number).into_iter().filter_map(name).collect()
    }

    /// A tenant as it is shown at a time.
    pub fn tenant(&self, id: Id, now: i64) -> Option<Tenant> {
        let (record, index) = (self.known.get(&id)?, self.index(id)?);
        let EntryKind::Tenant { share } = record.entry.kind else { return None };
        let was = record.was.as_ref().filter(|w| now < w.1 + OLD_NAME_SHOWN).map(|w| w.0.clone());
        Some(Tenant { id, name: record.entry.name.clone(), was, share, members: self.count(id), index })
    }

    /// All tenants that are there, in the order of their indices.
    pub fn tenants(&self, now: i64) -> impl Iterator<Item = Tenant> + '_ {
        self.tenants.iter().filter_map(move |&id| self.tenant(id, now))
    }

    /// Bytes that the closures take.
    pub fn bytes(&self) -> usize {
        self.closure.bytes()
    }
}
