//! State of accepting: limits, pauses and the reserved file descriptor.

use crate::host::Host;
use cleatpulley_connection_admission::Admission;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;

/// Maximum number of rejected connections kept open until their requests have responses.
const MAX_REJECTED: usize = 16;
/// Connections per rejected connection, at the connection limit.
const CONNECTIONS_PER_REJECTED: usize = 8;

/// Whether connections are accepted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AcceptState {
    Accepting,
    /// Nothing is accepted; existing connections stay open.
    Paused,
    /// Another process accepts, and clients are notified to reconnect to it.
    Yielding,
}

/// State that decides whether and how connections are accepted.
pub(super) struct Acceptor<H: Host> {
    pub(super) max_connections: usize,
    state: AcceptState,
    /// Nothing is accepted before this time.
    pub(super) accept_at: Micros,
    /// `None` if slots are assigned first come, first served.
    pub(super) admission: Option<Admission>,
    /// Number of rejected connections that are not closed yet.
    pub(super) rejected_count: usize,
    /// File descriptor reserved for accepting when all others are in use, needed only with an
    /// admission.
    pub(super) reserved_descriptor: Option<H::ReservedDescriptor>,
}

impl<H: Host> Acceptor<H> {
    pub(super) fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            state: AcceptState::Accepting,
            accept_at: 0,
            admission: None,
            rejected_count: 0,
            reserved_descriptor: None,
        }
    }

    pub(super) fn pause(&mut self) {
        if self.state == AcceptState::Accepting {
            self.state = AcceptState::Paused;
        }
    }

    pub(super) fn resume(&mut self) {
        self.state = AcceptState::Accepting;
    }

    pub(super) fn begin_yield(&mut self) {
        self.state = AcceptState::Yielding;
    }

    pub(super) fn is_accepting(&self) -> bool {
        self.state == AcceptState::Accepting
    }

    pub(super) fn is_yielding(&self) -> bool {
        self.state == AcceptState::Yielding
    }

    pub(super) fn on_closed(&mut self, number: u64, is_rejected: bool) {
        self.rejected_count -= usize::from(is_rejected);
        if let Some(admission) = &mut self.admission {
            admission.on_closed(number);
        }
    }

    /// Reserves a file descriptor for accepting when all others are in use.
    pub(super) fn reserve_descriptor(&mut self, host: &H) {
        if self.reserved_descriptor.is_none() && self.admission.is_some() {
            self.reserved_descriptor = host.reserve_descriptor().ok();
        }
    }

    /// Frees the reserved descriptor; returns false if there was none.
    pub(super) fn free_reserved_descriptor(&mut self) -> bool {
        let reserved = self.reserved_descriptor.take();
        let was_reserved = reserved.is_some();
        if is_bug_injected(InjectedBug::SpareDescriptorLeaked) {
            std::mem::forget(reserved);
        }
        was_reserved
    }

    /// Returns the maximum number of rejected connections. They count towards the connection limit,
    /// so that they use no descriptor beyond it.
    pub(super) fn max_rejected(&self) -> usize {
        MAX_REJECTED
            .min(self.max_connections / CONNECTIONS_PER_REJECTED)
            .max(1)
    }

    pub(super) fn is_rejected_full(&self) -> bool {
        self.rejected_count >= self.max_rejected()
    }

    /// Returns the number of connection slots.
    pub(super) fn slot_count(&self, is_short_of_descriptors: bool) -> usize {
        let reserved = self.max_rejected().min(self.max_connections - 1);
        let slot_count = self.max_connections - reserved;
        match &self.admission {
            // If no descriptor is left, all available slots are taken.
            Some(admission) if is_short_of_descriptors => admission.len().min(slot_count),
            _ => slot_count,
        }
    }
}
