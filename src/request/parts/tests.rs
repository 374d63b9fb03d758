use hyper::body::Bytes;
use smol_str::format_smolstr;

use super::Parts;

/// Returns a record of value `shard` and a unique signature for each shard of a bundle.
fn bundle(name: &str, shards: &[usize]) -> (Vec<(usize, smol_str::SmolStr)>, Bytes) {
    let parts = shards.iter().map(|shard| (*shard, format_smolstr!("{name}-{shard}"))).collect();
    let records: Vec<u8> = shards.iter().flat_map(|shard| [*shard as u8; 16]).collect();
    (parts, records.into())
}

#[test]
fn overlapping_bundles_count_each_shard_once() {
    struct Case {
        name: &'static str,
        bundles: Vec<(&'static str, Vec<usize>)>,
        covered: Vec<u8>,
    }
    let cases = [
        Case {
            name: "disjoint",
            bundles: vec![("a", vec![1]), ("b", vec![2, 3])],
            covered: vec![3, 2, 1],
        },
        Case {
            name: "larger bundle replaces the one it contains",
            bundles: vec![("a", vec![1]), ("b", vec![1, 2])],
            covered: vec![2, 1],
        },
        Case {
            name: "smaller bundle adds nothing",
            bundles: vec![("a", vec![1, 2]), ("b", vec![2])],
            covered: vec![2, 1],
        },
        Case {
            name: "bundle with one shard twice",
            bundles: vec![("a", vec![1, 2]), ("b", vec![3, 3])],
            covered: vec![2, 1],
        },
        Case {
            name: "duplicate bundle",
            bundles: vec![("a", vec![1, 2]), ("a", vec![1, 2])],
            covered: vec![2, 1],
        },
        Case {
            name: "partial overlap",
            bundles: vec![("a", vec![4, 5]), ("b", vec![1, 2, 4]), ("c", vec![5])],
            covered: vec![5, 4, 2, 1],
        },
    ];
    for case in cases {
        let mut parts = Parts::default();
        for (name, shards) in &case.bundles {
            let (signed, records) = bundle(name, shards);
            parts.add(signed, records);
        }
        assert_eq!(parts.covered(), case.covered.len(), "{}", case.name);
        let (signatures, records) = parts.finish(100);
        assert_eq!(signatures.len(), case.covered.len(), "{}", case.name);
        let expected: Vec<u8> = case.covered.iter().flat_map(|shard| [*shard; 16]).collect();
        assert_eq!(records[..], expected[..], "{}", case.name);
    }
}
