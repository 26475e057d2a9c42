//! How long silence is waited for where cancelled tasks may be frozen.

use proptest::prelude::*;
use snowshelf_reconciliation::silence::{heartbeat_overdue_ms, release_after_cancellation_ms};

proptest! {
    /// Guards against a release that begins too late: a shard leader that has acquired the shard just before the moment waits
    /// for one heartbeat, and the release has its time left, wherever a lease and four heartbeats fit into the time for
    /// cancelling.
    #[test]
    fn a_hanging_machine_is_released_before_its_cancelled_tasks_must_be_gone(
        heartbeat_ms in 500u64..15_000,
        lease_heartbeats in 4u64..8,
        spare_heartbeats in 4u64..20,
    ) {
        let cancel_ms = heartbeat_ms * (lease_heartbeats + spare_heartbeats);
        let release_at = release_after_cancellation_ms(cancel_ms);
        prop_assert!(release_at + heartbeat_ms + heartbeat_ms / 4 <= cancel_ms);
        prop_assert!(release_at < cancel_ms && release_at >= cancel_ms / 2);
        prop_assert!(heartbeat_overdue_ms(heartbeat_ms) > heartbeat_ms);
    }
}
