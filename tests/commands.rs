//! Runs the real `quetzal` tool with the commands of operators.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn quetzal(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_quetzal")).args(args).output().unwrap()
}

fn stdout(output: &Output) -> String {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn dir(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

#[test]
fn configuration_commands_generate_check_edit_and_compare() {
    let dir = dir("operators");
    let old = dir.join("v1.json").display().to_string();
    let new = dir.join("v2.json").display().to_string();
    stdout(&quetzal(&["questionnaire", "--out", &old, "examples/answers/tarlac.toml"]));
    assert!(stdout(&quetzal(&["check", &old])).contains("version 1 of tarlac is valid"));
    let taken_out = stdout(&quetzal(&["take-out", "--domain", "east", &old]));
    std::fs::write(&new, taken_out).unwrap();
    let changes = stdout(&quetzal(&["diff", &old, &new]));
    assert_eq!(changes, "fleet.domains.east.out: false -> true\nversion: 1 -> 2\n");
    let brought_back = stdout(&quetzal(&["bring-back", "--domain", "east", &new]));
    assert!(brought_back.contains("\"version\": 3"));
    assert!(stdout(&quetzal(&["diff", &old, &old])).contains("nothing differs"));
    let explanation = stdout(&quetzal(&["explain", &old, "fuel-ledger"]));
    assert!(explanation.contains("fuel-ledger-0-0 in north: owned by entry-"), "{explanation}");
}

#[test]
fn invalid_commands_name_the_remedy() {
    struct Case {
        args: &'static [&'static str],
        message: &'static str,
    }
    let dir = dir("wrong");
    std::fs::write(dir.join("bad.json"), "{").unwrap();
    let cases = [
        Case { args: &["check", "no-such-file.json"], message: "check that the file exists" },
        Case { args: &["measure", "--scenario", "storm"], message: "steady, straggler" },
        Case { args: &["measure", "--deployment", "none"], message: "tarlac, moka-labs" },
        Case { args: &["measure", "--policy", "none"], message: "no-hedging" },
        Case { args: &["entry-hosts"], message: "at least one entry host" },
        Case { args: &["questionnaire", "Cargo.toml"], message: "answers file" },
    ];
    for case in cases {
        let output = quetzal(case.args);
        assert!(!output.status.success(), "{:?}", case.args);
        // The error output wraps long lines and marks them with a bar.
        let text = String::from_utf8_lossy(&output.stderr);
        let text = text.split_whitespace().filter(|word| *word != "│").collect::<Vec<_>>();
        let text = text.join(" ");
        assert!(text.contains(case.message), "{:?}: {text}", case.args);
    }
    let bad = dir.join("bad.json").display().to_string();
    assert!(!quetzal(&["check", &bad]).status.success());
}
