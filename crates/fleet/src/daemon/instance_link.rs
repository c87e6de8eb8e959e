//! Connections of instances to the daemon: the lines on them, and the listening socket that an instance
//! may pass along.

use rustix::net::{recvmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use serde::Deserialize;
use std::io::{ErrorKind, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

/// Maximum length of a line on either socket of the daemon, in bytes.
pub(super) const MAX_LINE_BYTES: usize = 65_536;

/// The request to an instance to close the shared listening socket.
const CLOSE_LISTENER_REQUEST: &[u8] = b"{\"close_listener\":true}\n";

/// Connection of an instance to the status socket.
pub(super) struct InstanceLink {
    pub(super) stream: UnixStream,
    pub(super) input: Vec<u8>,
    /// The instance's number, once it has proved it.
    pub(super) incarnation: Option<u64>,
    /// A descriptor received with the data.
    pub(super) received_fd: Option<OwnedFd>,
    /// Whether the instance was requested to close the shared listening socket.
    is_listener_close_requested: bool,
}

impl InstanceLink {
    pub(super) fn new(stream: UnixStream) -> Self {
        Self {
            stream,
            input: Vec::new(),
            incarnation: None,
            received_fd: None,
            is_listener_close_requested: false,
        }
    }

    /// Requests once that the instance close the shared listening socket, since another instance accepts on it.
    /// An instance that does not receive this accepts until shortly before it stops.
    pub(super) fn request_listener_close(&mut self) {
        if !std::mem::replace(&mut self.is_listener_close_requested, true) {
            let _ = (&self.stream).write_all(CLOSE_LISTENER_REQUEST);
        }
    }

    /// Reads the available data; returns false once the connection is closed or failed.
    pub(super) fn read(&mut self) -> bool {
        let mut buffer = [0; 4_096];
        while self.input.len() <= MAX_LINE_BYTES {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut ancillary = RecvAncillaryBuffer::new(&mut space);
            let received = recvmsg(
                &self.stream,
                &mut [IoSliceMut::new(&mut buffer)],
                &mut ancillary,
                RecvFlags::CMSG_CLOEXEC,
            );
            for message in ancillary.drain() {
                if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                    self.received_fd = descriptors.last().or(self.received_fd.take());
                }
            }
            match received.map(|received| received.bytes) {
                Ok(0) => return false,
                Ok(length) => self.input.extend_from_slice(&buffer[..length]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }
}

/// First line on an instance's connection.
#[derive(Deserialize)]
pub(super) struct Hello {
    pub(super) incarnation: u64,
    pub(super) token: String,
    pub(super) pid: u32,
}

/// Each further line on an instance's connection.
#[derive(Deserialize)]
pub(super) struct StatusLine {
    pub(super) warmth: f64,
    pub(super) served: u64,
    pub(super) late: u64,
    #[serde(rename = "refused")]
    pub(super) rejected: u64,
    pub(super) failed: u64,
    #[serde(rename = "held")]
    pub(super) open_requests: usize,
    #[serde(rename = "drains")]
    pub(super) draining: bool,
}

/// Removes the first complete line from the input and returns it without its end.
pub(super) fn take_line(input: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = input.iter().position(|byte| *byte == b'\n')?;
    let mut line: Vec<u8> = input.drain(..=end).collect();
    line.pop();
    Some(line)
}
