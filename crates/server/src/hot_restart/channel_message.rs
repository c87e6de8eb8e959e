//! Receiving messages on a handover channel.

use crate::host::HandoverChannel;
use cleatpulley_hot_restart::message::DecodeError;
use cleatpulley_hot_restart::Message;
use std::io::{self, ErrorKind};

/// A message and the listening sockets received with it.
pub(super) struct ReceivedMessage<S> {
    pub(super) message: Message,
    pub(super) sockets: Vec<S>,
}

/// Error that ends a handover channel.
#[derive(Debug, thiserror::Error)]
pub(super) enum ChannelError {
    #[error("it ended")]
    Closed,
    #[error(transparent)]
    Malformed(#[from] DecodeError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Returns the next message, or `None` if none has arrived yet.
///
/// # Errors
/// If the channel was closed, a message is malformed, or the socket failed.
pub(super) fn receive_message<C: HandoverChannel>(
    channel: &C,
) -> Result<Option<ReceivedMessage<C::ReceivedSocket>>, ChannelError> {
    match channel.receive() {
        Ok((bytes, _)) if bytes.is_empty() => Err(ChannelError::Closed),
        Ok((bytes, sockets)) => {
            let message = Message::decode(&bytes)?;
            Ok(Some(ReceivedMessage { message, sockets }))
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error.into()),
    }
}
