//! One controller: routes inputs and answers to the actors that own the matter.

use super::env::{Claim, CloudClient, CloudTag, Config, Env, ReadFor, Tag};
use super::fleet::Fleet;
use super::gateway::Gateway;
use super::graph::Graph;
use super::ownership::Ownership;
use super::peers::Peers;
use super::placement::{estimate, slowest_fetch};
use super::reader::Reader;
use super::shard::Shard;
use super::upgrade::{Upgrade, terms};
use crate::bookkeeping::mirror::{Changed, Mirror, TYPES_KEY};
use crate::bookkeeping::store::{Class, GetResult, Reply, Store, TxnResult};
use crate::operator::OperatorSettings;
use crate::outbox::{CallResult, Input, Outbox, Output, Request, Response};
use crate::settings::Settings;
use snowshelf_model::ids::{
    CallId, ConnId, JobId, Member, Millis, PartId, Team, Version, WallMs, part_of, seconds_to_ms,
};
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::protocol::peer::{Hint, PartHint};
use snowshelf_model::protocol::state::{Change, Txn};
use snowshelf_model::protocol::user;
use snowshelf_model::protocol::worker::{Report, redirect};
use snowshelf_model::records::{Format, JobSpec, Terms, job_key};
use std::collections::{BTreeMap, BTreeSet};

/// How often the regular work is done.
pub const TICK_MS: u64 = 25;
const HINT_MS: u64 = 400;
/// Machines heard within this time are told of to the leader.
const HEARD_MS: u64 = 10_000;
/// Without service for so long, this controller says that the state service does not serve it.
const UNSERVED_MS: u64 = 1_500;
/// Share of the state service's budget that the controllers use together: of requests, which it
/// counts when they arrive, and of writes, which few messages carry.
const BUDGET: f64 = 0.92;
const WRITES_BUDGET: f64 = 0.97;
/// The least time between two workings out of what needs what.
const GRAPH_MS: u64 = 50;
/// Most jobs at once that are read because waiting ones need them and nothing is known of them.
const LOOK_UPS: usize = 4;
/// The pause between two such readings.
const LOOK_UP_MS: u64 = 500;
/// Share of the cloud's request rate for each owner; the leader uses the rest.
const OWNER_CLOUD: f64 = 0.12;

/// One controller's equal share of the requests and writes a second.
fn own_rates(terms: &Terms, nodes: u32) -> (f64, f64) {
    let nodes = f64::from(nodes);
    (
        BUDGET * terms.rps / nodes,
        WRITES_BUDGET * terms.write_rps / nodes,
    )
}

pub struct Controller {
    cfg: Config,
    out: Outbox,
    store: Store<Tag>,
    cloud: CloudClient,
    mirror: Mirror,
    types: BTreeMap<String, MachineType>,
    own: Ownership,
    reader: Reader,
    shards: BTreeMap<PartId, Shard>,
    gateway: Gateway,
    fleet: Option<Fleet>,
    peers: Peers,
    hint_at: Millis,
    started: Millis,
    publishing: bool,
    upgrade: Upgrade,
    terms: Terms,
    graph: Graph,
    /// The jobs' changes that the graph has seen, and when it was worked out.
    graph_of: u64,
    graph_at: Millis,
    looked_up: Millis,
}

impl Controller {
    pub fn new(settings: Settings, ops: OperatorSettings, now: Millis) -> Controller {
        let terms = terms(Format::Narrow, false, &settings.deployment.state);
        let (rps, write_rps) = own_rates(&terms, settings.deployment.nodes);
        let store = Store::new(rps, write_rps);
        let cloud = CloudClient::new(OWNER_CLOUD * settings.deployment.cloud.rps);
        let seed = settings
            .member
            .bytes()
            .fold(now.0, |a, b| a.wrapping_mul(31) + u64::from(b));
        let cfg = Config {
            me: Member::new(&settings.member),
            members: settings.members(),
            parts: settings.deployment.nodes,
            settings,
            ops,
        };
        Controller {
            cfg,
            out: Outbox::new(seed),
            store,
            cloud,
            mirror: Mirror::default(),
            types: BTreeMap::new(),
            own: Ownership::default(),
            reader: Reader::default(),
            shards: BTreeMap::new(),
            gateway: Gateway::default(),
            fleet: None,
            peers: Peers::default(),
            hint_at: Millis(0),
            started: now,
            publishing: false,
            upgrade: Upgrade::default(),
            terms,
            graph: Graph::default(),
            graph_of: 0,
            graph_at: Millis(0),
            looked_up: Millis(0),
        }
    }

    /// Handles one input at `now` and returns what is to be done about it.
    pub fn handle(&mut self, input: Input, now: Millis, wall_ms: u64) -> Vec<Output> {
        self.out.now = now;
        self.out.wall_ms = wall_ms;
        match input {
            Input::Request(conn, request) => self.request(conn, request),
            Input::CallDone(id, result) => self.call_done(id, &result),
            Input::Hint(hint) => self.peers.take(now, hint, &self.cfg),
            Input::Tick => self.tick(),
        }
        std::mem::take(&mut self.out.outputs)
    }

    /// Runs `f` with one actor's environment.
    fn env(&mut self) -> Env<'_> {
        Env {
            out: &mut self.out,
            store: &mut self.store,
            cloud: &mut self.cloud,
            mirror: &mut self.mirror,
            cfg: &self.cfg,
            types: &self.types,
            terms: &self.terms,
            graph: &self.graph,
        }
    }

    fn state_silent_ms(&self) -> u64 {
        let last = self.store.served.unwrap_or(self.started);
        self.out.now.since(last)
    }

    /// Whether this controller may answer workers for a part that it holds.
    fn may_answer(&self) -> bool {
        if self.own.fresh(self.out.now) {
            return true;
        }
        // The state service serves hardly anybody: nobody can have taken the part, so the workers'
        // leases are kept up. If it serves the others, one of them takes over.
        self.own.lease.is_some() && self.outage()
    }

    fn outage(&self) -> bool {
        let unserved = self.peers.unserved(self.out.now, UNSERVED_MS);
        self.state_silent_ms() >= UNSERVED_MS && 2 * unserved > self.cfg.members.len()
    }

    // ---- requests ------------------------------------------------------------------------

    fn request(&mut self, conn: ConnId, request: Request) {
        let path = request.path.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            ("GET", "/ready") => self.ready(conn),
            ("POST", "/checkin") => self.check_in(conn, &request.body),
            ("POST", "/api/jobs") => {
                let mut gateway = std::mem::take(&mut self.gateway);
                if self.state_silent_ms() >= UNSERVED_MS
                    && user::parse_submission(&request.body).is_ok()
                {
                    let later = Response::later(503, "the state service is away", 2);
                    self.out.respond(conn, later);
                } else {
                    gateway.submit(conn, &request.body, &mut self.env());
                }
                self.gateway = gateway;
            }
            (_, "/ready" | "/checkin" | "/api/jobs") => self.wrong_method(conn),
            (method, path) => {
                let Some(rest) = path.strip_prefix("/api/jobs/") else {
                    let body = user::error("no such path");
                    self.out.respond(conn, Response::new(404, body));
                    return;
                };
                let (id, why) = match rest.strip_suffix("/cancel") {
                    Some(id) => (id, ReadFor::Cancel),
                    None => (rest, ReadFor::Poll),
                };
                let wanted = match why {
                    ReadFor::Cancel => "POST",
                    _ => "GET",
                };
                if !user::is_job_id(id) {
                    let body = user::error("no such job");
                    self.out.respond(conn, Response::new(404, body));
                } else if method != wanted {
                    self.wrong_method(conn);
                } else {
                    self.with_gateway(|gateway, env| gateway.read(conn, &JobId::new(id), why, env));
                }
            }
        }
    }

    fn wrong_method(&mut self, conn: ConnId) {
        let body = user::error("this path does not take that method");
        self.out.respond(conn, Response::new(405, body));
    }

    fn ready(&mut self, conn: ConnId) {
        let silent = self.state_silent_ms();
        let decides = self.mirror.loaded && !self.types.is_empty();
        // In an outage that everybody shares, leaving the load balancer would only delay the return.
        let served = silent < 3_000 || self.outage();
        let response = if decides && served {
            Response::new(200, b"{}".to_vec())
        } else {
            Response::later(503, "not ready", 1)
        };
        self.out.respond(conn, response);
    }

    fn check_in(&mut self, conn: ConnId, body: &[u8]) {
        let report: Report = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(error) => {
                tracing::info!(%error, "malformed report");
                let body = user::error(&error.to_string());
                self.out.respond(conn, Response::new(400, body));
                return;
            }
        };
        let part = part_of(report.machine.as_str(), self.cfg.parts);
        let held = self.own.token(part).is_some() && self.shards.contains_key(&part);
        if held && self.may_answer() {
            self.with_shard(part, |shard, env| shard.check_in(conn, report, env));
            return;
        }
        let owner = self
            .mirror
            .parts
            .get(&part)
            .map(|v| v.value.owner.clone())
            .filter(|owner| *owner != self.cfg.me && !held);
        let response = match owner {
            Some(owner) => Response::new(421, redirect(Some(owner.as_str()))),
            None => Response::new(421, redirect(None)),
        };
        self.out.respond(conn, response);
    }

    fn with_gateway<T>(&mut self, f: impl FnOnce(&mut Gateway, &mut Env) -> T) -> T {
        let mut gateway = std::mem::take(&mut self.gateway);
        let result = f(&mut gateway, &mut self.env());
        self.gateway = gateway;
        result
    }

    fn with_shard(&mut self, part: PartId, f: impl FnOnce(&mut Shard, &mut Env)) {
        let Some(mut shard) = self.shards.remove(&part) else {
            return;
        };
        f(&mut shard, &mut self.env());
        if shard.deposed {
            shard.drop_held(&mut self.env());
            if self.own.token(part) == Some(shard.token) {
                tracing::info!(part = %part, token = %shard.token, "lets the part go");
                let now = self.out.now;
                self.own.lose(Claim::Part(part), now);
            }
        } else {
            self.shards.insert(part, shard);
        }
    }

    // ---- answers of outside services -----------------------------------------------------

    fn call_done(&mut self, id: CallId, result: &CallResult) {
        let now = self.out.now;
        if let Some((tag, reply)) = self.store.done(now, id, result) {
            self.reply(tag, reply);
            return;
        }
        if let Some(tag) = self.cloud.done(id, result) {
            if let CloudTag::PartRelease(part, token, names) = tag {
                let confirmed = matches!(result, CallResult::Answer { status: 200, .. });
                self.with_shard(part, |shard, env| {
                    if shard.token == token {
                        shard.returned(&names, confirmed, env);
                    }
                });
            }
            return;
        }
        if let Some(mut fleet) = self.fleet.take() {
            let types = fleet.cloud_done(id, result, &mut self.env()).flatten();
            self.fleet = Some(fleet);
            if let Some(types) = types {
                self.publish_types(types);
            }
        }
    }

    /// The leader keeps the machine types where every controller finds them.
    fn publish_types(&mut self, types: Vec<MachineType>) {
        let now = self.out.now;
        let known = self.mirror.types.as_ref();
        let same = known.is_some_and(|k| *k.value == types);
        let value = serde_json::to_value(&types).unwrap_or_default();
        if !self.terms.takes(&value) {
            tracing::error!(types = types.len(), "too many machine types for one value");
            return;
        }
        if same || self.publishing || !self.store.may(now, Class::Accept, 1) {
            return;
        }
        let Some(token) = self.own.leads() else {
            return;
        };
        let version = known.map(|k| k.version).unwrap_or_default();
        let txn = Txn::default()
            .when(
                snowshelf_model::records::LEADER_KEY.to_string(),
                Version(token.0),
            )
            .when(TYPES_KEY.to_string(), version)
            .then(Change::write(TYPES_KEY.to_string(), &types));
        self.publishing = true;
        self.store
            .txn(&mut self.out, Tag::PublishTypes(types), &txn);
    }

    fn reply(&mut self, tag: Tag, reply: Reply) {
        match (tag, reply) {
            (Tag::LeaseNew, Reply::Lease(lease)) => {
                let mut own = std::mem::take(&mut self.own);
                own.lease_new(lease, &self.env());
                self.own = own;
            }
            (Tag::LeaseRenew(sent), Reply::Renewed(result)) => {
                let mut own = std::mem::take(&mut self.own);
                let lost = own.renewed(sent, result, &self.env());
                self.own = own;
                if lost {
                    self.drop_all();
                }
            }
            (Tag::Claim(claim), Reply::Txn(result)) => {
                let mut own = std::mem::take(&mut self.own);
                let token = own.claimed(claim, result, &mut self.env());
                self.own = own;
                let now = self.out.now;
                match (claim, token) {
                    (Claim::Part(part), Some(token)) => {
                        if let Some(mut old) = self.shards.remove(&part) {
                            old.drop_held(&mut self.env());
                        }
                        self.shards.insert(part, Shard::new(part, token, now));
                    }
                    (Claim::Leader, Some(token)) => {
                        let nodes = f64::from(self.cfg.parts);
                        let rps = (1.0 - nodes * OWNER_CLOUD).max(0.3)
                            * self.cfg.settings.deployment.cloud.rps;
                        self.fleet = Some(Fleet::new(token, 0.95 * rps, now));
                    }
                    (_, None) => {}
                }
            }
            (Tag::GiveUp(part), Reply::Txn(result)) => {
                let mut own = std::mem::take(&mut self.own);
                own.gave(part, result, &mut self.env());
                self.own = own;
            }
            (Tag::ReloadPage, Reply::Page(page)) => {
                let mut reader = std::mem::take(&mut self.reader);
                let changed = reader.page(page, &mut self.env());
                self.reader = reader;
                self.changed(changed);
            }
            (Tag::Watch, Reply::Changes(result)) => {
                let mut reader = std::mem::take(&mut self.reader);
                let changed = reader.changes(result, &mut self.env());
                self.reader = reader;
                self.changed(changed);
            }
            (Tag::ShardTxn(part, token), Reply::Txn(result)) => {
                self.with_shard(part, |shard, env| {
                    if shard.token == token {
                        shard.txn_done(result, env);
                    }
                });
            }
            (Tag::ShardRead(part, token, key), Reply::Get(result)) => {
                self.with_shard(part, |shard, env| {
                    if shard.token == token {
                        shard.read_done(&key, result, env);
                    }
                });
            }
            (Tag::QuotaTxn(part, token), Reply::Txn(result)) => {
                self.with_shard(part, |shard, env| {
                    if shard.token == token {
                        shard.quota_done(result, env);
                    }
                });
            }
            (Tag::QuotaRead(_, _, key), Reply::Get(result)) => match result {
                GetResult::Found(item) => {
                    self.mirror.apply(&key, Some(&item.value), item.version);
                }
                GetResult::Missing(revision) => {
                    self.mirror.apply(&key, None, revision);
                }
                GetResult::Failed => {}
            },
            (Tag::ClaimTxn(part, token, job, txn), Reply::Txn(result)) => {
                self.with_shard(part, |shard, env| {
                    if shard.token == token {
                        shard.claim_done(&txn, result, env);
                    }
                });
                self.changed(vec![Changed::Job(job)]);
            }
            (Tag::Accept(id), Reply::Txn(result)) => {
                self.with_gateway(|gateway, env| gateway.accepted(id, result, env));
                self.refresh_new();
            }
            (Tag::Read(conn, job, why), Reply::Get(result)) => {
                self.with_gateway(|gateway, env| gateway.read_done(conn, &job, why, result, env));
                self.changed(vec![Changed::Job(job)]);
            }
            (Tag::Pieces(id), Reply::Txn(result)) => {
                self.with_gateway(|gateway, env| gateway.pieces_done(id, result, env));
            }
            (Tag::Polls(id), Reply::Txn(result)) => {
                self.with_gateway(|gateway, env| gateway.polls_done(id, result, env));
            }
            (Tag::Needed(asker, job), Reply::Get(result)) => {
                if let GetResult::Found(item) = &result {
                    self.mirror
                        .apply(&item.key, Some(&item.value), item.version);
                }
                if let Some(id) = asker {
                    self.with_gateway(|gateway, env| gateway.needed(id, &job, &result, env));
                } else if let GetResult::Missing(_) = result {
                    tracing::error!(job = %job, "a job that others need is not there");
                }
                self.changed(vec![Changed::Job(job)]);
            }
            (Tag::Cascade(id), Reply::Txn(result)) => {
                let jobs = self.with_gateway(|gateway, env| gateway.cascaded(id, result, env));
                self.changed(jobs.into_iter().map(Changed::Job).collect());
            }
            (Tag::Declare(key), Reply::Txn(result)) => {
                let mut upgrade = std::mem::take(&mut self.upgrade);
                upgrade.declared(&key, result, &mut self.env());
                self.upgrade = upgrade;
            }
            (Tag::Cancel(id), Reply::Txn(result)) => {
                let job = self.with_gateway(|gateway, env| gateway.cancelled(id, result, env));
                self.changed(job.into_iter().map(Changed::Job).collect());
            }
            (Tag::PublishTypes(types), Reply::Txn(result)) => {
                self.publishing = false;
                if let TxnResult::Done(revision) = result {
                    let value = serde_json::to_value(&types).unwrap_or_default();
                    self.mirror.apply(TYPES_KEY, Some(&value), revision);
                    self.changed(vec![Changed::Types]);
                }
            }
            (tag, _) => tracing::error!(?tag, "an answer of another kind than asked for"),
        }
    }

    /// Shares that this controller's own gateway has just made.
    fn refresh_new(&mut self) {
        let parts: Vec<PartId> = self.shards.keys().copied().collect();
        for part in parts {
            self.with_shard(part, |shard, env| {
                let new: Vec<JobId> = env
                    .mirror
                    .part_allocs(part)
                    .filter(|(job, _)| !shard.knows(job))
                    .map(|(job, _)| job.clone())
                    .collect();
                for job in new {
                    shard.refresh(&job, env);
                }
            });
        }
    }

    fn changed(&mut self, changed: Vec<Changed>) {
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        for change in changed {
            match change {
                Changed::Job(job) | Changed::Alloc(_, job) => {
                    jobs.insert(job);
                }
                Changed::Types => {
                    if let Some(types) = &self.mirror.types {
                        self.types = types
                            .value
                            .iter()
                            .map(|t| (t.label.clone(), t.clone()))
                            .collect();
                    }
                }
                Changed::Part(_) | Changed::Leader | Changed::Quota(_) | Changed::Format => {}
            }
        }
        if jobs.is_empty() {
            return;
        }
        let parts: Vec<PartId> = self.shards.keys().copied().collect();
        for part in parts {
            self.with_shard(part, |shard, env| {
                for job in &jobs {
                    shard.refresh(job, env);
                }
            });
        }
    }

    fn drop_all(&mut self) {
        for (_, mut shard) in std::mem::take(&mut self.shards) {
            shard.drop_held(&mut self.env());
        }
        self.fleet = None;
    }

    // ---- regular work --------------------------------------------------------------------

    fn tick(&mut self) {
        let now = self.out.now;
        let mut reader = std::mem::take(&mut self.reader);
        reader.tick(&mut self.env());
        self.reader = reader;
        self.tick_terms();
        self.tick_graph();
        let up_homes = self.peers.up_homes(now, &self.cfg);
        let mut own = std::mem::take(&mut self.own);
        own.tick(&up_homes, &mut self.env());
        self.own = own;
        self.check_held();
        let fresh = self.own.fresh(now);
        let short: BTreeSet<Team> = self.peers.short_of(now);
        let mut missing = self.peers.missing(now);
        missing.extend(self.fleet.iter().flat_map(|f| f.missing.keys().cloned()));
        let answers = self.may_answer();
        let parts: Vec<PartId> = self.shards.keys().copied().collect();
        for part in parts {
            self.with_shard(part, |shard, env| {
                shard.tick(fresh, &short, &missing, env);
                if !answers {
                    shard.drop_held(env);
                }
            });
        }
        let mut rooms = self.peers.rooms(now);
        rooms.extend(self.shards.values().map(|s| (s.part, s.room())));
        let away = self.state_silent_ms() >= UNSERVED_MS;
        let mut gateway = std::mem::take(&mut self.gateway);
        gateway.rooms = rooms;
        gateway.flush_polls(&mut self.env());
        gateway.flush_pieces(&mut self.env());
        if away {
            gateway.refuse_all(&mut self.env());
        } else {
            gateway.flush(&mut self.env());
            if fresh {
                let mine = self.shards.keys().copied().collect();
                gateway.cascade(&mine, &mut self.env());
            }
        }
        self.gateway = gateway;
        if let Some(mut fleet) = self.fleet.take() {
            if fresh {
                let owned = self.mirror.parts.len() == self.cfg.parts as usize
                    && self.peers.fresh(now).count() + 1 == self.cfg.members.len();
                if fleet.wants_heard(now) {
                    let mut heard = self.peers.heard_machines(now);
                    for shard in self.shards.values() {
                        heard.extend(shard.heard(now, HEARD_MS).map(|m| m.as_str().to_string()));
                    }
                    fleet.note_heard(now, heard.into_iter());
                }
                fleet.tick(owned, &mut self.env());
            }
            self.fleet = Some(fleet);
        }
        if now.since(self.hint_at) >= HINT_MS {
            self.hint_at = now;
            self.hint();
        }
    }

    /// Keeps to what may be written by now.
    fn tick_terms(&mut self) {
        let mut upgrade = std::mem::take(&mut self.upgrade);
        upgrade.tick(&mut self.env());
        self.upgrade = upgrade;
        let state = &self.cfg.settings.deployment.state;
        let now = terms(self.mirror.format, self.store.refused, state);
        if now != self.terms {
            tracing::info!(format = ?now.format, value_bytes = now.value_bytes, txn_ops = now.txn_ops,
                rps = now.rps, write_rps = now.write_rps, "writes keep to other terms");
            let (rps, write_rps) = own_rates(&now, self.cfg.parts);
            self.store.set_rates(rps, write_rps);
            self.terms = now;
        }
    }

    /// Works out anew what needs what, if a job has changed since, and reads what is not known.
    fn tick_graph(&mut self) {
        let now = self.out.now;
        if self.graph_of != self.mirror.job_changes && now.since(self.graph_at) >= GRAPH_MS {
            self.graph_of = self.mirror.job_changes;
            self.graph_at = now;
            let slowest = slowest_fetch(self.types.values());
            let default_s = self.cfg.ops.default_run_s;
            let length_ms =
                |spec: &JobSpec| seconds_to_ms(estimate(spec, default_s) + spec.pull_gb / slowest);
            let mirror = &self.mirror;
            let wall = WallMs(self.out.wall_ms);
            let final_of = |id: &JobId| mirror.final_of(id);
            let needs_of = |id: &JobId, record| mirror.needs_of(id, record);
            let graph = Graph::build(
                &mirror.jobs,
                needs_of,
                final_of,
                length_ms,
                wall,
                &self.graph,
            );
            self.graph = graph;
        }
        if self.graph.unknown.is_empty() || now.since(self.looked_up) < LOOK_UP_MS {
            return;
        }
        self.looked_up = now;
        // Ended long ago and dropped from the mirror, or not come yet.
        for job in self.graph.unknown.iter().take(LOOK_UPS) {
            if self.store.may(now, Class::Ends, 0) {
                let tag = Tag::Needed(None, job.clone());
                self.store.get(&mut self.out, tag, &job_key(job), 1_500);
            }
        }
    }

    /// Lets go of what the mirror shows to be another's.
    fn check_held(&mut self) {
        if !self.mirror.loaded {
            return;
        }
        let now = self.out.now;
        for (part, token) in self.own.parts() {
            if self.mirror.revision.0 < token.0 {
                continue;
            }
            let version = self.mirror.parts.get(&part).map(|v| v.version.0);
            if version != Some(token.0) {
                tracing::info!(part = %part, token = %token, "the part has changed hands");
                self.own.lose(Claim::Part(part), now);
            }
        }
        let own = &self.own;
        let gone: Vec<PartId> = self
            .shards
            .values()
            .filter(|s| own.token(s.part) != Some(s.token))
            .map(|s| s.part)
            .collect();
        for part in gone {
            if let Some(mut shard) = self.shards.remove(&part) {
                shard.drop_held(&mut self.env());
            }
        }
        if let Some(token) = self.own.leads()
            && self.mirror.revision.0 >= token.0
            && self.mirror.leader.as_ref().map(|v| v.version.0) != Some(token.0)
        {
            self.own.lose(Claim::Leader, now);
        }
        let leads = self.own.leads();
        if self.fleet.as_ref().is_some_and(|f| Some(f.token) != leads) {
            self.fleet = None;
        }
    }

    fn hint(&mut self) {
        let now = self.out.now;
        let mut short_of: BTreeSet<String> = BTreeSet::new();
        let mut parts = Vec::new();
        for shard in self.shards.values() {
            short_of.extend(shard.short_of.keys().map(|t| t.as_str().to_string()));
            parts.push(PartHint {
                part: shard.part.0,
                free_cpus: shard.free_cpus,
                capacity_cpus: shard.room().capacity,
                waiting_cpus: shard.waiting_cpus,
                heard: shard
                    .heard(now, HEARD_MS)
                    .map(|m| m.as_str().to_string())
                    .collect(),
            });
        }
        let hint = Hint {
            member: self.cfg.me.as_str().to_string(),
            state_silent_ms: self.state_silent_ms(),
            up_ms: now.since(self.started),
            feed_silent_ms: now.since(self.reader.feed_at),
            parts,
            short_of: short_of.into_iter().collect(),
            missing: self
                .fleet
                .iter()
                .flat_map(|f| f.missing.keys().map(|m| m.as_str().to_string()))
                .collect(),
        };
        for member in &self.cfg.members {
            if *member != self.cfg.me {
                self.out
                    .outputs
                    .push(Output::Hint(member.clone(), hint.clone()));
            }
        }
    }
}
