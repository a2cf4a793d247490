//! A token bucket for received messages, so that a flood costs a bounded amount of work.

/// Messages accepted per second, independent of the fleet's size. A healthy fleet sends about a tenth of the total
/// limit.
const BASE_MESSAGES_PER_SECOND: f64 = 400.0;
/// Messages accepted per second in addition, for each member in the view.
const MESSAGES_PER_SECOND_PER_MEMBER: f64 = 40.0;

/// The token bucket. Its capacity is the number of messages accepted per second.
#[derive(Clone, Debug)]
pub(crate) struct ReceiveLimiter {
    tokens: f64,
    refilled_ms: f64,
}

impl ReceiveLimiter {
    pub(crate) fn new(now_ms: f64) -> ReceiveLimiter {
        ReceiveLimiter {
            tokens: BASE_MESSAGES_PER_SECOND,
            refilled_ms: now_ms,
        }
    }

    /// Takes the token for one message. Returns `false` if there is none, and the message is to be dropped.
    pub(crate) fn try_take(&mut self, now_ms: f64, member_count: usize) -> bool {
        let messages_per_second =
            BASE_MESSAGES_PER_SECOND + MESSAGES_PER_SECOND_PER_MEMBER * member_count as f64;
        let elapsed_ms = (now_ms - self.refilled_ms).max(0.0);
        self.tokens =
            (self.tokens + elapsed_ms / 1000.0 * messages_per_second).min(messages_per_second);
        self.refilled_ms = now_ms;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
