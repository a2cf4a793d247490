//! Chance, all of it from the experiment's seed. Each part of the model draws from a stream of its own, so that a
//! change in one leaves what happens in the others as it was: two policies meet the same tasks.

use rand_pcg::rand_core::Rng;
use rand_pcg::Pcg64;

/// A hash that is the same everywhere: SplitMix64's finish.
pub fn hash(mut n: u64) -> u64 {
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// A stream of chance.
pub struct Chance(Pcg64);

impl Chance {
    /// The stream of this number.
    pub fn new(seed: u64, stream: u64) -> Chance {
        // States that differ in their high bits alone would give runs that are alike.
        let (high, low) = (
            hash(seed.wrapping_add(1)),
            hash(hash(seed.wrapping_add(1)) ^ stream),
        );
        Chance(Pcg64::new(
            u128::from(high) << 64 | u128::from(low),
            u128::from(stream),
        ))
    }

    /// From 0 to under 1.
    pub fn share(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// One of so many.
    pub fn one_of(&mut self, many: usize) -> usize {
        ((self.share() * many as f64) as usize).min(many.saturating_sub(1))
    }

    /// With this mean, without a memory.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.share()).ln()
    }

    /// With this mean, and this spread of the logarithm.
    pub fn lognormal(&mut self, mean: f64, sigma: f64) -> f64 {
        // Two draws always, so that streams stay in step.
        let (one, two) = (1.0 - self.share(), self.share());
        let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * two).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }
}
