//! Runs a fixed range of seeds, and the same seeds twice.

use cleatpulley_simulator::plan::Plan;
use cleatpulley_simulator::seeds;

/// Whole matchers under faults violate no rule, and reach the coverage points that matter.
#[test]
fn a_range_of_seeds_violates_no_rule_and_reaches_the_coverage_points() {
    let summary = seeds::run(Plan::from_seed, 1, 48, 4, false, || (), |_| ());
    let failed: Vec<_> = summary
        .failed
        .iter()
        .map(|outcome| (outcome.seed, &outcome.violations))
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    // Guards against seeds that reach nothing worth checking.
    for name in [
        "crash",
        "drain",
        "left",
        "new settings",
        "response lost at its deadline",
        "link end within a notice",
        "repeated notices",
        "malformed store replies",
        "more than half of the memory in use",
        "repeated key gets the first response",
        "shut down in favour of a successor",
        "learned state restored",
        "new process dies before the old one is shut down",
        "old process dies during an upgrade",
    ] {
        assert!(
            summary.coverage.contains_key(name),
            "{name} was not reached: {:?}",
            summary.coverage
        );
    }
}

/// Overlapping upgrades with processes of the chain killed: the predecessor of a killed process is
/// found, and the store of results goes to the newest process.
#[test]
fn upgrade_chains_violate_no_rule_when_any_of_their_processes_dies() {
    let summary = seeds::run(Plan::with_upgrade_chains, 1, 24, 4, false, || (), |_| ());
    let failed: Vec<_> = summary
        .failed
        .iter()
        .map(|outcome| (outcome.seed, &outcome.violations))
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    for name in [
        "third process while the first still responds",
        "old process dies during an upgrade",
        "new process dies after the old one is shut down",
        "repeated key gets the first response",
    ] {
        assert!(
            summary.coverage.contains_key(name),
            "{name} was not reached: {:?}",
            summary.coverage
        );
    }
}

/// In both seeds the second of three processes died, and the first took the store of results again
/// while the third served, so that a keyed request at the third waited for the store until its
/// deadline.
#[test]
fn the_first_of_three_processes_releases_the_store_to_the_third() {
    for seed in [773_604, 774_130] {
        let outcome = seeds::play(Plan::from_seed(seed));
        assert!(
            outcome.violations.is_empty(),
            "{seed}: {:?}",
            outcome.violations
        );
    }
}

/// A keyed request was read some 30 ms before the shutdown of a process whose successor had died,
/// and its response came after the shutdown.
#[test]
fn requests_read_right_before_the_shutdown_get_their_response_before_it() {
    let outcome = seeds::play(Plan::with_upgrade_chains(12_809));
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
}

/// In one seed two replaced processes start the requests that they held; the third has to leave
/// memory for those, not only for running requests. In the other, connections accepted just before
/// the limit was lowered kept their descriptors, beyond the total of three processes.
#[test]
fn three_processes_together_stay_within_the_memory_and_descriptors_of_one() {
    for seed in [255, 11_809] {
        let outcome = seeds::play(Plan::with_upgrade_chains(seed));
        assert!(
            outcome.violations.is_empty(),
            "{seed}: {:?}",
            outcome.violations
        );
    }
}

#[test]
fn the_same_seeds_give_the_same_digest_with_any_number_of_threads() {
    let digest = |jobs| seeds::run(Plan::from_seed, 3, 6, jobs, false, || (), |_| ()).digest;
    assert_eq!(digest(1), digest(3));
    let plan = Plan::from_seed(5);
    assert_eq!(
        seeds::play(plan.clone()).digest,
        seeds::replay(plan).0.digest
    );
}
