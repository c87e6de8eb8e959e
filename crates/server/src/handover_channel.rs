//! How the two processes of an upgrade meet in the real world: a Unix socket of whole packets in a private folder, over
//! which listening sockets pass.

use super::host::{self, HandoverAddress};
use rustix::net::{
    recvmsg, sendmsg, sockopt, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags,
    SendAncillaryBuffer, SendAncillaryMessage, SendFlags,
};
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;

/// Sockets that come along with one message at most.
const MOST: usize = 16;
/// Successors that may wait.
const BACKLOG: i32 = 4;

/// The connection.
pub struct HandoverChannel {
    pub(super) socket: std::rc::Rc<Socket>,
    pub(super) _watch: super::os_host::Watch,
}

/// A listening socket as it came.
pub struct ReceivedSocket(OwnedFd);

impl ReceivedSocket {
    /// The socket, where it is one that listens for streams at this address.
    ///
    /// # Errors
    /// What else it is.
    pub(super) fn listener(self, address: SocketAddr) -> io::Result<TcpListener> {
        let odd = |what: String| Err(io::Error::new(io::ErrorKind::InvalidData, what));
        if sockopt::socket_type(&self.0)? != rustix::net::SocketType::STREAM {
            return odd("no socket for streams was passed".to_owned());
        }
        if !sockopt::socket_acceptconn(&self.0)? {
            return odd("a socket that does not listen was passed".to_owned());
        }
        let listener = TcpListener::from(self.0);
        let at = listener.local_addr()?;
        if at.ip() != address.ip() || (address.port() != 0 && at.port() != address.port()) {
            return odd(format!(
                "a socket that listens on {at} was passed for {address}"
            ));
        }
        Ok(listener)
    }
}

impl host::HandoverChannel for HandoverChannel {
    type Listener = super::os_host::Listener;
    type ReceivedSocket = ReceivedSocket;

    fn send(&self, message: &[u8], along: &[&Self::Listener]) -> io::Result<()> {
        let passed: Vec<_> = along
            .iter()
            .take(MOST)
            .map(|listener| listener.socket().as_fd())
            .collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !passed.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(&passed));
        }
        let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
        let sent = sendmsg(&*self.socket, &[IoSlice::new(message)], &mut control, flags)?;
        if sent == message.len() {
            return Ok(());
        }
        Err(io::ErrorKind::WriteZero.into())
    }

    fn receive(&self) -> io::Result<(Vec<u8>, Vec<ReceivedSocket>)> {
        // One byte more than any message has: a longer one shows as too long, and is not cut unseen.
        let mut bytes = vec![0; cleatpulley_hot_restart::message::LONGEST + 1];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let flags = RecvFlags::DONTWAIT | RecvFlags::CMSG_CLOEXEC;
        let received = recvmsg(
            &*self.socket,
            &mut [IoSliceMut::new(&mut bytes)],
            &mut control,
            flags,
        )?;
        bytes.truncate(received.bytes);
        let mut passed = Vec::new();
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(sockets) = message {
                passed.extend(sockets.map(ReceivedSocket));
            }
        }
        Ok((bytes, passed))
    }
}

fn socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None)?;
    // Guards the event loop against a process that does not accept.
    socket.set_nonblocking(true)?;
    Ok(socket)
}

fn path(meeting: &HandoverAddress) -> PathBuf {
    let HandoverAddress {
        folder,
        name,
        address,
    } = meeting;
    let at = address.to_string().replace([':', '[', ']', '%'], "-");
    folder.join(format!("{name}@{at}.upgrade"))
}

/// Where successors come to. A process that was there before and is still alive keeps the connections it has.
pub(super) fn post(meeting: &HandoverAddress) -> io::Result<Socket> {
    let (path, socket) = (path(meeting), socket()?);
    // What stands there is of a process that is gone, or of the one whose place this one has taken.
    let own = path.with_extension(format!("{}", std::process::id()));
    let _ = std::fs::remove_file(&own);
    socket.bind(&SockAddr::unix(&own)?)?;
    std::fs::set_permissions(&own, std::os::unix::fs::PermissionsExt::from_mode(0o600))?;
    socket.listen(BACKLOG)?;
    std::fs::rename(&own, &path)?;
    Ok(socket)
}

/// A successor that waits. One of another user is closed unheard.
pub(super) fn welcome(post: &Socket) -> io::Result<Socket> {
    let (socket, _) = post.accept()?;
    socket.set_nonblocking(true)?;
    check(&socket)?;
    Ok(socket)
}

/// The process that serves, if there is one.
pub(super) fn visit(meeting: &HandoverAddress) -> io::Result<Socket> {
    let socket = socket()?;
    socket.connect(&SockAddr::unix(path(meeting))?)?;
    check(&socket)?;
    Ok(socket)
}

/// Guards against a process of another user: it must neither get our sockets nor give us its own.
fn check(socket: &Socket) -> io::Result<()> {
    let peer = sockopt::socket_peercred(socket)?;
    if peer.uid == rustix::process::geteuid() {
        return Ok(());
    }
    let what = format!(
        "process {} of user {} is not ours",
        peer.pid.as_raw_pid(),
        peer.uid.as_raw()
    );
    Err(io::Error::new(io::ErrorKind::PermissionDenied, what))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpStream;

    /// Guards against a peer that passes what it should not: nothing is accepted from it.
    #[test]
    fn only_a_socket_that_listens_at_the_address_is_taken() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let passed = |fd: OwnedFd| ReceivedSocket(fd);
        let copy = listener.try_clone().expect("a descriptor");
        assert!(passed(copy.into()).listener(at).is_ok());
        let copy = listener.try_clone().expect("a descriptor");
        let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
        assert!(
            passed(copy.into()).listener(anywhere).is_ok(),
            "the system chose the port"
        );
        let copy = listener.try_clone().expect("a descriptor");
        let other = SocketAddr::from(([127, 0, 0, 1], at.port() ^ 1));
        assert!(
            passed(copy.into()).listener(other).is_err(),
            "it listens elsewhere"
        );
        let connection = TcpStream::connect(at).expect("it listens");
        assert!(
            passed(connection.into()).listener(at).is_err(),
            "a connection"
        );
        let datagrams = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
        let own = datagrams.local_addr().expect("an address");
        assert!(passed(datagrams.into()).listener(own).is_err(), "no stream");
        let file = std::fs::File::open("/dev/null").expect("it is there");
        assert!(passed(file.into()).listener(at).is_err(), "no socket");
    }

    #[test]
    fn they_meet_by_folder_name_and_address_and_a_dead_process_is_nobody() {
        let folder = std::env::temp_dir().join(format!("cleatpulley-meet-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let meeting = HandoverAddress {
            folder: folder.clone(),
            name: "n1".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 5_050)),
        };
        let nobody = |meeting: &HandoverAddress| {
            visit(meeting)
                .map(drop)
                .expect_err("nobody is there")
                .kind()
        };
        assert_eq!(nobody(&meeting), io::ErrorKind::NotFound);
        let first = post(&meeting).expect("a socket");
        let _visitor = visit(&meeting).expect("it is there");
        assert!(welcome(&first).is_ok());
        assert_eq!(
            welcome(&first).map(drop).expect_err("nobody waits").kind(),
            io::ErrorKind::WouldBlock
        );
        // Its successor takes the name; the first one's end takes nothing away.
        let second = post(&meeting).expect("a socket");
        drop(first);
        let _visitor = visit(&meeting).expect("the second is there");
        assert!(welcome(&second).is_ok());
        drop(second);
        assert_eq!(nobody(&meeting), io::ErrorKind::ConnectionRefused);
        let elsewhere = HandoverAddress {
            name: "n2".to_owned(),
            ..meeting
        };
        assert_eq!(nobody(&elsewhere), io::ErrorKind::NotFound);
        std::fs::remove_dir_all(&folder).expect("it was there");
    }
}
