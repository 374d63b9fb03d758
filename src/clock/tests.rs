//! Tests of the `clock` module.

use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn mapped_deadline_is_never_later_than_the_true_one() {
    struct Case {
        true_offset_us: i64,
        delays_ms: &'static [u64],
    }
    let cases = [
        Case { true_offset_us: 5_000_000, delays_ms: &[1, 9, 3] },
        Case { true_offset_us: -200_000, delays_ms: &[40, 2] },
    ];
    for case in cases {
        let mut offset = PeerOffset::default();
        let mut now = MS(1_000);
        for delay in case.delays_ms {
            let read_at = micros(now).cast_signed() + case.true_offset_us;
            now += MS(*delay);
            offset.observe(read_at.cast_unsigned(), now);
        }
        let deadline = now + MS(50);
        let mapped = offset.to_peer_us(deadline).expect("an exchange was observed");
        let truth = micros(deadline).cast_signed() + case.true_offset_us;
        assert!(mapped.cast_signed() <= truth);
        assert!(truth - mapped.cast_signed() <= 3_000, "a short exchange bounds the error");
    }
}
