//! Daily service on real processes: the operators' address, and upgrades in place.

use cleatpulley_standin::callers::Front;
use cleatpulley_standin::host::look;
use cleatpulley_standin::matcher::Matcher;
use cleatpulley_standin::site::{Setup, Site};
use cleatpulley_standin::trial::{Load, Trial};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::Duration;

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_cleatpulley"))
}

fn vars(matcher: &Matcher) -> Value {
    let (status, body) = matcher.ask("/_vars").expect("figures");
    assert_eq!(status, 200);
    serde_json::from_slice(&body).expect("JSON")
}

/// The figures are those of the books that the callers and the runtime keep.
#[test]
fn the_figures_are_what_callers_and_runtime_saw() {
    let trial = Trial {
        site: Setup { seed: 5, ..Setup::default() },
        loads: vec![Load {
            front: Front::Frames,
            rates: vec![(1_500_000, 1.2 * Setup::default().capacity())],
            connections: 4,
            body: 64,
            key_field: None,
        }],
        ajp: String::new(),
        outside: String::new(),
        leave_at: None,
    };
    let mut going = trial.start(&program()).expect("it starts");
    assert_eq!(going.matcher.ask("/_ready").expect("an answer").0, 200);
    let end = going.begin + 1_600_000;
    while going.site.clock.now() < end
        || !going.callers.iter().all(|callers| look(callers, |callers| callers.is_done()))
    {
        std::thread::sleep(Duration::from_millis(5));
    }
    let told = vars(&going.matcher);
    let report = going.judge();
    assert_eq!(report.broken, Vec::<String>::new());
    for (_, class, tally) in &report.tallies {
        let operation = &told["operations"][class];
        let refused = tally.refused_with_time + tally.refused_bare;
        assert_eq!(operation["fulfilled"], tally.in_time + tally.late, "{class}: {told}");
        assert_eq!(operation["throttled"], refused, "{class}: {told}");
        assert_eq!(operation["faulted"], tally.failed, "{class}: {told}");
    }
    assert_eq!(told["open_requests"], 0);
    assert!(told["relayed"].as_u64() > Some(50), "{told}");
}

/// Guards against callers that hold connections and ask nothing, at both addresses, more of them than there are places.
#[test]
fn operators_are_answered_beside_a_silent_crowd() {
    let site = Site::start(Setup { sockets: 256, ..Setup::default() }).expect("a site");
    let matcher = Matcher::start(&program(), &site.config, None).expect("it starts");
    let mgmt = matcher.mgmt.expect("operators are answered");
    let mut crowd: Vec<TcpStream> = Vec::new();
    for n in 0..600 {
        let to = if n % 2 == 0 { mgmt } else { matcher.frames };
        let mut stream = TcpStream::connect(to).expect("it listens");
        stream.write_all(b"GET /_vars HT").expect("it is taken");
        crowd.push(stream);
        if n % 40 == 0 {
            assert_eq!(matcher.ask("/_ready").expect("an answer").0, 200);
        }
    }
    assert_eq!(matcher.ask("/_vars").expect("an answer").0, 200);
    assert_eq!(matcher.ask("/nothing").expect("an answer").0, 404);
    assert!(matcher.descriptors().is_none_or(|held| held <= 256), "{:?}", matcher.descriptors());
    // One call a connection, whole or in pieces.
    let mut stream = TcpStream::connect(mgmt).expect("it listens");
    stream.write_all(b"GET /_ready HTTP/1.1\r\n").expect("it is taken");
    stream.write_all(b"\r\nGET /_vars HTTP/1.1\r\n\r\n").expect("it is taken");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer and the end");
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
}
