//! Small dense indices for ids; freed ones are handed out again. `IdAllocator` maps ids to indices;
//! `RefCountedIds` adds when an index is freed: once nothing has held it for a stated time.
use fnv::{FnvHashMap, FnvHasher};
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// Ids of one sort and the small indices that they were given.
#[derive(Clone, Debug)]
pub struct IdAllocator<K> {
    index_by_id: FnvHashMap<K, usize>,
    ids: Vec<K>,
    free: Vec<usize>,
}

impl<K> Default for IdAllocator<K> {
    fn default() -> Self {
        IdAllocator { index_by_id: FnvHashMap::default(), ids: Vec::new(), free: Vec::new() }
    }
}

impl<K: Clone + Eq + Hash> IdAllocator<K> {
    /// The index of an id; an id without one is given the index that was freed last, or the next new one.
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

    /// Frees an index; a second call for the same one does nothing.
    pub fn release(&mut self, index: usize) {
        if self.index_by_id.get(&self.ids[index]) == Some(&index) {
            self.index_by_id.remove(&self.ids[index]);
            self.free.push(index);
        }
    }

    /// The index that an id has now.
    pub fn index_of(&self, id: &K) -> Option<usize> {
        self.index_by_id.get(id).copied()
    }

    /// The id that an index was last given to.
    pub fn id(&self, index: usize) -> &K {
        &self.ids[index]
    }

    /// Ids that have an index now.
    pub fn len(&self) -> usize {
        self.index_by_id.len()
    }

    /// Whether no id has an index now.
    pub fn is_empty(&self) -> bool {
        self.index_by_id.is_empty()
    }

    /// Indices ever in use at one time: the length of arrays under them.
    pub fn index_bound(&self) -> usize {
        self.ids.len()
    }
}

/// A number for an id that is a word (FNV-1a, 64 bits), the same in every process.
pub fn fnv1a_64(id: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(id.as_bytes());
    hasher.finish()
}

/// Ids that keep their indices while something refers to them, and for some time after, in case they come back.
#[derive(Clone, Debug)]
pub struct RefCountedIds<K> {
    /// Which id has which index.
    pub ids: IdAllocator<K>,
    reference_counts: Vec<u32>,
    /// By index: when its count last came to 0, as in its newest entry in `idle`.
    idle_since_us: Vec<i64>,
    /// Indices whose count came to 0, with the time, the oldest first.
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
    /// The index of an id, without a reference to it: it is freed after the idle time unless it is referred to or
    /// interned again.
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

    /// The index of an id, with one more reference to it.
    pub fn acquire(&mut self, id: K, now_us: i64) -> usize {
        let index = self.intern(id, now_us);
        self.acquire_index(index);
        index
    }

    /// One more reference to an index.
    pub fn acquire_index(&mut self, index: usize) {
        self.reference_counts[index] += 1;
    }

    /// One reference less; at 0 the idle time begins.
    pub fn release(&mut self, index: usize, now_us: i64) {
        self.reference_counts[index] = self.reference_counts[index].saturating_sub(1);
        if self.reference_counts[index] == 0 {
            self.idle_since_us[index] = now_us;
            self.idle.push_back((now_us, index));
        }
    }

    /// The next index that nothing has referred to since `now_us - keep_us`; it is free from here on.
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
