//! Properties of the order under shortage, and what it is for, on a single machine.

use proptest::prelude::*;
use snowshelf_fair_share::shortage::Shortage;

fn job() -> impl Strategy<Value = (bool, f64)> {
    (any::<bool>(), 0.0..10_000.0f64)
}

proptest! {
    /// Whatever waits: nobody is asked to start before it came or later than its objectives; a smaller job never
    /// after a larger one of its class and age; nothing changes while nobody is late.
    #[test]
    fn slack_is_a_fraction_and_grows_with_the_work(
        jobs in prop::collection::vec(job(), 1..40), small in 0.0..10_000.0f64, more in 0.0..10_000.0f64,
    ) {
        let mut shortage = Shortage::default();
        let mut calm = Shortage::default();
        for (late, work) in &jobs {
            shortage.add_job("c", *late, *work);
            calm.add_job("c", false, *work);
        }
        let (a, b) = (shortage.slack("c", small), shortage.slack("c", small + more));
        prop_assert!((0.0..=1.0).contains(&a) && (0.0..=1.0).contains(&b));
        prop_assert!(a <= b);
        prop_assert_eq!(calm.slack("c", small), 1.0);
        prop_assert_eq!(shortage.slack("other", small), 1.0);
    }
}

/// Guards against a class that ends below half because each of its jobs is started at its last chance, the large ones
/// as the small ones: one machine, asked for twice what it can do, jobs of 1 to 9 seconds that should start within 30.
#[test]
fn more_jobs_of_an_overloaded_class_are_in_time() {
    let served = |with: bool| {
        let (mut waiting, mut now, mut in_time) = (Vec::<(u32, u32)>::new(), 0, 0);
        let mut draw = 7u32;
        let mut arrivals: Vec<(u32, u32)> = (0..400)
            .map(|i| {
                draw = draw.wrapping_mul(1_103_515_245).wrapping_add(12_345);
                (i * 5 / 2, 1 + (draw >> 16) % 9)
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
                let slack = if with {
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
    let (before, after) = (served(false), served(true));
    assert!(
        after > before + before / 8,
        "{before} in time, then {after}"
    );
}
