//! The report of structured logs, driven as operators drive it.

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

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("the folder can be made");
    std::fs::write(folder.join("north.log"), NORTH).expect("the folder can be written");
    std::fs::write(folder.join("south.log"), SOUTH).expect("the folder can be written");
    folder
}

fn report(folder: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_quetzal"))
        .current_dir(folder)
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
fn a_request_is_followed_across_hosts_with_its_likely_causes() {
    let folder = folder("report-story");
    let story = stdout(&report(&folder, &["--request", "r-1", "north.log", "south.log"]));
    let told = [
        "request r-1 from 2026-05-03T13:11:03.222Z",
        "-22.0 ms  north  server avoided for a while",
        "0.0 ms  n-2  relay returned late=true",
        "1.8 ms  north  attempt failed failure=Unknown(ConnectionLost)",
        "2.0 ms  north  request ended",
    ];
    let mut rest = story.as_str();
    for part in told {
        let at = rest.find(part).unwrap_or_else(|| panic!("{part} is not told in turn: {story}"));
        rest = &rest[at + part.len()..];
    }
    assert!(!story.contains("r-2") && !story.contains("r-3"), "{story}");
}

#[test]
fn a_run_is_digested_and_drawn() {
    let folder = folder("report-digest");
    let digest = stdout(&report(&folder, &["--plot", "run.svg", "north.log", "south.log"]));
    let line = |begin: &str| {
        let found = digest.lines().find(|line| line.starts_with(begin));
        found.unwrap_or_else(|| panic!("no line begins with {begin}: {digest}")).to_owned()
    };
    assert_eq!(line("7 lines"), "7 lines of 2 origins, 1 not readable");
    assert!(line("answered late on one").ends_with("1      300      300"), "{digest}");
    assert!(line("all ").ends_with("1    25.0%    2.0"), "{digest}");
    assert!(line("Unknown(ConnectionLost)").ends_with('1'), "{digest}");
    let svg = std::fs::read_to_string(folder.join("run.svg")).expect("it is written");
    assert!(svg.starts_with("<svg") && svg.contains("circle"), "{svg}");
}

#[test]
fn what_cannot_be_reported_says_why() {
    struct Case {
        name: &'static str,
        args: &'static [&'static str],
        says: &'static str,
    }
    let cases = [
        Case { name: "no file", args: &["absent.log"], says: "absent.log" },
        Case { name: "no files named", args: &[], says: "name at least one log file" },
        Case {
            name: "no such request",
            args: &["--request", "r-9", "north.log"],
            says: "no request named r-9",
        },
        Case { name: "nothing to draw", args: &["--plot", "x.svg", "/dev/null"], says: "no lines" },
    ];
    let folder = folder("report-errors");
    for case in cases {
        let output = report(&folder, case.args);
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{}", case.name);
        assert!(text.contains(case.says), "{}: {text}", case.name);
    }
}
