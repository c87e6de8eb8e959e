//! What a server is constructed from, which services it connects to, and what it holds.

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

/// Addresses of the services that the server connects to. They may change while it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceAddresses {
    /// The runtime.
    pub runtime: SocketAddr,
    /// The dependency that runs call.
    pub dependency: SocketAddr,
    /// The service registry.
    pub registry: SocketAddr,
}

/// The addresses on which AJP is spoken.
#[derive(Debug, Clone)]
pub struct AjpOptions {
    /// The addresses that proxies connect to.
    pub listen: Vec<SocketAddr>,
    /// Proxies whose time of receipt of a request is trusted.
    pub trusted_proxies: Vec<IpAddr>,
    /// Settings of all its connections.
    pub settings: ajp::server::Settings,
}

/// Idempotency keys and cached results.
#[derive(Debug, Clone)]
pub struct IdempotencyOptions {
    /// The folder that they are persisted in.
    pub folder: PathBuf,
    /// They outlive the machine, and not only the process.
    pub is_durable: bool,
    /// By request class: whether its requests may have a key.
    pub classes: Vec<bool>,
    /// Requests of these classes without a key are rejected.
    pub required: bool,
    /// Among which requests a key is unique.
    pub scope: KeyScope,
    /// How many keys and results are kept, and for how long.
    pub capacity: KeyTableOptions,
    /// Memory that one key counts for, in KB.
    pub key_entry_kb: f64,
    /// The field of frames that carries the key, where frames may carry one.
    pub key_frame_field: Option<String>,
}

/// The options of a server. The program reads them from its configuration.
#[derive(Debug, Clone)]
pub struct Options {
    /// The name of the server.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// Other processes accept connections there too, and go on when this one shuts down.
    pub shares_listener: bool,
    /// The folder in which the processes of a hot restart meet; without one there is no hot
    /// restart.
    pub handover_folder: Option<PathBuf>,
    /// The address of the management endpoint, if there is one.
    pub management: Option<SocketAddr>,
    /// The services that it connects to.
    pub services: ServiceAddresses,
    /// The seed of its random numbers.
    pub seed: u64,
    /// Time between the request to shut down and the stop, in microseconds.
    pub shutdown_time: Micros,
    /// Limit of descriptors of the process.
    pub max_descriptors: usize,
    /// Names of the request classes, by index.
    pub class_names: Vec<String>,
    /// Names of the gauges, in the order in which the runtime sends them.
    pub gauge_names: Vec<String>,
    /// Settings of the overload controller.
    pub settings: Settings,
    /// Where AJP is spoken, if anywhere.
    pub ajp: Option<AjpOptions>,
    /// The protocol spoken with the dependency.
    pub dependency_protocol: DependencyProtocol,
    /// Idempotency keys, where requests may have them.
    pub idempotency: Option<IdempotencyOptions>,
    /// Who gets a connection slot; without it they go to whoever comes first.
    pub connection_admission: Option<ConnectionAdmission>,
    /// The folder that the reputation of client addresses is persisted in, if it is.
    pub reputation_folder: Option<PathBuf>,
    /// TLS, where it is spoken.
    pub tls: Option<TlsOptions>,
}

/// Reads the configuration again: returns the addresses of the services from now on, or what is
/// wrong with it.
pub type Reload = Box<dyn FnMut() -> Result<ServiceAddresses, ReloadError>>;

/// What a server holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerUsage {
    /// Requests, those among them that have their response while their run goes on.
    pub requests: usize,
    /// Requests whose response is pending.
    pub pending: usize,
    /// Runs of requests with an idempotency key whose result is not persisted.
    pub active_key_runs: usize,
    /// Requests that the connections count as open.
    pub open_requests: usize,
    /// Calls of the dependency, those that wait for a connection among them.
    pub calls: usize,
    /// Descriptors in use: listeners, connections, and those reserved.
    pub descriptors: usize,
    /// Connections of clients among them.
    pub client_connections: usize,
    /// Connections to the dependency among them.
    pub dependency_connections: usize,
    /// Connections of operators among them, with their listener.
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
