use std::time::Duration;

use super::{CALM_MS, MAX_OUTAGE_MS, draw};
use crate::faults::{FAULT_FREE_END, FIRST_FAULT_AFTER, FaultKind};

#[test]
fn draw_is_deterministic_and_losses_end_in_time() {
    let length = Duration::from_secs(60);
    for seed in 0..50 {
        let faults = draw(seed, 3, length, 24);
        let again = draw(seed, 3, length, 24);
        assert_eq!(format!("{faults:?}"), format!("{again:?}"), "{seed}");
        assert_eq!(faults.len(), 3, "{seed}");
        for fault in faults {
            let FaultKind::Succession(succession) = fault.kind else {
                panic!("{seed}: {fault:?}");
            };
            let before = succession
                .outage
                .map_or(Duration::ZERO, |_| Duration::from_millis(MAX_OUTAGE_MS + CALM_MS.end));
            let ends_at = fault.at + before + fault.duration;
            assert!(fault.at >= FIRST_FAULT_AFTER, "{seed}: {fault:?}");
            assert!(ends_at <= length - FAULT_FREE_END, "{seed}: {fault:?}");
        }
    }
}
