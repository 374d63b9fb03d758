//! Validates a configuration; the result depends only on its content.

use std::collections::HashSet;
use std::fmt::Display;
use std::hash::Hash;
use std::net::SocketAddr;

use super::config::{Config, Fleet, Service};
use crate::error::{Error, Result};

/// The largest document that the platform's configuration service accepts.
const MAX_DOCUMENT_BYTES: usize = 1 << 20;
const MAX_ROW_LIMIT: u32 = 1_000;
const MAX_DEADLINE_MS: u64 = 600_000;
const MIN_HEARTBEATS_PER_LEASE: u64 = 4;

/// Validates a configuration and returns the first rule that it breaks.
///
/// # Errors
///
/// Returns [`Error::Invalid`] with the field, its value and how to correct it.
pub fn check(config: &Config) -> Result<()> {
    check_fleet(&config.fleet)?;
    unique("services", config.services.iter().map(|s| &s.id))?;
    for service in &config.services {
        check_service(service, &config.fleet)?;
    }
    let addrs = config.services.iter().flat_map(Service::servers).map(|server| server.addr);
    unique("server addresses", addrs)?;
    unique("servers", config.services.iter().flat_map(Service::servers).map(|s| &s.id))?;
    for (name, text) in config.documents() {
        if text.len() > MAX_DOCUMENT_BYTES {
            let remedy = format!("keep each document below {MAX_DOCUMENT_BYTES} bytes");
            return Err(Error::invalid(name.as_str(), format!("{} bytes", text.len()), remedy));
        }
    }
    Ok(())
}

fn check_fleet(fleet: &Fleet) -> Result<()> {
    require(!fleet.domains.is_empty(), "domains", "empty", "list at least one failure domain")?;
    require(!fleet.hosts.is_empty(), "hosts", "empty", "list at least one entry host")?;
    unique("domains", fleet.domains.iter().map(|d| &d.id))?;
    unique("hosts", fleet.hosts.iter().map(|h| &h.id))?;
    let addrs = fleet.hosts.iter().flat_map(|h| [h.caller_addr, h.peer_addr]);
    unique::<SocketAddr>("host addresses", addrs)?;
    for host in &fleet.hosts {
        let is_listed = fleet.domains.iter().any(|d| d.id == host.domain);
        let field = format!("hosts.{}.domain", host.id);
        require(is_listed, &field, &host.domain, "use one of the configured failure domains")?;
    }
    let timing = &fleet.timing;
    require(
        timing.heartbeat_ms > 0,
        "timing.heartbeat_ms",
        timing.heartbeat_ms,
        "set it to at least 1",
    )?;
    let min_lease_ms = timing.heartbeat_ms.saturating_mul(MIN_HEARTBEATS_PER_LEASE);
    require(
        timing.lease_ms >= min_lease_ms,
        "timing.lease_ms",
        timing.lease_ms,
        &format!("set it to at least {min_lease_ms}, which is four heartbeat intervals"),
    )
}

fn check_service(service: &Service, fleet: &Fleet) -> Result<()> {
    let field = |name: &str| format!("services.{}.{name}", service.id);
    let limits = &service.limits;
    let is_valid_id =
        !service.id.is_empty() && service.id.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
    require(
        is_valid_id,
        "services",
        &service.id,
        "use only letters, digits and hyphens in a service name",
    )?;
    require(limits.slots > 0, &field("slots"), limits.slots, "set it to at least 1")?;
    let cold = limits.cold_start_limit;
    require(
        (1..=limits.slots).contains(&cold),
        &field("cold_start_limit"),
        cold,
        &format!("set it to a number from 1 to {}, the number of slots", limits.slots),
    )?;
    let min_connections = (limits.slots + 1).saturating_mul(2);
    require(
        limits.connections >= min_connections,
        &field("connections"),
        limits.connections,
        &format!("set it to at least {min_connections}: two owners connect during a hand-over"),
    )?;
    require(
        limits.typical_ms > 0,
        &field("typical_ms"),
        limits.typical_ms,
        "set it to at least 1",
    )?;
    require(
        (1..=MAX_DEADLINE_MS).contains(&service.deadline_ms),
        &field("deadline_ms"),
        service.deadline_ms,
        &format!("set it to a number from 1 to {MAX_DEADLINE_MS}"),
    )?;
    require(
        (1..=MAX_ROW_LIMIT).contains(&service.row_limit),
        &field("row_limit"),
        service.row_limit,
        &format!("set it to a number from 1 to {MAX_ROW_LIMIT}"),
    )?;
    let floor = service.floor_permille;
    require(
        floor <= 1_000,
        &field("coverage_floor_percent"),
        floor,
        "set it to 100 percent or less",
    )?;
    require(!service.shards.is_empty(), &field("shards"), 0, "configure at least one shard")?;
    unique(&field("shards"), service.shards.iter().map(|s| s.id))?;
    for shard in &service.shards {
        let name = format!("{}.{}", field("shards"), shard.id);
        require(
            !shard.servers.is_empty(),
            &name,
            "without a replica",
            "configure at least one replica",
        )?;
    }
    for server in service.servers() {
        let is_listed = fleet.domains.iter().any(|d| d.id == server.domain);
        let name = format!("servers.{}.domain", server.id);
        require(is_listed, &name, &server.domain, "use one of the configured failure domains")?;
    }
    Ok(())
}

fn require(is_met: bool, field: &str, value: impl Display, remedy: &str) -> Result<()> {
    if is_met { Ok(()) } else { Err(Error::invalid(field, value, remedy)) }
}

fn unique<T: Hash + Eq + Display>(field: &str, values: impl Iterator<Item = T>) -> Result<()> {
    let mut seen = HashSet::new();
    for value in values {
        if seen.contains(&value) {
            return Err(Error::invalid(field, value, "use each name and each address only once"));
        }
        seen.insert(value);
    }
    Ok(())
}
