//! Shared set-up of the store's tests.

#![allow(dead_code)] // Each test binary uses only a part of it.

pub mod driver;
pub mod maintenance;
pub mod model;
