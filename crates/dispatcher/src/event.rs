//! What adapters notify the dispatcher of.

use cleatpulley_idempotency::key_table::RecoveredKeys;
use cleatpulley_idempotency::record::KeyOutcome;
use cleatpulley_policy::interface::{Gauges, Micros, Outcome, RequestId};

/// Where a response goes: a connection of the client side, and a stream on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientStream {
    /// The connection; numbers are never used again.
    pub connection: u64,
    /// The stream.
    pub stream: u32,
}

/// A request as the client side read it.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Where its response goes.
    pub client: ClientStream,
    /// Its id; every attempt has an id of its own.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// The caller's number.
    pub caller: u64,
    /// When it reached the machine, on the clock of all events.
    pub received_at: Micros,
    /// Expected work on one core; 0 where no hint was given.
    pub expected_work: Micros,
    /// Memory while queued.
    pub memory_kb: f64,
    /// Rank from 0 to 1 by class and user.
    pub rank: f64,
    /// Known to be a retry or a hedged request.
    pub is_retry: bool,
    /// It names a subject.
    pub has_subject: bool,
    /// The idempotency key that all attempts of one request share, where its caller sent one.
    pub key: Option<Box<[u8]>>,
    /// Its body, as it was received.
    pub body: Vec<u8>,
    /// How it was requested, where it is to be forwarded; a server needs none of it.
    pub head: Option<Box<RequestHead>>,
}

/// How a request was made, whatever the protocol.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The host, with a port where one was sent.
    pub host: String,
    /// The path with its query.
    pub target: String,
    /// Headers, or the fields of a frame, as name and value.
    pub headers: Vec<(String, String)>,
    /// The caller's address, or its number where there is none.
    pub remote: String,
    /// The payload of the frame that it was received in, unchanged.
    pub frame: Option<Vec<u8>>,
}

/// A command to the runtime.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RuntimeCommand {
    /// Start a run.
    Start,
    /// Give a run the reply to its call.
    ResumeWithReply,
    /// Let a run go on without its call.
    ResumeWithoutCall,
    /// Stop a run.
    Stop,
}

/// What adapters notify the dispatcher of.
#[derive(Debug)]
pub enum Event {
    /// The runtime is ready, and has been for so long.
    RuntimeReady(Micros),
    /// A request was read.
    RequestRead(IncomingRequest),
    /// A connection of the client side was lost: no response can be sent on it.
    ConnectionLost(u64),
    /// Nobody waits for this request any longer.
    RequestCancelled(ClientStream),
    /// A request was read whose caller is not permitted its class. It gets that response, and never
    /// runs.
    RequestForbidden(IncomingRequest),
    /// A run waits for a call with this body.
    CallRequested {
        /// The request.
        id: RequestId,
        /// The number of the runtime's notice.
        notice: u64,
        /// The body of the call.
        body: Vec<u8>,
    },
    /// A run ended.
    RunEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// Its result.
        result: Vec<u8>,
    },
    /// The runtime did not carry out a command.
    CommandRejected {
        /// The request.
        id: RequestId,
        /// The command.
        command: RuntimeCommand,
    },
    /// The connection to the runtime was lost after this command was sent. All that the runtime
    /// sent before it came back has been reported; the command may have been received or not.
    CommandUncertain {
        /// The request.
        id: RequestId,
        /// The command.
        command: RuntimeCommand,
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
    RuntimeReplaced,
    /// The process has to drain and shut down.
    DrainStarted {
        /// When the process is stopped.
        stop_at: Micros,
    },
    /// The process will be stopped, and a successor has taken over.
    Replaced {
        /// When the process is stopped.
        stop_at: Micros,
    },
    /// What the predecessor of this process, which is still draining, uses of the machine.
    PredecessorUsage(ResourceUsage),
    /// The keys that were recovered at the start.
    KeysRecovered(Box<RecoveredKeys>),
    /// Everything written with this sequence number or an earlier one is durable.
    KeysDurable(u64),
    /// Whether keys can be persisted at present. While they can't, only what is durable counts as
    /// written.
    PersistenceAvailable(bool),
    /// A cached result was loaded.
    CachedResultLoaded {
        /// The request.
        id: RequestId,
        /// The number that it was requested under.
        number: u64,
        /// How the key ended; none where that can't be read.
        outcome: Option<KeyOutcome>,
    },
}

/// What a process uses of its machine for requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResourceUsage {
    /// Requests on the cores.
    pub running: usize,
    /// Memory reserved for requests.
    pub memory_kb: f64,
    /// Calls in flight to the dependency.
    pub calls: usize,
}
