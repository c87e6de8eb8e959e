//! A request as it is known here, and what those that are known have in hand.

use super::{smooth, Controller};
use crate::interface::{Class, Micros, Request, RequestId};

/// Share of a run's time that its hint stands for: waits do not grow with work, and hints are rough.
const HINT_SHARE: f64 = 0.5;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Stage {
    #[default]
    Held,
    Running,
    AwaitingCall,
    Calling,
    /// Waits for the outcome of the request it repeats.
    Sharing(RequestId),
}

/// A request that is not over: it owes an answer, or it still occupies a core or a call.
#[derive(Debug, Clone, Default)]
pub(super) struct Record {
    pub(super) id: RequestId,
    pub(super) class: usize,
    pub(super) tenant: usize,
    pub(super) arrived: Micros,
    pub(super) due: Micros,
    /// When its answer stops earning the full worth.
    pub(super) aim: Micros,
    /// Its work over the usual for its class.
    pub(super) size: f64,
    pub(super) worth: f64,
    pub(super) retry: bool,
    /// Its result is to be kept.
    pub(super) keep: bool,
    /// Place among the requests of its class, from 0 to 1.
    pub(super) place: f64,
    pub(super) memory_kb: f64,
    pub(super) stage: Stage,
    /// Answered, or nobody waits: only its core, memory or call is still taken.
    pub(super) answered: bool,
    /// Requests that wait to share its answer.
    pub(super) joiners: u32,
    pub(super) called: Micros,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Pace {
    /// Smoothed time of a run of usual size, calls included.
    pub(crate) run_time: f64,
    /// Smoothed hint.
    pub(crate) work: f64,
    /// The longest time left that a first try was seen with; none yet is 0.
    pub(crate) patience: Micros,
}

impl Controller {
    pub(super) fn record(&mut self, request: &Request) -> Record {
        let class = &self.settings.classes[request.class];
        let pace = &mut self.paces[request.class];
        let arrived = self.now.saturating_sub(request.waited);
        let due = request
            .due
            .unwrap_or(arrived + class.deadline)
            .max(self.now);
        let left = due - arrived.min(due);
        // A further try with less time left than a first one is at least so much older; one with more has
        // what is left of its client's whole time.
        if !request.retry {
            pace.patience = pace.patience.max(left);
        }
        let whole = if left > pace.patience && pace.patience > 0 {
            class.deadline
        } else {
            pace.patience
        };
        let age = if request.retry {
            whole.saturating_sub(left)
        } else {
            0
        };
        let size = request.work.map_or(1.0, |work| {
            pace.work = if pace.work > 0.0 {
                smooth(pace.work, work as f64)
            } else {
                work as f64
            };
            HINT_SHARE * work as f64 / pace.work + (1.0 - HINT_SHARE)
        });
        let stretch = class.aim_stretch * request.work.unwrap_or(0) as f64;
        let aim = (arrived + class.aim + stretch as Micros)
            .saturating_sub(age)
            .min(due);
        let bands = self.settings.classes.len() as f64;
        Record {
            id: request.id,
            class: request.class,
            tenant: request.tenant,
            arrived,
            due: due.min(self.drain.map_or(due, |d| d.stop_at)),
            aim,
            size,
            worth: class.worth
                * if self.settings.worth_by_work {
                    size * pace.work.max(1.0)
                } else {
                    1.0
                },
            retry: request.retry,
            keep: request.keep,
            place: (request.rank * bands).fract(),
            memory_kb: request.memory_kb,
            ..Record::default()
        }
    }

    pub(super) fn class(&self, record: &Record) -> &Class {
        &self.settings.classes[record.class]
    }

    /// Held requests.
    pub(super) fn held(&self) -> impl Iterator<Item = &Record> {
        self.requests
            .values()
            .filter(|record| record.stage == Stage::Held)
    }

    pub(super) fn put(&mut self, id: RequestId, stage: Stage) {
        if let Some(record) = self.requests.get_mut(&id) {
            record.stage = stage;
        }
    }

    pub(super) fn run_time(&self, record: &Record) -> f64 {
        self.paces[record.class].run_time * record.size
    }

    fn count_stage(&self, stage: impl Fn(Stage) -> bool) -> usize {
        self.requests
            .values()
            .filter(|record| stage(record.stage))
            .count()
    }

    pub(super) fn on_cores(&self) -> usize {
        self.count_stage(|stage| stage == Stage::Running) + self.beside.0
    }

    pub(super) fn at_calls(&self) -> usize {
        self.count_stage(|stage| matches!(stage, Stage::AwaitingCall | Stage::Calling))
    }

    pub(super) fn calls_in_hand(&self) -> usize {
        self.count_stage(|stage| stage == Stage::Calling) + self.beside.2
    }

    /// Runs that go on side by side, those at calls included.
    pub(super) fn lanes(&self) -> f64 {
        self.run_limit + self.at_calls() as f64
    }

    /// For how long no run has ended while some should have: the symptom of cores that stand still.
    pub(super) fn standstill(&self) -> f64 {
        (self.now - self.progress) as f64
    }
}
