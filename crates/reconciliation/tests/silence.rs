//! The time after which a silent machine that may run cancelled tasks is released.

use proptest::prelude::*;
use snowshelf_reconciliation::silence::{heartbeat_overdue_ms, release_after_cancellation_ms};

proptest! {
    /// Guards against a release that begins too late to end cancelled tasks in time. A shard leader that
    /// acquires the shard just before the release is due first waits for one heartbeat. With the settings
    /// drawn here, the time within which cancelled tasks must have ended is at least four heartbeat intervals
    /// longer than a lease.
    #[test]
    fn release_after_cancellation_leaves_time_to_release_a_hanging_machine(
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
