use std::time::Duration;

use super::{FAULT_FREE_END, FIRST_FAULT_AFTER, draw};

#[test]
fn draw_is_deterministic_and_faults_end_in_time() {
    let length = Duration::from_secs(20);
    for seed in 0..50 {
        let faults = draw(seed, 10, length, 4, 12);
        let again = draw(seed, 10, length, 4, 12);
        assert_eq!(format!("{faults:?}"), format!("{again:?}"), "{seed}");
        for fault in faults {
            assert!(fault.at >= FIRST_FAULT_AFTER, "{seed}: {fault:?}");
            assert!(fault.at + fault.duration <= length - FAULT_FREE_END, "{seed}: {fault:?}");
        }
    }
}
