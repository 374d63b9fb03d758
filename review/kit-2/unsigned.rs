//! A server spoils some of its answers: what it sends is a complete HTTP message, but no answer in
//! the protocol. By turns it is a success without the signature, and a message that is not final,
//! as if the connection changed its protocol.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Machine, Ports};
use crate::http::{self, reply};
use crate::record::Record;
use crate::store::Store;

const MACHINES: [Ipv4Addr; 2] = [Ipv4Addr::new(127, 60, 7, 1), Ipv4Addr::new(127, 60, 7, 2)];
const LENGTH: Duration = Duration::from_secs(25);
/// One of the two servers spoils one in so many of its answers.
const SPOILED_ONE_IN: u32 = 20;

fn server(id: &str, faulty: bool, record: Record) -> std::io::Result<SocketAddr> {
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
        let run = runs.fetch_add(1, Ordering::Relaxed) + 1;
        record.line(&format!("server {id} runs {name}"));
        thread::sleep(Duration::from_millis(20));
        if faulty && run.is_multiple_of(SPOILED_ONE_IN) {
            record.line(&format!("server {id} spoils its answer to {name}"));
            if (run / SPOILED_ONE_IN).is_multiple_of(2) {
                let fields = [("Request-Id", name)];
                stream.write_all(&reply("200 OK", &fields, b"spoiled"))?;
            } else {
                let head =
                    format!("HTTP/1.1 101 Switching Protocols\r\nRequest-Id: {name}\r\n\r\n");
                stream.write_all(head.as_bytes())?;
            }
            return Ok(true);
        }
        let stamp = format!("{id}.{name}");
        let fields = [("Request-Id", name), ("Response-Stamp", stamp.as_str())];
        stream.write_all(&reply("200 OK", &fields, &[b'x'; 160]))?;
        Ok(true)
    });
    Ok(addr)
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let store = Store::default();
    for (id, faulty) in [("i-1", trouble), ("i-2", false)] {
        let addr = server(id, faulty, record.clone()).map_err(text)?;
        let entry = format!(
            r#"{{"service":"portal","address":"{addr}","zone":"north","version":"v1","slots":4,
            "state":"ready","cold_left_ms":0,"sequence":1,"born":1}}"#
        );
        store.write(&format!("servers/{id}"), Some(entry));
    }
    let plan = r#"{"version":3,"routes":[{"name":"fetch","host":"h.example","prefix":"/fetch/",
        "kind":"idempotent","timeout_ms":8000,"target_latency_ms":800,"priority":1,
        "attempts":2,"service":"portal"}],"services":[{"name":"portal","health_path":"/healthz",
        "max_conns":100,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,
        "max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    store.write("op/config", Some(plan.to_owned()));
    let store = store.serve().map_err(text)?;
    let ports = Ports::find(&MACHINES)?;
    let start = |ip| Machine::start(ip, "north", &["north"], &MACHINES, ports, store);
    let machines = MACHINES.into_iter().map(start).collect::<Result<Vec<_>, _>>()?;
    for machine in &machines {
        machine.wait_ready()?;
    }
    let until = Instant::now() + LENGTH;
    let mut callers = Vec::new();
    for n in 0..8 {
        let (front, record) = (machines[n % MACHINES.len()].front(), record.clone());
        callers.push(thread::spawn(move || call(front, n, until, &record)));
    }
    let (mut answered, mut unsigned, mut unanswered) = (0, 0, 0);
    for caller in callers {
        let counts = caller.join().unwrap();
        answered += counts.0;
        unsigned += counts.1;
        unanswered += counts.2;
    }
    record.line(&format!("successes: {answered}, of these without a signature: {unsigned}; no answer but 101: {unanswered}"));
    if answered == 0 {
        return Err("no request was answered".to_owned());
    }
    Ok(unsigned + unanswered > 0)
}

/// Sends one request after another; returns how many successes there were, how many of them had no
/// signature of a server for this request, and how many requests got no answer but 101.
fn call(front: SocketAddr, caller: usize, until: Instant, record: &Record) -> (u32, u32, u32) {
    let (mut answered, mut unsigned, mut unanswered, mut n) = (0, 0, 0, 0);
    while Instant::now() < until {
        n += 1;
        let id = format!("c{caller}-{n}");
        let request = format!(
            "GET /fetch/{id} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 8000\r\n\r\n"
        );
        match http::call(front, request.as_bytes(), Duration::from_secs(9)) {
            Ok(answer) if (200..300).contains(&answer.status()) => {
                answered += 1;
                let stamp = answer.field("response-stamp").unwrap_or_default();
                if !stamp.ends_with(&format!(".{id}")) || answer.body != [b'x'; 160] {
                    unsigned += 1;
                    record.line(&format!(
                        "{id} at {front}: {} with the signature {stamp:?} and the body {:?}",
                        answer.status(),
                        String::from_utf8_lossy(&answer.body)
                    ));
                }
            }
            Ok(answer) if answer.status() == 101 => {
                unanswered += 1;
                record.line(&format!("{id} at {front}: 101, and the connection ends"));
            }
            Ok(answer) => record.line(&format!("{id} at {front}: {}", answer.status())),
            Err(error) => record.line(&format!("{id} at {front}: {error}")),
        }
        thread::sleep(Duration::from_millis(20));
    }
    (answered, unsigned, unanswered)
}
