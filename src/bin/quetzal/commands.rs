//! The implementation of the commands.

use std::io::{BufRead, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use miette::Report;
use quetzalpoint::connection::caller::{Caller, first_entry_hosts};
use quetzalpoint::connection::query::QueryBody;
use quetzalpoint::measure::demo::demo;
use quetzalpoint::measure::fleet::Deployment;
use quetzalpoint::measure::run::Measurement;
use quetzalpoint::measure::{capacity, gossip_trial, scenario};
use quetzalpoint::report::line::Log;
use quetzalpoint::report::plot::svg;
use quetzalpoint::report::summary::Summary;
use quetzalpoint::report::timeline::Timeline;
use quetzalpoint::version::check::check;
use quetzalpoint::version::config::Config;
use quetzalpoint::version::diff::diff;
use quetzalpoint::version::operations::{Target, set_out_of_service};
use quetzalpoint::version::placement;
use quetzalpoint::version::questionnaire::Questionnaire;
use quetzalpoint::{Error, Policy, Result, policy};
use serde::Serialize;

use crate::options::{Command, MeasureOptions, QueryOptions, TargetOptions};

/// The maximum time to wait for a reply if no deadline is given.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a command and returns its exit code.
pub async fn run(command: Command) -> miette::Result<ExitCode> {
    let result = match command {
        Command::Demo => demo(|line| println!("{line}")).await,
        Command::Measure { measure_options } => return measure(measure_options).await,
        Command::Gossip { hosts, loss, seed } => {
            print!("{}", gossip_trial::table(hosts, loss, seed));
            Ok(())
        }
        Command::Capacity => {
            print!("{}", capacity::table());
            Ok(())
        }
        Command::Questionnaire { version, out, answers } => generate(version, out, answers),
        Command::Check { config } => read_config(&config).map(|config| {
            println!("version {} of {} is valid", config.version, config.fleet.deployment);
        }),
        Command::Diff { old, new } => print_diff(&old, &new),
        Command::TakeOut { target, config } => print_with_target(&config, target, true),
        Command::BringBack { target, config } => print_with_target(&config, target, false),
        Command::Explain { config, service } => explain(&config, &service),
        Command::Report { request, plot, files } => report(request, plot, &files),
        Command::EntryHosts { hosts } => {
            first_entry_hosts(&hosts).await.map(|answer| print_json(&answer))
        }
        Command::Status { hosts } => status(&hosts).await,
        Command::Query { query_options } => return query(query_options).await,
    };
    result.map(|()| ExitCode::SUCCESS).map_err(Report::msg)
}

async fn measure(options: MeasureOptions) -> miette::Result<ExitCode> {
    let measurements = measurements(&options).map_err(Report::msg)?;
    let mut violations = 0;
    for measurement in measurements {
        let report = measurement.run().await.map_err(Report::msg)?;
        if options.json {
            print_json(&report);
        } else {
            println!("{report}");
        }
        violations += report.violations.total();
    }
    if violations > 0 {
        eprintln!("{}", Error::Violations { count: violations });
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}

fn measurements(options: &MeasureOptions) -> Result<Vec<Measurement>> {
    let unknown = |kind, name: &str, known: Vec<&str>| Error::UnknownName {
        kind,
        name: name.to_owned(),
        known: known.join(", "),
    };
    let deployment = Deployment::named(&options.deployment)
        .ok_or_else(|| unknown("deployment", &options.deployment, vec!["tarlac", "moka-labs"]))?;
    let scenarios = options
        .scenario
        .split('+')
        .map(|name| {
            let known = || scenario::NAMED.iter().map(|(name, _)| *name).collect();
            let scenario = scenario::Scenario::named(name)
                .ok_or_else(|| unknown("scenario", name, known()))?;
            Ok((name.to_owned(), scenario))
        })
        .collect::<Result<Vec<_>>>()?;
    options
        .policy
        .split(',')
        .map(|name| {
            let known = || policy::NAMED.iter().map(|(name, _)| *name).collect();
            let policy = Policy::named(name).ok_or_else(|| unknown("policy", name, known()))?;
            Ok(Measurement {
                deployment,
                scenarios: scenarios.clone(),
                policy: (name.to_owned(), policy),
                seed: options.seed,
                duration: Duration::from_secs(options.seconds),
                load_factor: options.load,
            })
        })
        .collect()
}

fn generate(version: u64, out: Option<PathBuf>, answers: Option<PathBuf>) -> Result<()> {
    let text = match answers {
        Some(path) => read(&path)?,
        None => prompt_answers()?,
    };
    let config = Questionnaire::from_toml(&text)?.generate(version)?;
    let json = serde_json::to_string_pretty(&config).expect("plain data always serializes");
    match out {
        Some(path) => std::fs::write(&path, json)
            .map_err(|source| Error::File { path: path.display().to_string(), source }),
        None => {
            println!("{json}");
            Ok(())
        }
    }
}

/// Asks for the answers on the terminal, with those of an example deployment as defaults. Reads
/// them as TOML if standard input is not a terminal.
fn prompt_answers() -> Result<String> {
    let input = std::io::stdin();
    if !input.is_terminal() {
        let text = std::io::read_to_string(input.lock());
        return text.map_err(|source| Error::File { path: "standard input".to_owned(), source });
    }
    let mut answer = String::new();
    print!("Which example do you start from, tarlac or moka-labs? ");
    let file = |source| Error::File { path: "standard input".to_owned(), source };
    std::io::stdout().flush().map_err(file)?;
    input.lock().read_line(&mut answer).map_err(file)?;
    let name = answer.trim();
    let deployment = Deployment::named(name).ok_or_else(|| Error::UnknownName {
        kind: "deployment",
        name: name.to_owned(),
        known: "tarlac, moka-labs".to_owned(),
    })?;
    let mut lines = Vec::new();
    for line in deployment.answers().lines() {
        lines.push(prompt_line(line)?);
    }
    Ok(lines.join("\n"))
}

/// Asks for the value of one line. An empty input keeps the default.
fn prompt_line(line: &str) -> Result<String> {
    let Some((name, value)) = line.split_once(" = ") else {
        println!("{line}");
        return Ok(line.to_owned());
    };
    print!("{name} [{value}]: ");
    let file = |source| Error::File { path: "standard input".to_owned(), source };
    std::io::stdout().flush().map_err(file)?;
    let mut answer = String::new();
    std::io::stdin().lock().read_line(&mut answer).map_err(file)?;
    let answer = answer.trim();
    let quoted = value.starts_with('"') && !answer.starts_with('"');
    Ok(match answer {
        "" => line.to_owned(),
        text if quoted => format!("{name} = \"{text}\""),
        text => format!("{name} = {text}"),
    })
}

fn print_diff(old: &Path, new: &Path) -> Result<()> {
    let changes = diff(&read_config(old)?, &read_config(new)?);
    for change in &changes {
        let side = |value: &Option<String>| value.clone().unwrap_or_else(|| "(none)".to_owned());
        println!("{}: {} -> {}", change.path, side(&change.old), side(&change.new));
    }
    if changes.is_empty() {
        println!("nothing differs");
    }
    Ok(())
}

fn print_with_target(config: &Path, target: TargetOptions, out: bool) -> Result<()> {
    let target = match target {
        TargetOptions::Domain(name) => Target::Domain(name),
        TargetOptions::Host(name) => Target::Host(name),
        TargetOptions::Server(name) => Target::Server(name),
    };
    print_json(&set_out_of_service(&read_config(config)?, &target, out)?);
    Ok(())
}

fn explain(config: &Path, service: &str) -> Result<()> {
    let config = read_config(config)?;
    let Some(found) = config.service(service) else {
        let known: Vec<&str> = config.services.iter().map(|s| s.id.as_str()).collect();
        return Err(Error::UnknownName {
            kind: "service",
            name: service.to_owned(),
            known: known.join(", "),
        });
    };
    for server in found.servers() {
        let Some(seat) = placement::seat_of(&config, server) else {
            continue;
        };
        let standby = placement::candidates(&config, &seat).get(1).cloned().unwrap_or_default();
        let witnesses = placement::witnesses(&config, &seat);
        println!(
            "{} in {}: owned by {seat}, the highest-ranked host of the domain; standby {standby}; \
             witnesses {}",
            server.id,
            server.domain,
            witnesses.join(", ")
        );
    }
    Ok(())
}

async fn status(hosts: &[SocketAddr]) -> Result<()> {
    for addr in hosts {
        print_json(&Caller::status(*addr).await?);
    }
    Ok(())
}

async fn query(options: QueryOptions) -> miette::Result<ExitCode> {
    let body = QueryBody {
        request_id: options.request_id.into(),
        deadline_ms: options.deadline_ms,
        term: options.term.into(),
        key: options.key.into(),
        limit: None,
        resend: options.resend,
    };
    let timeout = options.deadline_ms.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    match Caller::new(options.hosts).query(&options.service, &body, timeout).await {
        Ok(reply) => {
            print_json(&reply);
            let answered = reply.outcome == "answered";
            Ok(if answered { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Err(error) => {
            Err(miette::miette!("no reply: {error:?}; use --host to name a host that is up"))
        }
    }
}

fn report(request: Option<String>, plot: Option<PathBuf>, files: &[PathBuf]) -> Result<()> {
    let log = Log::read(files)?;
    match &request {
        Some(request) => {
            let timeline = Timeline::from_log(&log, request).ok_or_else(|| Error::UnknownName {
                kind: "request",
                name: request.clone(),
                known: "only requests with log lines; those that were answered in time have none"
                    .into(),
            })?;
            print_all(&timeline)?;
        }
        None => print_all(&Summary::from_log(&log))?,
    }
    match plot {
        Some(path) => std::fs::write(&path, svg(&log)?)
            .map_err(|source| Error::File { path: path.display().to_string(), source }),
        None => Ok(()),
    }
}

/// Prints a text. A reader that closes the pipe early, such as `head`, is not an error.
fn print_all(text: &impl std::fmt::Display) -> Result<()> {
    match write!(std::io::stdout(), "{text}") {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(Error::File { path: "standard output".into(), source: error })
        }
        Ok(()) | Err(_) => Ok(()),
    }
}

fn read_config(path: &Path) -> Result<Config> {
    let config: Config = serde_json::from_str(&read(path)?).map_err(|error| Error::Malformed {
        what: path.display().to_string(),
        why: error.to_string(),
    })?;
    check(&config)?;
    Ok(config)
}

fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path)
        .map_err(|source| Error::File { path: path.display().to_string(), source })
}

fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).expect("plain data always serializes"));
}
