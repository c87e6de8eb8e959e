//! Callers that send the same keyed request again and again, without limit, while the matcher is killed and started
//! again; and the judgement of what became of each key, from the books of the runtime and of these callers alone.

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
/// The field of frames that keys stand in.
pub const KEY_FIELD: &str = "once";
const CLASS: &str = "claim-seat";
/// Requests open on one connection.
const OPEN: usize = 32;
const CONNECTIONS: usize = 6;
/// Keys in use at a time; one that was served so often makes room for another.
const SEATS: usize = 24;
const ENOUGH: u32 = 4;
/// In the end a result that was told counts as forgotten after so many failures in a row.
const FORGOTTEN: u32 = 5;
/// Results asked for again at a time in the end.
const CONFIRMING: usize = 16;
/// And all of them have to come within this time.
const PATIENCE: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Seat {
    next_at: Micros,
    /// The ids of its tries.
    ids: Vec<u64>,
    /// The result that somebody was told.
    told: Option<Vec<u8>>,
    served: u32,
    unknown: u32,
    /// When tries of it were turned away.
    refused: Vec<Micros>,
    /// Failures in a row since its result was told: a disk that is slow for a moment makes some, as what waits for it
    /// is bounded; a result that is forgotten goes on failing.
    failures: u32,
    /// It was asked for after the last kill, and its result came again.
    confirmed: bool,
}

struct Asked {
    seat: u64,
    at: Micros,
}

#[derive(Default)]
struct Line {
    up: bool,
    gone: bool,
    input: Vec<u8>,
    open: BTreeMap<u32, Asked>,
    streams: u32,
    waiting: Vec<u8>,
}

/// What was seen.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Tries that were sent.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Served with a result that had been told before.
    pub served_repeats: u64,
    /// Failed: it may have run.
    pub unknown: u64,
    /// Turned away.
    pub rejected: u64,
    /// Rules that were broken.
    pub violations: Vec<String>,
}

/// The callers.
pub struct RetryingCallers {
    to: Option<SocketAddr>,
    random: SmallRng,
    links: ConnectionId,
    lines: BTreeMap<ConnectionId, Line>,
    /// Connections to close.
    spent: Vec<ConnectionId>,
    seats: BTreeMap<u64, Seat>,
    /// Those in use.
    active: Vec<u64>,
    next_seat: u64,
    next_at: Micros,
    deadline: Micros,
    /// The last kill is over: only results that were told are asked for, until each has come again.
    confirming: bool,
    /// What was seen.
    pub stats: Stats,
}

impl RetryingCallers {
    fn new(seed: u64, now: Micros, deadline: Micros) -> Self {
        Self {
            to: None,
            random: SmallRng::seed_from_u64(seed),
            links: 1,
            lines: BTreeMap::new(),
            spent: Vec::new(),
            seats: BTreeMap::new(),
            active: Vec::new(),
            next_seat: 1,
            next_at: now,
            deadline,
            confirming: false,
            stats: Stats::default(),
        }
    }

    /// The matcher listens here now, or nowhere: what is open is owed no answer then.
    pub fn set_target(&mut self, to: Option<SocketAddr>) {
        self.to = to;
        if to.is_none() {
            self.spent
                .extend(std::mem::take(&mut self.lines).into_keys());
        }
    }

    fn break_rule(&mut self, what: String) {
        if self.stats.violations.len() < 20 {
            self.stats.violations.push(what);
        }
    }

    /// Asks from now on for results that were told, and for nothing else.
    fn confirm(&mut self) {
        self.confirming = true;
        self.active.clear();
        for seat in self.seats.values_mut() {
            (seat.failures, seat.confirmed) = (0, seat.told.is_none());
        }
    }

    /// Each result that was told has come again, or is forgotten.
    fn is_settled(&self) -> bool {
        self.seats.values().all(|seat| seat.confirmed)
    }

    fn ask(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let Some(to) = self.to else { return };
        if self.confirming {
            self.active.retain(|seat| !self.seats[seat].confirmed);
            let (seats, active) = (&self.seats, &mut self.active);
            let rest = seats
                .iter()
                .filter(|(_, seat)| !seat.confirmed)
                .map(|(number, _)| *number);
            active.extend(
                rest.take(CONFIRMING)
                    .filter(|number| !active.contains(number))
                    .collect::<Vec<_>>(),
            );
            active.truncate(CONFIRMING);
        }
        while !self.confirming && self.active.len() < SEATS {
            self.seats.insert(
                self.next_seat,
                Seat {
                    next_at: now,
                    ..Seat::default()
                },
            );
            self.active.push(self.next_seat);
            self.next_seat += 1;
        }
        let due: Vec<u64> = self
            .active
            .iter()
            .copied()
            .filter(|seat| self.seats[seat].next_at <= now)
            .collect();
        for number in due {
            // Now and then one that was given up long ago comes again.
            let number = match self.random.random_range(0..8) {
                0 if !self.confirming => self.random.random_range(1..self.next_seat),
                _ => number,
            };
            let best = self
                .lines
                .iter()
                .filter(|(_, line)| !line.gone && line.open.len() < OPEN);
            let best = best.map(|(link, line)| (line.open.len(), *link)).min();
            let link = match best {
                Some((open, link)) if open == 0 || self.lines.len() >= CONNECTIONS => link,
                _ if self.lines.len() < CONNECTIONS => {
                    self.links += 2;
                    out.push(Effect::Connect(self.links, to));
                    self.lines.insert(self.links, Line::default());
                    self.links
                }
                _ => return,
            };
            let id: u64 = self.random.random();
            let gap = self.random.random_range(2..40) * MS;
            let (Some(seat), Some(line)) = (self.seats.get_mut(&number), self.lines.get_mut(&link))
            else {
                continue;
            };
            seat.next_at = now + gap;
            seat.ids.push(id);
            line.streams += 1;
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
            let frame = request_frame(line.streams, &fields, format!("claim {number}").as_bytes());
            line.open.insert(
                line.streams,
                Asked {
                    seat: number,
                    at: now,
                },
            );
            self.stats.sent += 1;
            if line.up {
                out.push(Effect::Send(link, frame));
            } else {
                line.waiting.extend_from_slice(&frame);
            }
        }
    }

    fn answered(&mut self, now: Micros, asked: &Asked, said: Option<ResponseOutcome>) {
        if now > asked.at + self.deadline + 200 * MS {
            self.break_rule(format!("seat {}: answered after its due time", asked.seat));
        }
        let Some(seat) = self.seats.get_mut(&asked.seat) else {
            return;
        };
        let mut broken = None;
        match said {
            Some(ResponseOutcome::Served(result)) => {
                self.stats.served += 1;
                seat.served += 1;
                seat.failures = 0;
                seat.confirmed = self.confirming;
                match &seat.told {
                    Some(told) if *told != result => broken = Some("two results that differ"),
                    Some(_) => self.stats.served_repeats += 1,
                    None => seat.told = Some(result),
                }
                if seat.served >= ENOUGH && !self.confirming {
                    self.active.retain(|other| *other != asked.seat);
                }
            }
            Some(ResponseOutcome::Refused(_)) => {
                self.stats.rejected += 1;
                seat.refused.push(now);
            }
            Some(ResponseOutcome::Failed) => {
                self.stats.unknown += 1;
                seat.unknown += 1;
                seat.failures += u32::from(seat.told.is_some());
                if self.confirming && seat.failures >= FORGOTTEN && !seat.confirmed {
                    seat.confirmed = true;
                    broken = Some("a result that was told is forgotten");
                }
                if seat.unknown >= ENOUGH && !self.confirming {
                    self.active.retain(|other| *other != asked.seat);
                }
            }
            None => broken = Some("an answer that can't be read"),
        }
        if let Some(what) = broken {
            self.break_rule(format!("seat {}: {what}", asked.seat));
        }
    }

    /// Judges all keys by what the runtime has seen started: class, number and last time by id.
    pub fn judge(&mut self, starts: &HashMap<u64, (usize, u32, Micros)>) {
        let mut broken = Vec::new();
        for (number, seat) in &self.seats {
            let ran: Vec<_> = seat
                .ids
                .iter()
                .filter_map(|id| starts.get(id).map(|seen| (id, seen)))
                .collect();
            let runs: u32 = ran.iter().map(|(_, seen)| seen.1).sum();
            if runs > 1 {
                broken.push(format!("seat {number} ran {runs} times"));
            }
            if let Some(told) = &seat.told {
                if !ran.iter().any(|(id, _)| result_of(**id) == *told) {
                    broken.push(format!("seat {number}: a result that no run of it made"));
                }
            }
            let after = |at: &&Micros| ran.iter().any(|(_, seen)| seen.2 < **at);
            if seat.refused.iter().find(after).is_some() {
                broken.push(format!("seat {number}: turned away after it had run"));
            }
        }
        broken.into_iter().for_each(|what| self.break_rule(what));
    }

    /// Keys that were asked for.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.seats.len()
    }
}

impl Service for RetryingCallers {
    fn on_open(&mut self, _: Micros, link: ConnectionId, out: &mut Vec<Effect>) {
        if let Some(line) = self.lines.get_mut(&link) {
            line.up = true;
            out.push(Effect::Send(link, std::mem::take(&mut line.waiting)));
        }
    }

    fn on_data(&mut self, now: Micros, link: ConnectionId, bytes: &[u8], out: &mut Vec<Effect>) {
        let Some(line) = self.lines.get_mut(&link) else {
            return;
        };
        line.input.extend_from_slice(bytes);
        let (answers, stray) = read_responses(&mut line.input, &mut line.open, &mut line.gone);
        if line.gone && line.open.is_empty() {
            self.lines.remove(&link);
            out.push(Effect::Close(link));
        }
        for (asked, said) in answers {
            self.answered(now, &asked, said);
        }
        if stray > 0 {
            self.break_rule(format!("{stray} answers that nobody asked for"));
        }
    }

    fn on_close(&mut self, _: Micros, link: ConnectionId, _: &mut Vec<Effect>) {
        // A process that was killed owes nothing; that it did not end by itself is seen where it was started.
        self.lines.remove(&link);
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.next_at = now + MS;
        out.extend(self.spent.drain(..).map(Effect::Reset));
        self.ask(now, out);
    }

    fn next_deadline(&self) -> Option<Micros> {
        Some(self.next_at)
    }
}

/// A matcher with kept results that is killed again and again.
#[derive(Debug, Clone)]
pub struct KillTrial {
    /// How often.
    pub kills: u32,
    /// For random numbers.
    pub seed: u64,
}

impl KillTrial {
    /// A site whose only class has an effect.
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
            worth: 1.0,
            skip_worth: 0.0,
        };
        Setup {
            classes: vec![class],
            cores: 8,
            seed,
            ..Setup::default()
        }
    }

    /// The section of the operator file that keeps its results in this folder.
    #[must_use]
    pub fn operator_section(folder: &Path) -> String {
        format!(
            "results: {{ folder: '{}', classes: ['{CLASS}'], window_ms: 600000, frame_field: '{KEY_FIELD}' }}",
            folder.display()
        )
    }

    /// Plays it; results are kept in this folder, which is not there yet.
    ///
    /// # Errors
    /// Where something can't be started, or the matcher ends by itself.
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
                // What is open is answered within its deadline, and then each result that was told is to come again.
                std::thread::sleep(Duration::from_millis(600));
                with_lock(&callers, RetryingCallers::confirm);
                let until = Instant::now() + PATIENCE;
                while !with_lock(&callers, |callers| callers.is_settled()) {
                    if Instant::now() > until {
                        return Err(io::Error::other(
                            "results that were told did not come again in time",
                        ));
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
            if !matcher.is_alive() {
                return Err(io::Error::other(format!(
                    "the matcher ended:\n{}",
                    matcher.log().join("\n")
                )));
            }
            drop(matcher);
            with_lock(&callers, |callers| callers.set_target(None));
        }
        drop(running);
        let starts = with_lock(&site.runtime, |runtime| runtime.stats.starts.clone());
        Ok(with_lock(&callers, |callers| {
            callers.judge(&starts);
            (callers.stats.clone(), callers.keys())
        }))
    }
}
