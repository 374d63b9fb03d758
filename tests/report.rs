//! Runs `quetzal report` on structured logs as operators do.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const NORTH: &str = r#"
{"timestamp":"2026-05-03T13:11:00.000000Z","level":"INFO","message":"starting","host":"n-1"}
{"timestamp":"2026-05-03T13:11:03.200000Z","level":"INFO","message":"server avoided for a while","server":"i-a","service":"s1","end":"Unreachable"}
{"timestamp":"2026-05-03T13:11:03.223834Z","level":"INFO","message":"attempt failed","request":"r-1","route":"one","server":"i-a","failure":"Unknown(ConnectionLost)"}
{"timestamp":"2026-05-03T13:11:03.224026Z","level":"INFO","message":"request ended","request":"r-1","route":"one","outcome":"unknown","why":"connection_lost","took_ms":2,"version":3}
{"timestamp":"2026-05-03T13:11:04.000000Z","level":"INFO","message":"request ended","request":"r-2","route":"one","outcome":"answered","why":"late","took_ms":300,"version":3}
not a log line
"#;
const SOUTH: &str = r#"
  3.2220 n-2 {"timestamp":"2026-05-03T13:11:03.222000Z","level":"DEBUG","message":"relay returned","request":"r-1","late":true}
  3.9000 n-2 {"timestamp":"2026-05-03T13:11:03.900000Z","level":"INFO","message":"gathered in part or with extra attempts","request":"r-3","route":"all","shards":20,"missing":5,"extra":2}
"#;

fn dir(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).expect("the directory can be created");
    std::fs::write(dir.join("north.log"), NORTH).expect("the directory can be written");
    std::fs::write(dir.join("south.log"), SOUTH).expect("the directory can be written");
    dir
}

fn report(dir: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_quetzal"))
        .current_dir(dir)
        .arg("report")
        .args(args)
        .output()
        .expect("the tool starts")
}

fn stdout(output: &Output) -> String {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn timeline_shows_request_across_hosts_with_likely_causes() {
    let dir = dir("report-story");
    let timeline = stdout(&report(&dir, &["--request", "r-1", "north.log", "south.log"]));
    let expected_parts = [
        "request r-1 from 2026-05-03T13:11:03.222Z",
        "-22.0 ms  north  server avoided for a while",
        "0.0 ms  n-2  relay returned late=true",
        "1.8 ms  north  attempt failed failure=Unknown(ConnectionLost)",
        "2.0 ms  north  request ended",
    ];
    let mut rest = timeline.as_str();
    for part in expected_parts {
        let at = rest
            .find(part)
            .unwrap_or_else(|| panic!("{part} is missing or out of order: {timeline}"));
        rest = &rest[at + part.len()..];
    }
    assert!(!timeline.contains("r-2") && !timeline.contains("r-3"), "{timeline}");
}

#[test]
fn run_is_summarised_and_plotted() {
    let dir = dir("report-digest");
    let summary = stdout(&report(&dir, &["--plot", "run.svg", "north.log", "south.log"]));
    let line = |prefix: &str| {
        let found = summary.lines().find(|line| line.starts_with(prefix));
        found.unwrap_or_else(|| panic!("no line begins with {prefix}: {summary}")).to_owned()
    };
    assert_eq!(line("7 lines"), "7 lines of 2 origins, 1 not readable");
    assert!(line("answered late on one").ends_with("1      300      300"), "{summary}");
    assert!(line("all ").ends_with("1    25.0%    2.0"), "{summary}");
    assert!(line("Unknown(ConnectionLost)").ends_with('1'), "{summary}");
    let svg = std::fs::read_to_string(dir.join("run.svg")).expect("the chart was written");
    assert!(svg.starts_with("<svg") && svg.contains("circle"), "{svg}");
}

#[test]
fn invalid_arguments_are_explained() {
    struct Case {
        name: &'static str,
        args: &'static [&'static str],
        message: &'static str,
    }
    let cases = [
        Case { name: "missing file", args: &["absent.log"], message: "absent.log" },
        Case { name: "no file named", args: &[], message: "name at least one log file" },
        Case {
            name: "unknown request",
            args: &["--request", "r-9", "north.log"],
            message: "no request named r-9",
        },
        Case {
            name: "nothing to plot",
            args: &["--plot", "x.svg", "/dev/null"],
            message: "no lines",
        },
    ];
    let dir = dir("report-errors");
    for case in cases {
        let output = report(&dir, case.args);
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{}", case.name);
        assert!(text.contains(case.message), "{}: {text}", case.name);
    }
}
