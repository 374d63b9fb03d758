use quickcheck::{Gen, QuickCheck, TestResult};

use super::{RECORD_BYTES, TopRecords};

fn greatest(parts: &[Vec<u8>], keep: usize) -> Vec<u8> {
    let mut all: Vec<&[u8]> =
        parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    all.sort_unstable();
    all.iter().rev().take(keep).flat_map(|record| record.to_vec()).collect()
}

#[test]
fn merge_order_does_not_change_the_greatest_records() {
    fn property(parts: Vec<Vec<u8>>, keep: usize, split: usize) -> TestResult {
        let keep = keep % 8 + 1;
        let split = split % (parts.len() + 1);
        let mut relayed = TopRecords::new(keep);
        parts[..split].iter().for_each(|part| relayed.add(part));
        let mut all = TopRecords::new(keep);
        parts[split..].iter().for_each(|part| all.add(part));
        all.add(&relayed.into_bytes());
        TestResult::from_bool(all.into_bytes()[..] == greatest(&parts, keep)[..])
    }
    let check: fn(Vec<Vec<u8>>, usize, usize) -> TestResult = property;
    QuickCheck::new().rng(Gen::from_size_and_seed(120, 5)).tests(200).quickcheck(check);
}

#[test]
fn incomplete_trailing_record_is_ignored() {
    let mut top = TopRecords::new(3);
    top.add(&[9; RECORD_BYTES + 5]);
    assert_eq!(top.into_bytes()[..], [9; RECORD_BYTES]);
}
