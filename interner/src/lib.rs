//! Small dense indices for ids; freed ones are handed out again. `IdAllocator` maps ids to indices;
//! `RefCountedIds` adds when an index is freed: once nothing has held it for a stated time.
use fnv::{FnvHashMap, FnvHasher};
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// Ids of one sort and the small indices they were given.
#[derive(Clone, Debug)]
pub struct IdAllocator<K> {
    index: FnvHashMap<K, usize>,
    ids: Vec<K>,
    free: Vec<usize>,
}

impl<K> Default for IdAllocator<K> {
    fn default() -> Self {
        IdAllocator { index: FnvHashMap::default(), ids: Vec::new(), free: Vec::new() }
    }
}

impl<K: Clone + Eq + Hash> IdAllocator<K> {
    /// The index of an id, which it is given on first sight.
    pub fn intern(&mut self, id: K) -> usize {
        if let Some(&at) = self.index.get(&id) {
            return at;
        }
        let at = self.free.pop().unwrap_or(self.ids.len());
        if at == self.ids.len() {
            self.ids.push(id.clone());
        } else {
            self.ids[at] = id.clone();
        }
        self.index.insert(id, at);
        at
    }

    /// Frees an index; a second call for the same one does nothing.
    pub fn release(&mut self, at: usize) {
        if self.index.get(&self.ids[at]) == Some(&at) {
            self.index.remove(&self.ids[at]);
            self.free.push(at);
        }
    }

    pub fn index_of(&self, id: &K) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// The id that an index was last given to.
    pub fn id(&self, at: usize) -> &K {
        &self.ids[at]
    }

    /// Ids that have an index now.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
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

/// Ids that stay while something holds them, and for some time after, in case they come back.
#[derive(Clone, Debug)]
pub struct RefCountedIds<K> {
    pub ids: IdAllocator<K>,
    holds: Vec<u32>,
    /// When an index was last let go of, as in its newest entry in `idle`.
    idle_at: Vec<i64>,
    idle: VecDeque<(i64, usize)>,
}

impl<K> Default for RefCountedIds<K> {
    fn default() -> Self {
        RefCountedIds {
            ids: IdAllocator::default(),
            holds: Vec::new(),
            idle_at: Vec::new(),
            idle: VecDeque::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> RefCountedIds<K> {
    /// Enters an id without holding it: it leaves after the idle time unless it is held or entered again.
    pub fn intern(&mut self, id: K, now: i64) -> usize {
        let at = self.ids.intern(id);
        if at >= self.holds.len() {
            self.holds.resize(at + 1, 0);
            self.idle_at.resize(at + 1, i64::MIN);
        }
        if self.holds[at] == 0 && self.idle_at[at] != now {
            self.idle_at[at] = now;
            self.idle.push_back((now, at));
        }
        at
    }

    pub fn acquire(&mut self, id: K, now: i64) -> usize {
        let at = self.intern(id, now);
        self.acquire_index(at);
        at
    }

    pub fn acquire_index(&mut self, at: usize) {
        self.holds[at] += 1;
    }

    pub fn release(&mut self, at: usize, now: i64) {
        self.holds[at] = self.holds[at].saturating_sub(1);
        if self.holds[at] == 0 {
            self.idle_at[at] = now;
            self.idle.push_back((now, at));
        }
    }

    /// The next index that nothing has held since `now - keep_us`; it is free from here on.
    pub fn pop_expired(&mut self, now: i64, keep_us: i64) -> Option<usize> {
        while let Some(&(since, at)) = self.idle.front() {
            if since + keep_us > now {
                return None;
            }
            self.idle.pop_front();
            if self.holds[at] == 0 && self.idle_at[at] == since {
                self.idle_at[at] = i64::MIN;
                self.ids.release(at);
                return Some(at);
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn freed_indices_are_handed_out_again() {
        let mut ids = IdAllocator::default();
        assert_eq!((ids.intern("a"), ids.intern("b"), ids.intern("a")), (0, 1, 0));
        ids.release(0);
        ids.release(0);
        assert_eq!((ids.intern("c"), ids.intern("d"), ids.index_of(&"a")), (0, 2, None));
    }

    #[test]
    fn an_id_leaves_once_nothing_held_it_for_the_stated_time() {
        let mut l = RefCountedIds::default();
        let a = l.acquire("a", 0);
        let b = l.intern("b", 5);
        assert_eq!(l.pop_expired(14, 10), None);
        assert_eq!(l.pop_expired(15, 10), Some(b));
        l.release(a, 20);
        l.acquire("a", 25);
        assert_eq!(l.pop_expired(100, 10), None, "held again");
        l.release(a, 100);
        assert_eq!((l.pop_expired(110, 10), l.pop_expired(110, 10), l.ids.len()), (Some(a), None, 0));
    }

    /// The numbers that homes and turns rest on must never change: they are the published FNV-1a test values.
    #[test]
    fn numbers_are_fnv_1a() {
        assert_eq!(fnv1a_64(""), 0xcbf2_9ce4_8422_2325);
        assert_eq!(fnv1a_64("foobar"), 0x8594_4171_f739_67e8);
    }
}
