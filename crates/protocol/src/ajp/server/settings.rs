//! What the connections of one AJP front share: limits, from paths to classes, and where a request's figures stand.

use crate::ajp::class_table::ClassTable;
use cleatpulley_dispatcher::RequestHead;
use cleatpulley_policy::interface::Micros;
use std::sync::Arc;

/// Where a figure of a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParameterSource {
    /// In the header of this name.
    Header(String),
    /// In the request attribute of this name; all others are passed over.
    Attribute(String),
}

/// Where the figures of a request stand, each where it was given a place.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ParameterSources {
    /// The id, one for each try.
    pub id: Option<ParameterSource>,
    /// When it came to the machine, in Unix milliseconds; believed of trusted proxies only.
    pub received_at_ms: Option<ParameterSource>,
    /// Work to expect, in milliseconds on one core.
    pub work_ms: Option<ParameterSource>,
    /// Memory while held, in KB.
    pub memory_kb: Option<ParameterSource>,
    /// The rank, from 0 to under 1.
    pub rank: Option<ParameterSource>,
    /// The caller's number.
    pub caller: Option<ParameterSource>,
    /// What it is about.
    pub subject: Option<ParameterSource>,
    /// What all tries of one request share.
    pub key: Option<ParameterSource>,
}

/// The figures of a class's requests that nobody tells.
#[derive(Debug, Clone, PartialEq)]
pub struct ParameterDefaults {
    /// Work in microseconds; 0 for unknown.
    pub expected_work: Micros,
    /// Memory in KB.
    pub memory_kb: f64,
    /// The rank.
    pub rank: f64,
    /// The caller's number.
    pub caller: u64,
    /// A request without an id is not taken: a proxy that sends it again could not be told from a new one.
    pub requires_id: bool,
}

/// What finds the class of a request by more than its path.
pub trait ClassLookup: std::fmt::Debug + Send + Sync {
    /// The class.
    ///
    /// # Errors
    /// A status and words, where it has none.
    fn find(&self, head: &RequestHead) -> Result<usize, (u16, String)>;

    /// Requests are to be sent on, with their heads.
    fn forwards_requests(&self) -> bool;
}

/// What the connections of one front share.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What a proxy has to tell; without one nothing is asked.
    pub secret: Option<Vec<u8>>,
    /// Bytes of the largest packet, both ways.
    pub packet_size: usize,
    /// Bytes of the largest body.
    pub max_body_bytes: usize,
    /// A connection's first packet, and every packet that began, has to be whole after this time.
    pub packet_timeout: Micros,
    /// The next piece of a body has to come within this time.
    pub body_timeout: Micros,
    /// A connection without a request is closed after this time.
    pub idle_timeout: Micros,
    /// From paths to classes.
    pub class_table: ClassTable,
    /// What finds classes instead of the table, where there is one.
    pub class_lookup: Option<Arc<dyn ClassLookup>>,
    /// Where the figures stand.
    pub parameter_sources: ParameterSources,
    /// What holds where they don't, by class.
    pub parameter_defaults: Vec<ParameterDefaults>,
    /// Mixed into the ids of requests that bring none.
    pub id_seed: u64,
}
