//! A matcher on real sockets, round an overload controller that lives inside each server of a fleet.
//!
//! The packages below hold its parts; this one holds what is told to them ([`config`], [`operator`]) and the
//! simulator's wire ([`wire`]).
//!
//! - [`policy`]: the controller, the types it is told in, and the settings object.
//! - [`dispatcher`]: the core round it, without I/O and clock.
//! - [`protocol`]: codecs and connections as state machines.
//! - [`server`]: the event loop and the adapters.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod nginx;
pub mod operator;
pub mod wire;

pub use cleatpulley_dispatcher as dispatcher;
pub use cleatpulley_policy as policy;
pub use cleatpulley_policy::{controller, interface, settings, Controller};
pub use cleatpulley_protocol as protocol;
pub use cleatpulley_server as server;
