//! The ordinary path of placement: the Weighted heuristic (section 3, equation 1 of the paper).
//!
//! Machines are taken in non-decreasing `R_i = sum_k w_k * imp_ik`; `imp` is what stays free after
//! fitting as many of the job's tasks as go, and
//! `w_k = (estimate-weighted mean request of queued jobs * booked / capacity) / capacity`.

use crate::settings::Objective;
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::records::{JobSpec, Resources};

/// What the weights are worked out from.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub booked: Resources,
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

/// How many aims a job that starts at this age cannot meet any more, having waited for others before.
pub fn missed(spec: &JobSpec, objectives: &[Objective], age_s: f64, waited_s: f64) -> usize {
    let aims = objectives
        .iter()
        .filter(|o| o.class.as_deref() == Some(spec.class.as_str()))
        .filter_map(|o| match o.kind.as_str() {
            "wait" => o.within_s,
            "finished" => o.within_s.map(|w| w - spec.estimate_s),
            _ => None,
        });
    // A deadline is the job's own, and its estimate often wrong: not past before it is past.
    let deadline = spec.deadline_s.map(|d| d - waited_s);
    aims.chain(deadline).filter(|w| age_s > *w).count()
}

/// How long the tasks of a job may wait for room, by the aims for its class and its deadline, having
/// waited for other jobs before.
pub fn patience_s(spec: &JobSpec, objectives: &[Objective], waited_s: f64) -> f64 {
    let aims = objectives
        .iter()
        .filter(|o| o.kind == "wait" && o.class.as_deref() == Some(spec.class.as_str()))
        .filter_map(|o| o.within_s);
    let deadline = spec
        .deadline_s
        .map(|d| (d - waited_s - spec.estimate_s).max(1.0));
    let least = aims.chain(deadline).fold(f64::INFINITY, f64::min);
    if least.is_finite() {
        least
    } else {
        spec.estimate_s.max(30.0)
    }
}

/// The criticality of each resource.
pub fn weights<'a>(
    queued: impl Iterator<Item = &'a JobSpec>,
    default_s: f64,
    load: Load,
) -> Resources {
    let mut sum = Resources::default();
    let mut total = 0.0;
    for spec in queued {
        let est = estimate(spec, default_s);
        sum.add(spec.resources.times(est));
        total += est;
    }
    if total <= 0.0 {
        return Resources::default();
    }
    let weight = |sum: f64, booked: f64, capacity: f64| {
        if capacity > 0.0 {
            sum / total * (booked / capacity) / capacity
        } else {
            0.0
        }
    };
    Resources {
        cpus: weight(sum.cpus, load.booked.cpus, load.capacity.cpus),
        gpus: weight(sum.gpus, load.booked.gpus, load.capacity.gpus),
        mem: weight(sum.mem, load.booked.mem, load.capacity.mem),
    }
}

/// How near a machine is to having a job's image, best first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Image {
    Cached,
    /// Being fetched for another task: one fetch serves both.
    Coming,
    Absent,
}

/// A machine as placement sees it.
#[derive(Clone, Debug)]
pub struct MachineCandidate {
    pub free: Resources,
    pub zone: usize,
    /// Others need this kind of machine and this job does not.
    pub spared: bool,
    /// Most tasks that may be put here now.
    pub cap: u32,
    /// What it would cost to have the image here.
    pub image: Image,
    /// Images being fetched here, which share one line.
    pub fetches: usize,
    /// For a job that cannot wait: when a task could run here, in steps too small to matter.
    pub delay: u32,
}

pub fn rank(weights: Resources, free: Resources, task: Resources, want: u32) -> f64 {
    let fit = task.count_in(free).min(want);
    let mut rest = free;
    rest.sub(task.times(f64::from(fit)));
    weights.cpus * rest.cpus + weights.gpus * rest.gpus + weights.mem * rest.mem
}

/// The zones' rule for a job's tasks: what is on machines now, by zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneRule {
    pub together: bool,
    /// Most tasks that one zone may hold.
    pub most: Option<u32>,
    /// Tasks possibly on machines, by zone.
    pub held: std::collections::BTreeMap<usize, u32>,
}

/// The zone of machines whose zone is not known.
const SOMEWHERE: usize = usize::MAX;

impl ZoneRule {
    /// Counts tasks that may be on machines of a zone; `None`: of a zone not known yet, as after a
    /// takeover, so that they may be in any.
    pub fn hold(&mut self, zone: Option<usize>, tasks: u32) {
        if let (None, Some(most)) = (zone, &mut self.most) {
            *most = most.saturating_sub(tasks);
        } else {
            *self.held.entry(zone.unwrap_or(SOMEWHERE)).or_default() += tasks;
        }
    }

    fn room(&self, zone: usize) -> u32 {
        let here = self.held.get(&zone).copied().unwrap_or(0);
        let elsewhere = self.held.iter().any(|(z, n)| *z != zone && *n > 0);
        if self.together && elsewhere {
            return 0;
        }
        self.most.map_or(u32::MAX, |most| most.saturating_sub(here))
    }
}

/// Chooses seats for up to `want` tasks: pairs of seat and count, in the order of rank.
/// Two exceptions to that order: machines that jobs with fewer choices need go last (as the paper's
/// Balanced heuristic does with critical resources), and machines that have the image, or are
/// fetching it, go first, since a fetch often takes longer than the task; where it must be fetched,
/// those with fewer other fetches. Between equals the one that takes more goes first.
pub fn place(
    task: Resources,
    want: u32,
    seats: &[MachineCandidate],
    weights: Resources,
    zones: &mut ZoneRule,
) -> Vec<(usize, u32)> {
    let mut order: Vec<_> = seats
        .iter()
        .enumerate()
        .filter(|(_, seat)| seat.cap > 0 && task.fits_in(seat.free))
        .map(|(i, seat)| {
            let fit = task.count_in(seat.free).min(want);
            let rank = rank(weights, seat.free, task, want);
            let fetches = match seat.image {
                Image::Cached => 0,
                Image::Coming | Image::Absent => seat.fetches,
            };
            let first = (seat.spared, seat.delay, seat.image, fetches);
            (first, rank, std::cmp::Reverse(fit), i)
        })
        .collect();
    order.sort_by(|a, b| {
        a.0.cmp(&b.0)
            .then(a.1.total_cmp(&b.1))
            .then(a.2.cmp(&b.2))
            .then(a.3.cmp(&b.3))
    });
    if zones.together && zones.held.values().all(|n| *n == 0) {
        // The first task fixes the zone: choose the one that takes the most of the job.
        let mut by_zone = std::collections::BTreeMap::<usize, u64>::new();
        for (_, _, _, i) in &order {
            let n = task.count_in(seats[*i].free).min(seats[*i].cap);
            *by_zone.entry(seats[*i].zone).or_default() += u64::from(n);
        }
        if let Some(best) = by_zone.iter().max_by_key(|(_, n)| **n).map(|(z, _)| *z) {
            order.retain(|(_, _, _, i)| seats[*i].zone == best);
        }
    }
    let mut left = want;
    let mut chosen = Vec::new();
    for (_, _, _, i) in order {
        if left == 0 {
            break;
        }
        let seat = &seats[i];
        let n = task
            .count_in(seat.free)
            .min(seat.cap)
            .min(left)
            .min(zones.room(seat.zone));
        if n > 0 {
            *zones.held.entry(seat.zone).or_default() += n;
            chosen.push((i, n));
            left -= n;
        }
    }
    chosen
}
