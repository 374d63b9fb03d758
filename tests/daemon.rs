//! The real daemon as a process of its own: serving, leaving in good order, and its settings.

mod common;

use std::process::{Child, Command, Stdio};
use std::time::Duration;

use common::{Deployment, eventually};
use quetzalpoint::connection::caller::Caller;
use quetzalpoint::connection::query::QueryBody;

struct Daemon(Child);

impl Daemon {
    fn start(deployment: &Deployment, n: usize) -> Self {
        let settings = deployment.settings(n);
        let child = Command::new(env!("CARGO_BIN_EXE_quetzald"))
            .args(["--host", &settings.host, "--domain", &settings.domain])
            .args(["--caller-addr", &settings.caller_addr.to_string()])
            .args(["--peer-addr", &settings.peer_addr.to_string()])
            .args(["--platform", &deployment.platform_addr.to_string()])
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self(child)
    }

    fn terminate(&self) {
        let done = Command::new("kill").args(["-TERM", &self.0.id().to_string()]).status();
        assert!(done.unwrap().success());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn order(id: &str, resend: bool) -> QueryBody {
    QueryBody {
        request_id: id.into(),
        deadline_ms: None,
        term: "".into(),
        key: "k".into(),
        limit: None,
        resend,
    }
}

#[tokio::test]
async fn two_daemons_serve_and_one_leaves_in_good_order() {
    let deployment = Deployment::start().await;
    let mut first = Daemon::start(&deployment, 0);
    let _second = Daemon::start(&deployment, 1);
    deployment.ready(0).await;
    deployment.ready(1).await;
    deployment.seats_taken().await;
    let wait = Duration::from_secs(30);
    let addrs: Vec<_> = deployment.config.fleet.hosts.iter().map(|h| h.caller_addr).collect();
    let caller = Caller::new(addrs.clone());
    let listing = QueryBody { request_id: "q".into(), ..order("q", false) };
    let reply = caller.query("parts", &listing, wait).await.unwrap();
    assert_eq!(reply.coverage.unwrap().answered, 3);
    let placed = caller.query("orders", &order("o-1", false), wait).await.unwrap();
    assert_eq!(placed.outcome, "answered", "{placed:?}");
    for addr in &addrs {
        let again = Caller::new(vec![*addr]).query("orders", &order("o-1", true), wait).await;
        assert_eq!(again.unwrap().outcome, "answered", "replayed at every host");
    }
    assert_eq!(deployment.journal.executions("o-1"), 1);
    first.terminate();
    eventually("the leaving host is no longer named", async || {
        let hosts = Caller::entry_hosts(addrs[1]).await.unwrap().hosts;
        hosts.iter().all(|host| host.host != "entry-1")
    })
    .await;
    let status = first.0.wait().unwrap();
    assert!(status.success(), "{status}");
    let reply = Caller::new(vec![addrs[1]]).query("parts", &listing, wait).await.unwrap();
    assert_eq!(reply.request_id, "q");
}

#[test]
fn wrong_settings_say_what_to_do() {
    struct Case {
        args: &'static [&'static str],
        says: &'static str,
    }
    let cases = [
        Case { args: &[], says: "--host" },
        Case { args: &["--host", "a", "--domain", "d", "--caller-addr", "x"], says: "x" },
    ];
    for case in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_quetzald")).args(case.args).output().unwrap();
        assert!(!output.status.success());
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(text.contains(case.says), "{text}");
    }
}
