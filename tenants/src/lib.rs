//! Tenants as a directory tells of them. No I/O and no clock of its own: sweeps of the directory come in,
//! changes go out, and questions are answered with how far the answer can be relied on. `closure` keeps
//! members of nested groups, `health` says when to ask which server and how fresh what is known is, `trust`
//! what of a sweep is believed, `rights` who may do what. Times are whole microseconds.
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
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let hex = format!("{:032x}", self.0);
        let parts = [&hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..]];
        f.write_str(&parts.join("-"))
    }
}

/// When an entry last changed, as the directory says; later ones are larger. Generalized time in text sorts
/// so.
pub type Stamp = String;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryKind {
    /// A tenant is a group with a share of the fleet.
    Tenant {
        share: f64,
    },
    Group,
    Person,
}

/// One entry of the directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub id: Id,
    pub what: EntryKind,
    /// What people call it: the tenant's name, the person's login.
    pub name: String,
    /// Its distinguished name, in one spelling.
    pub dn: String,
    /// Distinguished names of direct members.
    pub members: Vec<String>,
    pub stamp: Stamp,
}

/// How far a server says that it is, by the server that a change was made on (`contextCSN`); empty: it does
/// not say.
pub type Mark = BTreeMap<String, String>;

/// What came of a sweep of one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sweep {
    pub entries: Vec<Entry>,
    /// Entries that are there as this server gave them before.
    pub present: Vec<Id>,
    /// Every page came, no limit was met and no referral: what is not in it is not in the directory.
    pub complete: bool,
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
    Came { id: Id, name: String },
    Renamed { id: Id, from: String, to: String },
    Went { id: Id, name: String },
    Members { id: Id, name: String, count: u64 },
    Share { id: Id, name: String, from: f64, to: f64 },
}

#[derive(Clone, Debug, PartialEq)]
struct Known {
    entry: Entry,
    /// Number of a group or tenant, or of a person, in the closure.
    number: u32,
    /// The name before the last renaming, and when that was heard.
    was: Option<(String, i64)>,
}

/// For how long a renamed tenant's old name is shown beside the new one.
pub const OLD_NAME_SHOWN: i64 = 86_400_000_000;

/// A tenant as it is shown.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub id: Id,
    pub name: String,
    pub was: Option<String>,
    pub share: f64,
    pub members: u64,
    /// The index under which the placing module knows it, which stays over renamings.
    pub index: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Tenants {
    known: BTreeMap<Id, Known>,
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
        self.known.get(&id).map(|k| &k.entry)
    }

    pub fn ids(&self) -> impl Iterator<Item = (Id, &Entry)> {
        self.known.iter().map(|(id, k)| (*id, &k.entry))
    }

    /// Takes in what `trust` let through: entries that are there, and ids that are gone. An entry older than
    /// what is known of it says nothing.
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
            let old = self.known.get(&id).is_some_and(|k| entry.stamp < k.entry.stamp)
                || self.gone.get(&id).is_some_and(|stamp| entry.stamp < *stamp);
            if (as_is || !old) && self.known.get(&id).is_none_or(|k| k.entry != entry) {
                self.put(now, entry, &mut dirty, &mut changes);
            }
        }
        for id in dirty {
            self.set_members(id);
        }
        for (id, count) in before {
            let Some(k) = self.known.get(&id).filter(|_| self.count(id) != count) else { continue };
            changes.push(Change::Members { id, name: k.entry.name.clone(), count: self.count(id) });
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
        let number = match entry.what {
            EntryKind::Person => self.persons.intern(id),
            _ => self.groups.intern(id),
        } as u32;
        let old = self.known.remove(&id);
        let mut was = old.as_ref().and_then(|k| k.was.clone());
        if let Some(k) = &old {
            if k.entry.dn != entry.dn && self.by_dn.get(&k.entry.dn) == Some(&id) {
                self.by_dn.remove(&k.entry.dn);
                self.old_dns.insert(k.entry.dn.clone(), id);
                self.dn_moves(&k.entry.dn, dirty);
            }
            self.unname(&k.entry);
        }
        let known_there = old.as_ref().is_some_and(|k| k.entry.dn == entry.dn);
        if !known_there {
            self.dn_moves(&entry.dn, dirty);
        }
        let members: &[String] = old.as_ref().map_or(&[], |k| &k.entry.members);
        if members != entry.members {
            self.mention(id, members, &entry.members);
            dirty.insert(id);
        }
        if let EntryKind::Tenant { share } = entry.what {
            let index = self.place(id);
            self.names[index].0.clone_from(&entry.name);
            match &old {
                None => changes.push(Change::Came { id, name: entry.name.clone() }),
                Some(k) => {
                    if k.entry.name != entry.name {
                        was = Some((k.entry.name.clone(), now));
                        self.old_names.insert(k.entry.name.clone(), id);
                        let (from, to) = (k.entry.name.clone(), entry.name.clone());
                        changes.push(Change::Renamed { id, from, to });
                    }
                    if let EntryKind::Tenant { share: from } = k.entry.what {
                        if from != share {
                            changes.push(Change::Share { id, name: entry.name.clone(), from, to: share });
                        }
                    }
                }
            }
            self.by_name.insert(entry.name.clone(), id);
        } else if entry.what == EntryKind::Person {
            self.by_login.insert(entry.name.clone(), id);
        }
        self.by_dn.insert(entry.dn.clone(), id);
        self.known.insert(id, Known { entry, number, was });
    }

    /// A name is free again, unless another entry has taken it in the meantime.
    fn unname(&mut self, entry: &Entry) {
        let names = if entry.what == EntryKind::Person { &mut self.by_login } else { &mut self.by_name };
        if names.get(&entry.name) == Some(&entry.id) {
            names.remove(&entry.name);
        }
    }

    fn drop_entry(&mut self, id: Id, dirty: &mut BTreeSet<Id>, changes: &mut Vec<Change>) {
        let Some(k) = self.known.remove(&id) else { return };
        self.edits += 1;
        self.unname(&k.entry);
        self.dn_moves(&k.entry.dn, dirty);
        self.mention(id, &k.entry.members, &[]);
        if self.by_dn.get(&k.entry.dn) == Some(&id) {
            self.by_dn.remove(&k.entry.dn);
        }
        if k.entry.what == EntryKind::Person {
            self.persons.release(k.number as usize);
        } else {
            self.closure.set_persons(k.number, RoaringBitmap::new());
            self.closure.set_groups(k.number, RoaringBitmap::new());
            self.groups.release(k.number as usize);
        }
        if matches!(k.entry.what, EntryKind::Tenant { .. }) {
            changes.push(Change::Went { id, name: k.entry.name.clone() });
        }
        self.gone.insert(id, k.entry.stamp);
    }

    /// Finds a group's members among the entries of now; a name that leads nowhere is nobody.
    fn set_members(&mut self, id: Id) {
        let Some(k) = self.known.get(&id) else { return };
        let (mut persons, mut groups) = (RoaringBitmap::new(), RoaringBitmap::new());
        for dn in &k.entry.members {
            let member = self.by_dn.get(dn).or_else(|| self.old_dns.get(dn)).and_then(|m| self.known.get(m));
            match member {
                Some(m) if m.entry.what == EntryKind::Person => persons.insert(m.number),
                Some(m) => groups.insert(m.number),
                None => false,
            };
        }
        let number = k.number;
        self.closure.set_persons(number, persons);
        self.closure.set_groups(number, groups);
    }

    fn count(&self, id: Id) -> u64 {
        self.known.get(&id).map_or(0, |k| self.closure.count(k.number))
    }

    /// A tenant by its id in hex digits or its name; by its name of before for a while, if no other has that
    /// now, so that those who ask need not change in the moment of a renaming.
    pub fn find(&self, name: &str, now: i64) -> Option<Id> {
        let there = |id: &Id| self.index(*id).is_some();
        let was = |id: &Id| {
            let was = self.known.get(id).and_then(|k| k.was.as_ref());
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
        let entry = |n: u32| self.known.get(self.persons.id(n as usize)).map(|k| k.entry.name.as_str());
        self.closure.persons(g.number).filter_map(entry).collect()
    }

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
        self.known.get(&id).filter(|k| matches!(k.entry.what, EntryKind::Tenant { .. }))?;
        self.places.get(&id).copied()
    }

    /// The tenant under an index, there or not.
    pub fn at(&self, index: usize) -> Option<Id> {
        self.tenants.get(index).copied()
    }

    /// A group or tenant by its distinguished name.
    pub fn group(&self, dn: &str) -> Option<Id> {
        let id = *self.by_dn.get(dn)?;
        (self.known[&id].entry.what != EntryKind::Person).then_some(id)
    }

    pub fn is_member(&self, person: Id, group: Id) -> bool {
        match (self.known.get(&group), self.known.get(&person)) {
            (Some(g), Some(p)) => self.closure.holds(g.number, p.number),
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
        let name = |n: u32| self.known.get(self.groups.id(n as usize)).map(|k| k.entry.name.clone());
        self.closure.way(g.number, p.number).into_iter().filter_map(name).collect()
    }

    /// A tenant as it is shown at a time.
    pub fn tenant(&self, id: Id, now: i64) -> Option<Tenant> {
        let (k, index) = (self.known.get(&id)?, self.index(id)?);
        let EntryKind::Tenant { share } = k.entry.what else { return None };
        let was = k.was.as_ref().filter(|w| now < w.1 + OLD_NAME_SHOWN).map(|w| w.0.clone());
        Some(Tenant { id, name: k.entry.name.clone(), was, share, members: self.count(id), index })
    }

    pub fn tenants(&self, now: i64) -> impl Iterator<Item = Tenant> + '_ {
        self.tenants.iter().filter_map(move |&id| self.tenant(id, now))
    }

    /// Bytes that the closures take.
    pub fn bytes(&self) -> usize {
        self.closure.bytes()
    }
}
