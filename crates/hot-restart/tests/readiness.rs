//! The decision of an upgrade after each readiness check.

use cleatpulley_hot_restart::readiness::{next_step, NextStep, ReadinessCheck, ServingProcess};

/// Guards against a check that could not be made and counted as "not ready".
#[test]
fn an_unknown_readiness_is_decided_by_which_process_serves() {
    for (serving, expected) in [
        (ServingProcess::New, NextStep::TerminateOld),
        (ServingProcess::Other, NextStep::RollBack),
        (ServingProcess::Unknown, NextStep::RollBack),
    ] {
        assert_eq!(
            next_step(ReadinessCheck::Unknown, true, || serving),
            expected,
            "{serving:?}"
        );
    }
}

#[test]
fn a_process_that_reports_that_it_is_not_ready_is_rolled_back_after_the_timeout_only() {
    let unasked = || panic!("the check alone decides");
    assert_eq!(
        next_step(ReadinessCheck::NotReady, false, unasked),
        NextStep::CheckAgain
    );
    assert_eq!(
        next_step(ReadinessCheck::Unknown, false, unasked),
        NextStep::CheckAgain
    );
    assert_eq!(
        next_step(ReadinessCheck::NotReady, true, unasked),
        NextStep::RollBack
    );
    for has_timed_out in [false, true] {
        assert_eq!(
            next_step(ReadinessCheck::Ready, has_timed_out, unasked),
            NextStep::TerminateOld
        );
    }
}
