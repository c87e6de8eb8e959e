//! What nginx's upstream and location blocks mean for the routing of requests to matchers, or a clear refusal; the table
//! that follows, pools of targets, and expectations on all of it. No I/O and no clock.
//!
//! - [`syntax`], [`import`]: the language, and what its directives mean.
//! - [`model`]: the table as data. [`router`]: the same, ready for requests; [`location_index`], [`trie`], [`uri`] find locations.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod balancer;
pub mod diagnostic;
pub mod diff;
pub mod expectations;
pub mod import;
pub mod limits;
pub mod location_index;
pub mod model;
pub mod pattern;
pub mod probe;
pub mod retry;
pub mod router;
pub mod syntax;
pub mod template;
pub mod trie;
pub mod uri;
