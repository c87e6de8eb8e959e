//! The settings that the connections of an AJP listener share: limits, the table of classes, and
//! the sources of request parameters.

use crate::ajp::class_table::ClassTable;
use cleatpulley_dispatcher::RequestHead;
use cleatpulley_policy::interface::Micros;
use std::sync::Arc;

/// The source of a request parameter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParameterSource {
    /// The header with this name.
    Header(String),
    /// The request attribute with this name; all other attributes are ignored.
    Attribute(String),
}

/// The sources of the request parameters; a parameter without a source has its default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ParameterSources {
    /// The request id, which differs between attempts.
    pub id: Option<ParameterSource>,
    /// When the request arrived at the host, in Unix milliseconds; only trusted proxies may set it.
    pub received_at_ms: Option<ParameterSource>,
    /// Expected work, in milliseconds on one core.
    pub work_ms: Option<ParameterSource>,
    /// Memory that the request occupies, in KB.
    pub memory_kb: Option<ParameterSource>,
    /// The rank, from 0 to below 1.
    pub rank: Option<ParameterSource>,
    /// The caller's number.
    pub caller: Option<ParameterSource>,
    /// The subject of the request.
    pub subject: Option<ParameterSource>,
    /// The idempotency key, shared by all attempts.
    pub key: Option<ParameterSource>,
}

/// The parameters of a class's requests that are not sent.
#[derive(Debug, Clone, PartialEq)]
pub struct ParameterDefaults {
    /// Expected work, in microseconds; 0 if unknown.
    pub expected_work: Micros,
    /// Memory in KB.
    pub memory_kb: f64,
    /// The rank.
    pub rank: f64,
    /// The caller's number.
    pub caller: u64,
    /// Whether a request without an id is rejected: a repetition by a proxy could not be told from
    /// a new request.
    pub requires_id: bool,
}

/// Finds the class of a request by more than its method and path.
pub trait ClassLookup: std::fmt::Debug + Send + Sync {
    /// Returns the class of the request.
    ///
    /// # Errors
    /// Returns a status and a message if the request has no class.
    fn find(&self, head: &RequestHead) -> Result<usize, (u16, String)>;

    /// Returns whether requests are forwarded, and need their heads.
    fn forwards_requests(&self) -> bool;
}

/// The settings that the connections of a listener share.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The secret that a proxy must send; without one, none is required.
    pub secret: Option<Vec<u8>>,
    /// Maximum packet size in bytes, in both directions.
    pub packet_size: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// A connection's first packet, and every packet that has begun, must be complete after this
    /// time.
    pub packet_timeout: Micros,
    /// The next packet of a body must arrive within this time.
    pub body_timeout: Micros,
    /// A connection without a request is closed after this time.
    pub idle_timeout: Micros,
    /// The table of request classes by method and path.
    pub class_table: ClassTable,
    /// Finds classes in place of the table, if set.
    pub class_lookup: Option<Arc<dyn ClassLookup>>,
    /// The sources of the request parameters.
    pub parameter_sources: ParameterSources,
    /// Defaults of the request parameters, by class.
    pub parameter_defaults: Vec<ParameterDefaults>,
    /// Seed of the ids generated for requests without one.
    pub id_seed: u64,
}
