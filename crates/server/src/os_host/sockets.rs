//! Sockets of the operating system, registered with the event loop until they are dropped.

use super::event_loop::Watch;
use crate::host::{DatagramSocket, Stream};
use socket2::Socket;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;

/// A stream socket, registered edge-triggered.
pub struct OsStream {
    pub(super) socket: Rc<TcpStream>,
    pub(super) _watch: Watch,
}

impl Stream for OsStream {
    fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        (&*self.socket).read(buffer)
    }

    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        (&*self.socket).write(bytes)
    }

    fn shutdown_write(&self) {
        // A peer that has already disconnected is not an error.
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    fn take_error(&self) -> io::Result<()> {
        self.socket.take_error()?.map_or(Ok(()), Err)
    }
}

/// A listening socket.
pub struct Listener {
    pub(super) socket: Rc<TcpListener>,
    pub(super) _watch: Watch,
}

impl Listener {
    pub(crate) fn socket(&self) -> &TcpListener {
        &self.socket
    }
}

/// The listening socket for successors.
pub struct SuccessorListener {
    pub(super) socket: Rc<Socket>,
    pub(super) _watch: Watch,
}

/// A datagram socket, registered edge-triggered.
pub struct OsDatagramSocket {
    pub(super) socket: Rc<UdpSocket>,
    pub(super) _watch: Watch,
}

impl DatagramSocket for OsDatagramSocket {
    fn send(&self, address: SocketAddr, datagram: &[u8]) -> io::Result<()> {
        self.socket.send_to(datagram, address).map(|_| ())
    }

    fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer)
    }
}
