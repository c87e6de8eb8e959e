//! The first record of a TLS client, read before any session is made for it: whether it is TLS at all, which name it asks
//! for, and whether it offers to resume a session. A handshake's place is decided on this (`cleatpulley_connection_admission::handshake`),
//! so that a flood costs no more than these bytes until it has one.
//!
//! Layouts are those of RFC 8446 (sections 4.1.2 and 4.2) and RFC 5077 (the ticket of TLS 1.2); nothing here is trusted
//! beyond the bounds it was read within.

/// Bytes of a record's head: type, version and length.
pub const RECORD_HEADER_BYTES: usize = 5;
/// The longest record that a peer may send: 2^14 bytes and the expansion that RFC 8446 section 5.2 allows.
pub const MAX_RECORD_BYTES: usize = 16_384 + 256;

const HANDSHAKE: u8 = 22;
const CLIENT_HELLO: u8 = 1;
const SERVER_NAME: u16 = 0;
const SESSION_TICKET: u16 = 35;
const PRE_SHARED_KEY: u16 = 41;

/// What the first record told.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClientHello {
    /// The name it asks for (SNI), where it names one.
    pub server_name: Option<String>,
    /// It offers a ticket or a key of an earlier session.
    pub offers_resumption: bool,
    /// Bytes that the record takes, its head among them.
    pub record_bytes: usize,
}

/// What is wrong with the first bytes, and at which byte.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClientHelloError {
    /// Not a record of a handshake: no TLS client begins so.
    #[error("byte {offset}: not the record of a TLS handshake")]
    NotTls {
        /// Where.
        offset: usize,
    },
    /// A length that does not fit where it stands.
    #[error("byte {offset}: a length of {length} does not fit")]
    InvalidLength {
        /// Where.
        offset: usize,
        /// What it said.
        length: usize,
    },
    /// A handshake message other than the client's first.
    #[error("byte {offset}: a handshake of type {message_type} where the ClientHello belongs")]
    NotClientHello {
        /// Where.
        offset: usize,
        /// Its type.
        message_type: u8,
    },
}

/// Reads the first record, where it has come whole.
///
/// # Errors
/// Where the bytes are not those of a TLS client, with the byte at fault.
pub fn parse_client_hello(bytes: &[u8]) -> Result<Option<ClientHello>, ClientHelloError> {
    if let Some(&kind) = bytes.first() {
        if kind != HANDSHAKE {
            return Err(ClientHelloError::NotTls { offset: 0 });
        }
    }
    if let Some(&major) = bytes.get(1) {
        if major != 3 {
            return Err(ClientHelloError::NotTls { offset: 1 });
        }
    }
    if bytes.len() < RECORD_HEADER_BYTES {
        return Ok(None);
    }
    let length = usize::from(u16::from_be_bytes([bytes[3], bytes[4]]));
    if length == 0 || length > MAX_RECORD_BYTES {
        return Err(ClientHelloError::InvalidLength { offset: 3, length });
    }
    let Some(fragment) = bytes.get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + length) else {
        return Ok(None);
    };
    let mut offer = hello(fragment)?;
    offer.record_bytes = RECORD_HEADER_BYTES + length;
    Ok(Some(offer))
}

/// A cursor that knows where it is in the whole record.
struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    /// Bytes before `bytes` in the record.
    base: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], ClientHelloError> {
        let taken = self.bytes.get(self.at..self.at + n);
        let taken = taken.ok_or(ClientHelloError::InvalidLength {
            offset: self.base + self.at,
            length: n,
        })?;
        self.at += n;
        Ok(taken)
    }

    fn number(&mut self, n: usize) -> Result<usize, ClientHelloError> {
        Ok(self
            .take(n)?
            .iter()
            .fold(0, |sum, &b| sum << 8 | usize::from(b)))
    }

    /// The part that a length of `n` bytes in front of it tells.
    fn part(&mut self, n: usize) -> Result<Reader<'a>, ClientHelloError> {
        let offset = self.base + self.at;
        let length = self.number(n)?;
        let bytes = self
            .take(length)
            .map_err(|_| ClientHelloError::InvalidLength { offset, length })?;
        Ok(Reader {
            bytes,
            at: 0,
            base: offset + n,
        })
    }

    fn is_empty(&self) -> bool {
        self.at >= self.bytes.len()
    }
}

/// The ClientHello in a record's fragment. A hello longer than its first record is read as far as it goes: what lies
/// beyond is not offered.
fn hello(fragment: &[u8]) -> Result<ClientHello, ClientHelloError> {
    let mut record = Reader {
        bytes: fragment,
        at: 0,
        base: RECORD_HEADER_BYTES,
    };
    let message_type = record.number(1)? as u8;
    if message_type != CLIENT_HELLO {
        return Err(ClientHelloError::NotClientHello {
            offset: RECORD_HEADER_BYTES,
            message_type,
        });
    }
    let length = record.number(3)?;
    let body = &fragment[4..];
    let body = &body[..length.min(body.len())];
    let mut hello = Reader {
        bytes: body,
        at: 0,
        base: RECORD_HEADER_BYTES + 4,
    };
    let mut offer = ClientHello::default();
    let (Ok(_version), Ok(_random)) = (hello.take(2), hello.take(32)) else {
        return Ok(offer);
    };
    for width in [1, 2, 1] {
        // The session's id, the cipher suites, the ways of compression.
        if hello.part(width).is_err() {
            return Ok(offer);
        }
    }
    let Ok(mut extensions) = hello.part(2) else {
        return Ok(offer);
    };
    while !extensions.is_empty() {
        let (Ok(kind), Ok(mut data)) = (extensions.number(2), extensions.part(2)) else {
            break;
        };
        match kind as u16 {
            SERVER_NAME => offer.server_name = server_name(&mut data),
            SESSION_TICKET => offer.offers_resumption |= !data.bytes.is_empty(),
            PRE_SHARED_KEY => offer.offers_resumption = true,
            _ => {}
        }
    }
    Ok(offer)
}

/// The host name of RFC 6066 section 3, where it is one that can be read.
fn server_name(data: &mut Reader<'_>) -> Option<String> {
    let mut list = data.part(2).ok()?;
    while !list.is_empty() {
        let kind = list.number(1).ok()?;
        let name = list.part(2).ok()?;
        if kind == 0 {
            let name = std::str::from_utf8(name.bytes).ok()?;
            return name
                .bytes()
                .all(|b| b.is_ascii_graphic())
                .then(|| name.to_ascii_lowercase());
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// A ClientHello with these extensions, in one record.
    fn record(extensions: &[(u16, Vec<u8>)]) -> Vec<u8> {
        let mut body = vec![3, 3];
        body.extend([7; 32]);
        body.push(0);
        body.extend([0, 2, 0x13, 0x01]);
        body.extend([1, 0]);
        let mut listed = Vec::new();
        for (kind, data) in extensions {
            listed.extend(kind.to_be_bytes());
            listed.extend((data.len() as u16).to_be_bytes());
            listed.extend(data);
        }
        body.extend((listed.len() as u16).to_be_bytes());
        body.extend(listed);
        let mut message = vec![CLIENT_HELLO, 0];
        message.extend((body.len() as u16).to_be_bytes());
        message.extend(body);
        let mut record = vec![HANDSHAKE, 3, 1];
        record.extend((message.len() as u16).to_be_bytes());
        record.extend(message);
        record
    }

    fn name(host: &str) -> Vec<u8> {
        let mut entry = vec![0];
        entry.extend((host.len() as u16).to_be_bytes());
        entry.extend(host.as_bytes());
        let mut data = (entry.len() as u16).to_be_bytes().to_vec();
        data.extend(entry);
        data
    }

    #[test]
    fn a_name_and_an_offer_to_resume_are_read() {
        let bytes = record(&[
            (SERVER_NAME, name("N1.Example")),
            (PRE_SHARED_KEY, vec![0, 0]),
        ]);
        let offer = parse_client_hello(&bytes).expect("a hello").expect("whole");
        assert_eq!(offer.server_name.as_deref(), Some("n1.example"));
        assert!(offer.offers_resumption);
        assert_eq!(offer.record_bytes, bytes.len());
        let fresh = parse_client_hello(&record(&[(SESSION_TICKET, Vec::new())]))
            .expect("a hello")
            .expect("whole");
        assert!(
            !fresh.offers_resumption,
            "an empty ticket asks for one and offers none"
        );
        assert!(
            parse_client_hello(&record(&[(SESSION_TICKET, vec![1; 40])]))
                .unwrap()
                .unwrap()
                .offers_resumption
        );
    }

    #[test]
    fn a_record_that_has_not_come_whole_waits() {
        let bytes = record(&[(SERVER_NAME, name("n1"))]);
        for cut in 0..bytes.len() {
            assert_eq!(parse_client_hello(&bytes[..cut]), Ok(None), "cut at {cut}");
        }
    }

    /// Guards against taking a plain client's bytes, or an HTTP request, for a handshake.
    #[test]
    fn what_is_no_handshake_is_told_with_its_byte() {
        assert_eq!(
            parse_client_hello(b"GET / HTTP/1.1\r\n"),
            Err(ClientHelloError::NotTls { offset: 0 })
        );
        assert_eq!(
            parse_client_hello(&[HANDSHAKE, 2, 0]),
            Err(ClientHelloError::NotTls { offset: 1 })
        );
        let long = [HANDSHAKE, 3, 1, 0x48, 0x01];
        assert_eq!(
            parse_client_hello(&long),
            Err(ClientHelloError::InvalidLength {
                offset: 3,
                length: 0x4801
            })
        );
        let mut server = record(&[]);
        server[RECORD_HEADER_BYTES] = 2;
        assert_eq!(
            parse_client_hello(&server),
            Err(ClientHelloError::NotClientHello {
                offset: RECORD_HEADER_BYTES,
                message_type: 2
            })
        );
    }

    proptest! {
        /// No input makes it panic or read beyond what it was given.
        #[test]
        fn any_bytes_are_read_within_bounds(bytes in proptest::collection::vec(any::<u8>(), 0..600), head in any::<bool>()) {
            let mut bytes = bytes;
            if head && bytes.len() > RECORD_HEADER_BYTES {
                bytes[0] = HANDSHAKE;
                bytes[1] = 3;
                let length = (bytes.len() - RECORD_HEADER_BYTES) as u16;
                bytes[3..5].copy_from_slice(&length.to_be_bytes());
                bytes[RECORD_HEADER_BYTES] = CLIENT_HELLO;
            }
            let _ = parse_client_hello(&bytes);
        }

        #[test]
        fn a_hello_cut_inside_its_extensions_still_says_what_it_has(cut in 0usize..60) {
            let mut bytes = record(&[(SERVER_NAME, name("n7.example")), (PRE_SHARED_KEY, vec![0; 9])]);
            let end = bytes.len() - cut;
            bytes.truncate(end);
            let length = (end - RECORD_HEADER_BYTES) as u16;
            bytes[3..5].copy_from_slice(&length.to_be_bytes());
            prop_assert!(parse_client_hello(&bytes).is_ok());
        }
    }
}
