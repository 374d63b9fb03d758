use std::time::Duration;

use super::{CALM_END, FIRST, draw};

#[test]
fn a_seed_always_gives_the_same_faults_and_they_end_in_time() {
    let length = Duration::from_secs(20);
    for seed in 0..50 {
        let faults = draw(seed, 10, length, 4, 12);
        let again = draw(seed, 10, length, 4, 12);
        assert_eq!(format!("{faults:?}"), format!("{again:?}"), "{seed}");
        for fault in faults {
            assert!(fault.at >= FIRST, "{seed}: {fault:?}");
            assert!(fault.at + fault.lasts <= length - CALM_END, "{seed}: {fault:?}");
        }
    }
}
