//! Evictions for every combination of reasons.

use snowshelf_drain::eviction::{BudgetPolicy, EvictionCause, EvictionReasons, eviction_cause};

/// Guards against a drain that evicts a task without a durable charge, and against an urgent eviction that
/// waits for the budget or is counted as a drain.
#[test]
fn drain_evicts_only_charged_tasks() {
    for bits in 0..256u32 {
        let bit = |n: u32| bits & (1 << n) != 0;
        let reasons = EvictionReasons {
            cancelled: bit(0),
            interrupted: bit(1),
            quarantined: bit(2),
            maintenance: bit(3),
            preempted: bit(4),
            cordoned: bit(5),
            forced: bit(6),
            charged: bit(7),
        };
        let cause = eviction_cause(reasons);
        // Urgent causes apply with or without a charge.
        let urgent = bit(0) || bit(1) || bit(2) || bit(3) || bit(4);
        assert_eq!(cause.is_some(), urgent || (bit(5) && bit(7)), "{reasons:?}");
        let needs_charge = cause.is_some_and(|c| {
            matches!(
                c.budget_policy(),
                BudgetPolicy::WithinBudget | BudgetPolicy::MayExceedBudget
            )
        });
        assert_eq!(needs_charge, !urgent && bit(5) && bit(7), "{reasons:?}");
        if needs_charge {
            let forced = cause == Some(EvictionCause::ForcedDrain);
            assert_eq!(forced, bit(6), "{reasons:?}");
        }
        if bit(0) {
            assert_eq!(
                cause.map(EvictionCause::budget_policy),
                Some(BudgetPolicy::Exempt)
            );
        }
    }
}
