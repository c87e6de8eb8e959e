//! State machine of the process that succeeds the serving one.

use crate::message::{Message, ProcessUsage, PROTOCOL_VERSION};
use cleatpulley_policy::interface::Micros;
use std::net::{IpAddr, SocketAddr};

/// Time within which the predecessor has to respond; the successor continues without it otherwise.
pub const RESPONSE_TIMEOUT: Micros = 2_000_000;
/// Delay before a retry with a predecessor that rejected this process: it may have been busy with
/// another successor.
const RETRY_DELAY: Micros = 100_000;
/// Delay before a retry with a predecessor that rejected this process after it had passed its
/// sockets: it serves, and another successor may be connected to it.
const REJECTED_AGAIN_RETRY_DELAY: Micros = 1_000_000;
/// Time since the start of the successor during which it retries with a predecessor that rejected
/// it or whose sockets it could not adopt.
const RETRY_PERIOD: Micros = 3_000_000;
/// Duration of the search for an earlier predecessor: if the predecessor is lost before it has
/// passed its sockets, it may have had a predecessor itself, which accepts again within this time.
/// Binding new listeners at once would abandon the connections in that process's queue.
const PREDECESSOR_SEARCH_TIME: Micros = 400_000;
/// Interval between attempts to connect during that search.
const PREDECESSOR_SEARCH_INTERVAL: Micros = 25_000;

/// An action for the adapter. Effects are executed in the order in which they are returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send this message on the connection.
    Send(Message),
    /// Use the sockets that were passed with the message as listeners of these addresses, and bind
    /// new listeners for the other addresses.
    AdoptListeners(Vec<SocketAddr>),
    /// Bind new listeners for all addresses, even if the predecessor still listens on them: no
    /// socket was passed.
    BindAllListeners,
    /// Accept connections from here on.
    StartAccepting,
    /// Open the store of idempotency keys: the predecessor has closed it, or is gone.
    OpenStore,
    /// Set the resources that the predecessor still uses.
    SetPredecessorUsage(ProcessUsage),
    /// Restore this learned state, encoded as a [`snapshot`](crate::snapshot).
    RestoreLearnedState(String),
    /// Import the reputation of these clients, with their points.
    ImportReputation(Vec<(IpAddr, f64)>),
    /// Connect to the predecessor again, then call [`on_connected`](Successor::on_connected) or
    /// [`on_disconnected`](Successor::on_disconnected).
    Reconnect,
    /// Close the connection to the predecessor.
    Close,
    /// Note that the predecessor is lost; the resources that it used may not be free yet.
    PredecessorLost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// [`Message::Hello`] was sent.
    AwaitingOffer { expires_at: Micros },
    /// The connection is closed; a new one is made at this time.
    AwaitingRetry { retry_at: Micros },
    /// The listening sockets were adopted; the runtime is not ready yet.
    ListenersAdopted,
    /// [`Message::HandoverRequest`] was sent.
    AwaitingHandover { expires_at: Micros },
    /// This process accepts connections.
    Serving,
}

/// The successor's side of a hot restart.
#[derive(Debug)]
pub struct Successor {
    /// Sent on each new connection to the predecessor.
    hello: Message,
    state: State,
    started_at: Micros,
    /// When the predecessor was first lost before it had passed its sockets.
    predecessor_lost_at: Option<Micros>,
    /// The predecessor has passed its sockets, on this connection or on an earlier one.
    has_listeners: bool,
}

impl Successor {
    /// Creates the successor's side, just connected to its predecessor, for a server with this name
    /// that listens on these addresses. Returns it with its first effects.
    #[must_use]
    pub fn new(now: Micros, name: &str, addresses: Vec<SocketAddr>) -> (Self, Vec<Effect>) {
        let hello = Message::Hello {
            version: PROTOCOL_VERSION,
            name: name.to_owned(),
            addresses,
        };
        let mut successor = Self {
            hello,
            state: State::Serving,
            started_at: now,
            predecessor_lost_at: None,
            has_listeners: false,
        };
        let effects = successor.on_connected(now);
        (successor, effects)
    }

    /// Returns whether this process accepts connections.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.state == State::Serving
    }

    /// Handles a new connection to the predecessor.
    pub fn on_connected(&mut self, now: Micros) -> Vec<Effect> {
        self.state = State::AwaitingOffer {
            expires_at: now + RESPONSE_TIMEOUT,
        };
        vec![Effect::Send(self.hello.clone())]
    }

    /// Handles a message of the predecessor that was received with this number of sockets.
    pub fn on_message(
        &mut self,
        now: Micros,
        message: Message,
        socket_count: usize,
    ) -> Vec<Effect> {
        match (self.state, message) {
            (
                State::AwaitingOffer { .. },
                Message::ListenerOffer {
                    version: PROTOCOL_VERSION,
                    addresses,
                },
            ) if self.is_offer_acceptable(&addresses, socket_count) => {
                self.state = State::ListenersAdopted;
                self.has_listeners = true;
                vec![Effect::AdoptListeners(addresses)]
            }
            (State::AwaitingOffer { .. }, Message::Rejected { .. }) if self.has_listeners => {
                self.schedule_retry(now + REJECTED_AGAIN_RETRY_DELAY)
            }
            (State::AwaitingOffer { .. }, Message::Rejected { .. }) if self.may_retry(now) => {
                self.schedule_retry(now + RETRY_DELAY)
            }
            (
                State::AwaitingHandover { .. },
                Message::HandoverComplete {
                    usage,
                    learned_state,
                    reputation,
                },
            ) => self.take_over(usage, learned_state, reputation),
            (State::Serving | State::AwaitingHandover { .. }, Message::StoreReleased {}) => {
                vec![Effect::OpenStore]
            }
            // A handover received after its timeout still reports the usage of the predecessor.
            (
                State::Serving,
                Message::HandoverComplete { usage, .. } | Message::UsageReport(usage),
            ) => {
                vec![Effect::SetPredecessorUsage(usage)]
            }
            // A protocol violation, a rejection that is not retried, or an unacceptable offer: a
            // predecessor that offers no socket has nothing to hand over.
            _ => self.continue_without_predecessor(),
        }
    }

    /// Returns whether the number of sockets is that of the offered addresses and not zero, and
    /// each offered address was requested.
    fn is_offer_acceptable(&self, offered: &[SocketAddr], socket_count: usize) -> bool {
        let Message::Hello { addresses, .. } = &self.hello else {
            return false;
        };
        socket_count > 0
            && socket_count == offered.len()
            && offered.iter().all(|address| addresses.contains(address))
    }

    fn may_retry(&self, now: Micros) -> bool {
        now < self.started_at + RETRY_PERIOD
    }

    fn schedule_retry(&mut self, retry_at: Micros) -> Vec<Effect> {
        self.state = State::AwaitingRetry { retry_at };
        vec![Effect::Close]
    }

    /// Starts to serve with the learned state and reputation of the predecessor, which has stopped
    /// accepting.
    fn take_over(
        &mut self,
        usage: ProcessUsage,
        learned_state: String,
        reputation: Vec<(IpAddr, f64)>,
    ) -> Vec<Effect> {
        self.state = State::Serving;
        let mut effects = Vec::new();
        if !learned_state.is_empty() {
            effects.push(Effect::RestoreLearnedState(learned_state));
        }
        if !reputation.is_empty() {
            effects.push(Effect::ImportReputation(reputation));
        }
        effects.push(Effect::SetPredecessorUsage(usage));
        effects.push(Effect::StartAccepting);
        effects
    }

    /// Handles a lost connection, a failed attempt to reconnect, or a packet that could not be
    /// decoded.
    pub fn on_disconnected(&mut self, now: Micros) -> Vec<Effect> {
        match self.state {
            State::AwaitingOffer { .. } | State::AwaitingRetry { .. } if !self.has_listeners => {
                let lost_at = *self.predecessor_lost_at.get_or_insert(now);
                if now < lost_at + PREDECESSOR_SEARCH_TIME {
                    self.schedule_retry(now + PREDECESSOR_SEARCH_INTERVAL)
                } else {
                    self.continue_without_predecessor()
                }
            }
            // The predecessor may have closed the connection because the handover took too long, and
            // serve. Only if it can't be connected to is it gone.
            State::ListenersAdopted | State::AwaitingHandover { .. } => self.schedule_retry(now),
            State::AwaitingOffer { .. } | State::AwaitingRetry { .. } | State::Serving => {
                self.continue_without_predecessor()
            }
        }
    }

    /// Handles a shortage of file descriptors, because of which the passed sockets could not be
    /// adopted: the predecessor continues to serve, and the request is retried later. Returns no
    /// effects if this process is to continue with the sockets that it could adopt instead.
    pub fn on_adoption_failed(&mut self, now: Micros) -> Vec<Effect> {
        if !self.may_retry(now) || self.state != State::ListenersAdopted {
            return Vec::new();
        }
        self.has_listeners = false;
        self.schedule_retry(now + RETRY_DELAY)
    }

    /// Starts to serve, or continues to, independently of the predecessor.
    fn continue_without_predecessor(&mut self) -> Vec<Effect> {
        let effects = match self.state {
            State::AwaitingOffer { .. } | State::AwaitingRetry { .. } if !self.has_listeners => {
                vec![
                    Effect::Close,
                    Effect::BindAllListeners,
                    Effect::OpenStore,
                    Effect::StartAccepting,
                ]
            }
            // The listening sockets were adopted, and no other process accepts from them.
            State::AwaitingOffer { .. }
            | State::AwaitingRetry { .. }
            | State::ListenersAdopted
            | State::AwaitingHandover { .. } => {
                vec![Effect::Close, Effect::OpenStore, Effect::StartAccepting]
            }
            State::Serving => vec![Effect::Close, Effect::OpenStore, Effect::PredecessorLost],
        };
        self.state = State::Serving;
        effects
    }

    /// Handles expired deadlines, and requests the handover once `is_ready`: whether the runtime
    /// can run requests.
    pub fn poll(&mut self, now: Micros, is_ready: bool) -> Vec<Effect> {
        match self.state {
            State::ListenersAdopted if is_ready => {
                self.state = State::AwaitingHandover {
                    expires_at: now + RESPONSE_TIMEOUT,
                };
                vec![Effect::Send(Message::HandoverRequest {})]
            }
            State::AwaitingRetry { retry_at } if now >= retry_at => vec![Effect::Reconnect],
            State::AwaitingOffer { expires_at } if now >= expires_at => {
                self.continue_without_predecessor()
            }
            // The predecessor hangs: both processes accept from the same queue.
            State::AwaitingHandover { expires_at } if now >= expires_at => {
                self.state = State::Serving;
                vec![Effect::StartAccepting]
            }
            _ => Vec::new(),
        }
    }

    /// Returns the next deadline, at which [`poll`](Self::poll) has to be called.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        match self.state {
            State::AwaitingOffer { expires_at } | State::AwaitingHandover { expires_at } => {
                Some(expires_at)
            }
            State::AwaitingRetry { retry_at } => Some(retry_at),
            State::ListenersAdopted | State::Serving => None,
        }
    }
}

#[cfg(test)]
mod tests;
