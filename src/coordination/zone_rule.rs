//! A job's zone constraints, which placement and the autoscaler's plan both keep.

use snowshelf_model::records::JobSpec;
use std::collections::BTreeMap;

/// A job's zone constraints, and how its tasks are spread over the zones now. `Z` identifies a zone; placement uses
/// its index in the settings.
#[derive(Clone, Debug)]
pub struct ZoneRule<Z = usize> {
    /// Whether all tasks must be placed in the same zone.
    pub gang: bool,
    /// Largest number of tasks in one zone; `None` without a limit.
    pub max_per_zone: Option<u32>,
    /// Number of tasks that are or may be on machines, by zone.
    pub tasks_by_zone: BTreeMap<Z, u32>,
    /// Number of tasks that may be on machines of any zone.
    pub tasks_in_unknown_zone: u32,
}

impl<Z> Default for ZoneRule<Z> {
    fn default() -> Self {
        ZoneRule {
            gang: false,
            max_per_zone: None,
            tasks_by_zone: BTreeMap::new(),
            tasks_in_unknown_zone: 0,
        }
    }
}

impl<Z: Ord> ZoneRule<Z> {
    /// Returns the constraints of a job without tasks on machines.
    #[must_use]
    pub fn of(spec: &JobSpec) -> Self {
        ZoneRule {
            gang: spec.gang,
            max_per_zone: spec.spread.then(|| spec.tasks.div_ceil(2)),
            ..ZoneRule::default()
        }
    }

    /// Counts tasks that may be on machines of a zone. After a failover the zone may not be known yet (`None`): as the
    /// tasks may be in any zone, they count in every zone.
    pub fn add_tasks(&mut self, zone: Option<Z>, tasks: u32) {
        match zone {
            Some(zone) => *self.tasks_by_zone.entry(zone).or_default() += tasks,
            None => self.tasks_in_unknown_zone += tasks,
        }
    }

    /// Whether no task may be on a machine yet.
    #[must_use]
    pub fn has_no_tasks(&self) -> bool {
        self.tasks_in_unknown_zone == 0 && self.tasks_by_zone.values().all(|tasks| *tasks == 0)
    }

    /// Whether tasks may be placed in some zones and not in others.
    #[must_use]
    pub fn is_constrained(&self) -> bool {
        self.gang || self.max_per_zone.is_some()
    }

    /// The number of tasks that may still be placed in a zone.
    #[must_use]
    pub fn remaining(&self, zone: &Z) -> u32 {
        let others = self.tasks_by_zone.iter().filter(|(z, _)| *z != zone);
        let elsewhere = others.map(|(_, tasks)| *tasks).sum::<u32>() + self.tasks_in_unknown_zone;
        if self.gang && elsewhere > 0 {
            return 0;
        }
        let here = self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        self.max_per_zone.map_or(u32::MAX, |most| {
            most.saturating_sub(here + self.tasks_in_unknown_zone)
        })
    }
}
