//! State shared by all TLS connections: the certificate in use and its renewal.

use super::options::{LoadedCertificate, TlsOptions};
use crate::error::CertificateError;
use cleatpulley_policy::interface::Micros;
use cleatpulley_tls::certificate::CertificateInfo;
use cleatpulley_tls::rustls::ServerConfig;
use std::cell::RefCell;
use std::sync::Arc;

/// Interval between checks of the certificate's files for changes.
pub const CERTIFICATE_CHECK_INTERVAL: Micros = 1_000_000;
/// Interval between warnings of a near expiry: one day.
const EXPIRY_WARNING_INTERVAL: Micros = 86_400_000_000;
const MICROS_PER_SECOND: Micros = 1_000_000;
const SECONDS_PER_DAY: i64 = 86_400;

/// Number of certificate renewals since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RenewalCounts {
    /// Number of new certificates taken into use.
    pub accepted: u64,
    /// Number of faulty certificates, which were ignored.
    pub rejected: u64,
}

/// The certificate in use, and the state of checking its files.
pub struct TlsState {
    options: TlsOptions,
    certificate: RefCell<LoadedCertificate>,
    /// Stamp of the files when they were read last.
    stamp: u64,
    next_check_at: Micros,
    /// Time of the last expiry warning.
    last_warning_at: Option<Micros>,
    renewals: RenewalCounts,
}

impl TlsState {
    /// Loads the certificate for the first time.
    ///
    /// # Errors
    /// If the certificate can't be loaded.
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
            last_warning_at: None,
            renewals: RenewalCounts::default(),
        };
        state.warn_of_expiry(now);
        Ok(state)
    }

    /// Returns the TLS options.
    #[must_use]
    pub fn options(&self) -> &TlsOptions {
        &self.options
    }

    /// Returns the configuration of new handshakes.
    #[must_use]
    pub fn config(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.certificate.borrow().config)
    }

    /// Returns names, serial number and validity of the certificate in use.
    #[must_use]
    pub fn certificate_facts(&self) -> CertificateInfo {
        self.certificate.borrow().facts.clone()
    }

    /// Returns the number of certificate renewals.
    #[must_use]
    pub fn renewals(&self) -> RenewalCounts {
        self.renewals
    }

    /// Returns true if a client with these certificate names may use this request class.
    #[must_use]
    pub fn permits(&self, class: usize, certificate_names: &[String]) -> bool {
        match self.options.permits.get(class) {
            Some(Some(allowed)) => certificate_names.iter().any(|name| allowed.contains(name)),
            _ => true,
        }
    }

    /// Sets the clock, and reloads the certificate if its files have changed or `is_reload` is set.
    /// A faulty certificate changes nothing; established connections keep their certificate.
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
                self.last_warning_at = None;
            }
            Err(error) => {
                tracing::error!("tls: the certificate in use stays: {error}");
                self.renewals.rejected += 1;
            }
        }
    }

    /// Returns the seconds until the certificate in use expires.
    #[must_use]
    pub fn seconds_until_expiry(&self, now: Micros) -> i64 {
        let certificate = self.certificate.borrow();
        certificate
            .facts
            .seconds_until_expiry(now / MICROS_PER_SECOND)
    }

    fn warn_of_expiry(&mut self, now: Micros) {
        let seconds_until_expiry = self.seconds_until_expiry(now);
        let micros_until_expiry = seconds_until_expiry * MICROS_PER_SECOND as i64;
        if micros_until_expiry >= self.options.warn_before as i64 {
            return;
        }
        let last_warning = self.last_warning_at;
        if last_warning.is_none_or(|at| now >= at + EXPIRY_WARNING_INTERVAL) {
            self.last_warning_at = Some(now);
            tracing::warn!(
                "tls: the certificate in use expires in {} days ({seconds_until_expiry} s)",
                seconds_until_expiry.div_euclid(SECONDS_PER_DAY)
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
