//! The flags and environment variables of the daemon.

use std::net::SocketAddr;

use bpaf::Bpaf;
use quetzalpoint::Settings;
use quetzalpoint::process::clients::MachineLimits;

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Readable text.
    Text,
    /// JSON, one object per line.
    Json,
}

impl std::str::FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("{other} is not a log format; use text or json")),
        }
    }
}

/// The quetzalpoint daemon of an entry host
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Name of this host in the configuration
    #[bpaf(long, env("QUETZAL_HOST"), argument("NAME"))]
    host: String,
    /// Failure domain of this host
    #[bpaf(long, env("QUETZAL_DOMAIN"), argument("NAME"))]
    domain: String,
    /// Address to listen on for callers
    #[bpaf(long, env("QUETZAL_CALLER_ADDR"), argument("IP:PORT"))]
    caller_addr: SocketAddr,
    /// Address to listen on for other hosts
    #[bpaf(long, env("QUETZAL_PEER_ADDR"), argument("IP:PORT"))]
    peer_addr: SocketAddr,
    /// Address of the platform's configuration service
    #[bpaf(long, env("QUETZAL_PLATFORM"), argument("IP:PORT"), optional)]
    platform: Option<SocketAddr>,
    /// Peer address of another host to ask for a configuration; may be given several times
    #[bpaf(long("peer"), argument("IP:PORT"), many)]
    peers: Vec<SocketAddr>,
    /// Memory of the machine in megabytes, from which the limits on clients follow
    #[bpaf(long, env("QUETZAL_MEMORY_MB"), argument("N"), fallback(260))]
    memory_mb: usize,
    /// Number of file descriptors that the process may open
    #[bpaf(long, env("QUETZAL_MAX_DESCRIPTORS"), argument("N"), fallback(4_096))]
    max_descriptors: usize,
    /// Format of log lines: text or json
    #[bpaf(long, env("QUETZAL_LOG_FORMAT"), argument("FORMAT"), fallback(LogFormat::Text))]
    pub log_format: LogFormat,
}

impl Options {
    /// Returns what the process may use of its machine.
    pub const fn machine(&self) -> MachineLimits {
        MachineLimits {
            memory_bytes: self.memory_mb.saturating_mul(1 << 20),
            descriptors: self.max_descriptors,
        }
    }

    /// Returns the settings for the library.
    pub fn settings(self) -> Settings {
        Settings {
            host: self.host.into(),
            domain: self.domain.into(),
            caller_addr: self.caller_addr,
            peer_addr: self.peer_addr,
            platform: self.platform,
            peers: self.peers,
        }
    }
}
