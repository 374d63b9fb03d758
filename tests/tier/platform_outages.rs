//! The platform is unresponsive, refuses calls, has lost its history, or loses entries during an
//! outage.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use quetzalpoint::connection::source::{Source, SourceError, SourceUpdate};
use quetzalpoint::ids::Revision;
use quetzalpoint::position::Position;
use quetzalpoint::process::configuration::reader;
use quetzalpoint::process::servers::registry::{Change, Fact};

use crate::fake::{NORTH, TestHost, server_record};

/// A source that returns the given results in order and afterwards no changes.
#[derive(Clone, Default)]
struct ScriptedSource {
    results: Arc<Mutex<VecDeque<Result<SourceUpdate, SourceError>>>>,
    calls: Arc<Mutex<Vec<&'static str>>>,
}

impl ScriptedSource {
    fn new(results: Vec<Result<SourceUpdate, SourceError>>) -> Self {
        Self { results: Arc::new(Mutex::new(results.into())), ..Self::default() }
    }

    fn next(&self, call: &'static str) -> Option<Result<SourceUpdate, SourceError>> {
        self.calls.lock().expect("no holder of the lock panics").push(call);
        self.results.lock().expect("no holder of the lock panics").pop_front()
    }
}

impl Source for ScriptedSource {
    async fn read_all(&mut self) -> Result<SourceUpdate, SourceError> {
        self.next("all")
            .unwrap_or_else(|| Err(SourceError::Unresponsive("the script has ended".into())))
    }

    async fn changes_after(
        &mut self,
        after: Position,
        max_wait: Duration,
    ) -> Result<SourceUpdate, SourceError> {
        if let Some(result) = self.next("changes") {
            return result;
        }
        tokio::time::sleep(max_wait).await;
        Ok(SourceUpdate { up_to: after, ..SourceUpdate::default() })
    }
}

fn added(revision: Revision) -> Change {
    let server = server_record(0, NORTH);
    Change { revision, fact: Fact::Server(server.id.clone(), Some(server)) }
}

fn removed(revision: Revision) -> Change {
    Change { revision, fact: Fact::Server(server_record(0, NORTH).id, None) }
}

fn update(changes: Vec<Change>, up_to: Revision) -> Result<SourceUpdate, SourceError> {
    let up_to = Position { epoch: 0, revision: up_to };
    Ok(SourceUpdate { changes, up_to, ..SourceUpdate::default() })
}

fn unresponsive() -> Result<SourceUpdate, SourceError> {
    Err(SourceError::Unresponsive("no answer".into()))
}

#[tokio::test(start_paused = true)]
async fn registry_survives_platform_outages() {
    struct Case {
        name: &'static str,
        results: Vec<Result<SourceUpdate, SourceError>>,
        usable_soon: bool,
        usable_later: bool,
    }
    let refused = || Err(SourceError::Refused("503".into()));
    let cases = [
        Case {
            name: "platform is unresponsive",
            results: vec![update(vec![added(2)], 2), unresponsive(), unresponsive(), refused()],
            usable_soon: true,
            usable_later: true,
        },
        Case {
            name: "server is removed",
            results: vec![update(vec![added(2)], 2), update(vec![removed(3)], 3)],
            usable_soon: false,
            usable_later: false,
        },
        Case {
            name: "entry lapses during an outage and is not restored",
            results: vec![update(vec![added(2)], 2), unresponsive(), update(vec![removed(3)], 3)],
            usable_soon: true,
            usable_later: false,
        },
        Case {
            name: "entry lapses during an outage and is restored",
            results: vec![
                update(vec![added(2)], 2),
                unresponsive(),
                update(vec![removed(3)], 3),
                update(vec![added(4)], 4),
            ],
            usable_soon: true,
            usable_later: true,
        },
        Case {
            name: "platform has lost the history with the removal of the server",
            results: vec![
                update(vec![added(2)], 2),
                Err(SourceError::HistoryGone),
                update(vec![], 9),
            ],
            usable_soon: false,
            usable_later: false,
        },
    ];
    for case in cases {
        let mut host = TestHost::new(1);
        host.apply_changes(vec![removed(1)], 1);
        let reader_task =
            tokio::spawn(reader::run(host.tier.clone(), ScriptedSource::new(case.results)));
        let usable = || host.tier.servers.load().may_send(&server_record(0, NORTH).id);
        tokio::time::sleep(Duration::from_millis(1_600)).await;
        assert_eq!(usable(), case.usable_soon, "{}, after 1.6 s", case.name);
        tokio::time::sleep(Duration::from_millis(2_400)).await;
        host.tier.sweep();
        assert_eq!(usable(), case.usable_later, "{}, after 4 s", case.name);
        reader_task.abort();
    }
}

#[tokio::test(start_paused = true)]
async fn lost_history_causes_full_read() {
    let source = ScriptedSource::new(vec![
        update(vec![added(2)], 2),
        Err(SourceError::HistoryGone),
        update(vec![added(2)], 9),
    ]);
    let host = TestHost::new(1);
    let reader_task = tokio::spawn(reader::run(host.tier.clone(), source.clone()));
    tokio::time::sleep(Duration::from_millis(500)).await;
    reader_task.abort();
    let calls = source.calls.lock().expect("no holder of the lock panics").clone();
    assert_eq!(calls[..4], ["all", "changes", "all", "changes"]);
}
