//! Progress of the log: submission of proposals, application of decided entries, durability, lease.

use super::error::Failure;
use super::event::Event;
use super::paxos::{accepted_index, decided_index};
use super::Node;
use crate::message::Message;
use crate::storage::DurableStorage;
use cleatpulley_policy::interface::Micros;
use omnipaxos::util::LogEntry;

impl<S: DurableStorage> Node<S> {
    /// Applies what is decided, makes durable what was promised, and only then releases the
    /// messages that rest on it. Called after each input.
    pub(super) fn advance(&mut self, now: Micros) {
        if self.failure.is_some() {
            return;
        }
        self.apply_decided();
        self.adopt_decided_configuration();
        self.submit_due_proposal(now);
        let mut messages = Vec::new();
        if let Some(paxos) = &mut self.paxos {
            paxos.take_outgoing_messages(&mut messages);
        }
        if let Err(error) = self.log.flush(&self.table, self.configuration.base_epoch) {
            self.fail_storage(error.into());
            return;
        }
        for message in messages {
            let recipient = message.get_receiver();
            let message = Message::Paxos {
                configuration: self.configuration.id,
                message,
            };
            self.outbox.send(recipient, &message);
        }
        self.update_leader_and_lease(now);
    }

    /// Applies the entries that were decided since the last call.
    pub(super) fn apply_decided(&mut self) {
        let Some(paxos) = &self.paxos else {
            return;
        };
        let applied_index = (self.table.epoch - self.configuration.base_epoch) as usize;
        if paxos.get_decided_idx() <= applied_index {
            return;
        }
        let entries = paxos.read_decided_suffix(applied_index).unwrap_or_default();
        for entry in entries {
            let LogEntry::Decided(change) = entry else {
                continue;
            };
            let outcome = self.table.apply(&change);
            self.proposals.on_decided(change.id);
            self.events.push(Event::Decided {
                epoch: self.table.epoch,
                change,
                outcome,
            });
        }
    }

    /// Submits the first pending change to the log, if it is due.
    pub(super) fn submit_due_proposal(&mut self, now: Micros) {
        let Some(change) = self.proposals.due(now) else {
            return;
        };
        let Some(paxos) = &mut self.paxos else {
            return;
        };
        // Without a leader the library would drop the change; it stays due until there is one.
        if paxos.get_current_leader().is_none() {
            return;
        }
        if paxos.append(change.clone()).is_ok() {
            self.proposals.on_submitted(now);
        }
    }

    /// Starts a probe that renews the lease, and records this process's own response.
    pub(super) fn start_probe(&mut self, now: Micros) {
        let Some(paxos) = &self.paxos else {
            return;
        };
        let accepted_index = accepted_index(paxos);
        let probe = self.lease.start_probe(now);
        self.lease
            .on_response(probe, self.settings.node_id, accepted_index);
        let request = Message::AcceptedIndexRequest {
            configuration: self.configuration.id,
            probe,
        };
        for member in &self.configuration.members {
            self.outbox.send(*member, &request);
        }
    }

    /// Trims the log on the leader, if it has more than twice the retained number of decided entries.
    pub(super) fn trim_log(&mut self) {
        let Some(paxos) = &mut self.paxos else {
            return;
        };
        let is_leader = paxos
            .get_current_leader()
            .is_some_and(|(leader, _)| leader == self.settings.node_id);
        let retained_entries = self.settings.retained_entries;
        let decided_index = paxos.get_decided_idx();
        let decided_entries = decided_index.saturating_sub(paxos.get_compacted_idx());
        if !is_leader || decided_entries <= 2 * retained_entries {
            return;
        }
        if let Err(error) = paxos.trim(Some(decided_index - retained_entries)) {
            // A member lags behind the entries to be removed; the next trim tries again.
            tracing::debug!(?error, "log trim deferred");
        }
    }

    fn update_leader_and_lease(&mut self, now: Micros) {
        if let Some(paxos) = &self.paxos {
            self.lease.renew(decided_index(paxos));
            let leader = paxos.get_current_leader().map(|(leader, _)| leader);
            self.events.update_leader(leader);
        }
        self.events.update_lease(self.lease.is_held(now));
    }

    /// Drops all messages, since what they promise is not durable, and reports the failure.
    fn fail_storage(&mut self, failure: Failure) {
        self.outbox.clear();
        self.events.update_lease(false);
        self.fail(failure);
    }

    /// Reports a failure, after which the node handles no input. The first one is kept as the
    /// cause.
    pub(super) fn fail(&mut self, failure: Failure) {
        self.failure.get_or_insert(failure);
        self.events.push(Event::Failed);
    }
}
