//! Keeps the mirror fed: one full reading, and the change feed from its first page on.
//!
//! A reading may take long, since jobs that have ended stay in the state service. It holds no more
//! than what is open: pages come in the order of keys, so what is known and not found is seen to be
//! gone as the page that would hold it comes. And the feed is followed meanwhile, so that a reading
//! that takes longer than the service keeps changes for ends all the same.

use super::env::{Env, Tag};
use crate::bookkeeping::mirror::Changed;
use crate::bookkeeping::store::Class;
use snowshelf_model::ids::{Millis, Version};
use snowshelf_model::protocol::state::{Changes, Page};
use std::collections::VecDeque;

/// The least time between two openings of the feed, so that a burst of changes shares one answer.
const FEED_GAP_MS: u64 = 150;
/// A feed opened before this controller was refused may hang; it is opened anew this often.
const FEED_WAIT_MS: u64 = 2_000;

/// A full reading underway.
#[derive(Default)]
struct Reading {
    /// What was known when its first page came, in order, and is not yet passed.
    known: VecDeque<String>,
    /// The last key of the newest page.
    after: String,
    /// How far the feed has been followed, once the first page has said from where.
    followed: Option<Version>,
    items: u64,
}

/// One of the two lines of requests, each with at most one underway.
#[derive(Default)]
struct Line {
    busy: bool,
    next_at: Millis,
    failures: u32,
}

impl Line {
    fn free(&self, now: Millis) -> bool {
        !self.busy && now >= self.next_at
    }
    fn failed(&mut self, next_at: Millis) {
        self.next_at = next_at;
        self.failures += 1;
    }
}

#[derive(Default)]
pub struct Reader {
    pages: Line,
    feed: Line,
    reading: Option<Reading>,
    opened: bool,
    /// Which reading the feed's open request belongs to.
    round: u64,
    feed_round: u64,
    page_round: u64,
    /// When the change feed last answered, with a mirror that had been read.
    pub feed_at: Millis,
}

impl Reader {
    pub fn tick(&mut self, env: &mut Env) {
        let now = env.now();
        if !self.opened && self.reading.is_none() {
            self.round += 1;
            env.mirror.begin_reading();
            self.reading = Some(Reading::default());
        }
        // Pages keep clear of the room that leases and the feed need.
        if let Some(reading) = &self.reading
            && self.pages.free(now)
            && env.store.may(now, Class::Accept, 0)
        {
            self.pages.busy = true;
            self.page_round = self.round;
            let after = reading.after.clone();
            env.store.page(env.out, Tag::ReloadPage, &after);
        }
        let from = match &self.reading {
            Some(reading) => reading.followed,
            None => Some(env.mirror.revision),
        };
        if let Some(from) = from
            && self.feed.free(now)
            && env.store.may(now, Class::Ownership, 0)
        {
            self.feed.busy = true;
            self.feed.next_at = now.plus(FEED_GAP_MS);
            self.feed_round = self.round;
            env.store.changes(env.out, Tag::Watch, from, FEED_WAIT_MS);
        }
    }

    pub fn page(&mut self, page: Option<Page>, env: &mut Env) -> Vec<Changed> {
        self.pages.busy = false;
        let Some(page) = page else {
            let again = env.out.retry_at(150, self.pages.failures.min(3));
            self.pages.failed(again);
            return Vec::new();
        };
        self.pages.failures = 0;
        let Some(reading) = &mut self.reading else {
            return Vec::new();
        };
        if self.page_round != self.round {
            return Vec::new();
        }
        if reading.followed.is_none() {
            reading.followed = Some(page.revision);
            reading.known = env.mirror.open_keys().into();
        }
        reading.items += page.items.len() as u64;
        let mut changed = Vec::new();
        for item in &page.items {
            let mirror = &mut *env.mirror;
            changed.extend(mirror.apply_read(&item.key, &item.value, item.version));
            while let Some(key) = reading.known.pop_front_if(|key| *key <= item.key) {
                if key != item.key {
                    changed.extend(mirror.absent(&key, page.revision));
                }
            }
        }
        if let Some(last) = page.items.last() {
            reading.after = last.key.clone();
        }
        if !page.more || page.items.is_empty() {
            for key in &reading.known {
                changed.extend(env.mirror.absent(key, page.revision));
            }
            let revision = reading.followed.unwrap_or(page.revision);
            tracing::info!(
                revision = revision.0,
                keys = reading.items,
                jobs = env.mirror.jobs.len(),
                "state read"
            );
            env.mirror.end_reading(revision);
            self.reading = None;
            self.opened = true;
        }
        changed
    }

    pub fn changes(&mut self, result: Result<Changes, bool>, env: &mut Env) -> Vec<Changed> {
        self.feed.busy = false;
        if self.feed_round != self.round {
            return Vec::new();
        }
        let now = env.now();
        match result {
            Ok(changes) => {
                self.feed.failures = 0;
                let mut changed = Vec::new();
                for entry in &changes.log {
                    if let Some(key) = &entry.write {
                        changed.extend(env.mirror.apply(key, Some(&entry.value), entry.version));
                    } else if let Some(key) = &entry.delete {
                        changed.extend(env.mirror.apply(key, None, entry.version));
                    }
                }
                let seen = match &mut self.reading {
                    Some(reading) => reading.followed.get_or_insert(changes.revision),
                    None => {
                        self.feed_at = now;
                        &mut env.mirror.revision
                    }
                };
                *seen = (*seen).max(changes.revision);
                env.mirror.tidy();
                changed
            }
            Err(too_old) => {
                if too_old {
                    tracing::info!("the change feed is too far behind: reading everything again");
                    self.opened = false;
                    self.reading = None;
                }
                let again = env.out.retry_at(200, self.feed.failures.min(2));
                self.feed.failed(again);
                Vec::new()
            }
        }
    }
}
