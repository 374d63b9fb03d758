//! A sixth of all servers is eight times slower for some seconds, one of each shard's at most.

use std::time::Duration;

use quetzalpoint::Outcome;
use quetzalpoint::request::entry::Answer;

use crate::fake::{Mode, NORTH, SOUTH, WORK, World, addr};

#[tokio::test(start_paused = true)]
async fn requests_learn_to_go_around_slow_servers() {
    let mut world = World::new(30);
    world.warm_up().await;
    for shard in (0..30).step_by(3) {
        let domain = if shard % 2 == 0 { NORTH } else { SOUTH };
        world.servers.set(addr(shard, domain), Mode::Answers, WORK * 8);
    }
    let mut late = 0;
    let began_with = world.servers.seen().arrivals;
    for n in 0..200 {
        let (served, took) = world.serve("all").await;
        let Outcome::Answered(Answer::Gathered(gathered)) = served.outcome else {
            panic!("request {n} is answered");
        };
        late += usize::from(took > WORK * 4);
        assert!(gathered.missing <= 1, "request {n} misses {}", gathered.missing);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(late <= 20, "{late} of 200 were slow");
    let extra = world.servers.seen().arrivals - began_with - 200 * 30;
    assert!(extra <= 200 * 30 / 5, "{extra} attempts beyond the first");
}
