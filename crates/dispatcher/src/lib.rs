//! The dispatcher between client connections, controller and runtime: the life cycle of requests,
//! without I/O or clock.
//!
//! Adapters pass [`Event`]s to it and execute the [`Command`]s that it returns. It owns the table
//! of requests, their deadlines, the timers and the [`Controller`](cleatpulley_policy::Controller),
//! and guarantees that each request gets exactly one response, whatever the callers, the runtime
//! and the dependency do. It is independent of frames, lines and HTTP, so that it works with any
//! protocol.
//!
//! | module | contents |
//! | --- | --- |
//! | `event`, `command`, `response` | types exchanged with the adapters |
//! | `dispatcher` | state of the [`Dispatcher`], and the steps of the controller |
//! | `arrivals` | requests that were read, and lost connections |
//! | `controller_actions` | execution of the controller's actions |
//! | `runs` | runs at the runtime, and their calls |
//! | `responses`, `deadlines` | one response for each request, by its deadline |
//! | `idempotency_keys`, `keyed_requests`, `key_commands` | requests with an idempotency key |
//! | `controller_timers` | the controller's timers and gauges |
//! | `started_ids` | ids of runs that were started, so that none runs twice |
//! | `request_state` | state of a request, and the table of requests |
//! | `counters`, `request_trace` | counts and traces of responses |

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
mod started_ids;

pub use cleatpulley_idempotency::key_table;
pub use command::{Command, DependencyCall};
pub use counters::{ClassCounters, Counters};
pub use dispatcher::Dispatcher;
pub use event::{ClientStream, Event, IncomingRequest, RequestHead, ResourceUsage, RuntimeCommand};
pub use idempotency_keys::{IdempotencyKeys, KeyScope};
pub use response::{RequestError, Response};
pub use started_ids::StartedId;
