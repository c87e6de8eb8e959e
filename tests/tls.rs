//! TLS on a real process: requests over it, names that may ask for a class, a certificate renewed in place, and a flood
//! of handshakes that are begun and left while a named caller comes in.

use cleatpulley_emulators::callers::{decode_response, request_frame, ResponseOutcome};
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

/// An authority, the matcher's certificate and two callers' in a folder.
struct Files {
    dir: tempfile::TempDir,
    authority: IssuedCertificate,
}

impl Files {
    fn new() -> Self {
        let dir = tempfile::tempdir().expect("a folder");
        let authority =
            authority::create_authority("test authority", now(), 30).expect("an authority");
        std::fs::write(dir.path().join("ca.pem"), &authority.certificate).expect("written");
        let files = Self { dir, authority };
        for name in ["n1", "fe-1", "fe-2"] {
            files.issue(name, 30);
        }
        std::fs::write(files.path("tickets.key"), "ab".repeat(32)).expect("written");
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
        let made = made.expect("issued");
        // Whole files, as `certs renew` writes them.
        for (text, file) in [
            (made.key, format!("{name}.key")),
            (made.certificate, format!("{name}.pem")),
        ] {
            std::fs::write(self.path(&format!("{file}.new")), text).expect("written");
            std::fs::rename(self.path(&format!("{file}.new")), self.path(&file)).expect("renamed");
        }
    }

    fn pair(&self, name: &str) -> CertificateWithKey {
        CertificateWithKey::load(
            &self.path(&format!("{name}.pem")),
            &self.path(&format!("{name}.key")),
        )
        .expect("a pair")
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
        .expect("roots");
    let own = own.map(|name| files.pair(name));
    let clock = Clock::from_unix_micros(now() as u64 * 1_000_000);
    let config = config::client_config(&roots, own.as_ref(), ProtocolVersions::Both, &clock)
        .expect("a client's setup");
    let name = "127.0.0.1".try_into().expect("a name");
    let tcp = TcpStream::connect(to)?;
    tcp.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut tls = StreamOwned::new(ClientConnection::new(config, name).expect("a session"), tcp);
    // The handshake is done by the first write and flush.
    tls.flush()?;
    while tls.conn.is_handshaking() {
        tls.conn.complete_io(&mut tls.sock)?;
    }
    Ok(tls)
}

fn request(class: &str, id: u64) -> Vec<u8> {
    let millis = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |at| at.as_millis());
    let fields = [
        ("verb", class.to_owned()),
        ("txn", format!("{id:016x}")),
        ("door", millis.to_string()),
        ("lb", "1".to_owned()),
        ("cpu", "20.00".to_owned()),
        ("ram", "20".to_owned()),
        ("standing", "0.5000".to_owned()),
    ];
    // A stream is new with each request on a connection.
    request_frame(id as u32, &fields, b"lobby")
}

fn ask(tls: &mut Tls, class: &str, id: u64) -> Option<ResponseOutcome> {
    tls.write_all(&request(class, id)).ok()?;
    let mut head = [0; 9];
    tls.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[..4].try_into().ok()?) as usize;
    let mut payload = vec![0; length - 5];
    tls.read_exact(&mut payload).ok()?;
    decode_response(&payload)
}

/// The figures, asked for over TLS at the operators' address.
fn vars(files: &Files, matcher: &Matcher) -> Value {
    let mut tls = connect(files, matcher.mgmt.expect("an address"), None).expect("a handshake");
    tls.write_all(b"GET /_vars HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n")
        .expect("asked");
    let mut answer = Vec::new();
    let _ = tls.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer);
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    serde_json::from_str(body).unwrap_or_else(|e| panic!("{e}: {text}"))
}

fn serial(tls: &Tls) -> String {
    let chain = tls.conn.peer_certificates().expect("a certificate");
    CertificateInfo::from_der(&chain[0]).expect("facts").serial
}

fn start(files: &Files, more: &str) -> (Site, Matcher) {
    let site = Site::start(Setup {
        instant_runs: true,
        ..Setup::default()
    })
    .expect("a site");
    let mut config = site.config.clone();
    config["mgmt"] = Value::from("127.0.0.1:0");
    let operator = format!("{{ {} }}", files.section(more));
    let matcher = Matcher::start(&program(), &config, Some(&operator)).expect("it starts");
    (site, matcher)
}

#[test]
fn requests_are_served_over_tls_and_a_class_only_to_the_names_permitted() {
    let files = Files::new();
    let (_site, matcher) = start(&files, "permits: { 'set-prefs': ['fe-1'] }");
    let mut anyone = connect(&files, matcher.frames, None).expect("a handshake");
    assert!(matches!(
        ask(&mut anyone, "lobby-view", 1),
        Some(ResponseOutcome::Served(_))
    ));
    assert!(
        matches!(
            ask(&mut anyone, "set-prefs", 2),
            Some(ResponseOutcome::Failed)
        ),
        "nobody's certificate: forbidden"
    );
    let mut fe2 = connect(&files, matcher.frames, Some("fe-2")).expect("a handshake");
    assert!(
        matches!(ask(&mut fe2, "set-prefs", 3), Some(ResponseOutcome::Failed)),
        "another name: forbidden"
    );
    let mut fe1 = connect(&files, matcher.frames, Some("fe-1")).expect("a handshake");
    assert!(matches!(
        ask(&mut fe1, "set-prefs", 4),
        Some(ResponseOutcome::Served(_))
    ));
    // A plain client on a TLS port gets nothing it could take for an answer.
    let mut plain = TcpStream::connect(matcher.frames).expect("it listens");
    plain
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("a timeout");
    plain
        .write_all(&[0, 0, 0, 6, 6, 0, 0, 0, 1, 0])
        .expect("written");
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
fn a_renewed_certificate_is_taken_up_in_place_and_a_faulty_one_changes_nothing() {
    let files = Files::new();
    let (_site, mut matcher) = start(&files, "");
    let mut before = connect(&files, matcher.frames, None).expect("a handshake");
    let old = serial(&before);
    files.issue("n1", 60);
    let begun = Instant::now();
    let renewed = loop {
        let tls = connect(&files, matcher.frames, None).expect("a handshake");
        if serial(&tls) != old {
            break serial(&tls);
        }
        assert!(begun.elapsed() < Duration::from_secs(10), "never taken up");
        std::thread::sleep(Duration::from_millis(100));
    };
    assert!(
        matches!(
            ask(&mut before, "lobby-view", 1),
            Some(ResponseOutcome::Served(_))
        ),
        "an open connection goes on"
    );
    // The key of another name: the pair does not fit, and what is in use stays.
    std::fs::copy(files.path("fe-1.key"), files.path("n1.key")).expect("copied");
    matcher
        .wait_for_log("the certificate in use stays")
        .expect("told");
    let tls = connect(&files, matcher.frames, None).expect("a handshake");
    assert_eq!(serial(&tls), renewed);
    let line = matcher
        .log()
        .into_iter()
        .find(|line| line.contains("in use stays"))
        .expect("a line");
    assert!(
        line.contains("n1.key") && line.contains("not that of"),
        "{line}"
    );
}

/// A client's first flight, from a loopback address of its own, and nothing after it: a handshake begun and left.
fn begun_and_left(files: &Files, to: SocketAddr, number: u32) -> Option<socket2::Socket> {
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

/// Guards against handshakes begun and left, and those that come a byte at a time, taking what known callers need.
#[test]
fn handshakes_begun_and_left_keep_no_named_caller_out() {
    let files = Files::new();
    let handshakes =
        "handshakes: { per_second: 50, burst: 10, at_once: 4, deadline_ms: 500, waiting: 16 }";
    let (_site, matcher) = start(
        &files,
        &format!("{handshakes} }}, admission: {{ named: ['127.0.0.1'] "),
    );
    let mut left: Vec<_> = (0..100)
        .filter_map(|n| begun_and_left(&files, matcher.frames, n))
        .collect();
    let mut slow = TcpStream::connect(matcher.frames).expect("it listens");
    let begun = Instant::now();
    let mut served = 0;
    while begun.elapsed() < Duration::from_secs(3) {
        let _ = slow.write_all(&[22]);
        let more =
            (0..20).filter_map(|n| begun_and_left(&files, matcher.frames, 100 + served * 20 + n));
        left.extend(more);
        let asked = Instant::now();
        let mut tls =
            connect(&files, matcher.frames, Some("fe-1")).expect("a handshake in the flood");
        assert!(
            asked.elapsed() < Duration::from_millis(300),
            "{:?}",
            asked.elapsed()
        );
        assert!(matches!(
            ask(&mut tls, "lobby-view", 1),
            Some(ResponseOutcome::Served(_))
        ));
        served += 1;
    }
    assert!(
        served > 5 && left.len() > 150,
        "{served} served, {} left",
        left.len()
    );
    let figures = vars(&files, &matcher);
    let of = |name: &str| figures["tls"]["handshakes"][name].as_u64().unwrap_or(0);
    // Strangers began at most at their share of the rate; the rest waited or were closed.
    assert!(of("full") <= 10 + served as u64 + 3 * 38 + 5, "{figures}");
    assert!(of("overdue") + of("refused") >= 100, "{figures}");
}

#[test]
fn a_name_over_its_places_is_refused_and_a_named_one_is_not() {
    let files = Files::new();
    let (_site, matcher) = start(&files, "identities: { named: ['fe-1'], places: 1 }");
    let mut first = connect(&files, matcher.frames, Some("fe-2")).expect("a handshake");
    assert!(matches!(
        ask(&mut first, "lobby-view", 1),
        Some(ResponseOutcome::Served(_))
    ));
    let mut second = connect(&files, matcher.frames, Some("fe-2")).expect("a handshake");
    // Told to send nothing more on it (type 9); what it asked is answered, once, and it is closed soon after that.
    let begun = Instant::now();
    second.write_all(&request("lobby-view", 2)).expect("sent");
    let mut rest = Vec::new();
    second.read_to_end(&mut rest).expect("an orderly end");
    let (mut at, mut kinds) = (0, Vec::new());
    while let Some(head) = rest.get(at..at + 9) {
        kinds.push(head[4]);
        at += 4 + u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    }
    kinds.sort_unstable();
    assert_eq!(kinds, [1, 9], "one place for fe-2: {rest:?}");
    assert!(
        begun.elapsed() < Duration::from_secs(2),
        "{:?}",
        begun.elapsed()
    );
    let mut named: Vec<_> = (0..5)
        .map(|_| connect(&files, matcher.frames, Some("fe-1")).expect("a handshake"))
        .collect();
    for (n, tls) in named.iter_mut().enumerate() {
        assert!(matches!(
            ask(tls, "lobby-view", 3 + n as u64),
            Some(ResponseOutcome::Served(_))
        ));
    }
    drop(first);
    std::thread::sleep(Duration::from_millis(100));
    let mut again = connect(&files, matcher.frames, Some("fe-2")).expect("a handshake");
    assert!(
        matches!(
            ask(&mut again, "lobby-view", 9),
            Some(ResponseOutcome::Served(_))
        ),
        "its place is free again"
    );
}

/// A gateway that speaks AJP over TLS to a matcher, showing a certificate whose name the class asks for.
#[test]
fn a_gateway_reaches_a_matcher_over_tls_with_its_own_certificate() {
    let files = Files::new();
    let site = Site::start(Setup {
        instant_runs: true,
        ..Setup::default()
    })
    .expect("a site");
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
    .expect("it starts");
    let to = matcher.ajp.expect("it speaks AJP");
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
        Matcher::start_gateway(&program(), routes, &operator).expect("it starts")
    };
    let ask = |gateway: &Matcher, id: &str| {
        let to = gateway.ajp.expect("it speaks AJP").to_string();
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
            .expect("it runs");
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let served = ask(&gateway("fe-1"), "00000000000000aa");
    assert!(
        served.starts_with("200") && served.contains("grid of 00000000000000aa"),
        "{served}"
    );
    let forbidden = ask(&gateway("fe-2"), "00000000000000ab");
    assert!(forbidden.starts_with("403"), "{forbidden}");
}
