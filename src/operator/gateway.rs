//! The `gateway` section of an operator file: listening addresses, routes, classes and targets of a gateway.

use super::section::read_section;
use super::{
    check_packet_size, key_error, parse_addresses, process_seed, KeyError, OperatorFileError,
};
use crate::nginx;
use cleatpulley_gateway::core::{Class, Settings};
use cleatpulley_gateway::upstream::{HeaderNames, TargetProtocol};
use cleatpulley_gateway::{AnyPath, Options};
use cleatpulley_protocol::ajp::class_table::ClassTable;
use cleatpulley_protocol::ajp::client;
use cleatpulley_protocol::ajp::server::{
    self, ParameterDefaults, ParameterSource, ParameterSources,
};
use cleatpulley_routes::model::{Location, RewriteStep, Routes, CLASS_VARIABLE};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const MS: u64 = 1_000;

#[derive(Deserialize)]
struct OperatorFile {
    gateway: GatewaySection,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GatewaySection {
    #[serde(default = "default_name")]
    name: String,
    #[serde(default)]
    frames: Vec<String>,
    #[serde(default)]
    frames_host: String,
    ajp: Option<AjpSection>,
    routes: PathBuf,
    #[serde(default)]
    routes_listen: Option<String>,
    classes: BTreeMap<String, ClassSection>,
    #[serde(default)]
    targets: TargetsSection,
    #[serde(default = "default_retry_share")]
    retry_share: f64,
    #[serde(default = "default_max_descriptors")]
    sockets: usize,
    #[serde(default = "default_stop_ms")]
    stop_ms: u64,
    #[serde(default = "default_drain_grace_ms")]
    drain_grace_ms: u64,
    #[serde(default = "default_memory_mb")]
    memory_mb: usize,
    #[serde(default)]
    seed: u64,
}

fn default_memory_mb() -> usize {
    64
}

fn default_name() -> String {
    "gateway".to_owned()
}

fn default_retry_share() -> f64 {
    0.1
}

fn default_max_descriptors() -> usize {
    1_024
}

fn default_stop_ms() -> u64 {
    10_000
}

fn default_drain_grace_ms() -> u64 {
    2_500
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AjpSection {
    listen: Vec<String>,
    #[serde(default)]
    secret: Option<String>,
    #[serde(default)]
    packet_size: Option<usize>,
    #[serde(default = "default_max_body")]
    max_body: usize,
    #[serde(default)]
    trusted_proxies: Vec<IpAddr>,
    #[serde(default = "default_door_header")]
    door_header: String,
}

fn default_max_body() -> usize {
    2_048
}

fn default_door_header() -> String {
    "X-Door".to_owned()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassSection {
    deadline_ms: u64,
    effect: bool,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct TargetsSection {
    protocol: Option<String>,
    secret: Option<String>,
    connections: Option<usize>,
    /// Socket addresses of targets that the routes give by name: names are not looked up.
    names: BTreeMap<String, String>,
    tls: Option<TargetTlsSection>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TargetTlsSection {
    roots: String,
    #[serde(default)]
    certificate: Option<String>,
    #[serde(default)]
    key: Option<String>,
    #[serde(default)]
    server_name: Option<String>,
}

impl TargetTlsSection {
    fn check(self, folder: &Path) -> Result<cleatpulley_gateway::upstream::TargetTls, KeyError> {
        use cleatpulley_tls::certificate::{parse_certificates, CertificateWithKey};
        let roots_file = folder.join(&self.roots);
        let bytes = std::fs::read(&roots_file).map_err(|e| {
            (
                "targets.tls.roots".to_owned(),
                format!("{}: {e}", roots_file.display()),
            )
        })?;
        let roots = parse_certificates(&roots_file, &bytes)
            .map_err(|e| ("targets.tls.roots".to_owned(), e.to_string()))?;
        let client_pair = match (self.certificate, self.key) {
            (None, None) => None,
            (Some(certificate), Some(key)) => {
                let pair = CertificateWithKey::load(&folder.join(certificate), &folder.join(key));
                Some(pair.map_err(|e| ("targets.tls.certificate".to_owned(), e.to_string()))?)
            }
            (Some(_), None) => return key_error("targets.tls.key", "a certificate needs its key"),
            (None, Some(_)) => {
                return key_error("targets.tls.certificate", "a key needs its certificate")
            }
        };
        if let Some(name) = &self.server_name {
            if cleatpulley_tls::rustls::pki_types::ServerName::try_from(name.as_str()).is_err() {
                return key_error(
                    "targets.tls.server_name",
                    format!("{name:?} is not a host name or address"),
                );
            }
        }
        let clock = cleatpulley_tls::Clock::default();
        let config = cleatpulley_tls::config::client_config(
            &roots,
            client_pair.as_ref(),
            cleatpulley_tls::config::ProtocolVersions::Both,
            &clock,
        );
        let config = config.map_err(|message| ("targets.tls.roots".to_owned(), message))?;
        Ok(cleatpulley_gateway::upstream::TargetTls {
            config,
            server_name: self.server_name,
            clock,
        })
    }
}

/// Reads the gateway's section of an operator file.
///
/// # Errors
/// Returns the file, the line where it is known, the key, and what is wrong there.
pub fn load(file: &Path) -> Result<Options, OperatorFileError> {
    read_section(file, |file: OperatorFile, folder| {
        file.gateway
            .check(folder)
            .map_err(|(key, message)| (format!("gateway.{key}"), message))
    })
}

impl GatewaySection {
    fn check(self, folder: &Path) -> Result<Options, KeyError> {
        let routes = nginx::load_routes(&folder.join(&self.routes))
            .map_err(|message| ("routes".to_owned(), message))?;
        let frame_addresses = parse_addresses("frames", &self.frames)?;
        if frame_addresses.is_empty() && self.ajp.is_none() {
            return key_error(
                "frames",
                "no address, and no AJP section: no caller could connect",
            );
        }
        let (mut classes, mut longest_deadline_ms) = (Vec::new(), 0);
        for (name, class) in &self.classes {
            if !(1..=600_000).contains(&class.deadline_ms) {
                return key_error(
                    format!("classes.{name}.deadline_ms"),
                    format!("{} is not within 1 to 600000", class.deadline_ms),
                );
            }
            longest_deadline_ms = longest_deadline_ms.max(class.deadline_ms);
            classes.push(Class {
                name: name.clone(),
                has_effect: class.effect,
                deadline: class.deadline_ms * MS,
            });
        }
        if classes.is_empty() {
            return key_error("classes", "no class is defined");
        }
        if self.stop_ms < self.drain_grace_ms + longest_deadline_ms {
            let message = format!(
                "{} ms leave no time after the drain grace of {} ms for a response due within {longest_deadline_ms} ms",
                self.stop_ms, self.drain_grace_ms
            );
            return key_error("stop_ms", message);
        }
        if !(1..=65_536).contains(&self.memory_mb) {
            return key_error(
                "memory_mb",
                format!("{} is not within 1 to 65536", self.memory_mb),
            );
        }
        if !(0.0..=1.0).contains(&self.retry_share) {
            return key_error(
                "retry_share",
                format!("{} is not from 0 to 1", self.retry_share),
            );
        }
        for server in &routes.servers {
            check_location_classes(&server.locations, &server.steps, &self.classes)?;
        }
        if let Some(address) = &self.routes_listen {
            if !routes
                .servers
                .iter()
                .flat_map(|server| &server.listen_addresses)
                .any(|(known, _)| known == address)
            {
                return key_error(
                    "routes_listen",
                    format!("no server of the routes listens on {address}"),
                );
            }
        }
        let target_protocol = match self.targets.protocol.as_deref() {
            None | Some("frames") if self.targets.secret.is_some() => {
                return key_error("targets.secret", "the frames protocol has no secret")
            }
            None | Some("frames") => TargetProtocol::Frames,
            Some("ajp") => TargetProtocol::Ajp(client::Options {
                packet_size: check_packet_size("targets", None)?,
                secret: self.targets.secret.clone(),
                server: (self.name.clone(), 0),
            }),
            Some(other) => {
                return key_error(
                    "targets.protocol",
                    format!("{other:?} is neither \"frames\" nor \"ajp\""),
                )
            }
        };
        let target_addresses = resolve_targets(&routes, &self.targets.names)?;
        let tls = self.targets.tls.map(|tls| tls.check(folder)).transpose()?;
        let ajp = self.ajp.map(|ajp| ajp.check(self.seed)).transpose()?;
        Ok(Options {
            name: self.name,
            frame_addresses,
            frames_host: self.frames_host,
            ajp,
            settings: Settings {
                routes,
                classes,
                listen_address: self.routes_listen,
                max_held_bytes: self.memory_mb * 1_000_000,
                retry_share: self.retry_share,
                seed: self.seed,
            },
            target_protocol,
            header_names: HeaderNames::default(),
            target_addresses,
            max_connections_per_target: self.targets.connections.unwrap_or(8),
            max_descriptors: self.sockets,
            shutdown_time: self.stop_ms * MS,
            drain_grace: self.drain_grace_ms * MS,
            tls,
        })
    }
}

/// Checks that each class a location sets in plain text is defined in the section.
fn check_location_classes(
    locations: &[Location],
    server_steps: &[RewriteStep],
    classes: &BTreeMap<String, ClassSection>,
) -> Result<(), KeyError> {
    for location in locations {
        for step in server_steps.iter().chain(&location.steps) {
            let RewriteStep::Set { variable, value } = step else {
                continue;
            };
            if variable == CLASS_VARIABLE
                && !value.contains('$')
                && !value.is_empty()
                && !classes.contains_key(value)
            {
                let message = format!(
                    "{}: {value:?} is no class; there are {}",
                    location.position,
                    classes.keys().cloned().collect::<Vec<_>>().join(", ")
                );
                return key_error("routes", message);
            }
        }
        check_location_classes(&location.nested, server_steps, classes)?;
    }
    Ok(())
}

fn resolve_targets(
    routes: &Routes,
    names: &BTreeMap<String, String>,
) -> Result<HashMap<Arc<str>, SocketAddr>, KeyError> {
    let mut addresses = HashMap::new();
    for target in routes.pools.values().flat_map(|pool| &pool.targets) {
        let text = names.get(&target.address).unwrap_or(&target.address);
        let Ok(address) = text.parse() else {
            let message = format!(
                "{}: no address is given for {}, and names are not looked up",
                target.position, target.address
            );
            return key_error("targets.names", message);
        };
        addresses.insert(Arc::from(target.address.as_str()), address);
    }
    Ok(addresses)
}

impl AjpSection {
    fn check(
        self,
        seed: u64,
    ) -> Result<(Vec<SocketAddr>, server::Settings, Vec<IpAddr>), KeyError> {
        let listen = parse_addresses("ajp.listen", &self.listen)?;
        if let Some(index) = listen
            .iter()
            .position(|address| !address.ip().is_loopback() && self.secret.is_none())
        {
            return key_error(
                format!("ajp.listen[{index}]"),
                format!(
                    "{} is no loopback address, which takes a secret",
                    listen[index]
                ),
            );
        }
        let header = |name: &str| Some(ParameterSource::Header(name.to_owned()));
        let header_names = HeaderNames::default();
        let settings = server::Settings {
            secret: self.secret.map(String::into_bytes),
            packet_size: check_packet_size("ajp.packet_size", self.packet_size)?,
            max_body_bytes: self.max_body,
            packet_timeout: 2_000 * MS,
            body_timeout: 2_000 * MS,
            idle_timeout: 30_000 * MS,
            class_table: ClassTable::default(),
            class_lookup: Some(Arc::new(AnyPath)),
            parameter_sources: ParameterSources {
                id: header(&header_names.id),
                received_at_ms: header(&self.door_header),
                work_ms: header(&header_names.work_ms),
                memory_kb: header(&header_names.memory_kb),
                rank: header(&header_names.rank),
                caller: header(&header_names.caller),
                subject: header(&header_names.subject),
                key: None,
            },
            parameter_defaults: vec![ParameterDefaults {
                expected_work: 0,
                memory_kb: 30.0,
                rank: 0.5,
                caller: 0,
                requires_id: false,
            }],
            id_seed: process_seed(seed),
        };
        Ok((listen, settings, self.trusted_proxies))
    }
}
