//! What has found no machine in a placement pass: free resources only shrink within it, so that tasks of the same size, with
//! the same machines open to them, need not be tried again.

use crate::capacity_index::AllowedClasses;
use snowshelf_model::records::Resources;
use std::collections::HashSet;

/// What makes tasks find the same machines.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Shape {
    /// CPUs, GPUs and memory, as bits.
    resources: [u64; 3],
    allowed: AllowedClasses,
    /// Only machines that have this image, or are fetching it, count.
    image: Option<u32>,
}

impl Shape {
    /// The shape of tasks with these needs; with an `image`, of tasks that run only where it is or is being fetched.
    #[must_use]
    pub fn new(resources: Resources, allowed: AllowedClasses, image: Option<u32>) -> Shape {
        let resources = [resources.cpus, resources.gpus, resources.mem].map(f64::to_bits);
        Shape {
            resources,
            allowed,
            image,
        }
    }
}

/// The shapes that have found no machine.
#[derive(Default, Debug)]
pub struct UnplaceableShapes(HashSet<Shape>);

impl UnplaceableShapes {
    /// Whether a shape has found no machine.
    #[must_use]
    pub fn contains(&self, shape: &Shape) -> bool {
        self.0.contains(shape)
    }

    /// Notes that a shape has found no machine; not for a job that is barred from machines open to others.
    pub fn insert(&mut self, shape: Shape) {
        self.0.insert(shape);
    }

    /// Notes that a machine is about to fetch an image: tasks that run only where it is may find that one now.
    pub fn image_pull_started(&mut self, image: u32) {
        self.0.retain(|s| s.image != Some(image));
    }
}
