//! What an instance says to its fleet's daemon keeps its bytes: the daemon may be of release 0.2.
//!
//! `fixtures/instance.jsonl` is what release 0.2 says, with 77 in the place of the process id.

use cleatpulley_server::status_report::{FleetLink, Status, StatusReporter};
use std::io::Read;
use std::os::unix::net::UnixListener;

#[test]
fn says_to_the_daemon_what_release_0_2_says() {
    let folder = tempfile::tempdir().expect("a folder");
    let socket = folder.path().join("status.sock");
    let listener = UnixListener::bind(&socket).expect("it listens");
    let token = "0123456789abcdef0123456789abcdef".to_owned();
    let mut reporter = StatusReporter::new(
        FleetLink {
            socket,
            incarnation: 3,
            token,
        },
        None,
    );
    let status = Status {
        warmth: 0.75,
        served: 11,
        expired: 2,
        rejected: 3,
        failed: 4,
        pending: 5,
        is_draining: false,
    };
    reporter.report(&status);
    reporter.report(&Status {
        warmth: 1.0,
        pending: 0,
        is_draining: true,
        ..status
    });
    drop(reporter);
    let mut said = String::new();
    listener
        .accept()
        .expect("it came")
        .0
        .read_to_string(&mut said)
        .expect("text");
    let process = format!("\"pid\":{}}}", std::process::id());
    assert_eq!(
        said.replace(&process, "\"pid\":77}"),
        include_str!("fixtures/instance.jsonl")
    );
}
