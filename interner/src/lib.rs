//! Maps ids to small dense indices, and reuses freed indices.
//!
//! `IdAllocator` maps ids to indices until an index is released. `RefCountedIds` also counts the
//! references to each index, and releases an index that has had no reference for a given time.
use fnv::{FnvHashMap, FnvHasher};
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// A mapping of ids of one type to small dense indices.
#[derive(Clone, Debug)]
pub struct IdAllocator<K> {
    index_by_id: FnvHashMap<K, usize>,
    /// Ids by index; a freed index keeps its last id.
    ids: Vec<K>,
    /// Freed indices, the most recently freed last.
    free: Vec<usize>,
}

impl<K> Default for IdAllocator<K> {
    fn default() -> Self {
        IdAllocator { index_by_id: FnvHashMap::default(), ids: Vec::new(), free: Vec::new() }
    }
}

impl<K: Clone + Eq + Hash> IdAllocator<K> {
    /// Returns the index of an id. An id without an index gets the most recently freed index, or
    /// the next new index if none is free.
    pub fn intern(&mut self, id: K) -> usize {
        if let Some(&index) = self.index_by_id.get(&id) {
            return index;
        }
        let index = self.free.pop().unwrap_or(self.ids.len());
        if index == self.ids.len() {
            self.ids.push(id.clone());
        } else {
            self.ids[index] = id.clone();
        }
        self.index_by_id.insert(id, index);
        index
    }

    /// Frees an index. Has no effect if the index is already free.
    pub fn release(&mut self, index: usize) {
        if self.index_by_id.get(&self.ids[index]) == Some(&index) {
            self.index_by_id.remove(&self.ids[index]);
            self.free.push(index);
        }
    }

    /// Returns the index of an id, or `None` if the id has no index now.
    pub fn index_of(&self, id: &K) -> Option<usize> {
        self.index_by_id.get(id).copied()
    }

    /// Returns the id to which an index was last assigned, even if the index has been freed since.
    pub fn id(&self, index: usize) -> &K {
        &self.ids[index]
    }

    /// Returns the number of ids that have an index now.
    pub fn len(&self) -> usize {
        self.index_by_id.len()
    }

    /// Returns whether no id has an index now.
    pub fn is_empty(&self) -> bool {
        self.index_by_id.is_empty()
    }

    /// Returns an exclusive upper bound of all indices assigned so far, which is the length
    /// required of an array that is addressed by them.
    pub fn index_bound(&self) -> usize {
        self.ids.len()
    }
}

/// Returns the 64-bit FNV-1a hash of an id, which is the same in every process.
pub fn fnv1a_64(id: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(id.as_bytes());
    hasher.finish()
}

/// A mapping of ids to indices with reference counts. An id keeps its index while it is referenced
/// and for some time after the last reference is released, in case the id returns.
#[derive(Clone, Debug)]
pub struct RefCountedIds<K> {
    /// The mapping of ids to indices.
    pub ids: IdAllocator<K>,
    /// Number of references, by index.
    reference_counts: Vec<u32>,
    /// Time of the newest entry in `idle` for the index, in microseconds; `i64::MIN` if the index
    /// has none. Older entries in `idle` are outdated.
    idle_since_us: Vec<i64>,
    /// Unreferenced indices with the time at which they were last interned or released, in
    /// microseconds, the oldest first.
    idle: VecDeque<(i64, usize)>,
}

impl<K> Default for RefCountedIds<K> {
    fn default() -> Self {
        RefCountedIds {
            ids: IdAllocator::default(),
            reference_counts: Vec::new(),
            idle_since_us: Vec::new(),
            idle: VecDeque::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> RefCountedIds<K> {
    /// Returns the index of an id without adding a reference. `pop_expired` frees an unreferenced
    /// index after the idle time, unless the id is referenced or interned again.
    pub fn intern(&mut self, id: K, now_us: i64) -> usize {
        let index = self.ids.intern(id);
        if index >= self.reference_counts.len() {
            self.reference_counts.resize(index + 1, 0);
            self.idle_since_us.resize(index + 1, i64::MIN);
        }
        if self.reference_counts[index] == 0 && self.idle_since_us[index] != now_us {
            self.idle_since_us[index] = now_us;
            self.idle.push_back((now_us, index));
        }
        index
    }

    /// Returns the index of an id, and adds a reference to the index.
    pub fn acquire(&mut self, id: K, now_us: i64) -> usize {
        let index = self.intern(id, now_us);
        self.acquire_index(index);
        index
    }

    /// Adds a reference to an index.
    pub fn acquire_index(&mut self, index: usize) {
        self.reference_counts[index] += 1;
    }

    /// Releases a reference to an index. The idle time begins when no reference is left.
    pub fn release(&mut self, index: usize, now_us: i64) {
        self.reference_counts[index] = self.reference_counts[index].saturating_sub(1);
        if self.reference_counts[index] == 0 {
            self.idle_since_us[index] = now_us;
            self.idle.push_back((now_us, index));
        }
    }

    /// Frees and returns an index that has been unreferenced for at least `keep_us`, the longest
    /// idle first, or returns `None` if there is none.
    pub fn pop_expired(&mut self, now_us: i64, keep_us: i64) -> Option<usize> {
        while let Some(&(since, index)) = self.idle.front() {
            if since + keep_us > now_us {
                return None;
            }
            self.idle.pop_front();
            if self.reference_counts[index] == 0 && self.idle_since_us[index] == since {
                self.idle_since_us[index] = i64::MIN;
                self.ids.release(index);
                return Some(index);
            }
        }
        None
    }
}
