//! What a shard's leader knows of a machine.

use crate::coordination::images::Images;
use crate::coordination::placement::UNKNOWN_ZONE;
use snowshelf_calendar::calendar::Pool;
use snowshelf_model::ids::{
    AgentIncarnation, ConnectionId, HeartbeatSequence, JobId, MonotonicMillis, seconds_to_ms,
};
use snowshelf_model::protocol::worker::{TaskState, TaskStatus};
use snowshelf_model::records::Resources;
use snowshelf_reconciliation::decision_table::MachineDisposition;

/// Why a machine is to be evicted from and scaled in.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum RetirementReason {
    /// It is quarantined: tasks of several jobs fail on it.
    Fault,
    /// A maintenance window closes its pool.
    Window,
}

/// A heartbeat whose response waits for a start to be durable.
#[derive(Clone, Copy)]
pub(super) struct DeferredResponse {
    pub connection: ConnectionId,
    /// When the heartbeat was processed.
    pub since: MonotonicMillis,
    /// When the response is sent at the latest.
    pub deadline: MonotonicMillis,
}

/// A machine of the shard.
pub(super) struct Machine {
    /// The name of its machine type.
    pub model: String,
    /// The index of its zone in the settings; [`UNKNOWN_ZONE`] if unknown.
    pub zone: usize,
    /// Its zone and type, once a heartbeat has named them.
    pub pool: Option<Pool>,
    pub spot: bool,
    pub incarnation: AgentIncarnation,
    pub sequence: HeartbeatSequence,
    /// It has acknowledged this leader's fencing token: no earlier leader can command it any more.
    pub token_acknowledged: bool,
    pub last_heartbeat_at: MonotonicMillis,
    /// Whether a heartbeat of it has reached this leader.
    pub heartbeat_received: bool,
    /// Its started tasks are an earlier leader's, and it has not acknowledged this one's fencing token yet.
    pub inherited: bool,
    /// When the cloud takes it away, if it has announced that.
    pub interruption_at: Option<MonotonicMillis>,
    /// The tasks that its newest heartbeat lists.
    pub reported_tasks: Vec<TaskStatus>,
    /// The newest heartbeat's response, if it is deferred.
    pub deferred_response: Option<DeferredResponse>,
    /// Since when nothing runs on it, as far as heartbeats say.
    pub idle_since: Option<MonotonicMillis>,
    /// By the shard's image numbers.
    pub images: Images,
    /// Jobs whose tasks failed here since a task last completed here.
    pub failed_jobs: Vec<JobId>,
    /// Whether it is being evicted from to be scaled in, and why.
    pub retirement: Option<RetirementReason>,
    /// A drain has cordoned it: nothing starts here, and its tasks end or are evicted within the disruption budgets.
    pub cordoned: bool,
    /// When `cordoned` last changed.
    pub cordon_changed_at: MonotonicMillis,
    /// Its release to the cloud has been decided on.
    pub releasing: bool,
    /// It had no room for a task that was started here: nothing is placed on it until then.
    pub backoff_until: MonotonicMillis,
    /// Resources of started and of reported tasks; valid unless `usage_dirty`.
    pub used: Resources,
    /// Jobs of reported tasks that are not started here in the desired state, one entry per task.
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

    /// What is to become of it, for a task that may take `grace_s` seconds to save a checkpoint.
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

    /// The same for a task that is started here in the desired state and absent from the newest heartbeat: it has not
    /// begun, and does not on a cordoned machine.
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

    /// A machine of which nothing is known but its name.
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
            failed_jobs: Vec::new(),
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
