//! Tests of the planner: the schedule that it chooses, and the limit that it names if none is feasible.

use cleatpulley_fleet::plan::FleetSettings;
use cleatpulley_fleet::planner::{
    plan_replacement, simulate, Forecast, HostProfile, Limit, PlannerInput, PlannerOutput,
};
use cleatpulley_fleet::regression::RegressionThresholds;
use cleatpulley_fleet::restart::RestartPolicy;

const SECOND: u64 = 1_000_000;

fn input(load: f64) -> PlannerInput {
    PlannerInput {
        settings: FleetSettings {
            instances: 10,
            surge: 0,
            batch: 10,
            min_capacity: 0.0,
            start_timeout: SECOND,
            warm_up_timeout: SECOND,
            drain_timeout: SECOND,
            report_timeout: SECOND,
            failure_limit: 3,
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
        host: HostProfile {
            cores: 12.0,
            cores_per_instance: 1.0,
            rate_per_instance: 100.0,
            start_duration: SECOND,
            initial_warmth: 0.25,
            warm_up_duration: 4 * SECOND,
            drain_duration: 2 * SECOND,
        },
        demand: Forecast(vec![(0, load * 1_000.0)]),
        headroom: 0.0,
    }
}

#[test]
fn chooses_the_quickest_feasible_schedule() {
    let Ok(PlannerOutput::Possible(schedule)) = plan_replacement(&input(0.55)) else {
        panic!("no schedule is feasible")
    };
    // Four instances may be missing at once: 2 s to drain, 1 s to start, 3.8 s until the warmth is 95%; three rounds, of
    // which the last runs until the instances are fully warm.
    assert_eq!(
        (schedule.batch, schedule.surge, schedule.duration),
        (4, 0, Some(20_600_000))
    );
    assert!(schedule.min_margin.0 >= 0.0, "{:?}", schedule.min_margin);
    let quicker = simulate(&input(0.55), 5, 0).expect("the replacement can begin");
    assert!(quicker.duration < schedule.duration && quicker.min_margin.0 < 0.0);
}

#[test]
fn does_not_delay_the_replacement_until_the_load_falls() {
    let falling = PlannerInput {
        demand: Forecast(vec![(0, 950.0), (10 * SECOND, 0.0)]),
        ..input(0.0)
    };
    assert_eq!(falling.demand.at(5 * SECOND), 475.0);
    let Ok(PlannerOutput::Impossible(
        nearest,
        Limit::Surge {
            allowed: 0,
            needed: 1,
        },
    )) = plan_replacement(&falling)
    else {
        panic!("{:?}", plan_replacement(&falling));
    };
    assert!(
        nearest.min_margin.0 < 0.0 && nearest.min_margin.1 < SECOND,
        "{:?}",
        nearest.min_margin
    );
}

#[test]
fn names_the_limit_and_the_value_that_would_suffice() {
    let limit_of = |input: &PlannerInput| match plan_replacement(input) {
        Ok(PlannerOutput::Impossible(_, limit)) => limit,
        other => panic!("{other:?}"),
    };
    assert_eq!(
        limit_of(&input(1.2)),
        Limit::Load {
            needed: 1_200.0,
            available: 1_000.0
        }
    );
    assert_eq!(
        limit_of(&input(0.95)),
        Limit::Surge {
            allowed: 0,
            needed: 1
        }
    );
    let mut larger_surge = input(0.95);
    larger_surge.settings.surge = 1;
    assert!(matches!(
        plan_replacement(&larger_surge),
        Ok(PlannerOutput::Possible(_))
    ));
    assert!(limit_of(&input(1.2)).to_string().contains("200.0 short"));
}
