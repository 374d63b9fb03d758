//! The daemons of the deploy file as processes on loopback addresses.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::{Random, Record, http, sleep_ms};

/// The processes that run.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case if it takes too long, with all processes that it started.
pub fn limit_time(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        let processes = PROCESSES.lock().unwrap();
        for process in processes.iter() {
            let _ = send_signal("KILL", *process);
        }
        eprintln!("the case took longer than {} s", limit.as_secs());
        std::process::exit(2);
    });
}

const PROGRAM: &str = "target/release/quetzal-platform";

/// The ports of all hosts; they are the same on every host of a deployment.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub directory: u16,
    pub peers: u16,
}

pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The daemons of a case; they end with it.
pub struct Fleet {
    pub hosts: Vec<Host>,
    folder: PathBuf,
}

impl Fleet {
    /// Writes the settings of hosts in these zones. Nothing is started yet.
    pub fn new(zones: &[&str], store: SocketAddrV4) -> Result<Self, String> {
        let mut random = Random::new(u64::from(std::process::id()));
        let folder = std::env::temp_dir().join(format!("quetzal-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let net = (10 + random.below(200) as u8, 1 + random.below(250) as u8);
        let ips: Vec<Ipv4Addr> =
            (0..zones.len()).map(|n| Ipv4Addr::new(127, net.0, net.1, 10 + n as u8)).collect();
        let ports = (0..200)
            .map(|_| {
                let first = 20_000 + random.below(10_000) as u16;
                let [front, ready, control, directory, peers] = [0, 1, 2, 3, 4].map(|n| first + n);
                Ports { front, ready, control, directory, peers }
            })
            .find(|ports| ips.iter().all(|ip| is_free(*ip, ports)))
            .ok_or("no free ports")?;
        let seeds: Vec<Ipv4Addr> = ips.iter().copied().step_by(2).take(3).collect();
        let mut hosts = Vec::new();
        for (n, (ip, zone)) in ips.iter().zip(zones).enumerate() {
            let name = format!("front-{zone}-{}", n + 1);
            let settings = folder.join(format!("{name}.yaml"));
            let text = settings_text(&name, *ip, zone, zones, ports, &seeds, store);
            fs::write(&settings, text).map_err(|error| error.to_string())?;
            let log = folder.join(format!("{name}.log"));
            let zone = (*zone).to_owned();
            hosts.push(Host { name, ip: *ip, zone, ports, settings, log, child: None });
        }
        Ok(Self { hosts, folder })
    }

    pub fn start_all(&mut self, record: &Record) -> Result<(), String> {
        self.hosts.iter_mut().try_for_each(|host| host.start(record))
    }

    /// Waits until all hosts count as ready.
    pub fn wait_ready(&self, within: Duration) -> Result<(), String> {
        let until = Instant::now() + within;
        for host in &self.hosts {
            while !host.is_ready() {
                if Instant::now() > until {
                    return Err(format!("{} is not ready", host.name));
                }
                sleep_ms(20);
            }
        }
        Ok(())
    }
}

/// Asks a directory; returns the addresses and how long they may be kept.
pub fn resolve(directory: SocketAddrV4, zone: &str) -> Option<(Vec<SocketAddrV4>, f64)> {
    let path = format!("/resolve?name=search.example&region=region-1&zone={zone}");
    let reply = http::get(directory, &path).filter(|reply| reply.status() == 200)?;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let list = text.split_once("\"addrs\":[")?.1.split_once(']')?.0;
    let addrs = list.split(',').filter_map(|addr| addr.trim_matches('"').parse().ok()).collect();
    let ttl = text.split_once("\"ttl_s\":")?.1;
    let ttl: String = ttl.chars().take_while(|c| c.is_ascii_digit() || *c == '.').collect();
    Some((addrs, ttl.parse().ok()?))
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Host {
    pub fn front(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.ports.front)
    }

    pub fn directory(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.ports.directory)
    }

    pub fn start(&mut self, record: &Record) -> Result<(), String> {
        let log = File::options().append(true).create(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .env("QUETZALPOINT_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        record.line(&format!("host {} starts", self.name));
        PROCESSES.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Returns what the process has logged so far.
    pub fn logged(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        http::get(SocketAddrV4::new(self.ip, self.ports.ready), "/readyz")
            .is_some_and(|reply| reply.status() == 200)
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES.lock().unwrap().retain(|process| *process != child.id());
        }
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let child = self.child.as_ref().ok_or("the host does not run")?;
        send_signal(name, child.id())
    }

    /// Waits for the end of the process; returns whether it ended in time.
    pub fn wait_end(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            match self.child.as_mut().map(Child::try_wait) {
                Some(Ok(None)) => sleep_ms(5),
                Some(_) | None => {
                    if let Some(child) = self.child.take() {
                        PROCESSES.lock().unwrap().retain(|process| *process != child.id());
                    }
                    return true;
                }
            }
        }
        false
    }
}

/// Sends a signal with the shell's own command, which is there where no `kill` is installed.
fn send_signal(name: &str, process: u32) -> Result<(), String> {
    let status = Command::new("sh").args(["-c", &format!("kill -s {name} {process}")]).status();
    match status {
        Ok(status) if status.success() => Ok(()),
        Ok(_) | Err(_) => Err("the signal could not be sent".to_owned()),
    }
}

fn is_free(ip: Ipv4Addr, ports: &Ports) -> bool {
    let tcp = [ports.front, ports.ready, ports.control, ports.directory, ports.peers];
    tcp.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        && UdpSocket::bind((ip, ports.peers)).is_ok()
}

fn settings_text(
    name: &str,
    ip: Ipv4Addr,
    zone: &str,
    zones: &[&str],
    ports: Ports,
    seeds: &[Ipv4Addr],
    store: SocketAddrV4,
) -> String {
    let Ports { front, ready, control, directory, peers } = ports;
    let mut names = zones.to_vec();
    names.sort_unstable();
    names.dedup();
    let zones: String = names.iter().map(|zone| format!("  {zone}: \"region-1\"\n")).collect();
    let seeds: String = seeds.iter().map(|seed| format!("  - \"{seed}:{control}\"\n")).collect();
    format!(
        "node: \"{name}\"\nrole: \"entry\"\nmachine_class: \"front\"\n\
         serves:\n  - \"front\"\n  - \"control\"\n  - \"directory\"\n\
         ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"region-1\"\nzones:\n{zones}\
         listen:\n  front: \"{ip}:{front}\"\n  ready: \"{ip}:{ready}\"\n  \
         control: \"{ip}:{control}\"\n  directory: \"{ip}:{directory}\"\n\
         port_range:\n  - {peers}\n  - {}\nseed_addrs:\n{seeds}\
         bootstrap: true\ncounts_as_loss: false\n\
         limits:\n  cpu_share: 0.25\n  vcpus: 1\n  memory_mb: 260\n  max_fds: 4100\n  \
         link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\n\
         entry_kind: \"directory\"\nbeat_ms: 1200\n\
         policies:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  \
         - \"recover\"\n  - \"scatter\"\n  - \"places\"\n  - \"platform\"\n\
         tolerate:\n  machines: 1\n  zones: 1\n  regions: 0\n\
         bounds:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n  stable_window_ms: 4000\n  ack_ms: 5000\n  \
         sync_s: 4\n  drain_ms: 3000\n  grace_s: 6\n  loss_slack_ms: 200\n  \
         config_apply_ms: 3000\n  rollback_slack_ms: 250\n  stretch_ms: 12000\n  \
         retry_ratio: 0.2\n  retry_window_s: 10\n  retry_slack: 54\n  cold_overage: 1.5\n  \
         cold_slack: 5\n  evacuate_ms: 5000\n  recovery_s: 12\n  ttl_max_s: 5\n\
         platform:\n  address: \"{store}\"\n  form: \"read\"\n  writes_per_s: 400\n  \
         reads_per_s: 2000\n  retention_s: 20\n  value_bytes: 1048576\n  min_ttl_ms: 1000\n",
        peers + 15
    )
}
