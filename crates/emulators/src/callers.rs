//! Open-loop callers, which send requests on a schedule independent of the responses: front ends
//! that speak frames and proxies that speak AJP. They keep records of their own, independent of the
//! matcher's, by which the rules are checked.

use crate::runtime::result_of;
use crate::{ConnectionId, Effect, Service};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::client::{Client, Options, Request, Response};
use cleatpulley_protocol::ajp::codec::{DecodeError, PACKET_SIZE};
use cleatpulley_protocol::ajp::server::RETRY_AFTER_MS_HEADER;
use cleatpulley_protocol::frame::codec::{self, ParsedFrame};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// Longest interval between two reads of the rate share while it is not 1.
const RATE_SHARE_CHECK_INTERVAL: Micros = 50_000;

/// Protocol that callers speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protocol {
    /// Frames, with many concurrent requests on a connection.
    Frames,
    /// AJP, with one request at a time on a connection.
    Ajp,
}

impl std::fmt::Display for Protocol {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(match self {
            Self::Frames => "frames",
            Self::Ajp => "AJP",
        })
    }
}

/// A request class as its callers see it.
#[derive(Debug, Clone)]
pub struct CallerClass {
    /// Name of the class; its path in AJP is a slash and this name.
    pub name: String,
    /// Relative share of the requests.
    pub share: f64,
    /// Expected work that requests state, in microseconds.
    pub work: Micros,
    /// Time within which a response counts as on time.
    pub latency_objective: Micros,
    /// Time within which a final response is due.
    pub deadline: Micros,
}

/// Load that a group of callers generates.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Protocol that the callers speak.
    pub protocol: Protocol,
    /// Address on which the matcher listens for this protocol.
    pub address: SocketAddr,
    /// Maximum number of connections.
    pub connections: usize,
    /// Requests per second, each rate until this time after the start.
    pub rates: Vec<(Micros, f64)>,
    /// Request classes.
    pub classes: Vec<CallerClass>,
    /// Size of a request body in bytes.
    pub body_bytes: usize,
    /// AJP secret.
    pub secret: Option<String>,
    /// Range from which caller numbers are drawn.
    pub caller_numbers: std::ops::Range<u64>,
    /// Tolerance after the deadline before a response counts as overdue.
    pub deadline_slack: Micros,
    /// If set, each request has an idempotency key of its own: in this field of frames, or in the
    /// AJP header `Idempotency-Key`.
    pub key_field: Option<String>,
    /// Whether intervals between requests are exponentially distributed instead of constant.
    pub random_intervals: bool,
    /// Seed of the random numbers; plans of one run need different seeds.
    pub seed: u64,
}

/// Counts of the requests of a class by outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests issued.
    pub issued: u64,
    /// Served within the latency objective.
    pub on_time: u64,
    /// Served after the latency objective.
    pub late: u64,
    /// Rejected with a retry-after time.
    pub rejected_with_retry_after: u64,
    /// Rejected without a retry-after time.
    pub rejected_without_retry_after: u64,
    /// Rejected within a tenth of the latency objective.
    pub rejected_early: u64,
    /// Failed.
    pub failed: u64,
    /// Requests without a response whose connection had been established or accepted.
    pub unanswered: u64,
    /// Requests whose connection was refused, or for which no connection was free: none of them
    /// ran.
    pub not_sent: u64,
    /// Answered after the deadline and its tolerance.
    pub overdue: u64,
    /// Served with a result that is not that of the request, or answered by a malformed response.
    pub wrong_result: u64,
}

impl Tally {
    /// Returns the number of requests that have ended, with any outcome.
    #[must_use]
    pub fn ended(&self) -> u64 {
        let refused = self.rejected_with_retry_after + self.rejected_without_retry_after;
        self.on_time + self.late + refused + self.failed + self.unanswered + self.not_sent
    }

    /// Adds the counts of another tally.
    pub fn add(&mut self, other: &Self) {
        self.issued += other.issued;
        self.on_time += other.on_time;
        self.late += other.late;
        self.rejected_with_retry_after += other.rejected_with_retry_after;
        self.rejected_without_retry_after += other.rejected_without_retry_after;
        self.rejected_early += other.rejected_early;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
        self.not_sent += other.not_sent;
        self.overdue += other.overdue;
        self.wrong_result += other.wrong_result;
    }
}

#[derive(Debug, Clone)]
struct OpenRequest {
    id: u64,
    class: usize,
    scheduled_at: Micros,
    /// Whether the request was already sent a second time, after its connection had ended.
    retried: bool,
}

struct FrameConnection {
    established: bool,
    goodbye_received: bool,
    input: Vec<u8>,
    open: BTreeMap<u32, OpenRequest>,
    last_stream: u32,
    /// Bytes to send once the connection is established.
    unsent: Vec<u8>,
}

struct AjpConnection {
    client: Client,
    input: Vec<u8>,
    request: Option<OpenRequest>,
    /// Time at which the open request was sent, if the connection had carried one before.
    reused_at: Option<Micros>,
    unsent: Vec<u8>,
    established: bool,
}

/// The callers of a load plan, as a state machine.
pub struct Callers {
    plan: LoadPlan,
    start: Micros,
    next_at: Option<Micros>,
    /// Share of the planned rate at which requests are issued.
    rate_share: f64,
    /// Whether nothing is issued at `next_at`, where only the rate share is read again.
    skip_next_request: bool,
    random: SmallRng,
    last_connection_id: ConnectionId,
    frames: BTreeMap<ConnectionId, FrameConnection>,
    ajp: HashMap<ConnectionId, AjpConnection>,
    idle: Vec<ConnectionId>,
    queue: VecDeque<OpenRequest>,
    /// Outcomes by class.
    pub tallies: Vec<Tally>,
    /// Responses that belong to no open request.
    pub unmatched_responses: u64,
    /// Latencies of served requests by class, from the scheduled send time.
    pub latencies: Vec<Vec<Micros>>,
    /// Ids of rejected requests, which must never have run.
    pub rejected_ids: Vec<u64>,
    /// Ids of requests without a response whose connection had been established.
    pub unanswered_ids: Vec<u64>,
    /// All request ids with their scheduled send times.
    pub sent_requests: Vec<(u64, Micros)>,
    /// Ids of the requests of the first class.
    first_class_ids: Vec<u64>,
    finished: bool,
}

impl Callers {
    /// Creates callers that start sending at this time.
    #[must_use]
    pub fn new(plan: LoadPlan, start: Micros) -> Self {
        let tallies = vec![Tally::default(); plan.classes.len()];
        let latencies = vec![Vec::new(); plan.classes.len()];
        let random = SmallRng::seed_from_u64(plan.seed);
        Self {
            plan,
            start,
            next_at: Some(start),
            rate_share: 1.0,
            skip_next_request: false,
            random,
            last_connection_id: 1,
            frames: BTreeMap::new(),
            ajp: HashMap::new(),
            idle: Vec::new(),
            queue: VecDeque::new(),
            tallies,
            unmatched_responses: 0,
            latencies,
            rejected_ids: Vec::new(),
            unanswered_ids: Vec::new(),
            sent_requests: Vec::new(),
            first_class_ids: Vec::new(),
            finished: false,
        }
    }

    /// Returns the load plan.
    #[must_use]
    pub fn plan(&self) -> &LoadPlan {
        &self.plan
    }

    /// Sets the share of the planned rate at which requests are issued; it may exceed 1. Requires
    /// random intervals.
    pub fn set_rate_share(&mut self, share: f64) {
        self.rate_share = share.max(0.0);
        self.skip_next_request |= self.rate_share == 0.0;
    }

    /// Returns whether all requests were issued and none is open.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.next_at.is_none() && self.open_requests() == 0
    }

    /// Returns the number of requests that have no response yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        let frames: usize = self
            .frames
            .values()
            .map(|connection| connection.open.len())
            .sum();
        frames
            + self
                .ajp
                .values()
                .filter(|connection| connection.request.is_some())
                .count()
            + self.queue.len()
    }

    /// Returns the ids of the requests of the first class, which has an effect in gateway trials.
    #[must_use]
    pub fn first_class_ids(&self) -> &[u64] {
        &self.first_class_ids
    }

    /// Issues no further requests.
    pub fn stop(&mut self) {
        self.next_at = None;
    }

    /// Issues no further requests, and counts open ones as unanswered.
    pub fn finish(&mut self) {
        self.next_at = None;
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let frames = self
            .frames
            .values_mut()
            .flat_map(|connection| std::mem::take(&mut connection.open).into_values());
        let ajp = self
            .ajp
            .values_mut()
            .filter_map(|connection| connection.request.take());
        for request in frames.chain(ajp).chain(self.queue.drain(..)) {
            self.tallies[request.class].unanswered += 1;
            self.unanswered_ids.push(request.id);
        }
    }

    /// Returns the sum of all classes.
    #[must_use]
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        self.tallies.iter().for_each(|tally| total.add(tally));
        total
    }

    fn rate(&self, now: Micros) -> Option<f64> {
        let since = now.saturating_sub(self.start);
        self.plan
            .rates
            .iter()
            .find(|(until, _)| since < *until)
            .map(|(_, rate)| *rate)
    }

    fn issue_request(&mut self, now: Micros, scheduled_at: Micros, out: &mut Vec<Effect>) {
        let mut draw = self
            .random
            .random_range(0.0..self.plan.classes.iter().map(|class| class.share).sum());
        let mut class = 0;
        for (i, other) in self.plan.classes.iter().enumerate() {
            class = i;
            draw -= other.share;
            if draw < 0.0 {
                break;
            }
        }
        let request = OpenRequest {
            id: self.random.random(),
            class,
            scheduled_at,
            retried: false,
        };
        self.tallies[class].issued += 1;
        self.sent_requests.push((request.id, scheduled_at));
        if class == 0 {
            self.first_class_ids.push(request.id);
        }
        match self.plan.protocol {
            Protocol::Frames => self.send_by_frames(request, out),
            Protocol::Ajp => {
                self.queue.push_back(request);
                self.send_by_ajp(now, out);
            }
        }
    }

    fn send_by_frames(&mut self, request: OpenRequest, out: &mut Vec<Effect>) {
        let best = self
            .frames
            .iter()
            .filter(|(_, connection)| !connection.goodbye_received && connection.open.len() < 32);
        let best = best
            .min_by_key(|(_, connection)| connection.open.len())
            .map(|(connection, l)| (*connection, l.open.len()));
        // A connection that received a goodbye only waits for its last responses and may be
        // replaced.
        let number = self
            .frames
            .values()
            .filter(|connection| !connection.goodbye_received)
            .count();
        let connection = match best {
            Some((connection, open)) if open == 0 || number >= self.plan.connections => connection,
            _ if number < self.plan.connections => {
                self.last_connection_id += 2;
                out.push(Effect::Connect(self.last_connection_id, self.plan.address));
                let new_connection = FrameConnection {
                    established: false,
                    goodbye_received: false,
                    input: Vec::new(),
                    open: BTreeMap::new(),
                    last_stream: 0,
                    unsent: Vec::new(),
                };
                self.frames.insert(self.last_connection_id, new_connection);
                self.last_connection_id
            }
            // All connections are at their limit: the request is dropped, as a front end would do.
            _ => {
                self.tallies[request.class].not_sent += 1;
                return;
            }
        };
        let class = &self.plan.classes[request.class];
        let caller = self.random.random_range(self.plan.caller_numbers.clone());
        let rank: f64 = self.random.random_range(0.0..0.99);
        let Some(state) = self.frames.get_mut(&connection) else {
            return;
        };
        state.last_stream += 1;
        let mut fields = vec![
            ("verb", class.name.clone()),
            ("txn", format!("{:016x}", request.id)),
            ("door", (request.scheduled_at / 1_000).to_string()),
            ("lb", caller.to_string()),
            ("cpu", format!("{:.2}", class.work as f64 / 1_000.0)),
            ("ram", "20".to_owned()),
            ("standing", format!("{rank:.4}")),
        ];
        fields.extend(
            self.plan
                .key_field
                .as_deref()
                .map(|field| (field, format!("{:016x}", request.id))),
        );
        let frame = request_frame(
            state.last_stream,
            &fields,
            &vec![b'.'; self.plan.body_bytes],
        );
        state.open.insert(state.last_stream, request);
        send_or_buffer(connection, state.established, &mut state.unsent, frame, out);
    }

    fn send_by_ajp(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(request) = self.queue.pop_front() {
            let idle = self.idle.pop();
            let connection = match idle {
                Some(connection) => connection,
                None if self.ajp.len() < self.plan.connections => {
                    self.last_connection_id += 2;
                    out.push(Effect::Connect(self.last_connection_id, self.plan.address));
                    let options = Options {
                        packet_size: PACKET_SIZE,
                        secret: self.plan.secret.clone(),
                        server: ("matcher".to_owned(), self.plan.address.port()),
                    };
                    let client = Client::new(options, now);
                    let (input, unsent) = (Vec::new(), Vec::new());
                    let new_connection = AjpConnection {
                        client,
                        input,
                        request: None,
                        reused_at: None,
                        unsent,
                        established: false,
                    };
                    self.ajp.insert(self.last_connection_id, new_connection);
                    self.last_connection_id
                }
                None => {
                    self.queue.push_front(request);
                    return;
                }
            };
            let class = &self.plan.classes[request.class];
            let caller = self
                .random
                .random_range(self.plan.caller_numbers.clone())
                .to_string();
            let rank = format!("{:.4}", self.random.random_range(0.0..0.99));
            let (id, work) = (
                format!("{:016x}", request.id),
                format!("{:.2}", class.work as f64 / 1_000.0),
            );
            let (door, uri, body) = (
                (request.scheduled_at / 1_000).to_string(),
                format!("/{}", class.name),
                vec![b'.'; self.plan.body_bytes],
            );
            let mut headers = vec![
                ("X-Request-Id", id.as_str()),
                ("X-Work-Ms", &work),
                ("X-Memory-Kb", "20"),
                ("X-Rank", &rank),
                ("X-Caller", &caller),
                ("X-Door", &door),
                ("Host", "matcher"),
            ];
            if self.plan.key_field.is_some() {
                headers.push(("Idempotency-Key", id.as_str()));
            }
            let ajp_request = Request {
                method: "POST",
                uri: &uri,
                headers: &headers,
                body: &body,
            };
            let Some(state) = self.ajp.get_mut(&connection) else {
                continue;
            };
            let mut bytes = Vec::new();
            // The headers always fit into a packet.
            let _ = state.client.request(now, &ajp_request, &mut bytes);
            state.request = Some(request);
            state.reused_at = idle.map(|_| now);
            send_or_buffer(connection, state.established, &mut state.unsent, bytes, out);
        }
    }

    fn record_outcome(&mut self, now: Micros, request: &OpenRequest, outcome: ResponseOutcome) {
        let class = &self.plan.classes[request.class];
        let tally = &mut self.tallies[request.class];
        let latency = now.saturating_sub(request.scheduled_at);
        if latency > class.deadline + self.plan.deadline_slack {
            tally.overdue += 1;
        }
        match outcome {
            ResponseOutcome::Served(result) => {
                if result != result_of(request.id) {
                    tally.wrong_result += 1;
                } else if latency <= class.latency_objective {
                    tally.on_time += 1;
                } else {
                    tally.late += 1;
                }
                self.latencies[request.class].push(latency);
            }
            ResponseOutcome::Rejected(retry_after_ms) => {
                if retry_after_ms > 0 {
                    tally.rejected_with_retry_after += 1;
                } else {
                    tally.rejected_without_retry_after += 1;
                }
                if latency * 10 <= class.latency_objective {
                    tally.rejected_early += 1;
                }
                self.rejected_ids.push(request.id);
            }
            ResponseOutcome::Failed => tally.failed += 1,
        }
    }

    fn on_frame_data(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let Some(state) = self.frames.get_mut(&connection) else {
            return;
        };
        state.input.extend_from_slice(bytes);
        let (responses, unmatched) = read_responses(
            &mut state.input,
            &mut state.open,
            &mut state.goodbye_received,
        );
        self.unmatched_responses += unmatched;
        if state.goodbye_received && state.open.is_empty() {
            self.frames.remove(&connection);
            out.push(Effect::Close(connection));
        }
        for (request, outcome) in responses {
            match outcome {
                Some(outcome) => self.record_outcome(now, &request, outcome),
                None => self.tallies[request.class].wrong_result += 1,
            }
        }
    }

    fn on_ajp_data(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let Some(state) = self.ajp.get_mut(&connection) else {
            return;
        };
        let Ok(response) = read_response(
            &mut state.client,
            &mut state.input,
            bytes,
            now,
            connection,
            out,
        ) else {
            self.unmatched_responses += 1;
            self.on_close(now, connection, out);
            return;
        };
        if let Some(response) = response {
            let request = state.request.take();
            if response.reuse {
                self.idle.push(connection);
            } else {
                self.ajp.remove(&connection);
            }
            match request {
                Some(request) => {
                    let outcome = ajp_response_outcome(&response);
                    self.record_outcome(now, &request, outcome);
                }
                None => self.unmatched_responses += 1,
            }
            self.send_by_ajp(now, out);
        }
    }
}

/// A request on a reused connection that was sent this shortly before the connection ended without
/// a response may have crossed its closing.
const CLOSE_RACE_WINDOW: Micros = 50_000;

/// Outcome that a response reports.
#[derive(Debug)]
pub enum ResponseOutcome {
    /// Served, with this result.
    Served(Vec<u8>),
    /// Rejected, with the retry-after time in milliseconds; 0 without one.
    Rejected(u64),
    /// Failed.
    Failed,
}

/// Sends bytes, or buffers them until the connection is established.
pub fn send_or_buffer(
    connection: ConnectionId,
    established: bool,
    unsent: &mut Vec<u8>,
    bytes: Vec<u8>,
    out: &mut Vec<Effect>,
) {
    if established {
        out.push(Effect::Send(connection, bytes));
    } else {
        unsent.extend_from_slice(&bytes);
    }
}

/// Processes bytes received on an AJP connection; returns the response once it is complete. Pushes
/// the effects that the connection needs: more of a request body, a close after the last response,
/// or a reset after a malformed packet.
///
/// # Errors
/// Fails on a malformed packet; the connection is reset.
pub fn read_response(
    client: &mut Client,
    input: &mut Vec<u8>,
    bytes: &[u8],
    now: Micros,
    connection: ConnectionId,
    out: &mut Vec<Effect>,
) -> Result<Option<Response>, DecodeError> {
    input.extend_from_slice(bytes);
    let mut more = Vec::new();
    let taken = client.receive(now, input, &mut more);
    if !more.is_empty() {
        out.push(Effect::Send(connection, more));
    }
    let used = taken.inspect_err(|_| out.push(Effect::Reset(connection)))?;
    input.drain(..used);
    let response = client.take_response();
    if response.as_ref().is_some_and(|response| !response.reuse) {
        out.push(Effect::Close(connection));
    }
    Ok(response)
}

/// Returns the outcome that an AJP response reports.
#[must_use]
pub fn ajp_response_outcome(response: &Response) -> ResponseOutcome {
    match response.status {
        200 => ResponseOutcome::Served(response.body.clone()),
        503 if response.not_run() => ResponseOutcome::Rejected(
            response
                .header(RETRY_AFTER_MS_HEADER)
                .and_then(|ms| ms.parse().ok())
                .unwrap_or(0),
        ),
        _ => ResponseOutcome::Failed,
    }
}

/// Encodes a request as a frame.
#[must_use]
pub fn request_frame(stream: u32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let (mut payload, mut frame) = (Vec::new(), Vec::new());
    codec::push_fields(&mut payload, fields);
    payload.extend_from_slice(body);
    codec::push_request(&mut frame, stream, &payload);
    frame
}

/// Encodes a request of this class and id as a frame, received by the front end just now.
#[must_use]
pub fn request_frame_now(stream: u32, class: &str, id: u64, work_ms: f64, body: &[u8]) -> Vec<u8> {
    let received_at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis());
    let fields = [
        ("verb", class.to_owned()),
        ("txn", format!("{id:016x}")),
        ("door", received_at.to_string()),
        ("lb", "1".to_owned()),
        ("cpu", format!("{work_ms:.2}")),
        ("ram", "20".to_owned()),
        ("standing", "0.5000".to_owned()),
    ];
    request_frame(stream, &fields, body)
}

/// Removes the complete frames from the input of a front end's connection. Returns the responses to
/// its open requests and the number of frames that belong to none; sets `goodbye_received` on a goodbye, after
/// which no new request may be sent.
pub fn read_responses<T>(
    input: &mut Vec<u8>,
    open: &mut BTreeMap<u32, T>,
    goodbye_received: &mut bool,
) -> (Vec<(T, Option<ResponseOutcome>)>, u64) {
    let (mut used, mut responses, mut unmatched) = (0, Vec::new(), 0);
    while let ParsedFrame::Frame {
        kind,
        stream,
        payload,
    } = codec::parse_frame(&input[used..])
    {
        let end = payload.end;
        let payload = &input[used..][payload];
        used += end;
        match kind {
            codec::RESPONSE => match open.remove(&stream) {
                Some(request) => responses.push((request, decode_response(payload))),
                None => unmatched += 1,
            },
            codec::GO_AWAY => *goodbye_received = true,
            _ => unmatched += 1,
        }
    }
    input.drain(..used);
    (responses, unmatched)
}

/// Decodes the payload of a response frame.
#[must_use]
pub fn decode_response(payload: &[u8]) -> Option<ResponseOutcome> {
    let (&code, mut rest) = payload.split_first()?;
    let (&count, after) = rest.split_first()?;
    rest = after;
    let mut retry_after_ms = 0;
    for _ in 0..count {
        let (&size, after) = rest.split_first()?;
        let (name, after) = after.split_at_checked(usize::from(size))?;
        let (size, after) = after.split_first_chunk()?;
        let (value, after) = after.split_at_checked(usize::from(u16::from_be_bytes(*size)))?;
        if name == b"later" {
            retry_after_ms = std::str::from_utf8(value).ok()?.parse().ok()?;
        }
        rest = after;
    }
    match code {
        0 => Some(ResponseOutcome::Served(rest.to_vec())),
        1 => Some(ResponseOutcome::Rejected(retry_after_ms)),
        2 => Some(ResponseOutcome::Failed),
        _ => None,
    }
}

impl Service for Callers {
    fn on_open(&mut self, _: Micros, connection: ConnectionId, out: &mut Vec<Effect>) {
        let unsent = if let Some(state) = self.frames.get_mut(&connection) {
            state.established = true;
            std::mem::take(&mut state.unsent)
        } else if let Some(state) = self.ajp.get_mut(&connection) {
            state.established = true;
            std::mem::take(&mut state.unsent)
        } else {
            return;
        };
        out.push(Effect::Send(connection, unsent));
    }

    fn on_data(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) {
        match self.plan.protocol {
            Protocol::Frames => self.on_frame_data(now, connection, bytes, out),
            Protocol::Ajp => self.on_ajp_data(now, connection, bytes, out),
        }
    }

    fn on_close(&mut self, now: Micros, connection: ConnectionId, out: &mut Vec<Effect>) {
        self.idle.retain(|idle| *idle != connection);
        let mut unanswered = Vec::new();
        let mut established = true;
        if let Some(state) = self.frames.remove(&connection) {
            established = state.established;
            unanswered.extend(state.open.into_values());
        }
        if let Some(state) = self.ajp.remove(&connection) {
            established = state.established;
            match state.request {
                // AJP has no goodbye: a request that crosses the closing of an idle connection is
                // sent once more, as with frames.
                Some(request)
                    if !request.retried
                        && state
                            .reused_at
                            .is_some_and(|scheduled_at| now < scheduled_at + CLOSE_RACE_WINDOW) =>
                {
                    self.queue.push_front(OpenRequest {
                        retried: true,
                        ..request
                    });
                }
                request => unanswered.extend(request),
            }
        }
        for request in unanswered {
            let tally = &mut self.tallies[request.class];
            if established {
                tally.unanswered += 1;
                self.unanswered_ids.push(request.id);
            } else {
                tally.not_sent += 1;
            }
        }
        if self.plan.protocol == Protocol::Ajp {
            self.send_by_ajp(now, out);
        }
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(scheduled_at) = self.next_at.filter(|scheduled_at| *scheduled_at <= now) {
            let Some(rate) = self.rate(scheduled_at) else {
                self.next_at = None;
                return;
            };
            if !std::mem::take(&mut self.skip_next_request) {
                self.issue_request(now, scheduled_at, out);
            }
            let mean = 1e6 / (rate * self.rate_share).max(0.001);
            let draw: f64 = self.random.random_range(1e-9..1.0);
            let gap = if self.plan.random_intervals {
                -draw.ln() * mean
            } else {
                mean
            };
            // The rate share may change during a long interval; an exponential one may be drawn
            // anew at any time without changing the distribution.
            self.skip_next_request =
                self.rate_share != 1.0 && gap > RATE_SHARE_CHECK_INTERVAL as f64;
            let gap = if self.skip_next_request {
                RATE_SHARE_CHECK_INTERVAL
            } else {
                gap as Micros
            };
            self.next_at = Some(scheduled_at + gap.max(1));
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        self.next_at
    }
}
