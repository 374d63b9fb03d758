//! Simulated backend servers.

use super::*;

impl World {
    pub(super) fn on_server_request(
        &mut self,
        from: HostId,
        id: ServerId,
        instance: &InstanceId,
        request: RunRequest,
    ) {
        let server = &self.servers[&id];
        let unreachable =
            self.is_isolated(&self.domain_of(&from)) != self.is_isolated(&server.domain);
        if unreachable {
            return;
        }
        let lost = Outcome::Unknown(UnknownReason::ConnectionLost);
        if instance_id(&id, server.incarnation) != *instance {
            self.schedule_delivery(
                &from,
                Message::ServerReply { server: id, request, reply: lost },
            );
            return;
        }
        if !server.versions.contains(&request.index_version) {
            let reply = Outcome::NotRun(NotRunReason::VersionGone);
            self.schedule_delivery(&from, Message::ServerReply { server: id, request, reply });
            return;
        }
        let time = self.service_time(&id);
        let due = self.now + time;
        let server = self.servers.get_mut(&id).unwrap();
        server.in_flight.push((due, from.clone(), request.clone()));
        let in_flight = u32::try_from(server.in_flight.len()).unwrap_or(u32::MAX);
        let cold = (server.completed < WARM_AFTER_REQUESTS)
            .then_some((in_flight, server.cold_start_limit));
        let domain = server.domain.clone();
        self.oracle.on_request(self.now, &from, &id, &domain, cold);
        if request.kind == Kind::Submit {
            self.oracle.on_order_run(&request.request_id);
        }
    }

    pub(super) fn finish_server_requests(&mut self) {
        let now = self.now;
        let mut replies = Vec::new();
        for (id, server) in &mut self.servers {
            let (finished, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut server.in_flight)
                .into_iter()
                .partition(|(due, ..)| *due <= now);
            server.in_flight = remaining;
            for (_, from, request) in finished {
                server.completed += 1;
                let version = request.index_version + u64::from(server.serves_other_version);
                let (kind, shard) = (request.kind, request.shard);
                let rows = shard_rows(kind, shard, version, "t", &request.key, request.limit);
                let attempt = request.attempt;
                let reply = RunReply { attempt, shard, index_version: version, rows };
                let bytes = serde_json::to_vec(&reply).unwrap();
                replies.push((from, id.clone(), server.domain.clone(), request, bytes));
            }
        }
        for (to, server, domain, request, bytes) in replies {
            if self.is_isolated(&domain) == self.is_isolated(&self.domain_of(&to)) {
                let reply = Outcome::Answered(bytes);
                self.schedule_delivery(&to, Message::ServerReply { server, request, reply });
            }
        }
    }
}
