//! The advice to clients whose requests there is no memory for.

/// Multiples of it modulo 1 are spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The Retry-After of the rejection with this number, in milliseconds: spread over the upper half of the longest one, so
/// that the clients of a burst do not all return together.
pub fn spread_retry_after_ms(max_ms: f64, rejection: u64) -> u64 {
    let spread = (rejection as f64 * GOLDEN_RATIO).fract();
    (max_ms * (0.5 + 0.5 * spread)) as u64
}
