use super::*;

const WARMTHS: [Warmth; 4] = [Warmth::Cold, Warmth::Ramping(1), Warmth::Ramping(9), Warmth::Warm];

fn limits(slots: u32, cold_start_limit: u32) -> ServerLimits {
    ServerLimits { slots, connections: 100, cold_start_limit, typical_ms: 8, connect_ms: 1 }
}

/// A cold server must not get more than its cold-start limit from a holder that knows that it is
/// cold, an owner without a lease that has any estimate, and any number of other hosts together.
#[test]
fn limits_of_all_hosts_sum_within_cold_start_limit() {
    for slots in 1..=8 {
        for cold in 1..=slots {
            let limits = limits(slots, cold);
            let holder = concurrency_limit(Role::Holder, Warmth::Cold, &limits);
            for warmth in WARMTHS {
                let owner = concurrency_limit(Role::OwnerWithoutLease, warmth, &limits);
                let others: u32 =
                    WARMTHS.map(|w| concurrency_limit(Role::Other, w, &limits)).iter().sum();
                assert!(holder + owner + others <= cold, "slots {slots}, limit {cold}, {warmth:?}");
            }
            assert!(holder >= 1, "a holder can always warm a server up");
        }
    }
}

#[test]
fn limit_never_exceeds_slots() {
    for slots in 1..=8 {
        for role in [Role::Holder, Role::OwnerWithoutLease, Role::Other] {
            for warmth in WARMTHS {
                assert!(concurrency_limit(role, warmth, &limits(slots, slots)) <= slots);
            }
        }
    }
}
