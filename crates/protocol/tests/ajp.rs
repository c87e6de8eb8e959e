//! Tests of the AJP codec and of the client's and server's connections, without sockets or clocks.

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
        class_table: ClassTable::new(vec![entry("/look", 0), entry("/seat", 1)]).expect("valid"),
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

/// A server's connection with a clock, its input and output, and the requests it handed over.
struct TestServer {
    connection: Connection,
    now: u64,
    input: Vec<u8>,
    output: Vec<u8>,
    requests: Vec<IncomingRequest>,
    classes: Vec<String>,
    feedback: Option<f64>,
}

impl TestServer {
    fn with(settings: Settings, trusted: bool) -> Self {
        let now = 1_764_576_000 * SECOND;
        let connection = Connection::new(Rc::new(settings), now, trusted);
        let classes = vec!["look".to_owned(), "seat".to_owned()];
        Self {
            connection,
            now,
            input: Vec::new(),
            output: Vec::new(),
            requests: Vec::new(),
            classes,
            feedback: None,
        }
    }

    fn new() -> Self {
        Self::with(settings(), false)
    }

    fn with_connection<T>(
        &mut self,
        action: impl FnOnce(&mut Connection, &Context, &mut Vec<u8>) -> T,
    ) -> T {
        let context = Context {
            now: self.now,
            connection_id: 3,
            class_names: &self.classes,
            is_healthy: true,
            feedback: self.feedback,
        };
        action(&mut self.connection, &context, &mut self.output)
    }

    fn send(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
        let (input, mut requests) = (
            std::mem::take(&mut self.input),
            std::mem::take(&mut self.requests),
        );
        let consumed = self.with_connection(|connection, context, output| {
            connection.receive(context, &input, output, &mut requests)
        });
        assert!(consumed <= input.len());
        self.input = input[consumed..].to_vec();
        self.requests = requests;
    }

    fn respond(&mut self, response: &Response) -> bool {
        let stream = self.requests.last().expect("a request").client.stream;
        self.with_connection(|connection, context, output| {
            connection.respond(context, stream, response, output)
        })
    }

    /// Decodes and removes the responses sent so far.
    fn responses(&mut self) -> Vec<ClientResponse> {
        let mut responses = Vec::new();
        let output = std::mem::take(&mut self.output);
        let mut at = 0;
        let mut current = ClientResponse::default();
        while let Some(payload) =
            codec::parse_packet(&output[at..], Direction::ToProxy, PACKET_SIZE).expect("a packet")
        {
            let packet = &output[at..at + payload.end];
            at += payload.end;
            let mut headers = [EMPTY_HEADER; MAX_HEADERS];
            match ServerPacket::decode(&packet[payload], &mut headers)
                .expect("a packet of the server")
            {
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
        assert_eq!(at, output.len(), "only complete packets are sent");
        responses
    }

    fn status(&mut self) -> u16 {
        let responses = self.responses();
        assert_eq!(responses.len(), 1, "{responses:?}");
        responses[0].status
    }
}

fn forward_packet(uri: &str, headers: &[(&str, &str)]) -> Vec<u8> {
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
    let mut output = Vec::new();
    push_forward_request(&mut output, &request, PACKET_SIZE).expect("it fits");
    output
}

fn body_packet(data: &[u8]) -> Vec<u8> {
    let mut output = Vec::new();
    push_body(&mut output, data, PACKET_SIZE).expect("it fits");
    output
}

/// A published example: a GET with coded and plain headers, every attribute with a code, a named
/// one and the integer one.
#[test]
fn forward_request_with_every_attribute_is_decoded() {
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
        .expect("valid")
        .expect("complete");
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let request = ForwardRequest::decode(&packet[payload], &mut headers).expect("valid");
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
    // Truncated at any byte, or with any byte changed, the packet is decoded or rejected without a
    // panic.
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
fn invalid_packet_is_rejected_with_its_offset() {
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
            .expect_err("direction")
            .offset,
        0
    );
    let largest = [0x12, 0x34, 0x1F, 0xFC];
    assert_eq!(
        codec::parse_packet(&largest, Direction::ToServer, PACKET_SIZE),
        Ok(None)
    );
    assert_eq!(
        codec::parse_packet(&[0x12, 0x34, 0x1F, 0xFD], Direction::ToServer, PACKET_SIZE)
            .expect_err("size")
            .offset,
        2
    );
    // A null path, a string without its terminating zero, one beyond the packet, and too many
    // headers.
    let valid_packet = forward_packet("/look", &[]);
    let index = valid_packet
        .windows(5)
        .position(|w| w == b"/look")
        .expect("the path is in the packet");
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut null = valid_packet.clone();
    null[index - 2..index].copy_from_slice(&[0xFF, 0xFF]);
    assert_eq!(
        ForwardRequest::decode(&null[HEADER_BYTES..], &mut headers)
            .expect_err("null")
            .reason,
        "a request without a path"
    );
    let mut open = valid_packet.clone();
    open[index + 5] = b'x';
    let error = ForwardRequest::decode(&open[HEADER_BYTES..], &mut headers)
        .expect_err("no terminating zero");
    assert_eq!(
        (error.offset, error.reason),
        (index + 5, "a string without its closing zero")
    );
    let mut long = valid_packet;
    long[index - 2..index].copy_from_slice(&[0x7F, 0xFF]);
    assert_eq!(
        ForwardRequest::decode(&long[HEADER_BYTES..], &mut headers)
            .expect_err("past")
            .reason,
        "a string goes on past its packet"
    );
    let headers_over_limit: Vec<_> = (0..=MAX_HEADERS).map(|_| ("a", "b")).collect();
    let request = OutgoingRequest {
        method: "POST",
        uri: "/look",
        headers: &headers_over_limit,
        ..OutgoingRequest::default()
    };
    let mut output = Vec::new();
    assert!(push_forward_request(&mut output, &request, PACKET_SIZE).is_err() && output.is_empty());
    let big = "x".repeat(PACKET_SIZE);
    let request = OutgoingRequest {
        method: "POST",
        uri: &big,
        ..OutgoingRequest::default()
    };
    assert!(push_forward_request(&mut output, &request, PACKET_SIZE).is_err() && output.is_empty());
}

#[test]
fn request_is_handed_over_once_complete_and_gets_its_response() {
    let mut server = TestServer::new();
    let received_at = server.now;
    let headers = [
        ("X-Id", "9b1f03aa5c7e2d41"),
        ("X-Work", "12.5"),
        ("X-Key", "k1"),
        ("Content-Length", "5"),
        ("X-Subject", "s"),
    ];
    let request = forward_packet("/seat", &headers);
    server.send(&request[..20]);
    server.now += 300;
    server.send(&request[20..]);
    server.send(&body_packet(b"ra"));
    assert!(server.requests.is_empty());
    assert_eq!(
        server.output,
        [b'A', b'B', 0, 3, 6, 0, 3],
        "the rest of the body is requested"
    );
    server.output.clear();
    server.send(&body_packet(b"ce!"));
    let request = server.requests[0].clone();
    assert_eq!(
        (request.class, request.id, request.expected_work),
        (1, 0x9b1f_03aa_5c7e_2d41, 12_500)
    );
    assert_eq!(
        (request.caller, request.memory_kb, request.rank),
        (7, 30.0, 0.5)
    );
    assert_eq!(
        (request.received_at, request.has_subject),
        (received_at, true),
        "the arrival time is that of the first byte"
    );
    assert_eq!(
        (request.key.as_deref(), &request.body[..]),
        (Some(&b"k1"[..]), &b"race!"[..])
    );
    server.feedback = Some(2.5);
    assert!(server.respond(&Response::Served(b"grid".to_vec())));
    assert!(
        !server.respond(&Response::Failed),
        "a request gets one response"
    );
    let response = server.responses().remove(0);
    assert_eq!(
        (response.status, &response.body[..], response.reuse),
        (200, &b"grid"[..], true)
    );
    assert_eq!(response.header("X-Feedback"), Some("2.5000"));
    // The next request on the same connection is rejected, with the time before a retry.
    server.send(&forward_packet("/look", &[]));
    assert!(server.respond(&Response::Rejected {
        retry_after: 1_200_000,
        no_failover: true
    }));
    let response = server.responses().remove(0);
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
    for (response, status) in [(Response::Failed, 500), (Response::Expired, 504)] {
        server.send(&forward_packet("/look", &[]));
        assert!(server.respond(&response));
        let response = server.responses().remove(0);
        assert!(
            response.status == status && !response.not_run(),
            "{response:?}"
        );
    }
    let ids: std::collections::BTreeSet<_> =
        server.requests.iter().map(|request| request.id).collect();
    assert_eq!(ids.len(), 4, "requests without an id get different ids");
}

#[test]
fn chunked_body_is_requested_until_an_empty_packet() {
    let mut server = TestServer::new();
    server.send(&forward_packet(
        "/look",
        &[("Transfer-Encoding", "chunked")],
    ));
    assert_eq!(server.output, [b'A', b'B', 0, 3, 6, 0x08, 0x01]);
    server.send(&body_packet(b"one"));
    server.send(&body_packet(b"two"));
    server.send(&[0x12, 0x34, 0, 0]);
    assert_eq!(server.requests[0].body, b"onetwo");
    let mut server = TestServer::new();
    server.send(&forward_packet(
        "/look",
        &[("Transfer-Encoding", "chunked")],
    ));
    server.send(&body_packet(&[b'x'; 2_049]));
    assert_eq!(server.status(), 413);
}

#[test]
fn invalid_requests_get_an_error_and_are_not_handed_over() {
    let id = ("X-Id", "a");
    let with = |headers: &[(&str, &str)]| forward_packet("/look", headers);
    let wrong_method = {
        let request = OutgoingRequest {
            method: "GET",
            uri: "/look",
            secret: Some("pulley"),
            ..OutgoingRequest::default()
        };
        let mut output = Vec::new();
        push_forward_request(&mut output, &request, PACKET_SIZE).expect("it fits");
        output
    };
    let secret = |secret: Option<&str>| {
        let request = OutgoingRequest {
            method: "POST",
            uri: "/look",
            secret,
            ..OutgoingRequest::default()
        };
        let mut output = Vec::new();
        push_forward_request(&mut output, &request, PACKET_SIZE).expect("it fits");
        output
    };
    for (bytes, status) in [
        (forward_packet("/spin", &[]), 404),
        (forward_packet("/look/../seat", &[]), 404),
        (wrong_method, 405),
        (secret(None), 403),
        (secret(Some("pulleY")), 403),
        (secret(Some("pulley2")), 403),
        (forward_packet("/seat", &[]), 400),
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
            [with(&[("Content-Length", "3")]), body_packet(b"four")].concat(),
            400,
        ),
        (
            [with(&[("Content-Length", "3")]), body_packet(b"")].concat(),
            400,
        ),
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
        let mut server = TestServer::new();
        server.send(&bytes);
        let responses = server.responses();
        assert_eq!(responses.len(), 1, "{}", bytes.escape_ascii());
        assert_eq!(responses[0].status, status, "{}", bytes.escape_ascii());
        assert!(responses[0].not_run() && !responses[0].reuse);
        assert!(
            server.requests.is_empty()
                && server.connection.status().state == ConnectionState::Closing
        );
        assert!(status != 405 || responses[0].header("Allow") == Some("POST"));
        // What follows is not read as a request.
        server.send(&with(&[]));
        assert!(server.requests.is_empty() && server.output.is_empty());
    }
    // Input that is invalid, or must not be obeyed, ends the connection without a response.
    for bytes in [
        &b"GET / HTTP/1.1\r\n"[..],
        &[0x12, 0x34, 0, 1, 7],
        &[0x12, 0x34, 0, 0],
        &[0x12, 0x34, 0xFF, 0xFF],
        &body_packet(b"unasked"),
    ] {
        let mut server = TestServer::new();
        server.send(bytes);
        assert!(
            server.output.is_empty()
                && server.connection.status().state == ConnectionState::Closing
        );
    }
}

/// Guards against the AJP vulnerability of 2020: attributes that a client smuggles through the
/// proxy must have no effect.
#[test]
fn attributes_are_ignored_unless_configured() {
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
    let mut output = Vec::new();
    push_forward_request(&mut output, &request, PACKET_SIZE).expect("it fits");
    let mut server = TestServer::new();
    server.send(&output);
    assert_eq!(
        (server.requests[0].id, server.requests[0].rank),
        (0xa1, 0.25)
    );
}

#[test]
fn arrival_time_is_accepted_from_trusted_proxies_if_not_in_the_future() {
    let now = TestServer::new().now;
    for (trusted, ms, expected) in [
        (false, now / 1_000 - 500, now),
        (true, now / 1_000 - 500, now - 500_000),
        (true, now / 1_000 + 500, now),
    ] {
        let mut server = TestServer::with(settings(), trusted);
        server.send(&forward_packet("/look", &[("X-Door", &ms.to_string())]));
        assert_eq!(server.requests[0].received_at, expected);
    }
}

#[test]
fn stalled_body_times_out_with_status_408() {
    let mut server = TestServer::new();
    server.send(&forward_packet("/look", &[("Content-Length", "2000")]));
    server.send(&body_packet(&[b'x'; 900]));
    let since = server.now;
    assert_eq!(server.connection.deadline(), Some(since + 2 * SECOND));
    // An incomplete packet does not extend the deadline.
    server.now += SECOND;
    server.send(&[0x12]);
    assert_eq!(server.connection.deadline(), Some(since + 2 * SECOND));
    server.now += SECOND;
    server.with_connection(
        cleatpulley_protocol::state_machine::ConnectionStateMachine::handle_timeout,
    );
    assert_eq!(server.status(), 408);
    assert_eq!(
        (
            server.connection.status().state,
            server.connection.status().open_requests
        ),
        (ConnectionState::Closing, 0)
    );
}

#[test]
fn shutdown_closes_idle_connections_and_completes_open_requests() {
    let begin_shutdown = |server: &mut TestServer| {
        server.with_connection(
            cleatpulley_protocol::state_machine::ConnectionStateMachine::begin_shutdown,
        );
    };
    let stop_accepting = |server: &mut TestServer| {
        server.with_connection(
            cleatpulley_protocol::state_machine::ConnectionStateMachine::stop_accepting_requests,
        );
    };
    let ping = [0x12, 0x34, 0, 1, 10];
    // An idle connection that was used is closed at once.
    let mut server = TestServer::new();
    server.send(&ping);
    assert_eq!(std::mem::take(&mut server.output), [b'A', b'B', 0, 1, 9]);
    begin_shutdown(&mut server);
    assert_eq!(server.connection.status().state, ConnectionState::Closing);
    // On a new connection a ping gets no response, and a request gets the last one.
    let mut server = TestServer::new();
    begin_shutdown(&mut server);
    server.send(&ping);
    assert!(
        server.output.is_empty() && server.connection.status().state == ConnectionState::Closing
    );
    let mut server = TestServer::new();
    begin_shutdown(&mut server);
    server.send(&forward_packet("/look", &[]));
    stop_accepting(&mut server);
    assert!(server.respond(&Response::Served(Vec::new())));
    assert!(
        !server.responses()[0].reuse
            && server.connection.status().state == ConnectionState::Closing
    );
    // An incomplete body is read until the stop is near; the response then states that the request
    // never ran.
    let mut server = TestServer::new();
    server.send(&forward_packet("/look", &[("Content-Length", "9")]));
    begin_shutdown(&mut server);
    assert_eq!(server.connection.status().state, ConnectionState::Open);
    stop_accepting(&mut server);
    let response = server.responses().remove(0);
    assert!(
        response.status == 503 && response.not_run() && response.header("Retry-After").is_some()
    );
}

#[test]
fn second_request_while_one_is_open_ends_the_connection() {
    let mut server = TestServer::new();
    server.send(&[forward_packet("/look", &[]), forward_packet("/look", &[])].concat());
    assert_eq!(server.requests.len(), 1);
    assert!(server.respond(&Response::Served(b"1".to_vec())));
    let responses = server.responses();
    assert!(responses.len() == 1 && !responses[0].reuse);
    assert_eq!(server.connection.status().state, ConnectionState::Closing);
}

/// An exchange of three requests, truncated at every byte: exactly the requests that are complete
/// are handed over, in their order, and none stays open without a deadline.
#[test]
fn truncated_exchange_hands_over_the_complete_requests() {
    let parts = [
        forward_packet("/look", &[("Content-Length", "4")]),
        body_packet(b"grid"),
        vec![0x12, 0x34, 0, 1, 10],
        forward_packet("/seat", &[("X-Id", "seat-1")]),
        forward_packet("/look", &[("Transfer-Encoding", "chunked")]),
        body_packet(b"a"),
        vec![0x12, 0x34, 0, 0],
    ];
    let all_bytes = parts.concat();
    let mut ends = Vec::new();
    let mut at = 0;
    for part in &parts {
        at += part.len();
        ends.push(at);
    }
    let handed_over_at = [ends[1], ends[3], ends[6]];
    for cut in 0..=all_bytes.len() {
        let mut server = TestServer::new();
        let mut handed_over = 0;
        for byte in &all_bytes[..cut] {
            server.send(std::slice::from_ref(byte));
            if server.requests.len() > handed_over {
                handed_over += 1;
                assert!(server.respond(&Response::Served(b"ok".to_vec())));
            }
        }
        assert_eq!(
            handed_over,
            handed_over_at.iter().filter(|end| **end <= cut).count(),
            "{cut}"
        );
        assert_eq!(server.connection.status().open_requests, 0);
        assert!(
            server.connection.deadline().is_some(),
            "a connection always has a deadline"
        );
    }
}

#[test]
fn request_ids_are_hex_or_hashed() {
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
fn client_sends_requests_pings_and_knows_what_may_have_run() {
    let options = Options {
        packet_size: PACKET_SIZE,
        secret: Some("pulley".to_owned()),
        server: ("m".to_owned(), 1),
    };
    let mut client = Client::new(options, 0);
    let mut server = TestServer::new();
    let request = Request {
        method: "POST",
        uri: "/look",
        headers: &[],
        body: &[b'b'; 2_000],
    };
    let mut output = Vec::new();
    client.request(0, &request, &mut output).expect("it fits");
    assert_eq!(
        client.execution_state(1),
        ExecutionState::NeverRan,
        "the last byte was not sent"
    );
    assert_eq!(client.execution_state(0), ExecutionState::MayHaveRun);
    server.send(&output);
    assert_eq!(server.requests[0].body, request.body);
    assert!(server.respond(&Response::Served(vec![7; 20_000])));
    let response_bytes = std::mem::take(&mut server.output);
    let mut more = Vec::new();
    for cut in [1, 9_000, response_bytes.len()] {
        assert!(client.take_response().is_none());
        let consumed = client
            .receive(0, &response_bytes[..cut], &mut more)
            .expect("valid");
        if cut < response_bytes.len() {
            // The client has consumed these bytes: start again with a new one.
            assert!(consumed <= cut);
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
    let response = client.take_response().expect("complete");
    assert!(
        response.status == 200
            && response.body == vec![7; 20_000]
            && response.reuse
            && client.is_idle()
    );
    // After an idle time a ping is sent first; until the pong, the request can't have run.
    output.clear();
    client
        .request(MIN_IDLE_BEFORE_PING, &request, &mut output)
        .expect("it fits");
    assert_eq!(output, [0x12, 0x34, 0, 1, 10]);
    assert_eq!(client.execution_state(0), ExecutionState::NeverRan);
    let mut sent = Vec::new();
    client
        .receive(MIN_IDLE_BEFORE_PING, &[b'A', b'B', 0, 1, 9], &mut sent)
        .expect("a pong");
    assert!(sent.len() > 2_000 && client.execution_state(0) == ExecutionState::MayHaveRun);
    // A response shorter than its Content-Length, and one without a request.
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
