//! Coordinators and keepers in the world.

use super::*;

impl World {
    pub(super) fn query(&mut self, n: u8) {
        let id = self.host(n);
        self.post(&id, Message::CallerQuery);
    }

    pub(super) fn start_query(&mut self, id: &HostId) {
        let id = id.clone();
        let deadline = self.local(&id) + DEADLINE;
        let service = self.nodes[&id].operational.config.service("parts").unwrap().clone();
        let shards: Vec<ShardId> = service.shards.iter().map(|s| s.id).collect();
        let gather = Gather::new(service.index_version, shards.iter().copied(), None);
        let run = QueryRun { gather, service, deadline, attempts: HashMap::new() };
        self.nodes.get_mut(&id).unwrap().queries.push(run);
        let at = self.nodes[&id].queries.len() - 1;
        for shard in shards {
            self.ask(&id, at, shard);
        }
    }

    /// Sends an attempt at a shard to the owner of one of its servers.
    pub(super) fn ask(&mut self, me: &HostId, at: usize, shard: ShardId) {
        let pick = self.rng.random_range(0..8_usize);
        let run = &self.nodes[me].queries[at];
        let Some(found) = run.service.shards.iter().find(|s| s.id == shard) else { return };
        let tried = run.gather.tried(shard);
        let fresh: Vec<_> = found.servers.iter().filter(|s| !tried.contains(&s.id)).collect();
        if fresh.is_empty() {
            return;
        }
        let server = fresh[pick % fresh.len()].id.clone();
        let version = run.service.index_version;
        let (deadline, service) = (run.deadline, run.service.id.clone());
        let attempt = self.number();
        let run = &mut self.nodes.get_mut(me).unwrap().queries[at];
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
        self.send(me, &owner, Message::Run(Job { from: me.clone(), request, deadline }));
    }

    pub(super) fn on_report(
        &mut self,
        me: &HostId,
        attempt: AttemptId,
        server: &ServerId,
        outcome: Outcome<Vec<Row>>,
    ) {
        let node = self.nodes.get_mut(me).unwrap();
        if let Some(at) = node.kept.iter().position(|kept| kept.attempt == attempt) {
            self.on_kept_report(me, at, outcome.map(|_| ()));
            return;
        }
        let found = node.queries.iter_mut().position(|run| run.attempts.contains_key(&attempt));
        let Some(at) = found else { return };
        let run = &mut node.queries[at];
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
            self.ask(me, at, shard);
        }
    }

    /// A caller sends an order; one that no host takes is a sending without an outcome.
    pub(super) fn submit(&mut self, n: u8, request: RequestId, resend: bool) {
        let id = self.host(n);
        self.oracle.on_sending(&request);
        self.post(&id, Message::CallerOrder { request, resend });
    }

    pub(super) fn start_order(&mut self, id: &HostId, request: RequestId, resend: bool) {
        let id = id.clone();
        let deadline = self.local(&id) + DEADLINE;
        let node = self.nodes.get_mut(&id).unwrap();
        node.waiting.push(Waiting { request: request.clone(), deadline });
        let config = node.operational.config.clone();
        let seat = placement::keeper_seat(&config, &request).unwrap();
        let keeper = node.leases.holders.get(&seat).unwrap_or(&seat).clone();
        let deadline = self.map_deadline(&id, &keeper, deadline);
        self.send(&id, &keeper, Message::Order { from: id.clone(), request, resend, deadline });
    }

    pub(super) fn keep(
        &mut self,
        me: &HostId,
        from: HostId,
        request: RequestId,
        resend: bool,
        deadline: Monotonic,
    ) {
        let now = self.local(me);
        let node = &self.nodes[me];
        let (operational, leases) = (&node.operational, &node.leases);
        let standing = Gate { now, me, operational, leases, owners: true };
        let tenure = standing.tenure(&request, node.placed_at);
        let refused = match tenure {
            _ if self.must_wait(me) => Some(NotRunReason::NotReady),
            _ if now >= deadline => Some(NotRunReason::DeadlineTooClose),
            Err(reason) => Some(reason),
            Ok(_) => None,
        };
        let (Ok(tenure), None) = (tenure, refused) else {
            let outcome = Outcome::NotRun(refused.unwrap_or(NotRunReason::NotOwner));
            self.send(me, &from, Message::OrderOutcome { request, outcome });
            return;
        };
        let node = self.nodes.get_mut(me).unwrap();
        if let RecordDecision::Reply(outcome) =
            node.record.begin(now, &request, resend, tenure.since)
        {
            self.send(me, &from, Message::OrderOutcome { request, outcome });
            return;
        }
        let deadline = deadline.min(tenure.until);
        let (server, tried) = (ServerId::default(), Vec::new());
        node.kept.push(Kept { from, request, deadline, attempt: 0, server, tried });
        let at = node.kept.len() - 1;
        self.place(me, at, NotRunReason::NoPermission);
    }

    /// Sends a kept order to the next replica, or ends it where there is none.
    pub(super) fn place(&mut self, me: &HostId, at: usize, last: NotRunReason) {
        let now = self.local(me);
        let node = &self.nodes[me];
        let service = node.operational.config.service("orders").unwrap().clone();
        let kept = &node.kept[at];
        let next = service.servers().find(|server| {
            !kept.tried.contains(&server.id) && node.operational.gate(&server.id).is_ok()
        });
        let Some(server) = next.filter(|_| now < kept.deadline).map(|s| s.id.clone()) else {
            self.end_kept(me, at, Outcome::NotRun(last));
            return;
        };
        let (deadline, request_id) = (kept.deadline, kept.request.clone());
        let attempt = self.number();
        let kept = &mut self.nodes.get_mut(me).unwrap().kept[at];
        kept.attempt = attempt;
        kept.server = server.clone();
        kept.tried.push(server.clone());
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

    pub(super) fn on_kept_report(&mut self, me: &HostId, at: usize, outcome: Outcome<()>) {
        match outcome {
            Outcome::NotRun(reason) => self.place(me, at, reason),
            ended => self.end_kept(me, at, ended),
        }
    }

    pub(super) fn end_kept(&mut self, me: &HostId, at: usize, outcome: Outcome<()>) {
        let node = self.nodes.get_mut(me).unwrap();
        let kept = node.kept.remove(at);
        node.record.end(&kept.request, &outcome);
        self.send(me, &kept.from, Message::OrderOutcome { request: kept.request, outcome });
    }

    pub(super) fn on_order_outcome(
        &mut self,
        me: &HostId,
        request: &RequestId,
        outcome: Outcome<()>,
    ) {
        let node = self.nodes.get_mut(me).unwrap();
        let Some(at) = node.waiting.iter().position(|w| w.request == *request) else { return };
        node.waiting.remove(at);
        self.answer_caller(request, outcome);
    }

    pub(super) fn answer_caller(&mut self, request: &RequestId, outcome: Outcome<()>) {
        if matches!(outcome, Outcome::Unknown(_)) {
            self.unknown.push(request.clone());
        }
        self.oracle.on_outcome(request, outcome);
    }

    /// Asks late shards again at another replica, once.
    pub(super) fn hedge(&mut self, me: &HostId, now: Monotonic) {
        for at in 0..self.nodes[me].queries.len() {
            let run = &self.nodes[me].queries[at];
            if now + HEDGE_LEFT >= run.deadline {
                for shard in run.gather.first_attempts() {
                    self.ask(me, at, shard);
                }
            }
        }
    }

    /// Ends what is past its deadline.
    pub(super) fn expire(&mut self, me: &HostId, now: Monotonic) {
        let node = self.nodes.get_mut(me).unwrap();
        let (over, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut node.queries).into_iter().partition(|run| now >= run.deadline);
        node.queries = left;
        let (late, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut node.waiting).into_iter().partition(|w| now >= w.deadline);
        node.waiting = left;
        let overdue: Vec<AttemptId> =
            node.kept.iter().filter(|k| now >= k.deadline).map(|k| k.attempt).collect();
        for run in over {
            let shards = u32::try_from(run.service.shards.len()).unwrap_or(u32::MAX);
            let outcome: Outcome<Answer> = run.gather.finish();
            if let Outcome::Answered(answer) = outcome {
                self.oracle.on_answer(&answer, shards);
            }
        }
        let lost = if flawed!(LostIsNotRun) {
            Outcome::NotRun(NotRunReason::Unreachable)
        } else {
            Outcome::Unknown(UnknownReason::TimedOut)
        };
        for waiting in late {
            self.answer_caller(&waiting.request, lost.clone());
        }
        for attempt in overdue {
            let at = self.nodes[me].kept.iter().position(|kept| kept.attempt == attempt);
            if let Some(at) = at {
                self.end_kept(me, at, Outcome::Unknown(UnknownReason::TimedOut));
            }
        }
        for owned in self.nodes.get_mut(me).unwrap().owned.values_mut() {
            let gone: Vec<AttemptId> = owned
                .sent
                .iter()
                .filter(|(_, job)| now >= job.deadline + Duration::from_secs(1))
                .map(|(attempt, _)| *attempt)
                .collect();
            for attempt in gone {
                owned.sent.remove(&attempt);
                owned.queue.finish(now, None);
            }
        }
    }
}
