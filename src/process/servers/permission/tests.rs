//! Tests of the `permission` module.

use super::*;

const WARMTHS: [Warmth; 4] = [Warmth::Cold, Warmth::Ramping(1), Warmth::Ramping(9), Warmth::Warm];

fn limits(slots: u32, cold_start_limit: u32) -> ServerLimits {
    ServerLimits { slots, connections: 100, cold_start_limit, typical_ms: 8, connect_ms: 1 }
}

/// A server that is cold in truth gets at most its limit from a holder that knows it is cold, a
/// seat's own host without a lease that believes anything, and any number of others.
#[test]
fn every_set_of_views_stays_within_the_cold_start_limit() {
    for slots in 1..=8 {
        for cold in 1..=slots {
            let limits = limits(slots, cold);
            let holder = allowance(Role::Holder, Warmth::Cold, &limits);
            for belief in WARMTHS {
                let owner = allowance(Role::OwnerWithoutLease, belief, &limits);
                let others: u32 = WARMTHS.map(|w| allowance(Role::Other, w, &limits)).iter().sum();
                assert!(holder + owner + others <= cold, "slots {slots}, limit {cold}, {belief:?}");
            }
            assert!(holder >= 1, "a holder can always warm a server up");
        }
    }
}

#[test]
fn nobody_exceeds_the_slots() {
    for slots in 1..=8 {
        for role in [Role::Holder, Role::OwnerWithoutLease, Role::Other] {
            for warmth in WARMTHS {
                assert!(allowance(role, warmth, &limits(slots, slots)) <= slots);
            }
        }
    }
}
