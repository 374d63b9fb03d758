//! UDP transport of the heartbeats by which hosts discover each other.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::discovery::FleetKnowledge;
use super::members::{Gossip, Heartbeat, SAME_DOMAIN_GOSSIP_INTERVAL};
use crate::connection::exchange::BackendProtocol;
use crate::process::quarantine::SuspectReport;
use crate::process::servers::rate_limit::REPORT_INTERVAL;
use crate::process::tier::Tier;

/// Interval at which due messages are sent.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Size of the receive buffer, which holds the heartbeats of about four thousand hosts.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Number of reports in one datagram, which keeps it below the usual size of a packet.
const MAX_REPORTS: usize = 40;

/// Exchanges gossip messages until the host stops.
///
/// # Errors
///
/// Returns the operating system's error if the peer port can't be bound.
pub async fn run<B: BackendProtocol>(tier: Arc<Tier<B>>) -> io::Result<()> {
    let socket = UdpSocket::bind((tier.settings.ip, tier.settings.peer_port)).await?;
    let mut ticks = tokio::time::interval(TICK_INTERVAL.min(SAME_DOMAIN_GOSSIP_INTERVAL));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut report_timer = tokio::time::interval(REPORT_INTERVAL);
    report_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => on_datagram(&tier, &socket, &buffer[..length], from).await,
                Err(error) => tracing::debug!(%error, "failed to receive a gossip datagram"),
            },
            _ = ticks.tick() => tick(&tier, &socket).await,
            _ = report_timer.tick() => {
                report_limits(&tier, &socket).await;
                report_suspects(&tier, &socket).await;
            }
            () = tier.suspects.changed() => report_suspects(&tier, &socket).await,
            () = tier.shutdown.stopped.cancelled() => return Ok(()),
        }
    }
}

async fn on_datagram<B: BackendProtocol>(
    tier: &Tier<B>,
    socket: &UdpSocket,
    bytes: &[u8],
    from: std::net::SocketAddr,
) {
    let Some(gossip) = Gossip::decode(bytes) else {
        tracing::warn!(%from, length = bytes.len(), "discarded a datagram without valid gossip");
        return;
    };
    if let Some((to, gossip)) = on_gossip(tier, gossip) {
        send(tier, socket, to, &gossip).await;
    }
}

/// Handles a gossip message; returns the answer to it, if it needs one.
pub fn on_gossip<B: BackendProtocol>(tier: &Tier<B>, gossip: Gossip) -> Option<(Ipv4Addr, Gossip)> {
    if let Some(sender) = gossip.heartbeats.first() {
        tier.on_limit_reports(sender.ip, &gossip.limit_reports);
        tier.suspects.on_reports(tier.now(), sender.ip, &gossip.suspect_reports);
    }
    tier.members().on_gossip(tier.now(), gossip)
}

async fn tick<B: BackendProtocol>(tier: &Tier<B>, socket: &UdpSocket) {
    for (to, gossip) in due_messages(tier) {
        send(tier, socket, to, &gossip).await;
    }
}

/// Updates the host's view of the fleet and returns the messages that are due.
pub fn due_messages<B: BackendProtocol>(tier: &Tier<B>) -> Vec<(Ipv4Addr, Gossip)> {
    let now = tier.now();
    let (mut messages, view, peer_answered_at) = {
        let mut members = tier.members();
        let me = members.own_heartbeat_mut();
        me.phase = tier.phase();
        me.revision = tier.servers.load().position.revision;
        me.version = tier.plan.load().version;
        me.epochs = Some(tier.epochs());
        me.load = Some(u16::try_from(tier.running()).unwrap_or(u16::MAX));
        let messages = members.tick(now, &mut rand::rng());
        (messages, members.view(now), members.peer_answered_at())
    };
    if let Some(at) = peer_answered_at {
        tier.update_registry_source(|registry| registry.on_source_answered_peer(at));
    }
    log_changes(tier, &view);
    let before = tier.fleet.swap(Arc::new(view.clone()));
    let is_new = |host: &&Heartbeat| before.up.iter().all(|known| known.ip != host.ip);
    let new: Vec<Ipv4Addr> = view.up.iter().filter(is_new).map(|host| host.ip).collect();
    let suspects = tier.suspects.quarantine().reports(now, true);
    messages.extend(suspect_messages(tier, &new, &suspects));
    messages
}

/// Sends this host's use of limited servers to the hosts that share their limits.
async fn report_limits<B: BackendProtocol>(tier: &Tier<B>, socket: &UdpSocket) {
    for (to, reports) in tier.limit_reports() {
        for reports in reports.chunks(MAX_REPORTS) {
            let gossip = tier.members().limit_message(reports.to_vec());
            send(tier, socket, to, &gossip).await;
        }
    }
}

/// Sends what changed lately about requests that may have crashed servers to all hosts.
async fn report_suspects<B: BackendProtocol>(tier: &Tier<B>, socket: &UdpSocket) {
    let reports = tier.suspects.quarantine().reports(tier.now(), false);
    let hosts: Vec<Ipv4Addr> = tier.fleet.load().up.iter().map(|host| host.ip).collect();
    for (to, gossip) in suspect_messages(tier, &hosts, &reports) {
        send(tier, socket, to, &gossip).await;
    }
}

fn suspect_messages<B: BackendProtocol>(
    tier: &Tier<B>,
    hosts: &[Ipv4Addr],
    reports: &[SuspectReport],
) -> Vec<(Ipv4Addr, Gossip)> {
    let message = |reports: &[SuspectReport]| tier.members().suspect_message(reports.to_vec());
    let messages = reports.chunks(MAX_REPORTS).map(message);
    let to_all = |gossip: Gossip| hosts.iter().map(move |host| (*host, gossip.clone()));
    messages.flat_map(to_all).collect()
}

fn log_changes<B: BackendProtocol>(tier: &Tier<B>, view: &super::members::FleetView) {
    let before = tier.fleet.load();
    let has = |list: &[super::members::Heartbeat], ip| list.iter().any(|h| h.ip == ip);
    for heartbeat in view.up.iter().filter(|h| !has(&before.up, h.ip)) {
        tracing::info!(host = %heartbeat.ip, life = heartbeat.life, "host is up");
    }
    for heartbeat in before.up.iter().filter(|h| !has(&view.up, h.ip)) {
        tracing::info!(host = %heartbeat.ip, life = heartbeat.life, "host is considered down");
    }
    if before.knowledge != view.knowledge {
        let knowledge = view.knowledge;
        tracing::info!(?knowledge, hosts_up = view.up.len(), "knowledge of the fleet changed");
        tier.metrics.knows_fleet(knowledge == FleetKnowledge::Known);
    }
}

async fn send<B: BackendProtocol>(
    tier: &Tier<B>,
    socket: &UdpSocket,
    to: Ipv4Addr,
    gossip: &Gossip,
) {
    let to = SocketAddrV4::new(to, tier.settings.peer_port);
    if let Err(error) = socket.send_to(&gossip.encode(), to).await {
        tracing::debug!(%to, %error, "failed to send a gossip datagram");
    }
}
