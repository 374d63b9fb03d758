//! Operators and observers of the world.

use super::*;

impl World {
    pub(super) fn set_domain(&mut self, n: u8, out: bool) {
        let domains = &self.published.fleet.domains;
        let name = domains[usize::from(n) % domains.len()].id.to_string();
        if let Ok(next) = set_out_of_service(&self.published, &Target::Domain(name), out) {
            self.published = next;
        }
    }

    pub(super) fn flip(&mut self) {
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
            self.drop_versions_at = Some((self.now + OLD_VERSION_KEEPS, version));
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

    /// Shows the oracle what can be seen at this moment.
    pub(super) fn observe(&mut self) {
        let ids: Vec<HostId> = self.nodes.keys().cloned().collect();
        for id in &ids {
            // A version may be known on one side of a cut only; the other side learns it from the
            // platform, if that serves the newest.
            let cut_off = self.side(&self.domain_of(id));
            let platform_helps = !self.platform_down && self.stale.is_none();
            if cut_off || (self.isolated.is_some() && !platform_helps) {
                self.oracle.on_cut(self.now, id);
            }
            let node = &self.nodes[id];
            self.oracle.on_version(id, node.life, node.store.current().version);
        }
        for seat in self.published.fleet.hosts.clone() {
            let holds = |id: &&HostId| {
                let node = &self.nodes[*id];
                let now = local_time(self.now, node);
                node.leases.role(now, id, &seat.id) == Role::Holder
            };
            let holders: Vec<HostId> = ids.iter().filter(holds).cloned().collect();
            self.oracle.on_holders(&seat.id, &holders);
        }
    }
}
