//! Whether a job can ever run: its shape against machine types and quotas, and its dependencies.

use crate::coordination::context::Context;
use snowshelf_model::ids::JobId;
use snowshelf_model::records::{Grant, JobKind, JobSpec};

/// Why a submission is rejected for good; its `Display` is the text that the user reads.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum RejectionReason {
    /// The deployment has no team of this name.
    #[error("unknown team")]
    UnknownTeam,
    /// A task needs more than any allowed machine type has.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
    /// The least that must run at once is more than the team's quota.
    #[error("the job needs more than the team's limit")]
    ExceedsQuota,
    /// Gang scheduling on one machine and anti-affinity exclude each other.
    #[error("the job must be both together and apart")]
    TogetherAndApart,
    /// The job is among its own dependencies.
    #[error("it needs itself")]
    DependsOnItself,
    /// A dependency is a service, which never completes.
    #[error("it needs a service, which is never done")]
    DependsOnService,
    /// A dependency has never been accepted.
    #[error("it needs a job that was never accepted")]
    UnknownDependency,
    /// The job's record would exceed the size of a value in the key-value store.
    #[error("its record would be too large")]
    RecordTooLarge,
}

/// Checks a job against the deployment's teams and machine types.
///
/// # Errors
/// The first reason for which it can never run.
pub fn check_feasible(spec: &JobSpec, context: &Context<'_>) -> Result<(), RejectionReason> {
    let mut teams = context.config.settings.deployment.teams.iter();
    let team = teams
        .find(|t| t.name == spec.team.as_str())
        .ok_or(RejectionReason::UnknownTeam)?;
    let fits = context.machine_types.values().any(|t| {
        spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && spec.resources.fits_in(t.capacity())
    });
    if !fits {
        return Err(RejectionReason::NoMachineType);
    }
    let concurrent_tasks = match spec.kind {
        JobKind::Batch => 1,
        JobKind::Service => spec.tasks,
    };
    let quota = Grant {
        cpus: team.cpus_max,
        gpus: team.gpus_max,
    };
    let least = spec.resources.times(f64::from(concurrent_tasks));
    if !quota.covers(Grant::from(least)) {
        return Err(RejectionReason::ExceedsQuota);
    }
    if spec.gang && spec.spread && spec.tasks > 1 {
        return Err(RejectionReason::TogetherAndApart);
    }
    Ok(())
}

/// Checks a job's dependencies, as far as the record cache has them.
///
/// # Errors
/// The reason for which they can never be met.
pub(super) fn check_dependencies(
    job: &JobId,
    dependencies: &[JobId],
    context: &Context<'_>,
) -> Result<(), RejectionReason> {
    let is_service = |dependency: &JobId| {
        let record = context.records.jobs.get(dependency).map(|v| &v.value);
        let spec = record.and_then(|r| r.spec.as_ref());
        spec.is_some_and(|s| s.kind == JobKind::Service)
    };
    if dependencies.contains(job) {
        Err(RejectionReason::DependsOnItself)
    } else if dependencies.iter().any(is_service) {
        Err(RejectionReason::DependsOnService)
    } else {
        Ok(())
    }
}
