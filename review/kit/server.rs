//! A backend server as the users' pages describe it: slots, a short queue, a limit on connections, and
//! `Expect-Instance`. It echoes `Request-Id` in every reply.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Message;
use crate::{Random, Record};

/// What happened to a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum What {
    /// It arrived and was meant for this server.
    Arrived,
    /// The server began to work on it.
    Ran,
    /// The server rejected it with `Not-Run`.
    Rejected,
}

#[derive(Debug, Clone)]
pub struct Event {
    pub at_ms: f64,
    pub server: String,
    pub request: String,
    pub what: What,
}

/// What all servers of a case have seen.
#[derive(Clone)]
pub struct Seen {
    pub record: Record,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Seen {
    pub fn new(record: &Record) -> Self {
        Self { record: record.clone(), events: Arc::default() }
    }

    fn add(&self, server: &str, request: &str, what: What) {
        self.record.line(&format!("server {server}: {request} {what:?}"));
        let (server, request) = (server.to_owned(), request.to_owned());
        self.events.lock().unwrap().push(Event {
            at_ms: self.record.now_ms(),
            server,
            request,
            what,
        });
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    /// Returns how often each request ran.
    pub fn runs(&self) -> HashMap<String, u32> {
        let mut runs = HashMap::new();
        for event in self.events().iter().filter(|event| event.what == What::Ran) {
            *runs.entry(event.request.clone()).or_default() += 1;
        }
        runs
    }
}

/// The terms of a server.
#[derive(Clone)]
pub struct Terms {
    pub slots: usize,
    pub queue: usize,
    pub max_conns: usize,
    /// The working time of a request; a path that contains `/heavy/MS` takes that long instead. A path
    /// that contains `/big/N` gets N bytes.
    pub work_ms: u64,
}

#[derive(Default)]
struct Load {
    running: usize,
    queued: usize,
}

pub struct Server {
    pub id: String,
    pub addr: SocketAddrV4,
    pub service: String,
    pub zone: String,
    pub terms: Terms,
    /// The share of the replies, in hundredths, after which a second, late copy follows.
    pub late_copies: AtomicUsize,
    pub copies_sent: AtomicUsize,
    down: AtomicBool,
    load: (Mutex<Load>, Condvar),
    connections: AtomicUsize,
    seen: Seen,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        terms: Terms,
        seen: &Seen,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr()?.port());
        let server = Arc::new(Self {
            id: id.to_owned(),
            addr,
            service: service.to_owned(),
            zone: zone.to_owned(),
            terms,
            late_copies: AtomicUsize::new(0),
            copies_sent: AtomicUsize::new(0),
            down: AtomicBool::new(false),
            load: (Mutex::default(), Condvar::new()),
            connections: AtomicUsize::new(0),
            seen: seen.clone(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    /// Returns what the server writes into the store.
    pub fn entry(&self, state: &str, cold_left_ms: u64, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_left_ms\":{cold_left_ms},\"sequence\":{sequence},\
             \"born\":1790000000000}}",
            self.service, self.addr, self.zone, self.terms.slots
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn serve(&self, mut stream: TcpStream) {
        let before = self.connections.fetch_add(1, Ordering::SeqCst);
        // Connections beyond the limit are closed without an answer.
        if before < self.terms.max_conns && !self.down.load(Ordering::SeqCst) {
            self.serve_requests(&mut stream);
        }
        self.connections.fetch_sub(1, Ordering::SeqCst);
    }

    fn serve_requests(&self, stream: &mut TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        let mut random = Random::new(stream.peer_addr().map_or(0, |addr| u64::from(addr.port())));
        // A copy of the last reply that is late: it is sent where the next reply is expected.
        let mut late: Option<String> = None;
        loop {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
            let Some(request) = Message::read(&mut reader) else { return };
            if let Some(copy) = late.take() {
                self.copies_sent.fetch_add(1, Ordering::SeqCst);
                self.seen.record.line(&format!(
                    "server {}: late copy of an earlier reply: {}",
                    self.id,
                    copy.replace("\r\n", " | ")
                ));
                if stream.write_all(copy.as_bytes()).is_err() {
                    return;
                }
            }
            let Some(reply) = self.answer(&request, stream) else { return };
            let share = self.late_copies.load(Ordering::SeqCst);
            if share > 0 && random.below(100) < share as u64 {
                late = Some(reply.clone());
            }
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the reply, or `None` if the caller has left.
    fn answer(&self, request: &Message, stream: &TcpStream) -> Option<String> {
        let id = request.field("request-id").unwrap_or_default().to_owned();
        let path = request.target().1.to_owned();
        if path == "/healthz" {
            let fields = format!("Instance-Id: {}\r\n", self.id);
            return Some(reply("200 OK", &fields, ""));
        }
        let echo = format!("Request-Id: {id}\r\n");
        if request.field("expect-instance").is_some_and(|expected| expected != self.id) {
            let fields = format!("{echo}Not-Run: 1\r\nInstance-Id: {}\r\n", self.id);
            return Some(reply("421 Misdirected Request", &fields, ""));
        }
        self.seen.add(&self.id, &id, What::Arrived);
        let deadline_ms: f64 =
            request.field("deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(10_000.0);
        let until = Instant::now() + Duration::from_secs_f64(deadline_ms / 1e3);
        let (load, freed) = &self.load;
        let rejected = || {
            self.seen.add(&self.id, &id, What::Rejected);
            Some(reply("503 Service Unavailable", &format!("{echo}Not-Run: 1\r\n"), ""))
        };
        {
            let mut load = load.lock().unwrap();
            if load.running >= self.terms.slots {
                if load.queued >= self.terms.queue {
                    return rejected();
                }
                load.queued += 1;
                while load.running >= self.terms.slots {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        load.queued -= 1;
                        drop(load);
                        return rejected();
                    }
                    load = freed.wait_timeout(load, left).unwrap().0;
                }
                load.queued -= 1;
            }
            load.running += 1;
        }
        let heavy = number_after(&path, "/heavy/");
        let done = if is_closed(stream) {
            // The caller left while the request was queued.
            None
        } else {
            self.seen.add(&self.id, &id, What::Ran);
            Some(work(heavy.map_or(self.terms.work_ms, |ms| ms as u64), until, stream))
        };
        load.lock().unwrap().running -= 1;
        freed.notify_one();
        match done? {
            Worked::CallerLeft => {
                self.seen.record.line(&format!(
                    "server {}: {id} its connection was closed while the server was at work",
                    self.id
                ));
                None
            }
            Worked::Deadline => {
                let stamp = format!("Response-Stamp: {}.{id}.504\r\n", self.id);
                Some(reply("504 Gateway Timeout", &format!("{echo}{stamp}"), ""))
            }
            Worked::Done => {
                self.seen.record.line(&format!("server {}: {id} done", self.id));
                let stamp = format!("Response-Stamp: {}.{id}.200\r\n", self.id);
                let length = number_after(&path, "/big/").unwrap_or(64);
                let mut body = format!("{} {id} ", self.id);
                body.extend(std::iter::repeat_n('.', length.saturating_sub(body.len())));
                Some(reply("200 OK", &format!("{echo}{stamp}"), &body))
            }
        }
    }
}

/// Returns the number that follows a part of a path.
fn number_after(path: &str, part: &str) -> Option<usize> {
    path.split_once(part)?.1.split('/').next()?.parse().ok()
}

enum Worked {
    Done,
    Deadline,
    CallerLeft,
}

/// Works for a time, unless the deadline passes or the caller leaves.
fn work(ms: u64, until: Instant, stream: &TcpStream) -> Worked {
    let end = Instant::now() + Duration::from_millis(ms);
    loop {
        let now = Instant::now();
        if now >= end {
            return Worked::Done;
        }
        if now >= until {
            return Worked::Deadline;
        }
        if is_closed(stream) {
            return Worked::CallerLeft;
        }
        thread::sleep((end - now).min(Duration::from_millis(5)));
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

fn reply(status: &str, fields: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{fields}Keep-Alive: timeout=20\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
