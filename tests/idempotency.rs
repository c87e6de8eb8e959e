//! Stored results of keyed requests, on a real process with real files and sockets.

use cleatpulley_emulators::callers::Protocol;
use cleatpulley_emulators::host::with_lock;
use cleatpulley_emulators::keyed_retries::{KillTrial, KEY_FIELD};
use cleatpulley_emulators::matcher::Matcher;
use cleatpulley_emulators::site::Site;
use cleatpulley_emulators::trial::{Load, Trial};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_cleatpulley"))
}

/// Callers repeat the same keys without limit while the matcher is killed at random points and the
/// runtime lives on.
#[test]
fn a_matcher_that_is_killed_repeatedly_runs_no_key_twice() {
    let dir = tempfile::tempdir().expect("create a folder");
    let kills = KillTrial {
        kills: 120,
        seed: 11,
    };
    let (seen, keys) = kills
        .run(&program(), &dir.path().join("kept"))
        .expect("run the trial");
    assert_eq!(seen.violations, Vec::<String>::new(), "{seen:?}");
    // The kills must have interrupted requests, or the test proves nothing.
    assert!(
        keys > 50 && seen.served_repeats > 50 && seen.unknown > 10,
        "{keys} keys, {seen:?}"
    );
}

/// A client connection that speaks frames.
struct FrameClient {
    stream: TcpStream,
    streams: u32,
    key_field: &'static str,
}

impl FrameClient {
    fn new(matcher: &Matcher) -> Self {
        let stream = TcpStream::connect(matcher.frames).expect("connect to the process");
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .expect("set the timeout");
        Self {
            stream,
            streams: 0,
            key_field: KEY_FIELD,
        }
    }

    fn send_request(&mut self, id: u64, key: &str, body: &str) {
        self.streams += 1;
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .expect("the clock is past 1970");
        let (id, now) = (format!("{id:016x}"), now.as_millis().to_string());
        let fields = [
            ("verb", "claim-seat"),
            ("txn", &id),
            ("door", &now),
            ("lb", "1"),
            ("cpu", "2.0"),
            ("ram", "10"),
            ("standing", "0.5"),
            (self.key_field, key),
        ];
        let mut payload = vec![fields.len() as u8];
        for (name, value) in fields {
            payload.push(name.len() as u8);
            payload.extend_from_slice(name.as_bytes());
            payload.extend_from_slice(&(value.len() as u16).to_be_bytes());
            payload.extend_from_slice(value.as_bytes());
        }
        payload.extend_from_slice(body.as_bytes());
        let mut frame = (payload.len() as u32 + 5).to_be_bytes().to_vec();
        frame.push(0);
        frame.extend_from_slice(&self.streams.to_be_bytes());
        frame.extend_from_slice(&payload);
        self.stream.write_all(&frame).expect("send the bytes");
    }

    /// Returns the code and the body of the next response, without its fields.
    fn read_response(&mut self) -> (u8, Vec<u8>) {
        loop {
            let mut head = [0; 9];
            self.stream.read_exact(&mut head).expect("read a response");
            let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
            let mut payload = vec![0; length - 5];
            self.stream
                .read_exact(&mut payload)
                .expect("read the payload");
            if head[4] != 1 {
                continue;
            }
            let mut rest = &payload[2..];
            for _ in 0..payload[1] {
                let name = usize::from(rest[0]);
                let value = usize::from(u16::from_be_bytes([rest[1 + name], rest[2 + name]]));
                rest = &rest[3 + name + value..];
            }
            return (payload[0], rest.to_vec());
        }
    }
}

fn operator(folder: &Path) -> String {
    format!(
        "{{ ajp: {{ listen: ['127.0.0.1:0'], routes: [{{ path: '/claim-seat', class: 'claim-seat' }}], \
         figures: {{ id: 'X-Request-Id', key: 'Idempotency-Key' }} }}, {} }}",
        KillTrial::operator_section(folder)
    )
}

fn request_by_ajp(matcher: &Matcher, id: &str, key: &str, body: &str) -> Output {
    let (id, key) = (
        format!("X-Request-Id:{id}"),
        format!("Idempotency-Key:{key}"),
    );
    let at = matcher.ajp.expect("an AJP address").to_string();
    let args = [
        "ajp",
        "request",
        at.as_str(),
        "/claim-seat",
        "-H",
        &id,
        "-H",
        &key,
        "--body",
        body,
    ];
    Command::new(program())
        .args(args)
        .output()
        .expect("run the command")
}

/// Concurrent attempts with one key on several connections share one run, as do later attempts, also
/// after a restart and when the first caller has left. A request with the same key and another body is
/// rejected with a message of its own. Requests over AJP have another owner and thus a run of their own.
#[test]
fn repeats_share_one_run_in_both_protocols_and_after_a_restart() {
    let dir = tempfile::tempdir().expect("create a folder");
    let folder = dir.path().join("kept");
    let mut setup = KillTrial::site(3);
    setup.classes[0].work = (150_000, 150_000);
    let site = Site::start(setup).expect("start the emulated services");
    let matcher = Matcher::start(&program(), &site.config, Some(&operator(&folder)))
        .expect("start the process");
    let mut first = FrameClient::new(&matcher);
    first.send_request(1, "a", "seat 7");
    let mut clients: Vec<FrameClient> = (0..6).map(|_| FrameClient::new(&matcher)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_request(10 + n as u64, "a", "seat 7");
        client.send_request(20 + n as u64, "a", "seat 7");
    }
    // The first caller leaves while it runs.
    while with_lock(&site.runtime, |runtime| runtime.running_count()) == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    drop(first);
    let ajp_response = request_by_ajp(&matcher, "00000000000000aa", "a", "seat 7");
    // Keys belong to a caller, which is 1 over frames and 0 over AJP: the key spaces differ, and so do
    // the runs.
    assert!(ajp_response.status.success(), "{ajp_response:?}");
    let expected = (0, cleatpulley_emulators::runtime::result_of(1));
    for client in &mut clients {
        assert_eq!(
            (client.read_response(), client.read_response()),
            (expected.clone(), expected.clone())
        );
    }
    let again = request_by_ajp(&matcher, "00000000000000ab", "a", "seat 7");
    assert_eq!(
        again.stdout, ajp_response.stdout,
        "the responses are identical"
    );
    let taken = request_by_ajp(&matcher, "00000000000000ac", "a", "seat 8");
    assert!(
        String::from_utf8_lossy(&taken.stdout).starts_with("422"),
        "{taken:?}"
    );
    clients[0].send_request(40, "a", "seat 8");
    assert_eq!(
        clients[0].read_response(),
        (2, b"the key belongs to another request".to_vec())
    );
    drop(matcher);
    let mut matcher = Matcher::start(&program(), &site.config, Some(&operator(&folder)))
        .expect("restart the process");
    let mut client = FrameClient::new(&matcher);
    client.send_request(50, "a", "seat 7");
    assert_eq!(client.read_response(), expected);
    // While draining, stored results are still returned, without a run.
    matcher.terminate();
    client.send_request(51, "a", "seat 7");
    assert_eq!(client.read_response(), expected);
    drop(client);
    let status = matcher
        .wait_for_exit(Duration::from_secs(5))
        .expect("wait for the exit");
    assert!(status.success(), "{}", matcher.log().join("\n"));
    let runs = with_lock(&site.runtime, |runtime| runtime.stats.starts.len());
    assert_eq!(runs, 2, "one run for each key space");
    check_results_command(&folder);
}

fn results_command(args: &[&str]) -> Output {
    Command::new(program())
        .arg("results")
        .args(args)
        .output()
        .expect("run the command")
}

/// Checks the `results` commands on the folder that the test above has left.
fn check_results_command(folder: &Path) {
    let dir = folder.to_str().expect("the path is UTF-8");
    let text = |output: &Output| String::from_utf8_lossy(&output.stdout).into_owned();
    let got = results_command(&["get", dir, "--class", "0", "--owner", "1", "a"]);
    assert!(
        text(&got).contains("\"state\":\"served\"")
            && text(&got).contains("grid of 0000000000000001")
    );
    assert_eq!(
        results_command(&["get", dir, "--class", "0", "b"])
            .status
            .code(),
        Some(3)
    );
    assert_eq!(text(&results_command(&["list", dir])).lines().count(), 2);
    assert_eq!(text(&results_command(&["list", dir, "--unknown"])), "");
    assert!(text(&results_command(&["stat", dir]))
        .starts_with("2 keys: 2 with a result, 0 that may have run"));
    // The keys of caller 1 move to another store; only one store owns them at a time.
    let (file, other) = (format!("{dir}.export"), format!("{dir}.other"));
    let moved = results_command(&[
        "export", dir, "--owner", "1", "--epoch", "1", "--out", &file,
    ]);
    assert!(text(&moved).starts_with("1 keys given away"), "{moved:?}");
    assert!(text(&results_command(&["stat", dir])).contains("given away"));
    assert!(!results_command(&[
        "export",
        dir,
        "--owner",
        "1",
        "--epoch",
        "1",
        "--out",
        &format!("{file}2")
    ])
    .status
    .success());
    let taken = results_command(&["import", &other, &file]);
    assert!(text(&taken).starts_with("1 keys taken over"), "{taken:?}");
    assert!(text(&results_command(&[
        "get", &other, "--class", "0", "--owner", "1", "a"
    ]))
    .contains("served"));
    let twice = results_command(&["import", &other, &file]);
    assert!(
        String::from_utf8_lossy(&twice.stderr).contains("epoch 1 is not above 1"),
        "{twice:?}"
    );
    // A file that is truncated anywhere is rejected.
    let whole = std::fs::read(&file).expect("read the file");
    for length in 0..whole.len() {
        std::fs::write(format!("{file}.cut"), &whole[..length]).expect("write the file");
        let journal = cleatpulley_log_store::simulated_folder::SimulatedFolder::default();
        let mut journal =
            cleatpulley_idempotency::journal::Journal::open(journal, Default::default(), 0)
                .expect("open the journal")
                .journal;
        let refused =
            cleatpulley_idempotency::transfer::import(&mut journal, 0, &mut &whole[..length]);
        assert!(
            refused.is_err() || length + 1 == whole.len(),
            "truncated to {length}"
        );
    }
}

/// When the results can't be read, it is unknown which keys have run: keyed requests fail at once, and
/// all others are served.
#[test]
fn when_results_cannot_be_stored_only_keyed_requests_fail() {
    let dir = tempfile::tempdir().expect("create a folder");
    let folder = dir.path().join("kept");
    // A file has the name of the folder.
    std::fs::write(&folder, "in the way").expect("write the file");
    let load = |front| Load {
        protocol: front,
        rates: vec![(2_000_000, 40.0)],
        connections: 16,
        body_bytes: 64,
        key_field: Some(KEY_FIELD.to_owned()),
    };
    let trial = Trial {
        site: cleatpulley_emulators::site::Setup::default(),
        loads: vec![load(Protocol::Frames), load(Protocol::Ajp)],
        ajp_options: String::new(),
        operator_sections: KillTrial::operator_section(&folder),
        terminate_at: None,
    };
    let report = trial.run(&program(), |_, _| ()).expect("run the trial");
    assert_eq!(report.violations, Vec::<String>::new());
    let mut keyed_requests = 0;
    for (front, class, tally) in &report.tallies {
        if class == "claim-seat" {
            assert_eq!(tally.on_time + tally.late, 0, "{front} {tally:?}");
            keyed_requests += tally.issued;
        } else {
            assert!(
                tally.on_time * 10 > tally.issued * 8,
                "{front} {class} {tally:?}"
            );
        }
    }
    assert!(keyed_requests > 10);
    assert!(report
        .log
        .iter()
        .any(|line| line.contains("nothing can be kept for now")));
}

/// Starts a successor that uses the second runtime address, and waits until it accepts clients.
fn start_ready_successor(site: &Site, old: &Matcher) -> Matcher {
    let mut config = site.config.clone();
    config["runtime"] = site.runtime_addresses[1].to_string().into();
    let mut new = old
        .start_successor(&program(), &config)
        .expect("start the process");
    new.wait_ready(Duration::from_secs(6))
        .expect("the new process is ready");
    new
}

/// During an upgrade, a repeat at the new process gets the response of the run at the old one, new keys
/// run at the new process, and the store has one owner at a time.
#[test]
fn a_repeat_during_an_upgrade_gets_the_first_response() {
    let dir = tempfile::tempdir().expect("create a folder");
    let folder = dir.path().join("kept");
    let mut setup = KillTrial::site(4);
    setup.classes[0].work = (150_000, 150_000);
    setup.runtime_address_count = 2;
    let site = Site::start(setup).expect("start the emulated services");
    let mut old = Matcher::start(&program(), &site.config, Some(&operator(&folder)))
        .expect("start the process");
    let mut first = FrameClient::new(&old);
    first.send_request(1, "a", "seat 7");
    while with_lock(&site.runtime, |runtime| runtime.running_count()) == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    let mut new = start_ready_successor(&site, &old);
    old.terminate();
    // The first request still runs at the old process.
    let mut second = FrameClient::new(&new);
    second.send_request(2, "a", "seat 7");
    second.send_request(3, "b", "seat 8");
    let responses = [second.read_response(), second.read_response()];
    let expected = [1, 3].map(|id| (0, cleatpulley_emulators::runtime::result_of(id)));
    assert_eq!(first.read_response(), expected[0]);
    assert!(
        expected.iter().all(|response| responses.contains(response)),
        "{responses:?}"
    );
    drop(first);
    assert!(
        old.wait_for_exit(Duration::from_secs(5))
            .expect("wait for the exit")
            .success(),
        "{}",
        old.log().join("\n")
    );
    assert_eq!(
        with_lock(&site.runtime, |runtime| runtime.stats.starts.len()),
        2,
        "one run for each key"
    );
    assert!(
        new.wait_for_log("results: 1 keys recovered, 0 of them with an unknown outcome")
            .is_ok(),
        "{}",
        new.log().join("\n")
    );
}

/// Guards against a rolled back upgrade after which the old process removes the results in the
/// temporary folder: the keys that either process had run ran again.
#[test]
fn a_rolled_back_upgrade_keeps_the_results_of_both_processes() {
    let mut setup = KillTrial::site(5);
    setup.runtime_address_count = 2;
    let mut site = Site::start(setup).expect("start the emulated services");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("the port of a socket");
    drop(listener);
    // Both processes find the folder by the address, so the system must not choose it.
    site.config["listen"] = address.to_string().into();
    let class = &mut site.config["settings"]["classes"][0];
    class["effect"] = "deduplicated".into();
    class["repeat_window"] = 30_000_000.into();
    let mut old = Matcher::start(&program(), &site.config, None).expect("start the process");
    let keys = [format!("{:032x}", 1), format!("{:032x}", 2)];
    let connect = |matcher: &Matcher| FrameClient {
        key_field: "unique",
        ..FrameClient::new(matcher)
    };
    let mut client = connect(&old);
    client.send_request(1, &keys[0], "seat 7");
    let first = client.read_response();
    let mut new = start_ready_successor(&site, &old);
    let mut client = connect(&new);
    client.send_request(2, &keys[1], "seat 8");
    let second = client.read_response();
    drop(client);

    new.terminate();
    new.wait_for_exit(Duration::from_secs(5))
        .expect("the new process exits");
    old.wait_for_log("takes clients again")
        .expect("the old process serves");
    let mut client = connect(&old);
    client.send_request(3, &keys[0], "seat 7");
    assert_eq!(client.read_response(), first);
    client.send_request(4, &keys[1], "seat 8");
    assert_eq!(client.read_response(), second);
    assert_eq!((first.0, second.0), (0, 0));
    assert_eq!(
        with_lock(&site.runtime, |runtime| runtime.stats.starts.len()),
        2,
        "one run for each key"
    );
}
