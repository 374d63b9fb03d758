//! Tests of the `clock` module.

use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn converted_deadline_is_never_later_than_the_true_deadline() {
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
            let peer_us = micros(now).cast_signed() + case.true_offset_us;
            now += MS(*delay);
            offset.observe(peer_us.cast_unsigned(), now);
        }
        let deadline = now + MS(50);
        let converted_us = offset.to_peer_us(deadline).expect("an exchange was observed");
        let true_us = micros(deadline).cast_signed() + case.true_offset_us;
        assert!(converted_us.cast_signed() <= true_us);
        assert!(
            true_us - converted_us.cast_signed() <= 3_000,
            "the shortest exchange bounds the error"
        );
    }
}
