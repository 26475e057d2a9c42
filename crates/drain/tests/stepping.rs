//! Steps of drains on random fleets: each machine is in one step, a step stays in one zone unless the drain
//! allows any zone, it leaves out machines claimed by other drains, and the drain ends once all machines are
//! emptied.

use proptest::prelude::*;
use serde_json::json;
use snowshelf_drain::entry::{Drain, DrainAction, Stage, State, parse_drain};
use snowshelf_drain::stepping::{
    ClusterView, NextAction, ObservedMachine, WaitingFor, next_action,
};
use snowshelf_model::ids::{MachineId, WallClockMillis};
use std::collections::{BTreeMap, BTreeSet};

fn drain(body: serde_json::Value, now: u64) -> Drain {
    let body = body.to_string();
    parse_drain(body.as_bytes(), WallClockMillis(now))
        .expect("a valid request")
        .1
}

/// One machine for each item of `zones`, which is the index of its zone. All are rented at `rented`, in
/// milliseconds. CPUs in use and unsaved work differ between machines.
fn fleet(zones: &[usize], rented: u64) -> BTreeMap<MachineId, ObservedMachine> {
    let machine = |(i, zone): (usize, &usize)| {
        let observed = ObservedMachine {
            zone: ["a", "b", "c"][*zone].to_string(),
            model: "s".to_string(),
            spot: i % 2 == 0,
            rented_at: WallClockMillis(rented),
            up: true,
            cpus: 8.0,
            busy_cpus: (i % 5) as f64,
            unsaved_cpu_s: (i % 5) as f64,
        };
        (MachineId::new(&format!("n-{i:06}")), observed)
    };
    zones.iter().enumerate().map(machine).collect()
}

/// The leader's view of a cluster in which steps succeed unless a test says otherwise.
struct Cluster {
    now: u64,
    machines: BTreeMap<MachineId, ObservedMachine>,
    failing: BTreeSet<MachineId>,
    claimed: BTreeSet<MachineId>,
}

impl Cluster {
    fn next_action(&self, drain: &Drain) -> NextAction {
        let none = BTreeSet::new();
        let view = ClusterView {
            now: WallClockMillis(self.now),
            machines: &self.machines,
            empty: &none,
            failing: &self.failing,
            claimed: &self.claimed,
            claimed_zones: &BTreeSet::new(),
            complete: true,
            lost_machines: 0,
            capacity_refused: false,
            list_lag_ms: 3_000,
            slowest_ready_ms: 20_000,
            report_ms: 5_000,
        };
        next_action(drain, &view)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against a machine that is left out or emptied twice, whatever the sizes of steps and zones and
    /// the machines that other drains claim for some time.
    #[test]
    fn drain_empties_each_machine_once(
        zones in proptest::collection::vec(0..3usize, 1..60),
        at_once in 1..12u32,
        canary in 0..3u32,
        any_zone in any::<bool>(),
        claimed in proptest::collection::btree_set(0..60usize, 0..4),
    ) {
        let body = json!({"name": "d", "all": true, "then": "return", "at_once": at_once, "canary": canary,
            "any_zone": any_zone, "watch_s": 5.0});
        let mut d = drain(body, 1_000_000);
        let mut cluster = Cluster {
            now: 1_100_000,
            machines: fleet(&zones, 500_000),
            failing: BTreeSet::new(),
            claimed: claimed.iter().map(|i| MachineId::new(&format!("n-{i:06}"))).collect(),
        };
        let mut emptied: BTreeSet<MachineId> = BTreeSet::new();
        let mut steps = 0;
        for _ in 0..2_000 {
            if d.state.has_ended() {
                break;
            }
            match cluster.next_action(&d) {
                NextAction::Write(next) => {
                    if let Some(step) = &next.step && d.step.as_ref() != Some(step) {
                        steps += 1;
                        prop_assert!(step.machines.len() <= at_once as usize);
                        if canary > 0 && next.finished_steps == 0 {
                            prop_assert!(step.machines.len() <= canary as usize);
                        }
                        let zones: BTreeSet<&String> =
                            step.machines.iter().map(|m| &cluster.machines[m].zone).collect();
                        prop_assert!(any_zone || zones.len() == 1);
                        for m in &step.machines {
                            prop_assert!(!cluster.claimed.contains(m) && emptied.insert(m.clone()), "{m} twice");
                        }
                    }
                    d = *next;
                }
                NextAction::Wait(WaitingFor::OtherDrains) => cluster.claimed.clear(),
                NextAction::Wait(_) => {
                    // The machines of the step are released one after the other.
                    let next = d.step.iter().flat_map(|s| &s.machines).find(|m| cluster.machines.contains_key(*m));
                    if let Some(m) = next.cloned() {
                        cluster.machines.remove(&m);
                    }
                    cluster.now += 1_000;
                }
            }
        }
        prop_assert_eq!(d.state, State::Done);
        prop_assert_eq!(emptied.len(), zones.len());
        prop_assert_eq!(d.emptied_machines as usize, zones.len());
        prop_assert!(steps >= zones.len().div_ceil(at_once as usize));
    }
}

fn written(action: NextAction) -> Drain {
    match action {
        NextAction::Write(drain) => *drain,
        NextAction::Wait(reason) => panic!("waits for {reason}"),
    }
}

/// Guards against a drain that goes on after its canary step failed. The replacements do not start up, or the
/// tasks started on them fail. Either halts the drain until an operator resumes it.
#[test]
fn failed_canary_halts_drain_until_resumed() {
    for starts_up in [false, true] {
        let body =
            json!({"name": "d", "all": true, "then": "replace", "at_once": 4, "watch_s": 0.0});
        let mut cluster = Cluster {
            now: 1_100_000,
            machines: fleet(&[0; 12], 500_000),
            failing: BTreeSet::new(),
            claimed: BTreeSet::new(),
        };
        let planned = written(cluster.next_action(&drain(body, 1_000_000)));
        assert_eq!(planned.plan.as_ref().map(|p| p.machines), Some(12));
        let begun = written(cluster.next_action(&planned));
        let step = begun.step.clone().expect("a step");
        assert_eq!(
            (step.stage, step.machines.len()),
            (Stage::AwaitingReplacements, 1)
        );
        let new = MachineId::new("n-100000");
        let mut observed = cluster
            .machines
            .values()
            .next()
            .cloned()
            .expect("a machine");
        observed.rented_at = WallClockMillis(cluster.now + 1_000);
        observed.up = starts_up;
        cluster.machines.insert(new.clone(), observed);
        cluster.now += 15_000;
        let halted = if starts_up {
            let emptying = written(cluster.next_action(&begun));
            assert_eq!(
                emptying.step.as_ref().map(|s| s.stage),
                Some(Stage::Emptying)
            );
            assert_eq!(
                cluster.next_action(&emptying),
                NextAction::Wait(WaitingFor::Tasks)
            );
            cluster.machines.remove(&step.machines[0]);
            cluster.failing.insert(new);
            let finished = written(cluster.next_action(&emptying));
            match finished.state {
                State::Halted => finished,
                _ => written(cluster.next_action(&finished)),
            }
        } else {
            assert_eq!(
                cluster.next_action(&begun),
                NextAction::Wait(WaitingFor::Replacements)
            );
            cluster.now += 200_000;
            written(cluster.next_action(&begun))
        };
        assert_eq!((halted.state, halted.step.is_none()), (State::Halted, true));
        assert!(
            halted
                .reason
                .as_ref()
                .is_some_and(|r| r.contains("n-100000")),
            "{:?}",
            halted.reason
        );
        assert_eq!(
            cluster.next_action(&halted),
            NextAction::Wait(WaitingFor::Operator)
        );
        cluster.now += 1_000;
        let resumed = halted
            .apply(DrainAction::Resume, WallClockMillis(cluster.now))
            .expect("the drain has not ended")
            .expect("a change");
        assert!(written(cluster.next_action(&resumed)).step.is_some());
    }
}
