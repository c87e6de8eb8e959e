//! A connection to an AJP server, seen from the client: one request at a time, kept alive between them, and asked
//! for a sign of life before an old connection is trusted with a request.

use super::codec::{
    self, DecodeError, Direction, OutgoingRequest, PacketTooLarge, ServerPacket, BODY_OVERHEAD,
    EMPTY_HEADER, MAX_HEADERS,
};
use super::server::NOT_RUN_HEADER;
use cleatpulley_policy::interface::Micros;

/// A connection idle for longer is pinged before it carries a request: the server may have closed or forgotten it.
pub const MIN_IDLE_BEFORE_PING: Micros = 1_000_000;
/// No reply's body is larger.
const LARGEST_BODY: usize = 1_048_576;

/// A request to be made.
#[derive(Debug, Clone, Default)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path, with its arguments.
    pub uri: &'a str,
    /// Headers; `Content-Length` is added.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
}

/// A whole reply.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The headers, in their order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The connection may be used again.
    pub reuse: bool,
}

impl Response {
    /// The value of the first header of this name, in any case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|header| header.0.eq_ignore_ascii_case(name));
        found.map(|header| header.1.as_str())
    }

    /// It says that nothing ran.
    #[must_use]
    pub fn not_run(&self) -> bool {
        self.header(NOT_RUN_HEADER) == Some("1")
    }
}

/// What is known of a request whose connection ended without a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionState {
    /// The server can't have read all of it: it never ran, and anybody may send it again.
    NeverRan,
    /// It may have run: only what is safe to repeat may be sent again.
    MayHaveRun,
}

/// What a client is set to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Options {
    /// Bytes of the largest packet.
    pub packet_size: usize,
    /// The secret that the server asks for.
    pub secret: Option<String>,
    /// The server's name and port, as requests tell them.
    pub server: (String, u16),
}

#[derive(Debug)]
enum Stage {
    Idle,
    /// A pong is waited for; then the request is sent.
    Ping,
    /// The request is on its way or at the server.
    Asked,
}

/// The connection.
#[derive(Debug)]
pub struct Client {
    options: Options,
    stage: Stage,
    used: Micros,
    fresh: bool,
    /// The forward request, while a pong is waited for.
    held: Vec<u8>,
    body: Vec<u8>,
    /// Bytes of the body that were written.
    written: usize,
    /// The packet that ends the body was written where one was asked for.
    response: Response,
    headed: bool,
    done: bool,
    pong: bool,
}

impl Client {
    /// A connection that was just made.
    #[must_use]
    pub fn new(options: Options, now: Micros) -> Self {
        Self {
            options,
            stage: Stage::Idle,
            used: now,
            fresh: true,
            held: Vec::new(),
            body: Vec::new(),
            written: 0,
            response: Response::default(),
            headed: false,
            done: false,
            pong: false,
        }
    }

    /// Nothing is asked on it.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle)
    }

    /// Sends a request, or first a ping where the connection is an old one. The body goes along as far as one packet
    /// takes it.
    ///
    /// # Errors
    /// Where its head does not fit into a packet; nothing is sent then.
    pub fn request(
        &mut self,
        now: Micros,
        request: &Request,
        out: &mut Vec<u8>,
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
        self.held.clear();
        codec::push_forward_request(&mut self.held, &forward, self.options.packet_size)?;
        self.body.clear();
        self.body.extend_from_slice(request.body);
        self.written = 0;
        (self.response, self.headed, self.done) = (Response::default(), false, false);
        if !self.fresh && now >= self.used + MIN_IDLE_BEFORE_PING {
            codec::push_cping(out);
            self.stage = Stage::Ping;
        } else {
            self.send(out);
        }
        self.fresh = false;
        self.used = now;
        Ok(())
    }

    /// Asks for a sign of life on an idle connection; [`take_pong`](Self::take_pong) tells that it came.
    pub fn ping(&mut self, out: &mut Vec<u8>) {
        codec::push_cping(out);
    }

    /// A pong came since this was last asked.
    pub fn take_pong(&mut self) -> bool {
        std::mem::take(&mut self.pong)
    }

    fn send(&mut self, out: &mut Vec<u8>) {
        self.stage = Stage::Asked;
        out.append(&mut self.held);
        if !self.body.is_empty() {
            self.send_body(usize::MAX, out);
        }
    }

    fn send_body(&mut self, wanted: usize, out: &mut Vec<u8>) {
        let most = self.options.packet_size;
        let size = (self.body.len() - self.written)
            .min(wanted)
            .min(most - BODY_OVERHEAD);
        // A piece is cut to fit.
        let _ = codec::push_body(out, &self.body[self.written..self.written + size], most);
        self.written += size;
    }

    /// Takes what is whole from the front of the bytes read and returns how many it used up. A reply that became
    /// whole is there for [`take_response`](Self::take_response).
    ///
    /// # Errors
    /// What can't be read; the connection is of no further use.
    pub fn receive(
        &mut self,
        now: Micros,
        input: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<usize, DecodeError> {
        let mut used = 0;
        while let Some(payload) =
            codec::parse_packet(&input[used..], Direction::ToProxy, self.options.packet_size)?
        {
            let packet = &input[used..used + payload.end];
            used += payload.end;
            self.used = now;
            let mut headers = [EMPTY_HEADER; MAX_HEADERS];
            let reply = ServerPacket::decode(&packet[payload], &mut headers)?;
            self.take_reply(reply, out).map_err(|what| DecodeError {
                offset: codec::HEADER_BYTES,
                reason: what,
            })?;
        }
        Ok(used)
    }

    fn take_reply(&mut self, reply: ServerPacket, out: &mut Vec<u8>) -> Result<(), &'static str> {
        match (&self.stage, reply) {
            (Stage::Ping, ServerPacket::CPong) => self.send(out),
            (Stage::Idle, ServerPacket::CPong) => self.pong = true,
            (
                Stage::Asked,
                ServerPacket::SendHeaders {
                    status, headers, ..
                },
            ) if !self.headed => {
                self.headed = true;
                self.response.status = status;
                let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
                self.response.headers = headers
                    .iter()
                    .map(|(name, value)| (text(name), text(value)))
                    .collect();
            }
            (Stage::Asked, ServerPacket::SendBodyChunk(data)) if self.headed => {
                if self.response.body.len() + data.len() > LARGEST_BODY {
                    return Err("the reply is too long");
                }
                self.response.body.extend_from_slice(data);
            }
            (Stage::Asked, ServerPacket::GetBodyChunk(wanted)) if !self.headed => {
                self.send_body(wanted, out);
            }
            (Stage::Asked, ServerPacket::EndResponse(reuse)) if self.headed => {
                // Guards against a part of a reply that is taken for the whole.
                if let Some(told) = self.response.header("Content-Length") {
                    if told.trim().parse() != Ok(self.response.body.len()) {
                        return Err("the reply's body has another length than was told");
                    }
                }
                // What the server did not read of the body is still on its way: it would be taken for a request.
                self.response.reuse = reuse && self.written == self.body.len();
                self.stage = Stage::Idle;
                self.done = true;
            }
            _ => return Err("a packet that has no place here"),
        }
        Ok(())
    }

    /// The reply, once it is whole.
    pub fn take_response(&mut self) -> Option<Response> {
        std::mem::take(&mut self.done).then(|| std::mem::take(&mut self.response))
    }

    /// What is known of the request, if the connection ended now with so many bytes never handed to the system.
    #[must_use]
    pub fn execution_state(&self, unsent: usize) -> ExecutionState {
        let whole =
            matches!(self.stage, Stage::Asked) && self.written == self.body.len() && unsent == 0;
        if whole {
            ExecutionState::MayHaveRun
        } else {
            ExecutionState::NeverRan
        }
    }
}
