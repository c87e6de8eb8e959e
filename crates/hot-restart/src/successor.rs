//! The process that is to succeed one that serves.

use crate::message::{Message, ProcessUsage, PROTOCOL_VERSION};
use cleatpulley_policy::interface::Micros;
use std::net::{IpAddr, SocketAddr};

/// The predecessor answers within this time, or the successor continues without it.
pub const ANSWER_TIMEOUT: Micros = 2_000_000;
/// Delay before a predecessor that rejected this process is asked again: it may have been busy with
/// another successor.
const RETRY_DELAY: Micros = 100_000;
/// After this time since its start the successor asks no predecessor again.
const RETRY_TIME: Micros = 3_000_000;
/// A predecessor that is lost before it has passed anything may have had a predecessor itself, which
/// accepts again within this time. Listening anew at once would abandon that process's queue.
const PREDECESSOR_SEARCH_TIME: Micros = 400_000;
/// The interval of that search.
const PREDECESSOR_SEARCH_INTERVAL: Micros = 25_000;

/// What the adapter is to do, in the order returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send this message on the connection.
    Send(Message),
    /// Use the sockets that came with the message as the listeners of these addresses; listen on
    /// the other addresses.
    AdoptListeners(Vec<SocketAddr>),
    /// No socket was passed: listen on all addresses, also while the predecessor does.
    BindAllListeners,
    /// Accept connections from here on.
    StartAccepting,
    /// Open the store of idempotency keys: the predecessor has closed it, or is gone.
    OpenStore,
    /// The predecessor still uses so much.
    SetPredecessorUsage(ProcessUsage),
    /// Restore this learned state, encoded as a [`snapshot`](crate::snapshot).
    RestoreLearnedState(String),
    /// Import the reputation of these clients, with their points.
    ImportReputation(Vec<(IpAddr, f64)>),
    /// Connect to the predecessor again; call [`on_connected`](Successor::on_connected) or
    /// [`on_disconnected`](Successor::on_disconnected) with the outcome.
    Reconnect,
    /// Close the connection to the predecessor.
    Close,
    /// The predecessor is gone, but what it used may not be free yet.
    PredecessorLost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Hello was sent.
    AwaitingOffer { expires_at: Micros },
    /// The connection is closed, and is opened again at this time.
    AwaitingRetry { retry_at: Micros },
    /// The listening sockets are here; the runtime is not up yet.
    ListenersAdopted,
    /// The predecessor was asked to stop accepting.
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
    /// When the predecessor was first lost before it had passed anything.
    predecessor_lost_at: Option<Micros>,
}

impl Successor {
    /// Creates the successor's side, just connected to its predecessor, for a server of this name
    /// that wants to listen on these addresses. Returns it with what it does first.
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
        };
        let effects = successor.on_connected(now);
        (successor, effects)
    }

    /// Returns whether this process accepts connections.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.state == State::Serving
    }

    /// Notifies of a new connection to the predecessor.
    pub fn on_connected(&mut self, now: Micros) -> Vec<Effect> {
        self.state = State::AwaitingOffer {
            expires_at: now + ANSWER_TIMEOUT,
        };
        vec![Effect::Send(self.hello.clone())]
    }

    /// Handles a message of the predecessor that came with so many sockets.
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
                vec![Effect::AdoptListeners(addresses)]
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
            // A handover that came after its timeout still reports what the predecessor uses.
            (
                State::Serving,
                Message::HandoverComplete { usage, .. } | Message::UsageReport(usage),
            ) => {
                vec![Effect::SetPredecessorUsage(usage)]
            }
            // A predecessor that follows the protocol sends nothing else, and one that offers no
            // socket has nothing to hand over.
            _ => self.continue_without_predecessor(),
        }
    }

    /// Returns whether as many sockets came as addresses were offered, at least one, and each
    /// offered address was asked for.
    fn is_offer_acceptable(&self, offered: &[SocketAddr], socket_count: usize) -> bool {
        let Message::Hello { addresses, .. } = &self.hello else {
            return false;
        };
        socket_count > 0
            && socket_count == offered.len()
            && offered.iter().all(|address| addresses.contains(address))
    }

    fn may_retry(&self, now: Micros) -> bool {
        now < self.started_at + RETRY_TIME
    }

    fn schedule_retry(&mut self, retry_at: Micros) -> Vec<Effect> {
        self.state = State::AwaitingRetry { retry_at };
        vec![Effect::Close]
    }

    /// The predecessor has stopped accepting: takes its learned state and reputation up, and
    /// serves.
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

    /// Notifies that the connection is lost, could not be made again, or that a packet on it could
    /// not be decoded.
    pub fn on_disconnected(&mut self, now: Micros) -> Vec<Effect> {
        match self.state {
            State::AwaitingOffer { .. } | State::AwaitingRetry { .. } => {
                let lost_at = *self.predecessor_lost_at.get_or_insert(now);
                if now < lost_at + PREDECESSOR_SEARCH_TIME {
                    self.schedule_retry(now + PREDECESSOR_SEARCH_INTERVAL)
                } else {
                    self.continue_without_predecessor()
                }
            }
            State::ListenersAdopted | State::AwaitingHandover { .. } | State::Serving => {
                self.continue_without_predecessor()
            }
        }
    }

    /// Notifies that the sockets passed could not be adopted for want of file descriptors: the
    /// predecessor continues to serve, and is asked again. Returns nothing if this process keeps
    /// what it could adopt instead.
    pub fn on_adoption_failed(&mut self, now: Micros) -> Vec<Effect> {
        if !self.may_retry(now) || self.state != State::ListenersAdopted {
            return Vec::new();
        }
        self.schedule_retry(now + RETRY_DELAY)
    }

    /// Serves, whatever becomes of the predecessor.
    fn continue_without_predecessor(&mut self) -> Vec<Effect> {
        let effects = match self.state {
            State::AwaitingOffer { .. } | State::AwaitingRetry { .. } => vec![
                Effect::Close,
                Effect::BindAllListeners,
                Effect::OpenStore,
                Effect::StartAccepting,
            ],
            // The listening sockets are here, and nobody else accepts from them.
            State::ListenersAdopted | State::AwaitingHandover { .. } => {
                vec![Effect::Close, Effect::OpenStore, Effect::StartAccepting]
            }
            State::Serving => vec![Effect::Close, Effect::OpenStore, Effect::PredecessorLost],
        };
        self.state = State::Serving;
        effects
    }

    /// Does what is due by now; `is_ready` tells whether requests can run.
    pub fn poll(&mut self, now: Micros, is_ready: bool) -> Vec<Effect> {
        match self.state {
            State::ListenersAdopted if is_ready => {
                self.state = State::AwaitingHandover {
                    expires_at: now + ANSWER_TIMEOUT,
                };
                vec![Effect::Send(Message::HandoverRequest {})]
            }
            State::AwaitingRetry { retry_at } if now >= retry_at => vec![Effect::Reconnect],
            State::AwaitingOffer { expires_at } if now >= expires_at => {
                self.continue_without_predecessor()
            }
            // The predecessor hangs: both accept from the same queue.
            State::AwaitingHandover { expires_at } if now >= expires_at => {
                self.state = State::Serving;
                vec![Effect::StartAccepting]
            }
            _ => Vec::new(),
        }
    }

    /// Returns the time at which [`poll`](Self::poll) has something to do next, unless a message
    /// comes before.
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
