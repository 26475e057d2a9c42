//! Lease renewal, confirmation rounds and the record of confirmed cancellations, under clock drift, lost messages and
//! restarts.

use proptest::prelude::*;
use snowshelf_model::ids::{JobId, Member, MonotonicMillis};
use snowshelf_watermark::confirmation_round::{
    ConfirmationRounds, IgnoredConfirmation, PeerConfirmation,
};
use snowshelf_watermark::confirmed_cancellations::ConfirmedCancellations;
use snowshelf_watermark::renewal::{
    CancellationStatus, LeaseRenewal, RenewalRefusal, WatermarkSource, authorize_renewal,
    is_covered, may_start,
};
use snowshelf_watermark::{CancellationWatermark, answering_ms, with_drift};
use std::collections::BTreeSet;

fn peers() -> BTreeSet<Member> {
    ["b", "c"].map(Member::new).into()
}

fn confirmation(from: &str, incarnation: u64, sequence: u64) -> PeerConfirmation {
    PeerConfirmation {
        from: Member::new(from),
        incarnation,
        sequence,
        complete: true,
        cancelled: Vec::new(),
    }
}

/// Guards against a response that keeps a cancelled task alive beyond `cancel_s`. Of the clocks of controller and
/// worker, one may be slow and the other fast.
#[test]
fn renewal_keeps_no_cancelled_task_beyond_cancel_s() {
    for (cancel_ms, lease_ms) in [(56_000, 31_000), (52_000, 22_000), (35_000, 10_000)] {
        let answering = answering_ms(cancel_ms, lease_ms);
        let (slow, limit_ms) = (1.0 + 0.0005, cancel_ms as f64);
        let alive_ms = answering as f64 * slow + lease_ms as f64 * slow;
        assert!(alive_ms + 900.0 <= limit_ms, "{alive_ms} of {limit_ms}");
        assert!(alive_ms + 1_200.0 >= limit_ms, "{alive_ms} of {limit_ms}");
    }
    // A lease longer than the time for cancellation leaves no time to respond.
    assert_eq!(answering_ms(9_000, 10_000), 0);
    let at = Some(MonotonicMillis(5));
    assert!(is_covered(at, MonotonicMillis(105), 100));
    assert!(!is_covered(at, MonotonicMillis(106), 100));
    assert!(!is_covered(None, MonotonicMillis(5), 100));
    let without_tasks = |source, received| {
        authorize_renewal::<u32>(source, MonotonicMillis(received), 100, [].into_iter())
    };
    for (source, latest) in [
        (WatermarkSource::AllRecords(at), 105),
        (WatermarkSource::SingleRecords(MonotonicMillis(5)), 105),
    ] {
        assert!(without_tasks(source, latest).is_ok());
        assert_eq!(
            without_tasks(source, latest + 1),
            Err(RenewalRefusal::WatermarkTooOld)
        );
    }
    assert_eq!(
        without_tasks(WatermarkSource::AllRecords(None), 5),
        Err(RenewalRefusal::WatermarkTooOld)
    );
    // Neither the watch nor a confirmation moves the watermark back.
    let mut watermark = CancellationWatermark::default();
    watermark.advance_by_confirmation(MonotonicMillis(9));
    watermark.advance_by_watch(MonotonicMillis(7));
    watermark.advance_by_confirmation(MonotonicMillis(8));
    assert_eq!(
        (watermark.at(), watermark.watch()),
        (Some(MonotonicMillis(9)), Some(MonotonicMillis(7)))
    );
}

/// Guards against a response that renews the lease of a task whose cancellation is known without halting it, and
/// against a response before the records of all listed jobs have been read.
#[test]
fn authorize_renewal_halts_cancelled_tasks_and_refuses_unread_jobs() {
    use CancellationStatus::*;
    let authorize = |source, listed: &[CancellationStatus]| {
        let listed = listed.iter().copied().enumerate();
        authorize_renewal(source, MonotonicMillis(50), 100, listed).map(LeaseRenewal::into_halts)
    };
    for source in [
        WatermarkSource::AllRecords(Some(MonotonicMillis(5))),
        WatermarkSource::SingleRecords(MonotonicMillis(5)),
    ] {
        assert_eq!(authorize(source, &[NotCancelled, NotCancelled]), Ok(vec![]));
        assert_eq!(
            authorize(source, &[Cancelled, NotCancelled, Cancelled]),
            Ok(vec![0, 2])
        );
        assert_eq!(
            authorize(source, &[Cancelled, Unread]),
            Err(RenewalRefusal::JobUnread)
        );
    }
    assert!(may_start(Some(MonotonicMillis(5)), MonotonicMillis(6_005)));
    assert!(!may_start(Some(MonotonicMillis(5)), MonotonicMillis(6_020)));
    assert!(!may_start(None, MonotonicMillis(5)));
}

/// Guards against a watermark that advances without proof: by a confirmation that is missing, repeated, late or
/// incomplete, or that comes from an unknown sender or belongs to another round or incarnation.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one case for each way in which a confirmation proves nothing"
)]
fn confirmation_round_completes_only_with_complete_confirmations_of_all_peers() {
    let mut rounds = ConfirmationRounds::new(7);
    let started_at = MonotonicMillis(10_000);
    let request = rounds
        .start_round(started_at, MonotonicMillis(4_000), peers())
        .unwrap();
    assert_eq!((request.incarnation, request.sequence), (7, 1));
    assert!(request.window_ms >= 8_000);
    // The other peer's confirmation is still missing.
    assert_eq!(
        rounds.on_confirmation(MonotonicMillis(10_010), &confirmation("b", 7, 1)),
        Ok(None)
    );
    // Confirmations that are repeated, of an unknown sender, for another incarnation or for another round.
    for (received, reason) in [
        (confirmation("b", 7, 1), IgnoredConfirmation::NotAwaited),
        (confirmation("x", 7, 1), IgnoredConfirmation::NotAwaited),
        (
            confirmation("c", 6, 1),
            IgnoredConfirmation::OtherIncarnation,
        ),
        (confirmation("c", 7, 0), IgnoredConfirmation::OtherRound),
        (confirmation("c", 7, 2), IgnoredConfirmation::OtherRound),
    ] {
        assert_eq!(
            rounds.on_confirmation(MonotonicMillis(10_010), &received),
            Err(reason)
        );
    }
    // The sender cannot name all its confirmations: it has restarted, or there are too many.
    let incomplete = PeerConfirmation {
        complete: false,
        ..confirmation("c", 7, 1)
    };
    assert_eq!(
        rounds.on_confirmation(MonotonicMillis(10_020), &incomplete),
        Err(IgnoredConfirmation::Incomplete)
    );
    // The confirmation was in flight for so long that its window may begin after the watermark.
    assert_eq!(
        rounds.on_confirmation(MonotonicMillis(12_100), &confirmation("c", 7, 1)),
        Err(IgnoredConfirmation::TooLate)
    );
    assert_eq!(
        rounds.on_confirmation(MonotonicMillis(10_030), &confirmation("c", 7, 1)),
        Ok(Some(started_at))
    );
    // A confirmation after the end of its round proves nothing for the next round.
    assert_eq!(
        rounds.on_confirmation(MonotonicMillis(10_040), &confirmation("c", 7, 1)),
        Err(IgnoredConfirmation::OtherRound)
    );
    assert_eq!(
        rounds.start_round(MonotonicMillis(10_500), started_at, peers()),
        None
    );
    let next = rounds
        .start_round(MonotonicMillis(11_100), started_at, peers())
        .unwrap();
    assert_eq!(next.sequence, 2);
    assert_eq!(
        rounds.on_confirmation(MonotonicMillis(11_200), &confirmation("b", 7, 1)),
        Err(IgnoredConfirmation::OtherRound)
    );
    // A round that stays incomplete is replaced by a new one from the same watermark.
    assert_eq!(
        rounds.start_round(MonotonicMillis(12_500), started_at, peers()),
        None
    );
    assert_eq!(
        rounds
            .start_round(MonotonicMillis(12_700), started_at, peers())
            .unwrap()
            .sequence,
        3
    );
}

/// Guards against a complete confirmation of a window that begins before the process was started, or before the
/// oldest cancellation that the record retains.
#[test]
fn confirmed_cancellations_within_is_none_beyond_the_record() {
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
    // Only the first confirmation counts: the time within which the job's tasks must end starts with it.
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
    /// Guards against a watermark that is later than a confirmed cancellation that is not known. Two peers confirm
    /// cancellations and restart at drawn times, and requests and confirmations take drawn times to arrive.
    #[test]
    fn cancellations_confirmed_before_the_watermark_are_known(
        cancellations in prop::collection::vec((0..2usize, 0..60_000u64), 0..40),
        restarts in prop::collection::vec((0..2usize, 0..60_000u64), 0..3),
        delays in prop::collection::vec((0..4_000u64, 0..4_000u64, 0..2u8), 60),
    ) {
        let mut rounds = ConfirmationRounds::new(3);
        let mut watermark = MonotonicMillis(1_000);
        let mut known: BTreeSet<JobId> = BTreeSet::new();
        let job = |n: usize| JobId::new(&format!("wk-{n:06}"));
        // Cancellations confirmed before the first watermark: read from the key-value store.
        known.extend(cancellations.iter().enumerate().filter(|(_, (_, at))| *at < 1_000).map(|(n, _)| job(n)));
        let mut in_flight: Vec<(u64, PeerConfirmation)> = Vec::new();
        let mut drawn = delays.iter();
        for now in (1_000..60_000u64).step_by(50) {
            if let Some(request) = rounds.start_round(MonotonicMillis(now), watermark, peers())
                && let Some((to, back, slow)) = drawn.next()
            {
                for (peer, name) in ["b", "c"].into_iter().enumerate() {
                    // Half of the rounds have short delays.
                    let at = now + if *slow == 0 { to % 50 } else { *to };
                    let restarted_at = restarts
                        .iter()
                        .filter(|(who, time)| *who == peer && *time <= at)
                        .map(|(_, time)| *time)
                        .max();
                    let mut confirmed = ConfirmedCancellations::default();
                    confirmed.start_recording(MonotonicMillis(restarted_at.unwrap_or(0)));
                    let mut recorded: Vec<(u64, usize)> = cancellations.iter().enumerate()
                        .filter(|(_, (who, time))| {
                            *who == peer && *time <= at && restarted_at.is_none_or(|restart| *time > restart)
                        })
                        .map(|(n, (_, time))| (*time, n)).collect();
                    recorded.sort_unstable();
                    for (time, n) in recorded {
                        confirmed.record(&job(n), MonotonicMillis(time));
                    }
                    let within = confirmed.within(MonotonicMillis(at), request.window_ms);
                    in_flight.push((at + if *slow == 0 { back % 50 } else { *back }, PeerConfirmation {
                        from: Member::new(name),
                        incarnation: request.incarnation,
                        sequence: request.sequence,
                        complete: within.is_some(),
                        cancelled: within.into_iter().flatten().cloned().collect(),
                    }));
                }
            }
            let (arrived, later) = in_flight.into_iter().partition(|(at, _)| *at <= now);
            in_flight = later;
            for (_, confirmation) in arrived as Vec<(u64, PeerConfirmation)> {
                if let Ok(completed) = rounds.on_confirmation(MonotonicMillis(now), &confirmation) {
                    known.extend(confirmation.cancelled);
                    watermark = completed.unwrap_or(watermark);
                }
            }
            for (n, (_, at)) in cancellations.iter().enumerate() {
                prop_assert!(MonotonicMillis(*at) >= watermark || known.contains(&job(n)), "confirmed at {at}, watermark {watermark:?}");
            }
        }
    }

    /// Guards against an allowance for drift that shortens an interval.
    #[test]
    fn with_drift_lengthens_by_at_least_a_thousandth(ms in 0..10_000_000u64) {
        prop_assert!(with_drift(ms) >= ms + ms / 1_000);
    }
}
