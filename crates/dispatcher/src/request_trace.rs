//! Tracing of each request by its id, enabled with `RUST_LOG=cleatpulley_requests=trace`. When it
//! is disabled, a trace point costs one comparison.

use crate::event::IncomingRequest;
use crate::request_state::RequestState;
use crate::response::Response;
use cleatpulley_policy::interface::{Micros, RequestId};

macro_rules! trace_request {
    ($($fields:tt)*) => { tracing::trace!(target: "cleatpulley_requests", $($fields)*) };
}

pub(crate) fn arrived(now: Micros, incoming: &IncomingRequest, received_at: Micros) {
    trace_request!(
        now,
        id = format_args!("{:016x}", incoming.id),
        class = incoming.class,
        caller = incoming.caller,
        waited = now.saturating_sub(received_at),
        work = incoming.expected_work,
        "arrived"
    );
}

pub(crate) fn started(now: Micros, id: RequestId) {
    trace_request!(now, id = format_args!("{id:016x}"), "starts");
}

pub(crate) fn responded(now: Micros, id: RequestId, request: &RequestState, response: &Response) {
    let what = match response {
        Response::Served(_) => "served",
        Response::Rejected { .. } => "refused",
        Response::Failed => "failed",
        Response::Expired => "expired",
        Response::Invalid(error) => error.message(),
        Response::Direct { .. } => "returned",
    };
    let later = match response {
        Response::Rejected { retry_after, .. } => *retry_after,
        _ => 0,
    };
    trace_request!(
        now,
        id = format_args!("{id:016x}"),
        caller = request.controller_request.caller,
        after = now.saturating_sub(request.received_at),
        later,
        what,
        "answered"
    );
}

pub(crate) fn feedback_changed(now: Micros, value: f64) {
    trace_request!(now, value, "advertises");
}
