use std::time::Duration;

use super::draw;
use crate::faults::{FAULT_FREE_END, FIRST_FAULT_AFTER, FaultKind};

#[test]
fn draw_is_deterministic_and_restores_end_in_time() {
    for (length_s, seed) in (0..50).flat_map(|seed| [(16, seed), (20, seed), (30, seed)]) {
        let length = Duration::from_secs(length_s);
        let faults = draw(seed, 3, length, 4, (2, 12));
        let again = draw(seed, 3, length, 4, (2, 12));
        assert_eq!(format!("{faults:?}"), format!("{again:?}"), "{seed}");
        let is_restore = |kind: FaultKind| matches!(kind, FaultKind::Restore(_));
        assert!(faults.iter().filter(|fault| is_restore(fault.kind)).count() >= 3, "{seed}");
        for fault in faults {
            let ends_after = fault.at + fault.duration;
            assert!(fault.at >= FIRST_FAULT_AFTER, "{seed}: {fault:?}");
            if is_restore(fault.kind) {
                assert!(ends_after <= length - FAULT_FREE_END, "{seed}: {fault:?}");
            }
        }
    }
}
