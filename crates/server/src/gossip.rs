//! Gossip with the other processes of an installation: the socket under a
//! [`Membership`](cleatpulley_membership::Membership), and the status shared with them. Gossip is
//! disabled unless the operator file has a section for it.
//!
//! | module | contents |
//! | --- | --- |
//! | `endpoint` | the socket, and the membership over it |
//! | `incarnation_store` | the persisted mark of used incarnations |
//! | `service` | a service combined with gossip |

mod endpoint;
mod incarnation_store;
mod service;

pub use endpoint::{Gossip, Options, ReloadKeys, LISTENER_NUMBER};
pub use service::ServiceWithGossip;
