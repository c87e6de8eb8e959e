//! A connection to the dependency, and the differences between the two protocols.

use super::pending_call::PendingCall;
use super::protocol::DependencyProtocol;
use crate::buffered_connection::BufferedConnection;
use crate::host::Host;
use crate::socket_owner::SocketOwner;
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::client::{self, Client, ExecutionState};
use cleatpulley_protocol::{http, runtime_line};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Maximum number of bytes that one read leaves in the input of a connection.
const READ_LIMIT_BYTES: usize = 2_097_152;
/// HTTP method of each call.
const METHOD: &str = "POST";
const PATH: &str = "/query";

/// Protocol state of a connection.
enum ProtocolState {
    Http,
    Ajp(Box<Client>),
}

impl ProtocolState {
    fn new(protocol: &DependencyProtocol, address: SocketAddr, now: Micros) -> Self {
        match protocol {
            DependencyProtocol::Http => Self::Http,
            DependencyProtocol::Ajp(options) => {
                let options = client::Options {
                    server: (address.ip().to_string(), address.port()),
                    ..options.clone()
                };
                Self::Ajp(Box::new(Client::new(options, now)))
            }
        }
    }
}

/// A reply that can't be decoded, with the error of the codec.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
struct MalformedReply(String);

/// A connection that carries one call at a time.
pub(super) struct DependencyConnection<H: Host> {
    pub(super) stream: BufferedConnection<H>,
    protocol: ProtocolState,
    pub(super) address: SocketAddr,
    /// `None` while the connection is idle.
    pub(super) call: Option<PendingCall>,
    pub(super) idle_since: Micros,
    /// Bytes of a call may have reached the dependency.
    pub(super) has_sent: bool,
    /// The connection carried an earlier call, or leads to a former address of the dependency: its
    /// end says nothing about the call.
    pub(super) is_reused: bool,
}

impl<H: Host> DependencyConnection<H> {
    /// Begins to connect.
    ///
    /// # Errors
    /// Errors of the operating system; the connection may be refused immediately.
    pub(super) fn connect(
        host: &H,
        now: Micros,
        number: u64,
        address: SocketAddr,
        protocol: &DependencyProtocol,
    ) -> io::Result<Self> {
        let owner = SocketOwner::Dependency(number);
        Ok(Self {
            stream: BufferedConnection::connect(host, address, owner)?,
            protocol: ProtocolState::new(protocol, address, now),
            address,
            call: None,
            idle_since: now,
            has_sent: false,
            is_reused: false,
        })
    }

    /// Writes the request of a call, which is sent with the next
    /// [`send_and_receive`](Self::send_and_receive).
    pub(super) fn start_call(&mut self, now: Micros, call: PendingCall) {
        let headers = [
            ("X-For-Request", runtime_line::format_request_id(call.id)),
            ("X-Wait-Ms", call.remaining_millis(now).to_string()),
        ];
        let output = self.stream.output();
        match &mut self.protocol {
            ProtocolState::Http => {
                let host = self.address.to_string();
                http::push_request(output, METHOD, PATH, &host, &headers, &call.body);
            }
            ProtocolState::Ajp(client) => {
                let headers = headers
                    .each_ref()
                    .map(|(name, value)| (*name, value.as_str()));
                let request = client::Request {
                    method: METHOD,
                    uri: PATH,
                    headers: &headers,
                    body: &call.body,
                };
                // These few headers fit into the smallest AJP packet.
                let _ = client.request(now, &request, output);
            }
        }
        self.call = Some(call);
    }

    /// Sends pending bytes and reads the reply. A complete reply counts even if the connection
    /// broke after it.
    ///
    /// # Errors
    /// The error that broke the connection; [`InvalidData`](ErrorKind::InvalidData) if the reply is
    /// malformed.
    pub(super) fn send_and_receive(&mut self, now: Micros) -> io::Result<Option<http::Response>> {
        if !self.has_sent {
            self.stream.take_error()?;
        }
        let sent = self.stream.flush();
        self.has_sent |= sent.as_ref().is_ok_and(|sent| *sent > 0);
        let read = self.stream.read(READ_LIMIT_BYTES);
        if self.call.is_some() {
            if let Some(reply) = self.take_reply(now)? {
                // The failure shows again with the next use.
                self.stream.is_read_closed |= sent.is_err() || read.is_err();
                return Ok(Some(reply));
            }
        }
        sent?;
        read?;
        Ok(None)
    }

    /// Takes a complete reply from the input.
    fn take_reply(&mut self, now: Micros) -> io::Result<Option<http::Response>> {
        let reply = match &mut self.protocol {
            ProtocolState::Http => take_http_reply(&mut self.stream),
            ProtocolState::Ajp(client) => take_ajp_reply(client, &mut self.stream, now),
        };
        reply.map_err(|error| io::Error::new(ErrorKind::InvalidData, error))
    }

    /// Returns true if no reply can follow: the connection was closed, or has received bytes that
    /// belong to no call.
    pub(super) fn is_unusable(&self) -> bool {
        self.stream.is_read_closed || (self.call.is_none() && !self.stream.input.is_empty())
    }

    /// Returns true if the connection can carry another call. Bytes after a reply belong to no call
    /// and would corrupt the next reply.
    pub(super) fn is_reusable(&self) -> bool {
        !self.stream.is_read_closed && self.stream.input.is_empty()
    }

    /// Returns true if the dependency may have closed the connection while it was idle: then the
    /// call most likely never ran, and its failure does not indicate a fault of the dependency.
    pub(super) fn may_be_stale(&self) -> bool {
        self.is_reused && self.stream.input.is_empty()
    }

    /// Returns true if the protocol proves that the call did not run: with AJP, if the dependency
    /// can't have read all of the call.
    pub(super) fn is_call_proven_not_run(&self) -> bool {
        match &self.protocol {
            ProtocolState::Http => false,
            ProtocolState::Ajp(client) => {
                client.execution_state(self.stream.unsent_bytes()) == ExecutionState::NeverRan
            }
        }
    }
}

fn take_http_reply<H: Host>(
    stream: &mut BufferedConnection<H>,
) -> Result<Option<http::Response>, MalformedReply> {
    let reply =
        http::parse_response(&stream.input, stream.is_read_closed).map_err(MalformedReply)?;
    if let Some(reply) = &reply {
        stream.input.drain(..reply.length);
    }
    Ok(reply)
}

/// Continues to read an AJP reply, and sends the part of the request body that the dependency
/// requests.
fn take_ajp_reply<H: Host>(
    client: &mut Client,
    stream: &mut BufferedConnection<H>,
    now: Micros,
) -> Result<Option<http::Response>, MalformedReply> {
    let input = std::mem::take(&mut stream.input);
    let used = client.receive(now, &input, stream.output());
    stream.input = input;
    stream.consume(used.map_err(|error| MalformedReply(error.to_string()))?);
    // A broken connection shows with the next use.
    let _ = stream.flush();
    Ok(client.take_response().map(|reply| http::Response {
        status: reply.status,
        not_run: reply.not_run(),
        closes_connection: !reply.reuse,
        body: reply.body,
        length: 0,
    }))
}
