//! A matcher's stand-in behind a gateway: it takes requests by frames, works on them with a few workers, turns away what
//! would wait too long, and keeps books of what it ran. It can be slowed, told to drain, made to fail and killed.

use crate::host::{shared, with_lock, Clock, Host, Running, Shared};
use crate::runtime::result_of;
use crate::{ConnectionId, Effect, Service};
use cleatpulley_dispatcher::Response;
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::frame::codec::{self, ParsedFrame, Request};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

/// How a target works.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Requests that run at a time.
    pub workers: usize,
    /// A run takes as long as this, evenly spread.
    pub run_time: (Micros, Micros),
    /// A request that would wait for longer is turned away.
    pub max_wait: Micros,
    /// Told with a refusal.
    pub retry_after: Micros,
    /// For random numbers.
    pub seed: u64,
}

struct Held {
    link: ConnectionId,
    stream: u32,
    id: u64,
}

/// The target.
pub struct Target {
    setup: Setup,
    /// Runs take so many times longer.
    pub slowdown: f64,
    /// Of a thousand runs so many fail after they have run.
    pub failed_per_mille: u32,
    /// Requests are turned away, and connections told that no more may come.
    draining: bool,
    told: bool,
    random: SmallRng,
    links: HashMap<ConnectionId, Vec<u8>>,
    running: BTreeSet<(Micros, u64)>,
    at: HashMap<u64, Held>,
    queue: VecDeque<(u64, Micros)>,
    next: u64,
    /// How often each request ran, by id.
    pub runs: HashMap<u64, u32>,
    /// Requests that came.
    pub received: u64,
    /// Those that came after the word to drain.
    pub received_while_draining: u64,
}

impl Target {
    /// One that has not served yet.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        let random = SmallRng::seed_from_u64(setup.seed);
        Self {
            setup,
            slowdown: 1.0,
            failed_per_mille: 0,
            draining: false,
            told: false,
            random,
            links: HashMap::new(),
            running: BTreeSet::new(),
            at: HashMap::new(),
            queue: VecDeque::new(),
            next: 0,
            runs: HashMap::new(),
            received: 0,
            received_while_draining: 0,
        }
    }

    /// It drains from now on, or takes requests again.
    pub fn set_draining(&mut self, draining: bool) {
        (self.draining, self.told) = (draining, false);
    }

    /// Forgets what it holds, as a process does that dies; what it ran has run.
    pub fn discard_open_requests(&mut self) {
        self.links.clear();
        self.running.clear();
        self.at.clear();
        self.queue.clear();
    }

    fn answer(&self, link: ConnectionId, stream: u32, answer: &Response, out: &mut Vec<Effect>) {
        let mut bytes = Vec::new();
        codec::push_response(&mut bytes, stream, answer, None);
        if self.links.contains_key(&link) {
            out.push(Effect::Send(link, bytes));
        }
    }

    fn begin(&mut self, now: Micros) {
        while self.running.len() < self.setup.workers {
            let Some((number, _)) = self.queue.pop_front() else {
                return;
            };
            let Some(held) = self.at.get(&number) else {
                continue;
            };
            *self.runs.entry(held.id).or_default() += 1;
            let work = self
                .random
                .random_range(self.setup.run_time.0..=self.setup.run_time.1)
                as f64
                * self.slowdown;
            self.running.insert((now + work as Micros, number));
        }
    }

    fn request(
        &mut self,
        now: Micros,
        link: ConnectionId,
        stream: u32,
        payload: &[u8],
        out: &mut Vec<Effect>,
    ) {
        self.received += 1;
        let refused = Response::Rejected {
            retry_after: self.setup.retry_after,
            no_failover: false,
        };
        if self.draining {
            self.received_while_draining += 1;
            return self.answer(link, stream, &refused, out);
        }
        let Ok(request) = Request::decode(payload, None) else {
            return self.answer(link, stream, &Response::Failed, out);
        };
        let mean = (self.setup.run_time.0 + self.setup.run_time.1) as f64 / 2.0 * self.slowdown;
        let wait = mean * self.queue.len() as f64 / self.setup.workers as f64;
        if wait > self.setup.max_wait as f64 {
            return self.answer(link, stream, &refused, out);
        }
        self.next += 1;
        self.at.insert(
            self.next,
            Held {
                link,
                stream,
                id: request.id,
            },
        );
        self.queue.push_back((self.next, now));
        self.begin(now);
    }
}

impl Service for Target {
    fn on_data(&mut self, now: Micros, link: ConnectionId, bytes: &[u8], out: &mut Vec<Effect>) {
        let mut input = self.links.remove(&link).unwrap_or_default();
        self.links.insert(link, Vec::new());
        input.extend_from_slice(bytes);
        let mut used = 0;
        while let ParsedFrame::Frame {
            kind,
            stream,
            payload,
        } = codec::parse_frame(&input[used..])
        {
            let payload = used + payload.start..used + payload.end;
            if kind == codec::REQUEST {
                self.request(now, link, stream, &input[payload.clone()], out);
            }
            used = payload.end;
        }
        input.drain(..used);
        self.links.insert(link, input);
    }

    fn on_close(&mut self, _: Micros, link: ConnectionId, _: &mut Vec<Effect>) {
        self.links.remove(&link);
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.draining && !std::mem::replace(&mut self.told, true) {
            let mut goodbye = Vec::new();
            codec::push_go_away(&mut goodbye);
            out.extend(
                self.links
                    .keys()
                    .map(|link| Effect::Send(*link, goodbye.clone())),
            );
        }
        while let Some(&(at, number)) = self.running.first().filter(|(at, _)| *at <= now) {
            self.running.remove(&(at, number));
            let Some(held) = self.at.remove(&number) else {
                continue;
            };
            let fails = self.random.random_range(0..1_000) < self.failed_per_mille;
            let served = Response::Served(result_of(held.id));
            let answer = if fails { Response::Failed } else { served };
            self.answer(held.link, held.stream, &answer, out);
        }
        self.begin(now);
    }

    fn next_deadline(&self) -> Option<Micros> {
        let told = (self.draining && !self.told).then_some(0);
        told.or_else(|| self.running.first().map(|(at, _)| *at))
    }
}

/// A target on a port of its own, which can be killed and started again there.
pub struct TargetServer {
    /// The target.
    pub target: Shared<Target>,
    /// Where it listens.
    pub address: SocketAddr,
    clock: Clock,
    running: Option<Running>,
}

impl TargetServer {
    /// Starts one.
    ///
    /// # Errors
    /// Where the system gives no port.
    pub fn start(setup: Setup, clock: Clock) -> io::Result<Self> {
        let target = shared(Target::new(setup));
        let mut host = Host::default();
        let at = host.listen(([127, 0, 0, 1], 0).into(), target.clone())?;
        Ok(Self {
            target,
            address: at,
            clock,
            running: Some(host.start(clock)?),
        })
    }

    /// It dies: its connections break, and new ones are refused.
    pub fn kill(&mut self) {
        self.running = None;
        with_lock(&self.target, Target::discard_open_requests);
    }

    /// It comes back.
    ///
    /// # Errors
    /// Where its port is taken.
    pub fn restart(&mut self) -> io::Result<()> {
        let mut host = Host::default();
        host.listen(self.address, self.target.clone())?;
        self.running = Some(host.start(self.clock)?);
        Ok(())
    }
}
