//! This controller's share of the key-value store's request rates, and the limits for what it writes there.

use crate::settings::StateLimits;
use snowshelf_model::records::{RecordFormat, StorageLimits};

/// Fraction of the store's request rate that all controllers use together. The rest is headroom, since the store counts
/// requests when they arrive, not when they are sent.
const REQUESTS_FRACTION: f64 = 0.92;
/// Fraction of the store's write rate that all controllers use together. Little headroom suffices, since few requests
/// carry writes.
const WRITES_FRACTION: f64 = 0.97;
/// Fraction of the budget that is divided equally among the controllers, for admission and startup. The rest is divided
/// by led shards, since shard leaders make most of the writes; a controller that leads all shards gets all of it.
const EQUAL_FRACTION: f64 = 0.6;

/// The rates at which a controller may call the key-value store.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RequestRates {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Writes per second.
    pub writes_per_s: f64,
}

impl RequestRates {
    /// The rates of a controller that leads `led_shards` shards, in a cluster of `controllers`. The rates of all
    /// controllers add up to the whole budget, since no shard has two leaders.
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

/// The limits for writes: those in force until format V2 is agreed on. From then on, or once the store has rejected a
/// write as too large or malformed, each is the smaller of the current and the announced limit.
#[must_use]
pub fn storage_limits(
    format: RecordFormat,
    write_rejected: bool,
    state: &StateLimits,
) -> StorageLimits {
    let limits = if format == RecordFormat::V2 || write_rejected {
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
