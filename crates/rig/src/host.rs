//! Matchers' host in the virtual world: sockets of the virtual network, its clock, and a keeper whose disk is in memory.

use crate::net::{EndId, Net, NetEvent};
use cleatpulley_exchange::history::Effect;
use cleatpulley_exchange::Fact;
use cleatpulley_keep::memory::Memory;
use cleatpulley_keep::Options;
use cleatpulley_matcher::keeping::{Core, Job};
use cleatpulley_matcher::world::{Keeper, Meeting, Passage, Readiness, Stream, World};
use cleatpulley_matcher::Party;
use cleatpulley_policy::interface::{Micros, RequestId};
use cleatpulley_results::journal::Journal;
use cleatpulley_results::record::ScopedKey;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;

/// What happens in the virtual world.
#[derive(Debug)]
pub enum Event {
    /// On the network.
    Net(NetEvent),
    /// A matcher of this life is to take a turn.
    Node(usize, u64),
    /// A service has something to do.
    Service(usize),
    /// A matcher's keeper of this life has something to do.
    Keeper(usize, u64),
    /// A fault begins.
    Fault(usize),
    /// A fault ends.
    Undo(usize),
    /// A replaced matcher comes back.
    Revive(usize, u64),
}

/// The network, shared by all who are on it.
pub type Shared = Rc<RefCell<Net<Event>>>;

/// Who owns an end of a connection.
#[derive(Debug, Clone, Copy)]
pub enum Owner {
    /// A matcher's party.
    Node(usize, Party),
    /// A link of a service.
    Service(usize, u64),
}

const NUMBER: u64 = (1 << 48) - 1;

impl Owner {
    /// As the network has it.
    #[must_use]
    pub fn encode(self) -> u64 {
        let (kind, index, number) = match self {
            Self::Node(node, Party::Front(number)) => (0, node, number),
            Self::Node(node, Party::Runtime) => (1, node, 0),
            Self::Node(node, Party::Store(number)) => (2, node, number),
            Self::Node(node, Party::Directory) => (3, node, 0),
            Self::Node(node, Party::Target(number)) => (5, node, number),
            Self::Node(node, Party::Predecessor) => (7, node, 0),
            Self::Node(node, Party::Successor) => (8, node, 0),
            Self::Node(node, Party::Operator(number)) => (6, node, number),
            Self::Service(service, link) => (4, service, link),
        };
        kind << 56 | (index as u64) << 48 | number & NUMBER
    }

    /// From what the network has.
    #[must_use]
    pub fn decode(code: u64) -> Self {
        let (index, number) = ((code >> 48 & 0xFF) as usize, code & NUMBER);
        match code >> 56 {
            0 => Self::Node(index, Party::Front(number)),
            1 => Self::Node(index, Party::Runtime),
            2 => Self::Node(index, Party::Store(number)),
            3 => Self::Node(index, Party::Directory),
            5 => Self::Node(index, Party::Target(number)),
            6 => Self::Node(index, Party::Operator(number)),
            7 => Self::Node(index, Party::Predecessor),
            8 => Self::Node(index, Party::Successor),
            _ => Self::Service(index, number),
        }
    }
}

/// A matcher's keeper, as its host has it.
pub struct Desk {
    /// What it has to do.
    pub jobs: VecDeque<Job>,
    core: Core<Memory>,
    /// The disk; a crash leaves another.
    pub disk: Memory,
    scheduled: bool,
    /// It does nothing before this time.
    pub stalled_until: Micros,
}

impl Desk {
    /// One on this disk, which a process before may have left.
    #[must_use]
    pub fn new(disk: Memory) -> Self {
        let (jobs, core) = (VecDeque::new(), Core::default());
        Self { jobs, core, disk, scheduled: false, stalled_until: 0 }
    }

    /// Does what there is to do and closes the store.
    pub fn close(&mut self, now: Micros) {
        self.work(now, &mut Vec::new());
        self.core.close();
    }

    /// Does what there is to do; returns when it wants to go on.
    pub fn work(&mut self, now: Micros, facts: &mut Vec<Fact>) -> Option<Micros> {
        self.scheduled = false;
        if now < self.stalled_until {
            self.scheduled = true;
            return Some(self.stalled_until);
        }
        if !self.core.is_open() {
            self.disk.release();
            let options = Options { segment_bytes: 16_384, ..Options::default() };
            let opened = Journal::open(self.disk.clone(), options, now);
            self.core.open(opened, facts);
        }
        self.core.work(&mut self.jobs.drain(..), facts);
        self.core.sync(facts);
        self.core.maintain(now, 4_096, facts);
        if self.core.is_open() {
            return None;
        }
        self.scheduled = true;
        Some(now + 500_000)
    }
}

/// The virtual world, as one matcher sees it.
#[derive(Clone)]
pub struct Virtual {
    /// The network.
    pub net: Shared,
    /// Which matcher it is.
    pub node: usize,
    /// Its life.
    pub life: u64,
    /// Its process, for descriptors.
    pub process: usize,
    /// Its keeper.
    pub desk: Rc<RefCell<Desk>>,
}

/// A connection.
pub struct VirtualStream {
    net: Shared,
    end: EndId,
}

impl Drop for VirtualStream {
    fn drop(&mut self) {
        self.net.borrow_mut().close(self.end);
    }
}

impl Stream for VirtualStream {
    fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.net.borrow_mut().read(self.end, buffer)
    }

    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.net.borrow_mut().write(self.end, bytes)
    }

    fn finish(&self) {
        self.net.borrow_mut().finish(self.end);
    }

    fn check(&self) -> io::Result<()> {
        self.net.borrow_mut().check(self.end)
    }
}

/// A listening socket.
pub struct VirtualListener {
    net: Shared,
    address: SocketAddr,
}

impl Drop for VirtualListener {
    fn drop(&mut self) {
        self.net.borrow_mut().unlisten(self.address);
    }
}

/// A matcher's access to its keeper.
pub struct VirtualKeeper {
    world: Virtual,
}

impl VirtualKeeper {
    fn push(&self, job: Job) {
        let mut desk = self.world.desk.borrow_mut();
        desk.jobs.push_back(job);
        if !std::mem::replace(&mut desk.scheduled, true) {
            let mut net = self.world.net.borrow_mut();
            // A sync takes its time, and what comes meanwhile shares the next.
            let at = net.now + 700 + (net.now / 7) % 900;
            net.queue.push(at, Event::Keeper(self.world.node, self.world.life));
        }
    }
}

impl Keeper for VirtualKeeper {
    fn write(&self, effect: Effect) {
        self.push(Job::Write(effect));
    }

    fn recall(&self, now: Micros, id: RequestId, number: u64, key: ScopedKey) {
        self.push(Job::Recall(now, id, number, key));
    }

    fn release(&mut self) {
        let now = self.world.net.borrow().now;
        self.world.desk.borrow_mut().close(now);
    }

    fn stop(self) {
        let now = self.world.net.borrow().now;
        self.world.desk.borrow_mut().work(now, &mut Vec::new());
    }
}

pub struct NoPassage(Infallible);

impl Passage for NoPassage {
    type Listener = VirtualListener;
    type Passed = Infallible;

    fn send(&self, _: &[u8], _: &[&VirtualListener]) -> io::Result<()> {
        match self.0 {}
    }

    fn receive(&self) -> io::Result<(Vec<u8>, Vec<Infallible>)> {
        match self.0 {}
    }
}

impl World for Virtual {
    type Stream = VirtualStream;
    type Listener = VirtualListener;
    type Keeper = VirtualKeeper;
    type Post = ();
    type Passage = NoPassage;

    fn adopt(&self, passed: Infallible, _: SocketAddr, _: usize) -> io::Result<VirtualListener> {
        match passed {}
    }

    fn post(&self, _: &Meeting, _: usize) -> io::Result<()> {
        Ok(())
    }

    fn welcome(&self, (): &(), _: Party) -> io::Result<NoPassage> {
        Err(io::ErrorKind::WouldBlock.into())
    }

    fn visit(&self, _: &Meeting, _: Party) -> io::Result<NoPassage> {
        Err(io::ErrorKind::NotFound.into())
    }

    fn now(&self) -> Micros {
        self.net.borrow().now
    }

    fn listen(&self, address: SocketAddr, _place: usize) -> io::Result<(VirtualListener, SocketAddr)> {
        self.net.borrow_mut().listen(address, self.process)?;
        Ok((VirtualListener { net: Rc::clone(&self.net), address }, address))
    }

    fn accept(&self, listener: &VirtualListener, party: Party) -> io::Result<(VirtualStream, IpAddr)> {
        let mut net = self.net.borrow_mut();
        let end = net.accept(listener.address, Owner::Node(self.node, party).encode())?;
        let address = net.address();
        Ok((VirtualStream { net: Rc::clone(&self.net), end }, address))
    }

    fn connect(&self, to: SocketAddr, party: Party) -> io::Result<VirtualStream> {
        let owner = Owner::Node(self.node, party).encode();
        let end = self.net.borrow_mut().connect(to, self.process, owner)?;
        Ok(VirtualStream { net: Rc::clone(&self.net), end })
    }

    fn keeper(&self, _folder: PathBuf, _seed: u64) -> io::Result<VirtualKeeper> {
        let mut net = self.net.borrow_mut();
        let at = net.now + 3_000;
        self.desk.borrow_mut().scheduled = true;
        net.queue.push(at, Event::Keeper(self.node, self.life));
        drop(net);
        Ok(VirtualKeeper { world: self.clone() })
    }
}

/// Both ways are worth a try: an end may have become readable, writable or broken.
pub const READY: Readiness = Readiness { readable: true, writable: true };
