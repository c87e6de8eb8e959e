//! State machine of the serving process, which hands over to its successor.

use crate::message::{Message, ProcessUsage, PROTOCOL_VERSION};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use std::net::SocketAddr;

/// Time within which a connected successor has to send [`Message::Hello`], and one that has the
/// listening sockets has to send [`Message::HandoverRequest`], as its runtime may become ready
/// late. Its connection is closed otherwise.
pub const HANDOVER_TIMEOUT: Micros = 10_000_000;
/// Interval at which a draining predecessor reports the resources that it still uses.
pub const USAGE_REPORT_INTERVAL: Micros = 50_000;
/// Duration of the search of an orphaned predecessor (one whose successor died) for a process that
/// serves now. A process that was about to succeed the dead one starts to serve within
/// milliseconds. No process accepts during the search, so it has to be too short for clients to
/// notice.
pub const ORPHAN_SEARCH_TIME: Micros = 50_000;
/// Interval between attempts during that search.
const ORPHAN_SEARCH_INTERVAL: Micros = 5_000;

/// An action for the adapter. Effects are executed in the order in which they are returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send this message on the connection.
    Send(Message),
    /// Send this [`Message::ListenerOffer`] together with the listening sockets of its addresses.
    SendWithListeners(Message),
    /// Stop accepting, ask clients to reconnect, then send [`Message::HandoverComplete`].
    StopAccepting,
    /// Accept connections again: there is no successor any more.
    ResumeAccepting,
    /// Close the connection.
    Close,
    /// Try to connect to the process that serves now; if that succeeds, call
    /// [`on_serving_process_found`](Predecessor::on_serving_process_found).
    FindServingProcess,
    /// Keep the connection of the peer, which is an earlier predecessor, and set the resources that
    /// it still uses.
    AttachEarlierPredecessor(ProcessUsage),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No peer is connected.
    Idle,
    /// A peer has connected and has sent no message yet.
    Connected { expires_at: Micros },
    /// The successor has the listening sockets, but does not accept yet.
    ListenersPassed { expires_at: Micros },
    /// The successor accepts; this process drains.
    HandedOver { report_at: Micros },
    /// The successor died after the handover. Another process may be serving now.
    Orphaned {
        resume_at: Micros,
        search_at: Micros,
    },
}

/// The predecessor's side of a hot restart.
#[derive(Debug)]
pub struct Predecessor {
    /// The name of the server.
    name: String,
    state: State,
    /// When the current search for a serving process began. It bounds the search even if processes
    /// are found that then turn out not to be serving.
    orphaned_at: Option<Micros>,
}

impl Predecessor {
    /// Creates the predecessor's side for a server of this name, with no successor yet.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            state: State::Idle,
            orphaned_at: None,
        }
    }

    /// Returns whether this process has handed over and accepts no connections. Also true while it
    /// is orphaned and searches for another process.
    #[must_use]
    pub fn has_handed_over(&self) -> bool {
        matches!(
            self.state,
            State::HandedOver { .. } | State::Orphaned { .. }
        )
    }

    /// Returns whether the successor died and the process that serves now is not known yet.
    #[must_use]
    pub fn is_orphaned(&self) -> bool {
        matches!(self.state, State::Orphaned { .. })
    }

    /// Ends the search for another process, so that this one accepts again at the next
    /// [`poll`](Self::poll).
    pub fn end_search(&mut self, now: Micros) {
        if let State::Orphaned { resume_at, .. } = &mut self.state {
            *resume_at = now;
        }
    }

    /// Returns whether a peer may connect. There is at most one at a time.
    #[must_use]
    pub fn can_accept_peer(&self) -> bool {
        self.state == State::Idle
    }

    /// Handles a new connection from a process of the same user.
    pub fn on_connected(&mut self, now: Micros) {
        self.state = State::Connected {
            expires_at: now + HANDOVER_TIMEOUT,
        };
    }

    /// Handles a message of the peer. `listeners` are the addresses that this process listens on.
    pub fn on_message(
        &mut self,
        now: Micros,
        message: &Message,
        listeners: &[SocketAddr],
    ) -> Vec<Effect> {
        match (self.state, message) {
            (
                State::Connected { .. },
                Message::Hello {
                    version,
                    name,
                    addresses,
                },
            ) => self
                .reject_incompatible_peer(*version, name)
                .unwrap_or_else(|| self.pass_listeners(now, addresses, listeners)),
            (
                State::Connected { .. },
                Message::EarlierPredecessor {
                    version,
                    name,
                    usage,
                },
            ) => self
                .reject_incompatible_peer(*version, name)
                .unwrap_or_else(|| self.attach_earlier_predecessor(*usage)),
            (State::ListenersPassed { .. }, Message::HandoverRequest {}) => {
                self.enter_handed_over(now);
                self.orphaned_at = None;
                vec![Effect::StopAccepting]
            }
            // A protocol violation.
            _ => self.on_disconnected(now),
        }
    }

    /// Rejects a peer with another protocol version or of another server. Returns `None` if the
    /// peer is compatible.
    fn reject_incompatible_peer(&mut self, version: u32, name: &str) -> Option<Vec<Effect>> {
        let reason = if version != PROTOCOL_VERSION {
            format!("version {version} is not spoken here, {PROTOCOL_VERSION} is")
        } else if name != self.name {
            format!("this is {}, not {name}", self.name)
        } else {
            return None;
        };
        self.state = State::Idle;
        Some(vec![
            Effect::Send(Message::Rejected { reason }),
            Effect::Close,
        ])
    }

    fn pass_listeners(
        &mut self,
        now: Micros,
        requested: &[SocketAddr],
        listeners: &[SocketAddr],
    ) -> Vec<Effect> {
        self.state = State::ListenersPassed {
            expires_at: now + HANDOVER_TIMEOUT,
        };
        let addresses = requested
            .iter()
            .filter(|address| listeners.contains(address))
            .copied()
            .collect();
        vec![Effect::SendWithListeners(Message::ListenerOffer {
            version: PROTOCOL_VERSION,
            addresses,
        })]
    }

    /// Leaves the connection to the earlier predecessor, so that a successor can still connect.
    fn attach_earlier_predecessor(&mut self, usage: ProcessUsage) -> Vec<Effect> {
        self.state = State::Idle;
        vec![Effect::AttachEarlierPredecessor(usage)]
    }

    fn enter_handed_over(&mut self, now: Micros) {
        self.state = State::HandedOver {
            report_at: now + USAGE_REPORT_INTERVAL,
        };
    }

    /// Handles a new connection to the process that serves now. Ends the search, and reports the
    /// resources that this process still uses; this process does not accept again.
    pub fn on_serving_process_found(&mut self, now: Micros, usage: ProcessUsage) -> Vec<Effect> {
        if !self.is_orphaned() {
            return Vec::new();
        }
        self.enter_handed_over(now);
        vec![Effect::Send(Message::EarlierPredecessor {
            version: PROTOCOL_VERSION,
            name: self.name.clone(),
            usage,
        })]
    }

    /// Notifies the successor, if there is one, that this process has closed the store of
    /// idempotency keys.
    #[must_use]
    pub fn on_store_released(&self) -> Vec<Effect> {
        if matches!(self.state, State::HandedOver { .. }) {
            vec![Effect::Send(Message::StoreReleased {})]
        } else {
            Vec::new()
        }
    }

    /// Handles a lost connection, or a packet on it that could not be decoded.
    pub fn on_disconnected(&mut self, now: Micros) -> Vec<Effect> {
        match self.state {
            State::HandedOver { .. } if is_bug_injected(InjectedBug::StoreReopened) => {
                self.state = State::Idle;
                return vec![Effect::Close, Effect::ResumeAccepting];
            }
            State::HandedOver { .. } | State::Orphaned { .. } => self.begin_orphan_search(now),
            State::Idle | State::Connected { .. } | State::ListenersPassed { .. } => {
                self.state = State::Idle;
            }
        }
        vec![Effect::Close]
    }

    /// Begins a search for the process that serves now. If the process just lost was found by a
    /// search whose time has not passed, that search is continued instead.
    fn begin_orphan_search(&mut self, now: Micros) {
        let orphaned_at = self
            .orphaned_at
            .filter(|began_at| now < began_at + ORPHAN_SEARCH_TIME)
            .unwrap_or(now);
        self.orphaned_at = Some(orphaned_at);
        self.state = State::Orphaned {
            resume_at: orphaned_at + ORPHAN_SEARCH_TIME,
            search_at: now,
        };
    }

    /// Handles expired deadlines. `usage` returns the resources that this process still uses.
    pub fn poll(&mut self, now: Micros, usage: impl FnOnce() -> ProcessUsage) -> Vec<Effect> {
        match self.state {
            State::Connected { expires_at } | State::ListenersPassed { expires_at }
                if now >= expires_at =>
            {
                self.on_disconnected(now)
            }
            State::Orphaned { resume_at, .. } if now >= resume_at => {
                self.state = State::Idle;
                vec![Effect::ResumeAccepting]
            }
            State::Orphaned {
                resume_at,
                search_at,
            } if now >= search_at => {
                self.state = State::Orphaned {
                    resume_at,
                    search_at: now + ORPHAN_SEARCH_INTERVAL,
                };
                vec![Effect::FindServingProcess]
            }
            State::HandedOver { report_at } if now >= report_at => {
                self.enter_handed_over(now);
                vec![Effect::Send(Message::UsageReport(usage()))]
            }
            _ => Vec::new(),
        }
    }

    /// Returns the next deadline, at which [`poll`](Self::poll) has to be called.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        match self.state {
            State::Idle => None,
            State::Connected { expires_at } | State::ListenersPassed { expires_at } => {
                Some(expires_at)
            }
            State::HandedOver { report_at } => Some(report_at),
            State::Orphaned {
                resume_at,
                search_at,
            } => Some(resume_at.min(search_at)),
        }
    }
}
