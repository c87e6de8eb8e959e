//! What every protocol's connection is to the matcher: a state machine that takes bytes and time, and returns
//! requests, bytes to send and a deadline. The matcher accepts, reads, sends, closes and counts places the same
//! way for all of them.

use cleatpulley_dispatcher::{IncomingRequest, Response};
use cleatpulley_policy::interface::Micros;

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Requests are read.
    Open,
    /// No new request may come, which the peer was told at this time; it closes when all is answered, or we do.
    Parting(Micros),
    /// Nothing more can be read; it is closed when all is answered.
    Lost,
}

/// What the matcher has to know of a connection, whatever it speaks.
#[derive(Debug, Clone)]
pub struct Status {
    /// How far it has come.
    pub standing: Standing,
    /// Requests that were handed over and owe an answer.
    pub open: usize,
    /// When something whole last came or went.
    pub used: Micros,
    /// Since when the rest of something is waited for, or the first message.
    pub waits: Option<Micros>,
    /// A whole message has come.
    pub spoken: bool,
}

impl Status {
    /// That of a connection accepted now.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self {
            standing: Standing::Open,
            open: 0,
            used: now,
            waits: Some(now),
            spoken: false,
        }
    }

    /// Nothing is open on it and nothing on its way, though it has been used.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.standing == Standing::Open && self.spoken && self.waits.is_none() && self.open == 0
    }
}

/// What a state machine is told with every input.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// The time.
    pub now: Micros,
    /// The number of the connection; never used again.
    pub number: u64,
    /// Names of the classes, by index.
    pub classes: &'a [String],
    /// Health checks are answered good.
    pub good: bool,
    /// The free value that answers carry.
    pub feedback: Option<f64>,
}

/// A connection of the client side.
pub trait Machine {
    /// What the matcher has to know.
    fn status(&self) -> &Status;

    /// The same, for the matcher's own bookkeeping: a pause of the machine is no silence of the peer.
    fn status_mut(&mut self) -> &mut Status;

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
    fn answer(
        &mut self,
        context: &Context,
        stream: u32,
        answer: &Response,
        out: &mut Vec<u8>,
    ) -> bool;

    /// Streams on which requests were handed over and that nobody waits for any more, each told once: no answer is owed.
    fn take_cancelled(&mut self) -> Vec<u32> {
        Vec::new()
    }

    /// When [`expire`](Self::expire) is due, if nothing happens before.
    fn deadline(&self) -> Option<Micros>;

    /// The deadline has passed: gives up what was waited for.
    fn expire(&mut self, context: &Context, out: &mut Vec<u8>);

    /// The notice to leave has come: requests are still read, but the peer should go elsewhere.
    fn leave(&mut self, context: &Context, out: &mut Vec<u8>);

    /// No new request is taken from here on.
    fn part(&mut self, context: &Context, out: &mut Vec<u8>);
}
