//! The server side of a proxy's connection: one request at a time, read completely, with one
//! response.
//!
//! A request is handed over when the last byte of its body has arrived. Until then this state
//! machine responds to whatever is wrong with it or missing, and such a request never runs.

use super::class_table::ClassMatch;
use super::codec::{
    self, packet_type, Attribute, Direction, ForwardRequest, BODY_OVERHEAD, EMPTY_HEADER,
    MAX_HEADERS,
};
use crate::frame::codec::MAX_KEY_BYTES;
use crate::state_machine::{ConnectionState, ConnectionStateMachine, ConnectionStatus, Context};
use cleatpulley_dispatcher::{ClientStream, IncomingRequest, RequestError, RequestHead, Response};
use cleatpulley_policy::interface::{Micros, RequestId};
use std::rc::Rc;
use subtle::ConstantTimeEq;

mod settings;

pub use settings::{ClassLookup, ParameterDefaults, ParameterSource, ParameterSources, Settings};

/// Response header: this attempt never ran.
pub const NOT_RUN_HEADER: &str = "X-Not-Run";
/// Header of a rejection: milliseconds to wait before a retry, in addition to the whole seconds of
/// `Retry-After`.
pub const RETRY_AFTER_MS_HEADER: &str = "X-Retry-After-Ms";
/// Response header: the request should not be sent to another matcher.
pub const NO_RETRY_HEADER: &str = "X-No-Retry";
/// Response header: the feedback value.
pub const FEEDBACK_HEADER: &str = "X-Feedback";

/// The memory reserved for a request is below this, in KB.
const MEMORY_LIMIT_KB: f64 = 2_000.0;
/// The expected work of a request is below this, in milliseconds on one core.
const WORK_LIMIT_MS: f64 = 1e9;
/// Maximum length of a request id that is sent as text.
const MAX_ID_BYTES: usize = 256;

#[derive(Debug)]
enum Stage {
    /// No request is open.
    Idle,
    /// The body of a request is being read.
    ReadingBody {
        incoming: Box<IncomingRequest>,
        /// The declared length; `None` if the body ends with an empty packet.
        declared_length: Option<usize>,
    },
    /// The request on this stream was handed over and has no response yet.
    AwaitingResponse(u32),
}

/// The state of a proxy's connection.
#[derive(Debug)]
pub struct Connection {
    settings: Rc<Settings>,
    status: ConnectionStatus,
    stage: Stage,
    last_stream: u32,
    /// When the first byte of the incomplete packet arrived.
    packet_began_at: Option<Micros>,
    is_trusted: bool,
    is_shutting_down: bool,
}

/// A response to a request that is not handed over.
struct Rejection {
    status: u16,
    message: String,
    allowed_methods: Option<String>,
}

fn rejection<T>(status: u16, message: impl Into<String>) -> Result<T, Rejection> {
    Err(Rejection {
        status,
        message: message.into(),
        allowed_methods: None,
    })
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Internal Server Error",
    }
}

impl Connection {
    /// Creates the state of a connection accepted at `now`. A trusted proxy may set the time of
    /// arrival of a request.
    #[must_use]
    pub fn new(settings: Rc<Settings>, now: Micros, is_trusted: bool) -> Self {
        let (status, stage) = (ConnectionStatus::new(now), Stage::Idle);
        Self {
            settings,
            status,
            stage,
            last_stream: 0,
            packet_began_at: None,
            is_trusted,
            is_shutting_down: false,
        }
    }

    /// Handles the packet at the front of the bytes and returns its length; `None` if it is
    /// incomplete.
    fn handle_packet(
        &mut self,
        context: &Context,
        input: &[u8],
        output: &mut Vec<u8>,
        requests: &mut Vec<IncomingRequest>,
    ) -> Option<usize> {
        let payload =
            match codec::parse_packet(input, Direction::ToServer, self.settings.packet_size) {
                Ok(payload) => payload?,
                Err(error) => {
                    self.fail_connection(context, &format!("{error}"), output);
                    return Some(input.len());
                }
            };
        let end = payload.end;
        let payload = &input[payload];
        let packet_began_at = self.packet_began_at.take().unwrap_or(context.now);
        self.status.waiting_since = None;
        self.status.last_activity_at = context.now;
        match std::mem::replace(&mut self.stage, Stage::Idle) {
            Stage::Idle => {
                self.handle_first_packet(context, packet_began_at, payload, output, requests);
            }
            Stage::ReadingBody {
                incoming,
                declared_length,
            } => match codec::decode_body(payload) {
                Ok(data) => {
                    self.handle_body(context, incoming, declared_length, data, output, requests);
                }
                Err(error) => self.reject(context, 400, &error.to_string(), None, output),
            },
            // A packet before the response is an error; the response is still sent, as the last one
            // on this connection.
            Stage::AwaitingResponse(stream) => {
                self.stage = Stage::AwaitingResponse(stream);
                self.warn(context, "a packet came while a request was open");
                self.status.state = ConnectionState::Closing;
            }
        }
        Some(end)
    }

    fn handle_first_packet(
        &mut self,
        context: &Context,
        packet_began_at: Micros,
        payload: &[u8],
        output: &mut Vec<u8>,
        requests: &mut Vec<IncomingRequest>,
    ) {
        match payload.first() {
            Some(&packet_type::FORWARD_REQUEST) => {
                match self.decode_request(context, packet_began_at, payload) {
                    Ok((incoming, declared_length)) => {
                        self.status.has_received_message = true;
                        if declared_length == Some(0) {
                            self.hand_over(*incoming, requests);
                            return;
                        }
                        // A body of declared length is sent without a request for it; one
                        // without must be requested.
                        if declared_length.is_none() {
                            self.push_body_request(self.settings.max_body_bytes + 1, output);
                        }
                        self.status.waiting_since = Some(context.now);
                        self.stage = Stage::ReadingBody {
                            incoming,
                            declared_length,
                        };
                    }
                    Err(Rejection {
                        status,
                        message,
                        allowed_methods,
                    }) => {
                        self.reject(
                            context,
                            status,
                            &message,
                            allowed_methods.as_deref(),
                            output,
                        );
                    }
                }
            }
            // During the shutdown a ping gets no response, so that the proxy uses another server.
            Some(&packet_type::CPING) if payload.len() == 1 && self.is_shutting_down => {
                self.status.state = ConnectionState::Closing;
            }
            Some(&packet_type::CPING) if payload.len() == 1 => {
                self.status.has_received_message = true;
                codec::push_cpong(output);
            }
            Some(&packet_type::SHUTDOWN) => {
                self.fail_connection(context, "a wish to shut down is not obeyed", output);
            }
            Some(_) => self.fail_connection(
                context,
                "a packet of an unknown type, or a body that was not asked for",
                output,
            ),
            None => {
                self.fail_connection(context, "an empty packet that belongs to no body", output);
            }
        }
    }

    /// Decodes a forward request. Returns the request to be handed over once its body is complete,
    /// and the declared length.
    fn decode_request(
        &self,
        context: &Context,
        packet_began_at: Micros,
        payload: &[u8],
    ) -> Result<(Box<IncomingRequest>, Option<usize>), Rejection> {
        let settings = &self.settings;
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let request = ForwardRequest::decode(payload, &mut headers)
            .or_else(|e| rejection(400, e.to_string()))?;
        if let Some(secret) = &settings.secret {
            // Constant-time comparison: a secret can't be guessed byte by byte.
            if !bool::from(request.secret.unwrap_or_default().ct_eq(secret)) {
                return rejection(403, "no secret, or a wrong one");
            }
        }
        let request_head = settings
            .class_lookup
            .as_ref()
            .map(|_| request_head(&request));
        let found = settings
            .class_lookup
            .as_ref()
            .zip(request_head.as_ref())
            .map(|(lookup, request_head)| lookup.find(request_head));
        let class = match found {
            Some(found) => found.or_else(|(status, message)| rejection(status, message))?,
            None => match settings.class_table.find(request.method, request.uri) {
                ClassMatch::Class(class) => class,
                ClassMatch::MethodNotAllowed(methods) => {
                    let (status, message) = (405, "this path does not take the method".to_owned());
                    return Err(Rejection {
                        status,
                        message,
                        allowed_methods: Some(methods.join(", ")),
                    });
                }
                ClassMatch::NotFound => return rejection(404, "no class has this path"),
            },
        };
        let declared_length = self.parse_body_length(&request)?;
        if declared_length.is_some_and(|length| length > settings.max_body_bytes) {
            return rejection(
                413,
                format!("a body may have {} bytes", settings.max_body_bytes),
            );
        }
        // The body gets its memory as it arrives: a declared length costs the sender nothing.
        let mut incoming = self.read_parameters(context, class, packet_began_at, &request)?;
        incoming.head = request_head
            .filter(|_| {
                settings
                    .class_lookup
                    .as_ref()
                    .is_some_and(|lookup| lookup.forwards_requests())
            })
            .map(Box::new);
        Ok((Box::new(incoming), declared_length))
    }

    /// Returns the declared length of the body; `None` if the body is chunked.
    fn parse_body_length(&self, request: &ForwardRequest) -> Result<Option<usize>, Rejection> {
        let mut declared_length: Option<usize> = None;
        let mut is_chunked = false;
        for (name, value) in request.headers {
            if name.eq_ignore_ascii_case(b"content-length") {
                let is_number =
                    !value.is_empty() && value.len() < 16 && value.iter().all(u8::is_ascii_digit);
                let length = std::str::from_utf8(value)
                    .ok()
                    .filter(|_| is_number)
                    .and_then(|v| v.parse().ok());
                // Rejects two different lengths: proxy and server might each use another one.
                match length {
                    Some(length) if declared_length.is_none_or(|other| other == length) => {
                        declared_length = Some(length);
                    }
                    _ => {
                        return rejection(
                            400,
                            "header content-length: no length, or two that differ",
                        )
                    }
                }
            } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                is_chunked = value.eq_ignore_ascii_case(b"chunked");
                if !is_chunked {
                    return rejection(400, "header transfer-encoding: only chunked is known");
                }
            }
        }
        match (declared_length, is_chunked) {
            (Some(_), true) => rejection(400, "header content-length: the body is chunked as well"),
            (None, true) => Ok(None),
            (declared_length, false) => Ok(Some(declared_length.unwrap_or(0))),
        }
    }

    fn read_parameters(
        &self,
        context: &Context,
        class: usize,
        packet_began_at: Micros,
        request: &ForwardRequest,
    ) -> Result<IncomingRequest, Rejection> {
        let sources = &self.settings.parameter_sources;
        let Some(defaults) = self.settings.parameter_defaults.get(class) else {
            return rejection(500, "a class without defaults");
        };
        let parse_number = |name: &str,
                            source: &Option<ParameterSource>,
                            limit: f64|
         -> Result<Option<f64>, Rejection> {
            let Some(text) = find_parameter(request, source.as_ref()) else {
                return Ok(None);
            };
            let value = std::str::from_utf8(text)
                .ok()
                .and_then(|text| text.trim().parse::<f64>().ok());
            match value.filter(|value| (0.0..limit).contains(value)) {
                Some(value) => Ok(Some(value)),
                None => rejection(
                    400,
                    format!(
                        "figure {name}: {:?} is out of place",
                        text.escape_ascii().to_string()
                    ),
                ),
            }
        };
        let parse_integer =
            |name: &str, source: &Option<ParameterSource>| -> Result<Option<u64>, Rejection> {
                let Some(text) = find_parameter(request, source.as_ref()) else {
                    return Ok(None);
                };
                match std::str::from_utf8(text)
                    .ok()
                    .and_then(|text| text.trim().parse().ok())
                {
                    Some(value) => Ok(Some(value)),
                    None => rejection(
                        400,
                        format!(
                            "figure {name}: {:?} is out of place",
                            text.escape_ascii().to_string()
                        ),
                    ),
                }
            };
        let stream = self.last_stream.wrapping_add(1);
        let id = match find_parameter(request, sources.id.as_ref()) {
            Some(text) if text.is_empty() || text.len() > MAX_ID_BYTES => {
                return rejection(400, format!("figure id: {} bytes are no id", text.len()))
            }
            Some(text) => parse_request_id(text),
            None if defaults.requires_id => {
                return rejection(400, "figure id: this class needs one")
            }
            None => {
                let mut id_input = [0; 12];
                id_input[..8].copy_from_slice(&context.connection_id.to_be_bytes());
                id_input[8..].copy_from_slice(&stream.to_be_bytes());
                xxhash_rust::xxh3::xxh3_64_with_seed(&id_input, self.settings.id_seed)
            }
        };
        let received_at_ms = if self.is_trusted {
            parse_integer("door", &sources.received_at_ms)?
        } else {
            None
        };
        let memory_kb = parse_number("memory_kb", &sources.memory_kb, MEMORY_LIMIT_KB)?
            .unwrap_or(defaults.memory_kb);
        if memory_kb <= 0.0 {
            return rejection(400, "figure memory_kb: it must be above 0");
        }
        let key = find_parameter(request, sources.key.as_ref());
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
            return rejection(
                400,
                format!("figure key: not within 1 to {MAX_KEY_BYTES} bytes"),
            );
        }
        let work = parse_number("work_ms", &sources.work_ms, WORK_LIMIT_MS)?;
        Ok(IncomingRequest {
            client: ClientStream {
                connection: context.connection_id,
                stream,
            },
            id,
            class,
            caller: parse_integer("caller", &sources.caller)?.unwrap_or(defaults.caller),
            received_at: received_at_ms.map_or(packet_began_at, |ms| {
                ms.saturating_mul(1_000).min(packet_began_at)
            }),
            expected_work: work.map_or(defaults.expected_work, |ms| (ms * 1_000.0) as Micros),
            memory_kb,
            rank: parse_number("rank", &sources.rank, 1.0)?.unwrap_or(defaults.rank),
            is_retry: false,
            has_subject: find_parameter(request, sources.subject.as_ref()).is_some(),
            key: key.map(Box::from),
            body: Vec::new(),
            head: None,
        })
    }

    fn handle_body(
        &mut self,
        context: &Context,
        mut incoming: Box<IncomingRequest>,
        declared_length: Option<usize>,
        data: &[u8],
        output: &mut Vec<u8>,
        requests: &mut Vec<IncomingRequest>,
    ) {
        let received_bytes = incoming.body.len() + data.len();
        match declared_length {
            Some(length) if data.is_empty() || received_bytes > length => {
                let message = format!("a body of {received_bytes} bytes where {length} were told");
                return self.reject(context, 400, &message, None, output);
            }
            None if received_bytes > self.settings.max_body_bytes => {
                let message = format!("a body may have {} bytes", self.settings.max_body_bytes);
                return self.reject(context, 413, &message, None, output);
            }
            _ => {}
        }
        incoming.body.extend_from_slice(data);
        if declared_length == Some(received_bytes) || (declared_length.is_none() && data.is_empty())
        {
            return self.hand_over(*incoming, requests);
        }
        self.push_body_request(
            declared_length.unwrap_or(self.settings.max_body_bytes + 1) - received_bytes,
            output,
        );
        self.status.waiting_since = Some(context.now);
        self.stage = Stage::ReadingBody {
            incoming,
            declared_length,
        };
    }

    fn push_body_request(&self, length: usize, output: &mut Vec<u8>) {
        codec::push_get_body(
            output,
            length.min(self.settings.packet_size - BODY_OVERHEAD),
        );
    }

    fn hand_over(&mut self, incoming: IncomingRequest, requests: &mut Vec<IncomingRequest>) {
        self.last_stream = incoming.client.stream;
        self.status.open_requests = 1;
        self.stage = Stage::AwaitingResponse(self.last_stream);
        requests.push(incoming);
    }

    fn warn(&self, context: &Context, message: &str) {
        // Logged once per connection: the peer can cause more errors as fast as it can send.
        if self.status.state == ConnectionState::Open {
            tracing::warn!("AJP connection {}: {message}", context.connection_id);
        }
    }

    /// Handles invalid input: a response could be taken for that of another request.
    fn fail_connection(&mut self, context: &Context, message: &str, output: &mut Vec<u8>) {
        // A request whose body is being read gets a response.
        if matches!(self.stage, Stage::ReadingBody { .. }) {
            return self.reject(context, 400, message, None, output);
        }
        self.warn(context, message);
        self.status.state = ConnectionState::Closing;
    }

    /// Responds to a request that is not handed over. The rest of its body may be on its way and
    /// would be taken for the next request, so it is the last one on this connection.
    fn reject(
        &mut self,
        context: &Context,
        status: u16,
        message: &str,
        allowed_methods: Option<&str>,
        output: &mut Vec<u8>,
    ) {
        self.warn(context, &format!("{status}, {message}"));
        let mut headers = vec![(NOT_RUN_HEADER, "1")];
        headers.extend(allowed_methods.map(|methods| ("Allow", methods)));
        if status == 503 {
            headers.push(("Retry-After", "1"));
        }
        self.send_response(output, status, &headers, message.as_bytes(), false);
        self.stage = Stage::Idle;
        self.status.waiting_since = None;
        self.status.state = ConnectionState::Closing;
    }

    fn send_response(
        &self,
        output: &mut Vec<u8>,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        reuse: bool,
    ) {
        let length = body.len().to_string();
        let content_type = if status == 200 {
            "application/octet-stream"
        } else {
            "text/plain"
        };
        let mut all_headers = vec![
            ("Content-Type", content_type),
            ("Content-Length", length.as_str()),
        ];
        all_headers.extend_from_slice(headers);
        // Can't fail: names and values are set here and fit into the smallest packet.
        let _ = codec::push_send_headers(
            output,
            status,
            reason_phrase(status),
            &all_headers,
            self.settings.packet_size,
        );
        codec::push_body_chunks(output, body, self.settings.packet_size);
        codec::push_end_response(output, reuse);
    }
}

/// Finds a request parameter, if it has a source.
fn find_parameter<'a>(
    request: &ForwardRequest<'a, '_>,
    source: Option<&ParameterSource>,
) -> Option<&'a [u8]> {
    match source? {
        ParameterSource::Header(name) => request.header(name),
        ParameterSource::Attribute(name) => {
            request.attributes().find_map(|attribute| match attribute {
                Attribute::Named(known, value) if known == name.as_bytes() => Some(value),
                _ => None,
            })
        }
    }
}

/// Returns the head of a request.
fn request_head(request: &ForwardRequest) -> RequestHead {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let mut target = text(request.uri);
    if let Some(query) = request.query.filter(|query| !query.is_empty()) {
        target = target + "?" + &text(query);
    }
    // The proxy may send the host outside of the headers.
    let host = request
        .header("host")
        .or(request.server_name)
        .map(text)
        .unwrap_or_default();
    RequestHead {
        method: text(request.method),
        host,
        target,
        headers: request
            .headers
            .iter()
            .map(|(name, value)| (text(name), text(value)))
            .collect(),
        remote_address: request.remote_addr.map(text).unwrap_or_default(),
        frame: None,
    }
}

/// Returns the id of a request: the value of 16 hex digits, or the hash of other text.
#[must_use]
pub fn parse_request_id(text: &[u8]) -> RequestId {
    let is_hex = text.len() == 16 && text.iter().all(u8::is_ascii_hexdigit);
    let parsed = std::str::from_utf8(text).ok().filter(|_| is_hex);
    let parsed = parsed.and_then(|text| RequestId::from_str_radix(text, 16).ok());
    parsed.unwrap_or_else(|| xxhash_rust::xxh3::xxh3_64(text))
}

impl ConnectionStateMachine for Connection {
    fn status(&self) -> &ConnectionStatus {
        &self.status
    }

    fn status_mut(&mut self) -> &mut ConnectionStatus {
        &mut self.status
    }

    fn receive(
        &mut self,
        context: &Context,
        input: &[u8],
        output: &mut Vec<u8>,
        requests: &mut Vec<IncomingRequest>,
    ) -> usize {
        let mut consumed = 0;
        while consumed < input.len() {
            if self.status.state == ConnectionState::Closing {
                return input.len();
            }
            self.packet_began_at = self.packet_began_at.or(Some(context.now));
            match self.handle_packet(context, &input[consumed..], output, requests) {
                Some(size) => consumed += size,
                None => {
                    self.status.waiting_since = self.status.waiting_since.or(Some(context.now));
                    break;
                }
            }
        }
        consumed
    }

    fn respond(
        &mut self,
        context: &Context,
        stream: u32,
        response: &Response,
        output: &mut Vec<u8>,
    ) -> bool {
        if !matches!(self.stage, Stage::AwaitingResponse(open) if open == stream) {
            return false;
        }
        self.stage = Stage::Idle;
        self.status.open_requests = 0;
        self.status.last_activity_at = context.now;
        let reuse = self.status.state == ConnectionState::Open && !self.is_shutting_down;
        let feedback = context.feedback.map(|value| format!("{value:.4}"));
        let mut headers = Vec::with_capacity(5);
        headers.extend(feedback.as_deref().map(|value| (FEEDBACK_HEADER, value)));
        match response {
            Response::Served(body) => self.send_response(output, 200, &headers, body, reuse),
            Response::Rejected {
                retry_after,
                no_failover,
            } => {
                let (seconds, ms) = (
                    retry_after.div_ceil(1_000_000).to_string(),
                    retry_after.div_ceil(1_000).to_string(),
                );
                headers.push((NOT_RUN_HEADER, "1"));
                if *retry_after > 0 {
                    headers.extend([
                        ("Retry-After", seconds.as_str()),
                        (RETRY_AFTER_MS_HEADER, ms.as_str()),
                    ]);
                }
                if *no_failover {
                    headers.push((NO_RETRY_HEADER, "1"));
                }
                self.send_response(output, 503, &headers, b"turned away\n", reuse);
            }
            Response::Failed => {
                self.send_response(output, 500, &headers, b"failed; it may have run\n", reuse);
            }
            Response::Invalid(error) => {
                headers.push((NOT_RUN_HEADER, "1"));
                let status = match error {
                    RequestError::KeyReused => 422,
                    RequestError::Forbidden => 403,
                    RequestError::KeyMissing => 400,
                };
                self.send_response(output, status, &headers, error.message().as_bytes(), reuse);
            }
            Response::Direct { status, body } => {
                headers.push((NOT_RUN_HEADER, "1"));
                let location = String::from_utf8_lossy(body).into_owned();
                if matches!(status, 301 | 302 | 303 | 307 | 308) {
                    headers.push(("Location", &location));
                }
                self.send_response(output, *status, &headers, body, reuse);
            }
            Response::Expired => self.send_response(
                output,
                504,
                &headers,
                b"not done in time; it may have run\n",
                reuse,
            ),
        }
        if !reuse {
            self.status.state = ConnectionState::Closing;
        }
        true
    }

    fn buffered_bytes(&self) -> usize {
        match &self.stage {
            Stage::ReadingBody { incoming, .. } => {
                let head = incoming.head.as_ref();
                incoming.body.capacity() + head.map_or(0, |head| head.allocated_bytes())
            }
            Stage::Idle | Stage::AwaitingResponse(_) => 0,
        }
    }

    fn deadline(&self) -> Option<Micros> {
        if self.status.state == ConnectionState::Closing || self.status.open_requests > 0 {
            return None;
        }
        let limit = match self.stage {
            Stage::ReadingBody { .. } => self.settings.body_timeout,
            _ => self.settings.packet_timeout,
        };
        Some(match self.status.waiting_since {
            Some(since) => since + limit,
            None => self.status.last_activity_at + self.settings.idle_timeout,
        })
    }

    fn handle_timeout(&mut self, context: &Context, output: &mut Vec<u8>) {
        match self.stage {
            Stage::ReadingBody { .. } => self.reject(
                context,
                408,
                "the rest of the body did not come in time",
                None,
                output,
            ),
            // The connection is idle, or its first packet did not arrive: no request needs a
            // response.
            _ => self.status.state = ConnectionState::Closing,
        }
    }

    /// Idle connections are closed at once, others after their response. A new connection may still
    /// send a request.
    fn begin_shutdown(&mut self, _: &Context, _: &mut Vec<u8>) {
        self.is_shutting_down = true;
        if self.status.is_idle() {
            self.status.state = ConnectionState::Closing;
        }
    }

    fn stop_accepting_requests(&mut self, context: &Context, output: &mut Vec<u8>) {
        if self.status.state != ConnectionState::Open {
            return;
        }
        match self.stage {
            Stage::ReadingBody { .. } => {
                self.reject(context, 503, "this server leaves", None, output);
            }
            // A request that was handed over gets its response and is the last one.
            Stage::AwaitingResponse(_) => self.is_shutting_down = true,
            Stage::Idle if self.status.is_idle() => self.status.state = ConnectionState::Closing,
            // On a new connection, the first request may be on its way.
            Stage::Idle => {
                self.is_shutting_down = true;
                self.status.state = ConnectionState::Draining(context.now);
            }
        }
    }
}
