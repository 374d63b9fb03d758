//! The network of the world: delays, cuts, loss and repetition.

use super::*;

impl World {
    pub(super) fn side(&self, domain: &DomainId) -> bool {
        self.isolated.as_ref() == Some(domain)
    }

    pub(super) fn domain_of(&self, host: &HostId) -> DomainId {
        self.published.host(host).map(|h| h.domain.clone()).unwrap_or_default()
    }

    pub(super) fn reaches(&self, from: &HostId, to: &HostId) -> bool {
        self.side(&self.domain_of(from)) == self.side(&self.domain_of(to))
    }

    pub(super) fn send(&mut self, from: &HostId, to: &HostId, message: Message) {
        let lost = from != to && self.rng.random_range(0..100) < LOSS_PERCENT;
        if lost || !self.reaches(from, to) {
            return;
        }
        let copies =
            if self.duplicating && matches!(message, Message::Report { .. }) { 2 } else { 1 };
        for _ in 0..copies {
            self.post(to, message.clone());
        }
    }

    pub(super) fn post(&mut self, to: &HostId, message: Message) {
        let at = self.now + Duration::from_millis(self.rng.random_range(1..30));
        let place = (at, self.number());
        self.flight.insert(place, (to.clone(), message));
    }

    pub(super) fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Delivers what is due; what is meant for a paused host waits in its sockets.
    pub(super) fn deliver_due(&mut self) {
        let due: Vec<(Monotonic, u64)> =
            self.flight.range(..=(self.now, u64::MAX)).map(|(place, _)| *place).collect();
        for place in due {
            let (to, message) = self.flight.remove(&place).unwrap();
            if let Message::ToServer { from, server, life, request } = message {
                self.arrive(from, server, &life, request);
                continue;
            }
            let Some(node) = self.nodes.get(&to) else { continue };
            if self.now < node.paused_until {
                self.flight.insert((node.paused_until, place.1), (to, message));
                continue;
            }
            self.receive(&to, message);
        }
    }

    pub(super) fn receive(&mut self, me: &HostId, message: Message) {
        match message {
            Message::Member { from, life, sent_at, action } => {
                self.on_member(me, (from, life), sent_at, action);
            }

            Message::ClaimReply { from, life, seat, sent_at, reply, version } => {
                // A reply to an earlier life ends with that life's connection.
                if self.nodes[me].life != life {
                    return;
                }
                let now = self.local(me);
                let node = self.nodes.get_mut(me).unwrap();
                node.membership.on_claim_reply(now, &from, &seat, sent_at, &reply);
                let ours = node.store.current().version;
                if version > ours {
                    self.send(me, &from, Message::Fetch { from: me.clone(), above: ours });
                } else {
                    node.pause.on_confirmed(sent_at);
                }
            }
            Message::Fetch { from, above } => {
                let current = self.nodes[me].store.current().clone();
                if current.version > above {
                    self.send(me, &from, Message::Version(Box::new((*current).clone())));
                }
            }
            Message::Version(config) => self.offer(me, *config),
            Message::Run(job) => self.enqueue(me, job),
            Message::Report { attempt, server, outcome } => {
                self.on_report(me, attempt, &server, outcome);
            }
            Message::Order { from, request, resend, deadline } => {
                self.keep(me, from, request, resend, deadline);
            }
            Message::OrderOutcome { request, outcome } => {
                self.on_order_outcome(me, &request, outcome)
            }
            Message::FromServer { server, request, reply } => {
                self.on_reply(me, &server, &request, reply);
            }
            Message::CallerQuery => self.start_query(me),
            Message::CallerOrder { request, resend } => self.start_order(me, request, resend),
            Message::ToServer { .. } => {}
        }
    }

    pub(super) fn on_member(
        &mut self,
        me: &HostId,
        (from, life): (HostId, u64),
        sent_at: Monotonic,
        action: Action,
    ) {
        let now = self.local(me);
        let mut rng = SmallRng::seed_from_u64(self.number());
        let node = self.nodes.get_mut(me).unwrap();
        match action {
            Action::Claim(_, claim) => {
                let reply = node.membership.on_claim(now, &claim);
                let version = node.store.current().version;
                let (from_me, seat) = (me.clone(), claim.seat);
                let reply =
                    Message::ClaimReply { from: from_me, life, seat, sent_at, reply, version };
                self.send(me, &from, reply);
            }
            Action::Release(_, release) => node.membership.on_release(now, &release),
            Action::Push(_, push) => {
                let (received, actions) = node.membership.on_push(now, &push, &mut rng);
                let above = node.store.current().version;
                if received.newer_config {
                    self.send(me, &push.from, Message::Fetch { from: me.clone(), above });
                }
                self.perform(me, actions);
            }
        }
    }
}
