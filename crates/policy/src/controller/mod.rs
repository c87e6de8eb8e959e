//! The admission decisions of a server, without I/O or clock.
//!
//! Admission of requests that call the dependency is paced by Bassoon gapping: the smoothed backlog
//! of requests that wait for their call determines a gap, and each admission closes the dependency
//! for one gap. In addition there are a limit on calls in flight, a limit on running requests, and
//! a rank threshold for arrivals. Four rules always hold: each request gets one final response by
//! its deadline, nothing runs twice that must not, the shutdown is graceful, and the server does
//! not fail by overload.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `control_loop` | state of the [`Controller`], and the order of decisions in a step |
//! | `admission` | whether an arrival is admitted, rejected, or waits for the original request |
//! | `queue` | order of queued requests, and load shedding |
//! | `priority` | priority of a request, and the rank threshold |
//! | `concurrency` | limit on running requests |
//! | `dependency_calls` | which calls are made, skipped or abandoned |
//! | `dependency_limiter` | admission gap, and limit on calls in flight |
//! | `memory`, `key_usage` | memory accounting, and entries in the table of keys |
//! | `responses` | deadlines, rejections and failures |
//! | `shutdown` | drain grace period and final deadline |
//! | `feedback` | feedback to callers |
//! | `request_state`, `class_statistics`, `arrival_statistics` | state and statistics of requests |

mod admission;
mod arrival_statistics;
mod class_statistics;
mod concurrency;
mod control_loop;
mod dependency_calls;
mod dependency_limiter;
mod feedback;
mod key_usage;
mod memory;
mod priority;
mod queue;
mod random;
mod request_state;
mod responses;
mod shutdown;
mod smoothing;

pub use control_loop::Controller;

use crate::interface::Class;

/// Share of the memory and of the call quota that the controller uses. The rest is headroom for
/// usage that it has not observed yet.
const USABLE_SHARE: f64 = 0.85;

/// Returns whether requests of a class can't be served without their call to the dependency.
fn requires_call(class: &Class) -> bool {
    class.calls_dependency && class.weight_ratio_without_call == 0.0
}
