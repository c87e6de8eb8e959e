//! Levels of concurrency, and merging of statistics.

use super::*;

#[test]
fn levels_rise_with_concurrency_up_to_a_last_one() {
    let levels: Vec<usize> = (0..10_000).map(level_index).collect();
    assert!(levels.windows(2).all(|pair| pair[0] <= pair[1]) && levels[9_999] < LEVEL_COUNT);
    assert_eq!((level_index(31), level_index(32)), (31, 32));
}

#[test]
fn statistics_add_up_in_any_order() {
    let statistics = |in_flight: usize| {
        let mut statistics = ConcurrencyStatistics::default();
        statistics.add_time(in_flight, 0.5);
        statistics.add_completion(in_flight);
        statistics
    };
    let mut first = statistics(3);
    let mut second = statistics(40);
    first.merge(&statistics(40));
    second.merge(&statistics(3));
    assert_eq!(first, second);
    let expected = Totals {
        completions: 2.0,
        seconds: 1.0,
    };
    assert_eq!(
        (first.totals(), first.highest_concurrency()),
        (expected, 40.0)
    );
}
