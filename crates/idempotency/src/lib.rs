//! Kept results of keyed requests: what a key's history permits, and where it is kept.
//!
//! [`history`] decides, without I/O and clock; [`journal`] writes what it decides to an embedded store; [`table`] is the
//! structure that finds entries by key and by age; [`fence`] and [`transfer`] move the keys of an owner from one store
//! to another.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fence;
pub mod history;
pub mod journal;
pub mod record;
pub mod table;
pub mod transfer;
