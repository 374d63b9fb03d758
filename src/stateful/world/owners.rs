//! Simulated owners: queues, the gate and replies.

use super::*;

impl World {
    pub(super) fn enqueue(&mut self, me: &HostId, job: Job) {
        let now = self.local_now(me);
        let server = self.server_of(&job.request);
        let (attempt, from) = (job.request.attempt, job.from.clone());
        let permit = self.permit(me, &server);
        let owned = self.owned(me, &server);
        let deadline = job.deadline;
        let pushed = match permit {
            Ok(permit) => {
                let priority = permit.entry.priority;
                owned.queue.push(now, priority, deadline, permit.concurrency_limit, job).map(|_| ())
            }
            Err(reason) => Err(reason),
        };
        if let Err(reason) = pushed {
            let outcome = Outcome::NotRun(reason);
            self.send(me, &from, Message::AttemptReport { attempt, server, outcome });
        }
    }

    /// Returns the server of an attempt, which is its term; servers ignore the term.
    pub(super) fn server_of(&self, request: &RunRequest) -> ServerId {
        request.term.as_str().split(' ').next().unwrap_or_default().into()
    }

    pub(super) fn owned(&mut self, me: &HostId, server: &ServerId) -> &mut OwnedServer {
        let node = self.nodes.get_mut(me).unwrap();
        node.owned.entry(server.clone()).or_insert_with(|| OwnedServer {
            queue: ServerQueue::new(WARM_SERVICE_TIME, Admission::Early),
            warmth_estimate: WarmthEstimate::default(),
            connected: None,
            sent: HashMap::new(),
        })
    }

    pub(super) fn permit(
        &mut self,
        me: &HostId,
        server: &ServerId,
    ) -> Result<Permit, NotRunReason> {
        let now = self.local_now(me);
        let warmth = self.owned(me, server).warmth_estimate.warmth();
        let node = &self.nodes[me];
        let (operational, leases) = (&node.operational, &node.leases);
        let gate = Gate { now, me, operational, leases, owners: true };
        gate.permit(server, warmth, Monotonic::ZERO)
    }

    pub(super) fn must_wait(&self, me: &HostId) -> bool {
        !flawed!(PauseUnchecked) && self.nodes[me].pause.must_wait(self.local_now(me))
    }

    pub(super) fn send_queued_to_all(&mut self, me: &HostId) {
        let servers: Vec<ServerId> = self.nodes[me].owned.keys().cloned().collect();
        for server in servers {
            while !self.must_wait(me) && self.send_next_queued(me, &server) {}
        }
    }

    /// Sends the next queued attempt to a server, if the gate and a connection to the server's
    /// current instance permit it; returns whether it sent one.
    pub(super) fn send_next_queued(&mut self, me: &HostId, server: &ServerId) -> bool {
        let permit = match self.permit(me, server) {
            Ok(permit) => permit,
            Err(reason) => {
                let jobs = self.owned(me, server).queue.drain();
                for job in jobs {
                    let (attempt, outcome) = (job.request.attempt, Outcome::NotRun(reason));
                    let server = server.clone();
                    self.send(me, &job.from, Message::AttemptReport { attempt, server, outcome });
                }
                return false;
            }
        };
        let now = self.local_now(me);
        let Some((ticket, job)) = self.owned(me, server).queue.pop(permit.concurrency_limit) else {
            return false;
        };
        let connected = self.connect(me, server);
        let permit = self.permit(me, server);
        let owned = self.owned(me, server);
        let has_capacity =
            permit.as_ref().is_ok_and(|p| owned.sent.len() < p.concurrency_limit as usize);
        let Some(instance) = connected.filter(|_| has_capacity && now < job.deadline) else {
            if now < job.deadline && has_capacity {
                owned.queue.finish(now, None);
                let (attempt, server) = (job.request.attempt, server.clone());
                let outcome = Outcome::NotRun(NotRunReason::Unreachable);
                self.send(me, &job.from, Message::AttemptReport { attempt, server, outcome });
            } else if now < job.deadline {
                owned.queue.restore(ticket, job);
            } else {
                owned.queue.finish(now, None);
            }
            return false;
        };
        owned.sent.insert(job.request.attempt, job.clone());
        let message = Message::ServerRequest {
            from: me.clone(),
            server: server.clone(),
            instance,
            request: job.request,
        };
        self.schedule_delivery(me, message);
        true
    }

    /// Returns the server instance of the existing connection, or of a new one if the server is
    /// reachable.
    pub(super) fn connect(&mut self, me: &HostId, server: &ServerId) -> Option<InstanceId> {
        let known = self.owned(me, server).connected.clone();
        if known.is_some() {
            return known;
        }
        let reachable =
            self.is_isolated(&self.domain_of(me)) == self.is_isolated(&self.servers[server].domain);
        let instance = instance_id(server, self.servers[server].incarnation);
        if !reachable {
            return None;
        }
        let owned = self.owned(me, server);
        if owned.warmth_estimate.on_instance(&instance) {
            owned.sent.clear();
        }
        owned.connected = Some(instance.clone());
        Some(instance)
    }

    pub(super) fn on_reply(
        &mut self,
        me: &HostId,
        server: &ServerId,
        request: &RunRequest,
        reply: Outcome<Vec<u8>>,
    ) {
        let took = if matches!(reply, Outcome::Answered(_)) {
            Some(self.service_time(server))
        } else {
            None
        };
        let now = self.local_now(me);
        let limits = self.nodes[me].operational.server(server).map(|e| e.limits.clone());
        let owned = self.owned(me, server);
        let Some(job) = owned.sent.remove(&request.attempt) else { return };
        owned.queue.finish(now, took);
        let outcome = match reply {
            Outcome::Answered(bytes) => {
                if let (Some(took), Some(limits)) = (took, limits) {
                    owned.warmth_estimate.on_reply(took, &limits);
                }
                verify(request, StatusCode::OK, &bytes)
            }
            Outcome::NotRun(reason) => Outcome::NotRun(reason),
            Outcome::Unknown(reason) => {
                owned.connected = None;
                Outcome::Unknown(reason)
            }
        };
        let (attempt, server) = (request.attempt, server.clone());
        self.send(me, &job.from, Message::AttemptReport { attempt, server, outcome });
    }

    pub(super) fn service_time(&self, server: &ServerId) -> Duration {
        if self.servers[server].completed < WARM_AFTER_REQUESTS {
            COLD_SERVICE_TIME
        } else {
            WARM_SERVICE_TIME
        }
    }
}
