//! A zone's workers and one controller that are cut off together from everything else: these workers still reach this
//! controller, and nothing else does.

use crate::{Event, Simulation};

impl Simulation {
    pub(crate) fn zone_cut_at(&mut self, from: u64, until: u64, zone: &'static str, node: usize) {
        self.apart_at(from, until, node);
        self.at(from, Event::ZoneCut(zone, node, true));
        self.at(until, Event::ZoneCut(zone, node, false));
    }

    pub(crate) fn zone_cut(&mut self, zone: &'static str, node: usize, on: bool) {
        self.injected.zone_cuts.retain(|cut| *cut != (zone, node));
        if on {
            self.injected.zone_cuts.push((zone, node));
        }
    }

    /// Whether a controller is cut off with a zone, from users and the cloud too.
    pub(crate) fn is_cut_off(&self, node: usize) -> bool {
        self.injected.zone_cuts.iter().any(|(_, n)| *n == node)
    }

    /// Whether nothing goes between the machines of a zone and a controller.
    pub(crate) fn is_between(&self, zone: &str, node: usize) -> bool {
        let cuts = self.injected.zone_cuts.iter();
        let apart = |(z, n): &(&str, usize)| (*z == zone) != (*n == node);
        self.cut.as_deref() == Some(zone) || self.deaf.contains(&node) || cuts.clone().any(apart)
    }
}
