//! Parses the first record of a TLS client before a session is created: whether it is TLS at all,
//! the requested server name, and whether the client offers to resume a session. The admission of
//! handshakes (`cleatpulley_connection_admission::handshake`) is decided on this, so that a
//! connection of a flood costs no more than these bytes until its handshake is admitted.
//!
//! The formats are those of RFC 8446 (sections 4.1.2 and 4.2) and RFC 5077 (the ticket of TLS 1.2).
//! No length is trusted beyond the bounds of the data that contain it.

/// Bytes of a record's header: type, version and length.
pub const RECORD_HEADER_BYTES: usize = 5;
/// Maximum length of a record: 2^14 bytes and the expansion that RFC 8446 section 5.2 allows.
pub const MAX_RECORD_BYTES: usize = 16_384 + 256;

const HANDSHAKE: u8 = 22;
const CLIENT_HELLO: u8 = 1;
const SERVER_NAME: u16 = 0;
const SESSION_TICKET: u16 = 35;
const PRE_SHARED_KEY: u16 = 41;

/// The relevant contents of the first record.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClientHello {
    /// The requested server name (SNI), if any.
    pub server_name: Option<String>,
    /// Whether the client offers a ticket or key of an earlier session.
    pub offers_resumption: bool,
    /// Number of bytes of the record, its header included.
    pub record_bytes: usize,
}

/// What is wrong with the first bytes, and at which offset.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClientHelloError {
    /// Not a handshake record, with which every TLS client begins.
    #[error("byte {offset}: not the record of a TLS handshake")]
    NotTls {
        /// Offset of the invalid byte.
        offset: usize,
    },
    /// A length that exceeds the data that contain it, or the maximum.
    #[error("byte {offset}: a length of {length} does not fit")]
    InvalidLength {
        /// Offset of the invalid byte.
        offset: usize,
        /// The invalid length.
        length: usize,
    },
    /// A handshake message other than a ClientHello.
    #[error("byte {offset}: a handshake of type {message_type} where the ClientHello belongs")]
    NotClientHello {
        /// Offset of the invalid byte.
        offset: usize,
        /// The type of the message.
        message_type: u8,
    },
}

/// Parses the first record; `None` if it is incomplete.
///
/// # Errors
/// Returns an error, with the offset, if the bytes are not those of a TLS client.
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
    let mut client_hello = parse_message(fragment)?;
    client_hello.record_bytes = RECORD_HEADER_BYTES + length;
    Ok(Some(client_hello))
}

/// A cursor that knows its offset in the record.
struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
    /// Offset of `bytes` in the record.
    base: usize,
}

impl<'a> Reader<'a> {
    fn read_bytes(&mut self, n: usize) -> Result<&'a [u8], ClientHelloError> {
        let bytes = self.bytes.get(self.position..self.position + n);
        let bytes = bytes.ok_or(ClientHelloError::InvalidLength {
            offset: self.base + self.position,
            length: n,
        })?;
        self.position += n;
        Ok(bytes)
    }

    fn read_uint(&mut self, n: usize) -> Result<usize, ClientHelloError> {
        Ok(self
            .read_bytes(n)?
            .iter()
            .fold(0, |sum, &b| sum << 8 | usize::from(b)))
    }

    /// Reads a length of `n` bytes and returns the data of that length that follow.
    fn read_vector(&mut self, n: usize) -> Result<Reader<'a>, ClientHelloError> {
        let offset = self.base + self.position;
        let length = self.read_uint(n)?;
        let bytes = self
            .read_bytes(length)
            .map_err(|_| ClientHelloError::InvalidLength { offset, length })?;
        Ok(Reader {
            bytes,
            position: 0,
            base: offset + n,
        })
    }

    fn is_empty(&self) -> bool {
        self.position >= self.bytes.len()
    }
}

/// Parses the ClientHello in a record's fragment. One longer than its first record is read as far
/// as it goes: offers beyond are not seen.
fn parse_message(fragment: &[u8]) -> Result<ClientHello, ClientHelloError> {
    let mut record = Reader {
        bytes: fragment,
        position: 0,
        base: RECORD_HEADER_BYTES,
    };
    let message_type = record.read_uint(1)? as u8;
    if message_type != CLIENT_HELLO {
        return Err(ClientHelloError::NotClientHello {
            offset: RECORD_HEADER_BYTES,
            message_type,
        });
    }
    let length = record.read_uint(3)?;
    let body = &fragment[4..];
    let body = &body[..length.min(body.len())];
    let mut message = Reader {
        bytes: body,
        position: 0,
        base: RECORD_HEADER_BYTES + 4,
    };
    let mut client_hello = ClientHello::default();
    let (Ok(_version), Ok(_random)) = (message.read_bytes(2), message.read_bytes(32)) else {
        return Ok(client_hello);
    };
    for width in [1, 2, 1] {
        // The session id, the cipher suites, the compression methods.
        if message.read_vector(width).is_err() {
            return Ok(client_hello);
        }
    }
    let Ok(mut extensions) = message.read_vector(2) else {
        return Ok(client_hello);
    };
    while !extensions.is_empty() {
        let (Ok(extension_type), Ok(mut data)) =
            (extensions.read_uint(2), extensions.read_vector(2))
        else {
            break;
        };
        match extension_type as u16 {
            SERVER_NAME => client_hello.server_name = server_name(&mut data),
            SESSION_TICKET => client_hello.offers_resumption |= !data.bytes.is_empty(),
            PRE_SHARED_KEY => client_hello.offers_resumption = true,
            _ => {}
        }
    }
    Ok(client_hello)
}

/// Returns the host name of RFC 6066 section 3, if it is valid.
fn server_name(data: &mut Reader<'_>) -> Option<String> {
    let mut list = data.read_vector(2).ok()?;
    while !list.is_empty() {
        let name_type = list.read_uint(1).ok()?;
        let name = list.read_vector(2).ok()?;
        if name_type == 0 {
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

    /// Encodes a ClientHello with these extensions in one record.
    fn record(extensions: &[(u16, Vec<u8>)]) -> Vec<u8> {
        let mut body = vec![3, 3];
        body.extend([7; 32]);
        body.push(0);
        body.extend([0, 2, 0x13, 0x01]);
        body.extend([1, 0]);
        let mut encoded_extensions = Vec::new();
        for (kind, data) in extensions {
            encoded_extensions.extend(kind.to_be_bytes());
            encoded_extensions.extend((data.len() as u16).to_be_bytes());
            encoded_extensions.extend(data);
        }
        body.extend((encoded_extensions.len() as u16).to_be_bytes());
        body.extend(encoded_extensions);
        let mut message = vec![CLIENT_HELLO, 0];
        message.extend((body.len() as u16).to_be_bytes());
        message.extend(body);
        let mut record = vec![HANDSHAKE, 3, 1];
        record.extend((message.len() as u16).to_be_bytes());
        record.extend(message);
        record
    }

    fn server_name_extension(host: &str) -> Vec<u8> {
        let mut entry = vec![0];
        entry.extend((host.len() as u16).to_be_bytes());
        entry.extend(host.as_bytes());
        let mut data = (entry.len() as u16).to_be_bytes().to_vec();
        data.extend(entry);
        data
    }

    #[test]
    fn server_name_and_resumption_offer_are_parsed() {
        let bytes = record(&[
            (SERVER_NAME, server_name_extension("N1.Example")),
            (PRE_SHARED_KEY, vec![0, 0]),
        ]);
        let client_hello = parse_client_hello(&bytes)
            .expect("a ClientHello")
            .expect("complete");
        assert_eq!(client_hello.server_name.as_deref(), Some("n1.example"));
        assert!(client_hello.offers_resumption);
        assert_eq!(client_hello.record_bytes, bytes.len());
        let without_ticket = parse_client_hello(&record(&[(SESSION_TICKET, Vec::new())]))
            .expect("a ClientHello")
            .expect("complete");
        assert!(
            !without_ticket.offers_resumption,
            "an empty ticket extension requests a ticket and offers none"
        );
        assert!(
            parse_client_hello(&record(&[(SESSION_TICKET, vec![1; 40])]))
                .unwrap()
                .unwrap()
                .offers_resumption
        );
    }

    #[test]
    fn incomplete_record_returns_none() {
        let bytes = record(&[(SERVER_NAME, server_name_extension("n1"))]);
        for cut in 0..bytes.len() {
            assert_eq!(parse_client_hello(&bytes[..cut]), Ok(None), "cut at {cut}");
        }
    }

    /// Guards against taking the bytes of a client without TLS, such as an HTTP request, for a
    /// handshake.
    #[test]
    fn invalid_input_is_rejected_with_its_offset() {
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
        /// No input causes a panic or a read beyond its end.
        #[test]
        fn any_input_is_parsed_within_bounds(bytes in proptest::collection::vec(any::<u8>(), 0..600), head in any::<bool>()) {
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
        fn truncated_client_hello_is_parsed_as_far_as_it_goes(cut in 0usize..60) {
            let mut bytes = record(&[(SERVER_NAME, server_name_extension("n7.example")), (PRE_SHARED_KEY, vec![0; 9])]);
            let end = bytes.len() - cut;
            bytes.truncate(end);
            let length = (end - RECORD_HEADER_BYTES) as u16;
            bytes[3..5].copy_from_slice(&length.to_be_bytes());
            prop_assert!(parse_client_hello(&bytes).is_ok());
        }
    }
}
