//! TLS on a real process: requests over TLS, classes permitted to certificate names, a certificate that is
//! renewed on disk, and a flood of abandoned handshakes while a known caller connects.

use cleatpulley_emulators::callers::{decode_response, request_frame_now, ResponseOutcome};
use cleatpulley_emulators::matcher::Matcher;
use cleatpulley_emulators::site::{Setup, Site};
use cleatpulley_tls::authority::{self, IssuedCertificate};
use cleatpulley_tls::certificate::{parse_certificates, CertificateInfo, CertificateWithKey};
use cleatpulley_tls::config::{self, ProtocolVersions};
use cleatpulley_tls::rustls::{ClientConnection, StreamOwned};
use cleatpulley_tls::Clock;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_cleatpulley"))
}

fn now() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |at| at.as_secs() as i64)
}

/// A folder with an authority, the matcher's certificate and those of two callers.
struct Files {
    dir: tempfile::TempDir,
    authority: IssuedCertificate,
}

impl Files {
    fn new() -> Self {
        let dir = tempfile::tempdir().expect("create a folder");
        let authority =
            authority::create_authority("test authority", now(), 30).expect("create the authority");
        std::fs::write(dir.path().join("ca.pem"), &authority.certificate).expect("write the file");
        let files = Self { dir, authority };
        for name in ["n1", "fe-1", "fe-2"] {
            files.issue(name, 30);
        }
        std::fs::write(files.path("tickets.key"), "ab".repeat(32)).expect("write the file");
        files
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn issue(&self, name: &str, days: i64) {
        let names = [name.to_owned(), "127.0.0.1".to_owned()];
        let made = authority::issue_certificate(
            (&self.authority.certificate, &self.authority.key),
            &names,
            None,
            now(),
            days,
        );
        let made = made.expect("issue the certificate");
        // Replace each file atomically, as `certs renew` does.
        for (text, file) in [
            (made.key, format!("{name}.key")),
            (made.certificate, format!("{name}.pem")),
        ] {
            std::fs::write(self.path(&format!("{file}.new")), text).expect("write the file");
            std::fs::rename(self.path(&format!("{file}.new")), self.path(&file))
                .expect("rename the file");
        }
    }

    fn pair(&self, name: &str) -> CertificateWithKey {
        CertificateWithKey::load(
            &self.path(&format!("{name}.pem")),
            &self.path(&format!("{name}.key")),
        )
        .expect("load the pair")
    }

    fn section(&self, more: &str) -> String {
        let at = |name: &str| self.path(name).display().to_string();
        format!(
            "tls: {{ certificate: '{}', key: '{}', clients: {{ roots: '{}', required: false }}, on: ['frames', 'mgmt'], \
             tickets: {{ secret: '{}' }}, {more} }}",
            at("n1.pem"),
            at("n1.key"),
            at("ca.pem"),
            at("tickets.key")
        )
    }
}

type Tls = StreamOwned<ClientConnection, TcpStream>;

fn connect(files: &Files, to: SocketAddr, own: Option<&str>) -> std::io::Result<Tls> {
    let roots = parse_certificates(Path::new("ca.pem"), files.authority.certificate.as_bytes())
        .expect("parse the roots");
    let own = own.map(|name| files.pair(name));
    let clock = Clock::from_unix_micros(now() as u64 * 1_000_000);
    let config = config::client_config(&roots, own.as_ref(), ProtocolVersions::Both, &clock)
        .expect("create the client configuration");
    let name = "127.0.0.1".try_into().expect("valid server name");
    let tcp = TcpStream::connect(to)?;
    tcp.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut tls = StreamOwned::new(
        ClientConnection::new(config, name).expect("create the session"),
        tcp,
    );
    // The first flush starts the handshake.
    tls.flush()?;
    while tls.conn.is_handshaking() {
        tls.conn.complete_io(&mut tls.sock)?;
    }
    Ok(tls)
}

fn request(class: &str, id: u64) -> Vec<u8> {
    // Each request on a connection needs a new stream number.
    request_frame_now(id as u32, class, id, 20.0, b"lobby")
}

fn send_request(tls: &mut Tls, class: &str, id: u64) -> Option<ResponseOutcome> {
    tls.write_all(&request(class, id)).ok()?;
    let mut head = [0; 9];
    tls.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[..4].try_into().ok()?) as usize;
    let mut payload = vec![0; length - 5];
    tls.read_exact(&mut payload).ok()?;
    decode_response(&payload)
}

/// Reads the figures over TLS at the management address.
fn vars(files: &Files, matcher: &Matcher) -> Value {
    let mut tls = connect(files, matcher.mgmt.expect("a management address"), None)
        .expect("complete the handshake");
    tls.write_all(b"GET /_vars HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n")
        .expect("send the request");
    let mut answer = Vec::new();
    let _ = tls.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer);
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    serde_json::from_str(body).unwrap_or_else(|e| panic!("{e}: {text}"))
}

fn serial(tls: &Tls) -> String {
    let chain = tls
        .conn
        .peer_certificates()
        .expect("the server has a certificate");
    CertificateInfo::from_der(&chain[0])
        .expect("parse the certificate")
        .serial
}

fn start(files: &Files, more: &str) -> (Site, Matcher) {
    let site = Site::start(Setup {
        instant_runs: true,
        ..Setup::default()
    })
    .expect("start the emulated services");
    let mut config = site.config.clone();
    config["mgmt"] = Value::from("127.0.0.1:0");
    let operator = format!("{{ {} }}", files.section(more));
    let matcher = Matcher::start(&program(), &config, Some(&operator)).expect("start the process");
    (site, matcher)
}

#[test]
fn requests_are_served_over_tls_and_a_restricted_class_only_for_permitted_names() {
    let files = Files::new();
    let (_site, matcher) = start(&files, "permits: { 'set-prefs': ['fe-1'] }");
    let mut anonymous = connect(&files, matcher.frames, None).expect("complete the handshake");
    assert!(matches!(
        send_request(&mut anonymous, "lobby-view", 1),
        Some(ResponseOutcome::Served(_))
    ));
    assert!(
        matches!(
            send_request(&mut anonymous, "set-prefs", 2),
            Some(ResponseOutcome::Failed)
        ),
        "no certificate: forbidden"
    );
    let mut fe2 = connect(&files, matcher.frames, Some("fe-2")).expect("complete the handshake");
    assert!(
        matches!(
            send_request(&mut fe2, "set-prefs", 3),
            Some(ResponseOutcome::Failed)
        ),
        "another name: forbidden"
    );
    let mut fe1 = connect(&files, matcher.frames, Some("fe-1")).expect("complete the handshake");
    assert!(matches!(
        send_request(&mut fe1, "set-prefs", 4),
        Some(ResponseOutcome::Served(_))
    ));
    // A client without TLS on a TLS port gets nothing that it could take for a response.
    let mut plain = TcpStream::connect(matcher.frames).expect("connect to the process");
    plain
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("set the timeout");
    plain
        .write_all(&[0, 0, 0, 6, 6, 0, 0, 0, 1, 0])
        .expect("send the frame");
    let mut answer = Vec::new();
    let _ = plain.read_to_end(&mut answer);
    assert!(answer.is_empty(), "{answer:?}");
    let figures = vars(&files, &matcher);
    assert_eq!(
        figures["operations"]["set-prefs"]["faulted"], 2,
        "{figures}"
    );
    assert!(
        figures["tls"]["certificate"]["expires_in_s"]
            .as_i64()
            .is_some_and(|left| left > 29 * 86_400),
        "{figures}"
    );
}

#[test]
fn a_renewed_certificate_is_loaded_without_restart_and_an_invalid_one_is_ignored() {
    let files = Files::new();
    let (_site, mut matcher) = start(&files, "");
    let mut before = connect(&files, matcher.frames, None).expect("complete the handshake");
    let old = serial(&before);
    files.issue("n1", 60);
    let started = Instant::now();
    let renewed = loop {
        let tls = connect(&files, matcher.frames, None).expect("complete the handshake");
        if serial(&tls) != old {
            break serial(&tls);
        }
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "the renewed certificate is not loaded"
        );
        std::thread::sleep(Duration::from_millis(100));
    };
    assert!(
        matches!(
            send_request(&mut before, "lobby-view", 1),
            Some(ResponseOutcome::Served(_))
        ),
        "an open connection continues"
    );
    // The key of another name: it does not match the certificate, and the one in use stays.
    std::fs::copy(files.path("fe-1.key"), files.path("n1.key")).expect("copy the file");
    matcher
        .wait_for_log("the certificate in use stays")
        .expect("the error is logged");
    let tls = connect(&files, matcher.frames, None).expect("complete the handshake");
    assert_eq!(serial(&tls), renewed);
    let line = matcher
        .log()
        .into_iter()
        .find(|line| line.contains("in use stays"))
        .expect("find the line");
    assert!(
        line.contains("n1.key") && line.contains("not that of"),
        "{line}"
    );
}

/// Sends the first flight of a handshake from a loopback address of its own, and nothing after it.
fn abandon_handshake(files: &Files, to: SocketAddr, number: u32) -> Option<socket2::Socket> {
    use socket2::{Domain, SockAddr, Socket, Type};
    let roots =
        parse_certificates(Path::new("ca.pem"), files.authority.certificate.as_bytes()).ok()?;
    let config = config::client_config(
        &roots,
        None,
        ProtocolVersions::Both,
        &Clock::from_unix_micros(now() as u64 * 1_000_000),
    )
    .ok()?;
    let mut session = ClientConnection::new(config, "127.0.0.1".try_into().ok()?).ok()?;
    let mut hello = Vec::new();
    session.write_tls(&mut hello).ok()?;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    let from = std::net::Ipv4Addr::from(0x7F42_0001 + number / 250 * 256 + number % 250);
    socket
        .bind(&SockAddr::from(SocketAddr::from((from, 0))))
        .ok()?;
    socket.connect(&SockAddr::from(to)).ok()?;
    socket.send(&hello).ok()?;
    Some(socket)
}

/// Guards against abandoned handshakes, and handshakes sent byte by byte, taking the capacity that known
/// callers need.
#[test]
fn abandoned_handshakes_do_not_block_known_callers() {
    let files = Files::new();
    let handshakes =
        "handshakes: { per_second: 50, burst: 10, at_once: 4, deadline_ms: 500, waiting: 16 }";
    let (_site, matcher) = start(
        &files,
        &format!("{handshakes} }}, admission: {{ named: ['127.0.0.1'] "),
    );
    let mut abandoned: Vec<_> = (0..100)
        .filter_map(|n| abandon_handshake(&files, matcher.frames, n))
        .collect();
    let mut slow = TcpStream::connect(matcher.frames).expect("connect to the process");
    let started = Instant::now();
    let mut served = 0;
    while started.elapsed() < Duration::from_secs(3) {
        let _ = slow.write_all(&[22]);
        let more = (0..20)
            .filter_map(|n| abandon_handshake(&files, matcher.frames, 100 + served * 20 + n));
        abandoned.extend(more);
        let connecting = Instant::now();
        let mut tls = connect(&files, matcher.frames, Some("fe-1"))
            .expect("complete the handshake during the flood");
        assert!(
            connecting.elapsed() < Duration::from_millis(300),
            "{:?}",
            connecting.elapsed()
        );
        assert!(matches!(
            send_request(&mut tls, "lobby-view", 1 + u64::from(served)),
            Some(ResponseOutcome::Served(_))
        ));
        served += 1;
    }
    assert!(
        served > 5 && abandoned.len() > 150,
        "{served} served, {} abandoned",
        abandoned.len()
    );
    let figures = vars(&files, &matcher);
    let count = |name: &str| figures["tls"]["handshakes"][name].as_u64().unwrap_or(0);
    // Unknown callers started handshakes at most at their share of the rate; the rest waited or were closed.
    assert!(
        count("full") <= 10 + served as u64 + 3 * 38 + 5,
        "{figures}"
    );
    assert!(count("overdue") + count("refused") >= 100, "{figures}");
}

#[test]
fn a_certificate_name_over_its_limit_is_rejected_and_a_known_one_is_not() {
    let files = Files::new();
    let (_site, matcher) = start(&files, "identities: { named: ['fe-1'], places: 1 }");
    let mut first = connect(&files, matcher.frames, Some("fe-2")).expect("complete the handshake");
    assert!(matches!(
        send_request(&mut first, "lobby-view", 1),
        Some(ResponseOutcome::Served(_))
    ));
    let mut second = connect(&files, matcher.frames, Some("fe-2")).expect("complete the handshake");
    // It receives a goodbye (type 9); its open request is answered once, and it is closed soon after that.
    let started = Instant::now();
    second
        .write_all(&request("lobby-view", 2))
        .expect("send the request");
    let mut rest = Vec::new();
    second
        .read_to_end(&mut rest)
        .expect("read until the orderly end");
    let (mut at, mut kinds) = (0, Vec::new());
    while let Some(head) = rest.get(at..at + 9) {
        kinds.push(head[4]);
        at += 4 + u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    }
    kinds.sort_unstable();
    assert_eq!(kinds, [1, 9], "one place for fe-2: {rest:?}");
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "{:?}",
        started.elapsed()
    );
    let mut named: Vec<_> = (0..5)
        .map(|_| connect(&files, matcher.frames, Some("fe-1")).expect("complete the handshake"))
        .collect();
    for (n, tls) in named.iter_mut().enumerate() {
        assert!(matches!(
            send_request(tls, "lobby-view", 3 + n as u64),
            Some(ResponseOutcome::Served(_))
        ));
    }
    drop(first);
    std::thread::sleep(Duration::from_millis(100));
    let mut again = connect(&files, matcher.frames, Some("fe-2")).expect("complete the handshake");
    assert!(
        matches!(
            send_request(&mut again, "lobby-view", 9),
            Some(ResponseOutcome::Served(_))
        ),
        "its place was released"
    );
}

/// A gateway speaks AJP over TLS to a matcher and presents a certificate whose name the class requires.
#[test]
fn a_gateway_reaches_a_matcher_over_tls_with_its_own_certificate() {
    let files = Files::new();
    let site = Site::start(Setup {
        instant_runs: true,
        ..Setup::default()
    })
    .expect("start the emulated services");
    let at = |name: &str| files.path(name).display().to_string();
    let tls = format!(
        "tls: {{ certificate: '{}', key: '{}', clients: {{ roots: '{}' }}, on: ['ajp'], permits: {{ 'claim-seat': ['fe-1'] }} }}",
        at("n1.pem"),
        at("n1.key"),
        at("ca.pem")
    );
    let matcher = Matcher::start(
        &program(),
        &site.config,
        Some(&site.operator_file("", &tls)),
    )
    .expect("start the process");
    let to = matcher.ajp.expect("an AJP address");
    let routes = "upstream m { server m7.portmore.example.org:9000; }\nserver {\n    location /seats { set $matcher_class claim-seat; proxy_pass http://m/claim-seat; }\n}\n";
    let gateway = |own: &str| {
        let operator = format!(
            "{{ gateway: {{ frames: ['127.0.0.1:0'], frames_host: 'm', ajp: {{ listen: ['127.0.0.1:0'] }}, routes: 'nginx.conf', \
             targets: {{ protocol: 'ajp', names: {{ 'm7.portmore.example.org:9000': '{to}' }}, \
             tls: {{ roots: '{}', certificate: '{}', key: '{}', server_name: '127.0.0.1' }} }}, \
             classes: {{ 'claim-seat': {{ deadline_ms: 3900, effect: true }} }} }} }}",
            at("ca.pem"),
            at(&format!("{own}.pem")),
            at(&format!("{own}.key")),
        );
        Matcher::start_gateway(&program(), routes, &operator).expect("start the process")
    };
    let send_request = |gateway: &Matcher, id: &str| {
        let to = gateway.ajp.expect("an AJP address").to_string();
        let id = format!("X-Request-Id:{id}");
        let args = [
            "ajp",
            "request",
            to.as_str(),
            "/seats",
            "-H",
            &id,
            "-H",
            "Host:m",
            "--body",
            "x",
        ];
        let output = std::process::Command::new(program())
            .args(args)
            .output()
            .expect("run the command");
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let served = send_request(&gateway("fe-1"), "00000000000000aa");
    assert!(
        served.starts_with("200") && served.contains("grid of 00000000000000aa"),
        "{served}"
    );
    let forbidden = send_request(&gateway("fe-2"), "00000000000000ab");
    assert!(forbidden.starts_with("403"), "{forbidden}");
}
