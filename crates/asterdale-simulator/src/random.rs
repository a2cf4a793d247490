//! Random numbers of the simulation, all derived from the experiment's seed.
//!
//! Each part of the model draws from a stream of its own. A change in one part does not alter the numbers that the other
//! parts draw, so two policies are compared on the same requests.

use rand_pcg::rand_core::Rng;
use rand_pcg::Pcg64;

/// Hash of a number, the same on every platform: the finalizer of SplitMix64.
pub fn hash(mut n: u64) -> u64 {
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// An independent stream of random numbers.
pub struct RandomStream(Pcg64);

impl RandomStream {
    /// The stream with this number under this seed.
    pub fn new(seed: u64, stream: u64) -> RandomStream {
        // Both halves of the state are hashed: states that differ in their high bits alone give correlated streams.
        let high = hash(seed.wrapping_add(1));
        let low = hash(hash(seed.wrapping_add(1)) ^ stream);
        RandomStream(Pcg64::new(
            u128::from(high) << 64 | u128::from(low),
            u128::from(stream),
        ))
    }

    /// A number from the uniform distribution over 0 (inclusive) to 1 (exclusive).
    pub fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A uniformly distributed index from 0 to `count` - 1; 0 if `count` is 0.
    pub fn index(&mut self, count: usize) -> usize {
        ((self.uniform() * count as f64) as usize).min(count.saturating_sub(1))
    }

    /// A number from the exponential distribution with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    /// A number from the log-normal distribution with this mean; `sigma` is the standard deviation of its logarithm.
    pub fn lognormal(&mut self, mean: f64, sigma: f64) -> f64 {
        // The Box-Muller transform always takes two uniform numbers, so each call advances the stream by the same amount.
        let (radius, angle) = (1.0 - self.uniform(), self.uniform());
        let normal = (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }
}
