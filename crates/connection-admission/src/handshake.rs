//! Which TLS handshakes run, and when. A handshake costs CPU that running requests need: at most so many begin a second
//! and run at a time; resumptions cost less and go first, known callers go first, and a part of both bounds is kept for
//! them, so that a flood of strangers' full handshakes can't take it all. What waits is bounded too; the whole handshake,
//! from the accept to its end, has a deadline.
//!
//! Fed with what the front sees (accepted, the first record read, done) and the time; it returns what is to begin, to
//! wait or to be closed.

use crate::admit::Known;
use cleatpulley_policy::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// What an operator sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Full handshakes that may begin a second.
    pub per_second: f64,
    /// Of them, at once.
    pub burst: f64,
    /// Handshakes that run at a time.
    pub at_once: usize,
    /// What a resumption costs of the rate, beside a full handshake's 1.
    pub resumed_cost: f64,
    /// Share of the rate and of the places kept for known callers and resumptions.
    pub reserve: f64,
    /// From the accept to the end of the handshake.
    pub deadline: Micros,
    /// Handshakes that may wait for their turn.
    pub waiting: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            per_second: 500.0,
            burst: 50.0,
            at_once: 32,
            resumed_cost: 0.25,
            reserve: 0.25,
            deadline: 3_000_000,
            waiting: 256,
        }
    }
}

/// What the client's first record offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// It offers to resume a session.
    pub resumes: bool,
    /// How its address is known.
    pub known: Known,
}

impl Offer {
    /// Lower goes first.
    fn rank(self) -> u8 {
        match (self.known > Known::Unknown, self.resumes) {
            (true, true) => 0,
            (true, false) => 1,
            (false, true) => 2,
            (false, false) => 3,
        }
    }
}

/// What is to be done with a handshake that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It begins now.
    Begin,
    /// It waits; [`Handshakes::next`] tells when it begins.
    Wait,
    /// It is closed: too many wait who come before it.
    Refuse,
}

/// What was decided so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Handshakes begun, full ones.
    pub full: u64,
    /// And resumptions.
    pub resumed: u64,
    /// Begun after a wait.
    pub waited: u64,
    /// Closed as too many waited.
    pub refused: u64,
    /// Closed at their deadline.
    pub overdue: u64,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    offer: Offer,
    since: Micros,
}

/// The handshakes of one process.
#[derive(Debug)]
pub struct Handshakes {
    settings: Settings,
    /// The bucket of all handshakes, and that of strangers' full ones, which fills at what the reserve leaves.
    tokens: f64,
    strangers_tokens: f64,
    at: Micros,
    /// Accepted, with no first record yet: when.
    pending: BTreeMap<u64, Micros>,
    /// Running: since the accept, and whether a stranger's full one.
    running: BTreeMap<u64, (Micros, bool)>,
    strangers: usize,
    /// Waiting, best first: rank, since, number.
    queue: BTreeSet<(u8, Micros, u64)>,
    waiting: BTreeMap<u64, Waiting>,
    /// Pushed out of the queue by better ones, to be closed.
    evicted: Vec<u64>,
    /// What was decided.
    pub counts: Counts,
}

impl Handshakes {
    /// None running, the rate's bucket full.
    #[must_use]
    pub fn new(settings: Settings, now: Micros) -> Self {
        Self {
            tokens: settings.burst,
            strangers_tokens: settings.burst * (1.0 - settings.reserve),
            at: now,
            settings,
            pending: BTreeMap::new(),
            running: BTreeMap::new(),
            strangers: 0,
            queue: BTreeSet::new(),
            waiting: BTreeMap::new(),
            evicted: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// What it was set to.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    fn refill(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        let (per_second, burst, share) = (
            self.settings.per_second,
            self.settings.burst,
            1.0 - self.settings.reserve,
        );
        self.tokens = (self.tokens + passed * per_second).min(burst);
        self.strangers_tokens =
            (self.strangers_tokens + passed * per_second * share).min((burst * share).max(1.0));
        self.at = self.at.max(now);
    }

    fn cost(&self, offer: Offer) -> f64 {
        if offer.resumes {
            self.settings.resumed_cost
        } else {
            1.0
        }
    }

    /// Tokens that one of these lacks before it may begin.
    fn short(&self, offer: Offer) -> f64 {
        let cost = self.cost(offer);
        let short = cost - self.tokens;
        if offer.rank() == 3 {
            short.max(cost - self.strangers_tokens)
        } else {
            short
        }
    }

    /// Whether one of these may begin now.
    fn fits(&self, offer: Offer) -> bool {
        let stranger = offer.rank() == 3;
        let places = self.settings.at_once.max(1);
        let stranger_places = ((1.0 - self.settings.reserve) * places as f64)
            .floor()
            .max(1.0) as usize;
        let room = self.running.len() < places && (!stranger || self.strangers < stranger_places);
        room && self.short(offer) <= 1e-9
    }

    fn begin(&mut self, number: u64, offer: Offer, since: Micros) {
        self.tokens -= self.cost(offer);
        let stranger = offer.rank() == 3;
        if stranger {
            self.strangers_tokens -= self.cost(offer);
        }
        self.strangers += usize::from(stranger);
        self.running.insert(number, (since, stranger));
        if offer.resumes {
            self.counts.resumed += 1;
        } else {
            self.counts.full += 1;
        }
    }

    /// A connection was accepted; its deadline runs from now.
    pub fn accepted(&mut self, now: Micros, number: u64) {
        self.pending.insert(number, now);
    }

    /// Its first record has come. Where it waits, a better one that comes later goes before it.
    pub fn offer(&mut self, now: Micros, number: u64, offer: Offer) -> Turn {
        if self.running.contains_key(&number) {
            return Turn::Begin;
        }
        if self.waiting.contains_key(&number) {
            return Turn::Wait;
        }
        self.refill(now);
        let since = self.pending.remove(&number).unwrap_or(now);
        let rank = offer.rank();
        let better_waits = self
            .queue
            .first()
            .is_some_and(|&(first, _, _)| first <= rank);
        if !better_waits && self.fits(offer) {
            self.begin(number, offer, since);
            return Turn::Begin;
        }
        if self.waiting.len() >= self.settings.waiting {
            // The last of those who wait goes, where it comes after this one.
            match self.queue.last().copied() {
                Some(last) if last.0 > rank => {
                    self.queue.remove(&last);
                    self.waiting.remove(&last.2);
                    self.counts.refused += 1;
                    self.evicted.push(last.2);
                }
                _ => {
                    self.counts.refused += 1;
                    return Turn::Refuse;
                }
            }
        }
        self.queue.insert((rank, since, number));
        self.waiting.insert(number, Waiting { offer, since });
        Turn::Wait
    }

    /// Its handshake ended, or its connection did: its place is free.
    pub fn done(&mut self, number: u64) {
        self.pending.remove(&number);
        if let Some((_, stranger)) = self.running.remove(&number) {
            self.strangers -= usize::from(stranger);
        }
        if let Some(waiting) = self.waiting.remove(&number) {
            self.queue
                .remove(&(waiting.offer.rank(), waiting.since, number));
        }
    }

    /// Those that waited and begin now, best first.
    pub fn next(&mut self, now: Micros) -> Vec<u64> {
        self.refill(now);
        let mut begun = Vec::new();
        while let Some(&(rank, since, number)) = self.queue.first() {
            let Some(&Waiting { offer, .. }) = self.waiting.get(&number) else {
                break;
            };
            if !self.fits(offer) {
                // Those behind it come after it, whether they would fit or not.
                break;
            }
            self.queue.remove(&(rank, since, number));
            self.waiting.remove(&number);
            self.begin(number, offer, since);
            self.counts.waited += 1;
            begun.push(number);
        }
        begun
    }

    /// Those to be closed now: beyond their deadline, wherever they are, and those pushed out of the queue.
    pub fn overdue(&mut self, now: Micros) -> Vec<u64> {
        let mut over = std::mem::take(&mut self.evicted);
        let late = |since: Micros| now >= since + self.settings.deadline;
        over.extend(
            self.pending
                .iter()
                .filter(|(_, &since)| late(since))
                .map(|(&n, _)| n),
        );
        over.extend(
            self.running
                .iter()
                .filter(|(_, &(since, _))| late(since))
                .map(|(&n, _)| n),
        );
        over.extend(
            self.waiting
                .iter()
                .filter(|(_, w)| late(w.since))
                .map(|(&n, _)| n),
        );
        for &number in &over {
            if self.pending.contains_key(&number)
                || self.running.contains_key(&number)
                || self.waiting.contains_key(&number)
            {
                self.counts.overdue += 1;
            }
            self.done(number);
        }
        over
    }

    /// When the first that waits may begin, or the next deadline comes.
    #[must_use]
    pub fn wake_at(&self) -> Option<Micros> {
        let deadline = [
            self.pending.values().min().copied(),
            self.running.values().map(|&(since, _)| since).min(),
            self.waiting.values().map(|w| w.since).min(),
        ];
        let deadline = deadline
            .into_iter()
            .flatten()
            .min()
            .map(|since| since + self.settings.deadline);
        // Where places are short, a handshake that ends makes the next begin; where tokens are, time does.
        let refill = self.queue.first().and_then(|&(rank, _, number)| {
            let offer = self.waiting.get(&number)?.offer;
            let short = self.short(offer);
            let share = if rank == 3 {
                1.0 - self.settings.reserve
            } else {
                1.0
            };
            let per_second = (self.settings.per_second * share).max(1e-9);
            (short > 1e-9).then(|| self.at + (short / per_second * 1e6).ceil() as Micros)
        });
        [deadline, refill].into_iter().flatten().min()
    }

    /// Handshakes that run, and those that wait.
    #[must_use]
    pub fn census(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }
}

#[cfg(test)]
mod tests;
