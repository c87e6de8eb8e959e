//! What adapters tell the exchange, and what it wants done.

use cleatpulley_idempotency::history::{Effect as KeyEffect, Recovered};
use cleatpulley_idempotency::record::{Outcome as Ending, ScopedKey};
use cleatpulley_policy::interface::{Gauges, Micros, Outcome, RequestId};

/// Where an answer goes: a connection of the client side and a stream on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// The connection; numbers are never used again.
    pub connection: u64,
    /// The stream.
    pub stream: u32,
}

/// A request as the client side read it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Where its answer goes.
    pub origin: Origin,
    /// Its id, new with every try.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// The caller's number.
    pub caller: u64,
    /// When it came to the machine, on the clock of all facts.
    pub door: Micros,
    /// Expected work on one core.
    pub work: Micros,
    /// Memory while held.
    pub memory_kb: f64,
    /// Position from 0 to 1 by class and user.
    pub rank: f64,
    /// Known to be a further try or a second copy.
    pub retry: bool,
    /// It names a subject.
    pub has_subject: bool,
    /// What all tries of one request share, where its caller told it.
    pub key: Option<Box<[u8]>>,
    /// Its body, as it came.
    pub body: Vec<u8>,
    /// How it was asked for, where it is to be sent on; a matcher needs none of it.
    pub head: Option<Box<Head>>,
}

/// How a request was asked for, whatever the protocol.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// The method.
    pub method: String,
    /// The host, with a port where one was told.
    pub host: String,
    /// The path with its arguments.
    pub target: String,
    /// Headers, or the fields of a frame.
    pub headers: Vec<(String, String)>,
    /// The caller's address, or its number where there is none.
    pub remote: String,
    /// The payload of the frame that it came in, unchanged.
    pub frame: Option<Vec<u8>>,
}

/// Which command is meant where one was refused or its fate is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// To start a run.
    Start,
    /// To hand a run the reply to its call.
    Give,
    /// To go on without a call.
    Omit,
    /// To stop a run.
    Stop,
}

/// What adapters tell the exchange.
#[derive(Debug)]
pub enum Fact {
    /// The runtime is up, and has been for so long.
    Ready(Micros),
    /// A request was read.
    Arrived(Arrival),
    /// A connection of the client side is gone: nobody can be answered on it.
    OriginLost(u64),
    /// Nobody waits for this request any more.
    Cancelled(Origin),
    /// A request was read whose caller may not ask for its class: it is answered so and never runs.
    Forbidden(Arrival),
    /// A run waits for a call with this body.
    CallWanted {
        /// The request.
        id: RequestId,
        /// The number of the notice.
        notice: u64,
        /// The body of the call.
        body: Vec<u8>,
    },
    /// A run is over.
    RunEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// What it made.
        result: Vec<u8>,
    },
    /// The runtime did not carry out a command.
    OrderRefused {
        /// The request.
        id: RequestId,
        /// The command.
        order: Order,
    },
    /// The link to the runtime broke after this command was sent, and all that the runtime had to say up to
    /// its return has been told: the command may have got there or not.
    OrderInDoubt {
        /// The request.
        id: RequestId,
        /// The command.
        order: Order,
    },
    /// A call ended.
    CallEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// The reply.
        reply: Vec<u8>,
    },
    /// The gauges, just read.
    Gauges(Gauges),
    /// The runtime is another process than before: what ran there has ended, and nobody knows how.
    RuntimeLost,
    /// The notice to leave.
    Drain {
        /// When the process is stopped.
        stop_at: Micros,
    },
    /// The process is to be stopped, and another has taken its place.
    Succeeded {
        /// When it is stopped.
        stop_at: Micros,
    },
    /// What another process, which this one takes the place of, still has of the machine.
    Beside {
        /// Its requests on the cores.
        running: usize,
        /// Memory booked for its requests.
        memory_kb: f64,
        /// Its calls in the hands of the store.
        calls: usize,
    },
    /// What was kept of keys before this start.
    Recovered(Box<Recovered>),
    /// All that was to be kept up to this ticket is durable.
    Durable(u64),
    /// Whether anything can be kept at present. Where it can't, nothing counts as written that is not durable.
    Keeping(bool),
    /// What was kept of a request's key.
    Recalled {
        /// The request.
        id: RequestId,
        /// The number it was asked for with.
        number: u64,
        /// How the key ended; none where that can't be read.
        outcome: Option<Ending>,
    },
}

/// The one final answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The result of its run.
    Served(Vec<u8>),
    /// Turned away: it never ran.
    Refused {
        /// The caller should stay away for so long; 0 gives no advice.
        later: Micros,
        /// No other server should be tried.
        last: bool,
    },
    /// An error, with no promise.
    Failed,
    /// The due time has passed; with no promise either.
    Expired,
    /// The request is at fault; it never ran.
    Rejected(Fault),
    /// Answered by a route or in a target's own words, with a status of HTTP.
    Returned {
        /// The status.
        status: u16,
        /// The body; for a redirection where it leads.
        body: Vec<u8>,
    },
}

/// What is wrong with a request that is read well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Its key belongs to a request of another class or body.
    KeyTaken,
    /// Its class takes no request without a key.
    KeyMissing,
    /// The names of its caller's certificate may not ask for its class.
    Forbidden,
}

impl Fault {
    /// What its caller is told.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::KeyTaken => "the key belongs to another request",
            Self::KeyMissing => "this class takes no request without a key",
            Self::Forbidden => "the caller's certificate does not permit this class",
        }
    }
}

/// A call to what lies below.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The request it is made for.
    pub id: RequestId,
    /// Its body.
    pub body: Vec<u8>,
    /// Abandon it after this time.
    pub timeout: Micros,
    /// Making it twice does no harm.
    pub repeatable: bool,
}

/// What the exchange wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Answer a request.
    Answer {
        /// Where to.
        to: Origin,
        /// What.
        answer: Answer,
    },
    /// Start a run.
    Start {
        /// The request.
        id: RequestId,
        /// Its class.
        class: usize,
        /// Its body.
        body: Vec<u8>,
    },
    /// Hand a run the reply to its call.
    Give {
        /// The request.
        id: RequestId,
        /// The reply.
        body: Vec<u8>,
    },
    /// Let a run go on without its call.
    Omit {
        /// The request.
        id: RequestId,
        /// The notice that asked for the call.
        notice: u64,
    },
    /// Stop a run.
    Stop(RequestId),
    /// Make a call.
    Call(Call),
    /// Abandon a request's call.
    Abandon(RequestId),
    /// Ask for the gauges.
    AskGauges,
    /// Answer health checks so.
    Health(bool),
    /// Let every answer carry this value from now on.
    Feedback(f64),
    /// Close connections that carried nothing for this time.
    CloseIdle(Micros),
    /// Write or erase what is kept of a key.
    Keep(KeyEffect),
    /// Read how a request's key ended.
    Recall {
        /// The request.
        id: RequestId,
        /// Never used again: an id may be, once its request is over.
        number: u64,
        /// Its key.
        key: ScopedKey,
    },
}
