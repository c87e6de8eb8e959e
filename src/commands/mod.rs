//! The subcommands of `cleatpulley` other than `serve` and `route`, one file each.

pub mod ajp;
pub mod bench;
pub mod bench_connection_admission;
pub mod bench_fleet;
pub mod bench_idempotency;
pub mod bench_places;
pub mod bench_routes;
pub mod bench_service;
pub mod bench_simulator;
pub mod bench_tls;
pub mod certs;
pub mod demo;
pub mod emulators;
pub mod fleet;
pub mod fleet_top;
pub mod idempotency;
pub mod log_store;
pub mod routes;
pub mod simulator;
pub mod upgrade;
