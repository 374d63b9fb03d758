//! The hosts of the world: membership, configuration and time.

use super::*;

impl World {
    pub(super) fn start(&mut self, id: &HostId) {
        let life = self.number();
        let config = self.best_known();
        let operational =
            Arc::new(OperationalState::new(Arc::new(config.clone()), &HashSet::new()));
        let born = self.now;
        let start = Monotonic::ZERO;
        let node = Node {
            life,
            born,
            drift_permille: self.rng.random_range(-DRIFT_PERMILLE..=DRIFT_PERMILLE),
            membership: Membership::new(start, id.clone(), life, operational.clone(), GOSSIP),
            store: ConfigStore::new(config).unwrap(),
            operational,
            leases: LeaseView::default(),
            pause: PauseGuard::new(start),
            placed_at: start,
            owned: HashMap::new(),
            record: Record::new(RECORD_KEEP, 10_000),
            queries: Vec::new(),
            kept: Vec::new(),
            waiting: Vec::new(),
            paused_until: Monotonic::ZERO,
            next_tick: start,
            next_watch: start,
        };
        self.nodes.insert(id.clone(), node);
    }

    /// A starting host asks the platform and its peers.
    pub(super) fn best_known(&self) -> Config {
        let platform = self.stale.as_ref().unwrap_or(&self.published);
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

    pub(super) fn local(&self, id: &HostId) -> Monotonic {
        let node = &self.nodes[id];
        local_time(self.now, node)
    }

    /// Maps a point on one host's clock to another's, never later than the truth.
    pub(super) fn map_deadline(
        &self,
        from: &HostId,
        to: &HostId,
        deadline: Monotonic,
    ) -> Monotonic {
        let left = deadline.saturating_sub(self.local(from));
        let safe = left.mul_f64(0.96).saturating_sub(Duration::from_millis(5));
        self.nodes.get(to).map_or(Monotonic::ZERO, |node| local_time(self.now, node) + safe)
    }

    pub(super) fn step_host(&mut self, id: &HostId) {
        if self.now < self.nodes[id].paused_until {
            return;
        }
        let now = self.local(id);
        if now >= self.nodes[id].next_tick {
            self.tick(id, now);
        }
        if now >= self.nodes[id].next_watch {
            self.watch(id, now);
        }
        self.pump_all(id);
        self.hedge(id, now);
        self.expire(id, now);
    }

    pub(super) fn tick(&mut self, id: &HostId, now: Monotonic) {
        let mut rng = SmallRng::seed_from_u64(self.number());
        let node = self.nodes.get_mut(id).unwrap();
        node.next_tick = now + TICK;
        node.pause.tick(now);
        let operational = node.operational.clone();
        let owned = &node.owned;
        let in_flight = |seat: &HostId| {
            let of_seat = |id: &ServerId| operational.server(id).is_some_and(|e| e.seat == *seat);
            owned.iter().filter(|(id, _)| of_seat(id)).map(|(_, o)| o.queue.in_flight()).sum()
        };
        let actions = node.membership.tick(now, 0, in_flight, &mut rng);
        self.publish(id);
        self.perform(id, actions);
    }

    pub(super) fn publish(&mut self, id: &HostId) {
        let now = self.local(id);
        let node = self.nodes.get_mut(id).unwrap();
        let view = node.membership.view(now);
        for (seat, held) in &view.held {
            if node.leases.held.get(seat).map(|h| h.since) != Some(held.since) {
                for (server, owned) in &mut node.owned {
                    if node.operational.server(server).is_some_and(|e| e.seat == *seat) {
                        owned.temperature.forget();
                        owned.connected = None;
                    }
                }
            }
        }
        node.leases = view;
    }

    pub(super) fn perform(&mut self, id: &HostId, actions: Vec<Action>) {
        for action in actions {
            let (Action::Claim(to, _) | Action::Release(to, _) | Action::Push(to, _)) = &action;
            let to = to.clone();
            let (from, life, sent_at) = (id.clone(), self.nodes[id].life, self.local(id));
            self.send(id, &to, Message::Member { from, life, sent_at, action });
        }
    }

    /// Reads the platform, which every host on the larger side reaches.
    pub(super) fn watch(&mut self, id: &HostId, now: Monotonic) {
        self.nodes.get_mut(id).unwrap().next_watch = now + Duration::from_millis(300);
        if self.platform_down || self.side(&self.domain_of(id)) {
            return;
        }
        let config = self.stale.clone().unwrap_or_else(|| self.published.clone());
        self.post(id, Message::Version(Box::new(config)));
    }

    pub(super) fn offer(&mut self, id: &HostId, config: Config) {
        let now = self.local(id);
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
        self.oracle.on_adopted(self.now, &current);
        self.publish(id);
    }
}
