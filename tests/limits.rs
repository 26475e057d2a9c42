//! Teams at their limits, parts that change hands, zones, new machines, bursts and shortage, each met by troubles
//! (`docs/fault-combinations.md`).

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use snowshelf_simulation::fault_combinations::{FAULTS_END_MS, FaultSchedule, shift_schedule};
use snowshelf_simulation::faults::Fault::*;
use snowshelf_simulation::{DisabledSafeguards, NODES, Simulation, SimulationConditions};

/// All users must have heard the end by then.
const END_MS: u64 = 420_000;

/// What is there to do, with so many CPUs for each team, and so many machines in each pool.
struct Site {
    limit: f64,
    pool: usize,
    jobs: fn(&mut Simulation, &mut StdRng),
}

const TEAMS: [&str; 2] = ["red", "blue"];

/// A job, and where it stands among the users.
fn add(simulation: &mut Simulation, at: u64, spec: Value) -> usize {
    simulation.add_user(at, spec);
    simulation.users.len() - 1
}

/// A job that runs until its user calls it off.
fn add_endless(simulation: &mut Simulation, at: u64, cancel_at: u64, spec: Value) -> usize {
    let n = add(simulation, at, spec);
    simulation.users[n].cancel_at = Some(cancel_at);
    let job = simulation.users[n].job.clone();
    simulation.endless_jobs.insert(job);
    n
}

/// Makes a job need another.
fn add_need(simulation: &mut Simulation, at: u64, need: usize, mut spec: Value) {
    spec["Aguarda"] = json!([simulation.users[need].job]);
    let n = add(simulation, at, spec);
    simulation.users[n].dependencies = vec![need];
}

fn play(
    seed: u64,
    safeguards: DisabledSafeguards,
    site: &Site,
    schedule: &FaultSchedule,
) -> Simulation {
    let size = (site.limit, site.pool);
    let mut simulation = Simulation::sized(
        seed,
        SimulationConditions::FAULT_FREE,
        safeguards,
        0,
        FAULTS_END_MS,
        size,
    );
    simulation.task_run_ms = [4_000, 9_000, 20_000][seed as usize % 3];
    (site.jobs)(
        &mut simulation,
        &mut StdRng::seed_from_u64(seed ^ 0x6c69_6d69),
    );
    for (at, for_ms, fault) in schedule {
        simulation.inject(*at, *for_ms, *fault);
    }
    simulation
}

/// Further seeds on which earlier forms broke: a bound job whose part had no machine of its zone, and parts that each
/// had a grant smaller than a task.
const FOUND: [u64; 2] = [17, 38];

/// Holds every rule against a meeting, and has every user hear the end.
#[track_caller]
fn holds(site: &Site, schedule: impl Fn(usize) -> FaultSchedule) {
    let seeds: Vec<u64> = match std::env::var("MEETINGS") {
        Ok(asked) => {
            let (first, last) = asked.split_once('-').expect("FIRST-LAST");
            (first.parse().unwrap()..=last.parse().unwrap()).collect()
        }
        Err(_) => (0..=8).chain(FOUND).collect(),
    };
    let failed: Vec<String> = seeds
        .into_iter()
        .filter_map(|seed| {
            let mut simulation = play(
                seed,
                DisabledSafeguards::default(),
                site,
                &shift_schedule(seed, schedule(seed as usize % NODES)),
            );
            simulation.run(END_MS);
            let open = simulation.users.len() - simulation.settled_jobs();
            let sound = simulation.violations.is_empty() && open == 0;
            (!sound).then(|| format!("seed {seed}: {:?}, {open} open", simulation.violations))
        })
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Whether a seed breaks this rule.
fn breaks(
    rule: &str,
    safeguards: DisabledSafeguards,
    site: &Site,
    seed: u64,
    schedule: impl Fn(usize) -> FaultSchedule,
) -> bool {
    let schedule = shift_schedule(seed, schedule(seed as usize % NODES));
    let mut simulation = play(seed, safeguards, site, &schedule);
    simulation.run(FAULTS_END_MS + 120_000);
    simulation.violations.iter().any(|b| b.starts_with(rule))
}

/// Both teams at their limits all the time: jobs without end that are called off one after the other, and more that
/// waits than may run.
const FULL: Site = Site {
    limit: 12.0,
    pool: 3,
    jobs: |simulation, rng| {
        for n in 0..16u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Tarefas": rng.random_range(1..4u32),
                "Cpus": rng.random_range(1..4u32), "Avulsas": rng.random_bool(0.5)});
            let cancel_at = [28_000, 66_000][n as usize / 8] + rng.random_range(0..16_000);
            add_endless(simulation, 2_000 + 150 * n, cancel_at, spec);
        }
        for n in 0..12u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Tarefas": rng.random_range(2..6u32),
                "Cpus": rng.random_range(1..4u32), "Avulsas": true});
            add(simulation, 6_000 + 1_500 * n, spec);
        }
    },
};

/// Guards against a limit that is passed because a new owner does not count what cancelled jobs still run on machines
/// that are cut off: they count until a report, a lease or a return proves them gone.
#[test]
fn teams_at_their_limits_while_machines_are_cut_off_and_the_leader_changes() {
    let mut simulation = play(0, DisabledSafeguards::default(), &FULL, &Vec::new());
    simulation.run(24_000);
    let used = TEAMS.map(|team| simulation.team_cpus_in_use(team));
    assert!(
        used.iter().all(|used| *used >= FULL.limit - 2.0),
        "{used:?}"
    );
    holds(&FULL, |node| {
        vec![
            (27_000, 22_000, ZoneIsolation("a")),
            (31_000, 0, Crash(node)),
            (36_000, 0, Crash((node + 1) % NODES)),
            (64_000, 30_000, ZoneIsolation("b")),
            (68_000, 9_000, KvRefusal(node)),
            (76_000, 0, CrashAll(500)),
        ]
    });
}

/// The same where reports arrive and their answers do not: the new owner is not shown its token.
#[test]
fn teams_at_their_limits_while_machines_do_not_hear_and_the_leader_changes() {
    holds(&FULL, |node| {
        vec![
            (28_000, 25_000, LostHeartbeatResponses(0.6)),
            (30_000, 0, Crash(node)),
            (66_000, 9_000, LostHeartbeatResponses(0.8)),
            (68_000, 12_000, WorkerIsolation(node)),
            (73_000, 7_000, LostHeartbeatResponses(0.8)),
            (75_000, 20_000, LateWrites(0.4)),
        ]
    });
}

/// The same where the machines of cancelled jobs hang at that moment.
#[test]
fn teams_at_their_limits_while_cancelled_jobs_machines_hang_and_the_leader_changes() {
    holds(&FULL, |node| {
        vec![
            (26_000, 0, MassCancellation(5, 9_000)),
            (28_000, 0, Crash(node)),
            (40_000, 0, MassCancellation(4, 30_000)),
            (44_000, 9_000, KvRefusal((node + 1) % NODES)),
            (64_000, 0, MassCancellation(6, 12_000)),
            (64_500, 0, CrashAll(1_000)),
            (67_000, 20_000, ZoneIsolation("b")),
        ]
    });
}

/// The same where the machines reach nobody: a cancellation falls into that spell, and its owner changes in it.
#[test]
fn teams_at_their_limits_while_machines_cannot_be_asked_and_the_leader_changes() {
    holds(&FULL, |node| {
        vec![
            (24_000, 8_000, LostHeartbeats(0.7)),
            (25_000, 0, MassCancellation(5, 0)),
            (26_000, 0, Crash(node)),
            (44_000, 25_000, LostHeartbeats(0.5)),
            (47_000, 0, MassCancellation(4, 5_000)),
            (49_000, 12_000, WorkerIsolation((node + 1) % NODES)),
            (80_000, 9_500, LostHeartbeats(0.9)),
            (82_000, 0, MassCancellation(6, 0)),
            (84_000, 0, CrashAll(3_000)),
            (85_000, 20_000, LateWrites(0.4)),
        ]
    });
}

/// Called off in the seconds in which a part goes to another owner and back: jobs that run, jobs that are about to
/// start, and those above others.
const CALLED_OFF: Site = Site {
    limit: 16.0,
    pool: 2,
    jobs: |simulation, rng| {
        for n in 0..20u64 {
            let at = [30_000, 75_000][n as usize % 2] + 700 * n + rng.random_range(0..900);
            // Some begin when they are called off.
            let submit_at = if n.is_multiple_of(3) {
                at - 2_500
            } else {
                3_000 + 200 * n
            };
            let spec =
                json!({"Cuadrilla": TEAMS[n as usize / 2 % 2], "Tarefas": 2, "Avulsas": true});
            let needed = add_endless(simulation, submit_at, at, spec);
            if n.is_multiple_of(4) {
                add_need(simulation, submit_at + 500, needed, json!({"Tarefas": 2}));
                add_need(
                    simulation,
                    submit_at + 1_000,
                    simulation.users.len() - 1,
                    json!({"Tarefas": 1}),
                );
            }
        }
        for n in 0..8u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Tarefas": 3, "Avulsas": true});
            add(simulation, 8_000 + 9_000 * n, spec);
        }
    },
};

/// Guards against a cancellation that falls between two owners: what the one has begun to write, the other commands.
#[test]
fn jobs_are_cancelled_while_work_changes_hands() {
    holds(&CALLED_OFF, |node| {
        vec![
            (29_000, 12_000, WorkerIsolation(node)),
            (30_000, 25_000, LateWrites(0.2)),
            (36_000, 0, MassCancellation(6, 0)),
            (74_000, 10_000, KvRefusal(node)),
            (80_000, 12_000, WorkerIsolation((node + 1) % NODES)),
            (86_000, 0, MassCancellation(6, 0)),
        ]
    });
}

/// The same where the one that takes over ends as well, and answers to workers are held up.
#[test]
fn jobs_are_cancelled_while_work_changes_hands_twice() {
    holds(&CALLED_OFF, |node| {
        vec![
            (30_000, 8_000, KvAndPeerIsolation(node)),
            (36_000, 0, Crash((node + 1) % NODES)),
            (37_000, 20_000, DelayedHeartbeatResponses(0.4)),
            (38_500, 0, MassCancellation(6, 2_000)),
            (76_000, 9_000, WorkerIsolation(node)),
            (81_000, 0, Crash(node)),
            (83_000, 0, Crash((node + 2) % NODES)),
        ]
    });
}

/// Jobs bound to a zone, together or apart, arrays among them, which take most of the room.
const BOUND: Site = Site {
    limit: 40.0,
    pool: 2,
    jobs: |simulation, rng| {
        for n in 0..24u64 {
            let tasks = rng.random_range(2..9u32);
            let mut spec = json!({"Cuadrilla": TEAMS[n as usize / 4 % 2], "Tarefas": tasks,
                "Cpus": rng.random_range(1..4u32), "Avulsas": true});
            match n % 4 {
                0 => spec["Parcela"] = json!(["a", "b"][n as usize / 4 % 2]),
                1 => spec["Together"] = json!(true),
                2 => spec["Apart"] = json!(true),
                _ => {
                    spec["Together"] = json!(true);
                    spec["Parcela"] = json!(["b", "a"][n as usize / 4 % 2]);
                }
            }
            add(simulation, 2_000 + 3_500 * n, spec);
        }
    },
};

/// Guards against tasks placed by where the others were: machines die, are silent and come back, and those thought
/// lost still run.
#[test]
fn bound_jobs_lose_machines() {
    holds(&BOUND, |node| {
        vec![
            (20_000, 1, MachineFailures(0.3)),
            (26_000, 9_000, ZoneIsolation("a")),
            (40_000, 20_000, ZoneIsolation("b")),
            (43_000, 0, Crash(node)),
            (66_000, 1, MachineFailures(0.5)),
            (70_000, 14_000, LostHeartbeatResponses(0.6)),
            (72_000, 0, CrashAll(2_000)),
            (95_000, 15_000, LostHeartbeats(0.6)),
            (99_000, 12_000, WorkerIsolation(node)),
        ]
    });
}

/// The same while the shares' writes are late and move whole from part to part.
#[test]
fn bound_jobs_lose_machines_while_writes_are_late() {
    holds(&BOUND, |node| {
        vec![
            (15_000, 40_000, LateWrites(0.3)),
            (24_000, 1, MachineFailures(0.4)),
            (30_000, 12_000, WorkerIsolation(node)),
            (58_000, 25_000, ZoneIsolation("a")),
            (64_000, 8_000, KvRefusal((node + 1) % NODES)),
            (80_000, 1, MachineFailures(0.5)),
            (95_000, 16_000, HungMachines(0.6)),
            (98_000, 0, Crash(node)),
        ]
    });
}

/// Bursts that need new machines, each after the last burst's have been handed back or lost.
const BURSTS: Site = Site {
    limit: 40.0,
    pool: 3,
    jobs: |simulation, rng| {
        for n in 0..24u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Tarefas": rng.random_range(2..6u32),
                "Cpus": rng.random_range(1..4u32), "Avulsas": true});
            let at = [2_000, 36_000, 72_000][n as usize / 8] + rng.random_range(0..4_000u64);
            let n = add(simulation, at, spec);
            if n.is_multiple_of(5) {
                simulation.users[n].cancel_at = Some(at + 4_000);
            }
        }
    },
};

/// Guards against what is concluded of machines that no record and no list names yet: they are up at once and get
/// work, writes are late, and whoever rented them ends.
#[test]
fn new_machines_get_work_at_once_while_writes_are_late_and_the_leader_ends() {
    holds(&BURSTS, |node| {
        vec![
            (1_000, 110_000, FastBoots),
            (2_000, 30_000, LateWrites(0.4)),
            (4_000, 0, Crash(node)),
            (8_000, 0, Crash((node + 1) % NODES)),
            (33_000, 1, MachineFailures(0.9)),
            (35_000, 25_000, LateWrites(0.5)),
            (39_000, 0, CrashAll(1_500)),
            (69_000, 1, MachineFailures(0.9)),
            (71_000, 30_000, SlowKv(1_500)),
            (76_000, 0, Crash((node + 2) % NODES)),
        ]
    });
}

/// One-task jobs, four a second for three minutes, a quarter of them called off.
const SMALL: Site = Site {
    limit: 24.0,
    pool: 3,
    jobs: |simulation, rng| {
        simulation.task_run_ms = 1_500;
        for n in 0..720u64 {
            let at = 10_000 + 250 * n;
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Avulsas": true, "Cpus": 1});
            let n = add(simulation, at, spec);
            if n.is_multiple_of(4) {
                simulation.users[n].cancel_at = Some(at + rng.random_range(0..6_000u64));
            }
        }
    },
};

/// Guards against jobs that are lost or kept waiting, and against more writes than the state service takes, where
/// every job is as small as can be; on the second day leaders end.
#[test]
fn one_task_jobs_four_a_second_a_quarter_of_them_cancelled() {
    let crashes = vec![
        (50_000, 0, Crash(0)),
        (90_000, 0, Crash(1)),
        (130_000, 0, Crash(2)),
    ];
    for (seed, schedule) in [(0, Vec::new()), (1, crashes)] {
        let mut simulation = play(seed, DisabledSafeguards::default(), &SMALL, &schedule);
        simulation.run(2_000);
        simulation.kv_store.write_rate = Some(120.0);
        simulation.run(260_000);
        simulation.assert_rules_held(seed);
        let kept = (
            simulation.kv_store.throttled,
            simulation.longest_wait_ms() < 10_000,
        );
        assert_eq!(
            kept,
            (0, true),
            "seed {seed}: {}",
            simulation.longest_wait_ms()
        );
    }
}

/// Twice as much work as room for minutes, of every priority.
const CROWDED: Site = Site {
    limit: 24.0,
    pool: 1,
    jobs: |simulation, rng| {
        simulation.task_run_ms = 9_000;
        for n in 0..60u64 {
            let priority = ["prod", "high", "normal", "idle"][n as usize % 4];
            let spec = json!({"Cuadrilla": TEAMS[n as usize / 4 % 2], "Tarefas": rng.random_range(1..5u32),
                "Cpus": rng.random_range(1..4u32), "Avulsas": true, "Precedencia": priority});
            add(simulation, 2_000 + 1_500 * n, spec);
        }
    },
};

/// Guards against limits that are passed, and against urgent work that waits behind the rest, where there is more of
/// both than room and every report is underway for a second.
#[test]
fn more_work_than_room_urgent_and_not_over_slow_links() {
    holds(&CROWDED, |node| {
        vec![
            (5_000, 120_000, SlowWorkerLinks(1_600)),
            (40_000, 0, Crash(node)),
            (60_000, 10_000, WorkerIsolation((node + 1) % NODES)),
        ]
    });
    let mut ended = [0u64; 4];
    for seed in 0..3 {
        let schedule = vec![(5_000, 130_000, SlowWorkerLinks(1_200))];
        let mut simulation = play(seed, DisabledSafeguards::default(), &CROWDED, &schedule);
        let mut open: Vec<usize> = (0..simulation.users.len()).collect();
        while !open.is_empty() && simulation.now < END_MS {
            let until = simulation.now + 1_000;
            simulation.run(until);
            open.retain(|u| {
                if simulation.users[*u].completion_reported {
                    ended[u % 4] += until - simulation.users[*u].submit_at;
                }
                !simulation.users[*u].completion_reported
            });
        }
        simulation.assert_rules_held(seed);
    }
    assert!(ended.is_sorted(), "{ended:?}");
}

/// More small jobs all the time than there is room for, and a few that fit a machine only when it is all but empty.
const SIZES: Site = Site {
    limit: 40.0,
    pool: 2,
    jobs: |simulation, rng| {
        simulation.task_run_ms = 6_000;
        for n in 0..6u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Cpus": 7, "Avulsas": true, "Tarefas": 1 + n / 4});
            add(simulation, 30_000 + 8_000 * n, spec);
        }
        for n in 0..700u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Cpus": rng.random_range(1..3u32), "Avulsas": true});
            add(simulation, 2_000 + 450 * n, spec);
        }
    },
};

/// Machines of one pool each, none of them full, and in every part more waits than fits there.
const SPLINTERS: Site = Site {
    limit: 60.0,
    pool: 1,
    jobs: |simulation, _| {
        for n in 0..14u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Cpus": 3, "Avulsas": true});
            add_endless(simulation, 2_000 + 400 * n, 300_000, spec);
        }
        for n in 0..4u64 {
            let (team, zone) = (TEAMS[n as usize % 2], ["a", "b"][n as usize % 2]);
            let spec = json!({"Cuadrilla": team, "Cpus": 1, "Avulsas": true, "Tarefas": 2, "Together": true, "Parcela": zone});
            add(simulation, 40_000 + 1_000 * n, spec);
        }
    },
};

/// Guards against a small job that waits with a part which cannot run it, while in others, where larger ones wait, there
/// is room for it.
#[test]
fn small_jobs_find_the_room_that_other_parts_cannot_use() {
    for seed in 0..12 {
        let mut simulation = play(seed, DisabledSafeguards::default(), &SPLINTERS, &Vec::new());
        simulation.run(150_000);
        let done = simulation.users[14..]
            .iter()
            .filter(|u| u.completion_reported)
            .count();
        assert_eq!(
            (done, &simulation.violations),
            (4, &Vec::new()),
            "seed {seed}"
        );
    }
}

/// More than the teams may use, for longer than the day.
const LONG: Site = Site {
    limit: 12.0,
    pool: 2,
    jobs: |simulation, _| {
        for n in 0..6u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Tarefas": 2, "Cpus": 2, "Avulsas": true});
            add_endless(simulation, 5_000 + 1_000 * n, 300_000, spec);
        }
    },
};

/// Guards against large jobs that never begin because what small ones leave free is always too little for them: each
/// begins within four minutes.
#[test]
fn the_largest_jobs_begin_within_four_minutes_under_shortage_by_size() {
    for seed in 0..2 {
        let mut simulation = play(seed, DisabledSafeguards::default(), &SIZES, &Vec::new());
        let mut began = [None; 6];
        while simulation.now < 320_000 && began.contains(&None) {
            simulation.run(simulation.now.next_multiple_of(1_000) + 1_000);
            for (n, at) in began.iter_mut().enumerate().filter(|(_, at)| at.is_none()) {
                let user = &simulation.users[n];
                let mut tasks = simulation.workers.values().flat_map(|w| &w.tasks);
                if tasks.any(|t| t.name.starts_with(&format!("{}/", user.job))) {
                    *at = Some(simulation.now - user.submit_at);
                }
            }
        }
        let late = began.iter().filter(|at| at.is_none_or(|ms| ms > 240_000));
        assert_eq!(
            (late.count(), &simulation.violations),
            (0, &Vec::new()),
            "seed {seed}: {began:?}"
        );
    }
}

/// Shows that the rules are looked at here: without what guards them, they break.
#[test]
fn limits_places_and_waits_break_without_their_guards() {
    let none = DisabledSafeguards::default();
    let conditions = DisabledSafeguards {
        ignore_txn_conditions: true,
        ..none
    };
    let returns = DisabledSafeguards {
        ignore_machine_returns: true,
        ignore_worker_leases: true,
        ..none
    };
    let limits = DisabledSafeguards {
        halve_team_limits: true,
        ..none
    };
    let late = |node: usize| {
        vec![
            (15_000, 70_000, LateWrites(0.5)),
            (31_000, 0, Crash(node)),
            (60_000, 0, CrashAll(500)),
        ]
    };
    let cut = |node: usize| {
        vec![
            (24_000, 40_000, ZoneIsolation("a")),
            (26_000, 0, MassCancellation(6, 30_000)),
            (30_000, 0, Crash(node)),
        ]
    };
    let none_at_all = |_| Vec::new();
    for (rule, safeguards, site, schedule) in [
        (
            "quota",
            conditions,
            &FULL,
            &late as &dyn Fn(usize) -> FaultSchedule,
        ),
        ("quota", returns, &FULL, &cut),
        ("wrong_place", conditions, &BOUND, &late),
        ("left_waiting", limits, &LONG, &none_at_all),
    ] {
        let seed = (0..12).find(|seed| breaks(rule, safeguards, site, *seed, schedule));
        assert!(seed.is_some(), "{rule}");
    }
    assert!(!breaks("left_waiting", none, &LONG, 0, none_at_all));
}
