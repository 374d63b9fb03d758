//! The daemon of an entry host.

mod options;

use quetzalpoint::Host;
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;

use crate::options::{LogFormat, options};

const DEFAULT_LOG_FILTER: &str = "info";

#[tokio::main]
async fn main() -> miette::Result<()> {
    let options = options().run();
    init_logging(options.log_format);
    let machine = options.machine();
    let settings = options.settings();
    let mut terminate = signal(SignalKind::terminate()).map_err(miette::Report::msg)?;
    let start = Host::builder(settings).machine(machine).start();
    let host = tokio::select! {
        started = start => started.map_err(miette::Report::msg)?,
        _ = terminate.recv() => return Ok(()),
        _ = tokio::signal::ctrl_c() => return Ok(()),
    };
    tokio::select! {
        _ = terminate.recv() => host.drain().await,
        _ = tokio::signal::ctrl_c() => host.drain().await,
        () = host.stopped() => {}
    }
    Ok(())
}

fn init_logging(format: LogFormat) {
    let filter =
        EnvFilter::try_from_env("QUETZAL_LOG").unwrap_or_else(|_| DEFAULT_LOG_FILTER.into());
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().init(),
    }
}
