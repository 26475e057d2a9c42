//! Decisions as pure functions, each test named after the failure it guards against.

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

fn want(tasks: u32, spot: bool) -> TaskDemand {
    TaskDemand {
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
    }
}

fn pool_room() -> Resources {
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

/// Guards against renting dear machines for a backlog that cheap ones clear in time.
#[test]
fn dear_machines_are_rented_only_for_what_would_wait_too_long() {
    let types: BTreeMap<_, _> = [machine_type("s", 8.0, 0.8, Some(0.2))].into();
    let have = || {
        (0..4)
            .map(|_| MachineSupply {
                pool: pool(true),
                free: pool_room(),
            })
            .collect::<Vec<_>>()
    };
    let no_spot: BTreeSet<Pool> = [pool(true)].into();
    // 32 CPUs clear 16 tasks at once and 4 more within seconds: nothing dear.
    assert!(plan(&[want(20, true)], have(), &types, &no_spot).is_empty());
    // Six hundred tasks of ten seconds would wait for minutes.
    assert!(plan(&[want(600, true)], have(), &types, &no_spot).contains_key(&pool(false)));
    // So would twenty behind what the team's limit holds back (inc-2443: 80,000 CPUs waited and
    // nothing dear was rented, as each team's demand was cut to its limit).
    let behind = TaskDemand {
        over_quota_cpu_s: 6_000.0,
        ..want(20, true)
    };
    assert!(plan(&[behind], have(), &types, &no_spot).contains_key(&pool(false)));
    // While cheap ones are to be had, they are rented at once and the dear ones are not.
    let rent = plan(&[want(600, true)], have(), &types, &BTreeSet::new());
    assert!(rent.contains_key(&pool(true)) && !rent.contains_key(&pool(false)));
    // A job that may not use spot machines has no cheaper choice.
    let rent = plan(&[want(8, false)], have(), &types, &BTreeSet::new());
    assert_eq!(rent, [(pool(false), 2)].into());
}

/// Guards against a burst in which only jobs that have missed an aim are served, so that all the
/// others miss it as well.
#[test]
fn a_job_yields_with_every_aim_that_it_has_missed() {
    let aim = |kind: &str, within: f64| Objective {
        kind: kind.into(),
        class: Some("tally".into()),
        within_s: Some(within),
        share: Some(0.9),
    };
    let aims = [aim("wait", 40.0), aim("wait", 80.0), aim("finished", 100.0)];
    let at = |age| missed_objectives(&spec(None), &aims, age, 0.0);
    // The estimate is 10 s, so that the last chance to be finished in time is at 90 s.
    assert_eq!([at(39.0), at(41.0), at(81.0), at(91.0)], [0, 1, 2, 3]);
    assert_eq!(missed_objectives(&spec(Some(300.0)), &[], 299.0, 0.0), 0);
    assert_eq!(missed_objectives(&spec(Some(300.0)), &[], 301.0, 0.0), 1);
}

fn rooms(list: [(f64, f64, f64); 3]) -> BTreeMap<ShardId, ShardCapacity> {
    let room = |(free, capacity, waiting)| ShardCapacity {
        free,
        capacity,
        waiting,
    };
    (0..).map(ShardId).zip(list.map(room)).collect()
}

fn shares(rooms: &BTreeMap<ShardId, ShardCapacity>, fetch_s: f64) -> BTreeMap<u32, u32> {
    let assignments = partition(
        &snowshelf_model::ids::JobId::new("wk-1"),
        &spec(None),
        fetch_s,
        3,
        rooms,
    );
    assignments
        .iter()
        .map(|a| (a.shard.0, a.tasks.len()))
        .collect()
}

/// Guards against a share in every part for each job: at some hundred jobs a minute the records'
/// writes alone used up what the state service takes.
#[test]
fn a_job_is_split_over_no_more_parts_than_it_needs() {
    // Thirty tasks of two CPUs.
    let fits_one = rooms([(20.0, 100.0, 0.0), (90.0, 100.0, 0.0), (80.0, 100.0, 0.0)]);
    assert_eq!(shares(&fits_one, 0.0), [(1, 30)].into());
    let fits_two = rooms([(2.0, 100.0, 0.0), (40.0, 100.0, 0.0), (30.0, 100.0, 0.0)]);
    assert_eq!(shares(&fits_two, 0.0), [(1, 20), (2, 10)].into());
    // Nothing is given to a part that would take a few tasks only.
    let scraps = rooms([(2.0, 100.0, 0.0), (4.0, 100.0, 0.0), (2.0, 100.0, 0.0)]);
    assert_eq!(shares(&scraps, 0.0).len(), 1);
}

/// Guards against queues of equal length before parts of unequal size, and against all jobs
/// waiting in the part that had most room a moment ago.
#[test]
fn what_waits_goes_to_the_shortest_queue_for_its_capacity() {
    let queues = rooms([(0.0, 100.0, 100.0), (0.0, 300.0, 200.0), (4.0, 100.0, 90.0)]);
    assert_eq!(shares(&queues, 0.0), [(1, 30)].into());
    let mut room = ShardCapacity {
        free: 50.0,
        capacity: 100.0,
        waiting: 0.0,
    };
    room.assign(60.0);
    assert_eq!((room.free, room.waiting), (0.0, 10.0));
}

/// Guards against machines that fetch one image after another: with every job anywhere, a third of
/// all CPUs waited for images.
#[test]
fn jobs_with_the_same_image_meet_in_the_same_part() {
    let even = rooms([(90.0, 100.0, 0.0); 3]);
    let home = shares(&even, 20.0);
    let Some((shard_id, _)) = home.first_key_value() else {
        panic!("no share");
    };
    assert_eq!(home.len(), 1);
    // Not at the price of a queue that is longer than the fetch.
    let mut queues = rooms([(90.0, 100.0, 0.0); 3]);
    queues.insert(
        ShardId(*shard_id),
        rooms([(0.0, 100.0, 900.0); 3])[&ShardId(0)],
    );
    assert!(!shares(&queues, 20.0).contains_key(shard_id));
}

/// Equation 1 of the paper: a resource that is asked for, booked and scarce weighs more.
#[test]
fn weights_follow_the_paper() {
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
fn candidates_go_by_price_then_image_then_rank() {
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

/// Guards against more than half of a job in one zone after a failover: machines of which
/// no heartbeat had come yet counted as a zone of their own.
#[test]
fn tasks_in_an_unknown_zone_may_be_in_any() {
    let candidate = MachineCandidate {
        free: pool_room(),
        zone: 0,
        max_tasks: 99,
        scarce: false,
        image: ImageState::Cached,
        active_fetches: 0,
        start_delay: 0,
    };
    let task = want(1, true).resources;
    let placed = |mut zones: ZoneRule| {
        let chosen = choose_machines(
            task,
            9,
            std::slice::from_ref(&candidate),
            pool_room(),
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

/// Guards against a budget that low-ranking requests use up before leases are renewed.
#[test]
fn a_reserve_keeps_room_for_what_matters_more() {
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

/// Guards against a shard that wandered between two controllers for eight seconds, each releasing it
/// to its home member, which was served again but whose watch still hung (inc-4276).
#[test]
fn a_shard_is_released_only_to_a_home_member_whose_watch_is_current() {
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

/// Guards against controllers that come back to a service in step after it was away.
#[test]
fn pauses_between_tries_grow_and_differ() {
    use snowshelf::effects::Effects;
    let (mut a, mut b) = (Effects::new(1), Effects::new(2));
    let draws: Vec<(u64, u64)> = (0..8)
        .map(|n| (a.retry_at(200, n).0, b.retry_at(200, n).0))
        .collect();
    for (n, (x, _)) in draws.iter().enumerate() {
        let pause = (200u64 << n.min(6)).min(4_000);
        assert!((pause / 2..=pause * 3 / 2).contains(x));
    }
    assert!(draws.iter().any(|(x, y)| x != y));
}

/// Guards against a share that outgrows the largest value: its write would be refused for ever, and
/// all others of its part with it.
#[test]
fn a_full_share_stays_under_the_largest_value() {
    use snowshelf_model::ids::{Attempt, MachineId, TaskIndex};
    use snowshelf_model::records::{AllocationChange, AllocationChangeKind, ShardAllocation};
    use snowshelf_model::task_ranges::TaskRanges;
    for value_bytes in [16 * 1024, 32 * 1024] {
        let most = ShardAllocation::max_started(value_bytes);
        assert!(most >= 250);
        let mut share = ShardAllocation {
            waiting: TaskRanges::range(90_000, 90_000 + 2 * most, 10),
            ..ShardAllocation::default()
        };
        // Every other task on a machine of its own, the rest waiting between them.
        for i in 0..most {
            let step = AllocationChange {
                task: TaskIndex(90_000 + 2 * i),
                attempt: Attempt(10),
                machine: MachineId::new(&format!("n-{:06}", 900_000 + i)),
                kind: AllocationChangeKind::Start,
            };
            assert!(share.apply(&step));
        }
        let size = serde_json::to_vec(&share).unwrap().len();
        assert!(size < value_bytes, "{size} of {value_bytes}");
    }
}

/// Guards against records of a feature written while some controller does not know them: whatever
/// order the declarations come in, a capability is agreed on only once every controller has declared
/// it, and what is agreed on, or not known here, is never taken back.
#[test]
fn a_capability_is_agreed_on_only_when_every_controller_has_declared_it() {
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
    // First its own declaration, and nothing before all have declared.
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
    // The other one is switched on too; what a newer version has agreed on stays.
    declared.insert(all[1].clone(), declaration(8, FORMAT_V2, &["x", "z"]));
    let agreed = declaration(7, FORMAT_V2, &["y"]);
    let (_, version, record) = next(&["x"], &declared, Some(&agreed)).unwrap();
    assert_eq!((version.0, record.capabilities), (7, can(&["x", "y"])));
    // Switched off again: its own declaration changes, the agreement does not.
    let agreed_before = declaration(9, FORMAT_V2, &["x", "y"]);
    let (key, version, record) = next(&[], &declared, Some(&agreed_before)).unwrap();
    assert_eq!(
        (key.as_str(), version.0, record.capabilities),
        ("member/a", 5, can(&[]))
    );
    declared.insert(all[0].clone(), declaration(10, FORMAT_V2, &[]));
    assert!(next(&[], &declared, Some(&agreed_before)).is_none());
}

/// Guards against a calendar that is built anew with every change of a spot price, twice a minute, with
/// all that is in it; a new type or more machines do change it, and so does time.
#[test]
fn prices_do_not_concern_the_calendar() {
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
    let mut more = types(0.5);
    more.extend([machine_type("b", 4.0, 0.1, None)]);
    assert!(!calendar.is_current(&calendar_limits(&more, &[], &ops), WallClockMillis(0)));
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
