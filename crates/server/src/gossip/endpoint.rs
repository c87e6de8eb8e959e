//! The socket, and the membership over it.

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

/// Datagrams read in one iteration. Guards the requests: whoever has the key could fill one.
const MAX_DATAGRAMS: usize = 64;
/// Larger datagrams are none of ours.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Interval at which the status is shared, where it has changed.
const STATUS_INTERVAL: Micros = 200_000;
/// The warmth is shared again where it has changed by this much.
const WARMTH_STEP: f64 = 0.05;

/// The number that the event loop knows the socket by. Listeners for clients have smaller ones.
pub const LISTENER_NUMBER: usize = (1 << 16) + 2;

/// Reads the keys again.
pub type ReloadKeys = Box<dyn FnMut() -> Result<KeyRing, ReloadError>>;

/// What gossip is created from.
pub struct Options {
    /// The identity of this process; its incarnation follows from the folder.
    pub identity: Identity,
    /// Where it listens. Others may reach that by the identity's address.
    pub listen: SocketAddr,
    /// Processes that are asked for the others.
    pub contacts: Vec<SocketAddr>,
    /// Intervals and timeouts.
    pub settings: Settings,
    /// Reads the keys, now and after SIGHUP.
    pub keys: ReloadKeys,
    /// What outlives the process.
    pub folder: PathBuf,
}

/// The status that was shared last.
#[derive(Clone, Copy)]
struct SharedStatus {
    warmth: f64,
    is_draining: bool,
}

impl SharedStatus {
    /// Returns true where the change is large enough to be shared.
    fn differs_from(self, earlier: Self) -> bool {
        (self.warmth - earlier.warmth).abs() >= WARMTH_STEP
            || self.is_draining != earlier.is_draining
            || (self.warmth == 1.0 && earlier.warmth < 1.0)
    }
}

/// The socket and the membership over it.
pub struct Gossip<H: GossipHost> {
    host: H,
    socket: H::DatagramSocket,
    membership: Membership,
    keys: ReloadKeys,
    folder: PathBuf,
    /// Datagrams may have arrived.
    is_readable: bool,
    /// None before the status was shared.
    shared_status: Option<SharedStatus>,
    next_status_at: Micros,
}

impl<H: GossipHost> Gossip<H> {
    /// Listens, with an incarnation that no process of this folder had before.
    ///
    /// # Errors
    /// Where the address, the keys or the folder can't be used.
    pub fn new(host: H, options: Options) -> io::Result<Self> {
        let Options {
            mut identity,
            listen,
            contacts,
            settings,
            mut keys,
            folder,
        } = options;
        let incarnations = incarnation_store::begin(&folder)?;
        let (socket, address) = host.bind_datagram_socket(listen, LISTENER_NUMBER)?;
        if identity.address.port() == 0 {
            identity.address.set_port(address.port());
        }
        identity.boot_id = host.random();
        let seed = host.random();
        let key = keys().map_err(io::Error::other)?;
        let mut membership = Membership::new(identity, incarnations, settings, key, seed)
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
            shared_status: None,
            next_status_at: 0,
        })
    }

    /// Notes that datagrams may have arrived.
    pub fn on_readiness(&mut self) {
        self.is_readable = true;
    }

    /// Returns the membership: which other processes there are.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Reads the keys again.
    pub fn reload(&mut self) {
        match (self.keys)() {
            Ok(keys) => {
                tracing::info!(?keys, "cluster: keys read again");
                self.membership.set_keys(keys);
            }
            Err(error) => tracing::error!(%error, "cluster: the keys stay as they were"),
        }
    }

    /// Shares the status with the next [`poll`](Self::poll).
    pub fn share_status_now(&mut self) {
        self.next_status_at = 0;
    }

    /// Reads datagrams, lets time pass, and sends; returns the time until which there is nothing to
    /// do.
    pub fn poll(&mut self, now: Micros, status: impl Fn() -> Status) -> Micros {
        let has_more = self.read(now);
        if now >= self.next_status_at {
            self.next_status_at = now + STATUS_INTERVAL;
            self.share_status(now, &status());
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

    /// Notifies the others that this process leaves.
    pub fn leave(&mut self) {
        let now = self.host.now();
        self.membership.leave(now);
        self.send(now);
    }

    /// Reads what has arrived; returns true where there may be more.
    fn read(&mut self, now: Micros) -> bool {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS {
            if !self.is_readable {
                return false;
            }
            match self.socket.receive(&mut buffer) {
                Ok((length, sender)) => {
                    if let Err(error) = self.membership.handle_datagram(now, &buffer[..length]) {
                        tracing::debug!(%sender, %error, "cluster: a datagram is dropped");
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.is_readable = false,
                // This follows a datagram to a process that is gone, of which gossip tells more.
                Err(error) => tracing::trace!(%error, "cluster: receiving failed"),
            }
        }
        self.is_readable
    }

    fn share_status(&mut self, now: Micros, status: &Status) {
        let status = SharedStatus {
            warmth: status.warmth,
            is_draining: status.is_draining,
        };
        let earlier = self.shared_status;
        if earlier.is_some_and(|earlier| !status.differs_from(earlier)) {
            return;
        }
        self.shared_status = Some(status);
        let warmth = status.warmth.to_le_bytes().to_vec();
        self.membership.publish(now, MetricKind::WarmUp, warmth);
        let is_draining = f64::from(u8::from(status.is_draining));
        let is_draining = is_draining.to_le_bytes().to_vec();
        self.membership
            .publish(now, MetricKind::Draining, is_draining);
    }

    fn send(&mut self, now: Micros) {
        for (address, datagram) in self.membership.take_outgoing() {
            // A datagram that can't be sent counts as one that got lost.
            if let Err(error) = self.socket.send(address, &datagram) {
                tracing::trace!(now, %address, %error, "cluster: sending failed");
            }
        }
    }

    fn handle_event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::Up(peer) => {
                self.log_step(now, format_args!("sees {} come <- {peer}", peer.name));
            }
            Event::Down(peer) => {
                self.log_step(now, format_args!("sees {} go <- {peer}", peer.name));
            }
            Event::Rejoined(incarnation) => {
                self.log_step(now, format_args!("comes back <- as {incarnation}"));
            }
            Event::Superseded(peer) => {
                let name = &self.membership.identity().name;
                tracing::error!(
                    "cluster: another process has the name {name} by a later incarnation: {peer}; \
                     this one stays out"
                );
                self.log_step(now, format_args!("is superseded <- {peer}"));
            }
            Event::PersistMark(mark) => {
                if let Err(error) = incarnation_store::write(&self.folder, *mark) {
                    tracing::error!(
                        folder = %self.folder.display(),
                        %error,
                        "cluster: a restart may come back under a number it had"
                    );
                }
            }
            Event::IncarnationsExhausted => {
                tracing::error!("cluster: no incarnation is left; this process stays out");
            }
        }
    }

    /// Logs a step of the timeline, in the one format that drawings, tests and checks read.
    fn log_step(&self, now: Micros, step: fmt::Arguments<'_>) {
        let name = &self.membership.identity().name;
        tracing::info!(target: "timeline", "@ {now} {name} {step}");
    }
}
