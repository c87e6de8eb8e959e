//! Whether a request whose try came to nothing is tried again elsewhere. Decisions alone.
//!
//! - What may have run of a class with an effect is never tried again, whatever the configuration says.
//! - No try begins that could not be answered by the due time.
//! - Further tries are a share of first tries: when many targets fail, the load does not multiply.

use crate::balancer::Micros;
use crate::model::RetryPolicy;

/// What a try came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Turned away: it never ran. The target may ask to be left alone, and that nobody else is asked.
    Rejected {
        /// For so long.
        retry_after: Micros,
        /// Nobody else should be asked.
        no_failover: bool,
    },
    /// No connection, or a connection that was closed before anything of it was read: it never ran.
    NotSent,
    /// The connection broke after it was sent: it may have run.
    ConnectionLost,
    /// No answer within its time: it may run still.
    TimedOut,
    /// The target answered that it failed: it may have run.
    Failed,
}

impl AttemptFailure {
    /// Whether it may have run.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::ConnectionLost | Self::TimedOut | Self::Failed)
    }
}

/// A request between two tries.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext {
    /// It has an effect.
    pub has_effect: bool,
    /// Any of its tries so far may have run.
    pub may_have_run: bool,
    /// When it came.
    pub received_at: Micros,
    /// When it has to be answered.
    pub deadline: Micros,
    /// Tries so far.
    pub attempts: u32,
}

/// What becomes of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another target is tried.
    Retry,
    /// It is turned away: nothing of it ran. The caller may come back after this time.
    Reject(Micros),
    /// It failed: something of it may have run.
    Fail,
}

/// Why no further try was made, for counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryDenial {
    /// It may have run, and has an effect.
    Effect,
    /// The configuration says so.
    Configured,
    /// No more tries for it.
    Tries,
    /// No time.
    Time,
    /// The budget is spent.
    Budget,
    /// The target asked that nobody else be tried.
    Told,
}

/// The budget of further tries, for one pool.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Further tries for each first try.
    share: f64,
    /// Further tries that are saved at most.
    most: f64,
    saved: f64,
}

impl RetryBudget {
    /// A budget of this share of first tries, of which so many further tries can be saved; it begins with those.
    #[must_use]
    pub fn new(share: f64, most: f64) -> Self {
        Self {
            share,
            most,
            saved: most,
        }
    }

    /// A request made its first try.
    pub fn record_first_attempt(&mut self) {
        self.saved = (self.saved + self.share).min(self.most);
    }

    fn take(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        self.saved -= f64::from(u8::from(enough));
        enough
    }

    /// Decides what becomes of a request after a try; takes from the budget where it is tried again.
    pub fn decide(
        &mut self,
        now: Micros,
        asked: &RetryContext,
        what: AttemptFailure,
        next: &RetryPolicy,
        shortest: Micros,
    ) -> (RetryDecision, Option<RetryDenial>) {
        let stopped = self.stopped(now, asked, what, next, shortest);
        let verdict = match (stopped, what) {
            (None, _) => RetryDecision::Retry,
            // Nothing of it ran anywhere, so that it can be said so.
            (_, AttemptFailure::Rejected { retry_after, .. }) if !asked.may_have_run => {
                RetryDecision::Reject(retry_after)
            }
            (_, AttemptFailure::NotSent) if !asked.may_have_run => RetryDecision::Reject(0),
            _ => RetryDecision::Fail,
        };
        (verdict, stopped)
    }

    fn stopped(
        &mut self,
        now: Micros,
        asked: &RetryContext,
        what: AttemptFailure,
        next: &RetryPolicy,
        shortest: Micros,
    ) -> Option<RetryDenial> {
        if asked.has_effect && (asked.may_have_run || what.may_have_run()) {
            return Some(RetryDenial::Effect);
        }
        if let AttemptFailure::Rejected {
            no_failover: true, ..
        } = what
        {
            return Some(RetryDenial::Told);
        }
        let says = |statuses: &[u16]| {
            statuses
                .iter()
                .any(|status| next.on_statuses.contains(status))
        };
        let configured = match what {
            AttemptFailure::Rejected { .. } => says(&[503, 429]),
            AttemptFailure::NotSent | AttemptFailure::ConnectionLost => next.on_error,
            AttemptFailure::TimedOut => next.on_timeout,
            AttemptFailure::Failed => says(&[500, 502, 504]),
        };
        if !configured {
            return Some(RetryDenial::Configured);
        }
        if next.max_attempts > 0 && asked.attempts >= next.max_attempts {
            return Some(RetryDenial::Tries);
        }
        let over = next.timeout_ms > 0 && now >= asked.received_at + next.timeout_ms * 1_000;
        if over || now + shortest >= asked.deadline {
            return Some(RetryDenial::Time);
        }
        (!self.take()).then_some(RetryDenial::Budget)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn next(statuses: &[u16], tries: u32, timeout_ms: u64) -> RetryPolicy {
        RetryPolicy {
            on_error: true,
            on_timeout: true,
            on_statuses: statuses.to_vec(),
            max_attempts: tries,
            timeout_ms,
        }
    }

    fn asked(has_effect: bool) -> RetryContext {
        RetryContext {
            has_effect,
            may_have_run: false,
            received_at: 0,
            deadline: 1_000_000,
            attempts: 1,
        }
    }

    const REJECTED: AttemptFailure = AttemptFailure::Rejected {
        retry_after: 500,
        no_failover: false,
    };

    #[test]
    fn what_may_have_run_with_an_effect_is_never_tried_again() {
        let all = next(&[403, 404, 429, 500, 502, 503, 504], 0, 0);
        let mut budget = RetryBudget::new(1.0, 100.0);
        for what in [
            AttemptFailure::ConnectionLost,
            AttemptFailure::TimedOut,
            AttemptFailure::Failed,
        ] {
            assert_eq!(
                budget.decide(0, &asked(true), what, &all, 0),
                (RetryDecision::Fail, Some(RetryDenial::Effect)),
                "{what:?}"
            );
            assert_eq!(
                budget.decide(0, &asked(false), what, &all, 0),
                (RetryDecision::Retry, None),
                "{what:?}"
            );
        }
        for what in [AttemptFailure::NotSent, REJECTED] {
            assert_eq!(
                budget.decide(0, &asked(true), what, &all, 0),
                (RetryDecision::Retry, None),
                "{what:?}"
            );
            // Nor after a try before that may have run.
            let before = RetryContext {
                may_have_run: true,
                ..asked(true)
            };
            assert_eq!(
                budget.decide(0, &before, what, &all, 0),
                (RetryDecision::Fail, Some(RetryDenial::Effect)),
                "{what:?}"
            );
        }
    }

    #[test]
    fn a_refusal_is_passed_on_only_where_nothing_ran() {
        let none = RetryPolicy {
            on_error: false,
            on_timeout: false,
            ..next(&[], 0, 0)
        };
        let mut budget = RetryBudget::new(1.0, 100.0);
        assert_eq!(
            budget.decide(0, &asked(true), REJECTED, &none, 0).0,
            RetryDecision::Reject(500)
        );
        assert_eq!(
            budget
                .decide(0, &asked(true), AttemptFailure::NotSent, &none, 0)
                .0,
            RetryDecision::Reject(0)
        );
        let may_have_run = RetryContext {
            may_have_run: true,
            ..asked(false)
        };
        assert_eq!(
            budget.decide(0, &may_have_run, REJECTED, &none, 0).0,
            RetryDecision::Fail
        );
        assert_eq!(
            budget
                .decide(0, &asked(false), AttemptFailure::ConnectionLost, &none, 0)
                .0,
            RetryDecision::Fail
        );
    }

    #[test]
    fn tries_times_and_words_of_the_target_end_it() {
        let mut budget = RetryBudget::new(1.0, 100.0);
        let all = next(&[503], 2, 300);
        let table = [
            (
                0,
                RetryContext {
                    attempts: 1,
                    ..asked(false)
                },
                REJECTED,
                0,
                None,
            ),
            (
                0,
                RetryContext {
                    attempts: 2,
                    ..asked(false)
                },
                REJECTED,
                0,
                Some(RetryDenial::Tries),
            ),
            (300_000, asked(false), REJECTED, 0, Some(RetryDenial::Time)),
            (
                200_000,
                asked(false),
                REJECTED,
                800_000,
                Some(RetryDenial::Time),
            ),
            (200_000, asked(false), REJECTED, 799_999, None),
            (
                0,
                asked(false),
                AttemptFailure::Rejected {
                    retry_after: 0,
                    no_failover: true,
                },
                0,
                Some(RetryDenial::Told),
            ),
            (
                0,
                asked(false),
                AttemptFailure::Failed,
                0,
                Some(RetryDenial::Configured),
            ),
        ];
        for (now, asked, what, shortest, stopped) in table {
            assert_eq!(
                budget.decide(now, &asked, what, &all, shortest).1,
                stopped,
                "{asked:?} {what:?}"
            );
        }
    }

    #[test]
    fn further_tries_stay_a_share_of_first_tries_when_all_fail() {
        let mut budget = RetryBudget::new(0.2, 10.0);
        let all = next(&[503], 0, 0);
        let mut again = 0;
        for _ in 0..10_000 {
            budget.record_first_attempt();
            let mut tries = 1;
            while budget
                .decide(
                    0,
                    &RetryContext {
                        attempts: tries,
                        ..asked(false)
                    },
                    AttemptFailure::NotSent,
                    &all,
                    0,
                )
                .0
                == RetryDecision::Retry
            {
                (again, tries) = (again + 1, tries + 1);
            }
        }
        assert!(
            (1_990..=2_010).contains(&again),
            "{again} further tries of 10000"
        );
    }
}
