//! Hosts that the platform refuses, or that have just started, hear its facts from other hosts.

use quetzalpoint::process::configuration::fact_exchange;
use quetzalpoint::process::servers::registry::{Change, Fact};
use quetzalpoint::version::plan::PlanDocument;

use crate::fake::{NORTH, World, record};

fn removed(shard: usize, revision: u64) -> Change {
    Change { revision, fact: Fact::Server(record(shard, NORTH).id, None) }
}

fn version(world: &World, version: u64) -> PlanDocument {
    let document = world.tier.plan.load().document().as_ref().clone();
    PlanDocument { version, ..document }
}

#[tokio::test(start_paused = true)]
async fn a_host_that_pulls_knows_as_much_as_the_other() {
    let mut first = World::new(3);
    let second = World::new(3);
    first.change(vec![removed(1, 7)], 9);
    fact_exchange::adopt(&first.tier, version(&first, 4));
    let facts =
        fact_exchange::facts_after(&first.tier, fact_exchange::known_versions(&second.tier));
    fact_exchange::on_facts(&second.tier, facts);
    assert_eq!(
        fact_exchange::known_versions(&second.tier),
        fact_exchange::known_versions(&first.tier)
    );
    assert!(!second.tier.servers.load().may_send(&record(1, NORTH).id));
    let nothing =
        fact_exchange::facts_after(&first.tier, fact_exchange::known_versions(&second.tier));
    assert!(nothing.changes.is_empty() && nothing.plan.is_none());
}

#[tokio::test(start_paused = true)]
async fn pushed_facts_with_a_gap_before_them_do_not_hide_it() {
    let mut first = World::new(3);
    let second = World::new(3);
    first.change(vec![removed(0, 5)], 5);
    let known = fact_exchange::known_versions(&first.tier);
    first.change(vec![removed(1, 7)], 7);
    fact_exchange::on_facts(&second.tier, fact_exchange::facts_after(&first.tier, known));
    assert!(!second.tier.servers.load().may_send(&record(1, NORTH).id), "what came is used");
    assert_eq!(
        fact_exchange::known_versions(&second.tier).revision,
        1,
        "what is missing is asked for"
    );
    fact_exchange::on_facts(
        &second.tier,
        fact_exchange::facts_after(&first.tier, fact_exchange::known_versions(&second.tier)),
    );
    assert!(!second.tier.servers.load().may_send(&record(0, NORTH).id));
}

#[tokio::test(start_paused = true)]
async fn a_plan_never_reverts() {
    struct Case {
        name: &'static str,
        told: Vec<u64>,
        in_force: u64,
    }
    let cases = [
        Case { name: "newer", told: vec![3, 5], in_force: 5 },
        Case { name: "late older word", told: vec![5, 3], in_force: 5 },
        Case { name: "the same again", told: vec![5, 5], in_force: 5 },
    ];
    for case in cases {
        let world = World::new(1);
        for told in case.told {
            fact_exchange::adopt(&world.tier, version(&world, told));
        }
        assert_eq!(world.tier.plan.load().version, case.in_force, "{}", case.name);
    }
}
