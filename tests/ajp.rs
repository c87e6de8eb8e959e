//! The AJP front of the program itself, against the stand-ins: what the rules ask when callers stall, cut, resend,
//! and when the matcher has to leave. Judged from the stand-ins' books, not the matcher's.

use cleatpulley::protocol::ajp::client::{Client, ExecutionState, Options, Request, Response};
use cleatpulley::protocol::ajp::codec::{
    push_body, push_forward_request, OutgoingRequest, PACKET_SIZE,
};
use cleatpulley_emulators::callers::Protocol;
use cleatpulley_emulators::host::with_lock;
use cleatpulley_emulators::matcher::Matcher;
use cleatpulley_emulators::site::{classes, Setup, Site};
use cleatpulley_emulators::store;
use cleatpulley_emulators::trial::{Load, Trial};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

const SECOND: u64 = 1_000_000;
/// Nothing takes so long but a failure.
const PATIENCE: Duration = Duration::from_secs(15);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cleatpulley"))
}

fn start(setup: Setup, rest: &str) -> (Site, Matcher, SocketAddr) {
    let site = Site::start(setup).expect("the stand-ins start");
    let matcher = Matcher::start(program(), &site.config, Some(&site.operator_file(rest, "")))
        .expect("it starts");
    let to = matcher.ajp.expect("it speaks AJP");
    (site, matcher, to)
}

/// A site where each run takes this long on a core of its own.
fn steady(ms: u64) -> Setup {
    let mut setup = Setup {
        cores: 64,
        ..Setup::default()
    };
    for class in &mut setup.classes {
        class.work = (ms * 1_000, ms * 1_000);
        class.calls = (0, 0);
    }
    setup
}

/// A caller that waits for its answers.
struct Caller {
    stream: TcpStream,
    client: Client,
}

impl Caller {
    fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        let options = Options {
            packet_size: PACKET_SIZE,
            secret: None,
            server: ("m".to_owned(), 1),
        };
        Self {
            stream,
            client: Client::new(options, 0),
        }
    }

    fn send(&mut self, path: &str, id: &str, body: &[u8]) {
        let headers = [("X-Request-Id", id)];
        let request = Request {
            method: "POST",
            uri: path,
            headers: &headers,
            body,
        };
        let mut out = Vec::new();
        self.client.request(0, &request, &mut out).expect("it fits");
        self.stream.write_all(&out).expect("it is read");
    }

    /// The answer; none where the connection ended before it.
    fn answer(&mut self) -> Option<Response> {
        let mut input = Vec::new();
        let mut buffer = [0; 4_096];
        loop {
            if let Some(response) = self.client.take_response() {
                return Some(response);
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(n) => input.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("no answer: {e}"),
            }
            let mut more = Vec::new();
            let used = self
                .client
                .receive(0, &input, &mut more)
                .expect("a good answer");
            input.drain(..used);
            self.stream.write_all(&more).expect("it is read");
        }
    }
}

fn forward(path: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    let request = OutgoingRequest {
        method: "POST",
        uri: path,
        headers,
        ..OutgoingRequest::default()
    };
    let mut out = Vec::new();
    push_forward_request(&mut out, &request, PACKET_SIZE).expect("it fits");
    out
}

fn body(data: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    push_body(&mut out, data, PACKET_SIZE).expect("it fits");
    out
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < PATIENCE, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn starts(site: &Site) -> u32 {
    with_lock(&site.runtime, |runtime| {
        runtime.stats.starts.values().map(|seen| seen.1).sum()
    })
}

/// 300 callers stall halfway through their bodies while good ones ask on both fronts: the stalled get their answer,
/// hold little, and the good ones lose nothing.
#[test]
fn stalled_bodies_are_answered_and_good_callers_lose_nothing() {
    let site = steady(5);
    let load = |front| Load {
        protocol: front,
        rates: vec![(4 * SECOND, 60.0)],
        connections: 16,
        body_bytes: 100,
        key_field: None,
    };
    let trial = Trial {
        site,
        loads: vec![load(Protocol::Frames), load(Protocol::Ajp)],
        ajp_options: "timeouts_ms: { body: 1500 },".to_owned(),
        operator_sections: String::new(),
        terminate_at: None,
    };
    let mut going = trial.start(program()).expect("it starts");
    let to = going.matcher.ajp.expect("it speaks AJP");
    let half = [
        forward("/find-race", &[("Content-Length", "2000")]),
        body(&[b'x'; 900]),
    ]
    .concat();
    let before = going.matcher.memory_kb();
    let mut stalled: Vec<_> = (0..300).map(|_| Caller::connect(to)).collect();
    for caller in &mut stalled {
        caller.stream.write_all(&half).expect("it is read");
    }
    for caller in &mut stalled {
        let mut answer = Vec::new();
        caller
            .stream
            .read_to_end(&mut answer)
            .expect("an answer and the end");
        let status = answer.windows(3).any(|part| part == [4, 1, 0x98]);
        assert!(status, "no status 408 in {}", answer.escape_ascii());
    }
    if let (Some(before), Some(after)) = (before, going.matcher.memory_kb()) {
        let each = after.1.saturating_sub(before.0) / 300;
        assert!(each < 64, "{each} KB for each stalled connection");
    }
    wait_until("the good callers are done", || {
        going
            .callers
            .iter()
            .all(|callers| with_lock(callers, |callers| callers.is_done()))
    });
    let report = going.check_rules();
    assert!(report.violations.is_empty(), "{report}");
    for front in [Protocol::Frames, Protocol::Ajp] {
        let total = report.total(front);
        assert_eq!((total.failed, total.not_sent), (0, 0), "{report}");
    }
}

/// A conversation cut at every byte: only what was whole runs, nothing panics, and all places are given back.
#[test]
fn connections_cut_at_every_byte_leak_nothing() {
    let (site, mut matcher, to) = start(steady(1), "");
    let request = [
        forward(
            "/claim-seat",
            &[
                ("Content-Length", "4"),
                ("X-Request-Id", "00000000000000c1"),
            ],
        ),
        body(b"seat"),
    ]
    .concat();
    let before = matcher.descriptor_count();
    for cut in 0..request.len() {
        let mut stream = TcpStream::connect(to).expect("it listens");
        stream.write_all(&request[..cut]).expect("it is read");
    }
    let mut whole = Caller::connect(to);
    whole.stream.write_all(&request).expect("it is read");
    wait_until("the whole one runs", || starts(&site) == 1);
    drop(whole);
    let mut good = Caller::connect(to);
    good.send("/find-race", "00000000000000c2", b"race");
    assert_eq!(good.answer().expect("an answer").status, 200);
    drop(good);
    assert_eq!(starts(&site), 2, "nothing that was cut has run");
    wait_until("descriptors are given back", || {
        matcher.descriptor_count() <= before
    });
    assert!(matcher.is_alive());
}

/// The proxy sends a write again over a fresh connection while the first try runs: it does not run again, and the
/// second try is told that it may have run.
#[test]
fn a_resent_id_does_not_run_again() {
    let (site, _matcher, to) = start(steady(600), "");
    let mut first = Caller::connect(to);
    first.send("/claim-seat", "00000000000000d1", b"seat");
    wait_until("it runs", || starts(&site) == 1);
    let Caller { stream, client } = first;
    assert_eq!(client.execution_state(0), ExecutionState::MayHaveRun);
    drop(stream);
    let mut second = Caller::connect(to);
    second.send("/claim-seat", "00000000000000d1", b"seat");
    let answer = second.answer().expect("an answer");
    assert!(answer.status == 500 && !answer.not_run(), "{answer:?}");
    assert!(answer.reuse, "the connection is as good as before");
    // A write without an id could not be told from its repeat.
    second
        .stream
        .write_all(&forward("/claim-seat", &[]))
        .expect("it is read");
    let mut rest = Vec::new();
    second.stream.read_to_end(&mut rest).expect("the end");
    assert!(
        rest.windows(3).any(|part| part == [4, 1, 0x90]),
        "no status 400 in {}",
        rest.escape_ascii()
    );
    assert_eq!(starts(&site), 1);
    assert!(with_lock(&site.runtime, |runtime| runtime
        .ids_run_twice()
        .is_empty()));
}

/// The notice to leave, while bodies are half read, requests are held, and runs are under way, on both fronts.
#[test]
fn leaving_answers_all_that_was_read_on_both_fronts() {
    let mut setup = Setup {
        stop_timeout: 3 * SECOND,
        drain_grace: SECOND,
        ..Setup::default()
    };
    setup.classes = classes();
    let rate = setup.capacity() * 0.6;
    let load = |front| Load {
        protocol: front,
        rates: vec![(4 * SECOND, rate)],
        connections: 64,
        body_bytes: 64,
        key_field: None,
    };
    let trial = Trial {
        site: setup,
        loads: vec![load(Protocol::Frames), load(Protocol::Ajp)],
        ajp_options: "timeouts_ms: { body: 2000 },".to_owned(),
        operator_sections: String::new(),
        terminate_at: None,
    };
    let mut going = trial.start(program()).expect("it starts");
    let to = going.matcher.ajp.expect("it speaks AJP");
    let open = || {
        going
            .callers
            .iter()
            .map(|callers| with_lock(callers, |callers| callers.open_requests()))
            .sum::<usize>()
    };
    wait_until("requests run and are held", || {
        with_lock(&going.site.runtime, |runtime| runtime.running_count()) >= 6 && open() >= 12
    });
    let half = [
        forward("/find-race", &[("Content-Length", "900")]),
        body(&[b'x'; 400]),
    ]
    .concat();
    let mut stalled: Vec<_> = (0..20).map(|_| Caller::connect(to)).collect();
    for caller in &mut stalled {
        caller.stream.write_all(&half).expect("it is read");
    }
    // One body that is whole only after the notice: it is answered as any other.
    let mut late = Caller::connect(to);
    late.stream.write_all(&half).expect("it is read");
    // Idle connections are closed at once.
    let mut idle = Caller::connect(to);
    idle.stream
        .write_all(&[0x12, 0x34, 0, 1, 10])
        .expect("it is read");
    idle.stream.read_exact(&mut [0; 5]).expect("a pong");
    going.terminate();
    let noticed = Instant::now();
    assert_eq!(idle.stream.read(&mut [0; 1]).expect("an end"), 0);
    assert!(
        noticed.elapsed() < Duration::from_secs(2),
        "an idle connection lingers"
    );
    late.stream
        .write_all(&body(&[b'x'; 500]))
        .expect("it is read");
    let mut answer = Vec::new();
    late.stream
        .read_to_end(&mut answer)
        .expect("an answer and the end");
    assert!(
        answer.ends_with(&[b'A', b'B', 0, 2, 5, 0]),
        "{}",
        answer.escape_ascii()
    );
    for caller in &mut stalled {
        let mut answer = Vec::new();
        caller
            .stream
            .read_to_end(&mut answer)
            .expect("an answer and the end");
        assert!(
            answer.ends_with(&[b'A', b'B', 0, 2, 5, 0]),
            "{}",
            answer.escape_ascii()
        );
    }
    wait_until("the callers have their answers", || {
        going
            .callers
            .iter()
            .all(|callers| with_lock(callers, |callers| callers.is_done()))
    });
    let report = going.check_rules();
    assert!(report.violations.is_empty(), "{report}");
}

/// Both kinds of callers at 110% of what the cores can do, with a surge, and a store over AJP that loses, refuses,
/// fails and resets some calls.
#[test]
fn a_mixed_load_keeps_the_rules_for_both_kinds_alike() {
    let store = store::Setup {
        rejected_per_mille: 10,
        unanswered_per_mille: 3,
        reset_per_mille: 10,
        failed_per_mille: 10,
        ..store::Setup::default()
    };
    let site = Setup {
        store,
        ..Setup::default()
    };
    let half = site.capacity() / 2.0;
    let rates = vec![
        (SECOND, 0.9 * half),
        (3 * SECOND, 1.6 * half),
        (6 * SECOND, 1.1 * half),
    ];
    let load = |front, connections| Load {
        protocol: front,
        rates: rates.clone(),
        connections,
        body_bytes: 200,
        key_field: None,
    };
    let trial = Trial {
        site,
        loads: vec![load(Protocol::Frames, 8), load(Protocol::Ajp, 300)],
        ajp_options: String::new(),
        operator_sections: "store: { protocol: 'ajp' },".to_owned(),
        terminate_at: None,
    };
    let mut going = trial.start(program()).expect("it starts");
    wait_until("all is sent and answered", || {
        going
            .callers
            .iter()
            .all(|callers| with_lock(callers, |callers| callers.is_done()))
    });
    let report = going.check_rules();
    assert!(report.violations.is_empty(), "{report}");
    for front in [Protocol::Frames, Protocol::Ajp] {
        let total = report.total(front);
        assert!(
            total.issued > 200 && total.on_time * 2 > total.issued,
            "{report}"
        );
        assert_eq!(
            total.rejected_without_retry_after, 0,
            "every refusal tells when to come back\n{report}"
        );
    }
    let (calls, ajp) = with_lock(&going.site.store, |store| {
        (store.stats.calls, store.stats.ajp_calls)
    });
    assert!(
        calls > 100 && calls == ajp,
        "{ajp} of {calls} calls over AJP"
    );
}
