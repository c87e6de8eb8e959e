//! One upstream: what comes and ends, what is forgotten, and what is told.

use crate::curve::{self, Fit};
use crate::seen::Seen;
use cleatpulley_policy::interface::Micros;

/// How it forgets and notices.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// What was seen counts half after so long.
    pub half_life: Micros,
    /// What was seen lately is looked at by itself over so long: another regime shows there first.
    pub lately: Micros,
    /// How many standard deviations off what was to be expected is another regime.
    pub sigmas: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            half_life: 60_000_000,
            lately: 2_000_000,
            sigmas: 6.0,
        }
    }
}

/// What is told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// The fit, where enough was seen.
    pub fit: Option<Fit>,
    /// Ends a second, lately.
    pub rate: f64,
    /// How far the mean in hand is off what rate and time give by Little's law, as a share: the check of the input.
    pub little: f64,
    /// The share of the rate at saturation that is left.
    pub headroom: Option<f64>,
    /// Seconds until saturation where the rate goes on as it does, where it rises.
    pub until: Option<f64>,
    /// Regimes that began.
    pub regimes: u32,
}

/// One upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    limits: Limits,
    seen: Seen,
    /// Of the present and the last stretch of `lately`.
    now: Seen,
    before: Seen,
    since: Micros,
    in_hand: usize,
    at: Micros,
    /// Ends a second by stretch, the newest last.
    rates: [f64; 16],
    regimes: u32,
}

impl Upstream {
    /// Of which nothing is known.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            seen: Seen::default(),
            now: Seen::default(),
            before: Seen::default(),
            since: 0,
            in_hand: 0,
            at: 0,
            rates: [0.0; 16],
            regimes: 0,
        }
    }

    /// One was sent: as the how-manieth in hand.
    pub fn sent(&mut self, now: Micros) -> usize {
        self.pass(now);
        self.in_hand += 1;
        self.in_hand
    }

    /// One ended that had been sent as the how-manieth, after so long.
    pub fn ended(&mut self, now: Micros, sent_as: usize, took: Micros) {
        self.pass(now);
        self.now.ended(self.in_hand);
        self.now.took(sent_as, took as f64 / 1e6);
        self.in_hand = self.in_hand.saturating_sub(1);
    }

    /// In hand now.
    #[must_use]
    pub fn in_hand(&self) -> usize {
        self.in_hand
    }

    /// Statistics that others may add to theirs.
    #[must_use]
    pub fn seen(&self) -> Seen {
        let mut seen = self.seen.clone();
        seen.add(&self.now);
        seen
    }

    /// What is to be told now.
    pub fn predict(&mut self, now: Micros) -> Prediction {
        self.pass(now);
        let seen = self.seen();
        let fit = curve::fit(&seen);
        let (ends, time) = seen.total();
        let rate = if time > 0.0 { ends / time } else { 0.0 };
        let (took, count) = seen.times();
        let mean_time = took / count.max(1.0);
        let little = if rate * mean_time > 0.0 {
            (seen.mean() / (rate * mean_time) - 1.0).abs()
        } else {
            0.0
        };
        let lately = self.rates[self.rates.len() - 1].max(0.0);
        let (slope, level) = self.trend();
        let headroom = fit.map(|fit| (1.0 - level.max(lately) / fit.rate).max(0.0));
        let until = fit
            .filter(|_| slope > 0.0)
            .map(|fit| ((fit.rate - level) / slope).max(0.0));
        Prediction {
            fit,
            rate: lately,
            little,
            headroom,
            until,
            regimes: self.regimes,
        }
    }

    fn pass(&mut self, now: Micros) {
        if self.at == 0 {
            (self.at, self.since) = (now, now);
        }
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.now.stood(self.in_hand, passed);
        self.at = self.at.max(now);
        if self.at >= self.since + self.limits.lately {
            self.turn_over();
        }
    }

    /// A stretch is over: it is judged, and joins what was seen before.
    fn turn_over(&mut self) {
        let stretch = self.at.saturating_sub(self.since) as f64;
        let (ends, time) = self.now.total();
        self.rates.rotate_left(1);
        self.rates[15] = if time > 0.0 { ends / time } else { 0.0 };
        if self.is_another_regime() {
            // What was seen before says nothing of it.
            self.seen = Seen::default();
            self.regimes += 1;
        } else {
            let keep = 0.5f64.powf(stretch / self.limits.half_life as f64);
            self.seen.fade(keep);
        }
        self.before = std::mem::take(&mut self.now);
        self.seen.add(&self.before);
        self.since = self.at;
    }

    /// Whether what ended in this stretch is far off what was seen before gives for the numbers that were in hand. More in hand than
    /// ever before should end no less than the most did: how a curve goes on is not known, and no reason for an alarm.
    fn is_another_regime(&self) -> bool {
        let Some(fit) = curve::fit(&self.seen) else {
            return false;
        };
        let largest = self.seen.largest();
        let rate = |number: f64| fit.best.rate(number.min(largest));
        let expected: f64 = self
            .now
            .busy()
            .map(|cell| cell.time * rate(cell.number()))
            .sum();
        let ends: f64 = self.now.busy().map(|cell| cell.ends).sum();
        // Of ends that come together there is more chance than a Poisson count has.
        let sigma = (2.0 * expected.max(4.0)).sqrt();
        (ends - expected).abs() > self.limits.sigmas * sigma
            && (ends / expected.max(1.0) - 1.0).abs() > 0.2
    }

    /// The rise of the rate a second, and its level now, by least squares over the stretches.
    fn trend(&self) -> (f64, f64) {
        let known: Vec<f64> = self
            .rates
            .iter()
            .copied()
            .skip_while(|rate| *rate == 0.0)
            .collect();
        let count = known.len() as f64;
        if known.len() < 4 {
            return (0.0, known.last().copied().unwrap_or(0.0));
        }
        let step = self.limits.lately as f64 / 1e6;
        let (mid_x, mid_y) = ((count - 1.0) / 2.0, known.iter().sum::<f64>() / count);
        let (mut xy, mut xx) = (0.0, 0.0);
        for (x, y) in known.iter().enumerate() {
            xy += (x as f64 - mid_x) * (y - mid_y);
            xx += (x as f64 - mid_x).powi(2);
        }
        let slope = xy / xx;
        // A rise that chance gives is none.
        let chance = (mid_y / step / xx).sqrt();
        let slope = if slope > 2.0 * chance { slope } else { 0.0 };
        (slope / step, mid_y + slope * (count - 1.0 - mid_x))
    }
}
