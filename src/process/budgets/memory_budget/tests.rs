use hyper::body::Bytes;

use super::{BodyBuffer, Demand, MemoryBudget, SMALL_BODY_BYTES};

const BUDGET_BYTES: usize = 1 << 20;

#[test]
fn large_bodies_leave_room_for_small_requests() {
    struct Case {
        used: usize,
        wanted: usize,
        demand: Demand,
        fits: bool,
    }
    let quarter = BUDGET_BYTES / 4;
    let cases = [
        Case { used: 0, wanted: 3 * quarter, demand: Demand::Large, fits: true },
        Case { used: 0, wanted: 3 * quarter + 1, demand: Demand::Large, fits: false },
        Case { used: 3 * quarter, wanted: 1, demand: Demand::Large, fits: false },
        Case { used: 3 * quarter, wanted: quarter, demand: Demand::Small, fits: true },
        Case { used: 3 * quarter, wanted: quarter + 1, demand: Demand::Small, fits: false },
        Case { used: 0, wanted: usize::MAX, demand: Demand::Small, fits: false },
    ];
    for Case { used, wanted, demand, fits } in cases {
        let budget = MemoryBudget::new(BUDGET_BYTES);
        let _used = budget.reserve_used(used);
        let reserved = budget.try_reserve(wanted, demand);
        assert_eq!(reserved.is_some(), fits, "{wanted} beside {used}, {demand:?}");
        drop(reserved);
        assert_eq!(budget.used_bytes(), used, "{wanted} beside {used}, {demand:?}");
    }
}

/// Guards against a body that is no longer counted although a copy of its handle still holds it, in
/// a queue or in an answer that is being written.
#[test]
fn body_counts_until_its_last_reference_is_dropped() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let mut buffer = BodyBuffer::new(&budget);
    for _ in 0..100 {
        assert!(buffer.try_grow(100, SMALL_BODY_BYTES));
        buffer.push(&[7; 100]);
        assert!(budget.used_bytes() >= buffer.len());
    }
    let body = buffer.into_bytes();
    let (part, held) = (body.slice(5..6), budget.used_bytes());
    assert_eq!(body, vec![7; 10_000]);
    drop(body);
    assert_eq!(budget.used_bytes(), held);
    drop(part);
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn body_takes_no_memory_that_it_does_not_need() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let mut buffer = BodyBuffer::new(&budget);
    assert_eq!(budget.used_bytes(), 0);
    assert!(buffer.try_grow(1, 100_000));
    assert!(budget.used_bytes() < 100, "{}", budget.used_bytes());
    buffer.push(b"x");
    assert!(!buffer.try_grow(BUDGET_BYTES, 2 * BUDGET_BYTES));
    assert_eq!(buffer.as_ref(), b"x");
    assert!(buffer.into_bytes().len() == 1 && budget.used_bytes() == 0);
}

#[test]
fn received_bytes_are_counted_if_they_fit() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    assert!(budget.try_count(vec![0; BUDGET_BYTES].into()).is_none());
    let counted = budget.try_count(vec![0; 1_000].into()).expect("they fit");
    let more = budget.count_used(vec![0; BUDGET_BYTES].into());
    assert_eq!(budget.used_bytes(), BUDGET_BYTES + 1_000);
    drop((counted, more));
    assert_eq!(budget.used_bytes(), 0);
    assert_eq!(budget.count_used(Bytes::new()).len(), 0);
}
