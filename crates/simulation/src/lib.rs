//! Deterministic simulation of a cluster for tests. Simulated key-value store, cloud, workers, users and
//! network surround the state machines of real controllers. Every run follows from its seed.

pub mod calendar;
pub mod cloud;
mod controllers;
pub mod dag_runs;
mod direct_commands;
pub mod drains;
mod events;
pub mod fault_combinations;
pub mod faults;
pub mod kv_store;
mod machines;
pub mod output_digest;
pub mod previous_formats;
mod response_history;
mod rules;
mod starvation;
mod users;
pub mod workers;

use cloud::Cloud;
use events::Event;
use faults::Fault;
use kv_store::KvStore;
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
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use workers::{Worker, WorkerTask};

/// Number of controllers, and of shards.
pub const NODES: usize = 3;
/// Duration of a worker lease (`lease_s`).
pub const LEASE_MS: u64 = 10_000;
/// Interval between a worker's heartbeats (`report_s`).
pub const HEARTBEAT_MS: u64 = 1_500;
/// Time within which the tasks of a cancelled job must have ended (`cancel_s`).
pub const CANCEL_MS: u64 = 35_000;
/// Limit on the time without a response about an accepted job after all faults have ended. Beyond it the rule
/// "forgotten" is broken.
const MAX_UNANSWERED_MS: u64 = 75_000;
/// Default CPU limit of a team.
pub const TEAM_LIMIT: f64 = 24.0;
/// The rules are checked at least this often, in simulated milliseconds. Some rules depend on time alone and
/// can break without an event.
const CHECK_INTERVAL_MS: u64 = 100;
/// Number of users that send invalid requests per round of user steps, on average. At most one step in ten
/// does.
const INVALID_REQUEST_USERS: f64 = 20.0;
/// Largest deviation of a controller's clock from true time. It equals `skew_ms` in the settings.
pub const MAX_CLOCK_SKEW_MS: u64 = 100;
/// Limits of the key-value store after [`Event::ReduceKvLimits`]. The controllers know them as
/// `deployment.state.next`.
const REDUCED_VALUE_KB: f64 = 0.75;
const REDUCED_TXN_OPS: usize = 4;
const REDUCED_WRITE_RPS: f64 = 60.0;

/// Safeguards that a test can disable to show that the rule checks detect violations.
#[derive(Clone, Copy, Default)]
pub struct DisabledSafeguards {
    /// The key-value store ignores the conditions of transactions.
    pub ignore_txn_conditions: bool,
    /// The cloud confirms the return of machines but keeps them running.
    pub ignore_machine_returns: bool,
    /// Workers carry out commands regardless of their fencing token.
    pub ignore_fencing_tokens: bool,
    /// Late copies of heartbeats get an agent incarnation and a sequence number that make them the newest.
    pub renumber_late_heartbeats: bool,
    /// Submissions lose their dependencies in transit.
    pub drop_dependencies: bool,
    /// The first controller repeats its first response to every poll.
    pub stale_responses: bool,
    /// Calls that would be applied with a lost response are acknowledged without being applied.
    pub acknowledge_unapplied_txns: bool,
    /// Workers keep their tasks after their lease has expired.
    pub ignore_worker_leases: bool,
    /// Controllers are configured with half of the team limits.
    pub halve_team_limits: bool,
}

/// Faults of the environment and optional features that are enabled in a simulation.
#[derive(Clone, Copy)]
pub struct SimulationConditions {
    /// Share of calls whose response is lost.
    pub lost_share: f64,
    /// Share of those calls that are applied 1 to 15 seconds late.
    pub late_share: f64,
    /// Controllers crash at random times.
    pub crashes: bool,
    /// The key-value store has an outage and refuses single controllers at random times.
    pub outages: bool,
    /// Machines hang, or fail every task that they start.
    pub machine_faults: bool,
    /// Reservations and windows are enabled, and the clocks differ by up to [`MAX_CLOCK_SKEW_MS`].
    pub calendar: bool,
    /// DAG runs are enabled.
    pub graphs: bool,
    /// Drains are enabled.
    pub drains: bool,
    /// Jobs run much longer than their estimate.
    pub short_estimates: bool,
    /// The controllers start as the previous version and are updated one after the other. Afterwards the
    /// limits of the key-value store are reduced.
    pub rolling_update: bool,
}

impl SimulationConditions {
    /// No faults.
    pub const FAULT_FREE: SimulationConditions = SimulationConditions {
        lost_share: 0.0,
        late_share: 0.0,
        crashes: false,
        outages: false,
        machine_faults: false,
        calendar: false,
        graphs: false,
        drains: false,
        short_estimates: false,
        rolling_update: false,
    };
    /// All kinds of faults.
    pub const FAULTY: SimulationConditions = SimulationConditions {
        lost_share: 0.03,
        late_share: 0.5,
        crashes: true,
        outages: true,
        machine_faults: true,
        ..SimulationConditions::FAULT_FREE
    };
}

/// A controller and its process state.
struct ControllerNode {
    controller: Option<Controller>,
    incarnation: u64,
    /// Time of the last start; the controller's monotonic clock counts from it.
    started_at: u64,
    /// Keeps the previous record format, like the previous version that does not know the new one.
    previous_version: bool,
}

/// A user with one job.
pub struct User {
    /// Indices of the users whose jobs this job depends on.
    pub dependencies: Vec<usize>,
    /// Id of the job.
    pub job: String,
    /// Body of the submission.
    pub spec: Value,
    /// Whether a DAG run submits the job. The user then only polls it.
    pub from_dag_run: bool,
    /// Number of tasks of the job.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// Whether a controller has confirmed the job.
    pub accepted: bool,
    /// Whether a controller has reported the job as done.
    pub completion_reported: bool,
    /// When a controller first reported the job as aborted.
    pub cancel_reported_at: Option<u64>,
    /// Time of the last successful response about the job.
    pub last_response_at: u64,
    /// Whether the user has requested cancellation.
    pub cancel_requested: bool,
    /// When the user is to request cancellation.
    pub cancel_at: Option<u64>,
    /// When the user first submits the job.
    pub submit_at: u64,
    pub(crate) history: response_history::ResponseHistory,
}

/// A request that a controller has not responded to yet, with the index of its sender.
enum PendingRequest {
    /// A heartbeat: the machine and the heartbeat's number.
    Heartbeat(String, u64),
    /// The response is ignored.
    Ignored,
    Submit(usize),
    Poll(usize),
    Cancel(usize),
    /// A request about a job that was never submitted.
    UnknownJob,
    /// An invalid request: the expected status, and the field that the error must name (empty: any error).
    Invalid(u16, &'static str),
    /// A submission that depends on a job which was never submitted.
    UnknownDependency,
    /// Creates a reservation or a window; reads an accepted one.
    CreateEntry(usize),
    ReadEntry(usize),
    /// Begins, cancels and reads a DAG run.
    BeginRun(usize),
    CancelRun(usize),
    ReadRun(usize),
    /// Stores a graph.
    StoreGraph(usize),
    /// Creates or controls a drain or sets a budget; reads a drain.
    OperatorRequest(usize),
    ReadDrain(usize),
}

impl PendingRequest {
    /// Whether the request reaches its controller and the response its sender. A zone partition blocks all but
    /// heartbeats and requests without a waiting sender.
    fn is_delivered(&self, partitioned: bool) -> bool {
        !partitioned
            || matches!(
                self,
                PendingRequest::Heartbeat(..) | PendingRequest::Ignored
            )
    }
}

/// A simulated cluster. All times are in milliseconds since its start.
pub struct Simulation {
    /// Current time.
    pub now: u64,
    /// Source of all random choices.
    pub rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    next_order: u64,
    nodes: Vec<ControllerNode>,
    /// The key-value store.
    pub kv_store: KvStore,
    /// The simulated cloud, with its machines and the history of requests to it.
    pub cloud: Cloud,
    /// Expired leases of workers whose machines have been released.
    expired_on_released: u64,
    /// CPUs that each team may use.
    team_limit: f64,
    /// Workers by machine id.
    pub workers: BTreeMap<String, Worker>,
    /// Users with one job each.
    pub users: Vec<User>,
    /// Users that create reservations and windows.
    pub calendar_clients: Vec<calendar::CalendarClient>,
    /// Users that begin DAG runs.
    pub run_clients: Vec<dag_runs::RunClient>,
    /// Users that store graphs.
    pub graph_clients: Vec<dag_runs::GraphClient>,
    /// Requests of operators.
    pub operators: Vec<drains::Operator>,
    /// Disruption budget of the teams that have no budget of their own.
    pub budget: Budget,
    /// Tasks that were stopped on purpose.
    pub disruptions: drains::Disruptions,
    /// Set when something has changed that the rules depend on.
    rules_check_due: bool,
    last_check_at: u64,
    /// Index of the user of each job.
    user_of_job: HashMap<String, usize>,
    /// After this number of further writes the controller that sent the last one crashes before the response
    /// arrives.
    pub crash_after_writes: Option<u64>,
    /// Jobs whose tasks fail on every machine.
    pub failing_jobs: BTreeSet<String>,
    /// Jobs whose tasks run until they are stopped.
    pub endless_jobs: BTreeSet<String>,
    running_at_last_check: calendar::RunningTasks,
    /// Approximate run time of a task.
    pub task_run_ms: u64,
    /// When set, a zone must be empty this long after a window has closed it, whatever faults occur.
    pub zone_empty_after_ms: Option<u64>,
    pending: BTreeMap<(usize, u64, u64), PendingRequest>,
    next_connection: u64,
    conditions: SimulationConditions,
    /// Safeguards that are disabled.
    pub safeguards: DisabledSafeguards,
    /// Numbers of the completed tasks of each job.
    pub completed_tasks: BTreeMap<String, BTreeSet<u32>>,
    /// Violated rules. The simulation stops at the first one.
    pub violations: Vec<String>,
    /// Number of task starts.
    pub task_starts: u64,
    /// Task starts after the user was told that the job is cancelled.
    pub starts_after_cancel: u64,
    /// Longest time between such a report and a later task start.
    pub latest_start_after_cancel_ms: u64,
    /// Submissions refused because they depend on a job that was never submitted.
    pub refused_unknown_dependencies: u64,
    /// Responses of a controller about a job that are older than its own earlier ones.
    pub contradictions: Vec<String>,
    /// Invalid requests that were refused with the expected status and reason.
    pub refused_invalid_requests: u64,
    kv_refused: BTreeSet<usize>,
    /// Controllers without a connection to any worker, in either direction.
    unreachable_by_workers: BTreeSet<usize>,
    /// Controllers without a connection to their peers, in either direction.
    isolated_from_peers: BTreeSet<usize>,
    /// The zone whose workers reach no controller.
    isolated_zone: Option<String>,
    kv_outage: bool,
    pub(crate) injected: faults::InjectedFaults,
    starvation: starvation::StarvationTracker,
    /// Additional run time per task index modulo 3.
    pub task_spread_ms: u64,
    faults_end_at: u64,
    /// Downtime of a crashed controller. A random one is drawn when unset.
    pub restart_delay_ms: Option<u64>,
    /// Digest of all outputs of the controllers.
    pub digest: output_digest::OutputDigest,
}

/// Adds a controller to a set of faulty ones, or removes it.
fn set_membership(controllers: &mut BTreeSet<usize>, node: usize, member: bool) {
    if member {
        controllers.insert(node);
    } else {
        controllers.remove(&node);
    }
}

/// Settings of the controller with index `i`.
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
         [deployment.state.next]\nwrite_rps = {REDUCED_WRITE_RPS}\nvalue_kb = {REDUCED_VALUE_KB}\ntxn_ops = {REDUCED_TXN_OPS}\n\
         [deployment.cloud]\nrps = 6.0\nlist_lag_s = 3.0\n\
         [deployment.limits]\ncore_share = 0.2\nmem_mb = 100.0\nsockets = 1000\n"
    );
    Settings::parse(&text).expect("the simulation's settings are valid")
}

impl Simulation {
    /// A simulation with the default limits and `jobs` random users. Random faults end at `faults_end_at`.
    pub fn new(
        seed: u64,
        conditions: SimulationConditions,
        safeguards: DisabledSafeguards,
        jobs: usize,
        faults_end_at: u64,
    ) -> Simulation {
        Simulation::sized(
            seed,
            conditions,
            safeguards,
            jobs,
            faults_end_at,
            (TEAM_LIMIT, 3),
        )
    }

    /// A simulation with a CPU limit per team and a maximum number of machines per pool.
    pub fn sized(
        seed: u64,
        conditions: SimulationConditions,
        safeguards: DisabledSafeguards,
        jobs: usize,
        faults_end_at: u64,
        (team_limit, pool): (f64, usize),
    ) -> Simulation {
        let mut simulation = Simulation {
            now: 1,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            next_order: 0,
            nodes: Vec::new(),
            kv_store: KvStore::new(safeguards.ignore_txn_conditions),
            cloud: Cloud::new(pool),
            expired_on_released: 0,
            team_limit,
            workers: BTreeMap::new(),
            users: Vec::new(),
            calendar_clients: Vec::new(),
            run_clients: Vec::new(),
            graph_clients: Vec::new(),
            operators: Vec::new(),
            budget: Budget::default(),
            disruptions: drains::Disruptions::default(),
            user_of_job: HashMap::new(),
            rules_check_due: false,
            last_check_at: 0,
            crash_after_writes: None,
            failing_jobs: BTreeSet::new(),
            endless_jobs: BTreeSet::new(),
            running_at_last_check: calendar::RunningTasks::default(),
            task_run_ms: 3_000,
            zone_empty_after_ms: None,
            pending: BTreeMap::new(),
            next_connection: 0,
            conditions,
            safeguards,
            completed_tasks: BTreeMap::new(),
            violations: Vec::new(),
            task_starts: 0,
            starts_after_cancel: 0,
            latest_start_after_cancel_ms: 0,
            refused_unknown_dependencies: 0,
            contradictions: Vec::new(),
            refused_invalid_requests: 0,
            kv_refused: BTreeSet::new(),
            unreachable_by_workers: BTreeSet::new(),
            isolated_from_peers: BTreeSet::new(),
            isolated_zone: None,
            kv_outage: false,
            injected: faults::InjectedFaults::default(),
            starvation: starvation::StarvationTracker::default(),
            task_spread_ms: 0,
            faults_end_at,
            restart_delay_ms: None,
            digest: output_digest::OutputDigest::default(),
        };
        for i in 0..NODES {
            simulation.nodes.push(ControllerNode {
                controller: None,
                incarnation: 0,
                started_at: 0,
                previous_version: conditions.rolling_update,
            });
            simulation.restart(i);
        }
        for u in 0..jobs {
            let user = simulation.draw_user(u);
            let at = user.submit_at;
            simulation.users.push(user);
            simulation.schedule_at(at, Event::UserStep(u));
        }
        simulation.draw_faults();
        simulation
    }

    fn schedule_at(&mut self, time: u64, event: Event) {
        self.next_order += 1;
        self.events.push(Some(event));
        let slot = self.events.len() - 1;
        self.queue
            .push(Reverse((time.max(self.now), self.next_order, slot)));
    }

    fn schedule_after(&mut self, ms: u64, event: Event) {
        self.schedule_at(self.now + ms, event);
    }

    fn network_delay_ms(&mut self) -> u64 {
        self.rng.random_range(1..6)
    }

    /// Processes all events up to `until`, or up to the first rule violation.
    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((time, _, slot))) = self.queue.peek().copied() {
            if time > until || !self.violations.is_empty() {
                return;
            }
            self.queue.pop();
            self.now = time;
            if let Some(event) = self.events[slot].take() {
                self.handle(event);
            }
            // Most events are ticks and messages that change no running task.
            if self.rules_check_due || self.now >= self.last_check_at + CHECK_INTERVAL_MS {
                self.rules_check_due = false;
                self.last_check_at = self.now;
                self.check_rules();
            }
        }
    }
}
