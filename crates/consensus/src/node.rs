//! One process of the group, as a state machine without I/O and without a clock.
//!
//! The owner reports sessions ([`Node::on_connected`], [`Node::on_disconnected`]), received bytes
//! ([`Node::handle_message`]) and the time ([`Node::poll`], due at [`Node::next_deadline`]). After
//! each call it sends what [`Node::take_outgoing`] returns and reads [`Node::next_event`] until
//! there is none. Whatever a message promises is durable before the message is handed out.
//!
//! Times are microseconds of a monotonic clock.

mod error;
mod event;
mod event_queue;
mod messages;
mod outbox;
mod paxos;
mod progress;
mod proposals;
mod reconfiguration;
mod timers;

pub use error::{Failure, ProposeError, ReconfigureError, StartError};
pub use event::Event;
pub use outbox::OutgoingMessage;

use crate::change::{ChangeId, Epoch, Incarnation, Subject};
use crate::configuration::{Configuration, NodeId};
use crate::lease::Lease;
use crate::log::{DurableLog, RecoveredLog};
use crate::settings::Settings;
use crate::storage::DurableStorage;
use crate::table::Table;
use cleatpulley_policy::interface::Micros;
use event_queue::EventQueue;
use outbox::Outbox;
use paxos::{build_paxos, Paxos};
use proposals::ProposalQueue;
use timers::Timers;

/// One process of the group, or one that waits to be made a member.
pub struct Node<S: DurableStorage> {
    settings: Settings,
    configuration: Configuration,
    /// The table that the log of the configuration started from, for processes that join late.
    initial_table: Table,
    table: Table,
    log: DurableLog<S>,
    /// `None` while this process is not a member of the configuration.
    paxos: Option<Paxos<S>>,
    lease: Lease,
    proposals: ProposalQueue,
    timers: Timers,
    outbox: Outbox,
    events: EventQueue,
    /// Once set, the node sends nothing more.
    failure: Option<Failure>,
}

impl<S: DurableStorage> Node<S> {
    /// Starts a node from its storage; an empty one starts a process that remembers no promises.
    /// `incarnation` has to be higher than in all earlier starts of this process.
    ///
    /// # Errors
    ///
    /// Returns an error where a setting is out of bounds, or the log can't be recovered.
    pub fn new(
        settings: Settings,
        storage: S,
        incarnation: Incarnation,
    ) -> Result<Self, StartError> {
        settings.check()?;
        let recovered = RecoveredLog::open(storage)?;
        let log = recovered.log;
        let configuration = recovered.configuration.unwrap_or_else(|| {
            let initial = Configuration::initial(settings.members.clone());
            log.record_configuration(&initial);
            initial
        });
        let paxos = build_paxos(&settings, &configuration, &log)?;
        let mut node = Self {
            lease: Lease::new(settings.lease_duration, configuration.quorum_size()),
            proposals: ProposalQueue::new(settings.node_id, incarnation),
            timers: Timers::new(&settings),
            settings,
            configuration,
            initial_table: recovered.initial_table,
            table: recovered.table,
            log,
            paxos,
            outbox: Outbox::default(),
            events: EventQueue::default(),
            failure: None,
        };
        node.apply_decided();
        // Changes that were decided before the start are in the table and not reported again.
        node.events.clear();
        Ok(node)
    }

    /// Reports that a new session with a process is established; messages on older ones are lost.
    pub fn on_connected(&mut self, now: Micros, peer: NodeId) {
        self.outbox.connect(peer);
        self.reconnect_member(peer);
        self.advance(now);
    }

    /// Reports that the session with a process has ended.
    pub fn on_disconnected(&mut self, peer: NodeId) {
        self.outbox.disconnect(peer);
    }

    /// Performs what is due: the library's tick, a probe for the lease, a trim of the log, and the
    /// submission of pending changes.
    pub fn poll(&mut self, now: Micros) {
        if self.failure.is_some() {
            return;
        }
        if self.timers.tick.expire(now) {
            if let Some(paxos) = &mut self.paxos {
                paxos.tick();
            }
        }
        if self.timers.probe.expire(now) {
            self.start_probe(now);
        }
        if self.timers.trim.expire(now) {
            self.trim_log();
        }
        self.submit_due_proposal(now);
        self.advance(now);
    }

    /// Returns when [`poll`](Self::poll) has something to do; `Micros::MAX` after a failure.
    #[must_use]
    pub fn next_deadline(&self) -> Micros {
        if self.failure.is_some() {
            return Micros::MAX;
        }
        let lease_expiry = self
            .lease
            .expires_at()
            .filter(|_| self.events.is_lease_held());
        self.timers
            .next_deadline()
            .min(lease_expiry.unwrap_or(Micros::MAX))
    }

    /// Proposes a change and returns its id, under which [`Event::Decided`] reports it. The change
    /// is submitted again until it is decided. With an `expected_epoch` it applies only if the
    /// subject was last changed in that epoch, 0 meaning that it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error where the change exceeds the bounds of the table, or too many are pending.
    pub fn propose(
        &mut self,
        now: Micros,
        subject: Subject,
        value: Option<Vec<u8>>,
        expected_epoch: Option<Epoch>,
    ) -> Result<ChangeId, ProposeError> {
        let id = self.proposals.enqueue(subject, value, expected_epoch)?;
        self.advance(now);
        Ok(id)
    }

    /// Starts an election with this process as a candidate, as before a planned shutdown of the
    /// leader.
    pub fn campaign(&mut self, now: Micros) {
        if let Some(paxos) = &mut self.paxos {
            paxos.try_become_leader();
        }
        self.advance(now);
    }

    /// Removes and returns the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<OutgoingMessage> {
        self.outbox.take()
    }

    /// Removes and returns the oldest event.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop()
    }

    /// Returns the table with all changes applied that this process knows to be decided.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the configuration in force, as far as this process knows.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the leader, as far as this process knows.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        self.events.leader()
    }

    /// Returns the lease, which says until when the epoch of the table may be acted on.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the number of changes that this process has proposed and that are not decided yet.
    #[must_use]
    pub fn pending_proposals(&self) -> usize {
        self.proposals.len()
    }

    /// Returns why the node has failed, after [`Event::Failed`].
    #[must_use]
    pub fn failure(&self) -> Option<&Failure> {
        self.failure.as_ref()
    }

    /// Returns the log, for tests that inspect the storage or inject a fault.
    #[must_use]
    pub fn log(&self) -> &DurableLog<S> {
        &self.log
    }
}
