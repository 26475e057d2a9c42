//! List-and-watch: keeps the record cache current by a startup read and a watch from the revision of its first page.
//!
//! A startup read works as follows:
//! 1. `snowshelf_reconciliation::startup_read` decides which keys are listed, and in which order. The watch is
//!    followed from the revision of the first page while the read continues, so the cache ends up complete even if
//!    the read takes longer than the store retains events.
//! 2. Keys that were cached before the read are unconfirmed. A page confirms the keys that it lists. An unconfirmed
//!    key in the range of a page that does not list it has been deleted.
//! 3. Jobs named by allocations or dependencies are looked for in the recent changes, then by pages.
//! 4. The cache is loaded once all open jobs are cached, and the watch continues from the cache's revision. Finished
//!    jobs are read afterwards if open DAG runs need them.
//!
//! If the store no longer retains the events since the watched revision, all records are read again.

mod startup;

use super::context::{Context, KvRequest};
use crate::storage::kv_client::{KvResponse, RequestPriority, WatchOutcome, unexpected_response};
use crate::storage::record_cache::RecordChange;
use snowshelf_model::ids::{JobId, MonotonicMillis, Version};
use snowshelf_model::protocol::state::{RangePage, WatchEvent, WatchEvents};
use snowshelf_model::records::JOB_PREFIX;
use snowshelf_reconciliation::startup_read::{ReadRequest, Stage};
use startup::{RequestSlot, StartupRead};

/// Shortest time between two watch requests, so that a burst of changes arrives in one response.
const WATCH_GAP_MS: u64 = 150;
/// Longest time that the store may hold a watch request open. It bounds how long a request that hangs after a lost
/// connection delays the watch.
const WATCH_WAIT_MS: u64 = 2_000;
/// Failed attempts after which recent changes are no longer requested.
const RECENT_CHANGES_TRIES: u32 = 2;
/// First pause after a failed list request. Each further failure doubles it, up to [`LIST_RETRY_DOUBLINGS`] times.
const LIST_RETRY_MS: u64 = 150;
const LIST_RETRY_DOUBLINGS: u32 = 3;
/// First pause after a failed watch request, doubled up to [`WATCH_RETRY_DOUBLINGS`] times.
const WATCH_RETRY_MS: u64 = 200;
const WATCH_RETRY_DOUBLINGS: u32 = 2;

/// A request to the key-value store that keeps the record cache current.
#[derive(Clone, Copy, Debug)]
pub enum ListWatchRequest {
    /// Lists a page of keys with their records.
    List,
    /// Reads the changes of job records before the watch began.
    RecentChanges,
    /// Waits for changes after the watched revision.
    Watch,
}

/// The actor that lists and watches all records.
#[derive(Default)]
pub struct ListWatch {
    list_slot: RequestSlot,
    watch_slot: RequestSlot,
    startup: Option<StartupRead>,
    /// Whether a startup read has completed and the watch has not lost events since.
    complete: bool,
    /// Number of the newest startup read. Responses to requests of earlier ones are ignored.
    generation: u64,
    list_generation: u64,
    watch_generation: u64,
    /// When the watch last delivered a response while the cache was loaded.
    pub last_watch_at: MonotonicMillis,
    /// When the watch request in flight was sent.
    watch_sent_at: MonotonicMillis,
    /// The cache holds every change up to this time. It is the send time of the newest request whose response left no
    /// gap.
    pub synced_up_to: Option<MonotonicMillis>,
}

impl ListWatch {
    /// What is being read, as shown by `GET /ready`; `None` once the startup read has completed.
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

    /// Handles the lookup of a single job, sent at `sent_at`. If the watch had begun by then, the startup read no
    /// longer needs to look for the job.
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

    /// Starts a startup read if one is needed, and sends the requests that are due.
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
        // List requests leave a reserve for leases and the watch. Those of finished jobs leave one for all other
        // requests.
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
        // Short enough to keep the cancellation watermark from falling behind.
        let longest_ms = (context.config.settings.answering_ms() / 4).max(WATCH_GAP_MS);
        let wait_ms = WATCH_WAIT_MS.min(longest_ms);
        let tag = KvRequest::ListWatch(ListWatchRequest::Watch);
        context
            .kv
            .watch(context.effects, tag, "", watched_to, wait_ms);
    }

    /// Handles a response of the key-value store. Returns the records that have changed.
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

    /// Frees the list slot. Returns the startup read and the request that the response belongs to; `None` if it
    /// belongs to an earlier startup read.
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
        // After several failures the read continues without recent changes, since the response may never arrive in
        // time.
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
            WatchOutcome::Events(events) => (events.events, true),
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

    /// Updates the cache's state from the stage of the startup read, and ends the read once it is complete.
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
        for entry in &events.events {
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
