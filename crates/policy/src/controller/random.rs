//! The controller's random number generator.

/// The SplitMix64 generator: small, fast, and reproducible from its seed on every machine.
#[derive(Debug, Clone)]
pub(super) struct SplitMix64 {
    state: u64,
}

impl SplitMix64 {
    pub(super) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next number, from 0 (inclusive) to 1 (exclusive).
    pub(super) fn next_f64(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^= mixed >> 31;
        // 53 bits fill the mantissa of the result.
        (mixed >> 11) as f64 / (1_u64 << 53) as f64
    }
}
