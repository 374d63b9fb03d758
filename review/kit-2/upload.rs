//! A few callers send long bodies in small chunks, within the limits of the configuration.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Machine, Ports};
use crate::endless::guard_memory;
use crate::http::{self, Message, reply};
use crate::record::Record;
use crate::store::Store;

const MACHINES: [Ipv4Addr; 2] = [Ipv4Addr::new(127, 60, 8, 1), Ipv4Addr::new(127, 60, 8, 2)];
const DEADLINE_MS: u64 = 8_000;
const LENGTH: Duration = Duration::from_secs(60);
const ENDS: u32 = 3;
/// The length of a body: less than `max_body_bytes`, which is 262,144.
const BODY_BYTES: usize = 256_000;
/// The number of callers at each machine that send such bodies, one after another.
const UPLOADERS: usize = 12;
/// A record of 16 bytes, as a chunk.
const CHUNK: &[u8] = b"10\r\nabcdefghijklmnop\r\n";
const PAUSE: Duration = Duration::from_micros(50);

fn server(id: &'static str) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = listener.local_addr()?;
    http::serve(listener, move |request, stream| {
        let name = request.field("request-id").unwrap_or_default();
        if request.field("expect-instance").is_some_and(|expected| expected != id) {
            let fields = [("Request-Id", name), ("Not-Run", "1")];
            stream.write_all(&reply("421 Misdirected Request", &fields, b""))?;
            return Ok(true);
        }
        thread::sleep(Duration::from_millis(20));
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
    for id in ["i-1", "i-2"] {
        let addr = server(id).map_err(text)?;
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
    let mut platforms = Vec::new();
    for machine in machines.clone() {
        let record = record.clone();
        platforms.push(thread::spawn(move || guard_memory(&machine, until, &record)));
    }
    let mut callers = Vec::new();
    for (n, machine) in machines.iter().enumerate() {
        for caller in 0..UPLOADERS {
            let (front, record) = (machine.front(), record.clone());
            callers.push(thread::spawn(move || {
                let mut k = 0;
                while Instant::now() + Duration::from_millis(DEADLINE_MS) < until {
                    k += 1;
                    let id = format!("u{n}-{caller}-{k}");
                    let answer = upload(front, &id, trouble);
                    record.line(&match answer {
                        Ok(answer) => format!("{id} at {front}: {}", answer.status()),
                        Err(error) => format!("{id} at {front}: no answer: {error}"),
                    });
                    thread::sleep(Duration::from_millis(200));
                }
            }));
        }
    }
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let ends: Vec<u32> = platforms.into_iter().map(|guard| guard.join().unwrap()).collect();
    record.line(&format!("ends over the memory limit: {ends:?}"));
    Ok(ends.iter().all(|ends| *ends >= ENDS))
}

/// Sends a body in small chunks or, without the disruption, in one piece.
fn upload(front: SocketAddr, id: &str, in_chunks: bool) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 500)))?;
    let framing = match in_chunks {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {BODY_BYTES}"),
    };
    let head = format!(
        "POST /fetch/{id} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    if in_chunks {
        for _ in 0..BODY_BYTES / 16 {
            stream.write_all(CHUNK)?;
            thread::sleep(PAUSE);
        }
        stream.write_all(b"0\r\n\r\n")?;
    } else {
        stream.write_all(&vec![b'a'; BODY_BYTES])?;
    }
    Message::read(&mut BufReader::new(stream))
}
