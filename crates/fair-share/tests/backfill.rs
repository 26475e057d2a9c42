//! Which machine is held for a task that finds no room.

use proptest::prelude::*;
use snowshelf_fair_share::backfill::{BackfillCandidate, covered, most, nearest};
use snowshelf_model::records::Resources;

fn room(most: f64) -> impl Strategy<Value = Resources> {
    (0.0..most, 0.0..most).prop_map(|(cpus, mem)| Resources {
        cpus,
        gpus: 0.0,
        mem,
    })
}

fn machine() -> impl Strategy<Value = BackfillCandidate> {
    (room(16.0), room(16.0)).prop_map(|(free, more)| {
        let mut in_time = free;
        in_time.add(more);
        BackfillCandidate { free, in_time }
    })
}

proptest! {
    /// Guards against a machine that is held though the task never fits there, and against one that has further to go
    /// than another.
    #[test]
    fn the_nearest_machine_that_ever_fits_is_held(
        task in room(20.0), machines in prop::collection::vec(machine(), 0..20),
    ) {
        let fits: Vec<usize> = (0..machines.len()).filter(|at| task.fits_in(machines[*at].in_time)).collect();
        let Some(held) = nearest(task, machines.iter().copied()) else {
            prop_assert!(fits.is_empty());
            return Ok(());
        };
        prop_assert!(fits.contains(&held));
        for at in fits {
            prop_assert!(covered(task, machines[at].free) <= covered(task, machines[held].free));
        }
        prop_assert_eq!(covered(task, machines[held].free) >= 1.0, task.fits_in(machines[held].free));
    }

    /// Guards against a part that holds most of its machines, and against one that holds none.
    #[test]
    fn few_machines_are_held(machines in 1..2_000usize) {
        prop_assert!(most(machines) >= 1 && most(machines) <= 1 + machines / 20);
        prop_assert_eq!(most(0), 0);
    }
}
