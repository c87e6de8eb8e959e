//! Runs the gateway's core against simulated targets with seeded responses, lost connections and timeouts, and clients that
//! disconnect. Checks from outside that each request gets one response by its deadline, that no request with an effect is
//! sent again once it may have run, that none is rejected after it may have run, that retries stay within their budget, and
//! that no request or attempt is left at the end.

use cleatpulley_dispatcher::{ClientStream, IncomingRequest, RequestHead, Response};
use cleatpulley_gateway::core::{Action, AttemptEvent, Class, GatewayCore, Settings};
use cleatpulley_policy::interface::Micros;
use cleatpulley_routes::import::Import;
use cleatpulley_routes::retry::AttemptFailure;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const START: Micros = 1_764_576_000_000_000;

/// Returns the settings with one of five versions of the routes. They differ in their targets; in one the pool has another
/// name.
fn settings(balancing: &str, retry_share: f64, seed: u64, version: usize) -> Settings {
    let targets = [
        "server a:1 max_fails=2 fail_timeout=1s; server b:1 max_conns=9; server c:1 slow_start=2s;",
        "server c:1; server d:1 weight=3;",
        "server e:1; server c:1; server a:1 max_fails=1;",
        "server a:1 down; server b:1 down;",
    ][version % 4];
    let fleet = if version == 4 { "other" } else { "fleet" };
    let text = format!(
        "limit_conn_zone $http_x_caller zone=z:1m;
         upstream {fleet} {{ {balancing} {targets} }}
         server {{
            proxy_next_upstream error timeout http_503 http_500;
            proxy_connect_timeout 200ms;
            proxy_read_timeout 700ms;
            location /seat {{ set $matcher_class seat; proxy_pass http://{fleet}; }}
            location /view {{ set $matcher_class view; limit_conn z 12; proxy_pass http://{fleet}/new; }}
            location /one {{ set $matcher_class view; proxy_next_upstream_tries 1; proxy_pass http://{fleet}; }}
            location /strict {{ set $matcher_class view; proxy_next_upstream off; proxy_pass http://{fleet}; }}
            location /gone {{ return 410 gone; }}
         }}"
    );
    let import = Import::read(&BTreeMap::from([("f".to_owned(), text.into_bytes())]), "f");
    assert!(import.is_complete(), "{:?}", import.diagnostics);
    let class = |name: &str, has_effect| Class {
        name: name.to_owned(),
        has_effect,
        deadline: 1_000 * MS,
    };
    let classes = vec![class("seat", true), class("view", false)];
    Settings {
        routes: import.routes,
        classes,
        listen_address: None,
        retry_share,
        seed,
        max_held_bytes: 50_000,
    }
}

fn request(stream: u32, path: &str, now: Micros) -> IncomingRequest {
    let headers = [("X-Caller", stream % 3), ("X-Subject", stream)];
    let head = RequestHead {
        method: "POST".to_owned(),
        host: "h".to_owned(),
        target: path.to_owned(),
        headers: headers
            .map(|(name, value)| (name.to_owned(), value.to_string()))
            .to_vec(),
        remote_address: "192.0.2.7".to_owned(),
        frame: None,
    };
    IncomingRequest {
        client: ClientStream {
            connection: u64::from(stream % 5),
            stream,
        },
        id: u64::from(stream),
        class: 0,
        caller: 1,
        received_at: now,
        expected_work: 0,
        memory_kb: 1.0,
        rank: 0.5,
        is_retry: false,
        has_subject: false,
        key: None,
        body: Vec::new(),
        head: Some(Box::new(head)),
    }
}

#[derive(Default)]
struct RequestState {
    path: &'static str,
    deadline: Micros,
    responses: u32,
    /// True where a target may have run the request.
    may_have_run: bool,
    attempts: u32,
    disconnected: bool,
}

struct Simulation {
    core: GatewayCore,
    random: SmallRng,
    now: Micros,
    requests: BTreeMap<u32, RequestState>,
    /// Attempts in flight, by request number: the stream, and whether the request was written.
    in_flight: BTreeMap<u64, (u32, bool)>,
    first_attempts: u64,
    retries: u64,
    targets_are_silent: bool,
    reloads: bool,
    settings: (&'static str, f64, u64),
}

impl Simulation {
    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { number, uri, .. } => {
                    let stream = self
                        .core
                        .request(number)
                        .expect("request is pending")
                        .client
                        .stream;
                    let state = self.requests.get_mut(&stream).expect("request was sent");
                    assert!(
                        state.path != "/seat" || !state.may_have_run,
                        "stream {stream} may run twice"
                    );
                    assert!(state.path != "/view" || uri == "/new", "{uri}");
                    assert!(self.now < state.deadline && state.responses == 0);
                    state.attempts += 1;
                    assert!(state.path != "/one" || state.attempts == 1);
                    *(if state.attempts == 1 {
                        &mut self.first_attempts
                    } else {
                        &mut self.retries
                    }) += 1;
                    assert!(
                        self.in_flight.insert(number, (stream, false)).is_none(),
                        "two attempts at the same time"
                    );
                }
                Action::Abandon(number) => {
                    self.in_flight.remove(&number);
                }
                Action::Respond(client, response) => {
                    let state = self
                        .requests
                        .get_mut(&client.stream)
                        .expect("request was sent");
                    state.responses += 1;
                    assert!(
                        state.responses == 1 && !state.disconnected,
                        "stream {} got a second response, or its client has disconnected",
                        client.stream
                    );
                    assert!(
                        self.now <= state.deadline,
                        "{} us past the deadline",
                        self.now - state.deadline
                    );
                    let is_rejected = matches!(response, Response::Rejected { .. });
                    assert!(
                        !is_rejected || !state.may_have_run,
                        "rejected after it may have run"
                    );
                }
            }
        }
    }

    fn step(&mut self, stream: u32) {
        let mut actions = Vec::new();
        match self.random.random_range(0..10) {
            0..=2 => {
                let paths = [
                    "/seat", "/seat", "/view", "/view", "/one", "/strict", "/gone", "/nowhere",
                ];
                let path = paths[self.random.random_range(0..paths.len())];
                let deadline = self.now + 1_000 * MS;
                self.requests.insert(
                    stream,
                    RequestState {
                        path,
                        deadline,
                        ..RequestState::default()
                    },
                );
                self.core
                    .on_request(self.now, request(stream, path, self.now), &mut actions);
            }
            // With some seeds the targets rarely respond.
            3..=7 if !self.targets_are_silent || self.random.random_range(0..5) == 0 => {
                self.advance_attempt(&mut actions);
            }
            8 if self.random.random_range(0..20) == 0 => {
                let connection = self.random.random_range(0..5);
                let is_on_connection = |stream: u32| u64::from(stream % 5) == connection;
                for (_, state) in self
                    .requests
                    .iter_mut()
                    .filter(|(stream, state)| is_on_connection(**stream) && state.responses == 0)
                {
                    state.disconnected = true;
                }
                self.core
                    .on_client_disconnected(self.now, connection, &mut actions);
            }
            9 if self.reloads && self.random.random_range(0..8) == 0 => {
                let (balancing, retry_share, seed) = self.settings;
                let version = self.random.random_range(0..5);
                self.core
                    .reload(&settings(balancing, retry_share, seed, version))
                    .expect("valid routes");
            }
            _ => self.advance_time(),
        }
        self.execute(actions);
    }

    /// Advances one of the attempts in flight: writes its request, or reports an event.
    fn advance_attempt(&mut self, actions: &mut Vec<Action>) {
        let index = self.random.random_range(0..self.in_flight.len().max(1));
        let Some((&number, &(stream, is_written))) = self.in_flight.iter().nth(index) else {
            return;
        };
        if !is_written && self.random.random_range(0..8) > 0 {
            self.in_flight.insert(number, (stream, true));
            return;
        }
        let retry_after = self.random.random_range(0..3) * 100 * MS;
        let no_failover = self.random.random_range(0..9) == 0;
        let event = match self.random.random_range(0..9) {
            0..=2 => AttemptEvent::Response(Response::Served(vec![1])),
            3 => AttemptEvent::Failed(AttemptFailure::Rejected {
                retry_after,
                no_failover,
            }),
            4 => AttemptEvent::Failed(AttemptFailure::Failed),
            5 => AttemptEvent::Failed(if is_written {
                AttemptFailure::ConnectionLost
            } else {
                AttemptFailure::NotSent
            }),
            6 => AttemptEvent::AdvisedConcurrency(self.random.random_range(0..4)),
            7 => AttemptEvent::Response(Response::Direct {
                status: 422,
                body: Vec::new(),
            }),
            _ => return,
        };
        if !matches!(event, AttemptEvent::AdvisedConcurrency(_)) {
            self.in_flight.remove(&number);
        }
        let may_have_run = matches!(
            event,
            AttemptEvent::Failed(AttemptFailure::Failed | AttemptFailure::ConnectionLost)
        );
        self.requests
            .get_mut(&stream)
            .expect("request was sent")
            .may_have_run |= may_have_run;
        self.core.on_attempt_event(self.now, number, event, actions);
    }

    /// Advances the time by a random step, at most to the next deadline, and handles expired timers.
    fn advance_time(&mut self) {
        let step = self.random.random_range(0..60 * MS);
        self.now = self
            .core
            .next_deadline()
            .map_or(self.now + step, |deadline| deadline.min(self.now + step))
            .max(self.now);
        for number in self.core.expired_timers(self.now) {
            let mut actions = Vec::new();
            let (stream, is_written) = self.in_flight.get(&number).copied().unwrap_or_default();
            self.core
                .on_timer(self.now, number, is_written, &mut actions);
            // A written request that is given up may have run.
            if is_written && actions.contains(&Action::Abandon(number)) {
                self.requests
                    .get_mut(&stream)
                    .expect("request was sent")
                    .may_have_run = true;
            }
            self.execute(actions);
        }
    }
}

#[test]
fn each_request_gets_one_response_and_effects_run_at_most_once() {
    let balancing_directives = [
        "",
        "least_conn;",
        "hash $http_x_subject consistent;",
        "random two;",
        "ip_hash;",
    ];
    let mut denials = BTreeSet::new();
    for seed in 0..400 {
        let retry_share = [0.0, 0.2, 1.0][seed as usize % 3];
        let balancing = balancing_directives[seed as usize % balancing_directives.len()];
        let core =
            GatewayCore::new(&settings(balancing, retry_share, seed, 0)).expect("valid routes");
        let random = SmallRng::seed_from_u64(seed);
        let (requests, in_flight) = (BTreeMap::new(), BTreeMap::new());
        let mut simulation = Simulation {
            core,
            random,
            now: START,
            requests,
            in_flight,
            first_attempts: 0,
            retries: 0,
            targets_are_silent: seed % 4 == 0,
            reloads: seed % 2 == 1,
            settings: (balancing, retry_share, seed),
        };
        for stream in 0..600 {
            simulation.step(stream);
            // Attempts at targets that a reload removed are in flight, but not counted by any pool.
            let counts_match = if simulation.reloads {
                simulation.core.open_attempts() <= simulation.in_flight.len()
            } else {
                simulation.core.open_attempts() == simulation.in_flight.len()
            };
            assert!(
                counts_match,
                "seed {seed}: open requests at targets differ from the attempts in flight"
            );
        }
        // No target responds any more: each pending request ends by its deadline.
        for _ in 0..2_000 {
            if simulation.core.pending_count() == 0 {
                break;
            }
            simulation.advance_time();
        }
        assert_eq!(
            (
                simulation.core.pending_count(),
                simulation.core.open_attempts()
            ),
            (0, 0),
            "seed {seed}: requests or attempts are left"
        );
        for (stream, state) in &simulation.requests {
            assert!(
                state.responses == 1 || state.disconnected,
                "seed {seed}: stream {stream} has {} responses",
                state.responses
            );
        }
        // Each pool saves ten retries; a pool that is removed and added again starts with a new budget.
        let pools = if simulation.reloads { 40.0 } else { 1.0 };
        let max_retries = retry_share * simulation.first_attempts as f64 + pools * 10.0;
        assert!(
            simulation.retries as f64 <= max_retries,
            "seed {seed}: {} retries of {} first attempts",
            simulation.retries,
            simulation.first_attempts
        );
        denials.extend(simulation.core.counts.stopped.keys().copied());
    }
    // Guards against seeds that exercise too little: each reason not to retry has to occur.
    assert_eq!(denials.len(), 6, "{denials:?}");
}

/// Guards against requests with very many short fields, which occupy several times the bytes that they had
/// on the wire.
#[test]
fn memory_limit_counts_the_allocations_of_short_fields() {
    const MAX_HELD_BYTES: usize = 1_000_000;
    const FIELDS: usize = 240;
    let settings = Settings {
        max_held_bytes: MAX_HELD_BYTES,
        ..settings("", 0.1, 1, 0)
    };
    let mut core = GatewayCore::new(&settings).expect("a valid configuration");
    let mut actions = Vec::new();
    for stream in 1..=1_000 {
        let mut request = request(stream, "/seat", START);
        let head = request.head.as_mut().expect("the request has a head");
        head.headers = (0..FIELDS)
            .map(|field| (format!("{field:02x}"), "1".to_owned()))
            .collect();
        core.on_request(START, request, &mut actions);
    }
    // Two strings, each with the smallest block of an allocator.
    let field_bytes = size_of::<(String, String)>() + 2 * 32;
    assert!(core.pending_count() > 0);
    assert!(
        core.pending_count() * FIELDS * field_bytes <= MAX_HELD_BYTES,
        "{} requests are held",
        core.pending_count()
    );
}
