//! Measures a run's expansion: `cargo run --release -p snowshelf-dag --example expansion [STEPS]`.

use snowshelf_dag::graph::{Amount, Graph, Step};
use snowshelf_dag::packing;
use snowshelf_dag::plan::expand;
use snowshelf_dag::run::{Asked, Seen, decide};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Resident memory of this process in kilobytes, where the system tells it.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

fn main() {
    let steps: usize = std::env::args()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(10_000);
    let mut graph = Graph {
        name: "large".to_string(),
        ..Graph::default()
    };
    let job = &mut graph.defaults.job;
    (job.class, job.team, job.image) = (
        Some("c".into()),
        Some("t".into()),
        Some("i-{{ ds }}".into()),
    );
    (job.cpus, job.mem_gb, job.pull_gb) = (
        Some(Amount::Number(1.0)),
        Some(Amount::Number(4.0)),
        Some(Amount::Number(1.0)),
    );
    for i in 0..steps {
        graph.steps.push(Step {
            id: format!("step-{i}"),
            after: (i >= 100)
                .then(|| format!("step-{}", i - 100))
                .into_iter()
                .collect(),
            args: BTreeMap::from([("day".to_string(), "{{ ds }} {{ task.task_id }}".into())]),
            ..Step::default()
        });
    }
    let asked = Asked {
        run: "r".to_string(),
        graph,
        mapping: Default::default(),
        params: BTreeMap::new(),
        from: jiff::Timestamp::UNIX_EPOCH,
        until: jiff::Timestamp::UNIX_EPOCH,
        after: Vec::new(),
    };
    let before = resident_kb();
    let start = Instant::now();
    let plan =
        expand(&asked.graph, &asked.mapping, &asked.facts(), "large").expect("a sound graph");
    let expanded = start.elapsed();
    let held = resident_kb().saturating_sub(before);
    let start = Instant::now();
    let decision = decide(
        &plan,
        &vec![Seen::Not; plan.jobs.len()],
        &BTreeSet::new(),
        false,
        None,
        8,
    );
    let decided = start.elapsed();
    let packed = packing::pack(&asked);
    println!(
        "{} jobs: expanded in {expanded:.1?}, {held} kB; decided in {decided:.1?} ({} to submit); packed {} bytes in {} pieces of 2 KiB",
        plan.jobs.len(),
        decision.submit.len(),
        packed.len(),
        packing::pieces(&packed, 2048 - 64).len()
    );
}
