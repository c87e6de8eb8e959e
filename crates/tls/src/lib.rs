//! TLS for all listeners and for the connections to targets. rustls implements the protocol without
//! I/O. This crate wraps it into state machines that take and return bytes ([`session`]), parses
//! the ClientHello before a handshake is admitted ([`client_hello`]), loads and checks certificates
//! with their keys ([`certificate`]), builds the configurations that sessions share ([`config`]),
//! derives ticket keys that instances share and rotate ([`ticket_keys`]), issues certificates of an
//! own authority ([`authority`]), and verifies certificates as clients and servers would
//! ([`verification`]).
//!
//! The caller sets the time through a [`Clock`]: certificates are checked by the matcher's own
//! time, so that a simulation can control it.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod authority;
pub mod certificate;
pub mod client_hello;
pub mod config;
mod pinned_certificate;
pub mod session;
pub mod ticket_keys;
pub mod verification;

pub use rustls;

use rustls::pki_types::UnixTime;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The clock that certificates and tickets are checked by, in Unix microseconds; its owner sets it.
#[derive(Debug, Clone, Default)]
pub struct Clock(Arc<AtomicU64>);

impl Clock {
    /// Creates a clock that shows this time.
    #[must_use]
    pub fn from_unix_micros(micros: u64) -> Self {
        Self(Arc::new(AtomicU64::new(micros)))
    }

    /// Sets the time.
    pub fn set(&self, micros: u64) {
        self.0.store(micros, Ordering::Relaxed);
    }

    /// Returns the time in Unix microseconds.
    #[must_use]
    pub fn unix_micros(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Returns the time in Unix seconds.
    #[must_use]
    pub fn unix_seconds(&self) -> u64 {
        self.unix_micros() / 1_000_000
    }
}

impl rustls::time_provider::TimeProvider for Clock {
    fn current_time(&self) -> Option<UnixTime> {
        Some(UnixTime::since_unix_epoch(Duration::from_micros(
            self.unix_micros(),
        )))
    }
}

/// Returns the cryptography provider that this crate uses.
#[must_use]
pub fn crypto_provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}
