//! The step to the wide format, and to each feature whose records every controller must know. Every
//! controller says durably what it can; what all can is settled for good, and each acts on it only
//! after reading that.

use super::env::{Env, Tag};
use crate::bookkeeping::mirror::Versioned;
use crate::bookkeeping::store::{Class, TxnResult};
use crate::settings::StateLimits;
use serde_json::Value;
use snowshelf_model::ids::{Member, Millis, Version};
use snowshelf_model::protocol::state::{Change, Txn};
use snowshelf_model::records::{
    Capability, FORMAT_KEY, Format, FormatRecord, Terms, WIDE, member_key,
};
use std::collections::{BTreeMap, BTreeSet};

/// The pause after a try that brought nothing.
const AGAIN_MS: u64 = 700;

#[derive(Default)]
pub struct Upgrade {
    underway: bool,
    retry_at: Millis,
}

/// What is to be written next, at which version of its key, if anything: this controller's word
/// first, then what follows from everybody's. Pure.
pub fn next_word(
    me: &Member,
    mine: &BTreeSet<Capability>,
    all: &[Member],
    said: &BTreeMap<Member, Versioned<FormatRecord>>,
    agreed: Option<&Versioned<FormatRecord>>,
) -> Option<(String, Version, FormatRecord)> {
    let before = said.get(me);
    let format = before.map_or(WIDE, |v| v.value.format.max(WIDE));
    let word = FormatRecord {
        format,
        can: mine.clone(),
    };
    if before.is_none_or(|v| *v.value != word) {
        let version = before.map(|v| v.version).unwrap_or_default();
        return Some((member_key(me), version, word));
    }
    let words: Vec<&FormatRecord> = all
        .iter()
        .map(|m| said.get(m).map(|v| &*v.value))
        .collect::<Option<_>>()?;
    let format = words.iter().map(|w| w.format).min()?;
    if format < WIDE {
        return None;
    }
    let mut settled = agreed.map(|v| (*v.value).clone()).unwrap_or_default();
    settled.format = settled.format.max(format);
    let common = mine
        .iter()
        .filter(|c| words.iter().all(|w| w.can.contains(c)));
    settled.can.extend(common.cloned());
    if agreed.is_some_and(|v| *v.value == settled) {
        return None;
    }
    let version = agreed.map(|v| v.version).unwrap_or_default();
    Some((FORMAT_KEY.to_string(), version, settled))
}

impl Upgrade {
    pub fn tick(&mut self, env: &mut Env) {
        let now = env.now();
        let held = env.cfg.ops.hold_format && env.mirror.format == Format::Narrow;
        if self.underway || now < self.retry_at || !env.mirror.loaded || held {
            return;
        }
        let mirror = &env.mirror;
        let next = next_word(
            &env.cfg.me,
            &env.cfg.can,
            &env.cfg.members,
            &mirror.members,
            mirror.agreed.as_ref(),
        );
        let Some((key, version, record)) = next else {
            return;
        };
        if !env.store.may(now, Class::Ownership, 1) {
            return;
        }
        let value = serde_json::to_value(&record).unwrap_or_default();
        let change = Change::write(key.clone(), &value);
        let txn = Txn::default().when(key.clone(), version).then(change);
        tracing::info!(key, format = record.format, can = ?record.can, "declares what can be read and done");
        self.underway = true;
        env.store.txn(env.out, Tag::Declare(key, value), &txn);
    }

    /// The answer; whatever it leaves open, the change feed tells.
    pub fn declared(&mut self, key: &str, value: &Value, result: TxnResult, env: &mut Env) {
        self.underway = false;
        self.retry_at = env.now().plus(AGAIN_MS);
        if let TxnResult::Done(revision) = result {
            env.mirror.apply(key, Some(value), revision);
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
