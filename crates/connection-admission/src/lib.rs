//! Which connections have a place, whatever they speak. No I/O and no clock: the front tells what happened to connections, and
//! asks what is to be done with the next one.
//!
//! - [`rate`]: how many connections a second an address and its prefix open, in memory of a fixed size.
//! - [`standing`]: who has earned to be known, by whole requests answered over time.
//! - [`book`]: that standing in an embedded store, across restarts.
//! - [`admit`]: who gets a place, and whose it was.
//! - [`handshake`]: which TLS handshakes run, and when.
//! - [`identity`]: callers known by a certificate's names, and their caps.
//! - [`net`]: addresses, prefixes and what an operator names.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admit;
pub mod book;
pub mod handshake;
pub mod identity;
pub mod net;
pub mod rate;
pub mod standing;

pub use admit::{Admission, Decision, Settings, Why};
