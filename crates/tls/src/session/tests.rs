use super::*;
use crate::authority::{self, IssuedCertificate};
use crate::certificate::CertificateWithKey;
use crate::config::{self, ClientAuthentication, ProtocolVersions};
use crate::ticket_keys::{TicketKeys, SECRET_BYTES};
use crate::Clock;
use std::path::Path;

const NOW: i64 = 1_800_000_000;
const DAY: u64 = 86_400 * 1_000_000;

struct Site {
    authority: IssuedCertificate,
    server: CertificateWithKey,
    client: CertificateWithKey,
    clock: Clock,
}

fn pair(made: &IssuedCertificate) -> CertificateWithKey {
    CertificateWithKey::from_pem(
        Path::new("cert.pem"),
        made.certificate.as_bytes(),
        Path::new("key.pem"),
        made.key.as_bytes(),
    )
    .expect("a pair")
}

fn issue(authority: &IssuedCertificate, name: &str, from: i64, days: i64) -> CertificateWithKey {
    let made = authority::issue_certificate(
        (&authority.certificate, &authority.key),
        &[name.to_owned()],
        None,
        from,
        days,
    );
    pair(&made.expect("issued"))
}

fn site() -> Site {
    let authority =
        authority::create_authority("test authority", NOW, 3_650).expect("an authority");
    let server = issue(&authority, "n1.example", NOW, 30);
    let client = issue(&authority, "fe-1", NOW, 30);
    Site {
        authority,
        server,
        client,
        clock: Clock::from_unix_micros(NOW as u64 * 1_000_000 + 3_600_000_000),
    }
}

fn roots(made: &IssuedCertificate) -> Vec<rustls::pki_types::CertificateDer<'static>> {
    crate::certificate::parse_certificates(Path::new("ca.pem"), made.certificate.as_bytes())
        .expect("roots")
}

/// Moves bytes both ways until neither has any; the first fault of either side ends it.
fn pump(
    client: &mut Session,
    server: &mut Session,
    plain: &mut (Vec<u8>, Vec<u8>),
) -> Result<(), SessionError> {
    for _ in 0..20 {
        let (mut to_server, mut to_client) = (Vec::new(), Vec::new());
        client.take_output(&mut to_server);
        let opened = server.decrypt(&to_server, &mut plain.1);
        server.take_output(&mut to_client);
        opened?;
        client.decrypt(&to_client, &mut plain.0)?;
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
    site: &Site,
    clients: Option<&ClientAuthentication>,
    tickets: Option<Arc<TicketKeys>>,
) -> Arc<ServerConfig> {
    let tickets = tickets.map(|t| t as Arc<dyn rustls::server::ProducesTickets>);
    config::server_config(
        &site.server,
        clients,
        ProtocolVersions::Both,
        tickets,
        &site.clock,
    )
    .expect("a server's setup")
}

fn client_config(
    site: &Site,
    own: Option<&CertificateWithKey>,
    versions: ProtocolVersions,
) -> Arc<ClientConfig> {
    config::client_config(&roots(&site.authority), own, versions, &site.clock)
        .expect("a client's setup")
}

#[test]
fn requests_and_answers_go_through_both_versions() {
    let site = site();
    for versions in [ProtocolVersions::Only13, ProtocolVersions::Only12] {
        let mut server = Session::accept(server_config(&site, None, None)).expect("a session");
        let mut client = Session::connect(client_config(&site, None, versions), "n1.example")
            .expect("a session");
        let mut plain = (Vec::new(), Vec::new());
        client.encrypt(b"a request");
        pump(&mut client, &mut server, &mut plain).expect("a handshake");
        assert_eq!(plain.1, b"a request");
        server.encrypt(b"its answer");
        pump(&mut client, &mut server, &mut plain).expect("an answer");
        assert_eq!(plain.0, b"its answer");
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
                .decrypt(&closing, &mut plain.1)
                .expect("a close")
                .peer_closed
        );
    }
}

/// Guards against a flood that costs a whole handshake where a byte at a time comes.
#[test]
fn a_handshake_a_byte_at_a_time_ends_like_any_other() {
    let site = site();
    let mut server = Session::accept(server_config(&site, None, None)).expect("a session");
    let mut client = Session::connect(
        client_config(&site, None, ProtocolVersions::Both),
        "n1.example",
    )
    .expect("a session");
    let mut plain = Vec::new();
    for _ in 0..10 {
        let mut to_server = Vec::new();
        client.take_output(&mut to_server);
        for byte in &to_server {
            server
                .decrypt(std::slice::from_ref(byte), &mut plain)
                .expect("a byte");
        }
        let mut to_client = Vec::new();
        server.take_output(&mut to_client);
        client
            .decrypt(&to_client, &mut Vec::new())
            .expect("the server's part");
    }
    assert!(!server.is_handshaking());
}

#[test]
fn a_ticket_of_one_instance_resumes_with_another_of_the_same_secret() {
    let site = site();
    let tickets = || {
        Arc::new(TicketKeys::new(
            &[3; SECRET_BYTES],
            3_600,
            site.clock.clone(),
        ))
    };
    let (first, second) = (
        server_config(&site, None, Some(tickets())),
        server_config(&site, None, Some(tickets())),
    );
    let config = client_config(&site, None, ProtocolVersions::Only13);
    let mut plain = (Vec::new(), Vec::new());
    let mut server = Session::accept(first).expect("a session");
    let mut client = Session::connect(Arc::clone(&config), "n1.example").expect("a session");
    client.encrypt(b"x");
    server.encrypt(b"y");
    pump(&mut client, &mut server, &mut plain).expect("a handshake");
    assert!(!server.is_resumed());
    let mut server = Session::accept(second).expect("a session");
    let mut client = Session::connect(config, "n1.example").expect("a session");
    client.encrypt(b"x");
    pump(&mut client, &mut server, &mut plain).expect("a resumed handshake");
    assert!(
        server.is_resumed(),
        "the second instance takes the first one's ticket"
    );
}

fn mutual(
    site: &Site,
    client_pair: Option<&CertificateWithKey>,
    roots_of: &IssuedCertificate,
) -> Result<Vec<String>, String> {
    let clients = ClientAuthentication {
        roots: roots(roots_of),
        required: true,
    };
    let mut server = Session::accept(server_config(site, Some(&clients), None)).expect("a session");
    let mut client = Session::connect(
        client_config(site, client_pair, ProtocolVersions::Only13),
        "n1.example",
    )
    .expect("a session");
    client.encrypt(b"hello");
    let mut plain = (Vec::new(), Vec::new());
    match pump(&mut client, &mut server, &mut plain) {
        Ok(()) if plain.1 == b"hello" => Ok(server.peer_names()),
        Ok(()) => Err("nothing came".to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

#[test]
fn a_client_certificate_names_its_caller_and_a_bad_one_is_refused() {
    let site = site();
    assert_eq!(
        mutual(&site, Some(&site.client), &site.authority),
        Ok(vec!["fe-1".to_owned()])
    );
    assert!(
        mutual(&site, None, &site.authority).is_err(),
        "none where one is required"
    );
    let expired = issue(&site.authority, "fe-2", NOW - 40 * 86_400, 30);
    let e = mutual(&site, Some(&expired), &site.authority).expect_err("expired");
    assert!(e.contains("xpired"), "{e}");
    let stranger =
        authority::create_authority("another authority", NOW, 3_650).expect("an authority");
    let theirs = issue(&stranger, "fe-3", NOW, 30);
    let e = mutual(&site, Some(&theirs), &site.authority).expect_err("of another authority");
    assert!(e.contains("UnknownIssuer") || e.contains("issuer"), "{e}");
}

/// Guards against a clock that steps back: a certificate is judged by the matcher's clock, and one whose start lies
/// ahead of it is refused until the clock has passed it again.
#[test]
fn a_clock_that_steps_back_over_a_certificates_start_refuses_it_until_it_is_there_again() {
    let site = site();
    let fresh = issue(&site.authority, "fe-4", NOW + 86_400, 30);
    site.clock.set(NOW as u64 * 1_000_000 + DAY / 2);
    let e = mutual(&site, Some(&fresh), &site.authority).expect_err("not yet valid");
    assert!(
        e.contains("NotValidYet") || e.contains("not valid yet"),
        "{e}"
    );
    site.clock.set(NOW as u64 * 1_000_000 + 2 * DAY);
    assert!(mutual(&site, Some(&fresh), &site.authority).is_ok());
}

fn established(site: &Site) -> (Session, Session) {
    let mut server = Session::accept(server_config(site, None, None)).expect("a session");
    let mut client = Session::connect(
        client_config(site, None, ProtocolVersions::Only13),
        "n1.example",
    )
    .expect("a session");
    client.encrypt(b"x");
    pump(&mut client, &mut server, &mut (Vec::new(), Vec::new())).expect("a handshake");
    (client, server)
}

#[test]
fn an_oversized_record_ends_the_session_with_an_alert() {
    let site = site();
    let (_client, mut server) = established(&site);
    let mut record = vec![23, 3, 3];
    record.extend(((crate::client_hello::MAX_RECORD_BYTES + 1) as u16).to_be_bytes());
    record.extend(vec![0; crate::client_hello::MAX_RECORD_BYTES + 1]);
    let fault = server
        .decrypt(&record, &mut Vec::new())
        .expect_err("too long");
    assert!(matches!(fault, SessionError::Protocol(_)), "{fault}");
    let mut alert = Vec::new();
    server.take_output(&mut alert);
    // After a handshake of 1.3 the alert goes out sealed, as a record of application data.
    assert!(alert.len() > 5, "an alert goes out: {alert:?}");
    assert!(
        server
            .decrypt(&[23, 3, 3, 0, 1, 0], &mut Vec::new())
            .is_err(),
        "nothing is taken after it"
    );
}

/// Guards against a peer that keeps the connection busy with records that carry nothing.
#[test]
fn records_that_carry_nothing_are_bounded() {
    let site = site();
    let (mut client, mut server) = established(&site);
    let mut plain = Vec::new();
    let (mut fault, mut fed) = (None, 0);
    for _ in 0..5_000 {
        client.inner.refresh_traffic_keys().expect("a key update");
        let mut bytes = Vec::new();
        client.take_output(&mut bytes);
        fed += bytes.len();
        if let Err(e) = server.decrypt(&bytes, &mut plain) {
            fault = Some(e);
            break;
        }
        let mut back = Vec::new();
        server.take_output(&mut back);
        let _ = client.decrypt(&back, &mut Vec::new());
    }
    // rustls has a bound of its own on key updates; whichever comes first ends it.
    let fault = fault.expect("ended");
    assert!(
        fed <= MAX_BYTES_WITHOUT_DATA + 1_024,
        "{fed} bytes before {fault}"
    );
    // Something that carries a byte sets the count back.
    let (mut client, mut server) = established(&site);
    for _ in 0..3_000 {
        client.encrypt(b"z");
        let mut bytes = Vec::new();
        client.take_output(&mut bytes);
        server
            .decrypt(&bytes, &mut plain)
            .expect("a byte is of use");
    }
}

#[test]
fn a_handshake_that_takes_too_much_is_ended() {
    let site = site();
    let mut server = Session::accept(server_config(&site, None, None)).expect("a session");
    // Records of a handshake whose message never ends: 17 of 4 KB say a ClientHello of 16 MB is coming.
    let mut bytes = vec![22, 3, 1, 0x10, 0x00, 1, 0xff, 0xff, 0xff];
    bytes.resize(5 + 4_096, 0);
    let fault = server.decrypt(&bytes, &mut Vec::new());
    let mut more = Vec::new();
    for _ in 0..20 {
        more.extend([22, 3, 1, 0x10, 0x00]);
        more.extend(vec![0; 4_096]);
    }
    let fault = fault
        .and_then(|_| server.decrypt(&more, &mut Vec::new()))
        .expect_err("bounded");
    assert!(
        matches!(
            fault,
            SessionError::HandshakeTooLong | SessionError::Protocol(_)
        ),
        "{fault}"
    );
}
