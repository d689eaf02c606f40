//! A hierarchical timer wheel for a planner, which sets many short timers and never cancels one.
//!
//! The wheel has six levels of 64 slots; a slot of the finest level is 1.024 ms wide. Setting a
//! timer takes constant time, however many timers are pending, unless the timer lies in the current
//! slot or beyond the last level. A timer moves to a finer level at most five times. Timers expire
//! in the order of their due times, and those with equal due times in the order in which they were
//! set, so that a recording can be replayed byte for byte. Times are in whole microseconds.
use std::collections::BTreeMap;

/// Binary logarithm of the number of slots in a level.
const SLOT_BITS: u32 = 6;
const SLOTS: usize = 1 << SLOT_BITS;
const LEVELS: usize = 6;
/// Binary logarithm of the width of a tick, that is a slot of the finest level, in microseconds.
const TICK_SHIFT: u32 = 10;
/// Binary logarithm of the ticks in a span, the aligned range of ticks that the coarsest level
/// covers. A span lasts more than two years.
const SPAN_SHIFT: u32 = SLOT_BITS * LEVELS as u32;

/// A pending timer.
#[derive(Clone, Debug)]
struct Timer<T> {
    /// Time at which the timer is due, in microseconds.
    at: i64,
    /// Order in which the timers were set.
    sequence: u64,
    /// The payload returned when the timer expires.
    payload: T,
}

/// A hierarchical timer wheel. A timer that is set for a past time is due immediately.
#[derive(Clone, Debug)]
pub struct Wheel<T> {
    /// Timers by level and slot: the slots of the finest level come first.
    slots: Vec<Vec<Timer<T>>>,
    /// For each level, a bit mask of the slots that contain timers.
    occupied: [u64; LEVELS],
    /// The current tick, counted from time 0.
    tick: i64,
    /// Timers of the current tick and of earlier ones, in descending order of due time.
    due: Vec<Timer<T>>,
    /// Timers in spans after the current one, by due time and sequence number.
    overflow: BTreeMap<(i64, u64), T>,
    /// Sequence number of the timer that was set last.
    sequence: u64,
    /// Number of pending timers.
    len: usize,
}

impl<T> Wheel<T> {
    /// Creates a wheel without timers at the time `now`, in microseconds.
    pub fn new(now: i64) -> Self {
        Wheel {
            slots: (0..SLOTS * LEVELS).map(|_| Vec::new()).collect(),
            occupied: [0; LEVELS],
            tick: now >> TICK_SHIFT,
            due: Vec::new(),
            overflow: BTreeMap::new(),
            sequence: 0,
            len: 0,
        }
    }

    /// Returns the number of pending timers.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets a timer that is due at the time `at`, in microseconds, and then returns `payload`.
    pub fn set(&mut self, at: i64, payload: T) {
        self.sequence += 1;
        self.len += 1;
        self.insert(Timer { at, sequence: self.sequence, payload });
    }

    /// Inserts a timer into the list of due timers, a slot, or the overflow map, depending on the
    /// distance of its due time from the current tick.
    fn insert(&mut self, timer: Timer<T>) {
        let tick = timer.at >> TICK_SHIFT;
        if tick <= self.tick {
            let key = (timer.at, timer.sequence);
            let position = self.due.partition_point(|other| (other.at, other.sequence) > key);
            return self.due.insert(position, timer);
        }
        // A level corresponds to a digit of the tick in base `SLOTS`. The timer belongs to the
        // level of the highest digit in which its tick differs from the current one.
        let difference = (tick ^ self.tick) as u64;
        let level = ((63 - difference.leading_zeros()) / SLOT_BITS) as usize;
        if level >= LEVELS {
            self.overflow.insert((timer.at, timer.sequence), timer.payload);
            return;
        }
        let slot = tick >> (SLOT_BITS * level as u32) & (SLOTS as i64 - 1);
        let index = level * SLOTS + slot as usize;
        self.slots[index].push(timer);
        self.occupied[level] |= 1 << slot;
    }

    /// Removes the next timer that is due at `now`, and returns its due time and its payload. Returns
    /// `None` if no timer is due.
    pub fn next_due(&mut self, now: i64) -> Option<(i64, T)> {
        loop {
            if let Some(first) = self.due.last() {
                if first.at > now {
                    return None;
                }
                let timer = self.due.pop().expect("the list of due timers is not empty");
                self.len -= 1;
                return Some((timer.at, timer.payload));
            }
            let tick = self.next_slot()?;
            if tick > now >> TICK_SHIFT {
                return None;
            }
            self.advance(tick);
        }
    }

    /// Returns the earliest time at which `next_due` may return a timer, or `None` if no timer is
    /// pending. The time is exact for timers of the current tick; for later ones, it is the start
    /// of their slot, which may lie before the due time.
    pub fn next_at(&self) -> Option<i64> {
        match self.due.last() {
            Some(first) => Some(first.at),
            None => Some(self.next_slot()? << TICK_SHIFT),
        }
    }

    /// Returns the first tick after the current one at which a slot with timers, of any level,
    /// begins. If all slots are empty, returns the start of the span that contains the first
    /// timer in the overflow map, or `None` if that map is empty too.
    fn next_slot(&self) -> Option<i64> {
        let in_slot = (0..LEVELS).find_map(|level| {
            let shift = SLOT_BITS * level as u32;
            let current = self.tick >> shift;
            let digit = (current & (SLOTS as i64 - 1)) as u32;
            let ahead = self.occupied[level] & (u64::MAX << digit << 1);
            let slot = i64::from(ahead.trailing_zeros());
            (ahead != 0).then_some(((current & !(SLOTS as i64 - 1)) | slot) << shift)
        });
        in_slot.or_else(|| Some(self.overflow.keys().next()?.0 >> TICK_SHIFT >> SPAN_SHIFT << SPAN_SHIFT))
    }

    /// Moves the wheel forward to a tick that `next_slot` returned. Timers in the slots that begin
    /// at that tick move to finer levels or to the list of due timers.
    fn advance(&mut self, tick: i64) {
        let span = tick >> SPAN_SHIFT;
        let is_new_span = span != self.tick >> SPAN_SHIFT;
        self.tick = tick;
        while is_new_span
            && self.overflow.keys().next().is_some_and(|key| key.0 >> TICK_SHIFT >> SPAN_SHIFT == span)
        {
            let ((at, sequence), payload) = self.overflow.pop_first().expect("the overflow map is not empty");
            self.insert(Timer { at, sequence, payload });
        }
        for level in (0..LEVELS).rev() {
            let shift = SLOT_BITS * level as u32;
            if tick & ((1 << shift) - 1) != 0 {
                continue;
            }
            let slot = (tick >> shift & (SLOTS as i64 - 1)) as usize;
            if self.occupied[level] >> slot & 1 == 1 {
                self.occupied[level] &= !(1 << slot);
                let mut timers = std::mem::take(&mut self.slots[level * SLOTS + slot]);
                if level == 0 {
                    timers.sort_unstable_by_key(|timer| std::cmp::Reverse((timer.at, timer.sequence)));
                    // Timers that were just moved down from a coarser level may be in `due`
                    // already.
                    let mut moved_down = std::mem::replace(&mut self.due, timers);
                    if !moved_down.is_empty() {
                        self.due.append(&mut moved_down);
                        self.due.sort_unstable_by_key(|timer| std::cmp::Reverse((timer.at, timer.sequence)));
                    }
                } else {
                    timers.drain(..).for_each(|timer| self.insert(timer));
                    self.slots[level * SLOTS + slot] = timers;
                }
            }
        }
    }
}
