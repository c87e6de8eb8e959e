//! The one place where the configuration is read, checked and given its defaults: flags come before the
//! environment, and that before the file.

use crate::operator::Operator;
use cleatpulley_dispatcher::key_table::KeyTableOptions;
use cleatpulley_dispatcher::KeyScope;
use cleatpulley_policy::interface::{Class, Effect, Micros, Settings};
use cleatpulley_policy::settings::SettingsDocument;
use cleatpulley_server::{IdempotencyOptions, Options, ServiceAddresses};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const STOP_MS: u64 = 3_200;
const SOCKETS: usize = 1_024;
const MEMORY_MB: usize = 192;
/// The platform's field that all tries of a keyed request share.
const KEY_FIELD: &str = "unique";
/// The protocol's largest result.
const LARGEST_RESULT: usize = 4_096;
/// Results of keyed requests take this part of the process's memory at most: as much again lies dead in files, which count
/// as memory, before it is compacted away.
const RESULTS_SHARE: usize = 4;
/// Where nothing waits for a disk, a file that takes so long has failed.
const STALL: Micros = 1_000_000;
/// With fewer there is no room for front ends beside the matcher's own connections.
const FEWEST_SOCKETS: usize = 128;

/// What flags and environment say; the file says the rest.
#[derive(Debug, Clone, Default)]
pub struct Sources {
    /// `--config` or `GW_CONFIG`.
    pub file: Option<PathBuf>,
    /// `--name` or `GW_NAME`.
    pub name: Option<String>,
    /// `--listen` or `GW_LISTEN`.
    pub listen: Option<String>,
    /// `--mgmt` or `GW_MGMT`.
    pub mgmt: Option<String>,
}

impl Sources {
    /// Fills what no flag said from the environment.
    #[must_use]
    pub fn or_environment(self, get: impl Fn(&str) -> Option<String>) -> Self {
        Self {
            file: self.file.or_else(|| get("GW_CONFIG").map(PathBuf::from)),
            name: self.name.or_else(|| get("GW_NAME")),
            listen: self.listen.or_else(|| get("GW_LISTEN")),
            mgmt: self.mgmt.or_else(|| get("GW_MGMT")),
        }
    }
}

/// A checked configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The matcher's name.
    pub name: String,
    /// Where front ends connect.
    pub listen: SocketAddr,
    /// Where operators ask how it is, if anywhere.
    pub mgmt: Option<SocketAddr>,
    /// Where the runtime is.
    pub runtime: SocketAddr,
    /// Where the directory is.
    pub lookup: SocketAddr,
    /// Where the store is.
    pub store: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Time between the notice to leave and the stop.
    pub stop: Micros,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may take.
    pub memory_mb: usize,
    /// Names of the classes, by index.
    pub class_names: Vec<String>,
    /// Names of the gauges, in the order that the runtime tells them in.
    pub gauge_names: Vec<String>,
    /// What the controller is told.
    pub settings: Settings,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    mgmt: Option<String>,
    runtime: String,
    lookup: String,
    store: String,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    stop_ms: Option<u64>,
    #[serde(default)]
    limits: Limits,
    settings: SettingsDocument,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

impl Config {
    /// Where the other parties are.
    #[must_use]
    pub fn parties(&self) -> ServiceAddresses {
        ServiceAddresses {
            runtime: self.runtime,
            dependency: self.store,
            registry: self.lookup,
        }
    }

    /// What is kept of keyed requests where no operator file says more: enough to tell their repeats within the window, for
    /// as long as this matcher lives, whichever process it is. The folder is the process's own for its files.
    fn results(&self, scratch: &Path) -> Option<IdempotencyOptions> {
        let classes = &self.settings.classes;
        let keyed: Vec<_> = classes
            .iter()
            .map(|class| class.effect == Effect::Deduplicated)
            .collect();
        let longest = |time: fn(&Class) -> Micros| classes.iter().map(time).max().unwrap_or(0);
        let address = self.listen.to_string().replace([':', '[', ']'], "-");
        let process = if self.listen.port() == 0 {
            std::process::id()
        } else {
            0
        };
        let entries = (self.memory_mb * 1_000_000 / RESULTS_SHARE / LARGEST_RESULT).max(1);
        keyed.contains(&true).then(|| IdempotencyOptions {
            folder: scratch.join(format!("results-{}-{address}-{process}", self.name)),
            is_durable: false,
            classes: keyed,
            required: true,
            scope: KeyScope::Global,
            capacity: KeyTableOptions {
                max_entries: entries,
                max_result_bytes: entries * LARGEST_RESULT,
                // From the run on, and as long again as a try may be on its way: one that was written within the window is
                // told by it, however late it is read.
                deduplication_window: longest(|class| class.deduplication_window)
                    + longest(|class| class.client_timeout),
                stall_timeout: STALL,
                hash_seed: self.seed,
            },
            // They are the process's own memory, and not of what requests are booked with.
            key_entry_kb: 0.0,
            key_frame_field: Some(KEY_FIELD.to_owned()),
        })
    }

    /// What is kept of keyed requests where no operator file says more, in one line; none where no class is keyed.
    #[must_use]
    pub fn shows_results(&self, scratch: &Path) -> Option<String> {
        let results = self.results(scratch)?;
        let mut line = String::new();
        // Writing to a string can't fail.
        let _ = crate::operator::results::show(&results, &mut line);
        Some(line)
    }

    /// All that a matcher is told, with what the operator file switches on; `scratch` is where its own files go.
    #[must_use]
    pub fn options(self, operator: Operator, scratch: &Path) -> Options {
        let results = operator.results.or_else(|| self.results(scratch));
        Options {
            services: self.parties(),
            name: self.name,
            listen: self.listen,
            management: self.mgmt,
            shares_listener: false,
            handover_folder: None,
            seed: self.seed,
            shutdown_time: self.stop,
            max_descriptors: self.sockets,
            class_names: self.class_names,
            gauge_names: self.gauge_names,
            settings: self.settings,
            ajp: operator.ajp,
            dependency_protocol: operator.store,
            idempotency: results,
            connection_admission: operator.admission.map(|settings| {
                cleatpulley_connection_admission::Settings {
                    seed: self.seed,
                    ..settings
                }
            }),
            reputation_folder: operator.standings,
            tls: operator.tls,
        }
    }

    /// Reads the file that the sources name.
    ///
    /// # Errors
    /// One line that names the faulty key.
    pub fn load(sources: &Sources) -> Result<Self, String> {
        let file = sources
            .file
            .as_deref()
            .ok_or("GW_CONFIG (or --config): no configuration file is named")?;
        let text = std::fs::read_to_string(file)
            .map_err(|e| format!("GW_CONFIG (or --config): {}: {e}", Path::display(file)))?;
        Self::parse(&text, sources)
    }

    /// Checks the text of a configuration file.
    ///
    /// # Errors
    /// One line that names the faulty key.
    pub fn parse(text: &str, sources: &Sources) -> Result<Self, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            let path = e.path().to_string();
            // No key where the text ends early.
            if path == "." || path == "?" {
                e.into_inner().to_string()
            } else {
                format!("{path}: {}", e.inner())
            }
        })?;
        json.end().map_err(|e| e.to_string())?;
        file.settings
            .validate()
            .map_err(|fault| format!("settings.{fault}"))?;

        let name = sources.name.clone().or(file.name).ok_or("name: missing")?;
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || !name.chars().all(plain) {
            return Err(format!(
                "name: {name:?} is not letters, digits, '-', '_' and '.'"
            ));
        }
        let seed = match &file.seed {
            None => 0,
            Some(text) => u64::from_str_radix(text, 16)
                .map_err(|_| format!("seed: {text:?} is not up to 16 hex digits"))?,
        };
        let stop_ms = file.stop_ms.unwrap_or(STOP_MS);
        if stop_ms == 0 || stop_ms > 3_600_000 {
            return Err(format!("stop_ms: {stop_ms} is not within 1 to 3600000"));
        }
        let sockets = file.limits.sockets.unwrap_or(SOCKETS);
        if sockets < FEWEST_SOCKETS {
            return Err(format!(
                "limits.sockets: {sockets} is less than {FEWEST_SOCKETS}"
            ));
        }
        let memory_mb = file.limits.memory_mb.unwrap_or(MEMORY_MB);
        if memory_mb == 0 {
            return Err("limits.memory_mb: 0 is no memory".to_owned());
        }
        Ok(Self {
            listen: address("listen", sources.listen.as_ref().or(file.listen.as_ref()))?,
            mgmt: sources
                .mgmt
                .as_ref()
                .or(file.mgmt.as_ref())
                .map(|text| address("mgmt", Some(text)))
                .transpose()?,
            runtime: address("runtime", Some(&file.runtime))?,
            lookup: address("lookup", Some(&file.lookup))?,
            store: address("store", Some(&file.store))?,
            name,
            seed,
            stop: stop_ms * 1_000,
            sockets,
            memory_mb,
            class_names: file.settings.class_names(),
            gauge_names: file.settings.gauge_names(),
            settings: file.settings.into_settings(),
        })
    }
}

fn address(key: &str, text: Option<&String>) -> Result<SocketAddr, String> {
    let text = text.ok_or_else(|| format!("{key}: missing"))?;
    text.parse()
        .map_err(|_| format!("{key}: {text:?} is not an address and port, such as 127.0.0.1:5050"))
}
