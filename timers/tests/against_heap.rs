//! Compares the timer wheel with a binary heap: both must return the same timers in the same order.
use basaltpitch_timers::Wheel;
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Generates offsets of due times in microseconds: in the past, near, far, and beyond the last
/// level.
fn due_time_offset() -> impl Strategy<Value = i64> {
    prop_oneof![-5_000i64..5_000, 0i64..2_000_000, 0i64..4_000_000_000, Just(0), 0i64..200_000_000_000_000]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]
    /// Sets timers and advances the clock at random. Guards against timers that are lost, early,
    /// late or out of order when they move between levels or past the last level.
    #[test]
    fn returns_same_timers_in_same_order_as_heap(
        start in 0i64..2_000_000_000_000_000,
        steps in proptest::collection::vec((due_time_offset(), any::<bool>(), 0i64..3_000_000_000), 1..120),
    ) {
        let (mut wheel, mut heap, mut now) = (Wheel::new(start), BinaryHeap::new(), start);
        for (id, (offset, sets_timer, elapsed)) in steps.into_iter().enumerate() {
            if sets_timer {
                wheel.set(now + offset, id);
                heap.push(Reverse((now + offset, id)));
            } else {
                now += elapsed;
                while let Some(timer) = wheel.next_due(now) {
                    prop_assert_eq!(Some(Reverse(timer)), heap.pop());
                }
                prop_assert!(heap.peek().is_none_or(|first| first.0.0 > now));
            }
            prop_assert_eq!(wheel.len(), heap.len());
            if let (Some(at), Some(first)) = (wheel.next_at(), heap.peek()) {
                prop_assert!(at <= first.0.0.max(now), "next_at() is {}, after the first due time {}", at, first.0.0);
            }
        }
        while let Some(Reverse(expected)) = heap.pop() {
            now = now.max(expected.0);
            prop_assert_eq!(wheel.next_due(now), Some(expected));
        }
        prop_assert!(wheel.is_empty());
    }
}
