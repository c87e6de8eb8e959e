//! The server process: one event loop, and the adapters around the [`Dispatcher`].
//!
//! Each adapter owns the sockets of one kind of peer and translates between bytes and the
//! dispatcher's events and commands. All adapters reach the operating system through the traits in
//! [`host`], so that the simulator can replace the system under the whole server.
//!
//! | module | contents |
//! | --- | --- |
//! | [`server`] | the [`Server`]: its components, and one iteration of its event loop |
//! | [`options`], [`error`] | construction options of a server, and its error types |
//! | [`socket_owner`] | the adapter that owns a socket |
//! | [`host`], [`os_host`] | the interface to the operating system, and its real implementation |
//! | [`buffered_connection`], [`tls_layer`] | a stream with its buffers, optionally over TLS |
//! | [`client_listener`] | listeners for clients and proxies, and their connections |
//! | [`runtime_link`] | connection to the runtime that executes requests |
//! | [`dependency_pool`] | connection pool to the dependency that runs call |
//! | [`registry_client`] | periodic reports to the service registry |
//! | [`management_endpoint`], [`status_report`] | readiness, metrics, supervisor reports |
//! | [`hot_restart`], `handover_channel` | handover from a predecessor and to a successor |
//! | [`serving_process`] | which process serves, as seen by another program |
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
pub mod serving_process;
pub mod socket_owner;
mod started_ids_file;
pub mod status_report;
pub mod tls_layer;

pub use options::{AjpOptions, IdempotencyOptions, Options, Reload, ServerUsage, ServiceAddresses};
pub use os_host::serve;
pub use server::Server;
pub use socket_owner::SocketOwner;
