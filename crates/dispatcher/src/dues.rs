//! Due times: what the exchange answers by itself where nobody else does, and the stop.

use crate::words::{Answer, Command};
use crate::Exchange;
use cleatpulley_policy::interface::{Event, Micros};
use cleatpulley_policy::plant::{planted, Bug};

impl Exchange {
    /// Everything is due before the stop, also what the controller does not know of, or knows no more: a result that
    /// waits to be durable, a repeat that waits for one to be read.
    pub(crate) fn begin_drain(&mut self, stop_at: Micros, event: Event) {
        // After the controller's own time for that, which knows better what to say.
        let last = stop_at.saturating_sub(self.settings.answer_slack);
        self.last_due = last;
        for (due, id) in std::mem::take(&mut self.dues) {
            let due = due.min(last);
            self.dues.insert((due, id));
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.due = due;
            }
        }
        self.events.push(event);
    }

    /// Guards against an answer that the controller does not give: half of the slack is left to send it.
    fn grace(&self) -> Micros {
        let late = if planted(Bug::DueLate) { 250_000 } else { 0 };
        self.settings.answer_slack / 2 + late
    }

    /// When the exchange answers by itself what is due then. Guards against the stop: what was read shortly before it has no
    /// slack of its own.
    pub(crate) fn answers_at(&self, due: Micros) -> Micros {
        due.min(self.last_due).saturating_add(self.grace())
    }

    pub(crate) fn keep_dues(&mut self, now: Micros, commands: &mut Vec<Command>) {
        while let Some(&(due, id)) = self.dues.first() {
            if self.answers_at(due) > now {
                return;
            }
            self.events.push(Event::Gone(id));
            let refused = Answer::Refused {
                later: 0,
                last: false,
            };
            let answer = if planted(Bug::RefusedAfterRun) {
                refused
            } else {
                Answer::Expired
            };
            self.answer(now, id, answer, commands);
        }
    }
}
