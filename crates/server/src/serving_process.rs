//! Finds the process that serves an address, for a program that supervises an upgrade.
//!
//! A process listens on the handover socket from the moment it accepts clients, so the owner of that
//! socket is the serving process, whether or not its management endpoint can be reached.

use crate::handover_channel;
use crate::host::HandoverAddress;
use cleatpulley_hot_restart::message::{DecodeError, MAX_MESSAGE_BYTES, PROTOCOL_VERSION};
use cleatpulley_hot_restart::Message;
use rustix::net::sockopt;
use std::io::{self, Read as _, Write as _};
use std::time::Duration;

/// Why the serving process is not known.
#[derive(Debug, thiserror::Error)]
pub enum ServingProcessError {
    /// No process listens on the handover socket, or it does not respond in time.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response is not a message of a hot restart.
    #[error(transparent)]
    Malformed(#[from] DecodeError),
}

/// Returns the id of the process that accepts the clients of this server. It has responded just now,
/// so its event loop runs.
///
/// # Errors
/// No process listens on the handover socket, it belongs to another user, or it does not respond
/// within `timeout`.
pub fn find_serving_process(
    handover_address: &HandoverAddress,
    timeout: Duration,
) -> Result<u32, ServingProcessError> {
    let socket = handover_channel::connect(handover_address)?;
    let peer = sockopt::socket_peercred(&socket).map_err(io::Error::from)?;
    socket.set_nonblocking(false)?;
    socket.set_read_timeout(Some(timeout))?;
    // No server has an empty name, so the process rejects this one and passes no socket.
    let hello = Message::Hello {
        version: PROTOCOL_VERSION,
        name: String::new(),
        addresses: Vec::new(),
    };
    (&socket).write_all(&hello.encode())?;
    let mut packet = vec![0; MAX_MESSAGE_BYTES + 1];
    let length = (&socket).read(&mut packet)?;
    if length == 0 {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Message::decode(&packet[..length])?;
    Ok(peer.pid.as_raw_pid().unsigned_abs())
}
