//! Effects of calls to the SWIM library, which the state machine applies.

use crate::identity::Identity;
use cleatpulley_policy::interface::Micros;
use foca::{Notification, Runtime, Timer};
use std::net::SocketAddr;
use std::time::Duration;

/// Effects of one call, collected during the call and applied afterwards.
#[derive(Default)]
pub(super) struct Effects {
    /// Gossip to send, each message with its destination.
    pub(super) gossip: Vec<(SocketAddr, Vec<u8>)>,
    /// Timers to start.
    pub(super) timers: Vec<DelayedTimer>,
    /// Whether the set of members may have changed.
    pub(super) members_changed: bool,
    /// Whether other processes have declared this one down.
    pub(super) is_declared_down: bool,
}

/// A timer of the library that is to be started.
pub(super) struct DelayedTimer {
    pub(super) delay: Micros,
    pub(super) timer: Timer<Identity>,
}

impl Runtime<Identity> for Effects {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::MemberUp(_) | Notification::MemberDown(_) | Notification::Rename(..) => {
                self.members_changed = true;
            }
            Notification::Defunct => self.is_declared_down = true,
            Notification::Active | Notification::Idle | Notification::Rejoin(_) => {}
        }
    }

    fn send_to(&mut self, recipient: Identity, data: &[u8]) {
        self.gossip.push((recipient.address, data.to_vec()));
    }

    fn submit_after(&mut self, timer: Timer<Identity>, delay: Duration) {
        let delay = Micros::try_from(delay.as_micros()).unwrap_or(Micros::MAX);
        self.timers.push(DelayedTimer { delay, timer });
    }
}
