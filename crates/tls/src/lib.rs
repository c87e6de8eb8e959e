//! TLS on every front and on the links to targets. rustls does the protocol and no I/O; what is here turns it into
//! state machines fed with bytes and returning bytes ([`session`]), reads what a client offers before it has a place
//! ([`hello`]), loads and checks pairs of certificate and key ([`pair`]), builds what sessions share ([`setup`]), keeps
//! ticket keys that instances share and rotate ([`tickets`]), and makes an authority and its certificates ([`authority`],
//! [`verdict`]).
//!
//! Time comes from the caller, through a [`Clock`] that it sets: certificates are judged by the matcher's own time, so that
//! a virtual world can play them.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod authority;
pub mod hello;
pub mod pair;
pub mod session;
pub mod setup;
pub mod tickets;
pub mod verdict;

pub use rustls;

use rustls::pki_types::UnixTime;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The time that certificates and tickets are judged by: Unix microseconds, set by whoever owns the clock.
#[derive(Debug, Clone, Default)]
pub struct Clock(Arc<AtomicU64>);

impl Clock {
    /// One that says this time.
    #[must_use]
    pub fn at(micros: u64) -> Self {
        Self(Arc::new(AtomicU64::new(micros)))
    }

    /// It says this time from now on.
    pub fn set(&self, micros: u64) {
        self.0.store(micros, Ordering::Relaxed);
    }

    /// Unix microseconds.
    #[must_use]
    pub fn micros(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Unix seconds.
    #[must_use]
    pub fn seconds(&self) -> u64 {
        self.micros() / 1_000_000
    }
}

impl rustls::time_provider::TimeProvider for Clock {
    fn current_time(&self) -> Option<UnixTime> {
        Some(UnixTime::since_unix_epoch(Duration::from_micros(
            self.micros(),
        )))
    }
}

/// The cryptography that everything here uses.
#[must_use]
pub fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}
