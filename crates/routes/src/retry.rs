//! Whether a request whose try came to nothing is tried again elsewhere. Decisions alone.
//!
//! - What may have run of a class with an effect is never tried again, whatever the configuration says.
//! - No try begins that could not be answered by the due time.
//! - Further tries are a share of first tries: when many targets fail, the load does not multiply.

use crate::balancer::Micros;
use crate::model::Next;

/// What a try came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Try {
    /// Turned away: it never ran. The target may ask to be left alone, and that nobody else is asked.
    Refused {
        /// For so long.
        later: Micros,
        /// Nobody else should be asked.
        last: bool,
    },
    /// No connection, or a connection that was closed before anything of it was read: it never ran.
    Unsent,
    /// The connection broke after it was sent: it may have run.
    Lost,
    /// No answer within its time: it may run still.
    TimedOut,
    /// The target answered that it failed: it may have run.
    Failed,
}

impl Try {
    /// Whether it may have run.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Lost | Self::TimedOut | Self::Failed)
    }
}

/// A request between two tries.
#[derive(Debug, Clone, Copy)]
pub struct Asked {
    /// It has an effect.
    pub effect: bool,
    /// Any of its tries so far may have run.
    pub ran: bool,
    /// When it came.
    pub came: Micros,
    /// When it has to be answered.
    pub due: Micros,
    /// Tries so far.
    pub tries: u32,
}

/// What becomes of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Another target is tried.
    Again,
    /// It is turned away: nothing of it ran. The caller may come back after this time.
    Refuse(Micros),
    /// It failed: something of it may have run.
    Fail,
}

/// Why no further try was made, for counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stopped {
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
pub struct Budget {
    /// Further tries for each first try.
    share: f64,
    /// Further tries that are saved at most.
    most: f64,
    saved: f64,
}

impl Budget {
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
    pub fn first(&mut self) {
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
        asked: &Asked,
        what: Try,
        next: &Next,
        shortest: Micros,
    ) -> (Verdict, Option<Stopped>) {
        let stopped = self.stopped(now, asked, what, next, shortest);
        let verdict = match (stopped, what) {
            (None, _) => Verdict::Again,
            // Nothing of it ran anywhere, so that it can be said so.
            (_, Try::Refused { later, .. }) if !asked.ran => Verdict::Refuse(later),
            (_, Try::Unsent) if !asked.ran => Verdict::Refuse(0),
            _ => Verdict::Fail,
        };
        (verdict, stopped)
    }

    fn stopped(
        &mut self,
        now: Micros,
        asked: &Asked,
        what: Try,
        next: &Next,
        shortest: Micros,
    ) -> Option<Stopped> {
        if asked.effect && (asked.ran || what.may_have_run()) {
            return Some(Stopped::Effect);
        }
        if let Try::Refused { last: true, .. } = what {
            return Some(Stopped::Told);
        }
        let says = |statuses: &[u16]| statuses.iter().any(|status| next.statuses.contains(status));
        let configured = match what {
            Try::Refused { .. } => says(&[503, 429]),
            Try::Unsent | Try::Lost => next.error,
            Try::TimedOut => next.timeout,
            Try::Failed => says(&[500, 502, 504]),
        };
        if !configured {
            return Some(Stopped::Configured);
        }
        if next.tries > 0 && asked.tries >= next.tries {
            return Some(Stopped::Tries);
        }
        let over = next.timeout_ms > 0 && now >= asked.came + next.timeout_ms * 1_000;
        if over || now + shortest >= asked.due {
            return Some(Stopped::Time);
        }
        (!self.take()).then_some(Stopped::Budget)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn next(statuses: &[u16], tries: u32, timeout_ms: u64) -> Next {
        Next {
            error: true,
            timeout: true,
            statuses: statuses.to_vec(),
            tries,
            timeout_ms,
        }
    }

    fn asked(effect: bool) -> Asked {
        Asked {
            effect,
            ran: false,
            came: 0,
            due: 1_000_000,
            tries: 1,
        }
    }

    const REFUSED: Try = Try::Refused {
        later: 500,
        last: false,
    };

    #[test]
    fn what_may_have_run_with_an_effect_is_never_tried_again() {
        let all = next(&[403, 404, 429, 500, 502, 503, 504], 0, 0);
        let mut budget = Budget::new(1.0, 100.0);
        for what in [Try::Lost, Try::TimedOut, Try::Failed] {
            assert_eq!(
                budget.decide(0, &asked(true), what, &all, 0),
                (Verdict::Fail, Some(Stopped::Effect)),
                "{what:?}"
            );
            assert_eq!(
                budget.decide(0, &asked(false), what, &all, 0),
                (Verdict::Again, None),
                "{what:?}"
            );
        }
        for what in [Try::Unsent, REFUSED] {
            assert_eq!(
                budget.decide(0, &asked(true), what, &all, 0),
                (Verdict::Again, None),
                "{what:?}"
            );
            // Nor after a try before that may have run.
            let before = Asked {
                ran: true,
                ..asked(true)
            };
            assert_eq!(
                budget.decide(0, &before, what, &all, 0),
                (Verdict::Fail, Some(Stopped::Effect)),
                "{what:?}"
            );
        }
    }

    #[test]
    fn a_refusal_is_passed_on_only_where_nothing_ran() {
        let none = Next {
            error: false,
            timeout: false,
            ..next(&[], 0, 0)
        };
        let mut budget = Budget::new(1.0, 100.0);
        assert_eq!(
            budget.decide(0, &asked(true), REFUSED, &none, 0).0,
            Verdict::Refuse(500)
        );
        assert_eq!(
            budget.decide(0, &asked(true), Try::Unsent, &none, 0).0,
            Verdict::Refuse(0)
        );
        let ran = Asked {
            ran: true,
            ..asked(false)
        };
        assert_eq!(budget.decide(0, &ran, REFUSED, &none, 0).0, Verdict::Fail);
        assert_eq!(
            budget.decide(0, &asked(false), Try::Lost, &none, 0).0,
            Verdict::Fail
        );
    }

    #[test]
    fn tries_times_and_words_of_the_target_end_it() {
        let mut budget = Budget::new(1.0, 100.0);
        let all = next(&[503], 2, 300);
        let table = [
            (
                0,
                Asked {
                    tries: 1,
                    ..asked(false)
                },
                REFUSED,
                0,
                None,
            ),
            (
                0,
                Asked {
                    tries: 2,
                    ..asked(false)
                },
                REFUSED,
                0,
                Some(Stopped::Tries),
            ),
            (300_000, asked(false), REFUSED, 0, Some(Stopped::Time)),
            (200_000, asked(false), REFUSED, 800_000, Some(Stopped::Time)),
            (200_000, asked(false), REFUSED, 799_999, None),
            (
                0,
                asked(false),
                Try::Refused {
                    later: 0,
                    last: true,
                },
                0,
                Some(Stopped::Told),
            ),
            (0, asked(false), Try::Failed, 0, Some(Stopped::Configured)),
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
        let mut budget = Budget::new(0.2, 10.0);
        let all = next(&[503], 0, 0);
        let mut again = 0;
        for _ in 0..10_000 {
            budget.first();
            let mut tries = 1;
            while budget
                .decide(
                    0,
                    &Asked {
                        tries,
                        ..asked(false)
                    },
                    Try::Unsent,
                    &all,
                    0,
                )
                .0
                == Verdict::Again
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
