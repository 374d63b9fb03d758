//! The demo: starts each example deployment, sends a few queries, takes a failure domain out and
//! brings it back.

use std::sync::Arc;
use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use super::fleet::{Deployment, Fleet};
use super::load::LoadGenerator;
use crate::connection::caller::{Caller, NoReply};
use crate::connection::caller_api::Reply;
use crate::connection::query::QueryBody;
use crate::error::Result;
use crate::policy::Policy;
use crate::version::operations::{Target, set_out_of_service};

const SEED: u64 = 1;
/// How long load runs before the queries, so that servers are warm.
const WARM_UP: Duration = Duration::from_secs(3);
/// Wait after a configuration change, so that it is in force before the next queries.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Runs the demo for each example deployment and prints the results line by line.
///
/// # Errors
///
/// Returns an error if a fleet can't be started.
pub async fn demo(print: impl Fn(String)) -> Result<()> {
    for deployment in [Deployment::Tarlac, Deployment::MokaLabs] {
        run_deployment(deployment, &print).await?;
    }
    print("Demo finished. Next: quetzal measure --help".to_owned());
    Ok(())
}

async fn run_deployment(deployment: Deployment, print: &impl Fn(String)) -> Result<()> {
    print(format!("Starting {}: platform, backend servers, entry hosts ...", deployment.name()));
    let fleet = Fleet::start(deployment, Policy::FULL, SEED).await?;
    let hosts = fleet.host_ids().len();
    print(format!("  {} backend servers, {hosts} entry hosts; warming up", fleet.servers.len()));
    LoadGenerator::new(&fleet, SEED, 1.0).run(&fleet, WARM_UP).await;
    print(format!(
        "{:<22} {:<16} {:>9} {:>8} {:>10} {:>6}",
        "state", "service", "outcome", "ms", "coverage", "rows"
    ));
    query_all(&fleet, "all in", print).await;
    let domain = fleet.config().fleet.domains[0].id.clone();
    let target = Target::Domain(domain.to_string());
    fleet.publish(set_out_of_service(&fleet.config(), &target, true)?);
    tokio::time::sleep(SETTLE_TIME).await;
    query_all(&fleet, &format!("{domain} taken out"), print).await;
    fleet.publish(set_out_of_service(&fleet.config(), &target, false)?);
    tokio::time::sleep(SETTLE_TIME).await;
    query_all(&fleet, &format!("{domain} brought back"), print).await;
    let totals = fleet.run_counts.totals();
    print(format!(
        "  servers saw {} runs, {} sheds, {} overloads while cold, {} duplicate submits\n",
        totals.runs,
        totals.sheds,
        totals.cold_overloads,
        fleet.run_counts.duplicate_submits()
    ));
    Ok(())
}

async fn query_all(fleet: &Arc<Fleet>, state: &str, print: &impl Fn(String)) {
    let caller = Caller::new(fleet.caller_addrs());
    for service in &fleet.config().services {
        let body = QueryBody {
            request_id: format_smolstr!("demo-{}-{state}", service.id),
            deadline_ms: None,
            term: SmolStr::new_static("crate"),
            key: SmolStr::new_static("order-7"),
            limit: None,
            resend: false,
        };
        let sent_at = Instant::now();
        let deadline = Duration::from_millis(service.deadline_ms);
        let result = caller.query(&service.id, &body, deadline).await;
        print(table_row(state, &service.id, sent_at.elapsed(), &result));
    }
}

fn table_row(
    state: &str,
    service: &str,
    took: Duration,
    result: &Result<Reply, NoReply>,
) -> String {
    let (outcome, coverage, rows) = match result {
        Ok(reply) => {
            let coverage = reply.coverage.as_ref();
            let coverage = coverage.map_or("-".into(), |c| format!("{}/{}", c.answered, c.shards));
            (reply.outcome.to_string(), coverage, reply.rows.len())
        }
        Err(error) => (format!("{error:?}"), "-".to_owned(), 0),
    };
    let ms = took.as_secs_f64() * 1_000.0;
    format!("{state:<22} {service:<16} {outcome:>9} {ms:>8.1} {coverage:>10} {rows:>6}")
}
