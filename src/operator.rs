//! The operator file: settings that the platform's configuration does not have. It is a Jsonnet file
//! with one section per subsystem; a subsystem without a section is off.

pub mod admission;
pub mod cluster;
pub mod fleet;
pub mod gateway;
pub(crate) mod results;
mod section;
mod tls;

use crate::config::Config;
use cleatpulley_dispatcher::RequestHead;
use cleatpulley_gateway::core::route_request;
use cleatpulley_policy::interface::{Effect, Micros};
use cleatpulley_protocol::ajp::class_table::{ClassRoute, ClassTable};
use cleatpulley_protocol::ajp::client;
use cleatpulley_protocol::ajp::codec::{PACKET_SIZE, PACKET_SIZE_RANGE};
use cleatpulley_protocol::ajp::server::{
    ClassLookup, ParameterDefaults, ParameterSource, ParameterSources, Settings,
};
use cleatpulley_routes::router::RouteDecision;
use cleatpulley_server::{dependency_pool, AjpOptions, IdempotencyOptions};
use jrsonnet_evaluator::error::Error as EvaluationError;
use jrsonnet_evaluator::{EvaluationState, FileImportResolver};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{BuildHasher as _, RandomState};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Upper bound of `ajp.max_body`: a held request with a larger body would exceed the memory that is
/// accounted for a request.
const MAX_BODY_BYTES: usize = 1_048_576;
/// Time that the response to a late body takes beyond the body timeout: until the sweep finds the
/// request, and until the response is sent.
const BODY_TIMEOUT_MARGIN_US: Micros = 200_000;

/// An error in an operator file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorFileError {
    /// The file.
    pub file: PathBuf,
    /// The line, if known.
    pub line: Option<usize>,
    /// The key, such as `ajp.routes[2].class`; empty if the error concerns the file as a whole.
    pub key: String,
    /// What is wrong with the key or the file.
    pub message: String,
}

impl fmt::Display for OperatorFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for OperatorFileError {}

/// The settings of an operator file.
#[derive(Debug, Clone, Default)]
pub struct OperatorSettings {
    /// The AJP listeners.
    pub ajp: Option<AjpOptions>,
    /// The protocol spoken with the store.
    pub dependency_protocol: dependency_pool::DependencyProtocol,
    /// Storage of the results of keyed requests.
    pub idempotency: Option<IdempotencyOptions>,
    /// Which clients get a connection slot.
    pub connection_admission: Option<cleatpulley_connection_admission::Settings>,
    /// The folder that the reputation of client addresses is persisted in, if it is.
    pub reputation_folder: Option<PathBuf>,
    /// TLS on the listeners.
    pub tls: Option<cleatpulley_server::tls_layer::TlsOptions>,
    /// Names of the classes, for the summary.
    class_names: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct File {
    ajp: Option<AjpSection>,
    store: Option<StoreSection>,
    results: Option<results::ResultsSection>,
    admission: Option<admission::AdmissionSection>,
    tls: Option<tls::TlsSection>,
    /// Read by [`fleet::FleetConfig::load`]: only the fleet's daemon uses it.
    #[serde(rename = "fleet")]
    _fleet: Option<serde::de::IgnoredAny>,
    /// Read by [`gateway::load`]: a gateway is a separate process.
    #[serde(rename = "gateway")]
    _gateway: Option<serde::de::IgnoredAny>,
    /// Read by [`cluster::load`]: gateways use it too.
    #[serde(rename = "cluster")]
    _cluster: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AjpSection {
    listen: Vec<String>,
    #[serde(default)]
    secret: Option<String>,
    #[serde(default)]
    packet_size: Option<usize>,
    #[serde(default)]
    max_body: Option<usize>,
    #[serde(default)]
    timeouts_ms: Timeouts,
    #[serde(default)]
    trusted_proxies: Vec<String>,
    #[serde(default)]
    routes: Vec<Route>,
    /// An nginx configuration to read the routes from, instead of `routes`.
    #[serde(default)]
    routes_from: Option<PathBuf>,
    /// The `address:port` in the nginx configuration whose servers apply.
    #[serde(default)]
    routes_listen: Option<String>,
    #[serde(default)]
    figures: FiguresSection,
    #[serde(default)]
    defaults: DefaultsSection,
    #[serde(default)]
    classes: BTreeMap<String, DefaultsSection>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Timeouts {
    first_packet: u64,
    body: u64,
    idle: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            first_packet: 2_000,
            body: 2_000,
            idle: 30_000,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Route {
    path: String,
    #[serde(default = "default_methods")]
    methods: Vec<String>,
    class: String,
}

fn default_methods() -> Vec<String> {
    vec!["POST".to_owned()]
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct FiguresSection {
    id: Option<String>,
    door: Option<String>,
    work_ms: Option<String>,
    memory_kb: Option<String>,
    rank: Option<String>,
    caller: Option<String>,
    subject: Option<String>,
    key: Option<String>,
}

#[derive(Deserialize, Default, Clone)]
#[serde(deny_unknown_fields, default)]
struct DefaultsSection {
    work_ms: Option<f64>,
    memory_kb: Option<f64>,
    rank: Option<f64>,
    caller: Option<u64>,
    needs_id: Option<bool>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreSection {
    protocol: String,
    #[serde(default)]
    secret: Option<String>,
    #[serde(default)]
    packet_size: Option<usize>,
}

/// A key and what is wrong with it, before the file and line are known.
type KeyError = (String, String);

fn key_error<T>(key: impl Into<String>, message: impl Into<String>) -> Result<T, KeyError> {
    Err((key.into(), message.into()))
}

impl OperatorSettings {
    /// Evaluates an operator file and checks it against the configuration that it is used with.
    ///
    /// # Errors
    /// The file is invalid; the error has the file, the line if known, the key, and what is wrong.
    pub fn load(file: &Path, config: &Config) -> Result<Self, OperatorFileError> {
        let json = evaluate(file)?;
        let source = std::fs::read_to_string(file).unwrap_or_default();
        let folder = file.parent().map(Path::to_owned).unwrap_or_default();
        Self::parse(&json, config, &folder).map_err(|(key, message)| {
            let line = find_line(&source, &key, &message);
            OperatorFileError {
                file: file.to_owned(),
                line,
                key,
                message,
            }
        })
    }

    /// Checks that results are stored for all deduplicated classes, whose retries are recognized by
    /// their stored results.
    ///
    /// # Errors
    /// No results are stored for a deduplicated class; the error names its key in the configuration.
    pub fn check_deduplicated_classes(&self, config: &Config) -> Result<(), String> {
        for (i, class) in config.settings.classes.iter().enumerate() {
            // Without a `results` section, the default options cover these classes.
            let is_stored = self
                .idempotency
                .as_ref()
                .is_none_or(|options| options.classes[i]);
            if class.effect == Effect::Deduplicated && !is_stored {
                return Err(format!(
                    "settings.classes[{i}].effect: retries can't be recognized without stored results of {:?}",
                    config.class_names[i]
                ));
            }
        }
        Ok(())
    }

    fn parse(json: &str, config: &Config, folder: &Path) -> Result<Self, KeyError> {
        if !json.trim_start().starts_with('{') {
            return key_error(
                "",
                "the template does not evaluate to an object of sections",
            );
        }
        let mut reader = serde_json::Deserializer::from_str(json);
        let file: File = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let key = e.path().to_string();
            let message = e.into_inner().to_string();
            // Line numbers of the evaluated text do not exist in the template.
            let message = message
                .split(" at line ")
                .next()
                .unwrap_or_default()
                .to_owned();
            (if key == "." { String::new() } else { key }, message)
        })?;
        let ajp = file
            .ajp
            .map(|section| section.check(config, folder))
            .transpose()?;
        let ajp_sends_keys = ajp
            .as_ref()
            .is_some_and(|ajp| ajp.settings.parameter_sources.key.is_some());
        let admission = file
            .admission
            .map(|section| section.check(&config.name, folder))
            .transpose()?;
        let (connection_admission, reputation_folder) =
            admission.map_or((None, None), |(settings, folder)| (Some(settings), folder));
        let operator = Self {
            ajp,
            dependency_protocol: file
                .store
                .map(StoreSection::check)
                .transpose()?
                .unwrap_or_default(),
            idempotency: file
                .results
                .map(|section| section.check(config, ajp_sends_keys))
                .transpose()?,
            connection_admission,
            reputation_folder,
            tls: file
                .tls
                .map(|section| section.check(config, folder))
                .transpose()?,
            class_names: config.class_names.clone(),
        };
        operator
            .check_deduplicated_classes(config)
            .map_err(|message| ("results".to_owned(), message))?;
        Ok(operator)
    }
}

/// Evaluates a Jsonnet template and returns the result as JSON.
///
/// # Errors
/// The template can't be evaluated; the error has the file, the line if known, and what is wrong.
pub fn evaluate(file: &Path) -> Result<String, OperatorFileError> {
    let state = EvaluationState::default();
    state.with_stdlib();
    let folder = file.parent().map(Path::to_owned).unwrap_or_default();
    state.set_import_resolver(Box::new(FileImportResolver {
        library_paths: vec![folder],
    }));
    let value = state
        .evaluate_file_raw(file)
        .and_then(|value| state.manifest(value));
    value.map(|json| json.to_string()).map_err(|e| {
        let error = |file: PathBuf, line, message| OperatorFileError {
            file,
            line,
            key: String::new(),
            message,
        };
        // The evaluator panics when it renders a location in an empty file.
        if let EvaluationError::ImportSyntaxError {
            path, source_code, ..
        } = e.error()
        {
            if source_code.is_empty() {
                return error(path.to_path_buf(), Some(1), "the file is empty".to_owned());
            }
        }
        let text = state.stringify_err(&e);
        let mut lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
        let message = lines.next().unwrap_or("can't be evaluated").to_owned();
        // The next lines are the stack trace, innermost location first, as FILE:LINE:COLUMN. The file may
        // be an imported one.
        let location = lines.next().and_then(|line| {
            let path_ends = [".jsonnet:", ".libsonnet:"]
                .iter()
                .filter_map(|suffix| Some(line.find(suffix)? + suffix.len()));
            let path_end = path_ends.min()?;
            let number = line[path_end..]
                .split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse::<usize>()
                .ok()?;
            Some((PathBuf::from(&line[..path_end - 1]), number.max(1)))
        });
        match location {
            Some((path, line)) => error(path, Some(line), message),
            None => {
                let trace: Vec<_> = lines.take(3).collect();
                let message = if trace.is_empty() {
                    message
                } else {
                    format!("{message} ({})", trace.join(", "))
                };
                error(file.to_owned(), None, message)
            }
        }
    })
}

/// Returns the number of the line that sets `key` in the template, searching for the parts of the key
/// one after the other. Returns `None` if no part of the key is found, such as for a key that another
/// file sets.
fn find_line(source: &str, key: &str, message: &str) -> Option<usize> {
    let unknown_field = message
        .strip_prefix("unknown field `")
        .and_then(|rest| rest.split('`').next());
    let parts = key
        .split(['.', '['])
        .filter(|part| !part.ends_with(']') && !part.is_empty() && *part != "?");
    let mut start = 0;
    let mut last_match = None;
    for part in parts.chain(unknown_field) {
        let Some(offset) = find_key(source, start, part) else {
            break;
        };
        start = offset + part.len();
        last_match = Some(offset);
    }
    last_match.map(|offset| source[..offset].matches('\n').count() + 1)
}

/// Returns the offset of the first object key `name` from `start` on, outside of comments.
fn find_key(source: &str, start: usize, name: &str) -> Option<usize> {
    source[start..]
        .match_indices(name)
        .map(|(offset, _)| start + offset)
        .find(|&offset| {
            let before = source[..offset].chars().next_back();
            let after = source[offset + name.len()..].trim_start_matches(['"', '\'', ' ', '+']);
            let is_comment = source[..offset]
                .rsplit('\n')
                .next()
                .is_some_and(|line| line.contains("//") || line.contains('#'));
            !is_comment
                && !before.is_some_and(|c| c.is_alphanumeric() || c == '_')
                && after.starts_with(':')
        })
}

fn parse_addresses(key: &str, texts: &[String]) -> Result<Vec<SocketAddr>, KeyError> {
    let parse = |(i, text): (usize, &String)| {
        let message = || format!("{text:?} is not an address and port, such as 127.0.0.1:8009");
        text.parse().map_err(|_| (format!("{key}[{i}]"), message()))
    };
    texts.iter().enumerate().map(parse).collect()
}

/// Returns a seed of its own for this process. Ids that two processes generate must differ: a matcher runs no
/// id twice.
fn process_seed(seed: u64) -> u64 {
    RandomState::new().hash_one((seed, std::process::id()))
}

fn check_packet_size(key: &str, size: Option<usize>) -> Result<usize, KeyError> {
    let size = size.unwrap_or(PACKET_SIZE);
    if !PACKET_SIZE_RANGE.contains(&size) {
        return key_error(
            key,
            format!(
                "{size} is not within {} to {}",
                PACKET_SIZE_RANGE.start(),
                PACKET_SIZE_RANGE.end()
            ),
        );
    }
    Ok(size)
}

/// Finds the class of a request by imported nginx routes. Only the class of a route is used here; its
/// upstream is ignored.
#[derive(Debug)]
struct ImportedRoutes {
    router: cleatpulley_routes::router::Router,
    listen: Option<String>,
    class_names: Vec<String>,
}

impl ClassLookup for ImportedRoutes {
    fn find(&self, head: &RequestHead) -> Result<usize, (u16, String)> {
        let request = route_request(self.listen.as_deref(), head);
        match self
            .router
            .route(&request)
            .map_err(|message| (404, message))?
        {
            RouteDecision::Forward {
                class: Some(class), ..
            } => {
                let index = self.class_names.iter().position(|name| *name == class);
                index.ok_or_else(|| (404, format!("{class:?} is no class")))
            }
            RouteDecision::Forward { .. } => Err((404, "this route has no class".to_owned())),
            RouteDecision::Respond { status, text, .. } => Err((status, text)),
        }
    }

    fn forwards_requests(&self) -> bool {
        false
    }
}

fn load_imported_routes(
    file: &Path,
    listen: Option<String>,
    config: &Config,
) -> Result<Arc<dyn ClassLookup>, KeyError> {
    let error = |message| ("routes_from".to_owned(), message);
    let routes = crate::nginx::load_routes(file).map_err(error)?;
    let router = cleatpulley_routes::router::Router::new(&routes).map_err(error)?;
    Ok(Arc::new(ImportedRoutes {
        router,
        listen,
        class_names: config.class_names.clone(),
    }))
}

/// Parses the name of a header, or `attribute:` and the name of a request attribute.
fn parse_source(key: &str, text: Option<&String>) -> Result<Option<ParameterSource>, KeyError> {
    let Some(text) = text else { return Ok(None) };
    let (name, new_source): (&str, fn(String) -> ParameterSource) =
        match text.strip_prefix("attribute:") {
            Some(name) => (name, ParameterSource::Attribute),
            None => (text, ParameterSource::Header),
        };
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || !name.chars().all(is_allowed) {
        return key_error(
            format!("figures.{key}"),
            format!("{text:?} is not the name of a header or attribute"),
        );
    }
    Ok(Some(new_source(name.to_owned())))
}

impl AjpSection {
    fn check(mut self, config: &Config, folder: &Path) -> Result<AjpOptions, KeyError> {
        self.routes_from = self.routes_from.map(|file| folder.join(file));
        self.check_keys(config)
            .map_err(|(key, message)| (format!("ajp.{key}"), message))
    }

    fn check_keys(self, config: &Config) -> Result<AjpOptions, KeyError> {
        let listen = parse_addresses("listen", &self.listen)?;
        if listen.is_empty() {
            return key_error("listen", "no address; to turn AJP off, remove the section");
        }
        match &self.secret {
            Some(secret) if secret.is_empty() => {
                return key_error("secret", "it is empty; for no secret, use null")
            }
            Some(_) => {}
            // Any client that can connect may act for all callers, so a port that is reachable from other
            // machines needs a secret.
            None => {
                if let Some(i) = listen
                    .iter()
                    .position(|address| !address.ip().is_loopback())
                {
                    let message = format!(
                        "{} is not a loopback address, so a secret is required",
                        listen[i]
                    );
                    return key_error(format!("listen[{i}]"), message);
                }
            }
        }
        let max_body = self.max_body.unwrap_or(2_048);
        if max_body > MAX_BODY_BYTES {
            return key_error(
                "max_body",
                format!("{max_body} is more than {MAX_BODY_BYTES}"),
            );
        }
        let timeout = |key: &str, ms: u64| match ms {
            1..=86_400_000 => Ok(ms * 1_000),
            _ => key_error(
                format!("timeouts_ms.{key}"),
                format!("{ms} is not within 1 to 86400000"),
            ),
        };
        let body_timeout = timeout("body", self.timeouts_ms.body)?;
        // A request whose body is late still has to get its response before the client times out.
        let min_client_timeout = config
            .settings
            .classes
            .iter()
            .map(|class| class.client_timeout)
            .min()
            .unwrap_or(0);
        if body_timeout + BODY_TIMEOUT_MARGIN_US > min_client_timeout {
            let message = format!(
                "{} ms leave no time for the response: a class has a client timeout of {} ms",
                body_timeout / 1_000,
                min_client_timeout / 1_000
            );
            return key_error("timeouts_ms.body", message);
        }
        let mut trusted = Vec::new();
        for (i, text) in self.trusted_proxies.iter().enumerate() {
            match text.parse::<IpAddr>() {
                Ok(address) => trusted.push(address),
                Err(_) => {
                    return key_error(
                        format!("trusted_proxies[{i}]"),
                        format!("{text:?} is not an IP address"),
                    )
                }
            }
        }
        if self.figures.door.is_some() && trusted.is_empty() {
            return key_error(
                "figures.door",
                "only trusted proxies may set it, and trusted_proxies is empty",
            );
        }
        let class_index =
            |key: &str, name: &str| match config.class_names.iter().position(|class| class == name)
            {
                Some(index) => Ok(index),
                None => key_error(
                    key,
                    format!(
                        "{name:?} is not a class; the classes are {}",
                        config.class_names.join(", ")
                    ),
                ),
            };
        let mut entries = Vec::new();
        for (i, route) in self.routes.into_iter().enumerate() {
            let class = class_index(&format!("routes[{i}].class"), &route.class)?;
            entries.push(ClassRoute {
                path: route.path,
                methods: route.methods,
                class,
            });
        }
        let lookup = match &self.routes_from {
            Some(_) if !entries.is_empty() => {
                return key_error("routes_from", "it can't be combined with routes")
            }
            Some(file) => Some(load_imported_routes(
                file,
                self.routes_listen.clone(),
                config,
            )?),
            None if entries.is_empty() => return key_error("routes", "there is no route"),
            None => None,
        };
        let table = ClassTable::new(entries)
            .map_err(|(i, message)| (format!("routes[{i}].path"), message))?;
        for name in self.classes.keys() {
            class_index(&format!("classes.{name}"), name)?;
        }
        let mut defaults = Vec::new();
        for (name, class) in config.class_names.iter().zip(&config.settings.classes) {
            let of_class = self.classes.get(name).cloned().unwrap_or_default();
            let of_all = &self.defaults;
            let class_defaults = ParameterDefaults {
                expected_work: (of_class.work_ms.or(of_all.work_ms).unwrap_or(0.0).max(0.0)
                    * 1_000.0) as Micros,
                memory_kb: of_class.memory_kb.or(of_all.memory_kb).unwrap_or(30.0),
                rank: of_class.rank.or(of_all.rank).unwrap_or(0.5),
                caller: of_class.caller.or(of_all.caller).unwrap_or(0),
                requires_id: of_class
                    .needs_id
                    .or(of_all.needs_id)
                    .unwrap_or(class.effect != Effect::Idempotent),
            };
            let full_key = |key: &str| {
                if self.classes.contains_key(name) {
                    format!("classes.{name}.{key}")
                } else {
                    format!("defaults.{key}")
                }
            };
            if !(class_defaults.memory_kb > 0.0 && class_defaults.memory_kb < 2_000.0) {
                return key_error(
                    full_key("memory_kb"),
                    format!("{} is not above 0 and under 2000", class_defaults.memory_kb),
                );
            }
            if !(0.0..1.0).contains(&class_defaults.rank) {
                return key_error(
                    full_key("rank"),
                    format!("{} is not from 0 to under 1", class_defaults.rank),
                );
            }
            if class_defaults.requires_id && self.figures.id.is_none() {
                let message = format!(
                    "class {name:?} has an effect and needs request ids, but no header for them is set"
                );
                return key_error("figures.id", message);
            }
            defaults.push(class_defaults);
        }
        let figures = &self.figures;
        let settings = Settings {
            secret: self.secret.map(String::into_bytes),
            packet_size: check_packet_size("packet_size", self.packet_size)?,
            max_body_bytes: max_body,
            packet_timeout: timeout("first_packet", self.timeouts_ms.first_packet)?,
            body_timeout,
            idle_timeout: timeout("idle", self.timeouts_ms.idle)?,
            class_table: table,
            class_lookup: lookup,
            parameter_sources: ParameterSources {
                id: parse_source("id", figures.id.as_ref())?,
                received_at_ms: parse_source("door", figures.door.as_ref())?,
                work_ms: parse_source("work_ms", figures.work_ms.as_ref())?,
                memory_kb: parse_source("memory_kb", figures.memory_kb.as_ref())?,
                rank: parse_source("rank", figures.rank.as_ref())?,
                caller: parse_source("caller", figures.caller.as_ref())?,
                subject: parse_source("subject", figures.subject.as_ref())?,
                key: parse_source("key", figures.key.as_ref())?,
            },
            parameter_defaults: defaults,
            id_seed: process_seed(config.seed),
        };
        Ok(AjpOptions {
            listen,
            trusted_proxies: trusted,
            settings,
        })
    }
}

impl StoreSection {
    fn check(self) -> Result<dependency_pool::DependencyProtocol, KeyError> {
        match self.protocol.as_str() {
            "http" if self.secret.is_some() => {
                key_error("store.secret", "a secret requires the protocol \"ajp\"")
            }
            "http" => Ok(dependency_pool::DependencyProtocol::Http),
            "ajp" => Ok(dependency_pool::DependencyProtocol::Ajp(client::Options {
                packet_size: check_packet_size("store.packet_size", self.packet_size)?,
                secret: self.secret,
                server: (String::new(), 0),
            })),
            other => key_error(
                "store.protocol",
                format!("{other:?} is neither \"http\" nor \"ajp\""),
            ),
        }
    }
}

impl fmt::Display for OperatorSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.ajp {
            None => writeln!(f, "ajp: off")?,
            Some(ajp) => {
                let listen: Vec<_> = ajp.listen.iter().map(ToString::to_string).collect();
                let settings = &ajp.settings;
                let ms = |micros: Micros| micros / 1_000;
                writeln!(
                    f,
                    "ajp: listens on {}; secret {}; packets of {}, bodies of {} bytes at most; first packet {} ms, body {} ms, idle {} ms",
                    listen.join(", "),
                    if settings.secret.is_some() { "asked for" } else { "none" },
                    settings.packet_size,
                    settings.max_body_bytes,
                    ms(settings.packet_timeout),
                    ms(settings.body_timeout),
                    ms(settings.idle_timeout),
                )?;
            }
        }
        let protocol = match &self.dependency_protocol {
            dependency_pool::DependencyProtocol::Http => "HTTP",
            dependency_pool::DependencyProtocol::Ajp(_) => "AJP",
        };
        write!(f, "store: called over {protocol}")?;
        if let Some(settings) = &self.connection_admission {
            writeln!(f)?;
            admission::write_summary(settings, self.reputation_folder.as_deref(), f)?;
        }
        if let Some(options) = &self.idempotency {
            writeln!(f)?;
            results::write_summary(options, f)?;
        }
        if let Some(tls) = &self.tls {
            writeln!(f)?;
            tls::write_summary(tls, &self.class_names, f)?;
        }
        Ok(())
    }
}
