//! The machine types that can be rented. The cluster leader reads them from the cloud and publishes them to all
//! controllers through the key-value store.

use super::Controller;
use crate::coordination::context::KvRequest;
use crate::storage::kv_client::{KvResponse, RequestPriority, SwapOutcome, unexpected_response};
use crate::storage::record_cache::{MACHINE_TYPES_KEY, RecordCache, RecordChange};
use snowshelf_model::ids::Version;
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::LEADER_KEY;
use std::collections::BTreeMap;

/// The published machine types.
#[derive(Default)]
pub(super) struct MachineTypes {
    by_name: BTreeMap<String, MachineType>,
    /// Whether a write of the published types is in flight.
    publishing: bool,
}

impl MachineTypes {
    pub(super) fn by_name(&self) -> &BTreeMap<String, MachineType> {
        &self.by_name
    }

    /// Whether the machine types have been read.
    pub(super) fn are_known(&self) -> bool {
        !self.by_name.is_empty()
    }

    /// Updates the types from the record cache.
    pub(super) fn refresh(&mut self, records: &RecordCache) {
        if let Some(types) = &records.machine_types {
            let types = types.value.iter();
            self.by_name = types.map(|t| (t.name.clone(), t.clone())).collect();
        }
    }
}

impl Controller {
    /// Publishes the machine types to all controllers if they have changed and this controller leads the cluster.
    pub(super) fn publish_machine_types(&mut self, types: Vec<MachineType>) {
        let env = &mut self.env;
        let published = env.records.machine_types.as_ref();
        let is_published = published.is_some_and(|v| *v.value == types);
        let value = serde_json::to_value(&types).unwrap_or_default();
        if !env.storage_limits.accepts(&value) {
            tracing::error!(
                types = types.len(),
                "machine types not published: value too large"
            );
            return;
        }
        if is_published
            || env.machine_types.publishing
            || !env
                .kv
                .has_budget(env.effects.now, RequestPriority::Admission, 1)
        {
            return;
        }
        let Some(fencing_token) = self.leases.cluster_fencing_token() else {
            return;
        };
        let version = published.map(|v| v.version).unwrap_or_default();
        let swap = CompareAndSwap::default()
            .compare(LEADER_KEY.to_string(), Version(fencing_token.0))
            .compare(MACHINE_TYPES_KEY.to_string(), version)
            .mutate(Mutation::put(MACHINE_TYPES_KEY.to_string(), &types));
        env.machine_types.publishing = true;
        let request = KvRequest::PublishMachineTypes(types);
        env.kv.compare_and_swap(&mut env.effects, request, &swap);
    }

    pub(super) fn on_machine_types_published(
        &mut self,
        types: &[MachineType],
        response: KvResponse,
    ) {
        let KvResponse::Swap(outcome) = response else {
            unexpected_response(&KvRequest::PublishMachineTypes(types.to_vec()));
            return;
        };
        self.env.machine_types.publishing = false;
        if let SwapOutcome::Applied(revision) = outcome {
            let value = serde_json::to_value(types).unwrap_or_default();
            self.env
                .records
                .apply(MACHINE_TYPES_KEY, Some(&value), revision);
            self.on_record_changes(vec![RecordChange::MachineTypes]);
        }
    }
}
