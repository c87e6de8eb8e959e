//! Talk with other processes of the installation: the socket under a [`Membership`], and what others are told of this one.
//! All of it is off without its section in the operator file.

mod incarnation_store;

use super::host::{DatagramSocket, GossipHost, Readiness};
use super::os_host::{OsHost, Service};
use super::status_report::Status;
use super::SocketOwner;
use cleatpulley_connection_admission::book::Entry;
use cleatpulley_dispatcher::Event as DispatcherEvent;
use cleatpulley_membership::figures::Kind;
use cleatpulley_membership::seal::Keys;
use cleatpulley_membership::{Event, Identity, Membership, Settings};
use cleatpulley_policy::interface::Micros;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The number that the event loop knows the socket by; listeners have smaller ones.
pub const PLACE: usize = (1 << 16) + 2;

/// Datagrams heard in one turn. Guards the requests: whoever has the key could fill a turn.
const TURN: usize = 64;
/// The largest datagram: larger ones are none of ours.
const LARGEST: usize = 2_048;
/// How often the others are told how this process is, where it changed.
const TELLS: Micros = 200_000;
/// Warmth is told anew where it moved by this much.
const STEP: f64 = 0.05;

/// Reads the keys again.
pub type ReloadKeys = Box<dyn FnMut() -> Result<Keys, String>>;

/// What is set.
pub struct Options {
    /// Who this process is; its life is told by the folder.
    pub identity: Identity,
    /// Where it listens, which others may reach by the identity's address.
    pub listen: SocketAddr,
    /// Processes that are asked for the others.
    pub contacts: Vec<SocketAddr>,
    /// How patient it is.
    pub settings: Settings,
    /// The keys, now and after SIGHUP.
    pub keys: ReloadKeys,
    /// What outlives the process.
    pub folder: PathBuf,
}

/// The socket and what is heard by it.
pub struct Gossip<H: GossipHost> {
    world: H,
    socket: H::DatagramSocket,
    membership: Membership,
    keys: ReloadKeys,
    folder: PathBuf,
    readable: bool,
    told: Option<(f64, bool)>,
    tell_at: Micros,
}

impl<H: GossipHost> Gossip<H> {
    /// Listens, in a life that no process of this folder had before.
    ///
    /// # Errors
    /// Where the address, the keys or the folder can't be had.
    pub fn new(world: H, options: Options) -> io::Result<Self> {
        let Options {
            mut identity,
            listen,
            contacts,
            settings,
            mut keys,
            folder,
        } = options;
        let incarnations = incarnation_store::begin(&folder)?;
        let (socket, at) = world.bind_datagram_socket(listen, PLACE)?;
        if identity.address.port() == 0 {
            identity.address.set_port(at.port());
        }
        identity.boot = world.random();
        let seed = world.random();
        let key = keys().map_err(io::Error::other)?;
        let mut membership = Membership::new(identity, incarnations, settings, key, seed)
            .map_err(|fault| io::Error::new(ErrorKind::InvalidInput, fault.to_string()))?;
        membership.join(contacts);
        tracing::info!("cluster: {} hears on {at}", membership.identity());
        Ok(Self {
            world,
            socket,
            membership,
            keys,
            folder,
            readable: true,
            told: None,
            tell_at: 0,
        })
    }

    /// Datagrams may have come.
    pub fn on_readiness(&mut self) {
        self.readable = true;
    }

    /// Who is there.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Reads the keys again.
    pub fn reload(&mut self) {
        match (self.keys)() {
            Ok(keys) => {
                tracing::info!("cluster: keys read again: {keys:?}");
                self.membership.rekey(keys);
            }
            Err(what) => tracing::error!("cluster: the keys stay as they were: {what}"),
        }
    }

    /// Hears, does what time asks for, and says what is to be said; returns until when there is nothing to do.
    pub fn poll(&mut self, now: Micros, status: impl Fn() -> Status) -> Micros {
        let more = self.hear(now);
        if now >= self.tell_at {
            self.tell_at = now + TELLS;
            self.tell(now, &status());
        }
        self.membership.turn(now);
        self.say(now);
        while let Some(event) = self.membership.event() {
            self.note_event(now, &event);
        }
        if more {
            return now;
        }
        self.membership.next().min(self.tell_at)
    }

    /// Says goodbye.
    pub fn leave(&mut self) {
        let now = self.world.now();
        self.membership.leave(now);
        self.say(now);
    }

    fn hear(&mut self, now: Micros) -> bool {
        let mut buffer = [0; LARGEST];
        for _ in 0..TURN {
            if !self.readable {
                return false;
            }
            match self.socket.receive(&mut buffer) {
                Ok((length, from)) => {
                    if let Err(why) = self.membership.hear(now, &buffer[..length]) {
                        tracing::debug!("cluster: a datagram of {from} is not heard: {why}");
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.readable = false,
                // What was sent to one that is gone comes back so; it says nothing that gossip does not.
                Err(e) => tracing::trace!("cluster: {e}"),
            }
        }
        self.readable
    }

    fn tell(&mut self, now: Micros, status: &Status) {
        let (warmth, drains) = (status.warmth, status.drains);
        let moved = self.told.is_none_or(|(told, told_drains)| {
            (warmth - told).abs() >= STEP || drains != told_drains || (warmth == 1.0 && told < 1.0)
        });
        if moved {
            self.told = Some((warmth, drains));
            self.membership
                .tell(now, Kind::Warmth, warmth.to_le_bytes().to_vec());
            let drains = f64::from(u8::from(drains));
            self.membership
                .tell(now, Kind::Drain, drains.to_le_bytes().to_vec());
        }
    }

    fn say(&mut self, now: Micros) {
        for (to, datagram) in self.membership.take_out() {
            // A datagram that can't be sent is one that got lost.
            if let Err(e) = self.socket.send(to, &datagram) {
                tracing::trace!(now, "cluster: to {to}: {e}");
            }
        }
    }

    fn note_event(&mut self, now: Micros, event: &Event) {
        let own = &self.membership.identity().name;
        let step = |what: std::fmt::Arguments<'_>| tracing::info!(target: "timeline", "@ {now} {own} {what}");
        match event {
            Event::Up(other) => step(format_args!("sees {} come <- {other}", other.name)),
            Event::Down(other) => step(format_args!("sees {} go <- {other}", other.name)),
            Event::Rejoined(number) => step(format_args!("comes back <- as {number}")),
            Event::Superseded(other) => {
                tracing::error!("cluster: another process has the name {own} by a later life: {other}; this one stays out");
                step(format_args!("is superseded <- {other}"));
            }
            Event::Reserve(mark) => {
                if let Err(e) = incarnation_store::write(&self.folder, *mark) {
                    tracing::error!(
                        "cluster: {}: {e}; a restart may come back under a number it had",
                        self.folder.display()
                    );
                }
            }
            Event::Exhausted => {
                tracing::error!("cluster: no incarnation is left; this process stays out");
            }
        }
    }
}

/// What is served, with its peers.
pub struct ServiceWithGossip {
    served: Box<dyn Service>,
    peers: Gossip<OsHost>,
}

impl ServiceWithGossip {
    /// Those two.
    #[must_use]
    pub fn new(served: Box<dyn Service>, peers: Gossip<OsHost>) -> Self {
        Self { served, peers }
    }
}

impl Service for ServiceWithGossip {
    fn on_readiness(&mut self, party: SocketOwner, readiness: Readiness) {
        self.served.on_readiness(party, readiness);
    }

    fn on_acceptable(&mut self, listener: usize) {
        if listener == PLACE {
            return self.peers.on_readiness();
        }
        self.served.on_acceptable(listener);
    }

    fn on_persistence_event(&mut self, fact: DispatcherEvent) {
        self.served.on_persistence_event(fact);
    }

    fn on_reputation_loaded(&mut self, entries: Vec<Entry>) {
        self.served.on_reputation_loaded(entries);
    }

    fn begin_shutdown(&mut self) {
        self.served.begin_shutdown();
        // Others hear of the drain in this turn.
        self.peers.tell_at = 0;
    }

    fn reload(&mut self) {
        self.served.reload();
        self.peers.reload();
    }

    fn poll(&mut self) -> Micros {
        let next = self.served.poll();
        let served = &self.served;
        next.min(self.peers.poll(served.now(), || served.status()))
    }

    fn is_finished(&self) -> bool {
        self.served.is_finished()
    }

    fn take_fault(&mut self) -> Option<io::Error> {
        self.served.take_fault()
    }

    fn close(&mut self) {
        self.peers.leave();
        self.served.close();
    }

    fn status(&self) -> Status {
        self.served.status()
    }

    fn now(&self) -> Micros {
        self.served.now()
    }
}
