//! The interface of a client connection, the same for every protocol: a state machine that takes
//! bytes and the time, and returns requests, bytes to send and a deadline. Accepting, reading,
//! sending, closing and counting connection slots are the matcher's and don't depend on the
//! protocol.

use cleatpulley_dispatcher::{IncomingRequest, Response};
use cleatpulley_policy::interface::Micros;

/// Whether a connection still takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// Requests are read.
    Open,
    /// The peer was told at this time that no new request is accepted. One of the two sides closes
    /// the connection once all requests have their responses.
    Draining(Micros),
    /// Nothing more is read; the connection is closed once all requests have their responses.
    Closing,
}

/// The state of a connection that the matcher needs, independent of the protocol.
#[derive(Debug, Clone)]
pub struct ConnectionStatus {
    /// Whether the connection still takes requests.
    pub state: ConnectionState,
    /// Number of requests that were handed over and have no response yet.
    pub open_requests: usize,
    /// When the last complete message was received or sent.
    pub last_activity_at: Micros,
    /// Since when the first message, or the rest of an incomplete message, is awaited.
    pub waiting_since: Option<Micros>,
    /// Whether a complete message has been received.
    pub has_received_message: bool,
}

impl ConnectionStatus {
    /// Returns the status of a connection accepted at `now`.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self {
            state: ConnectionState::Open,
            open_requests: 0,
            last_activity_at: now,
            waiting_since: Some(now),
            has_received_message: false,
        }
    }

    /// Returns whether the connection has been used, and has neither an open request nor an
    /// incomplete message.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state == ConnectionState::Open
            && self.has_received_message
            && self.waiting_since.is_none()
            && self.open_requests == 0
    }
}

/// What is passed to a state machine with every input.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// The current time.
    pub now: Micros,
    /// Unique number of the connection; never reused.
    pub connection_id: u64,
    /// Names of the request classes, by index.
    pub class_names: &'a [String],
    /// Whether health checks are answered as healthy.
    pub is_healthy: bool,
    /// The feedback value that responses carry.
    pub feedback: Option<f64>,
}

/// The state machine of a client connection.
pub trait ConnectionStateMachine {
    /// Returns the status of the connection.
    fn status(&self) -> &ConnectionStatus;

    /// Returns the status for the matcher to adjust: a pause of the host must not count as silence
    /// of the peer.
    fn status_mut(&mut self) -> &mut ConnectionStatus;

    /// Reads the complete messages at the front of `input` and returns the number of bytes
    /// consumed; the caller passes the rest again with the bytes that follow. Appends complete
    /// requests to `requests`, and to `output` the responses that need no request.
    fn receive(
        &mut self,
        context: &Context,
        input: &[u8],
        output: &mut Vec<u8>,
        requests: &mut Vec<IncomingRequest>,
    ) -> usize;

    /// Sends the response to the request on this stream. Returns false if no request is open there.
    fn respond(
        &mut self,
        context: &Context,
        stream: u32,
        response: &Response,
        output: &mut Vec<u8>,
    ) -> bool;

    /// Returns the memory, in bytes, that an incomplete message occupies beyond the input that was not
    /// consumed.
    fn buffered_bytes(&self) -> usize {
        0
    }

    /// Returns the streams whose requests the client has cancelled, each one once. No response is
    /// sent for them.
    fn take_cancelled_streams(&mut self) -> Vec<u32> {
        Vec::new()
    }

    /// Returns when [`handle_timeout`](Self::handle_timeout) is to be called, if there is no input
    /// before.
    fn deadline(&self) -> Option<Micros>;

    /// Handles a passed deadline: gives up on what was awaited.
    fn handle_timeout(&mut self, context: &Context, output: &mut Vec<u8>);

    /// Begins the shutdown: requests are still read, but the peer should use another server.
    fn begin_shutdown(&mut self, context: &Context, output: &mut Vec<u8>);

    /// Stops accepting new requests.
    fn stop_accepting_requests(&mut self, context: &Context, output: &mut Vec<u8>);
}
