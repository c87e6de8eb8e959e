//! What is decided on with every new connection: limits, pauses and the reserved descriptor.

use crate::host::Host;
use cleatpulley_connection_admission::Admission;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;

/// Rejected connections that are held at once until what came on them has its response.
const MAX_REJECTED: usize = 16;
/// Of all connections, one in so many may be a rejected one.
const CONNECTIONS_PER_REJECTED: usize = 8;

/// Whether connections are accepted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AcceptState {
    Accepting,
    /// Nothing is accepted; the connections stay.
    Paused,
    /// Another process accepts, and the connections are sent to it.
    Yielding,
}

/// What is decided on with every new connection.
pub(super) struct Acceptor<H: Host> {
    pub(super) max_connections: usize,
    state: AcceptState,
    /// Nothing is accepted before this time.
    pub(super) accept_at: Micros,
    /// None where slots go to whoever comes first.
    pub(super) admission: Option<Admission>,
    /// Connections that are rejected and not closed yet.
    pub(super) rejected_count: usize,
    /// A descriptor for the moment at which no other is left, where it matters who comes then.
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

    /// Reserves a descriptor for the moment at which no other is left.
    pub(super) fn reserve_descriptor(&mut self, host: &H) {
        if self.reserved_descriptor.is_none() && self.admission.is_some() {
            self.reserved_descriptor = host.reserve_descriptor().ok();
        }
    }

    /// Frees the reserved descriptor; returns false where there was none.
    pub(super) fn free_reserved_descriptor(&mut self) -> bool {
        let reserved = self.reserved_descriptor.take();
        let was_reserved = reserved.is_some();
        if is_bug_injected(InjectedBug::SpareDescriptorLeaked) {
            std::mem::forget(reserved);
        }
        was_reserved
    }

    /// Returns how many rejected connections are held at once: a part of the limit, so that they
    /// take no descriptor beyond it.
    pub(super) fn max_rejected(&self) -> usize {
        MAX_REJECTED
            .min(self.max_connections / CONNECTIONS_PER_REJECTED)
            .max(1)
    }

    pub(super) fn is_rejected_full(&self) -> bool {
        self.rejected_count >= self.max_rejected()
    }

    /// Returns how many connections may have a slot.
    pub(super) fn slot_count(&self, is_short_of_descriptors: bool) -> usize {
        let reserved = self.max_rejected().min(self.max_connections - 1);
        let slot_count = self.max_connections - reserved;
        match &self.admission {
            // Where no descriptor is left, all slots there are are taken.
            Some(admission) if is_short_of_descriptors => admission.len().min(slot_count),
            _ => slot_count,
        }
    }
}
