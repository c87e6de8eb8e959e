//! Whether a new generation answers worse than the old one: shares of what came, beside those of the old generation in
//! the same time, with so many samples that chance does not decide.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What an instance has done with what came.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Served in time.
    pub served: u64,
    /// Served too late to be of full use.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
}

impl Counts {
    /// All that came.
    #[must_use]
    pub fn all(&self) -> u64 {
        self.served + self.late + self.refused + self.failed
    }

    fn zip(self, other: Self, with: fn(u64, u64) -> u64) -> Self {
        Self {
            served: with(self.served, other.served),
            late: with(self.late, other.late),
            refused: with(self.refused, other.refused),
            failed: with(self.failed, other.failed),
        }
    }

    /// Both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// What came since.
    #[must_use]
    pub fn since(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }
}

/// When a generation counts as worse.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// Nothing is said of fewer requests than this on either side.
    pub samples: u64,
    /// The share that is refused may be so much more.
    pub refused: f64,
    /// The share that fails may be so much more.
    pub failed: f64,
    /// The share that is late may be so much more.
    pub late: f64,
    /// Standard errors by which a share has to pass its bound.
    pub errors: f64,
}

/// In what a generation is worse.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Worse {
    /// What there is more of.
    pub what: What,
    /// Its share in the new generation.
    pub new: f64,
    /// Its share in the old one.
    pub old: f64,
}

/// What may become more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Refusals.
    Refused,
    /// Failures.
    Failed,
    /// Late answers.
    Late,
}

impl fmt::Display for Worse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.what {
            What::Refused => "refused",
            What::Failed => "failed",
            What::Late => "late",
        };
        write!(
            f,
            "{:.1}% are {what}, {:.1}% in the old generation",
            100.0 * self.new,
            100.0 * self.old
        )
    }
}

/// Compares two generations.
#[must_use]
pub fn worse(new: Counts, old: Counts, bounds: &Bounds) -> Option<Worse> {
    if new.all() < bounds.samples.max(1) || old.all() < bounds.samples.max(1) {
        return None;
    }
    let kinds = [
        (What::Failed, new.failed, old.failed, bounds.failed),
        (What::Refused, new.refused, old.refused, bounds.refused),
        (What::Late, new.late, old.late, bounds.late),
    ];
    kinds.into_iter().find_map(|(what, of_new, of_old, bound)| {
        let (n, m) = (new.all() as f64, old.all() as f64);
        let (new, old) = (of_new as f64 / n, of_old as f64 / m);
        let error = (new * (1.0 - new) / n + old * (1.0 - old) / m).sqrt();
        (new - old - bound > bounds.errors * error).then_some(Worse { what, new, old })
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    const BOUNDS: Bounds = Bounds {
        samples: 200,
        refused: 0.05,
        failed: 0.01,
        late: 0.05,
        errors: 3.0,
    };

    fn drawn(random: &mut SmallRng, number: u64, refused: f64) -> Counts {
        let refused = (0..number).filter(|_| random.random_bool(refused)).count() as u64;
        Counts {
            served: number - refused,
            refused,
            ..Counts::default()
        }
    }

    #[test]
    fn chance_does_not_make_a_generation_worse_and_a_real_difference_does() {
        let mut random = SmallRng::seed_from_u64(3);
        let mut found = [0, 0];
        for _ in 0..500 {
            // As bad as is allowed, looked at over and over; and twice the bound.
            let old = drawn(&mut random, 2_000, 0.20);
            found[0] += u32::from(worse(drawn(&mut random, 2_000, 0.20), old, &BOUNDS).is_some());
            found[1] += u32::from(worse(drawn(&mut random, 2_000, 0.34), old, &BOUNDS).is_some());
        }
        assert_eq!(found[0], 0);
        assert!(found[1] > 490, "{found:?}");
    }

    #[test]
    fn few_samples_say_nothing() {
        let bad = Counts {
            failed: 199,
            ..Counts::default()
        };
        let good = Counts {
            served: 10_000,
            ..Counts::default()
        };
        assert_eq!(worse(bad, good, &BOUNDS), None);
        let bad = Counts { failed: 200, ..bad };
        assert_eq!(
            worse(bad, good, &BOUNDS).map(|worse| worse.what),
            Some(What::Failed)
        );
        assert_eq!(worse(good, bad, &BOUNDS), None);
    }
}
