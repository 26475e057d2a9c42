//! Meetings of troubles about transactions, leaders, reports and outages (`docs/fault-combinations.md`).

use snowshelf_simulation::fault_combinations::{
    assert_rules_hold, assert_rules_hold_with_endless_jobs, run_schedule,
};
use snowshelf_simulation::faults::Fault::*;
use snowshelf_simulation::{DisabledSafeguards, NODES};

/// Guards against a writer that acts by what it knew before its write: it is carried out at once and the others read
/// it, while the writer hears nothing. Accepted, cancelled, started, ended, handed over, leased.
#[test]
fn only_the_answers_of_transactions_are_lost() {
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

/// The same with every answer lost while an owner changes and most jobs are cancelled.
#[test]
fn no_answer_comes_while_jobs_are_cancelled_and_their_owner_changes() {
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

/// Guards against what a new owner makes of silence and of higher sessions: all controllers are away for longer than a
/// lease, and everything has ended on the machines meanwhile.
#[test]
fn all_controllers_away_for_longer_than_a_lease() {
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

/// Guards against conclusions from what is older than the owner: copies of reports, of earlier sessions and attempts
/// too, reach every controller as an owner begins and when it has acted for seconds.
#[test]
fn kept_reports_reach_every_controller_as_an_owner_begins() {
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

/// Guards against a task that is counted as done, or started anew, by a report that was held back: nobody else has
/// heard of its end, and the machine has been given up meanwhile.
#[test]
fn reports_of_ends_that_nobody_heard_come_after_an_owner_has_acted() {
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

/// Guards against taking a machine that direct commands reach for one whose tasks are known: it reaches nobody, within
/// its lease and for longer, while jobs are cancelled and the owner changes.
#[test]
fn workers_reach_no_controller_while_direct_commands_reach_them() {
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

/// Guards against both sides of a cut that lasts longer than a lease: a zone's machines go on under the controller that
/// is cut off with them, or are lost, and jobs of both sides are cancelled just before and meanwhile.
#[test]
fn a_zone_and_a_controller_cut_off_for_longer_than_a_lease() {
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

/// Guards against grants, tokens and leases that add up over owners: leaders change ten times in two minutes, also
/// inside an outage, and jobs are cancelled meanwhile.
#[test]
fn leaders_change_ten_times_in_two_minutes() {
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

/// Guards against a cancelled task that its machine goes on with: it hangs right at the cancellation, resumes within
/// its lease or after it, and the owner has changed or cannot learn.
#[test]
fn cancelled_tasks_on_machines_that_hang_and_go_on() {
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

/// Shows that each trouble tests what it is about: without what guards against it rules break, and on the same day
/// without the trouble they do not.
#[test]
fn without_their_guards_rules_break_in_these_meetings() {
    let none = DisabledSafeguards::default();
    let false_answers = DisabledSafeguards {
        acknowledge_unapplied_txns: true,
        ..none
    };
    let no_age = DisabledSafeguards {
        renumber_late_heartbeats: true,
        ignore_fencing_tokens: true,
        ..none
    };
    let no_leases = DisabledSafeguards {
        ignore_worker_leases: true,
        ..none
    };
    let no_ends = DisabledSafeguards {
        ignore_machine_returns: true,
        ..no_leases
    };
    let for_45_s = |fault| (26_000, 45_000, fault);
    let call_off = (25_800, 0, MassCancellation(9, 0));
    let crash = (30_000, 0, CrashAll(300));
    let for_90_s = |fault| (2_000, 90_000, fault);
    for (safeguards, fault, rest) in [
        (false_answers, for_90_s(LostKvResponses(0.6)), vec![crash]),
        (no_age, for_90_s(ReplayedHeartbeats(0.1)), vec![crash]),
        (no_leases, for_45_s(AllControllersDown), vec![call_off]),
        (no_leases, call_off, vec![for_45_s(AllControllersDown)]),
        (
            no_leases,
            for_45_s(LostHeartbeats(0.9)),
            vec![call_off, for_45_s(KvOutage)],
        ),
        (no_ends, for_45_s(LostHeartbeats(0.7)), vec![]),
        (no_ends, for_45_s(HungMachines(0.7)), vec![]),
        (no_ends, for_45_s(ZonePartition("a", 0)), vec![]),
    ] {
        let whole = [vec![fault], rest.clone()].concat();
        let breaks = |seed, schedule| {
            !run_schedule(seed, safeguards, schedule)
                .violations
                .is_empty()
        };
        let shown = (0..12).any(|seed| breaks(seed, &whole) && !breaks(seed, &rest));
        assert!(shown, "{whole:?}");
    }
}
