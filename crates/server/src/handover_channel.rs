//! The handover channel on the operating system: a Unix SEQPACKET socket in a private folder, over
//! which the two processes of a hot restart exchange messages and listening sockets.

use crate::host::{self, HandoverAddress};
use crate::os_host::event_loop::Watch;
use crate::os_host::sockets::Listener;
use cleatpulley_hot_restart::message::MAX_MESSAGE_BYTES;
use rustix::net::{
    recvmsg, sendmsg, sockopt, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags,
    SendAncillaryBuffer, SendAncillaryMessage, SendFlags, SocketType,
};
use socket2::{Domain, SockAddr, Socket, Type};
use std::fs;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt as _;
use std::path::PathBuf;
use std::rc::Rc;

/// Maximum number of sockets that one message carries.
const MAX_SOCKETS_PER_MESSAGE: usize = 16;
/// Maximum number of pending successors.
const SUCCESSOR_BACKLOG: i32 = 4;
/// File mode of the socket: only the same user may connect.
const SOCKET_MODE: u32 = 0o600;

/// Error of a received socket or of the process at the other end of the channel.
#[derive(Debug, thiserror::Error)]
enum HandoverError {
    #[error("received socket is not a stream socket")]
    NotStreamSocket,
    #[error("received socket is not listening")]
    NotListening,
    #[error("received socket listens on {actual}, expected {expected}")]
    AddressMismatch {
        actual: SocketAddr,
        expected: SocketAddr,
    },
    #[error("process {process} belongs to another user, {user}")]
    UserMismatch { process: i32, user: u32 },
}

impl From<HandoverError> for io::Error {
    fn from(error: HandoverError) -> Self {
        let kind = match error {
            HandoverError::UserMismatch { .. } => io::ErrorKind::PermissionDenied,
            _ => io::ErrorKind::InvalidData,
        };
        Self::new(kind, error)
    }
}

/// A connection to the other process of a hot restart.
pub struct HandoverChannel {
    socket: Rc<Socket>,
    _watch: Watch,
}

impl HandoverChannel {
    pub(crate) fn new(socket: Rc<Socket>, watch: Watch) -> Self {
        Self {
            socket,
            _watch: watch,
        }
    }
}

/// A received socket.
pub struct ReceivedSocket(OwnedFd);

impl ReceivedSocket {
    /// Returns the socket if it is a stream socket that listens on this address.
    ///
    /// # Errors
    /// If the socket is not a stream socket, does not listen, or has another address.
    pub(crate) fn into_listener(self, address: SocketAddr) -> io::Result<TcpListener> {
        if sockopt::socket_type(&self.0)? != SocketType::STREAM {
            return Err(HandoverError::NotStreamSocket.into());
        }
        if !sockopt::socket_acceptconn(&self.0)? {
            return Err(HandoverError::NotListening.into());
        }
        let listener = TcpListener::from(self.0);
        let actual = listener.local_addr()?;
        let is_port_matching = address.port() == 0 || actual.port() == address.port();
        if actual.ip() != address.ip() || !is_port_matching {
            let expected = address;
            return Err(HandoverError::AddressMismatch { actual, expected }.into());
        }
        Ok(listener)
    }
}

impl host::HandoverChannel for HandoverChannel {
    type Listener = Listener;
    type ReceivedSocket = ReceivedSocket;

    fn send(&self, message: &[u8], listeners: &[&Self::Listener]) -> io::Result<()> {
        let sockets: Vec<_> = listeners
            .iter()
            .take(MAX_SOCKETS_PER_MESSAGE)
            .map(|listener| listener.socket().as_fd())
            .collect();
        let mut control_space =
            [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS_PER_MESSAGE))];
        let mut control = SendAncillaryBuffer::new(&mut control_space);
        if !sockets.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(&sockets));
        }
        let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
        let sent = sendmsg(&*self.socket, &[IoSlice::new(message)], &mut control, flags)?;
        if sent == message.len() {
            return Ok(());
        }
        Err(io::ErrorKind::WriteZero.into())
    }

    fn receive(&self) -> io::Result<(Vec<u8>, Vec<ReceivedSocket>)> {
        // One byte more than the longest message, so that a longer one is detected and not silently
        // truncated.
        let mut bytes = vec![0; MAX_MESSAGE_BYTES + 1];
        let mut control_space =
            [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS_PER_MESSAGE))];
        let mut control = RecvAncillaryBuffer::new(&mut control_space);
        let flags = RecvFlags::DONTWAIT | RecvFlags::CMSG_CLOEXEC;
        let received = recvmsg(
            &*self.socket,
            &mut [IoSliceMut::new(&mut bytes)],
            &mut control,
            flags,
        )?;
        bytes.truncate(received.bytes);
        let mut sockets = Vec::new();
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                sockets.extend(descriptors.map(ReceivedSocket));
            }
        }
        Ok((bytes, sockets))
    }
}

fn create_socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None)?;
    // A process that does not accept must not block the event loop.
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Returns the path of the socket for this address.
fn socket_path(handover_address: &HandoverAddress) -> PathBuf {
    let HandoverAddress {
        folder,
        name,
        address,
    } = handover_address;
    let address = address.to_string().replace([':', '[', ']', '%'], "-");
    folder.join(format!("{name}@{address}.upgrade"))
}

/// Listens for successors. A process that listened on the path before keeps its connections.
pub(crate) fn listen(handover_address: &HandoverAddress) -> io::Result<Socket> {
    let path = socket_path(handover_address);
    let socket = create_socket()?;
    // The path may belong to an ended process or to the predecessor: the new socket is created
    // under a temporary path and renamed to the final one once it listens.
    let temporary_path = path.with_extension(std::process::id().to_string());
    let _ = fs::remove_file(&temporary_path);
    socket.bind(&SockAddr::unix(&temporary_path)?)?;
    fs::set_permissions(&temporary_path, fs::Permissions::from_mode(SOCKET_MODE))?;
    socket.listen(SUCCESSOR_BACKLOG)?;
    fs::rename(&temporary_path, &path)?;
    Ok(socket)
}

/// Accepts a pending successor. A connection of another user is closed without reading from it.
pub(crate) fn accept(listener: &Socket) -> io::Result<Socket> {
    let (socket, _) = listener.accept()?;
    socket.set_nonblocking(true)?;
    check_user(&socket)?;
    Ok(socket)
}

/// Connects to the serving process, if there is one.
pub(crate) fn connect(handover_address: &HandoverAddress) -> io::Result<Socket> {
    let socket = create_socket()?;
    socket.connect(&SockAddr::unix(socket_path(handover_address))?)?;
    check_user(&socket)?;
    Ok(socket)
}

/// Rejects a process of another user: it must neither receive our sockets nor pass its own to us.
fn check_user(socket: &Socket) -> io::Result<()> {
    let peer = sockopt::socket_peercred(socket)?;
    if peer.uid == rustix::process::geteuid() {
        return Ok(());
    }
    let error = HandoverError::UserMismatch {
        process: peer.pid.as_raw_pid(),
        user: peer.uid.as_raw(),
    };
    Err(error.into())
}

#[cfg(test)]
mod tests;
