//! A model of a machine's image cache, derived from the tasks that its heartbeats list.

use super::placement::ImageState;
use std::collections::BTreeSet;

/// A cached image and its size.
#[derive(Clone, Debug)]
struct CachedImage {
    id: u32,
    size_gb: f64,
}

/// The images on one machine. Its cache keeps the most recently used images that fit in its local storage.
#[derive(Clone, Debug, Default)]
pub struct Images {
    /// Least recently used first.
    cached: Vec<CachedImage>,
    /// Images that tasks on the machine are waiting for.
    pub fetching: BTreeSet<u32>,
}

impl Images {
    /// Records that a task on the machine uses an image, and evicts the least recently used images that no longer fit
    /// in the `local_gb` of local storage.
    pub fn record_use(&mut self, image: u32, size_gb: f64, local_gb: f64) {
        self.cached.retain(|cached| cached.id != image);
        let cached = self.cached.iter().map(|cached| cached.size_gb);
        let mut total_gb: f64 = cached.sum::<f64>() + size_gb;
        while total_gb > local_gb && !self.cached.is_empty() {
            total_gb -= self.cached.remove(0).size_gb;
        }
        self.cached.push(CachedImage { id: image, size_gb });
    }

    /// Whether the image is cached on the machine.
    pub fn has(&self, image: u32) -> bool {
        self.cached.iter().any(|cached| cached.id == image)
    }

    /// Whether the image is cached, being fetched or absent.
    pub fn state(&self, image: u32) -> ImageState {
        if self.has(image) {
            ImageState::Cached
        } else if self.fetching.contains(&image) {
            ImageState::Fetching
        } else {
            ImageState::Absent
        }
    }
}
