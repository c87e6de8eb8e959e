//! The operator file: what the platform's configuration does not know. A Jsonnet file with a section for each
//! subsystem, all off unless they are there; read in this one place.

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
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The largest body that may be set: beyond it a held request would be larger than what is booked for any.
const LARGEST_BODY: usize = 1_048_576;
/// What a body may take longer than its due time allows: the sweep that finds it, and the answer's way out.
const MARGIN: Micros = 200_000;

/// What is wrong with an operator file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The file.
    pub file: PathBuf,
    /// The line, where it is known.
    pub line: Option<usize>,
    /// The key, such as `ajp.routes[2].class`; empty where the file as a whole is meant.
    pub key: String,
    /// What is wrong there.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.what)
    }
}

impl std::error::Error for Fault {}

/// What an operator file switches on.
#[derive(Debug, Clone, Default)]
pub struct Operator {
    /// The AJP front.
    pub ajp: Option<AjpOptions>,
    /// How the store is called.
    pub store: dependency_pool::DependencyProtocol,
    /// Kept results of keyed requests.
    pub results: Option<IdempotencyOptions>,
    /// Who gets a place.
    pub admission: Option<cleatpulley_connection_admission::Settings>,
    /// The folder that earned standing is kept in.
    pub standings: Option<PathBuf>,
    /// TLS on the fronts.
    pub tls: Option<cleatpulley_server::tls_layer::TlsOptions>,
    /// The names of the classes, for what is shown.
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
    /// Read by [`fleet::FleetConfig::load`]: it concerns the daemon alone.
    #[serde(rename = "fleet")]
    _fleet: Option<serde::de::IgnoredAny>,
    /// Read by [`gateway::load`]: a gateway is a process of its own.
    #[serde(rename = "gateway")]
    _gateway: Option<serde::de::IgnoredAny>,
    /// Read by [`cluster::load`]: it concerns gateways as well.
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
    /// An nginx configuration instead, and the `address:port` of it that counts.
    #[serde(default)]
    routes_from: Option<PathBuf>,
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
    #[serde(default = "post")]
    methods: Vec<String>,
    class: String,
}

fn post() -> Vec<String> {
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

/// A fault of a key, before the file and line are known.
type Wrong = (String, String);

fn wrong<T>(key: impl Into<String>, what: impl Into<String>) -> Result<T, Wrong> {
    Err((key.into(), what.into()))
}

impl Operator {
    /// Evaluates an operator file and checks it against the configuration that it goes with.
    ///
    /// # Errors
    /// File, line where it is known, key, and what is wrong there.
    pub fn load(file: &Path, config: &Config) -> Result<Self, Fault> {
        let json = evaluate(file)?;
        let source = std::fs::read_to_string(file).unwrap_or_default();
        let folder = file.parent().map(Path::to_owned).unwrap_or_default();
        Self::parse(&json, config, &folder).map_err(|(key, what)| {
            let line = locate(&source, &key, &what);
            Fault {
                file: file.to_owned(),
                line,
                key,
                what,
            }
        })
    }

    /// Whether classes whose further tries have to be known have their results kept.
    ///
    /// # Errors
    /// The key of the configuration that is not covered.
    pub fn covers(&self, config: &Config) -> Result<(), String> {
        for (i, class) in config.settings.classes.iter().enumerate() {
            // Without that section they are kept by themselves.
            let kept = self
                .results
                .as_ref()
                .is_none_or(|results| results.classes[i]);
            if class.effect == Effect::Deduplicated && !kept {
                return Err(format!(
"settings.classes[{i}].effect: further tries can't be told without kept results of {:?}",
config.class_names[i]
));
            }
        }
        Ok(())
    }

    fn parse(json: &str, config: &Config, folder: &Path) -> Result<Self, Wrong> {
        if !json.trim_start().starts_with('{') {
            return wrong("", "it comes to something else than an object of sections");
        }
        let mut reader = serde_json::Deserializer::from_str(json);
        let file: File = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let key = e.path().to_string();
            let what = e.into_inner().to_string();
            // Lines of the evaluated text mean nothing to whoever wrote the template.
            let what = what
                .split(" at line ")
                .next()
                .unwrap_or_default()
                .to_owned();
            (if key == "." { String::new() } else { key }, what)
        })?;
        let ajp = file
            .ajp
            .map(|section| section.check(config, folder))
            .transpose()?;
        let ajp_key = ajp
            .as_ref()
            .is_some_and(|ajp| ajp.settings.parameter_sources.key.is_some());
        let admission = file
            .admission
            .map(|section| section.check(&config.name, folder))
            .transpose()?;
        let (admission, standings) =
            admission.map_or((None, None), |(admission, kept)| (Some(admission), kept));
        let operator = Self {
            ajp,
            store: file
                .store
                .map(StoreSection::check)
                .transpose()?
                .unwrap_or_default(),
            results: file
                .results
                .map(|section| section.check(config, ajp_key))
                .transpose()?,
            admission,
            standings,
            tls: file
                .tls
                .map(|section| section.check(config, folder))
                .transpose()?,
            class_names: config.class_names.clone(),
        };
        operator
            .covers(config)
            .map_err(|what| ("results".to_owned(), what))?;
        Ok(operator)
    }
}

/// Runs a template; the result is JSON.
///
/// # Errors
/// File and line, where they are known, and what is wrong there.
pub fn evaluate(file: &Path) -> Result<String, Fault> {
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
        let fault = |file: PathBuf, line, what| Fault {
            file,
            line,
            key: String::new(),
            what,
        };
        // Guards against a panic of the evaluator, which can't show a place in nothing.
        if let EvaluationError::ImportSyntaxError {
            path, source_code, ..
        } = e.error()
        {
            if source_code.is_empty() {
                return fault(path.to_path_buf(), Some(1), "the file is empty".to_owned());
            }
        }
        let text = state.stringify_err(&e);
        let mut lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
        let what = lines.next().unwrap_or("can't be evaluated").to_owned();
        // The places follow, the innermost first, as FILE:LINE:COLUMN; the file may be one that was imported.
        let place = lines.next().and_then(|line| {
            let ends = [".jsonnet:", ".libsonnet:"]
                .iter()
                .filter_map(|end| Some(line.find(end)? + end.len()));
            let end = ends.min()?;
            let number = line[end..]
                .split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse::<usize>()
                .ok()?;
            Some((PathBuf::from(&line[..end - 1]), number.max(1)))
        });
        match place {
            Some((found, line)) => fault(found, Some(line), what),
            None => {
                let rest: Vec<_> = lines.take(3).collect();
                let what = if rest.is_empty() {
                    what
                } else {
                    format!("{what} ({})", rest.join(", "))
                };
                fault(file.to_owned(), None, what)
            }
        }
    })
}

/// The line where a key is written, looked for part by part; the template may build it elsewhere, and then no line
/// is told.
fn locate(source: &str, key: &str, what: &str) -> Option<usize> {
    let unknown = what
        .strip_prefix("unknown field `")
        .and_then(|rest| rest.split('`').next());
    let parts = key
        .split(['.', '['])
        .filter(|part| !part.ends_with(']') && !part.is_empty() && *part != "?");
    let mut from = 0;
    let mut found = None;
    for part in parts.chain(unknown) {
        let Some(at) = find_key(source, from, part) else {
            break;
        };
        from = at + part.len();
        found = Some(at);
    }
    found.map(|at| source[..at].matches('\n').count() + 1)
}

fn find_key(source: &str, from: usize, name: &str) -> Option<usize> {
    source[from..]
        .match_indices(name)
        .map(|(at, _)| from + at)
        .find(|&at| {
            let before = source[..at].chars().next_back();
            let after = source[at + name.len()..].trim_start_matches(['"', '\'', ' ', '+']);
            let comment = source[..at]
                .rsplit('\n')
                .next()
                .is_some_and(|line| line.contains("//") || line.contains('#'));
            !comment
                && !before.is_some_and(|c| c.is_alphanumeric() || c == '_')
                && after.starts_with(':')
        })
}

fn addresses(key: &str, texts: &[String]) -> Result<Vec<SocketAddr>, Wrong> {
    let one = |(i, text): (usize, &String)| {
        let what = || format!("{text:?} is not an address and port, such as 127.0.0.1:8009");
        text.parse().map_err(|_| (format!("{key}[{i}]"), what()))
    };
    texts.iter().enumerate().map(one).collect()
}

fn packet_size(key: &str, size: Option<usize>) -> Result<usize, Wrong> {
    let size = size.unwrap_or(PACKET_SIZE);
    if !PACKET_SIZE_RANGE.contains(&size) {
        return wrong(
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

/// Classes of an imported table: a route has to name one, and where it leads is another's affair.
#[derive(Debug)]
struct Imported {
    table: cleatpulley_routes::router::Router,
    listen: Option<String>,
    classes: Vec<String>,
}

impl ClassLookup for Imported {
    fn find(&self, head: &RequestHead) -> Result<usize, (u16, String)> {
        let asked = route_request(self.listen.as_deref(), head);
        match self.table.route(&asked).map_err(|what| (404, what))? {
            RouteDecision::Forward {
                class: Some(class), ..
            } => {
                let found = self.classes.iter().position(|known| *known == class);
                found.ok_or_else(|| (404, format!("{class:?} is no class")))
            }
            RouteDecision::Forward { .. } => Err((404, "this route has no class".to_owned())),
            RouteDecision::Respond {
                status: code, text, ..
            } => Err((code, text)),
        }
    }

    fn forwards_requests(&self) -> bool {
        false
    }
}

fn imported(
    file: &Path,
    listen: Option<String>,
    config: &Config,
) -> Result<Arc<dyn ClassLookup>, Wrong> {
    let fault = |what| ("routes_from".to_owned(), what);
    let routes = crate::nginx::load(file).map_err(fault)?;
    let table = cleatpulley_routes::router::Router::new(&routes).map_err(fault)?;
    Ok(Arc::new(Imported {
        table,
        listen,
        classes: config.class_names.clone(),
    }))
}

/// A header's name, or `attribute:` and the name of a request attribute.
fn source(key: &str, text: Option<&String>) -> Result<Option<ParameterSource>, Wrong> {
    let Some(text) = text else { return Ok(None) };
    let (name, source): (&str, fn(String) -> ParameterSource) =
        match text.strip_prefix("attribute:") {
            Some(name) => (name, ParameterSource::Attribute),
            None => (text, ParameterSource::Header),
        };
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || !name.chars().all(plain) {
        return wrong(
            format!("figures.{key}"),
            format!("{text:?} is not the name of a header or attribute"),
        );
    }
    Ok(Some(source(name.to_owned())))
}

impl AjpSection {
    fn check(mut self, config: &Config, folder: &Path) -> Result<AjpOptions, Wrong> {
        self.routes_from = self.routes_from.map(|file| folder.join(file));
        self.checked(config)
            .map_err(|(key, what)| (format!("ajp.{key}"), what))
    }

    fn checked(self, config: &Config) -> Result<AjpOptions, Wrong> {
        let listen = addresses("listen", &self.listen)?;
        if listen.is_empty() {
            return wrong(
                "listen",
                "no address; leave the section out to switch AJP off",
            );
        }
        match &self.secret {
            Some(secret) if secret.is_empty() => {
                return wrong("secret", "it is empty; null asks for none")
            }
            Some(_) => {}
            // Whoever reaches the port speaks for all callers: beyond this machine that takes a secret.
            None => {
                if let Some(i) = listen
                    .iter()
                    .position(|address| !address.ip().is_loopback())
                {
                    let what =
                        format!("{} is no loopback address, which takes a secret", listen[i]);
                    return wrong(format!("listen[{i}]"), what);
                }
            }
        }
        let max_body = self.max_body.unwrap_or(2_048);
        if max_body > LARGEST_BODY {
            return wrong(
                "max_body",
                format!("{max_body} is more than {LARGEST_BODY}"),
            );
        }
        let time = |key: &str, ms: u64| match ms {
            1..=86_400_000 => Ok(ms * 1_000),
            _ => wrong(
                format!("timeouts_ms.{key}"),
                format!("{ms} is not within 1 to 86400000"),
            ),
        };
        let body = time("body", self.timeouts_ms.body)?;
        // A body that comes late has to be answered by its request's due time.
        let shortest = config
            .settings
            .classes
            .iter()
            .map(|class| class.client_timeout)
            .min()
            .unwrap_or(0);
        if body + MARGIN > shortest {
            let what = format!(
                "{} ms leave no time to answer: a class has {} ms in all",
                body / 1_000,
                shortest / 1_000
            );
            return wrong("timeouts_ms.body", what);
        }
        let mut trusted = Vec::new();
        for (i, text) in self.trusted_proxies.iter().enumerate() {
            match text.parse::<IpAddr>() {
                Ok(address) => trusted.push(address),
                Err(_) => {
                    return wrong(
                        format!("trusted_proxies[{i}]"),
                        format!("{text:?} is no address"),
                    )
                }
            }
        }
        if self.figures.door.is_some() && trusted.is_empty() {
            return wrong(
                "figures.door",
                "it is believed of trusted proxies only, and trusted_proxies names none",
            );
        }
        let class_of =
            |key: &str, name: &str| match config.class_names.iter().position(|known| known == name)
            {
                Some(class) => Ok(class),
                None => wrong(
                    key,
                    format!(
                        "{name:?} is no class; there are {}",
                        config.class_names.join(", ")
                    ),
                ),
            };
        let mut entries = Vec::new();
        for (i, route) in self.routes.into_iter().enumerate() {
            let class = class_of(&format!("routes[{i}].class"), &route.class)?;
            entries.push(ClassRoute {
                path: route.path,
                methods: route.methods,
                class,
            });
        }
        let lookup = match &self.routes_from {
            Some(_) if !entries.is_empty() => {
                return wrong("routes_from", "there are routes as well")
            }
            Some(file) => Some(imported(file, self.routes_listen.clone(), config)?),
            None if entries.is_empty() => return wrong("routes", "no path leads to a class"),
            None => None,
        };
        let table =
            ClassTable::new(entries).map_err(|(i, what)| (format!("routes[{i}].path"), what))?;
        for name in self.classes.keys() {
            class_of(&format!("classes.{name}"), name)?;
        }
        let mut defaults = Vec::new();
        for (name, class) in config.class_names.iter().zip(&config.settings.classes) {
            let own = self.classes.get(name).cloned().unwrap_or_default();
            let all = &self.defaults;
            let found = ParameterDefaults {
                expected_work: (own.work_ms.or(all.work_ms).unwrap_or(0.0).max(0.0) * 1_000.0)
                    as Micros,
                memory_kb: own.memory_kb.or(all.memory_kb).unwrap_or(30.0),
                rank: own.rank.or(all.rank).unwrap_or(0.5),
                caller: own.caller.or(all.caller).unwrap_or(0),
                requires_id: own
                    .needs_id
                    .or(all.needs_id)
                    .unwrap_or(class.effect != Effect::Idempotent),
            };
            let place = |key: &str| {
                if self.classes.contains_key(name) {
                    format!("classes.{name}.{key}")
                } else {
                    format!("defaults.{key}")
                }
            };
            if !(found.memory_kb > 0.0 && found.memory_kb < 2_000.0) {
                return wrong(
                    place("memory_kb"),
                    format!("{} is not above 0 and under 2000", found.memory_kb),
                );
            }
            if !(0.0..1.0).contains(&found.rank) {
                return wrong(
                    place("rank"),
                    format!("{} is not from 0 to under 1", found.rank),
                );
            }
            if found.requires_id && self.figures.id.is_none() {
                let what = format!(
                    "class {name:?} has an effect and needs ids, but no header is named for them"
                );
                return wrong("figures.id", what);
            }
            defaults.push(found);
        }
        let figures = &self.figures;
        let settings = Settings {
            secret: self.secret.map(String::into_bytes),
            packet_size: packet_size("packet_size", self.packet_size)?,
            max_body_bytes: max_body,
            packet_timeout: time("first_packet", self.timeouts_ms.first_packet)?,
            body_timeout: body,
            idle_timeout: time("idle", self.timeouts_ms.idle)?,
            class_table: table,
            class_lookup: lookup,
            parameter_sources: ParameterSources {
                id: source("id", figures.id.as_ref())?,
                received_at_ms: source("door", figures.door.as_ref())?,
                work_ms: source("work_ms", figures.work_ms.as_ref())?,
                memory_kb: source("memory_kb", figures.memory_kb.as_ref())?,
                rank: source("rank", figures.rank.as_ref())?,
                caller: source("caller", figures.caller.as_ref())?,
                subject: source("subject", figures.subject.as_ref())?,
                key: source("key", figures.key.as_ref())?,
            },
            parameter_defaults: defaults,
            id_seed: config.seed,
        };
        Ok(AjpOptions {
            listen,
            trusted_proxies: trusted,
            settings,
        })
    }
}

impl StoreSection {
    fn check(self) -> Result<dependency_pool::DependencyProtocol, Wrong> {
        match self.protocol.as_str() {
            "http" if self.secret.is_some() => {
                wrong("store.secret", "HTTP to the store knows no secret")
            }
            "http" => Ok(dependency_pool::DependencyProtocol::Http),
            "ajp" => Ok(dependency_pool::DependencyProtocol::Ajp(client::Options {
                packet_size: packet_size("store.packet_size", self.packet_size)?,
                secret: self.secret,
                server: (String::new(), 0),
            })),
            other => wrong(
                "store.protocol",
                format!("{other:?} is neither \"http\" nor \"ajp\""),
            ),
        }
    }
}

impl fmt::Display for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.ajp {
            None => writeln!(f, "ajp: off")?,
            Some(front) => {
                let listen: Vec<_> = front.listen.iter().map(ToString::to_string).collect();
                let settings = &front.settings;
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
        let speaks = match &self.store {
            dependency_pool::DependencyProtocol::Http => "HTTP",
            dependency_pool::DependencyProtocol::Ajp(_) => "AJP",
        };
        write!(f, "store: called over {speaks}")?;
        if let Some(settings) = &self.admission {
            writeln!(f)?;
            admission::show(settings, self.standings.as_deref(), f)?;
        }
        if let Some(results) = &self.results {
            writeln!(f)?;
            results::show(results, f)?;
        }
        if let Some(tls) = &self.tls {
            writeln!(f)?;
            tls::show(tls, &self.class_names, f)?;
        }
        Ok(())
    }
}
