//! The CI script that reads the list of tests known to fail, run with a fake cargo that reports fixed
//! test results.

use std::path::Path;
use std::process::{Command, Output};

const SCRIPT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");

/// The fake cargo: `good` passes, `a::bad` fails, and there is no other test.
const FAKE_CARGO: &str = r#"#!/bin/sh
for name; do :; done
case $name in
good) echo "test good ... ok" ;;
a::bad) echo "test a::bad ... FAILED"; exit 101 ;;
esac
"#;

fn run_script(list: Option<&str>, subcommand: &str) -> Output {
    let folder = tempfile::tempdir().expect("create a folder");
    if let Some(list) = list {
        std::fs::write(folder.path().join("KNOWN-RED.txt"), list).expect("write the list");
    }
    let cargo = folder.path().join("cargo.sh");
    std::fs::write(&cargo, FAKE_CARGO).expect("write the fake cargo");
    let cargo = format!("sh {}", cargo.display());
    let script = Path::new(SCRIPT);
    Command::new(script)
        .arg(subcommand)
        .env("CARGO", cargo)
        .current_dir(folder.path())
        .output()
        .expect("run the script")
}

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn skips_no_test_without_a_list() {
    for subcommand in ["skip", "check"] {
        let output = run_script(None, subcommand);
        assert!(
            output.status.success() && output_text(&output).is_empty(),
            "{}",
            output_text(&output)
        );
    }
}

#[test]
fn skips_listed_tests_by_their_full_names_and_prints_the_list() {
    let list = "a::bad, two processes share one place, issue 3\n\n";
    assert_eq!(
        output_text(&run_script(Some(list), "skip")),
        "--exact --skip a::bad"
    );
    let output = run_script(Some(list), "check");
    assert!(output.status.success());
    assert_eq!(
        output_text(&output),
        "known red: a::bad, two processes share one place, issue 3\n"
    );
}

#[test]
fn rejects_invalid_and_outdated_lists() {
    for (list, reason) in [
        ("good, cause, issue 1\n", "passes after all"),
        ("other, cause, issue 1\n", "names no test"),
        ("bad, cause, issue 1\n", "names no test"),
    ] {
        let output = run_script(Some(list), "check");
        assert!(
            !output.status.success() && output_text(&output).contains(reason),
            "{}",
            output_text(&output)
        );
    }
    for (list, reason) in [
        (&*"a::bad, cause, issue 1\n".repeat(4), "three at most"),
        ("a::bad\n", "not 'test, cause, issue'"),
        ("--list, cause, issue 1\n", "no name of a test"),
    ] {
        for subcommand in ["skip", "check"] {
            let output = run_script(Some(list), subcommand);
            assert!(
                !output.status.success() && output_text(&output).contains(reason),
                "{}",
                output_text(&output)
            );
        }
    }
}
