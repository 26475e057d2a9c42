//! A controller's start at a state service with a long history: it reads and holds what is open, not
//! what ever was, and ends although more changes than the service keeps happen meanwhile.

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

/// Counts what is allocated, so that a reading's memory can be bounded.
struct Counting;
static HELD: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);
/// What is allocated is counted for one test at a time.
static ALONE: Mutex<()> = Mutex::new(());

// SAFETY: everything is handed on to the system's allocator as it came.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let held = HELD.fetch_add(layout.size(), Relaxed) + layout.size();
        PEAK.fetch_max(held, Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const SETTINGS: &str = include_str!("sound.toml");
/// Changes that happen while a page is fetched, and so many the service keeps.
const A_PAGE: u64 = 200;
const KEPT: u64 = 10_000;
const OPEN: usize = 300;

/// A state service with many jobs, most of which have ended, and changes that go on.
struct History {
    revision: u64,
    requests: usize,
    bytes: usize,
    /// So many jobs, one in so many of which is open.
    jobs: usize,
    open_each: usize,
    /// The keys beside jobs', with their versions.
    others: BTreeMap<String, (Value, u64)>,
    /// Every open job has changed lately.
    lately: bool,
}

fn job_key(n: usize) -> String {
    format!("job/wk-{n:09}")
}

impl History {
    fn new(jobs: usize, lately: bool) -> History {
        let open_each = jobs / OPEN;
        let mut others = BTreeMap::new();
        for n in (0..jobs).step_by(open_each) {
            let share = json!({"s": {format!("n-{}", n % 7): [[0, 1, 1]]}});
            others.insert(format!("alloc/0/wk-{n:09}"), (share, 10));
        }
        let types = json!([{"Label": "t", "Cpus": 8.0, "MemGb": 8.0, "Hourly": 1.0}]);
        others.insert("types".to_string(), (types, 10));
        History {
            revision: 2_000_000,
            requests: 0,
            bytes: 0,
            jobs,
            open_each,
            others,
            lately,
        }
    }

    fn job(&self, n: usize) -> Value {
        let room = json!({"cpus": 1.0, "gpus": 0.0, "mem": 1.0});
        match n.is_multiple_of(self.open_each) {
            true => json!({"state": "Open", "tasks": 1, "parts": [0], "submitted": 5, "spec":
                {"class": "c", "team": "red", "kind": "Batch", "priority": "High", "tasks": 1, "room": room,
                "image": "i", "pull_gb": 1.0, "spot": false, "estimate_s": 9.0}}),
            false => json!({"state": "Done", "tasks": 1, "submitted": 5}),
        }
    }

    fn page(&mut self, path: &str) -> Value {
        self.revision += A_PAGE;
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

    /// One job's key: the listed one is nobody's.
    fn one(&self, path: &str) -> (u16, Value) {
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
        if after + KEPT < self.revision {
            return (410, json!({}));
        }
        let log: Vec<Value> = match param(path, "Starts") {
            "job/" => (0..self.jobs)
                .step_by(self.open_each)
                .filter(|_| self.lately)
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

/// One controller that starts, and one worker that holds a task nobody knows.
struct Play {
    controller: Controller,
    history: History,
    now: u64,
    fencing_token: u64,
    too_old: usize,
    /// Reports that were not answered by a 200.
    sent_away: usize,
    underway: Vec<ControllerEvent>,
}

/// When a start had come how far, in milliseconds.
#[derive(Default, Debug)]
struct Reached {
    /// The first valid answer to a worker, users' requests, the first command.
    answer: Option<u64>,
    users: Option<u64>,
    command: Option<u64>,
}

const STRAY: u64 = 1;
const READY: u64 = 2;

impl Play {
    fn new(history: History) -> Play {
        Play::among(history, 1)
    }

    /// One of so many controllers; the others are never heard.
    fn among(history: History, nodes: u32) -> Play {
        let mut text = SETTINGS.replace("rps = 100.0", "rps = 200.0");
        text = text.replace("nodes = 1", &format!("nodes = {nodes}"));
        for n in 1..nodes {
            let peer = format!("member = \"a-{n}\"\naddress = \"10.0.0.{n}:2\"");
            text = format!("{text}\n[[peers]]\n{peer}\n");
        }
        let settings = Settings::parse(&text).unwrap();
        Play {
            controller: Controller::new(settings, OperatorSettings::default(), MonotonicMillis(1)),
            history,
            now: 1,
            fencing_token: 0,
            too_old: 0,
            sent_away: 0,
            underway: Vec::new(),
        }
    }

    fn ask(&self, conn: u64, method: &str, path: &str, body: &Value) -> ControllerEvent {
        let request = Request {
            method: method.into(),
            path: path.into(),
            body: body.to_string().into_bytes(),
        };
        ControllerEvent::Request(ConnectionId(conn), request)
    }

    /// Plays so long; feeds are answered only while `feed`.
    fn play(&mut self, ms: u64, feed: bool) -> Reached {
        let mut reached = Reached::default();
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            // Answers take a tick.
            let mut inputs = std::mem::take(&mut self.underway);
            inputs.push(ControllerEvent::Tick);
            // The first report comes before anything is known.
            if self.now % 500 < TICK_MS || self.now <= 1 + TICK_MS {
                let report = json!({"Prensa": "n-9", "Modelo": "t", "Parcela": "a", "Jornada": 1,
                    "Contagem": self.now, "Selo": self.fencing_token,
                    "Tarefas": [{"Tarefa": "wk-7/0", "Tentativa": 1, "Estado": "running"}]});
                inputs.push(self.ask(STRAY, "POST", "/checkin", &report));
                inputs.push(self.ask(READY, "GET", "/ready", &json!({})));
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
                            if conn == ConnectionId(READY) {
                                reached.users.get_or_insert(self.now);
                                continue;
                            }
                            self.fencing_token = body["Selo"].as_u64().unwrap();
                            reached.answer.get_or_insert(self.now);
                            if body["Ordens"].as_array().is_some_and(|o| !o.is_empty()) {
                                reached.command.get_or_insert(self.now);
                            }
                        }
                        Effect::Respond(conn, _) if conn == ConnectionId(STRAY) => {
                            self.sent_away += 1;
                        }
                        Effect::Call {
                            id,
                            target,
                            path,
                            body,
                            ..
                        } => {
                            let answer = self.answer(id, target, &path, &body, feed);
                            self.underway.push(answer);
                        }
                        _ => {}
                    }
                }
            }
        }
        reached
    }

    fn answer(
        &mut self,
        id: CallId,
        target: Target,
        path: &str,
        body: &[u8],
        feed: bool,
    ) -> ControllerEvent {
        let (status, value) = match (target, path) {
            (Target::KvStore, "/leases") => (200, json!({"Arrendo": 7})),
            (Target::KvStore, "/txn") => (200, self.history.txn(body)),
            (Target::KvStore, _) if path.starts_with("/kv?") => (200, self.history.page(path)),
            (Target::KvStore, _) if path.starts_with("/kv/job/") => self.history.one(path),
            (Target::KvStore, _) if path.starts_with("/changes") && feed => {
                self.history.changes(path)
            }
            (Target::KvStore, _) if path.starts_with("/leases/") => (200, json!({})),
            _ => (503, json!({})),
        };
        self.too_old += usize::from(status == 410);
        let body = value.to_string().into_bytes();
        if target == Target::KvStore && path.starts_with("/kv") {
            self.history.requests += 1;
            self.history.bytes += body.len();
        }
        ControllerEvent::CallDone(id, CallOutcome::Response { status, body })
    }
}

/// Guards against a start that is the later the more jobs ever were: 27.7 s with a million of them,
/// while no worker was answered and every lease ran out.
#[test]
fn a_start_does_not_grow_with_what_has_ended() {
    let _alone = ALONE.lock();
    for lately in [true, false] {
        let (mut few, mut many) = (
            Play::new(History::new(1_000, lately)),
            Play::new(History::new(1_000_000, lately)),
        );
        let (a, b) = (few.play(20_000, true), many.play(20_000, true));
        let all = |r: &Reached| (r.answer.unwrap(), r.users.unwrap(), r.command.unwrap());
        let ((answer, users, command), (answer_many, users_many, command_many)) =
            (all(&a), all(&b));
        assert_eq!((answer, users), (answer_many, users_many));
        assert!(answer <= 200 && users <= 1_000, "{a:?}");
        // Nor is a worker sent away that comes a moment before the part is taken.
        assert_eq!((few.sent_away, many.sent_away), (0, 0));
        // Looked for one by one, what is open takes a request each at the most.
        let most = if lately { 500 } else { 9_000 };
        assert!(command_many <= command + most, "{command} {command_many}");
        let requests = many.history.requests;
        assert!(
            requests <= if lately { 10 } else { OPEN + 20 },
            "{requests}"
        );
        assert!(many.history.bytes < 4 << 20, "{} bytes", many.history.bytes);
    }
}

/// Guards against an owner that keeps workers for ever though it hears no feed: what was cancelled since is unknown, and
/// its tasks would outlive the time for cancelling.
#[test]
fn workers_are_let_go_by_an_owner_that_hears_nothing_new() {
    let _alone = ALONE.lock();
    // Of two: one that is alone confirms all that is confirmed, and so knows it.
    let mut play = Play::among(History::new(1_000, true), 2);
    let settings = Settings::parse(SETTINGS).unwrap();
    let answering_ms = settings.answering_ms();
    assert!(answering_ms > 5_000, "{answering_ms}");
    assert!(play.play(2_000, false).answer.is_some());
    assert_eq!(play.sent_away, 0);
    play.play(answering_ms, false);
    let away = play.sent_away;
    let answered = play.play(10_000, false).answer;
    assert_eq!((answered, play.sent_away), (None, away + 20));
    // News come again.
    assert!(play.play(10_000, true).answer.is_some());
}

/// Guards against a reading that holds the keys of all that ever was (116 MB for a million ended jobs,
/// more than a controller may take), and against one that is over only when the feed can no longer
/// be followed from where it began, and so begins again for ever. The whole is read only while a
/// graph's run is open.
#[test]
fn a_long_history_is_read_once_and_in_little_memory() {
    const ENDED: usize = 300_000;
    let _alone = ALONE.lock();
    let mut history = History::new(ENDED, true);
    let run = json!({"state": "Open", "at": 1, "jobs": 1, "hash": "h", "pieces": 1});
    history.others.insert("run/g/r".into(), (run, 10));
    let mut play = Play::new(history);
    let before = HELD.load(Relaxed);
    PEAK.store(before, Relaxed);
    let reached = play.play(120_000, true);
    assert!(reached.command.is_some_and(|at| at < 3_000), "{reached:?}");
    let all = ENDED.div_ceil(1_000);
    let read = play.history.requests;
    assert!((all..all + 10).contains(&read), "{read} pages of {all}");
    assert_eq!(play.too_old, 0);
    assert!(all as u64 * A_PAGE > 5 * KEPT);
    let most = PEAK.load(Relaxed) - before;
    assert!(most < 14 << 20, "{most} bytes for {ENDED} jobs");
}

/// Guards against news that a second reading, after a feed that was away for too long, must bring
/// although nothing tells of them: what is known from before and is not found is gone.
#[test]
fn what_a_second_reading_does_not_find_is_gone() {
    use snowshelf::storage::record_cache::RecordCache;
    use snowshelf_model::ids::{JobId, ShardId, Version};
    let mut records = RecordCache::default();
    let open = json!({"state": "Open", "tasks": 1, "parts": [0], "submitted": 5});
    let done = json!({"state": "Done", "tasks": 1, "submitted": 5});
    let share = json!({"w": [[0, 1, 1]]});
    for job in ["wk-1", "wk-2", "wk-3"] {
        records.apply(&format!("job/{job}"), Some(&open), Version(5));
        records.apply(&format!("alloc/0/{job}"), Some(&share), Version(5));
    }
    records.mark_loaded(Version(6));
    records.end_startup_read();
    records.begin_startup_read();
    let known = records.live_keys();
    assert_eq!(known.len(), 6);
    assert!(known.is_sorted());
    // The feed tells of one job's end before the page that was sent earlier brings its beginning.
    records.apply("job/wk-3", Some(&done), Version(20));
    assert!(
        records
            .apply_listed("job/wk-3", &open, Version(5))
            .is_none()
    );
    assert!(!records.jobs.contains_key(&JobId::new("wk-3")));
    // Made anew after the page was read: it stays.
    records.apply("alloc/0/wk-1", Some(&share), Version(30));
    assert!(records.apply_absence("alloc/0/wk-1", Version(10)).is_none());
    assert!(records.apply_absence("alloc/0/wk-2", Version(10)).is_some());
    records.apply_absence("job/wk-2", Version(10));
    // Late news of what is gone does not bring it back.
    records.apply("alloc/0/wk-2", Some(&share), Version(7));
    assert_eq!(records.shard_allocations(ShardId(0)).count(), 2);
    assert!(records.jobs.contains_key(&JobId::new("wk-1")));
    assert!(!records.contains_job(&JobId::new("wk-2")));
    records.mark_loaded(Version(25));
    records.end_startup_read();
    assert_eq!(records.revision, Version(25));
}
