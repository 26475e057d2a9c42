//! The capacity index against a plain scan of all machines, for generated machines, jobs and orders of events.

use proptest::prelude::*;
use snowshelf_machine_index::capacity_index::CapacityIndex;
use snowshelf_machine_index::unplaceable::{Shape, UnplaceableShapes};
use snowshelf_model::records::Resources;

/// A machine of the plain model: its class, what is free, the images it has or fetches.
#[derive(Clone, Debug)]
struct Plain {
    class: u8,
    free: Resources,
    images: Vec<u32>,
}

/// A job to be placed: the classes it may use, its task, its image, whether it runs only where that is,
/// how many tasks it starts, and a machine that it is barred from.
type Request = (Vec<bool>, Resources, u32, bool, usize, Option<usize>);

fn resources(most: u32) -> impl Strategy<Value = Resources> {
    (0..=most, 0..2u32, 0..=most).prop_map(|(cpus, gpus, mem)| Resources {
        cpus: f64::from(cpus) / 2.0,
        gpus: f64::from(gpus),
        mem: f64::from(mem),
    })
}

fn machine() -> impl Strategy<Value = Plain> {
    (0..4u8, resources(16), prop::collection::vec(0..4u32, 0..3)).prop_map(
        |(class, free, images)| Plain {
            class,
            free,
            images,
        },
    )
}

fn request() -> impl Strategy<Value = Request> {
    (
        prop::collection::vec(any::<bool>(), 4),
        resources(6),
        0..4u32,
        any::<bool>(),
        1..4usize,
        prop::option::weighted(0.2, 0..20usize),
    )
}

proptest! {
    /// Guards against a pass that starts other tasks on other machines than a scan of all of them for every
    /// job would: each job, one after the other, finds the same machines in the same order, though
    /// classes are passed over and shapes that found nothing are not tried again.
    #[test]
    fn fitting_machines_equal_a_scan_of_all(
        machines in prop::collection::vec(machine(), 0..20),
        requests in prop::collection::vec(request(), 0..60),
    ) {
        let mut plain = machines.clone();
        let mut capacity_index: CapacityIndex<u8, Vec<u32>> = CapacityIndex::default();
        for m in machines {
            capacity_index.push(|k| *k == m.class, || m.class, m.free, m.images);
        }
        let mut unplaceable = UnplaceableShapes::default();
        for (classes, task, image, needs_image, tasks, barred) in requests {
            let expected: Vec<usize> = (0..plain.len())
                .filter(|at| {
                    let m = &plain[*at];
                    let allowed = classes[usize::from(m.class)] && barred != Some(*at);
                    let there = !needs_image || m.images.contains(&image);
                    allowed && there && task.fits_in(m.free)
                })
                .collect();
            let allowed = capacity_index.allowed(|class| classes[usize::from(*class)]);
            let shape = Shape::new(task, allowed.clone(), needs_image.then_some(image));
            if allowed.is_empty() || unplaceable.contains(&shape) {
                prop_assert!(expected.is_empty(), "missed {expected:?}");
                continue;
            }
            let mut found = capacity_index.fitting(task, &allowed);
            found.retain(|at| {
                let there = capacity_index.entries()[*at].machine.contains(&image);
                barred != Some(*at) && (!needs_image || there)
            });
            prop_assert_eq!(&found, &expected);
            if found.is_empty() && barred.is_none() {
                unplaceable.insert(shape);
            }
            for at in found.into_iter().take(tasks) {
                capacity_index.allocate(at, task);
                plain[at].free.sub(task);
                if !plain[at].images.contains(&image) {
                    plain[at].images.push(image);
                    capacity_index.machine_mut(at).push(image);
                    unplaceable.image_pull_started(image);
                }
            }
        }
    }

    /// Guards against a machine that is in no class or in another's, whatever is free there.
    #[test]
    fn classes_hold_each_machine_once(
        machines in prop::collection::vec(machine(), 0..20),
        image in 0..4u32,
    ) {
        let mut capacity_index: CapacityIndex<u8, Vec<u32>> = CapacityIndex::default();
        let mut expected: Vec<(u8, bool)> = Vec::new();
        for m in machines {
            expected.push((m.class, m.images.contains(&image)));
            capacity_index.push(|k| *k == m.class, || m.class, m.free, m.images);
        }
        let all = capacity_index.allowed(|_| true);
        let sizes: Vec<(u8, usize)> = capacity_index.class_sizes(&all).map(|(k, n)| (*k, n)).collect();
        let listed: Vec<(u8, usize)> = capacity_index.classes().map(|(k, m)| (*k, m.count())).collect();
        prop_assert_eq!(listed, sizes);
        let found = capacity_index.classes().flat_map(|(k, m)| m.map(|e| (*k, e.machine.contains(&image))));
        let mut found: Vec<(u8, bool)> = found.collect();
        found.sort_unstable();
        expected.sort_unstable();
        prop_assert_eq!(found, expected);
    }
}
