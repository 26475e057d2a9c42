//! Compares the capacity index with a scan of all machines, for generated machines and jobs.

use proptest::prelude::*;
use snowshelf_machine_index::capacity_index::CapacityIndex;
use snowshelf_machine_index::unplaceable::{TaskShape, UnplaceableShapes};
use snowshelf_model::records::Resources;

/// A machine of the reference model, with the images that it has or is pulling.
#[derive(Clone, Debug)]
struct ReferenceMachine {
    class: u8,
    free: Resources,
    images: Vec<u32>,
}

/// A job to place: the classes that it may use, the resources of a task, the image, whether the image
/// must be on the machine, the number of tasks to start, and a machine that it is excluded from.
type PlacementRequest = (Vec<bool>, Resources, u32, bool, usize, Option<usize>);

fn resources(max: u32) -> impl Strategy<Value = Resources> {
    (0..=max, 0..2u32, 0..=max).prop_map(|(cpus, gpus, mem)| Resources {
        cpus: f64::from(cpus) / 2.0,
        gpus: f64::from(gpus),
        mem: f64::from(mem),
    })
}

fn machine() -> impl Strategy<Value = ReferenceMachine> {
    (0..4u8, resources(16), prop::collection::vec(0..4u32, 0..3)).prop_map(
        |(class, free, images)| ReferenceMachine {
            class,
            free,
            images,
        },
    )
}

fn request() -> impl Strategy<Value = PlacementRequest> {
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
    /// Guards against placements that differ, in their machines or in the order, from those of a scan
    /// of all machines for each job. Such a difference could come from skipped classes, or from
    /// shapes that are not tried again.
    #[test]
    fn fitting_returns_the_same_machines_as_a_scan(
        machines in prop::collection::vec(machine(), 0..20),
        requests in prop::collection::vec(request(), 0..60),
    ) {
        let mut reference = machines.clone();
        let mut capacity_index: CapacityIndex<u8, Vec<u32>> = CapacityIndex::default();
        for m in machines {
            capacity_index.push(|k| *k == m.class, || m.class, m.free, m.images);
        }
        let mut unplaceable = UnplaceableShapes::default();
        for (classes, task, image, needs_image, tasks, excluded) in requests {
            let expected: Vec<usize> = (0..reference.len())
                .filter(|at| {
                    let m = &reference[*at];
                    let allowed = classes[usize::from(m.class)] && excluded != Some(*at);
                    let has_image = !needs_image || m.images.contains(&image);
                    allowed && has_image && task.fits_in(m.free)
                })
                .collect();
            let allowed = capacity_index.allowed(|class| classes[usize::from(*class)]);
            let shape = TaskShape::new(task, allowed.clone(), needs_image.then_some(image));
            if allowed.is_empty() || unplaceable.contains(&shape) {
                prop_assert!(expected.is_empty(), "index found no machine, scan found {expected:?}");
                continue;
            }
            let mut found = capacity_index.fitting(task, &allowed);
            found.retain(|at| {
                let has_image = capacity_index.entries()[*at].machine.contains(&image);
                excluded != Some(*at) && (!needs_image || has_image)
            });
            prop_assert_eq!(&found, &expected);
            if found.is_empty() && excluded.is_none() {
                unplaceable.insert(shape);
            }
            for at in found.into_iter().take(tasks) {
                capacity_index.allocate(at, task);
                reference[at].free.sub(task);
                if !reference[at].images.contains(&image) {
                    reference[at].images.push(image);
                    capacity_index.machine_mut(at).push(image);
                    unplaceable.image_pull_started(image);
                }
            }
        }
    }

    /// Guards against machines that are in no class, in a wrong class, or in several classes.
    #[test]
    fn classes_contain_each_machine_once(
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
