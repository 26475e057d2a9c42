//! Faults of the environment, and when they occur.

mod all_controllers_down;
mod delayed_heartbeat_responses;
mod fast_boots;
mod hung_machines;
pub mod invalid_requests;
mod kv_and_peer_isolation;
mod late_heartbeats;
mod late_writes;
mod lost_heartbeat_responses;
mod lost_heartbeats;
mod lost_kv_responses;
mod machine_failures;
mod mass_cancellation;
mod replayed_heartbeats;
mod request_bursts;
mod slow_worker_links;
mod zone_partition;

use super::{Event, NODES, Simulation};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};

/// A fault that lasts for some time.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Fault {
    /// This share of the transactions is applied late and gets no response.
    LateWrites(f64),
    /// A copy of this share of the heartbeats arrives again later.
    LateHeartbeats(f64),
    /// This share of the machines receives no heartbeat responses.
    LostHeartbeatResponses(f64),
    /// This share of the heartbeat responses is delayed.
    DelayedHeartbeatResponses(f64),
    /// This share of the machines fails within two seconds.
    MachineFailures(f64),
    /// New machines boot within two seconds.
    FastBoots,
    /// Heartbeats and their responses take up to this many milliseconds, and at least half of that.
    SlowWorkerLinks(u64),
    /// The key-value store refuses one controller.
    KvRefusal(usize),
    /// The key-value store refuses all controllers.
    KvOutage,
    /// Calls to the key-value store take up to this many milliseconds longer.
    SlowKv(u64),
    /// The workers of one zone reach no controller.
    ZoneIsolation(&'static str),
    /// A controller loses the connection to the key-value store and to its peers.
    KvAndPeerIsolation(usize),
    /// A controller loses the connection to its peers.
    PeerIsolation(usize),
    /// A controller loses the connection to all workers.
    WorkerIsolation(usize),
    /// After each new response users send requests to all controllers within milliseconds and submit again;
    /// some cancel.
    RequestBursts,
    /// This share of the jobs is cancelled at the moment of completion.
    CancelAtCompletion(f64),
    /// Users send invalid requests, resubmit accepted jobs with other fields and cancel jobs that have ended.
    InvalidRequests,
    /// One controller crashes.
    Crash(usize),
    /// All controllers crash within this many milliseconds.
    CrashAll(u64),
    /// Of this share of the transactions and lease requests only the response is lost.
    LostKvResponses(f64),
    /// Copies of this share of the heartbeats are captured and sent to all controllers when the machine's
    /// shard gets a new leader.
    ReplayedHeartbeats(f64),
    /// This share of the machines reaches no controller but receives direct commands.
    LostHeartbeats(f64),
    /// This share of the machines hangs, each for a random time.
    HungMachines(f64),
    /// This many running jobs are cancelled, and up to eight of their machines hang for this many
    /// milliseconds.
    MassCancellation(usize, u64),
    /// The workers of a zone and one controller are partitioned from everything else.
    ZonePartition(&'static str, usize),
    /// All controllers are down.
    AllControllersDown,
}

/// Faults that are active now, except those that [`Simulation`] holds itself.
#[derive(Default)]
pub(crate) struct InjectedFaults {
    pub late_writes: f64,
    pub late_heartbeats: f64,
    pub delayed_heartbeat_responses: f64,
    pub kv_delay_ms: u64,
    pub request_bursts: bool,
    /// Set once users send requests without waiting for earlier responses.
    pub concurrent_requests: bool,
    pub cancel_at_completion: f64,
    pub invalid_requests: bool,
    pub invalid_jobs: u64,
    /// Jobs to send requests about, and optionally to cancel, when the machine of this id sends a heartbeat or
    /// the end of the job of this id is written.
    pub completions: BTreeMap<String, Vec<(usize, bool)>>,
    pub worker_link_max_ms: u64,
    pub fast_boots: bool,
    pub lost_heartbeat_responses: BTreeSet<String>,
    /// Controllers without a connection to the key-value store, in either direction.
    pub kv_unreachable: BTreeSet<usize>,
    pub lost_kv_responses: f64,
    pub replayed_heartbeats: replayed_heartbeats::ReplayedHeartbeats,
    pub lost_heartbeats: BTreeSet<String>,
    pub zone_partitions: Vec<(&'static str, usize)>,
    pub all_controllers_down: bool,
}

impl Simulation {
    /// Schedules a fault. Faults without a duration occur once at `at`.
    pub fn inject(&mut self, at: u64, for_ms: u64, fault: Fault) {
        let until = at + for_ms;
        match fault {
            Fault::KvRefusal(node) => self.refuse_kv_at(at, until, node),
            Fault::ZoneIsolation(zone) => self.isolate_zone_at(at, until, zone),
            Fault::KvOutage => self.kv_outage_at(at, until),
            Fault::KvAndPeerIsolation(node) => self.isolate_from_kv_and_peers_at(at, until, node),
            Fault::PeerIsolation(node) => self.isolate_from_peers_at(at, until, node),
            Fault::WorkerIsolation(node) => self.block_workers_at(at, until, node),
            Fault::Crash(node) => self.crash_at(at, node),
            Fault::CrashAll(within_ms) => {
                for node in 0..NODES {
                    let after = self.rng.random_range(0..=within_ms);
                    self.crash_at(at + after, node);
                }
            }
            Fault::ZonePartition(zone, node) => self.partition_zone_at(at, until, zone, node),
            _ => {
                self.schedule_at(at, Event::SetFault(fault, true));
                self.schedule_at(until, Event::SetFault(fault, false));
            }
        }
    }

    /// Begins or ends a fault.
    pub(crate) fn set_fault(&mut self, fault: Fault, active: bool) {
        let active_share = |share: f64| if active { share } else { 0.0 };
        match fault {
            Fault::LateWrites(share) => self.injected.late_writes = active_share(share),
            Fault::LateHeartbeats(share) => self.injected.late_heartbeats = active_share(share),
            Fault::DelayedHeartbeatResponses(share) => {
                self.injected.delayed_heartbeat_responses = active_share(share)
            }
            Fault::RequestBursts => {
                self.injected.request_bursts = active;
                self.injected.concurrent_requests = true;
            }
            Fault::CancelAtCompletion(share) => {
                self.injected.cancel_at_completion = active_share(share);
                self.injected.concurrent_requests = true;
            }
            Fault::InvalidRequests => self.injected.invalid_requests = active,
            Fault::SlowKv(ms) => self.injected.kv_delay_ms = if active { ms } else { 0 },
            Fault::SlowWorkerLinks(ms) => {
                self.injected.worker_link_max_ms = if active { ms } else { 0 }
            }
            Fault::MachineFailures(share) => self.fail_machines(active_share(share)),
            Fault::FastBoots => self.injected.fast_boots = active,
            Fault::LostHeartbeatResponses(share) => {
                self.set_lost_heartbeat_responses(active_share(share))
            }
            Fault::LostKvResponses(share) => self.injected.lost_kv_responses = active_share(share),
            Fault::ReplayedHeartbeats(share) => self.set_heartbeat_capture(active_share(share)),
            Fault::LostHeartbeats(share) => self.set_lost_heartbeats(active_share(share)),
            Fault::HungMachines(share) => self.hang_machines(active_share(share)),
            Fault::MassCancellation(count, hang_ms) if active => {
                self.cancel_running_jobs(count, hang_ms)
            }
            Fault::AllControllersDown => self.all_controllers_down(active),
            _ => {}
        }
    }

    /// Draws this share of the machines.
    fn draw_machines(&mut self, share: f64) -> Vec<String> {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        let candidates = names.into_iter();
        candidates.filter(|_| self.rng.random_bool(share)).collect()
    }

    /// Crashes a controller. It restarts after [`Simulation::restart_delay_ms`].
    pub fn crash_at(&mut self, at: u64, node: usize) {
        self.schedule_at(at, Event::Crash(node));
    }

    /// Downtime of a crashed controller: below 0.2 s, up to 2 s or up to 10 s.
    pub(crate) fn draw_restart_delay_ms(&mut self) -> u64 {
        if let Some(ms) = self.restart_delay_ms {
            return ms;
        }
        match self.rng.random_range(0..3u32) {
            0 => self.rng.random_range(20..200),
            1 => self.rng.random_range(200..2_000),
            _ => self.rng.random_range(2_000..10_000),
        }
    }

    /// Crashes each controller repeatedly and independently. Each incarnation lasts from 20 ms to `life_ms`.
    pub fn crash_loop_at(&mut self, from: u64, until: u64, life_ms: u64) {
        for node in 0..NODES {
            let mut at = from + self.rng.random_range(0..life_ms);
            while at < until {
                self.crash_at(at, node);
                at += self.rng.random_range(20..life_ms);
            }
        }
    }

    /// Cuts the connections between a controller and all workers.
    pub fn block_workers_at(&mut self, from: u64, until: u64, node: usize) {
        self.schedule_at(from, Event::UnreachableByWorkers(node, true));
        self.schedule_at(until, Event::UnreachableByWorkers(node, false));
    }

    /// Lets the key-value store refuse one controller.
    pub fn refuse_kv_at(&mut self, from: u64, until: u64, node: usize) {
        self.schedule_at(from, Event::KvRefusal(node, true));
        self.schedule_at(until, Event::KvRefusal(node, false));
    }

    /// Cuts the connections between a controller and its peers.
    pub fn isolate_from_peers_at(&mut self, from: u64, until: u64, node: usize) {
        self.schedule_at(from, Event::IsolatedFromPeers(node, true));
        self.schedule_at(until, Event::IsolatedFromPeers(node, false));
    }

    /// Isolates a controller from workers and peers, and lets the key-value store refuse it.
    pub fn isolate_controller_at(&mut self, from: u64, until: u64, node: usize) {
        self.block_workers_at(from, until, node);
        for (at, on) in [(from, true), (until, false)] {
            self.schedule_at(at, Event::KvRefusal(node, on));
            self.schedule_at(at, Event::IsolatedFromPeers(node, on));
        }
    }

    /// Cuts the connections between a zone's workers and all controllers.
    pub fn isolate_zone_at(&mut self, from: u64, until: u64, zone: &str) {
        self.schedule_at(from, Event::ZoneIsolated(zone.to_string(), true));
        self.schedule_at(until, Event::ZoneIsolated(zone.to_string(), false));
    }

    /// Lets the key-value store refuse all controllers.
    pub fn kv_outage_at(&mut self, from: u64, until: u64) {
        self.schedule_at(from, Event::KvOutage(true));
        self.schedule_at(until, Event::KvOutage(false));
    }

    /// Schedules the random faults of the simulation's conditions.
    pub(crate) fn draw_faults(&mut self) {
        let end = self.faults_end_at;
        if self.conditions.rolling_update {
            let mut at = self.rng.random_range(4_000..45_000u64);
            for node in 0..NODES {
                self.schedule_at(at, Event::UpdateVersion(node));
                at += self.rng.random_range(500..6_000u64);
            }
            at += self.rng.random_range(500..15_000u64);
            self.schedule_at(at, Event::ReduceKvLimits);
        }
        if self.conditions.crashes {
            for _ in 0..4 {
                let (at, node) = (
                    self.rng.random_range(5_000..end),
                    self.rng.random_range(0..NODES),
                );
                self.schedule_at(at, Event::Crash(node));
            }
            if self.rng.random_bool(0.5) {
                let at = self.rng.random_range(5_000..end);
                for node in 0..NODES {
                    self.schedule_at(at + node as u64 * 300, Event::Crash(node));
                }
            }
        }
        if self.conditions.outages {
            let at = self.rng.random_range(5_000..end);
            let duration_ms = self.rng.random_range(2_000..20_000u64);
            self.schedule_at(at, Event::KvOutage(true));
            self.schedule_at((at + duration_ms).min(end), Event::KvOutage(false));
            for _ in 0..2 {
                let (at, node) = (
                    self.rng.random_range(5_000..end),
                    self.rng.random_range(0..NODES),
                );
                let duration_ms = self.rng.random_range(2_000..25_000u64);
                self.schedule_at(at, Event::KvRefusal(node, true));
                self.schedule_at((at + duration_ms).min(end), Event::KvRefusal(node, false));
            }
        }
    }
}
