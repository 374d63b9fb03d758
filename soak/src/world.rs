//! The host processes and stand-ins of one run.

use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use quetzal_platform_standin::server::{RequestLog, Server};
use quetzal_platform_standin::settings;
use quetzal_platform_standin::store::{Access, Store};

use serde_json::Value;

use crate::periods::Periods;
use crate::proxy::{LinkMode, Proxy};
use crate::timeline::Bounds;
use crate::writers::Writers;

/// The failure domains, of which a run uses the first ones.
pub const ALL_DOMAINS: [&str; 4] = ["north", "south", "east", "west"];
/// The number of services of the servers that no route uses.
const IDLE_SERVICES: usize = 40;
/// The number of shards, each with one server in each failure domain.
pub const SHARDS: usize = 6;
/// The maximum number of records in an answer.
pub const RECORD_COUNT: usize = 8;
/// The minimum share of the shards that an answer must cover.
pub const COVERAGE_FLOOR: f64 = 0.5;
/// Two shards together have more records than an answer, so that a merge must drop some.
const RECORDS_PER_SHARD: u8 = 5;
/// The length of a record on the platform.
const RECORD_BYTES: usize = 16;
/// How long to wait for a process to exit after SIGTERM: its grace period is four seconds, and
/// another fault may stop it meanwhile.
const EXIT_TIMEOUT: Duration = Duration::from_secs(8);

/// One host and its process.
#[derive(Debug)]
pub struct Host {
    pub ip: Ipv4Addr,
    pub domain: &'static str,
    settings: PathBuf,
    log: PathBuf,
    daemon: PathBuf,
    /// Its way to the store.
    pub store_access: Access,
    bounds: Bounds,
    child: Mutex<Option<Child>>,
    starts: Mutex<Vec<Instant>>,
    /// The periods in which a fault affected the host, so that its callers may get no answer.
    pub disruptions: Periods,
    /// The periods in which the host was started, signalled or without its process.
    pub interventions: Periods,
    /// The periods in which the process was stopped, to be continued.
    pub stops: Periods,
}

impl Host {
    /// Starts the process, after killing one that still runs; appends to the log of earlier ones.
    pub fn start(&self) -> io::Result<()> {
        self.kill();
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.daemon)
            .env(settings::PATH_VARIABLE, &self.settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        *self.lock() = Some(child);
        self.lock_starts().push(Instant::now());
        self.interventions.end(self.interventions.begin());
        Ok(())
    }

    /// Sends a signal to the process, if one runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = self.lock().as_ref()
            && let Ok(id) = i32::try_from(child.id())
        {
            // This fails if the process has just exited.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Returns the identifier of the process, if there is one.
    pub fn process_id(&self) -> Option<u32> {
        self.lock().as_ref().map(Child::id)
    }

    /// Waits until a process of this host has exited; returns whether it did so in time, and kills
    /// it otherwise. Another fault may have started a new process in the meantime.
    pub async fn wait_for_exit(&self, process_id: u32) -> bool {
        let until = Instant::now() + EXIT_TIMEOUT;
        loop {
            let exited = self.lock().as_mut().is_none_or(|child| {
                child.id() != process_id || child.try_wait().is_ok_and(|status| status.is_some())
            });
            if exited {
                return true;
            }
            if Instant::now() >= until {
                self.kill();
                return false;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&self) {
        if let Some(mut child) = self.lock().take() {
            // This fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the number of starts up to a moment, which names the process of that moment.
    pub fn starts(&self, by: Instant) -> usize {
        self.lock_starts().iter().filter(|at| **at <= by).count()
    }

    /// Returns whether the host ran without intervention for the stable window before a period
    /// and throughout the period.
    pub fn is_steady(&self, from: Instant, until: Instant) -> bool {
        !self
            .interventions
            .overlap(from.checked_sub(self.bounds.stable_window).unwrap_or(from), until)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Child>> {
        self.child.lock().expect("no holder of the lock panics")
    }

    fn lock_starts(&self) -> std::sync::MutexGuard<'_, Vec<Instant>> {
        self.starts.lock().expect("no holder of the lock panics")
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The address of a backend server: a proxy and the server that is behind it now.
#[derive(Debug)]
pub struct Endpoint {
    pub domain: &'static str,
    pub proxy: Proxy,
    pub server: Mutex<Server>,
    /// The periods in which connections to the server were disrupted.
    pub link_disruptions: Periods,
    /// The end of its cold start.
    cold_until: Mutex<Option<Instant>>,
}

impl Endpoint {
    /// Returns the current server.
    pub fn server(&self) -> Server {
        self.server.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns the key and the entry of the current server.
    pub fn entry(&self, draining: bool) -> (String, Value) {
        let server = self.server();
        let (service, born_ms) = (&server.service, server.born_ms);
        let mut entry = settings::server(service, self.proxy.addr, self.domain, draining, born_ms);
        let cold_until = *self.cold_until.lock().expect("no holder of the lock panics");
        if let Some(until) = cold_until {
            let left = until.saturating_duration_since(Instant::now());
            settings::set_cold(&mut entry, left.as_millis() as u64);
        }
        (settings::server_key(&server.id), entry)
    }

    /// Makes the server cold at least until a moment, which its next entry says.
    pub fn extend_cold(&self, until: Instant) {
        let mut cold_until = self.cold_until.lock().expect("no holder of the lock panics");
        *cold_until = Some(cold_until.map_or(until, |known| known.max(until)));
    }

    /// Ends a cold start; returns whether no later one goes on.
    pub fn end_cold(&self, until: Instant) -> bool {
        let mut cold_until = self.cold_until.lock().expect("no holder of the lock panics");
        if cold_until.is_some_and(|known| known > until) {
            return false;
        }
        *cold_until = None;
        true
    }
}

/// A rate limit that a server stated for some time.
#[derive(Debug)]
pub struct RateLimit {
    pub server: String,
    pub per_s: f64,
    pub from: Instant,
    pub until: Instant,
}

/// A time in which a server was cold, from the store's acknowledgement on.
#[derive(Debug)]
pub struct ColdPeriod {
    pub server: String,
    pub from: Instant,
    pub until: Instant,
}

/// How many parts a run has.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub hosts: u8,
    pub domains: usize,
    /// The routes of each plan that no caller uses, and the servers that no route uses.
    pub idle_routes: usize,
    pub idle_servers: usize,
}

/// The hosts, the backend servers and the store of one run.
#[derive(Debug)]
pub struct World {
    pub hosts: Vec<Host>,
    pub endpoints: Vec<Endpoint>,
    pub writers: Arc<Writers>,
    /// The domains in use.
    pub domains: &'static [&'static str],
    pub bounds: Bounds,
    store_proxies: Vec<Proxy>,
    /// The periods in which the store was away or disrupted.
    pub store_disruptions: Periods,
    pub request_log: RequestLog,
    /// The rate limits that have ended.
    pub rate_limits: Mutex<Vec<RateLimit>>,
    /// The cold starts that have ended.
    pub cold_periods: Mutex<Vec<ColdPeriod>>,
    pub shards: Vec<String>,
    pub standin_ip: Ipv4Addr,
}

/// Returns the records of a shard; both of its servers have the same.
pub fn records(shard: usize) -> Vec<u8> {
    let record = |n| {
        let mut record = [0; RECORD_BYTES];
        record[0] = n * 37 + shard as u8 * 11;
        record[1] = shard as u8;
        record
    };
    (0..RECORDS_PER_SHARD).flat_map(record).collect()
}

/// Returns the greatest records of some shards in descending order, as many as an answer has.
pub fn top_records(shards: impl Iterator<Item = usize>) -> Vec<u8> {
    let all: Vec<u8> = shards.flat_map(records).collect();
    let mut all: Vec<&[u8]> = all.chunks_exact(RECORD_BYTES).collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.truncate(RECORD_COUNT);
    all.concat()
}

impl World {
    /// Returns whether the store was undisturbed for the stable window before a period and
    /// throughout the period.
    pub fn store_is_stable(&self, from: Instant, until: Instant) -> bool {
        let from = from.checked_sub(self.bounds.stable_window).unwrap_or(from);
        !self.store_disruptions.overlap(from, until)
    }

    /// Sets how the connections of all hosts to the store are handled.
    pub fn set_store_links(&self, mode: LinkMode) {
        self.store_proxies.iter().for_each(|proxy| proxy.set_mode(mode));
    }

    /// Returns the hosts that have called the store within a period that ends now.
    pub fn readers(&self, period: Duration) -> Vec<usize> {
        let calls =
            |host: &Host| host.store_access.last_call().is_some_and(|at| at.elapsed() < period);
        (0..self.hosts.len()).filter(|n| calls(&self.hosts[*n])).collect()
    }

    /// Starts stand-ins and hosts. Concurrent runs need different values of `subnet`, which is part
    /// of their addresses.
    pub async fn start(
        subnet: u8,
        seed: u64,
        size: Size,
        daemon: &Path,
        folder: &Path,
    ) -> io::Result<Arc<Self>> {
        let domains = &ALL_DOMAINS[..size.domains];
        let bounds = Bounds::of_fleet(size.hosts.into());
        let standin_ip = Ipv4Addr::new(127, 9, subnet, 1);
        let (store, request_log) = (Store::default(), RequestLog::default());
        let shards: Vec<String> = (0..SHARDS).map(|n| format!("shard-{n}")).collect();
        let writers = Arc::new(Writers::new(store.clone(), seed, bounds, size.idle_routes));
        writers.write_next_plan(&shards).await;
        let mut endpoints = Vec::new();
        for (n, shard) in shards.iter().enumerate() {
            for domain in domains {
                let id = format!("{shard}-{domain}");
                let server = Server::new(id, shard.clone(), records(n), request_log.clone());
                let proxy = Proxy::start(standin_ip, server.serve(standin_ip).await?).await?;
                let endpoint = Endpoint {
                    domain,
                    proxy,
                    server: Mutex::new(server),
                    link_disruptions: Periods::default(),
                    cold_until: Mutex::default(),
                };
                let (key, entry) = endpoint.entry(false);
                writers.write(&key, Some(entry)).await;
                endpoints.push(endpoint);
            }
        }
        for n in 0..size.idle_servers {
            let (service, domain) =
                (format!("idle-{}", n % IDLE_SERVICES), domains[n % domains.len()]);
            let entry = settings::server(&service, (standin_ip, 1).into(), domain, false, 0);
            writers.write(&settings::server_key(&format!("idle-{n}")), Some(entry)).await;
        }
        let ips: Vec<Ipv4Addr> =
            (0..size.hosts).map(|n| Ipv4Addr::new(127, 8, subnet, n + 1)).collect();
        let mut stores = Vec::new();
        for _ in &ips {
            let access = Access::default();
            let addr = store.serve_host(standin_ip, access.clone()).await?;
            stores.push((access, Proxy::start(standin_ip, addr).await?));
        }
        let host = |(n, ip): (usize, &Ipv4Addr)| -> io::Result<Host> {
            let (store_access, store_proxy) = &stores[n];
            let settings = folder.join(format!("{ip}.yaml"));
            let seeds = &ips[..ips.len().min(3)];
            let domain = domains[n % domains.len()];
            let text = settings::file(*ip, domain, domains, seeds, store_proxy.addr);
            std::fs::write(&settings, text)?;
            let host = Host {
                ip: *ip,
                domain,
                settings,
                log: folder.join(format!("{ip}.log")),
                daemon: daemon.into(),
                store_access: store_access.clone(),
                bounds,
                child: Mutex::default(),
                starts: Mutex::default(),
                disruptions: Periods::default(),
                interventions: Periods::default(),
                stops: Periods::default(),
            };
            host.start()?;
            Ok(host)
        };
        let hosts = ips.iter().enumerate().map(host).collect::<io::Result<Vec<_>>>()?;
        Ok(Arc::new(Self {
            hosts,
            endpoints,
            writers,
            domains,
            bounds,
            store_proxies: stores.into_iter().map(|(_, proxy)| proxy).collect(),
            store_disruptions: Periods::default(),
            request_log,
            rate_limits: Mutex::default(),
            cold_periods: Mutex::default(),
            shards,
            standin_ip,
        }))
    }
}
