//! Connections to targets, by frames or by AJP: what is sent on, and what comes back.

mod asking;

use super::core::{Number, Reply};
use asking::{push_ajp, push_frame};
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
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Requests that may be open on a connection by frames.
const OPEN: usize = 32;
/// Bytes read from a connection in one turn.
const READ_AT_ONCE: usize = 65_536;
/// A connection that nothing is open on is closed after this time; matchers close theirs later.
const IDLE: Micros = 5_000_000;

/// What targets speak.
#[derive(Debug, Clone)]
pub enum TargetProtocol {
    /// Frames.
    Frames,
    /// AJP.
    Ajp(Options),
}

/// Headers that carry a request's figures to and from AJP.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The id.
    pub id: String,
    /// The work, in ms.
    pub work_ms: String,
    /// The memory, in KB.
    pub memory_kb: String,
    /// The rank.
    pub rank: String,
    /// The caller's number.
    pub caller: String,
    /// The subject.
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

enum Kind {
    Frames {
        /// By stream: the request, unless nobody waits for it, and where its frame ends in all that was to be sent.
        open: BTreeMap<u32, (Option<Number>, u64)>,
        streams: u32,
        /// No new request may go there.
        gone: bool,
    },
    Ajp {
        client: Box<Client>,
        asked: Option<Number>,
    },
}

struct Line<W: Host> {
    conn: BufferedConnection<W>,
    to: Arc<str>,
    kind: Kind,
    up: bool,
    /// Bytes that were to be sent, and that were.
    pushed: u64,
    written: u64,
    used: Micros,
}

/// The connections.
pub struct Upstream<W: Host> {
    world: W,
    speaks: TargetProtocol,
    names: HeaderNames,
    classes: Vec<String>,
    /// Where each target's address leads.
    addresses: HashMap<Arc<str>, SocketAddr>,
    /// Connections to one target at most.
    most: usize,
    lines: BTreeMap<u64, Line<W>>,
    /// The connections to each target: a fleet has many, and a send looks at its target's alone.
    by_target: HashMap<Arc<str>, Vec<u64>>,
    next: u64,
    noted: Vec<u64>,
    /// Targets whose last connection failed: an operator is told once, and when they answer again.
    failing: BTreeSet<Arc<str>>,
    /// The connection that a request is on.
    at: HashMap<Number, (u64, u32)>,
    /// TLS to the targets, where it is spoken.
    tls: Option<TargetTls>,
}

/// TLS on the links to targets: what they share, the name that their certificates are to hold where it is not the
/// target's own host, and the clock that certificates are judged by.
#[derive(Clone, Debug)]
pub struct TargetTls {
    /// What the sessions share.
    pub config: std::sync::Arc<cleatpulley_tls::rustls::ClientConfig>,
    /// The name asked for of every target; none: the host of the target's name.
    pub server_name: Option<String>,
    /// The clock, which the gateway sets.
    pub clock: cleatpulley_tls::Clock,
}

/// The host of a target's name, without its port.
fn host(to: &str) -> &str {
    match to.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|b| b.is_ascii_digit()) => {
            host.trim_start_matches('[').trim_end_matches(']')
        }
        _ => to,
    }
}

impl<W: Host> Upstream<W> {
    /// Without any connection yet.
    #[must_use]
    pub fn new(
        world: W,
        speaks: TargetProtocol,
        names: HeaderNames,
        classes: Vec<String>,
        addresses: HashMap<Arc<str>, SocketAddr>,
        most: usize,
    ) -> Self {
        let (lines, noted, at) = (BTreeMap::new(), Vec::new(), HashMap::new());
        Self {
            world,
            speaks,
            names,
            classes,
            addresses,
            most: most.max(1),
            lines,
            by_target: HashMap::new(),
            failing: BTreeSet::new(),
            next: 1,
            noted,
            at,
            tls: None,
        }
    }

    /// TargetProtocol TLS to the targets from now on.
    pub fn set_tls(&mut self, links: TargetTls) {
        self.tls = Some(links);
    }

    /// Where targets' addresses lead from now on; connections that stand go on.
    pub fn set_addresses(&mut self, addresses: HashMap<Arc<str>, SocketAddr>) {
        self.addresses = addresses;
    }

    /// Connections that stand or are being made.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.lines.len()
    }

    /// A connection may be read from or written to.
    pub fn note(&mut self, number: u64, readiness: Readiness) {
        if let Some(line) = self.lines.get_mut(&number) {
            line.conn.on_readiness(readiness);
            self.noted.push(number);
        }
    }

    /// Sends a request to a target. Where it can't be sent, that is among the replies; a target all of whose connections are
    /// full is not at fault.
    pub fn send(
        &mut self,
        now: Micros,
        number: Number,
        to: &Arc<str>,
        uri: &str,
        arrival: &IncomingRequest,
        replies: &mut Vec<(Number, Reply)>,
    ) {
        let line = match self.line(now, to) {
            Ok(line) => line,
            Err(what) => return replies.push((number, Reply::Nothing(what))),
        };
        let (speaks_names, classes) = (&self.names, &self.classes);
        let Some(at) = self.lines.get_mut(&line) else {
            return;
        };
        let before = at.conn.output().len();
        let sent = match &mut at.kind {
            Kind::Frames { open, streams, .. } => {
                *streams += 1;
                push_frame(at.conn.output(), *streams, arrival, classes, speaks_names);
                let length = (at.conn.output().len() - before) as u64;
                open.insert(*streams, (Some(number), at.pushed + length));
                self.at.insert(number, (line, *streams));
                true
            }
            Kind::Ajp { client, asked } => {
                let sent = push_ajp(at.conn.output(), now, client, uri, arrival, speaks_names);
                *asked = sent.then_some(number);
                if sent {
                    self.at.insert(number, (line, 0));
                }
                sent
            }
        };
        at.pushed += (at.conn.output().len() - before) as u64;
        at.used = now;
        if !sent {
            // Its head does not fit into a packet.
            let answer = Response::Direct {
                status: 431,
                body: b"the head is too large".to_vec(),
            };
            replies.push((number, Reply::Answered(answer)));
        }
        self.noted.push(line);
    }

    /// A connection that can take one more request; a new one where all are full and there may be more.
    fn line(&mut self, now: Micros, to: &Arc<str>) -> Result<u64, AttemptFailure> {
        let free = |line: &Line<W>| match &line.kind {
            Kind::Frames { open, gone, .. } if !gone && open.len() < OPEN => Some(open.len()),
            Kind::Ajp {
                asked: None,
                client,
            } if client.is_idle() => Some(0),
            _ => None,
        };
        let own = self.by_target.get(to).map_or(&[][..], |own| own);
        let here = || {
            own.iter()
                .filter_map(|number| Some((number, self.lines.get(number)?)))
                .filter(|(_, line)| !line.conn.is_read_closed)
        };
        let best = here()
            .filter_map(|(number, line)| Some((free(line)?, *number)))
            .min();
        let count = here().count();
        match best {
            Some((open, number)) if open == 0 || count >= self.most => return Ok(number),
            None if count >= self.most => {
                return Err(AttemptFailure::Rejected {
                    retry_after: 0,
                    no_failover: false,
                })
            }
            _ => {}
        }
        let address = *self.addresses.get(to).ok_or(AttemptFailure::NotSent)?;
        let number = self.next;
        self.next += 1;
        let kind = match &self.speaks {
            TargetProtocol::Frames => Kind::Frames {
                open: BTreeMap::new(),
                streams: 0,
                gone: false,
            },
            TargetProtocol::Ajp(options) => Kind::Ajp {
                client: Box::new(Client::new(options.clone(), now)),
                asked: None,
            },
        };
        let secured = |mut conn: BufferedConnection<W>| -> std::io::Result<BufferedConnection<W>> {
            if let Some(links) = &self.tls {
                let name = links.server_name.as_deref().unwrap_or_else(|| host(to));
                let session = Session::connect(std::sync::Arc::clone(&links.config), name);
                conn.set_tls(TlsLayer::client(session.map_err(std::io::Error::other)?));
            }
            Ok(conn)
        };
        match BufferedConnection::connect(&self.world, address, SocketOwner::GatewayTarget(number))
            .and_then(secured)
        {
            Ok(conn) => {
                let line = Line {
                    conn,
                    to: to.clone(),
                    kind,
                    up: false,
                    pushed: 0,
                    written: 0,
                    used: now,
                };
                self.lines.insert(number, line);
                self.by_target.entry(to.clone()).or_default().push(number);
                Ok(number)
            }
            Err(e) => {
                if self.failing.insert(to.clone()) {
                    tracing::warn!("target {to}: {e}");
                }
                best.map(|(_, number)| number)
                    .ok_or(AttemptFailure::NotSent)
            }
        }
    }

    /// Whether a request may still reach its target, or has: what was put on a connection that stands can't be taken back.
    #[must_use]
    pub fn is_written(&self, number: Number) -> bool {
        let Some((line, _)) = self.at.get(&number) else {
            return false;
        };
        self.lines.get(line).is_some_and(|line| match &line.kind {
            Kind::Frames { .. } => line.up,
            // The connection ends with the request: what was not handed to the system never arrives.
            Kind::Ajp { client, .. } => {
                line.up
                    && client.execution_state(line.conn.unsent_bytes())
                        == ExecutionState::MayHaveRun
            }
        })
    }

    /// Nobody waits for a request's reply any more. A connection that never stood goes with it: the request's bytes would
    /// be sent once it does, and run beside the next try. Others on it are among the replies.
    pub fn abandon(&mut self, number: Number, replies: &mut Vec<(Number, Reply)>) {
        let Some((at, stream)) = self.at.remove(&number) else {
            return;
        };
        let Some(line) = self.lines.get_mut(&at) else {
            return;
        };
        match &mut line.kind {
            Kind::Frames { open, .. } if line.up => {
                if let Some(open) = open.get_mut(&stream) {
                    open.0 = None;
                }
            }
            Kind::Frames { open, .. } => {
                open.remove(&stream);
                self.close(at, replies);
            }
            // Its reply would be taken for the next one's.
            Kind::Ajp { .. } => {
                self.remove(at);
            }
        }
    }

    /// Sends what is to be sent, and reads what has come.
    pub fn turn(&mut self, now: Micros, replies: &mut Vec<(Number, Reply)>) {
        if let Some(links) = &self.tls {
            links.clock.set(now);
        }
        let mut noted = std::mem::take(&mut self.noted);
        noted.sort_unstable();
        noted.dedup();
        for number in noted {
            let Some(line) = self.lines.get_mut(&number) else {
                continue;
            };
            let mut told = Vec::new();
            let stands = match line.serve(now, &mut told) {
                Ok(more) => {
                    if more {
                        self.noted.push(number);
                    }
                    !line.is_over()
                }
                Err(what) => {
                    if self.failing.insert(line.to.clone()) {
                        tracing::warn!("target {}: {what}", line.to);
                    }
                    false
                }
            };
            if !told.is_empty() && self.failing.remove(&line.to) {
                tracing::info!("target {}: it answers again", line.to);
            }
            for (number, reply) in told {
                if !matches!(reply, Reply::Advised(_)) {
                    self.at.remove(&number);
                }
                replies.push((number, reply));
            }
            if !stands {
                self.close(number, replies);
            }
        }
    }

    /// A connection is over: what was open on it came to nothing.
    fn close(&mut self, number: u64, replies: &mut Vec<(Number, Reply)>) {
        let Some(line) = self.remove(number) else {
            return;
        };
        match line.kind {
            Kind::Frames { open, .. } => {
                for (_, (asked, end)) in open {
                    let Some(asked) = asked else { continue };
                    self.at.remove(&asked);
                    // Also after a goodbye: a target that is killed then ends its connections as one that has answered
                    // all does.
                    let unread = line.written < end;
                    replies.push((
                        asked,
                        Reply::Nothing(if unread {
                            AttemptFailure::NotSent
                        } else {
                            AttemptFailure::ConnectionLost
                        }),
                    ));
                }
            }
            Kind::Ajp {
                client,
                asked: Some(asked),
            } => {
                self.at.remove(&asked);
                let unread = !line.up
                    || client.execution_state(line.conn.unsent_bytes()) == ExecutionState::NeverRan;
                replies.push((
                    asked,
                    Reply::Nothing(if unread {
                        AttemptFailure::NotSent
                    } else {
                        AttemptFailure::ConnectionLost
                    }),
                ));
            }
            Kind::Ajp { .. } => {}
        }
    }

    /// More can be done at once.
    #[must_use]
    pub fn has_more(&self) -> bool {
        !self.noted.is_empty()
    }

    /// Closes what has been idle for long.
    pub fn sweep(&mut self, now: Micros) {
        let is_idle = |line: &Line<W>| match &line.kind {
            Kind::Frames { open, .. } => open.is_empty(),
            Kind::Ajp { asked, .. } => asked.is_none(),
        };
        let idle = self
            .lines
            .iter()
            .filter(|(_, line)| is_idle(line) && now >= line.used + IDLE);
        let idle: Vec<u64> = idle.map(|(number, _)| *number).collect();
        for number in idle {
            self.remove(number);
        }
    }

    fn remove(&mut self, number: u64) -> Option<Line<W>> {
        let line = self.lines.remove(&number)?;
        if let Some(own) = self.by_target.get_mut(&line.to) {
            own.retain(|other| *other != number);
            if own.is_empty() {
                self.by_target.remove(&line.to);
            }
        }
        Some(line)
    }
}

impl<W: Host> Line<W> {
    /// Whether more can be read at once.
    fn serve(&mut self, now: Micros, replies: &mut Vec<(Number, Reply)>) -> Result<bool, String> {
        let text = |e: std::io::Error| e.to_string();
        if !self.up {
            self.conn.take_error().map_err(text)?;
        }
        let sent = self.conn.flush().map_err(text)?;
        self.written += sent as u64;
        self.up |= sent > 0;
        let read = self.conn.read(READ_AT_ONCE);
        let input = std::mem::take(&mut self.conn.input);
        let taken = self.take(now, &input, replies);
        self.conn.input = input;
        self.conn.consume(taken?);
        // What came before the connection broke was taken all the same.
        let more = read.map_err(text)?;
        self.written += self.conn.flush().map_err(text)? as u64;
        Ok(more)
    }

    fn take(
        &mut self,
        now: Micros,
        input: &[u8],
        replies: &mut Vec<(Number, Reply)>,
    ) -> Result<usize, String> {
        let mut used = 0;
        match &mut self.kind {
            Kind::Frames { open, gone, .. } => loop {
                match codec::parse_frame(&input[used..]) {
                    ParsedFrame::Incomplete => return Ok(used),
                    ParsedFrame::Frame {
                        kind,
                        stream,
                        payload,
                    } => {
                        let bytes = &input[used..][payload.clone()];
                        used += payload.end;
                        self.used = now;
                        match kind {
                            codec::GO_AWAY => *gone = true,
                            codec::RESPONSE => {
                                let Some((asked, _)) = open.remove(&stream) else {
                                    return Err(format!(
                                        "an answer on stream {stream}, which is not open"
                                    ));
                                };
                                let (reply, advice) = read_answer(bytes)?;
                                if let Some(asked) = asked {
                                    replies
                                        .extend(advice.map(|most| (asked, Reply::Advised(most))));
                                    replies.push((asked, reply));
                                }
                            }
                            _ => {}
                        }
                    }
                    ParsedFrame::Oversized { .. } | ParsedFrame::InvalidLength(_) => {
                        return Err("a frame that can't be read".to_owned())
                    }
                }
            },
            Kind::Ajp { client, asked } => {
                let before = self.conn.output().len();
                let used = client
                    .receive(now, input, self.conn.output())
                    .map_err(|e| e.to_string())?;
                self.pushed += (self.conn.output().len() - before) as u64;
                if let Some(response) = client.take_response() {
                    self.used = now;
                    let number = |name: &str| {
                        response
                            .header(name)
                            .and_then(|text| text.parse::<f64>().ok())
                    };
                    if let Some(asked) = asked.take() {
                        replies.extend(
                            number(FEEDBACK_HEADER)
                                .map(|most| (asked, Reply::Advised(most as u32))),
                        );
                        let later = number(RETRY_AFTER_MS_HEADER).unwrap_or(0.0) as Micros * 1_000;
                        let last = response.header(NO_RETRY_HEADER) == Some("1");
                        let never = response.not_run();
                        replies.push((
                            asked,
                            match response.status {
                                200 => Reply::Answered(Response::Served(response.body)),
                                503 | 429 if never => Reply::Nothing(AttemptFailure::Rejected {
                                    retry_after: later,
                                    no_failover: last,
                                }),
                                status if never => Reply::Answered(Response::Direct {
                                    status,
                                    body: response.body,
                                }),
                                _ => Reply::Nothing(AttemptFailure::Failed),
                            },
                        ));
                    }
                    if !response.reuse {
                        self.conn.is_read_closed = true;
                    }
                }
                Ok(used)
            }
        }
    }

    fn is_over(&self) -> bool {
        let idle = match &self.kind {
            Kind::Frames { open, gone, .. } => *gone && open.is_empty(),
            Kind::Ajp { .. } => false,
        };
        self.conn.is_read_closed || idle
    }
}

/// Reads an answer by frames.
fn read_answer(payload: &[u8]) -> Result<(Reply, Option<u32>), String> {
    let broken = || "an answer that can't be read".to_owned();
    let (code, rest) = payload.split_first().ok_or_else(broken)?;
    let (fields, body) = codec::parse_fields(rest).ok_or_else(broken)?;
    let find = |name: &str| {
        fields
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| *value)
    };
    let advice = find("feedback")
        .and_then(|value| value.parse::<f64>().ok())
        .map(|most| most as u32);
    let reply = match code {
        0 => Reply::Answered(Response::Served(body.to_vec())),
        1 => {
            let later = find("later")
                .and_then(|ms| ms.parse::<Micros>().ok())
                .unwrap_or(0);
            let last = find("giveup") == Some("1");
            Reply::Nothing(AttemptFailure::Rejected {
                retry_after: later.saturating_mul(1_000),
                no_failover: last,
            })
        }
        // With words it is the request that is at fault.
        2 if !body.is_empty() => Reply::Answered(Response::Direct {
            status: 400,
            body: body.to_vec(),
        }),
        2 => Reply::Nothing(AttemptFailure::Failed),
        _ => return Err(broken()),
    };
    Ok((reply, advice))
}

#[cfg(test)]
mod tests;
