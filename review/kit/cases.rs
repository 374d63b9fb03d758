//! The cases. Each returns whether the rule was broken.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::Fleet;
use crate::http::Connection;
use crate::server::{Seen, Server, Terms, What};
use crate::store::Store;
use crate::{Random, Record, sleep_ms};

/// The zones of the hosts: seven hosts in four zones.
const ZONES: [&str; 7] = ["zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c", "zone-d"];
const HOST: &str = "search.example";

type Played = Result<bool, String>;

pub fn play(case: &str, record: &Record, trouble: bool) -> Played {
    match case {
        "late-copy" => late_copy(record, trouble),
        "leaving" => leaving(record, trouble),
        "long-answer" => long_answer(record, trouble),
        "removed" => removed(record, trouble),
        "cold" => cold(record, trouble),
        _ => Err(format!("no case {case}")),
    }
}

fn text<E: std::fmt::Display>(error: E) -> String {
    error.to_string()
}

/// A configuration with one route at `/work/` to one service.
fn config(version: u64, kind: &str, attempts: u32, timeout_ms: u32, cold_per_s: f64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-work\",\"host\":\"{HOST}\",\
         \"prefix\":\"/work/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
         \"target_latency_ms\":800,\"priority\":2,\"service\":\"portal\",\"attempts\":{attempts}}}],\
         \"services\":[{{\"name\":\"portal\",\"health_path\":\"/healthz\",\"max_conns\":100,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":{cold_per_s:.1}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn request(method: &str, path: &str, id: &str, deadline_ms: u32, body: &str) -> String {
    let length = match method {
        "POST" => format!("Content-Length: {}\r\n", body.len()),
        _ => String::new(),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\n{length}\r\n{body}"
    )
}

/// Starts `count` servers of the service over the zones, all of them ready.
fn servers(
    store: &Store,
    seen: &Seen,
    count: usize,
    terms: &Terms,
    zones: &[&str],
) -> Result<Vec<Arc<Server>>, String> {
    let mut servers = Vec::new();
    for n in 0..count {
        let zone = zones[n % zones.len()];
        let id = format!("i-portal-{n}");
        let server = Server::start(&id, "portal", zone, terms.clone(), seen).map_err(text)?;
        store.put(&server.key(), &server.entry("ready", 0, 1));
        servers.push(server);
    }
    Ok(servers)
}

/// What a caller got for one request.
#[derive(Debug, Clone)]
struct Answer {
    /// 0 if the connection ended without an answer.
    status: u16,
}

/// Callers that send requests which may run once at most, each over kept connections.
fn post_callers(
    record: &Record,
    fleet: &Fleet,
    count: usize,
    pause_ms: u64,
    stop: &Arc<AtomicBool>,
    answers: &Arc<Mutex<HashMap<String, Answer>>>,
) -> Vec<thread::JoinHandle<()>> {
    let fronts: Vec<_> = fleet.hosts.iter().map(|host| host.front()).collect();
    let caller = |n: usize| {
        let (record, fronts) = (record.clone(), fronts.clone());
        let (stop, answers) = (stop.clone(), answers.clone());
        move || {
            let mut random = Random::new(n as u64 + 77);
            let mut connection: Option<Connection> = None;
            let mut sent = 0;
            while !stop.load(Ordering::SeqCst) {
                sleep_ms(random.below(2 * pause_ms + 1));
                if connection.as_mut().is_some_and(Connection::is_closed) {
                    connection = None;
                }
                if connection.is_none() {
                    let front = fronts[random.below(fronts.len() as u64) as usize];
                    connection = Connection::open(front, Duration::from_secs(12)).ok();
                }
                let Some(open) = connection.as_mut() else { continue };
                sent += 1;
                let id = format!("c{n:02}-{sent:05}");
                let text = request("POST", "/work/book", &id, 8_000, "one crate of medicine");
                record.line(&format!("caller {n}: {id} sent"));
                let reply = open.call(&text);
                let status = reply.as_ref().map_or(0, |reply| reply.status());
                record.line(&format!("caller {n}: {id} answered {status}"));
                answers.lock().unwrap().insert(id, Answer { status });
                if let Some(wait) = reply.as_ref().and_then(|reply| reply.field("retry-after")) {
                    let seconds: f64 = wait.parse().unwrap_or(0.0);
                    thread::sleep(Duration::from_secs_f64(seconds.clamp(0.0, 2.6)));
                }
                if reply.is_none_or(|reply| reply.field("connection") == Some("close")) {
                    connection = None;
                }
            }
        }
    };
    (0..count).map(|n| thread::spawn(caller(n))).collect()
}

/// Servers that are full reject requests, and hand out some replies twice, the copy late.
fn late_copy(record: &Record, trouble: bool) -> Played {
    let number = |name: &str, usual: u64| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
    };
    let (store, seen) = (Store::default(), Seen::new(record));
    let store_addr = store.start().map_err(text)?;
    store.put("op/config", &config(1, "non_idempotent", number("ATTEMPTS", 1) as u32, 8_000, 0.0));
    let zones = ["zone-a", "zone-b", "zone-c", "zone-d"];
    let terms = Terms {
        slots: 2,
        queue: number("QUEUE", 2) as usize,
        max_conns: 100,
        work_ms: number("WORK_MS", 160),
    };
    let servers = servers(&store, &seen, number("SERVERS", 12) as usize, &terms, &zones)?;
    let mut fleet = Fleet::new(&ZONES, store_addr)?;
    fleet.start_all(record)?;
    fleet.wait_ready(Duration::from_secs(10))?;
    sleep_ms(5_000);
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let callers = post_callers(record, &fleet, number("CALLERS", 40) as usize, 10, &stop, &answers);
    // The disruption: for 5 s at a time, 0.6 of the servers follow 3 of 100 replies with a copy.
    let affected = servers.len() * 6 / 10;
    for episode in 0..number("EPISODES", 15) as usize {
        sleep_ms(500);
        if trouble {
            for n in 0..affected {
                let server = &servers[(episode + n) % servers.len()];
                server.late_copies.store(number("COPIES", 3) as usize, Ordering::SeqCst);
            }
        }
        sleep_ms(5_000);
        servers.iter().for_each(|server| server.late_copies.store(0, Ordering::SeqCst));
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    sleep_ms(500);
    drop(fleet);
    let runs = seen.runs();
    let answers = answers.lock().unwrap();
    let rejected = seen.events().iter().filter(|event| event.what == What::Rejected).count();
    let copies: usize = servers.iter().map(|s| s.copies_sent.load(Ordering::SeqCst)).sum();
    let with = |status: u16| answers.values().filter(|answer| answer.status == status).count();
    record.say(&format!(
        "{} requests sent; answered: {} with 200, {} with 503, {} with 502, {} with 504, {} not",
        answers.len(),
        with(200),
        with(503),
        with(502),
        with(504),
        with(0)
    ));
    record.say(&format!("servers rejected {rejected} sends as not run; late copies: {copies}"));
    let twice: Vec<&String> =
        runs.iter().filter(|(_, times)| **times > 1).map(|(id, _)| id).collect();
    let promised = |id: &&String| {
        answers.get(*id).is_some_and(|answer| [408, 421, 429, 503].contains(&answer.status))
    };
    let refused: Vec<&String> = runs.keys().filter(promised).collect();
    for id in &twice {
        let status = answers.get(*id).map_or(0, |answer| answer.status);
        record.say(&format!("TWICE: {id} ran {} times; answered {status}", runs[*id]));
    }
    for id in &refused {
        record.say(&format!("REFUSED: {id} ran and was answered {}", answers[*id].status));
    }
    if with(200) < 100 {
        return Err("too few requests were served".to_owned());
    }
    Ok(!twice.is_empty() || !refused.is_empty())
}

/// A host gets SIGTERM; a caller that keeps a directory answer three times as long sends it a
/// request a little more than 3 s later.
fn leaving(record: &Record, trouble: bool) -> Played {
    const WORK_MS: u64 = 2_700;
    let (store, seen) = (Store::default(), Seen::new(record));
    let store_addr = store.start().map_err(text)?;
    store.put("op/config", &config(1, "idempotent", 2, 8_000, 0.0));
    let zones = ["zone-a", "zone-b", "zone-c", "zone-d"];
    let terms = Terms { slots: 4, queue: 16, max_conns: 100, work_ms: 220 };
    let _servers = servers(&store, &seen, 12, &terms, &zones)?;
    let mut fleet = Fleet::new(&ZONES, store_addr)?;
    fleet.start_all(record)?;
    fleet.wait_ready(Duration::from_secs(10))?;
    sleep_ms(5_000);
    let mut lost = 0;
    let mut sent = 0;
    // The hosts are stopped and started in turn, one at a time.
    for n in 0..6 {
        let (front, zone) = (fleet.hosts[n].front(), fleet.hosts[n].zone.clone());
        let directory = fleet.hosts[(n + 2) % 7].directory();
        // The caller asks the directory of the zone again and again until an answer no longer names
        // the host; it keeps the last one that does, for three times its lifetime.
        let named = |directory| {
            crate::daemon::resolve(directory, &zone).filter(|(addrs, _)| addrs.contains(&front))
        };
        let mut last = named(directory).ok_or("the directory does not name the host")?;
        let mut resolved_at = Instant::now();
        if trouble {
            fleet.hosts[n].signal("TERM")?;
            record.line(&format!("host {} got SIGTERM", fleet.hosts[n].name));
        }
        // The signal was sent before this moment, so that the times after it are rather too short.
        let signalled_at = Instant::now();
        if trouble {
            while signalled_at.elapsed() < Duration::from_secs(1) {
                let asked_at = Instant::now();
                let Some(answer) = named(directory) else { break };
                (last, resolved_at) = (answer, asked_at);
                sleep_ms(1);
            }
        }
        let kept_for = Duration::from_secs_f64(3.0 * last.1.min(5.0));
        let after = |at: Instant| (at - signalled_at).as_secs_f64() * 1e3;
        record.line(&format!(
            "caller: the last answer of the directory that names {} came {:.0} ms after the signal; \
             it is kept for {:.0} ms",
            fleet.hosts[n].name, after(resolved_at), kept_for.as_secs_f64() * 1e3
        ));
        // The request is sent while the answer is kept, as late as that allows.
        let send_at = resolved_at + kept_for - Duration::from_millis(6);
        thread::sleep(send_at.saturating_duration_since(Instant::now()));
        let id = format!("fetch-{n}");
        let opened = Connection::open(front, Duration::from_secs(10));
        let result = opened.map_err(text).and_then(|mut connection| {
            let path = format!("/work/heavy/{WORK_MS}/record");
            let at = Instant::now();
            connection.send(&request("GET", &path, &id, 8_000, "")).map_err(text)?;
            record.line(&format!("caller: {id} sent {:.0} ms after the signal", after(at)));
            let reply = connection.receive();
            Ok((at, reply))
        });
        let ended_at = Instant::now();
        match result {
            Err(why) => record.say(&format!("{id}: could not be sent: {why}")),
            Ok((at, reply)) => {
                let status = reply.map_or(0, |reply| reply.status());
                let ran = seen.runs().get(&id).copied().unwrap_or(0);
                let late = trouble && at - signalled_at > Duration::from_secs(3);
                record.say(&format!(
                    "{id}: sent {:.0} ms after the signal, passed on to {ran} replicas, {} at {:.0} ms",
                    after(at),
                    match status {
                        0 => "the connection ended without an answer".to_owned(),
                        status => format!("answered {status}"),
                    },
                    after(ended_at)
                ));
                sent += usize::from(late || !trouble);
                // Requests that were sent within 3 s after the signal are not counted.
                lost += usize::from(status == 0 && ran > 0 && late);
            }
        }
        if trouble {
            let ended = fleet.hosts[n].wait_end(Duration::from_millis(3_000));
            record.line(&format!("host {} ended: {ended}", fleet.hosts[n].name));
            fleet.hosts[n].kill();
            fleet.hosts[n].start(record)?;
            fleet.wait_ready(Duration::from_secs(10))?;
            sleep_ms(3_000);
        }
    }
    record.say(&format!("{sent} requests that count were sent, {lost} of them lost"));
    if sent == 0 {
        return Err("no request could be sent later than 3 s after the signal".to_owned());
    }
    Ok(lost > 0)
}

/// A host gets SIGTERM while it sends a long answer over a slow link.
fn long_answer(record: &Record, trouble: bool) -> Played {
    let number = |name: &str, usual: usize| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
    };
    let (length, bytes_per_s) = (number("LENGTH", 8 << 20), number("BYTES_PER_S", 2_500_000));
    let (store, seen) = (Store::default(), Seen::new(record));
    let store_addr = store.start().map_err(text)?;
    store.put("op/config", &config(1, "idempotent", 2, 8_000, 0.0));
    let zones = ["zone-a", "zone-b", "zone-c", "zone-d"];
    let terms = Terms { slots: 4, queue: 16, max_conns: 100, work_ms: 220 };
    let _servers = servers(&store, &seen, 12, &terms, &zones)?;
    let mut fleet = Fleet::new(&ZONES, store_addr)?;
    fleet.start_all(record)?;
    fleet.wait_ready(Duration::from_secs(10))?;
    sleep_ms(5_000);
    let (mut sent, mut lost) = (0, 0);
    // The hosts are stopped and started in turn, one at a time.
    for n in 0..5 {
        let mut connection =
            Connection::open(fleet.hosts[n].front(), Duration::from_secs(10)).map_err(text)?;
        let id = format!("long-{n}");
        let signalled_at = Instant::now();
        if trouble {
            fleet.hosts[n].signal("TERM")?;
            record.line(&format!("host {} gets SIGTERM", fleet.hosts[n].name));
        }
        sleep_ms(1_500);
        let path = format!("/work/big/{length}/report");
        connection.send(&request("GET", &path, &id, 8_000, "")).map_err(text)?;
        record.line(&format!("caller: {id} sent 1500 ms after the signal"));
        sent += 1;
        let answer = connection.receive_slowly(bytes_per_s);
        let ended_ms = signalled_at.elapsed().as_secs_f64() * 1e3;
        let ran = seen.runs().get(&id).copied().unwrap_or(0);
        match answer {
            Some((status, stated, arrived)) => {
                record.say(&format!(
                    "{id}: passed on to {ran} replicas; answered {status}, {arrived} of {stated} bytes \
                     of the body at {ended_ms:.0} ms after the signal"
                ));
                lost += usize::from(arrived < stated && ran > 0);
            }
            None => {
                record.say(&format!("{id}: no answer at {ended_ms:.0} ms; ran {ran} times"));
                lost += usize::from(ran > 0);
            }
        }
        drop(connection);
        if trouble {
            let ended = fleet.hosts[n].wait_end(Duration::from_millis(5_000));
            record.line(&format!("host {} ended: {ended}", fleet.hosts[n].name));
            fleet.hosts[n].kill();
            fleet.hosts[n].start(record)?;
            fleet.wait_ready(Duration::from_secs(10))?;
            sleep_ms(3_000);
        }
    }
    record.say(&format!("{sent} requests sent, {lost} answers cut off"));
    Ok(lost > 0)
}

/// A replica's entry is removed when more than half of the hosts are killed, some time after the store
/// was down.
fn removed(record: &Record, trouble: bool) -> Played {
    const DRAIN_MS: f64 = 3_000.0;
    let (store, seen) = (Store::default(), Seen::new(record));
    let store_addr = store.start().map_err(text)?;
    store.put("op/config", &config(1, "idempotent", 2, 8_000, 0.0));
    let zones = ["zone-a", "zone-b", "zone-c", "zone-d"];
    let terms = Terms { slots: 4, queue: 16, max_conns: 100, work_ms: 20 };
    let servers = servers(&store, &seen, 12, &terms, &zones)?;
    let mut fleet = Fleet::new(&ZONES, store_addr)?;
    fleet.start_all(record)?;
    fleet.wait_ready(Duration::from_secs(10))?;
    sleep_ms(5_000);
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::default();
    let callers = get_callers(record, &fleet, 42, &stop, &answers);
    sleep_ms(2_000);
    let (mut late, mut rounds_late) = (0, 0);
    for round in 0..4usize {
        if trouble {
            store.set_busy(true);
            record.line("the store is down (503)");
            sleep_ms(4_000);
            store.set_busy(false);
            record.line("the store is back");
        }
        sleep_ms(6_000);
        // The hosts that read the store, one in each zone, log a change of an entry that they read.
        let before: Vec<usize> = fleet.hosts.iter().map(|host| host.logged().len()).collect();
        let changed = &servers[11];
        store.put(&changed.key(), &changed.entry("ready", 0, 10 + round as u64));
        sleep_ms(1_000);
        let killed: Vec<usize> = (0..fleet.hosts.len())
            .filter(|n| fleet.hosts[*n].logged()[before[*n]..].contains("\"servers changed\""))
            .collect();
        if trouble {
            for n in &killed {
                fleet.hosts[*n].kill();
            }
            record.line(&format!("the hosts {killed:?} are killed, which read the store"));
        }
        sleep_ms(50);
        // A replica that never reports that it drains: its entry is removed, and it goes on serving.
        let server = &servers[round];
        store.delete(&server.key());
        let removed_ms = record.now_ms();
        record.line(&format!("the removal of {} is acknowledged", server.id));
        sleep_ms(1_950);
        if trouble {
            for n in &killed {
                fleet.hosts[*n].start(record)?;
            }
        }
        sleep_ms(3_000);
        let times: Vec<f64> = seen
            .events()
            .iter()
            .filter(|e| e.server == server.id && e.what == What::Arrived)
            .filter(|e| !killed.contains(&front_of(&e.request, fleet.hosts.len())))
            .map(|e| e.at_ms - removed_ms)
            .filter(|at| *at > 0.0)
            .collect();
        let after = times.iter().filter(|at| **at > DRAIN_MS).count();
        let last = times.iter().copied().fold(0.0, f64::max);
        record.say(&format!(
            "round {round}: {} got {} requests from other hosts after its removal, the last one {last:.0} ms after it, \
             {after} of them more than {DRAIN_MS:.0} ms after it",
            server.id,
            times.len()
        ));
        late += after;
        rounds_late += usize::from(after > 0);
        fleet.wait_ready(Duration::from_secs(10))?;
        sleep_ms(4_000);
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    drop(fleet);
    record.say(&format!("{late} requests later than allowed, in {rounds_late} of 4 rounds"));
    Ok(late > 0)
}

/// The replicas of a service become cold, and meanwhile all daemons are killed at once.
fn cold(record: &Record, trouble: bool) -> Played {
    const COLD_MS: u64 = 3_000;
    let per_s: f64 = std::env::var("PER_S").ok().and_then(|text| text.parse().ok()).unwrap_or(20.0);
    let (store, seen) = (Store::default(), Seen::new(record));
    let store_addr = store.start().map_err(text)?;
    store.put("op/config", &config(1, "idempotent", 2, 8_000, per_s));
    let zones = ["zone-a", "zone-b", "zone-c", "zone-d"];
    let terms = Terms { slots: 4, queue: 16, max_conns: 100, work_ms: 30 };
    let servers = servers(&store, &seen, 4, &terms, &zones)?;
    let mut fleet = Fleet::new(&ZONES, store_addr)?;
    fleet.start_all(record)?;
    fleet.wait_ready(Duration::from_secs(10))?;
    sleep_ms(5_000);
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::default();
    let callers = get_callers(record, &fleet, 42, &stop, &answers);
    sleep_ms(2_000);
    let mut worst = 0;
    let bound = per_s * 1.5 + 5.0;
    for round in 0..6u64 {
        for server in &servers {
            store.put(&server.key(), &server.entry("ready", COLD_MS, 10 * round + 10));
        }
        let cold_from = record.now_ms();
        record.line(&format!("the replicas are cold for {COLD_MS} ms"));
        sleep_ms(700);
        if trouble {
            fleet.hosts.iter_mut().for_each(|host| host.kill());
            record.line("all hosts are killed");
            sleep_ms(300);
            // Machines start within 0.3 s of each other, in any order.
            for n in [1, 3, 5, 6, 0, 2, 4] {
                fleet.hosts[n].start(record)?;
                sleep_ms(40);
            }
        }
        let left = COLD_MS as f64 - (record.now_ms() - cold_from);
        sleep_ms(left.max(0.0) as u64);
        for server in &servers {
            store.put(&server.key(), &server.entry("ready", 0, 10 * round + 11));
            // What arrives before the hosts can know that the replica is cold is left out.
            let times: Vec<f64> = seen
                .events()
                .iter()
                .filter(|e| e.server == server.id && e.what == What::Arrived)
                .map(|e| e.at_ms - cold_from)
                .filter(|at| *at > 700.0 && *at < COLD_MS as f64)
                .collect();
            let within =
                |from: &f64| times.iter().filter(|at| **at >= *from && **at < from + 1e3).count();
            let most = times.iter().map(within).max().unwrap_or(0);
            worst = worst.max(most);
            let note = if most as f64 > bound { "FAILBACK" } else { "ok" };
            record.say(&format!(
                "{note}: round {round}: {} got at most {most} requests in one second while cold",
                server.id
            ));
        }
        fleet.wait_ready(Duration::from_secs(10))?;
        sleep_ms(5_000);
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    drop(fleet);
    record.say(&format!("at most {worst} in one second; the bound is {bound}"));
    Ok(worst as f64 > bound)
}

/// Returns the host to which a caller of [`get_callers`] sends a request.
fn front_of(request: &str, hosts: usize) -> usize {
    request[1..3].parse::<usize>().map_or(0, |caller| caller % hosts)
}

/// Callers that send idempotent requests.
fn get_callers(
    record: &Record,
    fleet: &Fleet,
    count: usize,
    stop: &Arc<AtomicBool>,
    answers: &Arc<Mutex<HashMap<String, Answer>>>,
) -> Vec<thread::JoinHandle<()>> {
    let fronts: Vec<_> = fleet.hosts.iter().map(|host| host.front()).collect();
    let caller = |n: usize| {
        let (record, fronts) = (record.clone(), fronts.clone());
        let (stop, answers) = (stop.clone(), answers.clone());
        move || {
            let mut connection: Option<Connection> = None;
            let mut sent = 0;
            while !stop.load(Ordering::SeqCst) {
                sleep_ms(20);
                if connection.as_mut().is_some_and(Connection::is_closed) {
                    connection = None;
                }
                if connection.is_none() {
                    let front = fronts[n % fronts.len()];
                    connection = Connection::open(front, Duration::from_secs(9)).ok();
                }
                let Some(open) = connection.as_mut() else { continue };
                sent += 1;
                let id = format!("g{n:02}-{sent:05}");
                let reply = open.call(&request("GET", "/work/item", &id, 8_000, ""));
                let status = reply.as_ref().map_or(0, |reply| reply.status());
                record.line(&format!("caller {n}: {id} answered {status}"));
                answers.lock().unwrap().insert(id, Answer { status });
                if reply.is_none_or(|reply| reply.field("connection") == Some("close")) {
                    connection = None;
                }
            }
        }
    };
    (0..count).map(|n| thread::spawn(caller(n))).collect()
}
