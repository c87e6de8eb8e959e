//! The section on the other processes of the installation: who they are asked for, and by which keys they are believed.

use super::section::read_section;
use super::{wrong, Fault, Wrong};
use cleatpulley_membership::authentication::KeyRing;
use cleatpulley_membership::{Identity, Label, Role, Settings};
use cleatpulley_server::gossip::{Options, ReloadKeys};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const MS: u64 = 1_000;
/// Contacts that are asked for the others: a few know all.
const MOST_CONTACTS: usize = 16;

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

/// Reads the section, if there is one, for a process of this role; its name is this one unless the section has another.
///
/// # Errors
/// File, line where it is known, key, and what is wrong there.
pub fn load(file: &Path, role: Role, name: &str) -> Result<Option<Options>, Fault> {
    read_section(file, |file: File, folder| {
        let checked = file
            .cluster
            .map(|section| section.check(folder, role, name))
            .transpose();
        checked.map_err(|(key, what)| (format!("cluster.{key}"), what))
    })
}

/// What it comes to, in a line.
#[must_use]
pub fn show(options: Option<&Options>) -> String {
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
        settings.probe_interval / MS,
        settings.ack_timeout / MS,
        settings.suspicion_timeout / MS,
    )
}

impl Section {
    fn check(self, beside: &Path, role: Role, name: &str) -> Result<Options, Wrong> {
        let label = |key: &str, text: String| {
            Label::try_from(text.clone()).map_err(|why| (key.to_owned(), format!("{text:?} {why}")))
        };
        let listen = address("listen", &self.listen)?;
        let reached = match &self.advertise {
            Some(text) => address("advertise", text)?,
            None if listen.ip().is_unspecified() => {
                return wrong(
                    "advertise",
                    format!("{listen} is no address that others reach; say which one does"),
                );
            }
            None => listen,
        };
        if self.contacts.len() > MOST_CONTACTS {
            return wrong(
                "contacts",
                format!("there are {}, {MOST_CONTACTS} at most", self.contacts.len()),
            );
        }
        let contacts = self.contacts.iter().enumerate();
        let contacts = contacts.map(|(i, text)| address(&format!("contacts[{i}]"), text));
        let contacts = contacts.collect::<Result<Vec<_>, Wrong>>()?;
        let usual = Settings::default();
        let time = |set: Option<u64>, usual| set.map_or(usual, |ms| ms.saturating_mul(MS));
        let settings = Settings {
            probe_interval: time(self.probe_ms, usual.probe_interval),
            ack_timeout: time(self.answer_ms, usual.ack_timeout),
            suspicion_timeout: time(self.suspicion_ms, usual.suspicion_timeout),
            down_retention: time(self.remembered_ms, usual.down_retention),
            metric_lifetime: time(self.figures_ms, usual.metric_lifetime),
            max_members: self.most.unwrap_or(usual.max_members),
        };
        settings.check().map_err(|fault| {
            let unit = if fault.key == "most" { "" } else { "_ms" };
            (format!("{}{unit}", fault.key), fault.reason)
        })?;
        let identity = Identity {
            name: label("name", self.name.unwrap_or_else(|| name.to_owned()))?,
            incarnation: 0,
            boot_id: 0,
            address: reached,
            role,
            zone: label("zone", self.zone)?,
            host: label("host", self.host)?,
        };
        let file = beside.join(&self.keys);
        let mut keys: ReloadKeys = Box::new(move || {
            let text =
                std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let keys = KeyRing::parse(&text).map_err(|e| format!("{}: {e}", file.display()))?;
            Ok(keys)
        });
        keys().map_err(|error| ("keys".to_owned(), error.to_string()))?;
        if self.folder.as_os_str().is_empty() {
            return wrong("folder", "it names no folder");
        }
        Ok(Options {
            identity,
            listen,
            contacts,
            settings,
            keys,
            folder: beside.join(self.folder),
        })
    }
}

fn address(key: &str, text: &str) -> Result<SocketAddr, Wrong> {
    let what = || format!("{text:?} is not an address and port, such as 127.0.0.1:7946");
    text.parse().map_err(|_| (key.to_owned(), what()))
}
