//! The platform's store: `kv-key`, `kv-range` and `kv-watch`, linearizable and with its whole history.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Message;

const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: Option<String>,
    rev: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(String, Item)>,
    /// The store answers 503 to all calls.
    busy: bool,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn start(&self) -> std::io::Result<SocketAddrV4> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let port = listener.local_addr()?.port();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.to_owned()));
    }

    pub fn delete(&self, key: &str) {
        self.change(key, None);
    }

    /// Makes the store answer 503 to all calls, or ends that.
    pub fn set_busy(&self, busy: bool) {
        self.0.0.lock().unwrap().busy = busy;
        self.0.1.notify_all();
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        let created = state.items.get(key).map_or(rev, |item| item.created);
        let item = Item { value, rev, created };
        match item.value {
            Some(_) => drop(state.items.insert(key.to_owned(), item.clone())),
            None => drop(state.items.remove(key)),
        }
        state.history.push((key.to_owned(), item));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(request) = Message::read(&mut reader) {
            let (status, body) = self.answer(request.target().1);
            let reply = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
                .unwrap_or("")
        };
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        if state.busy {
            return ("503 Service Unavailable", "{}".to_owned());
        }
        match path {
            "/kv-key" => match state.items.get(parameter("key")) {
                Some(item) => {
                    let mut text = json(parameter("key"), item);
                    text.pop();
                    ("200 OK", format!("{text},\"at_rev\":{}}}", state.rev))
                }
                None => ("404 Not Found", format!("{{\"at_rev\":{}}}", state.rev)),
            },
            "/kv-range" => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let mut items = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                    .map(|(key, item)| json(key, item));
                let page: Vec<String> = items.by_ref().take(PAGE).collect();
                let more = items.next().is_some();
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":{more},\"at_rev\":{}}}",
                    page.join(","),
                    state.rev
                );
                ("200 OK", body)
            }
            "/kv-watch" => {
                let (prefix, after) =
                    (parameter("prefix"), parameter("after").parse().unwrap_or(0));
                let wait = parameter("max_wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let fits =
                        |(key, item): &&(String, Item)| item.rev > after && key.starts_with(prefix);
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(fits)
                        .map(|(key, item)| json(key, item))
                        .collect();
                    if state.busy {
                        return ("503 Service Unavailable", "{}".to_owned());
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            "{{\"events\":[{}],\"at_rev\":{}}}",
                            events.join(","),
                            state.rev
                        );
                        return ("200 OK", body);
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn json(key: &str, item: &Item) -> String {
    match &item.value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":0}}",
            base64(value.as_bytes()),
            item.rev,
            item.created
        ),
        None => format!("{{\"key\":\"{key}\",\"rev\":{},\"deleted\":true}}", item.rev),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |n: usize| u32::from(chunk.get(n).copied().unwrap_or(0));
        let number = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * n)) as usize & 63] as char;
            text.push(if n <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
