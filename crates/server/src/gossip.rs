//! Gossip with the other processes of an installation: the socket under a
//! [`Membership`](cleatpulley_membership::Membership), and the status that is shared with them. All
//! of it is off without its section in the operator file.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `endpoint` | the socket, and the membership over it |
//! | `incarnation_store` | the incarnations that the process has used, on the disk |
//! | `service` | a service that gossips |

mod endpoint;
mod incarnation_store;
mod service;

pub use endpoint::{Gossip, Options, ReloadKeys, LISTENER_NUMBER};
pub use service::ServiceWithGossip;
