//! How far the told rate is off when load has only reached a part of it, how often the interval holds the truth, how soon a slow
//! machine is noticed, and what a bound by predictions serves beside one that reacts alone.

use cleatpulley_saturation::bound::Bound;
use cleatpulley_saturation_bench::{accuracy, micros, play, Kind, Limit, Play};

const LINE: Kind = Kind::Line {
    servers: 8,
    work: 0.02,
    varies: 0.8,
};

#[test]
fn the_rate_at_saturation_is_told_from_a_part_of_it() {
    for (load, goal) in [(0.6, 0.15), (0.8, 0.07)] {
        let told = accuracy(load, 0, 40);
        assert!(
            told.error <= goal && told.held >= 0.8 && told.fell <= 8,
            "{told:?} at {load}"
        );
    }
}

#[test]
fn a_machine_that_turns_slow_is_noticed_within_seconds_and_chance_is_not() {
    let (mut noticed, mut false_alarms) = (Vec::new(), 0);
    for seed in 0..20 {
        let mut at = None;
        let steady = |_| 200.0;
        let slow = Play {
            slower: Some((40.0, 3.0)),
            ..Play::plain(LINE, &steady, 60.0, seed)
        };
        play(slow, |now, upstream| {
            if upstream.predict(micros(now)).regimes > 0 && at.is_none() {
                at = Some(now);
            }
        });
        match at {
            Some(at) if at >= 40.0 => noticed.push(at - 40.0),
            Some(_) => false_alarms += 1,
            None => {}
        }
    }
    assert_eq!(false_alarms, 0);
    assert_eq!(noticed.len(), 20, "{noticed:?}");
    assert!(noticed.iter().all(|after| *after <= 9.0), "{noticed:?}");
}

#[test]
fn a_ramp_is_warned_of_ahead() {
    let truth = LINE.capacity();
    // One in a hundred of the rate at saturation more each second.
    let mut warned = None;
    play(
        Play::plain(LINE, &|now| truth * (0.3 + 0.01 * now), 69.0, 4),
        |now, upstream| {
            let told = upstream.predict(micros(now));
            if warned.is_none() && now > 20.0 && told.until.is_some_and(|until| until < 30.0) {
                warned = Some(now);
            }
        },
    );
    let ahead = 70.0 - warned.expect("it is warned of");
    assert!((15.0..45.0).contains(&ahead), "{ahead} s ahead");
}

/// An upstream that does less the more is in hand, asked for a third more than it can do.
#[test]
fn a_bound_by_predictions_serves_no_less_than_one_that_reacts() {
    let kind = Kind::Shared {
        single: 20.0,
        contention: 0.05,
        coherence: 0.004,
    };
    let rate = 1.3 * kind.capacity();
    let good = |limit: Limit| {
        let patience = 20.0 * kind.alone();
        let played = play(
            Play {
                limit,
                patience,
                ..Play::plain(kind, &|_| rate, 60.0, 9)
            },
            |_, _| (),
        );
        played.good as f64 / played.over / kind.capacity()
    };
    let (none, reactive) = (good(Limit::None), good(Limit::Reactive(Bound::default())));
    let predicted = good(Limit::Predicted(Bound::default()));
    assert!(none < 0.2, "without a limit it falls over: {none}");
    assert!(
        predicted >= reactive - 0.02 && predicted > 0.85,
        "{predicted} beside {reactive}"
    );
}
