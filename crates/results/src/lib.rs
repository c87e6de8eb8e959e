//! Kept results of keyed requests: a repeat gets the first answer, across crashes, and never runs again.
//!
//! [`history`] decides what a key's history permits; it has no I/O and no clock. [`record`] is what is written of a key.
//! [`kept`] carries out what is decided on an embedded store.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod history;
pub mod kept;
pub mod record;
