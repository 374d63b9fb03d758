//! The state that all requests on a host share: the plan, the servers, the fleet and their health.

use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use smallvec::SmallVec;
use tokio::sync::mpsc;

use super::budgets::extra_attempt_budget::{ExtraAttemptBudget, ExtraAttemptLimit};
use super::budgets::retry_schedule::RetrySchedule;
use super::budgets::usual_timeout::UsualTimeouts;
use super::membership::members::{DomainIndex, FleetView, Heartbeat, Members, Phase};
use super::membership::peer_health::PeerHealth;
use super::metrics::Metrics;
use super::servers::cold_rate_limit::{ColdRateLimiter, Sender};
use super::servers::passive_health::PassiveHealth;
use super::servers::rate_limit::{LimitChange, LimitReport, RateLimits};
use super::servers::reachability::Failure;
use super::servers::registry::{
    Change, EpochChange, LiveServer, Registry, ServerRecord, ServerView,
};
use super::servers::server_paths::ServerPaths;
use super::servers::split::WeightedRoundRobin;
use super::shutdown::Shutdown;
use super::suspects::Suspects;
use crate::clock::{Clock, Monotonic};
use crate::connection::exchange::{BackendProtocol, RateStatement};
use crate::connection::peer_frame::Facts;
use crate::connection::peer_links::PeerLinks;
use crate::connection::server_pool::ServerPool;
use crate::ids::{ConfigVersion, DomainId, RegionId, ServerId, ServiceId};
use crate::position::{Epochs, Position};
use crate::version::plan::{ConnectionSharers, Plan, Route, Target};

/// The passive health of a server is dropped when it has not been used for this long.
const FORGET_SERVERS_AFTER: Duration = Duration::from_secs(60);

/// A host that started less than this ago may not know yet who else shares its servers: after a power
/// loss, hosts return one after another, and servers still count the connections that were lost.
const FLEET_DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// The settings that a host is started with.
#[derive(Debug, Clone)]
pub struct TierSettings {
    /// This host's address, which also identifies it to other hosts.
    pub ip: Ipv4Addr,
    /// The failure domain of this host.
    pub domain: DomainId,
    /// All failure domains, with the region of each.
    pub domains: BTreeMap<DomainId, RegionId>,
    /// The port on which every host listens for other hosts.
    pub peer_port: u16,
    /// Hosts to contact first when joining the fleet.
    pub seeds: Vec<Ipv4Addr>,
    /// This host's capacity relative to other hosts, in hundredths of a core with the network
    /// bandwidth to match.
    pub weight: u16,
    /// The limit on extra attempts (retries and hedges).
    pub extra: ExtraAttemptLimit,
    /// How long the platform keeps the entry of a backend server that no longer reports.
    pub lapse_time: Duration,
}

impl TierSettings {
    /// Returns the index of a failure domain in the sorted list of all domains.
    pub fn domain_index(&self, domain: &str) -> DomainIndex {
        let at = self.domains.keys().position(|known| *known == domain);
        at.and_then(|at| DomainIndex::try_from(at).ok()).unwrap_or(DomainIndex::MAX)
    }
}

/// The state that outlives requests, connections and configuration versions.
#[derive(Debug)]
pub struct Tier<B: BackendProtocol> {
    /// The settings that the process was started with.
    pub settings: TierSettings,
    /// The process's clock.
    pub clock: Clock,
    /// The protocol for talking to backend servers.
    pub backend: B,
    /// Connections to backend servers.
    pub pool: Arc<ServerPool<B::Link>>,
    /// Connections to other hosts.
    pub peers: PeerLinks,
    /// The plan in force; requests pin it when they are admitted.
    pub plan: ArcSwap<Plan>,
    /// The servers that may receive requests; loaded again before every send.
    pub servers: ArcSwap<ServerView>,
    /// The other hosts.
    pub fleet: ArcSwap<FleetView>,
    /// The stages of this host's shutdown.
    pub shutdown: Shutdown,
    /// The requests that may have crashed servers.
    pub suspects: Suspects,
    pub(crate) metrics: Arc<Metrics>,
    received_facts: Mutex<Option<mpsc::UnboundedReceiver<(Ipv4Addr, Facts)>>>,
    domains: HashMap<DomainId, DomainIndex>,
    registry: Mutex<Registry>,
    members: Mutex<Members>,
    passive_health: Mutex<PassiveHealth>,
    cold_rate_limiter: Mutex<ColdRateLimiter>,
    rate_limits: Mutex<RateLimits>,
    retry_schedule: Mutex<RetrySchedule>,
    /// What this host believes of other hosts.
    pub peer_health: PeerHealth,
    /// The paths to backend servers.
    pub server_paths: ServerPaths,
    extra: Mutex<ExtraAttemptBudget>,
    split: Mutex<WeightedRoundRobin>,
    usual_timeouts: Mutex<UsualTimeouts>,
    running: AtomicU32,
}

impl<B: BackendProtocol> Tier<B> {
    /// Creates the state without a plan, servers or other hosts.
    pub fn new(settings: TierSettings, backend: B) -> Self {
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::new());
        let (facts, received_facts) = mpsc::unbounded_channel();
        let index = |domain: &DomainId| (domain.clone(), settings.domain_index(domain));
        let domains: HashMap<_, _> = settings.domains.keys().map(index).collect();
        let me = Heartbeat {
            ip: settings.ip,
            life: 1,
            count: 0,
            phase: Phase::Starting,
            domain: settings.domain_index(&settings.domain),
            weight: settings.weight,
            revision: 0,
            version: 0,
            reads: false,
            epochs: Some(Epochs::default()),
            load: Some(0),
            source_age_ms: None,
        };
        Self {
            members: Mutex::new(Members::new(clock.now(), me, settings.seeds.clone())),
            extra: Mutex::new(ExtraAttemptBudget::new(settings.extra)),
            registry: Mutex::new(Registry::new(settings.lapse_time)),
            rate_limits: Mutex::new(RateLimits::new(settings.ip)),
            clock,
            backend,
            settings,
            pool: Arc::default(),
            peers: PeerLinks::new(facts),
            received_facts: Mutex::new(Some(received_facts)),
            plan: ArcSwap::default(),
            servers: ArcSwap::default(),
            fleet: ArcSwap::from_pointee(FleetView { known_hosts: 1, ..FleetView::default() }),
            shutdown: Shutdown::default(),
            suspects: Suspects::new(metrics.clone()),
            metrics,
            domains,
            passive_health: Mutex::default(),
            cold_rate_limiter: Mutex::default(),
            retry_schedule: Mutex::default(),
            peer_health: PeerHealth::default(),
            server_paths: ServerPaths::default(),
            split: Mutex::default(),
            usual_timeouts: Mutex::default(),
            running: AtomicU32::new(0),
        }
    }

    /// Returns the current time of the process's clock.
    pub fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// Locks and returns the passive health of backend servers.
    pub fn passive_health(&self) -> MutexGuard<'_, PassiveHealth> {
        self.passive_health.lock().expect("no holder of the lock panics")
    }

    /// Locks and returns the budget for extra attempts.
    pub fn extra(&self) -> MutexGuard<'_, ExtraAttemptBudget> {
        self.extra.lock().expect("no holder of the lock panics")
    }

    /// Locks and returns the round robin over the services of split routes.
    pub fn split(&self) -> MutexGuard<'_, WeightedRoundRobin> {
        self.split.lock().expect("no holder of the lock panics")
    }

    /// Locks and returns the timeouts that callers usually send.
    pub fn usual_timeouts(&self) -> MutexGuard<'_, UsualTimeouts> {
        self.usual_timeouts.lock().expect("no holder of the lock panics")
    }

    /// Returns the index of a failure domain in the sorted list of all domains.
    pub fn domain_index(&self, domain: &str) -> DomainIndex {
        self.domains.get(domain).copied().unwrap_or(DomainIndex::MAX)
    }

    /// Returns whether a route allows its requests to go to servers in a failure domain.
    pub fn route_allows_domain(&self, route: &Route, domain: &str) -> bool {
        let region = || self.settings.domains.get(domain);
        route.regions.is_empty() || region().is_some_and(|region| route.regions.contains(region))
    }

    /// Returns a server's current cold-start limit in requests per second, if it has one, and the
    /// share of it that this host may use.
    fn cold_rate_limit(&self, server: &LiveServer) -> Option<(f64, f64)> {
        if self.now() >= server.cold_until {
            return None;
        }
        let per_s = self.plan.load().services.get(&server.record.service)?.cold_per_s?;
        let domain = |domain| self.domain_index(domain);
        let me = Sender { ip: self.settings.ip, domain: domain(&self.settings.domain) };
        let share = me.share(&self.fleet.load(), domain(&server.record.domain), &server.record.id);
        Some((per_s, share))
    }

    /// Returns whether the cold-start limit of a server allows this host to send to it.
    pub fn has_cold_token(&self, server: &LiveServer) -> bool {
        let allowed = self.cold_rate_limit(server).is_none_or(|(per_s, share)| {
            self.cold_rate_limiter().has_token(self.now(), &server.record.id, per_s, share)
        });
        if !allowed {
            self.metrics.cold_limited(&server.record.service);
        }
        allowed
    }

    /// Counts a request about to be sent to a server against its cold-start limit; returns whether
    /// it may be sent.
    pub fn try_take_cold_token(&self, server: &LiveServer) -> bool {
        self.cold_rate_limit(server).is_none_or(|(per_s, share)| {
            self.cold_rate_limiter().try_take(self.now(), &server.record.id, per_s, share)
        })
    }

    fn cold_rate_limiter(&self) -> MutexGuard<'_, ColdRateLimiter> {
        self.cold_rate_limiter.lock().expect("no holder of the lock panics")
    }

    /// Locks and returns the rate limits of backend servers.
    pub fn rate_limits(&self) -> MutexGuard<'_, RateLimits> {
        self.rate_limits.lock().expect("no holder of the lock panics")
    }

    /// Handles what a server's reply says about its rate limit; its request was sent at `sent_at`.
    pub fn on_rate_statement(
        &self,
        server: &ServerId,
        sent_at: Monotonic,
        statement: RateStatement,
    ) {
        let now = self.now();
        if statement == RateStatement::Invalid {
            if self.rate_limits().is_newly_invalid(now, server) {
                tracing::warn!(%server, "a server states an invalid rate limit; it is ignored");
            }
            return;
        }
        let change = self.rate_limits().on_reply(now, server, sent_at, statement);
        self.on_limit_change(server, change, "reply");
    }

    /// Handles reports of another host about its use of limited servers.
    pub fn on_limit_reports(&self, from: Ipv4Addr, reports: &[LimitReport]) {
        let now = self.now();
        for report in reports {
            let change = self.rate_limits().on_report(now, from, report);
            self.on_limit_change(&report.server, change, "host");
        }
    }

    fn on_limit_change(&self, server: &ServerId, change: Option<LimitChange>, source: &str) {
        let Some(LimitChange { from, to }) = change else { return };
        self.metrics.rate_limit_change();
        tracing::info!(%server, from, to, source, "rate limit of a server changed");
    }

    /// Returns the reports of this host's use of limited servers, by the host that needs them: the
    /// hosts in the server's failure domain, and those that use the server as well.
    pub fn limit_reports(&self) -> Vec<(Ipv4Addr, Vec<LimitReport>)> {
        let now = self.now();
        let rate_limits = self.rate_limits();
        let reports = rate_limits.reports(now);
        if reports.is_empty() {
            return Vec::new();
        }
        let servers = self.servers.load();
        let fleet = self.fleet.load();
        let for_host = |host: &Heartbeat| {
            let needs = |report: &&LimitReport| {
                let server = servers.get(&report.server);
                server.is_some_and(|s| self.domain_index(&s.record.domain) == host.domain)
                    || rate_limits.is_used_by(now, &report.server, host.ip)
            };
            (host.ip, reports.iter().filter(needs).cloned().collect::<Vec<_>>())
        };
        fleet.up.iter().map(for_host).filter(|(_, reports)| !reports.is_empty()).collect()
    }

    /// Returns how long this host must wait before it may send to a server, directly or through a
    /// relay, or `None` if it may send now.
    pub fn rate_limit_wait(&self, server: &str, directly: bool) -> Option<Duration> {
        let (now, rate_limits) = (self.now(), self.rate_limits());
        if directly { rate_limits.wait(now, server) } else { rate_limits.relay_wait(now, server) }
    }

    /// Counts a request about to be sent to a server against its rate limit; returns whether it may
    /// be sent.
    pub fn try_take_rate_token(&self, server: &str) -> bool {
        self.rate_limits().try_take(self.now(), server)
    }

    /// Records that a server was not used because of its rate limit.
    pub fn on_rate_limited(&self, record: &ServerRecord, directly: bool) {
        self.metrics.rate_limited(&record.service);
        if directly {
            self.rate_limits().on_denied(self.now(), &record.id);
        }
    }

    /// Returns when a caller should retry that was refused because of the rate limits of servers.
    pub fn rate_limited_retry_after(&self, route: &Route) -> Duration {
        let now = self.now();
        let servers = self.servers.load();
        let rate_limits = self.rate_limits();
        // The wait until a service has room, and how often per second it has room after that.
        let room = |service: &ServiceId| {
            let all = servers.of(service).iter().map(|server| &server.record.id);
            let wait = all.clone().map(|id| {
                let direct = rate_limits.wait(now, id).unwrap_or_default();
                direct.max(rate_limits.relay_wait(now, id).unwrap_or_default())
            });
            let per_s = all.filter_map(|id| rate_limits.share(now, id)).sum::<f64>();
            (wait.min().unwrap_or_default(), per_s)
        };
        let mut rooms: Vec<(Duration, f64)> = route.services().map(room).collect();
        rooms.sort_by_key(|(wait, _)| *wait);
        let needed = match &route.target {
            Target::Gather(rule) => rule.parts_needed(),
            Target::Service(_) | Target::Split(_) => 1,
        };
        let (wait, per_s) = rooms.get(needed.saturating_sub(1)).copied().unwrap_or_default();
        drop(rate_limits);
        let mut schedule = self.retry_schedule.lock().expect("no holder of the lock panics");
        schedule.delay(now, &route.id, wait, per_s, rand::random())
    }

    /// Returns how many connections this host may open to a server.
    pub fn connection_share(&self, server: &ServerRecord) -> usize {
        let fleet = self.fleet.load();
        let plan = self.plan.load();
        let domain = self.domain_index(&server.domain);
        let sharers = ConnectionSharers {
            same_domain: server.domain == self.settings.domain,
            same_domain_hosts: fleet.known_hosts_in(domain),
            hosts: fleet.known_hosts,
        };
        let share = plan.connection_share(&server.service, server.slots, sharers);
        if !sharers.same_domain && self.now() < FLEET_DISCOVERY_TIME { 1 } else { share }
    }

    /// Returns whether this host sends to a server directly instead of through a relay.
    pub fn sends_directly(&self, server: &ServerRecord) -> bool {
        let near = server.domain == self.settings.domain;
        near && self.fleet.load().domain_rank
            < self.plan.load().max_connected_hosts(&server.service)
    }

    /// Chooses a host to relay requests for a service to a failure domain: a host there that is up,
    /// holds connections to the service's servers, has the same plan, and has the fewest calls in
    /// flight from this host relative to its weight.
    pub fn choose_relay(
        &self,
        domain: DomainIndex,
        service: &str,
        version: ConfigVersion,
    ) -> Option<Ipv4Addr> {
        let now = self.now();
        let fleet = self.fleet.load();
        let suspicion = self.peer_health.suspicion();
        let fit = |h: &&Heartbeat| h.version == version && !suspicion.is_suspect(now, &h.ip);
        let cost = |h: &Heartbeat| {
            let calls = self.peers.in_flight(h.ip) as f64 + 1.0 + rand::random::<f64>();
            calls / f64::from(h.weight.max(1))
        };
        let holders =
            fleet.highest_weight_in(domain, self.plan.load().max_connected_hosts(service));
        let fit = holders.iter().filter(fit).map(|h| (h.ip, cost(h)));
        fit.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(ip, _)| ip)
    }

    /// Handles a call sent at `sent_at` that a host did not answer in time. The connection to a host
    /// that was already suspected, with no message from it since, is closed and opened anew: the
    /// old one may be dead without an error.
    pub fn on_host_overdue(&self, host: Ipv4Addr, sent_at: Monotonic) {
        let now = self.now();
        let newly = self.peer_health.suspicion().on_overdue(now, &host, sent_at);
        if newly {
            tracing::info!(%host, "call timed out; requests go to other hosts");
        } else {
            self.peers.close(host);
        }
        let fleet = self.fleet.load();
        if let Some(heartbeat) = fleet.up.iter().find(|heartbeat| heartbeat.ip == host) {
            self.on_domain_silent(heartbeat.domain, &host.to_string(), sent_at);
        }
    }

    /// Handles a message from a host in answer to a call.
    pub fn on_host_answered(&self, host: Ipv4Addr) {
        self.peer_health.suspicion().on_message(self.now(), &host);
        let fleet = self.fleet.load();
        if let Some(heartbeat) = fleet.up.iter().find(|heartbeat| heartbeat.ip == host) {
            self.on_domain_answered(heartbeat.domain);
        }
    }

    /// Records that a host or server in a failure domain has not answered what was sent to it.
    pub fn on_domain_silent(&self, domain: DomainIndex, peer: &str, sent_at: Monotonic) {
        if domain != self.domain_index(&self.settings.domain) {
            self.peer_health.on_domain_silent(self.now(), domain, peer, sent_at);
        }
    }

    /// Records an answer of a host or server in a failure domain.
    pub fn on_domain_answered(&self, domain: DomainIndex) {
        self.peer_health.on_domain_answered(self.now(), domain);
    }

    /// Returns the failure domains that this host can't reach at present.
    pub fn unreachable_domains(&self) -> SmallVec<[DomainIndex; 4]> {
        self.peer_health.paths().unreachable(self.now())
    }

    /// Records that a server of a service has answered or accepted a connection. The failures of
    /// servers while this host was cut off from all of them say nothing about the servers.
    pub fn on_server_reached(&self, service: &ServiceId) {
        let now = self.now();
        if self.server_paths.on_answer(now, service) {
            self.passive_health().forget_failures(now);
        }
    }

    /// Records that a connection to a server could not be opened.
    pub fn on_server_unreachable(&self, record: &ServerRecord, failure: Failure) {
        let servers = self.servers.load();
        if self.server_paths.on_failure(self.now(), record, failure, &servers) {
            self.metrics.cut_off();
        }
    }

    /// Returns whether this host can't reach enough servers for some route, although the servers are
    /// in service: callers are better served by another host.
    pub fn is_cut_off(&self) -> bool {
        if self.server_paths.is_cut_off() {
            return true;
        }
        let paths = self.peer_health.paths();
        if !paths.any_doubtful() {
            return false;
        }
        let servers = self.servers.load();
        let reachable =
            |server: &Arc<LiveServer>| !paths.is_doubtful(self.domain_index(&server.record.domain));
        let is_lost = |shard: &&ServiceId| {
            let all = servers.of(shard);
            !all.is_empty() && !all.iter().any(reachable)
        };
        self.plan.load().routes().any(|route| match &route.target {
            Target::Gather(rule) => {
                let lost = rule.shards.iter().filter(is_lost).count();
                rule.shards.len() - lost < rule.parts_needed()
            }
            Target::Service(_) | Target::Split(_) => false,
        })
    }

    /// Takes the receiver of facts that other hosts send; returns `None` after the first call.
    pub(crate) fn take_received_facts(&self) -> Option<mpsc::UnboundedReceiver<(Ipv4Addr, Facts)>> {
        self.received_facts.lock().expect("no holder of the lock panics").take()
    }

    /// Locks and returns the membership of the fleet.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().expect("no holder of the lock panics")
    }

    /// Updates the registry and publishes a new snapshot of it.
    pub fn update_registry<T>(&self, change: impl FnOnce(&mut Registry) -> T) -> T {
        let mut registry = self.registry.lock().expect("no holder of the lock panics");
        let result = change(&mut registry);
        self.servers.store(Arc::new(registry.view()));
        result
    }

    /// Updates the registry's state about its source, which is not part of the snapshot.
    pub fn update_registry_source<T>(&self, change: impl FnOnce(&mut Registry) -> T) -> T {
        change(&mut self.registry.lock().expect("no holder of the lock panics"))
    }

    /// Reads from the registry.
    pub fn registry<T>(&self, read: impl FnOnce(&Registry) -> T) -> T {
        read(&self.registry.lock().expect("no holder of the lock panics"))
    }

    /// Applies changes of the platform's facts up to a position.
    pub fn apply_changes(&self, changes: Vec<Change>, up_to: Position) {
        let now = self.now();
        let mut registry = self.registry.lock().expect("no holder of the lock panics");
        let before = registry.position();
        if registry.apply(now, changes, up_to) || registry.position() > before {
            self.servers.store(Arc::new(registry.view()));
        }
    }

    /// Applies a complete snapshot of the platform's facts.
    pub fn apply_snapshot(&self, changes: Vec<Change>, up_to: Position) {
        let now = self.now();
        let change = self.update_registry(|registry| registry.apply_snapshot(now, changes, up_to));
        self.on_epoch_change(change);
    }

    /// Reports what the registry retained, if it entered a later epoch.
    pub(crate) fn on_epoch_change(&self, change: Option<EpochChange>) {
        let Some(EpochChange { from, to, withheld_servers, withheld_domains, kept_servers }) =
            change
        else {
            return;
        };
        self.metrics.epoch_change();
        tracing::warn!(
            from = from.epoch,
            to = to.epoch,
            from_revision = from.revision,
            to_revision = to.revision,
            withheld_servers,
            withheld_domains,
            kept_servers,
            "the platform was restored from an older state; what it lost is retained for a while"
        );
    }

    /// Returns what this host announces of the epochs of its facts and its plan.
    pub fn epochs(&self) -> Epochs {
        Epochs { source: self.servers.load().position.epoch, plan_series: self.plan.load().series }
    }

    /// Adopts a plan unless it is older than the one in force; returns whether it did.
    pub fn adopt(&self, plan: Plan) -> bool {
        let in_force = self.plan.load().order();
        if plan.order() <= in_force {
            return false;
        }
        tracing::info!(
            from = in_force.version,
            to = plan.version,
            series = plan.series,
            "plan adopted"
        );
        self.metrics.config_version();
        self.plan.store(Arc::new(plan));
        true
    }

    /// Returns whether a plan may have been published that this host does not have, so that it can't
    /// tell that a route does not exist: another host has a newer plan, no host reads from the
    /// platform, or the platform has just been restored and may hold an older plan for a while.
    pub fn plan_may_be_outdated(&self) -> bool {
        let in_force = self.plan.load().order();
        let reads = self.members().reads();
        let fleet = self.fleet.load();
        fleet.up.iter().any(|h| h.plan_order() > in_force)
            || !(reads || fleet.up.iter().any(|h| h.reads))
            || self.registry(|registry| registry.was_restored_recently(self.now()))
    }

    /// Returns whether callers may be directed to this host.
    pub fn is_ready(&self) -> bool {
        self.plan.load().version > 0
            && !self.servers.load().is_empty()
            && !self.shutdown.leaving.is_cancelled()
    }

    /// Returns the lifecycle phase that this host announces. A host that is cut off is announced as
    /// starting, so that neither callers nor relayed requests are directed to it.
    pub fn phase(&self) -> Phase {
        match (self.shutdown.leaving.is_cancelled(), self.is_ready() && !self.is_cut_off()) {
            (true, _) => Phase::Leaving,
            (false, true) => Phase::Ready,
            (false, false) => Phase::Starting,
        }
    }

    /// Runs periodic maintenance: drops registry entries whose grace period has expired, connections
    /// that may no longer be used, and the passive health of unused servers.
    pub fn sweep(&self) {
        let now = self.now();
        let mut registry = self.registry.lock().expect("no holder of the lock panics");
        if registry.expire(now) {
            tracing::info!(
                "dropped registry entries that expired while the platform was unreachable"
            );
            self.servers.store(Arc::new(registry.view()));
        }
        let retained = registry.end_retention(now);
        if retained > 0 {
            tracing::info!(
                retained,
                "facts of the platform's earlier epoch are no longer retained"
            );
            self.servers.store(Arc::new(registry.view()));
        }
        drop(registry);
        let servers = self.servers.load();
        // Connections that this host no longer uses count towards the server's limit and would keep
        // other hosts from opening theirs.
        let wanted = |live: &Arc<LiveServer>| {
            live.record.domain != self.settings.domain || self.sends_directly(&live.record)
        };
        self.pool.sweep(now, |server| servers.get(server).is_some_and(wanted));
        self.passive_health().forget_unused(now, FORGET_SERVERS_AFTER);
        self.cold_rate_limiter().evict(now);
        let limited = {
            let mut rate_limits = self.rate_limits();
            rate_limits.evict(now);
            rate_limits.in_force()
        };
        self.metrics.rate_limited_servers(limited as u64);
        let quarantined = {
            let mut quarantine = self.suspects.quarantine();
            quarantine.evict(now);
            quarantine.quarantined(now)
        };
        self.metrics.quarantined_requests(quarantined as u64);
    }

    /// Counts a caller's request as running until the returned guard is dropped.
    pub fn track_running(&self) -> RunningGuard<'_> {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard(&self.running)
    }

    /// Returns the number of callers' requests in flight.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }
}

/// A guard that counts one running request until it is dropped.
#[derive(Debug)]
pub struct RunningGuard<'a>(&'a AtomicU32);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
