//! Every admission decision of a server, without I/O or clock.
//!
//! Bassoon gapping decides the ordinary path: the smoothed backlog of requests that wait to call
//! the dependency sets a gap, and each admission closes the dependency for one gap. Apart from it
//! there are a limit on calls in flight, a limit on running requests, and a rank threshold for arrivals.
//! The rest keeps the rules: one final response by the deadline, no second run, a graceful
//! shutdown, and no failure by overload.
//!
//! | module | what it decides |
//! | --- | --- |
//! | `control_loop` | the state of the [`Controller`], and in which order a step decides |
//! | `admission` | whether an arrival is admitted, rejected, or waits for its original |
//! | `queue` | in which order queued requests run, and which are shed |
//! | `priority` | the priority of a request, and the rank threshold |
//! | `concurrency` | how many requests run |
//! | `dependency_calls` | which calls are made, left out or given up |
//! | `dependency_limiter` | the gap, and the limit on calls in flight |
//! | `memory`, `key_usage` | what fits into memory, and which keys are remembered |
//! | `responses` | deadlines, rejections and failures |
//! | `shutdown` | the grace and the stop |
//! | `feedback` | what callers are advised of |
//! | `request_state`, `class_statistics`, `arrival_statistics` | what is known of requests |

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

/// Share of the memory, of the quota of calls, or of the concurrency survived that is used: what is
/// not seen yet needs the rest.
const USABLE_SHARE: f64 = 0.85;

/// Returns whether requests of a class can't do without their call to the dependency.
fn requires_call(class: &Class) -> bool {
    class.calls_dependency && class.weight_ratio_without_call == 0.0
}
