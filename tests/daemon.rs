//! Runs the real `quetzald` as separate processes: serving, draining, and its settings.

mod common;

use std::process::{Child, Command, Stdio};
use std::time::Duration;

use common::{Deployment, wait_until};
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
        let status = Command::new("kill").args(["-TERM", &self.0.id().to_string()]).status();
        assert!(status.unwrap().success());
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
async fn two_daemons_serve_and_one_drains_after_sigterm() {
    let deployment = Deployment::start().await;
    let mut first = Daemon::start(&deployment, 0);
    let _second = Daemon::start(&deployment, 1);
    deployment.wait_until_ready(0).await;
    deployment.wait_until_ready(1).await;
    deployment.wait_until_seats_held().await;
    let timeout = Duration::from_secs(30);
    let addrs: Vec<_> = deployment.config.fleet.hosts.iter().map(|h| h.caller_addr).collect();
    let caller = Caller::new(addrs.clone());
    let listing = QueryBody { request_id: "q".into(), ..order("q", false) };
    let reply = caller.query("parts", &listing, timeout).await.unwrap();
    assert_eq!(reply.coverage.unwrap().answered, 3);
    let submitted = caller.query("orders", &order("o-1", false), timeout).await.unwrap();
    assert_eq!(submitted.outcome, "answered", "{submitted:?}");
    for addr in &addrs {
        let resent = Caller::new(vec![*addr]).query("orders", &order("o-1", true), timeout).await;
        assert_eq!(
            resent.unwrap().outcome,
            "answered",
            "every host must replay the recorded outcome"
        );
    }
    assert_eq!(deployment.run_counts.executions("o-1"), 1);
    first.terminate();
    wait_until("the draining host is no longer listed as an entry host", async || {
        let hosts = Caller::entry_hosts(addrs[1]).await.unwrap().hosts;
        hosts.iter().all(|host| host.host != "entry-1")
    })
    .await;
    let status = first.0.wait().unwrap();
    assert!(status.success(), "{status}");
    let reply = Caller::new(vec![addrs[1]]).query("parts", &listing, timeout).await.unwrap();
    assert_eq!(reply.request_id, "q");
}

#[test]
fn invalid_settings_are_named() {
    struct Case {
        args: &'static [&'static str],
        message: &'static str,
    }
    let cases = [
        Case { args: &[], message: "--host" },
        Case { args: &["--host", "a", "--domain", "d", "--caller-addr", "x"], message: "x" },
    ];
    for case in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_quetzald")).args(case.args).output().unwrap();
        assert!(!output.status.success());
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(text.contains(case.message), "{text}");
    }
}
