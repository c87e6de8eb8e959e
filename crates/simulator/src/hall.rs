//! Where the processes of one machine meet while one takes another's place: messages and listening sockets pass between
//! them, as over a Unix socket.

use crate::host::{Event, Shared, Virtual, VirtualListener};
use cleatpulley_policy::interface::Micros;
use cleatpulley_server::host::HandoverChannel;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;

/// A message takes so long.
const LATENCY: Micros = 40;

/// What waits on one side of a passage.
#[derive(Default)]
struct Side {
    node: usize,
    life: u64,
    inbox: VecDeque<(Vec<u8>, Vec<VirtualPassed>)>,
    closed: bool,
}

/// The hall of one machine.
#[derive(Default)]
pub struct Hall {
    /// The life of the process that successors come to, and the passages that wait there.
    post: Option<(u64, VecDeque<usize>)>,
    passages: Vec<[Side; 2]>,
    /// The next snapshot of what was learned has a bit turned on its way.
    pub tears: bool,
    /// Lives that were told a torn snapshot.
    pub torn: Vec<u64>,
}

type Halls = Rc<RefCell<Hall>>;

/// A process's end of a passage.
pub struct VirtualPassage {
    net: Shared,
    hall: Halls,
    process: usize,
    number: usize,
    side: usize,
}

impl Drop for VirtualPassage {
    fn drop(&mut self) {
        self.net.borrow_mut().let_go(self.process);
        let mut hall = self.hall.borrow_mut();
        let sides = &mut hall.passages[self.number];
        sides[self.side].closed = true;
        let other = &sides[self.side ^ 1];
        wake(&self.net, other.node, other.life);
    }
}

fn wake(net: &Shared, node: usize, life: u64) {
    let mut net = net.borrow_mut();
    let at = net.now + LATENCY;
    net.queue.push(at, Event::HandoverChannel(node, life));
}

impl VirtualPassage {
    /// Comes to the process that serves.
    pub(crate) fn visit(world: &Virtual) -> io::Result<Self> {
        let mut hall = world.hall.borrow_mut();
        let number = hall.passages.len();
        let Some((owner, waiting)) = &mut hall.post else {
            return Err(ErrorKind::NotFound.into());
        };
        world.net.borrow_mut().hold(world.process)?;
        waiting.push_back(number);
        let owner = *owner;
        let side = |life| Side {
            node: world.node,
            life,
            ..Side::default()
        };
        hall.passages.push([side(world.life), side(owner)]);
        wake(&world.net, world.node, owner);
        let (net, hall) = (Rc::clone(&world.net), Rc::clone(&world.hall));
        Ok(Self {
            net,
            hall,
            process: world.process,
            number,
            side: 0,
        })
    }
}

impl HandoverChannel for VirtualPassage {
    type Listener = VirtualListener;
    type ReceivedSocket = VirtualPassed;

    fn send(&self, message: &[u8], along: &[&VirtualListener]) -> io::Result<()> {
        let passed = along
            .iter()
            .map(|listener| VirtualPassed::new(&self.net, listener))
            .collect();
        let mut message = message.to_vec();
        let mut hall = self.hall.borrow_mut();
        let other = &hall.passages[self.number][self.side ^ 1];
        let (node, life, closed) = (other.node, other.life, other.closed);
        if closed {
            return Err(ErrorKind::BrokenPipe.into());
        }
        // A digit of what was learned becomes another one.
        let learned = message.windows(9).position(|bytes| bytes == b"run_limit");
        if let (true, Some(place)) = (hall.tears, learned) {
            if let Some(digit) = message[place..]
                .iter_mut()
                .find(|byte| byte.is_ascii_digit())
            {
                *digit = if *digit == b'9' { b'1' } else { *digit + 1 };
                hall.tears = false;
                hall.torn.push(life);
            }
        }
        hall.passages[self.number][self.side ^ 1]
            .inbox
            .push_back((message, passed));
        wake(&self.net, node, life);
        Ok(())
    }

    fn receive(&self) -> io::Result<(Vec<u8>, Vec<VirtualPassed>)> {
        let mut hall = self.hall.borrow_mut();
        let sides = &mut hall.passages[self.number];
        if let Some(message) = sides[self.side].inbox.pop_front() {
            return Ok(message);
        }
        if sides[self.side ^ 1].closed {
            return Ok((Vec::new(), Vec::new()));
        }
        Err(ErrorKind::WouldBlock.into())
    }
}

/// Where successors come to.
pub struct VirtualPost {
    net: Shared,
    hall: Halls,
    process: usize,
    life: u64,
}

impl Drop for VirtualPost {
    fn drop(&mut self) {
        self.net.borrow_mut().let_go(self.process);
        let mut hall = self.hall.borrow_mut();
        // Another may have taken the name meanwhile.
        if let Some((_, waiting)) = hall.post.take_if(|(life, _)| *life == self.life) {
            for number in waiting {
                hall.passages[number][1].closed = true;
                let visitor = &hall.passages[number][0];
                wake(&self.net, visitor.node, visitor.life);
            }
        }
    }
}

impl VirtualPost {
    pub(crate) fn new(world: &Virtual) -> io::Result<Self> {
        world.net.borrow_mut().hold(world.process)?;
        let mut hall = world.hall.borrow_mut();
        let before = hall.post.replace((world.life, VecDeque::new()));
        for number in before.into_iter().flat_map(|(_, waiting)| waiting) {
            hall.passages[number][1].closed = true;
            let visitor = &hall.passages[number][0];
            wake(&world.net, visitor.node, visitor.life);
        }
        drop(hall);
        let (net, hall) = (Rc::clone(&world.net), Rc::clone(&world.hall));
        Ok(Self {
            net,
            hall,
            process: world.process,
            life: world.life,
        })
    }

    pub(crate) fn welcome(&self, world: &Virtual) -> io::Result<VirtualPassage> {
        let mut hall = self.hall.borrow_mut();
        let mine = hall.post.as_mut().filter(|(life, _)| *life == self.life);
        let (_, waiting) = mine
            .filter(|(_, waiting)| !waiting.is_empty())
            .ok_or(ErrorKind::WouldBlock)?;
        self.net.borrow_mut().hold(self.process)?;
        let number = waiting.pop_front().ok_or(ErrorKind::WouldBlock)?;
        let (net, hall) = (Rc::clone(&world.net), Rc::clone(&world.hall));
        Ok(VirtualPassage {
            net,
            hall,
            process: self.process,
            number,
            side: 1,
        })
    }
}

/// A listening socket on its way.
pub struct VirtualPassed {
    net: Shared,
    address: SocketAddr,
    number: u64,
}

impl Drop for VirtualPassed {
    fn drop(&mut self) {
        self.net.borrow_mut().arrived(self.address, self.number);
    }
}

impl VirtualPassed {
    fn new(net: &Shared, listener: &VirtualListener) -> Self {
        let (address, number) = listener.at();
        net.borrow_mut().pass_on(address, number);
        Self {
            net: Rc::clone(net),
            address,
            number,
        }
    }

    pub(crate) fn take_up(
        self,
        address: SocketAddr,
        process: usize,
    ) -> io::Result<VirtualListener> {
        if self.address != address {
            return Err(ErrorKind::InvalidData.into());
        }
        self.net
            .borrow_mut()
            .take_up(address, self.number, process)?;
        Ok(VirtualListener::new(
            Rc::clone(&self.net),
            address,
            self.number,
            process,
        ))
    }
}
