//! The step to the wide format. Every controller that reads it says so durably; once all have, this
//! is settled for good, and each acts on it only after reading that.

use super::env::{Env, Tag};
use crate::bookkeeping::store::{Class, TxnResult};
use crate::settings::StateLimits;
use snowshelf_model::ids::{Millis, Version};
use snowshelf_model::protocol::state::{Change, Txn};
use snowshelf_model::records::{FORMAT_KEY, Format, FormatRecord, Terms, WIDE, member_key};

/// The pause after a try that brought nothing.
const AGAIN_MS: u64 = 700;

#[derive(Default)]
pub struct Upgrade {
    underway: bool,
    retry_at: Millis,
}

impl Upgrade {
    pub fn tick(&mut self, env: &mut Env) {
        let now = env.now();
        if self.underway
            || now < self.retry_at
            || !env.mirror.loaded
            || env.mirror.format == Format::Wide
            || env.cfg.ops.hold_format
        {
            return;
        }
        let members = &env.mirror.wide_members;
        let key = if !members.contains(&env.cfg.me) {
            member_key(&env.cfg.me)
        } else if env.cfg.members.iter().all(|m| members.contains(m)) {
            FORMAT_KEY.to_string()
        } else {
            return;
        };
        if !env.store.may(now, Class::Ownership, 1) {
            return;
        }
        let record = FormatRecord { format: WIDE };
        let txn = Txn::default()
            .when(key.clone(), Version(0))
            .then(Change::write(key.clone(), &record));
        tracing::info!(key, format = WIDE, "declares the format that can be read");
        self.underway = true;
        env.store.txn(env.out, Tag::Declare(key), &txn);
    }

    /// The answer; whatever it leaves open, the change feed tells.
    pub fn declared(&mut self, key: &str, result: TxnResult, env: &mut Env) {
        self.underway = false;
        self.retry_at = env.now().plus(AGAIN_MS);
        if let TxnResult::Done(revision) = result {
            let value = serde_json::to_value(FormatRecord { format: WIDE }).unwrap_or_default();
            env.mirror.apply(key, Some(&value), revision);
            self.retry_at = env.now();
        }
    }
}

/// What may be written: the limits in force until the format is settled, from then on, or once the
/// state service has refused something as it is, the smaller of those and the ones to come.
pub fn terms(format: Format, refused: bool, state: &StateLimits) -> Terms {
    let lowered = format == Format::Wide || refused;
    let limits = if lowered {
        state.smaller()
    } else {
        state.clone()
    };
    Terms {
        format,
        value_bytes: limits.value_bytes(),
        txn_ops: limits.txn_ops,
        rps: limits.rps,
        write_rps: limits.write_rps,
    }
}
