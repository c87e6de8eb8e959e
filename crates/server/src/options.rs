//! What a matcher is told, who it talks to, and what it holds.

use super::{dependency_pool, tls_layer};
use cleatpulley_connection_admission::Settings as Admitting;
use cleatpulley_dispatcher::key_table::Capacity;
use cleatpulley_dispatcher::KeyScope;
use cleatpulley_policy::interface::{Micros, Settings};
use cleatpulley_protocol::ajp;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// The part of the server that a socket belongs to.
#[derive(Debug, Clone, Copy)]
pub enum SocketOwner {
    /// A connection of the client side, by its number.
    ClientConnection(u64),
    /// The connection to the runtime.
    Runtime,
    /// A connection to the dependency, by its number.
    Dependency(u64),
    /// A connection to the service registry, by its number.
    Registry(u64),
    /// A connection to the management endpoint, by its number.
    Management(u64),
    /// The handover channel to the predecessor.
    Predecessor,
    /// The handover channel to the successor.
    Successor,
    /// A connection of a gateway to a target, by its number.
    GatewayTarget(u64),
}

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

/// The AJP front.
#[derive(Debug, Clone)]
pub struct AjpOptions {
    /// Where proxies connect.
    pub listen: Vec<SocketAddr>,
    /// Proxies whose word on when a request came is believed.
    pub trusted: Vec<IpAddr>,
    /// What its connections share.
    pub settings: ajp::server::Settings,
}

/// Kept results of keyed requests.
#[derive(Debug, Clone)]
pub struct IdempotencyOptions {
    /// The folder of their store.
    pub folder: PathBuf,
    /// What is kept outlives the host, and not only the process.
    pub is_durable: bool,
    /// By class: whether results are kept.
    pub classes: Vec<bool>,
    /// A request of such a class without a key is not taken.
    pub required: bool,
    /// Whose keys are.
    pub scope: KeyScope,
    /// How much is kept, and for how long.
    pub capacity: Capacity,
    /// Memory that one entry is booked with, in KB.
    pub key_entry_kb: f64,
    /// The field of frames that carries keys.
    pub key_frame_field: Option<String>,
}

/// All that a matcher is told at its start; where it comes from is the program's affair.
#[derive(Debug, Clone)]
pub struct Options {
    /// The matcher's name.
    pub name: String,
    /// Where front ends connect.
    pub listen: SocketAddr,
    /// Other processes accept there too, and go on when this one leaves.
    pub shares_listener: bool,
    /// The folder in which it meets the process whose place it takes, and the one that takes its own; without one it
    /// meets none.
    pub handover_folder: Option<PathBuf>,
    /// Where operators ask how the process is, if anywhere.
    pub management: Option<SocketAddr>,
    /// Where the other parties are.
    pub services: ServiceAddresses,
    /// For random numbers.
    pub seed: u64,
    /// Time between the notice to leave and the stop.
    pub shutdown_time: Micros,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Names of the classes, by index.
    pub class_names: Vec<String>,
    /// Names of the gauges, in the order that the runtime tells them in.
    pub gauge_names: Vec<String>,
    /// What the controller is told.
    pub settings: Settings,
    /// The AJP front, where there is one.
    pub ajp: Option<AjpOptions>,
    /// How the store is called.
    pub dependency_protocol: dependency_pool::DependencyProtocol,
    /// Kept results, where they are kept.
    pub idempotency: Option<IdempotencyOptions>,
    /// Who gets a place, where that is not first come, first served.
    pub connection_admission: Option<Admitting>,
    /// The folder that earned standing is kept in, where it is.
    pub reputation_folder: Option<PathBuf>,
    /// TLS, where it is spoken.
    pub tls: Option<tls_layer::TlsOptions>,
}

/// Reads the configuration again: the addresses that hold from now on, or what is wrong with it.
pub type Reload = Box<dyn FnMut() -> Result<ServiceAddresses, String>>;

/// What a matcher holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerUsage {
    /// Requests that it knows, answered ones whose run is still on among them.
    pub requests: usize,
    /// Requests that owe an answer.
    pub pending: usize,
    /// Runs of keyed requests whose end is not kept.
    pub active_key_runs: usize,
    /// Requests that connections count as open.
    pub open_requests: usize,
    /// Calls to the store, those that wait for a connection among them.
    pub calls: usize,
    /// Listeners, connections, the pool, the links, and what is kept for later.
    pub descriptors: usize,
    /// Of them, connections of the client side.
    pub client_connections: usize,
    /// And to the store.
    pub dependency_connections: usize,
    /// And of operators, with their listening socket.
    pub management_connections: usize,
}

impl fmt::Display for ServerUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            requests,
            pending: unanswered,
            descriptors,
            client_connections: connections,
            dependency_connections: pool,
            management_connections: asked,
            ..
        } = self;
        write!(f, "{descriptors} descriptors: {connections} connections, {pool} to the store, {asked} of operators; ")?;
        write!(f, "{requests} requests, {unanswered} unanswered")
    }
}
