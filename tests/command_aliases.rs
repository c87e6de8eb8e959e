//! Renamed subcommands can still be called by their former names.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cleatpulley"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn help(arguments: &[&str]) -> String {
    let output = run(&[arguments, &["--help"]].concat());
    assert!(output.status.success(), "{arguments:?}: {output:?}");
    String::from_utf8(output.stdout).expect("the help is UTF-8")
}

/// Returns the help without its usage line, which has the name that was typed.
fn help_body(arguments: &[&str]) -> Vec<String> {
    help(arguments)
        .lines()
        .filter(|line| !line.starts_with("Usage:"))
        .map(str::to_owned)
        .collect()
}

#[test]
fn accepts_former_names_of_subcommands() {
    let renamed = [
        ("keep", "log-store"),
        ("results", "idempotency"),
        ("seeds", "simulator"),
        ("standin", "emulators"),
    ];
    for (former, current) in renamed {
        assert_eq!(help_body(&[former]), help_body(&[current]));
    }
}

#[test]
fn accepts_former_names_of_checks() {
    for (former, current) in [
        ("admission", "connection-admission"),
        ("results", "idempotency"),
        ("seeds", "simulator"),
    ] {
        assert_eq!(
            help_body(&["check", former]),
            help_body(&["check", current])
        );
    }
}

#[test]
fn hides_former_names_in_the_help() {
    let help = help(&[]);
    let listed: Vec<&str> = help
        .lines()
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    for former in ["keep", "results", "seeds", "standin"] {
        assert!(!listed.contains(&former), "{former} is listed:\n{help}");
    }
}
