//! Migration of the record format, and activation of features whose records every controller must be able to read.
//!
//! Each controller writes a declaration of the format and capabilities that it supports. What all
//! controllers have declared is added to the agreement record, permanently. A controller uses a format or feature only
//! after it has read the agreement.

use super::context::{Context, KvRequest};
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use crate::storage::record_cache::VersionedRecord;
use serde_json::Value;
use snowshelf_model::ids::{Member, MonotonicMillis, Version};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{
    Capability, FORMAT_KEY, FORMAT_V2, FormatRecord, RecordFormat, member_key,
};
use std::collections::{BTreeMap, BTreeSet};

/// The pause after a write that was not applied.
const RETRY_MS: u64 = 700;

/// A declaration or agreement to be written.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Declaration {
    /// The key of this controller's declaration, or of the agreement.
    pub key: String,
    /// The key's expected version; 0 if it must not exist.
    pub version: Version,
    /// The new value.
    pub record: FormatRecord,
}

/// The actor that writes this controller's declaration and the agreement.
#[derive(Default)]
pub struct FormatMigration {
    in_flight: bool,
    retry_at: MonotonicMillis,
}

/// Returns the next record to write: this controller's declaration first, then the agreement that follows from the
/// declarations of all members; `None` if both are up to date. Nothing is ever removed from the agreement.
#[must_use]
pub fn next_declaration(
    local_member: &Member,
    capabilities: &BTreeSet<Capability>,
    members: &[Member],
    declared: &BTreeMap<Member, VersionedRecord<FormatRecord>>,
    agreed: Option<&VersionedRecord<FormatRecord>>,
) -> Option<Declaration> {
    own_declaration(local_member, capabilities, declared.get(local_member))
        .or_else(|| next_agreement(capabilities, members, declared, agreed))
}

/// This controller's declaration, unless it is already written.
fn own_declaration(
    local_member: &Member,
    capabilities: &BTreeSet<Capability>,
    declared: Option<&VersionedRecord<FormatRecord>>,
) -> Option<Declaration> {
    let record = FormatRecord {
        format: declared.map_or(FORMAT_V2, |v| v.value.format.max(FORMAT_V2)),
        capabilities: capabilities.clone(),
    };
    let is_written = declared.is_some_and(|v| *v.value == record);
    (!is_written).then(|| Declaration {
        key: member_key(local_member),
        version: declared.map(|v| v.version).unwrap_or_default(),
        record,
    })
}

/// The agreement that follows from the declarations of all members, unless it is already written. `None` until every
/// member has declared at least format V2.
fn next_agreement(
    capabilities: &BTreeSet<Capability>,
    members: &[Member],
    declared: &BTreeMap<Member, VersionedRecord<FormatRecord>>,
    agreed: Option<&VersionedRecord<FormatRecord>>,
) -> Option<Declaration> {
    let declarations: Vec<&FormatRecord> = members
        .iter()
        .map(|member| declared.get(member).map(|v| &*v.value))
        .collect::<Option<_>>()?;
    let format = declarations.iter().map(|d| d.format).min()?;
    if format < FORMAT_V2 {
        return None;
    }
    let mut record = agreed.map(|v| (*v.value).clone()).unwrap_or_default();
    record.format = record.format.max(format);
    let common = capabilities.iter().filter(|capability| {
        declarations
            .iter()
            .all(|d| d.capabilities.contains(capability))
    });
    record.capabilities.extend(common.cloned());
    let is_written = agreed.is_some_and(|v| *v.value == record);
    (!is_written).then(|| Declaration {
        key: FORMAT_KEY.to_string(),
        version: agreed.map(|v| v.version).unwrap_or_default(),
        record,
    })
}

impl FormatMigration {
    /// Writes the next declaration or agreement, unless the operators hold the format migration back.
    pub fn tick(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let is_held = context.config.ops.hold_format && context.records.format == RecordFormat::V1;
        if self.in_flight || now < self.retry_at || !context.records.loaded || is_held {
            return;
        }
        let next = next_declaration(
            &context.config.local_member,
            &context.config.capabilities,
            &context.config.members,
            &context.records.members,
            context.records.agreed_format.as_ref(),
        );
        let Some(declaration) = next else {
            return;
        };
        if context.kv.has_budget(now, RequestPriority::LeaseUpkeep, 1) {
            self.write(declaration, context);
        }
    }

    fn write(&mut self, declaration: Declaration, context: &mut Context<'_>) {
        let Declaration {
            key,
            version,
            record,
        } = declaration;
        let value = serde_json::to_value(&record).unwrap_or_default();
        let swap = CompareAndSwap::default()
            .compare(key.clone(), version)
            .mutate(Mutation::put(key.clone(), &value));
        tracing::info!(key, format = record.format, can = ?record.capabilities, "record format and capabilities declared");
        self.in_flight = true;
        let request = KvRequest::FormatMigration { key, value };
        context.kv.compare_and_swap(context.effects, request, &swap);
    }

    /// Handles the outcome of a write. If it is unknown, the watch shows whether the write was applied.
    pub fn on_response(
        &mut self,
        key: &str,
        value: &Value,
        outcome: &SwapOutcome,
        context: &mut Context<'_>,
    ) {
        self.in_flight = false;
        self.retry_at = context.now().plus(RETRY_MS);
        if let SwapOutcome::Applied(revision) = *outcome {
            context.records.apply(key, Some(value), revision);
            self.retry_at = context.now();
        }
    }
}
