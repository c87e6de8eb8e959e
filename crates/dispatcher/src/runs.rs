//! The ends of runs and of those who wait for them, and what is settled after a break of the runtime's link.

use crate::entry::{Entry, Stage};
use crate::words::{Answer, Command, Order, Origin};
use crate::Exchange;
use cleatpulley_idempotency::record::Outcome as Ending;
use cleatpulley_policy::interface::{Effect, Event, Micros, Outcome, RequestId};
use cleatpulley_policy::plant::{planted, Bug};

impl Exchange {
    pub(crate) fn lose_origin(
        &mut self,
        now: Micros,
        is: impl Fn(&Origin) -> bool,
        commands: &mut Vec<Command>,
    ) {
        let lost = |e: &Entry| is(&e.origin) && !e.answered;
        let mut ids: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, e)| lost(e))
            .map(|(id, e)| (e.door, *id))
            .collect();
        ids.sort_unstable();
        for (_, id) in ids {
            self.events.push(Event::Gone(id));
            if planted(Bug::EntryLeaked) {
                self.dues.retain(|due| due.1 != id);
                continue;
            }
            self.over(now, id, commands);
        }
    }

    /// Ends all that was started: its end will never be told.
    pub(crate) fn lose_runs(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let started =
            |entry: &Entry| matches!(entry.stage, Stage::Running | Stage::AtCall | Stage::Calling);
        let mut ids: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, e)| started(e))
            .map(|(id, e)| (e.door, *id))
            .collect();
        ids.sort_unstable();
        for (_, id) in ids {
            self.end_run(now, id, Outcome::Broken, 0, Vec::new(), commands);
        }
    }

    pub(crate) fn end_run(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        elapsed: Micros,
        result: Vec<u8>,
        commands: &mut Vec<Command>,
    ) {
        let served = outcome == Outcome::Success;
        let Some(entry) = self.entries.get_mut(&id) else {
            // Nobody waits for it here any more; what is kept of its key is told all the same.
            let ending = if served {
                Ending::Served(result)
            } else {
                Ending::Failed
            };
            return self.end_key(now, id, ending, commands);
        };
        if !matches!(entry.stage, Stage::Running | Stage::AtCall | Stage::Calling) {
            return;
        }
        if matches!(entry.stage, Stage::Calling) {
            commands.push(Command::Abandon(id));
        }
        if self
            .keys
            .as_ref()
            .is_some_and(|keys| keys.history.is_run(id))
        {
            // Told once its result is durable; its place on the cores is free now.
            entry.stage = Stage::Ending;
            if entry.answered {
                self.entries.remove(&id);
            }
            self.events.push(Event::RunEnded {
                id,
                outcome,
                elapsed,
            });
            if outcome == Outcome::Void {
                return self.key_never_ran(now, id, commands);
            }
            let ending = if served {
                Ending::Served(result)
            } else {
                Ending::Failed
            };
            return self.end_key(now, id, ending, commands);
        }
        self.answer(
            now,
            id,
            if served {
                Answer::Served(result)
            } else {
                Answer::Failed
            },
            commands,
        );
        self.entries.remove(&id);
        self.events.push(Event::RunEnded {
            id,
            outcome,
            elapsed,
        });
    }

    /// Settles a command that may or may not have reached the runtime, so that nothing runs twice: a start
    /// again may run again what has run and ended, and a reply again may answer a later call.
    pub(crate) fn settle(
        &mut self,
        now: Micros,
        id: RequestId,
        order: Order,
        commands: &mut Vec<Command>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let class = &self.settings.classes[entry.class];
        if !matches!(entry.stage, Stage::Running) {
            return;
        }
        match order {
            Order::Start if entry.notice == 0 && class.effect == Effect::Safe => {
                commands.push(Command::Start {
                    id,
                    class: entry.class,
                    body: entry.body.clone(),
                });
            }
            Order::Start if entry.notice == 0 => {
                entry.doubtful = true;
                let answered = entry.answered;
                if let Some(keys) = &mut self.keys {
                    keys.history.doubtful(id);
                }
                if answered {
                    self.over(now, id, commands);
                }
            }
            // Names the call that is left out: harmless where the run has gone on already.
            Order::Omit => commands.push(Command::Omit {
                id,
                notice: entry.notice,
            }),
            Order::Give if class.skip_worth > 0.0 => {
                commands.push(Command::Omit {
                    id,
                    notice: entry.notice,
                });
            }
            _ => {}
        }
    }
}
