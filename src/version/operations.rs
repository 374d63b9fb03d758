//! Creates the next version of a configuration for operators.
//!
//! Operators publish the version with their own tools.

use super::config::Config;
use crate::error::{Error, Result};
use crate::ids::IndexVersion;

/// What operators can take out of service and bring back.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum Target {
    /// A failure domain with all its hosts and backend servers.
    Domain(String),
    /// An entry host.
    Host(String),
    /// A backend server.
    Server(String),
}

/// Returns the next version, with a target taken out of service or brought back.
///
/// # Errors
///
/// Returns [`Error::UnknownName`] if the configuration has no such target, and [`Error::Invalid`]
/// if no failure domain would remain in service.
pub fn set_out_of_service(config: &Config, target: &Target, out: bool) -> Result<Config> {
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
        None => return Err(unknown_name(kind, name, known_names(config, target))),
    }
    if next.fleet.domains.iter().all(|d| d.out) {
        let remedy = "bring back another failure domain first";
        return Err(Error::invalid(format!("domains.{}.out", target.name()), out, remedy));
    }
    super::check::check(&next)?;
    Ok(next)
}

/// Returns the next version, with a service on another index version and its backend servers
/// redistributed over `shards` shards.
///
/// # Errors
///
/// Returns [`Error::UnknownName`] if the service does not exist and [`Error::Invalid`] if the
/// number of shards is 0 or exceeds the number of the service's servers.
pub fn repartition(
    config: &Config,
    service: &str,
    index_version: IndexVersion,
    shards: u32,
) -> Result<Config> {
    let mut next = config.clone();
    next.version += 1;
    let known = || config.services.iter().map(|s| s.id.to_string()).collect();
    let Some(changed) = next.services.iter_mut().find(|s| s.id == service) else {
        return Err(unknown_name("service", service, known()));
    };
    let servers: Vec<_> = changed.servers().cloned().collect();
    if shards == 0 || servers.len() < shards as usize {
        let remedy =
            format!("set it to a number from 1 to {}, the number of its servers", servers.len());
        return Err(Error::invalid(format!("services.{service}.shards"), shards, remedy));
    }
    changed.index_version = index_version;
    changed.shards =
        (0..shards).map(|id| super::config::Shard { id, servers: Vec::new() }).collect();
    for (n, server) in servers.into_iter().enumerate() {
        changed.shards[n % shards as usize].servers.push(server);
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

fn unknown_name(kind: &'static str, name: &str, known: Vec<String>) -> Error {
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
