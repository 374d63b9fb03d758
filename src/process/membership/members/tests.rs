use std::net::Ipv4Addr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use smallvec::smallvec;

use super::super::discovery::FleetKnowledge;
use super::{DomainIndex, Gossip, GossipExtension, Heartbeat, Members, Phase};
use crate::clock::Monotonic;
use crate::ids::{ConfigVersion, Incarnation, Revision};
use crate::position::{Epochs, PlanOrder, Position};
use crate::process::quarantine::{CrashReport, SuspectReport};
use crate::process::servers::rate_limit::LimitReport;

const DOMAINS: u8 = 4;

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, n % DOMAINS, 0, n)
}

fn heartbeat(n: u8) -> Heartbeat {
    Heartbeat {
        ip: ip(n),
        life: 1,
        count: 0,
        phase: Phase::Ready,
        domain: n % DOMAINS,
        weight: 25,
        revision: 0,
        version: 0,
        reads: true,
        load: None,
        epochs: None,
        source_age_ms: None,
    }
}

/// Simulated network that delivers each message at once or loses it.
struct Net {
    now: Monotonic,
    hosts: Vec<Option<Members>>,
    rng: StdRng,
}

impl Net {
    fn new(hosts: u8) -> Self {
        let seeds = vec![ip(0), ip(1), ip(200)];
        let now = Duration::from_secs(1);
        let start = |n| Some(Members::new(now, heartbeat(n), seeds.clone()));
        Self { now, hosts: (0..hosts).map(start).collect(), rng: StdRng::seed_from_u64(7) }
    }

    fn run(&mut self, time: Duration, loss_rate: f64) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(50);
            for n in 0..self.hosts.len() {
                let Some(host) = &mut self.hosts[n] else { continue };
                let messages = host.tick(self.now, &mut self.rng);
                self.deliver(messages, loss_rate);
            }
        }
    }

    fn deliver(&mut self, messages: Vec<(Ipv4Addr, Gossip)>, loss_rate: f64) {
        for (to, gossip) in messages {
            if rand::RngExt::random_bool(&mut self.rng, loss_rate) {
                continue;
            }
            let target = self.hosts.iter_mut().flatten().find(|host| host.me.ip == to);
            if let Some(answer) = target.and_then(|host| host.on_gossip(self.now, gossip)) {
                self.deliver(vec![answer], loss_rate);
            }
        }
    }

    fn up_seen_by(&self, n: usize) -> Vec<Ipv4Addr> {
        let view = self.hosts[n].as_ref().expect("the host is up").view(self.now);
        view.up.iter().map(|heartbeat| heartbeat.ip).collect()
    }
}

#[test]
fn hosts_discover_each_other_and_detect_a_stopped_host() {
    struct Case {
        name: &'static str,
        hosts: u8,
        loss_rate: f64,
    }
    let cases = [
        Case { name: "two", hosts: 2, loss_rate: 0.0 },
        Case { name: "eight", hosts: 8, loss_rate: 0.0 },
        Case { name: "eight with loss", hosts: 8, loss_rate: 0.05 },
        Case { name: "sixty", hosts: 60, loss_rate: 0.01 },
    ];
    for case in cases {
        let mut net = Net::new(case.hosts);
        net.run(Duration::from_secs(4), case.loss_rate);
        for n in 0..usize::from(case.hosts) {
            assert_eq!(
                net.up_seen_by(n).len(),
                usize::from(case.hosts) - 1,
                "{} at {n}",
                case.name
            );
        }
        net.hosts[1] = None;
        net.run(Duration::from_secs(5), case.loss_rate);
        for n in (0..usize::from(case.hosts)).filter(|n| *n != 1) {
            assert!(!net.up_seen_by(n).contains(&ip(1)), "{} at {n}", case.name);
        }
    }
}

#[test]
fn restarted_host_is_up_with_a_higher_incarnation_within_1500_ms() {
    struct Case {
        name: &'static str,
        hosts: u8,
        down_for: Duration,
    }
    let cases = [
        Case { name: "at once", hosts: 8, down_for: Duration::ZERO },
        Case { name: "before it is considered down", hosts: 8, down_for: Duration::from_secs(1) },
        // Guards against peers that ignore the heartbeats of a host for up to a minute, since they
        // remember later ones and don't tell it.
        Case { name: "after it is considered down", hosts: 8, down_for: Duration::from_secs(5) },
        Case { name: "long after it", hosts: 8, down_for: Duration::from_secs(50) },
        Case { name: "after it is forgotten", hosts: 8, down_for: Duration::from_secs(70) },
        Case { name: "in a large fleet", hosts: 60, down_for: Duration::from_secs(5) },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let mut net = Net::new(case.hosts);
        net.run(Duration::from_secs(20), 0.0);
        let incarnation_expected = if case.down_for < Duration::from_secs(60) { 2 } else { 1 };
        let seeds = vec![ip(0), ip(1), ip(200)];
        net.hosts[5] = None;
        net.run(case.down_for, 0.0);
        net.hosts[5] = Some(Members::new(net.now, heartbeat(5), seeds));
        net.run(Duration::from_millis(1_500), 0.0);
        for n in (0..usize::from(case.hosts)).filter(|n| *n != 5) {
            let view = net.hosts[n].as_ref().expect("the host is up").view(net.now);
            let known = view.up.iter().find(|heartbeat| heartbeat.ip == ip(5));
            if known.is_none_or(|heartbeat| heartbeat.life != incarnation_expected) {
                wrong.push(format!("{} at {n}: {known:?}", case.name));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn unresponsive_hosts_still_count_towards_shared_limits() {
    let mut net = Net::new(8);
    net.run(Duration::from_secs(4), 0.0);
    for n in 4..8 {
        net.hosts[n] = None;
    }
    net.run(Duration::from_secs(10), 0.0);
    let view = net.hosts[0].as_ref().expect("the host is up").view(net.now);
    assert_eq!(view.known_hosts, 8);
    assert_eq!(view.up.len(), 3);
}

#[test]
fn large_fleet_sends_only_its_own_domain_across_domains() {
    struct Case {
        name: &'static str,
        hosts: u8,
        max_heartbeats: usize,
    }
    let cases = [
        Case { name: "a small fleet", hosts: 8, max_heartbeats: 8 },
        Case { name: "a large fleet", hosts: 60, max_heartbeats: 15 },
    ];
    for case in cases {
        let mut net = Net::new(case.hosts);
        net.run(Duration::from_secs(4), 0.0);
        let sender = net.hosts[0].as_mut().expect("the host is up");
        for _ in 0..20 {
            net.now += Duration::from_millis(500);
            for (to, gossip) in sender.tick(net.now, &mut net.rng) {
                if to.octets()[1] != 0 {
                    assert!(gossip.heartbeats.len() <= case.max_heartbeats, "{}", case.name);
                }
            }
        }
    }
}

#[test]
fn sixty_hosts_stay_up_with_two_percent_message_loss() {
    for seed in 0..4 {
        let mut net = Net::new(60);
        net.rng = StdRng::seed_from_u64(seed);
        net.run(Duration::from_secs(5), 0.02);
        for _ in 0..100 {
            net.run(Duration::from_millis(200), 0.02);
            for n in 0..60 {
                assert_eq!(net.up_seen_by(n).len(), 59, "seed {seed}: at {n} after {:?}", net.now);
            }
        }
    }
}

/// [`Gossip`] as builds without epochs define it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldGossip {
    heartbeats: Vec<OldHeartbeat>,
    wants_answer: bool,
}

/// [`Heartbeat`] as builds without epochs define it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldHeartbeat {
    ip: Ipv4Addr,
    life: Incarnation,
    count: u32,
    phase: Phase,
    domain: DomainIndex,
    weight: u16,
    revision: Revision,
    version: ConfigVersion,
    reads: bool,
}

impl From<&Gossip> for OldGossip {
    fn from(gossip: &Gossip) -> Self {
        let old = |h: &Heartbeat| OldHeartbeat {
            ip: h.ip,
            life: h.life,
            count: h.count,
            phase: h.phase,
            domain: h.domain,
            weight: h.weight,
            revision: h.revision,
            version: h.version,
            reads: h.reads,
        };
        Self {
            heartbeats: gossip.heartbeats.iter().map(old).collect(),
            wants_answer: gossip.wants_answer,
        }
    }
}

const OLD: Option<Epochs> = Some(Epochs { source: 300, plan_series: 2 });
const NEW: Option<Epochs> = Some(Epochs { source: 301, plan_series: 2 });

/// The epochs of a message's heartbeats, and the number of bytes that they add.
struct EpochsCase {
    name: &'static str,
    epochs: Vec<Option<Epochs>>,
    added_bytes: usize,
}

fn epochs_cases() -> Vec<EpochsCase> {
    let case = |name, epochs, added_bytes| EpochsCase { name, epochs, added_bytes };
    vec![
        case("no heartbeats", vec![], 0),
        case("no epochs", vec![None; 3], 0),
        case("the same epochs", vec![NEW; 200], 5),
        case("only the sender's epochs", vec![NEW, None, None], 9),
        case("all but the sender's epochs", vec![None, NEW, OLD], 12),
        case("one host behind", vec![NEW, NEW, OLD, NEW], 10),
    ]
}

fn gossip(epochs: &[Option<Epochs>]) -> Gossip {
    let heartbeat = |(n, epochs): (u8, &Option<Epochs>)| Heartbeat {
        count: 1_000 + u32::from(n),
        revision: 70_000,
        version: 9,
        epochs: *epochs,
        ..heartbeat(n)
    };
    let heartbeats = (0..=u8::MAX).zip(epochs).map(heartbeat).collect();
    Gossip { heartbeats, wants_answer: true, ..Gossip::default() }
}

fn old_bytes(gossip: &Gossip) -> Vec<u8> {
    postcard::to_stdvec(&OldGossip::from(gossip)).expect("plain data always serializes")
}

#[test]
fn gossip_round_trips_with_few_bytes_for_epochs() {
    for case in epochs_cases() {
        let sent = gossip(&case.epochs);
        let bytes = sent.encode();
        assert_eq!(bytes.len() - old_bytes(&sent).len(), case.added_bytes, "{}", case.name);
        assert_eq!(Gossip::decode(&bytes), Some(sent), "{}", case.name);
    }
}

// Hosts that are not upgraded yet would consider upgraded ones down.
#[test]
fn old_build_does_not_reject_or_misread_gossip_with_epochs() {
    for case in epochs_cases() {
        let sent = gossip(&case.epochs);
        let read = postcard::from_bytes::<OldGossip>(&sent.encode());
        assert_eq!(read, Ok(OldGossip::from(&sent)), "{}", case.name);
    }
}

// Upgraded hosts would consider hosts that are not upgraded yet down, or invent their epochs.
#[test]
fn new_build_does_not_reject_or_extend_gossip_without_epochs() {
    for case in epochs_cases() {
        let sent = gossip(&case.epochs);
        let without = gossip(&vec![None; case.epochs.len()]);
        assert_eq!(Gossip::decode(&old_bytes(&sent)), Some(without), "{}", case.name);
    }
}

// Hosts of the build before reports would not read messages with loads, or the other way round.
#[test]
fn loads_round_trip_and_do_not_keep_older_builds_from_reading_a_message() {
    for (epochs, loads) in [
        (vec![NEW], vec![Some(0)]),
        (vec![NEW, OLD, NEW], vec![Some(7), None, Some(u16::MAX)]),
        (vec![None, None], vec![None, Some(3)]),
    ] {
        let mut sent = gossip(&epochs);
        sent.heartbeats.iter_mut().zip(&loads).for_each(|(h, load)| h.load = *load);
        let bytes = sent.encode();
        assert_eq!(Gossip::decode(&bytes), Some(sent.clone()), "{loads:?}");
        let read = postcard::from_bytes::<OldGossip>(&bytes);
        assert_eq!(read, Ok(OldGossip::from(&sent)), "{loads:?}");
        // What the build before reads after the epochs.
        let (_, rest) = postcard::take_from_bytes::<OldGossip>(&bytes).expect("it is readable");
        let (_, rest) = postcard::take_from_bytes::<GossipExtension>(rest).expect("it follows");
        let reports = postcard::from_bytes::<(Vec<LimitReport>, Vec<SuspectReport>)>(rest);
        assert_eq!(reports, Ok((Vec::new(), Vec::new())), "{loads:?}");
    }
}

// An extension in the middle of a message would shift what older builds read after it.
#[test]
fn epochs_do_not_change_the_bytes_of_the_base_gossip() {
    for case in epochs_cases() {
        let sent = gossip(&case.epochs);
        assert!(sent.encode().starts_with(&old_bytes(&sent)), "{}", case.name);
    }
}

#[test]
fn gossip_with_an_invalid_extension_is_not_decoded() {
    for case in epochs_cases() {
        let sent = gossip(&case.epochs);
        let (bytes, base) = (sent.encode(), old_bytes(&sent));
        for length in base.len() + 1..bytes.len() {
            assert_eq!(Gossip::decode(&bytes[..length]), None, "{} cut to {length}", case.name);
        }
        let malformed = [&base[..], &[0xff; 11]].concat();
        assert_eq!(Gossip::decode(&malformed), None, "{}", case.name);
        let out_of_range = u16::try_from(case.epochs.len()).expect("the cases are short");
        let extension = GossipExtension { sender: NEW, differing: vec![(out_of_range, OLD)] };
        let bytes = postcard::to_extend(&extension, base).expect("plain data always serializes");
        assert_eq!(Gossip::decode(&bytes), None, "{} with an index out of range", case.name);
    }
}

#[test]
fn heartbeat_without_epochs_has_no_position_and_is_in_the_first_plan_series() {
    struct Case {
        epochs: Option<Epochs>,
        position: Option<Position>,
        plan_order: PlanOrder,
    }
    let cases = [
        Case { epochs: None, position: None, plan_order: PlanOrder { series: 0, version: 9 } },
        Case {
            epochs: NEW,
            position: Some(Position { epoch: 301, revision: 70 }),
            plan_order: PlanOrder { series: 2, version: 9 },
        },
    ];
    for case in cases {
        let heartbeat = Heartbeat { revision: 70, version: 9, epochs: case.epochs, ..heartbeat(1) };
        assert_eq!(heartbeat.position(), case.position, "{:?}", case.epochs);
        assert_eq!(heartbeat.plan_order(), case.plan_order, "{:?}", case.epochs);
    }
}

// A host would lose its epochs each time a host of an older build forwards its heartbeat.
#[test]
fn forwarded_heartbeat_without_epochs_does_not_erase_those_of_the_same_life() {
    struct Case {
        name: &'static str,
        known: Option<Heartbeat>,
        arrives: Heartbeat,
        expected: Option<Epochs>,
    }
    let at = |life, count, epochs| Heartbeat { life, count, epochs, ..heartbeat(1) };
    let cases = [
        Case {
            name: "forwarded by an older build",
            known: Some(at(1, 1, OLD)),
            arrives: at(1, 2, None),
            expected: OLD,
        },
        Case {
            name: "forwarded by a build with epochs",
            known: Some(at(1, 1, OLD)),
            arrives: at(1, 2, NEW),
            expected: NEW,
        },
        Case {
            name: "restarted, perhaps with an older build",
            known: Some(at(1, 1, OLD)),
            arrives: at(2, 1, None),
            expected: None,
        },
        Case {
            name: "late heartbeat of an earlier life",
            known: Some(at(2, 1, None)),
            arrives: at(1, 9, OLD),
            expected: None,
        },
        Case {
            name: "late heartbeat of the same life",
            known: Some(at(1, 3, NEW)),
            arrives: at(1, 2, OLD),
            expected: NEW,
        },
        Case {
            name: "an older build's host",
            known: Some(at(1, 1, None)),
            arrives: at(1, 2, None),
            expected: None,
        },
        Case { name: "unknown host", known: None, arrives: at(1, 2, None), expected: None },
    ];
    for case in cases {
        let now = Duration::from_secs(1);
        let mut members = Members::new(now, heartbeat(0), vec![]);
        for forwarded in case.known.into_iter().chain([case.arrives]) {
            let heartbeats = vec![heartbeat(2), forwarded];
            let gossip = Gossip { heartbeats, ..Gossip::default() };
            members.on_gossip(now, gossip);
        }
        let known = members.others.get(&ip(1)).map(|member| member.heartbeat);
        let newest = case.known.into_iter().chain([case.arrives]).max_by_key(|h| (h.life, h.count));
        let expected = newest.map(|newest| Heartbeat { epochs: case.expected, ..newest });
        assert_eq!(known, expected, "{}", case.name);
    }
}

/// The message of the build before reports, which reads only the epochs after the heartbeats.
#[derive(Debug, Serialize, Deserialize)]
struct GossipBeforeReports {
    heartbeats: Vec<Heartbeat>,
    wants_answer: bool,
}

/// Guards against hosts of the build before that discard messages with reports.
#[test]
fn reports_do_not_keep_older_builds_from_reading_a_message() {
    let report =
        LimitReport { server: "s".into(), per_s: Some(20.0), age_ms: 5, demand_per_s: 1.5 };
    let suspect = SuspectReport {
        fingerprint: 7,
        crashes: smallvec![CrashReport { run: 9, age_ms: 3, alone: true }],
        answered_ms_ago: None,
        trial_ms_ago: Some(4),
    };
    for epochs in [None, Some(Epochs { source: 3, plan_series: 1 })] {
        let heartbeats = vec![Heartbeat { epochs, ..heartbeat(1) }];
        for (limit_reports, suspect_reports) in [
            (vec![report.clone()], vec![]),
            (vec![], vec![suspect.clone()]),
            (vec![report.clone()], vec![suspect.clone()]),
        ] {
            let heartbeats = heartbeats.clone();
            let gossip = Gossip {
                heartbeats,
                limit_reports,
                suspect_reports,
                wants_answer: true,
                complete: false,
            };
            let bytes = gossip.encode();
            assert_eq!(Gossip::decode(&bytes).as_ref(), Some(&gossip));
            let (before, rest) = postcard::take_from_bytes::<GossipBeforeReports>(&bytes)
                .expect("the heartbeats are readable");
            assert_eq!((before.heartbeats.len(), before.wants_answer), (1, true));
            let extension: GossipExtension =
                postcard::from_bytes(rest).expect("the epochs are readable");
            assert_eq!(extension.sender, epochs);
        }
    }
}

/// Guards against ages that hosts of the build before can't skip, or that are given to other hosts.
#[test]
fn source_ages_round_trip_and_do_not_keep_older_builds_from_reading_a_message() {
    let cases = [vec![], vec![None, None], vec![Some(0)], vec![None, Some(70_000), None, Some(3)]];
    for ages in cases {
        let mut sent = gossip(&vec![Some(Epochs { source: 2, plan_series: 1 }); ages.len()]);
        for (heartbeat, age) in sent.heartbeats.iter_mut().zip(&ages) {
            (heartbeat.load, heartbeat.source_age_ms) = (Some(7), *age);
        }
        let bytes = sent.encode();
        assert_eq!(Gossip::decode(&bytes), Some(sent.clone()), "{ages:?}");
        if ages.is_empty() {
            continue;
        }
        // The build before reads the loads with all that follows them.
        let (_, rest) = postcard::take_from_bytes::<OldGossip>(&bytes).expect("it is readable");
        let (_, rest) = postcard::take_from_bytes::<GossipExtension>(rest).expect("it follows");
        let (_, rest) = postcard::take_from_bytes::<(Vec<LimitReport>, Vec<SuspectReport>)>(rest)
            .expect("they follow");
        let loads = postcard::from_bytes::<Vec<Option<u16>>>(rest);
        assert_eq!(loads, Ok(vec![Some(7); ages.len()]), "{ages:?}");
    }
}

/// Guards against complete views that hosts of the build before can't skip.
#[test]
fn complete_views_round_trip_and_do_not_keep_the_build_before_from_reading_ages() {
    for ages in [vec![None], vec![Some(3), None]] {
        for complete in [false, true] {
            let mut sent = gossip(&vec![NEW; ages.len()]);
            for (heartbeat, age) in sent.heartbeats.iter_mut().zip(&ages) {
                (heartbeat.load, heartbeat.source_age_ms) = (Some(7), *age);
            }
            sent.complete = complete;
            let bytes = sent.encode();
            assert_eq!(Gossip::decode(&bytes), Some(sent.clone()), "{ages:?} {complete}");
            // The build before reads the ages with all that follows them.
            let (_, rest) = postcard::take_from_bytes::<OldGossip>(&bytes).expect("it is readable");
            let (_, rest) = postcard::take_from_bytes::<GossipExtension>(rest).expect("it follows");
            let (_, rest) =
                postcard::take_from_bytes::<(Vec<LimitReport>, Vec<SuspectReport>)>(rest)
                    .expect("they follow");
            let (_, rest) =
                postcard::take_from_bytes::<Vec<Option<u16>>>(rest).expect("they follow");
            let listed = (0..).zip(&ages).filter_map(|(n, age)| Some((n, (*age)?)));
            let expected: Vec<(u16, u32)> = listed.collect();
            if rest.is_empty() {
                assert!(expected.is_empty() && !complete, "{ages:?} {complete}");
            } else {
                assert_eq!(postcard::from_bytes(rest), Ok(expected), "{ages:?} {complete}");
            }
        }
    }
}

/// Guards against hosts that announce a complete view before they have one, and against a host that
/// joins a fleet and does not learn that it knows all hosts.
#[test]
fn only_hosts_that_know_the_fleet_announce_complete_views() {
    let mut net = Net::new(8);
    let knowledge = |net: &Net, n: usize| {
        net.hosts[n].as_ref().expect("the host is up").view(net.now).knowledge
    };
    let sharing = |net: &Net, n: usize| {
        net.hosts[n].as_ref().expect("the host is up").view(net.now).sharing_hosts()
    };
    assert_eq!(sharing(&net, 5), None);
    net.run(Duration::from_millis(1_500), 0.0);
    assert_eq!(knowledge(&net, 5), FleetKnowledge::Unknown);
    assert_eq!(sharing(&net, 5), Some(8));
    net.run(Duration::from_millis(3_000), 0.0);
    assert_eq!(knowledge(&net, 5), FleetKnowledge::Known);

    net.hosts[5] = None;
    net.run(Duration::from_secs(4), 0.0);
    net.hosts[5] = Some(Members::new(net.now, heartbeat(5), vec![ip(0), ip(1), ip(200)]));
    net.run(Duration::from_millis(100), 0.0);
    assert_eq!(knowledge(&net, 5), FleetKnowledge::Joining);
    net.run(Duration::from_millis(1_100), 0.0);
    assert_eq!(knowledge(&net, 5), FleetKnowledge::Known);
    assert_eq!(net.up_seen_by(5).len(), 7);

    // A host that hears of no other one may be cut off, and tells no other that it knows the fleet.
    let mut alone = Members::new(net.now, heartbeat(9), vec![ip(0)]);
    let later = net.now + Duration::from_secs(60);
    let messages: Vec<(Ipv4Addr, Gossip)> = (0..1_200)
        .flat_map(|n| alone.tick(net.now + Duration::from_millis(n * 50), &mut net.rng))
        .collect();
    assert_eq!(alone.view(later).knowledge, FleetKnowledge::Known);
    assert!(!messages.is_empty());
    assert!(messages.iter().all(|(_, gossip)| !gossip.complete && gossip.wants_answer));
}

/// Guards against answers of the platform that seem newer the more often a heartbeat is passed on.
#[test]
fn source_age_grows_while_a_heartbeat_is_held() {
    let start = Duration::from_secs(10);
    let mut reader = Members::new(start, Heartbeat { reads: false, ..heartbeat(1) }, vec![]);
    reader.on_source_answer(start);
    let mut rng = StdRng::seed_from_u64(7);
    reader.tick(start + Duration::from_millis(300), &mut rng);
    let announced = *reader.own_heartbeat_mut();
    assert_eq!((announced.reads, announced.source_age_ms), (true, Some(300)));

    let mut other = Members::new(start, heartbeat(5), vec![]);
    let received_at = start + Duration::from_millis(400);
    other.on_gossip(received_at, Gossip { heartbeats: vec![announced], ..Gossip::default() });
    assert_eq!(other.peer_answered_at(), Some(start + Duration::from_millis(100)));
    let view = other.view(received_at + Duration::from_millis(900));
    assert_eq!(view.up[0].source_age_ms, Some(1_200));

    assert!(reader.stop_reading());
    reader.tick(received_at, &mut rng);
    let announced = *reader.own_heartbeat_mut();
    assert_eq!((announced.reads, announced.source_age_ms), (false, None));
}
