//! What may be concluded from what was read and from what others say, each test named after the failure it guards against.

use proptest::prelude::*;
use snowshelf_model::ids::{JobId, Member, MonotonicMillis};
use snowshelf_watermark::confirmation_round::{
    ConfirmationRounds, IgnoredConfirmation, PeerConfirmation,
};
use snowshelf_watermark::confirmed_cancellations::ConfirmedCancellations;
use snowshelf_watermark::renewal::{
    JobKnowledge, LeaseRenewal, RenewalRefusal, WatermarkSource, authorize_renewal, is_covered,
    may_start,
};
use snowshelf_watermark::{CancellationWatermark, answering_ms, with_drift};
use std::collections::BTreeSet;

fn peers() -> BTreeSet<Member> {
    ["b", "c"].map(Member::new).into()
}

fn answer(from: &str, incarnation: u64, sequence: u64) -> PeerConfirmation {
    PeerConfirmation {
        from: Member::new(from),
        incarnation,
        sequence,
        complete: true,
        cancelled: Vec::new(),
    }
}

/// Guards against an answer that lets a task live beyond `cancel_s`: of the two clocks one may be slow and
/// the other fast.
#[test]
fn what_a_renewal_keeps_alive_ends_within_cancel_s() {
    for (cancel_ms, lease_ms) in [(56_000, 31_000), (52_000, 22_000), (35_000, 10_000)] {
        let answering = answering_ms(cancel_ms, lease_ms);
        let (slow, most) = (1.0 + 0.0005, cancel_ms as f64);
        let lives_ms = answering as f64 * slow + lease_ms as f64 * slow;
        assert!(lives_ms + 900.0 <= most, "{lives_ms} of {most}");
        assert!(lives_ms + 1_200.0 >= most, "{lives_ms} of {most}");
    }
    // No room beside a lease: the safe side.
    assert_eq!(answering_ms(9_000, 10_000), 0);
    let at = Some(MonotonicMillis(5));
    assert!(is_covered(at, MonotonicMillis(105), 100));
    assert!(!is_covered(at, MonotonicMillis(106), 100));
    assert!(!is_covered(None, MonotonicMillis(5), 100));
    let idle = |basis, received| {
        authorize_renewal::<u32>(basis, MonotonicMillis(received), 100, [].into_iter())
    };
    for (basis, latest) in [
        (WatermarkSource::AllRecords(at), 105),
        (WatermarkSource::SingleRecords(MonotonicMillis(5)), 105),
    ] {
        assert!(idle(basis, latest).is_ok());
        assert_eq!(idle(basis, latest + 1), Err(RenewalRefusal::Behind));
    }
    assert_eq!(
        idle(WatermarkSource::AllRecords(None), 5),
        Err(RenewalRefusal::Behind)
    );
    // Neither source takes the horizon back.
    let mut watermark = CancellationWatermark::default();
    watermark.advance_by_confirmation(MonotonicMillis(9));
    watermark.advance_by_watch(MonotonicMillis(7));
    watermark.advance_by_confirmation(MonotonicMillis(8));
    assert_eq!(
        (watermark.at(), watermark.watch()),
        (Some(MonotonicMillis(9)), Some(MonotonicMillis(7)))
    );
}

/// Guards against an answer that renews the lease of a task that is known to be cancelled and says nothing of it, and
/// against one given before the jobs that the report lists have been read.
#[test]
fn a_renewal_halts_cancelled_tasks_and_is_refused_for_unread_jobs() {
    use JobKnowledge::*;
    let ask = |basis, listed: &[JobKnowledge]| {
        let listed = listed.iter().copied().enumerate();
        authorize_renewal(basis, MonotonicMillis(50), 100, listed).map(LeaseRenewal::into_halts)
    };
    for basis in [
        WatermarkSource::AllRecords(Some(MonotonicMillis(5))),
        WatermarkSource::SingleRecords(MonotonicMillis(5)),
    ] {
        assert_eq!(ask(basis, &[Open, Open]), Ok(vec![]));
        assert_eq!(ask(basis, &[Cancelled, Open, Cancelled]), Ok(vec![0, 2]));
        assert_eq!(
            ask(basis, &[Cancelled, Unread]),
            Err(RenewalRefusal::Unread)
        );
    }
    assert!(may_start(Some(MonotonicMillis(5)), MonotonicMillis(6_005)));
    assert!(!may_start(Some(MonotonicMillis(5)), MonotonicMillis(6_020)));
    assert!(!may_start(None, MonotonicMillis(5)));
}

/// Guards against a horizon moved by words that do not prove it: each thing that can be missing.
#[test]
fn a_round_proves_nothing_unless_all_peers_have_answered_completely() {
    let mut a = ConfirmationRounds::new(7);
    let asked = MonotonicMillis(10_000);
    let question = a
        .start_round(asked, MonotonicMillis(4_000), peers())
        .unwrap();
    assert_eq!((question.incarnation, question.sequence), (7, 1));
    assert!(question.window_ms >= 8_000);
    // One is missing.
    assert_eq!(
        a.on_confirmation(MonotonicMillis(10_010), &answer("b", 7, 1)),
        Ok(None)
    );
    // The same once more, somebody unknown, another life of the asker, another round.
    for (said, why) in [
        (answer("b", 7, 1), IgnoredConfirmation::NotAwaited),
        (answer("x", 7, 1), IgnoredConfirmation::NotAwaited),
        (answer("c", 6, 1), IgnoredConfirmation::OtherIncarnation),
        (answer("c", 7, 0), IgnoredConfirmation::OtherRound),
        (answer("c", 7, 2), IgnoredConfirmation::OtherRound),
    ] {
        assert_eq!(a.on_confirmation(MonotonicMillis(10_010), &said), Err(why));
    }
    // One that has started since, or told more than it can name.
    let short = PeerConfirmation {
        complete: false,
        ..answer("c", 7, 1)
    };
    assert_eq!(
        a.on_confirmation(MonotonicMillis(10_020), &short),
        Err(IgnoredConfirmation::Incomplete)
    );
    // One that was underway for longer than its window reaches back beyond the horizon.
    assert_eq!(
        a.on_confirmation(MonotonicMillis(12_100), &answer("c", 7, 1)),
        Err(IgnoredConfirmation::TooLate)
    );
    assert_eq!(
        a.on_confirmation(MonotonicMillis(10_030), &answer("c", 7, 1)),
        Ok(Some(asked))
    );
    // What comes after the round is over proves nothing for the next.
    assert_eq!(
        a.on_confirmation(MonotonicMillis(10_040), &answer("c", 7, 1)),
        Err(IgnoredConfirmation::OtherRound)
    );
    assert_eq!(a.start_round(MonotonicMillis(10_500), asked, peers()), None);
    let next = a
        .start_round(MonotonicMillis(11_100), asked, peers())
        .unwrap();
    assert_eq!(next.sequence, 2);
    assert_eq!(
        a.on_confirmation(MonotonicMillis(11_200), &answer("b", 7, 1)),
        Err(IgnoredConfirmation::OtherRound)
    );
    // A round that is not answered is asked anew, from the same horizon.
    assert_eq!(a.start_round(MonotonicMillis(12_500), asked, peers()), None);
    assert_eq!(
        a.start_round(MonotonicMillis(12_700), asked, peers())
            .unwrap()
            .sequence,
        3
    );
}

/// Guards against vouching for what an earlier life has told, or for more than is kept.
#[test]
fn a_record_that_does_not_reach_back_is_incomplete() {
    let mut confirmed = ConfirmedCancellations::default();
    confirmed.start_recording(MonotonicMillis(1_000));
    let job = |n: usize| JobId::new(&format!("wk-{n:06}"));
    confirmed.record(&job(1), MonotonicMillis(2_000));
    confirmed.record(&job(1), MonotonicMillis(9_000));
    assert_eq!(
        confirmed.within(MonotonicMillis(9_000), 8_000),
        Some(vec![&job(1)])
    );
    assert_eq!(confirmed.within(MonotonicMillis(9_000), 8_001), None);
    // Only the first telling counts: the time for its end runs from there.
    assert_eq!(
        confirmed.within(MonotonicMillis(9_000), 6_000),
        Some(vec![])
    );
    for n in 2..10_000 {
        confirmed.record(&job(n), MonotonicMillis(10_000 + n as u64));
    }
    assert_eq!(confirmed.within(MonotonicMillis(20_000), 12_000), None);
    assert!(
        confirmed
            .within(MonotonicMillis(20_000), 2_000)
            .unwrap()
            .len()
            >= 2_000
    );
}

proptest! {
    /// Guards against a horizon that is later than something told and not known: controllers tell at drawn
    /// moments, questions and answers take drawn times, lives end, and after each complete round everything that
    /// was told before its horizon has been named.
    #[test]
    fn everything_confirmed_before_the_watermark_is_known(
        tells in prop::collection::vec((0..2usize, 0..60_000u64), 0..40),
        ends in prop::collection::vec((0..2usize, 0..60_000u64), 0..3),
        hops in prop::collection::vec((0..4_000u64, 0..4_000u64, 0..2u8), 60),
    ) {
        let mut asker = ConfirmationRounds::new(3);
        let mut watermark = MonotonicMillis(1_000);
        let mut known: BTreeSet<JobId> = BTreeSet::new();
        let job = |n: usize| JobId::new(&format!("wk-{n:06}"));
        // Told before the first horizon: read from the state service.
        known.extend(tells.iter().enumerate().filter(|(_, (_, at))| *at < 1_000).map(|(n, _)| job(n)));
        let mut underway: Vec<(u64, PeerConfirmation)> = Vec::new();
        let mut drawn = hops.iter();
        for now in (1_000..60_000u64).step_by(50) {
            if let Some(q) = asker.start_round(MonotonicMillis(now), watermark, peers())
                && let Some((to, back, lost)) = drawn.next()
            {
                for (m, name) in ["b", "c"].into_iter().enumerate() {
                    // Mostly prompt.
                    let at = now + if *lost == 0 { to % 50 } else { *to };
                    let life = ends.iter().filter(|(who, end)| *who == m && *end <= at).map(|(_, end)| *end).max();
                    let mut confirmed = ConfirmedCancellations::default();
                    confirmed.start_recording(MonotonicMillis(life.unwrap_or(0)));
                    let mut mine: Vec<(u64, usize)> = tells.iter().enumerate()
                        .filter(|(_, (who, t))| *who == m && *t <= at && life.is_none_or(|l| *t > l))
                        .map(|(n, (_, t))| (*t, n)).collect();
                    mine.sort_unstable();
                    for (t, n) in mine {
                        confirmed.record(&job(n), MonotonicMillis(t));
                    }
                    let told = confirmed.within(MonotonicMillis(at), q.window_ms);
                    underway.push((at + if *lost == 0 { back % 50 } else { *back }, PeerConfirmation {
                        from: Member::new(name),
                        incarnation: q.incarnation,
                        sequence: q.sequence,
                        complete: told.is_some(),
                        cancelled: told.into_iter().flatten().cloned().collect(),
                    }));
                }
            }
            let (here, later) = underway.into_iter().partition(|(at, _)| *at <= now);
            underway = later;
            for (_, said) in here as Vec<(u64, PeerConfirmation)> {
                if let Ok(complete) = asker.on_confirmation(MonotonicMillis(now), &said) {
                    known.extend(said.cancelled);
                    watermark = complete.unwrap_or(watermark);
                }
            }
            for (n, (_, at)) in tells.iter().enumerate() {
                prop_assert!(MonotonicMillis(*at) >= watermark || known.contains(&job(n)), "told at {at}, horizon {watermark:?}");
            }
        }
    }

    #[test]
    fn drift_only_adds(ms in 0..10_000_000u64) {
        prop_assert!(with_drift(ms) >= ms + ms / 1_000);
    }
}
