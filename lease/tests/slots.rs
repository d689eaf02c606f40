//! Tests of which slot a spare requests and which slot it leaves to its holder.
use basaltpitch_lease::slots::{SlotChoice, SlotSelector};
use std::collections::BTreeSet;

/// Returns the slot to request and the slot to release.
fn choose<L: Ord + Clone>(slots: &mut SlotSelector<L>) -> (Option<L>, Option<L>) {
    let SlotChoice { request, release } = slots.choose();
    (request, release)
}

#[test]
fn spare_requests_a_free_slot_and_releases_it_once_another_process_holds_it() {
    let mut slots = SlotSelector::new(vec![0, 1, 2], 3, 1);
    assert_eq!(choose(&mut slots), (None, None), "no voter has reported");
    slots.set_taken(0, [0, 1, 2]);
    slots.set_taken(1, [0, 1, 2]);
    assert_eq!(choose(&mut slots), (None, None), "all slots are taken");
    slots.vote_freed(0, &1);
    assert_eq!(choose(&mut slots), (Some(1), None));
    assert_eq!(choose(&mut slots), (None, None), "the requested slot stays the same");
    slots.set_taken(2, [0, 1]);
    assert_eq!(choose(&mut slots), (None, Some(1)), "slots 0 and 2 are taken as well");
    slots.forget_voter(0);
    assert_eq!(choose(&mut slots), (Some(2), None), "one vote is not a majority");
}

#[test]
fn spares_with_different_seeds_spread_over_the_slots() {
    let first = |seed| {
        let mut slots = SlotSelector::new((0..10).collect(), 3, seed);
        slots.set_taken(0, []);
        choose(&mut slots).0.unwrap()
    };
    let chosen: BTreeSet<usize> = (0..60).map(first).collect();
    assert!(chosen.len() >= 8, "{chosen:?}");
}
