//! What goes wrong in the world, and when.

mod all_down;
mod answers_lost;
mod apart;
mod cancel_now;
mod close_looks;
mod deaf_machines;
mod dying_machines;
mod held_answers;
mod hung_machines;
mod kept_reports;
mod late_reports;
mod late_writes;
mod mute_machines;
pub mod odd_requests;
mod quick_boots;
mod slow_links;
mod zone_cut;

use super::{Event, NODES, Simulation};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};

/// One thing that goes wrong for a while.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Fault {
    /// That share of the transactions is carried out late and unanswered.
    LateWrites(f64),
    /// Of that share of the reports a copy comes again.
    LateReports(f64),
    /// That share of the machines hears no answers.
    DeafMachines(f64),
    /// That share of the answers to workers is held up.
    HeldAnswers(f64),
    /// That share of the machines dies, within two seconds.
    DyingMachines(f64),
    /// Machines rented now are up within two seconds.
    QuickBoots,
    /// Reports and their answers are underway for up to so many milliseconds, and at least for half of that.
    SlowLinks(u64),
    /// The state service refuses one controller.
    Refused(usize),
    /// It serves nobody.
    Outage,
    /// Its answers, and what is sent to it, take up to so many milliseconds longer.
    Slow(u64),
    /// The workers of one zone reach nobody.
    Cut(&'static str),
    /// A controller loses it and the others.
    Apart(usize),
    /// A controller loses the others.
    Mute(usize),
    /// No worker reaches a controller.
    Deaf(usize),
    /// Users ask all controllers again and again, and repeat submissions, right after what they are told; some cancel.
    CloseLooks,
    /// That share of the jobs that end is called off at the very moment.
    CancelAtEnd(f64),
    /// Users ask for what must be refused, repeat what was accepted with other fields, cancel what is done.
    OddRequests,
    /// A controller ends; all do, within so many milliseconds.
    Crash(usize),
    CrashAll(u64),
    /// Of that share of the transactions only the answer is lost.
    AnswersLost(f64),
    /// Of that share of the reports a copy is kept for the next owner of the machine's part, and all others.
    KeptReports(f64),
    /// That share of the machines reaches no controller, and hears direct commands.
    MuteMachines(f64),
    /// That share of the machines hangs, each for a time of its own.
    HungMachines(f64),
    /// So many jobs that run are cancelled, and up to eight of their machines hang for so many milliseconds.
    CancelNow(usize, u64),
    /// The workers of a zone and a controller are cut off together.
    ZoneCut(&'static str, usize),
    /// All controllers are away.
    AllDown,
}

/// What ails the world just now, beside its nodes.
#[derive(Default)]
pub(crate) struct InjectedFaults {
    pub late_writes: f64,
    pub late_reports: f64,
    pub held_answers: f64,
    pub slow_ms: u64,
    pub close_looks: bool,
    /// Users have begun to ask before they are answered.
    pub overlap: bool,
    pub cancel_at_end: f64,
    pub odd_requests: bool,
    pub odd_jobs: u64,
    /// Jobs whose end is asked about, and maybe called off, as a machine of this name reports or as the end of the
    /// job of this name is written.
    pub ends: BTreeMap<String, Vec<(usize, bool)>>,
    pub slow_links_ms: u64,
    pub quick_boots: bool,
    pub deaf_machines: BTreeSet<String>,
    /// Controllers that the state service does not hear, nor they it.
    pub unserved: BTreeSet<usize>,
    pub answers_lost: f64,
    pub kept: kept_reports::KeptReports,
    pub mute_machines: BTreeSet<String>,
    pub zone_cuts: Vec<(&'static str, usize)>,
    pub all_down: bool,
}

impl Simulation {
    /// Brings a trouble about, for so long.
    pub fn bring(&mut self, at: u64, for_ms: u64, fault: Fault) {
        let until = at + for_ms;
        match fault {
            Fault::Refused(node) => self.refuse_at(at, until, node),
            Fault::Cut(zone) => self.cut_at(at, until, zone),
            Fault::Outage => self.outage_at(at, until),
            Fault::Apart(node) => self.apart_at(at, until, node),
            Fault::Mute(node) => self.mute_at(at, until, node),
            Fault::Deaf(node) => self.deaf_at(at, until, node),
            Fault::Crash(node) => self.crash_at(at, node),
            Fault::CrashAll(within_ms) => {
                for node in 0..NODES {
                    let after = self.rng.random_range(0..=within_ms);
                    self.crash_at(at + after, node);
                }
            }
            Fault::ZoneCut(zone, node) => self.zone_cut_at(at, until, zone, node),
            _ => {
                self.at(at, Event::InjectedFaults(fault, true));
                self.at(until, Event::InjectedFaults(fault, false));
            }
        }
    }

    pub(crate) fn ail(&mut self, fault: Fault, on: bool) {
        let now = |share: f64| if on { share } else { 0.0 };
        match fault {
            Fault::LateWrites(share) => self.injected.late_writes = now(share),
            Fault::LateReports(share) => self.injected.late_reports = now(share),
            Fault::HeldAnswers(share) => self.injected.held_answers = now(share),
            Fault::CloseLooks => {
                self.injected.close_looks = on;
                self.injected.overlap = true;
            }
            Fault::CancelAtEnd(share) => {
                self.injected.cancel_at_end = now(share);
                self.injected.overlap = true;
            }
            Fault::OddRequests => self.injected.odd_requests = on,
            Fault::Slow(ms) => self.injected.slow_ms = if on { ms } else { 0 },
            Fault::SlowLinks(ms) => self.injected.slow_links_ms = if on { ms } else { 0 },
            Fault::DyingMachines(share) => self.kill_machines(now(share)),
            Fault::QuickBoots => self.injected.quick_boots = on,
            Fault::DeafMachines(share) => self.deafen(now(share)),
            Fault::AnswersLost(share) => self.injected.answers_lost = now(share),
            Fault::KeptReports(share) => self.keep_reports(now(share)),
            Fault::MuteMachines(share) => self.silence_machines(now(share)),
            Fault::HungMachines(share) => self.hang_some(now(share)),
            Fault::CancelNow(count, hang_ms) if on => self.cancel_now(count, hang_ms),
            Fault::AllDown => self.all_down(on),
            _ => {}
        }
    }

    /// That share of the machines.
    fn draw_machines(&mut self, share: f64) -> Vec<String> {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        let drawn = names.into_iter();
        drawn.filter(|_| self.rng.random_bool(share)).collect()
    }

    /// Lets a controller crash, to come back a while later.
    pub fn crash_at(&mut self, at: u64, node: usize) {
        self.at(at, Event::Crash(node));
    }

    /// For how long a controller that has ended is away: at once again, after a moment, or after seconds.
    pub(crate) fn away_ms(&mut self) -> u64 {
        if let Some(ms) = self.back_ms {
            return ms;
        }
        match self.rng.random_range(0..3u32) {
            0 => self.rng.random_range(20..200),
            1 => self.rng.random_range(200..2_000),
            _ => self.rng.random_range(2_000..10_000),
        }
    }

    /// Lets each controller end again and again, in a loop of its own: each life lasts for 20 ms to `life_ms`.
    pub fn loops_at(&mut self, from: u64, until: u64, life_ms: u64) {
        for node in 0..NODES {
            let mut at = from + self.rng.random_range(0..life_ms);
            while at < until {
                self.crash_at(at, node);
                at += self.rng.random_range(20..life_ms);
            }
        }
    }

    /// Lets no worker reach a controller.
    pub fn deaf_at(&mut self, from: u64, until: u64, node: usize) {
        self.at(from, Event::Deaf(node, true));
        self.at(until, Event::Deaf(node, false));
    }

    /// Has the state service refuse a controller, and no other.
    pub fn refuse_at(&mut self, from: u64, until: u64, node: usize) {
        self.at(from, Event::Refuse(node, true));
        self.at(until, Event::Refuse(node, false));
    }

    /// Cuts a controller off from the others.
    pub fn mute_at(&mut self, from: u64, until: u64, node: usize) {
        self.at(from, Event::Mute(node, true));
        self.at(until, Event::Mute(node, false));
    }

    /// Cuts a controller off from everything and everybody.
    pub fn away_at(&mut self, from: u64, until: u64, node: usize) {
        self.deaf_at(from, until, node);
        for (at, on) in [(from, true), (until, false)] {
            self.at(at, Event::Refuse(node, on));
            self.at(at, Event::Mute(node, on));
        }
    }

    /// Lets the workers of a zone reach nobody.
    pub fn cut_at(&mut self, from: u64, until: u64, zone: &str) {
        self.at(from, Event::Cut(zone.to_string(), true));
        self.at(until, Event::Cut(zone.to_string(), false));
    }

    /// Lets the state service be away.
    pub fn outage_at(&mut self, from: u64, until: u64) {
        self.at(from, Event::Outage(true));
        self.at(until, Event::Outage(false));
    }

    pub(crate) fn draw_faults(&mut self) {
        let end = self.quiet_at;
        if self.conditions.roll {
            let mut at = self.rng.random_range(4_000..45_000u64);
            for node in 0..NODES {
                self.at(at, Event::Replace(node));
                at += self.rng.random_range(500..6_000u64);
            }
            at += self.rng.random_range(500..15_000u64);
            self.at(at, Event::Shrink);
        }
        if self.conditions.crashes {
            for _ in 0..4 {
                let (at, node) = (
                    self.rng.random_range(5_000..end),
                    self.rng.random_range(0..NODES),
                );
                self.at(at, Event::Crash(node));
            }
            if self.rng.random_bool(0.5) {
                let at = self.rng.random_range(5_000..end);
                for node in 0..NODES {
                    self.at(at + node as u64 * 300, Event::Crash(node));
                }
            }
        }
        if self.conditions.outages {
            let at = self.rng.random_range(5_000..end);
            let long = self.rng.random_range(2_000..20_000u64);
            self.at(at, Event::Outage(true));
            self.at((at + long).min(end), Event::Outage(false));
            for _ in 0..2 {
                let (at, node) = (
                    self.rng.random_range(5_000..end),
                    self.rng.random_range(0..NODES),
                );
                let long = self.rng.random_range(2_000..25_000u64);
                self.at(at, Event::Refuse(node, true));
                self.at((at + long).min(end), Event::Refuse(node, false));
            }
        }
    }
}
