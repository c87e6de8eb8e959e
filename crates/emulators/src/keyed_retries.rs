//! Callers that repeat the same keyed requests without limit while the matcher is killed and
//! restarted. The rules are checked for each key from the records of the runtime and of these
//! callers alone.

use crate::callers::{read_responses, request_frame, ResponseOutcome};
use crate::host::{shared, with_lock, Host};
use crate::matcher::Matcher;
use crate::runtime::result_of;
use crate::site::{Class, Setup, Site};
use crate::{ConnectionId, Effect, Service};
use cleatpulley_policy::interface::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const MS: Micros = 1_000;
/// Frame field of the idempotency key.
pub const KEY_FIELD: &str = "once";
const CLASS: &str = "claim-seat";
/// Maximum number of open requests on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
const MAX_CONNECTIONS: usize = 6;
/// Number of keys in use at the same time.
const ACTIVE_KEYS: usize = 24;
/// Number of served or failed attempts after which a key is replaced by a new one.
const MAX_OUTCOMES_PER_KEY: u32 = 4;
/// Consecutive failures in the final confirmation after which a delivered result counts as lost.
const LOST_AFTER_FAILURES: u32 = 5;
/// Number of results confirmed at the same time after the last kill.
const CONCURRENT_CONFIRMATIONS: usize = 16;
/// Timeout for the confirmation of all results.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct KeyState {
    next_at: Micros,
    /// Ids of the attempts with this key.
    ids: Vec<u64>,
    /// The result that was first delivered to a caller.
    delivered: Option<Vec<u8>>,
    served: u32,
    unknown: u32,
    /// Times at which attempts were rejected.
    rejected_at: Vec<Micros>,
    /// Consecutive failures since the result was delivered. A momentarily slow disk causes some,
    /// because the number of waiting requests is bounded; a lost result fails every time.
    failures: u32,
    /// Whether the result was delivered again after the last kill.
    confirmed: bool,
}

struct OpenRequest {
    key: u64,
    at: Micros,
}

#[derive(Default)]
struct Connection {
    established: bool,
    goodbye_received: bool,
    input: Vec<u8>,
    open: BTreeMap<u32, OpenRequest>,
    last_stream: u32,
    unsent: Vec<u8>,
}

/// Counters of what happened.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Attempts sent.
    pub sent: u64,
    /// Attempts served.
    pub served: u64,
    /// Attempts served with a result that had been delivered before.
    pub served_repeats: u64,
    /// Attempts that failed and may have run.
    pub unknown: u64,
    /// Attempts rejected.
    pub rejected: u64,
    /// Rule violations, at most 20.
    pub violations: Vec<String>,
}

/// Callers that repeat keyed requests.
pub struct RetryingCallers {
    address: Option<SocketAddr>,
    random: SmallRng,
    last_connection_id: ConnectionId,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Connections to reset.
    to_reset: Vec<ConnectionId>,
    keys: BTreeMap<u64, KeyState>,
    /// Keys in use.
    active: Vec<u64>,
    next_key: u64,
    next_at: Micros,
    deadline: Micros,
    /// Whether the last kill is over, and only delivered results are requested until each was
    /// delivered again.
    confirming: bool,
    /// Counters of what happened.
    pub stats: Stats,
}

impl RetryingCallers {
    fn new(seed: u64, now: Micros, deadline: Micros) -> Self {
        Self {
            address: None,
            random: SmallRng::seed_from_u64(seed),
            last_connection_id: 1,
            connections: BTreeMap::new(),
            to_reset: Vec::new(),
            keys: BTreeMap::new(),
            active: Vec::new(),
            next_key: 1,
            next_at: now,
            deadline,
            confirming: false,
            stats: Stats::default(),
        }
    }

    /// Sets the address of the matcher. `None` resets all connections; no response is due for their
    /// open requests.
    pub fn set_target(&mut self, address: Option<SocketAddr>) {
        self.address = address;
        if address.is_none() {
            self.to_reset
                .extend(std::mem::take(&mut self.connections).into_keys());
        }
    }

    fn add_violation(&mut self, violation: String) {
        if self.stats.violations.len() < 20 {
            self.stats.violations.push(violation);
        }
    }

    /// Requests only results that were already delivered from now on.
    fn confirm(&mut self) {
        self.confirming = true;
        self.active.clear();
        for key in self.keys.values_mut() {
            (key.failures, key.confirmed) = (0, key.delivered.is_none());
        }
    }

    /// Returns whether each delivered result was delivered again or counts as lost.
    fn is_confirmed(&self) -> bool {
        self.keys.values().all(|key| key.confirmed)
    }

    fn send_due_requests(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let Some(address) = self.address else { return };
        if self.confirming {
            self.active.retain(|key| !self.keys[key].confirmed);
            let (keys, active) = (&self.keys, &mut self.active);
            let rest = keys
                .iter()
                .filter(|(_, key)| !key.confirmed)
                .map(|(number, _)| *number);
            active.extend(
                rest.take(CONCURRENT_CONFIRMATIONS)
                    .filter(|number| !active.contains(number))
                    .collect::<Vec<_>>(),
            );
            active.truncate(CONCURRENT_CONFIRMATIONS);
        }
        while !self.confirming && self.active.len() < ACTIVE_KEYS {
            self.keys.insert(
                self.next_key,
                KeyState {
                    next_at: now,
                    ..KeyState::default()
                },
            );
            self.active.push(self.next_key);
            self.next_key += 1;
        }
        let due: Vec<u64> = self
            .active
            .iter()
            .copied()
            .filter(|key| self.keys[key].next_at <= now)
            .collect();
        for number in due {
            // Sometimes repeat a random key, which may have been replaced long ago.
            let number = match self.random.random_range(0..8) {
                0 if !self.confirming => self.random.random_range(1..self.next_key),
                _ => number,
            };
            let best = self.connections.iter().filter(|(_, state)| {
                !state.goodbye_received && state.open.len() < MAX_OPEN_REQUESTS
            });
            let best = best
                .map(|(connection, state)| (state.open.len(), *connection))
                .min();
            let connection = match best {
                Some((open, connection))
                    if open == 0 || self.connections.len() >= MAX_CONNECTIONS =>
                {
                    connection
                }
                _ if self.connections.len() < MAX_CONNECTIONS => {
                    self.last_connection_id += 2;
                    out.push(Effect::Connect(self.last_connection_id, address));
                    self.connections
                        .insert(self.last_connection_id, Connection::default());
                    self.last_connection_id
                }
                _ => return,
            };
            let id: u64 = self.random.random();
            let gap = self.random.random_range(2..40) * MS;
            let (Some(key), Some(state)) = (
                self.keys.get_mut(&number),
                self.connections.get_mut(&connection),
            ) else {
                continue;
            };
            key.next_at = now + gap;
            key.ids.push(id);
            state.last_stream += 1;
            let fields = [
                ("verb", CLASS.to_owned()),
                ("txn", format!("{id:016x}")),
                ("door", (now / 1_000).to_string()),
                ("lb", "1".to_owned()),
                ("cpu", "2.0".to_owned()),
                ("ram", "10".to_owned()),
                ("standing", "0.5".to_owned()),
                (KEY_FIELD, format!("seat {number}")),
            ];
            let frame = request_frame(
                state.last_stream,
                &fields,
                format!("claim {number}").as_bytes(),
            );
            state.open.insert(
                state.last_stream,
                OpenRequest {
                    key: number,
                    at: now,
                },
            );
            self.stats.sent += 1;
            if state.established {
                out.push(Effect::Send(connection, frame));
            } else {
                state.unsent.extend_from_slice(&frame);
            }
        }
    }

    fn on_response(
        &mut self,
        now: Micros,
        request: &OpenRequest,
        outcome: Option<ResponseOutcome>,
    ) {
        if now > request.at + self.deadline + 200 * MS {
            self.add_violation(format!("key {}: answered after its deadline", request.key));
        }
        let Some(key) = self.keys.get_mut(&request.key) else {
            return;
        };
        let mut violation = None;
        match outcome {
            Some(ResponseOutcome::Served(result)) => {
                self.stats.served += 1;
                key.served += 1;
                key.failures = 0;
                key.confirmed = self.confirming;
                match &key.delivered {
                    Some(delivered) if *delivered != result => {
                        violation = Some("two different results");
                    }
                    Some(_) => self.stats.served_repeats += 1,
                    None => key.delivered = Some(result),
                }
                if key.served >= MAX_OUTCOMES_PER_KEY && !self.confirming {
                    self.active.retain(|other| *other != request.key);
                }
            }
            Some(ResponseOutcome::Rejected(_)) => {
                self.stats.rejected += 1;
                key.rejected_at.push(now);
            }
            Some(ResponseOutcome::Failed) => {
                self.stats.unknown += 1;
                key.unknown += 1;
                key.failures += u32::from(key.delivered.is_some());
                if self.confirming && key.failures >= LOST_AFTER_FAILURES && !key.confirmed {
                    key.confirmed = true;
                    violation = Some("a delivered result was lost");
                }
                if key.unknown >= MAX_OUTCOMES_PER_KEY && !self.confirming {
                    self.active.retain(|other| *other != request.key);
                }
            }
            None => violation = Some("a malformed response"),
        }
        if let Some(violation) = violation {
            self.add_violation(format!("key {}: {violation}", request.key));
        }
    }

    /// Checks the rules for all keys against the starts that the runtime recorded: class, number of
    /// starts and time of the last one, by id.
    pub fn check_rules(&mut self, starts: &HashMap<u64, (usize, u32, Micros)>) {
        let mut violations = Vec::new();
        for (number, key) in &self.keys {
            let ran: Vec<_> = key
                .ids
                .iter()
                .filter_map(|id| starts.get(id).map(|seen| (id, seen)))
                .collect();
            let runs: u32 = ran.iter().map(|(_, seen)| seen.1).sum();
            if runs > 1 {
                violations.push(format!("key {number} ran {runs} times"));
            }
            if let Some(delivered) = &key.delivered {
                if !ran.iter().any(|(id, _)| result_of(**id) == *delivered) {
                    violations.push(format!(
                        "key {number}: a result that no run of this key produced"
                    ));
                }
            }
            let after = |at: &&Micros| ran.iter().any(|(_, seen)| seen.2 < **at);
            if key.rejected_at.iter().find(after).is_some() {
                violations.push(format!("key {number}: rejected after it had run"));
            }
        }
        violations
            .into_iter()
            .for_each(|violation| self.add_violation(violation));
    }

    /// Returns the number of keys used.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }
}

impl Service for RetryingCallers {
    fn on_open(&mut self, _: Micros, connection: ConnectionId, out: &mut Vec<Effect>) {
        if let Some(state) = self.connections.get_mut(&connection) {
            state.established = true;
            out.push(Effect::Send(connection, std::mem::take(&mut state.unsent)));
        }
    }

    fn on_data(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let Some(state) = self.connections.get_mut(&connection) else {
            return;
        };
        state.input.extend_from_slice(bytes);
        let (responses, unmatched) = read_responses(
            &mut state.input,
            &mut state.open,
            &mut state.goodbye_received,
        );
        if state.goodbye_received && state.open.is_empty() {
            self.connections.remove(&connection);
            out.push(Effect::Close(connection));
        }
        for (request, outcome) in responses {
            self.on_response(now, &request, outcome);
        }
        if unmatched > 0 {
            self.add_violation(format!("{unmatched} responses that belong to no request"));
        }
    }

    fn on_close(&mut self, _: Micros, connection: ConnectionId, _: &mut Vec<Effect>) {
        // No response is due from a killed process; whether it exited by itself is checked in
        // `run`.
        self.connections.remove(&connection);
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.next_at = now + MS;
        out.extend(self.to_reset.drain(..).map(Effect::Reset));
        self.send_due_requests(now, out);
    }

    fn next_deadline(&self) -> Option<Micros> {
        Some(self.next_at)
    }
}

/// A trial in which a matcher with stored results is killed repeatedly.
#[derive(Debug, Clone)]
pub struct KillTrial {
    /// Number of kills.
    pub kills: u32,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl KillTrial {
    /// Returns the configuration of a site whose only class has an effect.
    #[must_use]
    pub fn site(seed: u64) -> Setup {
        let class = Class {
            name: CLASS,
            at_most_once: true,
            share: 1.0,
            work: (MS, 6 * MS),
            calls: (0, 0),
            latency_objective: 1_000 * MS,
            deadline: 2_500 * MS,
            weight: 1.0,
            skip_weight_ratio: 0.0,
        };
        Setup {
            classes: vec![class],
            cores: 8,
            seed,
            ..Setup::default()
        }
    }

    /// Returns the section of the operator file that stores results in this folder.
    #[must_use]
    pub fn operator_section(folder: &Path) -> String {
        format!(
            "results: {{ folder: '{}', classes: ['{CLASS}'], window_ms: 600000, frame_field: '{KEY_FIELD}' }}",
            folder.display()
        )
    }

    /// Runs the trial, with results stored in this folder, which must not exist yet; returns the
    /// counters and the number of keys.
    ///
    /// # Errors
    /// Fails when something can't be started, when the matcher exits by itself, or when delivered
    /// results can't be confirmed in time.
    pub fn run(&self, program: &Path, folder: &Path) -> io::Result<(Stats, usize)> {
        let site = Site::start(Self::site(self.seed))?;
        let operator = format!("{{ {} }}", Self::operator_section(folder));
        let callers = shared(RetryingCallers::new(
            self.seed,
            site.clock.now(),
            2_500 * MS,
        ));
        let mut host = Host::default();
        host.add(callers.clone());
        let running = host.start(site.clock)?;
        let mut random = SmallRng::seed_from_u64(!self.seed);
        for kill in 0..=self.kills {
            let mut matcher = Matcher::start(program, &site.config, Some(&operator))?;
            with_lock(&callers, |callers| callers.set_target(Some(matcher.frames)));
            if kill < self.kills {
                std::thread::sleep(Duration::from_micros(random.random_range(0..60_000)));
            } else {
                // Open requests are answered within their deadlines; then each delivered result is
                // requested again.
                std::thread::sleep(Duration::from_millis(600));
                with_lock(&callers, RetryingCallers::confirm);
                let until = Instant::now() + CONFIRMATION_TIMEOUT;
                while !with_lock(&callers, |callers| callers.is_confirmed()) {
                    if Instant::now() > until {
                        return Err(io::Error::other(
                            "delivered results were not confirmed in time",
                        ));
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
            if !matcher.is_alive() {
                return Err(io::Error::other(format!(
                    "the matcher exited by itself:\n{}",
                    matcher.log().join("\n")
                )));
            }
            drop(matcher);
            with_lock(&callers, |callers| callers.set_target(None));
        }
        drop(running);
        let starts = with_lock(&site.runtime, |runtime| runtime.stats.starts.clone());
        Ok(with_lock(&callers, |callers| {
            callers.check_rules(&starts);
            (callers.stats.clone(), callers.key_count())
        }))
    }
}
