//! TLS on every front and on the links to targets. rustls does the protocol and no I/O; what is here turns it into
//! state machines fed with bytes and returning bytes ([`session`]), reads what a client offers before it has a place
//! ([`client_hello`]), loads and checks pairs of certificate and key ([`certificate`]), builds what sessions share ([`config`]), keeps
//! ticket keys that instances share and rotate ([`ticket_keys`]), and makes an authority and its certificates ([`authority`],
//! [`verification`]).
//!
//! Time comes from the caller, through a [`Clock`] that it sets: certificates are judged by the matcher's own time, so that
//! a virtual world can play them.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod authority;
pub mod certificate;
pub mod client_hello;
pub mod config;
pub mod session;
pub mod ticket_keys;
pub mod verification;

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
    pub fn from_unix_micros(micros: u64) -> Self {
        Self(Arc::new(AtomicU64::new(micros)))
    }

    /// It says this time from now on.
    pub fn set(&self, micros: u64) {
        self.0.store(micros, Ordering::Relaxed);
    }

    /// Unix microseconds.
    #[must_use]
    pub fn unix_micros(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Unix seconds.
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

/// The cryptography that everything here uses.
#[must_use]
pub fn crypto_provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}
