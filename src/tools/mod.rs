//! The sub-commands beside the matcher itself: an AJP client by hand, the stand-ins, and the demo.

pub mod ajp;
pub mod bench;
pub mod bench_admission;
pub mod bench_fleet;
pub mod bench_places;
pub mod bench_results;
pub mod bench_routes;
pub mod bench_seeds;
pub mod bench_service;
pub mod bench_tls;
pub mod certs;
pub mod demo;
pub mod fleet;
pub mod fleet_top;
pub mod keep;
pub mod results;
pub mod routes;
pub mod seeds;
pub mod standin;
pub mod upgrade;
