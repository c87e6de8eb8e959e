//! What all TLS connections share: the certificate in use, which is renewed in place.

use super::options::{LoadedCertificate, TlsOptions};
use crate::error::CertificateError;
use cleatpulley_policy::interface::Micros;
use cleatpulley_tls::certificate::CertificateInfo;
use cleatpulley_tls::rustls::ServerConfig;
use std::cell::RefCell;
use std::sync::Arc;

/// Interval at which the files of the certificate are checked for changes.
pub const CERTIFICATE_CHECK_INTERVAL: Micros = 1_000_000;
/// Interval at which an expiry that comes near is logged again: a day.
const EXPIRY_WARNING_INTERVAL: Micros = 86_400_000_000;
const MICROS_PER_SECOND: Micros = 1_000_000;
const SECONDS_PER_DAY: i64 = 86_400;

/// How often the certificate was renewed since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RenewalCounts {
    /// New certificates in use.
    pub accepted: u64,
    /// Faulty ones, which changed nothing.
    pub rejected: u64,
}

/// The certificate in use, and the watch over its files.
pub struct TlsState {
    options: TlsOptions,
    certificate: RefCell<LoadedCertificate>,
    /// The stamp of the files when they were read last.
    stamp: u64,
    next_check_at: Micros,
    /// When the expiry was logged last.
    warned_at: Option<Micros>,
    renewals: RenewalCounts,
}

impl TlsState {
    /// Loads the certificate for the first time.
    ///
    /// # Errors
    /// What is wrong with it: without it, no TLS can be spoken.
    pub fn new(options: TlsOptions, now: Micros) -> Result<Self, CertificateError> {
        options.clock.set(now);
        let stamp = options.certificates.stamp();
        let certificate = options.certificates.load()?;
        log_certificate(&certificate.facts);
        let mut state = Self {
            options,
            certificate: RefCell::new(certificate),
            stamp,
            next_check_at: now + CERTIFICATE_CHECK_INTERVAL,
            warned_at: None,
            renewals: RenewalCounts::default(),
        };
        state.warn_of_expiry(now);
        Ok(state)
    }

    /// Returns the options that it was created with.
    #[must_use]
    pub fn options(&self) -> &TlsOptions {
        &self.options
    }

    /// Returns the configuration for a handshake that begins now.
    #[must_use]
    pub fn config(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.certificate.borrow().config)
    }

    /// Returns what the certificate in use says.
    #[must_use]
    pub fn certificate_facts(&self) -> CertificateInfo {
        self.certificate.borrow().facts.clone()
    }

    /// Returns how often the certificate was renewed.
    #[must_use]
    pub fn renewals(&self) -> RenewalCounts {
        self.renewals
    }

    /// Returns true where a client with these certificate names may use this request class.
    #[must_use]
    pub fn permits(&self, class: usize, certificate_names: &[String]) -> bool {
        match self.options.permits.get(class) {
            Some(Some(allowed)) => certificate_names.iter().any(|name| allowed.contains(name)),
            _ => true,
        }
    }

    /// Sets the clock, and loads the certificate again where its files have changed or `is_reload`
    /// demands it. A faulty certificate changes nothing; established connections keep the one that
    /// they have.
    pub fn poll(&mut self, now: Micros, is_reload: bool) {
        self.options.clock.set(now);
        if !is_reload && now < self.next_check_at {
            return;
        }
        self.next_check_at = now + CERTIFICATE_CHECK_INTERVAL;
        let stamp = self.options.certificates.stamp();
        if is_reload || stamp != self.stamp {
            self.stamp = stamp;
            self.renew();
        }
        self.warn_of_expiry(now);
    }

    fn renew(&mut self) {
        match self.options.certificates.load() {
            Ok(certificate) => {
                log_certificate(&certificate.facts);
                *self.certificate.borrow_mut() = certificate;
                self.renewals.accepted += 1;
                self.warned_at = None;
            }
            Err(error) => {
                tracing::error!("tls: the certificate in use stays: {error}");
                self.renewals.rejected += 1;
            }
        }
    }

    /// Returns the seconds until the certificate in use expires.
    #[must_use]
    pub fn seconds_left(&self, now: Micros) -> i64 {
        let certificate = self.certificate.borrow();
        certificate
            .facts
            .seconds_until_expiry(now / MICROS_PER_SECOND)
    }

    fn warn_of_expiry(&mut self, now: Micros) {
        let seconds_left = self.seconds_left(now);
        let micros_left = seconds_left * MICROS_PER_SECOND as i64;
        if micros_left >= self.options.warn_before as i64 {
            return;
        }
        let last_warning = self.warned_at;
        if last_warning.is_none_or(|at| now >= at + EXPIRY_WARNING_INTERVAL) {
            self.warned_at = Some(now);
            tracing::warn!(
                "tls: the certificate in use expires in {} days ({seconds_left} s)",
                seconds_left.div_euclid(SECONDS_PER_DAY)
            );
        }
    }
}

fn log_certificate(facts: &CertificateInfo) {
    tracing::info!(
        "tls: certificate {} of {} in use, valid until {} (Unix seconds)",
        facts.serial,
        facts.names.join(", "),
        facts.not_after
    );
}
