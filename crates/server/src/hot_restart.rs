//! Hot restart: the connections to the predecessor, which this process takes over from, and to the
//! successor, which takes over from this process.
//!
//! The state machines of both sides are in `cleatpulley_hot_restart`; this module does their I/O
//! and returns the [`HotRestartStep`]s that the server has to execute.
//!
//! | module | contents |
//! | --- | --- |
//! | `step` | the steps that the server has to execute |
//! | `connections` | the connections, and the listening socket for successors |
//! | `channel_message` | receiving messages on a handover channel |
//! | `predecessor_messages` | messages of the predecessor, and the successor's effects |
//! | `successor_messages` | messages of the successor, and the predecessor's effects |
//! | `earlier_predecessors` | processes that preceded the predecessor |

mod channel_message;
mod connections;
mod earlier_predecessors;
mod predecessor_messages;
mod step;
mod successor_messages;

pub(crate) use connections::ACCEPT_RETRY_INTERVAL;
pub use connections::LISTENER_NUMBER;
pub use step::{HotRestartStep, InheritedListener};

use crate::host::{HandoverAddress, Host};
use crate::socket_owner::SocketOwner;
use cleatpulley_hot_restart::message::MAX_REPUTATION_ENTRIES;
use cleatpulley_hot_restart::predecessor::{self, Predecessor};
use cleatpulley_hot_restart::successor::Successor;
use cleatpulley_hot_restart::{Message, ProcessUsage};
use cleatpulley_policy::interface::Micros;
use connections::{PredecessorConnection, SuccessorConnection, SuccessorListener};
use earlier_predecessors::EarlierPredecessors;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};

/// A listening address of this process, with its socket if there is one.
pub type ListenerEntry<'a, H> = (SocketAddr, Option<&'a <H as Host>::Listener>);

/// Hot restart of a process, as successor and as predecessor.
pub struct HotRestart<H: Host> {
    host: H,
    handover_address: HandoverAddress,
    /// `None` if there was no process to take over from.
    predecessor: Option<PredecessorConnection<H>>,
    /// Machine resources that the predecessor uses.
    predecessor_usage: ProcessUsage,
    earlier_predecessors: EarlierPredecessors<H>,
    successor: SuccessorConnection<H>,
    successor_listener: SuccessorListener<H>,
    /// The search for a predecessor failed, so that one may exist.
    is_predecessor_unknown: bool,
}

impl<H: Host> HotRestart<H> {
    /// Connects to the process to take over from, if there is one, and requests the listeners of
    /// these addresses. The first address identifies the server among the processes.
    #[must_use]
    pub fn new(
        host: H,
        handover_address: HandoverAddress,
        listen_addresses: &[SocketAddr],
    ) -> Self {
        let mut hot_restart = Self {
            host,
            successor: SuccessorConnection {
                protocol: Predecessor::new(&handover_address.name),
                channel: None,
            },
            handover_address,
            predecessor: None,
            predecessor_usage: ProcessUsage::default(),
            earlier_predecessors: EarlierPredecessors::default(),
            successor_listener: SuccessorListener::default(),
            is_predecessor_unknown: false,
        };
        // If the system chooses the port, no other process can have it already.
        if hot_restart.handover_address.address.port() != 0 {
            hot_restart.find_predecessor(listen_addresses);
        }
        hot_restart
    }

    fn find_predecessor(&mut self, listen_addresses: &[SocketAddr]) {
        let connected = self
            .host
            .connect_to_predecessor(&self.handover_address, SocketOwner::Predecessor);
        match connected {
            Ok(channel) => self.begin_takeover(channel, listen_addresses),
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::NotFound | ErrorKind::ConnectionRefused
                ) => {}
            Err(error) => {
                tracing::warn!(%error, "upgrade: failed to connect to the serving process");
                self.is_predecessor_unknown = true;
            }
        }
    }

    fn begin_takeover(&mut self, channel: H::HandoverChannel, listen_addresses: &[SocketAddr]) {
        tracing::info!(
            "upgrade: taking over from the process that serves {}",
            self.handover_address.address
        );
        let now = self.host.now();
        let name = &self.handover_address.name;
        let (protocol, effects) = Successor::new(now, name, listen_addresses.to_vec());
        self.predecessor = Some(PredecessorConnection {
            protocol,
            channel: Some(channel),
            received_sockets: Vec::new(),
        });
        // Only the hello message is sent; if that fails, the first poll finds the channel closed.
        let _ = self.execute_successor_effects(effects, &mut Vec::new());
    }

    /// Returns true if this process accepts clients, and no other process does.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        let predecessor = self.predecessor.as_ref();
        predecessor.is_none_or(|predecessor| predecessor.protocol.is_serving())
            && !self.has_yielded()
    }

    /// Returns true if the search for a predecessor failed: this process may listen in parallel to
    /// one.
    #[must_use]
    pub fn is_predecessor_unknown(&self) -> bool {
        self.is_predecessor_unknown
    }

    /// Returns true if a successor serves the clients.
    #[must_use]
    pub fn has_yielded(&self) -> bool {
        self.successor.protocol.has_handed_over()
    }

    /// Returns true if the successor died and it is not known yet whether another process has taken
    /// over from it: this process may have to accept the pending connections.
    #[must_use]
    pub fn is_orphaned(&self) -> bool {
        self.successor.protocol.is_orphaned()
    }

    /// Ends the search for a process that took over from the lost successor, because this process
    /// stops soon.
    pub fn stop_successor_search(&mut self, now: Micros) {
        self.successor.protocol.end_search(now);
    }

    /// Returns true while a predecessor or an earlier one is still running.
    #[must_use]
    pub fn has_predecessor(&self) -> bool {
        self.has_predecessor_channel() || self.earlier_predecessors.connected_count() > 0
    }

    fn has_predecessor_channel(&self) -> bool {
        let predecessor = self.predecessor.as_ref();
        predecessor.is_some_and(|predecessor| predecessor.channel.is_some())
    }

    /// Returns the number of file descriptors in use: channels, the listening socket for
    /// successors, and the descriptor reserved for a successor.
    #[must_use]
    pub fn descriptor_count(&self) -> usize {
        usize::from(self.has_predecessor_channel())
            + usize::from(self.successor.channel.is_some())
            + self.successor_listener.descriptor_count()
            + self.earlier_predecessors.connected_count()
    }

    /// Listens for successors, which find this process by this address.
    pub fn listen_for_successors(&mut self, address: SocketAddr) {
        self.handover_address.address = address;
        self.successor_listener
            .listen(&self.host, &self.handover_address);
    }

    /// Records that a successor may be pending.
    pub fn on_acceptable(&mut self) {
        self.successor_listener.is_acceptable = true;
    }

    /// Handles the messages of all other processes and expired deadlines; appends the steps that
    /// the server has to execute. `can_serve` tells whether this process can serve requests,
    /// `usage` returns the machine resources that it uses.
    pub fn poll(
        &mut self,
        now: Micros,
        can_serve: bool,
        listeners: &[ListenerEntry<'_, H>],
        usage: impl Fn() -> ProcessUsage,
        steps: &mut Vec<HotRestartStep<H>>,
    ) {
        self.retry_listen_for_successors(now);
        self.read_predecessor(now, steps);
        if steps
            .iter()
            .any(|step| matches!(step, HotRestartStep::AdoptListeners(_)))
        {
            // The clients are requested from the predecessor only after all listeners have been
            // adopted.
            return;
        }
        self.poll_predecessor(now, can_serve, steps);
        self.accept_successors(now, steps);
        if self.successor.protocol.can_accept_peer() {
            self.successor_listener.reserve_descriptor(&self.host, now);
        }
        if self.earlier_predecessors.poll(now, steps) {
            steps.push(HotRestartStep::SetPredecessorUsage(
                self.total_predecessor_usage(),
            ));
        }
        self.read_successor(now, listeners, steps);
        let effects = self.successor.protocol.poll(now, &usage);
        if effects.contains(&predecessor::Effect::Close) {
            tracing::warn!(
                "upgrade: the successor did not take over in time; its connection is closed"
            );
        }
        if effects.contains(&predecessor::Effect::FindServingProcess) {
            return self.find_serving_process(now, listeners, usage, steps);
        }
        self.apply_predecessor_effects(now, effects, listeners, steps);
    }

    fn retry_listen_for_successors(&mut self, now: Micros) {
        let retry_listen_at = self.successor_listener.retry_listen_at;
        if retry_listen_at.is_some_and(|at| now >= at) {
            self.successor_listener.retry_listen_at = None;
            self.listen_for_successors(self.handover_address.address);
        }
    }

    /// Returns the machine resources used by all processes that preceded this one.
    fn total_predecessor_usage(&self) -> ProcessUsage {
        earlier_predecessors::sum(self.predecessor_usage, self.earlier_predecessors.usage())
    }

    /// Handles that not all listeners could be adopted for lack of file descriptors. Returns true
    /// if the handover is retried later and the server has nothing to do until then.
    pub fn on_adoption_failed(&mut self, now: Micros) -> bool {
        let Some(predecessor) = &mut self.predecessor else {
            return false;
        };
        let effects = predecessor.protocol.on_adoption_failed(now);
        let will_retry = !effects.is_empty();
        // The only effect closes the channel, which can't fail.
        let _ = self.execute_successor_effects(effects, &mut Vec::new());
        will_retry
    }

    /// Notifies the successor that it owns the connections now, and sends the learned state and the
    /// reputation.
    pub fn on_connections_yielded(
        &mut self,
        usage: ProcessUsage,
        learned_state: String,
        mut reputation: Vec<(IpAddr, f64)>,
    ) {
        reputation.truncate(MAX_REPUTATION_ENTRIES);
        self.send_to_successor(Message::HandoverComplete {
            usage,
            learned_state,
            reputation,
        });
    }

    /// Notifies the successor of the resources that this process leaves in use when it ends.
    pub fn shutdown(&mut self, usage: ProcessUsage) {
        if self.successor.channel.is_some() && self.has_yielded() {
            self.send_to_successor(Message::UsageReport(usage));
        }
    }

    fn send_to_successor(&mut self, message: Message) {
        let effects = vec![predecessor::Effect::Send(message)];
        self.apply_predecessor_effects(self.host.now(), effects, &[], &mut Vec::new());
    }

    /// Notifies the successor that the persistence of idempotency keys has been released.
    pub fn on_key_persistence_released(&mut self) {
        let effects = self.successor.protocol.on_store_released();
        self.apply_predecessor_effects(self.host.now(), effects, &[], &mut Vec::new());
    }

    /// Returns when [`poll`](Self::poll) is to be called next if no message arrives.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        let predecessor = self.predecessor.as_ref();
        let deadlines = [
            predecessor.and_then(|predecessor| predecessor.protocol.next_deadline()),
            self.successor.protocol.next_deadline(),
            self.successor_listener.next_deadline(),
            self.earlier_predecessors.next_deadline(),
        ];
        deadlines.into_iter().flatten().min()
    }
}

#[cfg(test)]
mod tests;
