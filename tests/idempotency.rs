//! Kept results on a real process, real files and real sockets.

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

/// Tries of the same keys without end, a matcher killed at random points of its work, and a runtime that lives on.
#[test]
fn a_matcher_killed_again_and_again_runs_no_key_twice() {
    let dir = tempfile::tempdir().expect("a folder");
    let kills = KillTrial {
        kills: 120,
        seed: 11,
    };
    let (seen, keys) = kills
        .run(&program(), &dir.path().join("kept"))
        .expect("it plays");
    assert_eq!(seen.violations, Vec::<String>::new(), "{seen:?}");
    // Nobody should trust kills that hit nothing.
    assert!(
        keys > 50 && seen.served_repeats > 50 && seen.unknown > 10,
        "{keys} keys, {seen:?}"
    );
}

/// A connection by hand, which speaks frames.
struct Line {
    stream: TcpStream,
    streams: u32,
}

impl Line {
    fn new(matcher: &Matcher) -> Self {
        let stream = TcpStream::connect(matcher.frames).expect("it listens");
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .expect("a time-out");
        Self { stream, streams: 0 }
    }

    fn ask(&mut self, id: u64, key: &str, body: &str) {
        self.streams += 1;
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .expect("a clock");
        let (id, now) = (format!("{id:016x}"), now.as_millis().to_string());
        let fields = [
            ("verb", "claim-seat"),
            ("txn", &id),
            ("door", &now),
            ("lb", "1"),
            ("cpu", "2.0"),
            ("ram", "10"),
            ("standing", "0.5"),
            (KEY_FIELD, key),
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
        self.stream.write_all(&frame).expect("it is taken");
    }

    /// The code and the body of the next answer; its fields are passed over.
    fn answer(&mut self) -> (u8, Vec<u8>) {
        loop {
            let mut head = [0; 9];
            self.stream.read_exact(&mut head).expect("an answer");
            let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
            let mut payload = vec![0; length - 5];
            self.stream.read_exact(&mut payload).expect("whole");
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

fn by_ajp(matcher: &Matcher, id: &str, key: &str, body: &str) -> Output {
    let (id, key) = (
        format!("X-Request-Id:{id}"),
        format!("Idempotency-Key:{key}"),
    );
    let at = matcher.ajp.expect("it speaks AJP").to_string();
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
        .expect("it runs")
}

/// Ten tries at once by six connections and one by the other front share one run; so do those that come after it, also
/// after a restart, also where the first's caller has left; another body is refused in its own words.
#[test]
fn repeats_share_one_run_on_both_fronts_and_after_a_restart() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = dir.path().join("kept");
    let mut setup = KillTrial::site(3);
    setup.classes[0].work = (150_000, 150_000);
    let site = Site::start(setup).expect("a site");
    let matcher =
        Matcher::start(&program(), &site.config, Some(&operator(&folder))).expect("it starts");
    let mut first = Line::new(&matcher);
    first.ask(1, "a", "seat 7");
    let mut lines: Vec<Line> = (0..6).map(|_| Line::new(&matcher)).collect();
    for (n, line) in lines.iter_mut().enumerate() {
        line.ask(10 + n as u64, "a", "seat 7");
        line.ask(20 + n as u64, "a", "seat 7");
    }
    // The first caller leaves while it runs.
    while with_lock(&site.runtime, |runtime| runtime.running_count()) == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    drop(first);
    let other_front = by_ajp(&matcher, "00000000000000aa", "a", "seat 7");
    // The key is the caller's, and both fronts say caller 1 and 0: another space of keys, another run.
    assert!(other_front.status.success(), "{other_front:?}");
    let expected = (0, cleatpulley_emulators::runtime::result_of(1));
    for line in &mut lines {
        assert_eq!(
            (line.answer(), line.answer()),
            (expected.clone(), expected.clone())
        );
    }
    let again = by_ajp(&matcher, "00000000000000ab", "a", "seat 7");
    assert_eq!(again.stdout, other_front.stdout, "byte for byte");
    let taken = by_ajp(&matcher, "00000000000000ac", "a", "seat 8");
    assert!(
        String::from_utf8_lossy(&taken.stdout).starts_with("422"),
        "{taken:?}"
    );
    lines[0].ask(40, "a", "seat 8");
    assert_eq!(
        lines[0].answer(),
        (2, b"the key belongs to another request".to_vec())
    );
    drop(matcher);
    let mut matcher = Matcher::start(&program(), &site.config, Some(&operator(&folder)))
        .expect("it starts again");
    let mut line = Line::new(&matcher);
    line.ask(50, "a", "seat 7");
    assert_eq!(line.answer(), expected);
    // Within the drain what is kept is still told, and nothing runs for it.
    matcher.terminate();
    line.ask(51, "a", "seat 7");
    assert_eq!(line.answer(), expected);
    drop(line);
    let status = matcher
        .wait_for_exit(Duration::from_secs(5))
        .expect("it ends");
    assert!(status.success(), "{}", matcher.log().join("\n"));
    let runs = with_lock(&site.runtime, |runtime| runtime.stats.starts.len());
    assert_eq!(runs, 2, "one for each space of keys");
    results_by_hand(&folder);
}

fn tool(args: &[&str]) -> Output {
    Command::new(program())
        .arg("results")
        .args(args)
        .output()
        .expect("it runs")
}

/// The commands for operators, on what the test above has left.
fn results_by_hand(folder: &Path) {
    let dir = folder.to_str().expect("text");
    let text = |output: &Output| String::from_utf8_lossy(&output.stdout).into_owned();
    let got = tool(&["get", dir, "--class", "0", "--owner", "1", "a"]);
    assert!(
        text(&got).contains("\"state\":\"served\"")
            && text(&got).contains("grid of 0000000000000001")
    );
    assert_eq!(
        tool(&["get", dir, "--class", "0", "b"]).status.code(),
        Some(3)
    );
    assert_eq!(text(&tool(&["list", dir])).lines().count(), 2);
    assert_eq!(text(&tool(&["list", dir, "--unknown"])), "");
    assert!(text(&tool(&["stat", dir])).starts_with("2 keys: 2 with a result, 0 that may have run"));
    // Caller 1's keys move to another store, and only one of them owns them at a time.
    let (file, other) = (format!("{dir}.export"), format!("{dir}.other"));
    let moved = tool(&[
        "export", dir, "--owner", "1", "--epoch", "1", "--out", &file,
    ]);
    assert!(text(&moved).starts_with("1 keys given away"), "{moved:?}");
    assert!(text(&tool(&["stat", dir])).contains("given away"));
    assert!(!tool(&[
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
    let taken = tool(&["import", &other, &file]);
    assert!(text(&taken).starts_with("1 keys taken over"), "{taken:?}");
    assert!(text(&tool(&["get", &other, "--class", "0", "--owner", "1", "a"])).contains("served"));
    let twice = tool(&["import", &other, &file]);
    assert!(
        String::from_utf8_lossy(&twice.stderr).contains("epoch 1 is not above 1"),
        "{twice:?}"
    );
    // A file that is cut or changed anywhere is refused, and says where.
    let whole = std::fs::read(&file).expect("the file");
    for cut in 0..whole.len() {
        std::fs::write(format!("{file}.cut"), &whole[..cut]).expect("written");
        let journal = cleatpulley_log_store::simulated_folder::SimulatedFolder::default();
        let mut journal =
            cleatpulley_idempotency::journal::Journal::open(journal, Default::default(), 0)
                .expect("open")
                .journal;
        let refused =
            cleatpulley_idempotency::transfer::import(&mut journal, 0, &mut &whole[..cut]);
        assert!(refused.is_err() || cut + 1 == whole.len(), "cut at {cut}");
    }
}

/// A store that can't be read: nobody knows what has run, so that keyed requests fail at once, and all others are
/// served.
#[test]
fn without_a_disk_only_keyed_requests_fail() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = dir.path().join("kept");
    // A file stands where the folder should.
    std::fs::write(&folder, "in the way").expect("written");
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
    let report = trial.run(&program(), |_, _| ()).expect("it plays");
    assert_eq!(report.violations, Vec::<String>::new());
    let mut asked = 0;
    for (front, class, tally) in &report.tallies {
        if class == "claim-seat" {
            assert_eq!(tally.on_time + tally.late, 0, "{front} {tally:?}");
            asked += tally.issued;
        } else {
            assert!(
                tally.on_time * 10 > tally.issued * 8,
                "{front} {class} {tally:?}"
            );
        }
    }
    assert!(asked > 10);
    assert!(report
        .log
        .iter()
        .any(|line| line.contains("nothing can be kept for now")));
}

/// While one process takes the place of another, a repeat at the new one gets the answer of the run at the old one; keys that
/// come later run at the new one; the store has one owner at a time.
#[test]
fn a_repeat_in_an_upgrade_gets_the_first_answer() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = dir.path().join("kept");
    let mut setup = KillTrial::site(4);
    setup.classes[0].work = (150_000, 150_000);
    setup.runtime_address_count = 2;
    let site = Site::start(setup).expect("a site");
    let mut old =
        Matcher::start(&program(), &site.config, Some(&operator(&folder))).expect("it starts");
    let mut first = Line::new(&old);
    first.ask(1, "a", "seat 7");
    while with_lock(&site.runtime, |runtime| runtime.running_count()) == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    let mut config = site.config.clone();
    config["runtime"] = site.runtime_addresses[1].to_string().into();
    let mut new = old.start_successor(&program(), &config).expect("it starts");
    new.wait_ready(Duration::from_secs(6))
        .expect("it takes clients");
    old.terminate();
    // The old one's key still runs there.
    let mut second = Line::new(&new);
    second.ask(2, "a", "seat 7");
    second.ask(3, "b", "seat 8");
    let answers = [second.answer(), second.answer()];
    let expected = [1, 3].map(|id| (0, cleatpulley_emulators::runtime::result_of(id)));
    assert_eq!(first.answer(), expected[0]);
    assert!(
        expected.iter().all(|one| answers.contains(one)),
        "{answers:?}"
    );
    drop(first);
    assert!(
        old.wait_for_exit(Duration::from_secs(5))
            .expect("it ends")
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
