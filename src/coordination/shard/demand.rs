//! Matches the waiting jobs of a shard with its machines: which jobs find no machine here, and
//! which machines no job could use.

use super::Shard;
use super::capacity::{CapacityIndex, MachineClass, MachineKind};
use super::job::ShardJob;
use crate::coordination::context::Context;
use crate::coordination::placement::UNKNOWN_ZONE;
use crate::coordination::zone_rule::ZoneRule;
use snowshelf_model::ids::{JobId, WallClockMillis};
use snowshelf_model::records::{JobSpec, Resources};
use std::collections::BTreeSet;

/// How often offers are updated; an update visits every waiting job.
const OFFERS_INTERVAL_MS: u64 = 1_000;
/// Maximum number of jobs offered to other shards at a time.
const MAX_OFFERS: usize = 20;
/// A job that no machine here could run is offered after this time; suitable machines may be on
/// their way.
const UNPLACEABLE_AFTER_MS: u64 = 10_000;
/// A job without any task on a machine here is offered after this time. It is half of the time that
/// users let a job wait while there is capacity for it.
const OVERDUE_AFTER_MS: u64 = 45_000;

/// Why a job is offered to other shards. A shard with room for an offered job steals it even if
/// jobs wait there: resources that are free after a placement pass fit none of the jobs waiting
/// there.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum StealOffer {
    /// No machine of its shard could run it.
    Unplaceable,
    /// It has waited long without any task on a machine.
    Overdue,
}

/// The result of matching waiting jobs with machines.
#[derive(Default)]
pub(super) struct DemandMatch {
    /// Some waiting job could run on a machine here if that machine were empty.
    pub placeable: bool,
    /// Kinds of machines with free resources that no job waiting here could use.
    pub idle_kinds: BTreeSet<MachineKind>,
    /// Jobs that other shards may steal from, in the order of submission.
    pub offers: Vec<(JobId, StealOffer)>,
}

/// A machine class with at least one working machine: one on which no task has failed since a task
/// last completed there.
struct ClassCapacity<'a> {
    class: &'a MachineClass,
    /// Resources of a machine without tasks.
    total: Resources,
    /// Whether any working machine has free CPUs.
    has_free: bool,
}

/// An offered job; sorts by submission time.
type Offer<'a> = (WallClockMillis, &'a JobId, StealOffer);

impl Shard {
    /// Updates the match of waiting jobs and machines after a placement pass.
    pub(super) fn update_demand(&mut self, index: &CapacityIndex, context: &Context<'_>) {
        let now = context.now();
        let offers_due = now.since(self.placement.offers_updated_at) >= OFFERS_INTERVAL_MS;
        let previous = std::mem::take(&mut self.placement.demand.offers);
        self.placement.demand = self.match_demand(index, offers_due, context);
        if offers_due {
            self.placement.offers_updated_at = now;
        } else {
            self.placement.demand.offers = previous;
        }
    }

    /// Finds the waiting jobs that could run on some machine if it were empty, given where their other tasks
    /// are, and the machines that none of them could use. Each machine kind is matched separately, so that a job bound to
    /// a zone with full machines does not keep idle machines of another zone from other jobs.
    fn match_demand(
        &self,
        index: &CapacityIndex,
        offers_due: bool,
        context: &Context<'_>,
    ) -> DemandMatch {
        let classes = class_capacities(index);
        let could_run = |spec: &JobSpec, zones: Option<&ZoneRule>, c: &ClassCapacity<'_>| {
            spec.resources.fits_in(c.total)
                && self.is_eligible(spec, c.class, context)
                && zones.is_none_or(|zones| {
                    c.class.zone != UNKNOWN_ZONE && zones.remaining(&c.class.zone) > 0
                })
        };
        let mut unwanted: Vec<&ClassCapacity<'_>> = classes.iter().collect();
        let mut wanted = BTreeSet::new();
        let mut offers: Vec<Offer<'_>> = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.is_waiting()) {
            let Some(spec) = job.spec() else { continue };
            if unwanted.is_empty() && !offers_due {
                break;
            }
            let zones = spec
                .is_zone_constrained()
                .then(|| self.zone_rule(job, spec));
            let unplaceable = !classes.iter().any(|c| could_run(spec, zones.as_ref(), c));
            let offer = steal_offer(id, job, unplaceable, context);
            // Once tasks of a zone-bound job have started here, its other tasks stay here.
            if job.started_tasks == 0 || !spec.is_zone_constrained() {
                offers.extend(offer.map(|offer| (job.record.submitted, id, offer)));
            }
            if unplaceable {
                continue;
            }
            unwanted.retain(|c| {
                let wants = could_run(spec, zones.as_ref(), c);
                if wants {
                    wanted.insert(c.class.kind());
                }
                !wants
            });
        }
        offers.sort_unstable();
        let offers = offers.into_iter().take(MAX_OFFERS);
        let free = unwanted.iter().filter(|c| c.has_free);
        let idle = free.map(|c| c.class.kind());
        DemandMatch {
            idle_kinds: idle.filter(|kind| !wanted.contains(kind)).collect(),
            placeable: !wanted.is_empty(),
            offers: offers.map(|(_, id, offer)| (id.clone(), offer)).collect(),
        }
    }
}

/// Returns the capacities of the machine classes. Classes without a working machine are left out: a
/// job that could run on no other class counts as unplaceable.
fn class_capacities(index: &CapacityIndex) -> Vec<ClassCapacity<'_>> {
    let classes = index.classes().filter_map(|(class, machines)| {
        let mut working = machines.filter(|e| !e.machine.has_failures).peekable();
        let total = working.peek()?.machine.total;
        Some(ClassCapacity {
            class,
            total,
            has_free: working.any(|e| e.free.cpus > 0.0),
        })
    });
    classes.collect()
}

/// Returns why a waiting job is to be offered to other shards now; `None` if it is not.
fn steal_offer(
    id: &JobId,
    job: &ShardJob,
    unplaceable: bool,
    context: &Context<'_>,
) -> Option<StealOffer> {
    let waited_ms = context.waited_ms(id, &job.record);
    if unplaceable {
        (waited_ms >= UNPLACEABLE_AFTER_MS).then_some(StealOffer::Unplaceable)
    } else {
        let overdue = waited_ms >= OVERDUE_AFTER_MS && job.started_tasks == 0;
        overdue.then_some(StealOffer::Overdue)
    }
}
