//! The step to the wide format, and to each feature whose records every controller must know. Every
//! controller says durably what it can; what all can is settled for good, and each acts on it only
//! after reading that.

use super::context::{Context, KvRequest};
use crate::settings::StateLimits;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use crate::storage::record_cache::VersionedRecord;
use serde_json::Value;
use snowshelf_model::ids::{Member, MonotonicMillis, Version};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{
    Capability, FORMAT_KEY, FORMAT_V2, FormatRecord, RecordFormat, StorageLimits, member_key,
};
use std::collections::{BTreeMap, BTreeSet};

/// The pause after a try that brought nothing.
const AGAIN_MS: u64 = 700;

#[derive(Default)]
pub struct FormatMigration {
    underway: bool,
    retry_at: MonotonicMillis,
}

/// What is to be written next, at which version of its key, if anything: this controller's word
/// first, then what follows from everybody's. Pure.
pub fn next_word(
    me: &Member,
    mine: &BTreeSet<Capability>,
    all: &[Member],
    said: &BTreeMap<Member, VersionedRecord<FormatRecord>>,
    agreed: Option<&VersionedRecord<FormatRecord>>,
) -> Option<(String, Version, FormatRecord)> {
    let before = said.get(me);
    let format = before.map_or(FORMAT_V2, |v| v.value.format.max(FORMAT_V2));
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
    if format < FORMAT_V2 {
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

impl FormatMigration {
    pub fn tick(&mut self, context: &mut Context) {
        let now = context.now();
        let held = context.config.ops.hold_format && context.records.format == RecordFormat::V1;
        if self.underway || now < self.retry_at || !context.records.loaded || held {
            return;
        }
        let records = &context.records;
        let next = next_word(
            &context.config.me,
            &context.config.can,
            &context.config.members,
            &records.members,
            records.agreed_format.as_ref(),
        );
        let Some((key, version, record)) = next else {
            return;
        };
        if !context.kv.has_budget(now, RequestPriority::LeaseUpkeep, 1) {
            return;
        }
        let value = serde_json::to_value(&record).unwrap_or_default();
        let change = Mutation::put(key.clone(), &value);
        let swap = CompareAndSwap::default()
            .compare(key.clone(), version)
            .mutate(change);
        tracing::info!(key, format = record.format, can = ?record.can, "record format and capabilities declared");
        self.underway = true;
        context.kv.compare_and_swap(
            context.effects,
            KvRequest::FormatMigration { key, value },
            &swap,
        );
    }

    /// The answer; whatever it leaves open, the change feed tells.
    pub fn declared(
        &mut self,
        key: &str,
        value: &Value,
        result: SwapOutcome,
        context: &mut Context,
    ) {
        self.underway = false;
        self.retry_at = context.now().plus(AGAIN_MS);
        if let SwapOutcome::Applied(revision) = result {
            context.records.apply(key, Some(value), revision);
            self.retry_at = context.now();
        }
    }
}

/// What may be written: the limits in force until the format is settled, from then on, or once the
/// state service has refused something as it is, the smaller of those and the ones to come.
pub fn storage_limits(format: RecordFormat, refused: bool, state: &StateLimits) -> StorageLimits {
    let lowered = format == RecordFormat::V2 || refused;
    let limits = if lowered {
        state.smaller()
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
