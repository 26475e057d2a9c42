//! What the state service keeps, and the steps by which an owner changes it.

use super::packed;
use super::spans::Spans;
use crate::ids::{Attempt, JobId, LeaseId, MachineId, Member, PartId, TaskNo, Team, WallMs};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Priority {
    Idle,
    Normal,
    High,
    Prod,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Kind {
    Batch,
    Standing,
}

/// What one task takes of its machine.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Room {
    pub cpus: f64,
    pub gpus: f64,
    pub mem: f64,
}

/// Absorbs the rounding of repeated additions; far below any real request.
const EPS: f64 = 1e-6;

impl Room {
    pub fn add(&mut self, other: Room) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.mem += other.mem;
    }
    pub fn sub(&mut self, other: Room) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.mem -= other.mem;
    }
    pub fn times(self, n: f64) -> Room {
        Room {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            mem: self.mem * n,
        }
    }
    pub fn fits_in(self, free: Room) -> bool {
        self.cpus <= free.cpus + EPS && self.gpus <= free.gpus + EPS && self.mem <= free.mem + EPS
    }
    /// How many tasks of this size go into `free`.
    pub fn count_in(self, free: Room) -> u32 {
        let mut count = f64::from(u32::MAX);
        for (need, have) in [
            (self.cpus, free.cpus),
            (self.gpus, free.gpus),
            (self.mem, free.mem),
        ] {
            if need > 0.0 {
                count = count.min(((have + EPS) / need).floor());
            }
        }
        count.max(0.0) as u32
    }
}

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    pub class: String,
    pub team: Team,
    pub kind: Kind,
    pub priority: Priority,
    pub tasks: u32,
    pub room: Room,
    pub image: String,
    pub pull_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(default)]
    pub together: bool,
    #[serde(default)]
    pub apart: bool,
    pub spot: bool,
    pub estimate_s: f64,
    #[serde(default)]
    pub checkpoint_s: f64,
    #[serde(default)]
    pub save_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Whether the job's tasks depend on one another's zones, so that one part must hold them all.
    pub fn zones_bound(&self) -> bool {
        self.together || self.apart
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobState {
    Open,
    Done,
    Cancelled,
}

/// `job/<id>`. The spec is dropped once no part holds anything of the job.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    pub state: JobState,
    pub tasks: u32,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<PartId>,
    pub submitted: WallMs,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Jobs that must be done before any task of this one starts; only in the wide format.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub needs: Vec<JobId>,
    /// So many values of their own hold what it needs, if that is too long for this one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub needs_pieces: u32,
    /// When it was done; only in the wide format.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<WallMs>,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl JobRecord {
    /// Whether it needs other jobs.
    pub fn has_needs(&self) -> bool {
        !self.needs.is_empty() || self.needs_pieces > 0
    }
    pub fn is_final(&self) -> bool {
        self.state != JobState::Open
    }
    /// The record after `part` has nothing of the job any more.
    pub fn without_part(&self, part: PartId, now: WallMs, terms: &Terms) -> JobRecord {
        let mut next = self.clone();
        next.parts.retain(|p| *p != part);
        if next.parts.is_empty() {
            if next.state == JobState::Open {
                next.state = JobState::Done;
                next.ended = (terms.format == Format::Wide).then_some(now);
            }
            next.spec = None;
            (next.needs, next.needs_pieces) = (Vec::new(), 0);
        }
        next
    }
    /// The record after its cancellation.
    pub fn cancelled(&self) -> JobRecord {
        let mut next = self.clone();
        next.state = JobState::Cancelled;
        (next.needs, next.needs_pieces) = (Vec::new(), 0);
        if next.parts.is_empty() {
            next.spec = None;
        }
        next
    }
}

/// How records are written. Both are read for ever.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub enum Format {
    /// As the version before pipelines reads and rewrites it without loss.
    #[default]
    Narrow,
    /// Shares in their short form, jobs that need others. For good once every controller knows it.
    Wide,
}

/// The first format number that means `Wide`.
pub const WIDE: u32 = 2;

/// `member/<name>`: what that controller can read; `format`: what all of them can, for good.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct FormatRecord {
    pub format: u32,
}

/// What may be written now: the format, and what the state service takes.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Terms {
    pub format: Format,
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub rps: f64,
    pub write_rps: f64,
}

/// Bytes of the largest value that are left free, as its size may be counted differently.
const SPARE_BYTES: usize = 32;

impl Terms {
    /// Whether a value is small enough to be written.
    pub fn takes(&self, value: &Value) -> bool {
        value.to_string().len() + SPARE_BYTES <= self.value_bytes
    }

    /// A long list of needed jobs in values that are small enough: the same list, the same pieces,
    /// whichever controller divides it.
    pub fn pieces(&self, needs: &[JobId]) -> Vec<Vec<JobId>> {
        let room = self.value_bytes.saturating_sub(SPARE_BYTES + 2);
        let mut pieces: Vec<Vec<JobId>> = Vec::new();
        let mut left = 0;
        for need in needs {
            let bytes = need.as_str().len() + 3;
            match pieces.last_mut() {
                Some(piece) if bytes <= left => piece.push(need.clone()),
                _ => {
                    pieces.push(vec![need.clone()]);
                    left = room;
                }
            }
            left = left.saturating_sub(bytes);
        }
        pieces
    }

    /// A share's value; `None` if it is too large now. It shrinks as tasks end.
    pub fn share(&self, alloc: &Alloc) -> Option<Value> {
        let value = match self.format {
            Format::Narrow => serde_json::to_value(alloc).ok(),
            Format::Wide => alloc.packed(),
        }?;
        if self.takes(&value) {
            return Some(value);
        }
        if self.format == Format::Narrow {
            return None;
        }
        let mut level = alloc.clone();
        level.waiting.raise();
        level.packed().filter(|value| self.takes(value))
    }

    /// A job's value; `None` if it is too large. Names of machine types that do not exist may go.
    pub fn job(&self, record: &JobRecord, exists: impl Fn(&str) -> bool) -> Option<Value> {
        let value = serde_json::to_value(record).ok()?;
        if self.takes(&value) {
            return Some(value);
        }
        let mut slim = record.clone();
        if let Some(types) = slim.spec.as_mut().and_then(|s| s.types.as_mut()) {
            types.retain(|t| exists(t));
            types.sort();
            types.dedup();
        }
        let value = serde_json::to_value(slim).ok()?;
        self.takes(&value).then_some(value)
    }

    /// How many more tasks may be started of a share so that no write that must follow, whatever
    /// ends and requeues it tells of, becomes too large.
    pub fn startable(&self, alloc: &Alloc, started: u32, name_bytes: usize) -> u32 {
        let room = self.value_bytes.saturating_sub(SPARE_BYTES);
        match self.format {
            Format::Narrow => Alloc::most_started(room).saturating_sub(started),
            Format::Wide => {
                let last = alloc.waiting.spans().last();
                let tries = alloc.waiting.spans().iter().map(|s| s.2).max();
                let (task, attempt) = (last.map_or(0, |s| s.1), tries.unwrap_or(1));
                // A start may split the range it comes from.
                let each = packed::task_bytes(task, attempt) + name_bytes + 2;
                let free = room.saturating_sub(packed::most_bytes(alloc) + 2 * each);
                (free / each) as u32
            }
        }
    }
}

/// `part/<p>`.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct PartRecord {
    pub owner: Member,
    pub lease: LeaseId,
}

/// `quota/<team>`: what each part may use; the rest of the limit is free.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct QuotaRecord {
    pub grants: BTreeMap<PartId, Grant>,
}

#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Grant {
    pub cpus: f64,
    pub gpus: f64,
}

impl Grant {
    pub fn of(room: Room) -> Grant {
        Grant {
            cpus: room.cpus,
            gpus: room.gpus,
        }
    }
    pub fn covers(self, used: Grant) -> bool {
        used.cpus <= self.cpus + EPS && used.gpus <= self.gpus + EPS
    }
}

impl QuotaRecord {
    pub fn granted(&self) -> Grant {
        self.grants.values().fold(Grant::default(), |a, g| Grant {
            cpus: a.cpus + g.cpus,
            gpus: a.gpus + g.gpus,
        })
    }

    /// Sets `part`'s grant as near to `wish` as the limit allows, never below `used`.
    /// Fails only if the record itself is already over the limit.
    pub fn regrant(&self, part: PartId, wish: Grant, used: Grant, limit: Grant) -> QuotaRecord {
        let mut next = self.clone();
        let mine = next.grants.remove(&part).unwrap_or_default();
        let others = next.granted();
        let free = Grant {
            cpus: (limit.cpus - others.cpus).max(0.0),
            gpus: (limit.gpus - others.gpus).max(0.0),
        };
        // `used` never exceeds what is granted now, so keeping it cannot pass the limit.
        let grant = Grant {
            cpus: wish
                .cpus
                .max(used.cpus)
                .min(free.cpus.max(mine.cpus.min(used.cpus))),
            gpus: wish
                .gpus
                .max(used.gpus)
                .min(free.gpus.max(mine.gpus.min(used.gpus))),
        };
        next.grants.insert(part, grant);
        next
    }
}

/// `alloc/<p>/<job>`: a part's share of a job.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(try_from = "Stored")]
pub struct Alloc {
    /// Not started; the attempt is the next one to use.
    #[serde(rename = "w", skip_serializing_if = "Spans::is_empty")]
    pub waiting: Spans,
    /// Possibly on a machine; the attempt is the one commanded.
    #[serde(rename = "s", skip_serializing_if = "BTreeMap::is_empty")]
    pub started: BTreeMap<MachineId, Spans>,
    /// In the wide format only the first of them.
    #[serde(rename = "f", skip_serializing_if = "Spans::is_empty")]
    pub finished: Spans,
}

/// A share as it may stand in the state service.
#[derive(Deserialize)]
#[serde(untagged)]
enum Stored {
    Short(String),
    Plain {
        #[serde(default)]
        w: Spans,
        #[serde(default)]
        s: BTreeMap<MachineId, Spans>,
        #[serde(default)]
        f: Spans,
    },
}

impl TryFrom<Stored> for Alloc {
    type Error = &'static str;
    fn try_from(stored: Stored) -> Result<Alloc, Self::Error> {
        match stored {
            Stored::Short(text) => packed::unpack(&text).ok_or("not a share's short form"),
            Stored::Plain { w, s, f } => Ok(Alloc {
                waiting: w,
                started: s,
                finished: f,
            }),
        }
    }
}

/// A change an owner makes to its share. Every step may be applied twice with the effect of once.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Step {
    pub task: TaskNo,
    pub attempt: Attempt,
    pub machine: MachineId,
    pub what: StepKind,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StepKind {
    Start,
    Finish,
    /// Proven not to be on the machine; waits again, with the next attempt.
    Requeue,
}

/// What a started task takes of a share's record at the most: its own range on a machine of its own,
/// and the gap that it leaves among those that wait or are finished.
const STARTED_BYTES: usize = 50;

impl Alloc {
    /// Most tasks that a share may have started at once, so that its record stays under the largest
    /// value: a larger one is refused, and every write of the part with it.
    pub fn most_started(value_bytes: usize) -> u32 {
        (value_bytes * 9 / 10 / STARTED_BYTES) as u32
    }

    /// The value in the wide format: short, unless a machine's name does not allow it.
    fn packed(&self) -> Option<Value> {
        match packed::pack(self) {
            Some(text) => Some(Value::String(text)),
            None => serde_json::to_value(self).ok(),
        }
    }

    pub fn started_on(&self, machine: &MachineId, task: TaskNo) -> Option<Attempt> {
        self.started.get(machine)?.get(task)
    }

    pub fn started_count(&self) -> u32 {
        self.started.values().map(Spans::len).sum()
    }

    /// Applies a step; false if the record no longer allows it and it must be forgotten.
    pub fn apply(&mut self, step: &Step) -> bool {
        let here = self.started_on(&step.machine, step.task) == Some(step.attempt);
        match step.what {
            StepKind::Start => {
                if here {
                    return true;
                }
                if self.waiting.get(step.task) != Some(step.attempt) {
                    return false;
                }
                self.waiting.remove(step.task);
                self.started
                    .entry(step.machine.clone())
                    .or_default()
                    .insert(step.task, step.attempt);
                true
            }
            StepKind::Finish | StepKind::Requeue => {
                if !here {
                    return false;
                }
                if let Some(spans) = self.started.get_mut(&step.machine) {
                    spans.remove(step.task);
                    if spans.is_empty() {
                        self.started.remove(&step.machine);
                    }
                }
                if step.what == StepKind::Finish {
                    self.finished.insert(step.task, Attempt(0));
                } else {
                    self.waiting
                        .insert(step.task, Attempt(step.attempt.0.saturating_add(1)));
                }
                true
            }
        }
    }
}

pub fn job_key(job: &JobId) -> String {
    format!("job/{job}")
}
pub fn alloc_key(part: PartId, job: &JobId) -> String {
    format!("alloc/{part}/{job}")
}
pub fn part_key(part: PartId) -> String {
    format!("part/{part}")
}
pub fn quota_key(team: &Team) -> String {
    format!("quota/{team}")
}
pub fn member_key(member: &Member) -> String {
    format!("member/{member}")
}
pub fn needs_key(job: &JobId, piece: u32) -> String {
    format!("needs/{job}/{piece}")
}
pub const FORMAT_KEY: &str = "format";
pub const LEADER_KEY: &str = "leader";
