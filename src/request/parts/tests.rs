use hyper::body::Bytes;
use smol_str::format_smolstr;

use super::Parts;

/// One record of the value `shard`, and a signature of its own, for each shard of a bundle.
fn bundle(name: &str, shards: &[usize]) -> (Vec<(usize, smol_str::SmolStr)>, Bytes) {
    let parts = shards.iter().map(|shard| (*shard, format_smolstr!("{name}-{shard}"))).collect();
    let records: Vec<u8> = shards.iter().flat_map(|shard| [*shard as u8; 16]).collect();
    (parts, records.into())
}

#[test]
fn each_shard_counts_once_whatever_came_together() {
    struct Case {
        name: &'static str,
        bundles: Vec<(&'static str, Vec<usize>)>,
        covered: Vec<u8>,
    }
    let cases = [
        Case {
            name: "apart",
            bundles: vec![("a", vec![1]), ("b", vec![2, 3])],
            covered: vec![3, 2, 1],
        },
        Case {
            name: "a greater one replaces what it holds",
            bundles: vec![("a", vec![1]), ("b", vec![1, 2])],
            covered: vec![2, 1],
        },
        Case {
            name: "a smaller one adds nothing",
            bundles: vec![("a", vec![1, 2]), ("b", vec![2])],
            covered: vec![2, 1],
        },
        Case {
            name: "the same parts twice",
            bundles: vec![("a", vec![1, 2]), ("a", vec![1, 2])],
            covered: vec![2, 1],
        },
        Case {
            name: "overlapping ones",
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
