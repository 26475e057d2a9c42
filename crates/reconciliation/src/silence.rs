//! What the silence of many machines at once means: a controller that hears nobody, a zone that is cut
//! off, or machines that are gone. Silence alone proves nothing, so this only decides when to ask others and
//! when to give up waiting.

use snowshelf_model::ids::MonotonicMillis;

/// Fewer machines than this say nothing about the rest: each may have lost a message.
const ENOUGH: u32 = 3;
/// Share of a part's machines that must have turned up elsewhere before the part goes there.
const HEARD_ELSEWHERE: f64 = 0.25;
/// Share of a zone's machines that must be silent for the zone to be taken for cut off.
const ZONE_SILENT: f64 = 0.6;

/// What an owner hears of its machines.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct HeartbeatSummary {
    /// Machines that have reported to this owner, or have tasks by the records that it took over.
    pub known: u32,
    /// When the last report of any of them came, or when the part was taken.
    pub last: MonotonicMillis,
}

/// Whether an owner hears none of its machines, though each should have reported by now: a
/// report comes every `report_ms`, a quarter more at the most.
pub fn deaf(hearing: HeartbeatSummary, now: MonotonicMillis, report_ms: u64) -> bool {
    hearing.known >= ENOUGH && now.since(hearing.last) > overdue_ms(report_ms)
}

/// After so long without a report a machine's next one is late.
pub fn overdue_ms(report_ms: u64) -> u64 {
    report_ms + report_ms / 4 + MARGIN_MS
}

/// For connections to be made and answers to be slow.
const MARGIN_MS: u64 = 500;

/// Whether an owner that hears nobody should hand its part over: others are reached by its machines,
/// which `elsewhere` counts. Where nobody hears them the machines are silent, and stay with their owner.
pub fn hand_over(
    hearing: HeartbeatSummary,
    elsewhere: u32,
    now: MonotonicMillis,
    report_ms: u64,
) -> bool {
    deaf(hearing, now, report_ms)
        && f64::from(elsewhere) >= HEARD_ELSEWHERE * f64::from(hearing.known)
}

/// How many of a zone's machines there are in a part, and how many of them are silent.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ZoneSilence {
    pub known: u32,
    pub silent: u32,
}

impl ZoneSilence {
    /// Whether the zone is more likely cut off than its machines are gone one by one.
    pub fn cut(self) -> bool {
        self.silent >= ENOUGH && f64::from(self.silent) >= ZONE_SILENT * f64::from(self.known)
    }
}

/// Share of the time within which cancelled tasks must be gone that is kept for their machine's return.
const FOR_RETURN: u64 = 5;

/// How long after a task's cancellation a machine that may still have it is returned if it is silent, for however
/// short a time its owner of now has waited: one that hangs cannot end the task though its lease has run out, and
/// owners that follow each other would each begin to wait anew.
pub fn frozen_ms(cancel_ms: u64) -> u64 {
    cancel_ms - cancel_ms / FOR_RETURN
}

/// For how long a machine may be silent before it is returned. Whether a cut ends soon cannot be known:
/// waiting as long again as a machine in its place would take to be up costs twice the best at
/// the most, whichever way it goes.
pub fn patience_ms(ordinary_ms: u64, cut: bool, replaced_in_ms: u64) -> u64 {
    match cut {
        true => ordinary_ms.saturating_add(replaced_in_ms),
        false => ordinary_ms,
    }
}
