//! Containers for what is measured, and random numbers. They hold no decisions.

/// Buckets of a [`Histogram`]: with steps of 8% they reach from 0.01 to over 100,000.
const HISTOGRAM_BUCKETS: usize = 212;

/// Counts of values in buckets of equal ratio: fine enough for quantiles, and cheap to merge.
#[derive(Clone)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Histogram {
    #[cfg_attr(feature = "snapshot", serde(rename = "least"))]
    min: f64,
    /// The logarithm of the ratio between two buckets.
    #[cfg_attr(feature = "snapshot", serde(rename = "step"))]
    log_ratio: f64,
    #[cfg_attr(feature = "snapshot", serde(with = "counts"))]
    counts: [u32; HISTOGRAM_BUCKETS],
    pub total: u32,
}

impl Histogram {
    /// For times in milliseconds and for ratios around 1. Two p95s of a few hundred runs differ by more than its 8%.
    pub fn of_latencies() -> Self {
        Histogram::new(0.01, 1.08)
    }

    /// Values from `min` on, each bucket `ratio` times the one before.
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

    /// Halves all counts, so that older values count less than those to come.
    pub fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.total = self.counts.iter().sum();
    }

    /// The value below which this part of all values lies; 0 without values.
    pub fn quantile(&self, part: f64) -> f64 {
        let mut remaining = (self.total as f64 * part).ceil().max(1.0) as u32;
        for (bucket, &count) in self.counts.iter().enumerate() {
            if count >= remaining {
                return self.min * ((bucket as f64 + 0.5) * self.log_ratio).exp();
            }
            remaining -= count;
        }
        0.0
    }
}

/// Stores the counts of a [`Histogram`] as a list: serde reads arrays of at most 32 members.
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
            D::Error::custom(format!("{length} counts instead of {HISTOGRAM_BUCKETS}"))
        })
    }
}

/// Amounts in a ring of time buckets: of the recent past, or of what expires in the near future.
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct TimeBuckets {
    #[cfg_attr(feature = "snapshot", serde(rename = "width"))]
    pub width_ms: f64,
    /// The number of the present bucket, counted from time 0.
    #[cfg_attr(feature = "snapshot", serde(rename = "clock"))]
    pub current: u64,
    #[cfg_attr(feature = "snapshot", serde(rename = "cells"))]
    amounts: Vec<f64>,
}

impl TimeBuckets {
    /// So many buckets over `span_ms`, which is a second at the least.
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

    /// Advances to now; returns what was in the buckets that are used again, which has expired.
    pub fn advance(&mut self, now_ms: f64) -> f64 {
        let mut expired = 0.0;
        while self.current < (now_ms / self.width_ms) as u64 {
            self.current += 1;
            let current = self.current;
            expired += std::mem::take(self.bucket(current));
        }
        expired
    }

    /// Adds to the present bucket.
    pub fn add(&mut self, amount: f64) {
        *self.bucket(self.current) += amount;
    }

    pub fn total(&self) -> f64 {
        self.amounts.iter().sum()
    }

    /// Whether it can be used: one that was read from bytes may have no buckets, or no width.
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
