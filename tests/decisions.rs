//! Unit tests of decisions that are pure functions: autoscaling, placement, partitioning, rate limits and feature
//! activation.

use snowshelf::coordination::api::partition;
use snowshelf::coordination::autoscaler::{MachineSupply, Pool, TaskDemand, plan};
use snowshelf::coordination::placement::{
    ImageState, Load, MachineCandidate, ZoneRule, choose_machines, missed_objectives,
    resource_weights,
};
use snowshelf::coordination::shard_capacity::ShardCapacity;
use snowshelf::settings::Objective;
use snowshelf::storage::kv_client::TokenBucket;
use snowshelf_model::ids::{MonotonicMillis, ShardId};
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::protocol::user::parse_submission;
use snowshelf_model::records::{JobSpec, Resources};
use std::collections::{BTreeMap, BTreeSet};

fn spec(deadline: Option<f64>) -> JobSpec {
    let body = serde_json::json!({"Ref":"wk-1","Lote":"tally","Cuadrilla":"red","Feitio":"batch",
        "Precedencia":"high","Tarefas":30,"Cpus":2.0,"Gpus":0.0,"MemGb":4.0,"Matriz":"i","PullGb":1.0,
        "Modelos":null,"Parcela":null,"Together":false,"Apart":false,"Avulsas":true,
        "PrevisaoS":10.0,"MarcoS":0.0,"GuardaS":0.0,"PrazoS":deadline});
    parse_submission(body.to_string().as_bytes()).unwrap().spec
}

fn machine_type(label: &str, cpus: f64, hourly: f64, spot: Option<f64>) -> (String, MachineType) {
    let t = MachineType {
        name: label.into(),
        cpus,
        gpus: 0.0,
        mem: 4.0 * cpus,
        fetch_gb_per_s: 0.1,
        hourly_price: hourly,
        spot_price: spot,
        ready_s: 30.0,
        local_gb: 30.0,
        zones: vec!["a".into()],
    };
    (label.into(), t)
}

fn task_demand(tasks: u32, spot: bool) -> TaskDemand {
    TaskDemand {
        is_reservation: false,
        zones: ZoneRule::default(),
        shard: None,
        closed_pools: Vec::new(),
        resources: Resources {
            cpus: 2.0,
            gpus: 0.0,
            mem: 4.0,
        },
        tasks,
        types: None,
        zone: None,
        spot,
        over_quota_cpu_s: 0.0,
        estimate_s: 10.0,
        patience_s: 20.0,
        unmet_s: 0.0,
    }
}

fn machine_capacity() -> Resources {
    Resources {
        cpus: 8.0,
        gpus: 0.0,
        mem: 32.0,
    }
}

fn pool(spot: bool) -> Pool {
    Pool {
        model: "s".into(),
        zone: "a".into(),
        spot,
    }
}

/// Guards against renting expensive on-demand machines for a backlog that spot machines clear in time.
#[test]
fn plan_rents_on_demand_machines_only_for_a_long_backlog() {
    let types: BTreeMap<_, _> = [machine_type("s", 8.0, 0.8, Some(0.2))].into();
    let supply = || {
        (0..4)
            .map(|_| MachineSupply {
                pool: pool(true),
                shard: Some(ShardId(0)),
                free: machine_capacity(),
                lasting_cpus: 0.0,
            })
            .collect::<Vec<_>>()
    };
    let requests = |demand: &[TaskDemand], excluded: &BTreeSet<Pool>| {
        plan(demand, supply(), &types, excluded).requests
    };
    let refused_pools: BTreeSet<Pool> = [pool(true)].into();
    // 32 CPUs clear 16 tasks at once and 4 more within seconds, so no on-demand machine is rented.
    assert!(requests(&[task_demand(20, true)], &refused_pools).is_empty());
    // 600 tasks of ten seconds would wait for minutes.
    assert!(requests(&[task_demand(600, true)], &refused_pools).contains_key(&pool(false)));
    // So would 20 tasks behind others that exceed the team's limit. When each team's demand was cut to its limit,
    // tasks of 80,000 CPUs waited and no on-demand machine was rented (inc-2443).
    let behind_quota = TaskDemand {
        over_quota_cpu_s: 6_000.0,
        ..task_demand(20, true)
    };
    assert!(requests(&[behind_quota], &refused_pools).contains_key(&pool(false)));
    // So do 20 tasks that have waited in vain for as long as they may.
    let waited = TaskDemand {
        unmet_s: 20.0,
        ..task_demand(20, true)
    };
    assert!(requests(&[waited], &refused_pools).contains_key(&pool(false)));
    // While spot machines are available, they are rented at once and on-demand machines are not.
    let rent = requests(&[task_demand(600, true)], &BTreeSet::new());
    assert!(rent.contains_key(&pool(true)) && !rent.contains_key(&pool(false)));
    // A job that may not use spot machines has no cheaper option.
    let rent = requests(&[task_demand(8, false)], &BTreeSet::new());
    assert_eq!(rent, [(pool(false), 2)].into());
}

/// Guards against tasks that wait for CPUs which replicas of services hold for good.
#[test]
fn plan_expects_no_cpus_from_services() {
    let types: BTreeMap<_, _> = [machine_type("s", 8.0, 0.8, Some(0.2))].into();
    let refused_pools: BTreeSet<Pool> = [pool(true)].into();
    let requests = |lasting_cpus: f64| {
        let full = MachineSupply {
            pool: pool(true),
            shard: Some(ShardId(0)),
            free: Resources::default(),
            lasting_cpus,
        };
        plan(&[task_demand(1, true)], vec![full], &types, &refused_pools).requests
    };
    assert!(requests(0.0).is_empty());
    assert_eq!(requests(8.0), [(pool(false), 1)].into());
}

/// Guards against requests in a zone where the job's tasks may not run, and against counting machines of another shard
/// for a job that cannot leave its own.
#[test]
fn plan_keeps_zone_constraints_and_shards() {
    let mut types: BTreeMap<_, _> = [machine_type("s", 8.0, 0.8, None)].into();
    types.get_mut("s").unwrap().zones = vec!["a".into(), "b".into()];
    let in_zone = |zone: &str| Pool {
        zone: zone.into(),
        ..pool(false)
    };
    let empty_machine = |zone: &str| MachineSupply {
        pool: in_zone(zone),
        shard: Some(ShardId(0)),
        free: machine_capacity(),
        lasting_cpus: 0.0,
    };
    let requests = |demand: &TaskDemand, zone: &str| {
        let supply = vec![empty_machine(zone)];
        plan(
            std::slice::from_ref(demand),
            supply,
            &types,
            &BTreeSet::new(),
        )
        .requests
    };
    let mut spread = task_demand(4, false);
    spread.zones.max_per_zone = Some(4);
    spread.zones.add_tasks(Some("a".to_string()), 4);
    assert_eq!(requests(&spread, "a"), [(in_zone("b"), 1)].into());
    assert!(requests(&spread, "b").is_empty());
    spread.shard = Some(ShardId(1));
    assert_eq!(requests(&spread, "b"), [(in_zone("b"), 1)].into());
    // All tasks share the zone where half of them fit.
    let mut gang = task_demand(8, false);
    gang.zones.gang = true;
    assert_eq!(requests(&gang, "b"), [(in_zone("b"), 1)].into());
}

/// Guards against a burst in which only jobs that have already missed an objective are served, so that all other
/// jobs miss it as well.
#[test]
fn missed_objectives_counts_every_missed_objective() {
    let objective = |kind: &str, within: f64| Objective {
        kind: kind.into(),
        class: Some("tally".into()),
        within_s: Some(within),
        share: Some(0.9),
    };
    let objectives = [
        objective("wait", 40.0),
        objective("wait", 80.0),
        objective("finished", 100.0),
    ];
    let at = |age| missed_objectives(&spec(None), &objectives, age, 0.0);
    // The estimate is 10 s, so the latest start that meets the completion objective is at 90 s.
    assert_eq!([at(39.0), at(41.0), at(81.0), at(91.0)], [0, 1, 2, 3]);
    assert_eq!(missed_objectives(&spec(Some(300.0)), &[], 299.0, 0.0), 0);
    assert_eq!(missed_objectives(&spec(Some(300.0)), &[], 301.0, 0.0), 1);
}

fn capacities(list: [(f64, f64, f64); 3]) -> BTreeMap<ShardId, ShardCapacity> {
    let shard_capacity = |(free, capacity, waiting)| ShardCapacity {
        free,
        capacity,
        waiting,
    };
    (0..).map(ShardId).zip(list.map(shard_capacity)).collect()
}

fn partition_sizes(
    capacities: &BTreeMap<ShardId, ShardCapacity>,
    fetch_s: f64,
) -> BTreeMap<u32, u32> {
    let assignments = partition(
        &snowshelf_model::ids::JobId::new("wk-1"),
        &spec(None),
        fetch_s,
        3,
        capacities,
    );
    assignments
        .iter()
        .map(|a| (a.shard.0, a.tasks.len()))
        .collect()
}

/// Guards against an allocation in every shard for each job. At some hundred jobs per minute the writes of these
/// records alone used up the key-value store's write rate.
#[test]
fn partition_uses_no_more_shards_than_needed() {
    // The job has 30 tasks of two CPUs.
    let fits_one = capacities([(20.0, 100.0, 0.0), (90.0, 100.0, 0.0), (80.0, 100.0, 0.0)]);
    assert_eq!(partition_sizes(&fits_one, 0.0), [(1, 30)].into());
    let fits_two = capacities([(2.0, 100.0, 0.0), (40.0, 100.0, 0.0), (30.0, 100.0, 0.0)]);
    assert_eq!(partition_sizes(&fits_two, 0.0), [(1, 20), (2, 10)].into());
    // A shard that would take only a few tasks gets none.
    let little_capacity = capacities([(2.0, 100.0, 0.0), (4.0, 100.0, 0.0), (2.0, 100.0, 0.0)]);
    assert_eq!(partition_sizes(&little_capacity, 0.0).len(), 1);
}

/// Guards against equally long queues in shards of different capacity, and against sending all jobs to the shard
/// that had most capacity a moment ago.
#[test]
fn partition_prefers_the_shortest_queue_relative_to_capacity() {
    let queues = capacities([(0.0, 100.0, 100.0), (0.0, 300.0, 200.0), (4.0, 100.0, 90.0)]);
    assert_eq!(partition_sizes(&queues, 0.0), [(1, 30)].into());
    let mut shard = ShardCapacity {
        free: 50.0,
        capacity: 100.0,
        waiting: 0.0,
    };
    shard.assign(60.0);
    assert_eq!((shard.free, shard.waiting), (0.0, 10.0));
}

/// Guards against machines that fetch one image after another. When any shard could get any job, a third of all
/// CPUs waited for images.
#[test]
fn partition_places_jobs_with_the_same_image_in_the_same_shard() {
    let even = capacities([(90.0, 100.0, 0.0); 3]);
    let home = partition_sizes(&even, 20.0);
    let Some((shard_id, _)) = home.first_key_value() else {
        panic!("no share");
    };
    assert_eq!(home.len(), 1);
    // Another shard is used when the queue takes longer than the fetch.
    let mut queues = capacities([(90.0, 100.0, 0.0); 3]);
    queues.insert(
        ShardId(*shard_id),
        capacities([(0.0, 100.0, 900.0); 3])[&ShardId(0)],
    );
    assert!(!partition_sizes(&queues, 20.0).contains_key(shard_id));
}

/// Equation 1 of the paper: a resource weighs more if jobs request much of it, if much of it is allocated, and if
/// it is scarce.
#[test]
fn resource_weights_follow_equation_1() {
    let load = Load {
        allocated: Resources {
            cpus: 8.0,
            gpus: 0.0,
            mem: 10.0,
        },
        capacity: Resources {
            cpus: 16.0,
            gpus: 0.0,
            mem: 100.0,
        },
    };
    let s = spec(None);
    let w = resource_weights([&s].into_iter(), 60.0, load);
    assert!((w.cpus - 2.0 * 0.5 / 16.0).abs() < 1e-12);
    assert!((w.mem - 4.0 * 0.1 / 100.0).abs() < 1e-12);
    assert_eq!(w.gpus, 0.0);
}

#[test]
fn choose_machines_orders_by_scarcity_then_image_then_rank() {
    let candidate = |cpus: f64, scarce: bool, image: ImageState| MachineCandidate {
        free: Resources {
            cpus,
            gpus: 0.0,
            mem: 64.0,
        },
        zone: 0,
        scarce,
        max_tasks: 99,
        image,
        active_fetches: 0,
        start_delay: 0,
    };
    let candidates = [
        candidate(2.0, true, ImageState::Cached),
        candidate(8.0, false, ImageState::Absent),
        candidate(8.0, false, ImageState::Cached),
        candidate(4.0, false, ImageState::Cached),
    ];
    let w = Resources {
        cpus: 1.0,
        gpus: 0.0,
        mem: 0.0,
    };
    let task = Resources {
        cpus: 2.0,
        gpus: 0.0,
        mem: 1.0,
    };
    let chosen = choose_machines(task, 2, &candidates, w, &mut ZoneRule::default());
    // The candidate that is filled exactly comes first.
    assert_eq!(chosen, vec![(3, 2)]);
    let order: Vec<usize> = choose_machines(task, 99, &candidates, w, &mut ZoneRule::default())
        .iter()
        .map(|c| c.0)
        .collect();
    assert_eq!(order[3], 0);
    assert_eq!(order[2], 1);
}

/// Guards against more than half of a job's tasks in one zone after a failover. Machines that have not sent a
/// heartbeat yet were counted as a zone of their own.
#[test]
fn zone_rule_counts_tasks_in_unknown_zone_in_every_zone() {
    let candidate = MachineCandidate {
        free: machine_capacity(),
        zone: 0,
        max_tasks: 99,
        scarce: false,
        image: ImageState::Cached,
        active_fetches: 0,
        start_delay: 0,
    };
    let task = task_demand(1, true).resources;
    let placed = |mut zones: ZoneRule| {
        let chosen = choose_machines(
            task,
            9,
            std::slice::from_ref(&candidate),
            machine_capacity(),
            &mut zones,
        );
        chosen.iter().map(|(_, n)| n).sum::<u32>()
    };
    let apart = || ZoneRule {
        max_per_zone: Some(3),
        ..ZoneRule::default()
    };
    assert_eq!(placed(apart()), 3);
    let mut unknown = apart();
    unknown.add_tasks(None, 2);
    assert_eq!(placed(unknown), 1);
    let mut elsewhere = apart();
    elsewhere.add_tasks(Some(1), 2);
    assert_eq!(placed(elsewhere), 3);
    let mut together = ZoneRule {
        gang: true,
        ..ZoneRule::default()
    };
    together.add_tasks(None, 1);
    assert_eq!(placed(together), 0);
}

/// Guards against a request rate that low-priority requests use up before leases are renewed.
#[test]
fn token_bucket_reserve_leaves_tokens_for_higher_priorities() {
    let mut bucket = TokenBucket::new(10.0);
    let mut polls = 0;
    while bucket.has_tokens(MonotonicMillis(0), 1.0, 0.3) {
        bucket.consume(1.0);
        polls += 1;
    }
    assert_eq!(polls, 7);
    assert!(bucket.has_tokens(MonotonicMillis(0), 1.0, 0.0));
    assert!(
        !bucket.has_tokens(MonotonicMillis(0), 1.0, 0.3)
            && bucket.has_tokens(MonotonicMillis(100), 1.0, 0.3)
    );
}

/// Guards against a shard that moved back and forth between two controllers for eight seconds. Each released it to
/// its home member, which the key-value store served again but whose watch still hung (inc-4276).
#[test]
fn available_homes_excludes_members_with_a_stale_watch() {
    use snowshelf::coordination::config::Config;
    use snowshelf::coordination::gossip::Gossip;
    use snowshelf_model::protocol::peer::PeerStatus;
    let settings = snowshelf::settings::Settings::parse(
        "member = \"a\"\nserve_on = \"10.0.0.1:1\"\npeer_listen = \"10.0.0.1:2\"\n\
         [[peers]]\nmember = \"b\"\naddress = \"10.0.0.2:2\"\n\
         [outside]\ncloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[deployment]\nnodes = 2\n\
         [deployment.workers]\nreport_s = 1.0\nlease_s = 10.0\ncancel_s = 9.0\n\
         [deployment.state]\nrps = 9.0\nwrite_rps = 9.0\nvalue_kb = 9.0\ntxn_ops = 9\n\
         [deployment.cloud]\nrps = 2.0\n[deployment.limits]\nmem_mb = 99.0\nsockets = 99\n",
    )
    .unwrap();
    let cfg = Config {
        local_member: snowshelf_model::ids::Member::new("a"),
        members: settings.members(),
        shard_count: 2,
        settings,
        ops: snowshelf::operator::OperatorSettings::default(),
        capabilities: Default::default(),
    };
    let status = |watch_silent_ms| PeerStatus {
        member: "b".into(),
        up_ms: 60_000,
        watch_silent_ms,
        ..PeerStatus::default()
    };
    let mut peers = Gossip::default();
    peers.record(MonotonicMillis(1), status(9_000), &cfg);
    assert!(peers.available_homes(MonotonicMillis(2), &cfg).is_empty());
    peers.record(MonotonicMillis(3), status(100), &cfg);
    assert_eq!(
        peers.available_homes(MonotonicMillis(4), &cfg),
        [ShardId(1)].into()
    );
    // A status that is too old is ignored.
    assert!(
        peers
            .available_homes(MonotonicMillis(9_000), &cfg)
            .is_empty()
    );
}

/// Guards against controllers that retry simultaneously when a service is available again.
#[test]
fn retry_delays_grow_and_are_jittered() {
    use snowshelf::effects::Effects;
    let (mut a, mut b) = (Effects::new(1), Effects::new(2));
    let draws: Vec<(u64, u64)> = (0..8)
        .map(|n| (a.retry_at(200, n).0, b.retry_at(200, n).0))
        .collect();
    for (n, (x, _)) in draws.iter().enumerate() {
        let delay = (200u64 << n.min(6)).min(4_000);
        assert!((delay / 2..=delay * 3 / 2).contains(x));
    }
    assert!(draws.iter().any(|(x, y)| x != y));
}

/// Guards against an allocation that exceeds the value limit. Its write would be refused forever, and with it all
/// other writes of its shard.
#[test]
fn full_allocation_record_fits_into_the_value_limit() {
    use snowshelf_model::ids::{Attempt, MachineId, TaskIndex};
    use snowshelf_model::records::{AllocationChange, AllocationChangeKind, ShardAllocation};
    use snowshelf_model::task_ranges::TaskRanges;
    for value_bytes in [16 * 1024, 32 * 1024] {
        let max_tasks = ShardAllocation::max_started(value_bytes);
        assert!(max_tasks >= 250);
        let mut allocation = ShardAllocation {
            waiting: TaskRanges::range(90_000, 90_000 + 2 * max_tasks, 10),
            ..ShardAllocation::default()
        };
        // Every other task runs on a machine of its own, and the tasks in between wait. The encoding cannot merge
        // ranges then.
        for i in 0..max_tasks {
            let change = AllocationChange {
                task: TaskIndex(90_000 + 2 * i),
                attempt: Attempt(10),
                machine: MachineId::new(&format!("n-{:06}", 900_000 + i)),
                kind: AllocationChangeKind::Start,
            };
            assert!(allocation.apply(&change));
        }
        let size = serde_json::to_vec(&allocation).unwrap().len();
        assert!(size < value_bytes, "{size} of {value_bytes}");
    }
}

/// Guards against writing records of a feature that some controller does not know. Regardless of the order of
/// declarations, a capability is agreed on only once every controller has declared it. An agreed or unknown
/// capability is never revoked.
#[test]
fn capability_is_agreed_only_after_every_controller_declares_it() {
    use snowshelf::coordination::format_migration::next_declaration;
    use snowshelf::storage::record_cache::VersionedRecord;
    use snowshelf_model::ids::{Member, Version};
    use snowshelf_model::records::{Capability, FORMAT_V2, FormatRecord};
    use std::collections::BTreeSet;
    use std::rc::Rc;
    let all = [Member::new("a"), Member::new("b")];
    let can = |names: &[&str]| -> BTreeSet<Capability> {
        names.iter().map(|n| Capability::named(n)).collect()
    };
    let declaration = |version, format, names: &[&str]| VersionedRecord {
        version: Version(version),
        value: Rc::new(FormatRecord {
            format,
            capabilities: can(names),
        }),
    };
    let mut declared = BTreeMap::new();
    let next = |mine: &[&str], declared: &BTreeMap<_, _>, agreed| {
        next_declaration(&all[0], &can(mine), &all, declared, agreed)
            .map(|d| (d.key, d.version, d.record))
    };
    // The controller writes its own declaration first, and no agreement before all controllers have declared.
    let (key, version, record) = next(&["x"], &declared, None).unwrap();
    assert_eq!(
        (key.as_str(), version.0, record.capabilities),
        ("member/a", 0, can(&["x"]))
    );
    declared.insert(all[0].clone(), declaration(5, FORMAT_V2, &["x"]));
    assert!(next(&["x"], &declared, None).is_none());
    declared.insert(all[1].clone(), declaration(6, FORMAT_V2, &[]));
    let (key, _, record) = next(&["x"], &declared, None).unwrap();
    assert_eq!((key.as_str(), record.capabilities), ("format", can(&[])));
    // The feature is enabled on the other controller too. A capability that a newer version has agreed on stays.
    declared.insert(all[1].clone(), declaration(8, FORMAT_V2, &["x", "z"]));
    let agreed = declaration(7, FORMAT_V2, &["y"]);
    let (_, version, record) = next(&["x"], &declared, Some(&agreed)).unwrap();
    assert_eq!((version.0, record.capabilities), (7, can(&["x", "y"])));
    // The feature is disabled again: the declaration changes, the agreement does not.
    let agreed_before = declaration(9, FORMAT_V2, &["x", "y"]);
    let (key, version, record) = next(&[], &declared, Some(&agreed_before)).unwrap();
    assert_eq!(
        (key.as_str(), version.0, record.capabilities),
        ("member/a", 5, can(&[]))
    );
    declared.insert(all[0].clone(), declaration(10, FORMAT_V2, &[]));
    assert!(next(&[], &declared, Some(&agreed_before)).is_none());
}

/// Guards against rebuilding the calendar with all its entries at each change of a spot price, twice per minute. A
/// new machine type, more machines, or the passage of time do require it.
#[test]
fn calendar_is_rebuilt_for_capacity_and_time_but_not_for_prices() {
    use snowshelf::coordination::reservations::calendar_limits;
    use snowshelf::operator::{CalendarSettings, KnownCapacity};
    use snowshelf_calendar::calendar::Calendar;
    use snowshelf_model::ids::WallClockMillis;
    use std::sync::Arc;
    let ops = CalendarSettings::default();
    let types = |price| BTreeMap::from([machine_type("a", 8.0, price, Some(price / 3.0))]);
    let first = calendar_limits(&types(0.5), &[], &ops);
    let calendar = Calendar::new(Arc::new(first), WallClockMillis(0));
    assert!(calendar.is_current(&calendar_limits(&types(0.6), &[], &ops), WallClockMillis(0)));
    let mut more_types = types(0.5);
    more_types.extend([machine_type("b", 4.0, 0.1, None)]);
    assert!(!calendar.is_current(&calendar_limits(&more_types, &[], &ops), WallClockMillis(0)));
    let known = KnownCapacity {
        zone: "a".to_string(),
        model: "a".to_string(),
        machines: 3,
    };
    let known = CalendarSettings {
        capacity: vec![known],
        ..ops.clone()
    };
    assert!(!calendar.is_current(
        &calendar_limits(&types(0.5), &[], &known),
        WallClockMillis(0)
    ));
    let day = 86_400_000;
    assert!(
        calendar.covers_horizon(WallClockMillis(day))
            && !calendar.covers_horizon(WallClockMillis(day + 1))
    );
}
