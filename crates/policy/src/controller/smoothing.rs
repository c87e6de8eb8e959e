//! Exponential smoothing of measured times.

/// Weight of one sample. A small server gets one or two samples per second, so a few must suffice.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Returns `smoothed`, moved towards `sample`.
pub(super) fn smooth(smoothed: f64, sample: f64) -> f64 {
    smoothed + SAMPLE_WEIGHT * (sample - smoothed)
}
