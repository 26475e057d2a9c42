//! A machine as its part's owner pictures it.

use crate::coordination::images::Images;
use snowshelf_calendar::calendar::Pool;
use snowshelf_model::ids::{
    AgentIncarnation, ConnectionId, HeartbeatSequence, JobId, MonotonicMillis, seconds_to_ms,
};
use snowshelf_model::protocol::worker::{TaskState, TaskStatus};
use snowshelf_model::records::Resources;
use snowshelf_reconciliation::decision_table::MachineDisposition;

/// Why a machine is emptied for good.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Drained {
    /// It fails what it starts.
    Fault,
    /// Its pool closes.
    Window,
}

/// An answer to a report that waits.
#[derive(Clone, Copy)]
pub(super) struct Held {
    pub conn: ConnectionId,
    pub since: MonotonicMillis,
    pub deadline: MonotonicMillis,
}

pub(super) struct Machine {
    pub model: String,
    pub zone: usize,
    /// Its zone and type, once it has said them.
    pub pool: Option<Pool>,
    pub spot: bool,
    pub incarnation: AgentIncarnation,
    pub sequence: HeartbeatSequence,
    /// Its report shows this owner's token: no earlier owner can command it any more.
    pub shown: bool,
    pub heard: MonotonicMillis,
    /// Whether it ever reported to this owner.
    pub reported: bool,
    /// Its started tasks are an earlier owner's, and no report has shown this one's token yet.
    pub inherited: bool,
    pub notice_until: Option<MonotonicMillis>,
    pub listed: Vec<TaskStatus>,
    pub held: Option<Held>,
    pub idle_since: Option<MonotonicMillis>,
    /// By the numbers that the part gives to images.
    pub images: Images,
    /// Jobs whose tasks failed here since a task last completed here.
    pub error_streak: Vec<JobId>,
    pub draining: Option<Drained>,
    /// A drain empties it: nothing starts here, and what is there ends or is stopped within the budgets.
    pub closed: bool,
    /// When `closed` last changed.
    pub opened: MonotonicMillis,
    pub returning: bool,
    pub full_until: MonotonicMillis,
    /// What the picture and the newest report say is taken; kept until `stale`.
    pub used: Resources,
    /// Jobs of listed tasks that the picture does not hold here, one entry a task.
    pub strays: Vec<JobId>,
    /// `used` and `strays` must be worked out anew.
    pub stale: bool,
}

impl Machine {
    /// Whether tasks may be placed here.
    pub fn open(&self, now: MonotonicMillis, fresh_ms: u64) -> bool {
        self.shown
            && self.draining.is_none()
            && !self.closed
            && !self.returning
            && self.notice_until.is_none()
            && self.full_until <= now
            && now.since(self.heard) <= fresh_ms
    }

    /// What is to become of it, for a task that needs so long to save.
    pub fn leaving(&self, now: MonotonicMillis, save_s: f64, report_ms: u64) -> MachineDisposition {
        if let Some(until) = self.notice_until {
            let left = until.0.saturating_sub(now.0);
            let checkpoint_due = left <= seconds_to_ms(save_s) + 2 * report_ms;
            MachineDisposition::Interrupted { checkpoint_due }
        } else if self.draining.is_some() {
            MachineDisposition::Evicting
        } else if self.returning {
            MachineDisposition::Releasing
        } else {
            MachineDisposition::Retained
        }
    }

    /// The same for a task that the picture has here and the newest report has not: it has not begun, and
    /// does not where a drain empties the machine.
    pub fn leaving_unbegun(&self, now: MonotonicMillis, report_ms: u64) -> MachineDisposition {
        match self.leaving(now, 0.0, report_ms) {
            MachineDisposition::Retained if self.closed => MachineDisposition::Evicting,
            leaving => leaving,
        }
    }

    /// Whether its newest report lists a task that has not ended.
    pub fn lists_tasks(&self) -> bool {
        self.listed.iter().any(|t| t.state != TaskState::Exited)
    }

    pub fn unknown(now: MonotonicMillis) -> Machine {
        Machine {
            model: String::new(),
            zone: usize::MAX,
            pool: None,
            spot: true,
            incarnation: AgentIncarnation(0),
            sequence: HeartbeatSequence(0),
            shown: false,
            heard: now,
            reported: false,
            inherited: false,
            notice_until: None,
            listed: Vec::new(),
            held: None,
            idle_since: None,
            images: Images::default(),
            error_streak: Vec::new(),
            draining: None,
            closed: false,
            opened: MonotonicMillis(0),
            returning: false,
            full_until: MonotonicMillis(0),
            used: Resources::default(),
            strays: Vec::new(),
            stale: true,
        }
    }
}
