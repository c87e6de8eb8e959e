//! Many instances of the matcher on one host: what is started, told to leave and replaced, and when. All of it is
//! decided without I/O and without a clock ([`plan`], [`planner`], [`restart`], [`regression`]); the [`daemon`] runs the processes,
//! tells what happened and does what is wanted.

#![warn(missing_docs)]

pub mod daemon;
pub mod instance_config;
pub mod plan;
pub mod planner;
pub mod process;
pub mod regression;
pub mod restart;
pub mod trial;
pub mod view;

/// Microseconds.
pub type Micros = u64;
