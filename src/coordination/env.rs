//! What an actor is lent while it handles a message.

use super::drains::Draining;
use super::graph::Graph;
use crate::bookkeeping::mirror::Mirror;
use crate::bookkeeping::store::{Bucket, Store};
use crate::operator::OperatorSettings;
use crate::outbox::{CallResult, Method, Outbox, Target};
use crate::settings::Settings;
use serde_json::Value;
use snowshelf_calendar::guard::Guard;
use snowshelf_model::ids::{
    CallId, ConnId, JobId, MachineId, Member, Millis, PartId, Token, WallMs,
};
use snowshelf_model::protocol::cloud::{MachineType, release_body};
use snowshelf_model::protocol::state::Txn;
use snowshelf_model::protocol::user::BadField;
use snowshelf_model::records::{Capability, JobRecord, RunId, Terms};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Whom an answer of the state service is for.
#[derive(Clone, Debug)]
pub enum Tag {
    LeaseNew,
    LeaseRenew(Millis),
    /// Taking or giving up a part or the leadership; the key.
    Claim(Claim),
    ReloadPage,
    /// Jobs that changed before the feed was followed.
    LookBack,
    Watch,
    ShardTxn(PartId, Token),
    ShardRead(PartId, Token, String),
    QuotaTxn(PartId, Token),
    QuotaRead(PartId, Token, String),
    ClaimTxn(PartId, Token, JobId, Txn),
    Accept(u64),
    Read(ConnId, JobId, ReadFor),
    /// A part of the long list of jobs that a submission needs.
    Pieces(u64),
    /// Polls answered by the mirror if it is not behind.
    Polls(u64),
    Cancel(u64),
    /// A job that waiting ones, or a submission, need.
    Needed(Option<u64>, JobId),
    /// Cancellation of jobs that need a cancelled one.
    Cascade(u64),
    /// Requests to the calendar, decided together.
    Bookings(u64),
    /// A part of a run's beginning.
    RunBegin,
    /// Whether the picture of a run is behind, for a question.
    RunAsk(u64),
    RunWrite(u64),
    /// A job of an earlier run of the same.
    RunEarlier(RunId, JobId),
    GraphWrite(u64),
    /// Keys of ended runs go.
    RunTidy(Vec<String>),
    /// A request on drains or budgets, or a step of the leader's.
    Drains(u64),
    /// A charge of a team's budget.
    Disrupt(PartId, Token),
    /// An entry that was over goes: its key.
    BookingsTidy(String),
    GiveUp(PartId),
    PublishTypes(Vec<MachineType>),
    /// This controller's word on what it can, or all of theirs: the key and its value.
    Declare(String, Value),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Claim {
    Part(PartId),
    Leader,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadFor {
    Poll,
    Resubmit,
    /// A submission that can never run, unless the job was accepted before; the reason.
    Refuse(&'static str),
    /// A submission with a field that is wrong or missing, unless the job was accepted before.
    Malformed(BadField),
    Cancel,
}

/// Whom an answer of the cloud is for.
#[derive(Clone, Debug)]
pub enum CloudTag {
    Types,
    List,
    Rent(String),
    /// Machines returned by the owner of a part.
    PartRelease(PartId, Token, Vec<MachineId>),
    FleetRelease(Vec<MachineId>),
}

/// The client of the cloud: this controller's share of the common request rate.
pub struct CloudClient {
    bucket: Bucket,
    pending: HashMap<CallId, CloudTag>,
}

const CLOUD_CALL_MS: u64 = 4_000;

impl CloudClient {
    pub fn new(rps: f64) -> CloudClient {
        CloudClient {
            bucket: Bucket::with_burst(rps, 2.0 * rps),
            pending: HashMap::new(),
        }
    }
    pub fn may(&mut self, now: Millis) -> bool {
        self.bucket.has(now, 1.0, 0.0)
    }
    pub fn call(
        &mut self,
        out: &mut Outbox,
        tag: CloudTag,
        method: Method,
        path: String,
        body: Vec<u8>,
    ) {
        self.bucket.take(1.0);
        let id = out.call(Target::Cloud, method, path, body, CLOUD_CALL_MS);
        self.pending.insert(id, tag);
    }
    pub fn release(&mut self, out: &mut Outbox, tag: CloudTag, machines: &[MachineId]) {
        let body = release_body(machines);
        self.call(out, tag, Method::Post, "/hosts/release".into(), body);
    }
    pub fn done(&mut self, id: CallId, result: &CallResult) -> Option<CloudTag> {
        let tag = self.pending.remove(&id)?;
        if let CallResult::Answer { status: 429, .. } = result {
            tracing::info!("the cloud asks to slow down");
            self.bucket.take(1.0);
        }
        Some(tag)
    }
}

/// Settings worked out once.
pub struct Config {
    pub settings: Settings,
    pub ops: OperatorSettings,
    pub me: Member,
    pub members: Vec<Member>,
    /// What this controller can do, as its operators have it.
    pub can: BTreeSet<Capability>,
    pub parts: u32,
}

impl Config {
    pub fn home(&self, part: PartId) -> &Member {
        // There are as many parts as members.
        &self.members[part.0 as usize % self.members.len()]
    }
}

pub struct Env<'a> {
    pub out: &'a mut Outbox,
    pub store: &'a mut Store<Tag>,
    pub cloud: &'a mut CloudClient,
    pub mirror: &'a mut Mirror,
    pub cfg: &'a Config,
    pub types: &'a BTreeMap<String, MachineType>,
    pub terms: &'a Terms,
    pub graph: &'a Graph,
    pub guard: &'a Guard,
    pub drains: &'a mut Draining,
    /// When this process began.
    pub began: Millis,
    /// Jobs that were read by themselves since, and were not there.
    pub absent: &'a BTreeSet<JobId>,
    /// Up to when it is known here what users were told.
    pub horizon: Option<Millis>,
    /// Jobs that another controller has confirmed as cancelled, beside what the mirror knows.
    pub attested: &'a BTreeMap<JobId, Millis>,
}

impl Env<'_> {
    pub fn now(&self) -> Millis {
        self.out.now
    }
    /// How long a job has waited for room, since nothing that it needs held it back any more.
    pub fn waited_ms(&self, id: &JobId, record: &JobRecord) -> u64 {
        let since = self.graph.since(id, record);
        self.out.wall_ms.saturating_sub(since.0)
    }
    /// A job's record after a cancellation that is written now.
    pub fn cancelled(&self, record: &JobRecord) -> JobRecord {
        record.cancelled(WallMs(self.out.wall_ms), self.terms.format)
    }
    /// A job's value as it may be written now; `None` if it is too large.
    pub fn job_value(&self, record: &JobRecord) -> Option<Value> {
        let exists = |label: &str| self.types.contains_key(label);
        self.terms.job(record, exists)
    }
}
