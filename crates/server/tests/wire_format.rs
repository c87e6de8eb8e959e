//! The status reports of an instance keep their format: the fleet's daemon may be of release 0.2.
//!
//! `fixtures/instance.jsonl` holds the reports of release 0.2, with the process id replaced by 77.

use cleatpulley_server::status_report::{
    FleetLink, Status, StatusReporter, CLOSE_LISTENER_REQUEST,
};
use std::io::{Read, Write};
use std::os::unix::net::UnixListener;

#[test]
fn reports_the_status_in_the_format_of_release_0_2() {
    let folder = tempfile::tempdir().expect("folder is usable");
    let socket = folder.path().join("status.sock");
    let listener = UnixListener::bind(&socket).expect("listener accepts connections");
    let token = "0123456789abcdef0123456789abcdef".to_owned();
    let mut reporter = StatusReporter::new(FleetLink {
        socket,
        incarnation: 3,
        token,
    });
    let status = Status {
        warmth: 0.75,
        served: 11,
        expired: 2,
        rejected: 3,
        failed: 4,
        pending: 5,
        is_draining: false,
    };
    reporter.report(&status, None);
    let draining = Status {
        warmth: 1.0,
        pending: 0,
        is_draining: true,
        ..status
    };
    reporter.report(&draining, None);
    drop(reporter);
    let mut report = String::new();
    listener
        .accept()
        .expect("reporter has connected")
        .0
        .read_to_string(&mut report)
        .expect("reports are UTF-8");
    let process = format!("\"pid\":{}}}", std::process::id());
    assert_eq!(
        report.replace(&process, "\"pid\":77}"),
        include_str!("fixtures/instance.jsonl")
    );
}

#[test]
fn a_request_to_close_the_listener_is_taken_once() {
    let folder = tempfile::tempdir().expect("folder is usable");
    let socket = folder.path().join("status.sock");
    let listener = UnixListener::bind(&socket).expect("listener accepts connections");
    let mut reporter = StatusReporter::new(FleetLink {
        socket,
        incarnation: 3,
        token: String::new(),
    });
    reporter.report(&Status::default(), None);
    assert!(!reporter.take_close_request());
    let (mut supervisor, _) = listener.accept().expect("reporter has connected");
    supervisor
        .write_all(CLOSE_LISTENER_REQUEST)
        .expect("reporter is connected");
    reporter.report(&Status::default(), None);
    assert!(reporter.take_close_request());
    reporter.report(&Status::default(), None);
    assert!(!reporter.take_close_request());
}
