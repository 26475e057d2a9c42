//! Keeps the mirror fed: one reading, in stages, and the change feed from its first page on.
//!
//! What is read first, and that no more is read than what is open, `snowshelf_reconciliation::startup_read`
//! decides. The feed is followed meanwhile, so that a reading that takes longer than the service keeps
//! changes for ends all the same.

use super::context::{Context, KvRequest};
use crate::storage::kv_client::{KvResponse, RequestPriority, WatchOutcome, unexpected_response};
use crate::storage::record_cache::RecordChange;
use snowshelf_model::ids::{JobId, MonotonicMillis, Version};
use snowshelf_model::protocol::state::RangePage;
use snowshelf_reconciliation::startup_read::{Ask, Reading as Staged, Stage};
use std::collections::BTreeSet;

/// The least time between two openings of the feed, so that a burst of changes shares one answer.
const FEED_GAP_MS: u64 = 150;
/// A feed opened before this controller was refused may hang; it is opened anew this often.
const FEED_WAIT_MS: u64 = 2_000;
/// So often looking back is tried again before it is done without.
const LOOK_BACK_TRIES: u32 = 2;
/// Only jobs' keys are looked back for.
const JOBS: &str = "job/";

/// What is asked of the key-value store to keep the record cache current.
#[derive(Clone, Copy, Debug)]
pub enum ListWatchRequest {
    /// A page of keys.
    Page,
    /// The changes of jobs' records before the watch began.
    RecentChanges,
    Watch,
}

/// A reading underway.
#[derive(Default)]
struct Reading {
    stages: Staged,
    /// What was known when its first page came and no page has answered for yet.
    known: BTreeSet<String>,
    /// What has been asked and not answered.
    asked: Option<Ask>,
    /// How far the feed has been followed, once the first page has said from where; of no use once what is open is
    /// known.
    followed: Option<Version>,
    /// Since when.
    followed_at: Option<MonotonicMillis>,
    /// What is open is known; ended jobs are still read.
    open_known: bool,
    items: u64,
    /// When the request for its first page was sent.
    began: MonotonicMillis,
}

/// One of the two lines of requests, each with at most one underway.
#[derive(Default)]
struct Line {
    busy: bool,
    next_at: MonotonicMillis,
    failures: u32,
}

impl Line {
    fn free(&self, now: MonotonicMillis) -> bool {
        !self.busy && now >= self.next_at
    }
    fn failed(&mut self, next_at: MonotonicMillis) {
        self.next_at = next_at;
        self.failures += 1;
    }
}

#[derive(Default)]
pub struct ListWatch {
    pages: Line,
    feed: Line,
    reading: Option<Reading>,
    opened: bool,
    /// Which reading the feed's open request belongs to.
    round: u64,
    feed_round: u64,
    page_round: u64,
    /// When the change feed last answered, with a mirror that had been read.
    pub feed_at: MonotonicMillis,
    /// When the feed's open request was sent.
    feed_sent: MonotonicMillis,
    /// The mirror holds every change up to then: when the newest request was sent whose answer left no gap.
    pub current_as_of: Option<MonotonicMillis>,
}

impl ListWatch {
    /// What is being read, for operators; nothing once all is.
    pub fn stage(&self) -> Option<&'static str> {
        let reading = self.reading.as_ref()?;
        Some(match reading.stages.stage() {
            Stage::ShardOwners => "parts",
            Stage::Shares => "shares",
            Stage::Rest => "rest",
            Stage::Jobs => "jobs",
            Stage::Ended | Stage::Over => "ended",
        })
    }

    /// A job has been read by itself, asked for then: of use if the feed was followed already.
    pub fn read_alone(&mut self, job: &JobId, asked: MonotonicMillis) {
        if let Some(reading) = &mut self.reading
            && reading.followed_at.is_some_and(|at| asked >= at)
        {
            reading.stages.seen(job);
        }
    }

    /// Whether ended jobs are still being read, which somebody waits for.
    pub fn reads_ended(&self) -> bool {
        self.reading.as_ref().is_some_and(|r| r.open_known)
    }

    pub fn tick(&mut self, context: &mut Context) {
        let now = context.now();
        if !self.opened && self.reading.is_none() {
            self.round += 1;
            context.records.begin_startup_read();
            self.reading = Some(Reading::default());
        }
        if let Some(reading) = &mut self.reading
            && self.pages.free(now)
            && let Some(ask) = reading.stages.next()
        {
            // Pages keep clear of the room that leases and the feed need; and what has ended, of all others'.
            let class = match reading.open_known {
                true => RequestPriority::Reads,
                false => RequestPriority::Admission,
            };
            if context.kv.has_budget(now, class, 0) {
                self.pages.busy = true;
                if reading.followed.is_none() {
                    reading.began = now;
                }
                self.page_round = self.round;
                match (&ask, reading.followed) {
                    (Ask::LookBack { revisions }, Some(from)) => {
                        let after = Version(from.0.saturating_sub(*revisions));
                        context.kv.watch(
                            context.effects,
                            KvRequest::ListWatch(ListWatchRequest::RecentChanges),
                            JOBS,
                            after,
                            0,
                        );
                    }
                    (Ask::LookBack { .. }, None) => self.pages.busy = false,
                    (
                        Ask::Page {
                            starts,
                            after,
                            limit,
                        },
                        _,
                    ) => context.kv.list(
                        context.effects,
                        KvRequest::ListWatch(ListWatchRequest::Page),
                        starts,
                        after,
                        *limit,
                    ),
                }
                reading.asked = Some(ask);
            }
        }
        let from = match &self.reading {
            Some(reading) if !reading.open_known => reading.followed,
            _ => Some(context.records.revision),
        };
        if let Some(from) = from
            && self.feed.free(now)
            && context.kv.has_budget(now, RequestPriority::LeaseUpkeep, 0)
        {
            self.feed.busy = true;
            self.feed.next_at = now.plus(FEED_GAP_MS);
            self.feed_round = self.round;
            self.feed_sent = now;
            // Asked often enough that an owner's knowledge is never old.
            let wait_ms =
                FEED_WAIT_MS.min((context.config.settings.answering_ms() / 4).max(FEED_GAP_MS));
            context.kv.watch(
                context.effects,
                KvRequest::ListWatch(ListWatchRequest::Watch),
                "",
                from,
                wait_ms,
            );
        }
    }

    /// The reading underway, if the answer that has come is to its newest request.
    fn answered(&mut self) -> Option<(&mut Reading, Ask)> {
        self.pages.busy = false;
        let reading = self.reading.as_mut()?;
        if self.page_round != self.round {
            return None;
        }
        let ask = reading.asked.take()?;
        Some((reading, ask))
    }

    /// Takes a response of the key-value store in.
    pub fn on_response(
        &mut self,
        request: ListWatchRequest,
        response: KvResponse,
        context: &mut Context,
    ) -> Vec<RecordChange> {
        match (request, response) {
            (ListWatchRequest::Page, KvResponse::List(page)) => self.page(page, context),
            (ListWatchRequest::RecentChanges, KvResponse::Watch(outcome)) => {
                self.apply_recent_changes(outcome, context)
            }
            (ListWatchRequest::Watch, KvResponse::Watch(outcome)) => {
                self.apply_events(outcome, context)
            }
            (request, _) => {
                unexpected_response(&request);
                Vec::new()
            }
        }
    }

    fn page(&mut self, page: Option<RangePage>, context: &mut Context) -> Vec<RecordChange> {
        let Some(page) = page else {
            self.pages.busy = false;
            let again = context.effects.retry_at(150, self.pages.failures.min(3));
            self.pages.failed(again);
            return Vec::new();
        };
        self.pages.failures = 0;
        let Some((reading, ask)) = self.answered() else {
            return Vec::new();
        };
        if reading.followed.is_none() {
            reading.followed = Some(page.revision);
            reading.followed_at = Some(context.effects.now);
            reading.known = context.records.live_keys().into_iter().collect();
        }
        reading.items += page.items.len() as u64;
        let mut changed = Vec::new();
        for item in &page.items {
            let records = &mut *context.records;
            changed.extend(records.apply_listed(&item.key, &item.value, item.version));
            reading.known.remove(&item.key);
        }
        let keys = page.items.iter().map(|item| item.key.as_str());
        let more = page.more && !page.items.is_empty();
        if let Some(covered) = reading.stages.page(&ask, keys, more) {
            // What was known and is not found where it would have been is gone.
            let from = covered.after.clone();
            let gone: Vec<String> = reading
                .known
                .range(from..)
                .take_while(|key| covered.upto.as_ref().is_none_or(|upto| *key <= upto))
                .filter(|key| covered.has(key))
                .cloned()
                .collect();
            for key in gone {
                reading.known.remove(&key);
                changed.extend(context.records.apply_absence(&key, page.revision));
            }
        }
        self.staged(context);
        changed
    }

    /// The answer to looking back: jobs that changed lately.
    fn apply_recent_changes(
        &mut self,
        outcome: WatchOutcome,
        context: &mut Context,
    ) -> Vec<RecordChange> {
        // Guards against looking back for ever where such an answer never comes in time.
        let failed =
            matches!(outcome, WatchOutcome::Failed) && self.pages.failures < LOOK_BACK_TRIES;
        let failures = self.pages.failures;
        if failed {
            self.pages.failed(context.effects.retry_at(150, failures));
        } else {
            self.pages.failures = 0;
        }
        let Some((reading, _)) = self.answered().filter(|_| !failed) else {
            return Vec::new();
        };
        let too_far = !matches!(outcome, WatchOutcome::Events(_));
        let log = match outcome {
            WatchOutcome::Events(events) => events.log,
            WatchOutcome::RevisionCompacted | WatchOutcome::Failed => Vec::new(),
        };
        let mut changed = Vec::new();
        for entry in &log {
            if let Some(key) = &entry.put {
                changed.extend(
                    context
                        .records
                        .apply_listed(key, &entry.value, entry.version),
                );
                reading.known.remove(key);
                if let Some(job) = key.strip_prefix(JOBS) {
                    reading.stages.seen(&JobId::new(job));
                }
            }
        }
        tracing::info!(
            changes = log.len(),
            wanted = reading.stages.wanted(),
            "recent job changes read"
        );
        reading.stages.looked_back(too_far);
        self.staged(context);
        changed
    }

    /// Tells the mirror how far the reading is, and the reading what else is wanted.
    fn staged(&mut self, context: &mut Context) {
        let Some(reading) = &mut self.reading else {
            return;
        };
        let stage = reading.stages.stage();
        context.records.shard_owners_read |= stage > Stage::ShardOwners;
        context.records.allocations_read |= stage >= Stage::Jobs;
        // Asked once all that was wanted is settled: what else is, by then.
        if stage == Stage::Jobs && reading.stages.wanted() == 0 {
            let wanted = context.records.missing_jobs();
            reading.stages.want(wanted.iter());
            // Jobs known from before may have changed while nothing was heard.
            let known = reading.known.iter().filter_map(|k| k.strip_prefix(JOBS));
            let known: Vec<JobId> = known.map(JobId::new).collect();
            reading.stages.want(known.iter());
            if context.records.has_open_runs() {
                reading.stages.want_ended();
            }
            reading.stages.jobs_over();
        }
        let stage = reading.stages.stage();
        if stage >= Stage::Ended && !reading.open_known {
            reading.open_known = true;
            let revision = reading.followed.unwrap_or_default();
            tracing::info!(
                revision = revision.0,
                keys = reading.items,
                jobs = context.records.jobs.len(),
                "startup read complete"
            );
            context.records.mark_loaded(revision);
            self.current_as_of = self.current_as_of.max(Some(reading.began));
        }
        if stage == Stage::Over {
            context.records.end_startup_read();
            self.reading = None;
            self.opened = true;
        }
    }

    fn apply_events(&mut self, outcome: WatchOutcome, context: &mut Context) -> Vec<RecordChange> {
        self.feed.busy = false;
        if self.feed_round != self.round {
            return Vec::new();
        }
        let now = context.now();
        match outcome {
            WatchOutcome::Events(changes) => {
                self.feed.failures = 0;
                let mut changed = Vec::new();
                let mut reading = self.reading.as_mut().filter(|r| !r.open_known);
                for entry in &changes.log {
                    if let Some(key) = &entry.put {
                        if let Some(reading) = &mut reading
                            && let Some(job) = key.strip_prefix(JOBS)
                        {
                            reading.stages.seen(&JobId::new(job));
                        }
                        changed.extend(context.records.apply(
                            key,
                            Some(&entry.value),
                            entry.version,
                        ));
                    } else if let Some(key) = &entry.delete {
                        changed.extend(context.records.apply(key, None, entry.version));
                    }
                }
                let seen = match reading {
                    Some(reading) => reading.followed.get_or_insert(changes.revision),
                    None => {
                        self.feed_at = now;
                        self.current_as_of = self.current_as_of.max(Some(self.feed_sent));
                        &mut context.records.revision
                    }
                };
                *seen = (*seen).max(changes.revision);
                context.records.prune_version_guards();
                self.staged(context);
                changed
            }
            outcome => {
                if let WatchOutcome::RevisionCompacted = outcome {
                    tracing::info!("watch revision compacted: reading all records again");
                    self.opened = false;
                    self.reading = None;
                }
                let again = context.effects.retry_at(200, self.feed.failures.min(2));
                self.feed.failed(again);
                Vec::new()
            }
        }
    }
}
