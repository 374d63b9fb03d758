//! The command-line tool for operators and callers.

mod commands;
mod options;

use std::process::ExitCode;

use tracing_subscriber::EnvFilter;

use crate::options::command;

fn main() -> miette::Result<ExitCode> {
    let command = command().run();
    let filter = EnvFilter::try_from_env("QUETZAL_LOG").unwrap_or_else(|_| "off".into());
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(miette::Report::msg)?;
    let result = runtime.block_on(commands::run(command));
    runtime.shutdown_background();
    result
}
