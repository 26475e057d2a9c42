//! Amounts of resources as integer thousandths, which add and subtract exactly.

use serde::{Deserialize, Serialize};
use snowshelf_model::records::Resources;

/// CPUs, GPUs and memory, in thousandths of their units. Differences may be negative.
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

/// Bounds converted amounts: above what any deployment has, and low enough that sums do not overflow.
const MAX_THOUSANDTHS: f64 = 1e15;

/// Number of equal fractions into which an amount can be divided.
pub const FRACTIONS_PER_AMOUNT: i64 = 1_000_000;

fn thousandths(amount: f64) -> i64 {
    (amount * 1000.0)
        .ceil()
        .clamp(-MAX_THOUSANDTHS, MAX_THOUSANDTHS) as i64
}

impl Amount {
    /// Zero of every resource.
    pub const ZERO: Amount = Amount {
        cpus: 0,
        gpus: 0,
        mem: 0,
    };
    /// No limit on any resource. A quarter of the integer range, so that sums do not overflow.
    pub const UNLIMITED: Amount = Amount {
        cpus: i64::MAX / 4,
        gpus: i64::MAX / 4,
        mem: i64::MAX / 4,
    };

    /// Converts resources, rounding up to whole thousandths.
    #[must_use]
    pub fn from_resources(resources: Resources) -> Amount {
        Amount {
            cpus: thousandths(resources.cpus),
            gpus: thousandths(resources.gpus),
            mem: thousandths(resources.mem),
        }
    }

    /// Converts the amount back to CPUs, GPUs and gigabytes.
    #[must_use]
    pub fn to_resources(self) -> Resources {
        Resources {
            cpus: self.cpus as f64 / 1000.0,
            gpus: self.gpus as f64 / 1000.0,
            mem: self.mem as f64 / 1000.0,
        }
    }

    fn combine(self, other: Amount, f: impl Fn(i64, i64) -> i64) -> Amount {
        Amount {
            cpus: f(self.cpus, other.cpus),
            gpus: f(self.gpus, other.gpus),
            mem: f(self.mem, other.mem),
        }
    }

    /// The sum of both amounts, saturating.
    #[must_use]
    pub fn plus(self, other: Amount) -> Amount {
        self.combine(other, i64::saturating_add)
    }

    /// The difference of both amounts, saturating; may be negative.
    #[must_use]
    pub fn minus(self, other: Amount) -> Amount {
        self.combine(other, i64::saturating_sub)
    }

    /// The maximum of each resource.
    #[must_use]
    pub fn max(self, other: Amount) -> Amount {
        self.combine(other, i64::max)
    }

    /// The minimum of each resource.
    #[must_use]
    pub fn min(self, other: Amount) -> Amount {
        self.combine(other, i64::min)
    }

    /// Multiplies each resource by `factor`, saturating.
    #[must_use]
    pub fn times(self, factor: i64) -> Amount {
        self.combine(Amount::ZERO, |a, _| a.saturating_mul(factor))
    }

    /// Whether no resource exceeds that of `free`.
    #[must_use]
    pub fn fits_in(self, free: Amount) -> bool {
        self.cpus <= free.cpus && self.gpus <= free.gpus && self.mem <= free.mem
    }

    /// Whether every resource is zero.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Amount::ZERO
    }

    /// How many of this amount's [`FRACTIONS_PER_AMOUNT`] fractions fit into `free`, rounded down.
    #[must_use]
    pub fn fractions_in(self, free: Amount) -> i64 {
        let fitting = |requested: i64, available: i64| match requested {
            ..=0 => FRACTIONS_PER_AMOUNT,
            _ => {
                let fractions = i128::from(available.max(0)) * i128::from(FRACTIONS_PER_AMOUNT)
                    / i128::from(requested);
                fractions.min(i128::from(FRACTIONS_PER_AMOUNT)) as i64
            }
        };
        fitting(self.cpus, free.cpus)
            .min(fitting(self.gpus, free.gpus))
            .min(fitting(self.mem, free.mem))
    }

    /// The fractions `from..to` of [`FRACTIONS_PER_AMOUNT`]. Each end is rounded on its own, so that adjacent
    /// ranges add up exactly.
    #[must_use]
    pub fn fraction_range(self, from: i64, to: i64) -> Amount {
        let prefix = |total: i64, n: i64| {
            (i128::from(total) * i128::from(n) / i128::from(FRACTIONS_PER_AMOUNT)) as i64
        };
        let range = |total: i64| prefix(total, to) - prefix(total, from);
        Amount {
            cpus: range(self.cpus),
            gpus: range(self.gpus),
            mem: range(self.mem),
        }
    }
}
