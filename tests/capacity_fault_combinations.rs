//! Fault combinations under capacity constraints: teams at their limits, shard handovers, zone constraints, new
//! machines, bursts of jobs and overload (`docs/fault-combinations.md`).

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use snowshelf_simulation::fault_combinations::{FAULTS_END_MS, FaultSchedule, shift_schedule};
use snowshelf_simulation::faults::Fault::*;
use snowshelf_simulation::{DisabledSafeguards, NODES, Simulation, SimulationConditions};

/// End of the simulation. Every user must have been told the end of the job by then.
const END_MS: u64 = 420_000;

/// Jobs of a simulation, with the CPU limit of each team and the number of machines in each pool.
struct Workload {
    team_limit: f64,
    machines_per_pool: usize,
    add_jobs: fn(&mut Simulation, &mut StdRng),
}

const TEAMS: [&str; 2] = ["red", "blue"];

/// Adds a job. Returns the index of its user.
fn add_job(simulation: &mut Simulation, at: u64, spec: Value) -> usize {
    simulation.add_user(at, spec);
    simulation.users.len() - 1
}

/// Adds a job that runs until its user cancels it.
fn add_endless(simulation: &mut Simulation, at: u64, cancel_at: u64, spec: Value) -> usize {
    let n = add_job(simulation, at, spec);
    simulation.users[n].cancel_at = Some(cancel_at);
    let job = simulation.users[n].job.clone();
    simulation.endless_jobs.insert(job);
    n
}

/// Adds a job that depends on another user's job.
fn add_dependent_job(simulation: &mut Simulation, at: u64, dependency: usize, mut spec: Value) {
    spec["Aguarda"] = json!([simulation.users[dependency].job]);
    let n = add_job(simulation, at, spec);
    simulation.users[n].dependencies = vec![dependency];
}

/// Builds a simulation of the workload and schedules the faults.
fn build_simulation(
    seed: u64,
    safeguards: DisabledSafeguards,
    workload: &Workload,
    schedule: &FaultSchedule,
) -> Simulation {
    let size = (workload.team_limit, workload.machines_per_pool);
    let mut simulation = Simulation::sized(
        seed,
        SimulationConditions::FAULT_FREE,
        safeguards,
        0,
        FAULTS_END_MS,
        size,
    );
    simulation.task_run_ms = [4_000, 9_000, 20_000][seed as usize % 3];
    (workload.add_jobs)(
        &mut simulation,
        &mut StdRng::seed_from_u64(seed ^ 0x6c69_6d69),
    );
    for (at, for_ms, fault) in schedule {
        simulation.inject(*at, *for_ms, *fault);
    }
    simulation
}

/// Seeds that have found bugs: a gang-scheduled job whose shard had no machine in its zone, and shards whose
/// quota grants were each smaller than a task.
const REGRESSION_SEEDS: [u64; 2] = [17, 38];

/// Asserts that no rule breaks under shifted variants of a schedule, and that every user is told the end of
/// the job. For each seed, `schedule` gets the index of a controller, which depends on the seed. Runs the
/// seeds 0 to 8 and [`REGRESSION_SEEDS`], or those given by the environment variable `MEETINGS=1000-1999`.
#[track_caller]
fn assert_rules_hold(workload: &Workload, schedule: impl Fn(usize) -> FaultSchedule) {
    let seeds: Vec<u64> = match std::env::var("MEETINGS") {
        Ok(range) => {
            let (first, last) = range.split_once('-').expect("FIRST-LAST");
            (first.parse().unwrap()..=last.parse().unwrap()).collect()
        }
        Err(_) => (0..=8).chain(REGRESSION_SEEDS).collect(),
    };
    let failed: Vec<String> = seeds
        .into_iter()
        .filter_map(|seed| {
            let mut simulation = build_simulation(
                seed,
                DisabledSafeguards::default(),
                workload,
                &shift_schedule(seed, schedule(seed as usize % NODES)),
            );
            simulation.run(END_MS);
            let open = simulation.users.len() - simulation.settled_jobs();
            let passed = simulation.violations.is_empty() && open == 0;
            (!passed).then(|| format!("seed {seed}: {:?}, {open} open", simulation.violations))
        })
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Whether the rule breaks with this seed.
fn breaks_rule(
    rule: &str,
    safeguards: DisabledSafeguards,
    workload: &Workload,
    seed: u64,
    schedule: impl Fn(usize) -> FaultSchedule,
) -> bool {
    let schedule = shift_schedule(seed, schedule(seed as usize % NODES));
    let mut simulation = build_simulation(seed, safeguards, workload, &schedule);
    simulation.run(FAULTS_END_MS + 120_000);
    simulation.violations.iter().any(|b| b.starts_with(rule))
}

/// Both teams stay at their limits: endless jobs are cancelled one after the other, and more tasks wait than may
/// run.
const AT_LIMIT: Workload = Workload {
    team_limit: 12.0,
    machines_per_pool: 3,
    add_jobs: |simulation, rng| {
        for n in 0..16u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Tarefas": rng.random_range(1..4u32),
                "Cpus": rng.random_range(1..4u32), "Avulsas": rng.random_bool(0.5)});
            let cancel_at = [28_000, 66_000][n as usize / 8] + rng.random_range(0..16_000);
            add_endless(simulation, 2_000 + 150 * n, cancel_at, spec);
        }
        for n in 0..12u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Tarefas": rng.random_range(2..6u32),
                "Cpus": rng.random_range(1..4u32), "Avulsas": true});
            add_job(simulation, 6_000 + 1_500 * n, spec);
        }
    },
};

/// Guards against a team limit that is exceeded because a new shard leader does not count tasks of cancelled jobs
/// that still run on isolated machines. They count until a heartbeat, an expired lease or a returned machine proves
/// them gone.
#[test]
fn quota_holds_when_machines_are_isolated_during_failover() {
    let mut simulation = build_simulation(0, DisabledSafeguards::default(), &AT_LIMIT, &Vec::new());
    simulation.run(24_000);
    let used = TEAMS.map(|team| simulation.team_cpus_in_use(team));
    assert!(
        used.iter().all(|used| *used >= AT_LIMIT.team_limit - 2.0),
        "{used:?}"
    );
    assert_rules_hold(&AT_LIMIT, |node| {
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

/// Like the previous test, but heartbeats arrive and their responses are lost: no heartbeat shows the new leader
/// its own fencing token.
#[test]
fn quota_holds_when_heartbeat_responses_are_lost_during_failover() {
    assert_rules_hold(&AT_LIMIT, |node| {
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

/// Like the previous test, but the machines of cancelled jobs hang at the cancellation.
#[test]
fn quota_holds_when_machines_of_cancelled_jobs_hang_during_failover() {
    assert_rules_hold(&AT_LIMIT, |node| {
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

/// Like the previous test, but machines reach no controller. Jobs are cancelled and the shard leader changes
/// meanwhile.
#[test]
fn quota_holds_when_heartbeats_are_lost_during_failover() {
    assert_rules_hold(&AT_LIMIT, |node| {
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

/// Jobs that are cancelled within the seconds in which a shard moves to another leader and back: jobs that run,
/// jobs that are about to start, and jobs that others depend on.
const CANCELLED_DURING_HANDOVERS: Workload = Workload {
    team_limit: 16.0,
    machines_per_pool: 2,
    add_jobs: |simulation, rng| {
        for n in 0..20u64 {
            let at = [30_000, 75_000][n as usize % 2] + 700 * n + rng.random_range(0..900);
            // Some are about to start when they are cancelled.
            let submit_at = if n.is_multiple_of(3) {
                at - 2_500
            } else {
                3_000 + 200 * n
            };
            let spec =
                json!({"Cuadrilla": TEAMS[n as usize / 2 % 2], "Tarefas": 2, "Avulsas": true});
            let needed = add_endless(simulation, submit_at, at, spec);
            if n.is_multiple_of(4) {
                add_dependent_job(simulation, submit_at + 500, needed, json!({"Tarefas": 2}));
                add_dependent_job(
                    simulation,
                    submit_at + 1_000,
                    simulation.users.len() - 1,
                    json!({"Tarefas": 1}),
                );
            }
        }
        for n in 0..8u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Tarefas": 3, "Avulsas": true});
            add_job(simulation, 8_000 + 9_000 * n, spec);
        }
    },
};

/// Guards against a cancellation between two shard leaders: a change that one has begun to write, the other
/// commands.
#[test]
fn rules_hold_when_jobs_are_cancelled_during_shard_handovers() {
    assert_rules_hold(&CANCELLED_DURING_HANDOVERS, |node| {
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

/// Like the previous test, but the new shard leader crashes as well, and heartbeat responses are delayed.
#[test]
fn rules_hold_when_jobs_are_cancelled_during_repeated_shard_handovers() {
    assert_rules_hold(&CANCELLED_DURING_HANDOVERS, |node| {
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

/// Jobs with zone constraints (a given zone, all tasks in one zone, or tasks spread over zones). Some have many
/// tasks, and together they use most of the capacity.
const ZONE_CONSTRAINED: Workload = Workload {
    team_limit: 40.0,
    machines_per_pool: 2,
    add_jobs: |simulation, rng| {
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
            add_job(simulation, 2_000 + 3_500 * n, spec);
        }
    },
};

/// Guards against tasks that are placed by outdated locations of the job's other tasks. Machines die, or are silent
/// and come back, and tasks thought lost still run.
#[test]
fn rules_hold_when_zone_constrained_jobs_lose_machines() {
    assert_rules_hold(&ZONE_CONSTRAINED, |node| {
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

/// Like the previous test, but writes of the allocations are late and whole allocations move between shards.
#[test]
fn rules_hold_when_zone_constrained_jobs_lose_machines_during_late_writes() {
    assert_rules_hold(&ZONE_CONSTRAINED, |node| {
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

/// Bursts of jobs that need new machines. Each begins after the machines of the previous burst were returned or
/// lost.
const BURSTS: Workload = Workload {
    team_limit: 40.0,
    machines_per_pool: 3,
    add_jobs: |simulation, rng| {
        for n in 0..24u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Tarefas": rng.random_range(2..6u32),
                "Cpus": rng.random_range(1..4u32), "Avulsas": true});
            let at = [2_000, 36_000, 72_000][n as usize / 8] + rng.random_range(0..4_000u64);
            let n = add_job(simulation, at, spec);
            if n.is_multiple_of(5) {
                simulation.users[n].cancel_at = Some(at + 4_000);
            }
        }
    },
};

/// Guards against wrong conclusions about machines that no record and no list names yet. They boot fast and get
/// tasks at once, writes are late, and the controller that rented them crashes.
#[test]
fn rules_hold_when_new_machines_get_tasks_at_once_during_late_writes_and_crashes() {
    assert_rules_hold(&BURSTS, |node| {
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

/// One-task jobs, four per second for three minutes. A quarter of them is cancelled.
const ONE_TASK_JOBS: Workload = Workload {
    team_limit: 24.0,
    machines_per_pool: 3,
    add_jobs: |simulation, rng| {
        simulation.task_run_ms = 1_500;
        for n in 0..720u64 {
            let at = 10_000 + 250 * n;
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Avulsas": true, "Cpus": 1});
            let n = add_job(simulation, at, spec);
            if n.is_multiple_of(4) {
                simulation.users[n].cancel_at = Some(at + rng.random_range(0..6_000u64));
            }
        }
    },
};

/// Guards against lost or delayed jobs, and against more writes than the key-value store accepts, when all jobs are
/// as small as possible. In the second run leaders crash.
#[test]
fn one_task_jobs_at_four_per_second_are_settled_within_write_rate() {
    let crashes = vec![
        (50_000, 0, Crash(0)),
        (90_000, 0, Crash(1)),
        (130_000, 0, Crash(2)),
    ];
    for (seed, schedule) in [(0, Vec::new()), (1, crashes)] {
        let mut simulation = build_simulation(
            seed,
            DisabledSafeguards::default(),
            &ONE_TASK_JOBS,
            &schedule,
        );
        simulation.run(2_000);
        simulation.kv_store.write_rate = Some(120.0);
        simulation.run(260_000);
        simulation.assert_rules_held(seed);
        let outcome = (
            simulation.kv_store.throttled,
            simulation.longest_wait_ms() < 10_000,
        );
        assert_eq!(
            outcome,
            (0, true),
            "seed {seed}: {}",
            simulation.longest_wait_ms()
        );
    }
}

/// Twice as many tasks as there is capacity for, for minutes and of every priority.
const OVERLOADED: Workload = Workload {
    team_limit: 24.0,
    machines_per_pool: 1,
    add_jobs: |simulation, rng| {
        simulation.task_run_ms = 9_000;
        for n in 0..60u64 {
            let priority = ["prod", "high", "normal", "idle"][n as usize % 4];
            let spec = json!({"Cuadrilla": TEAMS[n as usize / 4 % 2], "Tarefas": rng.random_range(1..5u32),
                "Cpus": rng.random_range(1..4u32), "Avulsas": true, "Precedencia": priority});
            add_job(simulation, 2_000 + 1_500 * n, spec);
        }
    },
};

/// Guards against exceeded team limits, and against high-priority jobs that wait behind others, when there are more
/// of both than capacity and every heartbeat is in transit for about a second.
#[test]
fn priorities_and_rules_hold_under_overload_with_slow_worker_links() {
    assert_rules_hold(&OVERLOADED, |node| {
        vec![
            (5_000, 120_000, SlowWorkerLinks(1_600)),
            (40_000, 0, Crash(node)),
            (60_000, 10_000, WorkerIsolation((node + 1) % NODES)),
        ]
    });
    let mut total_wait_ms = [0u64; 4];
    for seed in 0..3 {
        let schedule = vec![(5_000, 130_000, SlowWorkerLinks(1_200))];
        let mut simulation =
            build_simulation(seed, DisabledSafeguards::default(), &OVERLOADED, &schedule);
        let mut open: Vec<usize> = (0..simulation.users.len()).collect();
        while !open.is_empty() && simulation.now < END_MS {
            let until = simulation.now + 1_000;
            simulation.run(until);
            open.retain(|u| {
                if simulation.users[*u].completion_reported {
                    total_wait_ms[u % 4] += until - simulation.users[*u].submit_at;
                }
                !simulation.users[*u].completion_reported
            });
        }
        simulation.assert_rules_held(seed);
    }
    assert!(total_wait_ms.is_sorted(), "{total_wait_ms:?}");
}

/// More small jobs at all times than there is capacity for, and a few that fit a machine only when it is almost
/// empty.
const MIXED_SIZES: Workload = Workload {
    team_limit: 40.0,
    machines_per_pool: 2,
    add_jobs: |simulation, rng| {
        simulation.task_run_ms = 6_000;
        for n in 0..6u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Cpus": 7, "Avulsas": true, "Tarefas": 1 + n / 4});
            add_job(simulation, 30_000 + 8_000 * n, spec);
        }
        for n in 0..700u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Cpus": rng.random_range(1..3u32), "Avulsas": true});
            add_job(simulation, 2_000 + 450 * n, spec);
        }
    },
};

/// One machine per pool, none of them full. In every shard the waiting jobs need more than its machines have free.
const FRAGMENTED: Workload = Workload {
    team_limit: 60.0,
    machines_per_pool: 1,
    add_jobs: |simulation, _| {
        for n in 0..14u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Cpus": 3, "Avulsas": true});
            add_endless(simulation, 2_000 + 400 * n, 300_000, spec);
        }
        for n in 0..4u64 {
            let (team, zone) = (TEAMS[n as usize % 2], ["a", "b"][n as usize % 2]);
            let spec = json!({"Cuadrilla": team, "Cpus": 1, "Avulsas": true, "Tarefas": 2, "Together": true, "Parcela": zone});
            add_job(simulation, 40_000 + 1_000 * n, spec);
        }
    },
};

/// Guards against a small job that waits in a shard which cannot run it, while other shards, in which larger jobs
/// wait, have capacity for it.
#[test]
fn small_jobs_start_in_shards_whose_waiting_jobs_are_too_large() {
    for seed in 0..12 {
        let mut simulation = build_simulation(
            seed,
            DisabledSafeguards::default(),
            &FRAGMENTED,
            &Vec::new(),
        );
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

/// More tasks than the teams may run, beyond the end of the simulation.
const LONG_WAITING: Workload = Workload {
    team_limit: 12.0,
    machines_per_pool: 2,
    add_jobs: |simulation, _| {
        for n in 0..6u64 {
            let spec = json!({"Cuadrilla": TEAMS[n as usize % 2], "Tarefas": 2, "Cpus": 2, "Avulsas": true});
            add_endless(simulation, 5_000 + 1_000 * n, 300_000, spec);
        }
    },
};

/// Guards against starvation of large jobs because small ones always leave too little capacity free. Each large job
/// must start within four minutes.
#[test]
fn largest_jobs_start_within_four_minutes_under_shortage() {
    for seed in 0..2 {
        let mut simulation = build_simulation(
            seed,
            DisabledSafeguards::default(),
            &MIXED_SIZES,
            &Vec::new(),
        );
        let mut start_delays = [None; 6];
        while simulation.now < 320_000 && start_delays.contains(&None) {
            simulation.run(simulation.now.next_multiple_of(1_000) + 1_000);
            for (n, at) in start_delays
                .iter_mut()
                .enumerate()
                .filter(|(_, at)| at.is_none())
            {
                let user = &simulation.users[n];
                let mut tasks = simulation.workers.values().flat_map(|w| &w.tasks);
                if tasks.any(|t| t.name.starts_with(&format!("{}/", user.job))) {
                    *at = Some(simulation.now - user.submit_at);
                }
            }
        }
        let late = start_delays
            .iter()
            .filter(|at| at.is_none_or(|ms| ms > 240_000));
        assert_eq!(
            (late.count(), &simulation.violations),
            (0, &Vec::new()),
            "seed {seed}: {start_delays:?}"
        );
    }
}

/// Shows that the rules are checked under these workloads: they break once a safeguard is disabled.
#[test]
fn rule_checks_find_quota_placement_and_starvation_violations_without_safeguards() {
    let none = DisabledSafeguards::default();
    let no_conditions = DisabledSafeguards {
        ignore_txn_conditions: true,
        ..none
    };
    let no_returns = DisabledSafeguards {
        ignore_machine_returns: true,
        ignore_worker_leases: true,
        ..none
    };
    let halved_limits = DisabledSafeguards {
        halve_team_limits: true,
        ..none
    };
    let late_writes = |node: usize| {
        vec![
            (15_000, 70_000, LateWrites(0.5)),
            (31_000, 0, Crash(node)),
            (60_000, 0, CrashAll(500)),
        ]
    };
    let isolation = |node: usize| {
        vec![
            (24_000, 40_000, ZoneIsolation("a")),
            (26_000, 0, MassCancellation(6, 30_000)),
            (30_000, 0, Crash(node)),
        ]
    };
    let no_faults = |_| Vec::new();
    for (rule, safeguards, workload, schedule) in [
        (
            "quota",
            no_conditions,
            &AT_LIMIT,
            &late_writes as &dyn Fn(usize) -> FaultSchedule,
        ),
        ("quota", no_returns, &AT_LIMIT, &isolation),
        (
            "wrong_place",
            no_conditions,
            &ZONE_CONSTRAINED,
            &late_writes,
        ),
        ("left_waiting", halved_limits, &LONG_WAITING, &no_faults),
    ] {
        let seed = (0..12).find(|seed| breaks_rule(rule, safeguards, workload, *seed, schedule));
        assert!(seed.is_some(), "{rule}");
    }
    assert!(!breaks_rule(
        "left_waiting",
        none,
        &LONG_WAITING,
        0,
        no_faults
    ));
}
