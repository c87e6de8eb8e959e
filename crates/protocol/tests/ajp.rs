//! The AJP codec and connections, driven by bytes and time alone.

use cleatpulley_dispatcher::{IncomingRequest, Response};
use cleatpulley_protocol::ajp::class_table::{ClassRoute, ClassTable};
use cleatpulley_protocol::ajp::client::{
    Client, ExecutionState, Options, Request, Response as ClientResponse, MIN_IDLE_BEFORE_PING,
};
use cleatpulley_protocol::ajp::codec::{self, *};
use cleatpulley_protocol::ajp::server::{
    parse_request_id, Connection, ParameterDefaults, ParameterSource, ParameterSources, Settings,
};
use cleatpulley_protocol::state_machine::{ConnectionState, ConnectionStateMachine, Context};
use std::rc::Rc;

const SECOND: u64 = 1_000_000;

fn settings() -> Settings {
    let header = |name: &str| Some(ParameterSource::Header(name.to_owned()));
    let entry = |path: &str, class| ClassRoute {
        path: path.to_owned(),
        methods: vec!["POST".to_owned()],
        class,
    };
    let defaults = |needs_id| ParameterDefaults {
        expected_work: 9_000,
        memory_kb: 30.0,
        rank: 0.5,
        caller: 7,
        requires_id: needs_id,
    };
    Settings {
        secret: Some(b"pulley".to_vec()),
        packet_size: PACKET_SIZE,
        max_body_bytes: 2_048,
        packet_timeout: 2 * SECOND,
        body_timeout: 2 * SECOND,
        idle_timeout: 30 * SECOND,
        class_table: ClassTable::new(vec![entry("/look", 0), entry("/seat", 1)]).expect("good"),
        class_lookup: None,
        parameter_sources: ParameterSources {
            id: header("X-Id"),
            received_at_ms: header("X-Door"),
            work_ms: header("X-Work"),
            memory_kb: None,
            rank: Some(ParameterSource::Attribute("rank".to_owned())),
            caller: header("X-Caller"),
            subject: header("X-Subject"),
            key: header("X-Key"),
        },
        parameter_defaults: vec![defaults(false), defaults(true)],
        id_seed: 5,
    }
}

/// A connection with a clock, and what came of the bytes.
struct Peer {
    connection: Connection,
    now: u64,
    input: Vec<u8>,
    out: Vec<u8>,
    arrivals: Vec<IncomingRequest>,
    classes: Vec<String>,
    feedback: Option<f64>,
}

impl Peer {
    fn with(settings: Settings, trusted: bool) -> Self {
        let now = 1_764_576_000 * SECOND;
        let connection = Connection::new(Rc::new(settings), now, trusted);
        let classes = vec!["look".to_owned(), "seat".to_owned()];
        Self {
            connection,
            now,
            input: Vec::new(),
            out: Vec::new(),
            arrivals: Vec::new(),
            classes,
            feedback: None,
        }
    }

    fn new() -> Self {
        Self::with(settings(), false)
    }

    fn tell<T>(&mut self, tell: impl FnOnce(&mut Connection, &Context, &mut Vec<u8>) -> T) -> T {
        let context = Context {
            now: self.now,
            connection_id: 3,
            class_names: &self.classes,
            is_healthy: true,
            feedback: self.feedback,
        };
        tell(&mut self.connection, &context, &mut self.out)
    }

    fn send(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
        let (input, mut arrivals) = (
            std::mem::take(&mut self.input),
            std::mem::take(&mut self.arrivals),
        );
        let used = self.tell(|connection, context, out| {
            connection.receive(context, &input, out, &mut arrivals)
        });
        assert!(used <= input.len());
        self.input = input[used..].to_vec();
        self.arrivals = arrivals;
    }

    fn answer(&mut self, answer: &Response) -> bool {
        let stream = self.arrivals.last().expect("a request").client.stream;
        self.tell(|connection, context, out| connection.respond(context, stream, answer, out))
    }

    /// The answers sent so far, read by the client's side.
    fn responses(&mut self) -> Vec<ClientResponse> {
        let mut responses = Vec::new();
        let out = std::mem::take(&mut self.out);
        let mut at = 0;
        let mut current = ClientResponse::default();
        while let Some(payload) =
            codec::parse_packet(&out[at..], Direction::ToProxy, PACKET_SIZE).expect("a packet")
        {
            let packet = &out[at..at + payload.end];
            at += payload.end;
            let mut headers = [EMPTY_HEADER; MAX_HEADERS];
            match ServerPacket::decode(&packet[payload], &mut headers).expect("a reply") {
                ServerPacket::SendHeaders {
                    status, headers, ..
                } => {
                    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("text");
                    let headers = headers
                        .iter()
                        .map(|(name, value)| (text(name), text(value)))
                        .collect();
                    current = ClientResponse {
                        status,
                        headers,
                        ..ClientResponse::default()
                    };
                }
                ServerPacket::SendBodyChunk(data) => current.body.extend_from_slice(data),
                ServerPacket::EndResponse(reuse) => responses.push(ClientResponse {
                    reuse,
                    ..std::mem::take(&mut current)
                }),
                ServerPacket::GetBodyChunk(_) | ServerPacket::CPong => {}
            }
        }
        assert_eq!(at, out.len(), "nothing but whole packets is sent");
        responses
    }

    fn status(&mut self) -> u16 {
        let responses = self.responses();
        assert_eq!(responses.len(), 1, "{responses:?}");
        responses[0].status
    }
}

fn forward(uri: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    let request = OutgoingRequest {
        method: "POST",
        uri,
        remote_addr: "10.1.2.3",
        server_name: "m7.portmore.example.org",
        server_port: 80,
        secret: Some("pulley"),
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

/// Published example: a GET with coded and plain headers, every attribute and an integer one.
#[test]
fn a_forward_request_with_every_attribute_is_read() {
    let mut packet = vec![0x12, 0x34, 0, 0, 2, 2];
    let string = |packet: &mut Vec<u8>, text: &str| {
        packet.extend_from_slice(&(text.len() as u16).to_be_bytes());
        packet.extend_from_slice(text.as_bytes());
        packet.push(0);
    };
    string(&mut packet, "HTTP/1.1");
    string(&mut packet, "/examples/numguess");
    string(&mut packet, "10.0.0.9");
    packet.extend_from_slice(&[0xFF, 0xFF]);
    string(&mut packet, "localhost");
    packet.extend_from_slice(&[0x1F, 0x90, 1, 0, 2, 0xA0, 0x0B]);
    string(&mut packet, "localhost:8080");
    string(&mut packet, "X-Plain");
    string(&mut packet, "yes");
    for code in [1, 2, 3, 4, 5, 6, 7, 8, 9, 12, 13] {
        packet.push(code);
        string(&mut packet, &format!("value{code}"));
    }
    packet.push(10);
    string(&mut packet, "name");
    string(&mut packet, "own");
    packet.extend_from_slice(&[11, 1, 0, 0xFF]);
    let length = (packet.len() - HEADER_BYTES) as u16;
    packet[2..4].copy_from_slice(&length.to_be_bytes());

    let payload = codec::parse_packet(&packet, Direction::ToServer, PACKET_SIZE)
        .expect("good")
        .expect("whole");
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let request = ForwardRequest::decode(&packet[payload], &mut headers).expect("good");
    assert_eq!(
        (request.method, request.uri),
        (&b"GET"[..], &b"/examples/numguess"[..])
    );
    assert_eq!(
        (request.remote_host, request.server_port, request.is_ssl),
        (None, 8_080, true)
    );
    assert_eq!(request.header("HOST"), Some(&b"localhost:8080"[..]));
    assert_eq!(request.header("x-plain"), Some(&b"yes"[..]));
    assert_eq!(
        (request.query, request.secret),
        (Some(&b"value5"[..]), Some(&b"value12"[..]))
    );
    assert_eq!(request.ssl_key_size, Some(256));
    assert_eq!(request.attributes().count(), 13);
    assert!(request
        .attributes()
        .any(|a| a == Attribute::Named(b"name", b"own")));
    // Cut anywhere, and with any one byte changed: read or refused, never a panic.
    for cut in 0..packet.len() {
        assert_eq!(
            codec::parse_packet(&packet[..cut], Direction::ToServer, PACKET_SIZE),
            Ok(None),
            "{cut}"
        );
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        assert!(
            cut <= HEADER_BYTES
                || ForwardRequest::decode(&packet[HEADER_BYTES..cut], &mut headers).is_err(),
            "{cut}"
        );
    }
    for at in HEADER_BYTES..packet.len() {
        for value in [0, 1, 0x7F, 0xA0, 0xFE, 0xFF] {
            let mut changed = packet.clone();
            changed[at] = value;
            let mut headers = [EMPTY_HEADER; MAX_HEADERS];
            let _ = ForwardRequest::decode(&changed[HEADER_BYTES..], &mut headers);
        }
    }
}

#[test]
fn what_is_no_packet_is_refused_at_its_byte() {
    assert_eq!(
        codec::parse_packet(b"GET / HTTP", Direction::ToServer, PACKET_SIZE)
            .expect_err("http")
            .offset,
        0
    );
    assert_eq!(
        codec::parse_packet(&[0x12, 0x35], Direction::ToServer, PACKET_SIZE)
            .expect_err("magic")
            .offset,
        1
    );
    assert_eq!(
        codec::parse_packet(b"AB\x00\x01\x09", Direction::ToServer, PACKET_SIZE)
            .expect_err("way")
            .offset,
        0
    );
    let most = [0x12, 0x34, 0x1F, 0xFC];
    assert_eq!(
        codec::parse_packet(&most, Direction::ToServer, PACKET_SIZE),
        Ok(None)
    );
    assert_eq!(
        codec::parse_packet(&[0x12, 0x34, 0x1F, 0xFD], Direction::ToServer, PACKET_SIZE)
            .expect_err("size")
            .offset,
        2
    );
    // A null path, a string without its zero, one past the packet, and more headers than are taken.
    let good = forward("/look", &[]);
    let place = good.windows(5).position(|w| w == b"/look").expect("there");
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut null = good.clone();
    null[place - 2..place].copy_from_slice(&[0xFF, 0xFF]);
    assert_eq!(
        ForwardRequest::decode(&null[HEADER_BYTES..], &mut headers)
            .expect_err("null")
            .reason,
        "a request without a path"
    );
    let mut open = good.clone();
    open[place + 5] = b'x';
    let fault = ForwardRequest::decode(&open[HEADER_BYTES..], &mut headers).expect_err("no zero");
    assert_eq!(
        (fault.offset, fault.reason),
        (place + 5, "a string without its closing zero")
    );
    let mut long = good;
    long[place - 2..place].copy_from_slice(&[0x7F, 0xFF]);
    assert_eq!(
        ForwardRequest::decode(&long[HEADER_BYTES..], &mut headers)
            .expect_err("past")
            .reason,
        "a string goes on past its packet"
    );
    let many: Vec<_> = (0..=MAX_HEADERS).map(|_| ("a", "b")).collect();
    let request = OutgoingRequest {
        method: "POST",
        uri: "/look",
        headers: &many,
        ..OutgoingRequest::default()
    };
    let mut out = Vec::new();
    assert!(push_forward_request(&mut out, &request, PACKET_SIZE).is_err() && out.is_empty());
    let big = "x".repeat(PACKET_SIZE);
    let request = OutgoingRequest {
        method: "POST",
        uri: &big,
        ..OutgoingRequest::default()
    };
    assert!(push_forward_request(&mut out, &request, PACKET_SIZE).is_err() && out.is_empty());
}

#[test]
fn a_request_is_handed_over_once_its_body_is_whole_and_answered_on_the_same_connection() {
    let mut peer = Peer::new();
    let begun = peer.now;
    let headers = [
        ("X-Id", "9b1f03aa5c7e2d41"),
        ("X-Work", "12.5"),
        ("X-Key", "k1"),
        ("Content-Length", "5"),
        ("X-Subject", "s"),
    ];
    let request = forward("/seat", &headers);
    peer.send(&request[..20]);
    peer.now += 300;
    peer.send(&request[20..]);
    peer.send(&body(b"ra"));
    assert!(peer.arrivals.is_empty());
    assert_eq!(
        peer.out,
        [b'A', b'B', 0, 3, 6, 0, 3],
        "the rest is asked for"
    );
    peer.out.clear();
    peer.send(&body(b"ce!"));
    let arrival = peer.arrivals[0].clone();
    assert_eq!(
        (arrival.class, arrival.id, arrival.expected_work),
        (1, 0x9b1f_03aa_5c7e_2d41, 12_500)
    );
    assert_eq!(
        (arrival.caller, arrival.memory_kb, arrival.rank),
        (7, 30.0, 0.5)
    );
    assert_eq!(
        (arrival.received_at, arrival.has_subject),
        (begun, true),
        "the door is the first byte's time"
    );
    assert_eq!(
        (arrival.key.as_deref(), &arrival.body[..]),
        (Some(&b"k1"[..]), &b"race!"[..])
    );
    peer.feedback = Some(2.5);
    assert!(peer.answer(&Response::Served(b"grid".to_vec())));
    assert!(!peer.answer(&Response::Failed), "one answer and no more");
    let response = peer.responses().remove(0);
    assert_eq!(
        (response.status, &response.body[..], response.reuse),
        (200, &b"grid"[..], true)
    );
    assert_eq!(response.header("X-Feedback"), Some("2.5000"));
    // The next on the same connection: refused, with the time to come back.
    peer.send(&forward("/look", &[]));
    assert!(peer.answer(&Response::Rejected {
        retry_after: 1_200_000,
        no_failover: true
    }));
    let response = peer.responses().remove(0);
    assert_eq!(
        (response.status, response.not_run(), response.reuse),
        (503, true, true)
    );
    assert_eq!(
        (
            response.header("Retry-After"),
            response.header("X-Retry-After-Ms")
        ),
        (Some("2"), Some("1200"))
    );
    assert_eq!(response.header("X-No-Retry"), Some("1"));
    for (answer, status) in [(Response::Failed, 500), (Response::Expired, 504)] {
        peer.send(&forward("/look", &[]));
        assert!(peer.answer(&answer));
        let response = peer.responses().remove(0);
        assert!(
            response.status == status && !response.not_run(),
            "{response:?}"
        );
    }
    let ids: std::collections::BTreeSet<_> =
        peer.arrivals.iter().map(|arrival| arrival.id).collect();
    assert_eq!(ids.len(), 4, "requests without an id get one each");
}

#[test]
fn a_body_of_unknown_length_is_asked_for_until_an_empty_packet() {
    let mut peer = Peer::new();
    peer.send(&forward("/look", &[("Transfer-Encoding", "chunked")]));
    assert_eq!(peer.out, [b'A', b'B', 0, 3, 6, 0x08, 0x01]);
    peer.send(&body(b"one"));
    peer.send(&body(b"two"));
    peer.send(&[0x12, 0x34, 0, 0]);
    assert_eq!(peer.arrivals[0].body, b"onetwo");
    let mut peer = Peer::new();
    peer.send(&forward("/look", &[("Transfer-Encoding", "chunked")]));
    peer.send(&body(&[b'x'; 2_049]));
    assert_eq!(peer.status(), 413);
}

#[test]
fn what_can_not_be_served_is_answered_and_never_handed_over() {
    let id = ("X-Id", "a");
    let with = |headers: &[(&str, &str)]| forward("/look", headers);
    let wrong_method = {
        let request = OutgoingRequest {
            method: "GET",
            uri: "/look",
            secret: Some("pulley"),
            ..OutgoingRequest::default()
        };
        let mut out = Vec::new();
        push_forward_request(&mut out, &request, PACKET_SIZE).expect("it fits");
        out
    };
    let secret = |secret: Option<&str>| {
        let request = OutgoingRequest {
            method: "POST",
            uri: "/look",
            secret,
            ..OutgoingRequest::default()
        };
        let mut out = Vec::new();
        push_forward_request(&mut out, &request, PACKET_SIZE).expect("it fits");
        out
    };
    for (bytes, status) in [
        (forward("/spin", &[]), 404),
        (forward("/look/../seat", &[]), 404),
        (wrong_method, 405),
        (secret(None), 403),
        (secret(Some("pulleY")), 403),
        (secret(Some("pulley2")), 403),
        (forward("/seat", &[]), 400),
        (with(&[("Content-Length", "2049")]), 413),
        (with(&[("Content-Length", "-1")]), 400),
        (with(&[("Content-Length", "+1")]), 400),
        (with(&[("Content-Length", "")]), 400),
        (with(&[("Content-Length", "99999999999999999999")]), 400),
        (
            with(&[("Content-Length", "1"), ("Content-Length", "2")]),
            400,
        ),
        (
            with(&[("Content-Length", "1"), ("Transfer-Encoding", "chunked")]),
            400,
        ),
        (with(&[("Transfer-Encoding", "gzip")]), 400),
        (with(&[("X-Work", "NaN")]), 400),
        (with(&[("X-Caller", "me")]), 400),
        (with(&[("X-Key", "")]), 400),
        (with(&[id, ("X-Id", ""), ("X-Work", "-1")]), 400),
        (
            [with(&[("Content-Length", "3")]), body(b"four")].concat(),
            400,
        ),
        ([with(&[("Content-Length", "3")]), body(b"")].concat(), 400),
        (
            [
                with(&[("Content-Length", "3")]),
                vec![0x12, 0x34, 0, 4, 0, 9, 1, 2],
            ]
            .concat(),
            400,
        ),
        (
            [with(&[("Content-Length", "3")]), b"GET /".to_vec()].concat(),
            400,
        ),
    ] {
        let mut peer = Peer::new();
        peer.send(&bytes);
        let responses = peer.responses();
        assert_eq!(responses.len(), 1, "{}", bytes.escape_ascii());
        assert_eq!(responses[0].status, status, "{}", bytes.escape_ascii());
        assert!(responses[0].not_run() && !responses[0].reuse);
        assert!(
            peer.arrivals.is_empty() && peer.connection.status().state == ConnectionState::Closing
        );
        assert!(status != 405 || responses[0].header("Allow") == Some("POST"));
        // Nothing that follows is read as a request.
        peer.send(&with(&[]));
        assert!(peer.arrivals.is_empty() && peer.out.is_empty());
    }
    // What can't be read, or must not be obeyed, ends the connection without a word.
    for bytes in [
        &b"GET / HTTP/1.1\r\n"[..],
        &[0x12, 0x34, 0, 1, 7],
        &[0x12, 0x34, 0, 0],
        &[0x12, 0x34, 0xFF, 0xFF],
        &body(b"unasked"),
    ] {
        let mut peer = Peer::new();
        peer.send(bytes);
        assert!(peer.out.is_empty() && peer.connection.status().state == ConnectionState::Closing);
    }
}

/// Guards against the hole of 2020: attributes that a client smuggles through must not steer anything.
#[test]
fn attributes_are_passed_over_unless_named() {
    let attributes = [
        ("javax.servlet.include.path_info", "/WEB-INF/web.xml"),
        ("X-Id", "b"),
        ("rank", "0.25"),
    ];
    let request = OutgoingRequest {
        method: "POST",
        uri: "/look",
        secret: Some("pulley"),
        headers: &[("X-Id", "00000000000000a1")],
        attributes: &attributes,
        ..OutgoingRequest::default()
    };
    let mut out = Vec::new();
    push_forward_request(&mut out, &request, PACKET_SIZE).expect("it fits");
    let mut peer = Peer::new();
    peer.send(&out);
    assert_eq!((peer.arrivals[0].id, peer.arrivals[0].rank), (0xa1, 0.25));
}

#[test]
fn a_door_is_believed_of_trusted_proxies_and_only_if_it_is_earlier() {
    let now = Peer::new().now;
    for (trusted, ms, expected) in [
        (false, now / 1_000 - 500, now),
        (true, now / 1_000 - 500, now - 500_000),
        (true, now / 1_000 + 500, now),
    ] {
        let mut peer = Peer::with(settings(), trusted);
        peer.send(&forward("/look", &[("X-Door", &ms.to_string())]));
        assert_eq!(peer.arrivals[0].received_at, expected);
    }
}

#[test]
fn a_stalled_body_is_answered_in_its_time_and_holds_little() {
    let mut peer = Peer::new();
    peer.send(&forward("/look", &[("Content-Length", "2000")]));
    peer.send(&body(&[b'x'; 900]));
    let since = peer.now;
    assert_eq!(peer.connection.deadline(), Some(since + 2 * SECOND));
    // Bytes that make nothing whole win no time.
    peer.now += SECOND;
    peer.send(&[0x12]);
    assert_eq!(peer.connection.deadline(), Some(since + 2 * SECOND));
    peer.now += SECOND;
    peer.tell(cleatpulley_protocol::state_machine::ConnectionStateMachine::handle_timeout);
    assert_eq!(peer.status(), 408);
    assert_eq!(
        (
            peer.connection.status().state,
            peer.connection.status().open_requests
        ),
        (ConnectionState::Closing, 0)
    );
}

#[test]
fn leaving_closes_idle_connections_answers_open_ones_and_leaves_pings_alone() {
    let leave = |peer: &mut Peer| {
        peer.tell(cleatpulley_protocol::state_machine::ConnectionStateMachine::begin_shutdown);
    };
    let part = |peer: &mut Peer| {
        peer.tell(
            cleatpulley_protocol::state_machine::ConnectionStateMachine::stop_accepting_requests,
        );
    };
    let ping = [0x12, 0x34, 0, 1, 10];
    // Idle: pinged before, closed now.
    let mut peer = Peer::new();
    peer.send(&ping);
    assert_eq!(std::mem::take(&mut peer.out), [b'A', b'B', 0, 1, 9]);
    leave(&mut peer);
    assert_eq!(peer.connection.status().state, ConnectionState::Closing);
    // New: a ping goes unanswered, a request is answered as the last.
    let mut peer = Peer::new();
    leave(&mut peer);
    peer.send(&ping);
    assert!(peer.out.is_empty() && peer.connection.status().state == ConnectionState::Closing);
    let mut peer = Peer::new();
    leave(&mut peer);
    peer.send(&forward("/look", &[]));
    part(&mut peer);
    assert!(peer.answer(&Response::Served(Vec::new())));
    assert!(
        !peer.responses()[0].reuse && peer.connection.status().state == ConnectionState::Closing
    );
    // Half a body: read on until the end is near, then told that it never ran.
    let mut peer = Peer::new();
    peer.send(&forward("/look", &[("Content-Length", "9")]));
    leave(&mut peer);
    assert_eq!(peer.connection.status().state, ConnectionState::Open);
    part(&mut peer);
    let response = peer.responses().remove(0);
    assert!(
        response.status == 503 && response.not_run() && response.header("Retry-After").is_some()
    );
}

#[test]
fn a_second_request_while_one_is_open_is_not_served() {
    let mut peer = Peer::new();
    peer.send(&[forward("/look", &[]), forward("/look", &[])].concat());
    assert_eq!(peer.arrivals.len(), 1);
    assert!(peer.answer(&Response::Served(b"1".to_vec())));
    let responses = peer.responses();
    assert!(responses.len() == 1 && !responses[0].reuse);
    assert_eq!(peer.connection.status().state, ConnectionState::Closing);
}

/// A recorded conversation of three requests, cut at every byte: what was whole before is handed over, in its order,
/// nothing else is, and no request stays open without an end.
#[test]
fn a_conversation_cut_anywhere_hands_over_what_was_whole() {
    let parts = [
        forward("/look", &[("Content-Length", "4")]),
        body(b"grid"),
        vec![0x12, 0x34, 0, 1, 10],
        forward("/seat", &[("X-Id", "seat-1")]),
        forward("/look", &[("Transfer-Encoding", "chunked")]),
        body(b"a"),
        vec![0x12, 0x34, 0, 0],
    ];
    let whole = parts.concat();
    let mut ends = Vec::new();
    let mut at = 0;
    for part in &parts {
        at += part.len();
        ends.push(at);
    }
    let handed_at = [ends[1], ends[3], ends[6]];
    for cut in 0..=whole.len() {
        let mut peer = Peer::new();
        let mut handed = 0;
        for byte in &whole[..cut] {
            peer.send(std::slice::from_ref(byte));
            if peer.arrivals.len() > handed {
                handed += 1;
                assert!(peer.answer(&Response::Served(b"ok".to_vec())));
            }
        }
        assert_eq!(
            handed,
            handed_at.iter().filter(|end| **end <= cut).count(),
            "{cut}"
        );
        assert_eq!(peer.connection.status().open_requests, 0);
        assert!(
            peer.connection.deadline().is_some(),
            "it is given up in time"
        );
    }
}

#[test]
fn ids_are_hex_or_hashed() {
    assert_eq!(parse_request_id(b"9b1f03aa5c7e2d41"), 0x9b1f_03aa_5c7e_2d41);
    assert_ne!(
        parse_request_id(b"+b1f03aa5c7e2d41"),
        parse_request_id(b"-b1f03aa5c7e2d41")
    );
    assert_eq!(
        parse_request_id(b"b8f6-uuid"),
        parse_request_id(b"b8f6-uuid")
    );
}

#[test]
fn the_client_sends_asks_after_life_and_knows_what_may_have_run() {
    let options = Options {
        packet_size: PACKET_SIZE,
        secret: Some("pulley".to_owned()),
        server: ("m".to_owned(), 1),
    };
    let mut client = Client::new(options, 0);
    let mut peer = Peer::new();
    let request = Request {
        method: "POST",
        uri: "/look",
        headers: &[],
        body: &[b'b'; 2_000],
    };
    let mut out = Vec::new();
    client.request(0, &request, &mut out).expect("it fits");
    assert_eq!(
        client.execution_state(1),
        ExecutionState::NeverRan,
        "a byte of it is still here"
    );
    assert_eq!(client.execution_state(0), ExecutionState::MayHaveRun);
    peer.send(&out);
    assert_eq!(peer.arrivals[0].body, request.body);
    assert!(peer.answer(&Response::Served(vec![7; 20_000])));
    let reply = std::mem::take(&mut peer.out);
    let mut more = Vec::new();
    for cut in [1, 9_000, reply.len()] {
        assert!(client.take_response().is_none());
        let used = client.receive(0, &reply[..cut], &mut more).expect("good");
        if cut < reply.len() {
            // What was used up stays so: begin anew with a client that saw nothing.
            assert!(used <= cut);
            client = Client::new(
                Options {
                    packet_size: PACKET_SIZE,
                    secret: Some("pulley".to_owned()),
                    server: ("m".to_owned(), 1),
                },
                0,
            );
            client
                .request(0, &request, &mut Vec::new())
                .expect("it fits");
        }
    }
    let response = client.take_response().expect("whole");
    assert!(
        response.status == 200
            && response.body == vec![7; 20_000]
            && response.reuse
            && client.is_idle()
    );
    // Old: first a ping; until the pong nothing can have run.
    out.clear();
    client
        .request(MIN_IDLE_BEFORE_PING, &request, &mut out)
        .expect("it fits");
    assert_eq!(out, [0x12, 0x34, 0, 1, 10]);
    assert_eq!(client.execution_state(0), ExecutionState::NeverRan);
    let mut sent = Vec::new();
    client
        .receive(MIN_IDLE_BEFORE_PING, &[b'A', b'B', 0, 1, 9], &mut sent)
        .expect("a pong");
    assert!(sent.len() > 2_000 && client.execution_state(0) == ExecutionState::MayHaveRun);
    // A reply that ends short of what it told, and one where none is due.
    let mut short = Vec::new();
    push_send_headers(
        &mut short,
        200,
        "OK",
        &[("Content-Length", "9")],
        PACKET_SIZE,
    )
    .expect("it fits");
    push_body_chunks(&mut short, b"eight by", PACKET_SIZE);
    push_end_response(&mut short, true);
    assert!(client
        .receive(MIN_IDLE_BEFORE_PING, &short, &mut sent)
        .is_err());
    let mut idle = Client::new(
        Options {
            packet_size: PACKET_SIZE,
            ..Options::default()
        },
        0,
    );
    assert!(idle.receive(0, &short, &mut sent).is_err());
    idle.ping(&mut sent);
    idle.receive(0, &[b'A', b'B', 0, 1, 9], &mut sent)
        .expect("a pong");
    assert!(idle.take_pong() && !idle.take_pong());
}
