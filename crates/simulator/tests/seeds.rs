//! A fixed range of seeds, and the same history twice.

use cleatpulley_simulator::plan::Plan;
use cleatpulley_simulator::seeds;

/// Whole matchers under faults: no rule is broken, and what the seeds are for is met.
#[test]
fn a_range_of_seeds_breaks_no_rule_and_meets_what_is_feared() {
    let summary = seeds::run(Plan::from_seed, 1, 48, 4, false, || (), |_| ());
    let failed: Vec<_> = summary
        .failed
        .iter()
        .map(|outcome| (outcome.seed, &outcome.violations))
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    // Nobody should trust seeds that visit nothing.
    for name in [
        "crash",
        "drain",
        "left",
        "new settings",
        "reply lost at its due time",
        "link end within a notice",
        "repeated notices",
        "spoilt store replies",
        "more than half of the memory is used",
        "a repeat is told the first answer",
        "left to its successor",
        "goes on with what was learned",
        "the new process dies before it is believed",
        "the old process dies in an upgrade",
    ] {
        assert!(
            summary.coverage.contains_key(name),
            "{name} was not met: {:?}",
            summary.coverage
        );
    }
}

/// Upgrades that fall into each other, with processes of the chain killed: whoever came before a dead one is found, and the
/// store of results goes to the youngest.
#[test]
fn chains_of_processes_keep_the_rules_whoever_of_them_dies() {
    let summary = seeds::run(Plan::with_upgrade_chains, 1, 24, 4, false, || (), |_| ());
    let failed: Vec<_> = summary
        .failed
        .iter()
        .map(|outcome| (outcome.seed, &outcome.violations))
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    for name in [
        "a third process while the first still answers",
        "the old process dies in an upgrade",
        "the new process dies after the old one was told to leave",
        "a repeat is told the first answer",
    ] {
        assert!(
            summary.coverage.contains_key(name),
            "{name} was not met: {:?}",
            summary.coverage
        );
    }
}

/// In both the middle one of three processes died, the first took the store of results again while the third served, and a
/// keyed request there waited for the store until it was due.
#[test]
fn the_first_of_three_does_not_keep_the_store_from_the_third() {
    for seed in [773_604, 774_130] {
        let outcome = seeds::play(Plan::from_seed(seed));
        assert!(
            outcome.violations.is_empty(),
            "{seed}: {:?}",
            outcome.violations
        );
    }
}

/// A keyed request was read some 30 ms before the stop of a process whose successor had died, and its answer came after it.
#[test]
fn what_is_read_right_before_the_stop_is_answered_before_it() {
    let outcome = seeds::play(Plan::with_upgrade_chains(12_809));
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
}

/// Two processes that have been succeeded start what they held; the third leaves room for that, and not only for what runs.
/// In the other, connections that had just come when places became fewer kept them, beyond what three processes have together.
#[test]
fn three_processes_together_have_the_memory_and_the_descriptors_of_one() {
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
fn the_same_seeds_pass_the_same_way_whoever_plays_them() {
    let digest = |jobs| seeds::run(Plan::from_seed, 3, 6, jobs, false, || (), |_| ()).digest;
    assert_eq!(digest(1), digest(3));
    let plan = Plan::from_seed(5);
    assert_eq!(
        seeds::play(plan.clone()).digest,
        seeds::replay(plan).0.digest
    );
}
