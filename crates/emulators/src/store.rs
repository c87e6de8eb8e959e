//! Emulates the store: calls over HTTP or AJP, detected from the first byte of a connection; slots,
//! slower calls beyond them, and replies that are lost, rejected, reset, failed or malformed.

use crate::{ConnectionId, Effect, Service};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::codec::{
    self, packet_type, Direction, ForwardRequest, EMPTY_HEADER, MAX_HEADERS, PACKET_SIZE,
};
use cleatpulley_protocol::ajp::server::NOT_RUN_HEADER;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap};

/// Configuration of the store.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Number of concurrent calls that it handles without slowing down.
    pub slots: usize,
    /// Duration of a call while no more than `slots` calls are in progress.
    pub call_time: Micros,
    /// Share by which each concurrent call beyond the slots lengthens a new call.
    pub thrash: f64,
    /// Calls rejected without running, of each thousand.
    pub rejected_per_mille: u32,
    /// Calls that run and get no reply, of each thousand.
    pub unanswered_per_mille: u32,
    /// Calls that run and end in a connection reset, of each thousand.
    pub reset_per_mille: u32,
    /// Calls that fail, of each thousand.
    pub failed_per_mille: u32,
    /// Calls that run and get a malformed or truncated reply, of each thousand.
    pub malformed_per_mille: u32,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            slots: 64,
            call_time: 10_000,
            thrash: 0.02,
            rejected_per_mille: 0,
            unanswered_per_mille: 0,
            reset_per_mille: 0,
            failed_per_mille: 0,
            malformed_per_mille: 0,
            seed: 1,
        }
    }
}

/// Counters of what happened.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Calls received.
    pub calls: u64,
    /// Calls received over AJP.
    pub ajp_calls: u64,
    /// Maximum number of concurrent calls.
    pub peak_calls: usize,
    /// Connections accepted.
    pub connections: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum CallOutcome {
    Served,
    Failed,
    Rejected,
    Unanswered,
    Reset,
    Malformed,
}

#[derive(Debug, Default)]
struct Connection {
    input: Vec<u8>,
    /// Whether the connection speaks AJP; unknown before its first byte.
    ajp: Option<bool>,
    /// Bytes of an AJP request body that have not arrived yet.
    remaining_body: usize,
    /// Whether a call is in progress.
    busy: bool,
}

/// The emulated store.
pub struct Store {
    setup: Setup,
    connections: HashMap<ConnectionId, Connection>,
    call_ends: BTreeSet<(Micros, ConnectionId)>,
    outcomes: HashMap<ConnectionId, (Micros, CallOutcome)>,
    random: SmallRng,
    /// Counters of what happened.
    pub stats: Stats,
    /// Factor by which calls take longer than usual.
    pub slowdown: f64,
}

impl Store {
    /// Creates a store without connections.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        let random = SmallRng::seed_from_u64(setup.seed);
        Self {
            setup,
            connections: HashMap::new(),
            call_ends: BTreeSet::new(),
            outcomes: HashMap::new(),
            random,
            stats: Stats::default(),
            slowdown: 1.0,
        }
    }

    /// Sets how many of each thousand calls are rejected, left unanswered, reset or failed, a
    /// quarter each.
    pub fn set_fault_rate(&mut self, per_mille: u32) {
        let setup = &mut self.setup;
        (setup.rejected_per_mille, setup.unanswered_per_mille) = (per_mille / 4, per_mille / 4);
        (setup.reset_per_mille, setup.failed_per_mille) = (per_mille / 4, per_mille / 4);
    }

    /// Sets how many of each thousand replies are malformed.
    pub fn set_malformed_rate(&mut self, per_mille: u32) {
        self.setup.malformed_per_mille = per_mille;
    }

    fn start_call(&mut self, now: Micros, connection: ConnectionId) {
        self.stats.calls += 1;
        let draw = self.random.random_range(0..1_000);
        let setup = &self.setup;
        let mut upper_bound = 0;
        let mut outcome = CallOutcome::Served;
        for (share, other) in [
            (setup.rejected_per_mille, CallOutcome::Rejected),
            (setup.unanswered_per_mille, CallOutcome::Unanswered),
            (setup.reset_per_mille, CallOutcome::Reset),
            (setup.failed_per_mille, CallOutcome::Failed),
            (setup.malformed_per_mille, CallOutcome::Malformed),
        ] {
            if draw >= upper_bound && draw < upper_bound + share {
                outcome = other;
            }
            upper_bound += share;
        }
        let excess_calls = (self.call_ends.len() + 1).saturating_sub(setup.slots) as f64;
        let time = setup.call_time as f64 * (1.0 + setup.thrash * excess_calls) * self.slowdown;
        let end = now
            + if outcome == CallOutcome::Rejected {
                0
            } else {
                time as Micros
            };
        self.call_ends.insert((end, connection));
        self.stats.peak_calls = self.stats.peak_calls.max(self.call_ends.len());
        self.outcomes.insert(connection, (end, outcome));
        if let Some(state) = self.connections.get_mut(&connection) {
            state.busy = true;
        }
    }

    /// Processes the complete messages in a connection's input, one call at a time.
    fn process_input(&mut self, now: Micros, connection: ConnectionId, out: &mut Vec<Effect>) {
        loop {
            let Some(state) = self.connections.get_mut(&connection) else {
                return;
            };
            if state.busy {
                return;
            }
            let Some(&first) = state.input.first() else {
                return;
            };
            let ajp = *state.ajp.get_or_insert(first == 0x12);
            let message = if ajp {
                read_ajp(state)
            } else {
                read_http(state)
            };
            match message {
                Ok(Message::Incomplete) => return,
                Ok(Message::NotACall(bytes)) => {
                    if !bytes.is_empty() {
                        out.push(Effect::Send(connection, bytes));
                    }
                }
                Ok(Message::Call) => {
                    self.stats.ajp_calls += u64::from(ajp);
                    self.start_call(now, connection);
                }
                Err(()) => {
                    self.remove_connection(connection);
                    out.push(Effect::Close(connection));
                    return;
                }
            }
        }
    }

    fn remove_connection(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
        if let Some((end, _)) = self.outcomes.remove(&connection) {
            self.call_ends.remove(&(end, connection));
        }
    }
}

enum Message {
    Incomplete,
    /// A message that completes no call, and the bytes to send in response.
    NotACall(Vec<u8>),
    Call,
}

fn read_http(state: &mut Connection) -> Result<Message, ()> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    let head_length = match request.parse(&state.input) {
        Ok(httparse::Status::Complete(head_length)) => head_length,
        Ok(httparse::Status::Partial) => return Ok(Message::Incomplete),
        Err(_) => return Err(()),
    };
    let length = request
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("Content-Length"));
    let length =
        length.and_then(|header| std::str::from_utf8(header.value).ok()?.trim().parse().ok());
    let request_length = head_length + length.unwrap_or(0usize).min(1_048_576);
    if state.input.len() < request_length {
        return Ok(Message::Incomplete);
    }
    state.input.drain(..request_length);
    Ok(Message::Call)
}

fn read_ajp(state: &mut Connection) -> Result<Message, ()> {
    let payload = match codec::parse_packet(&state.input, Direction::ToServer, PACKET_SIZE) {
        Ok(Some(payload)) => payload,
        Ok(None) => return Ok(Message::Incomplete),
        Err(_) => return Err(()),
    };
    let end = payload.end;
    let bytes = &state.input[payload];
    let message = if state.remaining_body > 0 {
        let data = codec::decode_body(bytes).map_err(|_| ())?.len();
        state.remaining_body = state.remaining_body.checked_sub(data).ok_or(())?;
        if state.remaining_body == 0 {
            Message::Call
        } else {
            let mut get_body = Vec::new();
            codec::push_get_body(
                &mut get_body,
                state.remaining_body.min(PACKET_SIZE - codec::BODY_OVERHEAD),
            );
            Message::NotACall(get_body)
        }
    } else if bytes == [packet_type::CPING] {
        let mut pong = Vec::new();
        codec::push_cpong(&mut pong);
        Message::NotACall(pong)
    } else {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let request = ForwardRequest::decode(bytes, &mut headers).map_err(|_| ())?;
        let length = request
            .header("content-length")
            .map(|value| std::str::from_utf8(value).unwrap_or("x"));
        state.remaining_body =
            length.map_or(Ok(0), |text| text.parse::<usize>().map_err(|_| ()))?;
        if state.remaining_body == 0 {
            Message::Call
        } else {
            Message::NotACall(Vec::new())
        }
    };
    state.input.drain(..end);
    Ok(message)
}

fn reply(ajp: bool, outcome: CallOutcome) -> Vec<u8> {
    let (status, message, body) = match outcome {
        CallOutcome::Rejected => (503, "Service Unavailable", &b""[..]),
        CallOutcome::Failed => (500, "Internal Server Error", &b""[..]),
        _ => (200, "OK", &b"entry of the ledger"[..]),
    };
    let length = body.len().to_string();
    let mut headers = vec![("Content-Length", length.as_str())];
    if outcome == CallOutcome::Rejected {
        headers.push((NOT_RUN_HEADER, "1"));
    }
    let mut out = Vec::new();
    if ajp {
        // The headers always fit into a packet.
        let _ = codec::push_send_headers(&mut out, status, message, &headers, PACKET_SIZE);
        codec::push_body_chunks(&mut out, body, PACKET_SIZE);
        codec::push_end_response(&mut out, true);
    } else {
        out.extend_from_slice(format!("HTTP/1.1 {status} {message}\r\n").as_bytes());
        for (name, value) in headers {
            out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
    }
    out
}

/// Returns a malformed reply, and whether the connection is closed after it.
fn malformed_reply(ajp: bool, variant: u64) -> (Vec<u8>, bool) {
    let mut bytes = reply(ajp, CallOutcome::Served);
    match variant % 6 {
        // Truncated.
        0 => bytes.truncate(bytes.len() / 2),
        1 => bytes.truncate(bytes.len() - 1),
        // Wrong first bytes.
        2 => bytes[..4].copy_from_slice(b"\xFF\x00\r\n"),
        // A duplicate that belongs to no call.
        3 => bytes.extend_from_within(..),
        // Without an end.
        4 => bytes = vec![b'x'; 40_000],
        // A length that is too large or not a number.
        _ => match bytes.iter().position(|byte| *byte == b'1' && !ajp) {
            Some(position) if bytes.len() > 40 => bytes
                .splice(position.max(33)..position.max(33) + 2, *b"-9")
                .for_each(drop),
            _ => bytes[2..4].copy_from_slice(&[0xFF, 0xFF]),
        },
    }
    (bytes, matches!(variant % 6, 0 | 1))
}

impl Service for Store {
    fn on_open(&mut self, _: Micros, connection: ConnectionId, _: &mut Vec<Effect>) {
        self.stats.connections += 1;
        self.connections.insert(connection, Connection::default());
    }

    fn on_data(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) {
        if let Some(state) = self.connections.get_mut(&connection) {
            state.input.extend_from_slice(bytes);
            self.process_input(now, connection, out);
        }
    }

    fn on_close(&mut self, _: Micros, connection: ConnectionId, _: &mut Vec<Effect>) {
        // Closing the connection cancels the call.
        self.remove_connection(connection);
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(&(end, connection)) = self.call_ends.first() {
            if end > now {
                break;
            }
            self.call_ends.pop_first();
            let Some((_, outcome)) = self.outcomes.remove(&connection) else {
                continue;
            };
            let Some(state) = self.connections.get_mut(&connection) else {
                continue;
            };
            state.busy = false;
            match outcome {
                CallOutcome::Unanswered => state.busy = true,
                CallOutcome::Reset => {
                    self.connections.remove(&connection);
                    out.push(Effect::Reset(connection));
                }
                CallOutcome::Malformed => {
                    let (bytes, closes) =
                        malformed_reply(state.ajp == Some(true), self.stats.calls);
                    out.push(Effect::Send(connection, bytes));
                    if closes {
                        self.connections.remove(&connection);
                        out.push(Effect::Close(connection));
                    }
                }
                outcome => {
                    out.push(Effect::Send(
                        connection,
                        reply(state.ajp == Some(true), outcome),
                    ));
                    self.process_input(now, connection, out);
                }
            }
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        self.call_ends.first().map(|&(end, _)| end)
    }
}
