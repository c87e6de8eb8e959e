//! What became of each request, for whoever follows one by its id: `RUST_LOG=cleatpulley_requests=trace`. Off it costs a look at
//! one number.

use crate::Answer;
use cleatpulley_policy::interface::{Micros, RequestId};

macro_rules! follow {
    ($($what:tt)*) => { tracing::trace!(target: "cleatpulley_requests", $($what)*) };
}

pub(crate) fn arrived(
    now: Micros,
    id: RequestId,
    class: usize,
    caller: u64,
    door: Micros,
    work: Micros,
) {
    follow!(
        now,
        id = format_args!("{id:016x}"),
        class,
        caller,
        waited = now.saturating_sub(door),
        work,
        "arrived"
    );
}

pub(crate) fn starts(now: Micros, id: RequestId) {
    follow!(now, id = format_args!("{id:016x}"), "starts");
}

pub(crate) fn answered(now: Micros, id: RequestId, caller: u64, door: Micros, answer: &Answer) {
    let (what, later) = match answer {
        Answer::Served(_) => ("served", 0),
        Answer::Refused { later, .. } => ("refused", *later),
        Answer::Failed => ("failed", 0),
        Answer::Expired => ("expired", 0),
        Answer::Rejected(fault) => (fault.text(), 0),
        Answer::Returned { .. } => ("returned", 0),
    };
    let after = now.saturating_sub(door);
    follow!(
        now,
        id = format_args!("{id:016x}"),
        caller,
        after,
        later,
        what,
        "answered"
    );
}

pub(crate) fn advertised(now: Micros, value: f64) {
    follow!(now, value, "advertises");
}
