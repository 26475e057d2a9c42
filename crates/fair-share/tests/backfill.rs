//! Properties of the choice of the machine that is reserved for a task, and of the number of
//! reservations.

use proptest::prelude::*;
use snowshelf_fair_share::backfill::{
    BackfillCandidate, best_candidate, covered_fraction, max_reservations,
};
use snowshelf_model::records::Resources;

fn resources(max: f64) -> impl Strategy<Value = Resources> {
    (0.0..max, 0.0..max).prop_map(|(cpus, mem)| Resources {
        cpus,
        gpus: 0.0,
        mem,
    })
}

fn machine() -> impl Strategy<Value = BackfillCandidate> {
    (resources(16.0), resources(16.0)).prop_map(|(free, more)| {
        let mut eventually_free = free;
        eventually_free.add(more);
        BackfillCandidate {
            free,
            eventually_free,
        }
    })
}

proptest! {
    /// Guards against reserving a machine on which the task never fits, and against reserving one
    /// that has a smaller fraction of the required resources free than another.
    #[test]
    fn best_candidate_eventually_fits_and_covers_most(
        task in resources(20.0), machines in prop::collection::vec(machine(), 0..20),
    ) {
        let fits: Vec<usize> = (0..machines.len()).filter(|at| task.fits_in(machines[*at].eventually_free)).collect();
        let Some(reserved) = best_candidate(task, machines.iter().copied()) else {
            prop_assert!(fits.is_empty());
            return Ok(());
        };
        prop_assert!(fits.contains(&reserved));
        for at in fits {
            prop_assert!(covered_fraction(task, machines[at].free) <= covered_fraction(task, machines[reserved].free));
        }
        prop_assert_eq!(covered_fraction(task, machines[reserved].free) >= 1.0, task.fits_in(machines[reserved].free));
    }

    /// Guards against a shard that reserves most of its machines, and against one that reserves none.
    #[test]
    fn max_reservations_is_a_small_share_of_the_machines(machines in 1..2_000usize) {
        prop_assert!(max_reservations(machines) >= 1 && max_reservations(machines) <= 1 + machines / 20);
        prop_assert_eq!(max_reservations(0), 0);
    }
}
