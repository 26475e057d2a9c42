//! Which images a machine has, as far as its heartbeats tell.

use super::placement::ImageState;
use std::collections::BTreeSet;

/// An image in a machine's cache.
#[derive(Clone, Debug)]
struct CachedImage {
    id: u32,
    size_gb: f64,
}

/// The images on one machine: it caches those most recently used, as many as its local storage holds.
#[derive(Clone, Debug, Default)]
pub struct Images {
    /// The least recently used first.
    cached: Vec<CachedImage>,
    /// Images that tasks placed on the machine wait for.
    pub coming: BTreeSet<u32>,
}

impl Images {
    /// Notes that a task runs there with this image; `local_gb` is the storage for images.
    pub fn used(&mut self, image: u32, size_gb: f64, local_gb: f64) {
        self.cached.retain(|cached| cached.id != image);
        let cached = self.cached.iter().map(|cached| cached.size_gb);
        let mut total_gb: f64 = cached.sum::<f64>() + size_gb;
        while total_gb > local_gb && !self.cached.is_empty() {
            total_gb -= self.cached.remove(0).size_gb;
        }
        self.cached.push(CachedImage { id: image, size_gb });
    }

    /// Whether the machine has an image.
    pub fn has(&self, image: u32) -> bool {
        self.cached.iter().any(|cached| cached.id == image)
    }

    /// How near the machine is to having an image.
    pub fn state(&self, image: u32) -> ImageState {
        if self.has(image) {
            ImageState::Cached
        } else if self.coming.contains(&image) {
            ImageState::Fetching
        } else {
            ImageState::Absent
        }
    }
}
