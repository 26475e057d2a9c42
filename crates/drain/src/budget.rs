//! A team's disruption budget: how much of its work may be unavailable because of evictions, at a time and
//! within any stretch of time.
//!
//! Each team's evictions are charged to one record, `disrupt/<team>`. A shard leader writes a charge with a
//! compare-and-swap before it evicts, so the budget holds across all shards and through failovers.
//!
//! Towards what may be unavailable at a time, a charge counts until its tasks have left their machine
//! durably. From then on they count as unavailable tasks, like every task that was attempted before and is
//! not known to run again, whether it was evicted or lost. Towards what may be evicted within a stretch of
//! time, a charge counts longer, see `Ledger::recent_evictions`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snowshelf_model::ids::{JobId, MachineId, TaskIndex, Version, WallClockMillis};
use std::fmt;

/// How much of a team's work may be taken away on purpose.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    /// CPUs and tasks that may be away at once. What was lost by itself and waits counts first.
    #[schemars(range(min = 0.0, max = 1e9))]
    pub cpus: f64,
    pub tasks: u32,
    /// The stretch of time, in seconds, and what may be stopped in any such.
    #[schemars(range(min = 1.0, max = 86400.0))]
    pub stretch_s: f64,
    #[schemars(range(min = 0.0, max = 1e9))]
    pub stretch_cpus: f64,
    pub stretch_tasks: u32,
    /// The share of one job's tasks that may be away at once; one task always may.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub job_share: f64,
    /// The share of a service's replicas that must stay up.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub replicas_up: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            cpus: 100.0,
            tasks: 100,
            stretch_s: 300.0,
            stretch_cpus: 1_000.0,
            stretch_tasks: 1_000,
            job_share: 0.25,
            replicas_up: 0.9,
        }
    }
}

impl Budget {
    /// Checks the ranges of all fields; an error names the first invalid field and the reason.
    pub fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let amounts = [("cpus", self.cpus), ("stretch_cpus", self.stretch_cpus)];
        let shares = [
            ("job_share", self.job_share),
            ("replicas_up", self.replicas_up),
        ];
        for (field, amount) in amounts {
            if !(0.0..=1e9).contains(&amount) {
                return Err((field, "must be from 0 to 1e9"));
            }
        }
        for (field, share) in shares {
            if !(0.0..=1.0).contains(&share) {
                return Err((field, "must be from 0 to 1"));
            }
        }
        if !(1.0..=86_400.0).contains(&self.stretch_s) {
            return Err(("stretch_s", "must be from 1 to 86400"));
        }
        Ok(())
    }

    /// `stretch_s` in milliseconds.
    fn stretch_ms(&self) -> u64 {
        (self.stretch_s * 1000.0) as u64
    }
}

/// Permission to evict tasks of one job on one machine.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Charge {
    /// The machine on which the tasks run.
    #[serde(rename = "m")]
    pub machine: MachineId,
    /// The job of the tasks.
    #[serde(rename = "j")]
    pub job: JobId,
    /// How many tasks may be evicted.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// The charge covers the job's tasks on the machine from this number on.
    #[serde(rename = "f")]
    pub first_task: TaskIndex,
    /// CPUs of each task.
    #[serde(rename = "c")]
    pub cpus_per_task: f64,
    /// Oldest revision that can tell whether the tasks have left the machine. An older view of the records may
    /// not show them there yet.
    #[serde(rename = "r")]
    pub min_revision: Version,
}

/// Finished evictions of one interval of time: the end of the interval, CPUs, tasks.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct PastEvictions(pub WallClockMillis, pub f64, pub u32);

/// Intervals into which the history of one `stretch_s` is divided. An eviction leaves the history up to one
/// interval late.
const HISTORY_INTERVALS: u64 = 12;
/// Most charges in one record; keeps the record under 2 KiB.
pub const MAX_CHARGES: usize = 16;
/// Absorbs the rounding errors of repeated additions of CPUs.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A team's record of evictions, stored under `disrupt/<team>`.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// The budget that operators have set for the team; absent if the default of the settings applies.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<Budget>,
    /// Charges that are not settled yet.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub charges: Vec<Charge>,
    /// Evictions of settled charges, oldest first.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub history: Vec<PastEvictions>,
    /// Revision of the records when charges were last settled. An older view may still show their tasks on
    /// their machines, so unavailable work must not be computed from it.
    #[serde(rename = "s", default)]
    pub settled_revision: Version,
    /// CPUs evicted beyond the budget, by drains past their deadline, since the record was created.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub excess_cpus: f64,
}

fn is_zero(n: &f64) -> bool {
    *n == 0.0
}

/// A number of tasks, and the CPUs that they use together.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Amount {
    /// CPUs of all the tasks.
    pub cpus: f64,
    /// Number of tasks.
    pub tasks: u32,
}

impl Amount {
    /// Adds tasks that use `cpus_per_task` CPUs each.
    pub fn add(&mut self, tasks: u32, cpus_per_task: f64) {
        self.tasks = self.tasks.saturating_add(tasks);
        self.cpus += f64::from(tasks) * cpus_per_task;
    }
}

/// The disruption of a team and of one of its jobs, over all shards.
#[derive(Clone, Copy, Default, Debug)]
pub struct DisruptionState {
    /// The team's tasks that were attempted before and do not run again yet, for whatever reason, and those on
    /// machines that are silent or about to be interrupted.
    pub unavailable: Amount,
    /// The job's tasks that count as unavailable.
    pub job_unavailable: u32,
    /// All tasks of the job.
    pub job_tasks: u32,
    /// Replicas of a service that are known to run.
    pub job_up: u32,
    /// Whether the job is a service.
    pub is_service: bool,
}

/// A request to evict tasks of one job from one machine.
#[derive(Clone, Debug)]
pub struct EvictionRequest {
    /// The machine on which the tasks run.
    pub machine: MachineId,
    /// The job of the tasks.
    pub job: JobId,
    /// The numbers of the tasks, in ascending order.
    pub tasks: Vec<TaskIndex>,
    /// Version of the shard's allocation that places the tasks on the machine.
    pub allocation_version: Version,
    /// CPUs of each task.
    pub cpus_per_task: f64,
    /// Whether the eviction may exceed the budget.
    pub forced: bool,
}

/// The limit that allows no further eviction.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Shortfall {
    /// The team's unavailable tasks or CPUs have reached the budget.
    Concurrency,
    /// Evictions within the last `stretch_s` have reached the budget.
    Rate,
    /// The job's unavailable tasks have reached its share.
    JobShare,
    /// The service has no replicas to spare.
    Replicas,
    /// The ledger has no space for another charge, or has an open one for the same job and machine.
    LedgerFull,
    /// The view of the records is older than the last settled charge.
    StaleRecords,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Shortfall::Concurrency => "as much of its work is away as may be at once",
            Shortfall::Rate => "as much was stopped lately as may be in a stretch of time",
            Shortfall::JobShare => "as many tasks of one job are away as may be",
            Shortfall::Replicas => "as few replicas of a service are up as may be",
            Shortfall::StaleRecords => "what is away is not known yet",
            Shortfall::LedgerFull => "too many stops are underway at once",
        })
    }
}

/// A view of the stored allocations, as old as the record cache that it reads.
pub struct RecordView<'a> {
    /// Revision up to which the records have been read.
    pub revision: Version,
    /// Whether any task of a job, from the given number on, is recorded as started on a machine.
    pub has_started: &'a dyn Fn(&MachineId, &JobId, TaskIndex) -> bool,
    /// Version of the allocation that `has_started` reads. It may be newer than `revision`: a shard leader
    /// knows its own writes before the watch delivers them.
    pub allocation_version: &'a dyn Fn(&MachineId, &JobId) -> Version,
}

impl RecordView<'_> {
    /// Whether some tasks of a charge may still be on their machine.
    pub fn is_open(&self, charge: &Charge) -> bool {
        self.revision < charge.min_revision
            || (self.has_started)(&charge.machine, &charge.job, charge.first_task)
    }
}

impl Ledger {
    /// The budget in force: the team's own, or the default of the settings.
    pub fn budget(&self, default: &Budget) -> Budget {
        self.budget.unwrap_or(*default)
    }

    /// Tasks and CPUs of all charges whose tasks may still be on their machines.
    pub fn open_charges(&self, records: &RecordView) -> Amount {
        let mut open = Amount::default();
        for charge in self.charges.iter().filter(|c| records.is_open(c)) {
            open.add(charge.tasks, charge.cpus_per_task);
        }
        open
    }

    /// The sum of the evictions within the last `stretch_s` and of those that charges still permit. The
    /// stretch is extended by twice `skew_ms`, as clocks may differ by up to `skew_ms`. A charge counts until
    /// it is settled and for `stretch_s` from then on, as its tasks may have been evicted only then.
    pub fn recent_evictions(&self, budget: &Budget, now: WallClockMillis, skew_ms: u64) -> Amount {
        let from = now.0.saturating_sub(budget.stretch_ms() + 2 * skew_ms);
        let mut sum = Amount::default();
        for charge in &self.charges {
            sum.add(charge.tasks, charge.cpus_per_task);
        }
        for PastEvictions(_, cpus, tasks) in self.history.iter().filter(|p| p.0.0 > from) {
            sum.cpus += cpus;
            sum.tasks = sum.tasks.saturating_add(*tasks);
        }
        sum
    }

    /// The charge that covers tasks of a job on a machine; `None` if they may not be evicted.
    pub fn charge_for(&self, machine: &MachineId, job: &JobId) -> Option<&Charge> {
        let mut charges = self.charges.iter();
        charges.find(|c| c.machine == *machine && c.job == *job)
    }

    /// Charges as many of the requested tasks as the budget allows, at least one, and returns the new ledger.
    /// A forced request is charged in full, even beyond the budget. Tasks that are charged already are not
    /// charged again: while a charge for the same job and machine is open, a request fails, or replaces that
    /// charge if it is forced.
    ///
    /// # Errors
    /// The limit that allows none.
    pub fn charge(
        &self,
        default: &Budget,
        request: &EvictionRequest,
        state: &DisruptionState,
        records: &RecordView,
        now: WallClockMillis,
        skew_ms: u64,
    ) -> Result<Ledger, Shortfall> {
        let budget = self.budget(default);
        let mut next = self.clone();
        if records.revision < next.settled_revision {
            return Err(Shortfall::StaleRecords);
        }
        // The records show the tasks of settled charges as unavailable. More tasks of the same machine may then
        // be charged.
        next.settle(default, |c| !records.is_open(c), records, now, skew_ms);
        let existing = next.charges.iter().position(|c| {
            // An open charge has to finish first: only then is it known how many tasks are left.
            c.machine == request.machine && c.job == request.job
        });
        if existing.is_some() && !request.forced {
            return Err(Shortfall::LedgerFull);
        }
        if existing.is_none() && next.charges.len() >= MAX_CHARGES {
            return Err(Shortfall::LedgerFull);
        }
        let open = next.open_charges(records);
        let recent = next.recent_evictions(&budget, now, skew_ms);
        let allowed_by_cpus = |max: f64, used: f64| match request.cpus_per_task > 0.0 {
            true => ((max - used + ROUNDING_TOLERANCE) / request.cpus_per_task)
                .floor()
                .max(0.0) as u32,
            false => u32::MAX,
        };
        let job_charges = next.charges.iter().filter(|c| c.job == request.job);
        let job_charged: u32 = job_charges.map(|c| c.tasks).sum();
        let share = (budget.job_share * f64::from(state.job_tasks)).floor();
        let share = (share as u32).max(1);
        let min_replicas = (budget.replicas_up * f64::from(state.job_tasks)).ceil() as u32;
        let unavailable = (
            open.tasks.saturating_add(state.unavailable.tasks),
            open.cpus + state.unavailable.cpus,
        );
        let limits = [
            (
                Shortfall::Concurrency,
                allowed_by_cpus(budget.cpus, unavailable.1),
            ),
            (
                Shortfall::Concurrency,
                budget.tasks.saturating_sub(unavailable.0),
            ),
            (
                Shortfall::Rate,
                allowed_by_cpus(budget.stretch_cpus, recent.cpus),
            ),
            (
                Shortfall::Rate,
                budget.stretch_tasks.saturating_sub(recent.tasks),
            ),
            (
                Shortfall::JobShare,
                share.saturating_sub(job_charged.saturating_add(state.job_unavailable)),
            ),
            (
                Shortfall::Replicas,
                match state.is_service {
                    true => state
                        .job_up
                        .saturating_sub(job_charged.saturating_add(min_replicas)),
                    false => u32::MAX,
                },
            ),
        ];
        let (shortfall, limit) = limits
            .into_iter()
            .min_by_key(|(_, n)| *n)
            .unwrap_or((Shortfall::Concurrency, 0));
        let requested = request.tasks.len() as u32;
        let allowed = limit.min(requested);
        let tasks = if request.forced { requested } else { allowed };
        // The last tasks are evicted. Their order is fixed, so that a new shard leader finds the same ones.
        let first = requested.saturating_sub(tasks) as usize;
        let Some(first_task) = request.tasks.get(first).copied() else {
            return Err(shortfall);
        };
        if tasks > allowed {
            next.excess_cpus += f64::from(tasks - allowed) * request.cpus_per_task;
        }
        let charge = Charge {
            machine: request.machine.clone(),
            job: request.job.clone(),
            tasks,
            first_task,
            cpus_per_task: request.cpus_per_task,
            // The shard leader knows its own allocation before the watch delivers it.
            min_revision: records.revision.max(request.allocation_version),
        };
        match existing {
            Some(at) => next.charges[at] = charge,
            None => next.charges.push(charge),
        }
        Ok(next)
    }

    /// Adds finished evictions to the history.
    fn record_evictions(
        &mut self,
        budget: &Budget,
        tasks: u32,
        cpus: f64,
        now: WallClockMillis,
        skew_ms: u64,
    ) {
        let stretch_ms = budget.stretch_ms();
        let interval_ms = (stretch_ms / HISTORY_INTERVALS).max(1);
        // An interval is dated by its end, the latest time of its evictions.
        let end = WallClockMillis((now.0 / interval_ms + 1) * interval_ms);
        let oldest = now.0.saturating_sub(2 * stretch_ms + 4 * skew_ms);
        self.history.retain(|p| p.0.0 > oldest);
        match self.history.iter_mut().find(|p| p.0 == end) {
            Some(past) => {
                past.1 += cpus;
                past.2 = past.2.saturating_add(tasks);
            }
            None => self.history.push(PastEvictions(end, cpus, tasks)),
        }
        // Bounds the size of the record: the two oldest intervals are merged, dated by the later one.
        self.history.sort_by_key(|p| p.0);
        while self.history.len() as u64 > HISTORY_INTERVALS + 4 {
            let first = self.history.remove(0);
            self.history[0].1 += first.1;
            self.history[0].2 = self.history[0].2.saturating_add(first.2);
        }
    }

    /// Moves finished charges to the history, as evictions that happened by `now`. A charge is finished once its
    /// tasks have left the machine or can no longer be evicted under it. Returns whether there were any.
    pub fn settle(
        &mut self,
        default: &Budget,
        is_finished: impl Fn(&Charge) -> bool,
        records: &RecordView,
        now: WallClockMillis,
        skew_ms: u64,
    ) -> bool {
        let budget = self.budget(default);
        let (finished, open) = std::mem::take(&mut self.charges)
            .into_iter()
            .partition(is_finished);
        self.charges = open;
        let finished: Vec<Charge> = finished;
        for charge in &finished {
            let version = (records.allocation_version)(&charge.machine, &charge.job);
            self.settled_revision = self.settled_revision.max(records.revision).max(version);
        }
        for charge in &finished {
            let cpus = f64::from(charge.tasks) * charge.cpus_per_task;
            self.record_evictions(&budget, charge.tasks, cpus, now, skew_ms);
        }
        !finished.is_empty()
    }
}
