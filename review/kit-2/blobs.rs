//! Another writer writes a few large entries into the store within a moment. A configuration that
//! follows moves a route to another service.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Machine, Ports};
use crate::http::{self, reply};
use crate::record::Record;
use crate::store::Store;

const MACHINES: [Ipv4Addr; 4] = [
    Ipv4Addr::new(127, 60, 11, 1),
    Ipv4Addr::new(127, 60, 11, 2),
    Ipv4Addr::new(127, 60, 11, 3),
    Ipv4Addr::new(127, 60, 11, 4),
];
const ZONES: [&str; 2] = ["a", "b"];
/// `value_bytes` of the pages is 1,048,576, `writes_per_s` is 400.
const BLOB_BYTES: usize = 1_000_000;
const BLOBS: usize = 12;
const BLOB_INTERVAL: Duration = Duration::from_millis(5);
/// `config_apply_ms` of the pages.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

type Runs = Arc<Mutex<Vec<(Instant, &'static str, String)>>>;

fn server(id: &'static str, runs: Runs) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = listener.local_addr()?;
    http::serve(listener, move |request, stream| {
        let name = request.field("request-id").unwrap_or_default();
        if request.field("expect-instance").is_some_and(|expected| expected != id) {
            let fields = [("Request-Id", name), ("Not-Run", "1")];
            stream.write_all(&reply("421 Misdirected Request", &fields, b""))?;
            return Ok(true);
        }
        runs.lock().unwrap().push((Instant::now(), id, name.to_owned()));
        thread::sleep(Duration::from_millis(5));
        let stamp = format!("{id}.{name}");
        let fields = [("Request-Id", name), ("Response-Stamp", stamp.as_str())];
        stream.write_all(&reply("200 OK", &fields, id.as_bytes()))?;
        Ok(true)
    });
    Ok(addr)
}

fn plan(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"moved","host":"h.example","prefix":"/moved/",
        "kind":"idempotent","timeout_ms":2000,"target_latency_ms":800,"priority":1,
        "attempts":2,"service":"{service}"}}],"services":[{{"name":"old","health_path":"/healthz",
        "max_conns":100,"cold_start_s":0.0,"cold_per_s":0.0}},{{"name":"new",
        "health_path":"/healthz","max_conns":100,"cold_start_s":0.0,"cold_per_s":0.0}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}}}"#
    )
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let store = Store::default();
    let runs = Runs::default();
    for service in ["old", "new"] {
        let addr = server(service, runs.clone()).map_err(text)?;
        let entry = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"a","version":"v1","slots":4,
            "state":"ready","cold_left_ms":0,"sequence":1,"born":1}}"#
        );
        store.write(&format!("servers/{service}"), Some(entry));
    }
    store.write("op/config", Some(plan(3, "old")));
    let store_addr = store.serve().map_err(text)?;
    let ports = Ports::find(&MACHINES)?;
    let start = |(n, ip): (usize, &Ipv4Addr)| {
        let zone = ZONES[n % ZONES.len()];
        Machine::start(*ip, zone, &ZONES, &MACHINES[..3], ports, store_addr)
    };
    let machines = MACHINES.iter().enumerate().map(start).collect::<Result<Vec<_>, _>>()?;
    for machine in &machines {
        machine.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(5));
    if trouble {
        for n in 0..BLOBS {
            store.write(&format!("servers/report-{n}"), Some("?".repeat(BLOB_BYTES)));
            thread::sleep(BLOB_INTERVAL);
        }
        record.line(&format!("another writer has written {BLOBS} entries of {BLOB_BYTES} bytes"));
    }
    thread::sleep(Duration::from_millis(500));
    store.write("op/config", Some(plan(5, "new")));
    let acknowledged = Instant::now();
    record.line("version 5, which moves the route from old to new, is acknowledged");
    let until = acknowledged + Duration::from_secs(28);
    let callers: Vec<_> = machines
        .iter()
        .map(|machine| {
            let front = machine.front();
            thread::spawn(move || call(front, until))
        })
        .collect();
    let answered: u32 = callers.into_iter().map(|caller| caller.join().unwrap()).sum();
    let runs = runs.lock().unwrap();
    let late = acknowledged + CONFIG_APPLY + Duration::from_millis(500);
    let stale = runs.iter().filter(|(at, service, _)| *service == "old" && *at > late);
    let ms = |at: &Instant| (*at - acknowledged).as_millis();
    if let (Some(first), Some(last)) = (stale.clone().next(), stale.clone().next_back()) {
        let (from, to) = (ms(&first.0), ms(&last.0));
        record.line(&format!("run by the old service: from {from} ms to {to} ms after that"));
    }
    for (at, service, id) in runs.iter() {
        record.line(&format!("{id} run by {service}, {} ms after that", ms(at)));
    }
    let stale = stale.count();
    record.line(&format!("answered: {answered}, run by the old service too late: {stale}"));
    if answered == 0 {
        return Err("no request was answered".to_owned());
    }
    Ok(stale > 0)
}

/// Sends a request every 50 ms; returns how many were answered with success.
fn call(front: SocketAddr, until: Instant) -> u32 {
    let (mut answered, mut n) = (0, 0);
    while Instant::now() < until {
        n += 1;
        let id = format!("c{}-{n}", front.ip());
        let request = format!(
            "GET /moved/{id} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 2000\r\n\r\n"
        );
        let answer = http::call(front, request.as_bytes(), Duration::from_secs(3));
        answered += u32::from(answer.is_ok_and(|answer| answer.status() == 200));
        thread::sleep(Duration::from_millis(50));
    }
    answered
}
