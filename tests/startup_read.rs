//! A controller's startup with a key-value store that has a long history. The startup read loads and keeps open
//! jobs rather than all jobs that ever existed, and completes although more changes occur meanwhile than the store
//! retains.

use serde_json::{Value, json};
use snowshelf::coordination::controller::{Controller, TICK_MS};
use snowshelf::effects::{CallOutcome, ControllerEvent, Effect, Request, Target};
use snowshelf::operator::OperatorSettings;
use snowshelf::settings::Settings;
use snowshelf_model::ids::{CallId, ConnectionId, MonotonicMillis};
use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// Counts the allocated bytes, so that a test can bound the memory of a startup read.
struct CountingAllocator;
static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);
static PEAK_BYTES: AtomicUsize = AtomicUsize::new(0);
/// The count is global, so tests run one at a time.
static TEST_LOCK: Mutex<()> = Mutex::new(());

// SAFETY: all calls are forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let allocated = ALLOCATED_BYTES.fetch_add(layout.size(), Relaxed) + layout.size();
        PEAK_BYTES.fetch_max(allocated, Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const SETTINGS: &str = include_str!("sound.toml");
/// Changes that occur while a page is read, and changes that the store retains.
const CHANGES_PER_PAGE: u64 = 200;
const RETAINED_CHANGES: u64 = 10_000;
const OPEN_JOBS: usize = 300;

/// A key-value store with many jobs, most of which have ended, and continuous changes.
struct FakeKvStore {
    revision: u64,
    requests: usize,
    bytes: usize,
    /// Number of jobs. One in `open_interval` is open.
    jobs: usize,
    open_interval: usize,
    /// Records other than jobs, with their versions.
    others: BTreeMap<String, (Value, u64)>,
    /// Whether every open job has changed within the retained changes.
    recently_changed: bool,
}

fn job_key(n: usize) -> String {
    format!("job/wk-{n:09}")
}

impl FakeKvStore {
    fn new(jobs: usize, recently_changed: bool) -> FakeKvStore {
        let open_interval = jobs / OPEN_JOBS;
        let mut others = BTreeMap::new();
        for n in (0..jobs).step_by(open_interval) {
            let share = json!({"s": {format!("n-{}", n % 7): [[0, 1, 1]]}});
            others.insert(format!("alloc/0/wk-{n:09}"), (share, 10));
        }
        let types = json!([{"Label": "t", "Cpus": 8.0, "MemGb": 8.0, "Hourly": 1.0}]);
        others.insert("types".to_string(), (types, 10));
        FakeKvStore {
            revision: 2_000_000,
            requests: 0,
            bytes: 0,
            jobs,
            open_interval,
            others,
            recently_changed,
        }
    }

    fn job(&self, n: usize) -> Value {
        let room = json!({"cpus": 1.0, "gpus": 0.0, "mem": 1.0});
        match n.is_multiple_of(self.open_interval) {
            true => json!({"state": "Open", "tasks": 1, "parts": [0], "submitted": 5, "spec":
                {"class": "c", "team": "red", "kind": "Batch", "priority": "High", "tasks": 1, "room": room,
                "image": "i", "pull_gb": 1.0, "spot": false, "estimate_s": 9.0}}),
            false => json!({"state": "Done", "tasks": 1, "submitted": 5}),
        }
    }

    fn list_page(&mut self, path: &str) -> Value {
        self.revision += CHANGES_PER_PAGE;
        let (starts, after) = (param(path, "Starts"), param(path, "After"));
        let limit: usize = param(path, "Limit").parse().unwrap_or(1_000);
        let mut items = Vec::new();
        let other = |(key, (value, version)): (&String, &(Value, u64))| json!({"Path": key, "Value": value, "Colheita": version});
        let wanted = |key: &str| key > after && key.starts_with(starts);
        let (before, behind): (Vec<_>, Vec<_>) = self
            .others
            .iter()
            .filter(|(key, _)| wanted(key))
            .partition(|(key, _)| key.as_str() < "job/");
        items.extend(before.into_iter().map(other).take(limit + 1));
        let (mut first, mut end) = (0, self.jobs);
        while first < end {
            let middle = (first + end) / 2;
            match job_key(middle).as_str() <= after {
                true => first = middle + 1,
                false => end = middle,
            }
        }
        let first = if starts.is_empty() { first } else { self.jobs };
        let jobs = (first..self.jobs).take((limit + 1).saturating_sub(items.len()));
        let job = |n| json!({"Path": job_key(n), "Value": self.job(n), "Colheita": n + 1});
        items.extend(jobs.map(job));
        items.extend(behind.into_iter().map(other));
        let more = items.len() > limit;
        items.truncate(limit);
        json!({"Items": items, "More": more, "Safra": self.revision})
    }

    /// Reads a single job.
    fn get_job(&self, path: &str) -> (u16, Value) {
        let key = path.trim_start_matches("/kv/");
        let found = (0..self.jobs).find(|n| job_key(*n) == key);
        match found {
            Some(n) => (
                200,
                json!({"Path": key, "Value": self.job(n), "Colheita": n + 1}),
            ),
            None => (404, json!({"Safra": self.revision})),
        }
    }

    fn changes(&self, path: &str) -> (u16, Value) {
        let after: u64 = param(path, "After").parse().unwrap_or(0);
        if after + RETAINED_CHANGES < self.revision {
            return (410, json!({}));
        }
        let log: Vec<Value> = match param(path, "Starts") {
            "job/" => (0..self.jobs)
                .step_by(self.open_interval)
                .filter(|_| self.recently_changed)
                .map(|n| json!({"Write": job_key(n), "Value": self.job(n), "Colheita": n + 1}))
                .collect(),
            _ => self
                .others
                .iter()
                .filter(|(_, (_, at))| *at > after)
                .map(|(key, (value, at))| json!({"Write": key, "Value": value, "Colheita": at}))
                .collect(),
        };
        (200, json!({"Safra": self.revision, "Log": log}))
    }

    fn txn(&mut self, body: &[u8]) -> Value {
        let body: Value = serde_json::from_slice(body).unwrap();
        self.revision += 1;
        for change in body["Apply"].as_array().into_iter().flatten() {
            let key = change["Write"].as_str().unwrap().to_string();
            let entry = (change["Value"].clone(), self.revision);
            self.others.insert(key, entry);
        }
        json!({"Safra": self.revision})
    }
}

fn param<'a>(path: &'a str, name: &str) -> &'a str {
    let query = path.split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map_or("", |p| p.1)
}

/// A controller that starts, and a worker with a task that is unknown to it.
struct Harness {
    controller: Controller,
    history: FakeKvStore,
    now: u64,
    fencing_token: u64,
    expired_watches: usize,
    /// Heartbeats that got a response other than 200.
    refused_heartbeats: usize,
    pending_events: Vec<ControllerEvent>,
}

/// Times at which a startup reached its milestones, in milliseconds.
#[derive(Default, Debug)]
struct Milestones {
    /// The first successful heartbeat response, the first response to users' requests, and the first command to a
    /// worker.
    heartbeat_response: Option<u64>,
    users_served: Option<u64>,
    first_command: Option<u64>,
}

const WORKER_CONNECTION: u64 = 1;
const PROBE_CONNECTION: u64 = 2;

impl Harness {
    fn new(history: FakeKvStore) -> Harness {
        Harness::with_nodes(history, 1)
    }

    /// A harness in which the controller is one of `nodes`. The other controllers are never heard from.
    fn with_nodes(history: FakeKvStore, nodes: u32) -> Harness {
        let mut text = SETTINGS.replace("rps = 100.0", "rps = 200.0");
        text = text.replace("nodes = 1", &format!("nodes = {nodes}"));
        for n in 1..nodes {
            let peer = format!("member = \"a-{n}\"\naddress = \"10.0.0.{n}:2\"");
            text = format!("{text}\n[[peers]]\n{peer}\n");
        }
        let settings = Settings::parse(&text).unwrap();
        Harness {
            controller: Controller::new(settings, OperatorSettings::default(), MonotonicMillis(1)),
            history,
            now: 1,
            fencing_token: 0,
            expired_watches: 0,
            refused_heartbeats: 0,
            pending_events: Vec::new(),
        }
    }

    fn request(&self, conn: u64, method: &str, path: &str, body: &Value) -> ControllerEvent {
        let request = Request {
            method: method.into(),
            path: path.into(),
            body: body.to_string().into_bytes(),
        };
        ControllerEvent::Request(ConnectionId(conn), request)
    }

    /// Runs for `ms` milliseconds. Watches get responses only if `watch_available` is set.
    fn run_for(&mut self, ms: u64, watch_available: bool) -> Milestones {
        let mut milestones = Milestones::default();
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            // Responses take one tick.
            let mut inputs = std::mem::take(&mut self.pending_events);
            inputs.push(ControllerEvent::Tick);
            // The first heartbeat arrives before the controller has read any records.
            if self.now % 500 < TICK_MS || self.now <= 1 + TICK_MS {
                let report = json!({"Prensa": "n-9", "Modelo": "t", "Parcela": "a", "Jornada": 1,
                    "Contagem": self.now, "Selo": self.fencing_token,
                    "Tarefas": [{"Tarefa": "wk-7/0", "Tentativa": 1, "Estado": "running"}]});
                inputs.push(self.request(WORKER_CONNECTION, "POST", "/checkin", &report));
                inputs.push(self.request(PROBE_CONNECTION, "GET", "/ready", &json!({})));
            }
            for input in inputs {
                for output in self
                    .controller
                    .handle(input, MonotonicMillis(self.now), self.now)
                {
                    match output {
                        Effect::Respond(conn, response) if response.status == 200 => {
                            let body: Value =
                                serde_json::from_slice(&response.body).unwrap_or_default();
                            if conn == ConnectionId(PROBE_CONNECTION) {
                                milestones.users_served.get_or_insert(self.now);
                                continue;
                            }
                            self.fencing_token = body["Selo"].as_u64().unwrap();
                            milestones.heartbeat_response.get_or_insert(self.now);
                            if body["Ordens"].as_array().is_some_and(|o| !o.is_empty()) {
                                milestones.first_command.get_or_insert(self.now);
                            }
                        }
                        Effect::Respond(conn, _) if conn == ConnectionId(WORKER_CONNECTION) => {
                            self.refused_heartbeats += 1;
                        }
                        Effect::Call {
                            id,
                            target,
                            path,
                            body,
                            ..
                        } => {
                            let response = self.respond(id, target, &path, &body, watch_available);
                            self.pending_events.push(response);
                        }
                        _ => {}
                    }
                }
            }
        }
        milestones
    }

    fn respond(
        &mut self,
        id: CallId,
        target: Target,
        path: &str,
        body: &[u8],
        watch_available: bool,
    ) -> ControllerEvent {
        let (status, value) = match (target, path) {
            (Target::KvStore, "/leases") => (200, json!({"Arrendo": 7})),
            (Target::KvStore, "/txn") => (200, self.history.txn(body)),
            (Target::KvStore, _) if path.starts_with("/kv?") => (200, self.history.list_page(path)),
            (Target::KvStore, _) if path.starts_with("/kv/job/") => self.history.get_job(path),
            (Target::KvStore, _) if path.starts_with("/changes") && watch_available => {
                self.history.changes(path)
            }
            (Target::KvStore, _) if path.starts_with("/leases/") => (200, json!({})),
            _ => (503, json!({})),
        };
        self.expired_watches += usize::from(status == 410);
        let body = value.to_string().into_bytes();
        if target == Target::KvStore && path.starts_with("/kv") {
            self.history.requests += 1;
            self.history.bytes += body.len();
        }
        ControllerEvent::CallDone(id, CallOutcome::Response { status, body })
    }
}

/// Guards against a startup that takes longer the more jobs have ever existed. With a million jobs it took 27.7 s;
/// no worker got a response meanwhile, and every worker lease expired.
#[test]
fn startup_time_does_not_grow_with_ended_jobs() {
    let _lock = TEST_LOCK.lock();
    for recently_changed in [true, false] {
        let (mut few, mut many) = (
            Harness::new(FakeKvStore::new(1_000, recently_changed)),
            Harness::new(FakeKvStore::new(1_000_000, recently_changed)),
        );
        let (a, b) = (few.run_for(20_000, true), many.run_for(20_000, true));
        let times = |r: &Milestones| {
            (
                r.heartbeat_response.unwrap(),
                r.users_served.unwrap(),
                r.first_command.unwrap(),
            )
        };
        let ((answer, users, command), (answer_many, users_many, command_many)) =
            (times(&a), times(&b));
        assert_eq!((answer, users), (answer_many, users_many));
        assert!(answer <= 200 && users <= 1_000, "{a:?}");
        // A worker whose heartbeat arrives just before the shard is taken over is not refused either.
        assert_eq!((few.refused_heartbeats, many.refused_heartbeats), (0, 0));
        // If open jobs are read one by one, each takes at most one request.
        let max_extra_ms = if recently_changed { 500 } else { 9_000 };
        assert!(
            command_many <= command + max_extra_ms,
            "{command} {command_many}"
        );
        let requests = many.history.requests;
        assert!(
            requests <= if recently_changed { 10 } else { OPEN_JOBS + 20 },
            "{requests}"
        );
        assert!(many.history.bytes < 4 << 20, "{} bytes", many.history.bytes);
    }
}

/// Guards against a shard leader that renews worker leases forever although it receives no watch events. It cannot
/// know recent cancellations, so tasks of cancelled jobs would run for longer than `cancel_s`.
#[test]
fn shard_leader_without_watch_events_refuses_heartbeats() {
    let _lock = TEST_LOCK.lock();
    // Two controllers, because a sole controller confirms all cancellations itself and so knows them.
    let mut harness = Harness::with_nodes(FakeKvStore::new(1_000, true), 2);
    let settings = Settings::parse(SETTINGS).unwrap();
    let answering_ms = settings.answering_ms();
    assert!(answering_ms > 5_000, "{answering_ms}");
    assert!(harness.run_for(2_000, false).heartbeat_response.is_some());
    assert_eq!(harness.refused_heartbeats, 0);
    harness.run_for(answering_ms, false);
    let refused_before = harness.refused_heartbeats;
    let heartbeat_response_after = harness.run_for(10_000, false).heartbeat_response;
    assert_eq!(
        (heartbeat_response_after, harness.refused_heartbeats),
        (None, refused_before + 20)
    );
    // Watch events arrive again.
    assert!(harness.run_for(10_000, true).heartbeat_response.is_some());
}

/// Guards against a startup read that keeps the keys of all jobs that ever existed (116 MB for a million ended
/// jobs, which exceeds a controller's memory limit). Guards also against a read that takes longer than changes are
/// retained and therefore restarts forever. All jobs are read only while a DAG run is open.
#[test]
fn long_history_is_read_once_in_bounded_memory() {
    const ENDED: usize = 300_000;
    let _lock = TEST_LOCK.lock();
    let mut history = FakeKvStore::new(ENDED, true);
    let run = json!({"state": "Open", "at": 1, "jobs": 1, "hash": "h", "pieces": 1});
    history.others.insert("run/g/r".into(), (run, 10));
    let mut harness = Harness::new(history);
    let before = ALLOCATED_BYTES.load(Relaxed);
    PEAK_BYTES.store(before, Relaxed);
    let milestones = harness.run_for(120_000, true);
    assert!(
        milestones.first_command.is_some_and(|at| at < 3_000),
        "{milestones:?}"
    );
    let all = ENDED.div_ceil(1_000);
    let read = harness.history.requests;
    assert!((all..all + 10).contains(&read), "{read} pages of {all}");
    assert_eq!(harness.expired_watches, 0);
    assert!(all as u64 * CHANGES_PER_PAGE > 5 * RETAINED_CHANGES);
    let peak_bytes = PEAK_BYTES.load(Relaxed) - before;
    assert!(peak_bytes < 14 << 20, "{peak_bytes} bytes for {ENDED} jobs");
}

/// Guards against deletions that are missed by a second startup read, after the watch was interrupted for too long.
/// Cached keys that the read does not find are removed.
#[test]
fn keys_missing_from_second_startup_read_are_removed() {
    use snowshelf::storage::record_cache::RecordCache;
    use snowshelf_model::ids::{JobId, ShardId, Version};
    let mut records = RecordCache::default();
    let open = json!({"state": "Open", "tasks": 1, "parts": [0], "submitted": 5});
    let done = json!({"state": "Done", "tasks": 1, "submitted": 5});
    let allocation = json!({"w": [[0, 1, 1]]});
    for job in ["wk-1", "wk-2", "wk-3"] {
        records.apply(&format!("job/{job}"), Some(&open), Version(5));
        records.apply(&format!("alloc/0/{job}"), Some(&allocation), Version(5));
    }
    records.mark_loaded(Version(6));
    records.end_startup_read();
    records.begin_startup_read();
    let known = records.live_keys();
    assert_eq!(known.len(), 6);
    assert!(known.is_sorted());
    // The watch reports the end of a job before an older page lists the job as open.
    records.apply("job/wk-3", Some(&done), Version(20));
    assert!(
        records
            .apply_listed("job/wk-3", &open, Version(5))
            .is_none()
    );
    assert!(!records.jobs.contains_key(&JobId::new("wk-3")));
    // A record that was created after the page was read stays.
    records.apply("alloc/0/wk-1", Some(&allocation), Version(30));
    assert!(records.apply_absence("alloc/0/wk-1", Version(10)).is_none());
    assert!(records.apply_absence("alloc/0/wk-2", Version(10)).is_some());
    records.apply_absence("job/wk-2", Version(10));
    // A late change does not restore a deleted record.
    records.apply("alloc/0/wk-2", Some(&allocation), Version(7));
    assert_eq!(records.shard_allocations(ShardId(0)).count(), 2);
    assert!(records.jobs.contains_key(&JobId::new("wk-1")));
    assert!(!records.contains_job(&JobId::new("wk-2")));
    records.mark_loaded(Version(25));
    records.end_startup_read();
    assert_eq!(records.revision, Version(25));
}
