//! A matcher with an overload controller in each server of a fleet.
//!
//! Its parts are in the packages below. This package reads their settings ([`config`], [`operator`],
//! [`nginx`]) and has the protocol of the simulator adapter ([`wire`]).
//!
//! - [`policy`]: the overload controller, its events and actions, and its settings.
//! - [`dispatcher`]: the core of a server around the controller, without I/O and clock.
//! - [`protocol`]: codecs, and connections as state machines.
//! - [`server`]: the event loop and its adapters.

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
