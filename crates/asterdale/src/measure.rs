//! Containers for what is measured, and chance. They hold no decisions.

/// Counts of values in steps of equal ratio: fine enough for quantiles, and cheap to add up.
#[derive(Clone)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Spread {
    least: f64,
    step: f64,
    #[cfg_attr(feature = "snapshot", serde(with = "crate::snapshot::counts"))]
    counts: [u32; 212],
    pub total: u32,
}

impl Spread {
    /// Values from `least` on, each step `ratio` times the one before.
    pub fn new(least: f64, ratio: f64) -> Self {
        Spread {
            least,
            step: ratio.ln(),
            counts: [0; 212],
            total: 0,
        }
    }
    pub fn add(&mut self, value: f64) {
        let step = ((value.max(self.least) / self.least).ln() / self.step).min(211.0);
        self.counts[step as usize] += 1;
        self.total += 1;
    }
    pub fn merge(&mut self, other: &Spread) {
        for (mine, theirs) in self.counts.iter_mut().zip(&other.counts) {
            *mine += theirs;
        }
        self.total += other.total;
    }
    pub fn halve(&mut self) {
        self.counts.iter_mut().for_each(|n| *n /= 2);
        self.total = self.counts.iter().sum();
    }
    /// The value under which this part of all lies; 0 of none.
    pub fn quantile(&self, part: f64) -> f64 {
        let mut left = (self.total as f64 * part).ceil().max(1.0) as u32;
        for (step, &n) in self.counts.iter().enumerate() {
            if n >= left {
                return self.least * ((step as f64 + 0.5) * self.step).exp();
            }
            left -= n;
        }
        0.0
    }
}

/// Amounts in fixed buckets of time that are used again: of the recent past, or of what lapses in the near
/// future.
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Ring {
    pub width: f64,
    /// The present bucket, counted from time 0.
    pub clock: u64,
    cells: Vec<f64>,
}

impl Ring {
    /// So many buckets over this span of time, at least a second.
    pub fn new(span: f64, cells: usize, now: f64) -> Self {
        let width = span.max(1000.0) / cells as f64;
        Ring {
            width,
            clock: (now / width) as u64,
            cells: vec![0.0; cells],
        }
    }
    /// The bucket of this number, counted from time 0.
    pub fn cell(&mut self, bucket: u64) -> &mut f64 {
        let cells = self.cells.len() as u64;
        &mut self.cells[(bucket % cells) as usize]
    }
    /// Rolls on to `now`; what lay in the buckets that are entered has lapsed and comes back.
    pub fn roll(&mut self, now: f64) -> f64 {
        let mut lapsed = 0.0;
        while self.clock < (now / self.width) as u64 {
            self.clock += 1;
            let clock = self.clock;
            lapsed += std::mem::take(self.cell(clock));
        }
        lapsed
    }
    /// Adds to the present bucket.
    pub fn add(&mut self, amount: f64) {
        *self.cell(self.clock) += amount;
    }
    pub fn total(&self) -> f64 {
        self.cells.iter().sum()
    }
    /// Whether it can be used: one that came from outside may have no cells, or no width.
    #[cfg(feature = "snapshot")]
    pub fn sound(&self) -> bool {
        !self.cells.is_empty() && self.width.is_finite() && self.width > 0.0
    }
}

impl Default for Spread {
    /// Of no use until it is made anew with its steps.
    fn default() -> Self {
        Spread::new(1.0, 2.0)
    }
}

impl Default for Ring {
    /// Of no use until it is made anew with its span.
    fn default() -> Self {
        Ring::new(0.0, 1, 0.0)
    }
}

/// A permuted congruential generator (XSH-RR 64/32).
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Pcg(u64);

impl Pcg {
    pub fn new(seed: u64) -> Self {
        Pcg(seed)
    }
    /// From 0 to under 1.
    pub fn next(&mut self) -> f64 {
        let old = self.0;
        self.0 = old
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        f64::from(mixed.rotate_right((old >> 59) as u32)) / 4294967296.0
    }
}
