//! The overload controller of a server: its admission decisions, the types of its interface, and
//! its settings.
//!
//! A [`Controller`] decides for one server which requests run, which calls to the dependency are
//! made, and which requests are rejected and when. It has no clock, threads or I/O: the caller
//! passes [`Event`](interface::Event)s to it and carries out the [`Action`](interface::Action)s
//! that it returns.
//!
//! ```
//! use cleatpulley_policy::interface::*;
//! use cleatpulley_policy::Controller;
//!
//! let class = Class {
//!     effect: Effect::Idempotent,
//!     latency_objective: 2_000_000,
//!     latency_objective_stretch: 0.0,
//!     client_timeout: 8_000_000,
//!     late_weight_ratio: 0.0,
//!     priority_weight: 1.0,
//!     deduplication_window: 0,
//!     calls_dependency: false,
//!     weight_ratio_without_call: 0.0,
//! };
//! let settings = Settings {
//!     classes: vec![class],
//!     tenants: Vec::new(),
//!     over_quota_weight_ratio: 1.0,
//!     weight_by_work: false,
//!     marks_retries: false,
//!     servers: 1,
//!     callers: 1,
//!     cores: 4,
//!     memory_kb: 4_000_000.0,
//!     key_entry_kb: 1.0,
//!     running_memory_factor: 8.0,
//!     dependency: DependencyLimit::NoDependency,
//!     client_idle_timeout: 0,
//!     abandoned_call_linger: 0,
//!     shared_response_lifetime: 0,
//!     feedback: FeedbackKind::Unused,
//!     max_retry_after: 1_000_000,
//!     reports_abandonment: true,
//!     preemption: Preemption::Never,
//!     discovery_follows_health: false,
//!     cold_start: true,
//!     cold_start_speed: 0.5,
//!     warm_up_time: 10_000_000,
//!     response_slack: 60_000,
//!     drain_grace: 2_000_000,
//!     overload_concurrency_per_core: 6.0,
//!     tick: 1_000,
//! };
//!
//! let mut controller = Controller::new(settings, 42);
//! let mut actions = Vec::new();
//! controller.step(0, &[Event::Started], &mut actions);
//! actions.clear();
//!
//! let request = Request { id: 7, respond_by: Some(8_001_000), memory_kb: 30.0, ..Request::default() };
//! controller.step(1_000, &[Event::Arrived(request)], &mut actions);
//! assert_eq!(actions, [Action::Run(7)]);
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bug_injection;
pub mod controller;
pub mod interface;
pub mod learned_state;
pub mod settings;

pub use controller::Controller;
