//! Servers send bodies without end, a few bytes at a time, until the caller closes.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{MEMORY_MB, Machine, Ports};
use crate::http::{self, reply};
use crate::record::Record;
use crate::store::Store;

const MACHINES: [Ipv4Addr; 2] = [Ipv4Addr::new(127, 60, 6, 1), Ipv4Addr::new(127, 60, 6, 2)];
/// The deadline of callers and the timeout of the route, as for the slowest kind of request.
const DEADLINE_MS: u64 = 8_000;
const LENGTH: Duration = Duration::from_secs(50);
const SERVERS: u32 = 6;
/// A faulty server hands out wrong bytes for one in so many requests that it runs.
const WRONG_ONE_IN: u32 = 20;
/// The processing time of a request.
const WORK: Duration = Duration::from_millis(100);
/// The pause between two requests of the callers of a machine.
const CALL_INTERVAL: Duration = Duration::from_millis(33);
/// The rule speaks of three ends of the processes on two machines.
const ENDS: u32 = 3;
/// The time from one piece of 16 bytes of a body without end to the next.
const PAUSE: Duration = Duration::from_micros(40);

/// Starts a server that repeats one byte; it ends no body while it is faulty.
fn server(id: &str, faulty: Arc<AtomicBool>, record: Record) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = listener.local_addr()?;
    let (id, runs) = (id.to_owned(), Arc::new(AtomicU32::new(0)));
    http::serve(listener, move |request, stream| {
        let name = request.field("request-id").unwrap_or_default();
        if request.field("expect-instance").is_some_and(|expected| expected != id) {
            let fields = [("Request-Id", name), ("Not-Run", "1")];
            stream.write_all(&reply("421 Misdirected Request", &fields, b""))?;
            return Ok(true);
        }
        let run = runs.fetch_add(1, Ordering::Relaxed);
        let stamp = format!("{id}.{name}");
        if !faulty.load(Ordering::Relaxed) || run % WRONG_ONE_IN != 0 {
            thread::sleep(WORK);
            let fields = [("Request-Id", name), ("Response-Stamp", stamp.as_str())];
            stream.write_all(&reply("200 OK", &fields, &[b'x'; 160]))?;
            return Ok(true);
        }
        record.line(&format!("server {id} runs {name} and answers with a body without end"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nResponse-Stamp: {stamp}\r\n\
             Connection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let mut sent = 0u64;
        while stream.write_all(b"bytes of no body").is_ok() {
            sent += 16;
            let next = Instant::now() + PAUSE;
            while Instant::now() < next {
                std::hint::spin_loop();
            }
        }
        record.line(&format!("{name}: the caller closed after {} kB", sent / 1_000));
        Ok(false)
    });
    Ok(addr)
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let store = Store::default();
    let faulty = Arc::new(AtomicBool::new(false));
    for n in 1..=SERVERS {
        let id = format!("i-{n}");
        // Half of the servers are sound.
        let faulty = if n % 2 == 0 { faulty.clone() } else { Arc::default() };
        let addr = server(&id, faulty, record.clone()).map_err(text)?;
        let entry = format!(
            r#"{{"service":"portal","address":"{addr}","zone":"north","version":"v1","slots":4,
            "state":"ready","cold_left_ms":0,"sequence":1,"born":1}}"#
        );
        store.write(&format!("servers/{id}"), Some(entry));
    }
    let plan = format!(
        r#"{{"version":3,"routes":[{{"name":"fetch","host":"h.example","prefix":"/fetch/",
        "kind":"non_idempotent","timeout_ms":{DEADLINE_MS},"target_latency_ms":800,"priority":1,
        "attempts":2,"service":"portal"}}],"services":[{{"name":"portal","health_path":"/healthz",
        "max_conns":100,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,
        "max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    );
    store.write("op/config", Some(plan));
    let store = store.serve().map_err(text)?;
    let ports = Ports::find(&MACHINES)?;
    let start = |ip| Machine::start(ip, "north", &["north"], &MACHINES, ports, store);
    let machines = MACHINES.into_iter().map(start).collect::<Result<Vec<_>, _>>()?;
    for machine in &machines {
        machine.wait_ready()?;
    }
    record.line("both daemons are ready");
    let until = Instant::now() + LENGTH;
    faulty.store(trouble, Ordering::Relaxed);
    let mut platforms = Vec::new();
    for machine in machines.clone() {
        let record = record.clone();
        platforms.push(thread::spawn(move || guard_memory(&machine, until, &record)));
    }
    let mut callers = Vec::new();
    for (n, machine) in machines.iter().enumerate() {
        let (front, record) = (machine.front(), record.clone());
        callers.push(thread::spawn(move || call(front, n, until, &record)));
    }
    let lost: u32 = callers.into_iter().map(|caller| caller.join().unwrap()).sum();
    let ends: Vec<u32> = platforms.into_iter().map(|guard| guard.join().unwrap()).collect();
    record
        .line(&format!("ends over the memory limit: {ends:?}; requests without an answer: {lost}"));
    Ok(ends.iter().all(|ends| *ends >= ENDS))
}

/// Does what the platform does: kills a process over its memory limit and starts it again.
pub fn guard_memory(machine: &Machine, until: Instant, record: &Record) -> u32 {
    let (mut ends, mut peak) = (0, 0);
    while Instant::now() < until {
        let memory = machine.memory();
        peak = peak.max(memory);
        if memory > MEMORY_MB << 20 || machine.has_ended() {
            ends += 1;
            record.line(&format!(
                "{}: end {ends}, over the limit of {MEMORY_MB} MB with {} MB after {} ms of \
                 processor time; started again",
                machine.ip,
                memory >> 20,
                machine.cpu_ms()
            ));
            if let Err(error) = machine.kill_and_restart(Duration::from_millis(500)) {
                record.line(&error);
                break;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.line(&format!("{}: peak memory {} MB", machine.ip, peak >> 20));
    ends
}

/// Sends thirty requests a second, each on a new connection; returns how many got no answer at all
/// although the daemon had accepted the connection.
fn call(front: SocketAddr, caller: usize, until: Instant, record: &Record) -> u32 {
    let mut calls = Vec::new();
    let mut n = 0;
    while Instant::now() + Duration::from_millis(DEADLINE_MS) < until {
        n += 1;
        let (id, record) = (format!("c{caller}-{n}"), record.clone());
        calls.push(thread::spawn(move || {
            let request = format!(
                "POST /fetch/{id} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n"
            );
            let answer =
                http::call(front, request.as_bytes(), Duration::from_millis(DEADLINE_MS + 500));
            match answer {
                Ok(answer) => {
                    record.line(&format!("{id} at {front}: {}", answer.status()));
                    0
                }
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => 0,
                Err(error) => {
                    record.line(&format!("{id} at {front}: no answer: {error}"));
                    1
                }
            }
        }));
        thread::sleep(CALL_INTERVAL);
    }
    calls.into_iter().map(|call| call.join().unwrap()).sum()
}
