//! Simulated operators, and the observations for the oracle.

use super::*;

impl World {
    pub(super) fn set_domain_out(&mut self, n: u8, out: bool) {
        let domains = &self.published.fleet.domains;
        let name = domains[usize::from(n) % domains.len()].id.to_string();
        if let Ok(next) = set_out_of_service(&self.published, &Target::Domain(name), out) {
            self.published = next;
        }
    }

    pub(super) fn repartition_index(&mut self) {
        let service = self.published.service("parts").unwrap();
        let version = service.index_version + 1;
        let shards = if version.is_multiple_of(2) { 2 } else { 3 };
        if let Ok(next) = repartition(&self.published, "parts", version, shards) {
            self.published = next;
            for (id, server) in &mut self.servers {
                if id.starts_with("parts") {
                    server.versions.insert(version);
                }
            }
            self.drop_versions_at = Some((self.now + OLD_VERSION_RETENTION, version));
        }
    }

    pub(super) fn drop_old_versions(&mut self) {
        if let Some((at, version)) = self.drop_versions_at
            && self.now >= at
        {
            self.drop_versions_at = None;
            for (id, server) in &mut self.servers {
                if id.starts_with("parts") {
                    server.versions = [version].into();
                }
            }
        }
    }

    /// Reports configuration versions, isolated hosts and seat holders to the oracle.
    pub(super) fn observe(&mut self) {
        let ids: Vec<HostId> = self.nodes.keys().cloned().collect();
        for id in &ids {
            // During a partition, a version may be known on one side only; the other side learns it
            // from the platform, if the platform serves the newest version.
            let cut_off = self.is_isolated(&self.domain_of(id));
            let platform_is_current = !self.platform_down && self.stale_config.is_none();
            if cut_off || (self.isolated_domain.is_some() && !platform_is_current) {
                self.oracle.on_isolated(self.now, id);
            }
            let node = &self.nodes[id];
            self.oracle.on_config_version(id, node.incarnation, node.store.current().version);
        }
        for seat in self.published.fleet.hosts.clone() {
            let holds = |id: &&HostId| {
                let node = &self.nodes[*id];
                let now = local_time(self.now, node);
                node.leases.role(now, id, &seat.id) == Role::Holder
            };
            let holders: Vec<HostId> = ids.iter().filter(holds).cloned().collect();
            self.oracle.on_seat_holders(&seat.id, &holders);
        }
    }
}
