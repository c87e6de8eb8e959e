//! The gossip socket, and the membership on top of it.

use super::incarnation_store;
use crate::error::ReloadError;
use crate::host::{DatagramSocket, GossipHost};
use crate::status_report::Status;
use cleatpulley_membership::authentication::KeyRing;
use cleatpulley_membership::{Event, Identity, Membership, MetricKind, Settings};
use cleatpulley_policy::interface::Micros;
use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum number of datagrams read in one iteration. Otherwise a sender with the key could delay
/// the requests by a flood of datagrams.
const MAX_DATAGRAMS_PER_POLL: usize = 64;
/// Maximum datagram size; peers send no larger ones.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Interval at which a changed status is published.
const STATUS_PUBLISH_INTERVAL: Micros = 200_000;
/// Minimum change of the warmth that is published.
const WARMTH_STEP: f64 = 0.05;

/// Listener number under which the event loop reports the socket. Listeners for clients have
/// smaller numbers.
pub const LISTENER_NUMBER: usize = (1 << 16) + 2;

/// Loads the keys.
pub type ReloadKeys = Box<dyn FnMut() -> Result<KeyRing, ReloadError>>;

/// Options of gossip.
pub struct Options {
    /// Identity of this process; its incarnation is derived from the folder.
    pub identity: Identity,
    /// Listening address. Other processes may reach it by the address in the identity.
    pub listen: SocketAddr,
    /// Processes that are contacted to join the membership.
    pub contacts: Vec<SocketAddr>,
    /// Intervals and timeouts.
    pub settings: Settings,
    /// Loads the keys, at the start and after SIGHUP.
    pub keys: ReloadKeys,
    /// Folder of the persisted mark of used incarnations.
    pub folder: PathBuf,
}

/// The status published last.
#[derive(Clone, Copy)]
struct PublishedStatus {
    warmth: f64,
    is_draining: bool,
}

impl PublishedStatus {
    /// Returns true if the change is large enough to be published.
    fn differs_from(self, earlier: Self) -> bool {
        (self.warmth - earlier.warmth).abs() >= WARMTH_STEP
            || self.is_draining != earlier.is_draining
            || (self.warmth == 1.0 && earlier.warmth < 1.0)
    }
}

/// The gossip socket, and the membership on top of it.
pub struct Gossip<H: GossipHost> {
    host: H,
    socket: H::DatagramSocket,
    membership: Membership,
    keys: ReloadKeys,
    folder: PathBuf,
    /// Datagrams may have arrived.
    is_readable: bool,
    /// `None` before the first status is published.
    published_status: Option<PublishedStatus>,
    next_status_at: Micros,
}

impl<H: GossipHost> Gossip<H> {
    /// Listens, with an incarnation that no earlier process of this folder has used.
    ///
    /// # Errors
    /// If the address, the keys or the folder can't be used.
    pub fn new(host: H, options: Options) -> io::Result<Self> {
        let Options {
            mut identity,
            listen,
            contacts,
            settings,
            mut keys,
            folder,
        } = options;
        let incarnations = incarnation_store::reserve_incarnations(&folder)?;
        let (socket, address) = host.bind_datagram_socket(listen, LISTENER_NUMBER)?;
        if identity.address.port() == 0 {
            identity.address.set_port(address.port());
        }
        identity.boot_id = host.random();
        let seed = host.random();
        let key_ring = keys().map_err(io::Error::other)?;
        let mut membership = Membership::new(identity, incarnations, settings, key_ring, seed)
            .map_err(|error| io::Error::new(ErrorKind::InvalidInput, error.to_string()))?;
        membership.join(contacts);
        tracing::info!("cluster: {} hears on {address}", membership.identity());
        Ok(Self {
            host,
            socket,
            membership,
            keys,
            folder,
            is_readable: true,
            published_status: None,
            next_status_at: 0,
        })
    }

    /// Records that datagrams may have arrived.
    pub fn on_readiness(&mut self) {
        self.is_readable = true;
    }

    /// Returns the membership.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Reloads the keys.
    pub fn reload(&mut self) {
        match (self.keys)() {
            Ok(keys) => {
                tracing::info!(?keys, "cluster: keys reloaded");
                self.membership.set_keys(keys);
            }
            Err(error) => tracing::error!(%error, "cluster: key reload failed; keys unchanged"),
        }
    }

    /// Publishes the status with the next [`poll`](Self::poll).
    pub fn publish_status_now(&mut self) {
        self.next_status_at = 0;
    }

    /// Handles datagrams and expired deadlines, and sends; returns the next deadline.
    pub fn poll(&mut self, now: Micros, status: impl Fn() -> Status) -> Micros {
        let has_more = self.read(now);
        if now >= self.next_status_at {
            self.next_status_at = now + STATUS_PUBLISH_INTERVAL;
            self.publish_status(now, &status());
        }
        self.membership.poll(now);
        self.send(now);
        while let Some(event) = self.membership.next_event() {
            self.handle_event(now, &event);
        }
        if has_more {
            return now;
        }
        self.membership.next_deadline().min(self.next_status_at)
    }

    /// Notifies the other processes that this one leaves.
    pub fn leave(&mut self) {
        let now = self.host.now();
        self.membership.leave(now);
        self.send(now);
    }

    /// Reads pending datagrams; returns true if there may be more.
    fn read(&mut self, now: Micros) -> bool {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_POLL {
            if !self.is_readable {
                return false;
            }
            match self.socket.receive(&mut buffer) {
                Ok((length, sender)) => {
                    if let Err(error) = self.membership.handle_datagram(now, &buffer[..length]) {
                        tracing::debug!(%sender, %error, "cluster: datagram dropped");
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.is_readable = false,
                // The error follows a datagram to an ended process, which gossip detects anyway.
                Err(error) => tracing::trace!(%error, "cluster: receiving failed"),
            }
        }
        self.is_readable
    }

    fn publish_status(&mut self, now: Micros, status: &Status) {
        let status = PublishedStatus {
            warmth: status.warmth,
            is_draining: status.is_draining,
        };
        let earlier = self.published_status;
        if earlier.is_some_and(|earlier| !status.differs_from(earlier)) {
            return;
        }
        self.published_status = Some(status);
        let warmth = status.warmth.to_le_bytes().to_vec();
        self.membership.publish(now, MetricKind::WarmUp, warmth);
        let is_draining = f64::from(u8::from(status.is_draining));
        let is_draining = is_draining.to_le_bytes().to_vec();
        self.membership
            .publish(now, MetricKind::Draining, is_draining);
    }

    fn send(&mut self, now: Micros) {
        for (address, datagram) in self.membership.take_outgoing() {
            // A datagram that can't be sent counts as lost.
            if let Err(error) = self.socket.send(address, &datagram) {
                tracing::trace!(now, %address, %error, "cluster: sending failed");
            }
        }
    }

    fn handle_event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::Up(peer) => {
                self.log_timeline_event(now, format_args!("sees {} come <- {peer}", peer.name));
            }
            Event::Down(peer) => {
                self.log_timeline_event(now, format_args!("sees {} go <- {peer}", peer.name));
            }
            Event::Rejoined(incarnation) => {
                self.log_timeline_event(now, format_args!("comes back <- as {incarnation}"));
            }
            Event::Superseded(peer) => {
                let name = &self.membership.identity().name;
                tracing::error!(
                    "cluster: another process has the name {name} and a later incarnation: {peer}; \
                     this process does not rejoin"
                );
                self.log_timeline_event(now, format_args!("is superseded <- {peer}"));
            }
            Event::PersistMark(mark) => {
                if let Err(error) = incarnation_store::write_mark(&self.folder, *mark) {
                    tracing::error!(
                        folder = %self.folder.display(),
                        %error,
                        "cluster: failed to persist the incarnation mark; a restart may reuse an incarnation"
                    );
                }
            }
            Event::IncarnationsExhausted => {
                tracing::error!("cluster: incarnations exhausted; this process does not rejoin");
            }
        }
    }

    /// Logs a timeline event in the format that the timeline drawings, tests and checks parse.
    fn log_timeline_event(&self, now: Micros, event: fmt::Arguments<'_>) {
        let name = &self.membership.identity().name;
        tracing::info!(target: "timeline", "@ {now} {name} {event}");
    }
}
