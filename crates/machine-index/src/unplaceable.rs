//! Task shapes that fit on no machine in a placement pass. Free resources only shrink during a pass,
//! so that tasks of the same shape need not be tried again.

use crate::capacity_index::AllowedClasses;
use snowshelf_model::records::Resources;
use std::collections::HashSet;

/// The properties of tasks that determine on which machines they fit.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct TaskShape {
    /// Bit patterns of the required CPUs, GPUs and memory, so that the shape can be hashed.
    resources: [u64; 3],
    allowed: AllowedClasses,
    /// If set, only machines that have this image or are pulling it are considered.
    image: Option<u32>,
}

impl TaskShape {
    /// Creates the shape of tasks. With an `image`, the tasks may only run on machines that have the
    /// image or are pulling it.
    #[must_use]
    pub fn new(resources: Resources, allowed: AllowedClasses, image: Option<u32>) -> TaskShape {
        let resources = [resources.cpus, resources.gpus, resources.mem].map(f64::to_bits);
        TaskShape {
            resources,
            allowed,
            image,
        }
    }
}

/// The task shapes that fit on no machine.
#[derive(Default, Debug)]
pub struct UnplaceableShapes(HashSet<TaskShape>);

impl UnplaceableShapes {
    /// Whether a shape is known to fit on no machine.
    #[must_use]
    pub fn contains(&self, shape: &TaskShape) -> bool {
        self.0.contains(shape)
    }

    /// Records that a shape fits on no machine. Must not be called for a job that is excluded from
    /// machines that other jobs of this shape may use.
    pub fn insert(&mut self, shape: TaskShape) {
        self.0.insert(shape);
    }

    /// Removes the shapes that require an image, since a machine has started to pull it and may fit
    /// them now.
    pub fn image_pull_started(&mut self, image: u32) {
        self.0.retain(|s| s.image != Some(image));
    }
}
