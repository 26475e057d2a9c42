//! What users are told: asked at any controller, at whatever moment, no answer is older than one given before.

use serde_json::{Value, json};
use snowshelf_simulation::fault_combinations::{
    FAULTS_END_MS, FaultSchedule, assert_rules_hold, run_schedule, running_tasks, shift_schedule,
    with_endless_jobs,
};
use snowshelf_simulation::faults::Fault;
use snowshelf_simulation::faults::invalid_requests::{malformed_fields, unrunnable_specs};
use snowshelf_simulation::{DisabledSafeguards, NODES, Simulation, SimulationConditions};

const NEVER: Vec<String> = Vec::new();

/// All day long, beside the troubles of the meeting.
fn all_day(habits: &[Fault], schedule: FaultSchedule) -> FaultSchedule {
    let habits = habits.iter().map(|habit| (1_000, 139_000, *habit));
    schedule.into_iter().chain(habits).collect()
}

/// Guards against answers that come from a picture: all controllers are asked within milliseconds of what any of them
/// has said, jobs are submitted again and some cancelled at once, with nothing else wrong.
#[test]
fn asked_at_all_controllers_within_milliseconds_none_answers_what_is_older() {
    assert_rules_hold(|_| all_day(&[Fault::RequestBursts], vec![]));
}

/// Guards against a controller that answers before it knows: it has just started, one or all at a time.
#[test]
fn a_controller_that_has_just_started_answers_nothing_older() {
    use Fault::*;
    assert_rules_hold(|node| {
        let ends = [3_000, 12_000, 15_500, 19_000, 28_000, 60_000].map(|at| (at, 0, Crash(node)));
        let all = [(22_000, 0, CrashAll(300)), (40_000, 0, CrashAll(0))];
        all_day(&[RequestBursts], ends.into_iter().chain(all).collect())
    });
}

/// Guards against the owner's own view of a write that is carried out later, while the others and the owners to come
/// are asked.
#[test]
fn asked_closely_while_writes_are_late_and_owners_end() {
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
        all_day(&[RequestBursts], schedule)
    });
}

/// Guards against answers from memory while the state service is slow, refuses one controller or serves nobody: then
/// 503, and nothing older.
#[test]
fn asked_closely_in_an_outage_and_around_it() {
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
        all_day(&[RequestBursts], schedule)
    });
}

/// Guards against two ends of one job: a cancellation, a question or a repeated submission meets the end of its last
/// task, with no other trouble and with one controller refused.
#[test]
fn a_job_called_off_as_it_ends_is_done_or_aborted_for_ever() {
    use Fault::*;
    let habits = |share| [CancelAtCompletion(share), RequestBursts];
    assert_rules_hold(|_| all_day(&habits(0.5), vec![]));
    assert_rules_hold(|node| all_day(&habits(1.0), vec![(12_000, 40_000, KvRefusal(node))]));
    let ends = (0..4u64).map(|seed| {
        let simulation = run_schedule(
            seed,
            DisabledSafeguards::default(),
            &all_day(&[CancelAtCompletion(1.0)], vec![]),
        );
        let off = simulation
            .users
            .iter()
            .filter(|u| u.cancel_requested && u.cancel_at.is_none());
        let (done, aborted): (Vec<_>, Vec<_>) = off.partition(|u| u.completion_reported);
        (done.len(), aborted.len())
    });
    let (done, aborted) = ends.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    assert!(done > 3 && aborted > 3, "{done} {aborted}");
}

/// Guards against jobs that are accepted though they cannot run or lack a field, refusals that do not say why, accepted
/// jobs that a differing repeat is refused for, and ends that a cancellation changes.
#[test]
fn odd_requests_are_refused_with_the_reason_and_change_nothing() {
    use Fault::*;
    let habits = [InvalidRequests, RequestBursts];
    assert_rules_hold(|node| {
        let schedule = vec![
            (12_000, 0, Crash(node)),
            (20_000, 9_000, KvRefusal((node + 1) % NODES)),
            (30_000, 10_000, KvOutage),
        ];
        all_day(&habits, schedule)
    });
    let simulation = run_schedule(3, DisabledSafeguards::default(), &all_day(&habits, vec![]));
    let kinds = (unrunnable_specs().len() + malformed_fields().len()) as u64;
    assert!(
        simulation.refused_invalid_requests > 3 * kinds,
        "{}",
        simulation.refused_invalid_requests
    );
}

/// Jobs that run on, and what is written of them and on the machines, with these reports sent beside the workers' own.
fn with_odd_reports(fields: &[Value]) -> (Vec<String>, Vec<String>, usize, u64) {
    let mut simulation = with_endless_jobs(5, 6, |_| None);
    for (n, fields) in fields.iter().enumerate() {
        for node in 0..NODES {
            simulation.send_invalid_heartbeat_at(60_000 + 50 * n as u64, node, fields.clone());
        }
    }
    simulation.run(59_000);
    let before = simulation.kv_store.dump();
    simulation.run(80_000);
    assert_eq!(simulation.violations, NEVER);
    (
        before,
        simulation.kv_store.dump(),
        running_tasks(&simulation),
        simulation.lease_expirations(),
    )
}

/// Guards against conclusions from a report that cannot be: 400, and nothing has changed.
#[test]
fn reports_that_cannot_be_change_nothing() {
    let odd = [
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
    let (before, after, running_tasks, expired) = with_odd_reports(&odd);
    assert_eq!((after, running_tasks, expired), (before, 18, 0));
}

/// Shows that answers are looked at: a controller that tells what was true once and a state service without conditions
/// go back; a job that loses on its way what it can never have is accepted.
#[test]
fn without_their_guards_answers_go_back() {
    use Fault::*;
    let none = DisabledSafeguards::default();
    let old_answers = DisabledSafeguards {
        stale_responses: true,
        ..none
    };
    let no_conditions = DisabledSafeguards {
        ignore_txn_conditions: true,
        ..none
    };
    let no_needs = DisabledSafeguards {
        drop_dependencies: true,
        ..none
    };
    for (safeguards, habits, rules) in [
        (old_answers, vec![RequestBursts], ["went_back", "forgotten"]),
        (
            no_conditions,
            vec![RequestBursts, CancelAtCompletion(1.0)],
            ["went_back", "forgotten"],
        ),
        (no_needs, vec![InvalidRequests], ["not refused"; 2]),
    ] {
        let told = |b: &String| rules.iter().any(|rule| b.starts_with(rule));
        let red = |seed| run_schedule(seed, safeguards, &all_day(&habits, vec![])).violations;
        assert!((0..8).any(|seed| red(seed).iter().any(told)), "{habits:?}");
    }
}

/// Guards against a controller that says what is older than what it has said itself, to a question that came before: a read
/// that was answered before a write, or a transaction whose job was called off while its answer was underway.
#[test]
fn no_controller_says_what_is_older_than_what_it_has_said() {
    for seed in 0..9 {
        let habits = [Fault::RequestBursts, Fault::CancelAtCompletion(0.5)];
        let simulation = run_schedule(
            seed,
            DisabledSafeguards::default(),
            &all_day(&habits, vec![]),
        );
        assert_eq!(simulation.contradictions, NEVER, "seed {seed}");
    }
}

/// Guards against an accepted job that a repeated submission is refused for because a field of the repeat is missing or
/// cannot be: it is known, whatever its repeat says.
#[test]
fn a_malformed_repeat_of_an_accepted_job_is_answered_by_its_state() {
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

/// Guards against a report that cannot be, though its fields are of the right type: sessions start at 1, attempts too,
/// and tasks are numbered below 100,000.
#[test]
fn reports_out_of_range_are_refused() {
    let odd = [
        json!({"Jornada": 0}),
        json!({"task": {"Tentativa": 0}}),
        json!({"task": {"Tarefa": "wk-000001/100000"}}),
    ];
    for fields in odd {
        let (before, after, running_tasks, expired) =
            with_odd_reports(std::slice::from_ref(&fields));
        assert_eq!((after, running_tasks, expired), (before, 18, 0), "{fields}");
    }
}

/// Guards against a job that is taken twice in one transaction: it shares one with a job that is known already, is taken up
/// again after that conflict, and its repeat has come meanwhile. Two divisions of its tasks would both be written, and the
/// owner of the part that the job does not name could write nothing more.
#[test]
fn a_job_submitted_again_while_its_batch_meets_a_conflict_is_taken_once() {
    use Fault::*;
    let (until, looks) = (139_000, 9_790);
    let habits = vec![
        (5_590, until, CancelAtCompletion(1.0)),
        (looks, until, RequestBursts),
    ];
    let found = habits.into_iter().chain([(12_390, 40_000, KvRefusal(2))]);
    run_schedule(83, DisabledSafeguards::default(), &found.collect()).assert_rules_held(83);
}

/// The same with nothing but these questions: each of the later jobs shares a transaction with a repeat of the first.
#[test]
fn a_job_is_taken_once_whenever_its_repeat_comes() {
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
        assert_eq!((&simulation.violations, done), (&NEVER, true), "{ms}");
    }
}

/// Jobs of short tasks, each called off within seconds of its submission, on a day with this meeting.
fn called_off_as_they_begin(seed: u64, schedule: FaultSchedule) -> Simulation {
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

/// Guards against a task that begins after its user was told that it is cancelled: only what is underway to a worker
/// by then may, and workers drop that after four seconds.
#[test]
fn nothing_begins_after_its_cancellation_but_what_is_underway() {
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
    let mut seen = 0;
    for (n, (latest, schedule)) in fault_combinations.iter().enumerate() {
        for seed in 0..3 {
            let simulation = called_off_as_they_begin(seed, schedule.clone());
            let late = (
                simulation.starts_after_cancel,
                simulation.latest_start_after_cancel_ms,
            );
            seen += late.0;
            assert!(
                simulation.latest_start_after_cancel_ms <= *latest,
                "meeting {n}, seed {seed}: {late:?}"
            );
            assert_eq!(
                simulation.violations,
                Vec::<String>::new(),
                "meeting {n}, seed {seed}"
            );
        }
    }
    // The check sees what it is for: of what is underway, some does begin.
    assert!(seen > 0);
}
