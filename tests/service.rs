//! Operation of real processes: the management address, and upgrades without downtime.

use cleatpulley_emulators::callers::{request_frame_now, Protocol};
use cleatpulley_emulators::host::with_lock;
use cleatpulley_emulators::matcher::Matcher;
use cleatpulley_emulators::site::{Setup, Site};
use cleatpulley_emulators::trial::{Load, RunningTrial, Trial};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_cleatpulley"))
}

fn vars(matcher: &Matcher) -> Value {
    let (status, body) = matcher.get("/_vars").expect("get /_vars");
    assert_eq!(status, 200);
    serde_json::from_slice(&body).expect("valid JSON")
}

/// The reported counts equal those that the callers recorded.
#[test]
fn the_reported_counts_equal_those_of_the_callers() {
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
    let mut trial_run = trial.start(&program()).expect("start the process");
    assert_eq!(
        trial_run.matcher.get("/_ready").expect("get a response").0,
        200
    );
    let end = trial_run.start_at + 1_600_000;
    while trial_run.site.clock.now() < end
        || !trial_run
            .callers
            .iter()
            .all(|callers| with_lock(callers, |callers| callers.is_done()))
    {
        std::thread::sleep(Duration::from_millis(5));
    }
    let figures = vars(&trial_run.matcher);
    let report = trial_run.check_rules();
    assert_eq!(report.violations, Vec::<String>::new());
    for (_, class, tally) in &report.tallies {
        let operation = &figures["operations"][class];
        let refused = tally.rejected_with_retry_after + tally.rejected_without_retry_after;
        assert_eq!(
            operation["fulfilled"],
            tally.on_time + tally.late,
            "{class}: {figures}"
        );
        assert_eq!(operation["throttled"], refused, "{class}: {figures}");
        assert_eq!(operation["faulted"], tally.failed, "{class}: {figures}");
    }
    assert_eq!(figures["open_requests"], 0);
    assert!(figures["relayed"].as_u64() > Some(50), "{figures}");
}

/// Guards against callers that hold more connections than there are places at both addresses and never
/// send a complete request.
#[test]
fn the_management_address_responds_while_silent_connections_take_all_places() {
    let site = Site::start(Setup {
        sockets: 256,
        ..Setup::default()
    })
    .expect("start the emulated services");
    let matcher = Matcher::start(&program(), &site.config, None).expect("start the process");
    let mgmt = matcher.mgmt.expect("the management endpoint serves");
    let mut silent_connections: Vec<TcpStream> = Vec::new();
    for n in 0..600 {
        let to = if n % 2 == 0 { mgmt } else { matcher.frames };
        let mut stream = TcpStream::connect(to).expect("connect to the process");
        stream.write_all(b"GET /_vars HT").expect("send the bytes");
        silent_connections.push(stream);
        if n % 40 == 0 {
            assert_eq!(matcher.get("/_ready").expect("get a response").0, 200);
        }
    }
    assert_eq!(matcher.get("/_vars").expect("get a response").0, 200);
    assert_eq!(matcher.get("/nothing").expect("get a response").0, 404);
    assert!(
        matcher.descriptor_count().is_none_or(|held| held <= 256),
        "{:?}",
        matcher.descriptor_count()
    );
    // One request per connection, complete or in pieces.
    let mut stream = TcpStream::connect(mgmt).expect("connect to the process");
    stream
        .write_all(b"GET /_ready HTTP/1.1\r\n")
        .expect("send the bytes");
    stream
        .write_all(b"\r\nGET /_vars HTTP/1.1\r\n\r\n")
        .expect("send the bytes");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("read until the end");
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
}

/// Returns a trial with callers in both protocols at this share of the cores' capacity.
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

fn all_callers_done(trial_run: &RunningTrial) -> bool {
    trial_run
        .callers
        .iter()
        .all(|callers| with_lock(callers, |callers| callers.is_done()))
}

/// No request is lost, left unsent or run twice, however often the process is replaced.
#[test]
fn twenty_upgrades_in_a_row_under_load_lose_nothing() {
    const UPGRADES: usize = 20;
    let trial = under_load(0.8, 9.0, UPGRADES + 1, 11);
    let mut trial_run = trial.start(&program()).expect("start the process");
    std::thread::sleep(Duration::from_millis(300));
    for number in 1..=UPGRADES {
        let (ready, left) = trial_run
            .upgrade(&program(), number)
            .expect("upgrade the matcher");
        assert!(
            ready < Duration::from_secs(2),
            "{number}: ready after {ready:?}"
        );
        assert!(
            left < Duration::from_millis(3_700),
            "{number}: left after {left:?}"
        );
    }
    while !all_callers_done(&trial_run) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let report = trial_run.check_rules();
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

/// The new process is killed in each step of an upgrade: the old one continues to serve, and the next
/// attempt succeeds. Only requests that the new process had read are lost.
#[test]
fn when_the_new_process_dies_during_an_upgrade_the_old_one_continues() {
    let trial = under_load(0.5, 6.0, 12, 12);
    let mut trial_run = trial.start(&program()).expect("start the process");
    // Before it listens, while it connects to its predecessor, and after it has taken over, when the
    // requests that it read are lost with it.
    for (number, log_text) in [
        "",
        "management endpoint serves",
        "listens on",
        "takes clients",
    ]
    .iter()
    .enumerate()
    {
        let mut new = trial_run
            .begin_upgrade(&program(), number + 1)
            .expect("start the process");
        if !log_text.is_empty() {
            new.wait_for_log(log_text).expect("the new process logs it");
        }
        new.kill();
        let begun = std::time::Instant::now();
        while !matches!(trial_run.matcher.get("/_ready"), Ok((200, _))) {
            assert!(
                begun.elapsed() < Duration::from_secs(2),
                "the old one serves again: {log_text}"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    trial_run
        .upgrade(&program(), 6)
        .expect("the next attempt succeeds");
    while !all_callers_done(&trial_run) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let report = trial_run.check_rules();
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
        "only requests that the new process had read are lost: {report}"
    );
}

/// A second upgrade starts while the first old process still answers requests that it read: three
/// processes are alive.
#[test]
fn a_second_upgrade_can_start_before_the_first_is_complete() {
    let trial = under_load(0.7, 3.0, 4, 13);
    let mut trial_run = trial.start(&program()).expect("start the process");
    std::thread::sleep(Duration::from_millis(500));
    let mut second = trial_run
        .begin_upgrade(&program(), 1)
        .expect("start the process");
    second
        .wait_ready(Duration::from_secs(6))
        .expect("the new process is ready");
    let mut first = std::mem::replace(&mut trial_run.matcher, second);
    let mut third = trial_run
        .begin_upgrade(&program(), 2)
        .expect("start the process");
    third
        .wait_ready(Duration::from_secs(6))
        .expect("the new process is ready");
    let mut second = std::mem::replace(&mut trial_run.matcher, third);
    assert!(first.is_alive() && second.is_alive());
    first.terminate();
    second.terminate();
    for old in [&mut first, &mut second] {
        assert!(old
            .wait_for_exit(Duration::from_secs(4))
            .expect("wait for the exit")
            .success());
    }
    while !all_callers_done(&trial_run) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let report = trial_run.check_rules();
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
}

/// The middle one of three processes is killed while the first still answers requests: the first becomes
/// the predecessor of the third, admits no clients beside it, and only requests that the killed process
/// had read are lost.
#[test]
fn the_first_of_three_becomes_the_predecessor_of_the_third_when_the_second_is_killed() {
    let trial = under_load(0.7, 3.0, 4, 17);
    let mut trial_run = trial.start(&program()).expect("start the process");
    std::thread::sleep(Duration::from_millis(500));
    let mut second = trial_run
        .begin_upgrade(&program(), 1)
        .expect("start the process");
    second
        .wait_ready(Duration::from_secs(6))
        .expect("the new process is ready");
    let mut first = std::mem::replace(&mut trial_run.matcher, second);
    let mut third = trial_run
        .begin_upgrade(&program(), 2)
        .expect("start the process");
    third
        .wait_ready(Duration::from_secs(6))
        .expect("the new process is ready");
    let mut second = std::mem::replace(&mut trial_run.matcher, third);
    first.terminate();
    second.kill();
    // If the first had answered all its requests by then, it has exited and does not connect.
    if first.is_alive() {
        let _ = trial_run
            .matcher
            .wait_for_log("connected to an earlier predecessor");
    }
    assert!(first
        .wait_for_exit(Duration::from_secs(4))
        .expect("wait for the exit")
        .success());
    while !all_callers_done(&trial_run) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let report = trial_run.check_rules();
    let broken: Vec<_> = report
        .violations
        .iter()
        .filter(|what| !what.contains("without a response"))
        .collect();
    assert!(broken.is_empty(), "{report}");
    let total = |count: fn(&cleatpulley_emulators::callers::Tally) -> u64| -> u64 {
        report.tallies.iter().map(|(.., tally)| count(tally)).sum()
    };
    assert!(
        total(|tally| tally.unanswered) < 40,
        "only requests that the killed process had read are lost: {report}"
    );
    assert_eq!(total(|tally| tally.not_sent), 0, "{report}");
}

/// Guards against an address that is shared by mistake: a process that can't succeed another one does
/// not listen on the same address.
#[test]
fn a_process_with_another_name_on_the_same_address_fails() {
    let site = Site::start(Setup {
        runtime_address_count: 2,
        ..Setup::default()
    })
    .expect("start the emulated services");
    let matcher = Matcher::start(&program(), &site.config, None).expect("start the process");
    let mut config = site.config.clone();
    config["name"] = "n2".into();
    let mut intruder = matcher
        .start_successor(&program(), &config)
        .expect("start the process");
    assert!(!intruder
        .wait_for_exit(Duration::from_secs(10))
        .expect("wait for the exit")
        .success());
    assert!(
        intruder
            .wait_for_log("another process listens there")
            .is_ok(),
        "{}",
        intruder.log().join("\n")
    );
    assert_eq!(matcher.get("/_ready").expect("get a response").0, 200);
}

/// Forwards connections to an address, from the moment it is started.
fn forward_connections(from: SocketAddr, to: SocketAddr) {
    let listener = TcpListener::bind(from).expect("bind the port");
    std::thread::spawn(move || {
        for incoming in listener.incoming().flatten() {
            let Ok(outgoing) = TcpStream::connect(to) else {
                return;
            };
            for (source, target) in [(&incoming, &outgoing), (&outgoing, &incoming)] {
                let (mut source, mut target) = (
                    source.try_clone().expect("clone the socket"),
                    target.try_clone().expect("clone the socket"),
                );
                std::thread::spawn(move || {
                    let _ = std::io::copy(&mut source, &mut target);
                    let _ = target.shutdown(std::net::Shutdown::Write);
                });
            }
        }
    });
}

/// Guards against a rollback that still gives way to the new process: its runtime comes up after it was
/// told to leave, and it would take the clients only to reject them.
#[test]
fn a_process_that_was_told_to_leave_does_not_take_the_clients() {
    let trial = under_load(0.4, 5.0, 2, 19);
    let mut trial_run = trial.start(&program()).expect("start the process");
    let unused = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let runtime_address = unused.local_addr().expect("the port of a socket");
    drop(unused);
    let mut config = trial_run.site.config.clone();
    config["runtime"] = runtime_address.to_string().into();
    let mut new = trial_run
        .matcher
        .start_successor(&program(), &config)
        .expect("start the process");
    new.wait_for_log("which was passed on")
        .expect("the new process has the listeners");
    new.terminate();
    new.wait_for_log("leaving within")
        .expect("the new process was told to leave");
    forward_connections(runtime_address, trial_run.site.runtime_addresses[1]);
    new.wait_for_log("runtime: running")
        .expect("its runtime is up");
    assert!(new
        .wait_for_exit(Duration::from_secs(5))
        .expect("wait for the exit")
        .success());
    while !all_callers_done(&trial_run) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let new_log = new.log().join("\n");
    assert!(!new_log.contains("takes clients"), "{new_log}");
    let report = trial_run.check_rules();
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
}

/// Sends a request with this id on a connection of its own; returns the code of its response.
fn response_code(address: SocketAddr, id: u64) -> u8 {
    let mut stream = TcpStream::connect(address).expect("connect to the process");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("option is set");
    stream
        .write_all(&request_frame_now(1, "claim-seat", id, 10.0, b"seat 7"))
        .expect("send the request");
    // Length, type and stream come before the code.
    let mut head = [0; 10];
    stream.read_exact(&mut head).expect("read the response");
    assert_eq!(head[4], 1, "a response frame");
    head[9]
}

/// Guards against an id that runs at both processes of an upgrade.
#[test]
fn an_id_that_ran_at_the_predecessor_does_not_run_at_its_successor() {
    const SERVED: u8 = 0;
    const FAILED: u8 = 2;
    let site = Site::start(Setup::default()).expect("start the emulated services");
    let mut old = Matcher::start(&program(), &site.config, None).expect("start the process");
    assert_eq!(response_code(old.frames, 0xa1), SERVED);
    assert_eq!(response_code(old.frames, 0xa1), FAILED);
    let mut new = old
        .start_successor(&program(), &site.config)
        .expect("start the successor");
    new.wait_ready(Duration::from_secs(10))
        .expect("the successor serves");
    assert_eq!(response_code(new.frames, 0xa1), FAILED);
    assert_eq!(response_code(new.frames, 0xa2), SERVED);
    // After a rollback the old process knows what the new one ran.
    new.terminate();
    new.wait_for_exit(Duration::from_secs(20))
        .expect("the successor ends");
    old.wait_for_log("takes clients again")
        .expect("the old process serves again");
    assert_eq!(response_code(old.frames, 0xa2), FAILED);
    assert_eq!(response_code(old.frames, 0xa3), SERVED);
}
