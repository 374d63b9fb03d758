//! The platform is away, refuses, forgets its history, or loses entries while it is away.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use quetzalpoint::connection::source::{Freshness, Source, SourceError, SourceUpdate};
use quetzalpoint::ids::Revision;
use quetzalpoint::process::configuration::reader;
use quetzalpoint::process::servers::registry::{Change, Fact};

use crate::fake::{NORTH, World, record};

/// What a source answers, one after another; then it has nothing new.
#[derive(Clone, Default)]
struct Script {
    answers: Arc<Mutex<VecDeque<Result<SourceUpdate, SourceError>>>>,
    asked: Arc<Mutex<Vec<&'static str>>>,
}

impl Script {
    fn new(answers: Vec<Result<SourceUpdate, SourceError>>) -> Self {
        Self { answers: Arc::new(Mutex::new(answers.into())), ..Self::default() }
    }

    fn next(&self, asked: &'static str) -> Option<Result<SourceUpdate, SourceError>> {
        self.asked.lock().expect("no test holds it").push(asked);
        self.answers.lock().expect("no test holds it").pop_front()
    }
}

impl Source for Script {
    async fn read_all(&mut self, freshness: Freshness) -> Result<SourceUpdate, SourceError> {
        let asked = match freshness {
            Freshness::MayBeStale => "all, may be old",
            Freshness::Newest => "all, newest",
        };
        self.next(asked)
            .unwrap_or_else(|| Err(SourceError::Unresponsive("the script ended".into())))
    }

    async fn changes_after(
        &mut self,
        after: Revision,
        max_wait: Duration,
    ) -> Result<SourceUpdate, SourceError> {
        if let Some(answer) = self.next("changes") {
            return answer;
        }
        tokio::time::sleep(max_wait).await;
        Ok(SourceUpdate { up_to: after, ..SourceUpdate::default() })
    }
}

fn up(revision: Revision) -> Change {
    let server = record(0, NORTH);
    Change { revision, fact: Fact::Server(server.id.clone(), Some(server)) }
}

fn gone(revision: Revision) -> Change {
    Change { revision, fact: Fact::Server(record(0, NORTH).id, None) }
}

fn says(changes: Vec<Change>, up_to: Revision) -> Result<SourceUpdate, SourceError> {
    Ok(SourceUpdate { changes, up_to, ..SourceUpdate::default() })
}

fn silent() -> Result<SourceUpdate, SourceError> {
    Err(SourceError::Unresponsive("no answer".into()))
}

#[tokio::test(start_paused = true)]
async fn what_is_known_outlives_the_platforms_troubles() {
    struct Case {
        name: &'static str,
        answers: Vec<Result<SourceUpdate, SourceError>>,
        usable_soon: bool,
        usable_later: bool,
    }
    let refused = || Err(SourceError::Refused("503".into()));
    let cases = [
        Case {
            name: "it is away",
            answers: vec![says(vec![up(2)], 2), silent(), silent(), refused()],
            usable_soon: true,
            usable_later: true,
        },
        Case {
            name: "the server leaves",
            answers: vec![says(vec![up(2)], 2), says(vec![gone(3)], 3)],
            usable_soon: false,
            usable_later: false,
        },
        Case {
            name: "the entry lapses while it is away and stays gone",
            answers: vec![says(vec![up(2)], 2), silent(), says(vec![gone(3)], 3)],
            usable_soon: true,
            usable_later: false,
        },
        Case {
            name: "the entry lapses while it is away and comes back",
            answers: vec![
                says(vec![up(2)], 2),
                silent(),
                says(vec![gone(3)], 3),
                says(vec![up(4)], 4),
            ],
            usable_soon: true,
            usable_later: true,
        },
        Case {
            name: "it forgets what it said of the server's end",
            answers: vec![says(vec![up(2)], 2), Err(SourceError::HistoryGone), says(vec![], 9)],
            usable_soon: false,
            usable_later: false,
        },
    ];
    for case in cases {
        let mut world = World::new(1);
        world.change(vec![gone(1)], 1);
        let reading = tokio::spawn(reader::run(world.tier.clone(), Script::new(case.answers)));
        let usable = || world.tier.servers.load().may_send(&record(0, NORTH).id);
        tokio::time::sleep(Duration::from_millis(1_600)).await;
        assert_eq!(usable(), case.usable_soon, "{}, soon", case.name);
        tokio::time::sleep(Duration::from_millis(2_400)).await;
        world.tier.sweep();
        assert_eq!(usable(), case.usable_later, "{}, later", case.name);
        reading.abort();
    }
}

#[tokio::test(start_paused = true)]
async fn a_forgotten_history_is_read_anew() {
    let script = Script::new(vec![
        says(vec![up(2)], 2),
        Err(SourceError::HistoryGone),
        says(vec![up(2)], 9),
    ]);
    let world = World::new(1);
    let reading = tokio::spawn(reader::run(world.tier.clone(), script.clone()));
    tokio::time::sleep(Duration::from_millis(500)).await;
    reading.abort();
    let asked = script.asked.lock().expect("no test holds it").clone();
    assert_eq!(asked[..4], ["all, may be old", "changes", "all, newest", "changes"]);
}
