//! A zone's workers and one controller that are partitioned together from everything else. These workers reach
//! only this controller, and it reaches only them.

use crate::{Event, Simulation};

impl Simulation {
    /// Schedules a partition of a zone and a controller.
    pub(crate) fn partition_zone_at(
        &mut self,
        from: u64,
        until: u64,
        zone: &'static str,
        node: usize,
    ) {
        self.isolate_from_kv_and_peers_at(from, until, node);
        self.schedule_at(from, Event::ZonePartition(zone, node, true));
        self.schedule_at(until, Event::ZonePartition(zone, node, false));
    }

    /// Begins or ends a partition.
    pub(crate) fn set_zone_partition(&mut self, zone: &'static str, node: usize, active: bool) {
        self.injected
            .zone_partitions
            .retain(|partition| *partition != (zone, node));
        if active {
            self.injected.zone_partitions.push((zone, node));
        }
    }

    /// Whether a controller is partitioned with a zone, which also separates it from users and the cloud.
    pub(crate) fn is_partitioned(&self, node: usize) -> bool {
        self.injected
            .zone_partitions
            .iter()
            .any(|(_, n)| *n == node)
    }

    /// Whether a zone's machines and a controller have no connection.
    pub(crate) fn is_blocked(&self, zone: &str, node: usize) -> bool {
        let partitions = self.injected.zone_partitions.iter();
        let separated = |(z, n): &(&str, usize)| (*z == zone) != (*n == node);
        self.isolated_zone.as_deref() == Some(zone)
            || self.unreachable_by_workers.contains(&node)
            || partitions.clone().any(separated)
    }
}
