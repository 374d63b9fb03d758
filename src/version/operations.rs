//! Prepares the next version of a configuration for operators.
//!
//! Nothing here publishes: operators do that by their own means.

use super::config::Config;
use crate::error::{Error, Result};
use crate::ids::IndexVersion;

/// What operators can take out and bring back.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum Target {
    /// A failure domain with all that stands in it.
    Domain(String),
    /// An entry host.
    Host(String),
    /// A backend server.
    Server(String),
}

/// Returns the next version with a target taken out or brought back.
///
/// # Errors
///
/// Returns [`Error::UnknownName`] where the configuration has no such target, and
/// [`Error::Invalid`] where no failure domain would be left in.
pub fn set_out(config: &Config, target: &Target, out: bool) -> Result<Config> {
    let mut next = config.clone();
    next.version += 1;
    let (flag, kind, name) = match target {
        Target::Domain(name) => {
            let flag = next.fleet.domains.iter_mut().find(|d| d.id == *name).map(|d| &mut d.out);
            (flag, "failure domain", name)
        }
        Target::Host(name) => {
            let flag = next.fleet.hosts.iter_mut().find(|h| h.id == *name).map(|h| &mut h.leaving);
            (flag, "host", name)
        }
        Target::Server(name) => {
            let shards = next.services.iter_mut().flat_map(|s| &mut s.shards);
            let mut servers = shards.flat_map(|s| &mut s.servers);
            (servers.find(|s| s.id == *name).map(|s| &mut s.leaving), "backend server", name)
        }
    };
    match flag {
        Some(flag) => *flag = out,
        None => return Err(unknown(kind, name, known_names(config, target))),
    }
    if next.fleet.domains.iter().all(|d| d.out) {
        let remedy = "bring another failure domain back first";
        return Err(Error::invalid(format!("domains.{}.out", target.name()), out, remedy));
    }
    super::check::check(&next)?;
    Ok(next)
}

/// Returns the next version with a service on another index version, its replicas dealt anew over
/// `shards` shards.
///
/// # Errors
///
/// Returns [`Error::UnknownName`] for an unknown service and [`Error::Invalid`] for a number of
/// shards that its servers can't hold.
pub fn repartition(
    config: &Config,
    service: &str,
    index_version: IndexVersion,
    shards: u32,
) -> Result<Config> {
    let mut next = config.clone();
    next.version += 1;
    let known = || config.services.iter().map(|s| s.id.to_string()).collect();
    let Some(target) = next.services.iter_mut().find(|s| s.id == service) else {
        return Err(unknown("service", service, known()));
    };
    let servers: Vec<_> = target.servers().cloned().collect();
    if shards == 0 || servers.len() < shards as usize {
        let remedy = format!("give a number from 1 to {}", servers.len());
        return Err(Error::invalid(format!("services.{service}.shards"), shards, remedy));
    }
    target.index_version = index_version;
    target.shards =
        (0..shards).map(|id| super::config::Shard { id, servers: Vec::new() }).collect();
    for (n, server) in servers.into_iter().enumerate() {
        target.shards[n % shards as usize].servers.push(server);
    }
    super::check::check(&next)?;
    Ok(next)
}

impl Target {
    fn name(&self) -> &str {
        match self {
            Self::Domain(name) | Self::Host(name) | Self::Server(name) => name,
        }
    }
}

fn unknown(kind: &'static str, name: &str, known: Vec<String>) -> Error {
    Error::UnknownName { kind, name: name.to_owned(), known: known.join(", ") }
}

fn known_names(config: &Config, target: &Target) -> Vec<String> {
    match target {
        Target::Domain(_) => config.fleet.domains.iter().map(|d| d.id.to_string()).collect(),
        Target::Host(_) => config.fleet.hosts.iter().map(|h| h.id.to_string()).collect(),
        Target::Server(_) => {
            config.services.iter().map(|s| format!("the servers of {}", s.id)).collect()
        }
    }
}

#[cfg(test)]
mod tests;
