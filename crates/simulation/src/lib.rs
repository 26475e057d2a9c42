//! A small deterministic world: state service, cloud, workers, users and a network that delays,
//! loses and cuts, around real controllers' state machines. Everything follows from the seed.

mod asking;
pub mod booking;
pub mod cloud;
pub mod digest;
mod direct;
pub mod draining;
mod events;
pub mod fault_combinations;
pub mod faults;
pub mod frozen;
mod histories;
mod machines;
mod nodes;
mod rules;
pub mod running;
pub mod state;
mod waits;
pub mod workers;

use cloud::Cloud;
use events::Event;
use faults::Fault;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use snowshelf::coordination::controller::{Controller, TICK_MS};
use snowshelf::effects::{CallOutcome, ControllerEvent, Effect, Method, Request, Target};
use snowshelf::operator::{KnownCapacity, OperatorSettings};
use snowshelf::settings::Settings;
use snowshelf_drain::budget::Budget;
use snowshelf_model::ids::{CallId, ConnectionId, Member, MonotonicMillis};
use snowshelf_model::protocol::peer::{PeerMessage, PeerStatus};
use state::StateService;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use workers::{Worker, WorkerTask};

pub const NODES: usize = 3;
pub const LEASE_MS: u64 = 10_000;
pub const REPORT_MS: u64 = 1_500;
pub const CANCEL_MS: u64 = 35_000;
/// Once all troubles are over, a job about which nothing is answered for so long counts as forgotten.
const FORGOTTEN_MS: u64 = 75_000;
pub const TEAM_LIMIT: f64 = 24.0;
/// The rules are looked at this often even if nothing they are about has changed: some are about time.
const CHECK_MS: u64 = 100;
/// So many users at a time ask what is odd, at the most in ten of their questions one.
const ODD_USERS: f64 = 20.0;
/// How far a clock may be from true time (`skew_ms` in the settings below).
pub const SKEW_MS: u64 = 100;
/// What the state service takes once its limits have shrunk.
const NEXT_KB: f64 = 0.75;
const NEXT_OPS: usize = 4;
const NEXT_RATE: f64 = 60.0;

/// Safeguards of the surroundings that a test may switch off, to show that the checker can fail.
#[derive(Clone, Copy, Default)]
pub struct DisabledSafeguards {
    /// The state service ignores the conditions of transactions.
    pub no_conditions: bool,
    /// The cloud confirms returns that it does not carry out.
    pub false_returns: bool,
    /// Workers obey whatever token.
    pub no_tokens: bool,
    /// Late copies of reports carry a session and a counter that make them the newest.
    pub no_order: bool,
    /// Submissions lose the jobs that they need on their way.
    pub no_needs: bool,
    /// The first controller answers polls by what was true once.
    pub old_answers: bool,
    /// The state service confirms what it does not carry out, where only its answer would be lost.
    pub false_answers: bool,
    /// Workers keep what they have though their lease has run out.
    pub no_leases: bool,
    /// Controllers are told half of the teams' limits.
    pub half_limits: bool,
}

/// How rough the network and the surroundings are.
#[derive(Clone, Copy)]
pub struct NetworkConditions {
    /// Share of calls whose answer is lost.
    pub lost: f64,
    /// Of those, the share that is carried out seconds later.
    pub late: f64,
    pub crashes: bool,
    pub outages: bool,
    pub machine_faults: bool,
    /// Reservations and windows are switched on, and clocks differ by as much as they may.
    pub calendar: bool,
    /// Runs of graphs are switched on.
    pub graphs: bool,
    /// Drains are switched on.
    pub drains: bool,
    /// Jobs take much longer than their owners think.
    pub short_estimates: bool,
    /// The controllers begin as the version before and are replaced one after the other; some time
    /// afterwards the state service takes less.
    pub roll: bool,
}

impl NetworkConditions {
    /// Nothing goes wrong.
    pub const CALM: NetworkConditions = NetworkConditions {
        lost: 0.0,
        late: 0.0,
        crashes: false,
        outages: false,
        machine_faults: false,
        calendar: false,
        graphs: false,
        drains: false,
        short_estimates: false,
        roll: false,
    };
    /// Everything does.
    pub const STORM: NetworkConditions = NetworkConditions {
        lost: 0.03,
        late: 0.5,
        crashes: true,
        outages: true,
        machine_faults: true,
        ..NetworkConditions::CALM
    };
}

struct Node {
    controller: Option<Controller>,
    life: u64,
    started: u64,
    /// Holds the format back, as the version before does by not knowing it.
    old: bool,
}

pub struct User {
    /// Users whose jobs this one's needs.
    pub dependencies: Vec<usize>,
    pub job: String,
    pub spec: Value,
    /// A graph's run submits it.
    pub by_run: bool,
    pub tasks: u32,
    pub cpus: f64,
    pub accepted: bool,
    pub told_done: bool,
    pub told_cancelled: Option<u64>,
    /// When a question about the job was last answered.
    pub answered_at: u64,
    pub wants_cancel: bool,
    pub cancel_at: Option<u64>,
    pub submit_at: u64,
    pub(crate) history: histories::History,
}

enum Asked {
    Worker(String, u64),
    /// Nobody waits for the answer.
    Nobody,
    Submit(usize),
    Poll(usize),
    Cancel(usize),
    Stranger,
    /// What must be refused with this status, and the field to be named.
    Odd(u16, &'static str),
    /// A submission that needs a job nobody submitted.
    Dangling,
    /// A reservation or a window, and a question about an accepted one.
    Book(usize),
    Booked(usize),
    /// A run begun, cancelled, and asked about.
    RunBegin(usize),
    RunCancel(usize),
    RunShow(usize),
    /// A graph kept.
    Keep(usize),
    /// A drain asked for or told something, a budget set; and a question about a drain.
    Operator(usize),
    Drained(usize),
}

impl Asked {
    /// Whether this reaches a controller that may be cut off with a zone, and its answer the asker.
    fn is_heard(&self, cut_off: bool) -> bool {
        !cut_off || matches!(self, Asked::Worker(..) | Asked::Nobody)
    }
}

pub struct Simulation {
    pub now: u64,
    pub rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    order: u64,
    nodes: Vec<Node>,
    pub state: StateService,
    pub cloud: Cloud,
    /// Leases that ran out on machines that are gone.
    expired: u64,
    /// CPUs that each team may use.
    team_limit: f64,
    pub workers: BTreeMap<String, Worker>,
    pub users: Vec<User>,
    pub bookers: Vec<booking::Booker>,
    pub runners: Vec<running::Runner>,
    pub keepers: Vec<running::Keeper>,
    pub operators: Vec<draining::Operator>,
    /// What drains may take away, and what they have.
    pub budget: Budget,
    pub disrupted: draining::Disrupted,
    /// Something has changed that the rules are about, and when they were last looked at.
    touched: bool,
    checked: u64,
    /// Where a job stands among the users.
    by_name: HashMap<String, usize>,
    /// After so many more writes the controller that made the last one is killed, its answer lost.
    pub kill_after: Option<u64>,
    /// Jobs whose tasks fail wherever they start.
    pub bad_jobs: BTreeSet<String>,
    /// Jobs whose tasks run until they are stopped.
    pub endless: BTreeSet<String>,
    seen: booking::Seen,
    /// How long tasks run, about.
    pub run_ms: u64,
    /// So long after it closes a zone is empty on this day, whatever else goes wrong on it.
    pub empty_after: Option<u64>,
    asked: BTreeMap<(usize, u64, u64), Asked>,
    next_conn: u64,
    conditions: NetworkConditions,
    pub safeguards: DisabledSafeguards,
    /// Completed tasks, by job.
    pub finished: BTreeMap<String, BTreeSet<u32>>,
    pub broken: Vec<String>,
    pub starts: u64,
    /// Starts of tasks after their users were told of their cancellation, and the longest time after it.
    pub starts_after_cancel: u64,
    pub latest_start: u64,
    /// Submissions refused because they need a job nobody submitted.
    pub dangling: u64,
    /// Controllers that said of a job what is older than what they had said themselves.
    pub contradictions: Vec<String>,
    /// Odd requests refused as they must be.
    pub odd_refused: u64,
    refused: BTreeSet<usize>,
    /// Controllers that no worker reaches, nor they it.
    deaf: BTreeSet<usize>,
    /// Controllers whose messages to the others, and theirs to them, are lost.
    mute: BTreeSet<usize>,
    /// A zone whose workers reach nobody.
    cut: Option<String>,
    outage: bool,
    pub(crate) injected: faults::InjectedFaults,
    waits: waits::Waits,
    /// How much longer a job's second and third task run than the one before; the others like these.
    pub spread_ms: u64,
    quiet_at: u64,
    /// For how long a controller that has ended is away; drawn each time where it is not said.
    pub back_ms: Option<u64>,
    /// Of everything that the controllers have sent.
    pub digest: digest::OutputDigest,
}

/// Puts a controller among those that something ails, or takes it out.
fn switch(ailing: &mut BTreeSet<usize>, node: usize, on: bool) {
    if on {
        ailing.insert(node);
    } else {
        ailing.remove(&node);
    }
}

fn settings(i: usize, team_limit: f64) -> Settings {
    let mut text = format!(
        "member = \"n{i}\"\nserve_on = \"10.0.0.{0}:1\"\npeer_listen = \"10.0.0.{0}:2\"\n",
        i + 1
    );
    for j in (0..NODES).filter(|j| *j != i) {
        text += &format!(
            "[[peers]]\nmember = \"n{j}\"\naddress = \"10.0.0.{}:2\"\n",
            j + 1
        );
    }
    text += &format!(
        "[outside]\ncloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n[deployment]\nnodes = {NODES}\n\
         zones = [\"a\", \"b\"]\nskew_ms = 100.0\n\
         [[deployment.teams]]\nname = \"red\"\ncpus = 8.0\ncpus_max = {team_limit}\n\
         [[deployment.teams]]\nname = \"blue\"\ncpus = 8.0\ncpus_max = {team_limit}\n\
         [deployment.workers]\nreport_s = 1.5\nlease_s = 10.0\ncancel_s = 35.0\n\
         [deployment.state]\nrps = 300.0\nwrite_rps = 120.0\nvalue_kb = 16.0\ntxn_ops = 12\n\
         [deployment.state.next]\nwrite_rps = {NEXT_RATE}\nvalue_kb = {NEXT_KB}\ntxn_ops = {NEXT_OPS}\n\
         [deployment.cloud]\nrps = 6.0\nlist_lag_s = 3.0\n\
         [deployment.limits]\ncore_share = 0.2\nmem_mb = 100.0\nsockets = 1000\n"
    );
    Settings::parse(&text).expect("the world's settings are sound")
}

impl Simulation {
    pub fn new(
        seed: u64,
        conditions: NetworkConditions,
        safeguards: DisabledSafeguards,
        jobs: usize,
        quiet_at: u64,
    ) -> Simulation {
        Simulation::sized(
            seed,
            conditions,
            safeguards,
            jobs,
            quiet_at,
            (TEAM_LIMIT, 3),
        )
    }

    /// With so many CPUs for each team, and so many machines in each pool.
    pub fn sized(
        seed: u64,
        conditions: NetworkConditions,
        safeguards: DisabledSafeguards,
        jobs: usize,
        quiet_at: u64,
        (team_limit, pool): (f64, usize),
    ) -> Simulation {
        let mut simulation = Simulation {
            now: 1,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            order: 0,
            nodes: Vec::new(),
            state: StateService::new(safeguards.no_conditions),
            cloud: Cloud::new(pool),
            expired: 0,
            team_limit,
            workers: BTreeMap::new(),
            users: Vec::new(),
            bookers: Vec::new(),
            runners: Vec::new(),
            keepers: Vec::new(),
            operators: Vec::new(),
            budget: Budget::default(),
            disrupted: draining::Disrupted::default(),
            by_name: HashMap::new(),
            touched: false,
            checked: 0,
            kill_after: None,
            bad_jobs: BTreeSet::new(),
            endless: BTreeSet::new(),
            seen: booking::Seen::default(),
            run_ms: 3_000,
            empty_after: None,
            asked: BTreeMap::new(),
            next_conn: 0,
            conditions,
            safeguards,
            finished: BTreeMap::new(),
            broken: Vec::new(),
            starts: 0,
            starts_after_cancel: 0,
            latest_start: 0,
            dangling: 0,
            contradictions: Vec::new(),
            odd_refused: 0,
            refused: BTreeSet::new(),
            deaf: BTreeSet::new(),
            mute: BTreeSet::new(),
            cut: None,
            outage: false,
            injected: faults::InjectedFaults::default(),
            waits: waits::Waits::default(),
            spread_ms: 0,
            quiet_at,
            back_ms: None,
            digest: digest::OutputDigest::default(),
        };
        for i in 0..NODES {
            simulation.nodes.push(Node {
                controller: None,
                life: 0,
                started: 0,
                old: conditions.roll,
            });
            simulation.restart(i);
        }
        for u in 0..jobs {
            let user = simulation.draw_user(u);
            let at = user.submit_at;
            simulation.users.push(user);
            simulation.at(at, Event::UserNext(u));
        }
        simulation.draw_faults();
        simulation
    }

    fn at(&mut self, time: u64, event: Event) {
        self.order += 1;
        self.events.push(Some(event));
        let slot = self.events.len() - 1;
        self.queue
            .push(Reverse((time.max(self.now), self.order, slot)));
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.at(self.now + ms, event);
    }

    fn hop(&mut self) -> u64 {
        self.rng.random_range(1..6)
    }

    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((time, _, slot))) = self.queue.peek().copied() {
            if time > until || !self.broken.is_empty() {
                return;
            }
            self.queue.pop();
            self.now = time;
            if let Some(event) = self.events[slot].take() {
                self.handle(event);
            }
            // Most events are ticks and messages that change nothing that runs.
            if self.touched || self.now >= self.checked + CHECK_MS {
                self.touched = false;
                self.checked = self.now;
                self.check();
            }
        }
    }
}
