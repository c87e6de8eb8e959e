//! Handover channels between the processes of one machine during an upgrade: messages and listening
//! sockets pass over them, as over a Unix socket.

use crate::host::{Event, SharedNetwork, VirtualHost, VirtualListener};
use cleatpulley_policy::interface::Micros;
use cleatpulley_server::host::HandoverChannel;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;

/// Latency of a message.
const MESSAGE_LATENCY: Micros = 40;

/// State of one side of a channel.
#[derive(Default)]
struct ChannelSide {
    matcher: usize,
    incarnation: u64,
    inbox: VecDeque<(Vec<u8>, Vec<VirtualReceivedSocket>)>,
    closed: bool,
}

/// Handover state of one machine.
#[derive(Default)]
pub struct HandoverState {
    /// Incarnation of the process that listens for successors, and the channels that wait to be
    /// accepted.
    successor_listener: Option<(u64, VecDeque<usize>)>,
    channels: Vec<[ChannelSide; 2]>,
    /// Changes a digit in the next snapshot of learned state.
    pub corrupt_next_snapshot: bool,
    /// Incarnations that received a corrupted snapshot.
    pub corrupted_incarnations: Vec<u64>,
}

type SharedHandoverState = Rc<RefCell<HandoverState>>;

/// A process's end of a channel.
pub struct VirtualHandoverChannel {
    net: SharedNetwork,
    handover: SharedHandoverState,
    process: usize,
    number: usize,
    side: usize,
}

impl Drop for VirtualHandoverChannel {
    fn drop(&mut self) {
        self.net.borrow_mut().release_descriptor(self.process);
        let mut handover = self.handover.borrow_mut();
        let sides = &mut handover.channels[self.number];
        sides[self.side].closed = true;
        let peer = &sides[self.side ^ 1];
        notify(&self.net, peer.matcher, peer.incarnation);
    }
}

fn notify(net: &SharedNetwork, matcher: usize, incarnation: u64) {
    let mut net = net.borrow_mut();
    let at = net.now + MESSAGE_LATENCY;
    net.queue
        .push(at, Event::HandoverChannel(matcher, incarnation));
}

impl VirtualHandoverChannel {
    /// Connects to the process that listens for successors.
    pub(crate) fn connect(host: &VirtualHost) -> io::Result<Self> {
        let mut handover = host.handover.borrow_mut();
        let number = handover.channels.len();
        let Some((owner, waiting)) = &mut handover.successor_listener else {
            return Err(ErrorKind::NotFound.into());
        };
        host.net.borrow_mut().acquire_descriptor(host.process)?;
        waiting.push_back(number);
        let owner = *owner;
        let side = |incarnation| ChannelSide {
            matcher: host.matcher,
            incarnation,
            ..ChannelSide::default()
        };
        handover
            .channels
            .push([side(host.incarnation), side(owner)]);
        notify(&host.net, host.matcher, owner);
        let (net, handover) = (Rc::clone(&host.net), Rc::clone(&host.handover));
        Ok(Self {
            net,
            handover,
            process: host.process,
            number,
            side: 0,
        })
    }
}

impl HandoverChannel for VirtualHandoverChannel {
    type Listener = VirtualListener;
    type ReceivedSocket = VirtualReceivedSocket;

    fn send(&self, message: &[u8], listeners: &[&VirtualListener]) -> io::Result<()> {
        let passed = listeners
            .iter()
            .map(|listener| VirtualReceivedSocket::new(&self.net, listener))
            .collect();
        let mut message = message.to_vec();
        let mut handover = self.handover.borrow_mut();
        let peer = &handover.channels[self.number][self.side ^ 1];
        let (matcher, incarnation, closed) = (peer.matcher, peer.incarnation, peer.closed);
        if closed {
            return Err(ErrorKind::BrokenPipe.into());
        }
        // Changes one digit of the learned state.
        let learned = message.windows(9).position(|bytes| bytes == b"run_limit");
        if let (true, Some(digit_start)) = (handover.corrupt_next_snapshot, learned) {
            if let Some(digit) = message[digit_start..]
                .iter_mut()
                .find(|byte| byte.is_ascii_digit())
            {
                *digit = if *digit == b'9' { b'1' } else { *digit + 1 };
                handover.corrupt_next_snapshot = false;
                handover.corrupted_incarnations.push(incarnation);
            }
        }
        handover.channels[self.number][self.side ^ 1]
            .inbox
            .push_back((message, passed));
        notify(&self.net, matcher, incarnation);
        Ok(())
    }

    fn receive(&self) -> io::Result<(Vec<u8>, Vec<VirtualReceivedSocket>)> {
        let mut handover = self.handover.borrow_mut();
        let sides = &mut handover.channels[self.number];
        if let Some(message) = sides[self.side].inbox.pop_front() {
            return Ok(message);
        }
        if sides[self.side ^ 1].closed {
            return Ok((Vec::new(), Vec::new()));
        }
        Err(ErrorKind::WouldBlock.into())
    }
}

/// Listener for successors.
pub struct VirtualSuccessorListener {
    net: SharedNetwork,
    handover: SharedHandoverState,
    process: usize,
    incarnation: u64,
}

impl Drop for VirtualSuccessorListener {
    fn drop(&mut self) {
        self.net.borrow_mut().release_descriptor(self.process);
        let mut handover = self.handover.borrow_mut();
        // Another process may have taken over the name in the meantime.
        if let Some((_, waiting)) = handover
            .successor_listener
            .take_if(|(incarnation, _)| *incarnation == self.incarnation)
        {
            for number in waiting {
                handover.channels[number][1].closed = true;
                let successor = &handover.channels[number][0];
                notify(&self.net, successor.matcher, successor.incarnation);
            }
        }
    }
}

impl VirtualSuccessorListener {
    pub(crate) fn new(host: &VirtualHost) -> io::Result<Self> {
        host.net.borrow_mut().acquire_descriptor(host.process)?;
        let mut handover = host.handover.borrow_mut();
        let previous = handover
            .successor_listener
            .replace((host.incarnation, VecDeque::new()));
        for number in previous.into_iter().flat_map(|(_, waiting)| waiting) {
            handover.channels[number][1].closed = true;
            let successor = &handover.channels[number][0];
            notify(&host.net, successor.matcher, successor.incarnation);
        }
        drop(handover);
        let (net, handover) = (Rc::clone(&host.net), Rc::clone(&host.handover));
        Ok(Self {
            net,
            handover,
            process: host.process,
            incarnation: host.incarnation,
        })
    }

    pub(crate) fn accept(&self, host: &VirtualHost) -> io::Result<VirtualHandoverChannel> {
        let mut handover = self.handover.borrow_mut();
        let registration = handover
            .successor_listener
            .as_mut()
            .filter(|(incarnation, _)| *incarnation == self.incarnation);
        let (_, waiting) = registration
            .filter(|(_, waiting)| !waiting.is_empty())
            .ok_or(ErrorKind::WouldBlock)?;
        self.net.borrow_mut().acquire_descriptor(self.process)?;
        let number = waiting.pop_front().ok_or(ErrorKind::WouldBlock)?;
        let (net, handover) = (Rc::clone(&host.net), Rc::clone(&host.handover));
        Ok(VirtualHandoverChannel {
            net,
            handover,
            process: self.process,
            number,
            side: 1,
        })
    }
}

/// A listening socket in transit.
pub struct VirtualReceivedSocket {
    net: SharedNetwork,
    address: SocketAddr,
    number: u64,
}

impl Drop for VirtualReceivedSocket {
    fn drop(&mut self) {
        self.net
            .borrow_mut()
            .end_transfer(self.address, self.number);
    }
}

impl VirtualReceivedSocket {
    fn new(net: &SharedNetwork, listener: &VirtualListener) -> Self {
        let (address, number) = listener.address_and_number();
        net.borrow_mut().begin_transfer(address, number);
        Self {
            net: Rc::clone(net),
            address,
            number,
        }
    }

    pub(crate) fn adopt_listener(
        self,
        address: SocketAddr,
        process: usize,
    ) -> io::Result<VirtualListener> {
        if self.address != address {
            return Err(ErrorKind::InvalidData.into());
        }
        self.net
            .borrow_mut()
            .adopt_listener(address, self.number, process)?;
        Ok(VirtualListener::new(
            Rc::clone(&self.net),
            address,
            self.number,
            process,
        ))
    }
}
