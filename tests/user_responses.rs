//! Responses to users: whichever controller is asked at whatever time, no response is older than an earlier one.

use serde_json::{Value, json};
use snowshelf_simulation::fault_combinations::{
    FAULTS_END_MS, FaultSchedule, assert_rules_hold, run_schedule, running_tasks, shift_schedule,
    with_endless_jobs,
};
use snowshelf_simulation::faults::Fault;
use snowshelf_simulation::faults::invalid_requests::{malformed_fields, unrunnable_specs};
use snowshelf_simulation::{DisabledSafeguards, NODES, Simulation, SimulationConditions};

const NONE: Vec<String> = Vec::new();

/// Adds faults that last for the whole run to a schedule.
fn with_lasting_faults(lasting: &[Fault], schedule: FaultSchedule) -> FaultSchedule {
    let lasting = lasting.iter().map(|fault| (1_000, 139_000, *fault));
    schedule.into_iter().chain(lasting).collect()
}

/// Guards against responses from a stale cache. Users poll all controllers within milliseconds of each response,
/// submit jobs again and cancel some at once. There is no other fault.
#[test]
fn responses_never_go_back_when_all_controllers_are_polled_within_milliseconds() {
    assert_rules_hold(|_| with_lasting_faults(&[Fault::RequestBursts], vec![]));
}

/// Guards against a controller that responds before it has loaded its state. One controller restarts at a time, or
/// all do.
#[test]
fn responses_never_go_back_after_controller_restart() {
    use Fault::*;
    assert_rules_hold(|node| {
        let crashes =
            [3_000, 12_000, 15_500, 19_000, 28_000, 60_000].map(|at| (at, 0, Crash(node)));
        let all = [(22_000, 0, CrashAll(300)), (40_000, 0, CrashAll(0))];
        with_lasting_faults(&[RequestBursts], crashes.into_iter().chain(all).collect())
    });
}

/// Guards against a shard leader that responds with a write of its own which is applied only later, while other
/// controllers and later leaders are polled.
#[test]
fn responses_never_go_back_when_writes_are_late_during_failovers() {
    use Fault::*;
    assert_rules_hold(|node| {
        let schedule = vec![
            (4_000, 30_000, LateWrites(0.3)),
            (14_000, 0, Crash(node)),
            (24_000, 8_000, KvRefusal((node + 1) % NODES)),
            (32_000, 10_000, LostKvResponses(0.5)),
            (45_000, 30_000, LateWrites(0.6)),
            (52_000, 0, CrashAll(1_000)),
        ];
        with_lasting_faults(&[RequestBursts], schedule)
    });
}

/// Guards against responses from the cache while the key-value store is slow, refuses one controller or refuses
/// all. A controller must respond with 503 rather than with older data.
#[test]
fn responses_never_go_back_around_kv_outage() {
    use Fault::*;
    assert_rules_hold(|node| {
        let schedule = vec![
            (5_000, 12_000, SlowKv(900)),
            (20_000, 6_000, KvRefusal(node)),
            (23_000, 12_000, KvOutage),
            (40_000, 9_000, KvAndPeerIsolation((node + 1) % NODES)),
            (60_000, 45_000, KvOutage),
            (62_000, 0, Crash(node)),
        ];
        with_lasting_faults(&[RequestBursts], schedule)
    });
}

/// Guards against two final states of one job: a cancellation, a poll or a resubmission coincides with the end of
/// the job's last task. Runs without other faults, and with one controller refused by the key-value store.
#[test]
fn job_cancelled_at_completion_keeps_one_final_state() {
    use Fault::*;
    let lasting = |share| [CancelAtCompletion(share), RequestBursts];
    assert_rules_hold(|_| with_lasting_faults(&lasting(0.5), vec![]));
    assert_rules_hold(|node| {
        with_lasting_faults(&lasting(1.0), vec![(12_000, 40_000, KvRefusal(node))])
    });
    let final_states = (0..4u64).map(|seed| {
        let simulation = run_schedule(
            seed,
            DisabledSafeguards::default(),
            &with_lasting_faults(&[CancelAtCompletion(1.0)], vec![]),
        );
        let cancelled = simulation
            .users
            .iter()
            .filter(|u| u.cancel_requested && u.cancel_at.is_none());
        let (done, aborted): (Vec<_>, Vec<_>) = cancelled.partition(|u| u.completion_reported);
        (done.len(), aborted.len())
    });
    let (done, aborted) = final_states.fold((0, 0), |total, seed_counts| {
        (total.0 + seed_counts.0, total.1 + seed_counts.1)
    });
    assert!(done > 3 && aborted > 3, "{done} {aborted}");
}

/// Guards against accepting jobs that cannot run or lack a field, refusals without a reason, accepted jobs that are
/// refused on a differing resubmission, and final states that a cancellation changes.
#[test]
fn invalid_requests_are_refused_with_reason_and_change_nothing() {
    use Fault::*;
    let lasting = [InvalidRequests, RequestBursts];
    assert_rules_hold(|node| {
        let schedule = vec![
            (12_000, 0, Crash(node)),
            (20_000, 9_000, KvRefusal((node + 1) % NODES)),
            (30_000, 10_000, KvOutage),
        ];
        with_lasting_faults(&lasting, schedule)
    });
    let simulation = run_schedule(
        3,
        DisabledSafeguards::default(),
        &with_lasting_faults(&lasting, vec![]),
    );
    let kinds = (unrunnable_specs().len() + malformed_fields().len()) as u64;
    assert!(
        simulation.refused_invalid_requests > 3 * kinds,
        "{}",
        simulation.refused_invalid_requests
    );
}

/// Sends invalid heartbeats beside those of the workers while endless jobs run. Returns the records before and
/// afterwards, the number of running tasks and the number of expired leases.
fn with_invalid_heartbeats(fields: &[Value]) -> (Vec<String>, Vec<String>, usize, u64) {
    let mut simulation = with_endless_jobs(5, 6, |_| None);
    for (n, fields) in fields.iter().enumerate() {
        for node in 0..NODES {
            simulation.send_invalid_heartbeat_at(60_000 + 50 * n as u64, node, fields.clone());
        }
    }
    simulation.run(59_000);
    let before = simulation.kv_store.dump();
    simulation.run(80_000);
    assert_eq!(simulation.violations, NONE);
    (
        before,
        simulation.kv_store.dump(),
        running_tasks(&simulation),
        simulation.lease_expirations(),
    )
}

/// Guards against conclusions from a malformed heartbeat. The response is 400, and nothing changes.
#[test]
fn malformed_heartbeats_change_nothing() {
    let invalid = [
        json!({"Jornada": null}),
        json!({"Jornada": -1}),
        json!({"Jornada": 1.5}),
        json!({"Jornada": "1"}),
        json!({"Contagem": null}),
        json!({"Contagem": -1}),
        json!({"Contagem": 1e30}),
        json!({"task": {"Tentativa": -1}}),
        json!({"task": {"Tentativa": 0.5}}),
        json!({"task": {"Tentativa": null}}),
        json!({"task": {"Tarefa": "wk-000001"}}),
        json!({"task": {"Estado": "odd"}}),
    ];
    let (before, after, running_tasks, expired) = with_invalid_heartbeats(&invalid);
    assert_eq!((after, running_tasks, expired), (before, 18, 0));
}

/// Shows that responses are checked. They go back when a controller repeats stale responses or the key-value store
/// ignores conditions, and an unrunnable job is accepted when its dependencies are lost in transit.
#[test]
fn response_checks_find_violations_without_safeguards() {
    use Fault::*;
    let none = DisabledSafeguards::default();
    let stale_responses_enabled = DisabledSafeguards {
        stale_responses: true,
        ..none
    };
    let no_conditions = DisabledSafeguards {
        ignore_txn_conditions: true,
        ..none
    };
    let no_dependencies = DisabledSafeguards {
        drop_dependencies: true,
        ..none
    };
    for (safeguards, lasting, rules) in [
        (
            stale_responses_enabled,
            vec![RequestBursts],
            ["went_back", "forgotten"],
        ),
        (
            no_conditions,
            vec![RequestBursts, CancelAtCompletion(1.0)],
            ["went_back", "forgotten"],
        ),
        (no_dependencies, vec![InvalidRequests], ["not refused"; 2]),
    ] {
        let matches_rule = |b: &String| rules.iter().any(|rule| b.starts_with(rule));
        let violations_of = |seed| {
            run_schedule(seed, safeguards, &with_lasting_faults(&lasting, vec![])).violations
        };
        assert!(
            (0..8).any(|seed| violations_of(seed).iter().any(matches_rule)),
            "{lasting:?}"
        );
    }
}

/// Guards against a response that is older than an earlier one of the same controller, to a request that arrived
/// first: a read that was answered before a write, or a transaction whose job was cancelled while its response was
/// in transit.
#[test]
fn controller_never_contradicts_its_own_earlier_response() {
    for seed in 0..9 {
        let lasting = [Fault::RequestBursts, Fault::CancelAtCompletion(0.5)];
        let simulation = run_schedule(
            seed,
            DisabledSafeguards::default(),
            &with_lasting_faults(&lasting, vec![]),
        );
        assert_eq!(simulation.contradictions, NONE, "seed {seed}");
    }
}

/// Guards against refusing the resubmission of an accepted job because a field is missing or invalid. The job is
/// known, whatever the resubmission contains.
#[test]
fn malformed_resubmission_of_accepted_job_returns_its_state() {
    let mut simulation = with_endless_jobs(1, 3, |n| (n == 0).then_some(20_000));
    simulation.run(40_000);
    assert!(
        simulation.users.iter().all(|u| u.accepted)
            && simulation.users[0].cancel_reported_at.is_some()
    );
    let named = malformed_fields()
        .into_iter()
        .filter(|(field, _)| *field != "Ref");
    for (field, value) in named {
        for (u, node) in (0..3).flat_map(|u| (0..NODES).map(move |node| (u, node))) {
            simulation.resubmit(u, node, &json!({field: value}));
        }
    }
    simulation.run(50_000);
    assert_eq!(simulation.violations.first(), None);
}

/// Guards against accepting a heartbeat whose fields have the right type but are out of range. Agent incarnations
/// and attempts start at 1, and task indices are below 100,000.
#[test]
fn heartbeats_with_out_of_range_fields_change_nothing() {
    let invalid = [
        json!({"Jornada": 0}),
        json!({"task": {"Tentativa": 0}}),
        json!({"task": {"Tarefa": "wk-000001/100000"}}),
    ];
    for fields in invalid {
        let (before, after, running_tasks, expired) =
            with_invalid_heartbeats(std::slice::from_ref(&fields));
        assert_eq!((after, running_tasks, expired), (before, 18, 0), "{fields}");
    }
}

/// Guards against a job that is accepted twice in one transaction. Its batch conflicts because it contains a known
/// job, the job is queued again, and a resubmission has arrived meanwhile. Two partitions of its tasks would be
/// written, and the leader of a shard that the job record does not name could no longer write.
#[test]
fn job_resubmitted_during_batch_conflict_is_accepted_once() {
    use Fault::*;
    let (until, polls_from) = (139_000, 9_790);
    let lasting = vec![
        (5_590, until, CancelAtCompletion(1.0)),
        (polls_from, until, RequestBursts),
    ];
    let schedule = lasting.into_iter().chain([(12_390, 40_000, KvRefusal(2))]);
    run_schedule(83, DisabledSafeguards::default(), &schedule.collect()).assert_rules_held(83);
}

/// Like the previous test without other faults: each later job shares a transaction with a resubmission of the
/// first.
#[test]
fn job_is_accepted_once_whenever_it_is_resubmitted() {
    for ms in 1..15u64 {
        let mut simulation = Simulation::new(
            ms,
            SimulationConditions::FAULT_FREE,
            DisabledSafeguards::default(),
            0,
            60_000,
        );
        simulation.add_user(2_000, json!({}));
        let first = simulation.users[0].job.clone();
        simulation.endless_jobs.insert(first);
        for n in 1..5 {
            simulation.add_user(20_000, json!({"Tarefas": 4}));
            simulation.run(7_000 + 200 * n);
            simulation.resubmit(0, 0, &json!({}));
            simulation.resubmit(n as usize, 0, &json!({}));
            simulation.run(7_000 + 200 * n + ms);
            simulation.resubmit(n as usize, 0, &json!({}));
        }
        simulation.run(100_000);
        let done = simulation.users[1..]
            .iter()
            .all(|user| user.completion_reported);
        assert_eq!((&simulation.violations, done), (&NONE, true), "{ms}");
    }
}

/// Runs jobs with short tasks under a schedule of faults. Each job is cancelled within seconds of its submission.
fn with_jobs_cancelled_at_start(seed: u64, schedule: FaultSchedule) -> Simulation {
    let mut simulation = Simulation::new(
        seed,
        SimulationConditions::FAULT_FREE,
        DisabledSafeguards::default(),
        0,
        FAULTS_END_MS,
    );
    for n in 0..24u64 {
        let (at, team) = (5_000 + 4_000 * n, ["red", "blue"][n as usize % 2]);
        simulation.add_user(
            at,
            json!({"Tarefas": 3, "Avulsas": true, "Cuadrilla": team}),
        );
        simulation.users[n as usize].cancel_at = Some(at + 350 * (n % 12));
    }
    for (at, for_ms, fault) in shift_schedule(seed, schedule) {
        simulation.inject(at, for_ms, fault);
    }
    simulation.run(FAULTS_END_MS + 20_000);
    simulation
}

/// Guards against a task that starts after its user was told that the job is cancelled. Only commands in transit to
/// a worker at that time may start tasks, and workers discard those after four seconds.
#[test]
fn no_task_starts_after_reported_cancellation_except_commands_in_transit() {
    use Fault::*;
    let fault_combinations: [(u64, FaultSchedule); 5] = [
        (0, vec![]),
        (
            0,
            vec![(30_000, 14_000, KvRefusal(0)), (31_000, 45_000, KvOutage)],
        ),
        (
            0,
            vec![
                (29_000, 12_000, WorkerIsolation(1)),
                (30_000, 25_000, LateWrites(0.3)),
                (74_000, 10_000, KvRefusal(1)),
            ],
        ),
        (
            0,
            vec![
                (20_000, 40_000, KvAndPeerIsolation(0)),
                (70_000, 40_000, KvAndPeerIsolation(1)),
            ],
        ),
        (
            4_000,
            vec![
                (20_000, 90_000, DelayedHeartbeatResponses(0.5)),
                (40_000, 0, Crash(0)),
                (70_000, 0, Crash(1)),
            ],
        ),
    ];
    let mut late_starts = 0;
    for (n, (max_delay_ms, schedule)) in fault_combinations.iter().enumerate() {
        for seed in 0..3 {
            let simulation = with_jobs_cancelled_at_start(seed, schedule.clone());
            let late = (
                simulation.starts_after_cancel,
                simulation.latest_start_after_cancel_ms,
            );
            late_starts += late.0;
            assert!(
                simulation.latest_start_after_cancel_ms <= *max_delay_ms,
                "combination {n}, seed {seed}: {late:?}"
            );
            assert_eq!(
                simulation.violations,
                Vec::<String>::new(),
                "combination {n}, seed {seed}"
            );
        }
    }
    // The check is effective: some commands in transit do start tasks.
    assert!(late_starts > 0);
}
