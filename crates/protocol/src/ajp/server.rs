//! A proxy's connection, seen from the server: one request at a time, read whole, answered once.
//!
//! A request is handed over when the last byte of its body has come. Until then it is this state machine's: what is
//! wrong with it, or missing, is answered here, and such a request never ran.

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

/// Says on an answer that this try never ran.
pub const NOT_RUN_HEADER: &str = "X-Not-Run";
/// On a refusal: milliseconds to stay away, beside the whole seconds of `Retry-After`.
pub const RETRY_AFTER_MS_HEADER: &str = "X-Retry-After-Ms";
/// The wish that no other matcher be tried.
pub const NO_RETRY_HEADER: &str = "X-No-Retry";
/// The free value.
pub const FEEDBACK_HEADER: &str = "X-Feedback";

/// Memory booked for a request stays under this many KB, work under this many ms.
const MOST_MEMORY: f64 = 2_000.0;
const MOST_WORK: f64 = 1e9;
const LONGEST_ID: usize = 256;

#[derive(Debug)]
enum Stage {
    /// The next packet begins something new.
    Ready,
    /// A request's body is being read.
    Body {
        arrival: Box<IncomingRequest>,
        /// The length that was told; none where the body ends with an empty packet.
        told: Option<usize>,
    },
    /// The exchange has the request on this stream.
    Handed(u32),
}

/// The connection.
#[derive(Debug)]
pub struct Connection {
    settings: Rc<Settings>,
    status: ConnectionStatus,
    stage: Stage,
    streams: u32,
    /// When the first byte of the packet that is being read came.
    began: Option<Micros>,
    trusted: bool,
    leaving: bool,
}

/// An answer that is given here, before the exchange hears of the request.
struct Refusal {
    status: u16,
    what: String,
    allow: Option<String>,
}

fn refusal<T>(status: u16, what: impl Into<String>) -> Result<T, Refusal> {
    Err(Refusal {
        status,
        what: what.into(),
        allow: None,
    })
}

fn message(status: u16) -> &'static str {
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
    /// One accepted now; a trusted proxy's word on when a request came is believed.
    #[must_use]
    pub fn new(settings: Rc<Settings>, now: Micros, trusted: bool) -> Self {
        let (status, stage) = (ConnectionStatus::new(now), Stage::Ready);
        Self {
            settings,
            status,
            stage,
            streams: 0,
            began: None,
            trusted,
            leaving: false,
        }
    }

    /// Takes one packet from the front of the bytes; none where it is not whole.
    fn take_packet(
        &mut self,
        context: &Context,
        input: &[u8],
        out: &mut Vec<u8>,
        arrivals: &mut Vec<IncomingRequest>,
    ) -> Option<usize> {
        let payload =
            match codec::parse_packet(input, Direction::ToServer, self.settings.packet_size) {
                Ok(payload) => payload?,
                Err(fault) => {
                    self.lose(context, &format!("{fault}"), out);
                    return Some(input.len());
                }
            };
        let end = payload.end;
        let payload = &input[payload];
        let began = self.began.take().unwrap_or(context.now);
        self.status.waiting_since = None;
        self.status.last_activity_at = context.now;
        match std::mem::replace(&mut self.stage, Stage::Ready) {
            Stage::Ready => self.take_first(context, began, payload, out, arrivals),
            Stage::Body { arrival, told } => match codec::decode_body(payload) {
                Ok(data) => self.take_body(context, arrival, told, data, out, arrivals),
                Err(fault) => self.refuse(context, 400, &fault.to_string(), None, out),
            },
            // Nothing may come before the answer; the answer still goes out, as the last on this connection.
            Stage::Handed(stream) => {
                self.stage = Stage::Handed(stream);
                self.warn(context, "a packet came while a request was open");
                self.status.state = ConnectionState::Closing;
            }
        }
        Some(end)
    }

    fn take_first(
        &mut self,
        context: &Context,
        began: Micros,
        payload: &[u8],
        out: &mut Vec<u8>,
        arrivals: &mut Vec<IncomingRequest>,
    ) {
        match payload.first() {
            Some(&packet_type::FORWARD_REQUEST) => match self.begin(context, began, payload) {
                Ok((arrival, told)) => {
                    self.status.has_received_message = true;
                    if told == Some(0) {
                        self.hand_over(*arrival, arrivals);
                        return;
                    }
                    // A body of a told length begins unasked, one without is asked for.
                    if told.is_none() {
                        self.ask(self.settings.max_body_bytes + 1, out);
                    }
                    self.status.waiting_since = Some(context.now);
                    self.stage = Stage::Body { arrival, told };
                }
                Err(Refusal {
                    status,
                    what,
                    allow,
                }) => {
                    self.refuse(context, status, &what, allow.as_deref(), out);
                }
            },
            // A leaving server does not answer: the proxy takes its next connection elsewhere.
            Some(&packet_type::CPING) if payload.len() == 1 && self.leaving => {
                self.status.state = ConnectionState::Closing;
            }
            Some(&packet_type::CPING) if payload.len() == 1 => {
                self.status.has_received_message = true;
                codec::push_cpong(out);
            }
            Some(&packet_type::SHUTDOWN) => {
                self.lose(context, "a wish to shut down is not obeyed", out);
            }
            Some(_) => self.lose(
                context,
                "a packet of an unknown type, or a body that was not asked for",
                out,
            ),
            None => self.lose(context, "an empty packet that belongs to no body", out),
        }
    }

    /// Reads a forward request: what is handed over once its body is whole, and the length that was told.
    fn begin(
        &self,
        context: &Context,
        began: Micros,
        payload: &[u8],
    ) -> Result<(Box<IncomingRequest>, Option<usize>), Refusal> {
        let settings = &self.settings;
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let request = ForwardRequest::decode(payload, &mut headers)
            .or_else(|e| refusal(400, e.to_string()))?;
        if let Some(secret) = &settings.secret {
            // Guards against a guess byte by byte: the comparison takes as long wherever they differ.
            if !bool::from(request.secret.unwrap_or_default().ct_eq(secret)) {
                return refusal(403, "no secret, or a wrong one");
            }
        }
        let head = settings.class_lookup.as_ref().map(|_| head(&request));
        let found = settings
            .class_lookup
            .as_ref()
            .zip(head.as_ref())
            .map(|(lookup, head)| lookup.find(head));
        let class = match found {
            Some(found) => found.or_else(|(status, what)| refusal(status, what))?,
            None => match settings.class_table.find(request.method, request.uri) {
                ClassMatch::Class(class) => class,
                ClassMatch::MethodNotAllowed(methods) => {
                    let (status, what) = (405, "this path does not take the method".to_owned());
                    return Err(Refusal {
                        status,
                        what,
                        allow: Some(methods.join(", ")),
                    });
                }
                ClassMatch::NotFound => return refusal(404, "no class has this path"),
            },
        };
        let told = self.told_length(&request)?;
        if told.is_some_and(|length| length > settings.max_body_bytes) {
            return refusal(
                413,
                format!("a body may have {} bytes", settings.max_body_bytes),
            );
        }
        let mut arrival = self.figures(context, class, began, &request)?;
        arrival.body.reserve_exact(told.unwrap_or(0));
        arrival.head = head
            .filter(|_| {
                settings
                    .class_lookup
                    .as_ref()
                    .is_some_and(|lookup| lookup.forwards_requests())
            })
            .map(Box::new);
        Ok((Box::new(arrival), told))
    }

    /// The length of the body; none where it comes in chunks.
    fn told_length(&self, request: &ForwardRequest) -> Result<Option<usize>, Refusal> {
        let mut told: Option<usize> = None;
        let mut chunked = false;
        for (name, value) in request.headers {
            if name.eq_ignore_ascii_case(b"content-length") {
                let digits =
                    !value.is_empty() && value.len() < 16 && value.iter().all(u8::is_ascii_digit);
                let length = std::str::from_utf8(value)
                    .ok()
                    .filter(|_| digits)
                    .and_then(|v| v.parse().ok());
                // Guards against two lengths, of which proxy and server might each believe another.
                match length {
                    Some(length) if told.is_none_or(|other| other == length) => told = Some(length),
                    _ => {
                        return refusal(400, "header content-length: no length, or two that differ")
                    }
                }
            } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                chunked = value.eq_ignore_ascii_case(b"chunked");
                if !chunked {
                    return refusal(400, "header transfer-encoding: only chunked is known");
                }
            }
        }
        match (told, chunked) {
            (Some(_), true) => refusal(400, "header content-length: the body is chunked as well"),
            (None, true) => Ok(None),
            (told, false) => Ok(Some(told.unwrap_or(0))),
        }
    }

    fn figures(
        &self,
        context: &Context,
        class: usize,
        began: Micros,
        request: &ForwardRequest,
    ) -> Result<IncomingRequest, Refusal> {
        let places = &self.settings.parameter_sources;
        let Some(defaults) = self.settings.parameter_defaults.get(class) else {
            return refusal(500, "a class without defaults");
        };
        let number = |name: &str,
                      place: &Option<ParameterSource>,
                      most: f64|
         -> Result<Option<f64>, Refusal> {
            let Some(text) = find(request, place.as_ref()) else {
                return Ok(None);
            };
            let value = std::str::from_utf8(text)
                .ok()
                .and_then(|text| text.trim().parse::<f64>().ok());
            match value.filter(|value| (0.0..most).contains(value)) {
                Some(value) => Ok(Some(value)),
                None => refusal(
                    400,
                    format!(
                        "figure {name}: {:?} is out of place",
                        text.escape_ascii().to_string()
                    ),
                ),
            }
        };
        let whole = |name: &str, place: &Option<ParameterSource>| -> Result<Option<u64>, Refusal> {
            let Some(text) = find(request, place.as_ref()) else {
                return Ok(None);
            };
            match std::str::from_utf8(text)
                .ok()
                .and_then(|text| text.trim().parse().ok())
            {
                Some(value) => Ok(Some(value)),
                None => refusal(
                    400,
                    format!(
                        "figure {name}: {:?} is out of place",
                        text.escape_ascii().to_string()
                    ),
                ),
            }
        };
        let stream = self.streams.wrapping_add(1);
        let id = match find(request, places.id.as_ref()) {
            Some(text) if text.is_empty() || text.len() > LONGEST_ID => {
                return refusal(400, format!("figure id: {} bytes are no id", text.len()))
            }
            Some(text) => parse_request_id(text),
            None if defaults.requires_id => return refusal(400, "figure id: this class needs one"),
            None => {
                let mut own = [0; 12];
                own[..8].copy_from_slice(&context.connection_id.to_be_bytes());
                own[8..].copy_from_slice(&stream.to_be_bytes());
                xxhash_rust::xxh3::xxh3_64_with_seed(&own, self.settings.id_seed)
            }
        };
        let told = if self.trusted {
            whole("door", &places.received_at_ms)?
        } else {
            None
        };
        let memory_kb =
            number("memory_kb", &places.memory_kb, MOST_MEMORY)?.unwrap_or(defaults.memory_kb);
        if memory_kb <= 0.0 {
            return refusal(400, "figure memory_kb: it must be above 0");
        }
        let key = find(request, places.key.as_ref());
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
            return refusal(
                400,
                format!("figure key: not within 1 to {MAX_KEY_BYTES} bytes"),
            );
        }
        let work = number("work_ms", &places.work_ms, MOST_WORK)?;
        Ok(IncomingRequest {
            client: ClientStream {
                connection: context.connection_id,
                stream,
            },
            id,
            class,
            caller: whole("caller", &places.caller)?.unwrap_or(defaults.caller),
            received_at: told.map_or(began, |ms| ms.saturating_mul(1_000).min(began)),
            expected_work: work.map_or(defaults.expected_work, |ms| (ms * 1_000.0) as Micros),
            memory_kb,
            rank: number("rank", &places.rank, 1.0)?.unwrap_or(defaults.rank),
            is_retry: false,
            has_subject: find(request, places.subject.as_ref()).is_some(),
            key: key.map(Box::from),
            body: Vec::new(),
            head: None,
        })
    }

    fn take_body(
        &mut self,
        context: &Context,
        mut arrival: Box<IncomingRequest>,
        told: Option<usize>,
        data: &[u8],
        out: &mut Vec<u8>,
        arrivals: &mut Vec<IncomingRequest>,
    ) {
        let have = arrival.body.len() + data.len();
        match told {
            Some(length) if data.is_empty() || have > length => {
                let what = format!("a body of {have} bytes where {length} were told");
                return self.refuse(context, 400, &what, None, out);
            }
            None if have > self.settings.max_body_bytes => {
                let what = format!("a body may have {} bytes", self.settings.max_body_bytes);
                return self.refuse(context, 413, &what, None, out);
            }
            _ => {}
        }
        arrival.body.extend_from_slice(data);
        if told == Some(have) || (told.is_none() && data.is_empty()) {
            return self.hand_over(*arrival, arrivals);
        }
        self.ask(told.unwrap_or(self.settings.max_body_bytes + 1) - have, out);
        self.status.waiting_since = Some(context.now);
        self.stage = Stage::Body { arrival, told };
    }

    fn ask(&self, length: usize, out: &mut Vec<u8>) {
        codec::push_get_body(out, length.min(self.settings.packet_size - BODY_OVERHEAD));
    }

    fn hand_over(&mut self, arrival: IncomingRequest, arrivals: &mut Vec<IncomingRequest>) {
        self.streams = arrival.client.stream;
        self.status.open_requests = 1;
        self.stage = Stage::Handed(self.streams);
        arrivals.push(arrival);
    }

    fn warn(&self, context: &Context, what: &str) {
        // Once a connection: the next faults come as fast as they can be sent.
        if self.status.state == ConnectionState::Open {
            tracing::warn!("AJP connection {}: {what}", context.connection_id);
        }
    }

    /// What came can't be read: no answer would reach the right request.
    fn lose(&mut self, context: &Context, what: &str, out: &mut Vec<u8>) {
        // A body that was being read has a request that is owed an answer.
        if matches!(self.stage, Stage::Body { .. }) {
            return self.refuse(context, 400, what, None, out);
        }
        self.warn(context, what);
        self.status.state = ConnectionState::Closing;
    }

    /// Answers a request that the exchange never hears of. The rest of its body may be on its way and would be
    /// taken for the next request, so that it is the last on this connection.
    fn refuse(
        &mut self,
        context: &Context,
        status: u16,
        what: &str,
        allow: Option<&str>,
        out: &mut Vec<u8>,
    ) {
        self.warn(context, &format!("{status}, {what}"));
        let mut headers = vec![(NOT_RUN_HEADER, "1")];
        headers.extend(allow.map(|methods| ("Allow", methods)));
        if status == 503 {
            headers.push(("Retry-After", "1"));
        }
        self.push_response_packets(out, status, &headers, what.as_bytes(), false);
        self.stage = Stage::Ready;
        self.status.waiting_since = None;
        self.status.state = ConnectionState::Closing;
    }

    fn push_response_packets(
        &self,
        out: &mut Vec<u8>,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        reuse: bool,
    ) {
        let length = body.len().to_string();
        let kind = if status == 200 {
            "application/octet-stream"
        } else {
            "text/plain"
        };
        let mut all = vec![("Content-Type", kind), ("Content-Length", length.as_str())];
        all.extend_from_slice(headers);
        // Names and values are our own and short: they fit into the smallest packet.
        let _ = codec::push_send_headers(
            out,
            status,
            message(status),
            &all,
            self.settings.packet_size,
        );
        codec::push_body_chunks(out, body, self.settings.packet_size);
        codec::push_end_response(out, reuse);
    }
}

/// Finds a figure where it has a place.
fn find<'a>(request: &ForwardRequest<'a, '_>, place: Option<&ParameterSource>) -> Option<&'a [u8]> {
    match place? {
        ParameterSource::Header(name) => request.header(name),
        ParameterSource::Attribute(name) => {
            request.attributes().find_map(|attribute| match attribute {
                Attribute::Named(known, value) if known == name.as_bytes() => Some(value),
                _ => None,
            })
        }
    }
}

/// How a request was asked for.
fn head(request: &ForwardRequest) -> RequestHead {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let mut target = text(request.uri);
    if let Some(query) = request.query.filter(|query| !query.is_empty()) {
        target = target + "?" + &text(query);
    }
    // The proxy may tell the host apart from the headers.
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

/// The id of a request: 16 hex digits are taken as they are, other text by its hash.
#[must_use]
pub fn parse_request_id(text: &[u8]) -> RequestId {
    let hex = text.len() == 16 && text.iter().all(u8::is_ascii_hexdigit);
    let plain = std::str::from_utf8(text).ok().filter(|_| hex);
    let plain = plain.and_then(|text| RequestId::from_str_radix(text, 16).ok());
    plain.unwrap_or_else(|| xxhash_rust::xxh3::xxh3_64(text))
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
        out: &mut Vec<u8>,
        arrivals: &mut Vec<IncomingRequest>,
    ) -> usize {
        let mut used = 0;
        while used < input.len() {
            if self.status.state == ConnectionState::Closing {
                return input.len();
            }
            self.began = self.began.or(Some(context.now));
            match self.take_packet(context, &input[used..], out, arrivals) {
                Some(size) => used += size,
                None => {
                    self.status.waiting_since = self.status.waiting_since.or(Some(context.now));
                    break;
                }
            }
        }
        used
    }

    fn respond(
        &mut self,
        context: &Context,
        stream: u32,
        answer: &Response,
        out: &mut Vec<u8>,
    ) -> bool {
        if !matches!(self.stage, Stage::Handed(open) if open == stream) {
            return false;
        }
        self.stage = Stage::Ready;
        self.status.open_requests = 0;
        self.status.last_activity_at = context.now;
        let reuse = self.status.state == ConnectionState::Open && !self.leaving;
        let feedback = context.feedback.map(|value| format!("{value:.4}"));
        let mut headers = Vec::with_capacity(5);
        headers.extend(feedback.as_deref().map(|value| (FEEDBACK_HEADER, value)));
        match answer {
            Response::Served(body) => self.push_response_packets(out, 200, &headers, body, reuse),
            Response::Rejected {
                retry_after: later,
                no_failover: last,
            } => {
                let (seconds, ms) = (
                    later.div_ceil(1_000_000).to_string(),
                    later.div_ceil(1_000).to_string(),
                );
                headers.push((NOT_RUN_HEADER, "1"));
                if *later > 0 {
                    headers.extend([
                        ("Retry-After", seconds.as_str()),
                        (RETRY_AFTER_MS_HEADER, ms.as_str()),
                    ]);
                }
                if *last {
                    headers.push((NO_RETRY_HEADER, "1"));
                }
                self.push_response_packets(out, 503, &headers, b"turned away\n", reuse);
            }
            Response::Failed => {
                self.push_response_packets(out, 500, &headers, b"failed; it may have run\n", reuse);
            }
            Response::Invalid(fault) => {
                headers.push((NOT_RUN_HEADER, "1"));
                let status = match fault {
                    RequestError::KeyReused => 422,
                    RequestError::Forbidden => 403,
                    RequestError::KeyMissing => 400,
                };
                self.push_response_packets(
                    out,
                    status,
                    &headers,
                    fault.message().as_bytes(),
                    reuse,
                );
            }
            Response::Direct { status, body } => {
                headers.push((NOT_RUN_HEADER, "1"));
                let leads = String::from_utf8_lossy(body).into_owned();
                if matches!(status, 301 | 302 | 303 | 307 | 308) {
                    headers.push(("Location", &leads));
                }
                self.push_response_packets(out, *status, &headers, body, reuse);
            }
            Response::Expired => self.push_response_packets(
                out,
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

    fn deadline(&self) -> Option<Micros> {
        if self.status.state == ConnectionState::Closing || self.status.open_requests > 0 {
            return None;
        }
        let limit = match self.stage {
            Stage::Body { .. } => self.settings.body_timeout,
            _ => self.settings.packet_timeout,
        };
        Some(match self.status.waiting_since {
            Some(since) => since + limit,
            None => self.status.last_activity_at + self.settings.idle_timeout,
        })
    }

    fn handle_timeout(&mut self, context: &Context, out: &mut Vec<u8>) {
        match self.stage {
            Stage::Body { .. } => self.refuse(
                context,
                408,
                "the rest of the body did not come in time",
                None,
                out,
            ),
            // An idle connection, or one whose first packet did not come: nobody is owed a word.
            _ => self.status.state = ConnectionState::Closing,
        }
    }

    /// Idle connections are closed at once and others after their answer; a new one still gets an answer.
    fn begin_shutdown(&mut self, _: &Context, _: &mut Vec<u8>) {
        self.leaving = true;
        if self.status.is_idle() {
            self.status.state = ConnectionState::Closing;
        }
    }

    fn stop_accepting_requests(&mut self, context: &Context, out: &mut Vec<u8>) {
        if self.status.state != ConnectionState::Open {
            return;
        }
        match self.stage {
            Stage::Body { .. } => self.refuse(context, 503, "this server leaves", None, out),
            // A request in the hands of the exchange is answered, and is the last.
            Stage::Handed(_) => self.leaving = true,
            Stage::Ready if self.status.is_idle() => self.status.state = ConnectionState::Closing,
            // A new connection: what it was opened for may be on its way.
            Stage::Ready => {
                self.leaving = true;
                self.status.state = ConnectionState::Draining(context.now);
            }
        }
    }
}
