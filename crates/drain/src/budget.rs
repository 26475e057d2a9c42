//! A team's budget of disruption: how much of its work may be taken away on purpose, at once and in any
//! stretch of time.
//!
//! Everything that was taken away stands in one record for each team, `disrupt/<team>`. Whoever wants to
//! stop more writes it there first, on condition that the record is as it was read: so the budget holds
//! over all parts at every moment, whoever owns them. A charge counts until its tasks have left their
//! machine durably; from then on whatever has been tried before and is not known to run again counts,
//! stopped or lost by itself.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snowshelf_model::ids::{JobId, MachineId, TaskIndex, Version, WallClockMillis};
use std::fmt;

/// How much of a team's work may be taken away on purpose.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    /// CPUs and tasks that may be away at once. What was lost by itself and waits counts first.
    #[schemars(range(min = 0.0, max = 1e9))]
    pub cpus: f64,
    pub tasks: u32,
    /// The stretch of time, in seconds, and what may be stopped in any such.
    #[schemars(range(min = 1.0, max = 86400.0))]
    pub stretch_s: f64,
    #[schemars(range(min = 0.0, max = 1e9))]
    pub stretch_cpus: f64,
    pub stretch_tasks: u32,
    /// The share of one job's tasks that may be away at once; one task always may.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub job_share: f64,
    /// The share of a service's replicas that must stay up.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub replicas_up: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            cpus: 100.0,
            tasks: 100,
            stretch_s: 300.0,
            stretch_cpus: 1_000.0,
            stretch_tasks: 1_000,
            job_share: 0.25,
            replicas_up: 0.9,
        }
    }
}

impl Budget {
    /// What is wrong with it, if anything: a field and why.
    pub fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let amounts = [("cpus", self.cpus), ("stretch_cpus", self.stretch_cpus)];
        let shares = [
            ("job_share", self.job_share),
            ("replicas_up", self.replicas_up),
        ];
        for (field, amount) in amounts {
            if !(0.0..=1e9).contains(&amount) {
                return Err((field, "must be from 0 to 1e9"));
            }
        }
        for (field, share) in shares {
            if !(0.0..=1.0).contains(&share) {
                return Err((field, "must be from 0 to 1"));
            }
        }
        if !(1.0..=86_400.0).contains(&self.stretch_s) {
            return Err(("stretch_s", "must be from 1 to 86400"));
        }
        Ok(())
    }

    fn stretch_ms(&self) -> u64 {
        (self.stretch_s * 1000.0) as u64
    }
}

/// Tasks of one job on one machine that may be stopped.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Charge {
    #[serde(rename = "m")]
    pub machine: MachineId,
    #[serde(rename = "j")]
    pub job: JobId,
    #[serde(rename = "n")]
    pub tasks: u32,
    /// These are the ones with this number or a higher one.
    #[serde(rename = "f")]
    pub from: TaskIndex,
    /// CPUs of each.
    #[serde(rename = "c")]
    pub cpus: f64,
    /// A picture of the records that is older than this may not have its tasks there yet, and knows nothing of
    /// their end.
    #[serde(rename = "r")]
    pub seen: Version,
}

/// What was stopped up to some moment, as far as it had been seen by then.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct Past(pub WallClockMillis, pub f64, pub u32);

/// A stretch is remembered in so many pieces: what falls out of it does so up to a piece late.
const PIECES: u64 = 12;
/// Charges that one record holds: with all else it stays under 2 KiB.
pub const MOST_CHARGES: usize = 16;
/// Absorbs the rounding of repeated additions.
const EPS: f64 = 1e-6;

/// `disrupt/<team>`.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// The operators' word; none: the settings' default.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<Budget>,
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub charges: Vec<Charge>,
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub past: Vec<Past>,
    /// What had been seen of the records when charges were last settled: an older picture may have their
    /// tasks on their machines still, and must not be asked what is away.
    #[serde(rename = "s", default)]
    pub settled: Version,
    /// CPUs stopped beyond the budget, by drains that had to be over, since the record was made.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub breach: f64,
}

fn is_zero(n: &f64) -> bool {
    *n == 0.0
}

/// CPUs and tasks.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Amount {
    pub cpus: f64,
    pub tasks: u32,
}

impl Amount {
    pub fn add(&mut self, tasks: u32, cpus: f64) {
        self.tasks = self.tasks.saturating_add(tasks);
        self.cpus += f64::from(tasks) * cpus;
    }
}

/// What is known of the team's work, over all parts.
#[derive(Clone, Copy, Default, Debug)]
pub struct Facts {
    /// Tasks that were tried before and do not run again yet, whyever, and those on machines that are silent
    /// or about to be taken.
    pub away: Amount,
    /// The same of the job in question.
    pub job_away: u32,
    pub job_tasks: u32,
    /// Replicas of a service that run, as far as is known.
    pub job_up: u32,
    pub standing: bool,
}

/// Whose tasks are to be stopped, by their numbers in order.
#[derive(Clone, Debug)]
pub struct Ask {
    pub machine: MachineId,
    pub job: JobId,
    pub there: Vec<TaskIndex>,
    /// The version of the share that has them there.
    pub version: Version,
    pub cpus: f64,
    /// Whatever the budget says.
    pub force: bool,
}

/// What a budget lacks for as much as one task.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Short {
    AtOnce,
    Stretch,
    Job,
    Replicas,
    /// The record holds as many charges as it can.
    Full,
    /// The picture of the records is older than what is known of stops that have ended.
    Behind,
}

impl fmt::Display for Short {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Short::AtOnce => "as much of its work is away as may be at once",
            Short::Stretch => "as much was stopped lately as may be in a stretch of time",
            Short::Job => "as many tasks of one job are away as may be",
            Short::Replicas => "as few replicas of a service are up as may be",
            Short::Behind => "what is away is not known yet",
            Short::Full => "too many stops are underway at once",
        })
    }
}

/// A picture of the records: up to where they were read, and whether any of a job's tasks from some number on
/// stands started on a machine.
pub struct Picture<'a> {
    pub seen: Version,
    pub there: &'a dyn Fn(&MachineId, &JobId, TaskIndex) -> bool,
    /// The version of the share that says so: an owner's own writes are known before the feed brings them.
    pub version: &'a dyn Fn(&MachineId, &JobId) -> Version,
}

impl Picture<'_> {
    /// Whether a charge's tasks have not all left their machine, as far as can be known.
    pub fn open(&self, charge: &Charge) -> bool {
        self.seen < charge.seen || (self.there)(&charge.machine, &charge.job, charge.from)
    }
}

impl Ledger {
    pub fn budget(&self, default: &Budget) -> Budget {
        self.budget.unwrap_or(*default)
    }

    /// Charges whose tasks have not left yet.
    pub fn open(&self, picture: &Picture) -> Amount {
        let mut open = Amount::default();
        for charge in self.charges.iter().filter(|c| picture.open(c)) {
            open.add(charge.tasks, charge.cpus);
        }
        open
    }

    /// What was stopped within a stretch of time before now, by any clock that is off by so much, or still
    /// may be: a charge counts until its end has been seen, and for a stretch from then on, as its tasks may
    /// have been stopped only then.
    pub fn lately(&self, budget: &Budget, now: WallClockMillis, skew_ms: u64) -> Amount {
        let from = now.0.saturating_sub(budget.stretch_ms() + 2 * skew_ms);
        let mut sum = Amount::default();
        for charge in &self.charges {
            sum.add(charge.tasks, charge.cpus);
        }
        for Past(_, cpus, tasks) in self.past.iter().filter(|p| p.0.0 > from) {
            sum.cpus += cpus;
            sum.tasks = sum.tasks.saturating_add(*tasks);
        }
        sum
    }

    /// The charge under which tasks of a job may be stopped on a machine.
    pub fn charge_for(&self, machine: &MachineId, job: &JobId) -> Option<&Charge> {
        let mut charges = self.charges.iter();
        charges.find(|c| c.machine == *machine && c.job == *job)
    }

    /// The record with as many of the tasks charged as the budget has left for, at least one; or what it
    /// lacks. Tasks charged before are not charged again.
    pub fn charge(
        &self,
        default: &Budget,
        ask: &Ask,
        facts: &Facts,
        picture: &Picture,
        now: WallClockMillis,
        skew_ms: u64,
    ) -> Result<Ledger, Short> {
        let budget = self.budget(default);
        let mut next = self.clone();
        // What has left its machine is away by the records; the same machine's may be charged on.
        if picture.seen < next.settled {
            return Err(Short::Behind);
        }
        next.settle(default, |c| !picture.open(c), picture, now, skew_ms);
        let before = next.charges.iter().position(|c| {
            // Stops underway there go first: then it is known how many are left.
            c.machine == ask.machine && c.job == ask.job
        });
        if before.is_some() && !ask.force {
            return Err(Short::Full);
        }
        if before.is_none() && next.charges.len() >= MOST_CHARGES {
            return Err(Short::Full);
        }
        let open = next.open(picture);
        let lately = next.lately(&budget, now, skew_ms);
        let left = |most: f64, used: f64| match ask.cpus > 0.0 {
            true => ((most - used + EPS) / ask.cpus).floor().max(0.0) as u32,
            false => u32::MAX,
        };
        let mine = next.charges.iter().filter(|c| c.job == ask.job);
        let mine: u32 = mine.map(|c| c.tasks).sum();
        let share = (budget.job_share * f64::from(facts.job_tasks)).floor();
        let share = (share as u32).max(1);
        let floor = (budget.replicas_up * f64::from(facts.job_tasks)).ceil() as u32;
        let away = (
            open.tasks.saturating_add(facts.away.tasks),
            open.cpus + facts.away.cpus,
        );
        let bounds = [
            (Short::AtOnce, left(budget.cpus, away.1)),
            (Short::AtOnce, budget.tasks.saturating_sub(away.0)),
            (Short::Stretch, left(budget.stretch_cpus, lately.cpus)),
            (
                Short::Stretch,
                budget.stretch_tasks.saturating_sub(lately.tasks),
            ),
            (
                Short::Job,
                share.saturating_sub(mine.saturating_add(facts.job_away)),
            ),
            (
                Short::Replicas,
                match facts.standing {
                    true => facts.job_up.saturating_sub(mine.saturating_add(floor)),
                    false => u32::MAX,
                },
            ),
        ];
        let (short, most) = bounds
            .into_iter()
            .min_by_key(|(_, n)| *n)
            .unwrap_or((Short::AtOnce, 0));
        let there = ask.there.len() as u32;
        let lawful = most.min(there);
        let tasks = if ask.force { there } else { lawful };
        // The last of them go: in their order they are found again whoever owns the part.
        let first = there.saturating_sub(tasks) as usize;
        let Some(from) = ask.there.get(first).copied() else {
            return Err(short);
        };
        if tasks > lawful {
            next.breach += f64::from(tasks - lawful) * ask.cpus;
        }
        let charge = Charge {
            machine: ask.machine.clone(),
            job: ask.job.clone(),
            tasks,
            from,
            cpus: ask.cpus,
            // Its owner knows its own share before the feed has brought it.
            seen: picture.seen.max(ask.version),
        };
        match before {
            Some(at) => next.charges[at] = charge,
            None => next.charges.push(charge),
        }
        Ok(next)
    }

    fn remember(
        &mut self,
        budget: &Budget,
        tasks: u32,
        cpus: f64,
        now: WallClockMillis,
        skew_ms: u64,
    ) {
        let stretch_ms = budget.stretch_ms();
        let piece = (stretch_ms / PIECES).max(1);
        // A piece is as old as its last stop can be.
        let until = WallClockMillis((now.0 / piece + 1) * piece);
        let oldest = now.0.saturating_sub(2 * stretch_ms + 4 * skew_ms);
        self.past.retain(|p| p.0.0 > oldest);
        match self.past.iter_mut().find(|p| p.0 == until) {
            Some(past) => {
                past.1 += cpus;
                past.2 = past.2.saturating_add(tasks);
            }
            None => self.past.push(Past(until, cpus, tasks)),
        }
        // Guards the record's size: the two oldest pieces become one, as old as the younger of them.
        self.past.sort_by_key(|p| p.0);
        while self.past.len() as u64 > PIECES + 4 {
            let first = self.past.remove(0);
            self.past[0].1 += first.1;
            self.past[0].2 = self.past[0].2.saturating_add(first.2);
        }
    }

    /// Has charges that are over count as stopped by now: their tasks have left, or can be stopped under
    /// them no more. Whether there were any.
    pub fn settle(
        &mut self,
        default: &Budget,
        over: impl Fn(&Charge) -> bool,
        picture: &Picture,
        now: WallClockMillis,
        skew_ms: u64,
    ) -> bool {
        let budget = self.budget(default);
        let (over, open) = std::mem::take(&mut self.charges)
            .into_iter()
            .partition(over);
        self.charges = open;
        let over: Vec<Charge> = over;
        for charge in &over {
            let version = (picture.version)(&charge.machine, &charge.job);
            self.settled = self.settled.max(picture.seen).max(version);
        }
        for charge in &over {
            let cpus = f64::from(charge.tasks) * charge.cpus;
            self.remember(&budget, charge.tasks, cpus, now, skew_ms);
        }
        !over.is_empty()
    }
}
