//! Reservations and maintenance windows: what users ask of them, decided on the calendar and made
//! durable before anybody is told.
//!
//! Every change also changes one key, on whose version each decision is conditional, so that two
//! controllers never both give the last room away. An answer that changes nothing is conditional on
//! it too: nobody is told less than another controller has said.

mod asking;
mod deciding;
mod view;

pub use asking::{Ask, Asked, read_ask};

use super::context::{Context, KvRequest};
use super::pending_requests::{PendingRequests, Waiting};
use crate::effects::Response;
use crate::operator::{CalendarSettings, KnownCapacity};
use crate::settings::TeamLimits;
use crate::storage::kv_client::{KvResponse, RequestPriority, SwapOutcome, unexpected_response};
use crate::storage::record_cache::RecordChange;
use deciding::Decided;
use snowshelf_calendar::amount::Amount;
use snowshelf_calendar::calendar::{Bounds, Calendar, Pool};
use snowshelf_calendar::entry::When;
use snowshelf_calendar::guard::Guard;
use snowshelf_model::ids::{ConnectionId, MonotonicMillis, Team, Version, WallClockMillis};
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{CALENDAR_KEY, Capability, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The pause after another change came first.
const AGAIN_MS: u64 = 50;
/// How far ahead closings and held amounts matter for what starts now: no task is taken to run longer.
const AHEAD_MS: u64 = 3 * DAY_MS;
const DAY_MS: u64 = 86_400_000;
/// How often it is looked at what matters now.
const GUARD_MS: u64 = 1_000;
/// How long an entry is kept after its end, and how often old ones are looked for.
const KEPT_MS: u64 = DAY_MS;
const TIDY_MS: u64 = 10_000;

/// Answers that wait for one transaction.
struct Underway {
    id: u64,
    /// As of which version it was decided.
    seen: Version,
    waiting: Vec<Waiting<Ask>>,
    decided: Vec<Decided>,
}

/// What reservations and maintenance windows ask of the key-value store.
#[derive(Clone, Debug)]
pub enum ReservationsRequest {
    /// Writes, or checks, what a request decided, by its number.
    Decide(u64),
    /// Deletes an entry whose time is over.
    RemoveExpired { key: String },
}

#[derive(Default)]
pub struct Reservations {
    calendar: Calendar,
    built: bool,
    /// The machine types have been told anew, perhaps with other prices only.
    types_changed: bool,
    queue: PendingRequests<Ask>,
    underway: Option<Underway>,
    next: u64,
    /// Met by another change than this picture had; decided again once it has that.
    behind: Option<Version>,
    retry_at: MonotonicMillis,
    guard_at: MonotonicMillis,
    tidy_at: MonotonicMillis,
    tidying: bool,
}

/// What the deployment can have at the most, as far as its operators and the cloud say. Prices do not
/// matter to it.
pub fn bounds(
    types: &BTreeMap<String, MachineType>,
    teams: &[TeamLimits],
    ops: &CalendarSettings,
) -> Bounds {
    let mut pools = BTreeMap::new();
    for t in types.values() {
        for zone in &t.zones {
            let known = |c: &&KnownCapacity| c.zone == *zone && c.model == t.label;
            let most = match ops.capacity.iter().find(known) {
                Some(c) => Amount::of(t.room()).times(i64::from(c.machines)),
                None => Amount::BOUNDLESS,
            };
            pools.insert(Pool::new(zone, &t.label), most);
        }
    }
    let limits = teams.iter().map(|t| {
        let limit = Resources {
            cpus: t.cpus_max,
            gpus: t.gpus_max,
            mem: 0.0,
        };
        let mut limit = Amount::of(limit);
        limit.mem = Amount::BOUNDLESS.mem;
        (Team::new(&t.name), limit)
    });
    Bounds {
        pools,
        limits: limits.collect(),
        horizon_ms: u64::from(ops.horizon_days) * DAY_MS,
        most_entries: ops.most_entries,
    }
}

impl Reservations {
    /// Takes a request. Whether the state service is there has been asked before.
    pub fn take(&mut self, conn: ConnectionId, ask: Ask, context: &mut Context) {
        let why = if !context.records.all_support(&Capability::calendar()) {
            Some("not every controller takes reservations yet")
        } else if !context.records.loaded || context.types.is_empty() {
            Some("not able to decide yet")
        } else {
            None
        };
        self.queue.take(conn, ask, why, context);
    }

    /// Sends everybody who waits away: the state service does not serve.
    pub fn refuse_all(&mut self, context: &mut Context) {
        self.queue.refuse_all(context);
    }

    /// Whether there is a calendar that changes concern.
    pub fn is_built(&self) -> bool {
        self.built
    }

    /// Brings the calendar up to date with what has changed.
    pub fn changed(&mut self, changes: &[RecordChange], context: &Context) {
        let now = WallClockMillis(context.effects.wall_ms);
        for change in changes {
            match change {
                RecordChange::Reservation(name) => {
                    let new = context.records.reservations.get(name);
                    let new = new.map(|v| Arc::new((*v.value).clone()));
                    self.calendar.set_reservation(name, new);
                }
                RecordChange::Window(name) => {
                    let new = context.records.windows.get(name);
                    let new = new.map(|v| Arc::new((*v.value).clone()));
                    self.calendar.set_window(name, new, now);
                }
                RecordChange::Types => {
                    self.types_changed = true;
                    continue;
                }
                _ => continue,
            }
            self.guard_at = MonotonicMillis(0);
        }
    }

    /// Makes the calendar anew, from the records, where it is not there, or planned too little ahead.
    fn build(&mut self, context: &Context) {
        let wanted = context.config.ops.calendar.enabled
            || !context.records.reservations.is_empty()
            || !context.records.windows.is_empty();
        if !wanted || !context.records.loaded || context.types.is_empty() {
            return;
        }
        let now = WallClockMillis(context.effects.wall_ms);
        // Guards against building it anew with every change of a price.
        let changed = std::mem::take(&mut self.types_changed);
        if self.built && !changed && self.calendar.plans_ahead(now) {
            return;
        }
        let teams = &context.config.settings.deployment.teams;
        let bounds = bounds(context.types, teams, &context.config.ops.calendar);
        if self.built && self.calendar.serves(&bounds, now) {
            return;
        }
        self.calendar = Calendar::new(Arc::new(bounds), now);
        for (name, v) in &context.records.windows {
            let window = Arc::new((*v.value).clone());
            self.calendar.set_window(name, Some(window), now);
        }
        for (name, v) in &context.records.reservations {
            let reservation = Arc::new((*v.value).clone());
            self.calendar.set_reservation(name, Some(reservation));
        }
        self.built = true;
        self.guard_at = MonotonicMillis(0);
        tracing::info!(entries = self.calendar.len(), "calendar built");
    }

    /// The regular work; what placement and renting are to keep to, if that was worked out anew.
    pub fn tick(&mut self, leads: bool, context: &mut Context) -> Option<Guard> {
        self.build(context);
        self.decide(context);
        if leads {
            self.tidy(context);
        }
        let now = context.now();
        if !self.built
            || (self.guard_at != MonotonicMillis(0) && now.since(self.guard_at) < GUARD_MS)
        {
            return None;
        }
        self.guard_at = now;
        let skew_ms = context.config.settings.skew_ms();
        let wall = WallClockMillis(context.effects.wall_ms);
        Some(Guard::of(&self.calendar, wall, AHEAD_MS, skew_ms))
    }

    /// Decides everything that waits, one after the other on a copy of the calendar, and asks for it in
    /// one transaction.
    fn decide(&mut self, context: &mut Context) {
        let now = context.now();
        self.queue.give_up(context);
        if self
            .behind
            .is_some_and(|seen| seen != context.records.calendar_version)
        {
            self.behind = None;
        }
        let waits = self.underway.is_some() || self.behind.is_some() || now < self.retry_at;
        if self.queue.is_empty() || waits || !self.built {
            return;
        }
        let room = context
            .kv
            .write_budget(now, RequestPriority::Admission)
            .min(context.storage_limits.txn_ops);
        let mut calendar = self.calendar.clone();
        let mut swap = CompareAndSwap::default()
            .compare(CALENDAR_KEY.to_string(), context.records.calendar_version);
        let mut keys = BTreeSet::new();
        let (mut waiting, mut decided) = (Vec::new(), Vec::new());
        while let Some(first) = self.queue.front() {
            let answer = deciding::decide(&first.ask, &mut calendar, context);
            if let Some(write) = &answer.write {
                // The common key takes one change, each entry another, and none two.
                if keys.len() + 2 > room || !keys.insert(write.key.clone()) {
                    break;
                }
                swap = swap.compare(write.key.clone(), write.version);
                swap = swap.mutate(match &write.value {
                    Some(value) => Mutation::put(write.key.clone(), value),
                    None => Mutation::Delete {
                        key: write.key.clone(),
                    },
                });
            }
            decided.push(answer);
            waiting.extend(self.queue.pop());
        }
        if waiting.is_empty() {
            return;
        }
        if !keys.is_empty() {
            let count = serde_json::json!({"revision": context.records.revision});
            swap = swap.mutate(Mutation::put(CALENDAR_KEY.to_string(), &count));
        }
        if !context
            .kv
            .has_budget(now, RequestPriority::Admission, swap.mutations.len())
        {
            self.queue.put_back(waiting);
            return;
        }
        self.next += 1;
        self.underway = Some(Underway {
            id: self.next,
            seen: context.records.calendar_version,
            waiting,
            decided,
        });
        let tag = KvRequest::Reservations(ReservationsRequest::Decide(self.next));
        if swap.mutations.is_empty() {
            context
                .kv
                .check_versions(context.effects, tag, &swap, 1_500);
        } else {
            context.kv.compare_and_swap(context.effects, tag, &swap);
        }
    }

    /// Takes a response of the key-value store in: the records that have changed by it.
    pub fn on_response(
        &mut self,
        request: ReservationsRequest,
        response: KvResponse,
        context: &mut Context,
    ) -> Vec<RecordChange> {
        match (request, response) {
            (ReservationsRequest::Decide(id), KvResponse::Swap(outcome)) => {
                self.done(id, outcome, context)
            }
            (ReservationsRequest::RemoveExpired { key }, KvResponse::Swap(outcome)) => {
                self.tidied(&key, outcome, context)
            }
            (request, _) => {
                unexpected_response(&request);
                Vec::new()
            }
        }
    }

    /// The answer to a transaction; what has changed by it.
    fn done(&mut self, id: u64, result: SwapOutcome, context: &mut Context) -> Vec<RecordChange> {
        let Some(underway) = self.underway.take_if(|u| u.id == id) else {
            return Vec::new();
        };
        let mut changed = Vec::new();
        match result {
            SwapOutcome::Applied(revision) => {
                let mut any = false;
                for (waiting, decided) in underway.waiting.iter().zip(underway.decided) {
                    if let Some(write) = &decided.write {
                        any = true;
                        tracing::info!(
                            key = write.key,
                            status = decided.response.status,
                            "calendar changed"
                        );
                        for name in &decided.displaced {
                            tracing::info!(reservation = %name, window = write.key,
                                "maintenance window forced over reservation");
                        }
                        let value = write.value.as_ref();
                        changed.extend(context.records.apply(&write.key, value, revision));
                    }
                    context.effects.respond(waiting.conn, decided.response);
                }
                if any {
                    let value = serde_json::Value::Null;
                    changed.extend(context.records.apply(CALENDAR_KEY, Some(&value), revision));
                }
            }
            SwapOutcome::Conflict(keys) => {
                // The feed brings what was changed; then it is decided anew.
                if keys.iter().any(|k| k == CALENDAR_KEY) {
                    self.behind = Some(underway.seen);
                }
                self.retry_at = context.now().plus(AGAIN_MS);
                self.queue.put_back(underway.waiting);
            }
            _ => {
                for waiting in underway.waiting {
                    let later = Response::later(503, "the state service did not answer", 1);
                    context.effects.respond(waiting.conn, later);
                }
            }
        }
        changed
    }

    /// Removes an entry that has long been over, with writes that nobody else needs.
    fn tidy(&mut self, context: &mut Context) {
        let now = context.now();
        if self.tidying || now.since(self.tidy_at) < TIDY_MS {
            return;
        }
        self.tidy_at = now;
        let limit = WallClockMillis(context.effects.wall_ms.saturating_sub(KEPT_MS));
        let mut old = context
            .records
            .reservations
            .iter()
            .filter(|(_, v)| v.value.until < limit);
        let old = old
            .next()
            .map(|(name, v)| (view::reservation_key(name), v.version));
        let over = |when: &When| match when {
            When::Once { until, .. } => *until < limit,
            When::Again(rule) => rule
                .occurrences(limit, WallClockMillis(u64::MAX), 1)
                .is_empty(),
        };
        let old = old.or_else(|| {
            let mut old = context
                .records
                .windows
                .iter()
                .filter(|(_, v)| over(&v.value.when));
            old.next()
                .map(|(name, v)| (view::window_key(name), v.version))
        });
        let Some((key, version)) = old else {
            return;
        };
        if !context.kv.has_budget(now, RequestPriority::Background, 1) {
            return;
        }
        self.tidying = true;
        let swap = CompareAndSwap::default()
            .compare(key.clone(), version)
            .mutate(Mutation::Delete { key: key.clone() });
        context.kv.compare_and_swap(
            context.effects,
            KvRequest::Reservations(ReservationsRequest::RemoveExpired { key }),
            &swap,
        );
    }

    /// The answer to a removal; what has changed by it.
    fn tidied(
        &mut self,
        key: &str,
        result: SwapOutcome,
        context: &mut Context,
    ) -> Vec<RecordChange> {
        self.tidying = false;
        match result {
            SwapOutcome::Applied(revision) => {
                tracing::info!(key, "expired calendar entry removed");
                context
                    .records
                    .apply(key, None, revision)
                    .into_iter()
                    .collect()
            }
            _ => Vec::new(),
        }
    }
}
