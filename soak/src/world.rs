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
use quetzal_platform_standin::server::{RunCounts, Server};
use quetzal_platform_standin::settings;
use quetzal_platform_standin::store::Store;

use crate::proxy::Proxy;

/// The failure domains.
pub const DOMAINS: [&str; 2] = ["north", "south"];
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

/// A period in which a fault affected a host, so that its callers may get no answer.
#[derive(Debug, Clone, Copy)]
pub struct Disruption {
    pub from: Instant,
    pub until: Option<Instant>,
}

/// One host and its process.
#[derive(Debug)]
pub struct Host {
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    daemon: PathBuf,
    child: Mutex<Option<Child>>,
    disruptions: Mutex<Vec<Disruption>>,
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

    /// Records that callers may get no answer from now on; returns the index of the disruption.
    pub fn begin_disruption(&self) -> usize {
        let mut all = self.lock_disruptions();
        all.push(Disruption { from: Instant::now(), until: None });
        all.len() - 1
    }

    /// Records that a disruption is over.
    pub fn end_disruption(&self, index: usize) {
        self.lock_disruptions()[index].until = Some(Instant::now());
    }

    /// Returns whether a disruption of the host overlaps a period.
    pub fn was_disrupted(&self, from: Instant, until: Instant) -> bool {
        let overlaps = |d: &Disruption| d.from <= until && d.until.is_none_or(|end| end >= from);
        self.lock_disruptions().iter().any(overlaps)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Child>> {
        self.child.lock().expect("no holder of the lock panics")
    }

    fn lock_disruptions(&self) -> std::sync::MutexGuard<'_, Vec<Disruption>> {
        self.disruptions.lock().expect("no holder of the lock panics")
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
}

impl Endpoint {
    /// Returns the current server.
    pub fn server(&self) -> Server {
        self.server.lock().expect("no holder of the lock panics").clone()
    }
}

/// The hosts, the backend servers and the store of one run.
#[derive(Debug)]
pub struct World {
    pub hosts: Vec<Host>,
    pub endpoints: Vec<Endpoint>,
    pub store: Store,
    pub store_proxy: Proxy,
    pub run_counts: RunCounts,
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
    /// Starts stand-ins and hosts. Concurrent runs need different values of `subnet`, which is part
    /// of their addresses.
    pub async fn start(
        subnet: u8,
        hosts: u8,
        daemon: &Path,
        folder: &Path,
    ) -> io::Result<Arc<Self>> {
        let standin_ip = Ipv4Addr::new(127, 9, subnet, 1);
        let (store, run_counts) = (Store::default(), RunCounts::default());
        let store_proxy = Proxy::start(standin_ip, store.serve(standin_ip).await?).await?;
        let shards: Vec<String> = (0..SHARDS).map(|n| format!("shard-{n}")).collect();
        store
            .put(settings::PLAN_KEY, &settings::plan(1, &shards, RECORD_COUNT, COVERAGE_FLOOR))
            .expect("the store is present");
        let mut endpoints = Vec::new();
        for (n, shard) in shards.iter().enumerate() {
            for domain in DOMAINS {
                let id = format!("{shard}-{domain}");
                let server = Server::new(id, shard.clone(), records(n), run_counts.clone());
                let proxy = Proxy::start(standin_ip, server.serve(standin_ip).await?).await?;
                let entry = settings::server(shard, proxy.addr, domain, false);
                store.put(&settings::server_key(&server.id), &entry).expect("the store is present");
                endpoints.push(Endpoint { domain, proxy, server: Mutex::new(server) });
            }
        }
        let ips: Vec<Ipv4Addr> = (0..hosts).map(|n| Ipv4Addr::new(127, 8, subnet, n + 1)).collect();
        let host = |(n, ip): (usize, &Ipv4Addr)| -> io::Result<Host> {
            let settings = folder.join(format!("{ip}.yaml"));
            let seeds = &ips[..ips.len().min(3)];
            let text = settings::file(*ip, DOMAINS[n % DOMAINS.len()], seeds, store_proxy.addr);
            std::fs::write(&settings, text)?;
            let host = Host {
                ip: *ip,
                settings,
                log: folder.join(format!("{ip}.log")),
                daemon: daemon.into(),
                child: Mutex::default(),
                disruptions: Mutex::default(),
            };
            host.start()?;
            Ok(host)
        };
        let hosts = ips.iter().enumerate().map(host).collect::<io::Result<Vec<_>>>()?;
        Ok(Arc::new(Self { hosts, endpoints, store, store_proxy, run_counts, shards, standin_ip }))
    }
}
