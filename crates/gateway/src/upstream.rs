//! Connections to targets, by frames or by AJP: sends requests and receives responses.

mod request_encoding;

use super::core::{AttemptEvent, RequestNumber};
use cleatpulley_dispatcher::{IncomingRequest, Response};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::client::{Client, ExecutionState, Options};
use cleatpulley_protocol::ajp::server::{FEEDBACK_HEADER, NO_RETRY_HEADER, RETRY_AFTER_MS_HEADER};
use cleatpulley_protocol::frame::codec::{self, ParsedFrame};
use cleatpulley_routes::retry::AttemptFailure;
use cleatpulley_server::buffered_connection::BufferedConnection;
use cleatpulley_server::host::{Host, Readiness};
use cleatpulley_server::tls_layer::TlsLayer;
use cleatpulley_server::SocketOwner;
use cleatpulley_tls::session::Session;
use request_encoding::{encode_ajp, encode_frame};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of open requests on one connection by frames.
const MAX_OPEN_REQUESTS: usize = 32;
/// Maximum number of bytes read from a connection at a time.
const READ_LIMIT: usize = 65_536;
/// Time after which a connection without open requests is closed, in microseconds. Matchers close theirs later.
const IDLE_TIMEOUT: Micros = 5_000_000;

/// Protocol of the targets.
#[derive(Debug, Clone)]
pub enum TargetProtocol {
    /// Frames.
    Frames,
    /// AJP.
    Ajp(Options),
}

/// Names of the headers that carry a request's figures by AJP.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Request id.
    pub id: String,
    /// Expected work, in milliseconds.
    pub work_ms: String,
    /// Expected memory, in KB.
    pub memory_kb: String,
    /// Rank of the request.
    pub rank: String,
    /// Number of the caller.
    pub caller: String,
    /// Subject of the request.
    pub subject: String,
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = str::to_owned;
        Self {
            id: name("X-Request-Id"),
            work_ms: name("X-Work-Ms"),
            memory_kb: name("X-Memory-Kb"),
            rank: name("X-Rank"),
            caller: name("X-Caller"),
            subject: name("X-Subject"),
        }
    }
}

/// A request that was queued on a connection by frames and has no response yet.
#[derive(Clone, Copy)]
struct OpenRequest {
    /// The request, unless it was given up.
    number: Option<RequestNumber>,
    /// Value of `queued_bytes` at the end of its frame.
    end: u64,
    /// Bytes of its frame.
    length: usize,
}

enum ProtocolState {
    Frames {
        /// Open requests by stream.
        open: BTreeMap<u32, OpenRequest>,
        last_stream: u32,
        /// True where the target has sent a goodbye: it takes no new request on this connection.
        received_goodbye: bool,
    },
    Ajp {
        client: Box<Client>,
        in_flight: Option<RequestNumber>,
    },
}

struct TargetConnection<H: Host> {
    conn: BufferedConnection<H>,
    target: Arc<str>,
    protocol_state: ProtocolState,
    is_established: bool,
    /// Bytes queued for sending since the start; `written_bytes` counts those that the system has taken.
    queued_bytes: u64,
    written_bytes: u64,
    last_used: Micros,
}

/// The connections to all targets.
pub struct Upstream<H: Host> {
    host: H,
    protocol: TargetProtocol,
    header_names: HeaderNames,
    class_names: Vec<String>,
    /// Socket address of each target, by its address in the routes.
    addresses: HashMap<Arc<str>, SocketAddr>,
    max_connections_per_target: usize,
    connections: BTreeMap<u64, TargetConnection<H>>,
    /// Connections by target. A fleet has many, and sending a request looks only at those of its target.
    by_target: HashMap<Arc<str>, Vec<u64>>,
    next_number: u64,
    ready: Vec<u64>,
    /// Targets whose last connection failed. The first failure is logged, and the first response after it.
    failing_targets: BTreeSet<Arc<str>>,
    /// Connection and stream of each request in flight.
    by_request: HashMap<RequestNumber, (u64, u32)>,
    /// TLS to the targets, where it is used.
    tls: Option<TargetTls>,
}

/// TLS settings of the connections to targets.
#[derive(Clone, Debug)]
pub struct TargetTls {
    /// Configuration that all sessions share.
    pub config: std::sync::Arc<cleatpulley_tls::rustls::ClientConfig>,
    /// Server name that every target's certificate has to hold; `None` for the host of the target's address.
    pub server_name: Option<String>,
    /// Clock against which certificates are verified; the gateway sets it.
    pub clock: cleatpulley_tls::Clock,
}

/// Returns the host of a target's address, without its port.
fn host_of(target: &str) -> &str {
    match target.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|b| b.is_ascii_digit()) => {
            host.trim_start_matches('[').trim_end_matches(']')
        }
        _ => target,
    }
}

impl<H: Host> Upstream<H> {
    /// Creates an upstream without connections.
    #[must_use]
    pub fn new(
        host: H,
        protocol: TargetProtocol,
        header_names: HeaderNames,
        class_names: Vec<String>,
        addresses: HashMap<Arc<str>, SocketAddr>,
        max_connections_per_target: usize,
    ) -> Self {
        let (connections, ready, by_request) = (BTreeMap::new(), Vec::new(), HashMap::new());
        Self {
            host,
            protocol,
            header_names,
            class_names,
            addresses,
            max_connections_per_target: max_connections_per_target.max(1),
            connections,
            by_target: HashMap::new(),
            failing_targets: BTreeSet::new(),
            next_number: 1,
            ready,
            by_request,
            tls: None,
        }
    }

    /// Uses TLS on new connections from now on.
    pub fn set_tls(&mut self, tls: TargetTls) {
        self.tls = Some(tls);
    }

    /// Replaces the socket addresses of the targets; existing connections stay.
    pub fn set_addresses(&mut self, addresses: HashMap<Arc<str>, SocketAddr>) {
        self.addresses = addresses;
    }

    /// Returns the number of connections that are established or being established.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Notes that a connection has become readable or writable.
    pub fn on_readiness(&mut self, number: u64, readiness: Readiness) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.conn.on_readiness(readiness);
            self.ready.push(number);
        }
    }

    /// Sends a request to a target. Where it can't be sent, `events` gets the result at once. Full connections count as a
    /// rejection, as the target is not at fault.
    pub fn send(
        &mut self,
        now: Micros,
        number: RequestNumber,
        target: &Arc<str>,
        uri: &str,
        request: &IncomingRequest,
        events: &mut Vec<(RequestNumber, AttemptEvent)>,
    ) {
        let connection_number = match self.acquire_connection(now, target) {
            Ok(connection_number) => connection_number,
            Err(failure) => return events.push((number, AttemptEvent::Failed(failure))),
        };
        let (header_names, class_names) = (&self.header_names, &self.class_names);
        let Some(connection) = self.connections.get_mut(&connection_number) else {
            return;
        };
        let before = connection.conn.output().len();
        let sent = match &mut connection.protocol_state {
            ProtocolState::Frames {
                open, last_stream, ..
            } => {
                *last_stream += 1;
                encode_frame(
                    connection.conn.output(),
                    *last_stream,
                    request,
                    class_names,
                    header_names,
                );
                let length = connection.conn.output().len() - before;
                let open_request = OpenRequest {
                    number: Some(number),
                    end: connection.queued_bytes + length as u64,
                    length,
                };
                open.insert(*last_stream, open_request);
                self.by_request
                    .insert(number, (connection_number, *last_stream));
                true
            }
            ProtocolState::Ajp { client, in_flight } => {
                let sent = encode_ajp(
                    connection.conn.output(),
                    now,
                    client,
                    uri,
                    request,
                    header_names,
                );
                *in_flight = sent.then_some(number);
                if sent {
                    self.by_request.insert(number, (connection_number, 0));
                }
                sent
            }
        };
        connection.queued_bytes += (connection.conn.output().len() - before) as u64;
        connection.last_used = now;
        if !sent {
            // The head does not fit into an AJP packet.
            let response = Response::Direct {
                status: 431,
                body: b"the head is too large".to_vec(),
            };
            events.push((number, AttemptEvent::Response(response)));
        }
        self.ready.push(connection_number);
    }

    /// Returns a connection that can take one more request: an idle one first, then a new one up to the limit, then the one
    /// with the fewest open requests.
    fn acquire_connection(
        &mut self,
        now: Micros,
        target: &Arc<str>,
    ) -> Result<u64, AttemptFailure> {
        let available = |connection: &TargetConnection<H>| match &connection.protocol_state {
            ProtocolState::Frames {
                open,
                received_goodbye,
                ..
            } if !received_goodbye && open.len() < MAX_OPEN_REQUESTS => Some(open.len()),
            ProtocolState::Ajp {
                in_flight: None,
                client,
            } if client.is_idle() => Some(0),
            _ => None,
        };
        let numbers = self
            .by_target
            .get(target)
            .map_or(&[][..], |numbers| numbers);
        let connections = || {
            numbers
                .iter()
                .filter_map(|number| Some((number, self.connections.get(number)?)))
                .filter(|(_, connection)| !connection.conn.is_read_closed)
        };
        let least_loaded = connections()
            .filter_map(|(number, connection)| Some((available(connection)?, *number)))
            .min();
        let count = connections().count();
        match least_loaded {
            Some((open_requests, number))
                if open_requests == 0 || count >= self.max_connections_per_target =>
            {
                return Ok(number)
            }
            None if count >= self.max_connections_per_target => {
                return Err(AttemptFailure::Rejected {
                    retry_after: 0,
                    no_failover: false,
                })
            }
            _ => {}
        }
        let address = *self.addresses.get(target).ok_or(AttemptFailure::NotSent)?;
        let number = self.next_number;
        self.next_number += 1;
        let protocol_state = match &self.protocol {
            TargetProtocol::Frames => ProtocolState::Frames {
                open: BTreeMap::new(),
                last_stream: 0,
                received_goodbye: false,
            },
            TargetProtocol::Ajp(options) => ProtocolState::Ajp {
                client: Box::new(Client::new(options.clone(), now)),
                in_flight: None,
            },
        };
        let with_tls = |mut conn: BufferedConnection<H>| -> std::io::Result<BufferedConnection<H>> {
            if let Some(tls) = &self.tls {
                let name = tls
                    .server_name
                    .as_deref()
                    .unwrap_or_else(|| host_of(target));
                let session = Session::connect(std::sync::Arc::clone(&tls.config), name);
                conn.set_tls(TlsLayer::client(session.map_err(std::io::Error::other)?));
            }
            Ok(conn)
        };
        match BufferedConnection::connect(&self.host, address, SocketOwner::GatewayTarget(number))
            .and_then(with_tls)
        {
            Ok(conn) => {
                let connection = TargetConnection {
                    conn,
                    target: target.clone(),
                    protocol_state,
                    is_established: false,
                    queued_bytes: 0,
                    written_bytes: 0,
                    last_used: now,
                };
                self.connections.insert(number, connection);
                self.by_target
                    .entry(target.clone())
                    .or_default()
                    .push(number);
                Ok(number)
            }
            Err(e) => {
                if self.failing_targets.insert(target.clone()) {
                    tracing::warn!("target {target}: {e}");
                }
                least_loaded
                    .map(|(_, number)| number)
                    .ok_or(AttemptFailure::NotSent)
            }
        }
    }

    /// Returns true where a request has reached its target or still may: bytes queued on an established connection can't
    /// be withdrawn.
    #[must_use]
    pub fn is_written(&self, number: RequestNumber) -> bool {
        let Some((connection_number, _)) = self.by_request.get(&number) else {
            return false;
        };
        self.connections
            .get(connection_number)
            .is_some_and(|connection| match &connection.protocol_state {
                ProtocolState::Frames { .. } => connection.is_established,
                // The connection is closed with the request, so bytes that the system has not taken never arrive.
                ProtocolState::Ajp { client, .. } => {
                    connection.is_established
                        && client.execution_state(connection.conn.unsent_bytes())
                            == ExecutionState::MayHaveRun
                }
            })
    }

    /// Gives up a request in flight. A connection that is not established yet is closed: the request would be sent once it
    /// is, and run beside the next attempt. The other requests on it are reported as failed in `events`.
    pub fn abandon(
        &mut self,
        number: RequestNumber,
        events: &mut Vec<(RequestNumber, AttemptEvent)>,
    ) {
        let Some((connection_number, stream)) = self.by_request.remove(&number) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&connection_number) else {
            return;
        };
        match &mut connection.protocol_state {
            ProtocolState::Frames { .. } if connection.is_established => {
                connection.give_up(stream);
            }
            ProtocolState::Frames { open, .. } => {
                open.remove(&stream);
                self.close(connection_number, events);
            }
            // Its response would be taken for that of the next request.
            ProtocolState::Ajp { .. } => {
                self.remove(connection_number);
            }
        }
    }

    /// Sends queued bytes and processes received ones on all ready connections.
    pub fn poll(&mut self, now: Micros, events: &mut Vec<(RequestNumber, AttemptEvent)>) {
        if let Some(tls) = &self.tls {
            tls.clock.set(now);
        }
        let mut ready = std::mem::take(&mut self.ready);
        ready.sort_unstable();
        ready.dedup();
        for number in ready {
            let Some(connection) = self.connections.get_mut(&number) else {
                continue;
            };
            let mut connection_events = Vec::new();
            let is_usable = match connection.poll(now, &mut connection_events) {
                Ok(has_more) => {
                    if has_more {
                        self.ready.push(number);
                    }
                    !connection.is_finished()
                }
                Err(error) => {
                    if self.failing_targets.insert(connection.target.clone()) {
                        tracing::warn!("target {}: {error}", connection.target);
                    }
                    false
                }
            };
            if !connection_events.is_empty() && self.failing_targets.remove(&connection.target) {
                tracing::info!("target {}: it answers again", connection.target);
            }
            for (number, event) in connection_events {
                if !matches!(event, AttemptEvent::AdvisedConcurrency(_)) {
                    self.by_request.remove(&number);
                }
                events.push((number, event));
            }
            if !is_usable {
                self.close(number, events);
            }
        }
    }

    /// Closes a connection and reports its open requests as failed.
    fn close(&mut self, number: u64, events: &mut Vec<(RequestNumber, AttemptEvent)>) {
        let Some(connection) = self.remove(number) else {
            return;
        };
        match connection.protocol_state {
            ProtocolState::Frames { open, .. } => {
                for OpenRequest { number, end, .. } in open.into_values() {
                    let Some(request) = number else { continue };
                    self.by_request.remove(&request);
                    // This holds after a goodbye too: a target that is killed then closes its connections just as one
                    // that has answered all requests.
                    let never_ran = connection.written_bytes < end;
                    events.push((
                        request,
                        AttemptEvent::Failed(if never_ran {
                            AttemptFailure::NotSent
                        } else {
                            AttemptFailure::ConnectionLost
                        }),
                    ));
                }
            }
            ProtocolState::Ajp {
                client,
                in_flight: Some(request),
            } => {
                self.by_request.remove(&request);
                let never_ran = !connection.is_established
                    || client.execution_state(connection.conn.unsent_bytes())
                        == ExecutionState::NeverRan;
                events.push((
                    request,
                    AttemptEvent::Failed(if never_ran {
                        AttemptFailure::NotSent
                    } else {
                        AttemptFailure::ConnectionLost
                    }),
                ));
            }
            ProtocolState::Ajp { .. } => {}
        }
    }

    /// Returns true where [`poll`](Self::poll) can make progress at once.
    #[must_use]
    pub fn has_more(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Closes connections that have been idle for `IDLE_TIMEOUT`.
    pub fn close_idle(&mut self, now: Micros) {
        let is_idle = |connection: &TargetConnection<H>| match &connection.protocol_state {
            ProtocolState::Frames { open, .. } => open.is_empty(),
            ProtocolState::Ajp { in_flight, .. } => in_flight.is_none(),
        };
        let idle = self.connections.iter().filter(|(_, connection)| {
            is_idle(connection) && now >= connection.last_used + IDLE_TIMEOUT
        });
        let idle: Vec<u64> = idle.map(|(number, _)| *number).collect();
        for number in idle {
            self.remove(number);
        }
    }

    fn remove(&mut self, number: u64) -> Option<TargetConnection<H>> {
        let connection = self.connections.remove(&number)?;
        if let Some(numbers) = self.by_target.get_mut(&connection.target) {
            numbers.retain(|other| *other != number);
            if numbers.is_empty() {
                self.by_target.remove(&connection.target);
            }
        }
        Some(connection)
    }
}

impl<H: Host> TargetConnection<H> {
    /// Gives up a request by frames on an established connection: it is withdrawn if none of it was sent;
    /// otherwise its response is ignored.
    fn give_up(&mut self, stream: u32) {
        let ProtocolState::Frames { open, .. } = &mut self.protocol_state else {
            return;
        };
        let Some(open_request) = open.get_mut(&stream) else {
            return;
        };
        open_request.number = None;
        let OpenRequest { end, length, .. } = *open_request;
        let queued_after = usize::try_from(self.queued_bytes - end).unwrap_or(usize::MAX);
        if !self.conn.withdraw(length, queued_after) {
            return;
        }
        open.remove(&stream);
        self.queued_bytes -= length as u64;
        open.values_mut()
            .filter(|later| later.end > end)
            .for_each(|later| later.end -= length as u64);
    }

    /// Sends and receives. Returns true where more can be read at once.
    fn poll(
        &mut self,
        now: Micros,
        events: &mut Vec<(RequestNumber, AttemptEvent)>,
    ) -> Result<bool, String> {
        let to_message = |e: std::io::Error| e.to_string();
        if !self.is_established {
            self.conn.take_error().map_err(to_message)?;
        }
        let sent = self.conn.flush().map_err(to_message)?;
        self.written_bytes += sent as u64;
        self.is_established |= sent > 0;
        let read_result = self.conn.read(READ_LIMIT);
        let input = std::mem::take(&mut self.conn.input);
        let consumed = self.process_input(now, &input, events);
        self.conn.input = input;
        self.conn.consume(consumed?);
        // Input that arrived before the connection broke was processed above.
        let has_more = read_result.map_err(to_message)?;
        self.written_bytes += self.conn.flush().map_err(to_message)? as u64;
        Ok(has_more)
    }

    /// Processes the received bytes. Returns how many of them are consumed.
    fn process_input(
        &mut self,
        now: Micros,
        input: &[u8],
        events: &mut Vec<(RequestNumber, AttemptEvent)>,
    ) -> Result<usize, String> {
        let mut consumed = 0;
        match &mut self.protocol_state {
            ProtocolState::Frames {
                open,
                received_goodbye,
                ..
            } => loop {
                match codec::parse_frame(&input[consumed..]) {
                    ParsedFrame::Incomplete => return Ok(consumed),
                    ParsedFrame::Frame {
                        kind,
                        stream,
                        payload,
                    } => {
                        let bytes = &input[consumed..][payload.clone()];
                        consumed += payload.end;
                        self.last_used = now;
                        match kind {
                            codec::GO_AWAY => *received_goodbye = true,
                            codec::RESPONSE => {
                                let Some(OpenRequest {
                                    number: request, ..
                                }) = open.remove(&stream)
                                else {
                                    return Err(format!(
                                        "response on stream {stream}, which is not open"
                                    ));
                                };
                                let (event, advice) = decode_response(bytes)?;
                                if let Some(request) = request {
                                    events.extend(advice.map(|max_concurrency| {
                                        (request, AttemptEvent::AdvisedConcurrency(max_concurrency))
                                    }));
                                    events.push((request, event));
                                }
                            }
                            _ => {}
                        }
                    }
                    ParsedFrame::Oversized { .. } | ParsedFrame::InvalidLength(_) => {
                        return Err("malformed frame".to_owned())
                    }
                }
            },
            ProtocolState::Ajp { client, in_flight } => {
                let before = self.conn.output().len();
                let consumed = client
                    .receive(now, input, self.conn.output())
                    .map_err(|e| e.to_string())?;
                self.queued_bytes += (self.conn.output().len() - before) as u64;
                if let Some(response) = client.take_response() {
                    self.last_used = now;
                    let numeric_header = |name: &str| {
                        response
                            .header(name)
                            .and_then(|text| text.parse::<f64>().ok())
                    };
                    if let Some(request) = in_flight.take() {
                        events.extend(numeric_header(FEEDBACK_HEADER).map(|max_concurrency| {
                            (
                                request,
                                AttemptEvent::AdvisedConcurrency(max_concurrency as u32),
                            )
                        }));
                        let retry_after =
                            numeric_header(RETRY_AFTER_MS_HEADER).unwrap_or(0.0) as Micros * 1_000;
                        let no_failover = response.header(NO_RETRY_HEADER) == Some("1");
                        let never_ran = response.not_run();
                        events.push((
                            request,
                            match response.status {
                                200 => AttemptEvent::Response(Response::Served(response.body)),
                                503 | 429 if never_ran => {
                                    AttemptEvent::Failed(AttemptFailure::Rejected {
                                        retry_after,
                                        no_failover,
                                    })
                                }
                                status if never_ran => AttemptEvent::Response(Response::Direct {
                                    status,
                                    body: response.body,
                                }),
                                _ => AttemptEvent::Failed(AttemptFailure::Failed),
                            },
                        ));
                    }
                    if !response.reuse {
                        self.conn.is_read_closed = true;
                    }
                }
                Ok(consumed)
            }
        }
    }

    /// Returns true where the connection has ended, or is idle after a goodbye.
    fn is_finished(&self) -> bool {
        let is_drained = match &self.protocol_state {
            ProtocolState::Frames {
                open,
                received_goodbye,
                ..
            } => *received_goodbye && open.is_empty(),
            ProtocolState::Ajp { .. } => false,
        };
        self.conn.is_read_closed || is_drained
    }
}

/// Decodes a response frame into the result of the attempt and the advised concurrency.
fn decode_response(payload: &[u8]) -> Result<(AttemptEvent, Option<u32>), String> {
    let malformed = || "malformed response".to_owned();
    let (code, rest) = payload.split_first().ok_or_else(malformed)?;
    let (fields, body) = codec::parse_fields(rest).ok_or_else(malformed)?;
    let field = |name: &str| {
        fields
            .iter()
            .find(|(field_name, _)| *field_name == name)
            .map(|(_, value)| *value)
    };
    let advice = field("feedback")
        .and_then(|value| value.parse::<f64>().ok())
        .map(|max_concurrency| max_concurrency as u32);
    let event = match code {
        0 => AttemptEvent::Response(Response::Served(body.to_vec())),
        1 => {
            let retry_after = field("later")
                .and_then(|ms| ms.parse::<Micros>().ok())
                .unwrap_or(0);
            let no_failover = field("giveup") == Some("1");
            AttemptEvent::Failed(AttemptFailure::Rejected {
                retry_after: retry_after.saturating_mul(1_000),
                no_failover,
            })
        }
        // A body explains why the request is invalid.
        2 if !body.is_empty() => AttemptEvent::Response(Response::Direct {
            status: 400,
            body: body.to_vec(),
        }),
        2 => AttemptEvent::Failed(AttemptFailure::Failed),
        _ => return Err(malformed()),
    };
    Ok((event, advice))
}

#[cfg(test)]
mod tests;
