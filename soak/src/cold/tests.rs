use std::time::Duration;

use super::{FAULT_FREE_END, FIRST_FAULT_AFTER, draw};

#[test]
fn draw_is_deterministic_and_cold_starts_end_in_time() {
    let length = Duration::from_secs(40);
    for seed in 0..50 {
        let faults = draw(seed, 3, length, (4, 7));
        assert_eq!(format!("{faults:?}"), format!("{:?}", draw(seed, 3, length, (4, 7))));
        for fault in faults {
            assert!(fault.at >= FIRST_FAULT_AFTER, "{seed}: {fault:?}");
            assert!(fault.at + fault.duration <= length - FAULT_FREE_END, "{seed}: {fault:?}");
        }
    }
}
