//! Tests of the `gather` module.

use super::*;
use crate::connection::peer::ShardReport;

fn row(shard: ShardId, rank: i64) -> Row {
    Row { shard, rank, key: format!("{shard}-{rank}").into(), text: "x".into() }
}

fn report(shard: ShardId, server: &str, outcome: Outcome<()>) -> ShardReport {
    ShardReport { shard, server: server.into(), outcome, expected_us: 0, warm: true, took_us: 0 }
}

fn answered(shards: &[(ShardId, &str)], rows: Vec<Row>) -> Part {
    let ended = shards
        .iter()
        .map(|(shard, server)| report(*shard, server, Outcome::Answered(())))
        .collect();
    Part { ended, rows, pending: 0, held_us: 0 }
}

fn gather(limit: usize) -> Gather {
    let mut gather = Gather::new(5, 0..3, Some(limit));
    for shard in 0..3 {
        gather.on_sent(shard, &format!("s{shard}").into());
    }
    gather
}

#[test]
fn coverage_counts_each_shard_once() {
    let mut gather = gather(10);
    gather.on_sent(1, &"hedge".into());
    gather.on_part(answered(&[(0, "s0"), (1, "hedge")], vec![row(0, 1), row(1, 2)]));
    gather.on_part(answered(&[(1, "s1")], vec![row(1, 2), row(1, 3)]));
    gather.on_part(answered(&[(1, "hedge")], vec![row(1, 4)]));
    assert_eq!(gather.coverage().answered, 2);
    let Outcome::Answered(answer) = gather.finish() else { panic!("two shards are answered") };
    let ranks: Vec<_> = answer.rows.iter().map(|r| r.rank).collect();
    assert_eq!(ranks, [1, 2], "the losing attempt adds no rows");
    assert_eq!(answer.coverage.missing[0].reason, "timed_out");
}

#[test]
fn unsolicited_replies_are_ignored() {
    let mut gather = gather(10);
    gather.on_part(answered(&[(9, "s9"), (0, "s1")], vec![row(9, 1), row(0, 1)]));
    assert_eq!(gather.coverage().answered, 0);
    assert!(gather.finish() == Outcome::Unknown(UnknownReason::TimedOut));
}

#[test]
fn row_limit_with_duplicate_answer_keeps_top_rows() {
    let mut gather = gather(2);
    gather.on_sent(0, &"hedge".into());
    gather.on_part(answered(&[(0, "hedge")], vec![row(0, 1), row(0, 2)]));
    let merged = merge_rows(vec![row(0, 1), row(0, 2), row(1, 3), row(1, 4)], 2);
    gather.on_part(answered(&[(0, "s0"), (1, "s1")], merged));
    let Outcome::Answered(answer) = gather.finish() else { panic!("two shards are answered") };
    let ranks: Vec<_> = answer.rows.iter().map(|r| r.rank).collect();
    assert_eq!(ranks, [1, 2]);
}

#[test]
fn outcome_is_not_run_only_if_no_attempt_may_have_run() {
    struct Case {
        name: &'static str,
        outcomes: [Outcome<()>; 3],
        result: Outcome<()>,
    }
    let shed = Outcome::NotRun(NotRunReason::Shed);
    let lost = Outcome::Unknown(UnknownReason::ConnectionLost);
    let cases = [
        Case {
            name: "all shed",
            outcomes: [shed.clone(), shed.clone(), shed.clone()],
            result: shed.clone(),
        },
        Case {
            name: "one lost",
            outcomes: [shed.clone(), lost.clone(), shed.clone()],
            result: lost.clone(),
        },
        Case {
            name: "one answered",
            outcomes: [shed, lost, Outcome::Answered(())],
            result: Outcome::Answered(()),
        },
    ];
    for case in cases {
        let mut gather = gather(2);
        let ended = case
            .outcomes
            .iter()
            .zip(0..)
            .map(|(outcome, shard)| report(shard, &format!("s{shard}"), outcome.clone()))
            .collect();
        gather.on_part(Part { ended, rows: Vec::new(), pending: 0, held_us: 0 });
        assert_eq!(gather.finish().map(|_| ()), case.result, "{}", case.name);
    }
}

#[test]
fn failed_shard_is_unresolved_after_its_last_attempt() {
    let mut gather = gather(2);
    gather.on_sent(0, &"hedge".into());
    let shed = Outcome::NotRun(NotRunReason::Shed);
    let part = |server| Part {
        ended: vec![report(0, server, shed.clone())],
        rows: vec![],
        pending: 0,
        held_us: 0,
    };
    assert_eq!(gather.on_part(part("s0")), Vec::<ShardId>::new());
    assert_eq!(gather.on_part(part("hedge")), [0]);
    assert_eq!(gather.tried(0).len(), 2);
}
