//! A bound on the work in hand at one upstream.
//!
//! What it reacts to is always there: additive growth while work ends in time, and a cut where it takes too long. A prediction may
//! only move that within stated bounds, and only where its interval is narrow: where there is none, or it is wrong, the reactive
//! limit holds.

use crate::curve::Fit;
use cleatpulley_policy::interface::Micros;

/// A prediction counts where nine in ten of its weight lie within this.
const NARROW: f64 = 1.6;
/// More than the number at which it saturates: a little of a line keeps the servers busy.
const LINE: f64 = 1.25;
/// A prediction moves the reactive bound to no less and no more than this share of it.
const LEAST: f64 = 0.5;
/// The other end.
const MOST: f64 = 2.0;
/// Work that takes so many times the usual is too long.
const LONG: f64 = 2.5;
/// Of the bound, what is kept after too long.
const CUT: f64 = 0.7;
/// One that came as the how-manieth at most was hardly in anybody's way: its time is the usual.
const ALONE: usize = 2;
/// Weight of one end in the usual time.
const USUAL: f64 = 0.02;
/// And in the present one.
const PRESENT: f64 = 0.05;

/// The bound.
#[derive(Debug, Clone)]
pub struct Bound {
    reactive: f64,
    usual: f64,
    smooth: f64,
    cut_at: Micros,
    predicted: Option<f64>,
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            reactive: 4.0,
            usual: 0.0,
            smooth: 0.0,
            cut_at: 0,
            predicted: None,
        }
    }
}

impl Bound {
    /// Work ended that had come as the how-manieth, with so much in hand before its end.
    pub fn ended(&mut self, now: Micros, sent_as: usize, took: Micros, in_hand: usize) {
        let took = took as f64;
        if self.usual == 0.0 {
            (self.usual, self.smooth) = (took, took);
        }
        if sent_as <= ALONE {
            self.usual += USUAL * (took - self.usual);
        }
        self.smooth += PRESENT * (took - self.smooth);
        if self.smooth > LONG * self.usual {
            // Once for each time that work takes: what was sent before the cut still comes back late.
            if now >= self.cut_at + 2 * self.smooth as Micros {
                self.reactive = (self.reactive * CUT).max(1.0);
                self.cut_at = now;
            }
        } else if in_hand as f64 + 1.0 >= self.reactive {
            self.reactive += 1.0 / self.reactive;
        }
    }

    /// What is predicted now; nothing, or too wide an interval, leaves the reactive bound alone.
    pub fn predict(&mut self, fit: Option<&Fit>) {
        let narrow = fit.filter(|fit| fit.high <= NARROW * fit.low);
        self.predicted = narrow.map(|fit| (LINE * fit.concurrency).ceil() + 1.0);
    }

    /// How many may be in hand.
    #[must_use]
    pub fn most(&self) -> usize {
        let bound = match self.predicted {
            Some(predicted) => predicted.clamp(LEAST * self.reactive, MOST * self.reactive),
            None => self.reactive,
        };
        bound.max(1.0) as usize
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::curve::Curve;

    fn fit(concurrency: f64, low: f64, high: f64) -> Fit {
        let best = Curve {
            single: 1.0,
            servers: concurrency,
            contention: 0.0,
            coherence: 0.0,
        };
        Fit {
            best,
            rate: 1.0,
            low,
            high,
            concurrency,
        }
    }

    #[test]
    fn a_prediction_moves_the_bound_within_limits_and_only_where_it_is_sure() {
        let mut bound = Bound::default();
        assert_eq!(bound.most(), 4);
        bound.predict(Some(&fit(100.0, 0.9, 1.1)));
        assert_eq!(bound.most(), 8, "twice the reactive at most");
        bound.predict(Some(&fit(0.1, 0.9, 1.1)));
        assert_eq!(bound.most(), 2, "half of it at least");
        bound.predict(Some(&fit(100.0, 0.5, 2.0)));
        assert_eq!(bound.most(), 4, "a wide one says nothing");
    }

    #[test]
    fn it_grows_while_work_ends_in_time_and_is_cut_once_for_each_time_that_work_takes() {
        let mut bound = Bound::default();
        for turn in 0..200 {
            bound.ended(turn * 10_000, 1, 10_000, bound.most());
        }
        let grown = bound.most();
        assert!(grown > 15, "{grown}");
        for turn in 0..40 {
            bound.ended(2_000_000 + turn * 1_000, 9, 100_000, bound.most());
        }
        assert!(
            bound.most() < grown && bound.most() >= grown / 3,
            "{} after {grown}",
            bound.most()
        );
    }
}
