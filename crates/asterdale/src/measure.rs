//! Data structures for measurements, and a random number generator. No decisions are made here.

/// The number of buckets of a [`Histogram`]: with steps of 8% they cover 0.01 to over 100,000.
const HISTOGRAM_BUCKETS: usize = 212;

/// A histogram with a constant ratio between buckets: precise enough for quantiles, and cheap to merge.
#[derive(Clone)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Histogram {
    #[cfg_attr(feature = "snapshot", serde(rename = "least"))]
    min: f64,
    /// The natural logarithm of the ratio between two adjacent buckets.
    #[cfg_attr(feature = "snapshot", serde(rename = "step"))]
    log_ratio: f64,
    #[cfg_attr(feature = "snapshot", serde(with = "counts"))]
    counts: [u32; HISTOGRAM_BUCKETS],
    pub total: u32,
}

impl Histogram {
    /// For times in milliseconds and for ratios around 1. The resolution of 8% is finer than the difference between the
    /// p95s of two samples of a few hundred runs.
    pub fn of_latencies() -> Self {
        Histogram::new(0.01, 1.08)
    }

    /// The first bucket begins at `min`, each further one at `ratio` times the beginning of the one before.
    fn new(min: f64, ratio: f64) -> Self {
        Histogram {
            min,
            log_ratio: ratio.ln(),
            counts: [0; HISTOGRAM_BUCKETS],
            total: 0,
        }
    }

    pub fn add(&mut self, value: f64) {
        let last = (HISTOGRAM_BUCKETS - 1) as f64;
        let bucket = ((value.max(self.min) / self.min).ln() / self.log_ratio).min(last);
        self.counts[bucket as usize] += 1;
        self.total += 1;
    }

    pub fn merge(&mut self, other: &Histogram) {
        for (count, other) in self.counts.iter_mut().zip(&other.counts) {
            *count += other;
        }
        self.total += other.total;
    }

    /// Halves all counts, so that older values count less than new ones.
    pub fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.total = self.counts.iter().sum();
    }

    /// The value below which this fraction of all values lies; 0 without values.
    pub fn quantile(&self, fraction: f64) -> f64 {
        let mut remaining = (self.total as f64 * fraction).ceil().max(1.0) as u32;
        for (bucket, &count) in self.counts.iter().enumerate() {
            if count >= remaining {
                return self.min * ((bucket as f64 + 0.5) * self.log_ratio).exp();
            }
            remaining -= count;
        }
        0.0
    }
}

/// Stores the counts of a [`Histogram`] as a list, since serde supports arrays of at most 32 elements.
#[cfg(feature = "snapshot")]
mod counts {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::HISTOGRAM_BUCKETS;

    type Counts = [u32; HISTOGRAM_BUCKETS];

    pub fn serialize<S: Serializer>(counts: &Counts, serializer: S) -> Result<S::Ok, S::Error> {
        counts.as_slice().serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Counts, D::Error> {
        let counts = Vec::<u32>::deserialize(deserializer)?;
        let length = counts.len();
        counts.try_into().map_err(|_| {
            D::Error::custom(format!(
                "histogram with {length} counts instead of {HISTOGRAM_BUCKETS}"
            ))
        })
    }
}

/// A ring of time buckets with an amount each: amounts of the recent past, or amounts that expire in the near future.
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct TimeBuckets {
    #[cfg_attr(feature = "snapshot", serde(rename = "width"))]
    pub width_ms: f64,
    /// The number of the current bucket, counted from time 0.
    #[cfg_attr(feature = "snapshot", serde(rename = "clock"))]
    pub current: u64,
    #[cfg_attr(feature = "snapshot", serde(rename = "cells"))]
    amounts: Vec<f64>,
}

impl TimeBuckets {
    /// Covers `span_ms`, or one second if that is longer, with this number of buckets.
    pub fn new(span_ms: f64, buckets: usize, now_ms: f64) -> Self {
        let width_ms = span_ms.max(1000.0) / buckets as f64;
        TimeBuckets {
            width_ms,
            current: (now_ms / width_ms) as u64,
            amounts: vec![0.0; buckets],
        }
    }

    /// The amount in the bucket of this number, counted from time 0.
    pub fn bucket(&mut self, number: u64) -> &mut f64 {
        let buckets = self.amounts.len() as u64;
        &mut self.amounts[(number % buckets) as usize]
    }

    /// Advances to now. Returns the total of the buckets that are reused, whose amounts have expired.
    pub fn advance(&mut self, now_ms: f64) -> f64 {
        let mut expired = 0.0;
        while self.current < (now_ms / self.width_ms) as u64 {
            self.current += 1;
            let current = self.current;
            expired += std::mem::take(self.bucket(current));
        }
        expired
    }

    /// Adds to the current bucket.
    pub fn add(&mut self, amount: f64) {
        *self.bucket(self.current) += amount;
    }

    pub fn total(&self) -> f64 {
        self.amounts.iter().sum()
    }

    /// Whether it has buckets of a positive width; after decoding from bytes it may not.
    #[cfg(feature = "snapshot")]
    pub fn is_valid(&self) -> bool {
        !self.amounts.is_empty() && self.width_ms.is_finite() && self.width_ms > 0.0
    }
}

/// A permuted congruential generator (XSH-RR 64/32).
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Pcg(u64);

impl Pcg {
    pub fn new(seed: u64) -> Self {
        Pcg(seed)
    }

    /// The next number, from 0 to below 1.
    pub fn next(&mut self) -> f64 {
        let old = self.0;
        self.0 = old
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        f64::from(mixed.rotate_right((old >> 59) as u32)) / 4294967296.0
    }
}
