//! Property tests of formats and state machines. The seed is fixed, so each run generates the same cases.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use snowshelf::coordination::api::partition;
use snowshelf::coordination::dependencies::{DependencyGraph, GraphSource};
use snowshelf::coordination::gossip::{
    HEARTBEAT_NAMES_BYTES, MISSING_NAMES_BYTES, RoundRobinNames,
};
use snowshelf::coordination::leases::{KeyHolder, RoleDecision, RoleObservation, decide_role};
use snowshelf::coordination::placement::{ImageState, MachineCandidate, ZoneRule, choose_machines};
use snowshelf::coordination::shard_capacity::ShardCapacity;
use snowshelf::coordination::storage_budget::RequestRates;
use snowshelf::storage::record_cache::{FinishedJob, RecordCache, VersionedRecord};
use snowshelf::transport::http::{Parsed, parse_request, parse_response};
use snowshelf_model::ids::{
    Attempt, FencingToken, JobId, MachineId, ShardId, TaskIndex, Version, WallClockMillis,
};
use snowshelf_model::protocol::user::{Submission, parse_submission};
use snowshelf_model::protocol::worker::Heartbeat;
use snowshelf_model::records::compact_encoding;
use snowshelf_model::records::{
    AllocationChange, AllocationChangeKind, Grant, JobRecord, JobState, QuotaRecord, RecordFormat,
    Resources, ShardAllocation, StorageLimits,
};
use snowshelf_model::task_ranges::TaskRanges;
use snowshelf_simulation::previous_formats;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

fn fixed_config() -> Config {
    Config {
        cases: 200,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

fn submission() -> serde_json::Value {
    serde_json::json!({"Ref":"wk-000412","Lote":"train","Cuadrilla":"vision","Feitio":"batch",
        "Precedencia":"high","Tarefas":16,"Cpus":8.0,"Gpus":1.0,"MemGb":64.0,"Matriz":"img-07",
        "PullGb":6.2,"Modelos":["g8"],"Parcela":null,"Together":true,"Apart":false,"Avulsas":true,
        "PrevisaoS":240.0,"MarcoS":30.0,"GuardaS":4.0,"PrazoS":900.0,"Aguarda":["wk-000398","wk-000405"]})
}

#[derive(Clone, Debug)]
enum TaskOperation {
    Start(u32, u8),
    Finish(u32, u8),
    Requeue(u32, u8),
}

fn task_operation() -> impl Strategy<Value = TaskOperation> {
    (0..20u32, 0..3u8, 0..3u8).prop_map(|(task, machine, what)| match what {
        0 => TaskOperation::Start(task, machine),
        1 => TaskOperation::Finish(task, machine),
        _ => TaskOperation::Requeue(task, machine),
    })
}

/// Encodes an allocation in the compact format.
fn encode_compact(share: &ShardAllocation) -> Option<String> {
    compact_encoding::encode(share)
}

fn decode_compact(text: &str) -> Option<ShardAllocation> {
    serde_json::from_value(serde_json::json!(text)).ok()
}

fn storage_limits(format: RecordFormat, value_bytes: usize) -> StorageLimits {
    StorageLimits {
        format,
        value_bytes,
        txn_ops: 4,
        rps: 100.0,
        write_rps: 35.0,
    }
}

/// The record of a job with dependencies.
fn job_record(state: JobState, dependencies: &[usize], deadline_s: Option<f64>) -> JobRecord {
    let mut spec = parse_submission(submission().to_string().as_bytes())
        .unwrap()
        .spec;
    spec.deadline_s = deadline_s;
    JobRecord {
        state,
        tasks: spec.tasks,
        shards: vec![ShardId(0)],
        submitted: WallClockMillis(1_000),
        spec: Some(spec),
        dependencies: dependencies.iter().map(|n| job_id(*n)).collect(),
        dependency_chunks: 0,
        ended: None,
        from_run: false,
        retry_delay_ms: 0,
    }
}

fn job_id(n: usize) -> JobId {
    JobId::new(&format!("wk-{n}"))
}

/// The dependency graph of these jobs. Final jobs are passed separately, as the record cache keeps them.
fn dependency_graph(records: &[JobRecord]) -> DependencyGraph {
    let mut open = BTreeMap::new();
    let mut finished_jobs: BTreeMap<JobId, FinishedJob> = BTreeMap::new();
    for (n, r) in records.iter().enumerate() {
        if r.is_final() {
            finished_jobs.insert(
                job_id(n),
                FinishedJob {
                    state: r.state,
                    tasks: r.tasks,
                    ended: r.ended,
                    from_run: false,
                },
            );
        } else {
            open.insert(
                job_id(n),
                VersionedRecord {
                    version: Version(1),
                    value: Rc::new(r.clone()),
                },
            );
        }
    }
    let length = |_: &snowshelf_model::records::JobSpec| 10_000;
    let source = GraphSource {
        jobs: &open,
        dependencies_of: &|_, r| Some(r.dependencies.iter().collect()),
        finished_job: &|id| finished_jobs.get(id).copied(),
        duration_ms: &length,
    };
    DependencyGraph::build(
        &source,
        WallClockMillis(50_000),
        &DependencyGraph::default(),
    )
}

/// The change that a shard leader with this allocation makes for an operation. An operation that does not apply
/// gets an attempt that does not exist.
fn change_for(view: &ShardAllocation, op: &TaskOperation) -> AllocationChange {
    let (task, machine, kind) = match op {
        TaskOperation::Start(t, m) => (*t, *m, AllocationChangeKind::Start),
        TaskOperation::Finish(t, m) => (*t, *m, AllocationChangeKind::Finish),
        TaskOperation::Requeue(t, m) => (*t, *m, AllocationChangeKind::Requeue),
    };
    let machine = MachineId::new(&format!("n-{machine}"));
    let task = TaskIndex(task);
    let attempt = match kind {
        AllocationChangeKind::Start => view.waiting.get(task),
        _ => view.started_on(&machine, task),
    };
    AllocationChange {
        task,
        attempt: attempt.unwrap_or(Attempt(999)),
        machine,
        kind,
    }
}

proptest! {
    #![proptest_config(fixed_config())]

    #[test]
    fn parsers_accept_any_bytes_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse_request(&bytes);
        let _ = parse_response(&bytes, true);
        let _ = parse_submission(&bytes);
        let _ = serde_json::from_slice::<Heartbeat>(&bytes);
    }

    #[test]
    fn truncated_request_is_partial_and_complete_request_is_parsed(
        body in proptest::collection::vec(any::<u8>(), 0..300),
        cut in 0..500usize,
        extra in 0..20usize,
    ) {
        let mut whole = format!("POST /api/jobs HTTP/1.1\r\nHost: x\r\ncontent-length: {}\r\n\r\n", body.len()).into_bytes();
        whole.extend_from_slice(&body);
        let size = whole.len();
        if cut < size {
            prop_assert!(matches!(parse_request(&whole[..cut]), Parsed::Partial));
        }
        whole.extend(std::iter::repeat_n(b'G', extra));
        match parse_request(&whole) {
            Parsed::Complete {
                message: request,
                consumed,
                close,
            } => {
                prop_assert_eq!(consumed, size);
                prop_assert_eq!(request.body, body);
                prop_assert_eq!(request.path, "/api/jobs");
                prop_assert!(!close);
            }
            other => prop_assert!(false, "{other:?}"),
        }
    }

    #[test]
    fn submission_error_names_the_invalid_field(
        at in 0..21usize,
        invalid in prop_oneof![
            Just(serde_json::json!(-1)), Just(serde_json::json!({})), Just(serde_json::json!([1])),
        ],
    ) {
        let mut value = submission();
        let name = value.as_object().unwrap().keys().nth(at).unwrap().clone();
        value[&name] = invalid;
        let error = parse_submission(value.to_string().as_bytes()).unwrap_err();
        prop_assert_eq!(error.field, name);
    }

    #[test]
    fn task_ranges_behave_like_a_map(ops in proptest::collection::vec((any::<bool>(), 0..30u32, 1..4u32), 0..80), n in 0..40u32) {
        let mut task_ranges = TaskRanges::default();
        let mut model: BTreeMap<u32, u32> = BTreeMap::new();
        for (put, task, attempt) in ops {
            if put {
                task_ranges.insert(TaskIndex(task), Attempt(attempt));
                model.insert(task, attempt);
            } else {
                prop_assert_eq!(task_ranges.remove(TaskIndex(task)).map(|a| a.0), model.remove(&task));
            }
            let actual: Vec<(u32, u32)> = task_ranges.iter().map(|(t, a)| (t.0, a.0)).collect();
            let expected: Vec<(u32, u32)> = model.iter().map(|(t, a)| (*t, *a)).collect();
            prop_assert_eq!(actual, expected);
            // Adjacent tasks with the same attempt form one range, and the serialized form is read back unchanged.
            for pair in task_ranges.ranges().windows(2) {
                prop_assert!(pair[0].end < pair[1].start || pair[0].attempt != pair[1].attempt);
            }
            let text = serde_json::to_string(&task_ranges).unwrap();
            prop_assert_eq!(serde_json::from_str::<TaskRanges>(&text).unwrap(), task_ranges.clone());
        }
        let before = task_ranges.clone();
        let taken = task_ranges.split_last(n);
        prop_assert_eq!(taken.len(), n.min(before.len()));
        task_ranges.merge(&taken);
        prop_assert_eq!(task_ranges, before);
    }

    /// Guards against a lost response of the key-value store. Changes that are applied again to an allocation that
    /// already contains all or some of them change nothing more, and no task is lost or in two places.
    #[test]
    fn repeated_allocation_changes_apply_once(operations in proptest::collection::vec(task_operation(), 0..60), written_changes in 0..60usize) {
        let start = ShardAllocation { waiting: TaskRanges::range(0, 20, 1), ..ShardAllocation::default() };
        let mut view = start.clone();
        let mut changes = Vec::new();
        let mut written = start.clone();
        for operation in &operations {
            let change = change_for(&view, operation);
            let attempts_before = view.waiting.get(change.task);
            if view.apply(&change) {
                changes.push(change.clone());
                if change.kind == AllocationChangeKind::Requeue {
                    prop_assert!(view.waiting.get(change.task).unwrap() > change.attempt);
                    prop_assert!(attempts_before.is_none());
                }
            }
            if changes.len() <= written_changes {
                written = view.clone();
            }
            let count = view.waiting.len() + view.started_count() + view.finished.len();
            prop_assert_eq!(count, 20);
        }
        // The first changes were written although the response was lost.
        let mut repeated = written.clone();
        for change in &changes {
            repeated.apply(change);
        }
        let count = repeated.waiting.len() + repeated.started_count() + repeated.finished.len();
        prop_assert_eq!(count, 20);
        for (task, _) in view.finished.iter() {
            prop_assert!(repeated.finished.get(task).is_some());
        }
    }

    /// Guards against an allocation that can no longer be written. After any sequence of starts, ends and requeues
    /// its encoded value stays within the limit and is read back unchanged.
    #[test]
    fn allocation_always_fits_into_the_value_limit(
        operations in proptest::collection::vec((0..6u32, 0..60u32, 0..400usize), 0..120),
        first in 0..60_000u32, attempt in 1..40u32,
    ) {
        let storage_limits = storage_limits(RecordFormat::V2, 2048);
        let mut allocation = ShardAllocation { waiting: TaskRanges::range(first, first + 5_000, attempt), ..ShardAllocation::default() };
        for (what, machine, pick) in operations {
            let started: Vec<(MachineId, TaskIndex, Attempt)> = allocation.started.iter()
                .flat_map(|(m, s)| s.iter().map(|(t, a)| (m.clone(), t, a))).collect();
            if what < 3 {
                // Starts several tasks at once, as a placement pass does.
                let startable_tasks = storage_limits.startable(&allocation, allocation.started_count(), 8);
                for _ in 0..startable_tasks.min(pick as u32) {
                    let Some((task, attempt)) = allocation.waiting.first() else { break };
                    let machine = MachineId::new(&format!("n-{machine:06}"));
                    allocation.apply(&AllocationChange { task, attempt, machine, kind: AllocationChangeKind::Start });
                }
            } else {
                let step = if what == 3 { AllocationChangeKind::Finish } else { AllocationChangeKind::Requeue };
                for (machine, task, attempt) in started.into_iter().skip(pick % 7).step_by(1 + pick % 3).take(pick) {
                    allocation.apply(&AllocationChange { task, attempt, machine, kind: step });
                    let fits = storage_limits.encode_allocation(&allocation).is_some();
                    prop_assert!(fits, "{} bytes", encode_compact(&allocation).unwrap().len());
                }
            }
            let value = storage_limits.encode_allocation(&allocation).unwrap();
            let decoded: ShardAllocation = serde_json::from_value(value).unwrap();
            prop_assert_eq!(&decoded.started, &allocation.started);
            prop_assert_eq!(decoded.waiting.len(), allocation.waiting.len());
            prop_assert_eq!(decoded.finished.is_empty(), allocation.finished.is_empty());
            prop_assert_eq!(&decode_compact(&encode_compact(&allocation).unwrap()).unwrap().waiting, &allocation.waiting);
            // Until the switch of formats, the previous version reads this record and writes the same.
            prop_assert!(previous_formats::round_trips("alloc/0/wk-1", &serde_json::to_value(&allocation).unwrap()));
        }
    }

    #[test]
    fn compact_encoding_round_trips_any_decodable_text(text in "[0-9a-z;:|,.-]{0,40}") {
        if let Some(allocation) = decode_compact(&text) {
            prop_assert_eq!(decode_compact(&encode_compact(&allocation).unwrap()), Some(allocation));
        }
    }

    /// A job is ready when all its dependencies are done, and unsatisfiable when any job upstream is cancelled. Its
    /// urgency is that of its most urgent dependent. Compared with a simple model on arbitrary graphs, also cyclic
    /// ones.
    #[test]
    fn dependency_graph_matches_a_reference_model(
        jobs in proptest::collection::vec(
            (0..6u8, proptest::collection::vec(0..14usize, 0..3), proptest::option::of(50.0..500.0f64)), 1..14),
        cyclic: bool,
    ) {
        let records: Vec<JobRecord> = jobs.iter().enumerate().map(|(n, (state, dependencies, deadline))| {
            let state = match state { 0 => JobState::Done, 1 => JobState::Cancelled, _ => JobState::Open };
            let dependencies: BTreeSet<usize> = dependencies.iter().copied()
                .filter(|x| *x < jobs.len() && *x != n && (cyclic || *x < n)).collect();
            job_record(state, &dependencies.into_iter().collect::<Vec<_>>(), *deadline)
        }).collect();
        let graph = dependency_graph(&records);
        let dependencies = |n: usize| records[n].dependencies.iter().map(|id| id.as_str()[3..].parse::<usize>().unwrap()).collect::<Vec<_>>();
        for (n, r) in records.iter().enumerate().filter(|(_, r)| !r.is_final()) {
            let ready = dependencies(n).iter().all(|x| records[*x].state == JobState::Done);
            prop_assert_eq!(graph.is_ready(&job_id(n), r), ready);
            // All upstream jobs, found through open jobs.
            let mut upstream = BTreeSet::new();
            let mut queue = dependencies(n);
            while let Some(x) = queue.pop() {
                if upstream.insert(x) && !records[x].is_final() {
                    queue.extend(dependencies(x));
                }
            }
            let has_cancelled_upstream = upstream.iter().any(|x| records[*x].state == JobState::Cancelled);
            prop_assert_eq!(graph.unsatisfiable.contains(&job_id(n)), has_cancelled_upstream);
            // No open upstream job is less urgent than this one, and it must start earlier by at least its own
            // duration.
            if cyclic || has_cancelled_upstream {
                continue;
            }
            let own_urgency = graph.urgency(&job_id(n), r.spec.as_ref().unwrap());
            if let Some(deadline) = r.spec.as_ref().unwrap().deadline_s {
                let latest_start_ms = 1_000 + (deadline * 1000.0) as u64 - 10_000;
                // The deadline of a job without dependents or dependencies is handled with the objectives instead.
                prop_assert!(own_urgency.latest_start.map_or(dependencies(n).is_empty(), |at| at.0 <= latest_start_ms));
            }
            for x in dependencies(n).into_iter().filter(|x| !records[*x].is_final()) {
                let upstream_urgency = graph.urgency(&job_id(x), records[x].spec.as_ref().unwrap());
                prop_assert!(upstream_urgency.priority >= own_urgency.priority);
                if let Some(latest) = own_urgency.latest_start {
                    prop_assert!(upstream_urgency.latest_start.unwrap().0 <= latest.0.saturating_sub(10_000));
                }
            }
        }
    }

    #[test]
    fn quota_grants_never_exceed_the_limit(moves in proptest::collection::vec((0..4u32, 0.0..50.0f64, 0.0..1.0f64), 0..60)) {
        let limit = Grant { cpus: 60.0, gpus: 6.0 };
        let mut record = QuotaRecord::default();
        for (shard_id, wanted, share) in moves {
            let current = record.grants.get(&ShardId(shard_id)).copied().unwrap_or_default();
            let used = Grant { cpus: current.cpus * share, gpus: current.gpus * share };
            record = record.regrant(ShardId(shard_id), Grant { cpus: wanted, gpus: wanted / 10.0 }, used, limit);
            prop_assert!(limit.covers(record.granted()));
            prop_assert!(record.grants[&ShardId(shard_id)].covers(used));
        }
    }

    #[test]
    fn partition_assigns_every_task_once(tasks in 1..3000u32, free in proptest::collection::vec(0.0..200.0f64, 3), is_gang: bool) {
        let Submission { job: id, mut spec, .. } = parse_submission(submission().to_string().as_bytes()).unwrap();
        spec.tasks = tasks;
        spec.gang = is_gang;
        let free: BTreeMap<ShardId, ShardCapacity> = free.iter().enumerate().map(|(i, f)| (ShardId(i as u32), ShardCapacity { free: *f, capacity: f * 1.5, waiting: f * 0.5 })).collect();
        let shares = partition(&id, &spec, 0.0, 3, &free);
        let mut all = TaskRanges::default();
        for assignment in &shares {
            all.merge(&assignment.tasks);
        }
        prop_assert_eq!(all, TaskRanges::range(0, tasks, 1));
        prop_assert!(!is_gang || shares.len() == 1);
    }

    #[test]
    fn choose_machines_respects_capacity_and_zone_rules(
        candidates in proptest::collection::vec((0.0..20.0f64, 0..3usize, 0..9u32, any::<bool>()), 0..12),
        want in 1..40u32, gang_scheduled: bool, zone_limit in proptest::option::of(1..20u32),
    ) {
        let task = Resources { cpus: 2.0, gpus: 0.0, mem: 0.0 };
        let candidates: Vec<MachineCandidate> = candidates.into_iter().map(|(cpus, zone, max_tasks, has_image)| MachineCandidate {
            free: Resources { cpus, gpus: 0.0, mem: 1.0 }, zone, max_tasks, scarce: false,
            image: if has_image { ImageState::Cached } else { ImageState::Absent }, active_fetches: 0, start_delay: 0,
        }).collect();
        let mut zones = ZoneRule { gang: gang_scheduled, max_per_zone: zone_limit, ..ZoneRule::default() };
        let chosen = choose_machines(task, want, &candidates, Resources { cpus: 1.0, gpus: 0.0, mem: 0.0 }, &mut zones);
        let mut by_zone: BTreeMap<usize, u32> = BTreeMap::new();
        for (i, n) in &chosen {
            prop_assert!(task.times(f64::from(*n)).cpus <= candidates[*i].free.cpus + 1e-6);
            prop_assert!(*n <= candidates[*i].max_tasks);
            *by_zone.entry(candidates[*i].zone).or_default() += n;
        }
        prop_assert!(chosen.iter().map(|(_, n)| n).sum::<u32>() <= want);
        prop_assert!(!gang_scheduled || by_zone.len() <= 1);
        prop_assert!(zone_limit.is_none_or(|m| by_zone.values().all(|n| *n <= m)));
    }

    /// Guards against late changes: the newest version is kept, regardless of the order in which changes arrive.
    #[test]
    fn record_cache_keeps_the_newest_version(order in Just((1..9u64).collect::<Vec<_>>()).prop_shuffle()) {
        let mut records = RecordCache::default();
        for version in order {
            let value = serde_json::json!({"owner": format!("n{version}"), "lease": version});
            records.apply("part/0", (version != 8).then_some(&value), Version(version));
        }
        prop_assert!(records.shard_leaders.is_empty());
    }
}

#[test]
fn role_is_never_acquired_while_another_controller_may_hold_it() {
    let v = Version(9);
    let other = Some(KeyHolder {
        is_self: false,
        version: v,
    });
    let own = Some(KeyHolder {
        is_self: true,
        version: v,
    });
    let decide = |holder, fencing_token, preferred, vacant_ms| {
        decide_role(&RoleObservation {
            holder,
            fencing_token,
            preferred,
            vacant_ms,
        })
    };
    assert_eq!(decide(other, None, true, 99_999), RoleDecision::Keep);
    assert_eq!(
        decide(own, Some(FencingToken(9)), true, 0),
        RoleDecision::Keep
    );
    // Held from before a restart, or by an acquisition whose response was lost: acquired again at once.
    assert_eq!(decide(own, None, false, 0), RoleDecision::Acquire(v));
    assert_eq!(
        decide(own, Some(FencingToken(4)), true, 0),
        RoleDecision::Acquire(v)
    );
    assert_eq!(
        decide(None, None, true, 0),
        RoleDecision::Acquire(Version(0))
    );
    assert_eq!(decide(None, None, false, 10), RoleDecision::Keep);
}

/// Samples of records written by the version before job dependencies. They must remain readable.
#[test]
fn records_of_the_previous_version_are_read() {
    let allocation =
        serde_json::json!({"w":[[7,9,1]],"s":{"n-000231":[[0,3,1],[4,5,2]]},"f":[[3,4,0]]});
    let read: ShardAllocation = serde_json::from_value(allocation.clone()).unwrap();
    assert_eq!(
        (
            read.waiting.len(),
            read.started_count(),
            read.finished.len()
        ),
        (2, 4, 1)
    );
    assert!(previous_formats::round_trips("alloc/0/wk-1", &allocation));
    let job = serde_json::json!({"state":"Open","tasks":2,"parts":[0,2],"submitted":1764600000000u64,
        "spec":{"class":"c","team":"red","kind":"Batch","priority":"High","tasks":2,
            "room":{"cpus":2.0,"gpus":0.0,"mem":4.9},"image":"i","pull_gb":1.8,"together":false,"apart":false,
            "spot":true,"estimate_s":9.5,"checkpoint_s":0.0,"save_s":0.0}});
    let read: JobRecord = serde_json::from_value(job.clone()).unwrap();
    assert!(read.dependencies.is_empty() && !read.is_final());
    assert_eq!(serde_json::to_value(&read).unwrap(), job);
    assert!(previous_formats::round_trips("job/wk-1", &job));
    let done = serde_json::json!({"state":"Done","tasks":2,"submitted":5});
    let without_shards = read.without_shard(ShardId(0), WallClockMillis(9), RecordFormat::V1);
    let without_shards =
        without_shards.without_shard(ShardId(2), WallClockMillis(9), RecordFormat::V1);
    assert!(previous_formats::round_trips(
        "job/wk-1",
        &serde_json::to_value(without_shards).unwrap()
    ));
    assert!(
        serde_json::from_value::<JobRecord>(done)
            .unwrap()
            .is_final()
    );
    // The reader of that version detects records that it would not preserve.
    let with_dependencies = serde_json::to_value(job_record(JobState::Open, &[3], None)).unwrap();
    assert!(!previous_formats::round_trips(
        "job/wk-1",
        &with_dependencies
    ));
    let compact = storage_limits(RecordFormat::V2, 2048).encode_allocation(&ShardAllocation {
        waiting: TaskRanges::range(0, 9, 1),
        ..ShardAllocation::default()
    });
    assert!(!previous_formats::round_trips(
        "alloc/0/wk-1",
        &compact.unwrap()
    ));
}

/// Guards against records that cannot be written once the key-value store's value limit is 2 KiB. An allocation
/// that the previous version wrote under a limit of 32 KiB, with hundreds of started tasks, shrinks as tasks end
/// until it fits. It must stay writable from then on.
#[test]
fn allocation_written_under_larger_limits_shrinks_until_it_fits() {
    for requeued in [false, true] {
        let mut allocation = ShardAllocation {
            waiting: TaskRanges::range(0, 3_000, 1),
            ..ShardAllocation::default()
        };
        for i in 0..580u32 {
            let machine = MachineId::new(&format!("n-{i:06}"));
            let change = AllocationChange {
                task: TaskIndex(2 * i),
                attempt: Attempt(1),
                machine,
                kind: AllocationChangeKind::Start,
            };
            assert!(allocation.apply(&change));
        }
        assert!(serde_json::to_string(&allocation).unwrap().len() > 8 * 2048);
        let storage_limits = storage_limits(RecordFormat::V2, 2048);
        assert_eq!(storage_limits.startable(&allocation, 580, 8), 0);
        let mut fits = 0;
        for i in 0..580u32 {
            let machine = MachineId::new(&format!("n-{i:06}"));
            let kind = if requeued {
                AllocationChangeKind::Requeue
            } else {
                AllocationChangeKind::Finish
            };
            assert!(allocation.apply(&AllocationChange {
                task: TaskIndex(2 * i),
                attempt: Attempt(1),
                machine,
                kind
            }));
            let fits_now = storage_limits.encode_allocation(&allocation).is_some();
            assert!(fits_now || fits == 0, "it fitted before");
            fits += u32::from(fits_now);
        }
        let more = storage_limits.startable(&allocation, 0, 8);
        assert!(
            fits > 50 && more > 0,
            "{fits} {more} {}",
            encode_compact(&allocation).unwrap().len()
        );
    }
}

#[test]
fn submission_dependencies_are_deduplicated_and_validated() {
    let with = |list: serde_json::Value| {
        let mut body = submission();
        body["Aguarda"] = list;
        parse_submission(body.to_string().as_bytes()).map(|s| s.dependencies)
    };
    assert_eq!(
        with(serde_json::json!(["wk-2", "wk-1", "wk-2"])).unwrap(),
        vec![job_id(1), job_id(2)]
    );
    for none in [serde_json::json!(null), serde_json::json!([])] {
        assert!(with(none).unwrap().is_empty());
    }
    for invalid in [
        serde_json::json!("wk-1"),
        serde_json::json!(["wk-1", 7]),
        serde_json::json!(["WK-1"]),
    ] {
        assert_eq!(with(invalid).unwrap_err().field, "Aguarda");
    }
}

/// Guards against records that exceed the smallest value limit. A list of thousands of dependencies is stored in
/// chunks, and a job becomes ready only when all chunks are known and all dependencies are done. Quota grants and
/// machine types of a typical deployment fit unchanged.
#[test]
fn every_record_fits_into_two_kib() {
    let storage_limits = storage_limits(RecordFormat::V2, 2048);
    let dependencies: Vec<JobId> = (0..5_000)
        .map(|n| JobId::new(&format!("wk-{n:06}")))
        .collect();
    let chunks = storage_limits.dependency_chunks(&dependencies);
    assert_eq!(chunks.concat(), dependencies);
    assert!(
        chunks.len() < 40
            && chunks
                .iter()
                .all(|p| storage_limits.accepts(&serde_json::json!(p)))
    );

    let mut records = RecordCache::default();
    let mut job = job_record(JobState::Open, &[], None);
    job.dependency_chunks = chunks.len() as u32;
    let value = storage_limits.encode_job(&job, |_| true).unwrap();
    records.apply("job/wk-1", Some(&value), Version(1));
    let done = serde_json::json!({"state":"Done","tasks":1,"submitted":5});
    for (n, id) in dependencies.iter().enumerate() {
        records.apply(&format!("job/{id}"), Some(&done), Version(2 + n as u64));
    }
    let ready = |records: &RecordCache| {
        let finished_job = |id: &JobId| records.finished_job(id);
        let length = |_: &snowshelf_model::records::JobSpec| 10_000;
        let source = GraphSource {
            jobs: &records.jobs,
            dependencies_of: &|id, r| records.dependencies_of(id, r),
            finished_job: &finished_job,
            duration_ms: &length,
        };
        let graph =
            DependencyGraph::build(&source, WallClockMillis(9), &DependencyGraph::default());
        graph.is_ready(&job_id(1), &records.jobs[&job_id(1)].value)
    };
    for (n, chunk) in chunks.iter().enumerate() {
        assert!(!ready(&records), "before chunk {n}");
        records.apply(
            &format!("needs/wk-1/{n}"),
            Some(&serde_json::json!(chunk)),
            Version(9_000),
        );
    }
    assert!(ready(&records));

    let mut quota = QuotaRecord::default();
    for shard_id in 0..16 {
        let grant = Grant {
            cpus: 1234.567890123456 + f64::from(shard_id),
            gpus: 0.0,
        };
        quota.grants.insert(ShardId(shard_id), grant);
    }
    assert!(storage_limits.accepts(&serde_json::to_value(&quota).unwrap()));
    let types: Vec<serde_json::Value> = (0..8)
        .map(|n| {
            serde_json::json!({"Label": format!("type-{n}"),
        "Cpus":96.0,"Gpus":8.0,"MemGb":768.0,"LocalGb":200.0,"FetchGbPerS":1.0,"Hourly":12.0,
        "SpotPrice":4.5,"ReadyS":45.0,"Parcelas":["vale-norte","vale-sul","serra-alta"]})
        })
        .collect();
    assert!(storage_limits.accepts(&serde_json::json!(types)));
}

#[test]
fn machines_are_spread_over_shards() {
    let mut counts = [0u32; 3];
    for n in 0..300 {
        counts[snowshelf_model::ids::shard_of(&format!("n-{n:06}"), 3).0 as usize] += 1;
    }
    assert!(counts.iter().all(|c| *c > 60), "{counts:?}");
}

#[test]
fn invalid_requests_are_rejected_with_a_status() {
    let too_large = format!(
        "POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
        64 * 1024 + 1
    );
    assert!(matches!(
        parse_request(too_large.as_bytes()),
        Parsed::Invalid(413)
    ));
    assert!(matches!(
        parse_request(b"\0\0 rubbish\r\n\r\n"),
        Parsed::Invalid(400)
    ));
    let duplicate_length = b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n";
    assert!(matches!(
        parse_request(duplicate_length),
        Parsed::Invalid(400)
    ));
    let unknown = JobId::new("x");
    assert_eq!(unknown.as_str(), "x");
}

/// Guards against peer messages that exceed the frame limit and close the connection. With 10,000 machines each
/// message fits, and every name is sent within a few messages, even if names are added or removed meanwhile.
#[test]
fn ten_thousand_machine_names_are_sent_round_robin_within_the_frame_limit() {
    use prost::Message;
    use snowshelf_model::protocol::peer::{MAX_FRAME_BYTES, PeerStatus, ShardStatus};
    let mut names: BTreeSet<MachineId> = (0..10_000)
        .map(|n| MachineId::new(&format!("n-{n:06}")))
        .collect();
    let (mut heard, mut missing) = (RoundRobinNames::default(), RoundRobinNames::default());
    let mut sent: BTreeSet<String> = BTreeSet::new();
    for message in 0..6 {
        let shard = ShardStatus {
            recent_heartbeats: heard.next(&names, HEARTBEAT_NAMES_BYTES),
            ..ShardStatus::default()
        };
        sent.extend(shard.recent_heartbeats.iter().cloned());
        let status = PeerStatus {
            missing: missing.next(&names, MISSING_NAMES_BYTES),
            shards: vec![shard],
            ..PeerStatus::default()
        };
        let long = status.encoded_len();
        assert!(long < MAX_FRAME_BYTES - 8 * 1024, "{long}");
        names.remove(&MachineId::new(&format!("n-{:06}", 4_000 + message)));
    }
    let left: Vec<&MachineId> = names
        .iter()
        .filter(|n| !sent.contains(n.as_str()))
        .collect();
    assert!(left.is_empty(), "{left:?}");
    // If all names fit into one message, each message contains all of them.
    names.retain(|n| n.as_str() < "n-001000");
    for _ in 0..3 {
        assert_eq!(heard.next(&names, HEARTBEAT_NAMES_BYTES).len(), names.len());
    }
}

proptest! {
    #![proptest_config(fixed_config())]

    /// Guards against controllers that together exceed the key-value store's rates, however the shards are divided,
    /// and against a controller that leads all shards but may use only an equal fraction of the rates.
    #[test]
    fn request_rates_follow_led_shards_and_never_exceed_the_total(
        leaders in prop::collection::vec(0..5usize, 5), rps in 10.0..1_000.0f64, write_rps in 5.0..500.0f64,
    ) {
        let storage_limits = StorageLimits { rps, write_rps, ..storage_limits(RecordFormat::V2, 16_384) };
        let rates = |led| RequestRates::of_controller(&storage_limits, 5, led);
        let of = |node: usize| rates(leaders.iter().filter(|o| **o == node).count());
        let (requests, writes) = (0..5).map(of).fold((0.0, 0.0), |a, b| (a.0 + b.requests_per_s, a.1 + b.writes_per_s));
        prop_assert!(requests <= rps && writes <= write_rps, "{requests} of {rps}, {writes} of {write_rps}");
        prop_assert!(requests > 0.9 * rps && writes > 0.9 * write_rps);
        let as_sole_leader = rates(5).requests_per_s;
        prop_assert!(as_sole_leader > 2.0 * rates(1).requests_per_s);
    }
}
