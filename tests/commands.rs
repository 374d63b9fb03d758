//! The real tool, driven as operators drive it.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn quetzal(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_quetzal")).args(args).output().unwrap()
}

fn stdout(output: &Output) -> String {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn operators_generate_check_compare_and_take_out() {
    let folder = folder("operators");
    let old = folder.join("v1.json").display().to_string();
    let new = folder.join("v2.json").display().to_string();
    stdout(&quetzal(&["questionnaire", "--out", &old, "examples/answers/tarlac.toml"]));
    assert!(stdout(&quetzal(&["check", &old])).contains("version 1 of tarlac is valid"));
    let taken = stdout(&quetzal(&["take-out", "--domain", "east", &old]));
    std::fs::write(&new, taken).unwrap();
    let changes = stdout(&quetzal(&["diff", &old, &new]));
    assert_eq!(changes, "fleet.domains.east.out: false -> true\nversion: 1 -> 2\n");
    let back = stdout(&quetzal(&["bring-back", "--domain", "east", &new]));
    assert!(back.contains("\"version\": 3"));
    assert!(stdout(&quetzal(&["diff", &old, &old])).contains("nothing differs"));
    let placed = stdout(&quetzal(&["explain", &old, "fuel-ledger"]));
    assert!(placed.contains("fuel-ledger-0-0 in north: owned by entry-"), "{placed}");
}

#[test]
fn wrong_commands_say_what_to_do() {
    struct Case {
        args: &'static [&'static str],
        says: &'static str,
    }
    let folder = folder("wrong");
    std::fs::write(folder.join("bad.json"), "{").unwrap();
    let cases = [
        Case { args: &["check", "no-such-file.json"], says: "check that the file exists" },
        Case { args: &["measure", "--scenario", "storm"], says: "steady, straggler" },
        Case { args: &["measure", "--deployment", "none"], says: "tarlac, moka-labs" },
        Case { args: &["measure", "--policy", "none"], says: "no-hedging" },
        Case { args: &["entry-hosts"], says: "at least one entry host" },
        Case { args: &["questionnaire", "Cargo.toml"], says: "answers file" },
    ];
    for case in cases {
        let output = quetzal(case.args);
        assert!(!output.status.success(), "{:?}", case.args);
        // The report wraps long lines.
        let text = String::from_utf8_lossy(&output.stderr);
        let text = text.split_whitespace().filter(|word| *word != "│").collect::<Vec<_>>();
        let text = text.join(" ");
        assert!(text.contains(case.says), "{:?}: {text}", case.args);
    }
    let bad = folder.join("bad.json").display().to_string();
    assert!(!quetzal(&["check", &bad]).status.success());
}
