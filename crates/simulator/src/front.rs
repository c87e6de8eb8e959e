//! Front ends with habits: they try again without limit or not, give up early, send copies, choose by subject, heed
//! advice or not, carry keys or not, and speak frames or AJP. Their books are their own; rules are judged from them.

use crate::crowd::Refused;
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
/// Requests open on one connection that speaks frames.
const OPEN: usize = 32;
/// The field and the header that keys stand in.
pub const FIELD: &str = "once";
/// Subjects; a few are asked for far more often than the rest.
const SUBJECTS: f64 = 5_000.0;

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

struct Ask {
    kind: usize,
    key: Option<u64>,
    subject: u64,
    until: Micros,
    tried: u32,
    done: bool,
    /// Where it may have run: only there it may come again.
    bound: Option<usize>,
}

/// A try that has no answer.
#[derive(Debug, Clone)]
pub struct Try {
    /// Where it was sent.
    pub matcher: usize,
    /// When.
    pub sent: Micros,
    /// When its answer is due, pauses of the machine counted in.
    pub due: Micros,
    /// On which connection.
    pub link: ConnectionId,
    ask: usize,
}

/// What is known of a try for good.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// Where it went.
    pub matcher: usize,
    /// Its key.
    pub key: Option<u64>,
    /// Its body is not that of its key.
    pub other_body: bool,
    /// When it was sent.
    pub at: Micros,
    /// Its class.
    pub kind: usize,
}

/// What became of a try, to be judged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fate {
    /// It was served with this.
    Served(Vec<u8>),
    /// It was turned away.
    Refused,
    /// It failed.
    Failed,
    /// Its connection ended without an answer.
    Lost,
}

struct Line {
    matcher: usize,
    up: bool,
    gone: bool,
    /// Nothing has come on it yet.
    fresh: bool,
    input: Vec<u8>,
    open: BTreeMap<u32, u64>,
    streams: u32,
    waiting: Vec<u8>,
}

struct AjpLine {
    matcher: usize,
    client: Client,
    up: bool,
    input: Vec<u8>,
    open: Option<u64>,
    waiting: Vec<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Retry(usize),
    Hasty(u64),
    Copy(usize),
}

/// The front end.
pub struct FrontEnd {
    /// Its habit.
    pub habit: Habit,
    number: usize,
    kinds: Vec<CallerClass>,
    /// Where matchers listen: for frames and for AJP.
    matchers: Vec<(SocketAddr, SocketAddr)>,
    /// Requests a second, now.
    pub rate: f64,
    until: Micros,
    next_at: Option<Micros>,
    random: SmallRng,
    links: ConnectionId,
    lines: BTreeMap<ConnectionId, Line>,
    ajp: BTreeMap<ConnectionId, AjpLine>,
    asks: Vec<Ask>,
    timers: BTreeSet<(Micros, Timer)>,
    avoid: Vec<Micros>,
    /// Tries without an answer, by id.
    pub open: BTreeMap<u64, Try>,
    /// Their due times.
    pub dues: BTreeSet<(Micros, u64)>,
    /// All tries.
    pub sent: HashMap<u64, Sent>,
    /// What became of tries, until it is judged.
    pub fates: Vec<(u64, ConnectionId, Fate)>,
    /// Answers that nobody asked for.
    pub stray: u64,
    /// Tries that were sent since this was last looked at, where that is wanted.
    pub news: Option<Vec<u64>>,
    /// Tries that were given up because nobody accepted their connection.
    forgotten: HashSet<u64>,
    /// Tries whose connection was refused, and where, until that is judged.
    pub refused: Vec<(usize, u64)>,
    /// Connections that were told to part before anything came of them, to be judged.
    pub(crate) parted: Vec<Refused>,
    /// All of those.
    refused_links: HashSet<ConnectionId>,
    /// Connections that were broken on purpose.
    pub excused: HashSet<ConnectionId>,
    /// Asked, served and refused, tries and repeats among them.
    pub counts: [u64; 5],
}

impl FrontEnd {
    /// One that asks from now on until then.
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
        let avoid = vec![0; matchers.len()];
        Self {
            habit,
            number,
            kinds,
            matchers,
            rate,
            until,
            next_at: Some(now),
            random: SmallRng::seed_from_u64(seed),
            links: 1,
            lines: BTreeMap::new(),
            ajp: BTreeMap::new(),
            asks: Vec::new(),
            timers: BTreeSet::new(),
            avoid,
            open: BTreeMap::new(),
            dues: BTreeSet::new(),
            sent: HashMap::new(),
            fates: Vec::new(),
            stray: 0,
            news: None,
            forgotten: HashSet::new(),
            refused: Vec::new(),
            parted: Vec::new(),
            refused_links: HashSet::new(),
            excused: HashSet::new(),
            counts: [0; 5],
        }
    }

    /// A class has an effect.
    #[must_use]
    pub fn effect(&self, kind: usize) -> bool {
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
    pub fn extend(&mut self, matcher: usize, from: Micros, to: Micros) {
        for (id, one) in self
            .open
            .iter_mut()
            .filter(|(_, one)| one.matcher == matcher)
        {
            self.dues.remove(&(one.due, *id));
            one.due += to - from.max(one.sent);
            self.dues.insert((one.due, *id));
        }
    }

    /// This connection was told to part before anything came of it.
    pub(crate) fn was_refused(&self, link: ConnectionId) -> bool {
        self.refused_links.contains(&link)
    }

    /// Connections to a matcher.
    #[must_use]
    pub fn links(&self, matcher: usize) -> Vec<ConnectionId> {
        let lines = self
            .lines
            .iter()
            .filter(|(_, line)| line.matcher == matcher)
            .map(|(link, _)| *link);
        let ajp = self
            .ajp
            .iter()
            .filter(|(_, line)| line.matcher == matcher)
            .map(|(link, _)| *link);
        lines.chain(ajp).collect()
    }

    /// Connections to a matcher that were ended on purpose.
    pub fn excuse(&mut self, matcher: usize) {
        let links = self.links(matcher);
        self.excused.extend(links);
    }

    /// Gives up a try that never reached its matcher.
    pub fn forget(&mut self, id: u64) {
        if let Some(one) = self.open.remove(&id) {
            self.dues.remove(&(one.due, id));
            self.forgotten.insert(id);
        }
    }

    fn ask(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let mut place = self
            .random
            .random_range(0.0..self.kinds.iter().map(|kind| kind.share).sum());
        let mut kind = 0;
        for (i, other) in self.kinds.iter().enumerate() {
            kind = i;
            place -= other.share;
            if place < 0.0 {
                break;
            }
        }
        let draw: f64 = self.random.random();
        let subject = (draw.powi(4) * SUBJECTS) as u64;
        let effect = self.kinds[kind].name == "claim-seat";
        let key = (effect && self.habit.keyed)
            .then_some((self.number as u64) << 32 | self.asks.len() as u64);
        let until = now + self.kinds[kind].deadline;
        self.asks.push(Ask {
            kind,
            key,
            subject,
            until,
            tried: 0,
            done: false,
            bound: None,
        });
        let ask = self.asks.len() - 1;
        self.attempt(now, ask, out);
        if let (Some(after), false) = (self.habit.copies, effect) {
            self.timers.insert((now + after, Timer::Copy(ask)));
        }
    }

    fn choose(&mut self, now: Micros, ask: usize) -> Option<usize> {
        let one = &self.asks[ask];
        if let Some(bound) = one.bound {
            return Some(bound);
        }
        let number = self.matchers.len();
        let first = match self.habit.by_subject {
            true => (one.subject as usize + one.tried as usize) % number,
            false => self.random.random_range(0..number),
        };
        (0..number)
            .map(|step| (first + step) % number)
            .find(|m| self.avoid[*m] <= now)
    }

    fn attempt(&mut self, now: Micros, ask: usize, out: &mut Vec<Effect>) {
        let Some(matcher) = self.choose(now, ask) else {
            self.timers.insert((now + 50 * MS, Timer::Retry(ask)));
            return;
        };
        let id: u64 = self.random.random();
        let one = &mut self.asks[ask];
        one.tried += 1;
        let (kind, key) = (one.kind, one.key);
        // Now and then somebody sends another body under a key that is taken.
        let other_body = key.is_some() && one.tried > 1 && self.random.random_range(0..40) == 0;
        let body = match (key, other_body) {
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
            self.timers.insert((now + 20 * MS, Timer::Retry(ask)));
            return;
        };
        let due = now / MS * MS + self.kinds[kind].deadline;
        self.counts[0] += 1;
        if let Some(news) = &mut self.news {
            news.push(id);
        }
        self.sent.insert(
            id,
            Sent {
                matcher,
                key,
                other_body,
                at: now,
                kind,
            },
        );
        self.open.insert(
            id,
            Try {
                matcher,
                sent: now,
                due,
                link,
                ask,
            },
        );
        self.dues.insert((due, id));
        if let Some(after) = self.habit.hasty {
            self.timers.insert((now + after, Timer::Hasty(id)));
        }
    }

    fn figures(&mut self, now: Micros, id: u64, kind: usize) -> [(&'static str, String); 5] {
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
        let lines = self
            .lines
            .iter()
            .filter(|(_, line)| line.matcher == matcher && !line.gone);
        let number = lines.clone().count();
        let best = lines
            .map(|(link, line)| (line.open.len(), *link))
            .min()
            .filter(|best| best.0 < OPEN);
        let link = match best {
            Some((open, link)) if open == 0 || number >= self.habit.connections => link,
            _ if number < self.habit.connections => {
                self.links += 2;
                out.push(Effect::Connect(self.links, self.matchers[matcher].0));
                let (input, waiting, open) = (Vec::new(), Vec::new(), BTreeMap::new());
                let line = Line {
                    matcher,
                    up: false,
                    gone: false,
                    fresh: true,
                    input,
                    open,
                    streams: 0,
                    waiting,
                };
                self.lines.insert(self.links, line);
                self.links
            }
            _ => return None,
        };
        let [txn, door, cpu, standing, lb] = self.figures(now, id, kind);
        let mut fields = vec![
            ("verb", self.kinds[kind].name.clone()),
            ("txn", txn.1),
            ("door", door.1),
            ("lb", lb.1),
            ("cpu", cpu.1),
            ("ram", "20".to_owned()),
            ("standing", standing.1),
        ];
        fields.extend(key.map(|key| (FIELD, key.to_string())));
        let line = self.lines.get_mut(&link)?;
        line.streams += 1;
        line.open.insert(line.streams, id);
        let frame = request_frame(line.streams, &fields, body);
        send_or_buffer(link, line.up, &mut line.waiting, frame, out);
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
        let lines = self.ajp.iter().filter(|(_, line)| line.matcher == matcher);
        let number = lines.clone().count();
        let idle = lines
            .filter(|(_, line)| line.open.is_none() && line.up)
            .map(|(link, _)| *link)
            .next();
        let link = match idle {
            Some(link) => link,
            None if number < self.habit.connections * 12 => {
                self.links += 2;
                out.push(Effect::Connect(self.links, self.matchers[matcher].1));
                let options = Options {
                    packet_size: PACKET_SIZE,
                    secret: None,
                    server: ("matcher".to_owned(), 8009),
                };
                let client = Client::new(options, now);
                let (input, waiting) = (Vec::new(), Vec::new());
                let line = AjpLine {
                    matcher,
                    client,
                    up: false,
                    input,
                    open: None,
                    waiting,
                };
                self.ajp.insert(self.links, line);
                self.links
            }
            None => return None,
        };
        let figures = self.figures(now, id, kind);
        let key = key.map(|key| key.to_string());
        let names = ["X-Request-Id", "X-Door", "X-Work-Ms", "X-Rank", "X-Caller"];
        let mut headers: Vec<(&str, &str)> = names
            .iter()
            .zip(&figures)
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
        let line = self.ajp.get_mut(&link)?;
        let mut bytes = Vec::new();
        // So few headers fit.
        let _ = line.client.request(now, &request, &mut bytes);
        line.open = Some(id);
        send_or_buffer(link, line.up, &mut line.waiting, bytes, out);
        Some(link)
    }

    /// A try has its answer, or never will have one.
    fn settled(&mut self, now: Micros, id: u64, said: Option<ResponseOutcome>) {
        let Some(one) = self.open.remove(&id) else {
            // One that was given up in the backlog may still be accepted, and is answered then.
            self.stray += u64::from(!self.forgotten.remove(&id));
            return;
        };
        self.dues.remove(&(one.due, id));
        let fate = match &said {
            Some(ResponseOutcome::Served(result)) => Fate::Served(result.clone()),
            Some(ResponseOutcome::Rejected(_)) => Fate::Refused,
            Some(ResponseOutcome::Failed) => Fate::Failed,
            None => Fate::Lost,
        };
        self.fates.push((id, one.link, fate));
        let again = self.random.random_range(1..60) * MS;
        let ask = &mut self.asks[one.ask];
        let effect = self.kinds[ask.kind].name == "claim-seat";
        match said {
            Some(ResponseOutcome::Served(_)) => {
                self.counts[1] += 1;
                ask.done = !(ask.key.is_some() && ask.tried < 6 && self.habit.retries);
                ask.bound = ask.key.map(|_| one.matcher);
            }
            Some(ResponseOutcome::Rejected(later)) => {
                self.counts[2] += 1;
                if self.habit.heeds {
                    self.avoid[one.matcher] = self.avoid[one.matcher].max(now + later * MS);
                }
            }
            // What may have run comes again only there, and only under its key.
            Some(ResponseOutcome::Failed) | None => {
                self.counts[3] += 1;
                if said.is_none() {
                    self.avoid[one.matcher] = now + 300 * MS;
                }
                if effect {
                    ask.done |= ask.key.is_none();
                    ask.bound = Some(one.matcher);
                }
            }
        }
        if !ask.done && self.habit.retries && now + again < ask.until {
            self.timers.insert((now + again, Timer::Retry(one.ask)));
        }
    }

    fn unreachable(&mut self, now: Micros, id: u64) {
        let Some(one) = self.open.remove(&id) else {
            return;
        };
        self.refused.push((one.matcher, id));
        self.dues.remove(&(one.due, id));
        self.counts[4] += 1;
        self.avoid[one.matcher] = now + 200 * MS;
        if now + 60 * MS < self.asks[one.ask].until {
            self.timers.insert((now + 20 * MS, Timer::Retry(one.ask)));
        }
    }

    fn ring(&mut self, now: Micros, timer: Timer, out: &mut Vec<Effect>) {
        match timer {
            Timer::Retry(ask) if now < self.asks[ask].until => self.attempt(now, ask, out),
            Timer::Hasty(id) => {
                let Some(one) = self.open.get(&id).cloned() else {
                    return;
                };
                let ask = &mut self.asks[one.ask];
                let effect = self.kinds[ask.kind].name == "claim-seat";
                // It stops waiting without a word; what may run is not sent elsewhere.
                if effect {
                    ask.bound = Some(one.matcher);
                }
                if (!effect || ask.key.is_some()) && now < ask.until {
                    self.attempt(now, one.ask, out);
                }
            }
            Timer::Copy(ask) if !self.asks[ask].done && now < self.asks[ask].until => {
                self.attempt(now, ask, out);
            }
            _ => {}
        }
    }

    fn frames_came(
        &mut self,
        now: Micros,
        link: ConnectionId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let Some(line) = self.lines.get_mut(&link) else {
            return;
        };
        line.input.extend_from_slice(bytes);
        let gone = line.gone;
        let (answers, stray) = read_responses(&mut line.input, &mut line.open, &mut line.gone);
        self.stray += stray;
        if line.gone && !gone && line.fresh {
            self.parted.push(Refused {
                matcher: line.matcher,
                at: now,
                probe: false,
            });
            self.refused_links.insert(link);
        }
        line.fresh &= answers.is_empty() && !line.gone;
        if line.gone && line.open.is_empty() {
            self.lines.remove(&link);
            out.push(Effect::Close(link));
        }
        for (id, said) in answers {
            match said {
                Some(said) => self.settled(now, id, Some(said)),
                None => self.stray += 1,
            }
        }
    }

    fn ajp_came(&mut self, now: Micros, link: ConnectionId, bytes: &[u8], out: &mut Vec<Effect>) {
        let Some(line) = self.ajp.get_mut(&link) else {
            return;
        };
        let Ok(response) = read_response(&mut line.client, &mut line.input, bytes, now, link, out)
        else {
            self.stray += 1;
            self.on_close(now, link, out);
            return;
        };
        if let Some(response) = response {
            let open = line.open.take();
            if !response.reuse {
                self.ajp.remove(&link);
            }
            match open {
                Some(id) => self.settled(now, id, Some(ajp_response_outcome(&response))),
                None => self.stray += 1,
            }
        }
    }
}

impl Service for FrontEnd {
    fn on_open(&mut self, _: Micros, link: ConnectionId, out: &mut Vec<Effect>) {
        let waiting = if let Some(line) = self.lines.get_mut(&link) {
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
        if self.habit.ajp {
            self.ajp_came(now, link, bytes, out);
        } else {
            self.frames_came(now, link, bytes, out);
        }
    }

    fn on_close(&mut self, now: Micros, link: ConnectionId, _: &mut Vec<Effect>) {
        let (mut lost, mut up) = (Vec::new(), true);
        if let Some(line) = self.lines.remove(&link) {
            up = line.up;
            lost.extend(line.open.into_values());
        }
        if let Some(line) = self.ajp.remove(&link) {
            up = line.up;
            lost.extend(line.open);
        }
        for id in lost {
            if up {
                self.settled(now, id, None);
            } else {
                self.unreachable(now, id);
            }
        }
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(at) = self.next_at.filter(|at| *at <= now) {
            if at >= self.until {
                self.next_at = None;
                break;
            }
            self.ask(now, out);
            let draw: f64 = self.random.random_range(1e-9..1.0);
            self.next_at = Some(at + ((-draw.ln() * 1e6 / self.rate) as Micros).max(1));
        }
        while let Some(&(at, timer)) = self.timers.first() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.ring(now, timer, out);
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        let timer = self.timers.first().map(|(at, _)| *at);
        [self.next_at, timer].into_iter().flatten().min()
    }
}
