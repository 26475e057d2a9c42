//! Bin packing of tasks onto machines with the Weighted heuristic (section 3, equation 1 of the paper).
//!
//! Machines are used in non-decreasing order of `R_i = sum_k w_k * imp_ik`. `imp_ik` is the amount of resource `k` that
//! stays free on machine `i` once as many of the job's tasks as fit are placed there, and
//! `w_k = (estimate-weighted mean request of queued jobs * allocated / capacity) / capacity`.

pub use super::zone_rule::ZoneRule;
use crate::settings::Objective;
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::records::{JobSpec, Resources};
use std::collections::BTreeMap;

/// Smallest wait limit of a job whose deadline is near or past.
const MIN_DEADLINE_WAIT_LIMIT_S: f64 = 1.0;
/// Smallest wait limit of a job without an objective or deadline.
const MIN_WAIT_LIMIT_S: f64 = 30.0;

/// Cluster-wide usage, from which the resource weights are computed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Resources in use on all machines.
    pub allocated: Resources,
    /// Resources of all machines.
    pub capacity: Resources,
}

/// A job's estimated run time in seconds: its owner's estimate, or `default_s` without one.
pub fn estimated_run_s(spec: &JobSpec, default_s: f64) -> f64 {
    if spec.estimate_s > 0.0 {
        spec.estimate_s
    } else {
        default_s
    }
}

/// The image fetch rate of the slowest of these machine types, in GB per second; infinite if no type has a rate.
pub fn slowest_fetch_gb_per_s<'a>(types: impl Iterator<Item = &'a MachineType>) -> f64 {
    let rates = types.map(|t| t.fetch_gb_per_s).filter(|r| *r > 0.0);
    rates.fold(f64::INFINITY, f64::min)
}

/// The number of objectives that a job misses if it starts at the age of `age_s`; its deadline counts as one.
/// `blocked_s` is the time that the job waited for its dependencies before.
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
    // The estimate is not subtracted from a deadline. Estimates are often wrong, so a deadline counts as missed only
    // once it has passed.
    let deadline = spec.deadline_s.map(|d| d - blocked_s);
    limits.chain(deadline).filter(|w| age_s > *w).count()
}

/// How long a job's tasks may wait for machines, in seconds, given the objectives for its class and its deadline.
/// `blocked_s` is the time that the job waited for its dependencies before.
pub fn wait_limit_s(spec: &JobSpec, objectives: &[Objective], blocked_s: f64) -> f64 {
    let limits = objectives
        .iter()
        .filter(|o| o.kind == "wait" && o.class.as_deref() == Some(spec.class.as_str()))
        .filter_map(|o| o.within_s);
    let deadline = spec
        .deadline_s
        .map(|d| (d - blocked_s - spec.estimate_s).max(MIN_DEADLINE_WAIT_LIMIT_S));
    let least = limits.chain(deadline).fold(f64::INFINITY, f64::min);
    if least.is_finite() {
        least
    } else {
        spec.estimate_s.max(MIN_WAIT_LIMIT_S)
    }
}

/// The weight of each resource, which grows with its scarcity and with the demand of the queued jobs.
pub fn resource_weights<'a>(
    queued: impl Iterator<Item = &'a JobSpec>,
    default_s: f64,
    load: Load,
) -> Resources {
    let mut sum = Resources::default();
    let mut total_s = 0.0;
    for spec in queued {
        let estimate_s = estimated_run_s(spec, default_s);
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

/// Whether a machine has a job's image, in order of preference.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum ImageState {
    /// The image is in the machine's cache.
    Cached,
    /// The image is being fetched for another task. One fetch serves both.
    Fetching,
    /// The image must be fetched.
    Absent,
}

/// A machine on which tasks of a job may be placed.
#[derive(Clone, Debug)]
pub struct MachineCandidate {
    /// Free resources.
    pub free: Resources,
    /// The index of the machine's zone.
    pub zone: usize,
    /// Whether the machine should be left to other jobs, which need its kind while this job does not.
    pub scarce: bool,
    /// Largest number of tasks that may be placed on the machine now.
    pub max_tasks: u32,
    /// Whether the machine has the job's image.
    pub image: ImageState,
    /// Number of images being fetched to the machine. Fetches share its bandwidth.
    pub active_fetches: usize,
    /// For an urgent job, the delay until a task could run on the machine, in steps so coarse that smaller
    /// differences do not matter; 0 for other jobs.
    pub start_delay: u32,
}

/// The rank `R_i` of a machine: the weighted resources that stay free once as many of `wanted` tasks as fit are placed.
fn rank(weights: Resources, free: Resources, task: Resources, wanted: u32) -> f64 {
    let fitting = task.count_in(free).min(wanted);
    let mut rest = free;
    rest.sub(task.times(f64::from(fitting)));
    weights.cpus * rest.cpus + weights.gpus * rest.gpus + weights.mem * rest.mem
}

/// The index of a zone that is unknown or not named in the settings.
pub(crate) const UNKNOWN_ZONE: usize = usize::MAX;

/// A candidate with its sort keys.
struct RankedCandidate {
    /// Whether the machine is scarce, the start delay, the image's state and the number of other fetches. The lowest
    /// goes first.
    preference: (bool, u32, ImageState, usize),
    rank: f64,
    fitting: u32,
    index: usize,
}

/// The candidates on which at least one task fits, best first.
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
                preference: (c.scarce, c.start_delay, c.image, fetches),
                rank: rank(weights, c.free, task, wanted),
                fitting: task.count_in(c.free).min(wanted),
                index,
            }
        })
        .collect();
    ranked.sort_by(|a, b| {
        a.preference
            .cmp(&b.preference)
            .then(a.rank.total_cmp(&b.rank))
            .then(b.fitting.cmp(&a.fitting))
            .then(a.index.cmp(&b.index))
    });
    ranked
}

/// The zone with room for the most tasks of a job.
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

/// Chooses machines for up to `wanted` tasks. Returns candidate indices and task counts, ordered by rank except:
/// - Scarce machines go last, as critical resources do in the paper's Balanced heuristic.
/// - Machines that have the image or are fetching it go first, since a fetch often takes longer than the task. Where
///   the image must be fetched, machines with fewer other fetches go first.
///
/// Among machines of equal rank, the one with room for more tasks goes first.
pub fn choose_machines(
    task: Resources,
    wanted: u32,
    candidates: &[MachineCandidate],
    weights: Resources,
    zones: &mut ZoneRule,
) -> Vec<(usize, u32)> {
    let mut ranked = ranked_candidates(task, wanted, candidates, weights);
    if zones.gang && zones.has_no_tasks() {
        // The first task determines the zone of all.
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
            .min(zones.remaining(&candidate.zone));
        if tasks > 0 {
            zones.add_tasks(Some(candidate.zone), tasks);
            chosen.push((index, tasks));
            remaining -= tasks;
        }
    }
    chosen
}
