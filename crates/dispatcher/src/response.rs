//! The final response to a request.

use cleatpulley_policy::interface::Micros;

/// The one final response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// The result of its run.
    Served(Vec<u8>),
    /// The load was shed: the request never ran.
    Rejected {
        /// The caller should avoid this server for so long; 0 where it need not.
        retry_after: Micros,
        /// The caller should not retry on another server either.
        no_failover: bool,
    },
    /// An error, without a promise.
    Failed,
    /// The deadline has passed; without a promise either.
    Expired,
    /// The request is at fault; it never ran.
    Invalid(RequestError),
    /// A response by a route, or the target's own, with a status of HTTP.
    Direct {
        /// The status.
        status: u16,
        /// The body; for a redirection its target.
        body: Vec<u8>,
    },
}

/// What is wrong with a request that could be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub enum RequestError {
    /// Its key belongs to a request of another class or body.
    KeyReused,
    /// Its class takes no request without a key.
    KeyMissing,
    /// The names in its caller's certificate do not permit its class.
    Forbidden,
}

impl RequestError {
    /// Returns the text that its caller receives.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            Self::KeyReused => "the key belongs to another request",
            Self::KeyMissing => "this class takes no request without a key",
            Self::Forbidden => "the caller's certificate does not permit this class",
        }
    }
}
