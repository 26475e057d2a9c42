//! The migration of the record format, and the activation of features whose records every controller must know.
//!
//! Each controller declares durably what it can read. What all controllers have declared is agreed on for good, in a
//! record that each controller acts on only after reading it.

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

/// The pause after a write that was not carried out.
const RETRY_MS: u64 = 700;

/// A record that is to be written.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Declaration {
    /// The key of this controller's own declaration, or of the agreement.
    pub key: String,
    /// The version that the key must have.
    pub version: Version,
    /// The new value.
    pub record: FormatRecord,
}

/// Declares what this controller can read, and agrees on what all can.
#[derive(Default)]
pub struct FormatMigration {
    in_flight: bool,
    retry_at: MonotonicMillis,
}

/// What is to be written next, if anything: this controller's own declaration first, then the agreement that follows
/// from the declarations of all members. Nothing that is agreed on is ever taken back.
#[must_use]
pub fn next_declaration(
    me: &Member,
    capabilities: &BTreeSet<Capability>,
    members: &[Member],
    declared: &BTreeMap<Member, VersionedRecord<FormatRecord>>,
    agreed: Option<&VersionedRecord<FormatRecord>>,
) -> Option<Declaration> {
    own_declaration(me, capabilities, declared.get(me))
        .or_else(|| next_agreement(capabilities, members, declared, agreed))
}

/// This controller's declaration, if it is not yet written.
fn own_declaration(
    me: &Member,
    capabilities: &BTreeSet<Capability>,
    declared: Option<&VersionedRecord<FormatRecord>>,
) -> Option<Declaration> {
    let record = FormatRecord {
        format: declared.map_or(FORMAT_V2, |v| v.value.format.max(FORMAT_V2)),
        can: capabilities.clone(),
    };
    let is_written = declared.is_some_and(|v| *v.value == record);
    (!is_written).then(|| Declaration {
        key: member_key(me),
        version: declared.map(|v| v.version).unwrap_or_default(),
        record,
    })
}

/// The agreement that follows from the declarations of all members, if it is not yet written.
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
    let common = capabilities
        .iter()
        .filter(|capability| declarations.iter().all(|d| d.can.contains(capability)));
    record.can.extend(common.cloned());
    let is_written = agreed.is_some_and(|v| *v.value == record);
    (!is_written).then(|| Declaration {
        key: FORMAT_KEY.to_string(),
        version: agreed.map(|v| v.version).unwrap_or_default(),
        record,
    })
}

impl FormatMigration {
    /// Writes the next declaration.
    pub fn tick(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let is_held = context.config.ops.hold_format && context.records.format == RecordFormat::V1;
        if self.in_flight || now < self.retry_at || !context.records.loaded || is_held {
            return;
        }
        let next = next_declaration(
            &context.config.me,
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
        tracing::info!(key, format = record.format, can = ?record.can, "record format and capabilities declared");
        self.in_flight = true;
        let request = KvRequest::FormatMigration { key, value };
        context.kv.compare_and_swap(context.effects, request, &swap);
    }

    /// Handles the outcome of a write. An unknown one becomes known by the watch of records.
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
