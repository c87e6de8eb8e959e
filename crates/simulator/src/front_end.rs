//! Front ends with different habits: they retry without limit or not, give up early, send hedged
//! copies, choose the matcher by subject, honour backoff advice or not, send idempotency keys or
//! not, and speak frames or AJP. Rules are checked against the records that they keep themselves.

use crate::admission_rules::RejectedConnection;
use cleatpulley_emulators::callers::{
    ajp_response_outcome, read_response, read_responses, request_frame, send_or_buffer,
    CallerClass, ResponseOutcome,
};
use cleatpulley_emulators::{ConnectionId, Effect, Service};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::client::{Client, Options, Request};
use cleatpulley_protocol::ajp::codec::PACKET_SIZE;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

const MS: Micros = 1_000;
/// Maximum number of open requests on one connection that speaks frames.
const MAX_OPEN_PER_CONNECTION: usize = 32;
/// Frame field that carries the idempotency key.
pub const KEY_FIELD: &str = "once";
/// Number of subjects; a few are requested far more often than the rest.
const SUBJECT_COUNT: f64 = 5_000.0;

/// Behaviour of a front end. Histories print it with these names.
#[derive(Debug, Clone)]
pub struct Habit {
    /// Speaks AJP.
    pub ajp: bool,
    /// Retries after rejections and failures until the client's deadline.
    pub retries: bool,
    /// Stops waiting for a response after this time and tries elsewhere, without cancelling the
    /// request.
    pub hasty: Option<Micros>,
    /// Sends a second copy of idempotent requests after this time.
    pub copies: Option<Micros>,
    /// Chooses the matcher by the subject.
    pub by_subject: bool,
    /// Honours advice to back off.
    pub heeds: bool,
    /// Requests with an effect carry idempotency keys, and are repeated even after they were
    /// served.
    pub keyed: bool,
    /// Maximum number of connections to each matcher.
    pub connections: usize,
}

struct ClientRequest {
    kind: usize,
    key: Option<u64>,
    subject: u64,
    until: Micros,
    attempts: u32,
    done: bool,
    /// Matcher where the request may have run; it may be sent again only there.
    bound_matcher: Option<usize>,
}

/// An attempt without a response so far.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Matcher that it was sent to.
    pub matcher: usize,
    /// Time of sending.
    pub sent: Micros,
    /// Deadline of the response; pauses of the machine extend it.
    pub due: Micros,
    /// Connection that it was sent on.
    pub link: ConnectionId,
    request_index: usize,
}

/// Permanent record of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct SentAttempt {
    /// Matcher that it was sent to.
    pub matcher: usize,
    /// Idempotency key.
    pub key: Option<u64>,
    /// Its body differs from that of the request that the key belongs to.
    pub has_conflicting_body: bool,
    /// Time of sending.
    pub at: Micros,
    /// Index of its class.
    pub kind: usize,
}

/// Outcome of an attempt, to be checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served with this result.
    Served(Vec<u8>),
    /// Rejected.
    Rejected,
    /// Failed.
    Failed,
    /// The connection ended without a response.
    Lost,
}

struct FrameConnection {
    matcher: usize,
    established: bool,
    goodbye_received: bool,
    /// Nothing has been received on it yet.
    is_unused: bool,
    input: Vec<u8>,
    open: BTreeMap<u32, u64>,
    last_stream: u32,
    unsent: Vec<u8>,
}

struct AjpConnection {
    matcher: usize,
    client: Client,
    established: bool,
    input: Vec<u8>,
    open: Option<u64>,
    unsent: Vec<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Retry(usize),
    GiveUp(u64),
    Hedge(usize),
}

/// A front end.
pub struct FrontEnd {
    /// Its behaviour.
    pub habit: Habit,
    number: usize,
    kinds: Vec<CallerClass>,
    /// Addresses of the matchers' listeners: for frames and for AJP.
    matchers: Vec<(SocketAddr, SocketAddr)>,
    /// Current rate, in requests a second.
    pub rate: f64,
    until: Micros,
    next_at: Option<Micros>,
    random: SmallRng,
    last_link: ConnectionId,
    frame_connections: BTreeMap<ConnectionId, FrameConnection>,
    ajp: BTreeMap<ConnectionId, AjpConnection>,
    requests: Vec<ClientRequest>,
    timers: BTreeSet<(Micros, Timer)>,
    avoid_until: Vec<Micros>,
    /// Attempts without a response, by id.
    pub open: BTreeMap<u64, Attempt>,
    /// Deadlines of the open attempts, with their ids.
    pub due_times: BTreeSet<(Micros, u64)>,
    /// All attempts, by id.
    pub sent: HashMap<u64, SentAttempt>,
    /// Outcomes of attempts that have not been checked yet.
    pub outcomes: Vec<(u64, ConnectionId, AttemptOutcome)>,
    /// Number of responses that match no open attempt.
    pub unexpected_responses: u64,
    /// Ids of attempts sent since the last check; recorded only for a trace.
    pub new_attempts: Option<Vec<u64>>,
    /// Attempts that were abandoned because their connection was never accepted.
    abandoned: HashSet<u64>,
    /// Matchers that refused a connection, and the attempts on it, until they are checked.
    pub refused_connections: Vec<(usize, u64)>,
    /// Connections that received a goodbye before anything else, until they are checked.
    pub(crate) rejected_connections: Vec<RejectedConnection>,
    /// Links of all such connections.
    rejected_links: HashSet<ConnectionId>,
    /// Links whose connection a fault broke on purpose.
    pub excused_links: HashSet<ConnectionId>,
    /// Numbers of attempts: sent, served, rejected, failed or lost, and unreachable; retries and
    /// repeats included.
    pub counts: [u64; 5],
}

impl FrontEnd {
    /// Creates a front end that sends requests from `now` until `until`.
    #[must_use]
    pub fn new(
        number: usize,
        habit: Habit,
        kinds: Vec<CallerClass>,
        matchers: Vec<(SocketAddr, SocketAddr)>,
        rate: f64,
        (now, until): (Micros, Micros),
        seed: u64,
    ) -> Self {
        let avoid_until = vec![0; matchers.len()];
        Self {
            habit,
            number,
            kinds,
            matchers,
            rate,
            until,
            next_at: Some(now),
            random: SmallRng::seed_from_u64(seed),
            last_link: 1,
            frame_connections: BTreeMap::new(),
            ajp: BTreeMap::new(),
            requests: Vec::new(),
            timers: BTreeSet::new(),
            avoid_until,
            open: BTreeMap::new(),
            due_times: BTreeSet::new(),
            sent: HashMap::new(),
            outcomes: Vec::new(),
            unexpected_responses: 0,
            new_attempts: None,
            abandoned: HashSet::new(),
            refused_connections: Vec::new(),
            rejected_connections: Vec::new(),
            rejected_links: HashSet::new(),
            excused_links: HashSet::new(),
            counts: [0; 5],
        }
    }

    /// Returns true if a class has an effect.
    #[must_use]
    pub fn has_effect(&self, kind: usize) -> bool {
        self.kinds
            .get(kind)
            .is_some_and(|kind| kind.name == "claim-seat")
    }

    /// Returns true if no response is awaited and nothing will be sent.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.next_at.is_none() && self.open.is_empty() && self.timers.is_empty()
    }

    /// Extends the deadlines of a matcher's open attempts by the time in which its machine was
    /// paused.
    pub fn extend_due_times(&mut self, matcher: usize, from: Micros, to: Micros) {
        for (id, attempt) in self
            .open
            .iter_mut()
            .filter(|(_, attempt)| attempt.matcher == matcher)
        {
            self.due_times.remove(&(attempt.due, *id));
            attempt.due += to - from.max(attempt.sent);
            self.due_times.insert((attempt.due, *id));
        }
    }

    /// Returns true if the connection received a goodbye before anything else.
    pub(crate) fn was_rejected(&self, link: ConnectionId) -> bool {
        self.rejected_links.contains(&link)
    }

    /// Links to a matcher.
    #[must_use]
    pub fn links_to(&self, matcher: usize) -> Vec<ConnectionId> {
        let frame_connections = self
            .frame_connections
            .iter()
            .filter(|(_, connection)| connection.matcher == matcher)
            .map(|(link, _)| *link);
        let ajp = self
            .ajp
            .iter()
            .filter(|(_, connection)| connection.matcher == matcher)
            .map(|(link, _)| *link);
        frame_connections.chain(ajp).collect()
    }

    /// Marks all links to a matcher as broken on purpose.
    pub fn excuse_links(&mut self, matcher: usize) {
        let links = self.links_to(matcher);
        self.excused_links.extend(links);
    }

    /// Abandons an attempt that never reached its matcher.
    pub fn abandon(&mut self, id: u64) {
        if let Some(attempt) = self.open.remove(&id) {
            self.due_times.remove(&(attempt.due, id));
            self.abandoned.insert(id);
        }
    }

    fn start_request(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let mut remaining_share = self
            .random
            .random_range(0.0..self.kinds.iter().map(|kind| kind.share).sum());
        let mut kind = 0;
        for (i, candidate) in self.kinds.iter().enumerate() {
            kind = i;
            remaining_share -= candidate.share;
            if remaining_share < 0.0 {
                break;
            }
        }
        let draw: f64 = self.random.random();
        let subject = (draw.powi(4) * SUBJECT_COUNT) as u64;
        let has_effect = self.kinds[kind].name == "claim-seat";
        let key = (has_effect && self.habit.keyed)
            .then_some((self.number as u64) << 32 | self.requests.len() as u64);
        let until = now + self.kinds[kind].deadline;
        self.requests.push(ClientRequest {
            kind,
            key,
            subject,
            until,
            attempts: 0,
            done: false,
            bound_matcher: None,
        });
        let request_index = self.requests.len() - 1;
        self.send_attempt(now, request_index, out);
        if let (Some(after), false) = (self.habit.copies, has_effect) {
            self.timers
                .insert((now + after, Timer::Hedge(request_index)));
        }
    }

    fn choose_matcher(&mut self, now: Micros, request_index: usize) -> Option<usize> {
        let request = &self.requests[request_index];
        if let Some(bound_matcher) = request.bound_matcher {
            return Some(bound_matcher);
        }
        let number = self.matchers.len();
        let first = match self.habit.by_subject {
            true => (request.subject as usize + request.attempts as usize) % number,
            false => self.random.random_range(0..number),
        };
        (0..number)
            .map(|step| (first + step) % number)
            .find(|m| self.avoid_until[*m] <= now)
    }

    fn send_attempt(&mut self, now: Micros, request_index: usize, out: &mut Vec<Effect>) {
        let Some(matcher) = self.choose_matcher(now, request_index) else {
            self.timers
                .insert((now + 50 * MS, Timer::Retry(request_index)));
            return;
        };
        let id: u64 = self.random.random();
        let request = &mut self.requests[request_index];
        request.attempts += 1;
        let (kind, key) = (request.kind, request.key);
        // Occasionally a different body is sent under a key that is in use.
        let has_conflicting_body =
            key.is_some() && request.attempts > 1 && self.random.random_range(0..40) == 0;
        let body = match (key, has_conflicting_body) {
            (Some(_), true) => "another".to_owned(),
            (Some(key), false) => format!("seat {key}"),
            (None, _) => "lobby".to_owned(),
        };
        let link = if self.habit.ajp {
            self.send_by_ajp(now, matcher, id, kind, key, body.as_bytes(), out)
        } else {
            self.send_by_frames(now, matcher, id, kind, key, body.as_bytes(), out)
        };
        let Some(link) = link else {
            self.timers
                .insert((now + 20 * MS, Timer::Retry(request_index)));
            return;
        };
        let due = now / MS * MS + self.kinds[kind].deadline;
        self.counts[0] += 1;
        if let Some(new_attempts) = &mut self.new_attempts {
            new_attempts.push(id);
        }
        self.sent.insert(
            id,
            SentAttempt {
                matcher,
                key,
                has_conflicting_body,
                at: now,
                kind,
            },
        );
        self.open.insert(
            id,
            Attempt {
                matcher,
                sent: now,
                due,
                link,
                request_index,
            },
        );
        self.due_times.insert((due, id));
        if let Some(after) = self.habit.hasty {
            self.timers.insert((now + after, Timer::GiveUp(id)));
        }
    }

    fn request_fields(&mut self, now: Micros, id: u64, kind: usize) -> [(&'static str, String); 5] {
        let rank = self.random.random_range(0..9_900);
        let work = self.kinds[kind].work / 10;
        [
            ("id", format!("{id:016x}")),
            ("door", (now / MS).to_string()),
            ("work", format!("{}.{:02}", work / 100, work % 100)),
            ("rank", format!("0.{rank:04}")),
            ("caller", (self.number + 1).to_string()),
        ]
    }

    #[allow(clippy::too_many_arguments)]
    fn send_by_frames(
        &mut self,
        now: Micros,
        matcher: usize,
        id: u64,
        kind: usize,
        key: Option<u64>,
        body: &[u8],
        out: &mut Vec<Effect>,
    ) -> Option<ConnectionId> {
        let frame_connections = self.frame_connections.iter().filter(|(_, connection)| {
            connection.matcher == matcher && !connection.goodbye_received
        });
        let number = frame_connections.clone().count();
        let best = frame_connections
            .map(|(link, connection)| (connection.open.len(), *link))
            .min()
            .filter(|best| best.0 < MAX_OPEN_PER_CONNECTION);
        let link = match best {
            Some((open, link)) if open == 0 || number >= self.habit.connections => link,
            _ if number < self.habit.connections => {
                self.last_link += 2;
                out.push(Effect::Connect(self.last_link, self.matchers[matcher].0));
                let (input, unsent, open) = (Vec::new(), Vec::new(), BTreeMap::new());
                let connection = FrameConnection {
                    matcher,
                    established: false,
                    goodbye_received: false,
                    is_unused: true,
                    input,
                    open,
                    last_stream: 0,
                    unsent,
                };
                self.frame_connections.insert(self.last_link, connection);
                self.last_link
            }
            _ => return None,
        };
        let [txn, door, cpu, standing, lb] = self.request_fields(now, id, kind);
        let mut fields = vec![
            ("verb", self.kinds[kind].name.clone()),
            ("txn", txn.1),
            ("door", door.1),
            ("lb", lb.1),
            ("cpu", cpu.1),
            ("ram", "20".to_owned()),
            ("standing", standing.1),
        ];
        fields.extend(key.map(|key| (KEY_FIELD, key.to_string())));
        let connection = self.frame_connections.get_mut(&link)?;
        connection.last_stream += 1;
        connection.open.insert(connection.last_stream, id);
        let frame = request_frame(connection.last_stream, &fields, body);
        send_or_buffer(
            link,
            connection.established,
            &mut connection.unsent,
            frame,
            out,
        );
        Some(link)
    }

    #[allow(clippy::too_many_arguments)]
    fn send_by_ajp(
        &mut self,
        now: Micros,
        matcher: usize,
        id: u64,
        kind: usize,
        key: Option<u64>,
        body: &[u8],
        out: &mut Vec<Effect>,
    ) -> Option<ConnectionId> {
        let frame_connections = self
            .ajp
            .iter()
            .filter(|(_, connection)| connection.matcher == matcher);
        let number = frame_connections.clone().count();
        let idle = frame_connections
            .filter(|(_, connection)| connection.open.is_none() && connection.established)
            .map(|(link, _)| *link)
            .next();
        let link = match idle {
            Some(link) => link,
            None if number < self.habit.connections * 12 => {
                self.last_link += 2;
                out.push(Effect::Connect(self.last_link, self.matchers[matcher].1));
                let options = Options {
                    packet_size: PACKET_SIZE,
                    secret: None,
                    server: ("matcher".to_owned(), 8009),
                };
                let client = Client::new(options, now);
                let (input, unsent) = (Vec::new(), Vec::new());
                let connection = AjpConnection {
                    matcher,
                    client,
                    established: false,
                    input,
                    open: None,
                    unsent,
                };
                self.ajp.insert(self.last_link, connection);
                self.last_link
            }
            None => return None,
        };
        let request_fields = self.request_fields(now, id, kind);
        let key = key.map(|key| key.to_string());
        let names = ["X-Request-Id", "X-Door", "X-Work-Ms", "X-Rank", "X-Caller"];
        let mut headers: Vec<(&str, &str)> = names
            .iter()
            .zip(&request_fields)
            .map(|(name, figure)| (*name, figure.1.as_str()))
            .collect();
        headers.extend(key.as_deref().map(|key| ("Idempotency-Key", key)));
        let uri = format!("/{}", self.kinds[kind].name);
        let request = Request {
            method: "POST",
            uri: &uri,
            headers: &headers,
            body,
        };
        let connection = self.ajp.get_mut(&link)?;
        let mut bytes = Vec::new();
        // A request with so few headers fits into a packet.
        let _ = connection.client.request(now, &request, &mut bytes);
        connection.open = Some(id);
        send_or_buffer(
            link,
            connection.established,
            &mut connection.unsent,
            bytes,
            out,
        );
        Some(link)
    }

    /// Handles the outcome of an attempt: a response, or none because the connection ended.
    fn on_outcome(&mut self, now: Micros, id: u64, response: Option<ResponseOutcome>) {
        let Some(attempt) = self.open.remove(&id) else {
            // An attempt that was abandoned in the backlog may still be accepted, and then gets a
            // response.
            self.unexpected_responses += u64::from(!self.abandoned.remove(&id));
            return;
        };
        self.due_times.remove(&(attempt.due, id));
        let outcome = match &response {
            Some(ResponseOutcome::Served(result)) => AttemptOutcome::Served(result.clone()),
            Some(ResponseOutcome::Rejected(_)) => AttemptOutcome::Rejected,
            Some(ResponseOutcome::Failed) => AttemptOutcome::Failed,
            None => AttemptOutcome::Lost,
        };
        self.outcomes.push((id, attempt.link, outcome));
        let retry_delay = self.random.random_range(1..60) * MS;
        let request = &mut self.requests[attempt.request_index];
        let has_effect = self.kinds[request.kind].name == "claim-seat";
        match response {
            Some(ResponseOutcome::Served(_)) => {
                self.counts[1] += 1;
                request.done =
                    !(request.key.is_some() && request.attempts < 6 && self.habit.retries);
                request.bound_matcher = request.key.map(|_| attempt.matcher);
            }
            Some(ResponseOutcome::Rejected(later)) => {
                self.counts[2] += 1;
                if self.habit.heeds {
                    self.avoid_until[attempt.matcher] =
                        self.avoid_until[attempt.matcher].max(now + later * MS);
                }
            }
            // A request that may have run is repeated only at the same matcher and under its key.
            Some(ResponseOutcome::Failed) | None => {
                self.counts[3] += 1;
                if response.is_none() {
                    self.avoid_until[attempt.matcher] = now + 300 * MS;
                }
                if has_effect {
                    request.done |= request.key.is_none();
                    request.bound_matcher = Some(attempt.matcher);
                }
            }
        }
        if !request.done && self.habit.retries && now + retry_delay < request.until {
            self.timers
                .insert((now + retry_delay, Timer::Retry(attempt.request_index)));
        }
    }

    fn on_connect_failed(&mut self, now: Micros, id: u64) {
        let Some(attempt) = self.open.remove(&id) else {
            return;
        };
        self.refused_connections.push((attempt.matcher, id));
        self.due_times.remove(&(attempt.due, id));
        self.counts[4] += 1;
        self.avoid_until[attempt.matcher] = now + 200 * MS;
        if now + 60 * MS < self.requests[attempt.request_index].until {
            self.timers
                .insert((now + 20 * MS, Timer::Retry(attempt.request_index)));
        }
    }

    fn on_timer(&mut self, now: Micros, timer: Timer, out: &mut Vec<Effect>) {
        match timer {
            Timer::Retry(request_index) if now < self.requests[request_index].until => {
                self.send_attempt(now, request_index, out);
            }
            Timer::GiveUp(id) => {
                let Some(attempt) = self.open.get(&id).cloned() else {
                    return;
                };
                let request = &mut self.requests[attempt.request_index];
                let has_effect = self.kinds[request.kind].name == "claim-seat";
                // Stops waiting without cancelling; a request that may run is not sent elsewhere.
                if has_effect {
                    request.bound_matcher = Some(attempt.matcher);
                }
                if (!has_effect || request.key.is_some()) && now < request.until {
                    self.send_attempt(now, attempt.request_index, out);
                }
            }
            Timer::Hedge(request_index)
                if !self.requests[request_index].done
                    && now < self.requests[request_index].until =>
            {
                self.send_attempt(now, request_index, out);
            }
            _ => {}
        }
    }

    fn on_frames(&mut self, now: Micros, link: ConnectionId, bytes: &[u8], out: &mut Vec<Effect>) {
        let Some(connection) = self.frame_connections.get_mut(&link) else {
            return;
        };
        connection.input.extend_from_slice(bytes);
        let goodbye_received = connection.goodbye_received;
        let (answers, unexpected_responses) = read_responses(
            &mut connection.input,
            &mut connection.open,
            &mut connection.goodbye_received,
        );
        self.unexpected_responses += unexpected_responses;
        if connection.goodbye_received && !goodbye_received && connection.is_unused {
            self.rejected_connections.push(RejectedConnection {
                matcher: connection.matcher,
                at: now,
                is_probe: false,
            });
            self.rejected_links.insert(link);
        }
        connection.is_unused &= answers.is_empty() && !connection.goodbye_received;
        if connection.goodbye_received && connection.open.is_empty() {
            self.frame_connections.remove(&link);
            out.push(Effect::Close(link));
        }
        for (id, response) in answers {
            match response {
                Some(response) => self.on_outcome(now, id, Some(response)),
                None => self.unexpected_responses += 1,
            }
        }
    }

    fn on_ajp_bytes(
        &mut self,
        now: Micros,
        link: ConnectionId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let Some(connection) = self.ajp.get_mut(&link) else {
            return;
        };
        let Ok(response) = read_response(
            &mut connection.client,
            &mut connection.input,
            bytes,
            now,
            link,
            out,
        ) else {
            self.unexpected_responses += 1;
            self.on_close(now, link, out);
            return;
        };
        if let Some(response) = response {
            let open = connection.open.take();
            if !response.reuse {
                self.ajp.remove(&link);
            }
            match open {
                Some(id) => self.on_outcome(now, id, Some(ajp_response_outcome(&response))),
                None => self.unexpected_responses += 1,
            }
        }
    }
}

impl Service for FrontEnd {
    fn on_open(&mut self, _: Micros, link: ConnectionId, out: &mut Vec<Effect>) {
        let unsent = if let Some(connection) = self.frame_connections.get_mut(&link) {
            connection.established = true;
            std::mem::take(&mut connection.unsent)
        } else if let Some(connection) = self.ajp.get_mut(&link) {
            connection.established = true;
            std::mem::take(&mut connection.unsent)
        } else {
            return;
        };
        out.push(Effect::Send(link, unsent));
    }

    fn on_data(&mut self, now: Micros, link: ConnectionId, bytes: &[u8], out: &mut Vec<Effect>) {
        if self.habit.ajp {
            self.on_ajp_bytes(now, link, bytes, out);
        } else {
            self.on_frames(now, link, bytes, out);
        }
    }

    fn on_close(&mut self, now: Micros, link: ConnectionId, _: &mut Vec<Effect>) {
        let (mut lost, mut established) = (Vec::new(), true);
        if let Some(connection) = self.frame_connections.remove(&link) {
            established = connection.established;
            lost.extend(connection.open.into_values());
        }
        if let Some(connection) = self.ajp.remove(&link) {
            established = connection.established;
            lost.extend(connection.open);
        }
        for id in lost {
            if established {
                self.on_outcome(now, id, None);
            } else {
                self.on_connect_failed(now, id);
            }
        }
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(at) = self.next_at.filter(|at| *at <= now) {
            if at >= self.until {
                self.next_at = None;
                break;
            }
            self.start_request(now, out);
            let draw: f64 = self.random.random_range(1e-9..1.0);
            self.next_at = Some(at + ((-draw.ln() * 1e6 / self.rate) as Micros).max(1));
        }
        while let Some(&(at, timer)) = self.timers.first() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.on_timer(now, timer, out);
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        let timer = self.timers.first().map(|(at, _)| *at);
        [self.next_at, timer].into_iter().flatten().min()
    }
}
