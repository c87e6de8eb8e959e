//! Keyed requests in the exchange: what the history of a key says is carried out here, between the controller's
//! decisions and the adapters.

use super::{
    digest, planted, Answer, Bug, Command, Ending, Entry, Event, Exchange, Fact, Fault, History,
    KeyEffect, Micros, Origin, Outcome, Recovered, Request, RequestId, ScopedKey, Stage, Verdict,
};
use std::collections::HashMap;

/// Whose a key is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// All callers share one space of keys.
    All,
    /// Each caller has its own.
    Caller,
}

/// What is kept of keyed requests.
#[derive(Debug)]
pub struct Keys {
    /// By class: whether results are kept.
    pub classes: Vec<bool>,
    /// A request of such a class without a key is not taken.
    pub required: bool,
    /// Whose keys are.
    pub owner: Owner,
    /// The histories.
    pub history: History,
    /// Tries that came before it was known what is kept, with their keys and digests.
    pub(super) early: Vec<Early>,
    /// A request found no room since the controller last decided.
    barred: bool,
    recalls: u64,
    /// Another process has what is kept.
    released: bool,
}

/// A try that came early.
#[derive(Debug)]
pub(super) struct Early {
    id: RequestId,
    number: u64,
    key: ScopedKey,
    digest: u128,
}

/// What becomes of a request that came.
pub(super) enum Meeting {
    /// The controller decides.
    Decide,
    /// It is answered at once.
    Answer(Answer),
    /// Its key has ended, and the answer is to be read.
    Recall(ScopedKey),
    /// It waits under this number until it is known what is kept.
    Wait(u64),
}

/// Share of the memory that may wait for what is kept or is to be read: the controller does not know of these, and
/// leaves little more than this of it to others.
const UNSEEN: f64 = 0.1;

impl Keys {
    /// Those that know nothing yet.
    #[must_use]
    pub fn new(classes: Vec<bool>, required: bool, owner: Owner, history: History) -> Self {
        Self {
            classes,
            required,
            owner,
            history,
            early: Vec::new(),
            barred: false,
            recalls: 0,
            released: false,
        }
    }

    /// Meets a request that came with or without a key; notes in it what the controller has to know.
    pub(super) fn meet(
        &mut self,
        now: Micros,
        request: &mut Request,
        key: Option<&[u8]>,
        body: &[u8],
        room: impl Fn(f64) -> bool,
    ) -> Meeting {
        if !self.classes.get(request.class).copied().unwrap_or(false) {
            return Meeting::Decide;
        }
        let Some(key) = key else {
            let missing = Meeting::Answer(Answer::Rejected(Fault::KeyMissing));
            return if self.required {
                missing
            } else {
                Meeting::Decide
            };
        };
        let class = u16::try_from(request.class).unwrap_or(u16::MAX);
        let owner = match self.owner {
            Owner::All => 0,
            Owner::Caller => request.caller,
        };
        let key = ScopedKey::new(owner, class, key);
        let digest = digest(class, body);
        self.decide(now, request, key, digest, room)
    }

    fn decide(
        &mut self,
        now: Micros,
        request: &mut Request,
        key: ScopedKey,
        digest: u128,
        room: impl Fn(f64) -> bool,
    ) -> Meeting {
        match self.history.arrive(now, request.id, &key, digest) {
            Verdict::First => request.keep = true,
            // The controller hears of it before it hears of the request, and turns it away.
            Verdict::NoRoom => {
                request.keep = true;
                self.barred = true;
            }
            Verdict::Waits(first) => {
                request.keep = true;
                request.prior = Some(first);
            }
            // Guards against more than fits; a refusal would promise what is not so, or not known.
            Verdict::Known | Verdict::NotYet if !room(request.memory_kb) => {
                return Meeting::Answer(Answer::Failed);
            }
            Verdict::Known => {
                request.keep = true;
                return Meeting::Recall(key);
            }
            Verdict::NotYet => {
                request.keep = true;
                self.recalls += 1;
                self.early.push(Early {
                    id: request.id,
                    number: self.recalls,
                    key,
                    digest,
                });
                return Meeting::Wait(self.recalls);
            }
            Verdict::Unknown => return Meeting::Answer(Answer::Failed),
            Verdict::OtherRequest => return Meeting::Answer(Answer::Rejected(Fault::KeyTaken)),
            // It never ran here, and whoever owns the key now may take it at once.
            Verdict::Elsewhere => {
                return Meeting::Answer(Answer::Refused {
                    later: 0,
                    last: false,
                })
            }
        }
        Meeting::Decide
    }
}

/// Whether one more request may wait of which the controller does not know. Those that wait for another try have no
/// number, and are booked by the controller.
pub(super) fn fits_unseen(entries: &HashMap<RequestId, Entry>, memory_kb: f64, more: f64) -> bool {
    let is_unseen = |entry: &&Entry| matches!(entry.stage, Stage::Waiting) && entry.notice != 0;
    let unseen: f64 = entries
        .values()
        .filter(is_unseen)
        .map(|entry| entry.request.memory_kb)
        .sum();
    unseen + more <= UNSEEN * memory_kb
}

impl Exchange {
    /// The histories, where results are kept.
    #[must_use]
    pub fn history(&self) -> Option<&History> {
        self.keys.as_ref().map(|keys| &keys.history)
    }

    /// The id of a keyed request: where another try of it, with the same id, is open or still runs, one of its own. A
    /// proxy that sends a request again does not give it a new one; its key tells what it is.
    pub(super) fn own_id(&self, id: RequestId, origin: Origin, class: usize) -> RequestId {
        let Some(keys) = &self.keys else { return id };
        if !keys.classes.get(class).copied().unwrap_or(false) {
            return id;
        }
        let taken = |id: RequestId| self.entries.contains_key(&id) || keys.history.is_run(id);
        let (mut own, mut turn) = (id, 0_u64);
        while taken(own) {
            turn += 1;
            let mut bytes = origin.connection.to_be_bytes().to_vec();
            bytes.extend_from_slice(&origin.stream.to_be_bytes());
            bytes.extend_from_slice(&turn.to_be_bytes());
            own = id ^ digest(0, &bytes) as u64;
        }
        own
    }

    /// Lets go of what is kept, where nobody waits for any of it and none of it runs: another process has it from here
    /// on, and a request with a key fails. False where it is too early for that.
    pub fn release_keys(&mut self) -> bool {
        let Some(keys) = &mut self.keys else {
            return false;
        };
        // Also what waits for a result to be read.
        let waits = |e: &Entry| matches!(e.stage, Stage::Waiting | Stage::Starting | Stage::Ending);
        let quiet = keys.history.runs() == 0
            && keys.history.open() == 0
            && keys.early.is_empty()
            && !self.entries.values().any(waits);
        if quiet {
            keys.history.release();
            keys.released = true;
        }
        quiet
    }

    /// Takes up again what it has let go of, as a process does that has just started.
    pub fn take_keys(&mut self, history: History) {
        if let Some(keys) = &mut self.keys {
            (keys.history, keys.released) = (history, false);
        }
    }

    pub(super) fn hear_of_keys(&mut self, now: Micros, fact: Fact, commands: &mut Vec<Command>) {
        let Some(keys) = self.keys.as_mut().filter(|keys| !keys.released) else {
            return;
        };
        match fact {
            Fact::Recovered(found) => {
                let forgotten = planted(Bug::ResultForgotten) && !found.is_empty();
                let found = if forgotten {
                    Box::new(Recovered::new(0))
                } else {
                    found
                };
                keys.history.recovered(*found);
                self.meet_early(now, commands);
            }
            Fact::Durable(ticket) => keys.history.durable(ticket, &mut self.key_effects),
            Fact::Keeping(well) => {
                keys.history.set_well(well, &mut self.key_effects);
                self.meet_early(now, commands);
            }
            Fact::Recalled {
                id,
                number,
                outcome,
            } => {
                let answer = outcome.map_or(Answer::Failed, answer_of);
                let asked =
                    |entry: &Entry| matches!(entry.stage, Stage::Waiting) && entry.notice == number;
                if self.entries.get(&id).is_some_and(asked) {
                    self.answer(now, id, answer, commands);
                }
            }
            _ => {}
        }
        self.settle_keys(now, commands);
    }

    pub(super) fn next_recall(&mut self) -> u64 {
        self.keys.as_mut().map_or(0, |keys| {
            keys.recalls += 1;
            keys.recalls
        })
    }

    /// It is known what is kept: those that waited for that go on as if they came now.
    fn meet_early(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let Some(keys) = &mut self.keys else { return };
        let early = std::mem::take(&mut keys.early);
        for Early {
            id,
            number,
            key,
            digest,
        } in early
        {
            let (Some(entry), Some(keys)) = (self.entries.get_mut(&id), &mut self.keys) else {
                continue;
            };
            // Guards against another request that has the id of one that is gone.
            if !matches!(entry.stage, Stage::Waiting) || entry.notice != number {
                continue;
            }
            match keys.decide(now, &mut entry.request, key, digest, |_| true) {
                Meeting::Decide => {
                    entry.stage = Stage::Held;
                    entry.notice = 0;
                    self.events.push(Event::Arrived(entry.request.clone()));
                }
                Meeting::Recall(key) => {
                    keys.recalls += 1;
                    entry.notice = keys.recalls;
                    commands.push(Command::Recall {
                        id,
                        number: entry.notice,
                        key,
                    });
                }
                Meeting::Answer(answer) => {
                    self.answer(now, id, answer, commands);
                }
                Meeting::Wait(number) => entry.notice = number,
            }
        }
    }

    pub(super) fn advance_keys(&mut self, now: Micros, commands: &mut Vec<Command>) {
        if let Some(keys) = &mut self.keys {
            keys.history.advance(now, &mut self.key_effects);
            self.settle_keys(now, commands);
        }
    }

    /// Tells the controller of the table before it hears of anything else.
    pub(super) fn tell_kept(&mut self) {
        let Some(keys) = &mut self.keys else { return };
        // Guards against a request without an entry that is held because there is room again: its key might run for
        // another meanwhile, and it would be turned away after that.
        let room = !std::mem::take(&mut keys.barred) && keys.history.room();
        let kept = (keys.history.len(), room);
        if std::mem::replace(&mut self.told_kept, kept) != kept {
            self.events.insert(
                0,
                Event::Kept {
                    entries: kept.0,
                    room: kept.1,
                },
            );
        }
    }

    /// The controller wants a keyed request run: its intent comes first.
    pub(super) fn run_keyed(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        let (Some(entry), Some(keys)) = (self.entries.get_mut(&id), &mut self.keys) else {
            return;
        };
        entry.stage = Stage::Starting;
        let before = self.key_effects.len();
        keys.history.run(now, id, &mut self.key_effects);
        if self.key_effects.len() == before {
            // Guards against a run of what the history does not know: it found no room, and there is some now.
            self.key_effects
                .extend([KeyEffect::DropRun(id), KeyEffect::TurnAway(id)]);
        }
        self.settle_keys(now, commands);
    }

    /// The controller turns a held keyed request away. True where that was answered here: where its time is over and
    /// others wait for its key, one of those takes its place, so that this one can't be told that nothing runs.
    pub(super) fn refuse_keyed(
        &mut self,
        now: Micros,
        id: RequestId,
        refused: &Answer,
        commands: &mut Vec<Command>,
    ) -> bool {
        let (Some(entry), Some(keys)) = (self.entries.get(&id), &mut self.keys) else {
            return false;
        };
        if !entry.keyed {
            return false;
        }
        if now + self.settings.answer_slack >= entry.due && keys.history.is_awaited(id) {
            return self.answer(now, id, Answer::Expired, commands);
        }
        keys.history.turned_away(id, &mut self.key_effects);
        let mut rest = Vec::new();
        for effect in std::mem::take(&mut self.key_effects) {
            match effect {
                // Those that wait for it are turned away in the same words.
                KeyEffect::TurnAway(other) => self.turn_away(now, other, refused, commands),
                effect => rest.push(effect),
            }
        }
        self.key_effects = rest;
        self.settle_keys(now, commands);
        false
    }

    /// A try has its answer, or nobody waits for one.
    pub(super) fn leave_key(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        if let Some(keys) = &mut self.keys {
            keys.history.gives_way(id, &mut self.key_effects);
            self.settle_keys(now, commands);
        }
    }

    pub(super) fn end_key(
        &mut self,
        now: Micros,
        id: RequestId,
        ending: Ending,
        commands: &mut Vec<Command>,
    ) {
        if let Some(keys) = &mut self.keys {
            keys.history.ended(now, id, ending, &mut self.key_effects);
            self.settle_keys(now, commands);
        }
    }

    pub(super) fn key_never_ran(
        &mut self,
        now: Micros,
        id: RequestId,
        commands: &mut Vec<Command>,
    ) {
        if let Some(keys) = &mut self.keys {
            keys.history.never_ran(id, &mut self.key_effects);
            self.settle_keys(now, commands);
        }
    }

    /// Carries out what the histories decided, until they decide nothing more.
    fn settle_keys(&mut self, now: Micros, commands: &mut Vec<Command>) {
        while !self.key_effects.is_empty() {
            for effect in std::mem::take(&mut self.key_effects) {
                match effect {
                    KeyEffect::Write { .. } | KeyEffect::Erase { .. } => {
                        commands.push(Command::Keep(effect))
                    }
                    KeyEffect::Start(id) => {
                        let Some(entry) = self.entries.get_mut(&id) else {
                            continue;
                        };
                        entry.stage = Stage::Running;
                        self.counts.relayed(entry.class);
                        let body = std::mem::take(&mut entry.body);
                        commands.push(Command::Start {
                            id,
                            class: entry.class,
                            body,
                        });
                    }
                    KeyEffect::DropRun(id) => {
                        let Some(entry) = self.entries.get_mut(&id) else {
                            continue;
                        };
                        entry.stage = Stage::Waiting;
                        if entry.answered {
                            self.entries.remove(&id);
                        }
                        self.events.push(Event::RunEnded {
                            id,
                            outcome: Outcome::Void,
                            elapsed: 0,
                        });
                    }
                    KeyEffect::Tell(id, outcome) => self.tell(now, id, outcome, commands),
                    KeyEffect::TurnAway(id) => {
                        let later = self.settings.max_avoid;
                        self.turn_away(now, id, &Answer::Refused { later, last: false }, commands);
                    }
                    KeyEffect::Promote(id) => self.promote(id),
                }
            }
        }
    }

    fn tell(&mut self, now: Micros, id: RequestId, outcome: Ending, commands: &mut Vec<Command>) {
        // The first's run was told of when it ended; those that wait for it end now.
        let waits = self
            .entries
            .get(&id)
            .is_some_and(|entry| !matches!(entry.stage, Stage::Ending));
        if waits {
            let ended = if matches!(outcome, Ending::Served(_)) {
                Outcome::Success
            } else {
                Outcome::Failure
            };
            self.events.push(Event::RunEnded {
                id,
                outcome: ended,
                elapsed: 0,
            });
        }
        if self.answer(now, id, answer_of(outcome), commands) && waits {
            // Guards against a request that the controller has still to hear of.
            self.events.push(Event::Gone(id));
        }
        self.entries.remove(&id);
    }

    fn turn_away(
        &mut self,
        now: Micros,
        id: RequestId,
        answer: &Answer,
        commands: &mut Vec<Command>,
    ) {
        if self.answer(now, id, answer.clone(), commands) {
            self.events.push(Event::Gone(id));
        }
        self.entries.remove(&id);
    }

    /// A try takes the place of its key's first, which is gone: the controller decides on it as on one that came now.
    fn promote(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.stage = Stage::Held;
        entry.request.prior = None;
        self.events.push(Event::Gone(id));
        self.events.push(Event::Arrived(entry.request.clone()));
    }
}

fn answer_of(outcome: Ending) -> Answer {
    match outcome {
        Ending::Served(result) => Answer::Served(result),
        Ending::Failed => Answer::Failed,
    }
}
