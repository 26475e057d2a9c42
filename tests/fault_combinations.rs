//! Combinations of two or more faults, each of which the rules survive alone (`docs/fault-combinations.md`).

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use snowshelf_simulation::fault_combinations::{
    FAULTS_END_MS, FaultSchedule, assert_rules_hold, run_schedule, running_tasks, with_endless_jobs,
};
use snowshelf_simulation::faults::Fault;
use snowshelf_simulation::{DisabledSafeguards, NODES, Simulation};

/// The key-value store refuses one controller from 60 s and all of them shortly afterwards, until 140 s. From seed
/// 5 on the first controller's lease may expire before the outage: its shard then has no leader during the outage,
/// and its worker leases expire.
fn kv_refusal_then_outage(seed: u64, node: usize, cancelled: bool) -> Simulation {
    let mut simulation =
        with_endless_jobs(seed, 12, |n| (cancelled && n % 4 != 0).then_some(60_200));
    simulation.refuse_kv_at(60_000, 64_000, node);
    simulation.kv_outage_at(60_500 + 400 * (seed % 8), 140_000);
    simulation.run(59_000);
    assert!(
        running_tasks(&simulation) >= 30,
        "{}",
        running_tasks(&simulation)
    );
    simulation
}

/// Guards against a former shard leader that renews worker leases although it cannot learn of cancellations. The
/// key-value store refuses it alone while its peers confirm cancellations, then refuses all controllers for longer
/// than `cancel_s`. Tasks of jobs that are not cancelled must keep running.
#[test]
fn cancelled_tasks_end_when_kv_store_refuses_one_controller_then_all() {
    for seed in 0..8 {
        for node in 0..NODES {
            let mut simulation = kv_refusal_then_outage(seed, node, true);
            simulation.run(139_000);
            assert_eq!(
                simulation.violations,
                Vec::<String>::new(),
                "seed {seed}, node {node}"
            );
            if seed < 5 {
                let outcome = (
                    running_tasks(&simulation) >= 9,
                    simulation.lease_expirations(),
                );
                assert_eq!(outcome, (true, 0), "seed {seed}, node {node}");
            }
            simulation.run(200_000);
            assert_eq!(
                simulation.violations,
                Vec::<String>::new(),
                "seed {seed}, node {node}"
            );
            let cancel_reported = simulation
                .users
                .iter()
                .filter(|u| u.cancel_reported_at.is_some());
            assert_eq!(cancel_reported.count(), 9, "seed {seed}");
        }
    }
}

/// Guards against tasks that are stopped by an outage of the key-value store although no job is cancelled.
#[test]
fn kv_outage_without_cancellations_stops_no_task_while_peers_are_connected() {
    for seed in 0..4 {
        let mut simulation = kv_refusal_then_outage(seed, 0, false);
        simulation.run(139_000);
        assert_eq!(
            (running_tasks(&simulation), simulation.lease_expirations()),
            (36, 0),
            "seed {seed}"
        );
    }
}

/// Guards against treating a missing confirmation as a confirmation. One controller is isolated from its peers, or
/// restarts with a new incarnation and has lost what it reported. Tasks may end with their worker leases, but no
/// rule may break.
#[test]
fn rules_hold_when_a_peer_cannot_confirm_cancellations_during_kv_outage() {
    for seed in 0..6 {
        for node in 0..NODES {
            let mut simulation = kv_refusal_then_outage(seed, 0, true);
            match seed % 2 {
                0 => simulation.isolate_from_peers_at(60_000, 140_000, node),
                _ => simulation.crash_at(62_000 + 300 * seed, node),
            }
            simulation.run(200_000);
            assert_eq!(
                simulation.violations,
                Vec::<String>::new(),
                "seed {seed}, node {node}"
            );
        }
    }
}

/// Guards against a shard handover during an outage, when no controller can take the shard. The handover would be
/// triggered because the shard leader was isolated before and its workers sent heartbeats to other controllers.
#[test]
fn shard_stays_with_its_leader_during_kv_outage() {
    for seed in 0..4 {
        let mut simulation = with_endless_jobs(seed, 12, |_| None);
        simulation.isolate_from_kv_and_peers_at(60_000, 68_000, seed as usize % NODES);
        simulation.kv_outage_at(61_500, 140_000);
        simulation.run(139_000);
        assert_eq!(
            (running_tasks(&simulation), simulation.lease_expirations()),
            (36, 0),
            "seed {seed}"
        );
    }
}

/// Guards against a shard takeover that an outage interrupts at any point. The previous shard leader has crashed
/// and had not learnt of the latest cancellations.
#[test]
fn rules_hold_when_kv_outage_interrupts_shard_takeover() {
    for step in 0..14 {
        let mut simulation = with_endless_jobs(step, 12, |n| {
            (n % 4 != 0).then_some(58_000 + 300 * n as u64)
        });
        simulation.crash_at(60_000, step as usize % NODES);
        simulation.kv_outage_at(60_100 + 400 * step, 135_000);
        simulation.run(200_000);
        assert_eq!(simulation.violations, Vec::<String>::new(), "step {step}");
    }
}

/// Guards against fencing tokens, quota grants and attempts of one incarnation that are used in the next. Shards
/// are handed over and back, all controllers crash, and one restarts within a second.
#[test]
fn rules_hold_when_all_controllers_crash_during_shard_handovers() {
    use Fault::*;
    assert_rules_hold(|node| {
        vec![
            (28_000, 12_000, WorkerIsolation(node)),
            (36_000, 0, CrashAll(900)),
            (37_000, 0, Crash((node + 1) % NODES)),
            (40_000, 0, CrashAll(0)),
            (70_000, 8_000, KvRefusal(node)),
            (73_000, 0, CrashAll(300)),
        ]
    });
}

/// Guards against a controller that acts on stale data. It has lost the key-value store and its peers, workers and
/// users still reach it, and jobs are cancelled through the other controllers.
#[test]
fn rules_hold_when_controller_reaches_only_workers_and_users() {
    use Fault::*;
    assert_rules_hold(|node| {
        vec![
            (28_000, 45_000, KvAndPeerIsolation(node)),
            (40_000, 0, Crash((node + 1) % NODES)),
            (78_000, 14_000, KvAndPeerIsolation((node + 1) % NODES)),
            (80_000, 48_000, KvOutage),
        ]
    });
}

/// Guards against a transaction that is applied after newer ones of the same controller.
#[test]
fn rules_hold_when_transactions_are_late_during_shard_handovers() {
    use Fault::*;
    assert_rules_hold(|node| {
        vec![
            (22_000, 45_000, LateWrites(0.4)),
            (34_000, 0, Crash(node)),
            (38_000, 9_000, KvRefusal((node + 1) % NODES)),
            (75_000, 30_000, LateWrites(0.7)),
            (79_000, 0, CrashAll(2_000)),
        ]
    });
}

/// Guards against commands that reach a machine late: heartbeat responses are delayed while the shard leader
/// changes.
#[test]
fn rules_hold_when_heartbeat_responses_are_delayed_during_failover() {
    use Fault::*;
    assert_rules_hold(|node| {
        vec![
            (24_000, 40_000, DelayedHeartbeatResponses(0.6)),
            (33_000, 0, Crash(node)),
            (35_000, 30_000, ZoneIsolation("a")),
            (74_000, 30_000, DelayedHeartbeatResponses(0.9)),
            (78_000, 12_000, WorkerIsolation(node)),
        ]
    });
}

/// Guards against wrong responses to users and stopped tasks while the key-value store is slow, then refuses one
/// controller, then refuses all of them for longer than `cancel_s`.
#[test]
fn rules_hold_when_kv_store_is_slow_then_refuses_one_then_all() {
    use Fault::*;
    assert_rules_hold(|node| {
        vec![
            (26_000, 20_000, SlowKv(1_500)),
            (46_000, 12_000, KvRefusal(node)),
            (48_000, 42_000, KvOutage),
            (94_000, 20_000, SlowKv(3_000)),
        ]
    });
}

/// Guards against a task that runs twice. A controller crashes while machines with long tasks are isolated, or do
/// not receive the responses of the next shard leader.
#[test]
fn rules_hold_when_controller_crashes_while_machines_are_unreachable() {
    use Fault::*;
    assert_rules_hold(|node| {
        vec![
            (26_000, 25_000, LostHeartbeatResponses(0.7)),
            (30_000, 0, Crash(node)),
            (66_000, 30_000, ZoneIsolation("a")),
            (70_000, 0, Crash(node)),
            (72_000, 25_000, LostHeartbeatResponses(0.5)),
        ]
    });
}

/// Guards against conclusions from a heartbeat of an earlier agent incarnation or attempt that arrives after newer
/// ones.
#[test]
fn rules_hold_when_heartbeats_arrive_out_of_order_during_shard_handovers() {
    use Fault::*;
    assert_rules_hold(|node| {
        vec![
            (15_000, 90_000, LateHeartbeats(0.6)),
            (30_000, 15_000, LostHeartbeatResponses(0.5)),
            (40_000, 0, CrashAll(300)),
            (65_000, 12_000, WorkerIsolation(node)),
            (72_000, 0, Crash((node + 1) % NODES)),
        ]
    });
}

/// Guards against a job of two or three tasks that is reported as done too early or never. Its tasks end far apart,
/// and the leaders of its shards change in between.
#[test]
fn rules_hold_when_tasks_of_small_jobs_end_across_failovers() {
    use Fault::*;
    assert_rules_hold(|node| {
        vec![
            (26_000, 0, Crash(node)),
            (29_000, 20_000, LateWrites(0.5)),
            (33_000, 0, Crash((node + 1) % NODES)),
            (41_000, 0, Crash((node + 2) % NODES)),
            (60_000, 0, CrashAll(2_000)),
        ]
    });
}

fn draw_fault(rng: &mut StdRng) -> Fault {
    let node = rng.random_range(0..NODES);
    let share = [0.1, 0.3, 0.7][rng.random_range(0..3usize)];
    match rng.random_range(0..23u32) {
        0 => Fault::LateWrites(share),
        1 => Fault::LateHeartbeats(share),
        2 => Fault::LostHeartbeatResponses(share),
        3 => Fault::DelayedHeartbeatResponses(share),
        4 => Fault::KvRefusal(node),
        5 => Fault::KvOutage,
        6 => Fault::KvAndPeerIsolation(node),
        7 => Fault::PeerIsolation(node),
        8 => Fault::WorkerIsolation(node),
        9 => Fault::Crash(node),
        10 => Fault::ZoneIsolation(["a", "b"][node % 2]),
        11 => Fault::SlowKv([300, 1_500, 4_000][node]),
        12 => Fault::LostKvResponses(share),
        13 => Fault::ReplayedHeartbeats(share),
        14 => Fault::LostHeartbeats(share),
        15 => Fault::HungMachines(share),
        16 => Fault::MassCancellation(2 + 3 * node, [0, 3_000, 9_000][rng.random_range(0..3usize)]),
        17 => Fault::ZonePartition(["a", "b"][rng.random_range(0..2usize)], node),
        18 => Fault::AllControllersDown,
        19 => Fault::RequestBursts,
        20 => Fault::CancelAtCompletion(share),
        21 => Fault::InvalidRequests,
        _ => Fault::CrashAll([0, 300, 2_000][rng.random_range(0..3usize)]),
    }
}

/// Draws two groups of two or three faults. The faults of a group begin within 8 s of each other.
fn draw_fault_schedule(seed: u64) -> FaultSchedule {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x6d65_6574);
    let mut schedule = Vec::new();
    for group_start in [15_000..35_000u64, 60_000..80_000] {
        let group_start = rng.random_range(group_start);
        for _ in 0..rng.random_range(2..4u32) {
            let at = group_start + rng.random_range(0..8_000u64);
            let for_ms = [1_000, 4_000, 12_000, 30_000, 48_000][rng.random_range(0..5usize)];
            let for_ms = for_ms + rng.random_range(0..1_000u64);
            let fault = draw_fault(&mut rng);
            schedule.push((at, for_ms.min(FAULTS_END_MS - at), fault));
        }
    }
    schedule
}

/// Checks every rule under random fault combinations. `MEETINGS=1000-1999` runs these seeds instead and reports all
/// that fail.
#[test]
fn rules_hold_for_random_fault_combinations() {
    let range = std::env::var("MEETINGS").unwrap_or("0-15".into());
    let (first, last) = range.split_once('-').expect("FIRST-LAST");
    let seeds = first.parse::<u64>().unwrap()..=last.parse::<u64>().unwrap();
    let failed = |seed: &u64| {
        let schedule = draw_fault_schedule(*seed);
        let simulation = run_schedule(*seed, DisabledSafeguards::default(), &schedule);
        let open = simulation.users.len() - simulation.settled_jobs();
        let passed = simulation.violations.is_empty() && open == 0;
        (!passed).then(|| {
            format!(
                "seed {seed}: {:?}, {open} open, {schedule:?}",
                simulation.violations
            )
        })
    };
    let failed: Vec<String> = seeds.filter_map(|seed| failed(&seed)).collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Shows that the rules are checked under fault combinations: they break once a safeguard is disabled.
#[test]
fn rule_checks_find_violations_in_fault_combinations_without_safeguards() {
    let none = DisabledSafeguards::default();
    let no_conditions = DisabledSafeguards {
        ignore_txn_conditions: true,
        ..none
    };
    let no_heartbeat_order = DisabledSafeguards {
        renumber_late_heartbeats: true,
        ..none
    };
    let late = |fault| vec![(15_000, 90_000, fault), (30_000, 0, Fault::CrashAll(300))];
    for (safeguards, schedule) in [
        (no_conditions, late(Fault::LateWrites(0.5))),
        (no_heartbeat_order, late(Fault::LateHeartbeats(0.9))),
    ] {
        let violated = (0..12).any(|seed| {
            !run_schedule(seed, safeguards, &schedule)
                .violations
                .is_empty()
        });
        assert!(violated, "{schedule:?}");
    }
}
