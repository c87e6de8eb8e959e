//! Decisions on requests by their idempotency key. The dispatcher executes them.

use crate::response::{RequestError, Response};
use cleatpulley_idempotency::key_table::{KeyStatus, KeyTable};
use cleatpulley_idempotency::record::{request_digest, ScopedKey};
use cleatpulley_policy::interface::{Micros, Request, RequestId};

/// Which callers share a key space.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// All callers share one key space.
    Global,
    /// Each caller has its own key space.
    PerCaller,
}

/// The idempotency keys of a server and their configuration.
#[derive(Debug)]
pub struct IdempotencyKeys {
    /// Whether results are cached, by class index.
    pub cached_classes: Vec<bool>,
    /// Whether a request of a cached class without a key is invalid.
    pub requires_key: bool,
    /// Which callers share a key space.
    pub scope: KeyScope,
    /// Table of keys.
    pub table: KeyTable,
    /// Attempts that arrived before the keys were recovered.
    early_attempts: Vec<EarlyAttempt>,
    /// Whether a request found no capacity since the last report to the controller.
    lacked_capacity: bool,
    /// Last assigned wait number.
    last_wait_number: u64,
    /// Whether another process owns the keys.
    is_released: bool,
}

/// An attempt that arrived before the keys were recovered.
#[derive(Debug)]
pub(crate) struct EarlyAttempt {
    pub(crate) id: RequestId,
    pub(crate) wait_number: u64,
    pub(crate) key: ScopedKey,
    pub(crate) digest: u128,
}

/// Decision on a request by its key.
#[derive(Debug)]
pub(crate) enum KeyDecision {
    /// Pass the request to the controller.
    Admit,
    /// Send this response immediately.
    Respond(Response),
    /// Load the cached result of this completed key.
    LoadCachedResult(ScopedKey),
    /// Wait under this number until the keys are recovered.
    AwaitRecovery(u64),
}

impl IdempotencyKeys {
    /// Creates keys that have not been recovered yet. `cached_classes` states by class index
    /// whether results are cached.
    #[must_use]
    pub fn new(
        cached_classes: Vec<bool>,
        requires_key: bool,
        scope: KeyScope,
        table: KeyTable,
    ) -> Self {
        Self {
            cached_classes,
            requires_key,
            scope,
            table,
            early_attempts: Vec::new(),
            lacked_capacity: false,
            last_wait_number: 0,
            is_released: false,
        }
    }

    pub(crate) fn caches_results(&self, class: usize) -> bool {
        self.cached_classes.get(class).copied().unwrap_or(false)
    }

    pub(crate) fn is_released(&self) -> bool {
        self.is_released
    }

    /// Decides on a request that was read, with or without a key, and sets its fields for the
    /// controller. `has_memory_for` returns whether a request of this memory may wait without being
    /// accounted for by the controller.
    pub(crate) fn on_request(
        &mut self,
        now: Micros,
        request: &mut Request,
        key: Option<&[u8]>,
        body: &[u8],
        has_memory_for: impl Fn(f64) -> bool,
    ) -> KeyDecision {
        if !self.caches_results(request.class) {
            return KeyDecision::Admit;
        }
        let Some(key) = key else {
            return if self.requires_key {
                KeyDecision::Respond(Response::Invalid(RequestError::KeyMissing))
            } else {
                KeyDecision::Admit
            };
        };
        let class = u16::try_from(request.class).unwrap_or(u16::MAX);
        let owner = match self.scope {
            KeyScope::Global => 0,
            KeyScope::PerCaller => request.caller,
        };
        let key = ScopedKey::new(owner, class, key);
        let digest = request_digest(class, body);
        self.decide(now, request, key, digest, has_memory_for)
    }

    /// Decides on a request by its scoped key and the digest of its body.
    pub(crate) fn decide(
        &mut self,
        now: Micros,
        request: &mut Request,
        key: ScopedKey,
        digest: u128,
        has_memory_for: impl Fn(f64) -> bool,
    ) -> KeyDecision {
        match self.table.on_attempt(now, request.id, &key, digest) {
            KeyStatus::First => {
                request.caches_result = true;
                KeyDecision::Admit
            }
            // The controller is notified of the lack of capacity before the request, and rejects
            // it.
            KeyStatus::NoCapacity => {
                request.caches_result = true;
                self.lacked_capacity = true;
                KeyDecision::Admit
            }
            KeyStatus::Pending(first) => {
                request.caches_result = true;
                request.duplicate_of = Some(first);
                KeyDecision::Admit
            }
            // The request fails, since a rejection would guarantee that it never ran, which is
            // false or unknown.
            KeyStatus::Completed | KeyStatus::NotRecovered
                if !has_memory_for(request.memory_kb) =>
            {
                KeyDecision::Respond(Response::Failed)
            }
            KeyStatus::Completed => {
                request.caches_result = true;
                KeyDecision::LoadCachedResult(key)
            }
            KeyStatus::NotRecovered => {
                request.caches_result = true;
                KeyDecision::AwaitRecovery(self.add_early_attempt(request.id, key, digest))
            }
            KeyStatus::Unknown => KeyDecision::Respond(Response::Failed),
            KeyStatus::Mismatch => KeyDecision::Respond(Response::Invalid(RequestError::KeyReused)),
            // The request never ran here, and the process that owns the key may admit it at once.
            KeyStatus::OwnedElsewhere => KeyDecision::Respond(Response::Rejected {
                retry_after: 0,
                no_failover: false,
            }),
        }
    }

    fn add_early_attempt(&mut self, id: RequestId, key: ScopedKey, digest: u128) -> u64 {
        let wait_number = self.next_wait_number();
        self.early_attempts.push(EarlyAttempt {
            id,
            wait_number,
            key,
            digest,
        });
        wait_number
    }

    /// Removes and returns the attempts that wait for the keys to be recovered.
    pub(crate) fn take_early_attempts(&mut self) -> Vec<EarlyAttempt> {
        std::mem::take(&mut self.early_attempts)
    }

    pub(crate) fn next_wait_number(&mut self) -> u64 {
        self.last_wait_number += 1;
        self.last_wait_number
    }

    /// Returns whether the table has capacity, as reported to the controller, and resets the record
    /// of lacking capacity.
    ///
    /// A request that found no capacity must not be admitted although there is some again: it has
    /// no entry in the table, and another request with its key might already be running.
    pub(crate) fn take_capacity_status(&mut self) -> bool {
        let lacked_capacity = std::mem::take(&mut self.lacked_capacity);
        !lacked_capacity && self.table.has_capacity()
    }

    /// Returns whether no attempt waits for the table of keys and no run with a key is active.
    pub(crate) fn is_idle(&self) -> bool {
        self.table.active_runs() == 0
            && self.table.pending_attempts() == 0
            && self.early_attempts.is_empty()
    }

    /// Releases the keys to another process.
    pub(crate) fn release(&mut self) {
        self.table.release();
        self.is_released = true;
    }

    /// Takes back released keys.
    pub(crate) fn reclaim(&mut self, table: KeyTable) {
        self.table = table;
        self.is_released = false;
    }
}
