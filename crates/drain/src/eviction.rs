//! Why a task is evicted, and which causes need a charge against the disruption budget first. Every eviction
//! is decided here and counted by its cause.

use serde::Serialize;

/// Why a task is evicted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EvictionCause {
    /// The job's owner cancelled it.
    Cancelled,
    /// The cloud is about to interrupt the machine.
    #[serde(rename = "notice")]
    Interruption,
    /// The machine is quarantined: tasks that start on it fail.
    #[serde(rename = "fault")]
    Quarantine,
    /// A maintenance window closes the machine's zone.
    #[serde(rename = "window")]
    MaintenanceWindow,
    /// The task has overrun its estimate on capacity reserved for others.
    #[serde(rename = "overrun")]
    Preemption,
    /// An operator's drain empties the machine.
    Drain,
    /// An operator's drain empties the machine, and its deadline has passed.
    ForcedDrain,
}

/// How the disruption budget applies to a cause.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BudgetPolicy {
    /// No budget applies: the owner asked for it.
    Exempt,
    /// The eviction cannot wait for the budget. The task counts as unavailable afterwards, ahead of any new
    /// charge.
    Immediate,
    /// The eviction waits until the budget allows it and the charge is durable.
    WithinBudget,
    /// The charge must be durable but may exceed the budget; the excess is counted.
    MayExceedBudget,
}

impl EvictionCause {
    /// How the disruption budget applies to this cause.
    pub fn budget_policy(self) -> BudgetPolicy {
        match self {
            EvictionCause::Cancelled => BudgetPolicy::Exempt,
            EvictionCause::Interruption
            | EvictionCause::Quarantine
            | EvictionCause::MaintenanceWindow
            | EvictionCause::Preemption => BudgetPolicy::Immediate,
            EvictionCause::Drain => BudgetPolicy::WithinBudget,
            EvictionCause::ForcedDrain => BudgetPolicy::MayExceedBudget,
        }
    }
}

/// The reasons to evict one task.
#[derive(Clone, Copy, Default, Debug)]
pub struct EvictionReasons {
    /// The job is cancelled.
    pub cancelled: bool,
    /// The cloud is about to interrupt the machine, and the task has to stop now.
    pub interrupted: bool,
    /// The machine is quarantined.
    pub quarantined: bool,
    /// A maintenance window closes the machine's zone.
    pub maintenance: bool,
    /// The task has overrun its estimate on reserved capacity.
    pub preempted: bool,
    /// A drain has cordoned the machine.
    pub cordoned: bool,
    /// The drain's deadline has passed, and it may exceed the budget.
    pub forced: bool,
    /// A durable charge covers the task.
    pub charged: bool,
}

/// The first cause for which the task may be evicted now; `None` if it keeps running.
pub fn eviction_cause(reasons: EvictionReasons) -> Option<EvictionCause> {
    let drain = match reasons.forced {
        true => EvictionCause::ForcedDrain,
        false => EvictionCause::Drain,
    };
    let causes = [
        (reasons.cancelled, EvictionCause::Cancelled),
        (reasons.interrupted, EvictionCause::Interruption),
        (reasons.quarantined, EvictionCause::Quarantine),
        (reasons.maintenance, EvictionCause::MaintenanceWindow),
        (reasons.preempted, EvictionCause::Preemption),
        (reasons.cordoned, drain),
    ];
    let causes = causes.into_iter().filter(|(applies, _)| *applies);
    let mut causes = causes.map(|(_, cause)| cause);
    causes.find(|cause| match cause.budget_policy() {
        BudgetPolicy::Exempt | BudgetPolicy::Immediate => true,
        BudgetPolicy::WithinBudget | BudgetPolicy::MayExceedBudget => reasons.charged,
    })
}
