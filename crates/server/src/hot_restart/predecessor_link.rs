//! What others of this matcher have of the machine beside the predecessor: processes that came before one that died, which
//! are waited for, and what those left behind that are gone.

use super::{hear, HotRestartStep};
use crate::host::Host;
use cleatpulley_hot_restart::{Held, Message};
use cleatpulley_policy::interface::Micros;

/// What one that died had may have come from one before it, which is found within this time.
const FOUND: Micros = 200_000;
/// Running work can't be stopped: it goes on for so long after whoever started it is gone. Guards the cores and the memory
/// against as much again on top of it.
const RUNS_ON: Micros = 3_000_000;

/// They, each with what it said last, and what is left of others, until when.
pub(super) struct PredecessorLink<H: Host> {
    there: Vec<(H::HandoverChannel, Held)>,
    gone: Vec<(Micros, Held)>,
}

impl<H: Host> Default for PredecessorLink<H> {
    fn default() -> Self {
        Self {
            there: Vec::new(),
            gone: Vec::new(),
        }
    }
}

impl<H: Host> PredecessorLink<H> {
    /// Processes that are there.
    pub(super) fn count(&self) -> usize {
        self.there.len()
    }

    /// What all of them have.
    pub(super) fn held(&self) -> Held {
        let there = self.there.iter().map(|(_, held)| *held);
        there
            .chain(self.gone.iter().map(|(_, held)| *held))
            .fold(Held::default(), sum)
    }

    pub(super) fn take(&mut self, passage: H::HandoverChannel, held: Held) {
        self.there.push((passage, held));
    }

    /// One is gone that had so much.
    pub(super) fn mourn(&mut self, now: Micros, had: Held) {
        let Held {
            running,
            memory_kb,
            calls,
            descriptors,
        } = had;
        self.gone.push((
            now + FOUND,
            Held {
                calls,
                descriptors,
                ..Held::default()
            },
        ));
        if running > 0 {
            self.gone.push((
                now + RUNS_ON,
                Held {
                    running,
                    memory_kb,
                    ..Held::default()
                },
            ));
        }
    }

    /// When what one left is free.
    pub(super) fn next(&self) -> Option<Micros> {
        self.gone.iter().map(|(at, _)| *at).min()
    }

    /// Hears what they say and lets time pass; true where what they have is another now.
    pub(super) fn turn(&mut self, now: Micros, steps: &mut Vec<HotRestartStep<H>>) -> bool {
        let (before, mut changed, mut ended) = (self.gone.len(), false, Vec::new());
        self.gone.retain(|(at, _)| now < *at);
        self.there.retain_mut(|(passage, held)| loop {
            match hear(passage) {
                Ok(None) => return true,
                Ok(Some((Message::Left(left), _))) => (*held, changed) = (left, true),
                Ok(Some((Message::StoreFree {}, _))) => steps.push(HotRestartStep::OpenStore),
                Ok(Some(_)) => {
                    tracing::warn!("upgrade: one that came before says what is out of turn");
                }
                Err(why) => {
                    tracing::info!("upgrade: one that came before is gone: {why}");
                    ended.push(*held);
                    return false;
                }
            }
        });
        changed |= self.gone.len() != before || !ended.is_empty();
        ended.into_iter().for_each(|had| self.mourn(now, had));
        changed
    }
}

/// What two have together.
pub(super) fn sum(one: Held, other: Held) -> Held {
    Held {
        running: one.running + other.running,
        memory_kb: one.memory_kb + other.memory_kb,
        calls: one.calls + other.calls,
        descriptors: one.descriptors + other.descriptors,
    }
}
