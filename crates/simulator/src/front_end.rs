//! Front ends with habits: they try again without limit or not, give up early, send copies, choose by subject, heed
//! advice or not, carry keys or not, and speak frames or AJP. Their books are their own; rules are judged from them.

use crate::admission_rules::RejectedConnection;
use cleatpulley_emulators::callers::{
    read_answers, read_response, request_frame, said_by_ajp, send, Kind, Said,
};
use cleatpulley_emulators::{Effect, Link, Service};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::client::{Client, Options, Request};
use cleatpulley_protocol::ajp::codec::PACKET_SIZE;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

const MS: Micros = 1_000;
/// Requests open on one connection that speaks frames.
const MAX_OPEN_PER_CONNECTION: usize = 32;
/// The field and the header that keys stand in.
pub const KEY_FIELD: &str = "once";
/// Subjects; a few are asked for far more often than the rest.
const SUBJECT_COUNT: f64 = 5_000.0;

/// How a front end behaves.
#[derive(Debug, Clone)]
pub struct Habit {
    /// It speaks AJP.
    pub ajp: bool,
    /// It tries again after refusals and failures, as long as its client waits.
    pub retries: bool,
    /// It stops waiting after this time and tries elsewhere, without a word.
    pub hasty: Option<Micros>,
    /// It sends a second copy of safe requests after this time.
    pub copies: Option<Micros>,
    /// It chooses by the subject.
    pub by_subject: bool,
    /// It heeds advice to stay away.
    pub heeds: bool,
    /// Its requests with an effect carry keys, and come again also after they were served.
    pub keyed: bool,
    /// Connections to each matcher at most.
    pub connections: usize,
}

struct ClientRequest {
    kind: usize,
    key: Option<u64>,
    subject: u64,
    until: Micros,
    attempts: u32,
    done: bool,
    /// Where it may have run: only there it may come again.
    bound_matcher: Option<usize>,
}

/// A try that has no answer.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Where it was sent.
    pub matcher: usize,
    /// When.
    pub sent: Micros,
    /// When its answer is due, pauses of the machine counted in.
    pub due: Micros,
    /// On which connection.
    pub link: Link,
    request_index: usize,
}

/// What is known of a try for good.
#[derive(Debug, Clone, Copy)]
pub struct SentAttempt {
    /// Where it went.
    pub matcher: usize,
    /// Its key.
    pub key: Option<u64>,
    /// Its body is not that of its key.
    pub has_conflicting_body: bool,
    /// When it was sent.
    pub at: Micros,
    /// Its class.
    pub kind: usize,
}

/// What became of a try, to be judged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It was served with this.
    Served(Vec<u8>),
    /// It was turned away.
    Rejected,
    /// It failed.
    Failed,
    /// Its connection ended without an answer.
    Lost,
}

struct FrameConnection {
    matcher: usize,
    established: bool,
    goodbye_received: bool,
    /// Nothing has come on it yet.
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

/// The front end.
pub struct FrontEnd {
    /// Its habit.
    pub habit: Habit,
    number: usize,
    kinds: Vec<Kind>,
    /// Where matchers listen: for frames and for AJP.
    matchers: Vec<(SocketAddr, SocketAddr)>,
    /// Requests a second, now.
    pub rate: f64,
    until: Micros,
    next_at: Option<Micros>,
    random: SmallRng,
    last_link: Link,
    frame_connections: BTreeMap<Link, FrameConnection>,
    ajp: BTreeMap<Link, AjpConnection>,
    requests: Vec<ClientRequest>,
    timers: BTreeSet<(Micros, Timer)>,
    avoid_until: Vec<Micros>,
    /// Tries without an answer, by id.
    pub open: BTreeMap<u64, Attempt>,
    /// Their due times.
    pub due_times: BTreeSet<(Micros, u64)>,
    /// All tries.
    pub sent: HashMap<u64, SentAttempt>,
    /// What became of tries, until it is judged.
    pub outcomes: Vec<(u64, Link, AttemptOutcome)>,
    /// Answers that nobody asked for.
    pub unexpected_responses: u64,
    /// Tries that were sent since this was last looked at, where that is wanted.
    pub new_attempts: Option<Vec<u64>>,
    /// Tries that were given up because nobody accepted their connection.
    abandoned: HashSet<u64>,
    /// Tries whose connection was refused, and where, until that is judged.
    pub refused_connections: Vec<(usize, u64)>,
    /// Connections that were told to part before anything came of them, to be judged.
    pub(crate) rejected_connections: Vec<RejectedConnection>,
    /// All of those.
    rejected_links: HashSet<Link>,
    /// Connections that were broken on purpose.
    pub excused_links: HashSet<Link>,
    /// Asked, served and refused, tries and repeats among them.
    pub counts: [u64; 5],
}

impl FrontEnd {
    /// One that asks from now on until then.
    #[must_use]
    pub fn new(
        number: usize,
        habit: Habit,
        kinds: Vec<Kind>,
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

    /// A class has an effect.
    #[must_use]
    pub fn has_effect(&self, kind: usize) -> bool {
        self.kinds
            .get(kind)
            .is_some_and(|kind| kind.name == "claim-seat")
    }

    /// Nothing is waited for, and nothing will be sent.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.next_at.is_none() && self.open.is_empty() && self.timers.is_empty()
    }

    /// A matcher stood still for so long: its answers are due later.
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

    /// This connection was told to part before anything came of it.
    pub(crate) fn was_rejected(&self, link: Link) -> bool {
        self.rejected_links.contains(&link)
    }

    /// Connections to a matcher.
    #[must_use]
    pub fn links_to(&self, matcher: usize) -> Vec<Link> {
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

    /// Connections to a matcher that were ended on purpose.
    pub fn excuse_links(&mut self, matcher: usize) {
        let links = self.links_to(matcher);
        self.excused_links.extend(links);
    }

    /// Gives up a try that never reached its matcher.
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
        // Now and then somebody sends another body under a key that is taken.
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
    ) -> Option<Link> {
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
                out.push(Effect::Dial(self.last_link, self.matchers[matcher].0));
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
        send(
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
    ) -> Option<Link> {
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
                out.push(Effect::Dial(self.last_link, self.matchers[matcher].1));
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
        // So few headers fit.
        let _ = connection.client.request(now, &request, &mut bytes);
        connection.open = Some(id);
        send(
            link,
            connection.established,
            &mut connection.unsent,
            bytes,
            out,
        );
        Some(link)
    }

    /// A try has its answer, or never will have one.
    fn on_outcome(&mut self, now: Micros, id: u64, response: Option<Said>) {
        let Some(attempt) = self.open.remove(&id) else {
            // One that was given up in the backlog may still be accepted, and is answered then.
            self.unexpected_responses += u64::from(!self.abandoned.remove(&id));
            return;
        };
        self.due_times.remove(&(attempt.due, id));
        let outcome = match &response {
            Some(Said::Served(result)) => AttemptOutcome::Served(result.clone()),
            Some(Said::Refused(_)) => AttemptOutcome::Rejected,
            Some(Said::Failed) => AttemptOutcome::Failed,
            None => AttemptOutcome::Lost,
        };
        self.outcomes.push((id, attempt.link, outcome));
        let retry_delay = self.random.random_range(1..60) * MS;
        let request = &mut self.requests[attempt.request_index];
        let has_effect = self.kinds[request.kind].name == "claim-seat";
        match response {
            Some(Said::Served(_)) => {
                self.counts[1] += 1;
                request.done =
                    !(request.key.is_some() && request.attempts < 6 && self.habit.retries);
                request.bound_matcher = request.key.map(|_| attempt.matcher);
            }
            Some(Said::Refused(later)) => {
                self.counts[2] += 1;
                if self.habit.heeds {
                    self.avoid_until[attempt.matcher] =
                        self.avoid_until[attempt.matcher].max(now + later * MS);
                }
            }
            // What may have run comes again only there, and only under its key.
            Some(Said::Failed) | None => {
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
                // It stops waiting without a word; what may run is not sent elsewhere.
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

    fn on_frames(&mut self, now: Micros, link: Link, bytes: &[u8], out: &mut Vec<Effect>) {
        let Some(connection) = self.frame_connections.get_mut(&link) else {
            return;
        };
        connection.input.extend_from_slice(bytes);
        let goodbye_received = connection.goodbye_received;
        let (answers, unexpected_responses) = read_answers(
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

    fn on_ajp_bytes(&mut self, now: Micros, link: Link, bytes: &[u8], out: &mut Vec<Effect>) {
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
            self.closed(now, link, out);
            return;
        };
        if let Some(response) = response {
            let open = connection.open.take();
            if !response.reuse {
                self.ajp.remove(&link);
            }
            match open {
                Some(id) => self.on_outcome(now, id, Some(said_by_ajp(&response))),
                None => self.unexpected_responses += 1,
            }
        }
    }
}

impl Service for FrontEnd {
    fn opened(&mut self, _: Micros, link: Link, out: &mut Vec<Effect>) {
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

    fn received(&mut self, now: Micros, link: Link, bytes: &[u8], out: &mut Vec<Effect>) {
        if self.habit.ajp {
            self.on_ajp_bytes(now, link, bytes, out);
        } else {
            self.on_frames(now, link, bytes, out);
        }
    }

    fn closed(&mut self, now: Micros, link: Link, _: &mut Vec<Effect>) {
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

    fn next(&self) -> Option<Micros> {
        let timer = self.timers.first().map(|(at, _)| *at);
        [self.next_at, timer].into_iter().flatten().min()
    }
}
