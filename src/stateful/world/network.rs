//! The simulated network: delay, loss, duplication and partitions.

use super::*;

impl World {
    pub(super) fn is_isolated(&self, domain: &DomainId) -> bool {
        self.isolated_domain.as_ref() == Some(domain)
    }

    pub(super) fn domain_of(&self, host: &HostId) -> DomainId {
        self.published.host(host).map(|h| h.domain.clone()).unwrap_or_default()
    }

    pub(super) fn is_reachable(&self, from: &HostId, to: &HostId) -> bool {
        self.is_isolated(&self.domain_of(from)) == self.is_isolated(&self.domain_of(to))
    }

    pub(super) fn send(&mut self, from: &HostId, to: &HostId, message: Message) {
        let lost = from != to && self.rng.random_range(0..100) < LOSS_PERCENT;
        if lost || !self.is_reachable(from, to) {
            return;
        }
        let copies = if self.duplicates_reports && matches!(message, Message::AttemptReport { .. })
        {
            2
        } else {
            1
        };
        for _ in 0..copies {
            self.schedule_delivery(to, message.clone());
        }
    }

    pub(super) fn schedule_delivery(&mut self, to: &HostId, message: Message) {
        let due_at = self.now + Duration::from_millis(self.rng.random_range(1..30));
        let key = (due_at, self.next_id());
        self.in_flight_messages.insert(key, (to.clone(), message));
    }

    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Delivers messages that are due; those to a paused host wait in its sockets.
    pub(super) fn deliver_due(&mut self) {
        let due: Vec<(Monotonic, u64)> =
            self.in_flight_messages.range(..=(self.now, u64::MAX)).map(|(key, _)| *key).collect();
        for key in due {
            let (to, message) = self.in_flight_messages.remove(&key).unwrap();
            if let Message::ServerRequest { from, server, instance, request } = message {
                self.on_server_request(from, server, &instance, request);
                continue;
            }
            let Some(node) = self.nodes.get(&to) else { continue };
            if self.now < node.paused_until {
                self.in_flight_messages.insert((node.paused_until, key.1), (to, message));
                continue;
            }
            self.receive(&to, message);
        }
    }

    pub(super) fn receive(&mut self, me: &HostId, message: Message) {
        match message {
            Message::MembershipAction { from, incarnation, sent_at, action } => {
                self.on_membership_action(me, (from, incarnation), sent_at, action);
            }

            Message::ClaimReply { from, incarnation, seat, sent_at, reply, version } => {
                // A reply to an earlier incarnation is lost with that incarnation's connection.
                if self.nodes[me].incarnation != incarnation {
                    return;
                }
                let now = self.local_now(me);
                let node = self.nodes.get_mut(me).unwrap();
                node.membership.on_claim_reply(now, &from, &seat, sent_at, &reply);
                let known = node.store.current().version;
                if version > known {
                    self.send(me, &from, Message::FetchConfig { from: me.clone(), above: known });
                } else {
                    node.pause.on_confirmed(sent_at);
                }
            }
            Message::FetchConfig { from, above } => {
                let current = self.nodes[me].store.current().clone();
                if current.version > above {
                    self.send(me, &from, Message::Config(Box::new((*current).clone())));
                }
            }
            Message::Config(config) => self.offer(me, *config),
            Message::Attempt(job) => self.enqueue(me, job),
            Message::AttemptReport { attempt, server, outcome } => {
                self.on_report(me, attempt, &server, outcome);
            }
            Message::Order { from, request, resend, deadline } => {
                self.on_order(me, from, request, resend, deadline);
            }
            Message::OrderOutcome { request, outcome } => {
                self.on_order_outcome(me, &request, outcome)
            }
            Message::ServerReply { server, request, reply } => {
                self.on_reply(me, &server, &request, reply);
            }
            Message::CallerQuery => self.start_query(me),
            Message::CallerOrder { request, resend } => self.start_order(me, request, resend),
            Message::ServerRequest { .. } => {}
        }
    }

    pub(super) fn on_membership_action(
        &mut self,
        me: &HostId,
        (from, incarnation): (HostId, u64),
        sent_at: Monotonic,
        action: Action,
    ) {
        let now = self.local_now(me);
        let mut rng = SmallRng::seed_from_u64(self.next_id());
        let node = self.nodes.get_mut(me).unwrap();
        match action {
            Action::Claim(_, claim) => {
                let reply = node.membership.on_claim(now, &claim);
                let version = node.store.current().version;
                let (from_me, seat) = (me.clone(), claim.seat);
                let reply = Message::ClaimReply {
                    from: from_me,
                    incarnation,
                    seat,
                    sent_at,
                    reply,
                    version,
                };
                self.send(me, &from, reply);
            }
            Action::Release(_, release) => node.membership.on_release(now, &release),
            Action::Push(_, push) => {
                let (received, actions) = node.membership.on_push(now, &push, &mut rng);
                let above = node.store.current().version;
                if received.newer_config {
                    self.send(me, &push.from, Message::FetchConfig { from: me.clone(), above });
                }
                self.send_actions(me, actions);
            }
        }
    }
}
