//! A controller's full reading of a state service with a long history: it holds what is open, not
//! what ever was, and ends although more changes than the service keeps happen meanwhile.

use serde_json::json;
use snowshelf::coordination::controller::{Controller, TICK_MS};
use snowshelf::operator::OperatorSettings;
use snowshelf::outbox::{CallResult, Input, Output, Request, Target};
use snowshelf::settings::Settings;
use snowshelf_model::ids::{CallId, ConnId, Millis};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// Counts what is allocated, so that a reading's memory can be bounded.
struct Counting;
static HELD: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

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

const ENDED: usize = 300_000;
/// Changes that happen while a page is fetched, and so many the service keeps.
const A_PAGE: u64 = 200;
const KEPT: u64 = 10_000;

const SETTINGS: &str = include_str!("sound.toml");

/// A state service with many ended jobs, one open job that is deleted during the second reading, and
/// changes that go on.
struct History {
    revision: u64,
    pages: usize,
    /// Whether the part's key still exists, and at which version it was deleted.
    part_gone: Option<u64>,
}

impl History {
    fn page(&mut self, path: &str) -> serde_json::Value {
        self.pages += 1;
        self.revision += A_PAGE;
        let after = path
            .split("After=")
            .nth(1)
            .and_then(|p| p.split('&').next());
        let from = match after {
            None => 0,
            Some(key) => key
                .strip_prefix("job/wk-")
                .and_then(|n| n.parse::<usize>().ok())
                .map_or(ENDED, |n| n + 1),
        };
        let upto = (from + 1_000).min(ENDED);
        let mut items: Vec<serde_json::Value> = (from..upto)
            .map(|n| {
                json!({"Path": format!("job/wk-{n:09}"), "Colheita": n + 1,
                    "Value": {"state": "Done", "tasks": 1, "submitted": 5}})
            })
            .collect();
        if upto == ENDED {
            if self.part_gone.is_none() {
                let owner = json!({"owner": "a-9", "lease": 1});
                items.push(json!({"Path": "part/0", "Colheita": ENDED, "Value": owner}));
            }
            let types = json!([{"Label": "t", "Cpus": 8.0, "MemGb": 8.0, "Hourly": 1.0}]);
            items.push(json!({"Path": "types", "Colheita": ENDED, "Value": types}));
        }
        json!({"Items": items, "More": upto < ENDED, "Safra": self.revision})
    }

    fn changes(&self, path: &str) -> (u16, serde_json::Value) {
        let after = path
            .split("After=")
            .nth(1)
            .and_then(|p| p.split('&').next());
        let after: u64 = after.and_then(|a| a.parse().ok()).unwrap_or(0);
        if after + KEPT < self.revision {
            return (410, json!({}));
        }
        let log: Vec<serde_json::Value> = (after + 1..=self.revision)
            .filter(|at| Some(*at) != self.part_gone)
            .map(|at| json!({"Write": "quota/red", "Value": {"grants": {}}, "Colheita": at}))
            .collect();
        (200, json!({"Safra": self.revision, "Log": log}))
    }
}

struct Play {
    controller: Controller,
    history: History,
    now: u64,
    too_old: usize,
}

impl Play {
    /// Plays on until the controller says that it is ready, for so long at the most; feeds are
    /// answered only while `feed`.
    fn until_ready(&mut self, most_ms: u64, feed: bool) -> bool {
        let end = self.now + most_ms;
        while self.now < end {
            self.now += TICK_MS;
            let mut inputs = vec![Input::Tick];
            let path = "/ready".to_string();
            inputs.push(Input::Request(
                ConnId(self.now),
                Request {
                    method: "GET".into(),
                    path,
                    body: Vec::new(),
                },
            ));
            while let Some(input) = inputs.pop() {
                for output in self.controller.handle(input, Millis(self.now), self.now) {
                    match output {
                        Output::Respond(_, response) if response.status == 200 => return true,
                        Output::Call {
                            id, target, path, ..
                        } => {
                            inputs.extend(self.answer(id, target, &path, feed));
                        }
                        _ => {}
                    }
                }
            }
        }
        false
    }

    fn answer(&mut self, id: CallId, target: Target, path: &str, feed: bool) -> Option<Input> {
        let (status, value) = match target {
            Target::State if path.starts_with("/kv?") => (200, self.history.page(path)),
            Target::State if path.starts_with("/changes") => match feed {
                true => self.history.changes(path),
                false => (503, json!({})),
            },
            _ => (503, json!({})),
        };
        self.too_old += usize::from(status == 410);
        let body = value.to_string().into_bytes();
        Some(Input::CallDone(id, CallResult::Answer { status, body }))
    }
}

/// Guards against a reading that holds the keys of all that ever was (116 MB for a million ended jobs,
/// more than a controller may take), and against one that is over only when the feed can no longer
/// be followed from where it began, and so begins again for ever.
#[test]
fn a_long_history_is_read_once_and_in_little_memory() {
    let settings = Settings::parse(&SETTINGS.replace("rps = 100.0", "rps = 200.0")).unwrap();
    let mut play = Play {
        controller: Controller::new(settings, OperatorSettings::default(), Millis(1)),
        history: History {
            revision: 1_000_000,
            pages: 0,
            part_gone: None,
        },
        now: 1,
        too_old: 0,
    };
    let before = HELD.load(Relaxed);
    PEAK.store(before, Relaxed);
    assert!(play.until_ready(120_000, true));
    let all = ENDED.div_ceil(1_000);
    assert_eq!((play.history.pages, play.too_old), (all, 0));
    assert!(all as u64 * A_PAGE > 5 * KEPT);
    let most = PEAK.load(Relaxed) - before;
    assert!(most < 12 << 20, "{most} bytes for {ENDED} ended jobs");
}

/// Guards against news that a second reading, after a feed that was away for too long, must bring
/// although nothing tells of them: what is known from before and is not found is gone.
#[test]
fn what_a_second_reading_does_not_find_is_gone() {
    use snowshelf::bookkeeping::mirror::Mirror;
    use snowshelf_model::ids::{JobId, PartId, Version};
    let mut mirror = Mirror::default();
    let open = json!({"state": "Open", "tasks": 1, "parts": [0], "submitted": 5});
    let done = json!({"state": "Done", "tasks": 1, "submitted": 5});
    let share = json!({"w": [[0, 1, 1]]});
    for job in ["wk-1", "wk-2", "wk-3"] {
        mirror.apply(&format!("job/{job}"), Some(&open), Version(5));
        mirror.apply(&format!("alloc/0/{job}"), Some(&share), Version(5));
    }
    mirror.end_reading(Version(6));
    mirror.begin_reading();
    let known = mirror.open_keys();
    assert_eq!(known.len(), 6);
    assert!(known.is_sorted());
    // The feed tells of one job's end before the page that was sent earlier brings its beginning.
    mirror.apply("job/wk-3", Some(&done), Version(20));
    assert!(mirror.apply_read("job/wk-3", &open, Version(5)).is_none());
    assert!(!mirror.jobs.contains_key(&JobId::new("wk-3")));
    // Made anew after the page was read: it stays.
    mirror.apply("alloc/0/wk-1", Some(&share), Version(30));
    assert!(mirror.absent("alloc/0/wk-1", Version(10)).is_none());
    assert!(mirror.absent("alloc/0/wk-2", Version(10)).is_some());
    mirror.absent("job/wk-2", Version(10));
    // Late news of what is gone does not bring it back.
    mirror.apply("alloc/0/wk-2", Some(&share), Version(7));
    assert_eq!(mirror.part_allocs(PartId(0)).count(), 2);
    assert!(mirror.jobs.contains_key(&JobId::new("wk-1")));
    assert!(!mirror.knows_job(&JobId::new("wk-2")));
    mirror.end_reading(Version(25));
    assert_eq!(mirror.revision, Version(25));
}
