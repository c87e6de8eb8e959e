//! What the dispatcher wants its adapters to do.

use crate::event::ClientStream;
use crate::response::Response;
use cleatpulley_idempotency::key_table::KeyCommand;
use cleatpulley_idempotency::record::ScopedKey;
use cleatpulley_policy::interface::{Micros, RequestId};

/// A call to the dependency.
#[derive(Debug, Clone, PartialEq)]
pub struct DependencyCall {
    /// The request that it is made for.
    pub id: RequestId,
    /// Its body.
    pub body: Vec<u8>,
    /// Abandon it after this time.
    pub timeout: Micros,
    /// It may be made more than once.
    pub is_idempotent: bool,
}

/// What the dispatcher wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send the response to a request.
    Respond {
        /// Where it goes.
        client: ClientStream,
        /// The response.
        response: Response,
    },
    /// Start a run.
    StartRun {
        /// The request.
        id: RequestId,
        /// Its class.
        class: usize,
        /// Its body.
        body: Vec<u8>,
    },
    /// Give a run the reply to its call.
    ResumeWithReply {
        /// The request.
        id: RequestId,
        /// The reply.
        body: Vec<u8>,
    },
    /// Let a run go on without its call.
    ResumeWithoutCall {
        /// The request.
        id: RequestId,
        /// The notice that requested the call.
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
    /// Answer health checks like this from now on.
    SetHealth(bool),
    /// Let every response carry this feedback value from now on.
    SetFeedback(f64),
    /// Close connections that were idle for this time, from now on.
    CloseIdleConnections(Micros),
    /// Write or erase the record of a key.
    PersistKey(KeyCommand),
    /// Load how the key of a request ended.
    LoadCachedResult {
        /// The request.
        id: RequestId,
        /// Identifies this load. Never reused, whereas a request id may be once its request is over.
        load_number: u64,
        /// Its key.
        key: ScopedKey,
    },
}
