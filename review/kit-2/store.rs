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
    history: Vec<(u64, String, Option<String>)>,
}

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
        state.history.push((revision, key.to_owned(), value));
        self.0.1.notify_all();
    }

    fn range(&self) -> String {
        let state = self.0.0.lock().unwrap();
        let items: Vec<String> =
            state.items.iter().map(|(key, (rev, value))| item(key, *rev, value)).collect();
        format!(r#"{{"items":[{}],"has_more":false,"at_rev":{}}}"#, items.join(","), state.revision)
    }

    fn watch(&self, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        while state.revision <= after && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
        let event = |(rev, key, value): &(u64, String, Option<String>)| match value {
            Some(value) => item(key, *rev, value),
            None => format!(r#"{{"key":"{key}","rev":{rev},"deleted":true}}"#),
        };
        let events: Vec<String> =
            state.history.iter().filter(|(rev, ..)| *rev > after).map(event).collect();
        format!(r#"{{"events":[{}],"at_rev":{}}}"#, events.join(","), state.revision)
    }

    /// Serves the store on a free port.
    pub fn serve(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let addr = listener.local_addr()?;
        let store = self.clone();
        http::serve(listener, move |request, stream| {
            let path = request.path();
            let number = |name: &str| -> u64 {
                let query = path.split_once('?').map_or("", |(_, query)| query);
                let value = query.split('&').find_map(|pair| pair.strip_prefix(name));
                value.and_then(|value| value.parse().ok()).unwrap_or(0)
            };
            let body = if path.starts_with("/kv-range") {
                store.range()
            } else if path.starts_with("/kv-watch") {
                store.watch(number("after="), Duration::from_millis(number("max_wait_ms=")))
            } else {
                stream.write_all(&reply("404 Not Found", &[], b"{}"))?;
                return Ok(true);
            };
            let fields = [("Content-Type", "application/json")];
            stream.write_all(&reply("200 OK", &fields, body.as_bytes()))?;
            Ok(true)
        });
        Ok(addr)
    }
}
