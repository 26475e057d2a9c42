//! Removes definitions and records of ended runs after their retention, with writes of background priority.

use super::{DagRuns, DagRunsRequest};
use crate::coordination::context::{Context, KvRequest};
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use snowshelf_model::ids::MonotonicMillis;
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{RunRecord, plan_key, run_key};

/// How long a run's definition is retained after the end of the run, in milliseconds (1 day).
const DEFINITION_RETENTION_MS: u64 = 86_400_000;
/// How long a run's record is retained after the end of the run, in milliseconds (30 days).
const RECORD_RETENTION_MS: u64 = 30 * 86_400_000;
/// Time between two scans for expired runs, in milliseconds.
const SCAN_INTERVAL_MS: u64 = 5_000;
/// Most chunks of definitions removed in one transaction.
const MAX_REMOVED_CHUNKS: usize = 8;

/// The state of the scan for expired runs and of the removal in flight.
#[derive(Default)]
pub(super) struct Retention {
    scanned_at: MonotonicMillis,
    is_removing: bool,
}

impl DagRuns {
    /// Removes chunks of expired definitions or, if there are none, one expired record.
    pub fn remove_ended(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        if self.retention.is_removing || now.since(self.retention.scanned_at) < SCAN_INTERVAL_MS {
            return;
        }
        self.retention.scanned_at = now;
        let wall = context.effects.wall_ms;
        let is_expired = |record: &RunRecord, retention_ms: u64| {
            let ended = record.ended;
            ended.is_some_and(|at| wall.saturating_sub(at.0) > retention_ms)
        };
        let records = &context.records;
        let max_chunks = context.storage_limits.txn_ops.min(MAX_REMOVED_CHUNKS);
        let chunks = records.plan_chunks.keys().filter(|key| {
            let record = records.runs.get(&key.owner).map(|v| &v.value);
            record.is_some_and(|r| is_expired(r, DEFINITION_RETENTION_MS))
        });
        let mut keys: Vec<String> = chunks
            .map(|key| plan_key(&key.owner, &key.hash, key.chunk))
            .take(max_chunks)
            .collect();
        let mut swap = CompareAndSwap::default();
        let mut runs = records.runs.iter();
        if keys.is_empty()
            && let Some((run, v)) = runs.find(|(_, v)| is_expired(&v.value, RECORD_RETENTION_MS))
        {
            swap = swap.compare(run_key(run), v.version);
            keys.push(run_key(run));
        }
        if keys.is_empty()
            || !context
                .kv
                .has_budget(now, RequestPriority::Background, keys.len())
        {
            return;
        }
        for key in &keys {
            swap = swap.mutate(Mutation::Delete { key: key.clone() });
        }
        self.retention.is_removing = true;
        let request = KvRequest::DagRuns(DagRunsRequest::RemoveEnded { keys });
        context.kv.compare_and_swap(context.effects, request, &swap);
    }

    /// Handles the outcome of a removal. A removal that failed is repeated by a later scan.
    pub(super) fn on_removed(
        &mut self,
        keys: &[String],
        outcome: &SwapOutcome,
        context: &mut Context<'_>,
    ) {
        self.retention.is_removing = false;
        if let SwapOutcome::Applied(revision) = outcome {
            for key in keys {
                context.records.apply(key, None, *revision);
            }
        }
    }
}
