//! How long silence is waited for where cancelled tasks may be frozen.

use proptest::prelude::*;
use snowshelf_reconciliation::silence::{heartbeat_overdue_ms, release_after_cancellation_ms};

proptest! {
    /// Guards against a return that is begun too late: an owner that has taken the part just before the moment waits
    /// for one report, and the return has its time left, wherever a lease and four reports fit into the time for
    /// cancelling.
    #[test]
    fn a_frozen_machine_is_returned_before_its_cancelled_tasks_must_be_gone(
        report_ms in 500u64..15_000,
        lease_reports in 4u64..8,
        spare_reports in 4u64..20,
    ) {
        let cancel_ms = report_ms * (lease_reports + spare_reports);
        let begun = release_after_cancellation_ms(cancel_ms);
        prop_assert!(begun + report_ms + report_ms / 4 <= cancel_ms);
        prop_assert!(begun < cancel_ms && begun >= cancel_ms / 2);
        prop_assert!(heartbeat_overdue_ms(report_ms) > report_ms);
    }
}
