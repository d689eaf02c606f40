//! Tests that indices are dense and reused, and that unreferenced ids expire.
use basaltpitch_interner::{fnv1a_64, IdAllocator, RefCountedIds};

#[test]
fn reuses_freed_indices() {
    let mut ids = IdAllocator::default();
    assert_eq!((ids.intern("a"), ids.intern("b"), ids.intern("a")), (0, 1, 0));
    ids.release(0);
    ids.release(0);
    assert_eq!((ids.intern("c"), ids.intern("d"), ids.index_of(&"a")), (0, 2, None));
}

#[test]
fn frees_index_after_idle_time_without_references() {
    let mut ids = RefCountedIds::default();
    let first = ids.acquire("a", 0);
    let second = ids.intern("b", 5);
    assert_eq!(ids.pop_expired(14, 10), None);
    assert_eq!(ids.pop_expired(15, 10), Some(second));
    ids.release(first, 20);
    ids.acquire("a", 25);
    assert_eq!(ids.pop_expired(100, 10), None, "an index that was acquired again must not expire");
    ids.release(first, 100);
    assert_eq!((ids.pop_expired(110, 10), ids.pop_expired(110, 10), ids.ids.len()), (Some(first), None, 0));
}

/// All planners derive service affinity and slow-start turns from these hashes, so the hashes must
/// never change. The expected values are published FNV-1a test vectors.
#[test]
fn hashes_match_published_fnv_1a_vectors() {
    assert_eq!(fnv1a_64(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(fnv1a_64("foobar"), 0x8594_4171_f739_67e8);
}
