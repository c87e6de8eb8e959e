//! The section on TLS: the certificate and key, the clients' roots, where it is spoken, tickets shared by the instances of a
//! host, the names that may ask for each class, and which handshakes run. Files are named relative to the operator file.

use super::{wrong, Wrong};
use crate::config::Config;
use cleatpulley_connection_admission::handshake::Settings as Handshaking;
use cleatpulley_server::error::CertificateError;
use cleatpulley_server::tls_layer::{CertificateSource, LoadedCertificate, TlsOptions};
use cleatpulley_tls::certificate::{self, CertificateWithKey};
use cleatpulley_tls::config::{self, ClientAuthentication, ProtocolVersions};
use cleatpulley_tls::ticket_keys::TicketKeys;
use cleatpulley_tls::Clock;
use serde::Deserialize;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const DAY_US: u64 = 86_400_000_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TlsSection {
    certificate: String,
    key: String,
    #[serde(default)]
    clients: Option<ClientsSection>,
    #[serde(default = "on")]
    on: Vec<String>,
    #[serde(default = "versions")]
    versions: Vec<String>,
    #[serde(default)]
    tickets: Option<TicketsSection>,
    #[serde(default)]
    permits: std::collections::BTreeMap<String, Vec<String>>,
    #[serde(default)]
    handshakes: Option<HandshakesSection>,
    #[serde(default)]
    identities: Option<IdentitiesSection>,
    #[serde(default = "warn_days")]
    warn_days: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClientsSection {
    roots: String,
    #[serde(default = "yes")]
    required: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketsSection {
    secret: String,
    #[serde(default = "period")]
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
    fn check(self) -> Result<cleatpulley_connection_admission::identity::Settings, Wrong> {
        if self.places == Some(0) {
            return wrong(
                "tls.identities.places",
                "0 lets nobody in; leave it out for no cap",
            );
        }
        let rate = match (self.per_second, self.burst) {
            (None, None) => None,
            (None, Some(_)) => return wrong("tls.identities.per_second", "a burst needs it"),
            (Some(per_second), burst) => {
                if !(per_second > 0.0 && per_second <= 1e6) {
                    return wrong(
                        "tls.identities.per_second",
                        format!("{per_second} is not above 0 and up to 1000000"),
                    );
                }
                let burst = burst.unwrap_or_else(|| per_second.max(1.0));
                if !(1.0..=1e6).contains(&burst) {
                    return wrong(
                        "tls.identities.burst",
                        format!("{burst} is not within 1 to 1000000"),
                    );
                }
                Some(cleatpulley_connection_admission::rate_sketch::RateLimit { per_second, burst })
            }
        };
        let named = self
            .named
            .iter()
            .map(|name| name.to_ascii_lowercase())
            .collect();
        Ok(cleatpulley_connection_admission::identity::Settings {
            allowlist: named,
            slots: self.places,
            rate,
        })
    }
}

fn on() -> Vec<String> {
    vec!["frames".to_owned()]
}

fn versions() -> Vec<String> {
    vec!["1.3".to_owned(), "1.2".to_owned()]
}

fn warn_days() -> u64 {
    21
}

fn yes() -> bool {
    true
}

/// Six hours: a ticket holds for its period and the next.
fn period() -> u64 {
    21_600
}

/// The files, read anew whenever they change.
struct Files {
    certificate: PathBuf,
    key: PathBuf,
    roots: Option<(PathBuf, bool)>,
    tickets: Option<(PathBuf, u64)>,
    versions: ProtocolVersions,
    clock: Clock,
}

impl Files {
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

impl Files {
    /// The key of the section whose file a fault begins with.
    fn key_of(&self, what: &str) -> &'static str {
        let names = |path: &Path| what.starts_with(&path.display().to_string());
        if self.roots.as_ref().is_some_and(|(path, _)| names(path)) {
            "tls.clients.roots"
        } else if self.tickets.as_ref().is_some_and(|(path, _)| names(path)) {
            "tls.tickets.secret"
        } else if names(&self.key) {
            "tls.key"
        } else {
            "tls.certificate"
        }
    }
}

impl CertificateSource for Files {
    fn stamp(&self) -> u64 {
        let mut hasher = std::collections::hash_map::DefaultHasher::new();
        for path in self.paths() {
            let meta = std::fs::metadata(path).ok();
            (
                meta.as_ref().and_then(|m| m.modified().ok()),
                meta.map(|m| m.len()),
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
}

impl HandshakesSection {
    fn check(self) -> Result<Handshaking, Wrong> {
        let plain = Handshaking::default();
        let within = |key: &str, value: f64, low: f64, high: f64| {
            if (low..=high).contains(&value) {
                Ok(value)
            } else {
                wrong(
                    format!("tls.handshakes.{key}"),
                    format!("{value} is not within {low} to {high}"),
                )
            }
        };
        let per_second = within(
            "per_second",
            self.per_second.unwrap_or(plain.per_second),
            1.0,
            1e6,
        )?;
        let burst = within(
            "burst",
            self.burst.unwrap_or(plain.burst.min(per_second)),
            1.0,
            1e6,
        )?;
        let at_once = within(
            "at_once",
            self.at_once.unwrap_or(plain.max_running) as f64,
            1.0,
            65_536.0,
        )? as usize;
        let resumed_cost = within(
            "resumed_cost",
            self.resumed_cost.unwrap_or(plain.resumed_cost),
            0.01,
            1.0,
        )?;
        let reserve = within(
            "reserve",
            self.reserve.unwrap_or(plain.reserved_share),
            0.0,
            0.9,
        )?;
        let deadline_ms = self.deadline_ms.unwrap_or(plain.timeout / 1_000);
        let deadline = within("deadline_ms", deadline_ms as f64, 50.0, 60_000.0)? as u64 * 1_000;
        let waiting = within(
            "waiting",
            self.waiting.unwrap_or(plain.max_waiting) as f64,
            0.0,
            65_536.0,
        )? as usize;
        Ok(Handshaking {
            per_second,
            burst,
            max_running: at_once,
            resumed_cost,
            reserved_share: reserve,
            timeout: deadline,
            max_waiting: waiting,
        })
    }
}

impl TlsSection {
    pub(super) fn check(self, config: &Config, folder: &Path) -> Result<TlsOptions, Wrong> {
        let path = |text: &str| folder.join(text);
        let versions = match self.versions.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["1.3", "1.2"] | ["1.2", "1.3"] => ProtocolVersions::Both,
            ["1.3"] => ProtocolVersions::Only13,
            ["1.2"] => ProtocolVersions::Only12,
            _ => {
                return wrong(
                    "tls.versions",
                    format!(
                        "{:?} is not [\"1.3\", \"1.2\"], [\"1.3\"] or [\"1.2\"]",
                        self.versions
                    ),
                )
            }
        };
        let (mut frames, mut ajp, mut mgmt) = (false, false, false);
        for (i, front) in self.on.iter().enumerate() {
            match front.as_str() {
                "frames" => frames = true,
                "ajp" => ajp = true,
                "mgmt" => mgmt = true,
                _ => {
                    return wrong(
                        format!("tls.on[{i}]"),
                        format!("{front:?} is not frames, ajp or mgmt"),
                    )
                }
            }
        }
        let mut permits = vec![None; config.class_names.len()];
        for (class, names) in self.permits {
            let Some(i) = config.class_names.iter().position(|name| *name == class) else {
                return wrong(
                    format!("tls.permits.{class}"),
                    "no such class in the settings",
                );
            };
            if names.is_empty() {
                return wrong(
                    format!("tls.permits.{class}"),
                    "no name: nobody could ask for it",
                );
            }
            permits[i] = Some(names.iter().map(|name| name.to_ascii_lowercase()).collect());
        }
        if permits.iter().any(Option::is_some) && self.clients.is_none() {
            return wrong(
                "tls.permits",
                "names of clients need tls.clients: nobody would show one",
            );
        }
        let clock = Clock::default();
        let files = Files {
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
                return wrong(
                    "tls.tickets.period_s",
                    format!("{period} is not within 60 to 604800"),
                );
            }
        }
        // A pair that is faulty at the start is told at once, with its key and file.
        files
            .load()
            .map_err(|error| (files.key_of(&error.reason).to_owned(), error.reason))?;
        let handshakes = self.handshakes.map(HandshakesSection::check).transpose()?;
        if self.identities.is_some() && files.roots.is_none() {
            return wrong(
                "tls.identities",
                "names of clients need tls.clients: nobody would show one",
            );
        }
        let identities = self.identities.map(IdentitiesSection::check).transpose()?;
        if !(1..=365).contains(&self.warn_days) {
            return wrong(
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
            warn_before: self.warn_days * DAY_US,
            clock,
        })
    }
}

pub(super) fn show(tls: &TlsOptions, names: &[String], f: &mut fmt::Formatter<'_>) -> fmt::Result {
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
        Err(what) => write!(f, "; the certificate can't be read: {what}")?,
    }
    for (class, permit) in names.iter().zip(&tls.permits) {
        if let Some(permit) = permit {
            write!(f, "; {class} only for {}", permit.join(", "))?;
        }
    }
    if let Some(identities) = &tls.identities {
        let places = identities
            .slots
            .map_or("any number of places".to_owned(), |most| {
                format!("{most} places")
            });
        let rate = identities.rate.map_or("any rate".to_owned(), |rate| {
            format!("{} new a second", rate.per_second)
        });
        write!(
            f,
            "; a certificate's name: {places}, {rate}, {} named",
            identities.allowlist.len()
        )?;
    }
    match &tls.handshakes {
        None => write!(f, "; each handshake begins at once"),
        Some(h) => write!(
            f,
            "; handshakes: {} a second ({} at once), {} at a time, a resumption costs {}, {:.0}% kept for known callers and resumptions, {} ms to end, {} may wait",
            h.per_second, h.burst, h.max_running, h.resumed_cost, h.reserved_share * 100.0, h.timeout / 1_000, h.max_waiting
        ),
    }
}
