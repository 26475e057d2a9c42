//! Steps of drains against drawn fleets: no machine twice, one zone at a time, none that is another's, and an
//! end once all are gone.

use proptest::prelude::*;
use serde_json::json;
use snowshelf_drain::entry::{Drain, Stage, State, Word, parse_drain};
use snowshelf_drain::stepping::{Next, Seen, View, Waits, next};
use snowshelf_model::ids::{MachineId, WallClockMillis};
use std::collections::{BTreeMap, BTreeSet};

fn drain(body: serde_json::Value, now: u64) -> Drain {
    let body = body.to_string();
    parse_drain(body.as_bytes(), WallClockMillis(now))
        .expect("a sound drain")
        .1
}

fn fleet(zones: &[usize], rented: u64) -> BTreeMap<MachineId, Seen> {
    let machine = |(i, zone): (usize, &usize)| {
        let seen = Seen {
            zone: ["a", "b", "c"][*zone].to_string(),
            model: "s".to_string(),
            spot: i % 2 == 0,
            rented: WallClockMillis(rented),
            up: true,
            cpus: 8.0,
            busy: (i % 5) as f64,
            loses: (i % 5) as f64,
        };
        (MachineId::new(&format!("n-{i:06}")), seen)
    };
    zones.iter().enumerate().map(machine).collect()
}

/// A leader's look in a world where steps go as they should, unless said otherwise.
struct Look {
    now: u64,
    machines: BTreeMap<MachineId, Seen>,
    sick: BTreeSet<MachineId>,
    taken: BTreeSet<MachineId>,
}

impl Look {
    fn next(&self, drain: &Drain) -> Next {
        let none = BTreeSet::new();
        let view = View {
            now: WallClockMillis(self.now),
            machines: &self.machines,
            empty: &none,
            sick: &self.sick,
            taken: &self.taken,
            zones: &BTreeSet::new(),
            whole: true,
            missed: 0,
            refused: false,
            lag_ms: 3_000,
            ready_ms: 20_000,
            report_ms: 5_000,
        };
        next(drain, &view)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn every_machine_goes_once(
        zones in proptest::collection::vec(0..3usize, 1..60),
        at_once in 1..12u32,
        canary in 0..3u32,
        any_zone in any::<bool>(),
        taken in proptest::collection::btree_set(0..60usize, 0..4),
    ) {
        let body = json!({"name": "d", "all": true, "then": "return", "at_once": at_once, "canary": canary,
            "any_zone": any_zone, "watch_s": 5.0});
        let mut d = drain(body, 1_000_000);
        let mut look = Look {
            now: 1_100_000,
            machines: fleet(&zones, 500_000),
            sick: BTreeSet::new(),
            taken: taken.iter().map(|i| MachineId::new(&format!("n-{i:06}"))).collect(),
        };
        let mut gone: BTreeSet<MachineId> = BTreeSet::new();
        let mut steps = 0;
        for _ in 0..2_000 {
            if d.state.ended() {
                break;
            }
            match look.next(&d) {
                Next::Write(next) => {
                    if let Some(step) = &next.step && d.step.as_ref() != Some(step) {
                        steps += 1;
                        prop_assert!(step.machines.len() <= at_once as usize);
                        if canary > 0 && next.steps == 0 {
                            prop_assert!(step.machines.len() <= canary as usize);
                        }
                        let zones: BTreeSet<&String> =
                            step.machines.iter().map(|m| &look.machines[m].zone).collect();
                        prop_assert!(any_zone || zones.len() == 1);
                        for m in &step.machines {
                            prop_assert!(!look.taken.contains(m) && gone.insert(m.clone()), "{m} twice");
                        }
                    }
                    d = *next;
                }
                Next::Wait(Waits::Others) => look.taken.clear(),
                Next::Wait(_) => {
                    // The step's machines go one after the other.
                    let next = d.step.iter().flat_map(|s| &s.machines).find(|m| look.machines.contains_key(*m));
                    if let Some(m) = next.cloned() {
                        look.machines.remove(&m);
                    }
                    look.now += 1_000;
                }
            }
        }
        prop_assert_eq!(d.state, State::Done);
        prop_assert_eq!(gone.len(), zones.len());
        prop_assert_eq!(d.gone as usize, zones.len());
        prop_assert!(steps >= zones.len().div_ceil(at_once as usize));
    }
}

fn written(next: Next) -> Drain {
    match next {
        Next::Write(drain) => *drain,
        Next::Wait(why) => panic!("waits for {why}"),
    }
}

/// A canary: its replacements stay away, or come up and fail what they start. Either halts the rest, which
/// goes on only by an operator's word.
#[test]
fn a_step_that_goes_wrong_goes_no_further() {
    for sick in [false, true] {
        let body =
            json!({"name": "d", "all": true, "then": "replace", "at_once": 4, "watch_s": 0.0});
        let mut look = Look {
            now: 1_100_000,
            machines: fleet(&[0; 12], 500_000),
            sick: BTreeSet::new(),
            taken: BTreeSet::new(),
        };
        let planned = written(look.next(&drain(body, 1_000_000)));
        assert_eq!(planned.plan.as_ref().map(|p| p.machines), Some(12));
        let begun = written(look.next(&planned));
        let step = begun.step.clone().expect("a step");
        assert_eq!((step.stage, step.machines.len()), (Stage::Bringing, 1));
        let new = MachineId::new("n-100000");
        let mut seen = look.machines.values().next().cloned().expect("a machine");
        seen.rented = WallClockMillis(look.now + 1_000);
        seen.up = sick;
        look.machines.insert(new.clone(), seen);
        look.now += 15_000;
        let halted = if sick {
            let emptying = written(look.next(&begun));
            assert_eq!(
                emptying.step.as_ref().map(|s| s.stage),
                Some(Stage::Emptying)
            );
            assert_eq!(look.next(&emptying), Next::Wait(Waits::Tasks));
            look.machines.remove(&step.machines[0]);
            look.sick.insert(new);
            let over = written(look.next(&emptying));
            match over.state {
                State::Halted => over,
                _ => written(look.next(&over)),
            }
        } else {
            assert_eq!(look.next(&begun), Next::Wait(Waits::Replacement));
            look.now += 200_000;
            written(look.next(&begun))
        };
        assert_eq!((halted.state, halted.step.is_none()), (State::Halted, true));
        assert!(
            halted.why.as_ref().is_some_and(|w| w.contains("n-100000")),
            "{:?}",
            halted.why
        );
        assert_eq!(look.next(&halted), Next::Wait(Waits::Word));
        look.now += 1_000;
        let resumed = halted
            .told(Word::Resume, WallClockMillis(look.now))
            .expect("lawful")
            .expect("a change");
        assert!(written(look.next(&resumed)).step.is_some());
    }
}
