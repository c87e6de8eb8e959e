//! The codec of AJP/1.3 packets in both directions, without sockets or state: splits off the packet
//! at the front of the input, decodes a forward request without copying, and encodes packets into
//! the caller's buffer.

use super::names;
use std::ops::Range;

/// The default packet size of both sides, in bytes.
pub const PACKET_SIZE: usize = 8_192;
/// The packet sizes that may be configured.
pub const PACKET_SIZE_RANGE: std::ops::RangeInclusive<usize> = PACKET_SIZE..=65_536;
/// Bytes of the magic and the length field.
pub const HEADER_BYTES: usize = 4;
/// Maximum number of headers in a message; a message with more is rejected.
pub const MAX_HEADERS: usize = 100;
/// Bytes of a proxy's body packet beside its data: packet header and length.
pub const BODY_OVERHEAD: usize = HEADER_BYTES + 2;
/// Bytes of a server's body chunk beside its data: packet header, type, length and a terminating
/// zero.
pub const CHUNK_OVERHEAD: usize = HEADER_BYTES + 4;

const MAGIC_TO_SERVER: [u8; 2] = [0x12, 0x34];
const MAGIC_TO_PROXY: [u8; 2] = *b"AB";

/// Packet types: the first byte of the payload.
pub mod packet_type {
    /// From the proxy: a request.
    pub const FORWARD_REQUEST: u8 = 2;
    /// From the server: a chunk of the response's body.
    pub const SEND_BODY_CHUNK: u8 = 3;
    /// From the server: the status and the headers.
    pub const SEND_HEADERS: u8 = 4;
    /// From the server: the end of the response, and whether the connection may be reused.
    pub const END_RESPONSE: u8 = 5;
    /// From the server: requests more of the request's body.
    pub const GET_BODY_CHUNK: u8 = 6;
    /// From the proxy: tells the server to shut down.
    pub const SHUTDOWN: u8 = 7;
    /// From the server: the response to a ping.
    pub const CPONG: u8 = 9;
    /// From the proxy: a ping.
    pub const CPING: u8 = 10;
}

/// The direction of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the proxy to the server.
    ToServer,
    /// From the server to the proxy.
    ToProxy,
}

/// What is invalid in a packet, and at which byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("byte {offset}: {reason}")]
pub struct DecodeError {
    /// Offset in the packet, its magic included.
    pub offset: usize,
    /// What is wrong at this offset.
    pub reason: &'static str,
}

fn decode_error<T>(offset: usize, reason: &'static str) -> Result<T, DecodeError> {
    Err(DecodeError { offset, reason })
}

/// Returns the range of the payload of the packet at the front of the bytes, or `None` if the
/// packet is incomplete. A packet may have `max_bytes` bytes, header included.
///
/// # Errors
/// Returns an error for a wrong magic or a length beyond the packet size: nothing after it can be
/// read.
pub fn parse_packet(
    bytes: &[u8],
    direction: Direction,
    max_bytes: usize,
) -> Result<Option<Range<usize>>, DecodeError> {
    let magic = if direction == Direction::ToServer {
        MAGIC_TO_SERVER
    } else {
        MAGIC_TO_PROXY
    };
    for (offset, expected) in magic.iter().enumerate() {
        match bytes.get(offset) {
            None => return Ok(None),
            Some(byte) if byte != expected => {
                return decode_error(offset, "not the magic of an AJP packet")
            }
            Some(_) => {}
        }
    }
    let Some(length) = bytes
        .get(2..HEADER_BYTES)
        .and_then(|b| b.first_chunk::<2>())
    else {
        return Ok(None);
    };
    let packet_bytes = HEADER_BYTES + usize::from(u16::from_be_bytes(*length));
    if packet_bytes > max_bytes {
        return decode_error(2, "the packet is larger than the packet size");
    }
    Ok((bytes.len() >= packet_bytes).then_some(HEADER_BYTES..packet_bytes))
}

/// Reads a payload from the front to the end.
struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    fn new(bytes: &'a [u8], position: usize) -> Self {
        Self { bytes, position }
    }

    fn offset(&self) -> usize {
        HEADER_BYTES + self.position
    }

    #[inline]
    fn read_u8(&mut self) -> Result<u8, DecodeError> {
        let Some(&byte) = self.bytes.get(self.position) else {
            return decode_error(self.offset(), "the packet ends where a byte is needed");
        };
        self.position += 1;
        Ok(byte)
    }

    #[inline]
    fn read_u16(&mut self) -> Result<u16, DecodeError> {
        let Some(bytes) = self
            .bytes
            .get(self.position..)
            .and_then(|rest| rest.first_chunk::<2>())
        else {
            return decode_error(self.offset(), "the packet ends where a number is needed");
        };
        self.position += 2;
        Ok(u16::from_be_bytes(*bytes))
    }

    /// Reads a string; `None` if it is marked as null.
    #[inline]
    fn read_string(&mut self) -> Result<Option<&'a [u8]>, DecodeError> {
        let length = self.read_u16()?;
        if length == 0xFFFF {
            return Ok(None);
        }
        self.read_bytes(usize::from(length)).map(Some)
    }

    #[inline]
    fn read_bytes(&mut self, length: usize) -> Result<&'a [u8], DecodeError> {
        let Some(text) = self.bytes.get(self.position..self.position + length) else {
            return decode_error(self.offset(), "a string goes on past its packet");
        };
        match self.bytes.get(self.position + length) {
            Some(0) => {}
            Some(_) => {
                return decode_error(self.offset() + length, "a string without its closing zero")
            }
            None => {
                return decode_error(self.offset() + length, "a string goes on past its packet")
            }
        }
        self.position += length + 1;
        Ok(text)
    }

    /// Reads the headers into the caller's buffer; `name_of_code` returns the name of a header that
    /// is sent as a code.
    #[inline]
    fn read_headers<'h>(
        &mut self,
        buffer: &'h mut [Header<'a>],
        name_of_code: fn(u16) -> Option<&'static [u8]>,
    ) -> Result<&'h [Header<'a>], DecodeError> {
        let offset = self.offset();
        let count = usize::from(self.read_u16()?);
        let Some(buffer) = buffer.get_mut(..count) else {
            return decode_error(offset, "too many headers");
        };
        for slot in buffer.iter_mut() {
            let offset = self.offset();
            let length = self.read_u16()?;
            let name = if length & 0xFF00 == names::CODED_HEADER {
                name_of_code(length).ok_or(DecodeError {
                    offset,
                    reason: "an unknown header code",
                })?
            } else {
                self.read_bytes(usize::from(length))?
            };
            if name.is_empty() {
                return decode_error(offset, "a header without a name");
            }
            *slot = (name, self.read_string()?.unwrap_or_default());
        }
        Ok(buffer)
    }

    fn read_required_string(&mut self, reason: &'static str) -> Result<&'a [u8], DecodeError> {
        let offset = self.offset();
        self.read_string()?.ok_or(DecodeError { offset, reason })
    }
}

/// A header's name and value. The name is spelled as received, or as in the code table.
pub type Header<'a> = (&'a [u8], &'a [u8]);

/// An unused element of a buffer of headers.
pub const EMPTY_HEADER: Header<'static> = (&[], &[]);

/// A forward request, borrowed from its packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardRequest<'a, 'h> {
    /// The method, also if it was sent as an attribute.
    pub method: &'a [u8],
    /// The protocol of the client, such as `HTTP/1.1`.
    pub protocol: &'a [u8],
    /// The path, without a query.
    pub uri: &'a [u8],
    /// The client's address, if the proxy sends it.
    pub remote_addr: Option<&'a [u8]>,
    /// The client's name.
    pub remote_host: Option<&'a [u8]>,
    /// The server's name.
    pub server_name: Option<&'a [u8]>,
    /// The server's port.
    pub server_port: u16,
    /// Whether the client used TLS.
    pub is_ssl: bool,
    /// The headers, in the order received.
    pub headers: &'h [Header<'a>],
    /// The query string.
    pub query: Option<&'a [u8]>,
    /// The secret.
    pub secret: Option<&'a [u8]>,
    /// Size of the client's TLS key, in bits.
    pub ssl_key_size: Option<u16>,
    /// The encoded attributes; [`attributes`](Self::attributes) reads them.
    attributes: &'a [u8],
}

/// An attribute of a forward request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attribute<'a> {
    /// An attribute with a code: context 1, servlet path 2, remote user 3, authentication type 4,
    /// query string 5, route 6, certificate 7, cipher 8, session 9, secret 12, stored method 13.
    Coded(u8, &'a [u8]),
    /// An attribute with a name.
    Named(&'a [u8], &'a [u8]),
    /// Size of the TLS key, in bits.
    SslKeySize(u16),
}

const QUERY_STRING: u8 = 5;
const REQUEST_ATTRIBUTE: u8 = 10;
const SSL_KEY_SIZE: u8 = 11;
const SECRET: u8 = 12;
const STORED_METHOD: u8 = 13;
const END_MARKER: u8 = 0xFF;

fn read_attribute<'a>(reader: &mut Reader<'a>) -> Result<Option<Attribute<'a>>, DecodeError> {
    let offset = reader.offset();
    Ok(Some(match reader.read_u8()? {
        END_MARKER => return Ok(None),
        REQUEST_ATTRIBUTE => {
            let name = reader.read_required_string("an attribute without a name")?;
            Attribute::Named(name, reader.read_string()?.unwrap_or_default())
        }
        SSL_KEY_SIZE => Attribute::SslKeySize(reader.read_u16()?),
        code @ (1..=9 | SECRET | STORED_METHOD) => {
            Attribute::Coded(code, reader.read_string()?.unwrap_or_default())
        }
        _ => return decode_error(offset, "an unknown attribute"),
    }))
}

impl<'a, 'h> ForwardRequest<'a, 'h> {
    /// Decodes the payload of a forward request, its type included. The buffer for the headers is
    /// the caller's.
    ///
    /// # Errors
    /// Returns what is invalid and where; bytes after the request are an error.
    pub fn decode(payload: &'a [u8], headers: &'h mut [Header<'a>]) -> Result<Self, DecodeError> {
        if payload.first() != Some(&packet_type::FORWARD_REQUEST) {
            return decode_error(HEADER_BYTES, "not a forward request");
        }
        let mut reader = Reader::new(payload, 1);
        let code = reader.read_u8()?;
        let mut method = match names::method(code) {
            Some(name) => name,
            None if code == END_MARKER => b"",
            None => return decode_error(reader.offset() - 1, "an unknown method"),
        };
        let protocol = reader.read_string()?.unwrap_or_default();
        let uri = reader.read_required_string("a request without a path")?;
        let remote_addr = reader.read_string()?;
        let remote_host = reader.read_string()?;
        let server_name = reader.read_string()?;
        let server_port = reader.read_u16()?;
        let is_ssl = reader.read_u8()? != 0;
        let headers = reader.read_headers(headers, names::request_header)?;
        let attributes_start = reader.position;
        let (mut query, mut secret, mut ssl_key_size) = (None, None, None);
        loop {
            match read_attribute(&mut reader)? {
                None => break,
                Some(Attribute::Coded(QUERY_STRING, text)) => query = Some(text),
                // The first secret counts: a client may have smuggled in another one after the
                // proxy's.
                Some(Attribute::Coded(SECRET, text)) => secret = secret.or(Some(text)),
                Some(Attribute::Coded(STORED_METHOD, text)) if code == END_MARKER => method = text,
                Some(Attribute::SslKeySize(bits)) => ssl_key_size = Some(bits),
                Some(_) => {}
            }
        }
        if reader.position != payload.len() {
            return decode_error(reader.offset(), "bytes after the end of the request");
        }
        if method.is_empty() {
            return decode_error(HEADER_BYTES + 1, "a request without a method");
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
            attributes: &payload[attributes_start..],
        })
    }

    /// Returns the value of the first header with this name, ignoring case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&'a [u8]> {
        let header = self
            .headers
            .iter()
            .find(|header| header.0.eq_ignore_ascii_case(name.as_bytes()));
        header.map(|header| header.1)
    }

    /// Returns the attributes in the order received; [`decode`](Self::decode) has validated them.
    pub fn attributes(&self) -> impl Iterator<Item = Attribute<'a>> {
        let mut reader = Reader::new(self.attributes, 0);
        std::iter::from_fn(move || read_attribute(&mut reader).ok().flatten())
    }
}

/// A packet of the server, decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerPacket<'a, 'h> {
    /// The status, its message and the headers.
    SendHeaders {
        /// The status code.
        status: u16,
        /// The message of the status.
        message: &'a [u8],
        /// The headers.
        headers: &'h [Header<'a>],
    },
    /// A chunk of the body.
    SendBodyChunk(&'a [u8]),
    /// The end of the response; true if the connection may be reused.
    EndResponse(bool),
    /// Requests at most this many further bytes of the request's body.
    GetBodyChunk(usize),
    /// The response to a ping.
    CPong,
}

impl<'a, 'h> ServerPacket<'a, 'h> {
    /// Decodes the payload of a server's packet.
    ///
    /// # Errors
    /// Returns what is invalid and where.
    pub fn decode(payload: &'a [u8], headers: &'h mut [Header<'a>]) -> Result<Self, DecodeError> {
        let mut reader = Reader::new(payload, 0);
        let packet = match reader.read_u8()? {
            packet_type::SEND_HEADERS => {
                let status = reader.read_u16()?;
                let message = reader.read_string()?.unwrap_or_default();
                let headers = reader.read_headers(headers, names::response_header)?;
                ServerPacket::SendHeaders {
                    status,
                    message,
                    headers,
                }
            }
            packet_type::SEND_BODY_CHUNK => {
                let length = usize::from(reader.read_u16()?);
                let Some(data) = payload.get(reader.position..reader.position + length) else {
                    return decode_error(reader.offset(), "a body chunk goes on past its packet");
                };
                reader.position += length;
                // Some servers omit the terminating zero.
                if payload.get(reader.position) == Some(&0) {
                    reader.position += 1;
                }
                ServerPacket::SendBodyChunk(data)
            }
            packet_type::END_RESPONSE => ServerPacket::EndResponse(reader.read_u8()? == 1),
            packet_type::GET_BODY_CHUNK => {
                ServerPacket::GetBodyChunk(usize::from(reader.read_u16()?))
            }
            packet_type::CPONG => ServerPacket::CPong,
            _ => return decode_error(HEADER_BYTES, "an unknown type of packet"),
        };
        if reader.position != payload.len() {
            return decode_error(
                reader.offset(),
                "bytes after the end of the packet's content",
            );
        }
        Ok(packet)
    }
}

/// Decodes the payload of a body packet and returns its data, which is empty at the end of the
/// body.
///
/// # Errors
/// Returns an error if the length field is not the length of the data.
pub fn decode_body(payload: &[u8]) -> Result<&[u8], DecodeError> {
    if payload.is_empty() {
        return Ok(payload);
    }
    let mut reader = Reader::new(payload, 0);
    let length = usize::from(reader.read_u16()?);
    match payload.get(2..) {
        Some(data) if data.len() == length => Ok(data),
        _ => decode_error(
            HEADER_BYTES,
            "the length of a body packet is not that of its data",
        ),
    }
}

/// A message that does not fit into a packet, with its size in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0} bytes do not fit into one packet")]
pub struct PacketTooLarge(pub usize);

fn begin_packet(output: &mut Vec<u8>, direction: Direction) -> usize {
    let start = output.len();
    output.extend_from_slice(if direction == Direction::ToServer {
        &MAGIC_TO_SERVER
    } else {
        &MAGIC_TO_PROXY
    });
    output.extend_from_slice(&[0; 2]);
    start
}

/// Writes the length of the packet that begins at `start`, or removes the packet if it is too
/// large.
fn finish_packet(
    output: &mut Vec<u8>,
    start: usize,
    max_bytes: usize,
) -> Result<(), PacketTooLarge> {
    let size = output.len() - start;
    let Some(length) = u16::try_from(size - HEADER_BYTES)
        .ok()
        .filter(|_| size <= max_bytes)
    else {
        output.truncate(start);
        return Err(PacketTooLarge(size));
    };
    output[start + 2..start + HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

fn push_u16(output: &mut Vec<u8>, value: u16) {
    output.extend_from_slice(&value.to_be_bytes());
}

/// Appends a string. One that exceeds its length field also makes the packet too large, which is
/// rejected later.
fn push_string(output: &mut Vec<u8>, text: Option<&[u8]>) {
    let Some(text) = text else {
        return push_u16(output, 0xFFFF);
    };
    push_u16(output, text.len().min(0xFFFE) as u16);
    output.extend_from_slice(text);
    output.push(0);
}

/// A request to be encoded.
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
/// Returns an error, and appends nothing, if the request does not fit into a packet.
pub fn push_forward_request(
    output: &mut Vec<u8>,
    request: &OutgoingRequest,
    max_bytes: usize,
) -> Result<(), PacketTooLarge> {
    let start = begin_packet(output, Direction::ToServer);
    let code = names::method_code(request.method.as_bytes());
    output.extend_from_slice(&[packet_type::FORWARD_REQUEST, code.unwrap_or(END_MARKER)]);
    push_string(output, Some(b"HTTP/1.1"));
    push_string(output, Some(request.uri.as_bytes()));
    push_string(output, Some(request.remote_addr.as_bytes()));
    push_string(output, None);
    push_string(output, Some(request.server_name.as_bytes()));
    push_u16(output, request.server_port);
    output.push(0);
    if let Err(e) = push_headers(output, request.headers, names::request_header_code) {
        output.truncate(start);
        return Err(e);
    }
    if let Some(query) = request.query {
        output.push(QUERY_STRING);
        push_string(output, Some(query.as_bytes()));
    }
    if let Some(secret) = request.secret {
        output.push(SECRET);
        push_string(output, Some(secret.as_bytes()));
    }
    if code.is_none() {
        output.push(STORED_METHOD);
        push_string(output, Some(request.method.as_bytes()));
    }
    for (name, value) in request.attributes {
        output.push(REQUEST_ATTRIBUTE);
        push_string(output, Some(name.as_bytes()));
        push_string(output, Some(value.as_bytes()));
    }
    output.push(END_MARKER);
    finish_packet(output, start, max_bytes)
}

fn push_headers(
    output: &mut Vec<u8>,
    headers: &[(&str, &str)],
    code: fn(&[u8]) -> Option<u16>,
) -> Result<(), PacketTooLarge> {
    if headers.len() > MAX_HEADERS {
        return Err(PacketTooLarge(headers.len()));
    }
    push_u16(output, headers.len() as u16);
    for (name, value) in headers {
        match code(name.as_bytes()) {
            Some(code) => push_u16(output, code),
            None => push_string(output, Some(name.as_bytes())),
        }
        push_string(output, Some(value.as_bytes()));
    }
    Ok(())
}

/// Appends a body packet; one without data ends the body.
///
/// # Errors
/// Returns an error if the data do not fit into a packet.
pub fn push_body(
    output: &mut Vec<u8>,
    data: &[u8],
    max_bytes: usize,
) -> Result<(), PacketTooLarge> {
    let start = begin_packet(output, Direction::ToServer);
    if !data.is_empty() {
        push_u16(output, data.len().min(0xFFFF) as u16);
        output.extend_from_slice(data);
    }
    finish_packet(output, start, max_bytes)
}

/// Appends a ping.
pub fn push_cping(output: &mut Vec<u8>) {
    output.extend_from_slice(&[0x12, 0x34, 0, 1, packet_type::CPING]);
}

/// Appends the response to a ping.
pub fn push_cpong(output: &mut Vec<u8>) {
    output.extend_from_slice(&[b'A', b'B', 0, 1, packet_type::CPONG]);
}

/// Appends the status and the headers.
///
/// # Errors
/// Returns an error, and appends nothing, if they do not fit into a packet.
pub fn push_send_headers(
    output: &mut Vec<u8>,
    status: u16,
    message: &str,
    headers: &[(&str, &str)],
    max_bytes: usize,
) -> Result<(), PacketTooLarge> {
    let start = begin_packet(output, Direction::ToProxy);
    output.push(packet_type::SEND_HEADERS);
    push_u16(output, status);
    push_string(output, Some(message.as_bytes()));
    if let Err(e) = push_headers(output, headers, names::response_header_code) {
        output.truncate(start);
        return Err(e);
    }
    finish_packet(output, start, max_bytes)
}

/// Appends a body in as many chunks as it needs; an empty body has none.
pub fn push_body_chunks(output: &mut Vec<u8>, data: &[u8], max_bytes: usize) {
    for chunk in data.chunks(max_bytes.min(0xFFFF + HEADER_BYTES) - CHUNK_OVERHEAD) {
        let start = begin_packet(output, Direction::ToProxy);
        output.push(packet_type::SEND_BODY_CHUNK);
        push_u16(output, chunk.len() as u16);
        output.extend_from_slice(chunk);
        output.push(0);
        // Can't fail: a chunk is cut to fit.
        let _ = finish_packet(output, start, max_bytes);
    }
}

/// Appends the end of a response.
pub fn push_end_response(output: &mut Vec<u8>, reuse: bool) {
    output.extend_from_slice(&[b'A', b'B', 0, 2, packet_type::END_RESPONSE, u8::from(reuse)]);
}

/// Appends the request for at most `length` further bytes of the request's body.
pub fn push_get_body(output: &mut Vec<u8>, length: usize) {
    output.extend_from_slice(&[b'A', b'B', 0, 3, packet_type::GET_BODY_CHUNK]);
    push_u16(output, length.min(0xFFFF) as u16);
}
