//! Simulated coordinators and keepers.

use super::*;

impl World {
    pub(super) fn send_query(&mut self, n: u8) {
        let id = self.host(n);
        self.schedule_delivery(&id, Message::CallerQuery);
    }

    pub(super) fn start_query(&mut self, id: &HostId) {
        let id = id.clone();
        let deadline = self.local_now(&id) + REQUEST_TIMEOUT;
        let service = self.nodes[&id].operational.config.service("parts").unwrap().clone();
        let shards: Vec<ShardId> = service.shards.iter().map(|s| s.id).collect();
        let gather = Gather::new(service.index_version, shards.iter().copied(), None);
        let run = QueryRun { gather, service, deadline, attempts: HashMap::new() };
        self.nodes.get_mut(&id).unwrap().queries.push(run);
        let index = self.nodes[&id].queries.len() - 1;
        for shard in shards {
            self.send_shard_attempt(&id, index, shard);
        }
    }

    /// Sends an attempt of a shard to the owner of a server that was not tried yet.
    pub(super) fn send_shard_attempt(&mut self, me: &HostId, index: usize, shard: ShardId) {
        let pick = self.rng.random_range(0..8_usize);
        let run = &self.nodes[me].queries[index];
        let Some(found) = run.service.shards.iter().find(|s| s.id == shard) else { return };
        let tried = run.gather.tried(shard);
        let untried: Vec<_> = found.servers.iter().filter(|s| !tried.contains(&s.id)).collect();
        if untried.is_empty() {
            return;
        }
        let server = untried[pick % untried.len()].id.clone();
        let version = run.service.index_version;
        let (deadline, service) = (run.deadline, run.service.id.clone());
        let attempt = self.next_id();
        let run = &mut self.nodes.get_mut(me).unwrap().queries[index];
        run.gather.on_sent(shard, &server);
        run.attempts.insert(attempt, (shard, server.clone()));
        let request = RunRequest {
            attempt,
            request_id: "q".into(),
            service,
            kind: Kind::Lookup,
            shard,
            index_version: version,
            deadline_ms: 0,
            term: server.clone(),
            key: "k".into(),
            limit: 9,
        };
        self.send_attempt(me, &server, request, deadline);
    }

    pub(super) fn send_attempt(
        &mut self,
        me: &HostId,
        server: &ServerId,
        request: RunRequest,
        deadline: Monotonic,
    ) {
        let node = &self.nodes[me];
        let Some(seat) = node.operational.server(server).map(|e| e.seat.clone()) else { return };
        let owner = node.leases.holders.get(&seat).unwrap_or(&seat).clone();
        let deadline = self.map_deadline(me, &owner, deadline);
        self.send(me, &owner, Message::Attempt(Job { from: me.clone(), request, deadline }));
    }

    pub(super) fn on_report(
        &mut self,
        me: &HostId,
        attempt: AttemptId,
        server: &ServerId,
        outcome: Outcome<Vec<Row>>,
    ) {
        let node = self.nodes.get_mut(me).unwrap();
        if let Some(index) = node.keeper_orders.iter().position(|order| order.attempt == attempt) {
            self.on_order_report(me, index, outcome.map(|_| ()));
            return;
        }
        let found = node.queries.iter_mut().position(|run| run.attempts.contains_key(&attempt));
        let Some(index) = found else { return };
        let run = &mut node.queries[index];
        let (shard, _) = run.attempts[&attempt].clone();
        let rows = match &outcome {
            Outcome::Answered(rows) => rows.clone(),
            _ => Vec::new(),
        };
        let report = ShardReport {
            shard,
            server: server.clone(),
            outcome: outcome.map(|_| ()),
            expected_us: 0,
            warm: true,
            took_us: 0,
        };
        let part = Part { ended: vec![report], rows, pending: 0, held_us: 0 };
        let open = run.gather.on_part(part);
        for shard in open {
            self.send_shard_attempt(me, index, shard);
        }
    }

    /// Sends an order of a caller; if no host accepts it, it never gets an outcome.
    pub(super) fn send_order(&mut self, n: u8, request: RequestId, resend: bool) {
        let id = self.host(n);
        self.oracle.on_order_sent(&request);
        self.schedule_delivery(&id, Message::CallerOrder { request, resend });
    }

    pub(super) fn start_order(&mut self, id: &HostId, request: RequestId, resend: bool) {
        let id = id.clone();
        let deadline = self.local_now(&id) + REQUEST_TIMEOUT;
        let node = self.nodes.get_mut(&id).unwrap();
        node.pending_orders.push(PendingOrder { request: request.clone(), deadline });
        let config = node.operational.config.clone();
        let seat = placement::keeper_seat(&config, &request).unwrap();
        let keeper = node.leases.holders.get(&seat).unwrap_or(&seat).clone();
        let deadline = self.map_deadline(&id, &keeper, deadline);
        self.send(&id, &keeper, Message::Order { from: id.clone(), request, resend, deadline });
    }

    pub(super) fn on_order(
        &mut self,
        me: &HostId,
        from: HostId,
        request: RequestId,
        resend: bool,
        deadline: Monotonic,
    ) {
        let now = self.local_now(me);
        let node = &self.nodes[me];
        let (operational, leases) = (&node.operational, &node.leases);
        let gate = Gate { now, me, operational, leases, owners: true };
        let permit = gate.keeper_permit(&request, node.placed_at);
        let refused = match permit {
            _ if self.must_wait(me) => Some(NotRunReason::NotReady),
            _ if now >= deadline => Some(NotRunReason::DeadlineTooClose),
            Err(reason) => Some(reason),
            Ok(_) => None,
        };
        let (Ok(permit), None) = (permit, refused) else {
            let outcome = Outcome::NotRun(refused.unwrap_or(NotRunReason::NotOwner));
            self.send(me, &from, Message::OrderOutcome { request, outcome });
            return;
        };
        let node = self.nodes.get_mut(me).unwrap();
        if let RecordDecision::Reply(outcome) =
            node.record.begin(now, &request, resend, permit.since)
        {
            self.send(me, &from, Message::OrderOutcome { request, outcome });
            return;
        }
        let deadline = deadline.min(permit.until);
        let (server, tried) = (ServerId::default(), Vec::new());
        node.keeper_orders.push(KeeperOrder { from, request, deadline, attempt: 0, server, tried });
        let index = node.keeper_orders.len() - 1;
        self.try_next_replica(me, index, NotRunReason::NoPermission);
    }

    /// Sends an order to the next replica, or ends it if there is none or its deadline has passed.
    pub(super) fn try_next_replica(&mut self, me: &HostId, index: usize, last: NotRunReason) {
        let now = self.local_now(me);
        let node = &self.nodes[me];
        let service = node.operational.config.service("orders").unwrap().clone();
        let order = &node.keeper_orders[index];
        let next = service.servers().find(|server| {
            !order.tried.contains(&server.id) && node.operational.gate(&server.id).is_ok()
        });
        let Some(server) = next.filter(|_| now < order.deadline).map(|s| s.id.clone()) else {
            self.finish_order(me, index, Outcome::NotRun(last));
            return;
        };
        let (deadline, request_id) = (order.deadline, order.request.clone());
        let attempt = self.next_id();
        let order = &mut self.nodes.get_mut(me).unwrap().keeper_orders[index];
        order.attempt = attempt;
        order.server = server.clone();
        order.tried.push(server.clone());
        let request = RunRequest {
            attempt,
            request_id,
            service: service.id.clone(),
            kind: Kind::Submit,
            shard: 0,
            index_version: service.index_version,
            deadline_ms: 0,
            term: server.clone(),
            key: "k".into(),
            limit: 9,
        };
        self.send_attempt(me, &server, request, deadline);
    }

    pub(super) fn on_order_report(&mut self, me: &HostId, index: usize, outcome: Outcome<()>) {
        match outcome {
            Outcome::NotRun(reason) => self.try_next_replica(me, index, reason),
            ended => self.finish_order(me, index, ended),
        }
    }

    pub(super) fn finish_order(&mut self, me: &HostId, index: usize, outcome: Outcome<()>) {
        let node = self.nodes.get_mut(me).unwrap();
        let order = node.keeper_orders.remove(index);
        node.record.end(&order.request, &outcome);
        self.send(me, &order.from, Message::OrderOutcome { request: order.request, outcome });
    }

    pub(super) fn on_order_outcome(
        &mut self,
        me: &HostId,
        request: &RequestId,
        outcome: Outcome<()>,
    ) {
        let node = self.nodes.get_mut(me).unwrap();
        let Some(index) = node.pending_orders.iter().position(|w| w.request == *request) else {
            return;
        };
        node.pending_orders.remove(index);
        self.answer_caller(request, outcome);
    }

    pub(super) fn answer_caller(&mut self, request: &RequestId, outcome: Outcome<()>) {
        if matches!(outcome, Outcome::Unknown(_)) {
            self.unknown_outcomes.push(request.clone());
        }
        self.oracle.on_order_outcome(request, outcome);
    }

    /// Sends a second attempt of unanswered shards to another replica.
    pub(super) fn hedge(&mut self, me: &HostId, now: Monotonic) {
        for index in 0..self.nodes[me].queries.len() {
            let run = &self.nodes[me].queries[index];
            if now + HEDGE_BEFORE_DEADLINE >= run.deadline {
                for shard in run.gather.first_attempts() {
                    self.send_shard_attempt(me, index, shard);
                }
            }
        }
    }

    /// Ends queries, orders and attempts that are past their deadlines.
    pub(super) fn expire(&mut self, me: &HostId, now: Monotonic) {
        let node = self.nodes.get_mut(me).unwrap();
        let (expired_queries, remaining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut node.queries).into_iter().partition(|run| now >= run.deadline);
        node.queries = remaining;
        let (expired_orders, remaining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut node.pending_orders).into_iter().partition(|w| now >= w.deadline);
        node.pending_orders = remaining;
        let expired_attempts: Vec<AttemptId> =
            node.keeper_orders.iter().filter(|k| now >= k.deadline).map(|k| k.attempt).collect();
        for run in expired_queries {
            let shards = u32::try_from(run.service.shards.len()).unwrap_or(u32::MAX);
            let outcome: Outcome<Answer> = run.gather.finish();
            if let Outcome::Answered(answer) = outcome {
                self.oracle.on_answer(&answer, shards);
            }
        }
        let lost = if flawed!(TimeoutReportedAsNotRun) {
            Outcome::NotRun(NotRunReason::Unreachable)
        } else {
            Outcome::Unknown(UnknownReason::TimedOut)
        };
        for order in expired_orders {
            self.answer_caller(&order.request, lost.clone());
        }
        for attempt in expired_attempts {
            let index =
                self.nodes[me].keeper_orders.iter().position(|order| order.attempt == attempt);
            if let Some(index) = index {
                self.finish_order(me, index, Outcome::Unknown(UnknownReason::TimedOut));
            }
        }
        for owned in self.nodes.get_mut(me).unwrap().owned.values_mut() {
            let lost_attempts: Vec<AttemptId> = owned
                .sent
                .iter()
                .filter(|(_, job)| now >= job.deadline + Duration::from_secs(1))
                .map(|(attempt, _)| *attempt)
                .collect();
            for attempt in lost_attempts {
                owned.sent.remove(&attempt);
                owned.queue.finish(now, None);
            }
        }
    }
}
