//! Tests of whole groups: simulated on seeds with injected faults, and explored as a model.

mod agreement;
mod cluster;
mod faulty_disk;
mod lease;
mod link;
mod membership_change;
mod model;
mod model_checking;
mod network;
mod observations;
mod random;
mod storage;
mod stored_format;
mod validation;
