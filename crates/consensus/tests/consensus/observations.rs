//! What simulated processes report, and the checks of it.

use cleatpulley_consensus::{ChangeId, Event, NodeId, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// A change as it was first reported to be decided.
#[derive(Debug)]
pub struct FirstDecision {
    pub change: ChangeId,
    pub at: u64,
}

/// An event with the time and the process that reported it.
pub struct ReportedEvent {
    pub at: u64,
    pub node: NodeId,
    pub event: Event,
}

/// What the processes have reported.
#[derive(Default)]
pub struct Observations {
    /// By epoch.
    pub decided: BTreeMap<u64, FirstDecision>,
    applied: BTreeSet<ChangeId>,
    /// Broken invariants and failed processes.
    pub violations: Vec<String>,
    pub events: Vec<ReportedEvent>,
    pub expired_leases: u64,
}

impl Observations {
    /// Checks and records an event.
    pub fn record(&mut self, reported: ReportedEvent) {
        self.check_decision(&reported);
        if reported.event == Event::LeaseExpired {
            self.expired_leases += 1;
        }
        self.events.push(reported);
    }

    /// Checks that a decision agrees with what other processes reported for its epoch, and that its
    /// change was not applied in another epoch.
    fn check_decision(&mut self, reported: &ReportedEvent) {
        let Event::Decided {
            epoch,
            change,
            outcome,
        } = &reported.event
        else {
            return;
        };
        let first = self.decided.entry(*epoch).or_insert(FirstDecision {
            change: change.id,
            at: reported.at,
        });
        if first.change != change.id {
            self.violations.push(format!(
                "{} reports {:?} for epoch {epoch}, another process {:?}",
                reported.node, change.id, first.change
            ));
        }
        let is_first_report = first.at == reported.at;
        if *outcome == Outcome::Applied && is_first_report && !self.applied.insert(change.id) {
            self.violations
                .push(format!("{:?} is applied twice", change.id));
        }
    }
}
