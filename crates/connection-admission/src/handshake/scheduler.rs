//! The decisions on handshakes.

use super::kind::HandshakeKind;
use super::settings::Settings;
use super::token_buckets::TokenBuckets;
use super::wait_queue::{WaitQueue, WaitingHandshake};
use crate::decision::ConnectionId;
use cleatpulley_policy::interface::Micros;
use std::collections::BTreeMap;

/// What is to be done with a handshake that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandshakeDecision {
    /// It begins now.
    Begin,
    /// It waits until [`HandshakeScheduler::begin_queued`] returns it.
    Wait,
    /// Its connection is to be closed: the queue is full of handshakes that go before it.
    Reject,
}

/// Counters of the decisions since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Full handshakes begun.
    pub full: u64,
    /// Resumptions begun.
    pub resumed: u64,
    /// Handshakes, of both kinds, begun after a wait.
    pub waited: u64,
    /// Handshakes rejected because the queue was full.
    pub rejected: u64,
    /// Handshakes ended at their deadline.
    pub timed_out: u64,
}

/// The handshakes of a process at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandshakeLoad {
    /// Handshakes that run.
    pub running: usize,
    /// Handshakes that wait in the queue.
    pub waiting: usize,
}

/// A handshake that runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunningHandshake {
    /// When its connection was accepted.
    accepted_at: Micros,
    may_use_reserve: bool,
}

/// Decides which handshakes of a process run.
///
/// It is notified of connections that were accepted, of offers and of handshakes that ended. From
/// [`next_deadline`](Self::next_deadline) on, [`begin_queued`](Self::begin_queued) and
/// [`take_expired`](Self::take_expired) return what is to begin and what to be closed.
#[derive(Debug)]
pub struct HandshakeScheduler {
    settings: Settings,
    buckets: TokenBuckets,
    /// Connections without an offer yet, with the time of their accept.
    pending: BTreeMap<ConnectionId, Micros>,
    pub(super) running: BTreeMap<ConnectionId, RunningHandshake>,
    /// Running handshakes that may not use the reserve.
    pub(super) running_unreserved: usize,
    pub(super) queue: WaitQueue,
    /// Connections that others have displaced from the queue, and that are to be closed.
    displaced: Vec<ConnectionId>,
    /// Counters of the decisions.
    pub counters: Counters,
}

impl HandshakeScheduler {
    /// Creates the state of a process in which no handshake runs, with full token buckets.
    #[must_use]
    pub fn new(settings: Settings, now: Micros) -> Self {
        Self {
            settings,
            buckets: TokenBuckets::new(settings, now),
            pending: BTreeMap::new(),
            running: BTreeMap::new(),
            running_unreserved: 0,
            queue: WaitQueue::default(),
            displaced: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Returns its settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns whether a handshake may begin now.
    fn may_begin(&self, kind: HandshakeKind) -> bool {
        let is_within_reserve = kind.priority().may_use_reserve()
            || self.running_unreserved < self.settings.unreserved_running_limit();
        self.running.len() < self.settings.running_limit()
            && is_within_reserve
            && self.buckets.has_tokens(kind)
    }

    fn begin(&mut self, id: ConnectionId, kind: HandshakeKind, accepted_at: Micros) {
        self.buckets.take(kind);
        let may_use_reserve = kind.priority().may_use_reserve();
        self.running_unreserved += usize::from(!may_use_reserve);
        self.running.insert(
            id,
            RunningHandshake {
                accepted_at,
                may_use_reserve,
            },
        );
        if kind.is_resumption {
            self.counters.resumed += 1;
        } else {
            self.counters.full += 1;
        }
    }

    /// Notifies of an accepted connection. The deadline of its handshake runs from now.
    pub fn on_accepted(&mut self, now: Micros, id: ConnectionId) {
        self.pending.insert(id, now);
    }

    /// Notifies of the offer in the first record of a connection. A handshake that waits may be
    /// overtaken, and displaced from a full queue, by a later one of a better priority.
    pub fn on_client_hello(
        &mut self,
        now: Micros,
        id: ConnectionId,
        kind: HandshakeKind,
    ) -> HandshakeDecision {
        if self.running.contains_key(&id) {
            return HandshakeDecision::Begin;
        }
        if self.queue.contains(id) {
            return HandshakeDecision::Wait;
        }
        self.buckets.refill(now);
        let accepted_at = self.pending.remove(&id).unwrap_or(now);
        let is_next = self
            .queue
            .first()
            .is_none_or(|first| kind.priority() < first.kind.priority());
        if is_next && self.may_begin(kind) {
            self.begin(id, kind, accepted_at);
            return HandshakeDecision::Begin;
        }
        if !self.make_room_in_queue(kind) {
            return HandshakeDecision::Reject;
        }
        self.queue.insert(WaitingHandshake {
            id,
            kind,
            accepted_at,
        });
        HandshakeDecision::Wait
    }

    /// Displaces the last handshake from a full queue if its priority is worse than that of this
    /// one; otherwise this one is rejected. Returns whether there is room.
    fn make_room_in_queue(&mut self, kind: HandshakeKind) -> bool {
        if self.queue.len() < self.settings.max_waiting {
            return true;
        }
        self.counters.rejected += 1;
        let is_last_worse = self
            .queue
            .last_priority()
            .is_some_and(|last| last > kind.priority());
        if is_last_worse {
            self.displaced.extend(self.queue.pop_last());
        }
        is_last_worse
    }

    /// Notifies that the handshake of a connection has ended, or that the connection is closed.
    pub fn on_ended(&mut self, id: ConnectionId) {
        self.pending.remove(&id);
        if let Some(handshake) = self.running.remove(&id) {
            self.running_unreserved -= usize::from(!handshake.may_use_reserve);
        }
        self.queue.remove(id);
    }

    /// Begins handshakes that waited, and returns their connections, the first of the queue first.
    pub fn begin_queued(&mut self, now: Micros) -> Vec<ConnectionId> {
        self.buckets.refill(now);
        let mut begun = Vec::new();
        // The first blocks those behind it, also where one of them might begin.
        while let Some(first) = self
            .queue
            .first()
            .filter(|first| self.may_begin(first.kind))
        {
            self.queue.remove(first.id);
            self.begin(first.id, first.kind, first.accepted_at);
            self.counters.waited += 1;
            begun.push(first.id);
        }
        begun
    }

    /// Returns the connections that are to be closed: those displaced from the queue, and those
    /// whose handshake is past its deadline, whether it runs, waits or was not offered yet.
    pub fn take_expired(&mut self, now: Micros) -> Vec<ConnectionId> {
        let mut closed = std::mem::take(&mut self.displaced);
        let is_late = |accepted_at: Micros| now >= accepted_at + self.settings.timeout;
        let pending = self.pending.iter();
        closed.extend(pending.filter(|(_, at)| is_late(**at)).map(|(id, _)| *id));
        let running = self.running.iter();
        closed.extend(
            running
                .filter(|(_, handshake)| is_late(handshake.accepted_at))
                .map(|(id, _)| *id),
        );
        let waiting = self.queue.iter();
        closed.extend(
            waiting
                .filter(|handshake| is_late(handshake.accepted_at))
                .map(|handshake| handshake.id),
        );
        for id in &closed {
            self.counters.timed_out += u64::from(self.contains(*id));
            self.on_ended(*id);
        }
        closed
    }

    fn contains(&self, id: ConnectionId) -> bool {
        self.pending.contains_key(&id) || self.running.contains_key(&id) || self.queue.contains(id)
    }

    /// Returns when the next deadline is, or when the first of the queue may begin, whichever comes
    /// first. A handshake that waits for another to end is not awaited: that end is notified of.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        let oldest_accepts = [
            self.pending.values().min().copied(),
            self.running
                .values()
                .map(|handshake| handshake.accepted_at)
                .min(),
            self.queue
                .iter()
                .map(|handshake| handshake.accepted_at)
                .min(),
        ];
        let oldest_accept = oldest_accepts.into_iter().flatten().min();
        let deadline = oldest_accept.map(|accepted_at| accepted_at + self.settings.timeout);
        let first = self.queue.first();
        let tokens_at = first.and_then(|first| self.buckets.available_at(first.kind));
        [deadline, tokens_at].into_iter().flatten().min()
    }

    /// Returns the number of handshakes that run, and of those that wait.
    #[must_use]
    pub fn load(&self) -> HandshakeLoad {
        HandshakeLoad {
            running: self.running.len(),
            waiting: self.queue.len(),
        }
    }
}
