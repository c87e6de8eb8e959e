//! Emulates a matcher behind a gateway: it receives requests as frames, serves them with a few
//! workers, rejects those that would wait too long, and records what it ran. It can be slowed,
//! drained, made to fail and killed.

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

/// Configuration of a target.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Maximum number of concurrent runs.
    pub workers: usize,
    /// Minimum and maximum duration of a run; durations are uniformly distributed.
    pub run_time: (Micros, Micros),
    /// Expected wait above which a request is rejected.
    pub max_wait: Micros,
    /// Retry-after time of rejections.
    pub retry_after: Micros,
    /// Seed of the random numbers.
    pub seed: u64,
}

struct OpenRequest {
    connection: ConnectionId,
    stream: u32,
    id: u64,
}

/// An emulated target.
pub struct Target {
    setup: Setup,
    /// Factor by which runs take longer than usual.
    pub slowdown: f64,
    /// Runs that fail at their end, of each thousand.
    pub failed_per_mille: u32,
    /// Whether new requests are rejected and connections have to be sent a goodbye.
    draining: bool,
    goodbye_sent: bool,
    random: SmallRng,
    connections: HashMap<ConnectionId, Vec<u8>>,
    running: BTreeSet<(Micros, u64)>,
    open_requests: HashMap<u64, OpenRequest>,
    queue: VecDeque<(u64, Micros)>,
    last_number: u64,
    /// Number of runs of each request, by id.
    pub runs: HashMap<u64, u32>,
    /// Number of requests received.
    pub received: u64,
    /// Number of requests received while draining.
    pub received_while_draining: u64,
}

impl Target {
    /// Creates a target without connections.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        let random = SmallRng::seed_from_u64(setup.seed);
        Self {
            setup,
            slowdown: 1.0,
            failed_per_mille: 0,
            draining: false,
            goodbye_sent: false,
            random,
            connections: HashMap::new(),
            running: BTreeSet::new(),
            open_requests: HashMap::new(),
            queue: VecDeque::new(),
            last_number: 0,
            runs: HashMap::new(),
            received: 0,
            received_while_draining: 0,
        }
    }

    /// Starts or ends draining.
    pub fn set_draining(&mut self, draining: bool) {
        (self.draining, self.goodbye_sent) = (draining, false);
    }

    /// Discards connections and open requests, as when a process dies; the record of runs stays.
    pub fn reset(&mut self) {
        self.connections.clear();
        self.running.clear();
        self.open_requests.clear();
        self.queue.clear();
    }

    fn respond(
        &self,
        connection: ConnectionId,
        stream: u32,
        response: &Response,
        out: &mut Vec<Effect>,
    ) {
        let mut bytes = Vec::new();
        codec::push_response(&mut bytes, stream, response, None);
        if self.connections.contains_key(&connection) {
            out.push(Effect::Send(connection, bytes));
        }
    }

    fn start_runs(&mut self, now: Micros) {
        while self.running.len() < self.setup.workers {
            let Some((number, _)) = self.queue.pop_front() else {
                return;
            };
            let Some(request) = self.open_requests.get(&number) else {
                continue;
            };
            *self.runs.entry(request.id).or_default() += 1;
            let duration = self
                .random
                .random_range(self.setup.run_time.0..=self.setup.run_time.1)
                as f64
                * self.slowdown;
            self.running.insert((now + duration as Micros, number));
        }
    }

    fn handle_request(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        stream: u32,
        payload: &[u8],
        out: &mut Vec<Effect>,
    ) {
        self.received += 1;
        let rejected = Response::Rejected {
            retry_after: self.setup.retry_after,
            no_failover: false,
        };
        if self.draining {
            self.received_while_draining += 1;
            return self.respond(connection, stream, &rejected, out);
        }
        let Ok(request) = Request::decode(payload, None) else {
            return self.respond(connection, stream, &Response::Failed, out);
        };
        let mean = (self.setup.run_time.0 + self.setup.run_time.1) as f64 / 2.0 * self.slowdown;
        let expected_wait = mean * self.queue.len() as f64 / self.setup.workers as f64;
        if expected_wait > self.setup.max_wait as f64 {
            return self.respond(connection, stream, &rejected, out);
        }
        self.last_number += 1;
        self.open_requests.insert(
            self.last_number,
            OpenRequest {
                connection,
                stream,
                id: request.id,
            },
        );
        self.queue.push_back((self.last_number, now));
        self.start_runs(now);
    }
}

impl Service for Target {
    fn on_data(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let mut input = self.connections.remove(&connection).unwrap_or_default();
        self.connections.insert(connection, Vec::new());
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
                self.handle_request(now, connection, stream, &input[payload.clone()], out);
            }
            used = payload.end;
        }
        input.drain(..used);
        self.connections.insert(connection, input);
    }

    fn on_close(&mut self, _: Micros, connection: ConnectionId, _: &mut Vec<Effect>) {
        self.connections.remove(&connection);
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.draining && !std::mem::replace(&mut self.goodbye_sent, true) {
            let mut goodbye = Vec::new();
            codec::push_go_away(&mut goodbye);
            out.extend(
                self.connections
                    .keys()
                    .map(|connection| Effect::Send(*connection, goodbye.clone())),
            );
        }
        while let Some(&(ends_at, number)) =
            self.running.first().filter(|(ends_at, _)| *ends_at <= now)
        {
            self.running.remove(&(ends_at, number));
            let Some(request) = self.open_requests.remove(&number) else {
                continue;
            };
            let is_failed = self.random.random_range(0..1_000) < self.failed_per_mille;
            let served = Response::Served(result_of(request.id));
            let response = if is_failed { Response::Failed } else { served };
            self.respond(request.connection, request.stream, &response, out);
        }
        self.start_runs(now);
    }

    fn next_deadline(&self) -> Option<Micros> {
        let goodbye_deadline = (self.draining && !self.goodbye_sent).then_some(0);
        goodbye_deadline.or_else(|| self.running.first().map(|(ends_at, _)| *ends_at))
    }
}

/// A target that listens on a port of its own, and can be killed and restarted on it.
pub struct TargetServer {
    /// The emulated target.
    pub target: Shared<Target>,
    /// Address on which the target listens.
    pub address: SocketAddr,
    clock: Clock,
    running: Option<Running>,
}

impl TargetServer {
    /// Starts a target on a port chosen by the system.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub fn start(setup: Setup, clock: Clock) -> io::Result<Self> {
        let target = shared(Target::new(setup));
        let mut host = Host::default();
        let address = host.listen(([127, 0, 0, 1], 0).into(), target.clone())?;
        Ok(Self {
            target,
            address,
            clock,
            running: Some(host.start(clock)?),
        })
    }

    /// Kills the target: its connections end, and new ones are refused.
    pub fn kill(&mut self) {
        self.running = None;
        with_lock(&self.target, Target::reset);
    }

    /// Starts the target on its old port.
    ///
    /// # Errors
    /// Fails when the port is in use.
    pub fn restart(&mut self) -> io::Result<()> {
        let mut host = Host::default();
        host.listen(self.address, self.target.clone())?;
        self.running = Some(host.start(self.clock)?);
        Ok(())
    }
}
