//! Decides whether a request whose attempt failed is retried at another target. No I/O and no
//! clock.
//!
//! - A request of a class with an effect is never retried once it may have run, whatever the
//!   configuration says.
//! - No attempt begins that can't be completed by the deadline.
//! - Retries are limited to a share of first attempts, so that the load does not multiply when many
//!   targets fail.

use crate::balancer::Micros;
use crate::model::RetryPolicy;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The target rejected the request, which never ran. The target may ask for a backoff, and for
    /// no attempt at another target.
    Rejected {
        /// Time for which the target asks not to be used.
        retry_after: Micros,
        /// The request should not be sent to another target.
        no_failover: bool,
    },
    /// There was no connection, or it was closed before the target read any of the request, which
    /// never ran.
    NotSent,
    /// The connection broke after the request was sent: it may have run.
    ConnectionLost,
    /// There was no response in time: the request may still run.
    TimedOut,
    /// The target responded that the request failed: it may have run.
    Failed,
}

impl AttemptFailure {
    /// Whether the request may have run.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::ConnectionLost | Self::TimedOut | Self::Failed)
    }
}

/// State of a request after an attempt.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext {
    /// The class of the request has an effect.
    pub has_effect: bool,
    /// Any earlier attempt may have run.
    pub may_have_run: bool,
    /// Time at which the request was received.
    pub received_at: Micros,
    /// Time by which the response is due.
    pub deadline: Micros,
    /// Number of attempts so far.
    pub attempts: u32,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another target.
    Retry,
    /// Reject the request: no attempt ran. The caller may retry after this time.
    Reject(Micros),
    /// Respond that the request failed: an attempt may have run.
    Fail,
}

/// Reason for which a request is not retried, as a key of counters. The names of the variants appear
/// in a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryDenial {
    /// The request may have run, and has an effect.
    Effect,
    /// The configuration does not retry this kind of failure.
    Configured,
    /// The maximum number of attempts is reached.
    Tries,
    /// The timeout for all attempts is over, or the deadline is too close for another one.
    Time,
    /// The retry budget is spent.
    Budget,
    /// The target asked for no attempt at another target.
    Told,
}

/// Retry budget of one pool: a token bucket that first attempts fill and retries drain.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Tokens earned by each first attempt; a retry costs one token.
    retry_ratio: f64,
    /// Maximum number of saved tokens.
    max_tokens: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget of `max_tokens` retries, to which each first attempt adds
    /// `retry_ratio`.
    #[must_use]
    pub fn new(retry_ratio: f64, max_tokens: f64) -> Self {
        Self {
            retry_ratio,
            max_tokens,
            tokens: max_tokens,
        }
    }

    /// Records that a request makes its first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.retry_ratio).min(self.max_tokens);
    }

    fn try_consume(&mut self) -> bool {
        let is_available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(is_available));
        is_available
    }

    /// Decides what to do after a failed attempt, and takes a token from the budget for a retry. No
    /// retry begins unless `shortest_attempt` is left before the deadline.
    pub fn decide(
        &mut self,
        now: Micros,
        context: &RetryContext,
        failure: AttemptFailure,
        policy: &RetryPolicy,
        shortest_attempt: Micros,
    ) -> (RetryDecision, Option<RetryDenial>) {
        let denial = self.denial(now, context, failure, policy, shortest_attempt);
        let decision = match (denial, failure) {
            (None, _) => RetryDecision::Retry,
            // No attempt ran, so the caller may be told so.
            (_, AttemptFailure::Rejected { retry_after, .. }) if !context.may_have_run => {
                RetryDecision::Reject(retry_after)
            }
            (_, AttemptFailure::NotSent) if !context.may_have_run => RetryDecision::Reject(0),
            _ => RetryDecision::Fail,
        };
        (decision, denial)
    }

    fn denial(
        &mut self,
        now: Micros,
        context: &RetryContext,
        failure: AttemptFailure,
        policy: &RetryPolicy,
        shortest_attempt: Micros,
    ) -> Option<RetryDenial> {
        if context.has_effect && (context.may_have_run || failure.may_have_run()) {
            return Some(RetryDenial::Effect);
        }
        if let AttemptFailure::Rejected {
            no_failover: true, ..
        } = failure
        {
            return Some(RetryDenial::Told);
        }
        let retries_any_of = |statuses: &[u16]| {
            statuses
                .iter()
                .any(|status| policy.on_statuses.contains(status))
        };
        let is_configured = match failure {
            AttemptFailure::Rejected { .. } => retries_any_of(&[503, 429]),
            AttemptFailure::NotSent | AttemptFailure::ConnectionLost => policy.on_error,
            AttemptFailure::TimedOut => policy.on_timeout,
            AttemptFailure::Failed => retries_any_of(&[500, 502, 504]),
        };
        if !is_configured {
            return Some(RetryDenial::Configured);
        }
        if policy.max_attempts > 0 && context.attempts >= policy.max_attempts {
            return Some(RetryDenial::Tries);
        }
        let is_past_timeout =
            policy.timeout_ms > 0 && now >= context.received_at + policy.timeout_ms * 1_000;
        if is_past_timeout || now + shortest_attempt >= context.deadline {
            return Some(RetryDenial::Time);
        }
        (!self.try_consume()).then_some(RetryDenial::Budget)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn policy(statuses: &[u16], max_attempts: u32, timeout_ms: u64) -> RetryPolicy {
        RetryPolicy {
            on_error: true,
            on_timeout: true,
            on_statuses: statuses.to_vec(),
            max_attempts,
            timeout_ms,
        }
    }

    fn context(has_effect: bool) -> RetryContext {
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
    fn a_request_with_an_effect_that_may_have_run_is_never_retried() {
        let retry_all = policy(&[403, 404, 429, 500, 502, 503, 504], 0, 0);
        let mut budget = RetryBudget::new(1.0, 100.0);
        for failure in [
            AttemptFailure::ConnectionLost,
            AttemptFailure::TimedOut,
            AttemptFailure::Failed,
        ] {
            assert_eq!(
                budget.decide(0, &context(true), failure, &retry_all, 0),
                (RetryDecision::Fail, Some(RetryDenial::Effect)),
                "{failure:?}"
            );
            assert_eq!(
                budget.decide(0, &context(false), failure, &retry_all, 0),
                (RetryDecision::Retry, None),
                "{failure:?}"
            );
        }
        for failure in [AttemptFailure::NotSent, REJECTED] {
            assert_eq!(
                budget.decide(0, &context(true), failure, &retry_all, 0),
                (RetryDecision::Retry, None),
                "{failure:?}"
            );
            // An earlier attempt may have run.
            let after_earlier_attempt = RetryContext {
                may_have_run: true,
                ..context(true)
            };
            assert_eq!(
                budget.decide(0, &after_earlier_attempt, failure, &retry_all, 0),
                (RetryDecision::Fail, Some(RetryDenial::Effect)),
                "{failure:?}"
            );
        }
    }

    #[test]
    fn a_rejection_is_passed_on_only_if_no_attempt_ran() {
        let retry_none = RetryPolicy {
            on_error: false,
            on_timeout: false,
            ..policy(&[], 0, 0)
        };
        let mut budget = RetryBudget::new(1.0, 100.0);
        assert_eq!(
            budget.decide(0, &context(true), REJECTED, &retry_none, 0).0,
            RetryDecision::Reject(500)
        );
        assert_eq!(
            budget
                .decide(0, &context(true), AttemptFailure::NotSent, &retry_none, 0)
                .0,
            RetryDecision::Reject(0)
        );
        let after_earlier_attempt = RetryContext {
            may_have_run: true,
            ..context(false)
        };
        assert_eq!(
            budget
                .decide(0, &after_earlier_attempt, REJECTED, &retry_none, 0)
                .0,
            RetryDecision::Fail
        );
        assert_eq!(
            budget
                .decide(
                    0,
                    &context(false),
                    AttemptFailure::ConnectionLost,
                    &retry_none,
                    0
                )
                .0,
            RetryDecision::Fail
        );
    }

    #[test]
    fn attempts_timeouts_deadline_and_no_failover_stop_retries() {
        let mut budget = RetryBudget::new(1.0, 100.0);
        let retry_all = policy(&[503], 2, 300);
        let table = [
            (
                0,
                RetryContext {
                    attempts: 1,
                    ..context(false)
                },
                REJECTED,
                0,
                None,
            ),
            (
                0,
                RetryContext {
                    attempts: 2,
                    ..context(false)
                },
                REJECTED,
                0,
                Some(RetryDenial::Tries),
            ),
            (
                300_000,
                context(false),
                REJECTED,
                0,
                Some(RetryDenial::Time),
            ),
            (
                200_000,
                context(false),
                REJECTED,
                800_000,
                Some(RetryDenial::Time),
            ),
            (200_000, context(false), REJECTED, 799_999, None),
            (
                0,
                context(false),
                AttemptFailure::Rejected {
                    retry_after: 0,
                    no_failover: true,
                },
                0,
                Some(RetryDenial::Told),
            ),
            (
                0,
                context(false),
                AttemptFailure::Failed,
                0,
                Some(RetryDenial::Configured),
            ),
        ];
        for (now, context, failure, shortest_attempt, denial) in table {
            assert_eq!(
                budget
                    .decide(now, &context, failure, &retry_all, shortest_attempt)
                    .1,
                denial,
                "{context:?} {failure:?}"
            );
        }
    }

    #[test]
    fn retries_stay_a_share_of_first_attempts_when_all_fail() {
        let mut budget = RetryBudget::new(0.2, 10.0);
        let retry_all = policy(&[503], 0, 0);
        let mut retries = 0;
        for _ in 0..10_000 {
            budget.record_first_attempt();
            let mut attempts = 1;
            while budget
                .decide(
                    0,
                    &RetryContext {
                        attempts,
                        ..context(false)
                    },
                    AttemptFailure::NotSent,
                    &retry_all,
                    0,
                )
                .0
                == RetryDecision::Retry
            {
                (retries, attempts) = (retries + 1, attempts + 1);
            }
        }
        assert!(
            (1_990..=2_010).contains(&retries),
            "{retries} retries of 10000 requests"
        );
    }
}
