//! The AJP listener of the program with the emulators: rules that hold when callers stall, disconnect and
//! resend, and when the matcher is terminated. They are checked from the records of the emulators, not
//! of the matcher.

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
/// Timeout of every wait; only a failure takes longer.
const TIMEOUT: Duration = Duration::from_secs(15);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cleatpulley"))
}

fn start(setup: Setup, rest: &str) -> (Site, Matcher, SocketAddr) {
    let site = Site::start(setup).expect("start the emulated services");
    let matcher = Matcher::start(program(), &site.config, Some(&site.operator_file(rest, "")))
        .expect("start the process");
    let to = matcher.ajp.expect("an AJP address");
    (site, matcher, to)
}

/// Returns a site where each run takes this long on a core of its own.
fn site_with_fixed_work(ms: u64) -> Setup {
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

/// A caller that waits for each response.
struct Caller {
    stream: TcpStream,
    client: Client,
}

impl Caller {
    fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("connect to the process");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("set the timeout");
        stream.set_nodelay(true).expect("set TCP_NODELAY");
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
        self.client
            .request(0, &request, &mut out)
            .expect("the request fits into a packet");
        self.stream.write_all(&out).expect("send the bytes");
    }

    /// Returns the response, or `None` if the connection ended before it.
    fn read_response(&mut self) -> Option<Response> {
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
                Err(e) => panic!("no response: {e}"),
            }
            let mut more = Vec::new();
            let used = self
                .client
                .receive(0, &input, &mut more)
                .expect("valid response");
            input.drain(..used);
            self.stream.write_all(&more).expect("send the bytes");
        }
    }
}

fn forward_packet(path: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    let request = OutgoingRequest {
        method: "POST",
        uri: path,
        headers,
        ..OutgoingRequest::default()
    };
    let mut out = Vec::new();
    push_forward_request(&mut out, &request, PACKET_SIZE).expect("the request fits into a packet");
    out
}

fn body_packet(data: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    push_body(&mut out, data, PACKET_SIZE).expect("the request fits into a packet");
    out
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn starts(site: &Site) -> u32 {
    with_lock(&site.runtime, |runtime| {
        runtime.stats.starts.values().map(|seen| seen.1).sum()
    })
}

/// 300 callers stall halfway through their bodies while others send requests in both protocols: the
/// stalled ones get a response and use little memory, and the others lose no request.
#[test]
fn stalled_bodies_time_out_and_other_callers_lose_no_request() {
    let site = site_with_fixed_work(5);
    let load = |protocol| Load {
        protocol,
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
    let mut trial_run = trial.start(program()).expect("start the process");
    let to = trial_run.matcher.ajp.expect("an AJP address");
    let half = [
        forward_packet("/find-race", &[("Content-Length", "2000")]),
        body_packet(&[b'x'; 900]),
    ]
    .concat();
    let before = trial_run.matcher.memory_kb();
    let mut stalled: Vec<_> = (0..300).map(|_| Caller::connect(to)).collect();
    for caller in &mut stalled {
        caller.stream.write_all(&half).expect("send the bytes");
    }
    for caller in &mut stalled {
        let mut answer = Vec::new();
        caller
            .stream
            .read_to_end(&mut answer)
            .expect("read until the end");
        let status = answer.windows(3).any(|part| part == [4, 1, 0x98]);
        assert!(status, "no status 408 in {}", answer.escape_ascii());
    }
    if let (Some(before), Some(after)) = (before, trial_run.matcher.memory_kb()) {
        let each = after.1.saturating_sub(before.0) / 300;
        assert!(each < 64, "{each} KB for each stalled connection");
    }
    wait_until("the other callers are done", || {
        trial_run
            .callers
            .iter()
            .all(|callers| with_lock(callers, |callers| callers.is_done()))
    });
    let report = trial_run.check_rules();
    assert!(report.violations.is_empty(), "{report}");
    for protocol in [Protocol::Frames, Protocol::Ajp] {
        let total = report.total(protocol);
        assert_eq!((total.failed, total.not_sent), (0, 0), "{report}");
    }
}

/// A request is cut off at every byte: only complete requests run, the process survives, and all
/// descriptors are released.
#[test]
fn connections_cut_at_every_byte_leak_nothing() {
    let (site, mut matcher, to) = start(site_with_fixed_work(1), "");
    let request = [
        forward_packet(
            "/claim-seat",
            &[
                ("Content-Length", "4"),
                ("X-Request-Id", "00000000000000c1"),
            ],
        ),
        body_packet(b"seat"),
    ]
    .concat();
    let before = matcher.descriptor_count();
    for cut in 0..request.len() {
        let mut stream = TcpStream::connect(to).expect("connect to the process");
        stream.write_all(&request[..cut]).expect("send the bytes");
    }
    let mut complete = Caller::connect(to);
    complete.stream.write_all(&request).expect("send the bytes");
    wait_until("the complete request runs", || starts(&site) == 1);
    drop(complete);
    let mut good = Caller::connect(to);
    good.send("/find-race", "00000000000000c2", b"race");
    assert_eq!(good.read_response().expect("get a response").status, 200);
    drop(good);
    assert_eq!(starts(&site), 2, "no incomplete request has run");
    wait_until("descriptors are released", || {
        matcher.descriptor_count() <= before
    });
    assert!(matcher.is_alive());
}

/// A proxy resends a write over a new connection while the first attempt runs: it does not run again, and
/// the response to the second attempt says that it may have run.
#[test]
fn a_resent_id_does_not_run_again() {
    let (site, _matcher, to) = start(site_with_fixed_work(600), "");
    let mut first = Caller::connect(to);
    first.send("/claim-seat", "00000000000000d1", b"seat");
    wait_until("run the command", || starts(&site) == 1);
    let Caller { stream, client } = first;
    assert_eq!(client.execution_state(0), ExecutionState::MayHaveRun);
    drop(stream);
    let mut second = Caller::connect(to);
    second.send("/claim-seat", "00000000000000d1", b"seat");
    let answer = second.read_response().expect("get a response");
    assert!(answer.status == 500 && !answer.not_run(), "{answer:?}");
    assert!(answer.reuse, "the connection is as good as before");
    // A write without an id could not be distinguished from its repetition.
    second
        .stream
        .write_all(&forward_packet("/claim-seat", &[]))
        .expect("send the bytes");
    let mut rest = Vec::new();
    second
        .stream
        .read_to_end(&mut rest)
        .expect("read until the end");
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

/// SIGTERM arrives while bodies are incomplete, requests are queued and runs are in progress, in both
/// protocols.
#[test]
fn draining_answers_all_requests_that_were_read_in_both_protocols() {
    let mut setup = Setup {
        stop_timeout: 3 * SECOND,
        drain_grace: SECOND,
        ..Setup::default()
    };
    setup.classes = classes();
    let rate = setup.capacity() * 0.6;
    let load = |protocol| Load {
        protocol,
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
    let mut trial_run = trial.start(program()).expect("start the process");
    let to = trial_run.matcher.ajp.expect("an AJP address");
    let open = || {
        trial_run
            .callers
            .iter()
            .map(|callers| with_lock(callers, |callers| callers.open_requests()))
            .sum::<usize>()
    };
    wait_until("requests run and are queued", || {
        with_lock(&trial_run.site.runtime, |runtime| runtime.running_count()) >= 6 && open() >= 12
    });
    let half = [
        forward_packet("/find-race", &[("Content-Length", "900")]),
        body_packet(&[b'x'; 400]),
    ]
    .concat();
    let mut stalled: Vec<_> = (0..20).map(|_| Caller::connect(to)).collect();
    for caller in &mut stalled {
        caller.stream.write_all(&half).expect("send the bytes");
    }
    // One body that is complete only after SIGTERM: it is answered like any other.
    let mut late = Caller::connect(to);
    late.stream.write_all(&half).expect("send the bytes");
    // Idle connections are closed at once.
    let mut idle = Caller::connect(to);
    idle.stream
        .write_all(&[0x12, 0x34, 0, 1, 10])
        .expect("send the bytes");
    idle.stream.read_exact(&mut [0; 5]).expect("read the CPong");
    trial_run.terminate();
    let terminated = Instant::now();
    assert_eq!(idle.stream.read(&mut [0; 1]).expect("read the end"), 0);
    assert!(
        terminated.elapsed() < Duration::from_secs(2),
        "an idle connection stays open"
    );
    late.stream
        .write_all(&body_packet(&[b'x'; 500]))
        .expect("send the bytes");
    let mut answer = Vec::new();
    late.stream
        .read_to_end(&mut answer)
        .expect("read until the end");
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
            .expect("read until the end");
        assert!(
            answer.ends_with(&[b'A', b'B', 0, 2, 5, 0]),
            "{}",
            answer.escape_ascii()
        );
    }
    wait_until("the callers have their responses", || {
        trial_run
            .callers
            .iter()
            .all(|callers| with_lock(callers, |callers| callers.is_done()))
    });
    let report = trial_run.check_rules();
    assert!(report.violations.is_empty(), "{report}");
}

/// Callers in both protocols at 110% of the cores' capacity, with a surge, and a store over AJP that
/// rejects, fails and resets some calls and leaves some unanswered.
#[test]
fn a_mixed_load_keeps_the_rules_in_both_protocols() {
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
    let load = |protocol, connections| Load {
        protocol,
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
    let mut trial_run = trial.start(program()).expect("start the process");
    wait_until("all is sent and answered", || {
        trial_run
            .callers
            .iter()
            .all(|callers| with_lock(callers, |callers| callers.is_done()))
    });
    let report = trial_run.check_rules();
    assert!(report.violations.is_empty(), "{report}");
    for protocol in [Protocol::Frames, Protocol::Ajp] {
        let total = report.total(protocol);
        assert!(
            total.issued > 200 && total.on_time * 2 > total.issued,
            "{report}"
        );
        assert_eq!(
            total.rejected_without_retry_after, 0,
            "every rejection has a retry-after time\n{report}"
        );
    }
    let (calls, ajp) = with_lock(&trial_run.site.store, |store| {
        (store.stats.calls, store.stats.ajp_calls)
    });
    assert!(
        calls > 100 && calls == ajp,
        "{ajp} of {calls} calls over AJP"
    );
}
