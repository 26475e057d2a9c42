//! The jobs that have an allocation in a shard, with an index by machine.

use super::job::{PendingChange, ShardJob};
use crate::coordination::context::Context;
use snowshelf_model::ids::{Attempt, JobId, MachineId, MonotonicMillis, ShardId, TaskIndex};
use snowshelf_model::records::{AllocationChange, AllocationChangeKind, ShardAllocation};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A started task of a job, with its attempt.
pub(super) type StartedTask = (JobId, TaskIndex, Attempt);

/// The jobs of a shard.
#[derive(Default)]
pub(super) struct JobTable {
    jobs: BTreeMap<JobId, ShardJob>,
    /// Jobs with started tasks in their desired state, by machine.
    by_machine: BTreeMap<MachineId, BTreeSet<JobId>>,
    /// Numbers of images, by name.
    image_ids: HashMap<String, u32>,
    last_change_id: u64,
}

impl JobTable {
    /// Returns the number of jobs.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether the shard has an allocation of this job.
    pub(super) fn contains_key(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns the allocation of a job.
    pub(super) fn get(&self, job: &JobId) -> Option<&ShardJob> {
        self.jobs.get(job)
    }

    /// Returns the allocation of a job for modification.
    pub(super) fn get_mut(&mut self, job: &JobId) -> Option<&mut ShardJob> {
        self.jobs.get_mut(job)
    }

    /// Iterates over all allocations in the order of job ids.
    pub(super) fn values(&self) -> impl Iterator<Item = &ShardJob> + '_ {
        self.jobs.values()
    }

    /// Iterates over all jobs and their allocations in the order of job ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&JobId, &ShardJob)> + '_ {
        self.jobs.iter()
    }

    /// Iterates over all jobs and their mutable allocations in the order of job ids.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&JobId, &mut ShardJob)> + '_ {
        self.jobs.iter_mut()
    }

    /// Iterates over the jobs that have started tasks on a machine in their desired state.
    pub(super) fn on_machine(
        &self,
        name: &MachineId,
    ) -> impl Iterator<Item = (&JobId, &ShardJob)> + '_ {
        let jobs = self.by_machine.get(name).into_iter().flatten();
        jobs.filter_map(|id| Some((id, self.jobs.get(id)?)))
    }

    /// Whether any task is started on a machine in the desired state.
    pub(super) fn has_tasks_on(&self, name: &MachineId) -> bool {
        self.by_machine.contains_key(name)
    }

    /// Returns the tasks that are started on a machine in the desired state.
    pub(super) fn tasks_on(&self, name: &MachineId) -> Vec<StartedTask> {
        let jobs = self.on_machine(name);
        let tasks = jobs.flat_map(|(id, j)| {
            let ranges = j.desired.started.get(name).into_iter();
            ranges
                .flat_map(snowshelf_model::task_ranges::TaskRanges::iter)
                .map(|(task, attempt)| (id.clone(), task, attempt))
        });
        tasks.collect()
    }

    /// Returns the machines that have started tasks in the desired state.
    pub(super) fn machines_in_use(&self) -> BTreeSet<MachineId> {
        self.jobs
            .values()
            .flat_map(|j| j.desired.started.keys().cloned())
            .collect()
    }

    /// Refreshes a job from the record cache. Returns the machines on which the job has started
    /// tasks now or had them before, or `None` if nothing changed.
    pub(super) fn refresh(
        &mut self,
        shard_id: ShardId,
        job: &JobId,
        context: &Context<'_>,
    ) -> Option<BTreeSet<MachineId>> {
        let allocation = context.records.allocations.get(&(shard_id, job.clone()));
        let record = context.records.jobs.get(job);
        let before: BTreeSet<MachineId> = match (allocation, record) {
            (Some(allocation), Some(record)) => {
                let spec = record.value.spec.as_ref();
                let image_id = spec.map_or(0, |s| self.image_id(&s.image));
                let known = self.jobs.contains_key(job);
                let entry = self.jobs.entry(job.clone()).or_insert_with(|| {
                    let ready = context.dependency_graph.is_ready(job, &record.value);
                    ShardJob::new(record, allocation, image_id, ready, context.effects.now)
                });
                if known
                    && record.version == entry.record_version
                    && allocation.version <= entry.allocation_version
                {
                    return None;
                }
                let before = entry.desired.started.keys().cloned().collect();
                entry.record = record.value.clone();
                entry.record_version = record.version;
                if allocation.version > entry.allocation_version {
                    entry.allocation_version = allocation.version;
                    entry.durable = allocation.value.clone();
                }
                entry.reapply_pending_changes();
                before
            }
            (None, _) => self.jobs.remove(job)?.desired.started.into_keys().collect(),
            // The job's record is not in the cache yet; its arrival triggers another refresh.
            (Some(_), None) => return None,
        };
        Some(self.reindex(job, &before))
    }

    /// Returns the number of an image, assigning the next one to a new image.
    fn image_id(&mut self, image: &str) -> u32 {
        if let Some(id) = self.image_ids.get(image) {
            return *id;
        }
        let id = self.image_ids.len() as u32;
        self.image_ids.insert(image.to_string(), id);
        id
    }

    /// Updates the index after the desired state of a job was replaced or removed. `before` names
    /// the machines on which it had started tasks. Returns all machines with started tasks of the
    /// job before or after.
    fn reindex(&mut self, job: &JobId, before: &BTreeSet<MachineId>) -> BTreeSet<MachineId> {
        let desired = self.jobs.get(job).map(|j| &j.desired);
        let after: BTreeSet<MachineId> = desired
            .into_iter()
            .flat_map(|d: &ShardAllocation| d.started.keys().cloned())
            .collect();
        for name in before.difference(&after) {
            self.remove_from_index(name, job);
        }
        for name in &after {
            let jobs = self.by_machine.entry(name.clone()).or_default();
            jobs.insert(job.clone());
        }
        before.union(&after).cloned().collect()
    }

    fn remove_from_index(&mut self, name: &MachineId, job: &JobId) {
        if let Some(jobs) = self.by_machine.get_mut(name) {
            jobs.remove(job);
            if jobs.is_empty() {
                self.by_machine.remove(name);
            }
        }
    }

    /// Applies a change to a job's desired state and queues it for writing. Returns whether the
    /// change applies.
    pub(super) fn apply(
        &mut self,
        now: MonotonicMillis,
        job: &JobId,
        change: AllocationChange,
    ) -> bool {
        let Some(entry) = self.jobs.get_mut(job) else {
            return false;
        };
        if !entry.desired.apply(&change) {
            return false;
        }
        self.last_change_id += 1;
        if entry.pending_changes.is_empty() {
            entry.pending_since = now;
        }
        let name = change.machine.clone();
        let starts = change.kind == AllocationChangeKind::Start;
        entry.pending_changes.push(PendingChange {
            id: self.last_change_id,
            applied_at: now,
            change,
        });
        if starts {
            entry.started_tasks += 1;
            let jobs = self.by_machine.entry(name).or_default();
            jobs.insert(job.clone());
        } else {
            entry.started_tasks = entry.started_tasks.saturating_sub(1);
            if !entry.desired.started.contains_key(&name) {
                self.remove_from_index(&name, job);
            }
        }
        true
    }

    /// Whether a start on this machine is not durable yet.
    pub(super) fn awaits_durable_start(&self, name: &MachineId) -> bool {
        self.on_machine(name).any(|(_, job)| {
            let Some(desired) = job.desired.started.get(name) else {
                return false;
            };
            let Some(durable) = job.durable.started.get(name) else {
                return true;
            };
            durable != desired && desired.iter().any(|(task, a)| durable.get(task) != Some(a))
        })
    }
}
