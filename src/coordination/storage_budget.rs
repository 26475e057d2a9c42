//! What this controller may write to the key-value store, and how often it may call it.

use crate::settings::StateLimits;
use snowshelf_model::records::{RecordFormat, StorageLimits};

/// Fraction of the store's request rate that the controllers use together: it counts requests when they arrive.
const REQUESTS_FRACTION: f64 = 0.92;
/// Fraction of the store's write rate that the controllers use together: few requests carry writes.
const WRITES_FRACTION: f64 = 0.97;
/// Fraction of the budget that is divided equally, for admitting jobs and starting up. The rest goes with the shards,
/// whose leaders write most of what is written: a controller that leads all shards may use all of that.
const EQUAL_FRACTION: f64 = 0.6;

/// How often a controller may call the key-value store.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RequestRates {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Writes a second.
    pub writes_per_s: f64,
}

impl RequestRates {
    /// The rates of a controller that leads so many shards, in a cluster of so many controllers. Those of all
    /// controllers together are the whole budget, since no shard has two leaders.
    #[must_use]
    pub fn of_controller(limits: &StorageLimits, controllers: u32, led_shards: usize) -> Self {
        let controllers = f64::from(controllers);
        let fraction =
            EQUAL_FRACTION / controllers + (1.0 - EQUAL_FRACTION) * led_shards as f64 / controllers;
        RequestRates {
            requests_per_s: REQUESTS_FRACTION * limits.rps * fraction,
            writes_per_s: WRITES_FRACTION * limits.write_rps * fraction,
        }
    }
}

/// What may be written: the limits in force until the new format is agreed on. From then on, or once the store has
/// refused a write by its size, the smaller of those and the limits to come.
#[must_use]
pub fn storage_limits(
    format: RecordFormat,
    write_refused: bool,
    state: &StateLimits,
) -> StorageLimits {
    let limits = if format == RecordFormat::V2 || write_refused {
        state.effective()
    } else {
        state.clone()
    };
    StorageLimits {
        format,
        value_bytes: limits.value_bytes(),
        txn_ops: limits.txn_ops,
        rps: limits.rps,
        write_rps: limits.write_rps,
    }
}
