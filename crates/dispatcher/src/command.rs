//! Commands that the dispatcher gives to its adapters.

use crate::event::ClientStream;
use crate::response::Response;
use cleatpulley_idempotency::key_table::KeyCommand;
use cleatpulley_idempotency::record::ScopedKey;
use cleatpulley_policy::interface::{Micros, RequestId};

/// A call to the dependency.
#[derive(Debug, Clone, PartialEq)]
pub struct DependencyCall {
    /// Id of the request that the call is made for.
    pub id: RequestId,
    /// Body of the call.
    pub body: Vec<u8>,
    /// Time after which the call is abandoned.
    pub timeout: Micros,
    /// Whether the call may be made more than once.
    pub is_idempotent: bool,
}

/// A command to an adapter.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send the response to a request.
    Respond {
        /// Destination of the response.
        client: ClientStream,
        /// The response.
        response: Response,
    },
    /// Start a run.
    StartRun {
        /// Id of the request.
        id: RequestId,
        /// Index of the request's class.
        class: usize,
        /// Body of the request.
        body: Vec<u8>,
    },
    /// Resume a run with the reply to its call.
    ResumeWithReply {
        /// Id of the request.
        id: RequestId,
        /// Body of the reply.
        body: Vec<u8>,
    },
    /// Resume a run without its call.
    ResumeWithoutCall {
        /// Id of the request.
        id: RequestId,
        /// Number of the notice that requested the call.
        notice: u64,
    },
    /// Stop a run.
    StopRun(RequestId),
    /// Make a call.
    MakeCall(DependencyCall),
    /// Abandon the call of a request.
    AbandonCall(RequestId),
    /// Read the gauges.
    ReadGauges,
    /// Set the response to health checks from now on: whether the server is healthy.
    SetHealth(bool),
    /// Set the feedback value that responses carry from now on.
    SetFeedback(f64),
    /// From now on, close connections that have been idle for this time.
    CloseIdleConnections(Micros),
    /// Write or erase the record of a key.
    PersistKey(KeyCommand),
    /// Load the recorded outcome of a request's key.
    LoadCachedResult {
        /// Id of the request.
        id: RequestId,
        /// Identifies this load. Never reused, whereas a request id may be once its request is
        /// over.
        load_number: u64,
        /// Key of the request.
        key: ScopedKey,
    },
}
