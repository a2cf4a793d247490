//! Token bucket: a rate limit with a burst.

/// A token bucket. The rate and the burst are passed with each call, as settings may change them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    level: f64,
    /// When the level was last updated, in milliseconds.
    pub updated_ms: f64,
}

impl TokenBucket {
    /// A full bucket.
    pub fn full(now_ms: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            level: burst,
            updated_ms: now_ms,
        }
    }

    /// Adds the tokens that have accrued since the last update. A clock that steps back neither adds nor removes
    /// tokens.
    fn refill(&mut self, now_ms: f64, per_s: f64, burst: f64) {
        let elapsed_ms = (now_ms - self.updated_ms).max(0.0);
        self.level = (self.level + elapsed_ms * per_s / 1000.0).min(burst);
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The milliseconds until one is available; infinite if the rate is 0.
    pub fn try_take(&mut self, now_ms: f64, per_s: f64, burst: f64) -> Result<(), f64> {
        self.refill(now_ms, per_s, burst);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(if per_s > 0.0 {
            (1.0 - self.level) * 1000.0 / per_s
        } else {
            f64::INFINITY
        })
    }

    /// Takes `tokens` unconditionally. The level may become negative, down to `-burst`.
    pub fn charge(&mut self, tokens: f64, burst: f64) {
        self.level = (self.level - tokens).max(-burst);
    }
}

#[cfg(test)]
mod tests;
