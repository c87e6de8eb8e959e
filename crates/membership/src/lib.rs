//! Cluster membership of the processes of an installation: a SWIM gossip protocol with suspicion.
//!
//! A [`Membership`] is a state machine without sockets or a clock: the caller passes received
//! datagrams and the time to it, and takes outgoing datagrams and [`Event`]s from it. Its reports
//! are hints, as a live member may be suspected and declared down: this may cost capacity, but
//! nothing that has to be correct may depend on membership alone.
//!
//! | module | contents |
//! | --- | --- |
//! | `membership` | the state machine, based on the SWIM implementation of the `foca` library |
//! | `event`, `settings` | the events that it reports; its timeouts and limits |
//! | [`identity`] | the identity of a process: name, address, role, zone, host and incarnation |
//! | [`incarnation`] | incarnations that are unique across restarts and lost disks |
//! | [`shared_metrics`] | small versioned values of each process, merged in any order |
//! | [`authentication`] | the shared keys that authenticate every datagram, and their rotation |
//! | `shared_state`, `foca_hooks` | hooks for the library, with limits on the memory used by peers |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod authentication;
mod event;
mod foca_hooks;
pub mod identity;
pub mod incarnation;
mod membership;
mod settings;
pub mod shared_metrics;
mod shared_state;

pub use authentication::{AuthenticationError, KeyRing};
pub use event::{Event, Member};
pub use identity::{Identity, Label, Role};
pub use membership::{Membership, Rejections};
pub use settings::{InvalidSetting, Settings};
pub use shared_metrics::{Metric, MetricKind, SharedMetrics};
