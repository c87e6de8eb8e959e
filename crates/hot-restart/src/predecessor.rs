//! The process that serves, and what it does for the process that is to succeed it.

use crate::message::{Message, ProcessUsage, PROTOCOL_VERSION};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use std::net::SocketAddr;

/// A successor that has connected sends hello, and one that has the listening sockets asks to take
/// over, within this time, or its connection is closed: its runtime may come up late.
pub const HANDOVER_TIMEOUT: Micros = 10_000_000;
/// A draining predecessor reports what it still uses at this interval.
pub const USAGE_REPORT_INTERVAL: Micros = 50_000;
/// An orphaned predecessor, one whose successor died, searches for so long for a process that
/// serves by now. A process that was about to succeed the dead one is there within milliseconds.
/// Nobody accepts meanwhile, so it is no longer than a client takes for an instant.
pub const ORPHAN_SEARCH_TIME: Micros = 50_000;
/// The interval of that search.
const ORPHAN_SEARCH_INTERVAL: Micros = 5_000;

/// What the adapter is to do, in the order returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send this message on the connection.
    Send(Message),
    /// Send this [`Message::ListenerOffer`] together with the listening sockets of its addresses.
    SendWithListeners(Message),
    /// Stop accepting, ask clients to reconnect, then send [`Message::HandoverComplete`].
    StopAccepting,
    /// Accept again: there is no successor any more.
    ResumeAccepting,
    /// Close the connection.
    Close,
    /// Try to connect to a process that serves by now; report it by
    /// [`on_serving_process_found`](Predecessor::on_serving_process_found).
    FindServingProcess,
    /// The peer is an earlier predecessor that still uses so much; keep its connection.
    AttachEarlierPredecessor(ProcessUsage),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No peer is connected.
    Idle,
    /// A peer has connected and has sent nothing yet.
    Connected { expires_at: Micros },
    /// The successor has the listening sockets, and does not accept yet.
    ListenersPassed { expires_at: Micros },
    /// The successor accepts; this process drains.
    HandedOver { report_at: Micros },
    /// The successor accepted and died. Another process may serve by now.
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
    /// When the current search for another process began, so that a search ends in time although
    /// processes are found that turn out to be none.
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

    /// Returns whether this process has handed over: it accepts no connections, even if its
    /// successor died since and another process is searched for.
    #[must_use]
    pub fn has_handed_over(&self) -> bool {
        matches!(
            self.state,
            State::HandedOver { .. } | State::Orphaned { .. }
        )
    }

    /// Returns whether the successor died, and it is not known yet which process serves now.
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

    /// Returns whether a peer may connect; there is at most one.
    #[must_use]
    pub fn can_accept_peer(&self) -> bool {
        self.state == State::Idle
    }

    /// Notifies of a new connection, from a process of the same user.
    pub fn on_connected(&mut self, now: Micros) {
        self.state = State::Connected {
            expires_at: now + HANDOVER_TIMEOUT,
        };
    }

    /// Handles a message of the peer; `listeners` are the addresses that this process listens on.
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
                .reject_foreign(*version, name)
                .unwrap_or_else(|| self.pass_listeners(now, addresses, listeners)),
            (
                State::Connected { .. },
                Message::EarlierPredecessor {
                    version,
                    name,
                    usage,
                },
            ) => self
                .reject_foreign(*version, name)
                .unwrap_or_else(|| self.attach_earlier_predecessor(*usage)),
            (State::ListenersPassed { .. }, Message::HandoverRequest {}) => {
                self.enter_handed_over(now);
                self.orphaned_at = None;
                vec![Effect::StopAccepting]
            }
            // A successor that follows the protocol sends nothing else.
            _ => self.on_disconnected(now),
        }
    }

    /// Rejects a peer of another version or server. Returns `None` if the peer is of this server.
    fn reject_foreign(&mut self, version: u32, name: &str) -> Option<Vec<Effect>> {
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

    /// The connection goes over to the earlier predecessor, so that a successor may still come.
    fn attach_earlier_predecessor(&mut self, usage: ProcessUsage) -> Vec<Effect> {
        self.state = State::Idle;
        vec![Effect::AttachEarlierPredecessor(usage)]
    }

    fn enter_handed_over(&mut self, now: Micros) {
        self.state = State::HandedOver {
            report_at: now + USAGE_REPORT_INTERVAL,
        };
    }

    /// Notifies of a connection to another process that serves by now. That process learns what
    /// this one still uses, and this one accepts no more.
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

    /// Notifies that this process has closed the store of idempotency keys.
    #[must_use]
    pub fn on_store_released(&self) -> Vec<Effect> {
        if matches!(self.state, State::HandedOver { .. }) {
            vec![Effect::Send(Message::StoreReleased {})]
        } else {
            Vec::new()
        }
    }

    /// Notifies that the connection is lost, or that a packet on it could not be decoded.
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

    /// Searches for another process from now on. If the process just lost was found by a search
    /// whose time is not over, that search continues; a later loss begins a new one.
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

    /// Does what is due by now; `usage` returns what this process still uses.
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

    /// Returns the time at which [`poll`](Self::poll) has something to do next.
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
