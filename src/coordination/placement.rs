//! Bin packing of tasks onto machines: the Weighted heuristic (section 3, equation 1 of the paper).
//!
//! Machines are taken in non-decreasing `R_i = sum_k w_k * imp_ik`; `imp` is what stays free after
//! fitting as many of the job's tasks as go, and
//! `w_k = (estimate-weighted mean request of queued jobs * allocated / capacity) / capacity`.

use crate::settings::Objective;
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::records::{JobSpec, Resources};
use std::collections::BTreeMap;

/// The patience of a job whose deadline is near or past, at the least.
const MIN_DEADLINE_PATIENCE_S: f64 = 1.0;
/// The patience of a job without objectives and deadline, at the least.
const MIN_PATIENCE_S: f64 = 30.0;

/// What the weights of resources are computed from.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Resources in use on all machines.
    pub allocated: Resources,
    /// Resources of all machines.
    pub capacity: Resources,
}

/// The estimate in seconds that a job is counted with.
pub fn estimate(spec: &JobSpec, default_s: f64) -> f64 {
    if spec.estimate_s > 0.0 {
        spec.estimate_s
    } else {
        default_s
    }
}

/// How fast the slowest of these machine types fetches an image, in GB a second.
pub fn slowest_fetch<'a>(types: impl Iterator<Item = &'a MachineType>) -> f64 {
    let rates = types.map(|t| t.fetch_gb_per_s).filter(|r| *r > 0.0);
    rates.fold(f64::INFINITY, f64::min)
}

/// How many objectives a job that starts at this age cannot meet any more, having waited for its dependencies before.
pub fn missed_objectives(
    spec: &JobSpec,
    objectives: &[Objective],
    age_s: f64,
    blocked_s: f64,
) -> usize {
    let limits = objectives
        .iter()
        .filter(|o| o.class.as_deref() == Some(spec.class.as_str()))
        .filter_map(|o| match o.kind.as_str() {
            "wait" => o.within_s,
            "finished" => o.within_s.map(|w| w - spec.estimate_s),
            _ => None,
        });
    // A deadline is the job's own, and its estimate often wrong: not past before it is past.
    let deadline = spec.deadline_s.map(|d| d - blocked_s);
    limits.chain(deadline).filter(|w| age_s > *w).count()
}

/// How long the tasks of a job may wait for machines, in seconds, by the objectives for its class and its deadline,
/// having waited for its dependencies before.
pub fn patience_s(spec: &JobSpec, objectives: &[Objective], blocked_s: f64) -> f64 {
    let limits = objectives
        .iter()
        .filter(|o| o.kind == "wait" && o.class.as_deref() == Some(spec.class.as_str()))
        .filter_map(|o| o.within_s);
    let deadline = spec
        .deadline_s
        .map(|d| (d - blocked_s - spec.estimate_s).max(MIN_DEADLINE_PATIENCE_S));
    let least = limits.chain(deadline).fold(f64::INFINITY, f64::min);
    if least.is_finite() {
        least
    } else {
        spec.estimate_s.max(MIN_PATIENCE_S)
    }
}

/// The weight of each resource: how critical it is.
pub fn resource_weights<'a>(
    queued: impl Iterator<Item = &'a JobSpec>,
    default_s: f64,
    load: Load,
) -> Resources {
    let mut sum = Resources::default();
    let mut total_s = 0.0;
    for spec in queued {
        let estimate_s = estimate(spec, default_s);
        sum.add(spec.resources.times(estimate_s));
        total_s += estimate_s;
    }
    if total_s <= 0.0 {
        return Resources::default();
    }
    let weight = |sum: f64, allocated: f64, capacity: f64| {
        if capacity > 0.0 {
            sum / total_s * (allocated / capacity) / capacity
        } else {
            0.0
        }
    };
    Resources {
        cpus: weight(sum.cpus, load.allocated.cpus, load.capacity.cpus),
        gpus: weight(sum.gpus, load.allocated.gpus, load.capacity.gpus),
        mem: weight(sum.mem, load.allocated.mem, load.capacity.mem),
    }
}

/// How near a machine is to having a job's image, best first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum ImageState {
    /// The machine has it.
    Cached,
    /// It is being fetched for another task: one fetch serves both.
    Fetching,
    /// It would have to be fetched.
    Absent,
}

/// A machine as placement sees it.
#[derive(Clone, Debug)]
pub struct MachineCandidate {
    /// The resources that are free.
    pub free: Resources,
    /// The index of its zone.
    pub zone: usize,
    /// Whether other jobs need this kind of machine and this one does not.
    pub scarce: bool,
    /// Most tasks that may be placed here now.
    pub max_tasks: u32,
    /// How near it is to having the job's image.
    pub image: ImageState,
    /// Images being fetched here, which share bandwidth.
    pub active_fetches: usize,
    /// For a job that cannot wait: when a task could run here, in steps too small to matter.
    pub start_delay: u32,
}

/// The rank of a machine: what stays free of it once as many of `wanted` tasks are placed as fit, weighted.
fn rank(weights: Resources, free: Resources, task: Resources, wanted: u32) -> f64 {
    let fitting = task.count_in(free).min(wanted);
    let mut rest = free;
    rest.sub(task.times(f64::from(fitting)));
    weights.cpus * rest.cpus + weights.gpus * rest.gpus + weights.mem * rest.mem
}

/// The rule for the zones of a job's tasks, and where they are now.
#[derive(Clone, Debug, Default)]
pub struct ZoneRule {
    /// Whether all tasks must be in one zone.
    pub gang: bool,
    /// Most tasks that one zone may have.
    pub max_per_zone: Option<u32>,
    /// Tasks that may be on machines, by zone.
    pub tasks_by_zone: BTreeMap<usize, u32>,
}

/// Stands for the index of a zone that is not known, or not named by the settings.
pub(crate) const UNKNOWN_ZONE: usize = usize::MAX;

impl ZoneRule {
    /// Counts tasks that may be on machines of a zone; `None`: of a zone not known yet, as after a failover, so that
    /// they may be in any.
    pub fn add_tasks(&mut self, zone: Option<usize>, tasks: u32) {
        if let (None, Some(max_per_zone)) = (zone, &mut self.max_per_zone) {
            *max_per_zone = max_per_zone.saturating_sub(tasks);
        } else {
            let zone = zone.unwrap_or(UNKNOWN_ZONE);
            *self.tasks_by_zone.entry(zone).or_default() += tasks;
        }
    }

    /// How many more tasks a zone may have.
    fn remaining(&self, zone: usize) -> u32 {
        let here = self.tasks_by_zone.get(&zone).copied().unwrap_or(0);
        let elsewhere = self.tasks_by_zone.iter().any(|(z, n)| *z != zone && *n > 0);
        if self.gang && elsewhere {
            return 0;
        }
        self.max_per_zone
            .map_or(u32::MAX, |most| most.saturating_sub(here))
    }
}

/// A candidate with what it is ordered by.
struct RankedCandidate {
    /// Scarce; delay of the start; state of the image; fetches to wait for: the least goes first.
    class: (bool, u32, ImageState, usize),
    rank: f64,
    fitting: u32,
    index: usize,
}

/// The candidates on which a task fits, in the order in which they are taken.
fn ranked_candidates(
    task: Resources,
    wanted: u32,
    candidates: &[MachineCandidate],
    weights: Resources,
) -> Vec<RankedCandidate> {
    let fitting = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| c.max_tasks > 0 && task.fits_in(c.free));
    let mut ranked: Vec<RankedCandidate> = fitting
        .map(|(index, c)| {
            let fetches = match c.image {
                ImageState::Cached => 0,
                ImageState::Fetching | ImageState::Absent => c.active_fetches,
            };
            RankedCandidate {
                class: (c.scarce, c.start_delay, c.image, fetches),
                rank: rank(weights, c.free, task, wanted),
                fitting: task.count_in(c.free).min(wanted),
                index,
            }
        })
        .collect();
    ranked.sort_by(|a, b| {
        a.class
            .cmp(&b.class)
            .then(a.rank.total_cmp(&b.rank))
            .then(b.fitting.cmp(&a.fitting))
            .then(a.index.cmp(&b.index))
    });
    ranked
}

/// The zone that takes the most tasks of a job.
fn largest_zone(
    task: Resources,
    ranked: &[RankedCandidate],
    candidates: &[MachineCandidate],
) -> Option<usize> {
    let mut by_zone = BTreeMap::<usize, u64>::new();
    for candidate in ranked.iter().map(|r| &candidates[r.index]) {
        let tasks = task.count_in(candidate.free).min(candidate.max_tasks);
        *by_zone.entry(candidate.zone).or_default() += u64::from(tasks);
    }
    let largest = by_zone.iter().max_by_key(|(_, tasks)| **tasks);
    largest.map(|(zone, _)| *zone)
}

/// Chooses machines for up to `wanted` tasks: pairs of a candidate's index and a number of tasks, in the order of rank.
///
/// Two exceptions to that order: machines that jobs with fewer choices need go last (as the paper's Balanced heuristic
/// does with critical resources), and machines that have the image, or are fetching it, go first, since a fetch often
/// takes longer than the task; where it must be fetched, those with fewer other fetches. Between equals the one that
/// takes more goes first.
pub fn choose_machines(
    task: Resources,
    wanted: u32,
    candidates: &[MachineCandidate],
    weights: Resources,
    zones: &mut ZoneRule,
) -> Vec<(usize, u32)> {
    let mut ranked = ranked_candidates(task, wanted, candidates, weights);
    if zones.gang && zones.tasks_by_zone.values().all(|n| *n == 0) {
        // The first task fixes the zone.
        if let Some(zone) = largest_zone(task, &ranked, candidates) {
            ranked.retain(|r| candidates[r.index].zone == zone);
        }
    }
    let mut remaining = wanted;
    let mut chosen = Vec::new();
    for RankedCandidate { index, .. } in ranked {
        if remaining == 0 {
            break;
        }
        let candidate = &candidates[index];
        let tasks = task
            .count_in(candidate.free)
            .min(candidate.max_tasks)
            .min(remaining)
            .min(zones.remaining(candidate.zone));
        if tasks > 0 {
            zones.add_tasks(Some(candidate.zone), tasks);
            chosen.push((index, tasks));
            remaining -= tasks;
        }
    }
    chosen
}
