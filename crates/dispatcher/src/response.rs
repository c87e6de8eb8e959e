//! The final response to a request.

use cleatpulley_policy::interface::Micros;

/// The final response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// The run's result.
    Served(Vec<u8>),
    /// The request was rejected, and never ran.
    Rejected {
        /// Time for which the caller should avoid this server; 0 where it need not.
        retry_after: Micros,
        /// Whether the caller should not retry on another server either.
        no_failover: bool,
    },
    /// The request failed; it may have run.
    Failed,
    /// The deadline has passed; the request may have run.
    Expired,
    /// The request is invalid, and never ran.
    Invalid(RequestError),
    /// A response of a route, or of the target itself, with an HTTP status.
    Direct {
        /// HTTP status code.
        status: u16,
        /// Body; for a redirect its location.
        body: Vec<u8>,
    },
}

/// Reason why a well-formed request is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub enum RequestError {
    /// The key belongs to a request of another class or body.
    KeyReused,
    /// The class requires a key, and the request has none.
    KeyMissing,
    /// The names in the caller's certificate do not permit the class.
    Forbidden,
}

impl RequestError {
    /// Returns the message that the caller receives.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            Self::KeyReused => "the key belongs to another request",
            Self::KeyMissing => "this class takes no request without a key",
            Self::Forbidden => "the caller's certificate does not permit this class",
        }
    }
}
