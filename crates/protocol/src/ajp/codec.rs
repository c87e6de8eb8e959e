//! Packets of AJP/1.3, both ways, as bytes. No sockets and no state here: a packet is told apart from what follows
//! it, a forward request is read without copying anything, and packets are written into a caller's buffer.

use super::names;
use std::ops::Range;

/// The packet size that both sides assume unless they are set otherwise.
pub const PACKET_SIZE: usize = 8_192;
/// No side may be set to less, or to more.
pub const PACKET_SIZE_RANGE: std::ops::RangeInclusive<usize> = PACKET_SIZE..=65_536;
/// Magic and length.
pub const HEADER_BYTES: usize = 4;
/// Headers of one message; a message with more is refused.
pub const MAX_HEADERS: usize = 100;
/// What a body packet of the proxy holds beside its data: head and length.
pub const BODY_OVERHEAD: usize = HEADER_BYTES + 2;
/// What a body chunk of the server holds beside its data: head, type, length and a closing zero.
pub const CHUNK_OVERHEAD: usize = HEADER_BYTES + 4;

const TO_SERVER: [u8; 2] = [0x12, 0x34];
const TO_PROXY: [u8; 2] = *b"AB";

/// Types of packets, as the first byte of their payload.
pub mod packet_type {
    /// Proxy: a request.
    pub const FORWARD_REQUEST: u8 = 2;
    /// Server: a piece of the body.
    pub const SEND_BODY_CHUNK: u8 = 3;
    /// Server: status and headers.
    pub const SEND_HEADERS: u8 = 4;
    /// Server: the end, and whether the connection may be used again.
    pub const END_RESPONSE: u8 = 5;
    /// Server: asks for more of the request's body.
    pub const GET_BODY_CHUNK: u8 = 6;
    /// Proxy: asks the server to shut down.
    pub const SHUTDOWN: u8 = 7;
    /// Server: the answer to a ping.
    pub const CPONG: u8 = 9;
    /// Proxy: a ping.
    pub const CPING: u8 = 10;
}

/// Which way a packet goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the proxy to the server.
    ToServer,
    /// From the server to the proxy.
    ToProxy,
}

/// What can't be read, and at which byte of the packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("byte {offset}: {reason}")]
pub struct DecodeError {
    /// Offset in the packet, its magic included.
    pub offset: usize,
    /// What is wrong there.
    pub reason: &'static str,
}

fn fault<T>(at: usize, what: &'static str) -> Result<T, DecodeError> {
    Err(DecodeError {
        offset: at,
        reason: what,
    })
}

/// Looks at the front of the bytes: the place of a whole packet's payload, or none where more has to come. A packet
/// may have `most` bytes, head included.
///
/// # Errors
/// On a wrong magic or a length beyond the packet size: nothing after it can be read.
pub fn parse_packet(
    bytes: &[u8],
    way: Direction,
    most: usize,
) -> Result<Option<Range<usize>>, DecodeError> {
    let magic = if way == Direction::ToServer {
        TO_SERVER
    } else {
        TO_PROXY
    };
    for (at, expected) in magic.iter().enumerate() {
        match bytes.get(at) {
            None => return Ok(None),
            Some(byte) if byte != expected => return fault(at, "not the magic of an AJP packet"),
            Some(_) => {}
        }
    }
    let Some(length) = bytes
        .get(2..HEADER_BYTES)
        .and_then(|b| b.first_chunk::<2>())
    else {
        return Ok(None);
    };
    let whole = HEADER_BYTES + usize::from(u16::from_be_bytes(*length));
    if whole > most {
        return fault(2, "the packet is larger than the packet size");
    }
    Ok((bytes.len() >= whole).then_some(HEADER_BYTES..whole))
}

/// Reads a payload from its front.
struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn new(bytes: &'a [u8], at: usize) -> Self {
        Self { bytes, at }
    }

    fn place(&self) -> usize {
        HEADER_BYTES + self.at
    }

    #[inline]
    fn byte(&mut self) -> Result<u8, DecodeError> {
        let Some(&byte) = self.bytes.get(self.at) else {
            return fault(self.place(), "the packet ends where a byte is needed");
        };
        self.at += 1;
        Ok(byte)
    }

    #[inline]
    fn int(&mut self) -> Result<u16, DecodeError> {
        let Some(pair) = self
            .bytes
            .get(self.at..)
            .and_then(|rest| rest.first_chunk::<2>())
        else {
            return fault(self.place(), "the packet ends where a number is needed");
        };
        self.at += 2;
        Ok(u16::from_be_bytes(*pair))
    }

    /// A string; none where its length says so.
    #[inline]
    fn string(&mut self) -> Result<Option<&'a [u8]>, DecodeError> {
        let length = self.int()?;
        if length == 0xFFFF {
            return Ok(None);
        }
        self.text(usize::from(length)).map(Some)
    }

    #[inline]
    fn text(&mut self, length: usize) -> Result<&'a [u8], DecodeError> {
        let Some(text) = self.bytes.get(self.at..self.at + length) else {
            return fault(self.place(), "a string goes on past its packet");
        };
        match self.bytes.get(self.at + length) {
            Some(0) => {}
            Some(_) => return fault(self.place() + length, "a string without its closing zero"),
            None => return fault(self.place() + length, "a string goes on past its packet"),
        }
        self.at += length + 1;
        Ok(text)
    }

    /// The headers that follow, into the caller's places; `known` names those that go as a code.
    #[inline]
    fn headers<'h>(
        &mut self,
        places: &'h mut [Header<'a>],
        known: fn(u16) -> Option<&'static [u8]>,
    ) -> Result<&'h [Header<'a>], DecodeError> {
        let at = self.place();
        let number = usize::from(self.int()?);
        let Some(places) = places.get_mut(..number) else {
            return fault(at, "too many headers");
        };
        for place in places.iter_mut() {
            let at = self.place();
            let length = self.int()?;
            let name = if length & 0xFF00 == names::CODED {
                known(length).ok_or(DecodeError {
                    offset: at,
                    reason: "an unknown header code",
                })?
            } else {
                self.text(usize::from(length))?
            };
            if name.is_empty() {
                return fault(at, "a header without a name");
            }
            *place = (name, self.string()?.unwrap_or_default());
        }
        Ok(places)
    }

    fn needed(&mut self, what: &'static str) -> Result<&'a [u8], DecodeError> {
        let at = self.place();
        self.string()?.ok_or(DecodeError {
            offset: at,
            reason: what,
        })
    }
}

/// A header: its name in the case it came in, or in that of its code, and its value.
pub type Header<'a> = (&'a [u8], &'a [u8]);

/// An empty place for a header.
pub const EMPTY_HEADER: Header<'static> = (&[], &[]);

/// A forward request as it stands in its packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardRequest<'a, 'h> {
    /// The method, also where it came as an attribute.
    pub method: &'a [u8],
    /// Such as `HTTP/1.1`.
    pub protocol: &'a [u8],
    /// The path, without a query.
    pub uri: &'a [u8],
    /// The client's address, where the proxy tells it.
    pub remote_addr: Option<&'a [u8]>,
    /// The client's name.
    pub remote_host: Option<&'a [u8]>,
    /// The server's name.
    pub server_name: Option<&'a [u8]>,
    /// The server's port.
    pub server_port: u16,
    /// The client came by TLS.
    pub is_ssl: bool,
    /// The headers, in their order.
    pub headers: &'h [Header<'a>],
    /// The query string.
    pub query: Option<&'a [u8]>,
    /// The secret.
    pub secret: Option<&'a [u8]>,
    /// Bits of the client's TLS key.
    pub ssl_key_size: Option<u16>,
    /// Where the attributes stand in the payload; [`attributes`](Self::attributes) reads them.
    attributes: &'a [u8],
}

/// An attribute of a forward request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attribute<'a> {
    /// One with a code of its own: context 1, servlet path 2, remote user 3, authentication type 4, query string 5,
    /// route 6, certificate 7, cipher 8, session 9, secret 12, stored method 13.
    Coded(u8, &'a [u8]),
    /// One with a name of its own.
    Named(&'a [u8], &'a [u8]),
    /// Bits of the TLS key.
    SslKeySize(u16),
}

const QUERY_STRING: u8 = 5;
const REQUEST_ATTRIBUTE: u8 = 10;
const SSL_KEY_SIZE: u8 = 11;
const SECRET: u8 = 12;
const STORED_METHOD: u8 = 13;
const END: u8 = 0xFF;

fn attribute<'a>(reader: &mut Reader<'a>) -> Result<Option<Attribute<'a>>, DecodeError> {
    let at = reader.place();
    Ok(Some(match reader.byte()? {
        END => return Ok(None),
        REQUEST_ATTRIBUTE => {
            let name = reader.needed("an attribute without a name")?;
            Attribute::Named(name, reader.string()?.unwrap_or_default())
        }
        SSL_KEY_SIZE => Attribute::SslKeySize(reader.int()?),
        code @ (1..=9 | SECRET | STORED_METHOD) => {
            Attribute::Coded(code, reader.string()?.unwrap_or_default())
        }
        _ => return fault(at, "an unknown attribute"),
    }))
}

impl<'a, 'h> ForwardRequest<'a, 'h> {
    /// Reads the payload of a forward request, its type included. The places for headers are the caller's.
    ///
    /// # Errors
    /// What can't be read and where. All of the payload has to be used up.
    pub fn decode(payload: &'a [u8], headers: &'h mut [Header<'a>]) -> Result<Self, DecodeError> {
        if payload.first() != Some(&packet_type::FORWARD_REQUEST) {
            return fault(HEADER_BYTES, "not a forward request");
        }
        let mut reader = Reader::new(payload, 1);
        let code = reader.byte()?;
        let mut method = match names::method(code) {
            Some(name) => name,
            None if code == END => b"",
            None => return fault(reader.place() - 1, "an unknown method"),
        };
        let protocol = reader.string()?.unwrap_or_default();
        let uri = reader.needed("a request without a path")?;
        let remote_addr = reader.string()?;
        let remote_host = reader.string()?;
        let server_name = reader.string()?;
        let server_port = reader.int()?;
        let is_ssl = reader.byte()? != 0;
        let headers = reader.headers(headers, names::request_header)?;
        let begin = reader.at;
        let (mut query, mut secret, mut ssl_key_size) = (None, None, None);
        loop {
            match attribute(&mut reader)? {
                None => break,
                Some(Attribute::Coded(QUERY_STRING, text)) => query = Some(text),
                // Guards against a second secret that a client smuggled in after the proxy's: the first counts.
                Some(Attribute::Coded(SECRET, text)) => secret = secret.or(Some(text)),
                Some(Attribute::Coded(STORED_METHOD, text)) if code == END => method = text,
                Some(Attribute::SslKeySize(bits)) => ssl_key_size = Some(bits),
                Some(_) => {}
            }
        }
        if reader.at != payload.len() {
            return fault(reader.place(), "bytes after the end of the request");
        }
        if method.is_empty() {
            return fault(HEADER_BYTES + 1, "a request without a method");
        }
        Ok(Self {
            method,
            protocol,
            uri,
            remote_addr,
            remote_host,
            server_name,
            server_port,
            is_ssl,
            headers,
            query,
            secret,
            ssl_key_size,
            attributes: &payload[begin..],
        })
    }

    /// The value of the first header of this name, in any case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&'a [u8]> {
        let found = self
            .headers
            .iter()
            .find(|header| header.0.eq_ignore_ascii_case(name.as_bytes()));
        found.map(|header| header.1)
    }

    /// The attributes, in their order; [`decode`](Self::decode) has read them all once.
    pub fn attributes(&self) -> impl Iterator<Item = Attribute<'a>> {
        let mut reader = Reader::new(self.attributes, 0);
        std::iter::from_fn(move || attribute(&mut reader).ok().flatten())
    }
}

/// What the server sends, read from a payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerPacket<'a, 'h> {
    /// Status, its message, and headers.
    SendHeaders {
        /// The status.
        status: u16,
        /// Its message.
        message: &'a [u8],
        /// The headers.
        headers: &'h [Header<'a>],
    },
    /// A piece of the body.
    SendBodyChunk(&'a [u8]),
    /// The end; true where the connection may be used again.
    EndResponse(bool),
    /// So much more of the request's body is asked for.
    GetBodyChunk(usize),
    /// The answer to a ping.
    CPong,
}

impl<'a, 'h> ServerPacket<'a, 'h> {
    /// Reads the payload of a server's packet.
    ///
    /// # Errors
    /// What can't be read and where.
    pub fn decode(payload: &'a [u8], headers: &'h mut [Header<'a>]) -> Result<Self, DecodeError> {
        let mut reader = Reader::new(payload, 0);
        let reply = match reader.byte()? {
            packet_type::SEND_HEADERS => {
                let status = reader.int()?;
                let message = reader.string()?.unwrap_or_default();
                let headers = reader.headers(headers, names::response_header)?;
                ServerPacket::SendHeaders {
                    status,
                    message,
                    headers,
                }
            }
            packet_type::SEND_BODY_CHUNK => {
                let length = usize::from(reader.int()?);
                let Some(data) = payload.get(reader.at..reader.at + length) else {
                    return fault(reader.place(), "a body chunk goes on past its packet");
                };
                reader.at += length;
                // Some servers leave the closing zero out.
                if payload.get(reader.at) == Some(&0) {
                    reader.at += 1;
                }
                ServerPacket::SendBodyChunk(data)
            }
            packet_type::END_RESPONSE => ServerPacket::EndResponse(reader.byte()? == 1),
            packet_type::GET_BODY_CHUNK => ServerPacket::GetBodyChunk(usize::from(reader.int()?)),
            packet_type::CPONG => ServerPacket::CPong,
            _ => return fault(HEADER_BYTES, "an unknown type of packet"),
        };
        if reader.at != payload.len() {
            return fault(
                reader.place(),
                "bytes after the end of the packet's content",
            );
        }
        Ok(reply)
    }
}

/// Reads the payload of a body packet: its data, empty where the body is over.
///
/// # Errors
/// Where the length that it tells is not that of its data.
pub fn decode_body(payload: &[u8]) -> Result<&[u8], DecodeError> {
    if payload.is_empty() {
        return Ok(payload);
    }
    let mut reader = Reader::new(payload, 0);
    let length = usize::from(reader.int()?);
    match payload.get(2..) {
        Some(data) if data.len() == length => Ok(data),
        _ => fault(
            HEADER_BYTES,
            "the length of a body packet is not that of its data",
        ),
    }
}

/// What is to be sent does not fit into a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0} bytes do not fit into one packet")]
pub struct PacketTooLarge(pub usize);

fn open(out: &mut Vec<u8>, way: Direction) -> usize {
    let start = out.len();
    out.extend_from_slice(if way == Direction::ToServer {
        &TO_SERVER
    } else {
        &TO_PROXY
    });
    out.extend_from_slice(&[0; 2]);
    start
}

/// Writes the length of the packet that begins at `start`, or takes it back where it is too large.
fn close(out: &mut Vec<u8>, start: usize, most: usize) -> Result<(), PacketTooLarge> {
    let size = out.len() - start;
    let Some(length) = u16::try_from(size - HEADER_BYTES)
        .ok()
        .filter(|_| size <= most)
    else {
        out.truncate(start);
        return Err(PacketTooLarge(size));
    };
    out[start + 2..start + HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

fn push_int(out: &mut Vec<u8>, value: u16) {
    out.extend_from_slice(&value.to_be_bytes());
}

/// A string; one beyond what a length can tell makes the packet too large as well.
fn push_string(out: &mut Vec<u8>, text: Option<&[u8]>) {
    let Some(text) = text else {
        return push_int(out, 0xFFFF);
    };
    push_int(out, text.len().min(0xFFFE) as u16);
    out.extend_from_slice(text);
    out.push(0);
}

/// A request to be sent.
#[derive(Debug, Clone, Default)]
pub struct OutgoingRequest<'a> {
    /// The method.
    pub method: &'a str,
    /// The path.
    pub uri: &'a str,
    /// The client's address.
    pub remote_addr: &'a str,
    /// The server's name.
    pub server_name: &'a str,
    /// The server's port.
    pub server_port: u16,
    /// The query string.
    pub query: Option<&'a str>,
    /// The secret.
    pub secret: Option<&'a str>,
    /// The headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// Further attributes.
    pub attributes: &'a [(&'a str, &'a str)],
}

/// Appends a forward request.
///
/// # Errors
/// Where it does not fit into a packet; nothing is appended then.
pub fn push_forward_request(
    out: &mut Vec<u8>,
    request: &OutgoingRequest,
    most: usize,
) -> Result<(), PacketTooLarge> {
    let start = open(out, Direction::ToServer);
    let code = names::method_code(request.method.as_bytes());
    out.extend_from_slice(&[packet_type::FORWARD_REQUEST, code.unwrap_or(END)]);
    push_string(out, Some(b"HTTP/1.1"));
    push_string(out, Some(request.uri.as_bytes()));
    push_string(out, Some(request.remote_addr.as_bytes()));
    push_string(out, None);
    push_string(out, Some(request.server_name.as_bytes()));
    push_int(out, request.server_port);
    out.push(0);
    if let Err(e) = push_headers(out, request.headers, names::request_header_code) {
        out.truncate(start);
        return Err(e);
    }
    if let Some(query) = request.query {
        out.push(QUERY_STRING);
        push_string(out, Some(query.as_bytes()));
    }
    if let Some(secret) = request.secret {
        out.push(SECRET);
        push_string(out, Some(secret.as_bytes()));
    }
    if code.is_none() {
        out.push(STORED_METHOD);
        push_string(out, Some(request.method.as_bytes()));
    }
    for (name, value) in request.attributes {
        out.push(REQUEST_ATTRIBUTE);
        push_string(out, Some(name.as_bytes()));
        push_string(out, Some(value.as_bytes()));
    }
    out.push(END);
    close(out, start, most)
}

fn push_headers(
    out: &mut Vec<u8>,
    headers: &[(&str, &str)],
    code: fn(&[u8]) -> Option<u16>,
) -> Result<(), PacketTooLarge> {
    if headers.len() > MAX_HEADERS {
        return Err(PacketTooLarge(headers.len()));
    }
    push_int(out, headers.len() as u16);
    for (name, value) in headers {
        match code(name.as_bytes()) {
            Some(code) => push_int(out, code),
            None => push_string(out, Some(name.as_bytes())),
        }
        push_string(out, Some(value.as_bytes()));
    }
    Ok(())
}

/// Appends a body packet; an empty one ends the body.
///
/// # Errors
/// Where the data do not fit into a packet.
pub fn push_body(out: &mut Vec<u8>, data: &[u8], most: usize) -> Result<(), PacketTooLarge> {
    let start = open(out, Direction::ToServer);
    if !data.is_empty() {
        push_int(out, data.len().min(0xFFFF) as u16);
        out.extend_from_slice(data);
    }
    close(out, start, most)
}

/// Appends a ping.
pub fn push_cping(out: &mut Vec<u8>) {
    out.extend_from_slice(&[0x12, 0x34, 0, 1, packet_type::CPING]);
}

/// Appends the answer to a ping.
pub fn push_cpong(out: &mut Vec<u8>) {
    out.extend_from_slice(&[b'A', b'B', 0, 1, packet_type::CPONG]);
}

/// Appends status and headers.
///
/// # Errors
/// Where they do not fit into a packet; nothing is appended then.
pub fn push_send_headers(
    out: &mut Vec<u8>,
    status: u16,
    message: &str,
    headers: &[(&str, &str)],
    most: usize,
) -> Result<(), PacketTooLarge> {
    let start = open(out, Direction::ToProxy);
    out.push(packet_type::SEND_HEADERS);
    push_int(out, status);
    push_string(out, Some(message.as_bytes()));
    if let Err(e) = push_headers(out, headers, names::response_header_code) {
        out.truncate(start);
        return Err(e);
    }
    close(out, start, most)
}

/// Appends a body in as many chunks as it needs; an empty one needs none.
pub fn push_body_chunks(out: &mut Vec<u8>, data: &[u8], most: usize) {
    for piece in data.chunks(most.min(0xFFFF + HEADER_BYTES) - CHUNK_OVERHEAD) {
        let start = open(out, Direction::ToProxy);
        out.push(packet_type::SEND_BODY_CHUNK);
        push_int(out, piece.len() as u16);
        out.extend_from_slice(piece);
        out.push(0);
        // A piece is cut to fit.
        let _ = close(out, start, most);
    }
}

/// Appends the end of a response.
pub fn push_end_response(out: &mut Vec<u8>, reuse: bool) {
    out.extend_from_slice(&[b'A', b'B', 0, 2, packet_type::END_RESPONSE, u8::from(reuse)]);
}

/// Appends the wish for so much more of a body.
pub fn push_get_body(out: &mut Vec<u8>, length: usize) {
    out.extend_from_slice(&[b'A', b'B', 0, 3, packet_type::GET_BODY_CHUNK]);
    push_int(out, length.min(0xFFFF) as u16);
}
