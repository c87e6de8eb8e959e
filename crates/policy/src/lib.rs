//! Every admission decision of a matcher, with the types it is told in and the settings object it is set by.
//!
//! A [`Controller`] decides for one server which requests it runs, which calls it lets go to what lies below,
//! and which requests it turns away and when. It has no clock, threads or I/O: the server tells it what has
//! happened and carries out the [`Action`](interface::Action)s that it appends.
//!
//! ```
//! use cleatpulley_policy::interface::*;
//! use cleatpulley_policy::Controller;
//!
//! let class = Class {
//!     effect: Effect::Safe,
//!     aim: 2_000_000,
//!     aim_stretch: 0.0,
//!     deadline: 8_000_000,
//!     late_worth: 0.0,
//!     worth: 1.0,
//!     window: 0,
//!     calls: false,
//!     skip_worth: 0.0,
//! };
//! let settings = Settings {
//!     classes: vec![class],
//!     tenants: Vec::new(),
//!     over_share_worth: 1.0,
//!     worth_by_work: false,
//!     marks_retry: false,
//!     servers: 1,
//!     callers: 1,
//!     cores: 4,
//!     memory_kb: 4_000_000.0,
//!     entry_kb: 1.0,
//!     run_factor: 8.0,
//!     below: Below::Nothing,
//!     idle: 0,
//!     linger: 0,
//!     fresh: 0,
//!     advert: Advert::Unused,
//!     max_avoid: 1_000_000,
//!     tells_gone: true,
//!     halt: Halt::Never,
//!     list_follows_health: false,
//!     cold_start: true,
//!     cold_speed: 0.5,
//!     warm_after: 10_000_000,
//!     answer_slack: 60_000,
//!     drain_grace: 2_000_000,
//!     crowd: 6.0,
//!     tick: 1_000,
//! };
//!
//! let mut controller = Controller::new(settings, 42);
//! let mut actions = Vec::new();
//! controller.step(0, &[Event::Started], &mut actions);
//! actions.clear();
//!
//! let request = Request { id: 7, due: Some(8_001_000), memory_kb: 30.0, ..Request::default() };
//! controller.step(1_000, &[Event::Arrived(request)], &mut actions);
//! assert_eq!(actions, [Action::Run(7)]);
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod controller;
pub mod interface;
pub mod learned;
pub mod plant;
pub mod settings;

pub use controller::Controller;
