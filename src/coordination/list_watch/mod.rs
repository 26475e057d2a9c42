//! Keeps the record cache current: one startup read, and a watch from the revision of its first page on.
//!
//! The protocol of a startup read:
//! 1. `snowshelf_reconciliation::startup_read` decides which keys are listed, in which order. Its first page
//!    says at which revision it was read, and the watch is followed from that revision while the read goes
//!    on: a read that takes longer than the store retains events still ends with a complete cache.
//! 2. Keys that were cached before are unconfirmed. Each page confirms the keys that it lists; an
//!    unconfirmed key in the range of a page that does not list it has been deleted.
//! 3. Jobs that allocations or dependencies name are looked for in recent changes, then by pages.
//! 4. Once everything open is cached, the cache is loaded, and the watch goes on from the cache's revision.
//!    Finished jobs are read afterwards, if open runs of graphs need them.
//!
//! Where the store no longer retains the events from the watched revision on, everything is read again.

mod startup;

use super::context::{Context, KvRequest};
use crate::storage::kv_client::{KvResponse, RequestPriority, WatchOutcome, unexpected_response};
use crate::storage::record_cache::RecordChange;
use snowshelf_model::ids::{JobId, MonotonicMillis, Version};
use snowshelf_model::protocol::state::{RangePage, WatchEvent, WatchEvents};
use snowshelf_model::records::JOB_PREFIX;
use snowshelf_reconciliation::startup_read::{ReadRequest, Stage};
use startup::{RequestSlot, StartupRead};

/// Least time between two watch requests, so that a burst of changes comes in one response.
const WATCH_GAP_MS: u64 = 150;
/// Longest time that the store may hold a watch request open. One sent before a connection was lost may
/// hang; it is replaced this often.
const WATCH_WAIT_MS: u64 = 2_000;
/// Failed attempts after which recent changes are no longer asked for.
const RECENT_CHANGES_TRIES: u32 = 2;
/// First pause after a failed list request, doubled by each further failure up to [`LIST_RETRY_DOUBLINGS`].
const LIST_RETRY_MS: u64 = 150;
const LIST_RETRY_DOUBLINGS: u32 = 3;
/// The same for watch requests.
const WATCH_RETRY_MS: u64 = 200;
const WATCH_RETRY_DOUBLINGS: u32 = 2;

/// A request to the key-value store that keeps the record cache current.
#[derive(Clone, Copy, Debug)]
pub enum ListWatchRequest {
    /// A page of keys.
    List,
    /// The changes of jobs' records before the watch began.
    RecentChanges,
    /// The changes since the watched revision.
    Watch,
}

/// The list-and-watch of all records.
#[derive(Default)]
pub struct ListWatch {
    list_slot: RequestSlot,
    watch_slot: RequestSlot,
    startup: Option<StartupRead>,
    /// A startup read has been completed, and the watch has followed since.
    complete: bool,
    /// Number of the newest startup read; responses to requests of earlier ones are ignored.
    generation: u64,
    list_generation: u64,
    watch_generation: u64,
    /// When the watch last responded while the cache was loaded.
    pub last_watch_at: MonotonicMillis,
    /// When the watch request in flight was sent.
    watch_sent_at: MonotonicMillis,
    /// The cache holds every change up to this time: when the newest request was sent whose response left
    /// no gap.
    pub synced_up_to: Option<MonotonicMillis>,
}

impl ListWatch {
    /// What is being read, as `GET /ready` shows it; `None` once everything has been read.
    pub fn stage_label(&self) -> Option<&'static str> {
        let startup = self.startup.as_ref()?;
        Some(match startup.plan.stage() {
            Stage::ShardLeaders => "parts",
            Stage::Allocations => "shares",
            Stage::KeysAfterJobs => "rest",
            Stage::Jobs => "jobs",
            Stage::FinishedJobs | Stage::Complete => "ended",
        })
    }

    /// A job's record has been read by itself, by a request sent at `sent_at`. The startup read need not
    /// look for it if the watch had begun by then.
    pub fn on_single_read(&mut self, job: &JobId, sent_at: MonotonicMillis) {
        if let Some(startup) = &mut self.startup
            && startup.watching_since.is_some_and(|at| sent_at >= at)
        {
            startup.plan.mark_read(job);
        }
    }

    /// Whether finished jobs are still being read.
    pub fn is_reading_finished_jobs(&self) -> bool {
        self.startup.as_ref().is_some_and(|s| s.open_loaded)
    }

    /// Sends the requests that are due.
    pub fn tick(&mut self, context: &mut Context<'_>) {
        if !self.complete && self.startup.is_none() {
            self.generation += 1;
            context.records.begin_startup_read();
            self.startup = Some(StartupRead::default());
        }
        self.send_list_request(context);
        self.send_watch_request(context);
    }

    fn send_list_request(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let Some(startup) = &mut self.startup else {
            return;
        };
        if !self.list_slot.is_free(now) {
            return;
        }
        let Some(request) = startup.plan.next_request() else {
            return;
        };
        // Lists leave a reserve to leases and the watch; those of finished jobs, to all other requests.
        let priority = if startup.open_loaded {
            RequestPriority::Reads
        } else {
            RequestPriority::Admission
        };
        if !context.kv.has_budget(now, priority, 0) {
            return;
        }
        self.list_slot.in_flight = true;
        if startup.watched_to.is_none() {
            startup.first_sent_at = now;
        }
        self.list_generation = self.generation;
        match (&request, startup.watched_to) {
            (ReadRequest::RecentChanges { revisions }, Some(watched_to)) => {
                let after = Version(watched_to.0.saturating_sub(*revisions));
                let tag = KvRequest::ListWatch(ListWatchRequest::RecentChanges);
                context.kv.watch(context.effects, tag, JOB_PREFIX, after, 0);
            }
            (ReadRequest::RecentChanges { .. }, None) => self.list_slot.in_flight = false,
            (
                ReadRequest::List {
                    prefix,
                    after,
                    limit,
                },
                _,
            ) => {
                let tag = KvRequest::ListWatch(ListWatchRequest::List);
                context.kv.list(context.effects, tag, prefix, after, *limit);
            }
        }
        startup.request = Some(request);
    }

    fn send_watch_request(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let watched_to = match &self.startup {
            Some(startup) if !startup.open_loaded => startup.watched_to,
            _ => Some(context.records.revision),
        };
        let Some(watched_to) = watched_to else {
            return;
        };
        if !self.watch_slot.is_free(now)
            || !context.kv.has_budget(now, RequestPriority::LeaseUpkeep, 0)
        {
            return;
        }
        self.watch_slot.in_flight = true;
        self.watch_slot.next_at = now.plus(WATCH_GAP_MS);
        self.watch_generation = self.generation;
        self.watch_sent_at = now;
        // Short enough that the cancellation watermark never falls behind.
        let longest_ms = (context.config.settings.answering_ms() / 4).max(WATCH_GAP_MS);
        let wait_ms = WATCH_WAIT_MS.min(longest_ms);
        let tag = KvRequest::ListWatch(ListWatchRequest::Watch);
        context
            .kv
            .watch(context.effects, tag, "", watched_to, wait_ms);
    }

    /// Takes a response of the key-value store in.
    pub fn on_response(
        &mut self,
        request: ListWatchRequest,
        response: KvResponse,
        context: &mut Context<'_>,
    ) -> Vec<RecordChange> {
        match (request, response) {
            (ListWatchRequest::List, KvResponse::List(page)) => self.on_page(page, context),
            (ListWatchRequest::RecentChanges, KvResponse::Watch(outcome)) => {
                self.on_recent_changes(outcome, context)
            }
            (ListWatchRequest::Watch, KvResponse::Watch(outcome)) => {
                self.on_watch(outcome, context)
            }
            (request, _) => {
                unexpected_response(&request);
                Vec::new()
            }
        }
    }

    /// Frees the list slot; the startup read and the request that the response answers, unless that was of
    /// an earlier startup read.
    fn complete_list_request(&mut self) -> Option<(&mut StartupRead, ReadRequest)> {
        self.list_slot.in_flight = false;
        let startup = self.startup.as_mut()?;
        if self.list_generation != self.generation {
            return None;
        }
        let request = startup.request.take()?;
        Some((startup, request))
    }

    fn on_page(&mut self, page: Option<RangePage>, context: &mut Context<'_>) -> Vec<RecordChange> {
        let Some(page) = page else {
            self.list_slot.in_flight = false;
            let doublings = self.list_slot.failures.min(LIST_RETRY_DOUBLINGS);
            let next_at = context.effects.retry_at(LIST_RETRY_MS, doublings);
            self.list_slot.fail(next_at);
            return Vec::new();
        };
        self.list_slot.failures = 0;
        let Some((startup, request)) = self.complete_list_request() else {
            return Vec::new();
        };
        if startup.watched_to.is_none() {
            startup.watched_to = Some(page.revision);
            startup.watching_since = Some(context.effects.now);
            startup.unconfirmed = context.records.live_keys().into_iter().collect();
        }
        startup.keys_listed += page.items.len() as u64;
        let mut changes = Vec::new();
        for item in &page.items {
            let records = &mut *context.records;
            changes.extend(records.apply_listed(&item.key, &item.value, item.version));
            startup.unconfirmed.remove(&item.key);
        }
        let keys = page.items.iter().map(|item| item.key.as_str());
        let more = page.more && !page.items.is_empty();
        if let Some(covered) = startup.plan.on_page(&request, keys, more) {
            for key in startup.take_unconfirmed(&covered) {
                changes.extend(context.records.apply_absence(&key, page.revision));
            }
        }
        self.advance_startup(context);
        changes
    }

    /// Applies the recent changes of jobs.
    fn on_recent_changes(
        &mut self,
        outcome: WatchOutcome,
        context: &mut Context<'_>,
    ) -> Vec<RecordChange> {
        // After some failures the read goes on without: such a response may never come in time.
        let failures = self.list_slot.failures;
        let retry = matches!(outcome, WatchOutcome::Failed) && failures < RECENT_CHANGES_TRIES;
        if retry {
            let next_at = context.effects.retry_at(LIST_RETRY_MS, failures);
            self.list_slot.fail(next_at);
        } else {
            self.list_slot.failures = 0;
        }
        let Some((startup, _)) = self.complete_list_request().filter(|_| !retry) else {
            return Vec::new();
        };
        let (log, available) = match outcome {
            WatchOutcome::Events(events) => (events.log, true),
            WatchOutcome::RevisionCompacted | WatchOutcome::Failed => (Vec::new(), false),
        };
        let mut changes = Vec::new();
        for entry in &log {
            if let Some(key) = &entry.put {
                changes.extend(
                    context
                        .records
                        .apply_listed(key, &entry.value, entry.version),
                );
                startup.unconfirmed.remove(key);
                startup.mark_read(key);
            }
        }
        tracing::info!(
            changes = log.len(),
            missing_jobs = startup.plan.missing_jobs(),
            "recent job changes read"
        );
        startup.plan.on_recent_changes(available);
        self.advance_startup(context);
        changes
    }

    /// Passes the read's stage on to the cache, and ends the read once it is complete.
    fn advance_startup(&mut self, context: &mut Context<'_>) {
        let Some(startup) = &mut self.startup else {
            return;
        };
        let stage = startup.plan.stage();
        context.records.shard_leaders_read |= stage > Stage::ShardLeaders;
        context.records.allocations_read |= stage >= Stage::Jobs;
        if stage == Stage::Jobs && startup.plan.missing_jobs() == 0 {
            startup.require_jobs(context);
        }
        let stage = startup.plan.stage();
        if stage >= Stage::FinishedJobs && !startup.open_loaded {
            startup.open_loaded = true;
            let revision = startup.watched_to.unwrap_or_default();
            tracing::info!(
                revision = revision.0,
                keys = startup.keys_listed,
                jobs = context.records.jobs.len(),
                "startup read complete"
            );
            context.records.mark_loaded(revision);
            self.synced_up_to = self.synced_up_to.max(Some(startup.first_sent_at));
        }
        if stage == Stage::Complete {
            context.records.end_startup_read();
            self.startup = None;
            self.complete = true;
        }
    }

    fn on_watch(&mut self, outcome: WatchOutcome, context: &mut Context<'_>) -> Vec<RecordChange> {
        self.watch_slot.in_flight = false;
        if self.watch_generation != self.generation {
            return Vec::new();
        }
        match outcome {
            WatchOutcome::Events(events) => return self.apply_events(&events, context),
            WatchOutcome::RevisionCompacted => {
                tracing::info!("watch revision compacted: reading all records again");
                self.complete = false;
                self.startup = None;
            }
            WatchOutcome::Failed => {}
        }
        let doublings = self.watch_slot.failures.min(WATCH_RETRY_DOUBLINGS);
        let next_at = context.effects.retry_at(WATCH_RETRY_MS, doublings);
        self.watch_slot.fail(next_at);
        Vec::new()
    }

    fn apply_events(
        &mut self,
        events: &WatchEvents,
        context: &mut Context<'_>,
    ) -> Vec<RecordChange> {
        self.watch_slot.failures = 0;
        let mut changes = Vec::new();
        let mut startup = self.startup.as_mut().filter(|s| !s.open_loaded);
        for entry in &events.log {
            if let Some(startup) = &mut startup
                && let Some(key) = &entry.put
            {
                startup.mark_read(key);
            }
            changes.extend(apply_event(entry, context));
        }
        let watched_to = match startup {
            Some(startup) => startup.watched_to.get_or_insert(events.revision),
            None => {
                self.last_watch_at = context.effects.now;
                self.synced_up_to = self.synced_up_to.max(Some(self.watch_sent_at));
                &mut context.records.revision
            }
        };
        *watched_to = (*watched_to).max(events.revision);
        context.records.prune_version_guards();
        self.advance_startup(context);
        changes
    }
}

fn apply_event(entry: &WatchEvent, context: &mut Context<'_>) -> Option<RecordChange> {
    if let Some(key) = &entry.put {
        return context
            .records
            .apply(key, Some(&entry.value), entry.version);
    }
    let key = entry.delete.as_ref()?;
    context.records.apply(key, None, entry.version)
}
