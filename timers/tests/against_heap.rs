//! The wheel hands out the same timers at the same times in the same order as a plain heap.
use basaltpitch_timers::Wheel;
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Times near, far and beyond the last level.
fn ahead() -> impl Strategy<Value = i64> {
    prop_oneof![-5_000i64..5_000, 0i64..2_000_000, 0i64..4_000_000_000, Just(0), 0i64..200_000_000_000_000]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn same_as_a_heap(
        start in 0i64..2_000_000_000_000_000,
        steps in proptest::collection::vec((ahead(), any::<bool>(), 0i64..3_000_000_000), 1..120),
    ) {
        let (mut wheel, mut heap, mut now) = (Wheel::new(start), BinaryHeap::new(), start);
        for (i, (after, sets, passes)) in steps.into_iter().enumerate() {
            if sets {
                wheel.set(now + after, i);
                heap.push(Reverse((now + after, i)));
            } else {
                now += passes;
                while let Some(got) = wheel.next_due(now) {
                    prop_assert_eq!(Some(Reverse(got)), heap.pop());
                }
                prop_assert!(heap.peek().is_none_or(|first| first.0.0 > now));
            }
            prop_assert_eq!(wheel.len(), heap.len());
            if let (Some(at), Some(first)) = (wheel.next_at(), heap.peek()) {
                prop_assert!(at <= first.0.0.max(now), "{} after {}", at, first.0.0);
            }
        }
        while let Some(Reverse(want)) = heap.pop() {
            now = now.max(want.0);
            prop_assert_eq!(wheel.next_due(now), Some(want));
        }
        prop_assert!(wheel.is_empty());
    }
}
