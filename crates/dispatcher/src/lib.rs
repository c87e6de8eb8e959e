//! The dispatcher, where the client side and the server side meet: the life cycle of requests,
//! without I/O or clock.
//!
//! Adapters notify it of [`Event`]s and carry out the [`Command`]s that it appends. It owns the
//! table of requests, their deadlines, the timers and the
//! [`Controller`](cleatpulley_policy::Controller), and sees to it that each request gets exactly one
//! response, whatever the other parties do. It knows nothing of frames, lines or HTTP, so that any
//! protocol can be put before it.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `event`, `command`, `response` | the types exchanged with the adapters |
//! | `dispatcher` | the state of the [`Dispatcher`], and one step of the controller |
//! | `arrivals` | requests that were read, and lost connections |
//! | `controller_actions` | what the controller decides, carried out |
//! | `runs` | runs and calls at the runtime |
//! | `responses`, `deadlines` | one response for each request, by its deadline |
//! | `idempotency_keys`, `keyed_requests`, `key_commands` | requests with an idempotency key |
//! | `controller_timers` | the controller's timers and gauges |
//! | `request_state` | a request, and the table of all of them |
//! | `counters`, `request_trace` | what became of requests |

mod arrivals;
mod command;
mod controller_actions;
mod controller_timers;
mod counters;
mod deadlines;
mod dispatcher;
mod event;
mod idempotency_keys;
mod key_commands;
mod keyed_requests;
mod request_state;
mod request_trace;
mod response;
mod responses;
mod runs;

pub use cleatpulley_idempotency::key_table;
pub use command::{Command, DependencyCall};
pub use counters::{ClassCounters, Counters};
pub use dispatcher::Dispatcher;
pub use event::{ClientStream, Event, IncomingRequest, RequestHead, ResourceUsage, RuntimeCommand};
pub use idempotency_keys::{IdempotencyKeys, KeyScope};
pub use response::{RequestError, Response};
