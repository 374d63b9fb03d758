use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;

fn node(name: &str) -> Gossip<RandomizedTokens> {
    let strategy = RandomizedTokens { spend_divisor: 2, capacity: 6 };
    Gossip::new(name.into(), 1, strategy, Monotonic::ZERO)
}

#[test]
fn only_newer_rumors_are_useful() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut a, mut b) = (node("a"), node("b"));
    let first = a.message();
    assert!(b.on_push(Monotonic::ZERO, &first, &mut rng).useful);
    assert!(!b.on_push(Monotonic::ZERO, &first, &mut rng).useful);
    assert!(a.set_own(Monotonic::ZERO, true, 0, SmallVec::new()));
    let second = a.message();
    assert!(b.on_push(Monotonic::ZERO, &second, &mut rng).useful);
    assert!(
        !b.on_push(Monotonic::ZERO, &first, &mut rng).useful,
        "an older rumor that arrives late"
    );
    assert!(b.rumors().all(|(rumor, _)| rumor.leaving));
}

#[test]
fn config_versions_are_compared() {
    struct Case {
        mine: (ConfigVersion, u64),
        theirs: (ConfigVersion, u64),
        newer: bool,
        conflicting: bool,
    }
    let cases = [
        Case { mine: (3, 30), theirs: (3, 30), newer: false, conflicting: false },
        Case { mine: (3, 30), theirs: (4, 40), newer: true, conflicting: false },
        Case { mine: (3, 30), theirs: (2, 20), newer: false, conflicting: false },
        Case { mine: (3, 30), theirs: (3, 31), newer: false, conflicting: true },
        Case { mine: (0, 0), theirs: (0, 1), newer: false, conflicting: false },
    ];
    for case in cases {
        let mut rng = SmallRng::seed_from_u64(1);
        let (mut a, mut b) = (node("a"), node("b"));
        a.set_config(case.mine.0, case.mine.1);
        b.set_config(case.theirs.0, case.theirs.1);
        let received = a.on_push(Monotonic::ZERO, &b.message(), &mut rng);
        assert_eq!(
            (received.newer_config, received.conflicting_config),
            (case.newer, case.conflicting)
        );
    }
}

#[test]
fn sends_are_bounded_by_ticks_and_capacity() {
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut a, mut b) = (node("a"), node("b"));
    let mut sent = 0;
    for n in 0..1_000 {
        sent += b.tick(&mut rng);
        a.set_own(Monotonic::ZERO, n % 2 == 0, n, SmallVec::new());
        sent += b.on_push(Monotonic::ZERO, &a.message(), &mut rng).sends;
        assert!(sent <= n + 1 + 6, "the token capacity bounds a burst");
    }
}

#[test]
fn message_size_is_bounded_and_rumors_rotate() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut hub = node("hub");
    for n in 0..40 {
        hub.on_push(Monotonic::ZERO, &node(&format!("n{n}")).message(), &mut rng);
    }
    let mut seen = std::collections::HashSet::new();
    for _ in 0..3 {
        let push = hub.message();
        assert!(push.rumors.len() <= MAX_RUMORS);
        seen.extend(push.rumors.into_iter().map(|rumor| rumor.host));
    }
    assert_eq!(seen.len(), 41);
}
