//! Many trials of the plan, and replacements of single kinds.

use cleatpulley_fleet::trial;
use std::collections::BTreeMap;

#[test]
fn whatever_fails_the_plan_keeps_its_promises_and_comes_to_rest() {
    let mut met: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..150 {
        let outcome = trial::play(seed);
        assert!(
            outcome.broken.is_empty(),
            "seed {seed}: {:?}",
            outcome.broken
        );
        outcome
            .met
            .into_iter()
            .for_each(|(name, number)| *met.entry(name).or_default() += number);
    }
    for name in [
        "daemon died",
        "halted by itself",
        "went back",
        "replaced",
        "killed",
        "left too late",
        "crash within a drain",
        "death before the first word",
        "no process could be started",
        "replacement by one that crashes",
        "replacement by one that refuses more",
        "replacement by one that stays cold",
        "resumed",
        "rolled back by hand",
    ] {
        assert!(met.contains_key(name), "{name} was not met: {met:?}");
    }
}
