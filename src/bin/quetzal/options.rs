//! The commands and flags of the tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// The command-line tool for operators and callers of quetzalpoint
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run both example deployments in this process: queries, one failure domain taken out and back
    #[bpaf(command)]
    Demo,
    /// Run a deployment under load, inject failures and check the invariants
    #[bpaf(command)]
    Measure {
        #[bpaf(external)]
        measure_options: MeasureOptions,
    },
    /// Compare how fast gossip strategies spread a configuration version at equal cost
    #[bpaf(command)]
    Gossip {
        /// Number of hosts
        #[bpaf(long, argument("N"), fallback(430))]
        hosts: usize,
        /// Message loss, in percent
        #[bpaf(long, argument("PERCENT"), fallback(10))]
        loss: u32,
        /// Seed of the random number generator
        #[bpaf(long, argument("N"), fallback(1))]
        seed: u64,
    },
    /// Measure the control overhead of a host by role, at several fleet sizes
    #[bpaf(command)]
    Capacity,
    /// Generate a configuration from the answers to the questionnaire
    #[bpaf(command)]
    Questionnaire {
        /// Version number of the configuration
        #[bpaf(long, argument("N"), fallback(1))]
        version: u64,
        /// Output file (default: standard output)
        #[bpaf(long, short, argument("FILE"), optional)]
        out: Option<PathBuf>,
        /// TOML file with the answers (default: ask on the terminal)
        #[bpaf(positional("ANSWERS"), optional)]
        answers: Option<PathBuf>,
    },
    /// Validate a configuration
    #[bpaf(command)]
    Check {
        #[bpaf(positional("CONFIG"))]
        config: PathBuf,
    },
    /// List the differences between two configurations
    #[bpaf(command)]
    Diff {
        #[bpaf(positional("OLD"))]
        old: PathBuf,
        #[bpaf(positional("NEW"))]
        new: PathBuf,
    },
    /// Print the next version, with a failure domain, host or server taken out of service
    #[bpaf(command("take-out"))]
    TakeOut {
        #[bpaf(external(target_options))]
        target: TargetOptions,
        #[bpaf(positional("CONFIG"))]
        config: PathBuf,
    },
    /// Print the next version, with a failure domain, host or server brought back
    #[bpaf(command("bring-back"))]
    BringBack {
        #[bpaf(external(target_options))]
        target: TargetOptions,
        #[bpaf(positional("CONFIG"))]
        config: PathBuf,
    },
    /// Explain the owner, standby and witnesses of each server of a service
    #[bpaf(command)]
    Explain {
        #[bpaf(positional("CONFIG"))]
        config: PathBuf,
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Summarise the structured logs of hosts, or show the timeline of one request
    #[bpaf(command)]
    Report {
        /// Show the timeline of this request across hosts
        #[bpaf(long, argument("ID"), optional)]
        request: Option<String>,
        /// Write a plot of latency and coverage over time to this SVG file
        #[bpaf(long, argument("FILE"), optional)]
        plot: Option<PathBuf>,
        /// Log files to read
        #[bpaf(positional("FILE"), some("name at least one log file"))]
        files: Vec<PathBuf>,
    },
    /// Show the entry hosts that callers should use
    #[bpaf(command("entry-hosts"))]
    EntryHosts {
        /// Host to ask; may be given several times
        #[bpaf(long("host"), argument("IP:PORT"), many)]
        hosts: Vec<SocketAddr>,
    },
    /// Show the status of hosts
    #[bpaf(command)]
    Status {
        /// Host to ask; may be given several times
        #[bpaf(long("host"), argument("IP:PORT"), many)]
        hosts: Vec<SocketAddr>,
    },
    /// Send one request as a caller
    #[bpaf(command)]
    Query {
        #[bpaf(external)]
        query_options: QueryOptions,
    },
}

/// Measurement options:
#[derive(Debug, Clone, Bpaf)]
pub struct MeasureOptions {
    /// Deployment to run: tarlac or moka-labs
    #[bpaf(long, argument("NAME"), fallback("tarlac".to_owned()))]
    pub deployment: String,
    /// Failures to inject, joined by +, for example pause+cold-start
    #[bpaf(long, argument("NAMES"), fallback("steady".to_owned()))]
    pub scenario: String,
    /// Policy of the hosts; several, separated by commas, are measured one after the other
    #[bpaf(long, argument("NAMES"), fallback("full".to_owned()))]
    pub policy: String,
    /// Seed of the random number generator
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
    /// Duration of the measurement, in seconds
    #[bpaf(long, argument("S"), fallback(20))]
    pub seconds: u64,
    /// Factor by which the normal request rates are multiplied
    #[bpaf(long, argument("FACTOR"), fallback(1.0))]
    pub load: f64,
    /// Print the report as JSON
    #[bpaf(long)]
    pub json: bool,
}

/// Target to take out of service or bring back:
#[derive(Debug, Clone, Bpaf)]
pub enum TargetOptions {
    /// Name of a failure domain
    Domain(#[bpaf(long("domain"), argument("NAME"))] String),
    /// Name of an entry host
    Host(#[bpaf(long("host"), argument("NAME"))] String),
    /// Name of a backend server
    Server(#[bpaf(long("server"), argument("NAME"))] String),
}

/// Request options:
#[derive(Debug, Clone, Bpaf)]
pub struct QueryOptions {
    /// Host to ask for the entry hosts; may be given several times
    #[bpaf(long("host"), argument("IP:PORT"), many)]
    pub hosts: Vec<SocketAddr>,
    /// Deadline of the request, in milliseconds
    #[bpaf(long, argument("MS"), optional)]
    pub deadline_ms: Option<u64>,
    /// Identifier of the request; use the same one when sending it again
    #[bpaf(long, argument("ID"), fallback(String::new()))]
    pub request_id: String,
    /// Term to search for
    #[bpaf(long, argument("TERM"), fallback(String::new()))]
    pub term: String,
    /// Key to fetch, or key of the order to submit
    #[bpaf(long, argument("KEY"), fallback(String::new()))]
    pub key: String,
    /// Mark the request as sent before with an unknown outcome
    #[bpaf(long)]
    pub resend: bool,
    /// Service to query
    #[bpaf(positional("SERVICE"))]
    pub service: String,
}
