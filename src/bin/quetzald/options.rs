//! The daemon's flags and environment variables.

use std::net::SocketAddr;

use bpaf::Bpaf;
use quetzalpoint::Settings;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// For programs.
    Json,
}

impl std::str::FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("{other} is not a log format; give text or json")),
        }
    }
}

/// The daemon of one entry host.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// This host's name in the configuration
    #[bpaf(long, env("QUETZAL_HOST"), argument("NAME"))]
    host: String,
    /// The failure domain that this host stands in
    #[bpaf(long, env("QUETZAL_DOMAIN"), argument("NAME"))]
    domain: String,
    /// The address for callers
    #[bpaf(long, env("QUETZAL_CALLER_ADDR"), argument("IP:PORT"))]
    caller_addr: SocketAddr,
    /// The address for other hosts
    #[bpaf(long, env("QUETZAL_PEER_ADDR"), argument("IP:PORT"))]
    peer_addr: SocketAddr,
    /// The address of the platform's configuration service
    #[bpaf(long, env("QUETZAL_PLATFORM"), argument("IP:PORT"), optional)]
    platform: Option<SocketAddr>,
    /// The peer address of another host to ask for a configuration; may be given several times
    #[bpaf(long("peer"), argument("IP:PORT"), many)]
    peers: Vec<SocketAddr>,
    /// How log lines are written: text or json
    #[bpaf(long, env("QUETZAL_LOG_FORMAT"), argument("FORMAT"), fallback(LogFormat::Text))]
    pub log_format: LogFormat,
}

impl Options {
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
