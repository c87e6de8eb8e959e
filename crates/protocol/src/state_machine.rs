//! What every protocol's connection is to the matcher: a state machine that takes bytes and time, and returns
//! requests, bytes to send and a deadline. The matcher accepts, reads, sends, closes and counts places the same
//! way for all of them.

use cleatpulley_dispatcher::{IncomingRequest, Response};
use cleatpulley_policy::interface::Micros;

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// Requests are read.
    Open,
    /// No new request may come, which the peer was told at this time; it closes when all is answered, or we do.
    Draining(Micros),
    /// Nothing more can be read; it is closed when all is answered.
    Closing,
}

/// What the matcher has to know of a connection, whatever it speaks.
#[derive(Debug, Clone)]
pub struct ConnectionStatus {
    /// How far it has come.
    pub state: ConnectionState,
    /// Requests that were handed over and owe an answer.
    pub open_requests: usize,
    /// When something whole last came or went.
    pub last_activity_at: Micros,
    /// Since when the rest of something is waited for, or the first message.
    pub waiting_since: Option<Micros>,
    /// A whole message has come.
    pub has_received_message: bool,
}

impl ConnectionStatus {
    /// That of a connection accepted now.
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

    /// Nothing is open on it and nothing on its way, though it has been used.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state == ConnectionState::Open
            && self.has_received_message
            && self.waiting_since.is_none()
            && self.open_requests == 0
    }
}

/// What a state machine is told with every input.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// The time.
    pub now: Micros,
    /// The number of the connection; never used again.
    pub connection_id: u64,
    /// Names of the classes, by index.
    pub class_names: &'a [String],
    /// Health checks are answered good.
    pub is_healthy: bool,
    /// The free value that answers carry.
    pub feedback: Option<f64>,
}

/// A connection of the client side.
pub trait ConnectionStateMachine {
    /// What the matcher has to know.
    fn status(&self) -> &ConnectionStatus;

    /// The same, for the matcher's own bookkeeping: a pause of the machine is no silence of the peer.
    fn status_mut(&mut self) -> &mut ConnectionStatus;

    /// Takes what is whole from the front of the bytes read and returns how many it used up; the rest comes again
    /// with what follows it. Requests are handed over, answers that need none of them are appended to `out`.
    fn receive(
        &mut self,
        context: &Context,
        input: &[u8],
        out: &mut Vec<u8>,
        arrivals: &mut Vec<IncomingRequest>,
    ) -> usize;

    /// Answers a request; false where the connection owes no answer on this stream.
    fn respond(
        &mut self,
        context: &Context,
        stream: u32,
        response: &Response,
        out: &mut Vec<u8>,
    ) -> bool;

    /// Streams on which requests were handed over and that nobody waits for any more, each told once: no answer is owed.
    fn take_cancelled_streams(&mut self) -> Vec<u32> {
        Vec::new()
    }

    /// When [`handle_timeout`](Self::handle_timeout) is due, if nothing happens before.
    fn deadline(&self) -> Option<Micros>;

    /// The deadline has passed: gives up what was waited for.
    fn handle_timeout(&mut self, context: &Context, out: &mut Vec<u8>);

    /// The notice to leave has come: requests are still read, but the peer should go elsewhere.
    fn begin_shutdown(&mut self, context: &Context, out: &mut Vec<u8>);

    /// No new request is taken from here on.
    fn stop_accepting_requests(&mut self, context: &Context, out: &mut Vec<u8>);
}
