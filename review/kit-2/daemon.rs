//! The daemons under test, as processes.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The program and its settings variable, as the deploy file and the pages name them.
const PROGRAM: &str = "target/release/quetzal-platform";
const VARIABLE: &str = "QUETZALPOINT_NODE_FILE";
pub const MEMORY_MB: u64 = 260;

static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all daemons that were started.
pub fn stop_all() {
    for child in STARTED.lock().unwrap().iter() {
        let mut child = child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = fs::remove_dir_all(folder());
}

fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("quetzal-review-2-{}", std::process::id()))
}

/// The ports of all daemons of a case, the same at each address.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: u16,
    ready: u16,
    control: u16,
    pub directory: u16,
    pub peer: u16,
}

impl Ports {
    /// Finds ports that are free at all of these addresses.
    pub fn find(ips: &[Ipv4Addr]) -> Result<Self, String> {
        let is_free = |port: u16| {
            ips.iter().all(|ip| {
                TcpListener::bind((*ip, port)).is_ok()
                    && std::net::UdpSocket::bind((*ip, port)).is_ok()
            })
        };
        let first = 20_000 + (std::process::id() % 8_000) as u16;
        let mut free = (first..first + 2_000).filter(|port| is_free(*port));
        let mut next = || free.next().ok_or_else(|| "no port is free".to_owned());
        Ok(Self {
            front: next()?,
            ready: next()?,
            control: next()?,
            directory: next()?,
            peer: next()?,
        })
    }
}

/// One machine with one daemon.
#[derive(Clone)]
pub struct Machine {
    pub ip: Ipv4Addr,
    pub ports: Ports,
    settings: PathBuf,
    child: Arc<Mutex<Child>>,
}

impl Machine {
    /// Starts a daemon in a zone.
    pub fn start(
        ip: Ipv4Addr,
        zone: &str,
        zones: &[&str],
        seeds: &[Ipv4Addr],
        ports: Ports,
        store: SocketAddr,
    ) -> Result<Self, String> {
        let text = settings_text(ip, zone, zones, seeds, ports, store);
        fs::create_dir_all(folder()).map_err(|error| error.to_string())?;
        let path = folder().join(format!("{ip}.yaml"));
        fs::write(&path, text).map_err(|error| error.to_string())?;
        let child = Arc::new(Mutex::new(spawn(&path)?));
        STARTED.lock().unwrap().push(child.clone());
        Ok(Self { ip, ports, settings: path, child })
    }

    pub fn front(&self) -> SocketAddr {
        (self.ip, self.ports.front).into()
    }

    /// Writes the settings file anew, with other seeds. The daemon gets no signal.
    pub fn change_seeds(
        &self,
        zone: &str,
        zones: &[&str],
        seeds: &[Ipv4Addr],
        store: SocketAddr,
    ) -> std::io::Result<()> {
        let text = settings_text(self.ip, zone, zones, seeds, self.ports, store);
        let next = self.settings.with_extension("next");
        fs::write(&next, text)?;
        fs::rename(next, &self.settings)
    }

    /// Waits until the daemon is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        let request = b"GET /readyz HTTP/1.1\r\nHost: platform\r\n\r\n";
        let ready: SocketAddr = (self.ip, self.ports.ready).into();
        while Instant::now() < until {
            let answer = http::call(ready, request, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("the daemon at {} is not ready", self.ip))
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// Returns the memory of the process in bytes.
    pub fn memory(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/statm", self.pid())).unwrap_or_default();
        let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
        pages.unwrap_or(0) * page_bytes()
    }

    /// Returns the processor time that the process has used, in milliseconds.
    pub fn cpu_ms(&self) -> u64 {
        let text =
            fs::read_to_string(format!("/proc/{}/schedstat", self.pid())).unwrap_or_default();
        text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0) / 1_000_000
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        !matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// Kills the process and starts it again after `pause`.
    pub fn kill_and_restart(&self, pause: Duration) -> Result<(), String> {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
        thread::sleep(pause);
        *child = spawn(&self.settings)?;
        Ok(())
    }
}

/// Returns a settings file, as JSON, which is YAML.
fn settings_text(
    ip: Ipv4Addr,
    zone: &str,
    zones: &[&str],
    seeds: &[Ipv4Addr],
    ports: Ports,
    store: SocketAddr,
) -> String {
    let zones: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\":\"r\"")).collect();
    let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:{}\"", ports.control)).collect();
    format!(
        r#"{{"node":"front-{ip}","ip":"{ip}","zone":"{zone}","region":"r","zones":{{{}}},
        "listen":{{"front":"{ip}:{}","ready":"{ip}:{}","control":"{ip}:{}","directory":"{ip}:{}"}},
        "port_range":[{},{}],"seed_addrs":[{}],"limits":{{"cpu_share":0.25,"vcpus":1,
        "memory_mb":{MEMORY_MB},"max_fds":4100,"link_mbps":1000.0}},"bounds":{{"grace_s":6,
        "retry_ratio":0.2,"retry_window_s":10,"retry_slack":54,"ttl_max_s":5}},"beat_ms":1200,
        "platform":{{"address":"{store}"}}}}"#,
        zones.join(","),
        ports.front,
        ports.ready,
        ports.control,
        ports.directory,
        ports.peer,
        ports.peer + 15,
        seeds.join(","),
    )
}

fn page_bytes() -> u64 {
    let output = Command::new("getconf").arg("PAGESIZE").output();
    let text = output.map(|output| output.stdout).unwrap_or_default();
    String::from_utf8_lossy(&text).trim().parse().unwrap_or(4096)
}

fn spawn(settings: &PathBuf) -> Result<Child, String> {
    let log = settings.with_extension("log");
    let log = File::options().create(true).append(true).open(log);
    let log = log.map_err(|error| error.to_string())?;
    let error_log = log.try_clone().map_err(|error| error.to_string())?;
    Command::new(PROGRAM)
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env(VARIABLE, settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(error_log)
        .spawn()
        .map_err(|error| format!("{PROGRAM}: {error}"))
}
