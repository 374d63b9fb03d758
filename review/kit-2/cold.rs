//! All machines lose power at once. Those that are no seeds start again at once, the seeds some
//! seconds later. A replica is cold meanwhile.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Machine, Ports};
use crate::http::{self, reply};
use crate::record::Record;
use crate::store::Store;

const SEEDS: [Ipv4Addr; 3] =
    [Ipv4Addr::new(127, 60, 9, 1), Ipv4Addr::new(127, 60, 9, 2), Ipv4Addr::new(127, 60, 9, 3)];
const OTHERS: [Ipv4Addr; 4] = [
    Ipv4Addr::new(127, 60, 9, 4),
    Ipv4Addr::new(127, 60, 9, 5),
    Ipv4Addr::new(127, 60, 9, 6),
    Ipv4Addr::new(127, 60, 9, 7),
];
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// How long the seeds are without power, as for `node_kill` with `power` (5 s unless named).
const SEEDS_DOWN: Duration = Duration::from_secs(5);
/// After this time, `seed_lag_s`, the settings name machines that are up as seeds.
const SEED_LAG: Duration = Duration::from_secs(3);
/// How soon the platform starts the other processes again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const COLD_MS: u64 = 10_000;
const COLD_PER_S: f64 = 20.0;
/// `cold_overage` and `cold_slack` of the pages.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// The requests a second that callers send to each machine.
const PER_S: u64 = 30;

type Arrivals = Arc<Mutex<Vec<Instant>>>;

fn server(id: &'static str, arrivals: Arrivals) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = listener.local_addr()?;
    http::serve(listener, move |request, stream| {
        let name = request.field("request-id").unwrap_or_default();
        if request.field("expect-instance").is_some_and(|expected| expected != id) {
            let fields = [("Request-Id", name), ("Not-Run", "1")];
            stream.write_all(&reply("421 Misdirected Request", &fields, b""))?;
            return Ok(true);
        }
        arrivals.lock().unwrap().push(Instant::now());
        thread::sleep(Duration::from_millis(5));
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
    let arrivals = Arrivals::default();
    let addr = server("i-1", arrivals.clone()).map_err(text)?;
    let entry = |cold_ms: u64| {
        format!(
            r#"{{"service":"portal","address":"{addr}","zone":"a","version":"v1","slots":4,
            "state":"ready","cold_left_ms":{cold_ms},"sequence":1,"born":1}}"#
        )
    };
    store.write("servers/i-1", Some(entry(0)));
    let plan = format!(
        r#"{{"version":3,"routes":[{{"name":"fetch","host":"h.example","prefix":"/fetch/",
        "kind":"idempotent","timeout_ms":2000,"target_latency_ms":800,"priority":1,
        "attempts":2,"service":"portal"}}],"services":[{{"name":"portal","health_path":"/healthz",
        "max_conns":100,"cold_start_s":{},"cold_per_s":{COLD_PER_S:.1}}}],"limits":{{
        "max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}}}"#,
        COLD_MS / 1_000
    );
    store.write("op/config", Some(plan));
    let store_addr = store.serve().map_err(text)?;
    let all: Vec<Ipv4Addr> = SEEDS.into_iter().chain(OTHERS).collect();
    let ports = Ports::find(&all)?;
    let start = |(n, ip): (usize, &Ipv4Addr)| {
        Machine::start(*ip, ZONES[n % ZONES.len()], &ZONES, &SEEDS, ports, store_addr)
    };
    let machines = all.iter().enumerate().map(start).collect::<Result<Vec<_>, _>>()?;
    for machine in &machines {
        machine.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(4));
    let answers = Arc::new([AtomicU32::new(0), AtomicU32::new(0), AtomicU32::new(0)]);
    let until = Instant::now() + Duration::from_secs(16);
    let callers: Vec<_> = machines
        .iter()
        .map(|machine| {
            let (front, answers) = (machine.front(), answers.clone());
            thread::spawn(move || call(front, until, &answers))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let cold_from = Instant::now();
    store.write("servers/i-1", Some(entry(COLD_MS)));
    record.line("the replica i-1 is cold for 10 s, as its entry says");
    if trouble {
        record.line("all machines are killed");
        let restarts: Vec<_> = machines
            .iter()
            .cloned()
            .map(|machine| {
                let is_seed = SEEDS.contains(&machine.ip);
                let pause = if is_seed { SEEDS_DOWN } else { RESTART_DELAY };
                let record = record.clone();
                thread::spawn(move || {
                    let result = machine.kill_and_restart(pause);
                    record.line(&format!("{}: started again, seed: {is_seed}", machine.ip));
                    result
                })
            })
            .collect();
        // The platform names other seeds, as soon as `seed_lag_s` allows.
        thread::sleep(SEED_LAG);
        for (n, machine) in machines.iter().enumerate() {
            let seeds = &OTHERS[..SEEDS.len()];
            machine
                .change_seeds(ZONES[n % ZONES.len()], &ZONES, seeds, store_addr)
                .map_err(|error| error.to_string())?;
        }
        record.line("the settings of all machines name seeds that are up");
        for restart in restarts {
            restart.join().unwrap()?;
        }
    }
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let count = |n: usize| answers[n].load(Ordering::Relaxed);
    record.line(&format!("answers: 200: {}, others: {}, none: {}", count(0), count(1), count(2)));
    // The entry reaches all machines within the time that a change of the configuration may take.
    let (from, to) =
        (cold_from + Duration::from_secs(2), cold_from + Duration::from_millis(COLD_MS));
    let all: Vec<Instant> = arrivals.lock().unwrap().clone();
    let all: Vec<Instant> = all.into_iter().filter(|at| (from..to).contains(at)).collect();
    let mut most = 0;
    for (n, at) in all.iter().enumerate() {
        let in_second =
            all[n..].iter().take_while(|later| **later - *at < Duration::from_secs(1)).count();
        if in_second > most {
            most = in_second;
            record.line(&format!(
                "{in_second} requests in the second from {} ms after it became cold",
                (*at - cold_from).as_millis()
            ));
        }
    }
    let allowed = COLD_PER_S * OVERAGE + SLACK;
    record.line(&format!(
        "arrivals while cold: {}, most in a second: {most}, allowed: {allowed}",
        all.len()
    ));
    Ok(most as f64 > allowed)
}

/// Sends requests at an even rate, each on a new connection, and counts the answers by kind.
fn call(front: SocketAddr, until: Instant, answers: &Arc<[AtomicU32; 3]>) {
    let mut n = 0;
    while Instant::now() < until {
        n += 1;
        let answers = answers.clone();
        thread::spawn(move || {
            let id = format!("c{}-{n}", front.ip());
            let request = format!(
                "GET /fetch/{id} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: 2000\r\n\r\n"
            );
            let answer = http::call(front, request.as_bytes(), Duration::from_millis(2_500));
            let kind = match answer.map(|answer| answer.status()) {
                Ok(200) => 0,
                Ok(_) => 1,
                Err(_) => 2,
            };
            answers[kind].fetch_add(1, Ordering::Relaxed);
        });
        thread::sleep(Duration::from_millis(1_000 / PER_S));
    }
    thread::sleep(Duration::from_secs(3));
}
