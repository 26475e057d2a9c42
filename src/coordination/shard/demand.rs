//! What waits in a shard compared with its machines: which jobs find none here, and which machines no job needs.

use super::Shard;
use super::capacity::{CapacityIndex, MachineClass, MachineKind};
use super::job::ShardJob;
use crate::coordination::context::Context;
use snowshelf_model::ids::{JobId, WallClockMillis};
use snowshelf_model::records::{JobSpec, Resources};
use std::collections::BTreeSet;

/// Offers are updated this often: that looks at each job that waits.
const OFFERS_INTERVAL_MS: u64 = 1_000;
/// So many jobs are offered to the other shards at a time.
const MAX_OFFERS: usize = 20;
/// A job that no machine here could run is offered after so long; machines may be on their way.
const STRANDED_AFTER_MS: u64 = 10_000;
/// A job of which nothing is on a machine here is offered after so long: half of the time for which the users let a job
/// wait while there is capacity for it.
const OVERDUE_AFTER_MS: u64 = 45_000;

/// Why a job is offered to other shards, which steal it where it fits at once though others wait there: what is free
/// after a placement pass is free because it fits none of them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum StealOffer {
    /// No machine of its shard could run it.
    Stranded,
    /// Nothing of it is on a machine.
    Overdue,
}

/// What waits in a shard, matched with its machines.
#[derive(Default)]
pub(super) struct DemandMatch {
    /// Tasks wait that some machine here could run, were it empty.
    pub any: bool,
    /// Kinds of machines with free resources that nothing which waits here could use.
    pub idle: BTreeSet<MachineKind>,
    /// Jobs that other shards may steal from, those submitted first.
    pub offers: Vec<(JobId, StealOffer)>,
}

/// A machine class of which some machines are not faulty.
struct ClassCapacity<'a> {
    class: &'a MachineClass,
    /// What a machine has without tasks.
    total: Resources,
    /// Whether any machine has CPUs free.
    has_free: bool,
}

/// A job to offer, in the order of submission.
type Offer<'a> = (WallClockMillis, &'a JobId, StealOffer);

impl Shard {
    /// Matches what waits with the machines after a placement pass.
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

    /// Finds the waiting jobs that some machine could run, were it empty, and the machines that none of them could
    /// use. Guards against one job that is bound to a zone whose machines are full, and keeps the idle ones of another
    /// zone from everybody.
    fn match_demand(
        &self,
        index: &CapacityIndex,
        offers_due: bool,
        context: &Context<'_>,
    ) -> DemandMatch {
        let classes = class_capacities(index);
        let could_run = |spec: &JobSpec, c: &ClassCapacity<'_>| {
            spec.resources.fits_in(c.total) && self.is_eligible(spec, c.class, context)
        };
        let mut unwanted: Vec<&ClassCapacity<'_>> = classes.iter().collect();
        let mut wanted = BTreeSet::new();
        let mut offers: Vec<Offer<'_>> = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.is_waiting()) {
            let Some(spec) = job.spec() else { continue };
            if unwanted.is_empty() && !offers_due {
                break;
            }
            let stranded = !classes.iter().any(|c| could_run(spec, c));
            let offer = steal_offer(id, job, stranded, context);
            // What has begun of a bound job keeps the rest here.
            if job.started_tasks == 0 || !spec.zones_bound() {
                offers.extend(offer.map(|offer| (job.record.submitted, id, offer)));
            }
            if stranded {
                continue;
            }
            unwanted.retain(|c| {
                let wants = could_run(spec, c);
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
            idle: idle.filter(|kind| !wanted.contains(kind)).collect(),
            any: !wanted.is_empty(),
            offers: offers.map(|(_, id, offer)| (id.clone(), offer)).collect(),
        }
    }
}

fn class_capacities(index: &CapacityIndex) -> Vec<ClassCapacity<'_>> {
    let classes = index.classes().filter_map(|(class, machines)| {
        let mut working = machines.filter(|e| !e.machine.faulty).peekable();
        let total = working.peek()?.machine.total;
        Some(ClassCapacity {
            class,
            total,
            has_free: working.any(|e| e.free.cpus > 0.0),
        })
    });
    classes.collect()
}

fn steal_offer(
    id: &JobId,
    job: &ShardJob,
    stranded: bool,
    context: &Context<'_>,
) -> Option<StealOffer> {
    let waited_ms = context.waited_ms(id, &job.record);
    if stranded {
        (waited_ms >= STRANDED_AFTER_MS).then_some(StealOffer::Stranded)
    } else {
        let overdue = waited_ms >= OVERDUE_AFTER_MS && job.started_tasks == 0;
        overdue.then_some(StealOffer::Overdue)
    }
}
