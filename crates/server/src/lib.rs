//! The server process: one event loop, and the adapters around the [`Dispatcher`].
//!
//! Each adapter owns the sockets of one kind of peer and translates between bytes and the events
//! and commands of the dispatcher. All adapters reach the operating system through the traits in
//! [`host`], so that the simulator can replace the system under the whole server.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`server`] | the [`Server`]: its parts, and one iteration of its event loop |
//! | [`options`], [`error`] | what a server is constructed from, and why that may fail |
//! | [`socket_owner`] | which adapter a socket belongs to |
//! | [`host`], [`os_host`] | the interface to the operating system, and its real implementation |
//! | [`buffered_connection`], [`tls_layer`] | a stream with its buffers, optionally over TLS |
//! | [`client_listener`] | connections of clients and proxies |
//! | [`runtime_link`] | the connection to the runtime that runs requests |
//! | [`dependency_pool`] | the connections to the dependency that runs call |
//! | [`registry_client`] | periodic reports to the service registry |
//! | [`management_endpoint`], [`status_report`] | readiness, metrics, supervisor reports |
//! | [`hot_restart`], `handover_channel` | taking over, and handing over to a successor |
//! | [`persistence_thread`] | durable idempotency keys and cached results |
//! | [`reputation_store`] | durable reputation of client addresses |
//! | [`gossip`] | membership among the processes of an installation |
//!
//! [`Dispatcher`]: cleatpulley_dispatcher::Dispatcher

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod background_thread;
pub mod buffered_connection;
pub mod client_listener;
pub mod dependency_pool;
pub mod error;
pub mod gossip;
mod handover_channel;
pub mod host;
pub mod hot_restart;
pub mod management_endpoint;
pub mod options;
pub mod os_host;
pub mod persistence_thread;
pub mod registry_client;
pub mod reputation_store;
pub mod runtime_link;
pub mod server;
pub mod socket_owner;
pub mod status_report;
pub mod tls_layer;

pub use options::{AjpOptions, IdempotencyOptions, Options, Reload, ServerUsage, ServiceAddresses};
pub use os_host::serve;
pub use server::Server;
pub use socket_owner::SocketOwner;
