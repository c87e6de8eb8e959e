//! The seam to the world: all that a matcher asks of its host goes through these traits, and nothing of it knows which
//! world it is in. `real` has the one of calloop and std; a simulator brings another.

use super::SocketOwner;
use cleatpulley_connection_admission::book::Entry;
use cleatpulley_dispatcher::key_table::KeyCommand;
use cleatpulley_dispatcher::Event;
use cleatpulley_idempotency::record::ScopedKey;
use cleatpulley_policy::interface::{Micros, RequestId};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// What was seen on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Readiness {
    /// It may be read from, also where it is over or broke.
    pub readable: bool,
    /// It may be written to, also where it broke.
    pub writable: bool,
}

/// A connection, which ends when this is dropped. Nothing waits: what can't be done now is
/// [`WouldBlock`](io::ErrorKind::WouldBlock), and the owner is told of its party's readiness later.
pub trait Stream {
    /// Reads some of what has come; 0 where the peer sends no more.
    ///
    /// # Errors
    /// Those of the system.
    fn read(&self, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes some of it.
    ///
    /// # Errors
    /// Those of the system.
    fn write(&self, bytes: &[u8]) -> io::Result<usize>;

    /// Sends no more; what the peer still sends can be read.
    fn shutdown_write(&self);

    /// The error that the connection holds, such as that of one that could not be made.
    ///
    /// # Errors
    /// That error.
    fn take_error(&self) -> io::Result<()>;
}

/// A connection to the other process of an upgrade: messages go over it whole, and listening sockets along with them. It
/// ends when this is dropped, and nothing waits.
pub trait HandoverChannel {
    /// A listening socket.
    type Listener;
    /// One that came along and is not listened on yet.
    type ReceivedSocket;

    /// Sends a message, with these sockets along.
    ///
    /// # Errors
    /// Those of the system; [`WouldBlock`](io::ErrorKind::WouldBlock) where the other side does not read.
    fn send(&self, message: &[u8], along: &[&Self::Listener]) -> io::Result<()>;

    /// The next message and what came along with it; an empty one is the end.
    ///
    /// # Errors
    /// Those of the system; [`WouldBlock`](io::ErrorKind::WouldBlock) where none has come.
    fn receive(&self) -> io::Result<(Vec<u8>, Vec<Self::ReceivedSocket>)>;
}

/// Where a process of an upgrade is met: by the folder, the matcher's name and the first address that it listens on.
#[derive(Debug, Clone)]
pub struct HandoverAddress {
    /// A folder that both processes share, and nobody else.
    pub folder: PathBuf,
    /// The matcher's name.
    pub name: String,
    /// The address.
    pub address: SocketAddr,
}

/// Keeps the results of keyed requests, and tells [`Server::kept`](super::Server::on_persistence_event) of it.
pub trait ResultPersistence {
    /// Writes what a history decided.
    fn write(&mut self, effect: KeyCommand);

    /// Reads how a key ended.
    fn load_result(&mut self, now: Micros, id: RequestId, number: u64, key: ScopedKey);

    /// Lets it write what it has and close the store, in its own time; nothing more is asked of it.
    fn release(&mut self);

    /// Waits until it has closed the store, for a while.
    fn stop(self);

    /// The same where no process comes after this one: what is not lasting goes.
    fn discard(self)
    where
        Self: Sized,
    {
        self.stop();
    }

    /// Looks after its store and says what came of it, where it has no thread for that; the rest is told to the node.
    fn poll(&mut self, _now: Micros, _facts: &mut Vec<Event>) {}

    /// When [`turn`](Self::turn) has something to do.
    fn next_deadline(&self) -> Option<Micros> {
        None
    }
}

/// Keeps earned standing, and tells [`Server::remembered`](super::Server::on_reputation_loaded) what it held.
pub trait ReputationStorage {
    /// Writes what was earned, in its own time.
    fn write(&self, entries: Vec<Entry>);

    /// Lets it write what it has and close the book, in its own time; nothing more is asked of it.
    fn release(&mut self);

    /// Waits until it has closed the book, for a while.
    fn stop(self);
}

/// A matcher's host.
pub trait Host: Clone + 'static {
    /// A connection.
    type Stream: Stream;
    /// A listening socket; it listens until it is dropped.
    type Listener;
    /// A keeper.
    type ResultPersistence: ResultPersistence;
    /// A keeper of earned standing.
    type ReputationStorage: ReputationStorage;
    /// Where successors come to; they may until it is dropped.
    type SuccessorListener;
    /// A descriptor that is kept for later; it is free once this is dropped.
    type ReservedDescriptor;
    /// A connection to the other process of an upgrade.
    type HandoverChannel: HandoverChannel<Listener = Self::Listener>;

    /// Microseconds of the Unix clock at the start, and monotonic from there on.
    fn now(&self) -> Micros;

    /// Listens; the node is told of new connections by this number. Returns where that is.
    ///
    /// # Errors
    /// Those of the system.
    fn listen(&self, address: SocketAddr, place: usize)
        -> io::Result<(Self::Listener, SocketAddr)>;

    /// Somebody listens there already, where [`listen`](Self::listen) would share the address with it.
    fn is_address_in_use(&self, address: SocketAddr) -> bool;

    /// Accepts a connection that waits, and says whose it is.
    ///
    /// # Errors
    /// [`WouldBlock`](io::ErrorKind::WouldBlock) where none waits, and those of the system.
    fn accept(
        &self,
        listener: &Self::Listener,
        party: SocketOwner,
    ) -> io::Result<(Self::Stream, IpAddr)>;

    /// Keeps a descriptor, so that a connection can be accepted where no other is left.
    ///
    /// # Errors
    /// Those of the system.
    fn reserve_descriptor(&self) -> io::Result<Self::ReservedDescriptor>;

    /// Begins to connect; the first readiness tells how that went.
    ///
    /// # Errors
    /// Those of the system; a refusal may come at once.
    fn connect(&self, to: SocketAddr, party: SocketOwner) -> io::Result<Self::Stream>;

    /// Takes up a listening socket that another process passed, where it is one and listens at this address, whose port
    /// may be 0.
    ///
    /// # Errors
    /// Where it is not, and those of the system.
    fn adopt_listener(
        &self,
        passed: <Self::HandoverChannel as HandoverChannel>::ReceivedSocket,
        address: SocketAddr,
        place: usize,
    ) -> io::Result<Self::Listener>;

    /// Lets successors find this process from now on; the node is told of them as of new connections, by this number.
    ///
    /// # Errors
    /// Those of the system.
    fn listen_for_successors(
        &self,
        meeting: &HandoverAddress,
        place: usize,
    ) -> io::Result<Self::SuccessorListener>;

    /// Accepts a successor that waits, where its user is ours.
    ///
    /// # Errors
    /// [`WouldBlock`](io::ErrorKind::WouldBlock) where none waits, and those of the system.
    fn accept_successor(
        &self,
        post: &Self::SuccessorListener,
        party: SocketOwner,
    ) -> io::Result<Self::HandoverChannel>;

    /// Connects to the process whose place this one is to take.
    ///
    /// # Errors
    /// Where there is none, and those of the system.
    fn connect_to_predecessor(
        &self,
        meeting: &HandoverAddress,
        party: SocketOwner,
    ) -> io::Result<Self::HandoverChannel>;

    /// Opens the book of the earned standing of so many addresses.
    ///
    /// # Errors
    /// Those of the system.
    fn open_reputation_storage(
        &self,
        folder: PathBuf,
        most: usize,
    ) -> io::Result<Self::ReputationStorage>;

    /// Starts a keeper of results on a folder. One that is not `lasting` outlives its process, for the next one of the same
    /// matcher, and not its host.
    ///
    /// # Errors
    /// Those of the system.
    fn open_result_persistence(
        &self,
        folder: PathBuf,
        seed: u64,
        lasting: bool,
    ) -> io::Result<Self::ResultPersistence>;
}

/// A socket for datagrams, open until this is dropped. Nothing waits.
pub trait DatagramSocket {
    /// Sends one.
    ///
    /// # Errors
    /// Those of the system.
    fn send(&self, to: SocketAddr, datagram: &[u8]) -> io::Result<()>;

    /// The next that has come, how long it is, and where from.
    ///
    /// # Errors
    /// [`WouldBlock`](io::ErrorKind::WouldBlock) where none has, and those of the system.
    fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)>;
}

/// A host on which processes talk among each other.
pub trait GossipHost: Host {
    /// A socket for datagrams.
    type DatagramSocket: DatagramSocket;

    /// Listens for datagrams; whoever is served is told of them by this number. Returns where that is.
    ///
    /// # Errors
    /// Those of the system.
    fn bind_datagram_socket(
        &self,
        address: SocketAddr,
        place: usize,
    ) -> io::Result<(Self::DatagramSocket, SocketAddr)>;

    /// A random number.
    fn random(&self) -> u64;
}
