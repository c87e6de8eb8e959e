//! Daily service on real processes: the operators' address, and upgrades in place.

use cleatpulley_emulators::callers::Protocol;
use cleatpulley_emulators::host::with_lock;
use cleatpulley_emulators::matcher::Matcher;
use cleatpulley_emulators::site::{Setup, Site};
use cleatpulley_emulators::trial::{Load, RunningTrial, Trial};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::Duration;

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_cleatpulley"))
}

fn vars(matcher: &Matcher) -> Value {
    let (status, body) = matcher.get("/_vars").expect("figures");
    assert_eq!(status, 200);
    serde_json::from_slice(&body).expect("JSON")
}

/// The figures are those of the books that the callers and the runtime keep.
#[test]
fn the_figures_are_what_callers_and_runtime_saw() {
    let trial = Trial {
        site: Setup {
            seed: 5,
            ..Setup::default()
        },
        loads: vec![Load {
            protocol: Protocol::Frames,
            rates: vec![(1_500_000, 1.2 * Setup::default().capacity())],
            connections: 4,
            body_bytes: 64,
            key_field: None,
        }],
        ajp_options: String::new(),
        operator_sections: String::new(),
        terminate_at: None,
    };
    let mut going = trial.start(&program()).expect("it starts");
    assert_eq!(going.matcher.get("/_ready").expect("an answer").0, 200);
    let end = going.start_at + 1_600_000;
    while going.site.clock.now() < end
        || !going
            .callers
            .iter()
            .all(|callers| with_lock(callers, |callers| callers.is_done()))
    {
        std::thread::sleep(Duration::from_millis(5));
    }
    let told = vars(&going.matcher);
    let report = going.check_rules();
    assert_eq!(report.violations, Vec::<String>::new());
    for (_, class, tally) in &report.tallies {
        let operation = &told["operations"][class];
        let refused = tally.rejected_with_retry_after + tally.rejected_without_retry_after;
        assert_eq!(
            operation["fulfilled"],
            tally.on_time + tally.late,
            "{class}: {told}"
        );
        assert_eq!(operation["throttled"], refused, "{class}: {told}");
        assert_eq!(operation["faulted"], tally.failed, "{class}: {told}");
    }
    assert_eq!(told["open_requests"], 0);
    assert!(told["relayed"].as_u64() > Some(50), "{told}");
}

/// Guards against callers that hold connections and ask nothing, at both addresses, more of them than there are places.
#[test]
fn operators_are_answered_beside_a_silent_crowd() {
    let site = Site::start(Setup {
        sockets: 256,
        ..Setup::default()
    })
    .expect("a site");
    let matcher = Matcher::start(&program(), &site.config, None).expect("it starts");
    let mgmt = matcher.mgmt.expect("the management endpoint serves");
    let mut crowd: Vec<TcpStream> = Vec::new();
    for n in 0..600 {
        let to = if n % 2 == 0 { mgmt } else { matcher.frames };
        let mut stream = TcpStream::connect(to).expect("it listens");
        stream.write_all(b"GET /_vars HT").expect("it is taken");
        crowd.push(stream);
        if n % 40 == 0 {
            assert_eq!(matcher.get("/_ready").expect("an answer").0, 200);
        }
    }
    assert_eq!(matcher.get("/_vars").expect("an answer").0, 200);
    assert_eq!(matcher.get("/nothing").expect("an answer").0, 404);
    assert!(
        matcher.descriptor_count().is_none_or(|held| held <= 256),
        "{:?}",
        matcher.descriptor_count()
    );
    // One call a connection, whole or in pieces.
    let mut stream = TcpStream::connect(mgmt).expect("it listens");
    stream
        .write_all(b"GET /_ready HTTP/1.1\r\n")
        .expect("it is taken");
    stream
        .write_all(b"\r\nGET /_vars HTTP/1.1\r\n\r\n")
        .expect("it is taken");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("an answer and the end");
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
}

/// Callers at most of the cores' capacity, by frames and by AJP.
fn under_load(share: f64, seconds: f64, processes: usize, seed: u64) -> Trial {
    let site = Setup {
        seed,
        runtime_address_count: processes,
        ..Setup::default()
    };
    let load = |front, share: f64| Load {
        protocol: front,
        rates: vec![((seconds * 1e6) as u64, share * site.capacity())],
        connections: if front == Protocol::Frames { 4 } else { 48 },
        body_bytes: 64,
        key_field: None,
    };
    let loads = vec![
        load(Protocol::Frames, 0.7 * share),
        load(Protocol::Ajp, 0.3 * share),
    ];
    Trial {
        site,
        loads,
        ajp_options: String::new(),
        operator_sections: String::new(),
        terminate_at: None,
    }
}

fn all_done(going: &RunningTrial) -> bool {
    going
        .callers
        .iter()
        .all(|callers| with_lock(callers, |callers| callers.is_done()))
}

/// No request is lost, refused at the door or run twice, however often the process is replaced.
#[test]
fn twenty_upgrades_in_a_row_under_load_lose_nothing() {
    const UPGRADES: usize = 20;
    let trial = under_load(0.8, 9.0, UPGRADES + 1, 11);
    let mut going = trial.start(&program()).expect("it starts");
    std::thread::sleep(Duration::from_millis(300));
    for number in 1..=UPGRADES {
        let (ready, left) = going.upgrade(&program(), number).expect("an upgrade");
        assert!(
            ready < Duration::from_secs(2),
            "{number}: ready after {ready:?}"
        );
        assert!(
            left < Duration::from_millis(3_700),
            "{number}: left after {left:?}"
        );
    }
    while !all_done(&going) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let report = going.check_rules();
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
    let unreachable: u64 = report
        .tallies
        .iter()
        .map(|(.., tally)| tally.not_sent)
        .sum();
    assert_eq!(unreachable, 0, "{report}");
    let frames = report.total(Protocol::Frames);
    assert!(frames.on_time * 100 > frames.issued * 90, "{report}");
}

/// The new process dies in each step of an upgrade: the old one serves on, and the next attempt succeeds. Where the old one
/// dies after the hand-over, nothing that waits is lost.
#[test]
fn whoever_dies_in_an_upgrade_the_other_goes_on() {
    let trial = under_load(0.5, 6.0, 12, 12);
    let mut going = trial.start(&program()).expect("it starts");
    // Before it listens, while it asks, and after it has taken over, when what it read dies with it.
    for (number, words) in [
        "",
        "management endpoint serves",
        "listens on",
        "takes clients",
    ]
    .iter()
    .enumerate()
    {
        let mut new = going
            .begin_upgrade(&program(), number + 1)
            .expect("it starts");
        if !words.is_empty() {
            new.wait_for_log(words).expect("it gets there");
        }
        new.kill();
        let begun = std::time::Instant::now();
        while !matches!(going.matcher.get("/_ready"), Ok((200, _))) {
            assert!(
                begun.elapsed() < Duration::from_secs(2),
                "the old one serves again: {words}"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    going
        .upgrade(&program(), 6)
        .expect("the next attempt succeeds");
    while !all_done(&going) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let report = going.check_rules();
    let broken: Vec<_> = report
        .violations
        .iter()
        .filter(|what| !what.contains("without a response"))
        .collect();
    assert!(broken.is_empty(), "{report}");
    let lost: u64 = report
        .tallies
        .iter()
        .map(|(.., tally)| tally.unanswered)
        .sum();
    assert!(
        lost < 40,
        "only what the one that took over had read is lost: {report}"
    );
}

/// A second upgrade begins while the first old process still answers what it read: three processes are alive.
#[test]
fn a_second_upgrade_may_come_while_the_first_is_not_over() {
    let trial = under_load(0.7, 3.0, 4, 13);
    let mut going = trial.start(&program()).expect("it starts");
    std::thread::sleep(Duration::from_millis(500));
    let mut second = going.begin_upgrade(&program(), 1).expect("it starts");
    second.wait_ready(Duration::from_secs(6)).expect("ready");
    let mut first = std::mem::replace(&mut going.matcher, second);
    let mut third = going.begin_upgrade(&program(), 2).expect("it starts");
    third.wait_ready(Duration::from_secs(6)).expect("ready");
    let mut second = std::mem::replace(&mut going.matcher, third);
    assert!(first.is_alive() && second.is_alive());
    first.terminate();
    second.terminate();
    for old in [&mut first, &mut second] {
        assert!(old
            .wait_for_exit(Duration::from_secs(4))
            .expect("it ends")
            .success());
    }
    while !all_done(&going) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let report = going.check_rules();
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
}

/// The middle one of three processes is killed while the first still answers: the first goes behind the third, takes no clients
/// beside it, and nothing is lost but what the dead one had read.
#[test]
fn the_first_of_three_goes_behind_the_third_when_the_middle_one_is_killed() {
    let trial = under_load(0.7, 3.0, 4, 17);
    let mut going = trial.start(&program()).expect("it starts");
    std::thread::sleep(Duration::from_millis(500));
    let mut second = going.begin_upgrade(&program(), 1).expect("it starts");
    second.wait_ready(Duration::from_secs(6)).expect("ready");
    let mut first = std::mem::replace(&mut going.matcher, second);
    let mut third = going.begin_upgrade(&program(), 2).expect("it starts");
    third.wait_ready(Duration::from_secs(6)).expect("ready");
    let mut second = std::mem::replace(&mut going.matcher, third);
    first.terminate();
    second.kill();
    // Where the first had answered all by then, there is nobody to go behind.
    if first.is_alive() {
        let _ = going
            .matcher
            .wait_for_log("connected to an earlier predecessor");
    }
    assert!(first
        .wait_for_exit(Duration::from_secs(4))
        .expect("it ends")
        .success());
    while !all_done(&going) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let report = going.check_rules();
    let broken: Vec<_> = report
        .violations
        .iter()
        .filter(|what| !what.contains("without a response"))
        .collect();
    assert!(broken.is_empty(), "{report}");
    let total = |of: fn(&cleatpulley_emulators::callers::Tally) -> u64| -> u64 {
        report.tallies.iter().map(|(.., tally)| of(tally)).sum()
    };
    assert!(
        total(|tally| tally.unanswered) < 40,
        "only what the dead one had read: {report}"
    );
    assert_eq!(total(|tally| tally.not_sent), 0, "{report}");
}

/// Guards against an address that is shared by mistake: a process that can't take another's place does not listen beside it.
#[test]
fn a_stranger_on_the_address_is_a_fault() {
    let site = Site::start(Setup {
        runtime_address_count: 2,
        ..Setup::default()
    })
    .expect("a site");
    let matcher = Matcher::start(&program(), &site.config, None).expect("it starts");
    let mut config = site.config.clone();
    config["name"] = "n2".into();
    let mut stranger = matcher
        .start_successor(&program(), &config)
        .expect("it starts");
    assert!(!stranger
        .wait_for_exit(Duration::from_secs(10))
        .expect("it ends")
        .success());
    assert!(
        stranger
            .wait_for_log("another process listens there")
            .is_ok(),
        "{}",
        stranger.log().join("\n")
    );
    assert_eq!(matcher.get("/_ready").expect("an answer").0, 200);
}
