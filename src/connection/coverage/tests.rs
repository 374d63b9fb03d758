use super::*;

#[test]
fn missing_shards_are_grouped_by_reason_as_ranges() {
    struct Case {
        missing: &'static [(ShardId, &'static str)],
        answered: u32,
        text: &'static [(&'static str, u32, &'static str)],
    }
    let cases = [
        Case { missing: &[], answered: 20, text: &[] },
        Case { missing: &[(4, "shed")], answered: 19, text: &[("shed", 1, "4")] },
        Case {
            missing: &[(9, "late"), (1, "shed"), (2, "shed"), (0, "shed"), (7, "late")],
            answered: 15,
            text: &[("late", 2, "7,9"), ("shed", 3, "0-2")],
        },
    ];
    for case in cases {
        let missing = case.missing.iter().map(|(shard, reason)| (*shard, SmolStr::new(reason)));
        let coverage = Coverage::new(20, missing);
        assert_eq!(coverage.answered, case.answered);
        let text: Vec<_> = coverage
            .missing
            .iter()
            .map(|m| (m.reason.as_str(), m.count, m.shards.as_str()))
            .collect();
        assert_eq!(text, case.text);
    }
}

#[test]
fn coverage_of_many_missing_shards_stays_short() {
    let missing = (0..1_400).map(|shard| (shard, SmolStr::new("domain_out")));
    let coverage = Coverage::new(1_400, missing);
    let json = serde_json::to_string(&coverage).unwrap();
    assert!(json.len() < 200, "{json}");
}
