//! A token bucket that limits the rate of requests to a server.

use snowshelf_model::ids::MonotonicMillis;

/// Fewest tokens that a full bucket grants at once: the smallest change that removes a shard's allocation has
/// two writes.
const MIN_TOKENS_WHEN_FULL: usize = 2;

/// A token bucket, initially full.
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// Most tokens in the bucket.
    capacity: f64,
    /// Tokens in the bucket; negative after more was consumed than was available.
    level: f64,
    refilled_at: MonotonicMillis,
}

impl TokenBucket {
    /// Creates a bucket that gains `rate` tokens per second and holds at most those of one second.
    #[must_use]
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket::with_burst(rate, rate)
    }

    /// Creates a bucket that gains `rate` tokens per second and holds at most `capacity`, or 1 if that is more.
    #[must_use]
    pub fn with_burst(rate: f64, capacity: f64) -> TokenBucket {
        let capacity = capacity.max(1.0);
        TokenBucket {
            rate,
            capacity,
            level: capacity,
            refilled_at: MonotonicMillis(0),
        }
    }

    /// Tokens added per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate, and the capacity to the tokens of one second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        self.capacity = rate.max(1.0);
        self.level = self.level.min(self.capacity);
    }

    fn refill(&mut self, now: MonotonicMillis) {
        let gained = now.since(self.refilled_at) as f64 / 1000.0 * self.rate;
        self.level = (self.level + gained).min(self.capacity);
        self.refilled_at = now;
    }

    /// Whether `amount` tokens are available beyond `reserve`, which is a fraction of one second's tokens.
    pub fn has_tokens(&mut self, now: MonotonicMillis, amount: f64, reserve: f64) -> bool {
        self.refill(now);
        // A full bucket also allows a request that exceeds the capacity without the reserve.
        self.level >= (amount + reserve * self.rate).min(self.capacity)
    }

    /// Number of tokens available beyond `reserve`, which is a fraction of one second's tokens. Never 0 if the
    /// bucket is full.
    pub fn available(&mut self, now: MonotonicMillis, reserve: f64) -> usize {
        self.refill(now);
        let available = (self.level - reserve * self.rate).max(0.0) as usize;
        if self.level >= self.capacity {
            available.max(MIN_TOKENS_WHEN_FULL)
        } else {
            available
        }
    }

    /// Consumes tokens, also more than are available.
    pub fn consume(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Removes all tokens. Called when the server has rejected a request by its own rate limit.
    pub fn drain(&mut self) {
        self.level = self.level.min(0.0);
    }
}
