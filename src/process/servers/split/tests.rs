use std::collections::HashMap;

use super::WeightedRoundRobin;
use crate::ids::ServiceId;

#[test]
fn requests_are_split_by_weight() {
    struct Case {
        weights: &'static [(&'static str, f64)],
    }
    let cases = [
        Case { weights: &[("a", 1.0), ("b", 1.0)] },
        Case { weights: &[("a", 0.9), ("b", 0.1)] },
        Case { weights: &[("a", 3.0), ("b", 2.0), ("c", 7.0)] },
    ];
    for case in cases {
        let parts: Vec<(ServiceId, f64)> =
            case.weights.iter().map(|(name, weight)| (ServiceId::from(*name), *weight)).collect();
        let total: f64 = parts.iter().map(|(_, weight)| weight).sum();
        let mut round_robin = WeightedRoundRobin::default();
        let mut counts: HashMap<ServiceId, f64> = HashMap::new();
        for _ in 0..1_000 {
            let service =
                round_robin.next_service(&"route".into(), &parts).expect("there are services");
            *counts.entry(service).or_default() += 1.0;
        }
        for (service, weight) in &parts {
            let share = counts[service] / 1_000.0;
            assert!((share - weight / total).abs() < 0.01, "{service}: {share}");
        }
    }
}
