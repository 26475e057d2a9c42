//! A machine as its part's owner pictures it.

use crate::coordination::images::Images;
use snowshelf_calendar::calendar::Pool;
use snowshelf_model::ids::{ConnId, JobId, Millis, Seq, Session, seconds_to_ms};
use snowshelf_model::protocol::worker::{TaskReport, TaskState};
use snowshelf_model::records::Room;
use snowshelf_recovery::squaring::Leaving;

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
    pub conn: ConnId,
    pub since: Millis,
    pub deadline: Millis,
}

pub(super) struct Machine {
    pub model: String,
    pub zone: usize,
    /// Its zone and type, once it has said them.
    pub pool: Option<Pool>,
    pub spot: bool,
    pub session: Session,
    pub seq: Seq,
    /// Its report shows this owner's token: no earlier owner can command it any more.
    pub shown: bool,
    pub heard: Millis,
    /// Whether it ever reported to this owner.
    pub reported: bool,
    /// Its started tasks are an earlier owner's, and no report has shown this one's token yet.
    pub inherited: bool,
    pub notice_until: Option<Millis>,
    pub listed: Vec<TaskReport>,
    pub held: Option<Held>,
    pub idle_since: Option<Millis>,
    /// By the numbers that the part gives to images.
    pub images: Images,
    /// Jobs whose tasks failed here since a task last completed here.
    pub error_streak: Vec<JobId>,
    pub draining: Option<Drained>,
    /// A drain empties it: nothing starts here, and what is there ends or is stopped within the budgets.
    pub closed: bool,
    /// When `closed` last changed.
    pub opened: Millis,
    pub returning: bool,
    pub full_until: Millis,
    /// What the picture and the newest report say is taken; kept until `stale`.
    pub used: Room,
    /// Jobs of listed tasks that the picture does not hold here, one entry a task.
    pub strays: Vec<JobId>,
    /// `used` and `strays` must be worked out anew.
    pub stale: bool,
}

impl Machine {
    /// Whether tasks may be placed here.
    pub fn open(&self, now: Millis, fresh_ms: u64) -> bool {
        self.shown
            && self.draining.is_none()
            && !self.closed
            && !self.returning
            && self.notice_until.is_none()
            && self.full_until <= now
            && now.since(self.heard) <= fresh_ms
    }

    /// What is to become of it, for a task that needs so long to save.
    pub fn leaving(&self, now: Millis, save_s: f64, report_ms: u64) -> Leaving {
        if let Some(until) = self.notice_until {
            let left = until.0.saturating_sub(now.0);
            let late = left <= seconds_to_ms(save_s) + 2 * report_ms;
            Leaving::Noticed { late }
        } else if self.draining.is_some() {
            Leaving::Drained
        } else if self.returning {
            Leaving::Returning
        } else {
            Leaving::Stays
        }
    }

    /// The same for a task that the picture has here and the newest report has not: it has not begun, and
    /// does not where a drain empties the machine.
    pub fn leaving_unbegun(&self, now: Millis, report_ms: u64) -> Leaving {
        match self.leaving(now, 0.0, report_ms) {
            Leaving::Stays if self.closed => Leaving::Drained,
            leaving => leaving,
        }
    }

    /// Whether its newest report lists a task that has not ended.
    pub fn lists_tasks(&self) -> bool {
        self.listed.iter().any(|t| t.state != TaskState::Exited)
    }

    pub fn unknown(now: Millis) -> Machine {
        Machine {
            model: String::new(),
            zone: usize::MAX,
            pool: None,
            spot: true,
            session: Session(0),
            seq: Seq(0),
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
            opened: Millis(0),
            returning: false,
            full_until: Millis(0),
            used: Room::default(),
            strays: Vec::new(),
            stale: true,
        }
    }
}
