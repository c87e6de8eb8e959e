//! The store's stand-in: calls over HTTP or AJP, whichever a connection begins with; slots, a line, slowing when
//! crowded, and replies that are lost, refused or cut off.

use crate::{ConnectionId, Effect, Service};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::codec::{
    self, packet_type, Direction, ForwardRequest, EMPTY_HEADER, MAX_HEADERS, PACKET_SIZE,
};
use cleatpulley_protocol::ajp::server::NOT_RUN_HEADER;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap};

/// How a store is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Calls that it works on at once without slowing.
    pub slots: usize,
    /// Time of a call while it is not crowded.
    pub call_time: Micros,
    /// Each further call beyond the slots makes all slower by this share.
    pub thrash: f64,
    /// Of a thousand calls, so many are turned away unseen.
    pub rejected_per_mille: u32,
    /// Of a thousand calls, so many run and get no reply.
    pub unanswered_per_mille: u32,
    /// Of a thousand calls, so many run and end in a reset.
    pub reset_per_mille: u32,
    /// Of a thousand calls, so many fail.
    pub failed_per_mille: u32,
    /// Of a thousand calls, so many run and get a reply that nobody can read, or that breaks off.
    pub malformed_per_mille: u32,
    /// For random numbers.
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

/// What was seen.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Calls read.
    pub calls: u64,
    /// Those that came over AJP.
    pub ajp_calls: u64,
    /// Most calls at once.
    pub peak_calls: usize,
    /// Connections accepted.
    pub connections: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Served,
    Failed,
    Refused,
    Lost,
    Reset,
    Spoilt,
}

#[derive(Debug, Default)]
struct Caller {
    input: Vec<u8>,
    /// It speaks AJP; not known before its first byte.
    ajp: Option<bool>,
    /// The rest of an AJP body that is still to come.
    body_left: usize,
    /// A call is being worked on.
    busy: bool,
}

/// The stand-in.
pub struct Store {
    setup: Setup,
    callers: HashMap<ConnectionId, Caller>,
    ends: BTreeSet<(Micros, ConnectionId)>,
    fates: HashMap<ConnectionId, (Micros, Fate)>,
    random: SmallRng,
    /// What was seen.
    pub stats: Stats,
    /// Times slower than usual.
    pub slowdown: f64,
}

impl Store {
    /// A store.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        let random = SmallRng::seed_from_u64(setup.seed);
        Self {
            setup,
            callers: HashMap::new(),
            ends: BTreeSet::new(),
            fates: HashMap::new(),
            random,
            stats: Stats::default(),
            slowdown: 1.0,
        }
    }

    /// From now on so many of a thousand calls are refused, lost, reset and failed, each.
    pub fn set_fault_rate(&mut self, per_mille: u32) {
        let of = &mut self.setup;
        (of.rejected_per_mille, of.unanswered_per_mille) = (per_mille / 4, per_mille / 4);
        (of.reset_per_mille, of.failed_per_mille) = (per_mille / 4, per_mille / 4);
    }

    /// From now on so many of a thousand replies are spoilt.
    pub fn set_malformed_rate(&mut self, per_mille: u32) {
        self.setup.malformed_per_mille = per_mille;
    }

    fn begin(&mut self, now: Micros, link: ConnectionId) {
        self.stats.calls += 1;
        let at = self.random.random_range(0..1_000);
        let setup = &self.setup;
        let mut bound = 0;
        let mut fate = Fate::Served;
        for (share, other) in [
            (setup.rejected_per_mille, Fate::Refused),
            (setup.unanswered_per_mille, Fate::Lost),
            (setup.reset_per_mille, Fate::Reset),
            (setup.failed_per_mille, Fate::Failed),
            (setup.malformed_per_mille, Fate::Spoilt),
        ] {
            if at >= bound && at < bound + share {
                fate = other;
            }
            bound += share;
        }
        let crowd = (self.ends.len() + 1).saturating_sub(setup.slots) as f64;
        let time = setup.call_time as f64 * (1.0 + setup.thrash * crowd) * self.slowdown;
        let end = now
            + if fate == Fate::Refused {
                0
            } else {
                time as Micros
            };
        self.ends.insert((end, link));
        self.stats.peak_calls = self.stats.peak_calls.max(self.ends.len());
        self.fates.insert(link, (end, fate));
        if let Some(caller) = self.callers.get_mut(&link) {
            caller.busy = true;
        }
    }

    /// Reads what is whole of a caller's bytes; one call at a time.
    fn read(&mut self, now: Micros, link: ConnectionId, out: &mut Vec<Effect>) {
        loop {
            let Some(caller) = self.callers.get_mut(&link) else {
                return;
            };
            if caller.busy {
                return;
            }
            let Some(&first) = caller.input.first() else {
                return;
            };
            let ajp = *caller.ajp.get_or_insert(first == 0x12);
            let read = if ajp {
                read_ajp(caller)
            } else {
                read_http(caller)
            };
            match read {
                Ok(Read::Short) => return,
                Ok(Read::Passed(bytes)) => {
                    if !bytes.is_empty() {
                        out.push(Effect::Send(link, bytes));
                    }
                }
                Ok(Read::Call) => {
                    self.stats.ajp_calls += u64::from(ajp);
                    self.begin(now, link);
                }
                Err(()) => {
                    self.forget(link);
                    out.push(Effect::Close(link));
                    return;
                }
            }
        }
    }

    fn forget(&mut self, link: ConnectionId) {
        self.callers.remove(&link);
        if let Some((end, _)) = self.fates.remove(&link) {
            self.ends.remove(&(end, link));
        }
    }
}

enum Read {
    Short,
    /// Something that is no call, and what is sent for it.
    Passed(Vec<u8>),
    Call,
}

fn read_http(caller: &mut Caller) -> Result<Read, ()> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(&caller.input) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(Read::Short),
        Err(_) => return Err(()),
    };
    let length = request
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("Content-Length"));
    let length =
        length.and_then(|header| std::str::from_utf8(header.value).ok()?.trim().parse().ok());
    let whole = head + length.unwrap_or(0usize).min(1_048_576);
    if caller.input.len() < whole {
        return Ok(Read::Short);
    }
    caller.input.drain(..whole);
    Ok(Read::Call)
}

fn read_ajp(caller: &mut Caller) -> Result<Read, ()> {
    let payload = match codec::parse_packet(&caller.input, Direction::ToServer, PACKET_SIZE) {
        Ok(Some(payload)) => payload,
        Ok(None) => return Ok(Read::Short),
        Err(_) => return Err(()),
    };
    let end = payload.end;
    let bytes = &caller.input[payload];
    let read = if caller.body_left > 0 {
        let data = codec::decode_body(bytes).map_err(|_| ())?.len();
        caller.body_left = caller.body_left.checked_sub(data).ok_or(())?;
        if caller.body_left == 0 {
            Read::Call
        } else {
            let mut ask = Vec::new();
            codec::push_get_body(
                &mut ask,
                caller.body_left.min(PACKET_SIZE - codec::BODY_OVERHEAD),
            );
            Read::Passed(ask)
        }
    } else if bytes == [packet_type::CPING] {
        let mut pong = Vec::new();
        codec::push_cpong(&mut pong);
        Read::Passed(pong)
    } else {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let request = ForwardRequest::decode(bytes, &mut headers).map_err(|_| ())?;
        let length = request
            .header("content-length")
            .map(|value| std::str::from_utf8(value).unwrap_or("x"));
        caller.body_left = length.map_or(Ok(0), |text| text.parse::<usize>().map_err(|_| ()))?;
        if caller.body_left == 0 {
            Read::Call
        } else {
            Read::Passed(Vec::new())
        }
    };
    caller.input.drain(..end);
    Ok(read)
}

fn reply(ajp: bool, fate: Fate) -> Vec<u8> {
    let (status, message, body) = match fate {
        Fate::Refused => (503, "Service Unavailable", &b""[..]),
        Fate::Failed => (500, "Internal Server Error", &b""[..]),
        _ => (200, "OK", &b"entry of the ledger"[..]),
    };
    let length = body.len().to_string();
    let mut headers = vec![("Content-Length", length.as_str())];
    if fate == Fate::Refused {
        headers.push((NOT_RUN_HEADER, "1"));
    }
    let mut out = Vec::new();
    if ajp {
        // So little fits into any packet.
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

/// A reply that is none, and whether the connection ends after it.
fn spoilt(ajp: bool, which: u64) -> (Vec<u8>, bool) {
    let mut bytes = reply(ajp, Fate::Served);
    match which % 6 {
        // It breaks off.
        0 => bytes.truncate(bytes.len() / 2),
        1 => bytes.truncate(bytes.len() - 1),
        // Its first bytes are others.
        2 => bytes[..4].copy_from_slice(b"\xFF\x00\r\n"),
        // A second one that nobody asked for.
        3 => bytes.extend_from_within(..),
        // One without an end.
        4 => bytes = vec![b'x'; 40_000],
        // A length that is too long, or no number.
        _ => match bytes.iter().position(|byte| *byte == b'1' && !ajp) {
            Some(at) if bytes.len() > 40 => bytes
                .splice(at.max(33)..at.max(33) + 2, *b"-9")
                .for_each(drop),
            _ => bytes[2..4].copy_from_slice(&[0xFF, 0xFF]),
        },
    }
    (bytes, matches!(which % 6, 0 | 1))
}

impl Service for Store {
    fn on_open(&mut self, _: Micros, link: ConnectionId, _: &mut Vec<Effect>) {
        self.stats.connections += 1;
        self.callers.insert(link, Caller::default());
    }

    fn on_data(&mut self, now: Micros, link: ConnectionId, bytes: &[u8], out: &mut Vec<Effect>) {
        if let Some(caller) = self.callers.get_mut(&link) {
            caller.input.extend_from_slice(bytes);
            self.read(now, link, out);
        }
    }

    fn on_close(&mut self, _: Micros, link: ConnectionId, _: &mut Vec<Effect>) {
        // Closing the connection gives up the call.
        self.forget(link);
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(&(end, link)) = self.ends.first() {
            if end > now {
                break;
            }
            self.ends.pop_first();
            let Some((_, fate)) = self.fates.remove(&link) else {
                continue;
            };
            let Some(caller) = self.callers.get_mut(&link) else {
                continue;
            };
            caller.busy = false;
            match fate {
                Fate::Lost => caller.busy = true,
                Fate::Reset => {
                    self.callers.remove(&link);
                    out.push(Effect::Reset(link));
                }
                Fate::Spoilt => {
                    let (bytes, ends) = spoilt(caller.ajp == Some(true), self.stats.calls);
                    out.push(Effect::Send(link, bytes));
                    if ends {
                        self.callers.remove(&link);
                        out.push(Effect::Close(link));
                    }
                }
                fate => {
                    out.push(Effect::Send(link, reply(caller.ajp == Some(true), fate)));
                    self.read(now, link, out);
                }
            }
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        self.ends.first().map(|&(end, _)| end)
    }
}
