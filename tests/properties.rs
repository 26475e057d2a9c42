//! Generated inputs for formats and state machines. The seed is fixed: the verdict never changes.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use snowshelf::bookkeeping::mirror::Mirror;
use snowshelf::bookkeeping::records::{Alloc, Grant, QuotaRecord, Room, Step, StepKind};
use snowshelf::bookkeeping::spans::Spans;
use snowshelf::coordination::gateway::split;
use snowshelf::coordination::ownership::{Verdict, verdict};
use snowshelf::coordination::peers::PartRoom;
use snowshelf::coordination::placement::{Image, Seat, ZoneRule, place};
use snowshelf::ids::{Attempt, JobId, MachineId, PartId, TaskNo, Token, Version};
use snowshelf::protocol::user::parse_submission;
use snowshelf::protocol::worker::Report;
use snowshelf::transport::http::{Parsed, parse_answer, parse_request};
use std::collections::BTreeMap;

fn fixed() -> Config {
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
        "PrevisaoS":240.0,"MarcoS":30.0,"GuardaS":4.0,"PrazoS":900.0})
}

#[derive(Clone, Debug)]
enum Op {
    Start(u32, u8),
    Finish(u32, u8),
    Requeue(u32, u8),
}

fn op() -> impl Strategy<Value = Op> {
    (0..20u32, 0..3u8, 0..3u8).prop_map(|(task, machine, what)| match what {
        0 => Op::Start(task, machine),
        1 => Op::Finish(task, machine),
        _ => Op::Requeue(task, machine),
    })
}

/// The step that an owner looking at `view` would take for an operation.
fn step_for(view: &Alloc, op: &Op) -> Step {
    let (task, machine, what) = match op {
        Op::Start(t, m) => (*t, *m, StepKind::Start),
        Op::Finish(t, m) => (*t, *m, StepKind::Finish),
        Op::Requeue(t, m) => (*t, *m, StepKind::Requeue),
    };
    let machine = MachineId::new(&format!("n-{machine}"));
    let task = TaskNo(task);
    let attempt = match what {
        StepKind::Start => view.waiting.get(task),
        _ => view.started_on(&machine, task),
    };
    Step {
        task,
        attempt: attempt.unwrap_or(Attempt(999)),
        machine,
        what,
    }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn parsers_survive_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse_request(&bytes);
        let _ = parse_answer(&bytes, true);
        let _ = parse_submission(&bytes);
        let _ = serde_json::from_slice::<Report>(&bytes);
    }

    #[test]
    fn a_request_reads_the_same_however_it_is_cut(
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
            Parsed::Whole(request, used, close) => {
                prop_assert_eq!(used, size);
                prop_assert_eq!(request.body, body);
                prop_assert_eq!(request.path, "/api/jobs");
                prop_assert!(!close);
            }
            other => prop_assert!(false, "{other:?}"),
        }
    }

    #[test]
    fn a_submission_with_one_wrong_field_names_it(
        at in 0..20usize,
        wrong in prop_oneof![
            Just(serde_json::json!(-1)), Just(serde_json::json!({})), Just(serde_json::json!([1])),
        ],
    ) {
        let mut value = submission();
        let name = value.as_object().unwrap().keys().nth(at).unwrap().clone();
        value[&name] = wrong;
        let error = parse_submission(value.to_string().as_bytes()).unwrap_err();
        prop_assert_eq!(error.field, name);
    }

    #[test]
    fn spans_behave_like_a_map(ops in proptest::collection::vec((any::<bool>(), 0..30u32, 1..4u32), 0..80), n in 0..40u32) {
        let mut spans = Spans::default();
        let mut model: BTreeMap<u32, u32> = BTreeMap::new();
        for (put, task, attempt) in ops {
            if put {
                spans.insert(TaskNo(task), Attempt(attempt));
                model.insert(task, attempt);
            } else {
                prop_assert_eq!(spans.remove(TaskNo(task)).map(|a| a.0), model.remove(&task));
            }
            let listed: Vec<(u32, u32)> = spans.iter().map(|(t, a)| (t.0, a.0)).collect();
            let wanted: Vec<(u32, u32)> = model.iter().map(|(t, a)| (*t, *a)).collect();
            prop_assert_eq!(listed, wanted);
            // Neighbours with the same attempt are one range, and the wire form reads back.
            for pair in spans.spans().windows(2) {
                prop_assert!(pair[0].1 < pair[1].0 || pair[0].2 != pair[1].2);
            }
            let text = serde_json::to_string(&spans).unwrap();
            prop_assert_eq!(serde_json::from_str::<Spans>(&text).unwrap(), spans.clone());
        }
        let before = spans.clone();
        let taken = spans.split_last(n);
        prop_assert_eq!(taken.len(), n.min(before.len()));
        spans.merge(&taken);
        prop_assert_eq!(spans, before);
    }

    /// Guards against a lost answer: steps applied again to a record that already has them, or has
    /// only some, change nothing more, and no task is ever lost or in two places.
    #[test]
    fn steps_applied_twice_count_once(ops in proptest::collection::vec(op(), 0..60), kept in 0..60usize) {
        let start = Alloc { waiting: Spans::range(0, 20, 1), ..Alloc::default() };
        let mut view = start.clone();
        let mut steps = Vec::new();
        let mut halfway = start.clone();
        for op in &ops {
            let step = step_for(&view, op);
            let attempts_before = view.waiting.get(step.task);
            if view.apply(&step) {
                steps.push(step.clone());
                if step.what == StepKind::Requeue {
                    prop_assert!(view.waiting.get(step.task).unwrap() > step.attempt);
                    prop_assert!(attempts_before.is_none());
                }
            }
            if steps.len() <= kept {
                halfway = view.clone();
            }
            let count = view.waiting.len() + view.started_count() + view.finished.len();
            prop_assert_eq!(count, 20);
        }
        // The write of the first steps was carried out although its answer was lost.
        let mut again = halfway.clone();
        for step in &steps {
            again.apply(step);
        }
        let count = again.waiting.len() + again.started_count() + again.finished.len();
        prop_assert_eq!(count, 20);
        for (task, _) in view.finished.iter() {
            prop_assert!(again.finished.get(task).is_some());
        }
    }

    #[test]
    fn grants_never_pass_the_limit(moves in proptest::collection::vec((0..4u32, 0.0..50.0f64, 0.0..1.0f64), 0..60)) {
        let limit = Grant { cpus: 60.0, gpus: 6.0 };
        let mut record = QuotaRecord::default();
        for (part, wish, share) in moves {
            let have = record.grants.get(&PartId(part)).copied().unwrap_or_default();
            let used = Grant { cpus: have.cpus * share, gpus: have.gpus * share };
            record = record.regrant(PartId(part), Grant { cpus: wish, gpus: wish / 10.0 }, used, limit);
            prop_assert!(limit.covers(record.granted()));
            prop_assert!(record.grants[&PartId(part)].covers(used));
        }
    }

    #[test]
    fn a_job_is_split_without_loss(tasks in 1..3000u32, free in proptest::collection::vec(0.0..200.0f64, 3), bound: bool) {
        let (id, mut spec) = parse_submission(submission().to_string().as_bytes()).unwrap();
        spec.tasks = tasks;
        spec.together = bound;
        let free: BTreeMap<PartId, PartRoom> = free.iter().enumerate().map(|(i, f)| (PartId(i as u32), PartRoom { free: *f, capacity: f * 1.5, waiting: f * 0.5 })).collect();
        let shares = split(&id, &spec, 0.0, 3, &free);
        let mut all = Spans::default();
        for (_, spans) in &shares {
            all.merge(spans);
        }
        prop_assert_eq!(all, Spans::range(0, tasks, 1));
        prop_assert!(!bound || shares.len() == 1);
    }

    #[test]
    fn placement_keeps_to_room_and_zones(
        seats in proptest::collection::vec((0.0..20.0f64, 0..3usize, 0..9u32, any::<bool>()), 0..12),
        want in 1..40u32, together: bool, most in proptest::option::of(1..20u32),
    ) {
        let task = Room { cpus: 2.0, gpus: 0.0, mem: 0.0 };
        let seats: Vec<Seat> = seats.into_iter().map(|(cpus, zone, cap, has_image)| Seat {
            free: Room { cpus, gpus: 0.0, mem: 1.0 }, zone, cap, spared: false,
            image: if has_image { Image::Cached } else { Image::Absent }, fetches: 0,
        }).collect();
        let mut zones = ZoneRule { together, most, ..ZoneRule::default() };
        let chosen = place(task, want, &seats, Room { cpus: 1.0, gpus: 0.0, mem: 0.0 }, &mut zones);
        let mut by_zone: BTreeMap<usize, u32> = BTreeMap::new();
        for (i, n) in &chosen {
            prop_assert!(task.times(f64::from(*n)).cpus <= seats[*i].free.cpus + 1e-6);
            prop_assert!(*n <= seats[*i].cap);
            *by_zone.entry(seats[*i].zone).or_default() += n;
        }
        prop_assert!(chosen.iter().map(|(_, n)| n).sum::<u32>() <= want);
        prop_assert!(!together || by_zone.len() <= 1);
        prop_assert!(most.is_none_or(|m| by_zone.values().all(|n| *n <= m)));
    }

    /// Guards against late news: whatever order changes arrive in, the newest one stands.
    #[test]
    fn the_mirror_keeps_the_newest(order in Just((1..9u64).collect::<Vec<_>>()).prop_shuffle()) {
        let mut mirror = Mirror::default();
        for version in order {
            let value = serde_json::json!({"owner": format!("n{version}"), "lease": version});
            mirror.apply("part/0", (version != 8).then_some(&value), Version(version));
        }
        prop_assert!(mirror.parts.is_empty());
    }
}

#[test]
fn a_part_is_taken_from_nobody_who_may_still_hold_it() {
    let v = Version(9);
    assert_eq!(
        verdict(Some((false, v)), None, true, 99_999),
        Verdict::Leave
    );
    assert_eq!(
        verdict(Some((true, v)), Some(Token(9)), true, 0),
        Verdict::Leave
    );
    // A name from an earlier life, or a claim whose answer was lost: taken again at once.
    assert_eq!(verdict(Some((true, v)), None, false, 0), Verdict::Take(v));
    assert_eq!(
        verdict(Some((true, v)), Some(Token(4)), true, 0),
        Verdict::Take(v)
    );
    assert_eq!(verdict(None, None, true, 0), Verdict::Take(Version(0)));
    assert_eq!(verdict(None, None, false, 10), Verdict::Leave);
}

#[test]
fn machines_spread_over_parts() {
    let mut counts = [0u32; 3];
    for n in 0..300 {
        counts[snowshelf::ids::part_of(&format!("n-{n:06}"), 3).0 as usize] += 1;
    }
    assert!(counts.iter().all(|c| *c > 60), "{counts:?}");
}

#[test]
fn requests_that_cannot_be_read_are_told_why() {
    let long = format!(
        "POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
        64 * 1024 + 1
    );
    assert!(matches!(parse_request(long.as_bytes()), Parsed::Bad(413)));
    assert!(matches!(
        parse_request(b"\0\0 rubbish\r\n\r\n"),
        Parsed::Bad(400)
    ));
    let twice = b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n";
    assert!(matches!(parse_request(twice), Parsed::Bad(400)));
    let unknown = JobId::new("x");
    assert_eq!(unknown.as_str(), "x");
}
