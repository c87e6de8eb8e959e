//! Events that adapters pass to the dispatcher.

use cleatpulley_idempotency::key_table::RecoveredKeys;
use cleatpulley_idempotency::record::KeyOutcome;
use cleatpulley_policy::interface::{Gauges, Micros, Outcome, RequestId};

/// Destination of a response: a client connection, and a stream on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientStream {
    /// Number of the connection; never reused.
    pub connection: u64,
    /// Number of the stream on the connection.
    pub stream: u32,
}

/// A request that was read from a client connection.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Destination of its response.
    pub client: ClientStream,
    /// Id of this attempt; every attempt has its own.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Number of the caller.
    pub caller: u64,
    /// Time at which it reached the machine, on the same clock as all events.
    pub received_at: Micros,
    /// Expected work on one core; 0 where no hint was given.
    pub expected_work: Micros,
    /// Memory while queued, in kB.
    pub memory_kb: f64,
    /// Rank by class and user, from 0 to 1.
    pub rank: f64,
    /// Whether it is known to be a retry or a hedged request.
    pub is_retry: bool,
    /// Whether it names a subject.
    pub has_subject: bool,
    /// Idempotency key shared by all attempts of one request, where its caller sent one.
    pub key: Option<Box<[u8]>>,
    /// Body as received.
    pub body: Vec<u8>,
    /// Head of the request where it is to be forwarded; a server needs none.
    pub head: Option<Box<RequestHead>>,
}

/// Method, target and headers of a request, in any protocol.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Host, with a port where one was sent.
    pub host: String,
    /// Path with its query.
    pub target: String,
    /// Headers, or the fields of a frame, as name and value.
    pub headers: Vec<(String, String)>,
    /// Address of the caller, or its number where the protocol carries no address.
    pub remote_address: String,
    /// Unchanged payload of the frame in which the request was received.
    pub frame: Option<Vec<u8>>,
}

impl RequestHead {
    /// Returns the approximate memory that the head occupies, in bytes. Short headers occupy several times
    /// the bytes that they had on the wire.
    #[must_use]
    pub fn allocated_bytes(&self) -> usize {
        let texts = [&self.method, &self.host, &self.target, &self.remote_address];
        let texts: usize = texts.into_iter().map(|text| allocation(text.len())).sum();
        let header = |(name, value): &(String, String)| {
            size_of::<(String, String)>() + allocation(name.len()) + allocation(value.len())
        };
        let headers: usize = self.headers.iter().map(header).sum();
        size_of::<Self>() + texts + headers + self.frame.as_ref().map_or(0, Vec::len)
    }
}

/// Returns the approximate memory of an allocation of this length, with the allocator's own.
fn allocation(length: usize) -> usize {
    const MIN_BYTES: usize = 32;
    const OVERHEAD_BYTES: usize = 16;
    match length {
        0 => 0,
        _ => (length + OVERHEAD_BYTES).max(MIN_BYTES),
    }
}

/// A command to the runtime.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RuntimeCommand {
    /// Start a run.
    Start,
    /// Resume a run with the reply to its call.
    ResumeWithReply,
    /// Resume a run without its call.
    ResumeWithoutCall,
    /// Stop a run.
    Stop,
}

/// An event that an adapter passes to the dispatcher.
#[derive(Debug)]
pub enum Event {
    /// The runtime is ready. Carries the time for which it has been ready.
    RuntimeReady(Micros),
    /// A request was read.
    RequestRead(IncomingRequest),
    /// A client connection was lost, so that no response can be sent on it.
    ConnectionLost(u64),
    /// The caller no longer waits for the request on this stream.
    RequestCancelled(ClientStream),
    /// A request was read whose caller is not permitted to use its class. Its response is
    /// [`RequestError::Forbidden`](crate::RequestError::Forbidden), and it never runs.
    RequestForbidden(IncomingRequest),
    /// A run waits for a call with this body.
    CallRequested {
        /// Id of the request.
        id: RequestId,
        /// Number of the runtime's notice that requested the call.
        notice: u64,
        /// Body of the call.
        body: Vec<u8>,
    },
    /// A run ended.
    RunEnded {
        /// Id of the request.
        id: RequestId,
        /// Outcome of the run.
        outcome: Outcome,
        /// Duration of the run.
        elapsed: Micros,
        /// Result of the run.
        result: Vec<u8>,
    },
    /// The runtime did not execute a command.
    CommandRejected {
        /// Id of the request.
        id: RequestId,
        /// The rejected command.
        command: RuntimeCommand,
    },
    /// The connection to the runtime was lost after this command was sent, so the runtime may or
    /// may not have received it. All events that the runtime sent before the reconnect have been
    /// reported.
    CommandUncertain {
        /// Id of the request.
        id: RequestId,
        /// The uncertain command.
        command: RuntimeCommand,
    },
    /// A call ended.
    CallEnded {
        /// Id of the request.
        id: RequestId,
        /// Outcome of the call.
        outcome: Outcome,
        /// Duration of the call.
        elapsed: Micros,
        /// Reply of the dependency.
        reply: Vec<u8>,
    },
    /// Current gauges of the server.
    Gauges(Gauges),
    /// The runtime was replaced by another process. The runs of the previous one have ended with an
    /// unknown outcome.
    RuntimeReplaced,
    /// The process has to drain and shut down.
    DrainStarted {
        /// Time at which the process is stopped.
        stop_at: Micros,
    },
    /// The process will be stopped, and a successor has taken over.
    Replaced {
        /// Time at which the process is stopped.
        stop_at: Micros,
    },
    /// Resource usage of the predecessor of this process, which is still draining.
    PredecessorUsage(ResourceUsage),
    /// The keys that were recovered at startup.
    KeysRecovered(Box<RecoveredKeys>),
    /// Everything written with this sequence number or an earlier one is durable.
    KeysDurable(u64),
    /// Whether keys can currently be persisted. While they can't, only durable writes count as
    /// written.
    PersistenceAvailable(bool),
    /// A cached result was loaded.
    CachedResultLoaded {
        /// Id of the request.
        id: RequestId,
        /// The `load_number` of the command that requested the load.
        load_number: u64,
        /// Outcome recorded for the key; `None` where it can't be read.
        outcome: Option<KeyOutcome>,
    },
}

/// Resources of the machine that a process uses for requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResourceUsage {
    /// Number of requests that occupy a core.
    pub running: usize,
    /// Memory reserved for requests, in kB.
    pub memory_kb: f64,
    /// Number of calls in flight to the dependency.
    pub calls: usize,
}
