//! Simulated hosts: membership, configuration and clocks.

use super::*;

impl World {
    pub(super) fn start(&mut self, id: &HostId) {
        let incarnation = self.next_id();
        let config = self.newest_known_config();
        let operational =
            Arc::new(OperationalState::new(Arc::new(config.clone()), &HashSet::new()));
        let started_at = self.now;
        let start = Monotonic::ZERO;
        let node = Node {
            incarnation,
            started_at,
            drift_permille: self
                .rng
                .random_range(-MAX_CLOCK_DRIFT_PERMILLE..=MAX_CLOCK_DRIFT_PERMILLE),
            membership: Membership::new(
                start,
                id.clone(),
                incarnation,
                operational.clone(),
                GOSSIP_TOKENS,
            ),
            store: ConfigStore::new(config).unwrap(),
            operational,
            leases: LeaseView::default(),
            pause: PauseGuard::new(start),
            placed_at: start,
            owned: HashMap::new(),
            record: Record::new(RECORD_RETENTION, 10_000),
            queries: Vec::new(),
            keeper_orders: Vec::new(),
            pending_orders: Vec::new(),
            paused_until: Monotonic::ZERO,
            next_tick: start,
            next_poll: start,
        };
        self.nodes.insert(id.clone(), node);
    }

    /// Returns the highest configuration version that a starting host gets from the platform or its
    /// peers.
    pub(super) fn newest_known_config(&self) -> Config {
        let platform = self.stale_config.as_ref().unwrap_or(&self.published);
        let read = (!self.platform_down || self.nodes.is_empty()).then(|| platform.clone());
        let peers = self.nodes.values().map(|n| (**n.store.current()).clone());
        peers.chain(read).max_by_key(|c| c.version).unwrap()
    }

    pub(super) fn host(&self, n: u8) -> HostId {
        let hosts = &self.published.fleet.hosts;
        hosts[usize::from(n) % hosts.len()].id.clone()
    }

    pub(super) fn nth_server(&mut self, n: u8) -> &mut Server {
        let count = self.servers.len();
        self.servers.values_mut().nth(usize::from(n) % count).unwrap()
    }

    pub(super) fn local_now(&self, id: &HostId) -> Monotonic {
        let node = &self.nodes[id];
        local_time(self.now, node)
    }

    /// Converts a deadline from one host's clock to another's; the result is never too late.
    pub(super) fn map_deadline(
        &self,
        from: &HostId,
        to: &HostId,
        deadline: Monotonic,
    ) -> Monotonic {
        let remaining = deadline.saturating_sub(self.local_now(from));
        let safe = remaining.mul_f64(0.96).saturating_sub(Duration::from_millis(5));
        self.nodes.get(to).map_or(Monotonic::ZERO, |node| local_time(self.now, node) + safe)
    }

    pub(super) fn step_host(&mut self, id: &HostId) {
        if self.now < self.nodes[id].paused_until {
            return;
        }
        let now = self.local_now(id);
        if now >= self.nodes[id].next_tick {
            self.tick(id, now);
        }
        if now >= self.nodes[id].next_poll {
            self.poll_platform(id, now);
        }
        self.send_queued_to_all(id);
        self.hedge(id, now);
        self.expire(id, now);
    }

    pub(super) fn tick(&mut self, id: &HostId, now: Monotonic) {
        let mut rng = SmallRng::seed_from_u64(self.next_id());
        let node = self.nodes.get_mut(id).unwrap();
        node.next_tick = now + TICK_INTERVAL;
        node.pause.tick(now);
        let operational = node.operational.clone();
        let owned = &node.owned;
        let in_flight = |seat: &HostId| {
            let of_seat = |id: &ServerId| operational.server(id).is_some_and(|e| e.seat == *seat);
            owned.iter().filter(|(id, _)| of_seat(id)).map(|(_, o)| o.queue.in_flight()).sum()
        };
        let actions = node.membership.tick(now, 0, in_flight, &mut rng);
        self.update_leases(id);
        self.send_actions(id, actions);
    }

    pub(super) fn update_leases(&mut self, id: &HostId) {
        let now = self.local_now(id);
        let node = self.nodes.get_mut(id).unwrap();
        let view = node.membership.view(now);
        for (seat, held) in &view.held {
            if node.leases.held.get(seat).map(|h| h.since) != Some(held.since) {
                for (server, owned) in &mut node.owned {
                    if node.operational.server(server).is_some_and(|e| e.seat == *seat) {
                        owned.warmth_estimate.forget();
                        owned.connected = None;
                    }
                }
            }
        }
        node.leases = view;
    }

    pub(super) fn send_actions(&mut self, id: &HostId, actions: Vec<Action>) {
        for action in actions {
            let (Action::Claim(to, _) | Action::Release(to, _) | Action::Push(to, _)) = &action;
            let to = to.clone();
            let (from, incarnation, sent_at) =
                (id.clone(), self.nodes[id].incarnation, self.local_now(id));
            self.send(id, &to, Message::MembershipAction { from, incarnation, sent_at, action });
        }
    }

    /// Reads the platform, which is reachable from every host outside the isolated domain.
    pub(super) fn poll_platform(&mut self, id: &HostId, now: Monotonic) {
        self.nodes.get_mut(id).unwrap().next_poll = now + Duration::from_millis(300);
        if self.platform_down || self.is_isolated(&self.domain_of(id)) {
            return;
        }
        let config = self.stale_config.clone().unwrap_or_else(|| self.published.clone());
        self.schedule_delivery(id, Message::Config(Box::new(config)));
    }

    pub(super) fn offer(&mut self, id: &HostId, config: Config) {
        let now = self.local_now(id);
        let node = self.nodes.get_mut(id).unwrap();
        if !matches!(node.store.offer(config), Ok(true)) {
            return;
        }
        let current = node.store.current().clone();
        if current.fleet.hosts != node.operational.config.fleet.hosts {
            node.placed_at = now;
        }
        node.operational = Arc::new(node.operational.rebuild(current.clone(), &HashSet::new()));
        node.membership.adopt(now, node.operational.clone());
        self.oracle.on_config_adopted(self.now, &current);
        self.update_leases(id);
    }
}
