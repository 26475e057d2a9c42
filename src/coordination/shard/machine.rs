//! A machine as its shard's leader sees it.

use super::failures::MachineFailures;
use crate::coordination::images::Images;
use crate::coordination::placement::UNKNOWN_ZONE;
use snowshelf_calendar::calendar::Pool;
use snowshelf_model::ids::{
    AgentIncarnation, ConnectionId, HeartbeatSequence, JobId, MonotonicMillis, seconds_to_ms,
};
use snowshelf_model::protocol::worker::{TaskState, TaskStatus};
use snowshelf_model::records::Resources;
use snowshelf_reconciliation::decision_table::MachineDisposition;

/// Why the tasks of a machine are evicted and the machine is then released.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum RetirementReason {
    /// Tasks of several jobs fail on it, so that it is quarantined.
    Quarantine,
    /// A maintenance window closes its pool.
    MaintenanceWindow,
}

/// A heartbeat whose response waits for starts that are not durable yet, or for a placement pass.
#[derive(Clone, Copy)]
pub(super) struct DeferredResponse {
    pub connection: ConnectionId,
    /// When the heartbeat was processed.
    pub since: MonotonicMillis,
    /// The response is sent by this time.
    pub deadline: MonotonicMillis,
}

/// A machine of the shard.
pub(super) struct Machine {
    /// Name of its machine type.
    pub model: String,
    /// Index of its zone in the settings, or [`UNKNOWN_ZONE`].
    pub zone: usize,
    /// Its zone and type; `None` until the first heartbeat.
    pub pool: Option<Pool>,
    pub spot: bool,
    pub incarnation: AgentIncarnation,
    pub sequence: HeartbeatSequence,
    /// The machine has acknowledged this leader's fencing token, so that no earlier leader can
    /// command it.
    pub token_acknowledged: bool,
    pub last_heartbeat_at: MonotonicMillis,
    /// Whether this leader has received a heartbeat of the machine.
    pub heartbeat_received: bool,
    /// The machine has tasks that an earlier leader started, and has not acknowledged this leader's
    /// fencing token yet.
    pub inherited: bool,
    /// When the cloud takes the machine away, if it has given notice.
    pub interruption_at: Option<MonotonicMillis>,
    /// Tasks listed in its newest heartbeat.
    pub reported_tasks: Vec<TaskStatus>,
    /// The deferred response to its newest heartbeat, if any.
    pub deferred_response: Option<DeferredResponse>,
    /// Since when its heartbeats have shown no task on it.
    pub idle_since: Option<MonotonicMillis>,
    /// Images on the machine, by their numbers in the shard.
    pub images: Images,
    /// Failures of tasks here.
    pub failures: MachineFailures,
    /// Why its tasks are evicted so that it can be released, if they are.
    pub retirement: Option<RetirementReason>,
    /// A drain has cordoned the machine: nothing starts here, and its tasks end or are evicted
    /// within the disruption budgets.
    pub cordoned: bool,
    /// When `cordoned` last changed.
    pub cordon_changed_at: MonotonicMillis,
    /// Its release to the cloud has been decided.
    pub releasing: bool,
    /// Nothing is placed here before this time: the machine had no room for a task that was started
    /// on it.
    pub backoff_until: MonotonicMillis,
    /// Resources of started tasks and of orphaned tasks; valid unless `usage_dirty`.
    pub used: Resources,
    /// Jobs of the reported tasks that are not started here in the desired state, one entry per
    /// task.
    pub orphaned_tasks: Vec<JobId>,
    /// `used` and `orphaned_tasks` must be recomputed.
    pub usage_dirty: bool,
}

impl Machine {
    /// Whether tasks may be placed here.
    pub(super) fn accepts_tasks(&self, now: MonotonicMillis, max_silence_ms: u64) -> bool {
        self.token_acknowledged
            && self.retirement.is_none()
            && !self.cordoned
            && !self.releasing
            && self.interruption_at.is_none()
            && self.backoff_until <= now
            && now.since(self.last_heartbeat_at) <= max_silence_ms
    }

    /// Returns the disposition for a task that may take `grace_s` seconds to write a checkpoint.
    pub(super) fn disposition(
        &self,
        now: MonotonicMillis,
        grace_s: f64,
        heartbeat_ms: u64,
    ) -> MachineDisposition {
        if let Some(until) = self.interruption_at {
            let remaining_ms = until.0.saturating_sub(now.0);
            let checkpoint_due = remaining_ms <= seconds_to_ms(grace_s) + 2 * heartbeat_ms;
            MachineDisposition::Interrupted { checkpoint_due }
        } else if self.retirement.is_some() {
            MachineDisposition::Evicting
        } else if self.releasing {
            MachineDisposition::Releasing
        } else {
            MachineDisposition::Retained
        }
    }

    /// Returns the disposition for a task that is started here in the desired state but absent from
    /// the newest heartbeat. The task has not begun, and must not begin on a cordoned machine.
    pub(super) fn disposition_of_unstarted(
        &self,
        now: MonotonicMillis,
        heartbeat_ms: u64,
    ) -> MachineDisposition {
        match self.disposition(now, 0.0, heartbeat_ms) {
            MachineDisposition::Retained if self.cordoned => MachineDisposition::Evicting,
            disposition => disposition,
        }
    }

    /// Whether its newest heartbeat lists a task that has not ended.
    pub(super) fn reports_live_tasks(&self) -> bool {
        self.reported_tasks
            .iter()
            .any(|t| t.state != TaskState::Exited)
    }

    /// Creates a machine of which only the name is known.
    pub(super) fn unknown(now: MonotonicMillis) -> Machine {
        Machine {
            model: String::new(),
            zone: UNKNOWN_ZONE,
            pool: None,
            spot: true,
            incarnation: AgentIncarnation(0),
            sequence: HeartbeatSequence(0),
            token_acknowledged: false,
            last_heartbeat_at: now,
            heartbeat_received: false,
            inherited: false,
            interruption_at: None,
            reported_tasks: Vec::new(),
            deferred_response: None,
            idle_since: None,
            images: Images::default(),
            failures: MachineFailures::default(),
            retirement: None,
            cordoned: false,
            cordon_changed_at: MonotonicMillis(0),
            releasing: false,
            backoff_until: MonotonicMillis(0),
            used: Resources::default(),
            orphaned_tasks: Vec::new(),
            usage_dirty: true,
        }
    }
}
