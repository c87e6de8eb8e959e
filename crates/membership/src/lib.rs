//! Cluster membership: gossip with suspicion, after SWIM, among the processes of an installation.
//!
//! A [`Membership`] is a state machine without sockets and without a clock: the caller hands it
//! datagrams and the time, and takes outgoing datagrams and [`Event`]s from it. What it reports is
//! a hint, never a fact: a false suspicion may cost capacity, so no decision that has to be correct
//! may rest on it alone.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `membership` | the state machine, over the SWIM implementation of the `foca` library |
//! | `event`, `settings` | what it reports, and its timeouts and limits |
//! | [`identity`] | a process: name, address, role, zone, host and incarnation |
//! | [`incarnation`] | incarnations that are unique across restarts and lost disks |
//! | [`shared_metrics`] | small values of each process, versioned and merged in any order |
//! | [`authentication`] | the shared keys that authenticate every datagram, and their rotation |
//! | `shared_state`, `bounded` | the hooks of the library, with limits on what peers can claim |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod authentication;
mod bounded;
mod event;
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
