//! One controller: routes inputs and answers to the actors that own the matter.

mod answers;
mod draining;
mod horizon;
mod regular;
mod requests;

use super::bookings::Bookings;
use super::drains::{Draining, Drains};
use super::env::{Claim, CloudClient, Config, Env, Tag};
use super::fleet::Fleet;
use super::gateway::Gateway;
use super::graph::Graph;
use super::hearing::Hearing;
use super::ownership::Ownership;
use super::peers::{Peers, Turns};
use super::reader::Reader;
use super::runs::Runs;
use super::shard::Shard;
use super::upgrade::{Upgrade, terms};
use crate::bookkeeping::mirror::Mirror;
use crate::bookkeeping::store::Store;
use crate::operator::OperatorSettings;
use crate::outbox::{Input, Outbox, Output};
use crate::settings::Settings;
use snowshelf_calendar::guard::Guard;
use snowshelf_doors::doors::Told;
use snowshelf_horizon::Horizon;
use snowshelf_horizon::attesting::Attesting;
use snowshelf_model::ids::{ConnId, JobId, Member, Millis, PartId};
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::protocol::worker::Report;
use snowshelf_model::records::{Format, Terms};
use std::collections::{BTreeMap, BTreeSet};

/// How often the regular work is done.
pub const TICK_MS: u64 = 25;
/// Without service for so long, this controller says that the state service does not serve it.
const UNSERVED_MS: u64 = 1_500;
/// Share of the state service's budget that the controllers use together: of requests, which it
/// counts when they arrive, and of writes, which few messages carry.
const BUDGET: f64 = 0.92;
const WRITES_BUDGET: f64 = 0.97;
/// Share of the cloud's request rate for each owner; the leader uses the rest.
const OWNER_CLOUD: f64 = 0.12;

/// The share of the budget that is divided equally, for taking jobs and starting up; the rest goes with the parts,
/// whose owners write most of what is written: a controller left alone with all parts may use their budget too.
const EQUAL: f64 = 0.6;

/// One controller's share of the requests and writes a second, with so many of the parts. The shares of all make up
/// the whole, since no part has two owners.
pub fn own_rates(terms: &Terms, nodes: u32, parts: usize) -> (f64, f64) {
    let nodes = f64::from(nodes);
    let share = EQUAL / nodes + (1.0 - EQUAL) * parts as f64 / nodes;
    (
        BUDGET * terms.rps * share,
        WRITES_BUDGET * terms.write_rps * share,
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
    bookings: Bookings,
    runs: Runs,
    drains: Drains,
    /// What placement, renting and returning keep to of the drains, and of which changes of theirs.
    draining: Draining,
    draining_of: u64,
    draining_at: Millis,
    /// What placement and renting keep to of the calendar.
    guard: Guard,
    fleet: Option<Fleet>,
    peers: Peers,
    heard_turns: Turns,
    missing_turns: Turns,
    hearing: Hearing,
    doors: Told,
    /// Reports of workers that wait for this controller to own their part, or to read of their jobs, and when they
    /// came.
    at_door: Vec<(ConnId, Report, Millis)>,
    /// Jobs that are being read by themselves because waiting reports list them, and when they were asked for; those
    /// that were not there.
    listed_asked: BTreeMap<JobId, Millis>,
    listed_absent: BTreeSet<JobId>,
    hint_at: Millis,
    pools_at: Millis,
    started: Millis,
    publishing: bool,
    upgrade: Upgrade,
    terms: Terms,
    graph: Graph,
    /// The jobs' changes that the graph has seen, and when it was worked out.
    graph_of: u64,
    graph_at: Millis,
    looked_up: Millis,
    /// Up to when it is known what users were told, by the state service or by all others.
    horizon: Horizon,
    /// Set with the first input, which tells the time of day: lives differ by that.
    attesting: Attesting,
    /// Jobs that others have said to have confirmed as cancelled, and when they said so.
    attested: BTreeMap<JobId, Millis>,
    /// Workers are not answered for want of knowledge.
    lets_go: bool,
}

impl Controller {
    pub fn new(settings: Settings, ops: OperatorSettings, now: Millis) -> Controller {
        let terms = terms(Format::Narrow, false, &settings.deployment.state);
        let (rps, write_rps) = own_rates(&terms, settings.deployment.nodes, 1);
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
            can: ops.can(),
            settings,
            ops,
        };
        let controller = Controller {
            cfg,
            out: Outbox::new(seed),
            store,
            cloud,
            mirror: Mirror::default(),
            types: BTreeMap::new(),
            own: Ownership::default(),
            reader: Reader::default(),
            shards: BTreeMap::new(),
            gateway: Gateway::begun(now),
            bookings: Bookings::default(),
            runs: Runs::default(),
            drains: Drains::default(),
            draining: Draining::default(),
            draining_of: 0,
            draining_at: Millis(0),
            guard: Guard::default(),
            fleet: None,
            peers: Peers::default(),
            heard_turns: Turns::default(),
            missing_turns: Turns::default(),
            hearing: Hearing::default(),
            doors: Told::default(),
            at_door: Vec::new(),
            listed_asked: BTreeMap::new(),
            listed_absent: BTreeSet::new(),
            hint_at: Millis(0),
            pools_at: Millis(0),
            started: now,
            publishing: false,
            upgrade: Upgrade::default(),
            terms,
            graph: Graph::default(),
            graph_of: 0,
            graph_at: Millis(0),
            looked_up: Millis(0),
            horizon: Horizon::default(),
            attesting: Attesting::new(0),
            attested: BTreeMap::new(),
            lets_go: false,
        };
        controller.tell_of_room();
        controller
    }

    /// Handles one input at `now` and returns what is to be done about it.
    pub fn handle(&mut self, input: Input, now: Millis, wall_ms: u64) -> Vec<Output> {
        self.out.now = now;
        self.out.wall_ms = wall_ms;
        if self.attesting.incarnation() == 0 {
            self.attesting = Attesting::new(wall_ms.max(1));
        }
        match input {
            Input::Request(conn, request) => self.request(conn, request),
            Input::CallDone(id, result) => self.call_done(id, &result),
            Input::Hint(hint) => self.peers.take(now, hint, &self.cfg),
            Input::Proof(proof) => self.proof(proof),
            Input::Doors(told) => self.doors = told,
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
            guard: &self.guard,
            drains: &mut self.draining,
            began: self.started,
            absent: &self.listed_absent,
            horizon: self.horizon.at(),
            attested: &self.attested,
        }
    }

    fn state_silent_ms(&self) -> u64 {
        let last = self.store.served.unwrap_or(self.started);
        self.out.now.since(last)
    }

    fn outage(&self) -> bool {
        let unserved = self.peers.unserved(self.out.now, UNSERVED_MS);
        self.state_silent_ms() >= UNSERVED_MS && 2 * unserved > self.cfg.members.len()
    }

    fn with_gateway<T>(&mut self, f: impl FnOnce(&mut Gateway, &mut Env) -> T) -> T {
        let mut gateway = std::mem::take(&mut self.gateway);
        let result = f(&mut gateway, &mut self.env());
        self.gateway = gateway;
        result
    }

    fn with_bookings<T>(&mut self, f: impl FnOnce(&mut Bookings, &mut Env) -> T) -> T {
        let mut bookings = std::mem::take(&mut self.bookings);
        let result = f(&mut bookings, &mut self.env());
        self.bookings = bookings;
        result
    }

    fn with_drains<T>(&mut self, f: impl FnOnce(&mut Drains, &mut Env) -> T) -> T {
        let mut drains = std::mem::take(&mut self.drains);
        let result = f(&mut drains, &mut self.env());
        self.drains = drains;
        result
    }

    fn with_runs<T>(&mut self, f: impl FnOnce(&mut Runs, &mut Env) -> T) -> T {
        let mut runs = std::mem::take(&mut self.runs);
        let result = f(&mut runs, &mut self.env());
        self.runs = runs;
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
}
