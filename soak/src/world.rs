//! The processes and stand-ins of one run.

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
/// The records that an answer holds.
pub const RECORD_COUNT: usize = 8;
/// The least share of the shards that makes an answer.
pub const FLOOR: f64 = 0.5;
/// More records in two shards than an answer holds, so that merging must choose.
const RECORDS_PER_SHARD: u8 = 5;
/// The length of a record on the platform, in bytes.
const RECORD_BYTES: usize = 16;
/// A terminated process is waited for this long: its grace is four seconds, and it may stand still.
const END_WITHIN: Duration = Duration::from_secs(8);

/// A time in which a host was disturbed, so that its callers may get no answer.
#[derive(Debug, Clone, Copy)]
pub struct Disturbed {
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
    disturbed: Mutex<Vec<Disturbed>>,
}

impl Host {
    /// Starts the process, after ending one that runs; its log goes on where the last life's ended.
    pub fn start(&self) -> io::Result<()> {
        self.end();
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
            // A process that has just ended is not there any more.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Returns the id of the process, if there is one.
    pub fn process(&self) -> Option<u32> {
        self.lock().as_ref().map(Child::id)
    }

    /// Waits until a process of this host has ended; returns whether it did so in time, and kills it
    /// otherwise. Another fault may have put another process in its place meanwhile.
    pub async fn ended(&self, process: u32) -> bool {
        let until = Instant::now() + END_WITHIN;
        loop {
            let ended = self.lock().as_mut().is_none_or(|child| {
                child.id() != process || child.try_wait().is_ok_and(|status| status.is_some())
            });
            if ended {
                return true;
            }
            if Instant::now() >= until {
                self.end();
                return false;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills the process and waits for it.
    pub fn end(&self) {
        if let Some(mut child) = self.lock().take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Notes that callers may get no answer from now on; returns the number of the disturbance.
    pub fn disturb(&self) -> usize {
        let mut all = self.disturbances();
        all.push(Disturbed { from: Instant::now(), until: None });
        all.len() - 1
    }

    /// Notes that a disturbance is over.
    pub fn calm(&self, disturbance: usize) {
        self.disturbances()[disturbance].until = Some(Instant::now());
    }

    /// Tells whether the host was disturbed at some moment of a span.
    pub fn was_disturbed(&self, from: Instant, until: Instant) -> bool {
        let meets = |d: &Disturbed| d.from <= until && d.until.is_none_or(|end| end >= from);
        self.disturbances().iter().any(meets)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Child>> {
        self.child.lock().expect("no holder of the lock panics")
    }

    fn disturbances(&self) -> std::sync::MutexGuard<'_, Vec<Disturbed>> {
        self.disturbed.lock().expect("no holder of the lock panics")
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}

/// One backend server behind its proxy.
#[derive(Debug)]
pub struct Place {
    pub domain: &'static str,
    pub proxy: Proxy,
    pub server: Mutex<Server>,
}

impl Place {
    /// Returns the server that is there now.
    pub fn server(&self) -> Server {
        self.server.lock().expect("no holder of the lock panics").clone()
    }
}

/// Everything of one run.
#[derive(Debug)]
pub struct World {
    pub hosts: Vec<Host>,
    pub places: Vec<Place>,
    pub store: Store,
    pub store_proxy: Proxy,
    pub ledger: RunCounts,
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

/// Returns the greatest records of some shards, greatest first.
pub fn greatest(shards: impl Iterator<Item = usize>) -> Vec<u8> {
    let all: Vec<u8> = shards.flat_map(records).collect();
    let mut all: Vec<&[u8]> = all.chunks_exact(RECORD_BYTES).collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.truncate(RECORD_COUNT);
    all.concat()
}

impl World {
    /// Starts stand-ins and hosts; `slot` keeps runs beside each other apart.
    pub async fn start(slot: u8, hosts: u8, daemon: &Path, folder: &Path) -> io::Result<Arc<Self>> {
        let standin_ip = Ipv4Addr::new(127, 9, slot, 1);
        let (store, ledger) = (Store::default(), RunCounts::default());
        let store_proxy = Proxy::start(standin_ip, store.serve(standin_ip).await?).await?;
        let shards: Vec<String> = (0..SHARDS).map(|n| format!("shard-{n}")).collect();
        store.put(settings::PLAN_KEY, &settings::plan(1, &shards, RECORD_COUNT, FLOOR));
        let mut places = Vec::new();
        for (n, shard) in shards.iter().enumerate() {
            for domain in DOMAINS {
                let id = format!("{shard}-{domain}");
                let server = Server::new(id, shard.clone(), records(n), ledger.clone());
                let proxy = Proxy::start(standin_ip, server.serve(standin_ip).await?).await?;
                let entry = settings::server(shard, proxy.addr, domain, false);
                store.put(&settings::server_key(&server.id), &entry);
                places.push(Place { domain, proxy, server: Mutex::new(server) });
            }
        }
        let ips: Vec<Ipv4Addr> = (0..hosts).map(|n| Ipv4Addr::new(127, 8, slot, n + 1)).collect();
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
                disturbed: Mutex::default(),
            };
            host.start()?;
            Ok(host)
        };
        let hosts = ips.iter().enumerate().map(host).collect::<io::Result<Vec<_>>>()?;
        Ok(Arc::new(Self { hosts, places, store, store_proxy, ledger, shards, standin_ip }))
    }
}
