//! Reads and checks the configuration and sets its defaults. Flags take precedence over the
//! environment, and the environment takes precedence over the file.

use crate::operator::OperatorSettings;
use cleatpulley_dispatcher::key_table::KeyTableOptions;
use cleatpulley_dispatcher::KeyScope;
use cleatpulley_policy::interface::{Class, Effect, Micros, Settings};
use cleatpulley_policy::settings::SettingsDocument;
use cleatpulley_server::{IdempotencyOptions, Options, ServiceAddresses};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const DEFAULT_STOP_MS: u64 = 3_200;
const DEFAULT_MAX_SOCKETS: usize = 1_024;
const DEFAULT_MEMORY_MB: usize = 192;
/// The platform's frame field whose value is the same in all attempts of a keyed request.
const DEFAULT_KEY_FRAME_FIELD: &str = "unique";
/// Size of the largest result that the protocol allows.
const MAX_RESULT_BYTES: usize = 4_096;
/// Incomplete requests of clients may occupy at most one part in this many of the process's memory.
const BUFFER_MEMORY_DIVISOR: usize = 4;
/// Minimum memory for incomplete requests, in bytes: enough for two AJP packets of the maximum size.
const MIN_BUFFER_BYTES: usize = 262_144;
/// Results of keyed requests take at most one part in this many of the process's memory. Up to the
/// same amount again is dead data in files, which count as memory, until it is compacted.
const RESULT_MEMORY_DIVISOR: usize = 4;
/// These writes never wait for a disk, so one that takes this long has failed.
const STALL_TIMEOUT_US: Micros = 1_000_000;
/// With fewer sockets, the matcher's own connections leave no room for front ends.
const MIN_SOCKETS: usize = 128;

/// Settings from flags and the environment, and the path of the configuration file, which has the
/// rest.
#[derive(Debug, Clone, Default)]
pub struct ConfigSources {
    /// `--config` or `GW_CONFIG`.
    pub file: Option<PathBuf>,
    /// `--name` or `GW_NAME`.
    pub name: Option<String>,
    /// `--listen` or `GW_LISTEN`.
    pub listen: Option<String>,
    /// `--mgmt` or `GW_MGMT`.
    pub management: Option<String>,
}

impl ConfigSources {
    /// Sets what no flag has set from the environment; `variable` returns a variable's value.
    #[must_use]
    pub fn or_environment(self, variable: impl Fn(&str) -> Option<String>) -> Self {
        Self {
            file: self
                .file
                .or_else(|| variable("GW_CONFIG").map(PathBuf::from)),
            name: self.name.or_else(|| variable("GW_NAME")),
            listen: self.listen.or_else(|| variable("GW_LISTEN")),
            management: self.management.or_else(|| variable("GW_MGMT")),
        }
    }
}

/// A checked configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The matcher's name.
    pub name: String,
    /// The address that front ends connect to.
    pub listen: SocketAddr,
    /// The address of the management endpoint, if there is one.
    pub management: Option<SocketAddr>,
    /// The address of the runtime.
    pub runtime: SocketAddr,
    /// The address of the service registry.
    pub registry: SocketAddr,
    /// The address of the store.
    pub store: SocketAddr,
    /// The seed of random numbers.
    pub seed: u64,
    /// Time between the request to shut down and the stop, in microseconds.
    pub shutdown_time: Micros,
    /// Limit of descriptors of the process.
    pub max_descriptors: usize,
    /// Limit of memory of the process, in megabytes.
    pub max_memory_mb: usize,
    /// Names of the classes, by index.
    pub class_names: Vec<String>,
    /// Names of the gauges, in the order in which the runtime sends them.
    pub gauge_names: Vec<String>,
    /// Settings of the overload controller.
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
    /// The addresses of the services that the matcher connects to.
    #[must_use]
    pub fn service_addresses(&self) -> ServiceAddresses {
        ServiceAddresses {
            runtime: self.runtime,
            dependency: self.store,
            registry: self.registry,
        }
    }

    /// The idempotency options without a `results` section in the operator file: enough to recognize
    /// repeats of keyed requests within their window, for the lifetime of this matcher, across its
    /// processes. `scratch_folder` is the process's folder for its own files.
    fn default_idempotency_options(&self, scratch_folder: &Path) -> Option<IdempotencyOptions> {
        let classes = &self.settings.classes;
        let is_keyed: Vec<_> = classes
            .iter()
            .map(|class| class.effect == Effect::Deduplicated)
            .collect();
        let longest = |time: fn(&Class) -> Micros| classes.iter().map(time).max().unwrap_or(0);
        let address = self.listen.to_string().replace([':', '[', ']'], "-");
        let process_id = if self.listen.port() == 0 {
            std::process::id()
        } else {
            0
        };
        let max_entries =
            (self.max_memory_mb * 1_000_000 / RESULT_MEMORY_DIVISOR / MAX_RESULT_BYTES).max(1);
        is_keyed.contains(&true).then(|| IdempotencyOptions {
            folder: scratch_folder.join(format!("results-{}-{address}-{process_id}", self.name)),
            is_durable: false,
            classes: is_keyed,
            required: true,
            scope: KeyScope::Global,
            capacity: KeyTableOptions {
                max_entries,
                max_result_bytes: max_entries * MAX_RESULT_BYTES,
                // The window starts with the run. The client timeout is added so that an attempt that was
                // sent within the window is recognized, however late it is read.
                deduplication_window: longest(|class| class.deduplication_window)
                    + longest(|class| class.client_timeout),
                stall_timeout: STALL_TIMEOUT_US,
                hash_seed: self.seed,
            },
            // Keys take memory of the process itself, not of the memory that requests are accounted in.
            key_entry_kb: 0.0,
            key_frame_field: Some(DEFAULT_KEY_FRAME_FIELD.to_owned()),
        })
    }

    /// The idempotency options without a `results` section in the operator file, as one line; `None`
    /// if no class is keyed.
    #[must_use]
    pub fn default_idempotency_summary(&self, scratch_folder: &Path) -> Option<String> {
        let options = self.default_idempotency_options(scratch_folder)?;
        let mut line = String::new();
        // Writing to a string can't fail.
        let _ = crate::operator::results::write_summary(&options, &mut line);
        Some(line)
    }

    /// The options of a server, with the settings of the operator file. `scratch_folder` is the
    /// process's folder for its own files.
    #[must_use]
    pub fn into_server_options(self, operator: OperatorSettings, scratch_folder: &Path) -> Options {
        let idempotency = operator
            .idempotency
            .or_else(|| self.default_idempotency_options(scratch_folder));
        Options {
            services: self.service_addresses(),
            name: self.name,
            listen: self.listen,
            management: self.management,
            shares_listener: false,
            handover_folder: None,
            seed: self.seed,
            shutdown_time: self.shutdown_time,
            max_descriptors: self.max_descriptors,
            max_buffered_bytes: (self.max_memory_mb * 1_000_000 / BUFFER_MEMORY_DIVISOR)
                .max(MIN_BUFFER_BYTES),
            class_names: self.class_names,
            gauge_names: self.gauge_names,
            settings: self.settings,
            ajp: operator.ajp,
            dependency_protocol: operator.dependency_protocol,
            idempotency,
            connection_admission: operator.connection_admission.map(|settings| {
                cleatpulley_connection_admission::Settings {
                    seed: self.seed,
                    ..settings
                }
            }),
            reputation_folder: operator.reputation_folder,
            tls: operator.tls,
        }
    }

    /// Reads the configuration file that `sources` names.
    ///
    /// # Errors
    /// The file can't be read or is invalid; the error is one line that names the invalid key.
    pub fn load(sources: &ConfigSources) -> Result<Self, String> {
        let file = sources
            .file
            .as_deref()
            .ok_or("GW_CONFIG (or --config): no configuration file given")?;
        let text = std::fs::read_to_string(file)
            .map_err(|e| format!("GW_CONFIG (or --config): {}: {e}", Path::display(file)))?;
        Self::parse(&text, sources)
    }

    /// Parses and checks the text of a configuration file.
    ///
    /// # Errors
    /// The text is invalid; the error is one line that names the invalid key.
    pub fn parse(text: &str, sources: &ConfigSources) -> Result<Self, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            let path = e.path().to_string();
            // There is no key if the text ends early.
            if path == "." || path == "?" {
                e.into_inner().to_string()
            } else {
                format!("{path}: {}", e.inner())
            }
        })?;
        json.end().map_err(|e| e.to_string())?;
        file.settings
            .validate()
            .map_err(|error| format!("settings.{error}"))?;

        let name = sources.name.clone().or(file.name).ok_or("name: missing")?;
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || !name.chars().all(is_allowed) {
            return Err(format!(
                "name: {name:?} must consist of letters, digits, '-', '_' and '.'"
            ));
        }
        let seed = match &file.seed {
            None => 0,
            Some(text) => u64::from_str_radix(text, 16)
                .map_err(|_| format!("seed: {text:?} is not a number of up to 16 hex digits"))?,
        };
        let stop_ms = file.stop_ms.unwrap_or(DEFAULT_STOP_MS);
        if stop_ms == 0 || stop_ms > 3_600_000 {
            return Err(format!("stop_ms: {stop_ms} is not within 1 to 3600000"));
        }
        let max_descriptors = file.limits.sockets.unwrap_or(DEFAULT_MAX_SOCKETS);
        if max_descriptors < MIN_SOCKETS {
            return Err(format!(
                "limits.sockets: {max_descriptors} is less than {MIN_SOCKETS}"
            ));
        }
        let max_memory_mb = file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        if max_memory_mb == 0 {
            return Err("limits.memory_mb: 0 is less than 1".to_owned());
        }
        Ok(Self {
            listen: parse_address("listen", sources.listen.as_ref().or(file.listen.as_ref()))?,
            management: sources
                .management
                .as_ref()
                .or(file.mgmt.as_ref())
                .map(|text| parse_address("mgmt", Some(text)))
                .transpose()?,
            runtime: parse_address("runtime", Some(&file.runtime))?,
            registry: parse_address("lookup", Some(&file.lookup))?,
            store: parse_address("store", Some(&file.store))?,
            name,
            seed,
            shutdown_time: stop_ms * 1_000,
            max_descriptors,
            max_memory_mb,
            class_names: file.settings.class_names(),
            gauge_names: file.settings.gauge_names(),
            settings: file.settings.into_settings(),
        })
    }
}

fn parse_address(key: &str, text: Option<&String>) -> Result<SocketAddr, String> {
    let text = text.ok_or_else(|| format!("{key}: missing"))?;
    text.parse()
        .map_err(|_| format!("{key}: {text:?} is not an address and port, such as 127.0.0.1:5050"))
}
