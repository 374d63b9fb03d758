use std::net::Ipv4Addr;
use std::time::Duration;

use super::{ColdRateLimiter, SHARE_OF_LIMIT, is_sender};
use crate::ids::ServerId;

fn host(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

#[test]
fn connected_hosts_agree_on_one_sender() {
    for server in ["a", "b", "c", "d"] {
        let senders = (0..8).filter(|n| is_sender(host(*n), (0..8).map(host), server)).count();
        assert_eq!(senders, 1, "{server}");
    }
}

#[test]
fn partitioned_senders_stay_within_tolerated_rate() {
    struct Case {
        per_s: f64,
    }
    for case in [Case { per_s: 1.0 }, Case { per_s: 4.0 }, Case { per_s: 40.0 }] {
        let server = ServerId::from("a");
        let mut sides = [ColdRateLimiter::default(), ColdRateLimiter::default()];
        let mut sent: Vec<u64> = Vec::new();
        for ms in 0..5_000 {
            for side in &mut sides {
                if side.try_take(Duration::from_millis(ms), &server, case.per_s, SHARE_OF_LIMIT) {
                    sent.push(ms);
                }
            }
        }
        let most = sent
            .iter()
            .map(|from| sent.iter().filter(|at| **at >= *from && **at < from + 1_000).count());
        let most = most.max().unwrap_or(0);
        let tolerated = case.per_s * 1.5 + 5.0;
        assert!(most as f64 <= tolerated, "{most} a second at a limit of {}", case.per_s);
    }
}
