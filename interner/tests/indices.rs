//! Indices are handed out densely and again, and ids leave when their time is over.
use basaltpitch_interner::{fnv1a_64, IdAllocator, RefCountedIds};

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
