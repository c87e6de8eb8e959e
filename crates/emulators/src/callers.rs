//! Callers that ask on a schedule, whatever is answered: front ends by frames, proxies by AJP. They keep books of
//! their own, apart from the matcher's, from which the rules are judged.

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

/// With a changed share, the longest gap without a look at it.
const LOOK: Micros = 50_000;

/// What callers speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protocol {
    /// Frames, many requests on a connection.
    Frames,
    /// AJP, one request at a time on a connection.
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

/// A class as its callers see it.
#[derive(Debug, Clone)]
pub struct CallerClass {
    /// Its name; by AJP its path is a slash and this.
    pub name: String,
    /// Share of the requests.
    pub share: f64,
    /// The hint of its work, in microseconds.
    pub work: Micros,
    /// An answer is wanted within this time.
    pub latency_objective: Micros,
    /// A final answer is owed within this time.
    pub deadline: Micros,
}

/// What callers do.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// What they speak.
    pub protocol: Protocol,
    /// Where the matcher listens for it.
    pub address: SocketAddr,
    /// Connections at most.
    pub connections: usize,
    /// Requests a second, each until this time after the beginning.
    pub rates: Vec<(Micros, f64)>,
    /// The classes.
    pub classes: Vec<CallerClass>,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// A secret, for AJP.
    pub secret: Option<String>,
    /// Numbers of callers.
    pub caller_numbers: std::ops::Range<u64>,
    /// An answer may come so much later than it is owed.
    pub deadline_slack: Micros,
    /// Each request brings a key of its own: in this field of frames, or in the header `Idempotency-Key`.
    pub key_field: Option<String>,
    /// Gaps between requests are drawn, and not even.
    pub random_intervals: bool,
    /// For random numbers; two plans of one run need two seeds.
    pub seed: u64,
}

/// What became of the requests of a class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Sent.
    pub issued: u64,
    /// Served within the wanted time.
    pub on_time: u64,
    /// Served later.
    pub late: u64,
    /// Turned away, with the time to come back.
    pub rejected_with_retry_after: u64,
    /// Turned away without.
    pub rejected_without_retry_after: u64,
    /// Refused within a tenth of the wanted time.
    pub rejected_early: u64,
    /// Failed.
    pub failed: u64,
    /// Not answered, though their connection stood or was accepted.
    pub unanswered: u64,
    /// Their connection was refused: nothing ran.
    pub not_sent: u64,
    /// Answered after the time that an answer is owed in.
    pub overdue: u64,
    /// Served with something that no run made for them.
    pub wrong_result: u64,
}

impl Tally {
    /// Requests that have come to an end, whichever.
    #[must_use]
    pub fn ended(&self) -> u64 {
        let refused = self.rejected_with_retry_after + self.rejected_without_retry_after;
        self.on_time + self.late + refused + self.failed + self.unanswered + self.not_sent
    }

    /// Adds another's figures.
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
struct Asked {
    id: u64,
    kind: usize,
    at: Micros,
    /// It crossed the end of its connection once already.
    again: bool,
}

struct FrameLink {
    up: bool,
    gone: bool,
    input: Vec<u8>,
    open: BTreeMap<u32, Asked>,
    streams: u32,
    /// Sent once the connection stands.
    waiting: Vec<u8>,
}

struct AjpLink {
    client: Client,
    input: Vec<u8>,
    asked: Option<Asked>,
    /// When that was sent, on a connection that had carried one before.
    reused_at: Option<Micros>,
    waiting: Vec<u8>,
    up: bool,
}

/// The callers.
pub struct Callers {
    plan: LoadPlan,
    begin: Micros,
    next_at: Option<Micros>,
    /// Of the rate, so much is sent.
    share: f64,
    /// At the next time nothing is sent: it is only looked at again.
    looks: bool,
    random: SmallRng,
    links: ConnectionId,
    frames: BTreeMap<ConnectionId, FrameLink>,
    ajp: HashMap<ConnectionId, AjpLink>,
    idle: Vec<ConnectionId>,
    queue: VecDeque<Asked>,
    /// By class.
    pub tallies: Vec<Tally>,
    /// Answers that belong to no open request.
    pub unmatched_responses: u64,
    /// Latencies of what was served, by class, from the time it was meant to be sent.
    pub latencies: Vec<Vec<Micros>>,
    /// Ids turned away, which must never have run.
    pub rejected_ids: Vec<u64>,
    /// Ids without an answer whose connection had stood.
    pub unanswered_ids: Vec<u64>,
    /// All ids, and when they were meant to be sent.
    pub sent_requests: Vec<(u64, Micros)>,
    /// Ids of the first class.
    firsts: Vec<u64>,
    over: bool,
}

impl Callers {
    /// Callers that begin at this time.
    #[must_use]
    pub fn new(plan: LoadPlan, begin: Micros) -> Self {
        let tallies = vec![Tally::default(); plan.classes.len()];
        let latencies = vec![Vec::new(); plan.classes.len()];
        let random = SmallRng::seed_from_u64(plan.seed);
        Self {
            plan,
            begin,
            next_at: Some(begin),
            share: 1.0,
            looks: false,
            random,
            links: 1,
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
            firsts: Vec::new(),
            over: false,
        }
    }

    /// What they do.
    #[must_use]
    pub fn plan(&self) -> &LoadPlan {
        &self.plan
    }

    /// From now on so much of the rate is sent; it may be more than all. Gaps have to be random.
    pub fn set_rate_share(&mut self, share: f64) {
        self.share = share.max(0.0);
        self.looks |= self.share == 0.0;
    }

    /// Nothing more is sent, and nothing is waited for.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.next_at.is_none() && self.open_requests() == 0
    }

    /// Requests without an answer so far.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        let frames: usize = self.frames.values().map(|link| link.open.len()).sum();
        frames
            + self
                .ajp
                .values()
                .filter(|link| link.asked.is_some())
                .count()
            + self.queue.len()
    }

    /// Ids of the first class, which in trials of a gateway has an effect.
    #[must_use]
    pub fn first_class_ids(&self) -> &[u64] {
        &self.firsts
    }

    /// Sends nothing more.
    pub fn stop(&mut self) {
        self.next_at = None;
    }

    /// Counts what has no answer as lost; nothing more is taken.
    pub fn finish(&mut self) {
        self.next_at = None;
        if std::mem::replace(&mut self.over, true) {
            return;
        }
        let frames = self
            .frames
            .values_mut()
            .flat_map(|link| std::mem::take(&mut link.open).into_values());
        let ajp = self.ajp.values_mut().filter_map(|link| link.asked.take());
        for asked in frames.chain(ajp).chain(self.queue.drain(..)) {
            self.tallies[asked.kind].unanswered += 1;
            self.unanswered_ids.push(asked.id);
        }
    }

    /// All classes together.
    #[must_use]
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        self.tallies.iter().for_each(|tally| total.add(tally));
        total
    }

    fn rate(&self, now: Micros) -> Option<f64> {
        let since = now.saturating_sub(self.begin);
        self.plan
            .rates
            .iter()
            .find(|(until, _)| since < *until)
            .map(|(_, rate)| *rate)
    }

    fn ask(&mut self, now: Micros, at: Micros, out: &mut Vec<Effect>) {
        let mut place = self
            .random
            .random_range(0.0..self.plan.classes.iter().map(|kind| kind.share).sum());
        let mut kind = 0;
        for (i, other) in self.plan.classes.iter().enumerate() {
            kind = i;
            place -= other.share;
            if place < 0.0 {
                break;
            }
        }
        let asked = Asked {
            id: self.random.random(),
            kind,
            at,
            again: false,
        };
        self.tallies[kind].issued += 1;
        self.sent_requests.push((asked.id, at));
        if kind == 0 {
            self.firsts.push(asked.id);
        }
        match self.plan.protocol {
            Protocol::Frames => self.ask_by_frames(asked, out),
            Protocol::Ajp => {
                self.queue.push_back(asked);
                self.ask_by_ajp(now, out);
            }
        }
    }

    fn ask_by_frames(&mut self, asked: Asked, out: &mut Vec<Effect>) {
        let best = self
            .frames
            .iter()
            .filter(|(_, link)| !link.gone && link.open.len() < 32);
        let best = best
            .min_by_key(|(_, link)| link.open.len())
            .map(|(link, l)| (*link, l.open.len()));
        // One that was told to take no more only waits for its last answers: another may take its place.
        let number = self.frames.values().filter(|link| !link.gone).count();
        let link = match best {
            Some((link, open)) if open == 0 || number >= self.plan.connections => link,
            _ if number < self.plan.connections => {
                self.links += 2;
                out.push(Effect::Connect(self.links, self.plan.address));
                let fresh = FrameLink {
                    up: false,
                    gone: false,
                    input: Vec::new(),
                    open: BTreeMap::new(),
                    streams: 0,
                    waiting: Vec::new(),
                };
                self.frames.insert(self.links, fresh);
                self.links
            }
            // No place: this request is never sent, as a front end would do.
            _ => {
                self.tallies[asked.kind].not_sent += 1;
                return;
            }
        };
        let kind = &self.plan.classes[asked.kind];
        let caller = self.random.random_range(self.plan.caller_numbers.clone());
        let rank: f64 = self.random.random_range(0.0..0.99);
        let Some(line) = self.frames.get_mut(&link) else {
            return;
        };
        line.streams += 1;
        let mut fields = vec![
            ("verb", kind.name.clone()),
            ("txn", format!("{:016x}", asked.id)),
            ("door", (asked.at / 1_000).to_string()),
            ("lb", caller.to_string()),
            ("cpu", format!("{:.2}", kind.work as f64 / 1_000.0)),
            ("ram", "20".to_owned()),
            ("standing", format!("{rank:.4}")),
        ];
        fields.extend(
            self.plan
                .key_field
                .as_deref()
                .map(|field| (field, format!("{:016x}", asked.id))),
        );
        let frame = request_frame(line.streams, &fields, &vec![b'.'; self.plan.body_bytes]);
        line.open.insert(line.streams, asked);
        send_or_buffer(link, line.up, &mut line.waiting, frame, out);
    }

    fn ask_by_ajp(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(asked) = self.queue.pop_front() {
            let idle = self.idle.pop();
            let link = match idle {
                Some(link) => link,
                None if self.ajp.len() < self.plan.connections => {
                    self.links += 2;
                    out.push(Effect::Connect(self.links, self.plan.address));
                    let options = Options {
                        packet_size: PACKET_SIZE,
                        secret: self.plan.secret.clone(),
                        server: ("matcher".to_owned(), self.plan.address.port()),
                    };
                    let client = Client::new(options, now);
                    let (input, waiting) = (Vec::new(), Vec::new());
                    let fresh = AjpLink {
                        client,
                        input,
                        asked: None,
                        reused_at: None,
                        waiting,
                        up: false,
                    };
                    self.ajp.insert(self.links, fresh);
                    self.links
                }
                None => {
                    self.queue.push_front(asked);
                    return;
                }
            };
            let kind = &self.plan.classes[asked.kind];
            let caller = self
                .random
                .random_range(self.plan.caller_numbers.clone())
                .to_string();
            let rank = format!("{:.4}", self.random.random_range(0.0..0.99));
            let (id, work) = (
                format!("{:016x}", asked.id),
                format!("{:.2}", kind.work as f64 / 1_000.0),
            );
            let (door, uri, body) = (
                (asked.at / 1_000).to_string(),
                format!("/{}", kind.name),
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
            let request = Request {
                method: "POST",
                uri: &uri,
                headers: &headers,
                body: &body,
            };
            let Some(line) = self.ajp.get_mut(&link) else {
                continue;
            };
            let mut bytes = Vec::new();
            // So few headers fit.
            let _ = line.client.request(now, &request, &mut bytes);
            line.asked = Some(asked);
            line.reused_at = idle.map(|_| now);
            send_or_buffer(link, line.up, &mut line.waiting, bytes, out);
        }
    }

    fn answered(&mut self, now: Micros, asked: &Asked, answer: ResponseOutcome) {
        let kind = &self.plan.classes[asked.kind];
        let tally = &mut self.tallies[asked.kind];
        let latency = now.saturating_sub(asked.at);
        if latency > kind.deadline + self.plan.deadline_slack {
            tally.overdue += 1;
        }
        match answer {
            ResponseOutcome::Served(result) => {
                if result != result_of(asked.id) {
                    tally.wrong_result += 1;
                } else if latency <= kind.latency_objective {
                    tally.on_time += 1;
                } else {
                    tally.late += 1;
                }
                self.latencies[asked.kind].push(latency);
            }
            ResponseOutcome::Refused(later) => {
                if later > 0 {
                    tally.rejected_with_retry_after += 1;
                } else {
                    tally.rejected_without_retry_after += 1;
                }
                if latency * 10 <= kind.latency_objective {
                    tally.rejected_early += 1;
                }
                self.rejected_ids.push(asked.id);
            }
            ResponseOutcome::Failed => tally.failed += 1,
        }
    }

    fn frames_came(
        &mut self,
        now: Micros,
        link: ConnectionId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let Some(line) = self.frames.get_mut(&link) else {
            return;
        };
        line.input.extend_from_slice(bytes);
        let (answers, stray) = read_responses(&mut line.input, &mut line.open, &mut line.gone);
        self.unmatched_responses += stray;
        if line.gone && line.open.is_empty() {
            self.frames.remove(&link);
            out.push(Effect::Close(link));
        }
        for (asked, said) in answers {
            match said {
                Some(said) => self.answered(now, &asked, said),
                None => self.tallies[asked.kind].wrong_result += 1,
            }
        }
    }

    fn ajp_came(&mut self, now: Micros, link: ConnectionId, bytes: &[u8], out: &mut Vec<Effect>) {
        let Some(line) = self.ajp.get_mut(&link) else {
            return;
        };
        let Ok(response) = read_response(&mut line.client, &mut line.input, bytes, now, link, out)
        else {
            self.unmatched_responses += 1;
            self.on_close(now, link, out);
            return;
        };
        if let Some(response) = response {
            let asked = line.asked.take();
            if response.reuse {
                self.idle.push(link);
            } else {
                self.ajp.remove(&link);
            }
            match asked {
                Some(asked) => {
                    let said = ajp_response_outcome(&response);
                    self.answered(now, &asked, said);
                }
                None => self.unmatched_responses += 1,
            }
            self.ask_by_ajp(now, out);
        }
    }
}

/// What was sent so shortly before its connection ended without an answer may have crossed that.
const CROSSING: Micros = 50_000;

/// What an answer says.
#[derive(Debug)]
pub enum ResponseOutcome {
    /// Served with this.
    Served(Vec<u8>),
    /// With so many milliseconds to stay away.
    Refused(u64),
    /// Failed.
    Failed,
}

/// Sends, or keeps it until the connection stands.
pub fn send_or_buffer(
    link: ConnectionId,
    up: bool,
    waiting: &mut Vec<u8>,
    bytes: Vec<u8>,
    out: &mut Vec<Effect>,
) {
    if up {
        out.push(Effect::Send(link, bytes));
    } else {
        waiting.extend_from_slice(&bytes);
    }
}

/// Takes what came on an AJP connection; returns the response once it is whole. What the connection needs is among the effects:
/// more of a body, its end after the last response, a reset after what can't be read.
///
/// # Errors
/// What can't be read: the connection is reset.
pub fn read_response(
    client: &mut Client,
    input: &mut Vec<u8>,
    bytes: &[u8],
    now: Micros,
    link: ConnectionId,
    out: &mut Vec<Effect>,
) -> Result<Option<Response>, DecodeError> {
    input.extend_from_slice(bytes);
    let mut more = Vec::new();
    let taken = client.receive(now, input, &mut more);
    if !more.is_empty() {
        out.push(Effect::Send(link, more));
    }
    let used = taken.inspect_err(|_| out.push(Effect::Reset(link)))?;
    input.drain(..used);
    let response = client.take_response();
    if response.as_ref().is_some_and(|response| !response.reuse) {
        out.push(Effect::Close(link));
    }
    Ok(response)
}

/// What an AJP response says.
#[must_use]
pub fn ajp_response_outcome(response: &Response) -> ResponseOutcome {
    match response.status {
        200 => ResponseOutcome::Served(response.body.clone()),
        503 if response.not_run() => ResponseOutcome::Refused(
            response
                .header(RETRY_AFTER_MS_HEADER)
                .and_then(|ms| ms.parse().ok())
                .unwrap_or(0),
        ),
        _ => ResponseOutcome::Failed,
    }
}

/// A request as a frame.
#[must_use]
pub fn request_frame(stream: u32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let (mut payload, mut frame) = (Vec::new(), Vec::new());
    codec::push_fields(&mut payload, fields);
    payload.extend_from_slice(body);
    codec::push_request(&mut frame, stream, &payload);
    frame
}

/// Takes whole frames from the front of what a front end's connection has read: the answers to what is open on it, and
/// how many belong to nothing. It notes the word that no new request may come.
pub fn read_responses<T>(
    input: &mut Vec<u8>,
    open: &mut BTreeMap<u32, T>,
    gone: &mut bool,
) -> (Vec<(T, Option<ResponseOutcome>)>, u64) {
    let (mut used, mut answers, mut stray) = (0, Vec::new(), 0);
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
                Some(asked) => answers.push((asked, decode_response(payload))),
                None => stray += 1,
            },
            codec::GO_AWAY => *gone = true,
            _ => stray += 1,
        }
    }
    input.drain(..used);
    (answers, stray)
}

/// Reads the payload of an answer frame.
#[must_use]
pub fn decode_response(payload: &[u8]) -> Option<ResponseOutcome> {
    let (&code, mut rest) = payload.split_first()?;
    let (&count, after) = rest.split_first()?;
    rest = after;
    let mut later = 0;
    for _ in 0..count {
        let (&size, after) = rest.split_first()?;
        let (name, after) = after.split_at_checked(usize::from(size))?;
        let (size, after) = after.split_first_chunk()?;
        let (value, after) = after.split_at_checked(usize::from(u16::from_be_bytes(*size)))?;
        if name == b"later" {
            later = std::str::from_utf8(value).ok()?.parse().ok()?;
        }
        rest = after;
    }
    match code {
        0 => Some(ResponseOutcome::Served(rest.to_vec())),
        1 => Some(ResponseOutcome::Refused(later)),
        2 => Some(ResponseOutcome::Failed),
        _ => None,
    }
}

impl Service for Callers {
    fn on_open(&mut self, _: Micros, link: ConnectionId, out: &mut Vec<Effect>) {
        let waiting = if let Some(line) = self.frames.get_mut(&link) {
            line.up = true;
            std::mem::take(&mut line.waiting)
        } else if let Some(line) = self.ajp.get_mut(&link) {
            line.up = true;
            std::mem::take(&mut line.waiting)
        } else {
            return;
        };
        out.push(Effect::Send(link, waiting));
    }

    fn on_data(&mut self, now: Micros, link: ConnectionId, bytes: &[u8], out: &mut Vec<Effect>) {
        match self.plan.protocol {
            Protocol::Frames => self.frames_came(now, link, bytes, out),
            Protocol::Ajp => self.ajp_came(now, link, bytes, out),
        }
    }

    fn on_close(&mut self, now: Micros, link: ConnectionId, out: &mut Vec<Effect>) {
        self.idle.retain(|idle| *idle != link);
        let mut lost = Vec::new();
        let mut up = true;
        if let Some(line) = self.frames.remove(&link) {
            up = line.up;
            lost.extend(line.open.into_values());
        }
        if let Some(line) = self.ajp.remove(&link) {
            up = line.up;
            match line.asked {
                // AJP has no word to part: what crosses the end of an idle connection is sent once more, as by frames.
                Some(asked)
                    if !asked.again && line.reused_at.is_some_and(|at| now < at + CROSSING) =>
                {
                    self.queue.push_front(Asked {
                        again: true,
                        ..asked
                    });
                }
                asked => lost.extend(asked),
            }
        }
        for asked in lost {
            let tally = &mut self.tallies[asked.kind];
            if up {
                tally.unanswered += 1;
                self.unanswered_ids.push(asked.id);
            } else {
                tally.not_sent += 1;
            }
        }
        if self.plan.protocol == Protocol::Ajp {
            self.ask_by_ajp(now, out);
        }
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(at) = self.next_at.filter(|at| *at <= now) {
            let Some(rate) = self.rate(at) else {
                self.next_at = None;
                return;
            };
            if !std::mem::take(&mut self.looks) {
                self.ask(now, at, out);
            }
            let mean = 1e6 / (rate * self.share).max(0.001);
            let draw: f64 = self.random.random_range(1e-9..1.0);
            let gap = if self.plan.random_intervals {
                -draw.ln() * mean
            } else {
                mean
            };
            // The share may change before a long gap is over; a random one may begin anew at any time.
            self.looks = self.share != 1.0 && gap > LOOK as f64;
            let gap = if self.looks { LOOK } else { gap as Micros };
            self.next_at = Some(at + gap.max(1));
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        self.next_at
    }
}
