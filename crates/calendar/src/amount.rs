//! Amounts as whole thousandths, so that what is added and taken away again leaves nothing over.

use serde::{Deserialize, Serialize};
use snowshelf_model::records::Resources;

/// Thousandths of CPUs, GPUs and GB of memory.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Amount {
    #[serde(rename = "c")]
    pub cpus: i64,
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub gpus: i64,
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub mem: i64,
}

fn is_zero(n: &i64) -> bool {
    *n == 0
}

/// Far more than any deployment has, and far from where sums would overflow.
const MOST: f64 = 1e15;

/// Parts that an amount can be divided into.
pub const WHOLE: i64 = 1_000_000;

fn thousandths(x: f64) -> i64 {
    (x * 1000.0).ceil().clamp(-MOST, MOST) as i64
}

impl Amount {
    pub const ZERO: Amount = Amount {
        cpus: 0,
        gpus: 0,
        mem: 0,
    };
    /// Where nothing bounds what may be had.
    pub const BOUNDLESS: Amount = Amount {
        cpus: i64::MAX / 4,
        gpus: i64::MAX / 4,
        mem: i64::MAX / 4,
    };

    /// Rounded up to thousandths.
    pub fn of(room: Resources) -> Amount {
        Amount {
            cpus: thousandths(room.cpus),
            gpus: thousandths(room.gpus),
            mem: thousandths(room.mem),
        }
    }

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

    pub fn plus(self, other: Amount) -> Amount {
        self.each(other, i64::saturating_add)
    }
    pub fn minus(self, other: Amount) -> Amount {
        self.each(other, i64::saturating_sub)
    }
    pub fn max(self, other: Amount) -> Amount {
        self.each(other, i64::max)
    }
    pub fn min(self, other: Amount) -> Amount {
        self.each(other, i64::min)
    }
    pub fn times(self, n: i64) -> Amount {
        self.each(Amount::ZERO, |a, _| a.saturating_mul(n))
    }

    pub fn fits_in(self, free: Amount) -> bool {
        self.cpus <= free.cpus && self.gpus <= free.gpus && self.mem <= free.mem
    }

    pub fn is_zero(self) -> bool {
        self == Amount::ZERO
    }

    /// How many of this amount's `WHOLE` parts go into `free`.
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

    /// From the `from`th to before the `to`th of `WHOLE` parts: neighbouring pieces add up exactly.
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
