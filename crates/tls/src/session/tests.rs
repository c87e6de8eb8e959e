use super::*;
use crate::authority::{self, IssuedCertificate};
use crate::certificate::CertificateWithKey;
use crate::config::{self, ClientAuthentication, ProtocolVersions};
use crate::ticket_keys::{TicketKeys, SECRET_BYTES};
use crate::Clock;
use std::path::Path;

const NOW: i64 = 1_800_000_000;
const DAY: u64 = 86_400 * 1_000_000;

struct TestPeers {
    authority: IssuedCertificate,
    server: CertificateWithKey,
    client: CertificateWithKey,
    clock: Clock,
}

fn load_certificate(issued: &IssuedCertificate) -> CertificateWithKey {
    CertificateWithKey::from_pem(
        Path::new("cert.pem"),
        issued.certificate.as_bytes(),
        Path::new("key.pem"),
        issued.key.as_bytes(),
    )
    .expect("a valid certificate and key")
}

fn issue(authority: &IssuedCertificate, name: &str, from: i64, days: i64) -> CertificateWithKey {
    let issued = authority::issue_certificate(
        (&authority.certificate, &authority.key),
        &[name.to_owned()],
        None,
        from,
        days,
    );
    load_certificate(&issued.expect("issued"))
}

fn create_test_peers() -> TestPeers {
    let authority =
        authority::create_authority("test authority", NOW, 3_650).expect("an authority");
    let server = issue(&authority, "n1.example", NOW, 30);
    let client = issue(&authority, "fe-1", NOW, 30);
    TestPeers {
        authority,
        server,
        client,
        clock: Clock::from_unix_micros(NOW as u64 * 1_000_000 + 3_600_000_000),
    }
}

fn roots(issued: &IssuedCertificate) -> Vec<rustls::pki_types::CertificateDer<'static>> {
    crate::certificate::parse_certificates(Path::new("ca.pem"), issued.certificate.as_bytes())
        .expect("roots")
}

/// Exchanges bytes until neither side has any to send; returns the first error of either side.
fn exchange(
    client: &mut Session,
    server: &mut Session,
    plaintext: &mut (Vec<u8>, Vec<u8>),
) -> Result<(), SessionError> {
    for _ in 0..20 {
        let (mut to_server, mut to_client) = (Vec::new(), Vec::new());
        client.take_output(&mut to_server);
        let outcome = server.decrypt(&to_server, &mut plaintext.1);
        server.take_output(&mut to_client);
        outcome?;
        client.decrypt(&to_client, &mut plaintext.0)?;
        if to_server.is_empty()
            && to_client.is_empty()
            && !client.has_output()
            && !server.has_output()
        {
            return Ok(());
        }
    }
    Ok(())
}

fn server_config(
    peers: &TestPeers,
    clients: Option<&ClientAuthentication>,
    tickets: Option<Arc<TicketKeys>>,
) -> Arc<ServerConfig> {
    let tickets = tickets.map(|t| t as Arc<dyn rustls::server::ProducesTickets>);
    config::server_config(
        &peers.server,
        clients,
        ProtocolVersions::Both,
        tickets,
        &peers.clock,
    )
    .expect("a server configuration")
}

fn client_config(
    peers: &TestPeers,
    own: Option<&CertificateWithKey>,
    versions: ProtocolVersions,
) -> Arc<ClientConfig> {
    config::client_config(&roots(&peers.authority), own, versions, &peers.clock)
        .expect("a client configuration")
}

#[test]
fn requests_and_responses_pass_in_both_versions() {
    let peers = create_test_peers();
    for versions in [ProtocolVersions::Only13, ProtocolVersions::Only12] {
        let mut server = Session::accept(server_config(&peers, None, None)).expect("a session");
        let mut client = Session::connect(client_config(&peers, None, versions), "n1.example")
            .expect("a session");
        let mut plaintext = (Vec::new(), Vec::new());
        client.encrypt(b"a request");
        exchange(&mut client, &mut server, &mut plaintext).expect("a handshake");
        assert_eq!(plaintext.1, b"a request");
        server.encrypt(b"its response");
        exchange(&mut client, &mut server, &mut plaintext).expect("a response");
        assert_eq!(plaintext.0, b"its response");
        assert_eq!(
            server.protocol_version(),
            Some(if versions == ProtocolVersions::Only13 {
                "1.3"
            } else {
                "1.2"
            })
        );
        client.send_close_notify();
        let mut closing = Vec::new();
        client.take_output(&mut closing);
        assert!(
            server
                .decrypt(&closing, &mut plaintext.1)
                .expect("close_notify")
                .peer_closed
        );
    }
}

/// Guards against a flood that costs a whole handshake by sending one byte at a time: such a
/// handshake is processed like any other.
#[test]
fn handshake_sent_byte_by_byte_completes() {
    let peers = create_test_peers();
    let mut server = Session::accept(server_config(&peers, None, None)).expect("a session");
    let mut client = Session::connect(
        client_config(&peers, None, ProtocolVersions::Both),
        "n1.example",
    )
    .expect("a session");
    let mut plaintext = Vec::new();
    for _ in 0..10 {
        let mut to_server = Vec::new();
        client.take_output(&mut to_server);
        for byte in &to_server {
            server
                .decrypt(std::slice::from_ref(byte), &mut plaintext)
                .expect("a byte");
        }
        let mut to_client = Vec::new();
        server.take_output(&mut to_client);
        client
            .decrypt(&to_client, &mut Vec::new())
            .expect("the server's messages");
    }
    assert!(!server.is_handshaking());
}

#[test]
fn ticket_of_one_instance_resumes_on_another_with_the_same_secret() {
    let peers = create_test_peers();
    let tickets = || {
        Arc::new(TicketKeys::new(
            &[3; SECRET_BYTES],
            3_600,
            peers.clock.clone(),
        ))
    };
    let (first, second) = (
        server_config(&peers, None, Some(tickets())),
        server_config(&peers, None, Some(tickets())),
    );
    let config = client_config(&peers, None, ProtocolVersions::Only13);
    let mut plaintext = (Vec::new(), Vec::new());
    let mut server = Session::accept(first).expect("a session");
    let mut client = Session::connect(Arc::clone(&config), "n1.example").expect("a session");
    client.encrypt(b"x");
    server.encrypt(b"y");
    exchange(&mut client, &mut server, &mut plaintext).expect("a handshake");
    assert!(!server.is_resumed());
    let mut server = Session::accept(second).expect("a session");
    let mut client = Session::connect(config, "n1.example").expect("a session");
    client.encrypt(b"x");
    exchange(&mut client, &mut server, &mut plaintext).expect("a resumed handshake");
    assert!(
        server.is_resumed(),
        "the second instance accepts the ticket of the first one"
    );
}

fn handshake_with_client_certificate(
    peers: &TestPeers,
    client_pair: Option<&CertificateWithKey>,
    roots_of: &IssuedCertificate,
) -> Result<Vec<String>, String> {
    let clients = ClientAuthentication {
        roots: roots(roots_of),
        required: true,
    };
    let mut server =
        Session::accept(server_config(peers, Some(&clients), None)).expect("a session");
    let mut client = Session::connect(
        client_config(peers, client_pair, ProtocolVersions::Only13),
        "n1.example",
    )
    .expect("a session");
    client.encrypt(b"hello");
    let mut plaintext = (Vec::new(), Vec::new());
    match exchange(&mut client, &mut server, &mut plaintext) {
        Ok(()) if plaintext.1 == b"hello" => Ok(server.peer_names()),
        Ok(()) => Err("no data arrived".to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

#[test]
fn client_certificate_names_its_caller_and_an_invalid_one_is_rejected() {
    let peers = create_test_peers();
    assert_eq!(
        handshake_with_client_certificate(&peers, Some(&peers.client), &peers.authority),
        Ok(vec!["fe-1".to_owned()])
    );
    assert!(
        handshake_with_client_certificate(&peers, None, &peers.authority).is_err(),
        "no certificate where one is required"
    );
    let expired = issue(&peers.authority, "fe-2", NOW - 40 * 86_400, 30);
    let e = handshake_with_client_certificate(&peers, Some(&expired), &peers.authority)
        .expect_err("expired");
    assert!(e.contains("xpired"), "{e}");
    let other_authority =
        authority::create_authority("another authority", NOW, 3_650).expect("an authority");
    let other_certificate = issue(&other_authority, "fe-3", NOW, 30);
    let e = handshake_with_client_certificate(&peers, Some(&other_certificate), &peers.authority)
        .expect_err("of another authority");
    assert!(e.contains("UnknownIssuer") || e.contains("issuer"), "{e}");
}

/// Guards against a clock that steps back: certificates are checked by the matcher's clock, and one
/// that is not valid yet is rejected until the clock has reached its start again.
#[test]
fn certificate_is_rejected_while_the_clock_is_before_its_start() {
    let peers = create_test_peers();
    let not_yet_valid = issue(&peers.authority, "fe-4", NOW + 86_400, 30);
    peers.clock.set(NOW as u64 * 1_000_000 + DAY / 2);
    let e = handshake_with_client_certificate(&peers, Some(&not_yet_valid), &peers.authority)
        .expect_err("not yet valid");
    assert!(
        e.contains("NotValidYet") || e.contains("not valid yet"),
        "{e}"
    );
    peers.clock.set(NOW as u64 * 1_000_000 + 2 * DAY);
    assert!(
        handshake_with_client_certificate(&peers, Some(&not_yet_valid), &peers.authority).is_ok()
    );
}

fn connect_sessions(peers: &TestPeers) -> (Session, Session) {
    let mut server = Session::accept(server_config(peers, None, None)).expect("a session");
    let mut client = Session::connect(
        client_config(peers, None, ProtocolVersions::Only13),
        "n1.example",
    )
    .expect("a session");
    client.encrypt(b"x");
    exchange(&mut client, &mut server, &mut (Vec::new(), Vec::new())).expect("a handshake");
    (client, server)
}

#[test]
fn oversized_record_ends_the_session_with_an_alert() {
    let peers = create_test_peers();
    let (_client, mut server) = connect_sessions(&peers);
    let mut record = vec![23, 3, 3];
    record.extend(((crate::client_hello::MAX_RECORD_BYTES + 1) as u16).to_be_bytes());
    record.extend(vec![0; crate::client_hello::MAX_RECORD_BYTES + 1]);
    let error = server
        .decrypt(&record, &mut Vec::new())
        .expect_err("too long");
    assert!(matches!(error, SessionError::Protocol(_)), "{error}");
    let mut alert = Vec::new();
    server.take_output(&mut alert);
    // After a TLS 1.3 handshake the alert is encrypted, as a record of application data.
    assert!(alert.len() > 5, "an alert is sent: {alert:?}");
    assert!(
        server
            .decrypt(&[23, 3, 3, 0, 1, 0], &mut Vec::new())
            .is_err(),
        "no input is accepted after it"
    );
}

/// Guards against a peer that keeps the connection busy with records without data.
#[test]
fn bytes_of_records_without_data_are_limited() {
    let peers = create_test_peers();
    let (mut client, mut server) = connect_sessions(&peers);
    let mut plaintext = Vec::new();
    let (mut error, mut received_bytes) = (None, 0);
    for _ in 0..5_000 {
        client.inner.refresh_traffic_keys().expect("a key update");
        let mut bytes = Vec::new();
        client.take_output(&mut bytes);
        received_bytes += bytes.len();
        if let Err(e) = server.decrypt(&bytes, &mut plaintext) {
            error = Some(e);
            break;
        }
        let mut back = Vec::new();
        server.take_output(&mut back);
        let _ = client.decrypt(&back, &mut Vec::new());
    }
    // rustls has its own limit on key updates; whichever is reached first ends the session.
    let error = error.expect("the session fails");
    assert!(
        received_bytes <= MAX_BYTES_WITHOUT_DATA + 1_024,
        "{received_bytes} bytes before {error}"
    );
    // A byte of data resets the count.
    let (mut client, mut server) = connect_sessions(&peers);
    for _ in 0..3_000 {
        client.encrypt(b"z");
        let mut bytes = Vec::new();
        client.take_output(&mut bytes);
        server
            .decrypt(&bytes, &mut plaintext)
            .expect("a byte of data is accepted");
    }
}

#[test]
fn handshake_over_its_limit_of_bytes_ends_the_session() {
    let peers = create_test_peers();
    let mut server = Session::accept(server_config(&peers, None, None)).expect("a session");
    // Handshake records of 4 KB whose message, a ClientHello of 16 MB, never ends; 17 of them
    // exceed the limit.
    let mut bytes = vec![22, 3, 1, 0x10, 0x00, 1, 0xff, 0xff, 0xff];
    bytes.resize(5 + 4_096, 0);
    let error = server.decrypt(&bytes, &mut Vec::new());
    let mut records = Vec::new();
    for _ in 0..20 {
        records.extend([22, 3, 1, 0x10, 0x00]);
        records.extend(vec![0; 4_096]);
    }
    let error = error
        .and_then(|_| server.decrypt(&records, &mut Vec::new()))
        .expect_err("the handshake is limited");
    assert!(
        matches!(
            error,
            SessionError::HandshakeTooLong | SessionError::Protocol(_)
        ),
        "{error}"
    );
}
