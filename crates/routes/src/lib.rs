//! Routes requests to matchers by nginx's `upstream` and `location` blocks.
//!
//! An importer takes the blocks over, or reports each directive that it can't express. Beside it
//! are the route table that follows, load balancing over the targets of a pool, and expectations on
//! routing that are checked without traffic. No I/O and no clock.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`syntax`], [`diagnostic`] | nginx's configuration language, and messages on its files |
//! | [`import`] | what each directive means |
//! | [`model`] | the route table as data, also read and written as JSON |
//! | [`router`] | the table prepared for requests |
//! | [`location_index`], [`trie`], [`uri`], [`pattern`], [`template`] | how a location is found, and texts with variables |
//! | [`balancer`], [`retry`], [`limits`] | targets of a pool, retries, and limits of requests |
//! | [`expectations`], [`diff`], [`probe`] | checks and comparisons of tables, and the requests they use |

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
