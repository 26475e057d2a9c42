//! A token bucket: the rate limit of requests to a server.

use snowshelf_model::ids::MonotonicMillis;

/// Fewest tokens that a full bucket grants at once: the smallest change that removes a shard's
/// allocation takes two writes.
const SMALLEST_CHANGE_WRITES: usize = 2;

/// A token bucket, full at first. Its capacity is the tokens of one second unless set otherwise.
pub struct TokenBucket {
    /// Tokens added a second.
    rate: f64,
    capacity: f64,
    level: f64,
    refilled_at: MonotonicMillis,
}

impl TokenBucket {
    /// A bucket that is refilled by `rate` tokens a second and holds one second's worth.
    #[must_use]
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket::with_burst(rate, rate)
    }

    /// A bucket that is refilled by `rate` tokens a second and holds `capacity` (at least 1).
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

    /// Tokens added a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate, and the capacity to one second's worth of it.
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

    /// Whether `amount` tokens can be consumed and `reserve` (a fraction of a second's tokens) stays.
    pub fn has_tokens(&mut self, now: MonotonicMillis, amount: f64, reserve: f64) -> bool {
        self.refill(now);
        // A request that alone exceeds what is left over the reserve goes when the bucket is full.
        self.level >= (amount + reserve * self.rate).min(self.capacity)
    }

    /// How many tokens can be consumed while `reserve` (a fraction of a second's tokens) stays; never
    /// zero when the bucket is full.
    pub fn available(&mut self, now: MonotonicMillis, reserve: f64) -> usize {
        self.refill(now);
        let available = (self.level - reserve * self.rate).max(0.0) as usize;
        if self.level >= self.capacity {
            available.max(SMALLEST_CHANGE_WRITES)
        } else {
            available
        }
    }

    /// Consumes tokens; the level may become negative.
    pub fn consume(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Removes all tokens: the server has rejected a request because of its rate.
    pub fn drain(&mut self) {
        self.level = self.level.min(0.0);
    }
}
