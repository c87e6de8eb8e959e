//! Scheduler of TLS handshakes.

use super::kind::HandshakeKind;
use super::settings::Settings;
use super::token_buckets::TokenBuckets;
use super::wait_queue::{WaitQueue, WaitingHandshake};
use crate::decision::ConnectionId;
use cleatpulley_policy::interface::Micros;
use std::collections::BTreeMap;

/// Decision on a new handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandshakeDecision {
    /// The handshake begins now.
    Begin,
    /// The handshake waits until [`HandshakeScheduler::begin_queued`] returns its connection.
    Wait,
    /// The connection must be closed: the queue is full of handshakes that take precedence.
    Reject,
}

/// Counters of the decisions since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Full handshakes begun.
    pub full: u64,
    /// Resumptions begun.
    pub resumed: u64,
    /// Handshakes, full or resumed, that waited in the queue before they began.
    pub waited: u64,
    /// Handshakes rejected because the queue was full.
    pub rejected: u64,
    /// Handshakes that did not end before their deadline.
    pub timed_out: u64,
}

/// Numbers of running and waiting handshakes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandshakeLoad {
    /// Handshakes that run.
    pub running: usize,
    /// Handshakes that wait in the queue.
    pub waiting: usize,
}

/// A running handshake.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunningHandshake {
    /// Accept time of the connection.
    accepted_at: Micros,
    may_use_reserve: bool,
}

/// Decides which handshakes of a process run.
///
/// The caller reports accepted connections, ClientHello messages and the end of handshakes. At
/// [`next_deadline`](Self::next_deadline) it calls [`begin_queued`](Self::begin_queued) and
/// [`take_expired`](Self::take_expired), which return the handshakes to begin and the connections
/// to close.
#[derive(Debug)]
pub struct HandshakeScheduler {
    settings: Settings,
    buckets: TokenBuckets,
    /// Connections that have not sent a ClientHello yet, with their accept time.
    awaiting_client_hello: BTreeMap<ConnectionId, Micros>,
    pub(super) running: BTreeMap<ConnectionId, RunningHandshake>,
    /// Running handshakes that may not use the reserve.
    pub(super) running_unreserved: usize,
    pub(super) queue: WaitQueue,
    /// Connections displaced from the queue, which must be closed.
    displaced: Vec<ConnectionId>,
    /// Counters of the decisions.
    pub counters: Counters,
}

impl HandshakeScheduler {
    /// Creates a scheduler without handshakes, with full token buckets.
    #[must_use]
    pub fn new(settings: Settings, now: Micros) -> Self {
        Self {
            settings,
            buckets: TokenBuckets::new(settings, now),
            awaiting_client_hello: BTreeMap::new(),
            running: BTreeMap::new(),
            running_unreserved: 0,
            queue: WaitQueue::default(),
            displaced: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns whether a handshake may begin now.
    fn may_begin(&self, kind: HandshakeKind) -> bool {
        let is_within_unreserved_limit = kind.priority().may_use_reserve()
            || self.running_unreserved < self.settings.unreserved_running_limit();
        self.running.len() < self.settings.running_limit()
            && is_within_unreserved_limit
            && self.buckets.has_tokens(kind)
    }

    fn begin(&mut self, id: ConnectionId, kind: HandshakeKind, accepted_at: Micros) {
        self.buckets.deduct(kind);
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

    /// Handles the accept of a connection. The timeout of its handshake starts now.
    pub fn on_accepted(&mut self, now: Micros, id: ConnectionId) {
        self.awaiting_client_hello.insert(id, now);
    }

    /// Handles the ClientHello of a connection. A waiting handshake may be overtaken, and displaced
    /// from a full queue, by a later one of higher priority.
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
        let accepted_at = self.awaiting_client_hello.remove(&id).unwrap_or(now);
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

    /// If the queue is full, displaces the handshake at its back if that has a lower priority than
    /// the new one. Returns whether there is room; if not, the new one must be rejected.
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

    /// Handles the end of a connection's handshake, or the close of the connection.
    pub fn on_ended(&mut self, id: ConnectionId) {
        self.awaiting_client_hello.remove(&id);
        if let Some(handshake) = self.running.remove(&id) {
            self.running_unreserved -= usize::from(!handshake.may_use_reserve);
        }
        self.queue.remove(id);
    }

    /// Begins the waiting handshakes that the limits permit, and returns their connections in queue
    /// order.
    pub fn begin_queued(&mut self, now: Micros) -> Vec<ConnectionId> {
        self.buckets.refill(now);
        let mut begun = Vec::new();
        // The handshake at the front blocks those behind it, even if one of them could begin.
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

    /// Returns the connections to close: those displaced from the queue, and those whose handshake
    /// is past its deadline, whether it runs, waits or still lacks a ClientHello.
    pub fn take_expired(&mut self, now: Micros) -> Vec<ConnectionId> {
        let mut to_close = std::mem::take(&mut self.displaced);
        let is_expired = |accepted_at: Micros| now >= accepted_at + self.settings.timeout;
        let awaiting = self.awaiting_client_hello.iter();
        to_close.extend(
            awaiting
                .filter(|(_, accepted_at)| is_expired(**accepted_at))
                .map(|(id, _)| *id),
        );
        let running = self.running.iter();
        to_close.extend(
            running
                .filter(|(_, handshake)| is_expired(handshake.accepted_at))
                .map(|(id, _)| *id),
        );
        let waiting = self.queue.iter();
        to_close.extend(
            waiting
                .filter(|handshake| is_expired(handshake.accepted_at))
                .map(|handshake| handshake.id),
        );
        for id in &to_close {
            self.counters.timed_out += u64::from(self.contains(*id));
            self.on_ended(*id);
        }
        to_close
    }

    fn contains(&self, id: ConnectionId) -> bool {
        self.awaiting_client_hello.contains_key(&id)
            || self.running.contains_key(&id)
            || self.queue.contains(id)
    }

    /// Returns the next deadline of a handshake, or the time at which the front of the queue has
    /// enough tokens, whichever is earlier. Waits for another handshake to end have no deadline:
    /// the caller reports that end.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        let oldest_accept_times = [
            self.awaiting_client_hello.values().min().copied(),
            self.running
                .values()
                .map(|handshake| handshake.accepted_at)
                .min(),
            self.queue
                .iter()
                .map(|handshake| handshake.accepted_at)
                .min(),
        ];
        let oldest_accept_time = oldest_accept_times.into_iter().flatten().min();
        let deadline = oldest_accept_time.map(|accepted_at| accepted_at + self.settings.timeout);
        let first = self.queue.first();
        let tokens_available_at = first.and_then(|first| self.buckets.available_at(first.kind));
        [deadline, tokens_available_at].into_iter().flatten().min()
    }

    /// Returns the numbers of running and waiting handshakes.
    #[must_use]
    pub fn load(&self) -> HandshakeLoad {
        HandshakeLoad {
            running: self.running.len(),
            waiting: self.queue.len(),
        }
    }
}
