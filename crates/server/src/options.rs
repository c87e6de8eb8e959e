//! What a matcher is told, who it talks to, and what it holds.

use super::{secure, store};
use cleatpulley_connection_admission::Settings as Admitting;
use cleatpulley_dispatcher::key_table::Capacity;
use cleatpulley_dispatcher::KeyScope;
use cleatpulley_policy::interface::{Micros, Settings};
use cleatpulley_protocol::ajp;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// The other end of a connection.
#[derive(Debug, Clone, Copy)]
pub enum Party {
    /// A front end, by the number of its connection.
    Front(u64),
    /// The runtime.
    Runtime,
    /// The store, by the number of its connection.
    Store(u64),
    /// The directory, by the number of the connection.
    Directory(u64),
    /// A caller at the operators' address, by the number of its connection.
    Operator(u64),
    /// The process whose place this one takes.
    Predecessor,
    /// The process that takes this one's place.
    Successor,
    /// A target of a gateway, by the number of the connection.
    Target(u64),
}

/// Addresses of the other parties, which may change while the matcher serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parties {
    /// The runtime.
    pub runtime: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// The directory.
    pub lookup: SocketAddr,
}

/// The AJP front.
#[derive(Debug, Clone)]
pub struct AjpFront {
    /// Where proxies connect.
    pub listen: Vec<SocketAddr>,
    /// Proxies whose word on when a request came is believed.
    pub trusted: Vec<IpAddr>,
    /// What its connections share.
    pub settings: ajp::server::Settings,
}

/// Kept results of keyed requests.
#[derive(Debug, Clone)]
pub struct Results {
    /// The folder of their store.
    pub folder: PathBuf,
    /// What is kept outlives the host, and not only the process.
    pub lasting: bool,
    /// By class: whether results are kept.
    pub classes: Vec<bool>,
    /// A request of such a class without a key is not taken.
    pub required: bool,
    /// Whose keys are.
    pub owner: KeyScope,
    /// How much is kept, and for how long.
    pub bounds: Capacity,
    /// Memory that one entry is booked with, in KB.
    pub entry_kb: f64,
    /// The field of frames that carries keys.
    pub frame_field: Option<String>,
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
    pub meets_in: Option<PathBuf>,
    /// Where operators ask how the process is, if anywhere.
    pub mgmt: Option<SocketAddr>,
    /// Where the other parties are.
    pub parties: Parties,
    /// For random numbers.
    pub seed: u64,
    /// Time between the notice to leave and the stop.
    pub stop: Micros,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Names of the classes, by index.
    pub class_names: Vec<String>,
    /// Names of the gauges, in the order that the runtime tells them in.
    pub gauge_names: Vec<String>,
    /// What the controller is told.
    pub settings: Settings,
    /// The AJP front, where there is one.
    pub ajp: Option<AjpFront>,
    /// How the store is called.
    pub store_speaks: store::Speaks,
    /// Kept results, where they are kept.
    pub results: Option<Results>,
    /// Who gets a place, where that is not first come, first served.
    pub admission: Option<Admitting>,
    /// The folder that earned standing is kept in, where it is.
    pub standings: Option<PathBuf>,
    /// TLS, where it is spoken.
    pub tls: Option<secure::TlsFront>,
}

/// Reads the configuration again: the addresses that hold from now on, or what is wrong with it.
pub type Reload = Box<dyn FnMut() -> Result<Parties, String>>;

/// What a matcher holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Census {
    /// Requests that it knows, answered ones whose run is still on among them.
    pub requests: usize,
    /// Requests that owe an answer.
    pub unanswered: usize,
    /// Runs of keyed requests whose end is not kept.
    pub intents: usize,
    /// Requests that connections count as open.
    pub open: usize,
    /// Calls to the store, those that wait for a connection among them.
    pub calls: usize,
    /// Listeners, connections, the pool, the links, and what is kept for later.
    pub descriptors: usize,
    /// Of them, connections of the client side.
    pub connections: usize,
    /// And to the store.
    pub pool: usize,
    /// And of operators, with their listening socket.
    pub asked: usize,
}

impl fmt::Display for Census {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            requests,
            unanswered,
            descriptors,
            connections,
            pool,
            asked,
            ..
        } = self;
        write!(f, "{descriptors} descriptors: {connections} connections, {pool} to the store, {asked} of operators; ")?;
        write!(f, "{requests} requests, {unanswered} unanswered")
    }
}
