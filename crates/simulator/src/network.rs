//! The simulated network: connections with latency, bandwidth, partial reads and writes, backlogs,
//! half-closes and resets, and a count of descriptors. It knows nothing about its users: the owner
//! of an end is notified of what happened there.

use crate::event_queue::EventQueue;
use cleatpulley_policy::interface::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Maximum number of bytes in flight or unread in one direction of a connection.
const WINDOW_BYTES: usize = 65_536;
/// Maximum number of connections that wait to be accepted.
const MAX_BACKLOG: usize = 1_024;
/// Bandwidth of a connection.
const BYTES_PER_MICROSECOND: usize = 100;
/// A process with fewer free descriptors than this is short of them: its server reserves some for
/// other uses.
const LOW_DESCRIPTORS: usize = 70;
/// Error number of the operating system for a process without free descriptors.
const EMFILE: i32 = 24;

/// An end of a connection.
pub type EndId = usize;

/// Events of the network.
#[derive(Debug)]
pub enum NetworkEvent {
    /// A connection is requested.
    Syn(EndId, SocketAddr),
    /// The connection is established, or was refused.
    ConnectResult(EndId, bool),
    /// Bytes arrive.
    Deliver(EndId, Vec<u8>),
    /// The peer sends no more.
    Fin(EndId),
    /// The connection was reset.
    Reset(EndId),
    /// There is room to write again.
    Writable(EndId),
}

/// Notification to the owner of an end or a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notification {
    /// A connection waits to be accepted.
    Acceptable(SocketAddr),
    /// An end may be readable or writable, or its connection is over.
    Ready(EndId),
}

#[derive(Debug, Default)]
struct End {
    /// Owner, as a number defined by the simulation.
    owner: u64,
    /// Process whose descriptors it counts towards.
    process: usize,
    inbox: VecDeque<u8>,
    /// Bytes that this end sent and the peer has not read.
    in_flight: usize,
    /// Arrival time of the last bytes sent; nothing later arrives before it.
    last_arrival: Micros,
    latency: Micros,
    connected: bool,
    refused: bool,
    /// The peer sends no more.
    peer_finished: bool,
    reset: bool,
    write_shut: bool,
    closed: bool,
    write_blocked: bool,
    /// When the listening side accepted the connection.
    accepted_at: Option<Micros>,
}

#[derive(Debug, Default)]
struct Process {
    held_descriptors: usize,
    max_descriptors: usize,
    /// When it was last short of descriptors.
    short_at: Micros,
}

/// A listening socket: one queue, shared by all its holders. It exists as long as it has one.
#[derive(Debug)]
struct ListeningSocket {
    number: u64,
    holders: Vec<usize>,
    backlog: VecDeque<EndId>,
}

/// Holder of a listening socket that is in transit from one process to another.
const IN_TRANSIT: usize = usize::MAX;

/// The network.
pub struct Network<E> {
    /// Current virtual time.
    pub now: Micros,
    /// All events of the simulation.
    pub queue: EventQueue<E>,
    wrap_event: fn(NetworkEvent) -> E,
    random: SmallRng,
    ends: Vec<End>,
    /// Connections to an address are distributed over its sockets.
    listening_sockets: BTreeMap<SocketAddr, Vec<ListeningSocket>>,
    last_socket_number: u64,
    processes: Vec<Process>,
    /// Reads and writes are occasionally cut short.
    pub partial_io: bool,
    /// Number of accepts and connects that found no free descriptor.
    pub descriptor_exhaustions: u64,
    /// When the backlog of an address was last full.
    backlog_full_at: BTreeMap<SocketAddr, Micros>,
    /// Source addresses of the ends that do not dial from the front ends' address.
    source_addresses: BTreeMap<EndId, IpAddr>,
}

impl<E> Network<E> {
    /// Creates a network that begins at this time.
    #[must_use]
    pub fn new(now: Micros, seed: u64, wrap_event: fn(NetworkEvent) -> E) -> Self {
        Self {
            now,
            queue: EventQueue::default(),
            wrap_event,
            random: SmallRng::seed_from_u64(seed),
            ends: Vec::new(),
            listening_sockets: BTreeMap::new(),
            last_socket_number: 0,
            processes: Vec::new(),
            backlog_full_at: BTreeMap::new(),
            source_addresses: BTreeMap::new(),
            partial_io: false,
            descriptor_exhaustions: 0,
        }
    }

    /// Adds a process with a limit on its descriptors; returns its number.
    pub fn add_process(&mut self, max_descriptors: usize) -> usize {
        self.processes.push(Process {
            max_descriptors,
            ..Process::default()
        });
        self.processes.len() - 1
    }

    /// Sets the descriptor limit of a process; descriptors that it holds beyond it stay open.
    pub fn set_descriptor_limit(&mut self, process: usize, max_descriptors: usize) {
        self.record_shortage(process);
        self.processes[process].max_descriptors = max_descriptors;
    }

    fn record_shortage(&mut self, process: usize) {
        let now = self.now;
        let process = &mut self.processes[process];
        if process.held_descriptors.saturating_add(LOW_DESCRIPTORS) >= process.max_descriptors {
            process.short_at = now;
        }
    }

    /// When a process was last short of descriptors.
    #[must_use]
    pub fn short_at(&self, process: usize) -> Micros {
        let entry = &self.processes[process];
        if entry.held_descriptors.saturating_add(LOW_DESCRIPTORS) >= entry.max_descriptors {
            self.now
        } else {
            entry.short_at
        }
    }

    /// Number of descriptors that a process holds.
    #[must_use]
    pub fn held_descriptors(&self, process: usize) -> usize {
        self.processes[process].held_descriptors
    }

    fn push(&mut self, at: Micros, event: NetworkEvent) {
        let event = (self.wrap_event)(event);
        self.queue.push(at, event);
    }

    fn take_descriptor(&mut self, process: usize) -> io::Result<()> {
        let entry = &mut self.processes[process];
        if entry.held_descriptors >= entry.max_descriptors {
            self.descriptor_exhaustions += 1;
            return Err(io::Error::from_raw_os_error(EMFILE));
        }
        entry.held_descriptors += 1;
        Ok(())
    }

    /// Acquires a descriptor for something other than a connection.
    ///
    /// # Errors
    /// If none is free.
    pub fn acquire_descriptor(&mut self, process: usize) -> io::Result<()> {
        self.take_descriptor(process)
    }

    /// Releases such a descriptor.
    pub fn release_descriptor(&mut self, process: usize) {
        self.record_shortage(process);
        self.processes[process].held_descriptors -= 1;
    }

    /// Listens on an address; beside other sockets only if `shared` is set. Returns the number of
    /// the socket.
    ///
    /// # Errors
    /// If the address is in use or no descriptor is free.
    pub fn listen(&mut self, address: SocketAddr, process: usize, shared: bool) -> io::Result<u64> {
        if self.listening_sockets.contains_key(&address) && !shared {
            return Err(ErrorKind::AddrInUse.into());
        }
        self.take_descriptor(process)?;
        self.last_socket_number += 1;
        let socket = ListeningSocket {
            number: self.last_socket_number,
            holders: vec![process],
            backlog: VecDeque::new(),
        };
        self.listening_sockets
            .entry(address)
            .or_default()
            .push(socket);
        Ok(self.last_socket_number)
    }

    fn listening_socket(
        &mut self,
        address: SocketAddr,
        number: u64,
    ) -> Option<&mut ListeningSocket> {
        self.listening_sockets
            .get_mut(&address)?
            .iter_mut()
            .find(|socket| socket.number == number)
    }

    /// Begins the transfer of a listening socket to another process.
    pub fn begin_transfer(&mut self, address: SocketAddr, number: u64) {
        if let Some(socket) = self.listening_socket(address, number) {
            socket.holders.push(IN_TRANSIT);
        }
    }

    /// Gives a process a listening socket that was in transit.
    ///
    /// # Errors
    /// If no descriptor is free.
    pub fn adopt_listener(
        &mut self,
        address: SocketAddr,
        number: u64,
        process: usize,
    ) -> io::Result<()> {
        self.take_descriptor(process)?;
        match self.listening_socket(address, number) {
            Some(socket) => socket.holders.push(process),
            None => self.release_descriptor(process),
        }
        Ok(())
    }

    /// Ends the transfer of a listening socket, whether it was adopted or not.
    pub fn end_transfer(&mut self, address: SocketAddr, number: u64) {
        self.close_listener(address, number, IN_TRANSIT);
    }

    /// Closes a process's hold on a listening socket. Without another holder, connections that wait
    /// to be accepted are reset.
    pub fn close_listener(&mut self, address: SocketAddr, number: u64, process: usize) {
        let Some(socket) = self.listening_socket(address, number) else {
            return;
        };
        let Some(index) = socket.holders.iter().position(|holder| *holder == process) else {
            return;
        };
        socket.holders.swap_remove(index);
        let last = socket.holders.is_empty();
        if process != IN_TRANSIT {
            self.release_descriptor(process);
        }
        if last {
            let listening_sockets = self.listening_sockets.remove(&address).unwrap_or_default();
            for socket in listening_sockets {
                if socket.number == number {
                    self.reset_backlog(socket);
                } else {
                    self.listening_sockets
                        .entry(address)
                        .or_default()
                        .push(socket);
                }
            }
        }
    }

    fn reset_backlog(&mut self, socket: ListeningSocket) {
        for end in socket.backlog {
            self.ends[end].closed = true;
            let at = self.now + self.ends[end].latency;
            self.push(at, NetworkEvent::Reset(end ^ 1));
        }
    }

    /// Closes all listening sockets of an address; connections that wait to be accepted are reset.
    pub fn stop_listening(&mut self, address: SocketAddr) {
        for socket in self.listening_sockets.remove(&address).unwrap_or_default() {
            for process in socket
                .holders
                .iter()
                .copied()
                .filter(|process| *process != IN_TRANSIT)
            {
                self.release_descriptor(process);
            }
            self.reset_backlog(socket);
        }
    }

    /// Number of holders of the listening sockets of an address.
    #[must_use]
    pub fn listener_count(&self, address: SocketAddr) -> usize {
        let listening_sockets = self
            .listening_sockets
            .get(&address)
            .map_or(&[][..], Vec::as_slice);
        listening_sockets
            .iter()
            .map(|socket| socket.holders.len())
            .sum()
    }

    /// Accepts a connection that waits at the first listening socket of an address.
    ///
    /// # Errors
    /// As [`accept_at`](Self::accept_at).
    pub fn accept(&mut self, address: SocketAddr, owner: u64) -> io::Result<EndId> {
        let socket = self
            .listening_sockets
            .get(&address)
            .and_then(|listening_sockets| listening_sockets.first());
        let (number, process) = socket
            .map(|socket| (socket.number, socket.holders[0]))
            .ok_or(ErrorKind::NotConnected)?;
        self.accept_at(address, number, process, owner)
    }

    /// Accepts a connection that waits at a listening socket, for a process that holds it.
    ///
    /// # Errors
    /// `WouldBlock` if none waits; the system's error if no descriptor is free.
    pub fn accept_at(
        &mut self,
        address: SocketAddr,
        number: u64,
        process: usize,
        owner: u64,
    ) -> io::Result<EndId> {
        let socket = self
            .listening_socket(address, number)
            .ok_or(ErrorKind::NotConnected)?;
        let is_empty = socket.backlog.is_empty();
        // The operating system checks for a free descriptor before it checks the backlog.
        self.take_descriptor(process)?;
        if is_empty {
            self.processes[process].held_descriptors -= 1;
            return Err(ErrorKind::WouldBlock.into());
        }
        let end = self
            .listening_socket(address, number)
            .and_then(|socket| socket.backlog.pop_front());
        let end = end.ok_or(ErrorKind::WouldBlock)?;
        (self.ends[end].owner, self.ends[end].process) = (owner, process);
        // Bytes may have arrived before the connection was accepted.
        let at = self.now;
        self.ends[end].accepted_at = Some(at);
        self.push(at, NetworkEvent::Writable(end));
        Ok(end)
    }

    /// Begins to connect.
    ///
    /// # Errors
    /// If no descriptor is free.
    pub fn connect(&mut self, to: SocketAddr, process: usize, owner: u64) -> io::Result<EndId> {
        let from = self.front_end_address();
        self.connect_from(to, process, owner, from)
    }

    /// Begins to connect from this address.
    ///
    /// # Errors
    /// If no descriptor is free.
    pub fn connect_from(
        &mut self,
        to: SocketAddr,
        process: usize,
        owner: u64,
        from: IpAddr,
    ) -> io::Result<EndId> {
        self.take_descriptor(process)?;
        if from != self.front_end_address() {
            self.source_addresses.insert(self.ends.len(), from);
        }
        let latency = self.random.random_range(30..200);
        let end = self.ends.len();
        self.ends.push(End {
            owner,
            process,
            latency,
            ..End::default()
        });
        self.ends.push(End {
            owner: u64::MAX,
            process: usize::MAX,
            latency,
            connected: true,
            ..End::default()
        });
        let at = self.now + latency;
        self.push(at, NetworkEvent::Syn(end, to));
        Ok(end)
    }

    /// Owner of an end.
    #[must_use]
    pub fn owner(&self, end: EndId) -> u64 {
        self.ends[end].owner
    }

    /// Owner of the other end, if the connection was accepted.
    #[must_use]
    pub fn peer_owner(&self, end: EndId) -> Option<u64> {
        Some(self.ends[end ^ 1].owner).filter(|owner| *owner != u64::MAX)
    }

    /// When the other end accepted a connection that this end dialled.
    #[must_use]
    pub fn accepted_at(&self, end: EndId) -> Option<Micros> {
        self.ends[end ^ 1].accepted_at
    }

    /// Address of front ends and proxies.
    #[must_use]
    pub fn front_end_address(&self) -> IpAddr {
        IpAddr::V4(Ipv4Addr::LOCALHOST)
    }

    /// When the backlog of an address was last full.
    #[must_use]
    pub fn backlog_full_at(&self, address: SocketAddr) -> Micros {
        self.backlog_full_at.get(&address).copied().unwrap_or(0)
    }

    /// Address of the peer of an accepted end.
    #[must_use]
    pub fn peer_address(&self, end: EndId) -> IpAddr {
        self.source_addresses
            .get(&(end ^ 1))
            .copied()
            .unwrap_or_else(|| self.front_end_address())
    }

    /// Handles an event; returns the notification that it causes.
    pub fn handle_event(&mut self, event: NetworkEvent) -> Option<Notification> {
        match event {
            NetworkEvent::Syn(end, to) => {
                let at = self.now + self.ends[end].latency;
                let listening_sockets = self.listening_sockets.get(&to).map_or(0, Vec::len);
                let index = if listening_sockets > 1 {
                    self.random.random_range(0..listening_sockets)
                } else {
                    0
                };
                let socket = self
                    .listening_sockets
                    .get_mut(&to)
                    .and_then(|listening_sockets| listening_sockets.get_mut(index));
                if socket
                    .as_ref()
                    .is_some_and(|socket| socket.backlog.len() >= MAX_BACKLOG)
                {
                    self.backlog_full_at.insert(to, self.now);
                }
                match socket.filter(|socket| socket.backlog.len() < MAX_BACKLOG) {
                    Some(socket) if !self.ends[end].closed => {
                        socket.backlog.push_back(end ^ 1);
                        self.push(at, NetworkEvent::ConnectResult(end, true));
                        Some(Notification::Acceptable(to))
                    }
                    _ => {
                        self.push(at, NetworkEvent::ConnectResult(end, false));
                        None
                    }
                }
            }
            NetworkEvent::ConnectResult(end, established) => {
                self.ends[end].connected = established;
                self.ends[end].refused = !established;
                Some(Notification::Ready(end))
            }
            NetworkEvent::Deliver(end, bytes) => {
                if self.ends[end].closed {
                    // Bytes sent to a closed end cause a reset.
                    let at = self.now + self.ends[end].latency;
                    self.push(at, NetworkEvent::Reset(end ^ 1));
                    return None;
                }
                if self.ends[end].reset {
                    return None;
                }
                self.ends[end].inbox.extend(bytes);
                Some(Notification::Ready(end))
            }
            NetworkEvent::Fin(end) => {
                self.ends[end].peer_finished = true;
                Some(Notification::Ready(end))
            }
            NetworkEvent::Reset(end) => {
                if self.ends[end].closed || self.ends[end].reset {
                    return None;
                }
                self.ends[end].reset = true;
                self.ends[end].inbox.clear();
                Some(Notification::Ready(end))
            }
            NetworkEvent::Writable(end) => Some(Notification::Ready(end)),
        }
        .filter(|notification| match notification {
            Notification::Ready(end) => {
                !self.ends[*end].closed && self.ends[*end].owner != u64::MAX
            }
            Notification::Acceptable(_) => true,
        })
    }

    fn connection_error(&mut self, end: EndId) -> io::Result<()> {
        let end = &mut self.ends[end];
        if end.refused {
            return Err(ErrorKind::ConnectionRefused.into());
        }
        if end.reset {
            return Err(ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }

    /// Returns the pending error of an end.
    ///
    /// # Errors
    /// That error.
    pub fn pending_error(&mut self, end: EndId) -> io::Result<()> {
        self.connection_error(end)
    }

    /// Returns true if the connection is established, as far as this end knows.
    #[must_use]
    pub fn is_established(&self, end: EndId) -> bool {
        let end = &self.ends[end];
        end.connected && !end.reset && !end.refused
    }

    /// Reads some of the bytes that have arrived.
    ///
    /// # Errors
    /// `WouldBlock` if there are none; the error of the connection if it broke.
    pub fn read(&mut self, end: EndId, buffer: &mut [u8]) -> io::Result<usize> {
        self.connection_error(end)?;
        if self.ends[end].inbox.is_empty() {
            return if self.ends[end].peer_finished {
                Ok(0)
            } else {
                Err(ErrorKind::WouldBlock.into())
            };
        }
        let mut number = buffer.len().min(self.ends[end].inbox.len());
        if self.partial_io && number > 1 && self.random.random_range(0..12) == 0 {
            number = self.random.random_range(1..number);
        }
        for (target, byte) in buffer.iter_mut().zip(self.ends[end].inbox.drain(..number)) {
            *target = byte;
        }
        let peer = &mut self.ends[end ^ 1];
        peer.in_flight -= number.min(peer.in_flight);
        if std::mem::take(&mut peer.write_blocked) {
            let at = self.now + self.ends[end].latency;
            self.push(at, NetworkEvent::Writable(end ^ 1));
        }
        Ok(number)
    }

    /// Writes some of the bytes.
    ///
    /// # Errors
    /// `WouldBlock` if there is no room; the error of the connection if it broke.
    pub fn write(&mut self, end: EndId, bytes: &[u8]) -> io::Result<usize> {
        self.connection_error(end)?;
        if self.ends[end].write_shut {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let room = WINDOW_BYTES.saturating_sub(self.ends[end].in_flight);
        if !self.ends[end].connected || room == 0 {
            self.ends[end].write_blocked = true;
            return Err(ErrorKind::WouldBlock.into());
        }
        let mut number = bytes.len().min(room);
        if self.partial_io && number > 1 && self.random.random_range(0..12) == 0 {
            number = self.random.random_range(1..number);
        }
        let now = self.now;
        let sender = &mut self.ends[end];
        sender.in_flight += number;
        sender.last_arrival = sender.last_arrival.max(now + sender.latency)
            + (number / BYTES_PER_MICROSECOND) as Micros;
        let at = sender.last_arrival;
        // A chunk may arrive in two pieces.
        let cut = if self.partial_io && number > 1 && self.random.random_range(0..10) == 0 {
            self.random.random_range(1..number)
        } else {
            number
        };
        self.push(at, NetworkEvent::Deliver(end ^ 1, bytes[..cut].to_vec()));
        if cut < number {
            let later = at + self.random.random_range(1..400);
            self.ends[end].last_arrival = later;
            self.push(
                later,
                NetworkEvent::Deliver(end ^ 1, bytes[cut..number].to_vec()),
            );
        }
        Ok(number)
    }

    /// Shuts down the sending direction.
    pub fn shutdown_write(&mut self, end: EndId) {
        if !std::mem::replace(&mut self.ends[end].write_shut, true) && self.is_established(end) {
            let at = self.ends[end]
                .last_arrival
                .max(self.now + self.ends[end].latency);
            self.push(at, NetworkEvent::Fin(end ^ 1));
        }
    }

    /// Closes an end; closing with unread bytes resets the connection.
    pub fn close(&mut self, end: EndId) {
        if std::mem::replace(&mut self.ends[end].closed, true) {
            return;
        }
        let process = self.ends[end].process;
        self.release_descriptor(process);
        if self.ends[end].inbox.is_empty() {
            self.shutdown_write(end);
        } else {
            let at = self.ends[end]
                .last_arrival
                .max(self.now + self.ends[end].latency);
            self.push(at, NetworkEvent::Reset(end ^ 1));
        }
        self.ends[end].inbox = VecDeque::new();
    }

    /// Resets a connection: bytes in flight are lost in both directions.
    pub fn reset(&mut self, end: EndId) {
        let at = self.now;
        for end in [end, end ^ 1] {
            self.push(at, NetworkEvent::Reset(end));
        }
    }

    /// Established ends that a process holds.
    #[must_use]
    pub fn established_ends(&self, process: usize) -> Vec<EndId> {
        let mine = |(_, end): &(EndId, &End)| {
            end.process == process && !end.closed && end.connected && !end.reset
        };
        self.ends
            .iter()
            .enumerate()
            .filter(mine)
            .map(|(id, _)| id)
            .collect()
    }
}
