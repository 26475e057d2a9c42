//! Removal of what is no longer retained of runs that have ended, with writes that nobody else needs.

use super::{DagRuns, DagRunsRequest};
use crate::coordination::context::{Context, KvRequest};
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use snowshelf_model::ids::MonotonicMillis;
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{RunRecord, plan_key, run_key};

/// How long after its end a run's definition is retained, in milliseconds.
const DEFINITION_RETENTION_MS: u64 = 86_400_000;
/// How long after its end a run's record is retained, in milliseconds.
const RECORD_RETENTION_MS: u64 = 30 * 86_400_000;
/// Time between two searches, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 5_000;
/// Chunks of definitions removed at once, at most.
const MAX_REMOVED_CHUNKS: usize = 8;

/// The search for what is no longer retained, and the removal in flight.
#[derive(Default)]
pub(super) struct Retention {
    searched_at: MonotonicMillis,
    is_removing: bool,
}

impl DagRuns {
    /// Removes chunks of definitions, or else one record, whose retention is over.
    pub fn remove_ended(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        if self.retention.is_removing || now.since(self.retention.searched_at) < SEARCH_INTERVAL_MS
        {
            return;
        }
        self.retention.searched_at = now;
        let wall = context.effects.wall_ms;
        let is_over = |record: &RunRecord, retention_ms: u64| {
            let ended = record.ended;
            ended.is_some_and(|at| wall.saturating_sub(at.0) > retention_ms)
        };
        let records = &context.records;
        let max_chunks = context.storage_limits.txn_ops.min(MAX_REMOVED_CHUNKS);
        let chunks = records.plan_chunks.keys().filter(|key| {
            let record = records.runs.get(&key.owner).map(|v| &v.value);
            record.is_some_and(|r| is_over(r, DEFINITION_RETENTION_MS))
        });
        let mut keys: Vec<String> = chunks
            .map(|key| plan_key(&key.owner, &key.hash, key.chunk))
            .take(max_chunks)
            .collect();
        let mut swap = CompareAndSwap::default();
        let mut runs = records.runs.iter();
        if keys.is_empty()
            && let Some((run, v)) = runs.find(|(_, v)| is_over(&v.value, RECORD_RETENTION_MS))
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

    /// Handles the outcome of such a removal.
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
