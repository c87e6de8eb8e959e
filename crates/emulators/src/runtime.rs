//! Emulates the runtime: cores shared by the running requests, cold starts, calls, gauges, and
//! notices that are retained and replayed on a new connection.

use crate::{ConnectionId, Effect, Service};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use cleatpulley_policy::interface::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

/// Maximum number of notices retained for replay on a new connection.
const MAX_RETAINED_NOTICES: usize = 4_000;

/// Work and calls of the requests of a class.
#[derive(Debug, Clone)]
pub struct RunClass {
    /// Name of the class.
    pub name: String,
    /// Minimum and maximum work of a run, as time on one core of speed 1.
    pub work: (Micros, Micros),
    /// Minimum and maximum number of calls of a run.
    pub calls: (u32, u32),
    /// Whether a request must not run twice.
    pub at_most_once: bool,
}

/// Configuration of the runtime.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The classes.
    pub classes: Vec<RunClass>,
    /// Number of cores.
    pub cores: f64,
    /// Relative speed of a warm core.
    pub speed: f64,
    /// Initial speed of a cold core, as a share of a warm core's.
    pub cold_from: f64,
    /// Time after which a cold core is warm.
    pub warm_after: Micros,
    /// Whether runs end in the step that starts them, without simulated work.
    pub instant_runs: bool,
    /// Runs that end with a fault, of each thousand.
    pub faults_per_mille: u32,
    /// Seed of the random numbers.
    pub seed: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// On the cores, until `work_per_run` reaches this value.
    Working(f64),
    /// Waits for the call that the notice of this number requested.
    Waiting(u64),
}

/// The state of one listener address of the runtime.
#[derive(Debug, Default)]
struct Channel {
    connection: Option<ConnectionId>,
    input: Vec<u8>,
    notices: VecDeque<(u64, String)>,
    number: u64,
    synced: bool,
}

#[derive(Debug)]
struct Run {
    class: usize,
    /// Index of the channel on which the run was started.
    channel: usize,
    started: Micros,
    stage: Stage,
    /// Work between two calls of the run.
    work_between_calls: f64,
    calls: u32,
}

/// Counters and records for tests that check the rules.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Starts of each request by id: class, number of starts, and time of the last start.
    pub starts: HashMap<u64, (usize, u32, Micros)>,
    /// Request ids of all starts, in order.
    pub start_order: Vec<u64>,
    /// Maximum number of concurrent runs.
    pub peak_running: usize,
    /// Runs that ended successfully.
    pub succeeded: u64,
    /// Commands that could not be decoded.
    pub malformed_commands: u64,
}

/// The emulated runtime.
pub struct Runtime {
    setup: Setup,
    started_at: Micros,
    updated_at: Micros,
    /// Work that each run on the cores has received so far.
    work_per_run: f64,
    runs: HashMap<u64, Run>,
    working: BTreeSet<(u64, u64)>,
    /// One for each listener: each numbers its own notices and reports only the runs that were
    /// started on it.
    channels: Vec<Channel>,
    /// Connections are reset until this time.
    unavailable_until: Option<Micros>,
    /// Counters and records of what happened.
    pub stats: Stats,
    /// Factor by which runs take longer than usual.
    pub slowdown: f64,
    /// Notices that are followed by a repetition of an earlier one under its old number, of each
    /// thousand. If not 0, a new connection also receives some notices that were acknowledged.
    pub repeated_notices_per_mille: u32,
    /// Whether the cores become cold whenever a matcher connects that has received no notice yet.
    pub cold_for_new_matcher: bool,
    /// Whether the next notice is sent only by half and the connection is closed.
    pub truncate_next_notice: bool,
    /// Requests that were already answered: their runs end at the next call.
    ended_requests: HashSet<u64>,
}

#[derive(Deserialize)]
struct Command {
    t: String,
    #[serde(default)]
    no: u64,
    #[serde(default)]
    rid: String,
    #[serde(default)]
    route: String,
    #[serde(default)]
    b64: String,
    #[serde(default)]
    mark: String,
}

/// Returns the result of the request with this id; it is different for every id.
#[must_use]
pub fn result_of(id: u64) -> Vec<u8> {
    format!("grid of {id:016x}").into_bytes()
}

impl Runtime {
    /// Creates a runtime that started at this time.
    #[must_use]
    pub fn new(setup: Setup, now: Micros) -> Self {
        Self {
            setup,
            started_at: now,
            updated_at: now,
            work_per_run: 0.0,
            runs: HashMap::new(),
            working: BTreeSet::new(),
            channels: vec![Channel::default()],
            unavailable_until: None,
            stats: Stats::default(),
            slowdown: 1.0,
            repeated_notices_per_mille: 0,
            cold_for_new_matcher: false,
            truncate_next_notice: false,
            ended_requests: HashSet::new(),
        }
    }

    /// Resets all connections and rejects new ones until this time; runs continue.
    pub fn break_link(&mut self, until: Micros, out: &mut Vec<Effect>) {
        self.unavailable_until = Some(until);
        for channel in &mut self.channels {
            out.extend(channel.connection.take().map(Effect::Reset));
            channel.synced = false;
        }
    }

    /// Records that a request was answered or abandoned: its run ends if it waits for a call, or
    /// else when it reaches its next call.
    pub fn end_request(&mut self, now: Micros, id: u64, out: &mut Vec<Effect>) {
        match self.runs.get(&id).map(|run| run.stage) {
            Some(Stage::Waiting(_)) => self.cancel_run(now, id, out),
            Some(Stage::Working(_)) => {
                self.ended_requests.insert(id);
            }
            // A request that has not started yet must not start any more.
            None if !self.stats.starts.contains_key(&id) => {
                self.ended_requests.insert(id);
            }
            None => {}
        }
    }

    fn cancel_run(&mut self, now: Micros, id: u64, out: &mut Vec<Effect>) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let ms = now.saturating_sub(run.started) as f64 / 1_000.0;
        let rid = format!("{id:016x}");
        let notice = json!({"t": "end", "rid": rid, "status": "broken_off", "time_ms": ms});
        self.push_notice(run.channel, notice, out);
    }

    /// Returns the number of requests that run or wait for a call.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether the request runs or waits for a call.
    #[must_use]
    pub fn is_running(&self, id: u64) -> bool {
        self.runs.contains_key(&id)
    }

    /// Returns the ids of the requests that run or wait for a call, sorted.
    #[must_use]
    pub fn running_ids(&self) -> Vec<u64> {
        let mut ids: Vec<_> = self.runs.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the number of requests that use the cores.
    #[must_use]
    pub fn runs_on_cores(&self) -> usize {
        self.working.len()
    }

    /// Returns the work that each run on the cores receives per microsecond.
    fn work_rate(&self) -> f64 {
        let running = self.working.len() as f64;
        if running == 0.0 {
            return 0.0;
        }
        let age = self.updated_at.saturating_sub(self.started_at) as f64
            / self.setup.warm_after.max(1) as f64;
        let warmth = (self.setup.cold_from + (1.0 - self.setup.cold_from) * age).min(1.0);
        let share = (self.setup.cores / running).min(1.0);
        share * self.setup.speed * warmth / self.slowdown.max(0.01)
    }

    fn advance_work(&mut self, now: Micros) {
        self.work_per_run += self.work_rate() * now.saturating_sub(self.updated_at) as f64;
        self.updated_at = self.updated_at.max(now);
    }

    fn resume_work(&mut self, id: u64) {
        let work_per_run = self.work_per_run;
        if let Some(run) = self.runs.get_mut(&id) {
            let work_target = work_per_run + run.work_between_calls;
            run.stage = Stage::Working(work_target);
            self.working.insert((work_target.to_bits(), id));
        }
    }

    fn push_notice(
        &mut self,
        channel: usize,
        mut value: serde_json::Value,
        out: &mut Vec<Effect>,
    ) -> u64 {
        let tears = &mut self.truncate_next_notice;
        let Some(channel) = self.channels.get_mut(channel) else {
            return 0;
        };
        channel.number += 1;
        value["no"] = json!(channel.number);
        let line = format!("{value}\n");
        if let Some(connection) = channel.connection.filter(|_| channel.synced) {
            if std::mem::take(tears) {
                out.push(Effect::Send(
                    connection,
                    line.as_bytes()[..line.len() / 2].to_vec(),
                ));
                out.push(Effect::Close(connection));
                (channel.connection, channel.synced) = (None, false);
            } else {
                out.push(Effect::Send(connection, line.clone().into_bytes()));
                let earlier = channel
                    .notices
                    .iter()
                    .nth_back((channel.number % 7) as usize);
                let repeats = channel.number.wrapping_mul(7_919) % 1_000
                    < u64::from(self.repeated_notices_per_mille);
                if let Some((_, earlier)) = earlier.filter(|_| repeats) {
                    out.push(Effect::Send(connection, earlier.clone().into_bytes()));
                }
            }
        }
        channel.notices.push_back((channel.number, line));
        if channel.notices.len() > MAX_RETAINED_NOTICES {
            channel.notices.pop_front();
        }
        channel.number
    }

    fn end_run(&mut self, now: Micros, id: u64, out: &mut Vec<Effect>) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let mut random = SmallRng::seed_from_u64(self.setup.seed ^ id.rotate_left(17));
        let ms = now.saturating_sub(run.started) as f64 / 1_000.0;
        if random.random_range(0..1_000) < self.setup.faults_per_mille {
            let notice =
                json!({"t": "end", "rid": format!("{id:016x}"), "status": "fault", "time_ms": ms});
            self.push_notice(run.channel, notice, out);
            return;
        }
        self.stats.succeeded += 1;
        let b64 = STANDARD.encode(result_of(id));
        let notice = json!({"t": "end", "rid": format!("{id:016x}"), "status": "fine", "time_ms": ms, "b64": b64});
        self.push_notice(run.channel, notice, out);
    }

    fn reject_command(&mut self, channel: usize, connection: ConnectionId, out: &mut Vec<Effect>) {
        self.stats.malformed_commands += 1;
        out.push(Effect::Close(connection));
        (
            self.channels[channel].connection,
            self.channels[channel].synced,
        ) = (None, false);
    }

    fn handle_command(
        &mut self,
        now: Micros,
        channel: usize,
        connection: ConnectionId,
        line: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let Ok(command) = serde_json::from_slice::<Command>(line) else {
            return self.reject_command(channel, connection, out);
        };
        let nack = |status: &str| {
            Effect::Send(
                connection,
                format!(
                    "{}\n",
                    json!({"t": "nack", "status": status, "rid": command.rid})
                )
                .into_bytes(),
            )
        };
        match command.t.as_str() {
            "sync" => {
                if self.cold_for_new_matcher && command.no == 0 {
                    self.started_at = now;
                }
                let ms = now.saturating_sub(self.started_at) as f64 / 1_000.0;
                let ready = json!({"t": "ready", "status": "running", "time_ms": ms});
                let mut text = format!("{ready}\n");
                let known = command
                    .no
                    .saturating_sub(if self.repeated_notices_per_mille > 0 {
                        9
                    } else {
                        0
                    });
                let channel = &mut self.channels[channel];
                channel
                    .notices
                    .iter()
                    .filter(|notice| notice.0 > known)
                    .for_each(|notice| text += &notice.1);
                out.push(Effect::Send(connection, text.into_bytes()));
                channel.synced = true;
            }
            "start" => {
                let class = self
                    .setup
                    .classes
                    .iter()
                    .position(|class| class.name == command.route);
                let body = STANDARD.decode(&command.b64);
                match (class, u64::from_str_radix(&command.rid, 16), body) {
                    (Some(class), Ok(id), Ok(_)) => self.start(now, channel, class, id, out),
                    _ => out.push(nack("start")),
                }
            }
            "give" | "omit" => {
                let id = u64::from_str_radix(&command.rid, 16).unwrap_or_default();
                let stage = self.runs.get(&id).map(|run| run.stage);
                match stage {
                    Some(Stage::Waiting(number)) if command.t == "give" || command.no == number => {
                        self.resume_work(id);
                    }
                    Some(_) => {}
                    // A run that has ended needs no response to its calls.
                    None if self.stats.starts.contains_key(&id) => {}
                    None => out.push(nack(&command.t)),
                }
            }
            "gauges" => {
                let running = self.working.len() as f64;
                let v = [(running / self.setup.cores).min(1.0), running, 0.0, 0.0];
                let load = json!({"t": "load", "mark": command.mark, "v": v});
                out.push(Effect::Send(connection, format!("{load}\n").into_bytes()));
            }
            _ => self.reject_command(channel, connection, out),
        }
    }

    fn start(&mut self, now: Micros, channel: usize, class: usize, id: u64, out: &mut Vec<Effect>) {
        if self.runs.contains_key(&id) {
            return;
        }
        if self.ended_requests.remove(&id) {
            let rid = format!("{id:016x}");
            let notice = json!({"t": "end", "rid": rid, "status": "late", "time_ms": 0.0});
            self.push_notice(channel, notice, out);
            return;
        }
        let seen = self.stats.starts.entry(id).or_insert((class, 0, now));
        seen.1 += 1;
        seen.2 = now;
        self.stats.start_order.push(id);
        let mut random = SmallRng::seed_from_u64(self.setup.seed ^ id);
        let class_settings = &self.setup.classes[class];
        let work = random.random_range(class_settings.work.0..=class_settings.work.1) as f64;
        let calls = random.random_range(class_settings.calls.0..=class_settings.calls.1);
        let work_between_calls = work / f64::from(calls + 1);
        self.runs.insert(
            id,
            Run {
                class,
                channel,
                started: now,
                stage: Stage::Waiting(0),
                work_between_calls,
                calls,
            },
        );
        self.stats.peak_running = self.stats.peak_running.max(self.runs.len());
        if self.setup.instant_runs {
            self.end_run(now, id, out);
        } else {
            self.resume_work(id);
        }
    }

    /// Returns the ids of requests that must not run twice and did.
    #[must_use]
    pub fn ids_run_twice(&self) -> Vec<u64> {
        let twice =
            |seen: &&(usize, u32, Micros)| seen.1 > 1 && self.setup.classes[seen.0].at_most_once;
        self.stats
            .starts
            .iter()
            .filter(|(_, seen)| twice(seen))
            .map(|(id, _)| *id)
            .collect()
    }
}

impl Service for Runtime {
    fn on_open(&mut self, now: Micros, connection: ConnectionId, out: &mut Vec<Effect>) {
        self.on_accept(now, connection, 0, out);
    }

    fn on_accept(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        listener: usize,
        out: &mut Vec<Effect>,
    ) {
        if self.unavailable_until.is_some_and(|until| now < until) {
            out.push(Effect::Reset(connection));
            return;
        }
        if self.channels.len() <= listener {
            self.channels.resize_with(listener + 1, Channel::default);
        }
        let channel = &mut self.channels[listener];
        // A new connection replaces the previous one of this listener.
        out.extend(channel.connection.replace(connection).map(Effect::Close));
        channel.synced = false;
        channel.input.clear();
    }

    fn on_data(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let Some(channel) = self
            .channels
            .iter()
            .position(|channel| channel.connection == Some(connection))
        else {
            return;
        };
        self.advance_work(now);
        let mut input = std::mem::take(&mut self.channels[channel].input);
        input.extend_from_slice(bytes);
        let mut used = 0;
        while let Some(length) = input[used..].iter().position(|b| *b == b'\n') {
            let line = &input[used..used + length];
            used += length + 1;
            if self.channels[channel].connection == Some(connection) {
                self.handle_command(now, channel, connection, line, out);
            }
        }
        input.drain(..used);
        self.channels[channel].input = input;
    }

    fn on_close(&mut self, _: Micros, connection: ConnectionId, _: &mut Vec<Effect>) {
        for channel in self
            .channels
            .iter_mut()
            .filter(|channel| channel.connection == Some(connection))
        {
            (channel.connection, channel.synced) = (None, false);
        }
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.advance_work(now);
        while let Some(&(work_target, id)) = self.working.first() {
            if f64::from_bits(work_target) > self.work_per_run {
                break;
            }
            self.working.pop_first();
            let Some(run) = self.runs.get_mut(&id) else {
                continue;
            };
            if run.calls == 0 {
                self.ended_requests.remove(&id);
                self.end_run(now, id, out);
                continue;
            }
            if self.ended_requests.remove(&id) {
                self.cancel_run(now, id, out);
                continue;
            }
            run.calls -= 1;
            let (class, channel) = (run.class, run.channel);
            let call = STANDARD.encode(format!("call of {}", self.setup.classes[class].name));
            let notice = json!({"t": "wants", "rid": format!("{id:016x}"), "b64": call});
            let number = self.push_notice(channel, notice, out);
            if let Some(run) = self.runs.get_mut(&id) {
                run.stage = Stage::Waiting(number);
            }
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        let &(work_target, _) = self.working.first()?;
        let wait =
            (f64::from_bits(work_target) - self.work_per_run).max(0.0) / self.work_rate().max(1e-9);
        // A cold core gets faster meanwhile, so check again after at most 50 ms.
        Some(self.updated_at + (wait.ceil() as Micros).clamp(1, 50_000))
    }
}
