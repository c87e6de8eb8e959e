//! The curve of throughput over concurrency, and how well each of a family goes with what was seen.
//!
//! Given the number in hand, ends come at a rate, so that the count in a cell is about Poisson's with mean rate by time. For each
//! shape the best scale is known in closed form; the shapes lie on a grid, and weigh by their likelihood. The rate at saturation is
//! told as the quantiles of these weights.

use crate::seen::{Cell, Seen};

/// What a curve is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Curve {
    /// Ends a second of one in hand alone.
    pub single: f64,
    /// Servers, beyond which more in hand wait.
    pub servers: f64,
    /// Contention: the share of the work that only one can do at a time.
    pub contention: f64,
    /// Coherence: what each pays for each other.
    pub coherence: f64,
}

/// A rate at saturation with its interval, and where it lies.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// The curve that goes best with what was seen.
    pub best: Curve,
    /// The middle of the rate at saturation, in ends a second.
    pub rate: f64,
    /// Nine in ten of the weight lie between these.
    pub low: f64,
    /// The upper one.
    pub high: f64,
    /// The number in hand at which it saturates.
    pub concurrency: f64,
}

const CONTENTION: [f64; 7] = [0.0, 0.01, 0.03, 0.07, 0.15, 0.3, 0.5];
const COHERENCE: [f64; 8] = [0.0, 3e-5, 1e-4, 3e-4, 1e-3, 3e-3, 1e-2, 3e-2];
/// Steps of the servers beyond those that are counted one by one.
const STEP: f64 = 1.12;
const COUNTED: usize = 12;
const MOST_STEPS: f64 = 24.0;
/// Servers that may be there for each that was seen at work: more can't be told from what was seen.
const BEYOND: f64 = 3.0;
/// Work that is in hand together ends together, and one number in hand follows from the one before: so much of the counts is
/// news for the interval, which would be too sure else.
const NEWS: f64 = 0.1;
/// And for the middle, which leans towards many servers where the data say little.
const SHARP: f64 = 1.0;
/// Half of what lies between neighbours on the grid: the truth may be between two of them.
const GRID: f64 = 0.02;
/// Ends below which nothing is told.
const FEWEST: f64 = 50.0;

impl Curve {
    /// Ends a second with so many in hand.
    #[must_use]
    pub fn rate(&self, number: f64) -> f64 {
        self.single * shape(number, self.servers, self.contention, self.coherence)
    }

    /// The number in hand at which most ends, and how many a second.
    #[must_use]
    pub fn peak(&self) -> (f64, f64) {
        let at = if self.coherence > 0.0 {
            self.servers
                .min(((1.0 - self.contention) / self.coherence).sqrt().max(1.0))
        } else {
            self.servers
        };
        (at, self.rate(at))
    }
}

fn shape(number: f64, servers: f64, contention: f64, coherence: f64) -> f64 {
    let at_work = number.min(servers);
    at_work
        / (1.0
            + contention * (at_work - 1.0).max(0.0)
            + coherence * number * (number - 1.0).max(0.0))
}

/// How well the times go with it: one that comes as the n-th takes n by the rate with n in hand, whether it waits for a server or
/// shares one. Times say more than counts where work varies little.
fn times_fit(cells: &[Cell], shapes: &[f64], single: f64) -> f64 {
    let (came, spread) = cells.iter().fold((0.0, 0.0), |(came, spread), cell| {
        let mean = cell.took / cell.came.max(1.0);
        let squares = if cell.came >= 2.0 {
            cell.squares - cell.took * mean
        } else {
            0.0
        };
        // As a share of the mean, pooled: a cell alone may have seen too few.
        (
            came + cell.came,
            spread + squares.max(0.0) / (mean * mean).max(1e-18),
        )
    });
    let variance = (spread / came.max(1.0)).max(1e-4);
    let off = |(cell, shaped): (&Cell, &f64)| {
        let expected = cell.number() / (single * shaped);
        cell.came * (cell.took / cell.came.max(1.0) / expected - 1.0).powi(2)
    };
    -cells
        .iter()
        .zip(shapes)
        .filter(|(cell, _)| cell.came > 0.0)
        .map(off)
        .sum::<f64>()
        / (2.0 * variance)
}

/// The servers that are tried.
fn servers(largest: f64) -> Vec<f64> {
    let most = (BEYOND * largest).max(4.0);
    let counted = (1..=COUNTED).map(|servers| servers as f64);
    let mut more = Vec::new();
    // A crowd makes the steps longer, and not more: the time of a fit is bounded.
    let step = STEP.max((most / COUNTED as f64).powf(1.0 / MOST_STEPS));
    let mut next = COUNTED as f64 * step;
    while next <= most {
        more.push(next);
        next *= step;
    }
    counted
        .chain(more)
        .filter(|servers| *servers <= most)
        .collect()
}

/// Fits; none where too little was seen.
#[must_use]
pub fn fit(seen: &Seen) -> Option<Fit> {
    let cells: Vec<Cell> = seen.busy().copied().collect();
    let ends: f64 = cells.iter().map(|cell| cell.ends).sum();
    if ends < FEWEST {
        return None;
    }
    let mut tried: Vec<(f64, f64, Curve)> = Vec::new();
    let mut shapes = vec![0.0; cells.len()];
    let mut best = f64::NEG_INFINITY;
    for servers in servers(seen.largest()) {
        for contention in CONTENTION {
            for coherence in COHERENCE {
                let mut sum = 0.0;
                for (cell, shaped) in cells.iter().zip(&mut shapes) {
                    *shaped = shape(cell.number(), servers, contention, coherence);
                    sum += cell.time * *shaped;
                }
                let single = ends / sum;
                let fits = cells
                    .iter()
                    .zip(&shapes)
                    .map(|(cell, shaped)| cell.ends * (single * shaped).ln());
                let fits = fits.sum::<f64>() + times_fit(&cells, &shapes, single);
                best = best.max(fits);
                let curve = Curve {
                    single,
                    servers,
                    contention,
                    coherence,
                };
                tried.push((curve.peak().1, fits, curve));
            }
        }
    }
    tried.sort_by(|one, other| one.0.total_cmp(&other.0));
    let quantile = |news: f64, share: f64| {
        let weight = |fits: f64| (news * (fits - best)).exp();
        let all: f64 = tried.iter().map(|(_, fits, _)| weight(*fits)).sum();
        let mut sum = 0.0;
        let found = tried.iter().find(|(_, fits, _)| {
            sum += weight(*fits);
            sum >= share * all
        });
        found.or(tried.last()).map_or(0.0, |(rate, ..)| *rate)
    };
    let rate = quantile(SHARP, 0.5);
    let (low, high) = (
        quantile(NEWS, 0.05) * (1.0 - GRID),
        quantile(NEWS, 0.95) * (1.0 + GRID),
    );
    let (.., curve) = tried
        .iter()
        .max_by(|one, other| one.1.total_cmp(&other.1))?;
    Some(Fit {
        best: *curve,
        rate,
        low,
        high,
        concurrency: curve.peak().0,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What a curve itself would show, at each number in hand for a while.
    fn shown(curve: Curve, largest: usize, seconds: f64) -> Seen {
        let mut seen = Seen::default();
        for number in 1..=largest {
            seen.stood(number, seconds);
            (0..(curve.rate(number as f64) * seconds) as usize).for_each(|_| seen.ended(number));
        }
        seen
    }

    #[test]
    fn a_curve_is_found_from_what_it_shows() {
        for curve in [
            Curve {
                single: 20.0,
                servers: 8.0,
                contention: 0.0,
                coherence: 0.0,
            },
            Curve {
                single: 50.0,
                servers: 1.0,
                contention: 0.0,
                coherence: 0.0,
            },
            Curve {
                single: 10.0,
                servers: 1_000.0,
                contention: 0.03,
                coherence: 1e-3,
            },
        ] {
            let (at, rate) = curve.peak();
            let fit = fit(&shown(curve, (1.3 * at) as usize + 2, 20.0)).expect("much was seen");
            assert!((fit.rate / rate - 1.0).abs() < 0.03, "{fit:?} of {rate}");
            assert!(
                fit.low <= rate * 1.001 && rate <= fit.high * 1.001,
                "{fit:?} of {rate}"
            );
        }
    }

    #[test]
    fn far_from_saturation_the_interval_is_wide_and_with_little_nothing_is_told() {
        let curve = Curve {
            single: 20.0,
            servers: 40.0,
            contention: 0.0,
            coherence: 0.0,
        };
        let far = fit(&shown(curve, 4, 20.0)).expect("much was seen");
        let near = fit(&shown(curve, 50, 20.0)).expect("much was seen");
        assert!(
            far.high / far.low > 2.0 && near.high / near.low < 1.2,
            "{far:?} {near:?}"
        );
        assert_eq!(fit(&shown(curve, 1, 2.0)), None);
    }
}
