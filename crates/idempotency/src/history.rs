//! What a key's history permits. Decisions alone: no I/O, no clock.
//!
//! The life of a key: accepted (its first try is held), intent (being written, then durable), started, finished (the
//! result being written, then durable), or unknown (started by somebody who did not live to see the end). Whether a
//! request runs, waits or is refused is the controller's affair; this says only what must not happen for the key's sake:
//!
//! - a start goes out only after its intent is durable, an answer only after its result is;
//! - a key that may have run is never run again before its window has passed, and never turned away;
//! - all tries of a key are told the same, and a key with another request's body is told so.

use crate::fence::{Fence, Fences, Refused};
use crate::record::{Outcome, Record, ScopedKey};
use crate::table::{Place, Table};
use cleatpulley_policy::interface::{Micros, RequestId};
use cleatpulley_policy::plant::{planted, Bug};
use std::collections::{HashMap, VecDeque};

mod words;

pub use words::{Bounds, Effect, Verdict};

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    Accepted,
    /// The intent is being written under this ticket.
    Intent(u64),
    Started,
    /// The result is being written under this ticket.
    Ending(u64, Outcome),
}

#[derive(Debug)]
struct Open {
    stage: Stage,
    first: RequestId,
    /// The first's caller still waits.
    first_waits: bool,
    waiting: Vec<RequestId>,
    /// Something of it was written.
    written: bool,
    /// Its start may never have been read, and then no end will be told.
    doubt: bool,
}

#[derive(Debug)]
enum State {
    Open(Box<Open>),
    /// Ended, with a result of so many bytes in the store.
    Finished(u32),
    Unknown,
}

#[derive(Debug)]
struct Entry {
    /// Two halves, so that the entry needs no wider alignment.
    digest: [u64; 2],
    state: State,
}

/// What was found in a store at its start.
#[derive(Debug)]
pub struct Recovered {
    table: Table<Entry>,
    bytes: usize,
    /// Fences that were set.
    pub fences: Fences,
    /// Keys with a result, and keys whose fate nobody knows.
    pub finished: usize,
    /// The latter.
    pub unknown: usize,
}

impl Recovered {
    /// Nothing yet.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let (table, fences) = (Table::new(seed), Fences::default());
        Self {
            table,
            bytes: 0,
            fences,
            finished: 0,
            unknown: 0,
        }
    }

    /// Takes up what was found written of a key. An intent without an end may have run.
    pub fn add(&mut self, key: ScopedKey, record: &Record, expiry: Micros) {
        let state = match record {
            Record::Intent { .. } => {
                self.unknown += 1;
                State::Unknown
            }
            Record::Finished { outcome, .. } => {
                self.finished += 1;
                State::Finished(weight(outcome))
            }
        };
        if let State::Finished(bytes) = state {
            self.bytes += bytes as usize;
        }
        let place = self.table.insert(
            key,
            expiry,
            Entry {
                digest: halves(record.digest()),
                state,
            },
        );
        self.table.age(place);
    }

    /// Keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// None.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Memory of the table.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.table.bytes()
    }
}

/// The histories of all keys that are remembered.
#[derive(Debug)]
pub struct History {
    bounds: Bounds,
    table: Table<Entry>,
    fences: Fences,
    /// Open tries, and their keys.
    tries: HashMap<RequestId, Place>,
    /// First tries that were started, and their keys, also where nobody waits for them any more.
    runs: HashMap<RequestId, Place>,
    /// What is not durable yet, in the order it was written: ticket, key, and when.
    tickets: VecDeque<(u64, Place, Micros)>,
    next_ticket: u64,
    bytes: usize,
    /// What the store holds was taken up.
    ready: bool,
    well: bool,
    stalled: bool,
}

impl History {
    /// One that knows nothing yet and admits nothing before [`recovered`](Self::recovered).
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            table: Table::new(bounds.seed),
            fences: Fences::default(),
            tries: HashMap::new(),
            runs: HashMap::new(),
            tickets: VecDeque::new(),
            next_ticket: 1,
            bytes: 0,
            ready: false,
            well: true,
            stalled: false,
        }
    }

    /// Takes up what the store holds. Only once: until now nothing was admitted.
    pub fn recovered(&mut self, found: Recovered) {
        if !std::mem::replace(&mut self.ready, true) {
            (self.table, self.bytes, self.fences) = (found.table, found.bytes, found.fences);
        }
    }

    /// Another process has the store from here on: nothing is known here of any key, and none may run.
    pub fn release(&mut self) {
        (self.ready, self.well) = (false, false);
    }

    /// Keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// No key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Tries that have no answer yet.
    #[must_use]
    pub fn open(&self) -> usize {
        self.tries.len()
    }

    /// Runs that are on, those in doubt left out, which may never end.
    #[must_use]
    pub fn runs(&self) -> usize {
        let on = |place: &&Place| match self.table.get(**place).map(|entry| &entry.value.state) {
            Some(State::Open(open)) => !open.doubt,
            _ => false,
        };
        self.runs.values().filter(on).count()
    }

    /// A further key would be admitted.
    #[must_use]
    pub fn room(&self) -> bool {
        let fits = self.table.len() < self.bounds.entries && self.bytes < self.bounds.bytes;
        self.ready && self.well && !self.stalled && fits
    }

    /// A try with a key has come.
    pub fn arrive(&mut self, now: Micros, id: RequestId, key: &ScopedKey, digest: u128) -> Verdict {
        self.expire(now);
        if !self.ready {
            // What can't be read may have run: a refusal would send its caller to another server.
            return if self.well {
                Verdict::NotYet
            } else {
                Verdict::Unknown
            };
        }
        let found = self
            .table
            .find(key)
            .filter(|place| !self.is_over(now, *place));
        if let Some(place) = found {
            let Some(entry) = self.table.get_mut(place) else {
                return Verdict::NoRoom;
            };
            if entry.digest != halves(digest) && !planted(Bug::BodyIgnored) {
                return Verdict::OtherRequest;
            }
            return match &mut entry.state {
                State::Finished(_) => Verdict::Known,
                State::Unknown => Verdict::Unknown,
                // Its end may still come, but nobody should wait for it who was not there before.
                State::Open(open) if open.doubt && !open.first_waits => Verdict::Unknown,
                State::Open(open) => {
                    open.waiting.push(id);
                    self.tries.insert(id, place);
                    Verdict::Waits(open.first)
                }
            };
        }
        if !self.fences.owns(key) {
            return Verdict::Elsewhere;
        }
        // An entry inside its window is never dropped for a new one.
        if !self.room() {
            return Verdict::NoRoom;
        }
        let open = Open {
            stage: Stage::Accepted,
            first: id,
            first_waits: true,
            waiting: Vec::new(),
            written: false,
            doubt: false,
        };
        let entry = Entry {
            digest: halves(digest),
            state: State::Open(Box::new(open)),
        };
        let place = self
            .table
            .insert(key.clone(), now + self.bounds.window, entry);
        self.tries.insert(id, place);
        Verdict::First
    }

    /// Removes an entry that ended and is past its own time, though older ones stand before it in the log.
    fn is_over(&mut self, now: Micros, place: Place) -> bool {
        let over = self.table.get(place).is_some_and(|entry| {
            let over = entry.expiry <= now || planted(Bug::EntryDropped);
            over && !matches!(entry.value.state, State::Open(_))
        });
        if over {
            self.remove(place);
        }
        over
    }

    fn open_at(&mut self, place: Place) -> Option<&mut Open> {
        match &mut self.table.get_mut(place)?.state {
            State::Open(open) => Some(open),
            _ => None,
        }
    }

    fn ticket(&mut self, now: Micros, place: Place) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.push_back((ticket, place, now));
        ticket
    }

    /// The controller wants a first try run: its intent has to be durable before the start goes out.
    pub fn run(&mut self, now: Micros, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(&place) = self.tries.get(&id) else {
            return;
        };
        let ready = |open: &&mut Open| open.first == id && open.stage == Stage::Accepted;
        if self.open_at(place).filter(ready).is_none() {
            return;
        }
        if !self.well || self.stalled {
            effects.push(Effect::DropRun(id));
            self.give_up(place, effects);
            return;
        }
        // The window is that of the try that runs: one that took a first's place came later.
        self.table.postpone(place, now + self.bounds.window);
        let ticket = self.ticket(now, place);
        if let Some(open) = self.open_at(place) {
            open.stage = Stage::Intent(ticket);
            open.written = true;
        }
        let Some(entry) = self.table.get(place) else {
            return;
        };
        let record = Record::Intent {
            digest: whole(entry.value.digest),
        };
        effects.push(Effect::Write {
            ticket,
            key: entry.key.clone(),
            record,
            expiry: entry.expiry,
        });
        if planted(Bug::IntentSkipped) {
            self.durable(ticket, effects);
        }
    }

    /// All that was written up to this ticket is durable.
    pub fn durable(&mut self, upto: u64, effects: &mut Vec<Effect>) {
        self.stalled = false;
        while self
            .tickets
            .front()
            .is_some_and(|(ticket, ..)| *ticket <= upto)
        {
            let Some((ticket, place, _)) = self.tickets.pop_front() else {
                return;
            };
            let Some(open) = self.open_at(place) else {
                continue;
            };
            match std::mem::replace(&mut open.stage, Stage::Started) {
                Stage::Intent(at) if at == ticket => {
                    let first = open.first;
                    if open.first_waits || !open.waiting.is_empty() {
                        self.runs.insert(first, place);
                        self.table.age(place);
                        effects.push(Effect::Start(first));
                    } else {
                        // Nobody waits for it any more: an effect that nobody hears of helps nobody.
                        open.stage = Stage::Intent(at);
                        effects.push(Effect::DropRun(first));
                        self.give_up(place, effects);
                    }
                }
                Stage::Ending(at, outcome) if at == ticket => {
                    self.tell_all(place, &outcome, effects);
                    if let Some(entry) = self.table.get_mut(place) {
                        entry.state = State::Finished(weight(&outcome));
                    }
                }
                stage => open.stage = stage,
            }
        }
    }

    /// Whether the run of this request is one of a key's first try.
    #[must_use]
    pub fn is_run(&self, id: RequestId) -> bool {
        self.runs.contains_key(&id)
    }

    /// The run of a first try is over. Its result is told once it is durable.
    pub fn ended(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(place) = self.runs.remove(&id) else {
            return;
        };
        if !self.well {
            // Nobody may be told what a crash could take back: what is durable is that it may have run.
            self.unknown(place, effects);
            return;
        }
        let ticket = self.ticket(now, place);
        let bytes = weight(&outcome) as usize;
        let Some(open) = self.open_at(place) else {
            return;
        };
        open.stage = Stage::Ending(ticket, outcome.clone());
        self.bytes += bytes;
        let Some(entry) = self.table.get(place) else {
            return;
        };
        let record = Record::Finished {
            digest: whole(entry.value.digest),
            outcome,
        };
        effects.push(Effect::Write {
            ticket,
            key: entry.key.clone(),
            record,
            expiry: entry.expiry,
        });
        if planted(Bug::ResultEarly) {
            self.durable(ticket, effects);
        }
    }

    /// Whether a start reached the runtime is not known: an end may still come or not.
    pub fn doubtful(&mut self, id: RequestId) {
        if let Some(&place) = self.runs.get(&id) {
            if let Some(open) = self.open_at(place) {
                open.doubt = true;
            }
        }
    }

    /// Nothing was started for a first try after all: its key never ran.
    pub fn never_ran(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        if let Some(place) = self.runs.remove(&id) {
            self.give_up(place, effects);
        }
    }

    /// The controller turned a first try away: its key never ran, and nobody who waits for it is served.
    pub fn turned_away(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(&place) = self.tries.get(&id) else {
            return;
        };
        self.left(id);
        let held = |open: &&mut Open| open.first == id && open.stage == Stage::Accepted;
        // Where it may have run, the controller's word comes too late, and is no answer for the others.
        if self.open_at(place).filter(held).is_some() {
            self.give_up(place, effects);
        }
    }

    /// A held first try is over, its time or its caller gone: the next that waits takes its place.
    pub fn gives_way(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(&place) = self.tries.get(&id) else {
            return;
        };
        self.left(id);
        let held = |open: &&mut Open| open.first == id && open.stage == Stage::Accepted;
        let Some(open) = self.open_at(place).filter(held) else {
            return;
        };
        if open.waiting.is_empty() {
            self.give_up(place, effects);
            return;
        }
        open.first = open.waiting.remove(0);
        open.first_waits = true;
        effects.push(Effect::Promote(open.first));
    }

    /// Others wait for what this try is told.
    #[must_use]
    pub fn is_awaited(&self, id: RequestId) -> bool {
        let entry = self.tries.get(&id).and_then(|place| self.table.get(*place));
        entry.is_some_and(|entry| match &entry.value.state {
            State::Open(open) => open.first == id && !open.waiting.is_empty(),
            _ => false,
        })
    }

    /// A try has its answer elsewhere, or its caller is gone: its key lives on.
    pub fn left(&mut self, id: RequestId) {
        let Some(place) = self.tries.remove(&id) else {
            return;
        };
        if let Some(open) = self.open_at(place) {
            open.waiting.retain(|other| *other != id);
            if open.first == id {
                open.first_waits = false;
            }
        }
    }

    /// The store takes no more writes, or takes them again. What was to be written and is not durable counts as not
    /// written: intents are given up, as nothing was started; results are told as failures.
    pub fn set_well(&mut self, well: bool, effects: &mut Vec<Effect>) {
        self.well = well;
        if well {
            self.stalled = false;
            return;
        }
        for (_, place, _) in std::mem::take(&mut self.tickets) {
            let Some(open) = self.open_at(place) else {
                continue;
            };
            let first = open.first;
            match &open.stage {
                Stage::Intent(_) => {
                    effects.push(Effect::DropRun(first));
                    self.give_up(place, effects);
                }
                Stage::Ending(_, outcome) => {
                    let bytes = weight(outcome) as usize;
                    self.bytes = self.bytes.saturating_sub(bytes);
                    self.unknown(place, effects);
                }
                _ => {}
            }
        }
    }

    /// Gives up what waits too long to be written, so that it holds no place on the cores: nothing of it was started.
    /// Results go on waiting for as long as those who wait for them.
    pub fn advance(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.expire(now);
        let late = |(_, _, since): &(u64, Place, Micros)| now >= since + self.bounds.stall;
        if self.stalled || !self.tickets.front().is_some_and(late) {
            return;
        }
        self.stalled = true;
        let places: Vec<_> = self.tickets.iter().map(|(_, place, _)| *place).collect();
        for place in places {
            let Some(open) = self.open_at(place) else {
                continue;
            };
            if matches!(open.stage, Stage::Intent(_)) {
                effects.push(Effect::DropRun(open.first));
                self.give_up(place, effects);
            }
        }
    }

    /// When [`advance`](Self::advance) has something to do.
    #[must_use]
    pub fn next(&self) -> Option<Micros> {
        let since = self.tickets.front().filter(|_| !self.stalled)?.2;
        Some(since + self.bounds.stall)
    }

    /// Forgets what is past its window. A key whose request is still open stays as long as that.
    pub fn expire(&mut self, now: Micros) {
        while let Some(place) = self.table.pop_over(now) {
            match self.open_at(place) {
                // A run that is still on is waited for; one in doubt may never end.
                Some(open) if !open.doubt || open.first_waits || !open.waiting.is_empty() => {
                    self.table.age(place);
                    return;
                }
                Some(open) => {
                    let first = open.first;
                    self.runs.remove(&first);
                    self.remove(place);
                }
                None => self.remove(place),
            }
        }
    }

    /// Sets a fence round a range of keys; it is to be written as well before anything else is admitted.
    ///
    /// # Errors
    /// Where a later move of these keys is known.
    pub fn fence(&mut self, fence: Fence) -> Result<(), Refused> {
        self.fences.set(fence)
    }

    /// Keys of a range whose requests are still open: it can be exported once there are none.
    #[must_use]
    pub fn open_in(&self, range: &crate::fence::Range) -> usize {
        let open = |entry: &crate::table::Kept<Entry>| {
            matches!(entry.value.state, State::Open(_)) && range.contains(&entry.key)
        };
        self.table.iter().filter(|(_, entry)| open(entry)).count()
    }

    fn remove(&mut self, place: Place) {
        if let Some(entry) = self.table.remove(place) {
            if let State::Finished(bytes) = entry.value.state {
                self.bytes = self.bytes.saturating_sub(bytes as usize);
            }
        }
    }

    /// A key that was never started: all who wait are turned away, and it is as if it had never come.
    fn give_up(&mut self, place: Place, effects: &mut Vec<Effect>) {
        let Some(entry) = self.table.remove(place) else {
            return;
        };
        let State::Open(open) = entry.value.state else {
            return;
        };
        for id in open
            .first_waits
            .then_some(open.first)
            .into_iter()
            .chain(open.waiting)
        {
            self.tries.remove(&id);
            effects.push(Effect::TurnAway(id));
        }
        if open.written {
            effects.push(Effect::Erase { key: entry.key });
        }
    }

    /// Nobody will know how it ended: who waits is told that it may have run.
    fn unknown(&mut self, place: Place, effects: &mut Vec<Effect>) {
        self.tell_all(place, &Outcome::Failed, effects);
        if let Some(entry) = self.table.get_mut(place) {
            entry.state = State::Unknown;
        }
    }

    fn tell_all(&mut self, place: Place, outcome: &Outcome, effects: &mut Vec<Effect>) {
        let Some(open) = self.open_at(place) else {
            return;
        };
        let first = std::mem::take(&mut open.first_waits).then_some(open.first);
        for id in first.into_iter().chain(std::mem::take(&mut open.waiting)) {
            self.tries.remove(&id);
            effects.push(Effect::Tell(id, outcome.clone()));
        }
    }
}

fn halves(digest: u128) -> [u64; 2] {
    [(digest >> 64) as u64, digest as u64]
}

fn whole(digest: [u64; 2]) -> u128 {
    u128::from(digest[0]) << 64 | u128::from(digest[1])
}

fn weight(outcome: &Outcome) -> u32 {
    match outcome {
        Outcome::Served(result) => u32::try_from(result.len()).unwrap_or(u32::MAX),
        Outcome::Failed => 0,
    }
}
