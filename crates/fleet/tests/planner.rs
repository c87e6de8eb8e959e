//! What the planner finds possible, and which limit it names where nothing is.

use cleatpulley_fleet::plan::Bounds;
use cleatpulley_fleet::planner::{answer, play, Answer, Forecast, Host, Limit, Question};
use cleatpulley_fleet::regression::RegressionThresholds;
use cleatpulley_fleet::restart::RestartPolicy;

const SECOND: u64 = 1_000_000;

fn question(load: f64) -> Question {
    Question {
        bounds: Bounds {
            instances: 10,
            surge: 0,
            batch: 10,
            minimum: 0.0,
            start_within: SECOND,
            warm_within: SECOND,
            drain_within: SECOND,
            silent_within: SECOND,
            crashes: 3,
            regression: RegressionThresholds {
                min_samples: 100,
                max_rejected_increase: 0.1,
                max_failed_increase: 0.1,
                max_late_increase: 0.1,
                standard_errors: 3.0,
            },
            restart: RestartPolicy {
                initial_delay: SECOND,
                max_delay: SECOND,
                budget: 3,
                budget_window: SECOND,
            },
        },
        host: Host {
            cores: 12.0,
            cores_each: 1.0,
            rate_each: 100.0,
            start: SECOND,
            cold_from: 0.25,
            warm_after: 4 * SECOND,
            drain: 2 * SECOND,
        },
        demand: Forecast(vec![(0, load * 1_000.0)]),
        headroom: 0.0,
    }
}

#[test]
fn the_quickest_way_that_holds_is_taken() {
    let Ok(Answer::Possible(course)) = answer(&question(0.55)) else {
        panic!("not possible")
    };
    // Four may be away at once: 2 s to leave, 1 s to start, 3.8 s until 95% are warm; three times, the last to the end.
    assert_eq!(
        (course.batch, course.surge, course.takes),
        (4, 0, Some(20_600_000))
    );
    assert!(course.margin.0 >= 0.0, "{:?}", course.margin);
    let quicker = play(&question(0.55), 5, 0).expect("it can be played");
    assert!(quicker.takes < course.takes && quicker.margin.0 < 0.0);
}

#[test]
fn load_that_falls_later_is_not_waited_for_but_seen() {
    let falling = Question {
        demand: Forecast(vec![(0, 950.0), (10 * SECOND, 0.0)]),
        ..question(0.0)
    };
    assert_eq!(falling.demand.at(5 * SECOND), 475.0);
    let Ok(Answer::Impossible(
        nearest,
        Limit::Surge {
            allowed: 0,
            needed: 1,
        },
    )) = answer(&falling)
    else {
        panic!("{:?}", answer(&falling));
    };
    assert!(
        nearest.margin.0 < 0.0 && nearest.margin.1 < SECOND,
        "{:?}",
        nearest.margin
    );
}

#[test]
fn the_limit_that_forbids_it_is_named_with_what_would_do() {
    let told = |question: &Question| match answer(question) {
        Ok(Answer::Impossible(_, limit)) => limit,
        other => panic!("{other:?}"),
    };
    assert_eq!(
        told(&question(1.2)),
        Limit::Load {
            needed: 1_200.0,
            there: 1_000.0
        }
    );
    assert_eq!(
        told(&question(0.95)),
        Limit::Surge {
            allowed: 0,
            needed: 1
        }
    );
    let mut wide = question(0.95);
    wide.bounds.surge = 1;
    assert!(matches!(answer(&wide), Ok(Answer::Possible(_))));
    assert!(told(&question(1.2)).to_string().contains("200.0 short"));
}
