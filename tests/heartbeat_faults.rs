//! Combinations of faults that affect transactions, shard leaders, heartbeats and the key-value store
//! (`docs/fault-combinations.md`).

use snowshelf_simulation::fault_combinations::{
    assert_rules_hold, assert_rules_hold_with_endless_jobs, run_schedule,
};
use snowshelf_simulation::faults::Fault::*;
use snowshelf_simulation::{DisabledSafeguards, NODES};

/// Guards against a controller that acts on its state from before a write. The write is applied at once and other
/// controllers read it, but its response is lost. Covers writes that accept, cancel, start, end and hand over work,
/// and lease requests.
#[test]
fn rules_hold_when_only_transaction_responses_are_lost() {
    assert_rules_hold(|node| {
        vec![
            (2_000, 45_000, LostKvResponses(0.5)),
            (28_000, 0, Crash(node)),
            (36_000, 9_000, KvRefusal((node + 1) % NODES)),
            (55_000, 60_000, LostKvResponses(0.8)),
            (58_000, 0, MassCancellation(5, 0)),
            (70_000, 12_000, WorkerIsolation(node)),
            (92_000, 0, CrashAll(300)),
        ]
    });
}

/// Like the previous test, with every response lost while a shard leader changes and most jobs are cancelled.
#[test]
fn rules_hold_when_all_transaction_responses_are_lost_during_cancellation_and_failover() {
    assert_rules_hold_with_endless_jobs(|node| {
        vec![
            (40_000, 8_000, LostKvResponses(1.0)),
            (40_500, 0, MassCancellation(6, 0)),
            (41_000, 0, Crash(node)),
            (70_000, 25_000, LostKvResponses(0.9)),
            (71_000, 0, MassCancellation(6, 3_000)),
            (73_000, 10_000, KvRefusal((node + 1) % NODES)),
        ]
    });
}

/// Guards against wrong conclusions of a new shard leader from silent machines and newer agent incarnations. All
/// controllers are down for longer than a worker lease, and all tasks have ended meanwhile.
#[test]
fn rules_hold_when_all_controllers_are_down_for_longer_than_a_lease() {
    let schedule = |node: usize| {
        vec![
            (27_900, 0, MassCancellation(3, 0)),
            (28_000, 13_000, AllControllersDown),
            (44_000, 0, Crash(node)),
            (69_000, 15_000, HungMachines(0.4)),
            (70_000, 11_000, AllControllersDown),
            (84_000, 15_000, LateHeartbeats(0.5)),
            (100_000, 36_000, AllControllersDown),
        ]
    };
    assert_rules_hold(schedule);
    assert_rules_hold_with_endless_jobs(schedule);
}

/// Guards against conclusions from heartbeats that are older than the shard leader. Copies, also of earlier agent
/// incarnations and attempts, reach every controller when a shard leader takes over and seconds later.
#[test]
fn rules_hold_when_heartbeats_are_replayed_to_a_new_shard_leader() {
    let schedule = |node: usize| {
        vec![
            (10_000, 120_000, ReplayedHeartbeats(0.6)),
            (26_000, 12_000, LostHeartbeatResponses(0.5)),
            (33_000, 0, Crash(node)),
            (46_000, 0, CrashAll(300)),
            (60_000, 12_000, WorkerIsolation(node)),
            (61_000, 0, MassCancellation(4, 0)),
            (80_000, 12_000, AllControllersDown),
            (100_000, 0, CrashAll(3_000)),
        ]
    };
    assert_rules_hold(schedule);
    assert_rules_hold_with_endless_jobs(schedule);
}

/// Guards against a task that is counted as done, or started again, because of a delayed heartbeat. No other
/// heartbeat reported its end, and the machine has been released meanwhile.
#[test]
fn rules_hold_when_the_only_report_of_a_task_end_arrives_after_failover() {
    assert_rules_hold(|node| {
        vec![
            (10_000, 110_000, ReplayedHeartbeats(0.9)),
            (24_000, 9_000, LostHeartbeats(0.7)),
            (30_000, 0, Crash(node)),
            (50_000, 25_000, LostHeartbeats(0.7)),
            (62_000, 0, CrashAll(300)),
            (82_000, 12_000, HungMachines(0.7)),
            (84_000, 0, Crash((node + 1) % NODES)),
        ]
    });
}

/// Guards against treating a machine that direct commands reach as one whose tasks are known. It reaches no
/// controller, within its lease and for longer, while jobs are cancelled and the shard leader changes.
#[test]
fn rules_hold_when_workers_receive_only_direct_commands() {
    let schedule = |node: usize| {
        vec![
            (26_000, 25_000, LostHeartbeats(0.6)),
            (27_000, 0, MassCancellation(3, 0)),
            (30_000, 0, Crash(node)),
            (58_000, 7_000, LostHeartbeats(0.9)),
            (59_000, 0, CrashAll(300)),
            (75_000, 45_000, LostHeartbeats(0.5)),
            (75_500, 0, MassCancellation(4, 0)),
            (76_000, 42_000, KvOutage),
        ]
    };
    assert_rules_hold(schedule);
    assert_rules_hold_with_endless_jobs(schedule);
}

/// Guards against inconsistency between the sides of a partition that lasts longer than a lease. The zone's
/// machines continue under the controller on their side, or are lost. Jobs of both sides are cancelled just before
/// the partition and during it.
#[test]
fn rules_hold_when_zone_and_controller_are_partitioned_for_longer_than_a_lease() {
    let schedule = |node: usize| {
        vec![
            (27_900, 0, MassCancellation(2, 0)),
            (28_000, 30_000, ZonePartition("a", node)),
            (33_000, 0, MassCancellation(3, 0)),
            (40_000, 0, Crash((node + 1) % NODES)),
            (73_000, 50_000, ZonePartition("b", (node + 1) % NODES)),
            (74_000, 0, MassCancellation(4, 0)),
            (80_000, 38_000, KvOutage),
        ]
    };
    assert_rules_hold(schedule);
    assert_rules_hold_with_endless_jobs(schedule);
}

/// Guards against quota grants, fencing tokens and leases that accumulate over failovers. Leaders change ten times
/// in two minutes, also during an outage, while jobs are cancelled.
#[test]
fn rules_hold_when_leaders_change_ten_times_in_two_minutes() {
    let schedule = |node: usize| {
        let crash = |n: usize| (22_000 + 11_000 * n as u64, 0, Crash((node + n / 2) % NODES));
        let mut schedule: Vec<_> = (0..10).map(crash).collect();
        schedule.extend([
            (45_000, 0, MassCancellation(4, 0)),
            (55_000, 38_000, KvOutage),
            (56_000, 0, MassCancellation(3, 0)),
            (99_000, 0, MassCancellation(3, 2_000)),
        ]);
        schedule
    };
    assert_rules_hold(schedule);
    assert_rules_hold_with_endless_jobs(schedule);
}

/// Guards against a cancelled task that its machine continues. The machine hangs at the cancellation and resumes
/// within its lease or after it, when the shard leader has changed or cannot learn of the cancellation.
#[test]
fn rules_hold_when_machines_hang_at_cancellation() {
    for hang_ms in [2_500, 6_000, 9_000, 14_000] {
        assert_rules_hold_with_endless_jobs(|node| {
            vec![
                (40_000, 0, MassCancellation(4, hang_ms)),
                (40_300, 0, Crash(node)),
                (47_000, 0, Crash((node + 1) % NODES)),
                (70_000, 0, MassCancellation(3, hang_ms)),
                (70_100, 6_000, KvRefusal(node)),
                (72_000, 42_000, KvOutage),
                (74_000, 20_000, HungMachines(0.5)),
            ]
        });
    }
}

/// Shows that each fault tests its safeguard: without the safeguard a rule breaks, and with the same seed and no
/// fault it does not.
#[test]
fn rule_checks_find_violations_only_with_fault_and_without_safeguard() {
    let none = DisabledSafeguards::default();
    let unapplied_txns = DisabledSafeguards {
        acknowledge_unapplied_txns: true,
        ..none
    };
    let no_heartbeat_order = DisabledSafeguards {
        renumber_late_heartbeats: true,
        ignore_fencing_tokens: true,
        ..none
    };
    let no_leases = DisabledSafeguards {
        ignore_worker_leases: true,
        ..none
    };
    let no_returns = DisabledSafeguards {
        ignore_machine_returns: true,
        ..no_leases
    };
    let for_45_s = |fault| (26_000, 45_000, fault);
    let cancellation = (25_800, 0, MassCancellation(9, 0));
    let crash = (30_000, 0, CrashAll(300));
    let for_90_s = |fault| (2_000, 90_000, fault);
    for (safeguards, fault, rest) in [
        (unapplied_txns, for_90_s(LostKvResponses(0.6)), vec![crash]),
        (
            no_heartbeat_order,
            for_90_s(ReplayedHeartbeats(0.1)),
            vec![crash],
        ),
        (no_leases, for_45_s(AllControllersDown), vec![cancellation]),
        (no_leases, cancellation, vec![for_45_s(AllControllersDown)]),
        (
            no_leases,
            for_45_s(LostHeartbeats(0.9)),
            vec![cancellation, for_45_s(KvOutage)],
        ),
        (no_returns, for_45_s(LostHeartbeats(0.7)), vec![]),
        (no_returns, for_45_s(HungMachines(0.7)), vec![]),
        (no_returns, for_45_s(ZonePartition("a", 0)), vec![]),
    ] {
        let schedule_with_fault = [vec![fault], rest.clone()].concat();
        let breaks = |seed, schedule| {
            !run_schedule(seed, safeguards, schedule)
                .violations
                .is_empty()
        };
        let detected =
            (0..12).any(|seed| breaks(seed, &schedule_with_fault) && !breaks(seed, &rest));
        assert!(detected, "{schedule_with_fault:?}");
    }
}
