//! The instance of the SWIM library, with its hooks and the state shared with them.

use crate::foca_hooks::{BoundedCodec, MetricBroadcastHandler};
use crate::identity::{Identity, Label};
use crate::settings::Settings;
use crate::shared_state::SharedState;
use foca::{Foca, State};
use rand_gossip::rngs::SmallRng;
use rand_gossip::SeedableRng;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Name in the identity of a contact whose address only is known.
const UNKNOWN_NAME: &str = "?";

type FocaInstance = Foca<Identity, BoundedCodec, SmallRng, MetricBroadcastHandler>;

/// The library's instance with its settings.
pub(super) struct Swim {
    pub(super) foca: FocaInstance,
    pub(super) shared: Rc<RefCell<SharedState>>,
    pub(super) settings: Settings,
    seed: u64,
}

impl Swim {
    pub(super) fn new(identity: Identity, settings: Settings, seed: u64) -> Self {
        let shared = SharedState::new(identity.clone(), settings.max_members);
        let shared = Rc::new(RefCell::new(shared));
        Self {
            foca: new_foca(identity, &settings, &shared, seed),
            shared,
            settings,
            seed,
        }
    }

    /// Replaces the instance by one that knows no other processes.
    pub(super) fn reset(&mut self) {
        let identity = self.foca.identity().clone();
        self.foca = new_foca(identity, &self.settings, &self.shared, self.seed);
    }

    /// Returns the identities of the members, including suspected ones.
    pub(super) fn members(&self) -> impl Iterator<Item = &Identity> {
        self.foca.iter_members().map(foca::Member::id)
    }

    /// Returns the addresses of the members, and of processes that are down and still remembered.
    pub(super) fn known_addresses(&self) -> BTreeSet<SocketAddr> {
        self.foca
            .iter_membership_state()
            .map(|member| member.id().address)
            .collect()
    }

    /// Returns whether an identity is known to be down, or to be replaced by another one at its
    /// address.
    pub(super) fn is_down(&self, identity: &Identity) -> bool {
        let known = self
            .foca
            .iter_membership_state()
            .find(|member| member.id().address == identity.address);
        known.is_some_and(|known| {
            let is_replaced = known.id().precedence() > identity.precedence();
            is_replaced || (known.id() == identity && known.state() == State::Down)
        })
    }

    /// Returns whether more processes are remembered as down than there are members.
    pub(super) fn has_lost_majority(&self) -> bool {
        let down = self
            .foca
            .iter_membership_state()
            .filter(|member| member.state() == State::Down)
            .count();
        down > self.foca.num_members()
    }

    /// Returns a placeholder identity for a contact whose address only is known. The library sends
    /// to the address, and learns the identity from the reply.
    pub(super) fn identity_of_contact(&self, address: SocketAddr) -> Identity {
        let own = self.foca.identity();
        let name = Label::try_from(UNKNOWN_NAME.to_owned()).unwrap_or_else(|_| own.name.clone());
        Identity {
            name,
            incarnation: 0,
            boot_id: 0,
            address,
            ..own.clone()
        }
    }
}

fn new_foca(
    identity: Identity,
    settings: &Settings,
    shared: &Rc<RefCell<SharedState>>,
    seed: u64,
) -> FocaInstance {
    let codec = BoundedCodec {
        shared: shared.clone(),
    };
    let broadcasts = MetricBroadcastHandler {
        shared: shared.clone(),
    };
    // Each incarnation probes in a different random order.
    let random = SmallRng::seed_from_u64(seed ^ identity.incarnation.rotate_left(32));
    Foca::with_custom_broadcast(identity, settings.foca_config(), random, codec, broadcasts)
}
