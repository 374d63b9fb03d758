//! Tests of the membership state machine on a simulated fleet that may be partitioned.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;
use crate::process::membership::gossip::Periodic;
use crate::version::questionnaire::Questionnaire;

const TICK: Duration = Duration::from_millis(50);

struct Fleet {
    now: Monotonic,
    operational: Arc<OperationalState>,
    hosts: BTreeMap<HostId, Membership<Periodic>>,
    in_flight: HashMap<HostId, u32>,
    partitioned: HashSet<HostId>,
    rng: SmallRng,
    max_holders: usize,
}

impl Fleet {
    fn new() -> Self {
        let text = include_str!("../../../../examples/answers/tarlac.toml");
        let config = Questionnaire::from_toml(text).unwrap().generate(1).unwrap();
        let operational = Arc::new(OperationalState::new(Arc::new(config), &HashSet::new()));
        let mut fleet = Self {
            now: Monotonic::ZERO,
            hosts: BTreeMap::new(),
            in_flight: HashMap::new(),
            partitioned: HashSet::new(),
            rng: SmallRng::seed_from_u64(42),
            max_holders: 0,
            operational,
        };
        let ids: Vec<HostId> =
            fleet.operational.config.fleet.hosts.iter().map(|h| h.id.clone()).collect();
        for id in ids {
            fleet.start(&id, 1);
        }
        fleet
    }

    fn start(&mut self, id: &HostId, incarnation: Incarnation) {
        let host =
            Membership::new(self.now, id.clone(), incarnation, self.operational.clone(), Periodic);
        self.hosts.insert(id.clone(), host);
    }

    /// Advances the simulation. The hosts in `partitioned` and the remaining hosts are the two
    /// sides of a partition.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let ids: Vec<HostId> = self.hosts.keys().cloned().collect();
            for id in &ids {
                let in_flight = self.in_flight.get(id).copied().unwrap_or(0);
                let host = self.hosts.get_mut(id).unwrap();
                let actions = host.tick(self.now, 0, |_| in_flight, &mut self.rng);
                self.deliver(id, actions);
            }
            self.check();
        }
    }

    fn deliver(&mut self, from: &HostId, actions: Vec<Action>) {
        for action in actions {
            let to = match &action {
                Action::Claim(to, _) | Action::Release(to, _) | Action::Push(to, _) => to.clone(),
            };
            if self.partitioned.contains(from) != self.partitioned.contains(&to) {
                continue;
            }
            let Some(peer) = self.hosts.get_mut(&to) else {
                continue;
            };
            match action {
                Action::Claim(_, claim) => {
                    let reply = peer.on_claim(self.now, &claim);
                    let host = self.hosts.get_mut(from).unwrap();
                    host.on_claim_reply(self.now, &to, &claim.seat, self.now, &reply);
                }
                Action::Release(_, release) => peer.on_release(self.now, &release),
                Action::Push(_, push) => {
                    let (_, more) = peer.on_push(self.now, &push, &mut self.rng);
                    self.deliver(&to, more);
                }
            }
        }
    }

    fn check(&mut self) {
        let seats: Vec<HostId> =
            self.operational.config.fleet.hosts.iter().map(|h| h.id.clone()).collect();
        for seat in seats {
            let holders = self.holders(&seat);
            self.max_holders = self.max_holders.max(holders.len());
            assert!(holders.len() <= 1, "{seat} is held by {holders:?} at {:?}", self.now);
        }
    }

    fn holders(&mut self, seat: &HostId) -> Vec<HostId> {
        let now = self.now;
        let views = self.hosts.iter_mut().map(|(id, host)| (id.clone(), host.view(now)));
        views.filter(|(id, v)| v.role(now, id, seat) == Role::Holder).map(|(id, _)| id).collect()
    }
}

fn id(name: &str) -> HostId {
    name.into()
}

#[test]
fn owners_hold_their_seats_after_one_lease() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_millis(1_400));
    assert_eq!(fleet.max_holders, 0, "restarted witnesses abstain");
    fleet.run(Duration::from_millis(600));
    for seat in ["entry-1", "entry-8"] {
        assert_eq!(fleet.holders(&id(seat)), [id(seat)]);
    }
}

#[test]
fn standby_takes_over_and_hands_back() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(3));
    fleet.hosts.remove("entry-1");
    fleet.run(Duration::from_secs(4));
    let standby = fleet.operational.candidates("entry-1")[1].clone();
    assert_eq!(fleet.holders(&id("entry-1")), std::slice::from_ref(&standby));
    fleet.in_flight.insert(standby, 1);
    fleet.start(&id("entry-1"), 2);
    fleet.run(Duration::from_millis(1_000));
    assert_eq!(fleet.holders(&id("entry-1")), Vec::<HostId>::new(), "still in flight");
    fleet.in_flight.clear();
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.holders(&id("entry-1")), [id("entry-1")]);
}

#[test]
fn minority_side_of_a_partition_loses_its_leases() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(3));
    fleet.partitioned = [id("entry-1"), id("entry-5")].into();
    fleet.run(Duration::from_secs(5));
    let holders = fleet.holders(&id("entry-1"));
    assert_eq!(holders.len(), 1);
    assert!(!fleet.partitioned.contains(&holders[0]));
    let now = fleet.now;
    let own = fleet.hosts.get_mut("entry-1").unwrap().view(now);
    assert_eq!(own.role(now, "entry-1", "entry-1"), Role::OwnerWithoutLease);
    fleet.partitioned.clear();
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.holders(&id("entry-1")), [id("entry-1")]);
}

#[test]
fn leaving_host_hands_over_its_seat_within_a_lease() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(3));
    fleet.hosts.get_mut("entry-2").unwrap().leave();
    fleet.run(Duration::from_millis(1_000));
    let holders = fleet.holders(&id("entry-2"));
    assert_eq!(holders.len(), 1);
    assert_ne!(holders[0], "entry-2");
}
