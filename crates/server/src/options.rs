//! Construction options of a server, the services that it connects to, and its resource usage.

use crate::dependency_pool::DependencyProtocol;
use crate::error::ReloadError;
use crate::tls_layer::TlsOptions;
use cleatpulley_connection_admission::Settings as ConnectionAdmission;
use cleatpulley_dispatcher::key_table::KeyTableOptions;
use cleatpulley_dispatcher::KeyScope;
use cleatpulley_policy::interface::{Micros, Settings};
use cleatpulley_protocol::ajp;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// Addresses of the services that the server connects to. A reload may change them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceAddresses {
    /// Address of the runtime.
    pub runtime: SocketAddr,
    /// Address of the dependency that runs call.
    pub dependency: SocketAddr,
    /// Address of the service registry.
    pub registry: SocketAddr,
}

/// AJP listeners and their settings.
#[derive(Debug, Clone)]
pub struct AjpOptions {
    /// Listening addresses for proxies.
    pub listen: Vec<SocketAddr>,
    /// Proxies that are trusted to state when they received a request.
    pub trusted_proxies: Vec<IpAddr>,
    /// Settings of all AJP connections.
    pub settings: ajp::server::Settings,
}

/// Options of idempotency keys and cached results.
#[derive(Debug, Clone)]
pub struct IdempotencyOptions {
    /// Folder in which keys and results are persisted.
    pub folder: PathBuf,
    /// Keys and results survive a crash of the machine, not only of the process.
    pub is_durable: bool,
    /// Whether requests of a class may have a key, indexed by request class.
    pub classes: Vec<bool>,
    /// Rejects requests of these classes that have no key.
    pub required: bool,
    /// Scope within which a key is unique.
    pub scope: KeyScope,
    /// Maximum number and lifetime of keys and results.
    pub capacity: KeyTableOptions,
    /// Memory charged for one key, in KB.
    pub key_entry_kb: f64,
    /// Name of the frame field that carries the key; `None` if frames carry no key.
    pub key_frame_field: Option<String>,
}

/// Options of a server, read from the configuration.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the server.
    pub name: String,
    /// Listening address for clients.
    pub listen: SocketAddr,
    /// Other processes accept connections on the same address and continue when this one shuts
    /// down.
    pub shares_listener: bool,
    /// Folder of the sockets by which the processes of a hot restart find each other; `None`
    /// disables hot restart.
    pub handover_folder: Option<PathBuf>,
    /// Address of the management endpoint, if enabled.
    pub management: Option<SocketAddr>,
    /// Addresses of the services that the server connects to.
    pub services: ServiceAddresses,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Time between the shutdown request and the stop, in microseconds.
    pub shutdown_time: Micros,
    /// Maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// Maximum memory of the incomplete requests of all clients, in bytes.
    pub max_buffered_bytes: usize,
    /// Names of the request classes, by index.
    pub class_names: Vec<String>,
    /// Names of the gauges, in the order in which the runtime sends them.
    pub gauge_names: Vec<String>,
    /// Settings of the overload controller.
    pub settings: Settings,
    /// AJP listeners, if any.
    pub ajp: Option<AjpOptions>,
    /// Protocol of the connections to the dependency.
    pub dependency_protocol: DependencyProtocol,
    /// Options of idempotency keys; `None` if requests have no keys.
    pub idempotency: Option<IdempotencyOptions>,
    /// Admission of connections; without it, connection slots are assigned first come, first
    /// served.
    pub connection_admission: Option<ConnectionAdmission>,
    /// Folder in which the reputation of client addresses is persisted, if enabled.
    pub reputation_folder: Option<PathBuf>,
    /// TLS options, if any listener uses TLS.
    pub tls: Option<TlsOptions>,
}

/// Reloads the configuration: returns the new service addresses, or the error in the configuration.
pub type Reload = Box<dyn FnMut() -> Result<ServiceAddresses, ReloadError>>;

/// Resources that a server holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerUsage {
    /// Requests, including those that have their response while their run continues.
    pub requests: usize,
    /// Requests without a response yet.
    pub pending: usize,
    /// Runs of requests with an idempotency key whose result is not persisted yet.
    pub active_key_runs: usize,
    /// Open requests, as counted by the connections.
    pub open_requests: usize,
    /// Calls of the dependency, including those that wait for a connection.
    pub calls: usize,
    /// File descriptors in use: listeners, connections and reserved descriptors.
    pub descriptors: usize,
    /// Client connections, included in `descriptors`.
    pub client_connections: usize,
    /// Connections to the dependency, included in `descriptors`.
    pub dependency_connections: usize,
    /// Connections of operators and their listener, included in `descriptors`.
    pub management_connections: usize,
}

impl fmt::Display for ServerUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} descriptors: {} connections, {} to the dependency, {} of operators; ",
            self.descriptors,
            self.client_connections,
            self.dependency_connections,
            self.management_connections
        )?;
        write!(f, "{} requests, {} pending", self.requests, self.pending)
    }
}
