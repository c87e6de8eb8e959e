//! The network of the virtual world: connections with latency, bandwidth, partial reads and writes, backlogs, half-closes
//! and resets, and descriptors that are counted. It knows nobody: whoever has an end of a connection is told what
//! happened there.

use crate::queue::Queue;
use cleatpulley_policy::interface::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Bytes on their way or unread that a connection holds in one direction.
const WINDOW: usize = 65_536;
/// Connections that wait to be accepted.
const BACKLOG: usize = 1_024;
/// Bytes that pass in a microsecond.
const BANDWIDTH: usize = 100;
/// A process with fewer descriptors left than this is short of them: its front end keeps some for other uses.
const SHORT: usize = 70;
/// The system's error where a process has no descriptor left.
const NO_DESCRIPTORS: i32 = 24;

/// An end of a connection.
pub type EndId = usize;

/// What passes on the network.
#[derive(Debug)]
pub enum NetEvent {
    /// A connection is asked for.
    Syn(EndId, SocketAddr),
    /// It stands, or was refused.
    Answered(EndId, bool),
    /// Bytes come.
    Deliver(EndId, Vec<u8>),
    /// The peer sends no more.
    Fin(EndId),
    /// The connection is over.
    Reset(EndId),
    /// There is room to write again.
    Room(EndId),
}

/// What whoever has an end, or a listener, is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// A connection waits to be accepted.
    Acceptable(SocketAddr),
    /// It may be read from or written to, or is over.
    Ready(EndId),
}

#[derive(Debug, Default)]
struct End {
    /// Whose it is, by a number of the world's.
    owner: u64,
    /// The process that it belongs to; its descriptors are counted.
    process: usize,
    inbox: VecDeque<u8>,
    /// Bytes that this end sent and the other has not read.
    flying: usize,
    /// Nothing sent is delivered before this.
    arrives: Micros,
    latency: Micros,
    connected: bool,
    refused: bool,
    /// The peer sends no more.
    ended: bool,
    reset: bool,
    finished: bool,
    gone: bool,
    blocked: bool,
    /// When the listener's side accepted the connection.
    accepted: Option<Micros>,
}

#[derive(Debug, Default)]
struct Process {
    held: usize,
    most: usize,
    /// When it was last short of descriptors.
    short_at: Micros,
}

/// A listening socket: one queue, whoever holds it. It is there until nobody does.
#[derive(Debug)]
struct Door {
    number: u64,
    holders: Vec<usize>,
    backlog: VecDeque<EndId>,
}

/// Who holds a listening socket that is on its way from one process to another.
const NOBODY: usize = usize::MAX;

/// The network.
pub struct Net<E> {
    /// The time.
    pub now: Micros,
    /// All events of the world.
    pub queue: Queue<E>,
    wrap: fn(NetEvent) -> E,
    random: SmallRng,
    ends: Vec<End>,
    /// Several at one address share what comes there.
    doors: BTreeMap<SocketAddr, Vec<Door>>,
    numbers: u64,
    processes: Vec<Process>,
    /// Reads and writes are cut short now and then.
    pub partial: bool,
    /// Accepts and connects that found no descriptor.
    pub exhausted: u64,
    /// When a queue of connections to be accepted was last full, by its address.
    full_at: BTreeMap<SocketAddr, Micros>,
    /// Ends that dialled from another address than that of front ends.
    froms: BTreeMap<EndId, IpAddr>,
}

impl<E> Net<E> {
    /// One that begins at this time.
    #[must_use]
    pub fn new(now: Micros, seed: u64, wrap: fn(NetEvent) -> E) -> Self {
        Self {
            now,
            queue: Queue::default(),
            wrap,
            random: SmallRng::seed_from_u64(seed),
            ends: Vec::new(),
            doors: BTreeMap::new(),
            numbers: 0,
            processes: Vec::new(),
            full_at: BTreeMap::new(),
            froms: BTreeMap::new(),
            partial: false,
            exhausted: 0,
        }
    }

    /// A process that may hold so many descriptors.
    pub fn process(&mut self, most: usize) -> usize {
        self.processes.push(Process {
            most,
            ..Process::default()
        });
        self.processes.len() - 1
    }

    /// Sets how many descriptors a process may hold; what it holds beyond that stays.
    pub fn limit(&mut self, process: usize, most: usize) {
        self.note_short(process);
        self.processes[process].most = most;
    }

    fn note_short(&mut self, process: usize) {
        let now = self.now;
        let process = &mut self.processes[process];
        if process.held.saturating_add(SHORT) >= process.most {
            process.short_at = now;
        }
    }

    /// When a process was last short of descriptors.
    #[must_use]
    pub fn short_at(&self, process: usize) -> Micros {
        let one = &self.processes[process];
        if one.held.saturating_add(SHORT) >= one.most {
            self.now
        } else {
            one.short_at
        }
    }

    /// Descriptors that a process holds.
    #[must_use]
    pub fn held(&self, process: usize) -> usize {
        self.processes[process].held
    }

    fn push(&mut self, at: Micros, event: NetEvent) {
        let event = (self.wrap)(event);
        self.queue.push(at, event);
    }

    fn take_descriptor(&mut self, process: usize) -> io::Result<()> {
        let one = &mut self.processes[process];
        if one.held >= one.most {
            self.exhausted += 1;
            return Err(io::Error::from_raw_os_error(NO_DESCRIPTORS));
        }
        one.held += 1;
        Ok(())
    }

    /// Takes a descriptor for something that is no connection.
    ///
    /// # Errors
    /// Where none is left.
    pub fn hold(&mut self, process: usize) -> io::Result<()> {
        self.take_descriptor(process)
    }

    /// Gives such a descriptor back.
    pub fn let_go(&mut self, process: usize) {
        self.note_short(process);
        self.processes[process].held -= 1;
    }

    /// Listens; beside others only where that is meant. Returns the number of the listening socket.
    ///
    /// # Errors
    /// Where the address is taken or no descriptor is left.
    pub fn listen(&mut self, address: SocketAddr, process: usize, beside: bool) -> io::Result<u64> {
        if self.doors.contains_key(&address) && !beside {
            return Err(ErrorKind::AddrInUse.into());
        }
        self.take_descriptor(process)?;
        self.numbers += 1;
        let door = Door {
            number: self.numbers,
            holders: vec![process],
            backlog: VecDeque::new(),
        };
        self.doors.entry(address).or_default().push(door);
        Ok(self.numbers)
    }

    fn door(&mut self, address: SocketAddr, number: u64) -> Option<&mut Door> {
        self.doors
            .get_mut(&address)?
            .iter_mut()
            .find(|door| door.number == number)
    }

    /// A listening socket goes on its way to another process.
    pub fn pass_on(&mut self, address: SocketAddr, number: u64) {
        if let Some(door) = self.door(address, number) {
            door.holders.push(NOBODY);
        }
    }

    /// A process takes up a listening socket that was on its way.
    ///
    /// # Errors
    /// Where no descriptor is left.
    pub fn take_up(&mut self, address: SocketAddr, number: u64, process: usize) -> io::Result<()> {
        self.take_descriptor(process)?;
        match self.door(address, number) {
            Some(door) => door.holders.push(process),
            None => self.let_go(process),
        }
        Ok(())
    }

    /// A listening socket that was on its way is given up, or was taken up.
    pub fn arrived(&mut self, address: SocketAddr, number: u64) {
        self.close_door(address, number, NOBODY);
    }

    /// A process closes its listening socket. Where nobody else has it, what waits to be accepted is reset.
    pub fn close_door(&mut self, address: SocketAddr, number: u64, process: usize) {
        let Some(door) = self.door(address, number) else {
            return;
        };
        let Some(place) = door.holders.iter().position(|holder| *holder == process) else {
            return;
        };
        door.holders.swap_remove(place);
        let last = door.holders.is_empty();
        if process != NOBODY {
            self.let_go(process);
        }
        if last {
            let doors = self.doors.remove(&address).unwrap_or_default();
            for door in doors {
                if door.number == number {
                    self.reset_backlog(door);
                } else {
                    self.doors.entry(address).or_default().push(door);
                }
            }
        }
    }

    fn reset_backlog(&mut self, door: Door) {
        for end in door.backlog {
            self.ends[end].gone = true;
            let at = self.now + self.ends[end].latency;
            self.push(at, NetEvent::Reset(end ^ 1));
        }
    }

    /// Nobody listens there any more; what waits to be accepted is reset.
    pub fn unlisten(&mut self, address: SocketAddr) {
        for door in self.doors.remove(&address).unwrap_or_default() {
            for process in door
                .holders
                .iter()
                .copied()
                .filter(|process| *process != NOBODY)
            {
                self.let_go(process);
            }
            self.reset_backlog(door);
        }
    }

    /// Processes that hold a listening socket there.
    #[must_use]
    pub fn listeners(&self, address: SocketAddr) -> usize {
        let doors = self.doors.get(&address).map_or(&[][..], Vec::as_slice);
        doors.iter().map(|door| door.holders.len()).sum()
    }

    /// Accepts a connection that waits at the first listening socket there.
    ///
    /// # Errors
    /// As [`accept_at`](Self::accept_at).
    pub fn accept(&mut self, address: SocketAddr, owner: u64) -> io::Result<EndId> {
        let door = self.doors.get(&address).and_then(|doors| doors.first());
        let (number, process) = door
            .map(|door| (door.number, door.holders[0]))
            .ok_or(ErrorKind::NotConnected)?;
        self.accept_at(address, number, process, owner)
    }

    /// Accepts a connection that waits at this listening socket, for a process that holds it.
    ///
    /// # Errors
    /// `WouldBlock` where none waits; that of the system where no descriptor is left.
    pub fn accept_at(
        &mut self,
        address: SocketAddr,
        number: u64,
        process: usize,
        owner: u64,
    ) -> io::Result<EndId> {
        let door = self.door(address, number).ok_or(ErrorKind::NotConnected)?;
        let nobody = door.backlog.is_empty();
        // The system looks for a descriptor before it looks whether anybody waits.
        self.take_descriptor(process)?;
        if nobody {
            self.processes[process].held -= 1;
            return Err(ErrorKind::WouldBlock.into());
        }
        let end = self
            .door(address, number)
            .and_then(|door| door.backlog.pop_front());
        let end = end.ok_or(ErrorKind::WouldBlock)?;
        (self.ends[end].owner, self.ends[end].process) = (owner, process);
        // What came before it was accepted is there.
        let at = self.now;
        self.ends[end].accepted = Some(at);
        self.push(at, NetEvent::Room(end));
        Ok(end)
    }

    /// Begins to connect.
    ///
    /// # Errors
    /// Where no descriptor is left.
    pub fn connect(&mut self, to: SocketAddr, process: usize, owner: u64) -> io::Result<EndId> {
        let from = self.address();
        self.connect_from(to, process, owner, from)
    }

    /// Begins to connect, from this address.
    ///
    /// # Errors
    /// Where no descriptor is left.
    pub fn connect_from(
        &mut self,
        to: SocketAddr,
        process: usize,
        owner: u64,
        from: IpAddr,
    ) -> io::Result<EndId> {
        self.take_descriptor(process)?;
        if from != self.address() {
            self.froms.insert(self.ends.len(), from);
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
        self.push(at, NetEvent::Syn(end, to));
        Ok(end)
    }

    /// Whose an end is.
    #[must_use]
    pub fn owner(&self, end: EndId) -> u64 {
        self.ends[end].owner
    }

    /// Whose the other side of a connection is, where it was accepted.
    #[must_use]
    pub fn peer_owner(&self, end: EndId) -> Option<u64> {
        Some(self.ends[end ^ 1].owner).filter(|owner| *owner != u64::MAX)
    }

    /// When the other side of a connection that an end dialled has accepted it.
    #[must_use]
    pub fn accepted(&self, end: EndId) -> Option<Micros> {
        self.ends[end ^ 1].accepted
    }

    /// The address that front ends and proxies have.
    #[must_use]
    pub fn address(&self) -> IpAddr {
        IpAddr::V4(Ipv4Addr::LOCALHOST)
    }

    /// When the queue of an address was last full.
    #[must_use]
    pub fn full_at(&self, address: SocketAddr) -> Micros {
        self.full_at.get(&address).copied().unwrap_or(0)
    }

    /// The address of the peer of an end that was accepted.
    #[must_use]
    pub fn address_of(&self, end: EndId) -> IpAddr {
        self.froms
            .get(&(end ^ 1))
            .copied()
            .unwrap_or_else(|| self.address())
    }

    /// Takes note of what passed; returns who is to be told.
    pub fn pass(&mut self, event: NetEvent) -> Option<Told> {
        match event {
            NetEvent::Syn(end, to) => {
                let at = self.now + self.ends[end].latency;
                let doors = self.doors.get(&to).map_or(0, Vec::len);
                let which = if doors > 1 {
                    self.random.random_range(0..doors)
                } else {
                    0
                };
                let door = self
                    .doors
                    .get_mut(&to)
                    .and_then(|doors| doors.get_mut(which));
                if door
                    .as_ref()
                    .is_some_and(|door| door.backlog.len() >= BACKLOG)
                {
                    self.full_at.insert(to, self.now);
                }
                match door.filter(|door| door.backlog.len() < BACKLOG) {
                    Some(door) if !self.ends[end].gone => {
                        door.backlog.push_back(end ^ 1);
                        self.push(at, NetEvent::Answered(end, true));
                        Some(Told::Acceptable(to))
                    }
                    _ => {
                        self.push(at, NetEvent::Answered(end, false));
                        None
                    }
                }
            }
            NetEvent::Answered(end, stands) => {
                self.ends[end].connected = stands;
                self.ends[end].refused = !stands;
                Some(Told::Ready(end))
            }
            NetEvent::Deliver(end, bytes) => {
                if self.ends[end].gone {
                    // Whoever sends to nobody learns it.
                    let at = self.now + self.ends[end].latency;
                    self.push(at, NetEvent::Reset(end ^ 1));
                    return None;
                }
                if self.ends[end].reset {
                    return None;
                }
                self.ends[end].inbox.extend(bytes);
                Some(Told::Ready(end))
            }
            NetEvent::Fin(end) => {
                self.ends[end].ended = true;
                Some(Told::Ready(end))
            }
            NetEvent::Reset(end) => {
                if self.ends[end].gone || self.ends[end].reset {
                    return None;
                }
                self.ends[end].reset = true;
                self.ends[end].inbox.clear();
                Some(Told::Ready(end))
            }
            NetEvent::Room(end) => Some(Told::Ready(end)),
        }
        .filter(|told| match told {
            Told::Ready(end) => !self.ends[*end].gone && self.ends[*end].owner != u64::MAX,
            Told::Acceptable(_) => true,
        })
    }

    fn broken(&mut self, end: EndId) -> io::Result<()> {
        let end = &mut self.ends[end];
        if end.refused {
            return Err(ErrorKind::ConnectionRefused.into());
        }
        if end.reset {
            return Err(ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }

    /// The error that an end holds.
    ///
    /// # Errors
    /// That error.
    pub fn check(&mut self, end: EndId) -> io::Result<()> {
        self.broken(end)
    }

    /// It stands, as far as its end knows.
    #[must_use]
    pub fn stands(&self, end: EndId) -> bool {
        let end = &self.ends[end];
        end.connected && !end.reset && !end.refused
    }

    /// Reads some of what has come.
    ///
    /// # Errors
    /// `WouldBlock` where nothing has; that of the connection where it broke.
    pub fn read(&mut self, end: EndId, buffer: &mut [u8]) -> io::Result<usize> {
        self.broken(end)?;
        if self.ends[end].inbox.is_empty() {
            return if self.ends[end].ended {
                Ok(0)
            } else {
                Err(ErrorKind::WouldBlock.into())
            };
        }
        let mut number = buffer.len().min(self.ends[end].inbox.len());
        if self.partial && number > 1 && self.random.random_range(0..12) == 0 {
            number = self.random.random_range(1..number);
        }
        for (place, byte) in buffer.iter_mut().zip(self.ends[end].inbox.drain(..number)) {
            *place = byte;
        }
        let peer = &mut self.ends[end ^ 1];
        peer.flying -= number.min(peer.flying);
        if std::mem::take(&mut peer.blocked) {
            let at = self.now + self.ends[end].latency;
            self.push(at, NetEvent::Room(end ^ 1));
        }
        Ok(number)
    }

    /// Writes some of it.
    ///
    /// # Errors
    /// `WouldBlock` where there is no room; that of the connection where it broke.
    pub fn write(&mut self, end: EndId, bytes: &[u8]) -> io::Result<usize> {
        self.broken(end)?;
        if self.ends[end].finished {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let room = WINDOW.saturating_sub(self.ends[end].flying);
        if !self.ends[end].connected || room == 0 {
            self.ends[end].blocked = true;
            return Err(ErrorKind::WouldBlock.into());
        }
        let mut number = bytes.len().min(room);
        if self.partial && number > 1 && self.random.random_range(0..12) == 0 {
            number = self.random.random_range(1..number);
        }
        let now = self.now;
        let one = &mut self.ends[end];
        one.flying += number;
        one.arrives = one.arrives.max(now + one.latency) + (number / BANDWIDTH) as Micros;
        let at = one.arrives;
        // A chunk may arrive in two pieces.
        let cut = if self.partial && number > 1 && self.random.random_range(0..10) == 0 {
            self.random.random_range(1..number)
        } else {
            number
        };
        self.push(at, NetEvent::Deliver(end ^ 1, bytes[..cut].to_vec()));
        if cut < number {
            let later = at + self.random.random_range(1..400);
            self.ends[end].arrives = later;
            self.push(
                later,
                NetEvent::Deliver(end ^ 1, bytes[cut..number].to_vec()),
            );
        }
        Ok(number)
    }

    /// Sends no more.
    pub fn finish(&mut self, end: EndId) {
        if !std::mem::replace(&mut self.ends[end].finished, true) && self.stands(end) {
            let at = self.ends[end]
                .arrives
                .max(self.now + self.ends[end].latency);
            self.push(at, NetEvent::Fin(end ^ 1));
        }
    }

    /// Closes an end; closing over bytes that were not read resets the connection.
    pub fn close(&mut self, end: EndId) {
        if std::mem::replace(&mut self.ends[end].gone, true) {
            return;
        }
        let process = self.ends[end].process;
        self.let_go(process);
        if self.ends[end].inbox.is_empty() {
            self.finish(end);
        } else {
            let at = self.ends[end]
                .arrives
                .max(self.now + self.ends[end].latency);
            self.push(at, NetEvent::Reset(end ^ 1));
        }
        self.ends[end].inbox = VecDeque::new();
    }

    /// Resets a connection: what was on its way is lost on both sides.
    pub fn reset(&mut self, end: EndId) {
        let at = self.now;
        for end in [end, end ^ 1] {
            self.push(at, NetEvent::Reset(end));
        }
    }

    /// Ends that a process holds and whose connection stands.
    #[must_use]
    pub fn ends_of(&self, process: usize) -> Vec<EndId> {
        let mine = |(_, end): &(EndId, &End)| {
            end.process == process && !end.gone && end.connected && !end.reset
        };
        self.ends
            .iter()
            .enumerate()
            .filter(mine)
            .map(|(id, _)| id)
            .collect()
    }
}
