//! The backend servers of the world.

use super::*;

impl World {
    pub(super) fn arrive(
        &mut self,
        from: HostId,
        id: ServerId,
        life: &InstanceId,
        request: RunRequest,
    ) {
        let server = &self.servers[&id];
        let cut = self.side(&self.domain_of(&from)) != self.side(&server.domain);
        if cut {
            return;
        }
        let lost = Outcome::Unknown(UnknownReason::ConnectionLost);
        if instance(&id, server.life) != *life {
            self.post(&from, Message::FromServer { server: id, request, reply: lost });
            return;
        }
        if !server.versions.contains(&request.index_version) {
            let reply = Outcome::NotRun(NotRunReason::VersionGone);
            self.post(&from, Message::FromServer { server: id, request, reply });
            return;
        }
        let time = self.service_time(&id);
        let due = self.now + time;
        let server = self.servers.get_mut(&id).unwrap();
        server.in_flight.push((due, from.clone(), request.clone()));
        let in_flight = u32::try_from(server.in_flight.len()).unwrap_or(u32::MAX);
        let cold = (server.done < WARM_AFTER).then_some((in_flight, server.limit));
        let domain = server.domain.clone();
        self.oracle.on_arrival(self.now, &from, &id, &domain, cold);
        if request.kind == Kind::Submit {
            self.oracle.on_execution(&request.request_id);
        }
    }

    pub(super) fn finish_at_servers(&mut self) {
        let now = self.now;
        let mut replies = Vec::new();
        for (id, server) in &mut self.servers {
            let (done, left): (Vec<_>, Vec<_>) = std::mem::take(&mut server.in_flight)
                .into_iter()
                .partition(|(due, ..)| *due <= now);
            server.in_flight = left;
            for (_, from, request) in done {
                server.done += 1;
                let version = request.index_version + u64::from(server.confused);
                let (kind, shard) = (request.kind, request.shard);
                let rows = shard_rows(kind, shard, version, "t", &request.key, request.limit);
                let attempt = request.attempt;
                let reply = RunReply { attempt, shard, index_version: version, rows };
                let bytes = serde_json::to_vec(&reply).unwrap();
                replies.push((from, id.clone(), server.domain.clone(), request, bytes));
            }
        }
        for (to, server, domain, request, bytes) in replies {
            if self.side(&domain) == self.side(&self.domain_of(&to)) {
                let reply = Outcome::Answered(bytes);
                self.post(&to, Message::FromServer { server, request, reply });
            }
        }
    }
}
