//! Amounts of resources as whole thousandths, so that additions and subtractions are exact.

use serde::{Deserialize, Serialize};
use snowshelf_model::records::Resources;

/// An amount of resources, in thousandths.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Amount {
    /// Thousandths of CPUs.
    #[serde(rename = "c")]
    pub cpus: i64,
    /// Thousandths of GPUs.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub gpus: i64,
    /// Thousandths of gigabytes of memory.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub mem: i64,
}

fn is_zero(number: &i64) -> bool {
    *number == 0
}

/// Far more than any deployment has, and far from where sums would overflow.
const MAX_THOUSANDTHS: f64 = 1e15;

/// Number of equal fractions that an amount can be divided into.
pub const WHOLE: i64 = 1_000_000;

fn thousandths(amount: f64) -> i64 {
    (amount * 1000.0)
        .ceil()
        .clamp(-MAX_THOUSANDTHS, MAX_THOUSANDTHS) as i64
}

impl Amount {
    /// Nothing.
    pub const ZERO: Amount = Amount {
        cpus: 0,
        gpus: 0,
        mem: 0,
    };
    /// No bound.
    pub const BOUNDLESS: Amount = Amount {
        cpus: i64::MAX / 4,
        gpus: i64::MAX / 4,
        mem: i64::MAX / 4,
    };

    /// Converts resources, rounded up to thousandths.
    #[must_use]
    pub fn of(room: Resources) -> Amount {
        Amount {
            cpus: thousandths(room.cpus),
            gpus: thousandths(room.gpus),
            mem: thousandths(room.mem),
        }
    }

    /// Converts the amount to resources.
    #[must_use]
    pub fn room(self) -> Resources {
        Resources {
            cpus: self.cpus as f64 / 1000.0,
            gpus: self.gpus as f64 / 1000.0,
            mem: self.mem as f64 / 1000.0,
        }
    }

    fn each(self, other: Amount, f: impl Fn(i64, i64) -> i64) -> Amount {
        Amount {
            cpus: f(self.cpus, other.cpus),
            gpus: f(self.gpus, other.gpus),
            mem: f(self.mem, other.mem),
        }
    }

    /// The sum of both.
    #[must_use]
    pub fn plus(self, other: Amount) -> Amount {
        self.each(other, i64::saturating_add)
    }

    /// This amount less the other; may be negative.
    #[must_use]
    pub fn minus(self, other: Amount) -> Amount {
        self.each(other, i64::saturating_sub)
    }

    /// The larger of both, for each resource.
    #[must_use]
    pub fn max(self, other: Amount) -> Amount {
        self.each(other, i64::max)
    }

    /// The smaller of both, for each resource.
    #[must_use]
    pub fn min(self, other: Amount) -> Amount {
        self.each(other, i64::min)
    }

    /// The amount `factor` times.
    #[must_use]
    pub fn times(self, factor: i64) -> Amount {
        self.each(Amount::ZERO, |a, _| a.saturating_mul(factor))
    }

    /// Whether the amount fits into `free`, for each resource.
    #[must_use]
    pub fn fits_in(self, free: Amount) -> bool {
        self.cpus <= free.cpus && self.gpus <= free.gpus && self.mem <= free.mem
    }

    /// Whether it is nothing.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Amount::ZERO
    }

    /// How many of this amount's [`WHOLE`] fractions fit into `free`.
    #[must_use]
    pub fn parts_in(self, free: Amount) -> i64 {
        let fits = |need: i64, have: i64| match need {
            ..=0 => WHOLE,
            _ => {
                let parts = i128::from(have.max(0)) * i128::from(WHOLE) / i128::from(need);
                parts.min(i128::from(WHOLE)) as i64
            }
        };
        fits(self.cpus, free.cpus)
            .min(fits(self.gpus, free.gpus))
            .min(fits(self.mem, free.mem))
    }

    /// The fractions `from..to` of [`WHOLE`]; adjacent pieces add up exactly.
    #[must_use]
    pub fn piece(self, from: i64, to: i64) -> Amount {
        let upto =
            |whole: i64, n: i64| (i128::from(whole) * i128::from(n) / i128::from(WHOLE)) as i64;
        let cut = |whole: i64| upto(whole, to) - upto(whole, from);
        Amount {
            cpus: cut(self.cpus),
            gpus: cut(self.gpus),
            mem: cut(self.mem),
        }
    }
}
