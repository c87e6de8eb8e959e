//! A request that the exchange knows.

use crate::words::Origin;
use cleatpulley_policy::interface::{Micros, Request};

#[derive(Debug)]
pub(crate) enum Stage {
    Held,
    Running,
    /// A run waits for its call, which was not made yet or has to be made again.
    AtCall,
    Calling,
    /// To run once its intent is durable: as good as running to the controller, and nothing was sent.
    Starting,
    /// Its run is over, and its result is not durable yet.
    Ending,
    /// Waits for how its key ends, or for that to be read.
    Waiting,
}

/// A request that owes an answer or still runs.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) origin: Origin,
    pub(crate) class: usize,
    pub(crate) door: Micros,
    pub(crate) due: Micros,
    pub(crate) answered: bool,
    /// Its start may never have reached the runtime, and then no end will be told.
    pub(crate) doubtful: bool,
    pub(crate) stage: Stage,
    /// It carries a key that is kept.
    pub(crate) keyed: bool,
    /// What the controller was told of it, for a try that may have to be decided on anew.
    pub(crate) request: Request,
    /// The request's body; kept beyond the start only where a start may be sent again.
    pub(crate) body: Vec<u8>,
    /// The last call that the run wanted, or the number of its recall.
    pub(crate) notice: u64,
    pub(crate) call: Vec<u8>,
}
