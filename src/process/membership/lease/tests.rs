use super::*;

const LEASE: Duration = Duration::from_millis(1_500);

const fn ms(n: u64) -> Monotonic {
    Duration::from_millis(n)
}

fn claim(claimant: &str, incarnation: Incarnation) -> Claim {
    Claim { seat: "a".into(), claimant: claimant.into(), incarnation, epoch: 0 }
}

#[test]
fn witness_grants_one_holder_at_a_time() {
    struct Case {
        name: &'static str,
        at_ms: u64,
        claim: Claim,
        granted: bool,
    }
    let cases = [
        Case {
            name: "abstains after its start",
            at_ms: 1_499,
            claim: claim("a", 1),
            granted: false,
        },
        Case { name: "first claim", at_ms: 1_500, claim: claim("a", 1), granted: true },
        Case { name: "standby before expiry", at_ms: 2_999, claim: claim("b", 1), granted: false },
        Case { name: "renewal", at_ms: 2_999, claim: claim("a", 1), granted: true },
        Case {
            name: "standby after the renewal",
            at_ms: 4_498,
            claim: claim("b", 1),
            granted: false,
        },
        Case {
            name: "new incarnation before expiry",
            at_ms: 4_498,
            claim: claim("a", 2),
            granted: false,
        },
        Case { name: "standby after expiry", at_ms: 4_499, claim: claim("b", 1), granted: true },
        Case {
            name: "owner while a standby holds the seat",
            at_ms: 4_600,
            claim: claim("a", 1),
            granted: false,
        },
    ];
    let mut witness = Witness::new(ms(0), LEASE);
    for case in cases {
        let reply = witness.on_claim(ms(case.at_ms), &case.claim);
        let granted = matches!(reply, ClaimReply::Granted { .. });
        assert_eq!(granted, case.granted, "{}: {reply:?}", case.name);
    }
}

#[test]
fn renewal_tells_the_standby_that_the_owner_wants_its_seat_back() {
    let mut witness = Witness::new(ms(0), LEASE);
    witness.on_claim(ms(2_000), &claim("b", 1));
    assert_eq!(witness.on_claim(ms(2_100), &claim("a", 5)), ClaimReply::Held);
    let reply = witness.on_claim(ms(2_200), &claim("b", 1));
    assert_eq!(reply, ClaimReply::Granted { epoch: 1, wanted: true });
    let release = Release { seat: "a".into(), holder: "b".into(), incarnation: 1 };
    witness.on_release(ms(2_300), &release);
    let reply = witness.on_claim(ms(2_300), &claim("a", 5));
    assert_eq!(reply, ClaimReply::Granted { epoch: 2, wanted: false });
}

#[test]
fn release_by_an_earlier_incarnation_is_ignored() {
    let mut witness = Witness::new(ms(0), LEASE);
    witness.on_claim(ms(2_000), &claim("a", 2));
    witness
        .on_release(ms(2_100), &Release { seat: "a".into(), holder: "a".into(), incarnation: 1 });
    assert_eq!(witness.on_claim(ms(2_200), &claim("b", 1)), ClaimReply::Held);
}

#[test]
fn lease_needs_a_majority_and_runs_from_sending() {
    let names = ["w1", "w2", "w3"].map(HostId::from);
    let mut lease = SeatLease::new(LEASE, names.iter().cloned().collect());
    lease.on_granted(&names[0], ms(100), 1, false);
    assert_eq!(lease.valid_until(ms(100)), None);
    lease.on_granted(&names[1], ms(200), 1, false);
    let valid_until = ms(100) + LEASE - ms(150);
    assert_eq!(lease.valid_until(ms(300)), Some(valid_until));
    assert!(lease.refresh(valid_until - ms(1)));
    assert!(!lease.refresh(valid_until), "the holder's lease ends before the witnesses' promises");
    assert_eq!(lease.held_since(), None);
}

#[test]
fn witness_change_needs_both_majorities_during_the_transition() {
    let old: HostList = ["w1", "w2", "w3"].map(HostId::from).into_iter().collect();
    let new: HostList = ["w4", "w5", "w6"].map(HostId::from).into_iter().collect();
    let mut lease = SeatLease::new(LEASE, old.clone());
    lease.set_witnesses(new.clone(), ms(8_000));
    for w in &new {
        lease.on_granted(w, ms(7_000), 1, false);
    }
    assert_eq!(
        lease.valid_until(ms(7_100)),
        None,
        "the old witnesses may have granted the seat to another host"
    );
    assert!(lease.valid_until(ms(8_000)).is_some());
    for w in &old {
        lease.on_granted(w, ms(7_000), 1, false);
    }
    assert!(lease.valid_until(ms(7_100)).is_some());
}
