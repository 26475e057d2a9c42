//! Dependency lists too long for a job's record: written as separate chunk records before the job's record.

use super::admission::PendingSubmission;
use super::{JobApi, JobApiRequest, JobReadPurpose};
use crate::coordination::context::{Context, KvRequest};
use crate::coordination::unavailable::Unavailable;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use snowshelf_model::ids::{JobId, Version};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{dependency_chunk_key, job_key};

/// A submission whose dependencies are being written in chunks. The chunks take effect only when the job's
/// record is written.
pub(super) struct ChunkedSubmission {
    pub(super) submission: PendingSubmission,
    pub(super) chunks: Vec<Vec<JobId>>,
    /// Number of chunks written.
    pub(super) written: usize,
    /// Number of chunks in the transaction in flight; 0 if there is none.
    pub(super) in_flight: usize,
}

impl JobApi {
    /// Writes the next dependency chunks of each chunked submission, one transaction at a time, provided that
    /// no job with its id has been accepted. A submission whose chunks are all written becomes ready to
    /// commit.
    pub fn write_dependency_chunks(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let mut complete = Vec::new();
        for (id, chunked) in &mut self.admission.chunked {
            if chunked.in_flight > 0 {
                continue;
            }
            let remaining = &chunked.chunks[chunked.written..];
            if remaining.is_empty() {
                complete.push(*id);
                continue;
            }
            let max_writes = context
                .kv
                .write_budget(now, RequestPriority::Admission)
                .min(context.storage_limits.txn_ops);
            let job = &chunked.submission.job;
            let mut swap = CompareAndSwap::default().compare(job_key(job), Version::default());
            for (i, chunk) in remaining.iter().enumerate().take(max_writes) {
                let key = dependency_chunk_key(job, (chunked.written + i) as u32);
                swap = swap.mutate(Mutation::put(key, chunk));
            }
            let writes = swap.mutations.len();
            if max_writes == 0
                || !context
                    .kv
                    .has_budget(now, RequestPriority::Admission, writes)
            {
                continue;
            }
            chunked.in_flight = writes;
            let request = KvRequest::JobApi(JobApiRequest::WriteDependencies(*id));
            context.kv.compare_and_swap(context.effects, request, &swap);
        }
        for id in complete {
            if let Some(mut chunked) = self.admission.chunked.remove(&id) {
                chunked.submission.chunk_count = chunked.chunks.len() as u32;
                chunked.submission.queued_at = now;
                self.admission.ready.push_back(chunked.submission);
            }
        }
    }

    /// Handles the outcome of a transaction that writes dependency chunks.
    pub(super) fn on_chunks_written(
        &mut self,
        id: u64,
        outcome: &SwapOutcome,
        context: &mut Context<'_>,
    ) {
        if let (SwapOutcome::Applied(_), Some(chunked)) =
            (outcome, self.admission.chunked.get_mut(&id))
        {
            chunked.written += std::mem::take(&mut chunked.in_flight);
            return;
        }
        let Some(ChunkedSubmission { submission, .. }) = self.admission.chunked.remove(&id) else {
            return;
        };
        for connection in submission.connections {
            if let SwapOutcome::Conflict(_) = outcome {
                self.read_job(
                    connection,
                    &submission.job,
                    JobReadPurpose::Resubmit,
                    context,
                );
            } else {
                // A repeated submission overwrites the chunks with the same values.
                let unavailable = Unavailable::StoreNotResponding.into();
                context.effects.respond(connection, unavailable);
            }
        }
    }
}
