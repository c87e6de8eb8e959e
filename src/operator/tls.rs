//! The `tls` section: the certificate and its key, the roots for client certificates, the listeners
//! that use TLS, session tickets shared by the instances of a host, the client names that each class
//! permits, and limits of handshakes. Paths are relative to the operator file.

use super::{key_error, KeyError};
use crate::config::Config;
use cleatpulley_connection_admission::handshake::Settings as HandshakeSettings;
use cleatpulley_server::error::CertificateError;
use cleatpulley_server::tls_layer::{CertificateSource, LoadedCertificate, TlsOptions};
use cleatpulley_tls::certificate::{self, CertificateWithKey};
use cleatpulley_tls::config::{self, ClientAuthentication, ProtocolVersions};
use cleatpulley_tls::rustls::ClientConfig;
use cleatpulley_tls::ticket_keys::TicketKeys;
use cleatpulley_tls::Clock;
use serde::Deserialize;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const US_PER_DAY: u64 = 86_400_000_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TlsSection {
    certificate: String,
    key: String,
    #[serde(default)]
    clients: Option<ClientsSection>,
    #[serde(default = "default_on")]
    on: Vec<String>,
    #[serde(default = "default_versions")]
    versions: Vec<String>,
    #[serde(default)]
    tickets: Option<TicketsSection>,
    #[serde(default)]
    permits: std::collections::BTreeMap<String, Vec<String>>,
    #[serde(default)]
    handshakes: Option<HandshakesSection>,
    #[serde(default)]
    identities: Option<IdentitiesSection>,
    #[serde(default = "default_warn_days")]
    warn_days: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClientsSection {
    roots: String,
    #[serde(default = "default_required")]
    required: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketsSection {
    secret: String,
    #[serde(default = "default_period_s")]
    period_s: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HandshakesSection {
    #[serde(default)]
    per_second: Option<f64>,
    #[serde(default)]
    burst: Option<f64>,
    #[serde(default)]
    at_once: Option<usize>,
    #[serde(default)]
    resumed_cost: Option<f64>,
    #[serde(default)]
    reserve: Option<f64>,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default)]
    waiting: Option<usize>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct IdentitiesSection {
    #[serde(default)]
    named: Vec<String>,
    #[serde(default)]
    places: Option<usize>,
    #[serde(default)]
    per_second: Option<f64>,
    #[serde(default)]
    burst: Option<f64>,
}

impl IdentitiesSection {
    fn check(self) -> Result<cleatpulley_connection_admission::identity::Settings, KeyError> {
        if self.places == Some(0) {
            return key_error(
                "tls.identities.places",
                "0 admits no connection; for no limit, remove it",
            );
        }
        let rate = match (self.per_second, self.burst) {
            (None, None) => None,
            (None, Some(_)) => {
                return key_error("tls.identities.per_second", "it is required with a burst")
            }
            (Some(per_second), burst) => {
                if !(per_second > 0.0 && per_second <= 1e6) {
                    return key_error(
                        "tls.identities.per_second",
                        format!("{per_second} is not above 0 and up to 1000000"),
                    );
                }
                let burst = burst.unwrap_or_else(|| per_second.max(1.0));
                if !(1.0..=1e6).contains(&burst) {
                    return key_error(
                        "tls.identities.burst",
                        format!("{burst} is not within 1 to 1000000"),
                    );
                }
                Some(cleatpulley_connection_admission::rate_sketch::RateLimit { per_second, burst })
            }
        };
        let allowlist = self
            .named
            .iter()
            .map(|name| name.to_ascii_lowercase())
            .collect();
        Ok(cleatpulley_connection_admission::identity::Settings {
            allowlist,
            slots: self.places,
            rate,
        })
    }
}

fn default_on() -> Vec<String> {
    vec!["frames".to_owned()]
}

fn default_versions() -> Vec<String> {
    vec!["1.3".to_owned(), "1.2".to_owned()]
}

fn default_warn_days() -> u64 {
    21
}

fn default_required() -> bool {
    true
}

/// Six hours. A ticket is valid in its own period and in the next one.
fn default_period_s() -> u64 {
    21_600
}

/// The files of a certificate, which are reloaded whenever they change.
struct CertificateFiles {
    certificate: PathBuf,
    key: PathBuf,
    /// The roots of client certificates, and whether a client certificate is required.
    roots: Option<(PathBuf, bool)>,
    /// The secret of session tickets, and their period in seconds.
    tickets: Option<(PathBuf, u64)>,
    versions: ProtocolVersions,
    clock: Clock,
}

impl CertificateFiles {
    fn paths(&self) -> impl Iterator<Item = &Path> {
        let roots = self.roots.as_ref().map(|(path, _)| path.as_path());
        let tickets = self.tickets.as_ref().map(|(path, _)| path.as_path());
        [
            Some(self.certificate.as_path()),
            Some(self.key.as_path()),
            roots,
            tickets,
        ]
        .into_iter()
        .flatten()
    }
}

impl CertificateFiles {
    /// Returns the key of the operator file that sets the path with which an error message begins.
    fn key_for_error(&self, message: &str) -> &'static str {
        let is_about = |path: &Path| message.starts_with(&path.display().to_string());
        if self.roots.as_ref().is_some_and(|(path, _)| is_about(path)) {
            "tls.clients.roots"
        } else if self
            .tickets
            .as_ref()
            .is_some_and(|(path, _)| is_about(path))
        {
            "tls.tickets.secret"
        } else if is_about(&self.key) {
            "tls.key"
        } else {
            "tls.certificate"
        }
    }
}

impl CertificateSource for CertificateFiles {
    fn stamp(&self) -> u64 {
        let mut hasher = std::collections::hash_map::DefaultHasher::new();
        for path in self.paths() {
            let metadata = std::fs::metadata(path).ok();
            (
                metadata
                    .as_ref()
                    .and_then(|metadata| metadata.modified().ok()),
                metadata.map(|metadata| metadata.len()),
            )
                .hash(&mut hasher);
        }
        hasher.finish()
    }

    fn load(&self) -> Result<LoadedCertificate, CertificateError> {
        let pair =
            CertificateWithKey::load(&self.certificate, &self.key).map_err(|e| e.to_string())?;
        let clients = match &self.roots {
            None => None,
            Some((file, required)) => {
                let bytes = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
                let roots =
                    certificate::parse_certificates(file, &bytes).map_err(|e| e.to_string())?;
                Some(ClientAuthentication {
                    roots,
                    required: *required,
                })
            }
        };
        let tickets = match &self.tickets {
            None => None,
            Some((file, period)) => {
                let tickets = TicketKeys::load(file, *period, self.clock.clone())
                    .map_err(|e| e.to_string())?;
                Some(Arc::new(tickets) as Arc<dyn cleatpulley_tls::rustls::server::ProducesTickets>)
            }
        };
        let config =
            config::server_config(&pair, clients.as_ref(), self.versions, tickets, &self.clock);
        let config = config.map_err(|e| format!("{}: {e}", self.certificate.display()))?;
        Ok(LoadedCertificate {
            config,
            facts: pair.info,
        })
    }

    fn client_config(&self) -> Result<Arc<ClientConfig>, CertificateError> {
        let pair =
            CertificateWithKey::load(&self.certificate, &self.key).map_err(|e| e.to_string())?;
        let config = config::same_certificate_client_config(&pair, self.versions, &self.clock);
        Ok(config.map_err(|e| format!("{}: {e}", self.certificate.display()))?)
    }
}

impl HandshakesSection {
    fn check(self) -> Result<HandshakeSettings, KeyError> {
        let defaults = HandshakeSettings::default();
        let check_range = |key: &str, value: f64, min: f64, max: f64| {
            if (min..=max).contains(&value) {
                Ok(value)
            } else {
                key_error(
                    format!("tls.handshakes.{key}"),
                    format!("{value} is not within {min} to {max}"),
                )
            }
        };
        let per_second = check_range(
            "per_second",
            self.per_second.unwrap_or(defaults.per_second),
            1.0,
            1e6,
        )?;
        let burst = check_range(
            "burst",
            self.burst.unwrap_or(defaults.burst.min(per_second)),
            1.0,
            1e6,
        )?;
        let max_running = check_range(
            "at_once",
            self.at_once.unwrap_or(defaults.max_running) as f64,
            1.0,
            65_536.0,
        )? as usize;
        let resumed_cost = check_range(
            "resumed_cost",
            self.resumed_cost.unwrap_or(defaults.resumed_cost),
            0.01,
            1.0,
        )?;
        let reserved_share = check_range(
            "reserve",
            self.reserve.unwrap_or(defaults.reserved_share),
            0.0,
            0.9,
        )?;
        let timeout_ms = self.deadline_ms.unwrap_or(defaults.timeout / 1_000);
        let timeout = check_range("deadline_ms", timeout_ms as f64, 50.0, 60_000.0)? as u64 * 1_000;
        let max_waiting = check_range(
            "waiting",
            self.waiting.unwrap_or(defaults.max_waiting) as f64,
            0.0,
            65_536.0,
        )? as usize;
        Ok(HandshakeSettings {
            per_second,
            burst,
            max_running,
            resumed_cost,
            reserved_share,
            timeout,
            max_waiting,
        })
    }
}

impl TlsSection {
    pub(super) fn check(self, config: &Config, base_folder: &Path) -> Result<TlsOptions, KeyError> {
        let path = |text: &str| base_folder.join(text);
        let versions = match self.versions.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["1.3", "1.2"] | ["1.2", "1.3"] => ProtocolVersions::Both,
            ["1.3"] => ProtocolVersions::Only13,
            ["1.2"] => ProtocolVersions::Only12,
            _ => {
                return key_error(
                    "tls.versions",
                    format!(
                        "{:?} is not [\"1.3\", \"1.2\"], [\"1.3\"] or [\"1.2\"]",
                        self.versions
                    ),
                )
            }
        };
        let (mut frames, mut ajp, mut mgmt) = (false, false, false);
        for (i, listener) in self.on.iter().enumerate() {
            match listener.as_str() {
                "frames" => frames = true,
                "ajp" => ajp = true,
                "mgmt" => mgmt = true,
                _ => {
                    return key_error(
                        format!("tls.on[{i}]"),
                        format!("{listener:?} is not frames, ajp or mgmt"),
                    )
                }
            }
        }
        let mut permits = vec![None; config.class_names.len()];
        for (class, names) in self.permits {
            let Some(i) = config.class_names.iter().position(|name| *name == class) else {
                return key_error(
                    format!("tls.permits.{class}"),
                    "the settings have no such class",
                );
            };
            if names.is_empty() {
                return key_error(
                    format!("tls.permits.{class}"),
                    "no name: no client could request the class",
                );
            }
            permits[i] = Some(names.iter().map(|name| name.to_ascii_lowercase()).collect());
        }
        if permits.iter().any(Option::is_some) && self.clients.is_none() {
            return key_error(
                "tls.permits",
                "client names require client certificates: set tls.clients",
            );
        }
        let clock = Clock::default();
        let files = CertificateFiles {
            certificate: path(&self.certificate),
            key: path(&self.key),
            roots: self
                .clients
                .map(|clients| (path(&clients.roots), clients.required)),
            tickets: self
                .tickets
                .map(|tickets| (path(&tickets.secret), tickets.period_s)),
            versions,
            clock: clock.clone(),
        };
        if let Some((_, period)) = files.tickets {
            if !(60..=7 * 86_400).contains(&period) {
                return key_error(
                    "tls.tickets.period_s",
                    format!("{period} is not within 60 to 604800"),
                );
            }
        }
        // Reports an invalid certificate or key at the start, with the key of the operator file.
        files
            .load()
            .map_err(|error| (files.key_for_error(&error.reason).to_owned(), error.reason))?;
        let handshakes = self.handshakes.map(HandshakesSection::check).transpose()?;
        if self.identities.is_some() && files.roots.is_none() {
            return key_error(
                "tls.identities",
                "client names require client certificates: set tls.clients",
            );
        }
        let identities = self.identities.map(IdentitiesSection::check).transpose()?;
        if !(1..=365).contains(&self.warn_days) {
            return key_error(
                "tls.warn_days",
                format!("{} is not within 1 to 365", self.warn_days),
            );
        }
        Ok(TlsOptions {
            certificates: Arc::new(files),
            frames,
            ajp,
            mgmt,
            permits,
            handshakes,
            identities,
            warn_before: self.warn_days * US_PER_DAY,
            clock,
        })
    }
}

/// Writes the options as one line.
pub(super) fn write_summary(
    tls: &TlsOptions,
    class_names: &[String],
    f: &mut fmt::Formatter<'_>,
) -> fmt::Result {
    let on: Vec<_> = [("frames", tls.frames), ("ajp", tls.ajp), ("mgmt", tls.mgmt)]
        .into_iter()
        .filter_map(|(name, on)| on.then_some(name))
        .collect();
    let facts = tls.certificates.load().map(|loaded| loaded.facts);
    write!(f, "tls: on {}", on.join(", "))?;
    match facts {
        Ok(facts) => write!(
            f,
            "; certificate {} for {}, valid until {} (Unix seconds)",
            facts.serial,
            facts.names.join(", "),
            facts.not_after
        )?,
        Err(error) => write!(f, "; the certificate can't be read: {error}")?,
    }
    for (class, names) in class_names.iter().zip(&tls.permits) {
        if let Some(names) = names {
            write!(f, "; {class} only for {}", names.join(", "))?;
        }
    }
    if let Some(identities) = &tls.identities {
        let slots = identities
            .slots
            .map_or("any number of places".to_owned(), |slots| {
                format!("{slots} places")
            });
        let rate = identities.rate.map_or("any rate".to_owned(), |rate| {
            format!("{} new a second", rate.per_second)
        });
        write!(
            f,
            "; a certificate's name: {slots}, {rate}, {} named",
            identities.allowlist.len()
        )?;
    }
    match &tls.handshakes {
        None => write!(f, "; each handshake begins at once"),
        Some(handshakes) => write!(
            f,
            "; handshakes: {} a second ({} at once), {} at a time, a resumption costs {}, {:.0}% kept for known callers and resumptions, {} ms to end, {} may wait",
            handshakes.per_second,
            handshakes.burst,
            handshakes.max_running,
            handshakes.resumed_cost,
            handshakes.reserved_share * 100.0,
            handshakes.timeout / 1_000,
            handshakes.max_waiting
        ),
    }
}
