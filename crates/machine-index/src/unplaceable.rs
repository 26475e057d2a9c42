//! What has found no machine in this pass: room only shrinks within it, so that tasks of the same size,
//! with the same machines open to them, need not look again.

use crate::capacity_index::AllowedClasses;
use snowshelf_model::records::Resources;
use std::collections::HashSet;

/// Tasks that find the same machines.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Shape {
    room: [u64; 3],
    allowed: AllowedClasses,
    /// Only machines that have this image, or are fetching it, count.
    image: Option<u32>,
}

impl Shape {
    pub fn new(room: Resources, allowed: AllowedClasses, image: Option<u32>) -> Shape {
        let room = [room.cpus, room.gpus, room.mem].map(f64::to_bits);
        Shape {
            room,
            allowed,
            image,
        }
    }
}

#[derive(Default, Debug)]
pub struct UnplaceableShapes(HashSet<Shape>);

impl UnplaceableShapes {
    pub fn is(&self, shape: &Shape) -> bool {
        self.0.contains(shape)
    }

    /// Notes that no machine was found; not for a job that is barred from machines open to others.
    pub fn note(&mut self, shape: Shape) {
        self.0.insert(shape);
    }

    /// A machine is about to fetch an image: whoever looks only for that may find one now.
    pub fn comes(&mut self, image: u32) {
        self.0.retain(|s| s.image != Some(image));
    }
}
