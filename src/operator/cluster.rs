//! The `cluster` section: the contacts through which a process finds the other processes of the
//! installation, and the keys that authenticate them.

use super::section::read_section;
use super::{key_error, KeyError, OperatorFileError};
use cleatpulley_membership::authentication::KeyRing;
use cleatpulley_membership::{Identity, Label, Role, Settings};
use cleatpulley_server::gossip::{Options, ReloadKeys};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const US_PER_MS: u64 = 1_000;
/// Maximum number of contacts that are queried for the other members. A few are enough, since each
/// knows all members.
const MAX_CONTACTS: usize = 16;

#[derive(Deserialize)]
struct File {
    cluster: Option<Section>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Section {
    name: Option<String>,
    listen: String,
    #[serde(default)]
    advertise: Option<String>,
    contacts: Vec<String>,
    zone: String,
    host: String,
    keys: PathBuf,
    folder: PathBuf,
    #[serde(default)]
    probe_ms: Option<u64>,
    #[serde(default)]
    answer_ms: Option<u64>,
    #[serde(default)]
    suspicion_ms: Option<u64>,
    #[serde(default)]
    remembered_ms: Option<u64>,
    #[serde(default)]
    figures_ms: Option<u64>,
    #[serde(default)]
    most: Option<usize>,
}

/// Reads the `cluster` section of an operator file, if there is one, for a process of this role.
/// `name` is the name of the process unless the section sets another.
///
/// # Errors
/// The file is invalid; the error has the file, the line if known, the key, and what is wrong.
pub fn load(file: &Path, role: Role, name: &str) -> Result<Option<Options>, OperatorFileError> {
    read_section(file, |file: File, folder| {
        let checked = file
            .cluster
            .map(|section| section.check(folder, role, name))
            .transpose();
        checked.map_err(|(key, message)| (format!("cluster.{key}"), message))
    })
}

/// Returns the options as one line.
#[must_use]
pub fn summary(options: Option<&Options>) -> String {
    let Some(options) = options else {
        return "cluster: off".to_owned();
    };
    let (identity, settings) = (&options.identity, &options.settings);
    format!(
        "cluster: {} {} of host {} in zone {}, hears on {}; {} contacts; asks every {} ms, waits {} ms, gives up after {} ms",
        identity.role,
        identity.name,
        identity.host,
        identity.zone,
        options.listen,
        options.contacts.len(),
        settings.probe_interval / US_PER_MS,
        settings.ack_timeout / US_PER_MS,
        settings.suspicion_timeout / US_PER_MS,
    )
}

impl Section {
    fn check(self, base_folder: &Path, role: Role, name: &str) -> Result<Options, KeyError> {
        let parse_label = |key: &str, text: String| {
            Label::try_from(text.clone())
                .map_err(|error| (key.to_owned(), format!("{text:?} {error}")))
        };
        let listen = parse_address("listen", &self.listen)?;
        let advertised = match &self.advertise {
            Some(text) => parse_address("advertise", text)?,
            None if listen.ip().is_unspecified() => {
                return key_error(
                    "advertise",
                    format!("missing: other processes can't reach the listen address {listen}"),
                );
            }
            None => listen,
        };
        if self.contacts.len() > MAX_CONTACTS {
            return key_error(
                "contacts",
                format!(
                    "there are {}, which is more than {MAX_CONTACTS}",
                    self.contacts.len()
                ),
            );
        }
        let contacts = self.contacts.iter().enumerate();
        let contacts = contacts.map(|(i, text)| parse_address(&format!("contacts[{i}]"), text));
        let contacts = contacts.collect::<Result<Vec<_>, KeyError>>()?;
        let defaults = Settings::default();
        let time_us = |setting_ms: Option<u64>, default_us| {
            setting_ms.map_or(default_us, |ms| ms.saturating_mul(US_PER_MS))
        };
        let settings = Settings {
            probe_interval: time_us(self.probe_ms, defaults.probe_interval),
            ack_timeout: time_us(self.answer_ms, defaults.ack_timeout),
            suspicion_timeout: time_us(self.suspicion_ms, defaults.suspicion_timeout),
            down_retention: time_us(self.remembered_ms, defaults.down_retention),
            metric_lifetime: time_us(self.figures_ms, defaults.metric_lifetime),
            max_members: self.most.unwrap_or(defaults.max_members),
        };
        settings.check().map_err(|error| {
            let unit_suffix = if error.key == "most" { "" } else { "_ms" };
            (format!("{}{unit_suffix}", error.key), error.reason)
        })?;
        let identity = Identity {
            name: parse_label("name", self.name.unwrap_or_else(|| name.to_owned()))?,
            incarnation: 0,
            boot_id: 0,
            address: advertised,
            role,
            zone: parse_label("zone", self.zone)?,
            host: parse_label("host", self.host)?,
        };
        let file = base_folder.join(&self.keys);
        let mut reload_keys: ReloadKeys = Box::new(move || {
            let text =
                std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let keys = KeyRing::parse(&text).map_err(|e| format!("{}: {e}", file.display()))?;
            Ok(keys)
        });
        reload_keys().map_err(|error| ("keys".to_owned(), error.to_string()))?;
        if self.folder.as_os_str().is_empty() {
            return key_error("folder", "it is empty");
        }
        Ok(Options {
            identity,
            listen,
            contacts,
            settings,
            keys: reload_keys,
            folder: base_folder.join(self.folder),
        })
    }
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, KeyError> {
    let message = || format!("{text:?} is not an address and port, such as 127.0.0.1:7946");
    text.parse().map_err(|_| (key.to_owned(), message()))
}
