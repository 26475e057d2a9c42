//! Checks whether a job can ever run, given the machine types, its team's quota and its dependencies.

use crate::coordination::context::Context;
use snowshelf_model::ids::JobId;
use snowshelf_model::records::{Grant, JobKind, JobSpec};

/// Why a submission is rejected permanently; its `Display` is the error text of the response.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum RejectionReason {
    /// No team with this name is configured.
    #[error("unknown team")]
    UnknownTeam,
    /// A task needs more resources than any machine type that the job allows offers.
    #[error("a task fits no allowed machine type")]
    NoFittingMachineType,
    /// The tasks that must run concurrently need more than the team's quota.
    #[error("the job needs more than the team's limit")]
    ExceedsQuota,
    /// The job requests both gang scheduling on one machine and anti-affinity.
    #[error("the job must be both together and apart")]
    GangWithAntiAffinity,
    /// The job depends on itself.
    #[error("it needs itself")]
    DependsOnItself,
    /// A dependency is a service, which never completes.
    #[error("it needs a service, which is never done")]
    DependsOnService,
    /// A dependency has never been accepted.
    #[error("it needs a job that was never accepted")]
    UnknownDependency,
    /// The job's record would exceed the maximum size of a value in the key-value store.
    #[error("its record would be too large")]
    RecordTooLarge,
}

/// Checks a job against the configured teams and the machine types.
///
/// # Errors
/// Returns the first reason why the job can never run.
pub fn check_feasible(spec: &JobSpec, context: &Context<'_>) -> Result<(), RejectionReason> {
    let mut teams = context.config.settings.deployment.teams.iter();
    let team = teams
        .find(|t| t.name == spec.team.as_str())
        .ok_or(RejectionReason::UnknownTeam)?;
    let has_fitting_type = context.machine_types.values().any(|t| {
        spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && spec.resources.fits_in(t.capacity())
    });
    if !has_fitting_type {
        return Err(RejectionReason::NoFittingMachineType);
    }
    let concurrent_tasks = match spec.kind {
        JobKind::Batch => 1,
        JobKind::Service => spec.tasks,
    };
    let quota = Grant {
        cpus: team.cpus_max,
        gpus: team.gpus_max,
    };
    let required = spec.resources.times(f64::from(concurrent_tasks));
    if !quota.covers(Grant::from(required)) {
        return Err(RejectionReason::ExceedsQuota);
    }
    if spec.gang && spec.spread && spec.tasks > 1 {
        return Err(RejectionReason::GangWithAntiAffinity);
    }
    Ok(())
}

/// Checks a job's dependencies. One that is absent from the record cache passes.
///
/// # Errors
/// Returns the reason why a dependency can never be satisfied.
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
