//! Properties of the queue order under shortage, and its effect on a single overloaded machine.

use proptest::prelude::*;
use snowshelf_fair_share::shortage::Shortage;

fn job() -> impl Strategy<Value = (bool, f64)> {
    (any::<bool>(), 0.0..10_000.0f64)
}

proptest! {
    /// Guards against start times before a job's arrival or after its wait limit, against ordering a
    /// smaller job behind a larger one of the same class and age, and against a changed order while
    /// no job is late.
    #[test]
    fn slack_is_a_fraction_and_grows_with_work(
        jobs in prop::collection::vec(job(), 1..40), small in 0.0..10_000.0f64, more in 0.0..10_000.0f64,
    ) {
        let mut shortage = Shortage::default();
        let mut none_late = Shortage::default();
        for (late, work) in &jobs {
            shortage.add_job("c", *late, *work);
            none_late.add_job("c", false, *work);
        }
        let (a, b) = (shortage.slack("c", small), shortage.slack("c", small + more));
        prop_assert!((0.0..=1.0).contains(&a) && (0.0..=1.0).contains(&b));
        prop_assert!(a <= b);
        prop_assert_eq!(none_late.slack("c", small), 1.0);
        prop_assert_eq!(shortage.slack("other", small), 1.0);
    }
}

/// Guards against an overloaded class of which fewer than half of the jobs start in time, because
/// small and large jobs alike are started only when their wait limit is about to expire. One machine
/// gets twice the load that it can serve, from jobs of 1 to 9 seconds with a wait limit of 30 seconds.
#[test]
fn slack_lets_more_jobs_of_an_overloaded_class_start_in_time() {
    let count_in_time = |use_slack: bool| {
        let (mut waiting, mut now, mut in_time) = (Vec::<(u32, u32)>::new(), 0, 0);
        let mut lcg_state = 7u32;
        let mut arrivals: Vec<(u32, u32)> = (0..400)
            .map(|i| {
                lcg_state = lcg_state.wrapping_mul(1_103_515_245).wrapping_add(12_345);
                (i * 5 / 2, 1 + (lcg_state >> 16) % 9)
            })
            .rev()
            .collect();
        while !arrivals.is_empty() || !waiting.is_empty() {
            while arrivals.last().is_some_and(|(at, _)| *at <= now) {
                waiting.extend(arrivals.pop());
            }
            let mut shortage = Shortage::default();
            for (at, work) in &waiting {
                shortage.add_job("c", now - at > 30, f64::from(*work));
            }
            let due = |(at, work): (u32, u32)| {
                let slack = if use_slack {
                    shortage.slack("c", f64::from(work))
                } else {
                    1.0
                };
                (now - at > 30, f64::from(at) + 30.0 * slack)
            };
            let next = (0..waiting.len()).min_by(|a, b| {
                let (a, b) = (due(waiting[*a]), due(waiting[*b]));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
            });
            match next.map(|i| waiting.swap_remove(i)) {
                Some((at, work)) => {
                    in_time += u32::from(now - at <= 30);
                    now += work;
                }
                None => now += 1,
            }
        }
        in_time
    };
    let (without_slack, with_slack) = (count_in_time(false), count_in_time(true));
    assert!(
        with_slack > without_slack + without_slack / 8,
        "{without_slack} in time without slack, {with_slack} with it"
    );
}
