//! Supervisor of many instances of the matcher on one host: starts, drains and replaces them. All decisions are made
//! without I/O and without a clock ([`plan`], [`planner`], [`restart`], [`regression`]); the [`daemon`] runs the
//! processes, reports events to the plan and executes its effects.

#![warn(missing_docs)]

pub mod control_protocol;
pub mod daemon;
pub mod fault_simulation;
pub mod instance_config;
pub mod plan;
pub mod planner;
pub mod process;
pub mod regression;
pub mod restart;

/// Time in microseconds.
pub type Micros = u64;
