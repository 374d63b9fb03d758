//! The platform's store.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, base64, reply};

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    history: Vec<Change>,
    /// The newest revision that the history no longer holds.
    forgotten: u64,
}

struct Change {
    revision: u64,
    key: String,
    value: Option<String>,
    at: Instant,
}

/// `retention_s` of the pages.
const RETENTION: Duration = Duration::from_secs(20);
/// The number of items and of bytes of values on one page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// A store without disruptions.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn item(key: &str, revision: u64, value: &str) -> String {
    let value = base64(value.as_bytes());
    format!(r#"{{"key":"{key}","value":"{value}","rev":{revision},"created":1,"lease":0}}"#)
}

impl Store {
    /// Writes an item, or removes it.
    pub fn write(&self, key: &str, value: Option<String>) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => drop(state.items.insert(key.to_owned(), (revision, value.clone()))),
            None => drop(state.items.remove(key)),
        }
        let now = Instant::now();
        state.history.push(Change { revision, key: key.to_owned(), value, at: now });
        let old = state.history.iter().take_while(|change| now - change.at >= RETENTION).count();
        let last = state.history.drain(..old).next_back().map(|change| change.revision);
        state.forgotten = last.unwrap_or(state.forgotten);
        self.0.1.notify_all();
    }

    /// Returns the items after a key, as many as fit on a page.
    fn range(&self, after: &str) -> String {
        let state = self.0.0.lock().unwrap();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (revision, value)) in state.items.iter().filter(|(key, _)| key.as_str() > after) {
            if !items.is_empty() && (items.len() == PAGE_ITEMS || bytes + value.len() > PAGE_BYTES)
            {
                has_more = true;
                break;
            }
            bytes += value.len();
            items.push(item(key, *revision, value));
        }
        let (items, revision) = (items.join(","), state.revision);
        format!(r#"{{"items":[{items}],"has_more":{has_more},"at_rev":{revision}}}"#)
    }

    /// Returns all changes after a revision as soon as there is one, or `None` if the history no
    /// longer holds them.
    fn watch(&self, after: u64, wait: Duration) -> Option<String> {
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        while state.revision <= after && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
        let now = Instant::now();
        let lost = |change: &&Change| change.revision > after && now - change.at >= RETENTION;
        if after < state.forgotten || state.history.iter().any(|change| lost(&change)) {
            return None;
        }
        let event = |change: &Change| match &change.value {
            Some(value) => item(&change.key, change.revision, value),
            None => {
                format!(r#"{{"key":"{}","rev":{},"deleted":true}}"#, change.key, change.revision)
            }
        };
        let events: Vec<String> =
            state.history.iter().filter(|change| change.revision > after).map(event).collect();
        Some(format!(r#"{{"events":[{}],"at_rev":{}}}"#, events.join(","), state.revision))
    }

    /// Serves the store on a free port.
    pub fn serve(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let addr = listener.local_addr()?;
        let store = self.clone();
        http::serve(listener, move |request, stream| {
            let path = request.path();
            let query = path.split_once('?').map_or("", |(_, query)| query);
            let text = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name));
            let number = |name| text(name).and_then(|value| value.parse().ok()).unwrap_or(0);
            let body = if path.starts_with("/kv-range") {
                Some(store.range(text("after=").unwrap_or_default()))
            } else if path.starts_with("/kv-watch") {
                store.watch(number("after="), Duration::from_millis(number("max_wait_ms=")))
            } else {
                stream.write_all(&reply("404 Not Found", &[], b"{}"))?;
                return Ok(true);
            };
            let Some(body) = body else {
                stream.write_all(&reply("410 Gone", &[], b"{}"))?;
                return Ok(true);
            };
            let fields = [("Content-Type", "application/json")];
            stream.write_all(&reply("200 OK", &fields, body.as_bytes()))?;
            Ok(true)
        });
        Ok(addr)
    }
}
