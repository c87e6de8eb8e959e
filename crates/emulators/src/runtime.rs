//! The runtime's stand-in: cores shared by what runs, cold starts, calls, gauges, and notices that are kept and
//! told again on a new link.

use crate::{ConnectionId, Effect, Service};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use cleatpulley_policy::interface::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

/// Notices that are kept for a new link.
const KEPT: usize = 4_000;

/// What the runs of a class are like.
#[derive(Debug, Clone)]
pub struct RunClass {
    /// The class's name.
    pub name: String,
    /// Work on one core of speed 1, from and to.
    pub work: (Micros, Micros),
    /// Calls of a run, from and to.
    pub calls: (u32, u32),
    /// It must not run twice.
    pub at_most_once: bool,
}

/// How a runtime is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The classes.
    pub classes: Vec<RunClass>,
    /// Cores.
    pub cores: f64,
    /// Speed of a warm core.
    pub speed: f64,
    /// Share of its speed that a cold core has.
    pub cold_from: f64,
    /// A cold core is warm after this time.
    pub warm_after: Micros,
    /// Runs end in the step that starts them; nothing is simulated.
    pub instant_runs: bool,
    /// Of a thousand results, so many are faults.
    pub faults_per_mille: u32,
    /// For random numbers.
    pub seed: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// On the cores, until so much work was done for each that runs.
    Working(f64),
    /// Waits for the call that this notice asked for.
    Waiting(u64),
}

/// One address of the runtime.
#[derive(Debug, Default)]
struct Channel {
    link: Option<ConnectionId>,
    input: Vec<u8>,
    notices: VecDeque<(u64, String)>,
    number: u64,
    synced: bool,
}

#[derive(Debug)]
struct Run {
    kind: usize,
    /// The channel that it was begun through.
    channel: usize,
    started: Micros,
    stage: Stage,
    /// Work between two calls.
    piece: f64,
    calls: u32,
}

/// What was seen, for whoever checks the rules.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Starts of each request, by id: class, how often, and when last.
    pub starts: HashMap<u64, (usize, u32, Micros)>,
    /// Their ids, in the order of the starts.
    pub start_order: Vec<u64>,
    /// Most runs at once.
    pub peak_running: usize,
    /// Runs that ended well.
    pub succeeded: u64,
    /// Commands that could not be read.
    pub malformed_commands: u64,
}

/// The stand-in.
pub struct Runtime {
    setup: Setup,
    since: Micros,
    at: Micros,
    /// Work that each run on the cores has had so far.
    done: f64,
    runs: HashMap<u64, Run>,
    working: BTreeSet<(u64, u64)>,
    /// One for each door: each numbers its own notices, and tells only of runs that were begun through it.
    channels: Vec<Channel>,
    /// No link is taken and none stands, until this time.
    down_until: Option<Micros>,
    /// What was seen.
    pub stats: Stats,
    /// Times slower than usual.
    pub slowdown: f64,
    /// Of a thousand notices, so many are followed by an earlier one, told once more under its number; a new link hears
    /// some again that were confirmed.
    pub repeated_notices_per_mille: u32,
    /// It is cold whenever a matcher comes that has heard nothing of it yet.
    pub cold_for_new_matcher: bool,
    /// The next notice breaks off halfway, and the link ends.
    pub truncate_next_notice: bool,
    /// Requests that have their answers: their runs end at the next call.
    over: HashSet<u64>,
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

/// The result that the stand-in makes for a request: nobody else's result looks like it.
#[must_use]
pub fn result_of(id: u64) -> Vec<u8> {
    format!("grid of {id:016x}").into_bytes()
}

impl Runtime {
    /// A runtime that came up at this time.
    #[must_use]
    pub fn new(setup: Setup, now: Micros) -> Self {
        Self {
            setup,
            since: now,
            at: now,
            done: 0.0,
            runs: HashMap::new(),
            working: BTreeSet::new(),
            channels: vec![Channel::default()],
            down_until: None,
            stats: Stats::default(),
            slowdown: 1.0,
            repeated_notices_per_mille: 0,
            cold_for_new_matcher: false,
            truncate_next_notice: false,
            over: HashSet::new(),
        }
    }

    /// Breaks the link at once and takes none until this time; runs go on.
    pub fn break_link(&mut self, until: Micros, out: &mut Vec<Effect>) {
        self.down_until = Some(until);
        for channel in &mut self.channels {
            out.extend(channel.link.take().map(Effect::Reset));
            channel.synced = false;
        }
    }

    /// A request has its answer, or nobody waits for one: where its run stands at a call, or comes to one, it ends.
    pub fn end_request(&mut self, now: Micros, id: u64, out: &mut Vec<Effect>) {
        match self.runs.get(&id).map(|run| run.stage) {
            Some(Stage::Waiting(_)) => self.break_off(now, id, out),
            Some(Stage::Working(_)) => {
                self.over.insert(id);
            }
            // One that was not started yet is not to be.
            None if !self.stats.starts.contains_key(&id) => {
                self.over.insert(id);
            }
            None => {}
        }
    }

    fn break_off(&mut self, now: Micros, id: u64, out: &mut Vec<Effect>) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let ms = now.saturating_sub(run.started) as f64 / 1_000.0;
        let rid = format!("{id:016x}");
        let notice = json!({"t": "end", "rid": rid, "status": "broken_off", "time_ms": ms});
        self.notice(run.channel, notice, out);
    }

    /// Requests that run or wait for a call.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.runs.len()
    }

    /// A request runs or waits for a call.
    #[must_use]
    pub fn is_running(&self, id: u64) -> bool {
        self.runs.contains_key(&id)
    }

    /// The ids of what runs or waits for a call.
    #[must_use]
    pub fn running_ids(&self) -> Vec<u64> {
        let mut ids: Vec<_> = self.runs.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Runs on the cores.
    #[must_use]
    pub fn runs_on_cores(&self) -> usize {
        self.working.len()
    }

    /// Work that each run gets in a microsecond.
    fn rate(&self) -> f64 {
        let running = self.working.len() as f64;
        if running == 0.0 {
            return 0.0;
        }
        let age = self.at.saturating_sub(self.since) as f64 / self.setup.warm_after.max(1) as f64;
        let warmth = (self.setup.cold_from + (1.0 - self.setup.cold_from) * age).min(1.0);
        let share = (self.setup.cores / running).min(1.0);
        share * self.setup.speed * warmth / self.slowdown.max(0.01)
    }

    fn pass(&mut self, now: Micros) {
        self.done += self.rate() * now.saturating_sub(self.at) as f64;
        self.at = self.at.max(now);
    }

    fn work_on(&mut self, id: u64) {
        let done = self.done;
        if let Some(run) = self.runs.get_mut(&id) {
            let until = done + run.piece;
            run.stage = Stage::Working(until);
            self.working.insert((until.to_bits(), id));
        }
    }

    fn notice(
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
        if let Some(link) = channel.link.filter(|_| channel.synced) {
            if std::mem::take(tears) {
                out.push(Effect::Send(
                    link,
                    line.as_bytes()[..line.len() / 2].to_vec(),
                ));
                out.push(Effect::Close(link));
                (channel.link, channel.synced) = (None, false);
            } else {
                out.push(Effect::Send(link, line.clone().into_bytes()));
                let earlier = channel
                    .notices
                    .iter()
                    .nth_back((channel.number % 7) as usize);
                let repeats = channel.number.wrapping_mul(7_919) % 1_000
                    < u64::from(self.repeated_notices_per_mille);
                if let Some((_, earlier)) = earlier.filter(|_| repeats) {
                    out.push(Effect::Send(link, earlier.clone().into_bytes()));
                }
            }
        }
        channel.notices.push_back((channel.number, line));
        if channel.notices.len() > KEPT {
            channel.notices.pop_front();
        }
        channel.number
    }

    fn end(&mut self, now: Micros, id: u64, out: &mut Vec<Effect>) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let mut random = SmallRng::seed_from_u64(self.setup.seed ^ id.rotate_left(17));
        let ms = now.saturating_sub(run.started) as f64 / 1_000.0;
        if random.random_range(0..1_000) < self.setup.faults_per_mille {
            let notice =
                json!({"t": "end", "rid": format!("{id:016x}"), "status": "fault", "time_ms": ms});
            self.notice(run.channel, notice, out);
            return;
        }
        self.stats.succeeded += 1;
        let b64 = STANDARD.encode(result_of(id));
        let notice = json!({"t": "end", "rid": format!("{id:016x}"), "status": "fine", "time_ms": ms, "b64": b64});
        self.notice(run.channel, notice, out);
    }

    fn unreadable(&mut self, channel: usize, link: ConnectionId, out: &mut Vec<Effect>) {
        self.stats.malformed_commands += 1;
        out.push(Effect::Close(link));
        (self.channels[channel].link, self.channels[channel].synced) = (None, false);
    }

    fn command(
        &mut self,
        now: Micros,
        channel: usize,
        link: ConnectionId,
        line: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let Ok(command) = serde_json::from_slice::<Command>(line) else {
            return self.unreadable(channel, link, out);
        };
        let nack = |status: &str| {
            Effect::Send(
                link,
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
                    self.since = now;
                }
                let ms = now.saturating_sub(self.since) as f64 / 1_000.0;
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
                out.push(Effect::Send(link, text.into_bytes()));
                channel.synced = true;
            }
            "start" => {
                let kind = self
                    .setup
                    .classes
                    .iter()
                    .position(|kind| kind.name == command.route);
                let body = STANDARD.decode(&command.b64);
                match (kind, u64::from_str_radix(&command.rid, 16), body) {
                    (Some(kind), Ok(id), Ok(_)) => self.start(now, channel, kind, id, out),
                    _ => out.push(nack("start")),
                }
            }
            "give" | "omit" => {
                let id = u64::from_str_radix(&command.rid, 16).unwrap_or_default();
                let waits = self.runs.get(&id).map(|run| run.stage);
                match waits {
                    Some(Stage::Waiting(number)) if command.t == "give" || command.no == number => {
                        self.work_on(id);
                    }
                    Some(_) => {}
                    // A run that is over needs nothing any more.
                    None if self.stats.starts.contains_key(&id) => {}
                    None => out.push(nack(&command.t)),
                }
            }
            "gauges" => {
                let running = self.working.len() as f64;
                let v = [(running / self.setup.cores).min(1.0), running, 0.0, 0.0];
                let load = json!({"t": "load", "mark": command.mark, "v": v});
                out.push(Effect::Send(link, format!("{load}\n").into_bytes()));
            }
            _ => self.unreadable(channel, link, out),
        }
    }

    fn start(&mut self, now: Micros, channel: usize, kind: usize, id: u64, out: &mut Vec<Effect>) {
        if self.runs.contains_key(&id) {
            return;
        }
        if self.over.remove(&id) {
            let rid = format!("{id:016x}");
            let notice = json!({"t": "end", "rid": rid, "status": "late", "time_ms": 0.0});
            self.notice(channel, notice, out);
            return;
        }
        let seen = self.stats.starts.entry(id).or_insert((kind, 0, now));
        seen.1 += 1;
        seen.2 = now;
        self.stats.start_order.push(id);
        let mut random = SmallRng::seed_from_u64(self.setup.seed ^ id);
        let of = &self.setup.classes[kind];
        let work = random.random_range(of.work.0..=of.work.1) as f64;
        let calls = random.random_range(of.calls.0..=of.calls.1);
        let piece = work / f64::from(calls + 1);
        self.runs.insert(
            id,
            Run {
                kind,
                channel,
                started: now,
                stage: Stage::Waiting(0),
                piece,
                calls,
            },
        );
        self.stats.peak_running = self.stats.peak_running.max(self.runs.len());
        if self.setup.instant_runs {
            self.end(now, id, out);
        } else {
            self.work_on(id);
        }
    }

    /// Ids of requests that must not run twice and did.
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
    fn on_open(&mut self, now: Micros, link: ConnectionId, out: &mut Vec<Effect>) {
        self.on_accept(now, link, 0, out);
    }

    fn on_accept(&mut self, now: Micros, link: ConnectionId, door: usize, out: &mut Vec<Effect>) {
        if self.down_until.is_some_and(|until| now < until) {
            out.push(Effect::Reset(link));
            return;
        }
        if self.channels.len() <= door {
            self.channels.resize_with(door + 1, Channel::default);
        }
        let channel = &mut self.channels[door];
        // A new link replaces the one before it.
        out.extend(channel.link.replace(link).map(Effect::Close));
        channel.synced = false;
        channel.input.clear();
    }

    fn on_data(&mut self, now: Micros, link: ConnectionId, bytes: &[u8], out: &mut Vec<Effect>) {
        let Some(channel) = self
            .channels
            .iter()
            .position(|channel| channel.link == Some(link))
        else {
            return;
        };
        self.pass(now);
        let mut input = std::mem::take(&mut self.channels[channel].input);
        input.extend_from_slice(bytes);
        let mut used = 0;
        while let Some(length) = input[used..].iter().position(|b| *b == b'\n') {
            let line = &input[used..used + length];
            used += length + 1;
            if self.channels[channel].link == Some(link) {
                self.command(now, channel, link, line, out);
            }
        }
        input.drain(..used);
        self.channels[channel].input = input;
    }

    fn on_close(&mut self, _: Micros, link: ConnectionId, _: &mut Vec<Effect>) {
        for channel in self
            .channels
            .iter_mut()
            .filter(|channel| channel.link == Some(link))
        {
            (channel.link, channel.synced) = (None, false);
        }
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.pass(now);
        while let Some(&(until, id)) = self.working.first() {
            if f64::from_bits(until) > self.done {
                break;
            }
            self.working.pop_first();
            let Some(run) = self.runs.get_mut(&id) else {
                continue;
            };
            if run.calls == 0 {
                self.over.remove(&id);
                self.end(now, id, out);
                continue;
            }
            if self.over.remove(&id) {
                self.break_off(now, id, out);
                continue;
            }
            run.calls -= 1;
            let (kind, channel) = (run.kind, run.channel);
            let call = STANDARD.encode(format!("call of {}", self.setup.classes[kind].name));
            let notice = json!({"t": "wants", "rid": format!("{id:016x}"), "b64": call});
            let number = self.notice(channel, notice, out);
            if let Some(run) = self.runs.get_mut(&id) {
                run.stage = Stage::Waiting(number);
            }
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        let &(until, _) = self.working.first()?;
        let wait = (f64::from_bits(until) - self.done).max(0.0) / self.rate().max(1e-9);
        // A core that warms gets faster meanwhile.
        Some(self.at + (wait.ceil() as Micros).clamp(1, 50_000))
    }
}
