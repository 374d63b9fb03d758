//! The tool's commands and flags.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// The tool of quetzalpoint's operators and callers.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Runs both deployments in this program: queries, a failure domain out and back
    #[bpaf(command)]
    Demo,
    /// Loads a whole deployment, causes failures and judges what the servers saw
    #[bpaf(command)]
    Measure {
        #[bpaf(external)]
        measure_options: MeasureOptions,
    },
    /// Measures how gossip strategies spread a configuration version at equal cost
    #[bpaf(command)]
    Gossip {
        /// The number of hosts
        #[bpaf(long, argument("N"), fallback(430))]
        hosts: usize,
        /// Messages lost, in percent
        #[bpaf(long, argument("PERCENT"), fallback(10))]
        loss: u32,
        /// The seed
        #[bpaf(long, argument("N"), fallback(1))]
        seed: u64,
    },
    /// Measures what control costs a host, per role, at a number of hosts
    #[bpaf(command)]
    Capacity,
    /// Generates a configuration from answers to the questionnaire
    #[bpaf(command)]
    Questionnaire {
        /// The version to generate
        #[bpaf(long, argument("N"), fallback(1))]
        version: u64,
        /// The file to write; standard output where absent
        #[bpaf(long, short, argument("FILE"), optional)]
        out: Option<PathBuf>,
        /// The answers, in TOML; asked at the terminal where absent
        #[bpaf(positional("ANSWERS"), optional)]
        answers: Option<PathBuf>,
    },
    /// Checks a configuration
    #[bpaf(command)]
    Check {
        #[bpaf(positional("CONFIG"))]
        config: PathBuf,
    },
    /// Lists what differs between two configurations
    #[bpaf(command)]
    Diff {
        #[bpaf(positional("OLD"))]
        old: PathBuf,
        #[bpaf(positional("NEW"))]
        new: PathBuf,
    },
    /// Prepares the next version with a failure domain, host or server taken out
    #[bpaf(command("take-out"))]
    TakeOut {
        #[bpaf(external(target_options))]
        target: TargetOptions,
        #[bpaf(positional("CONFIG"))]
        config: PathBuf,
    },
    /// Prepares the next version with a failure domain, host or server brought back
    #[bpaf(command("bring-back"))]
    BringBack {
        #[bpaf(external(target_options))]
        target: TargetOptions,
        #[bpaf(positional("CONFIG"))]
        config: PathBuf,
    },
    /// Explains where the servers of a service are placed, and why
    #[bpaf(command)]
    Explain {
        #[bpaf(positional("CONFIG"))]
        config: PathBuf,
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Reads hosts' structured logs: a request's story, or the reasons of a whole run
    #[bpaf(command)]
    Report {
        /// A request whose story is told, across hosts
        #[bpaf(long, argument("ID"), optional)]
        request: Option<String>,
        /// An SVG file to draw latency and coverage over time into
        #[bpaf(long, argument("FILE"), optional)]
        plot: Option<PathBuf>,
        /// Log files
        #[bpaf(positional("FILE"), some("name at least one log file"))]
        files: Vec<PathBuf>,
    },
    /// Asks which entry hosts to use
    #[bpaf(command("entry-hosts"))]
    EntryHosts {
        /// A host to ask; may be given several times
        #[bpaf(long("host"), argument("IP:PORT"), many)]
        hosts: Vec<SocketAddr>,
    },
    /// Shows what a host says of itself
    #[bpaf(command)]
    Status {
        /// A host to ask; may be given several times
        #[bpaf(long("host"), argument("IP:PORT"), many)]
        hosts: Vec<SocketAddr>,
    },
    /// Sends one request as a caller does
    #[bpaf(command)]
    Query {
        #[bpaf(external)]
        query_options: QueryOptions,
    },
}

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct MeasureOptions {
    /// tarlac or moka-labs
    #[bpaf(long, argument("NAME"), fallback("tarlac".to_owned()))]
    pub deployment: String,
    /// The failures to cause, joined by +, such as pause+cold-start
    #[bpaf(long, argument("NAMES"), fallback("steady".to_owned()))]
    pub scenario: String,
    /// The policy, or several joined by commas to compare them in one run
    #[bpaf(long, argument("NAMES"), fallback("full".to_owned()))]
    pub policy: String,
    /// The seed
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
    /// How long to measure, in seconds
    #[bpaf(long, argument("S"), fallback(20))]
    pub seconds: u64,
    /// A factor on the usual rates
    #[bpaf(long, argument("FACTOR"), fallback(1.0))]
    pub load: f64,
    /// Prints JSON
    #[bpaf(long)]
    pub json: bool,
}

/// What to take out or bring back.
#[derive(Debug, Clone, Bpaf)]
pub enum TargetOptions {
    /// A failure domain
    Domain(#[bpaf(long("domain"), argument("NAME"))] String),
    /// An entry host
    Host(#[bpaf(long("host"), argument("NAME"))] String),
    /// A backend server
    Server(#[bpaf(long("server"), argument("NAME"))] String),
}

/// A caller's request.
#[derive(Debug, Clone, Bpaf)]
pub struct QueryOptions {
    /// A host to ask for addresses; may be given several times
    #[bpaf(long("host"), argument("IP:PORT"), many)]
    pub hosts: Vec<SocketAddr>,
    /// How long to wait, in milliseconds
    #[bpaf(long, argument("MS"), optional)]
    pub deadline_ms: Option<u64>,
    /// The id of the request, the same whenever it is sent again
    #[bpaf(long, argument("ID"), fallback(String::new()))]
    pub request_id: String,
    /// What to look for
    #[bpaf(long, argument("TERM"), fallback(String::new()))]
    pub term: String,
    /// The key to fetch, or to place the order under
    #[bpaf(long, argument("KEY"), fallback(String::new()))]
    pub key: String,
    /// The request was sent before and its outcome is not known
    #[bpaf(long)]
    pub resend: bool,
    /// The service
    #[bpaf(positional("SERVICE"))]
    pub service: String,
}
