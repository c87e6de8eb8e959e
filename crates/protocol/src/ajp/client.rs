//! The client side of a connection to an AJP server: one request at a time, kept alive between
//! requests, and pinged before a connection that was idle carries a request.

use super::codec::{
    self, DecodeError, Direction, OutgoingRequest, PacketTooLarge, ServerPacket, BODY_OVERHEAD,
    EMPTY_HEADER, MAX_HEADERS,
};
use super::server::NOT_RUN_HEADER;
use cleatpulley_policy::interface::Micros;

/// A connection idle for at least this time is pinged before it carries a request: the server may
/// have closed or forgotten it.
pub const MIN_IDLE_BEFORE_PING: Micros = 1_000_000;
/// Maximum number of bytes of a response's body.
const MAX_BODY_BYTES: usize = 1_048_576;

/// A request to be sent.
#[derive(Debug, Clone, Default)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path, with its query.
    pub uri: &'a str,
    /// Headers; `Content-Length` is added.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
}

/// A complete response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers, in the order received.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection may be reused.
    pub reuse: bool,
}

impl Response {
    /// Returns the value of the first header with this name, ignoring case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self
            .headers
            .iter()
            .find(|header| header.0.eq_ignore_ascii_case(name));
        header.map(|header| header.1.as_str())
    }

    /// Returns whether the server states that the request never ran.
    #[must_use]
    pub fn not_run(&self) -> bool {
        self.header(NOT_RUN_HEADER) == Some("1")
    }
}

/// What is known of a request whose connection ended without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionState {
    /// The server can't have read all of the request: it never ran, and may always be repeated.
    NeverRan,
    /// The request may have run: it may only be repeated if that is safe.
    MayHaveRun,
}

/// Options of a client.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Options {
    /// Maximum packet size in bytes.
    pub packet_size: usize,
    /// The secret that the server requires, if any.
    pub secret: Option<String>,
    /// The server's name and port, as sent with requests.
    pub server: (String, u16),
}

#[derive(Debug)]
enum Stage {
    Idle,
    /// The pong is awaited; the request is sent after it.
    Ping,
    /// The request has been sent.
    Sent,
}

/// The state of a connection to a server.
#[derive(Debug)]
pub struct Client {
    options: Options,
    stage: Stage,
    last_activity_at: Micros,
    is_unused: bool,
    /// The encoded forward request, until it is sent.
    pending_request: Vec<u8>,
    body: Vec<u8>,
    /// Number of bytes of the body that were written.
    written_bytes: usize,
    /// The response as far as it has been received.
    response: Response,
    has_headers: bool,
    is_complete: bool,
    has_pong: bool,
}

impl Client {
    /// Creates the state of a new connection.
    #[must_use]
    pub fn new(options: Options, now: Micros) -> Self {
        Self {
            options,
            stage: Stage::Idle,
            last_activity_at: now,
            is_unused: true,
            pending_request: Vec::new(),
            body: Vec::new(),
            written_bytes: 0,
            response: Response::default(),
            has_headers: false,
            is_complete: false,
            has_pong: false,
        }
    }

    /// Returns whether no request is open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle)
    }

    /// Sends a request, after a ping if the connection was idle. The first body packet is sent with
    /// it.
    ///
    /// # Errors
    /// Returns an error, and sends nothing, if the head does not fit into a packet.
    pub fn request(
        &mut self,
        now: Micros,
        request: &Request,
        output: &mut Vec<u8>,
    ) -> Result<(), PacketTooLarge> {
        let length = request.body.len().to_string();
        let (uri, query) = request
            .uri
            .split_once('?')
            .map_or((request.uri, None), |(uri, query)| (uri, Some(query)));
        let mut headers = request.headers.to_vec();
        headers.push(("Content-Length", &length));
        let forward = OutgoingRequest {
            method: request.method,
            uri,
            remote_addr: "127.0.0.1",
            server_name: &self.options.server.0,
            server_port: self.options.server.1,
            query,
            secret: self.options.secret.as_deref(),
            headers: &headers,
            attributes: &[],
        };
        self.pending_request.clear();
        codec::push_forward_request(
            &mut self.pending_request,
            &forward,
            self.options.packet_size,
        )?;
        self.body.clear();
        self.body.extend_from_slice(request.body);
        self.written_bytes = 0;
        (self.response, self.has_headers, self.is_complete) = (Response::default(), false, false);
        if !self.is_unused && now >= self.last_activity_at + MIN_IDLE_BEFORE_PING {
            codec::push_cping(output);
            self.stage = Stage::Ping;
        } else {
            self.send_request(output);
        }
        self.is_unused = false;
        self.last_activity_at = now;
        Ok(())
    }

    /// Pings the server on an idle connection; [`take_pong`](Self::take_pong) returns whether it
    /// replied.
    pub fn ping(&mut self, output: &mut Vec<u8>) {
        codec::push_cping(output);
    }

    /// Returns whether a pong was received since the last call.
    pub fn take_pong(&mut self) -> bool {
        std::mem::take(&mut self.has_pong)
    }

    fn send_request(&mut self, output: &mut Vec<u8>) {
        self.stage = Stage::Sent;
        output.append(&mut self.pending_request);
        if !self.body.is_empty() {
            self.send_body_packet(usize::MAX, output);
        }
    }

    fn send_body_packet(&mut self, wanted_bytes: usize, output: &mut Vec<u8>) {
        let packet_size = self.options.packet_size;
        let size = (self.body.len() - self.written_bytes)
            .min(wanted_bytes)
            .min(packet_size - BODY_OVERHEAD);
        // Can't fail: the data are cut to fit.
        let _ = codec::push_body(
            output,
            &self.body[self.written_bytes..self.written_bytes + size],
            packet_size,
        );
        self.written_bytes += size;
    }

    /// Reads the complete packets at the front of `input` and returns the number of bytes consumed.
    /// A response that became complete is returned by [`take_response`](Self::take_response).
    ///
    /// # Errors
    /// Returns what is invalid; the connection can't be used any longer.
    pub fn receive(
        &mut self,
        now: Micros,
        input: &[u8],
        output: &mut Vec<u8>,
    ) -> Result<usize, DecodeError> {
        let mut consumed = 0;
        while let Some(payload) = codec::parse_packet(
            &input[consumed..],
            Direction::ToProxy,
            self.options.packet_size,
        )? {
            let bytes = &input[consumed..consumed + payload.end];
            consumed += payload.end;
            self.last_activity_at = now;
            let mut headers = [EMPTY_HEADER; MAX_HEADERS];
            let packet = ServerPacket::decode(&bytes[payload], &mut headers)?;
            self.handle_packet(packet, output)
                .map_err(|reason| DecodeError {
                    offset: codec::HEADER_BYTES,
                    reason,
                })?;
        }
        Ok(consumed)
    }

    fn handle_packet(
        &mut self,
        packet: ServerPacket,
        output: &mut Vec<u8>,
    ) -> Result<(), &'static str> {
        match (&self.stage, packet) {
            (Stage::Ping, ServerPacket::CPong) => self.send_request(output),
            (Stage::Idle, ServerPacket::CPong) => self.has_pong = true,
            (
                Stage::Sent,
                ServerPacket::SendHeaders {
                    status, headers, ..
                },
            ) if !self.has_headers => {
                self.has_headers = true;
                self.response.status = status;
                let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
                self.response.headers = headers
                    .iter()
                    .map(|(name, value)| (text(name), text(value)))
                    .collect();
            }
            (Stage::Sent, ServerPacket::SendBodyChunk(data)) if self.has_headers => {
                if self.response.body.len() + data.len() > MAX_BODY_BYTES {
                    return Err("the body of the response is too long");
                }
                self.response.body.extend_from_slice(data);
            }
            (Stage::Sent, ServerPacket::GetBodyChunk(wanted_bytes)) if !self.has_headers => {
                self.send_body_packet(wanted_bytes, output);
            }
            (Stage::Sent, ServerPacket::EndResponse(reuse)) if self.has_headers => {
                // A truncated response must not be taken for a complete one.
                if let Some(declared_length) = self.response.header("Content-Length") {
                    if declared_length.trim().parse() != Ok(self.response.body.len()) {
                        return Err("the length of the body differs from Content-Length");
                    }
                }
                // The rest of a body that was not sent completely would be taken for the next
                // request.
                self.response.reuse = reuse && self.written_bytes == self.body.len();
                self.stage = Stage::Idle;
                self.is_complete = true;
            }
            _ => return Err("unexpected type of packet in this state"),
        }
        Ok(())
    }

    /// Returns the response, once it is complete.
    pub fn take_response(&mut self) -> Option<Response> {
        std::mem::take(&mut self.is_complete).then(|| std::mem::take(&mut self.response))
    }

    /// Returns what is known of the request if the connection ended now, with this many bytes not
    /// yet passed to the system.
    #[must_use]
    pub fn execution_state(&self, unsent_bytes: usize) -> ExecutionState {
        let may_have_run = matches!(self.stage, Stage::Sent)
            && self.written_bytes == self.body.len()
            && unsent_bytes == 0;
        if may_have_run {
            ExecutionState::MayHaveRun
        } else {
            ExecutionState::NeverRan
        }
    }
}
