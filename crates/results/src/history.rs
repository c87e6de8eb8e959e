//! What a key's history permits. Decisions alone: no I/O, no clock.
//!
//! The life of a key: accepted (its first try is held), intent (being written, then durable), started, finished (the
//! result being written, then durable), or unknown (started by somebody who did not live to see the end). Whether a
//! request runs, waits or is refused is the controller's affair; this says only what must not happen for the key's sake:
//!
//! - a start goes out only after its intent is durable, an answer only after its result is;
//! - a key that may have run is never run again before its window has passed, and never turned away;
//! - all tries of a key are told the same, and a key with another request's body is told so.

use crate::record::{Outcome, Record, ScopedKey};
use cleatpulley_policy::interface::{Micros, RequestId};
use std::collections::{BTreeSet, HashMap};

/// How much may be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Keys.
    pub entries: usize,
    /// Bytes of results.
    pub bytes: usize,
    /// How long a key is remembered from its first try on.
    pub window: Micros,
}

/// What is to be done with a try that carries a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is the first: the controller decides on it as on any other.
    First,
    /// The first is held or runs: this one waits, and is told what the first is told.
    Waits(RequestId),
    /// The first ended so.
    Known(Outcome),
    /// The first may have run, and nobody knows how it ended.
    Unknown,
    /// The key belongs to a request of another class or body.
    OtherRequest,
    /// No room for a further key, or nowhere to write it: to be refused, as it never ran.
    NoRoom,
}

/// What is to be carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Write this of a key, until then; [`History::durable`] is told its ticket once it is durable.
    Write {
        /// Numbers rise; durable means all up to it.
        ticket: u64,
        /// The key.
        key: ScopedKey,
        /// What.
        record: Record,
        /// When it may be forgotten.
        expiry: Micros,
    },
    /// Forget what was written of a key: its intent was never followed by a start.
    Erase {
        /// The key.
        key: ScopedKey,
    },
    /// Start the request.
    Start(RequestId),
    /// Tell a try how its key ended.
    Tell(RequestId, Outcome),
    /// Turn a try away: its key never ran.
    TurnAway(RequestId),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    Accepted,
    /// The intent is being written under this ticket.
    Intent(u64),
    Started,
    /// The result is being written under this ticket.
    Ending(u64, Outcome),
    Finished(Outcome),
    Unknown,
}

#[derive(Debug)]
struct Entry {
    digest: u128,
    stage: Stage,
    first: RequestId,
    /// The first's caller still waits.
    first_waits: bool,
    waiting: Vec<RequestId>,
    expiry: Micros,
    /// Something of it was written.
    written: bool,
    bytes: usize,
}

/// The histories of all keys that are remembered.
#[derive(Debug)]
pub struct History {
    bounds: Bounds,
    entries: HashMap<ScopedKey, Entry>,
    /// Open tries, and their keys.
    tries: HashMap<RequestId, ScopedKey>,
    /// First tries that were started, and their keys, also where nobody waits for them any more.
    runs: HashMap<RequestId, ScopedKey>,
    expiries: BTreeSet<(Micros, ScopedKey)>,
    /// Keys by the ticket that they wait for.
    tickets: BTreeSet<(u64, ScopedKey)>,
    next_ticket: u64,
    bytes: usize,
    well: bool,
}

impl History {
    /// One without any key.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            entries: HashMap::new(),
            tries: HashMap::new(),
            runs: HashMap::new(),
            expiries: BTreeSet::new(),
            tickets: BTreeSet::new(),
            next_ticket: 1,
            bytes: 0,
            well: true,
        }
    }

    /// Keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// No key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tries that have no answer yet.
    #[must_use]
    pub fn open(&self) -> usize {
        self.tries.len()
    }

    /// Takes up what was found written at the start. An intent without an end may have run.
    pub fn recover(&mut self, key: ScopedKey, record: Record, expiry: Micros) {
        let digest = record.digest();
        let stage = match record {
            Record::Intent { .. } => Stage::Unknown,
            Record::Finished { outcome, .. } => Stage::Finished(outcome),
        };
        let bytes = weight(&stage);
        self.bytes += bytes;
        self.expiries.insert((expiry, key.clone()));
        let entry = Entry {
            digest,
            stage,
            first: 0,
            first_waits: false,
            waiting: Vec::new(),
            expiry,
            written: true,
            bytes,
        };
        self.entries.insert(key, entry);
    }

    /// A try with a key has come.
    pub fn arrive(&mut self, now: Micros, id: RequestId, key: &ScopedKey, digest: u128) -> Verdict {
        self.expire(now);
        if let Some(entry) = self.entries.get_mut(key) {
            if entry.digest != digest {
                return Verdict::OtherRequest;
            }
            return match &entry.stage {
                Stage::Finished(outcome) => Verdict::Known(outcome.clone()),
                Stage::Unknown => Verdict::Unknown,
                Stage::Accepted | Stage::Intent(_) | Stage::Started | Stage::Ending(..) => {
                    entry.waiting.push(id);
                    self.tries.insert(id, key.clone());
                    Verdict::Waits(entry.first)
                }
            };
        }
        // An entry inside its window is never dropped for a new one.
        if !self.well || self.entries.len() >= self.bounds.entries || self.bytes >= self.bounds.bytes {
            return Verdict::NoRoom;
        }
        let expiry = now + self.bounds.window;
        let entry = Entry {
            digest,
            stage: Stage::Accepted,
            first: id,
            first_waits: true,
            waiting: Vec::new(),
            expiry,
            written: false,
            bytes: 0,
        };
        self.entries.insert(key.clone(), entry);
        self.expiries.insert((expiry, key.clone()));
        self.tries.insert(id, key.clone());
        Verdict::First
    }

    /// The controller wants a first try run: its intent has to be durable before the start goes out.
    pub fn run(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(key) = self.tries.get(&id).cloned() else { return };
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.first == id && e.stage == Stage::Accepted)
        else {
            return;
        };
        if !self.well {
            self.give_up(&key, effects);
            return;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        entry.stage = Stage::Intent(ticket);
        entry.written = true;
        let (record, expiry) = (Record::Intent { digest: entry.digest }, entry.expiry);
        self.tickets.insert((ticket, key.clone()));
        effects.push(Effect::Write { ticket, key, record, expiry });
    }

    /// All that was written up to this ticket is durable.
    pub fn durable(&mut self, upto: u64, effects: &mut Vec<Effect>) {
        while let Some((ticket, key)) = self.tickets.pop_first() {
            if ticket > upto {
                self.tickets.insert((ticket, key));
                return;
            }
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            match std::mem::replace(&mut entry.stage, Stage::Started) {
                Stage::Intent(at) if at == ticket => {
                    self.runs.insert(entry.first, key.clone());
                    effects.push(Effect::Start(entry.first));
                }
                Stage::Ending(at, outcome) if at == ticket => {
                    entry.stage = Stage::Finished(outcome.clone());
                    self.tell_all(&key, &outcome, effects);
                }
                stage => entry.stage = stage,
            }
        }
    }

    /// The run of a first try is over. Its result is told once it is durable.
    pub fn ended(&mut self, id: RequestId, outcome: Outcome, effects: &mut Vec<Effect>) {
        let Some(key) = self.runs.remove(&id) else { return };
        let well = self.well;
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.first == id && e.stage == Stage::Started)
        else {
            return;
        };
        if !well {
            // Nobody may be told what a crash could take back: what is durable is that it may have run.
            entry.stage = Stage::Unknown;
            self.tell_all(&key, &Outcome::Failed, effects);
            return;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let record = Record::Finished { digest: entry.digest, outcome: outcome.clone() };
        entry.stage = Stage::Ending(ticket, outcome);
        let bytes = weight(&entry.stage);
        self.bytes += bytes;
        entry.bytes = bytes;
        let expiry = entry.expiry;
        self.tickets.insert((ticket, key.clone()));
        effects.push(Effect::Write { ticket, key, record, expiry });
    }

    /// The controller turned a first try away: its key never ran, and nobody who waits for it is served.
    pub fn turned_away(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(key) = self.tries.get(&id).cloned() else { return };
        let Some(entry) = self.entries.get(&key) else { return };
        if entry.first != id {
            self.left(id);
            return;
        }
        match entry.stage {
            Stage::Accepted | Stage::Intent(_) => {
                self.tries.remove(&id);
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.first_waits = false;
                }
                self.give_up(&key, effects);
            }
            // It may have run: the controller's word comes too late, and is no answer for the others.
            _ => self.left(id),
        }
    }

    /// A try has its answer elsewhere, or its caller is gone: its key lives on.
    pub fn left(&mut self, id: RequestId) {
        let Some(key) = self.tries.remove(&id) else { return };
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.waiting.retain(|other| *other != id);
            if entry.first == id {
                entry.first_waits = false;
            }
        }
    }

    /// Whether a start reached the runtime will never be known: it may have run.
    pub fn doubtful(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(key) = self.runs.remove(&id) else { return };
        if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.first == id && e.stage == Stage::Started)
        {
            entry.stage = Stage::Unknown;
            self.tell_all(&key, &Outcome::Failed, effects);
        }
    }

    /// The store takes no more writes, or takes them again. What was to be written and is not durable counts as not
    /// written: intents are given up, as nothing was started; results are told as failures.
    pub fn set_well(&mut self, well: bool, effects: &mut Vec<Effect>) {
        self.well = well;
        if well {
            return;
        }
        for (_, key) in std::mem::take(&mut self.tickets) {
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            match &entry.stage {
                Stage::Intent(_) => self.give_up(&key, effects),
                Stage::Ending(..) => {
                    entry.stage = Stage::Unknown;
                    self.tell_all(&key, &Outcome::Failed, effects);
                }
                _ => {}
            }
        }
    }

    /// Forgets what is past its window. A key whose request is still open stays as long as that.
    pub fn expire(&mut self, now: Micros) {
        let mut stay = Vec::new();
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            let Some((at, key)) = self.expiries.pop_first() else { return };
            let over = |entry: &Entry| matches!(entry.stage, Stage::Finished(_) | Stage::Unknown);
            if self.entries.get(&key).is_some_and(over) {
                self.remove(&key);
            } else if self.entries.contains_key(&key) {
                stay.push((at, key));
            }
        }
        self.expiries.extend(stay);
    }

    fn remove(&mut self, key: &ScopedKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.bytes = self.bytes.saturating_sub(entry.bytes);
            self.expiries.remove(&(entry.expiry, key.clone()));
        }
    }

    /// A key that was never started: all who wait are turned away, and it is as if it had never come.
    fn give_up(&mut self, key: &ScopedKey, effects: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get(key) else { return };
        if let Stage::Intent(ticket) = entry.stage {
            self.tickets.remove(&(ticket, key.clone()));
        }
        let tries = entry.first_waits.then_some(entry.first).into_iter().chain(entry.waiting.iter().copied());
        for id in tries {
            self.tries.remove(&id);
            effects.push(Effect::TurnAway(id));
        }
        if entry.written {
            effects.push(Effect::Erase { key: key.clone() });
        }
        self.remove(key);
    }

    fn tell_all(&mut self, key: &ScopedKey, outcome: &Outcome, effects: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let first = std::mem::take(&mut entry.first_waits).then_some(entry.first);
        for id in first.into_iter().chain(std::mem::take(&mut entry.waiting)) {
            self.tries.remove(&id);
            effects.push(Effect::Tell(id, outcome.clone()));
        }
    }
}

fn weight(stage: &Stage) -> usize {
    match stage {
        Stage::Finished(Outcome::Served(result)) | Stage::Ending(_, Outcome::Served(result)) => result.len(),
        _ => 0,
    }
}
