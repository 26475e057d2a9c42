//! Keeps the mirror fed: one full reading, then the change feed.

use super::env::{Env, Tag};
use crate::bookkeeping::mirror::Changed;
use crate::bookkeeping::store::Class;
use crate::ids::{Millis, Version};
use crate::protocol::state::{Changes, Page};
use std::collections::HashSet;

/// The least time between two openings of the feed, so that a burst of changes shares one answer.
const FEED_GAP_MS: u64 = 150;
/// A feed opened before this controller was refused may hang; it is opened anew this often.
const FEED_WAIT_MS: u64 = 2_000;

#[derive(Default)]
pub struct Reader {
    busy: bool,
    next_at: Millis,
    /// A full reading underway: the revision of its first page, and the keys found.
    reading: Option<(Option<Version>, HashSet<String>, String)>,
    opened: bool,
    failures: u32,
    /// When the change feed last answered.
    pub feed_at: Millis,
}

impl Reader {
    pub fn tick(&mut self, env: &mut Env) {
        let now = env.now();
        if self.busy || now < self.next_at || !env.store.may(now, Class::Ownership, 0) {
            return;
        }
        if !self.opened && self.reading.is_none() {
            self.reading = Some((None, HashSet::new(), String::new()));
        }
        self.busy = true;
        match &self.reading {
            Some((_, _, after)) => {
                let after = after.clone();
                env.store.page(env.out, Tag::ReloadPage, &after);
            }
            None => {
                let revision = env.mirror.revision;
                self.next_at = now.plus(FEED_GAP_MS);
                env.store
                    .changes(env.out, Tag::Watch, revision, FEED_WAIT_MS);
            }
        }
    }

    pub fn page(&mut self, page: Option<Page>, env: &mut Env) -> Vec<Changed> {
        self.busy = false;
        let Some(page) = page else {
            self.next_at = env.out.retry_at(150, self.failures.min(3));
            self.failures += 1;
            return Vec::new();
        };
        let Some((first, found, after)) = &mut self.reading else {
            return Vec::new();
        };
        let first_revision = *first.get_or_insert(page.revision);
        let mut changed = Vec::new();
        for item in &page.items {
            changed.extend(env.mirror.apply(&item.key, Some(&item.value), item.version));
            found.insert(item.key.clone());
            *after = item.key.clone();
        }
        if !page.more {
            if let Some((_, found, _)) = self.reading.take() {
                changed.extend(env.mirror.finish_reload(first_revision, &found));
            }
            self.opened = true;
            tracing::info!(
                revision = first_revision.0,
                jobs = env.mirror.jobs.len(),
                "state read"
            );
        }
        changed
    }

    pub fn changes(&mut self, result: Result<Changes, bool>, env: &mut Env) -> Vec<Changed> {
        self.busy = false;
        let now = env.now();
        match result {
            Ok(changes) => {
                self.feed_at = now;
                self.failures = 0;
                let mut changed = Vec::new();
                for entry in &changes.log {
                    if let Some(key) = &entry.write {
                        changed.extend(env.mirror.apply(key, Some(&entry.value), entry.version));
                    } else if let Some(key) = &entry.delete {
                        changed.extend(env.mirror.apply(key, None, entry.version));
                    }
                }
                if env.mirror.revision < changes.revision {
                    env.mirror.revision = changes.revision;
                }
                env.mirror.tidy();
                changed
            }
            Err(too_old) => {
                if too_old {
                    tracing::info!("the change feed is too far behind: reading everything again");
                    self.opened = false;
                }
                self.next_at = env.out.retry_at(200, self.failures.min(2));
                self.failures += 1;
                Vec::new()
            }
        }
    }
}
