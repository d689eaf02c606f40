//! The timers of a planner: many, short, never withdrawn, and due in an order that does not depend on chance.
//! A wheel of wheels: six levels of 64 slots, the finest 1.024 ms wide. Setting a timer costs the same
//! whatever waits; a timer moves down a level at most five times. Those of one slot are handed out by the
//! time they are due, then in the order in which they were set, so that a recording replays to the last byte.
//! Times are whole microseconds.
use std::collections::BTreeMap;

/// Slots of a level, as a power of two.
const SLOT_BITS: u32 = 6;
const SLOTS: usize = 1 << SLOT_BITS;
const LEVELS: usize = 6;
/// Microseconds in a slot of the finest level, as a power of two.
const TICK_SHIFT: u32 = 10;
/// Ticks in a turn of the coarsest level, as a power of two: more than two years.
const TURN_SHIFT: u32 = SLOT_BITS * LEVELS as u32;

#[derive(Clone, Debug)]
struct Timer<T> {
    at: i64,
    seq: u64,
    what: T,
}

/// Timers on wheels. Times before the present count as due at once.
#[derive(Clone, Debug)]
pub struct Wheel<T> {
    slots: Vec<Vec<Timer<T>>>,
    /// Per level a bit for each slot that holds a timer.
    full: [u64; LEVELS],
    /// The slot of the finest level that is handed out now, as a count since time 0.
    tick: i64,
    /// Timers of that slot and of earlier ones, the last due first.
    due: Vec<Timer<T>>,
    /// Timers of a later turn of the coarsest level.
    far: BTreeMap<(i64, u64), T>,
    seq: u64,
    len: usize,
}

impl<T> Wheel<T> {
    /// A wheel without timers, at a time in microseconds.
    pub fn new(now: i64) -> Self {
        Wheel {
            slots: (0..SLOTS * LEVELS).map(|_| Vec::new()).collect(),
            full: [0; LEVELS],
            tick: now >> TICK_SHIFT,
            due: Vec::new(),
            far: BTreeMap::new(),
            seq: 0,
            len: 0,
        }
    }

    /// Timers that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no timer waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets a timer for a time in microseconds; `what` is handed out when it is due.
    pub fn set(&mut self, at: i64, what: T) {
        self.seq += 1;
        self.len += 1;
        self.put(Timer { at, seq: self.seq, what });
    }

    /// Files a timer by how far it is from the present tick.
    fn put(&mut self, timer: Timer<T>) {
        let tick = timer.at >> TICK_SHIFT;
        if tick <= self.tick {
            let key = (timer.at, timer.seq);
            let place = self.due.partition_point(|other| (other.at, other.seq) > key);
            return self.due.insert(place, timer);
        }
        // The level is that of the highest digit in which the slot differs from the present one.
        let differs = (tick ^ self.tick) as u64;
        let level = ((63 - differs.leading_zeros()) / SLOT_BITS) as usize;
        if level >= LEVELS {
            self.far.insert((timer.at, timer.seq), timer.what);
            return;
        }
        let slot = tick >> (SLOT_BITS * level as u32) & (SLOTS as i64 - 1);
        let at = level * SLOTS + slot as usize;
        self.slots[at].push(timer);
        self.full[level] |= 1 << slot;
    }

    /// The next timer that is due at `now`, with the time that it was set for.
    pub fn next_due(&mut self, now: i64) -> Option<(i64, T)> {
        loop {
            if let Some(first) = self.due.last() {
                if first.at > now {
                    return None;
                }
                let timer = self.due.pop().expect("it has a last");
                self.len -= 1;
                return Some((timer.at, timer.what));
            }
            let tick = self.next_slot()?;
            if tick > now >> TICK_SHIFT {
                return None;
            }
            self.advance(tick);
        }
    }

    /// The earliest time at which `next_due` may have something: exact for what is near, early for what is
    /// far.
    pub fn next_at(&self) -> Option<i64> {
        match self.due.last() {
            Some(first) => Some(first.at),
            None => Some(self.next_slot()? << TICK_SHIFT),
        }
    }

    /// The first tick after the present one at which a slot of any level begins that holds a timer.
    fn next_slot(&self) -> Option<i64> {
        let near = (0..LEVELS).find_map(|level| {
            let shift = SLOT_BITS * level as u32;
            let here = self.tick >> shift;
            let digit = (here & (SLOTS as i64 - 1)) as u32;
            let ahead = self.full[level] & (u64::MAX << digit << 1);
            let slot = i64::from(ahead.trailing_zeros());
            (ahead != 0).then_some(((here & !(SLOTS as i64 - 1)) | slot) << shift)
        });
        near.or_else(|| Some(self.far.keys().next()?.0 >> TICK_SHIFT >> TURN_SHIFT << TURN_SHIFT))
    }

    /// Goes to a tick, which `next_slot` gave: the slots that begin there are emptied into lower ones.
    fn advance(&mut self, tick: i64) {
        let turn = tick >> TURN_SHIFT;
        let turned = turn != self.tick >> TURN_SHIFT;
        self.tick = tick;
        while turned && self.far.keys().next().is_some_and(|far| far.0 >> TICK_SHIFT >> TURN_SHIFT == turn) {
            let ((at, seq), what) = self.far.pop_first().expect("it has a first");
            self.put(Timer { at, seq, what });
        }
        for level in (0..LEVELS).rev() {
            let shift = SLOT_BITS * level as u32;
            if tick & ((1 << shift) - 1) != 0 {
                continue;
            }
            let slot = (tick >> shift & (SLOTS as i64 - 1)) as usize;
            if self.full[level] >> slot & 1 == 1 {
                self.full[level] &= !(1 << slot);
                let mut timers = std::mem::take(&mut self.slots[level * SLOTS + slot]);
                if level == 0 {
                    timers.sort_unstable_by_key(|timer| std::cmp::Reverse((timer.at, timer.seq)));
                    // Timers that a higher level just gave are among `due` already.
                    let mut given = std::mem::replace(&mut self.due, timers);
                    if !given.is_empty() {
                        self.due.append(&mut given);
                        self.due.sort_unstable_by_key(|timer| std::cmp::Reverse((timer.at, timer.seq)));
                    }
                } else {
                    timers.drain(..).for_each(|timer| self.put(timer));
                    self.slots[level * SLOTS + slot] = timers;
                }
            }
        }
    }
}
