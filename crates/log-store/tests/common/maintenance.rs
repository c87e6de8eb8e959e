//! Running maintenance until it is idle.

use cleatpulley_log_store::simulated_folder::SimulatedFolder;
use cleatpulley_log_store::{MaintenanceStatus, Store};

/// Number of steps after which maintenance counts as endless.
const MAX_STEPS: usize = 10_000;

/// Maintains a store until it has nothing to do, and fails if that does not happen.
pub fn maintain_until_idle(store: &mut Store<SimulatedFolder>, now: u64, budget: usize) {
    let steps = (0..MAX_STEPS)
        .take_while(|_| {
            store
                .run_maintenance_step(now, budget)
                .expect("nothing fails")
                == MaintenanceStatus::MoreToDo
        })
        .count();
    assert!(
        steps < 10_000,
        "maintenance does not become idle: {:?}",
        store.stats()
    );
}
