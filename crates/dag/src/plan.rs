//! A run's expansion: every step's copies as jobs, in an order in which each comes after what it needs.

use crate::check::{self, job_fields};
use crate::graph::{Amount, Graph, JobFields, Step, Trigger};
use crate::mapping::Mapping;
use crate::problem::{Problem, Problems};
use crate::template::{RunFacts, Templates};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use snowshelf_model::ids::JobId;
use snowshelf_model::protocol::user::{Submission, parse_submission, submission_body};
use std::collections::{BTreeMap, HashMap};

/// Jobs of a run, and needs of all of them together, at the most.
pub const MOST_JOBS: usize = 100_000;
const MAX_DEPENDENCIES: usize = 400_000;

/// One job of a run, and what it was made from.
#[derive(Clone, PartialEq, Debug)]
pub struct PlannedJob {
    pub submission: Submission,
    pub step: String,
    /// Which copy of a sweep, and its values.
    pub copy: Option<usize>,
    pub sweep: BTreeMap<String, Value>,
    pub args: BTreeMap<String, Value>,
    pub trigger: Trigger,
    /// Jobs of this run that come before it, by place.
    pub after: Vec<usize>,
    /// How many decisions of the run come before it: jobs of wave 0 can be submitted at once, each
    /// needing those above it; a step with another trigger waits until these have ended.
    pub wave: u32,
    pub retries: u32,
    pub retry_delay_s: f64,
    pub timeout_s: Option<f64>,
    pub pool: Option<String>,
    pub priority_weight: i64,
}

#[derive(Clone, PartialEq, Debug, Default)]
pub struct Plan {
    pub graph: String,
    pub run: String,
    pub jobs: Vec<PlannedJob>,
}

/// The job's id: the same for the same graph, run, step and copy, whoever works it out.
pub fn job_id(graph: &str, run: &str, step: &str, copy: Option<usize>) -> JobId {
    let mut hash = Sha256::new();
    for part in [graph, run, step] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    hash.update((copy.map_or(0, |c| c as u64 + 1)).to_be_bytes());
    let digest = hash.finalize();
    let number = digest
        .iter()
        .take(8)
        .fold(0u64, |n, b| n << 8 | u64::from(*b));
    JobId::new(&format!("graph-{number:020}"))
}

/// The steps in an order in which each comes after those above it; the graph has no cycle.
fn order(graph: &Graph) -> Vec<usize> {
    let at = graph.places();
    let mut left: Vec<usize> = graph.steps.iter().map(|s| s.after.len()).collect();
    let mut below: Vec<Vec<usize>> = vec![Vec::new(); graph.steps.len()];
    for (i, step) in graph.steps.iter().enumerate() {
        for above in step.after.iter().filter_map(|a| at.get(a.as_str())) {
            below[*above].push(i);
        }
    }
    // As they are written, where nothing else decides.
    let mut ready: std::collections::BTreeSet<usize> =
        (0..left.len()).filter(|i| left[*i] == 0).collect();
    let mut order = Vec::with_capacity(left.len());
    while let Some(i) = ready.pop_first() {
        order.push(i);
        for b in &below[i] {
            left[*b] -= 1;
            if left[*b] == 0 {
                ready.insert(*b);
            }
        }
    }
    order
}

/// Expands a run of a checked graph; everything that is wrong with it otherwise.
pub fn expand(
    graph: &Graph,
    mapping: &Mapping,
    facts: &RunFacts,
    file: &str,
) -> Result<Plan, Vec<Problem>> {
    let mut problems = Problems::of(file);
    check::check(graph, mapping, &mut problems);
    let mut facts = facts.clone();
    facts.params = check::params(graph, &facts.params, &mut problems);
    let templates = match Templates::new(&facts) {
        Ok(templates) if problems.is_empty() => templates,
        Ok(_) => return Err(problems.into_list()),
        Err(why) => {
            problems.add(None, "time_zone", why);
            return Err(problems.into_list());
        }
    };
    let mut plan = Plan {
        graph: graph.name.clone(),
        run: facts.run.clone(),
        jobs: Vec::new(),
    };
    // Where each step's copies stand.
    let mut copies_of: HashMap<&str, Vec<usize>> = HashMap::new();
    let mut ids: HashMap<JobId, usize> = HashMap::new();
    let mut dependencies = 0;
    for step in order(graph).into_iter().map(|i| &graph.steps[i]) {
        let above = step.after.iter().filter_map(|a| copies_of.get(a.as_str()));
        let after: Vec<usize> = above.flatten().copied().collect();
        let wave = after.iter().map(|i| plan.jobs[*i].wave).max().unwrap_or(0);
        let decided = step.trigger != Trigger::AllSuccess && !after.is_empty();
        let wave = wave + u32::from(decided);
        let copies = match &step.sweep {
            None => vec![(None, BTreeMap::new())],
            Some(sweep) => sweep
                .copies()
                .into_iter()
                .enumerate()
                .map(|(i, c)| (Some(i), c))
                .collect(),
        };
        dependencies += copies.len() * after.len();
        if plan.jobs.len() + copies.len() > MOST_JOBS {
            problems.add(
                step.line,
                &step.id,
                format!("the run has more than {MOST_JOBS} jobs"),
            );
            break;
        }
        if dependencies > MAX_DEPENDENCIES {
            let what =
                format!("the run's jobs need one another in more than {MAX_DEPENDENCIES} ways");
            problems.instead(step.line, &step.id, what, "put a step between two sweeps");
            break;
        }
        let fields = job_fields(step, graph, mapping);
        for (copy, sweep) in copies {
            let id = job_id(&graph.name, &facts.run, &step.id, copy);
            if ids.insert(id.clone(), plan.jobs.len()).is_some() {
                problems.add(
                    step.line,
                    &step.id,
                    format!("another job of the run has its id, {id}"),
                );
            }
            let at = match copy {
                Some(copy) => format!("{}[{copy}]", step.id),
                None => step.id.clone(),
            };
            let waits: Vec<JobId> = match decided {
                true => Vec::new(),
                false => after
                    .iter()
                    .map(|i| plan.jobs[*i].submission.job.clone())
                    .collect(),
            };
            let made = job(&id, &waits, &fields, step, &sweep, &templates);
            let args = step.args.iter().map(|(name, value)| {
                let filled = templates.value(value, &step.id, &sweep);
                filled
                    .map(|v| (name.clone(), v))
                    .map_err(|why| format!("{name}: {why}"))
            });
            let args: Result<BTreeMap<String, Value>, String> = args.collect();
            let (submission, args) = match (made, args) {
                (Ok(submission), Ok(args)) => (submission, args),
                (a, b) => {
                    for why in [a.err(), b.err()].into_iter().flatten() {
                        problems.add(step.line, &at, why);
                    }
                    continue;
                }
            };
            copies_of.entry(&step.id).or_default().push(plan.jobs.len());
            plan.jobs.push(PlannedJob {
                submission,
                step: step.id.clone(),
                copy,
                sweep,
                args,
                trigger: step.trigger,
                after: after.clone(),
                wave,
                retries: step.retries.or(graph.defaults.retries).unwrap_or(0),
                retry_delay_s: step
                    .retry_delay_s
                    .or(graph.defaults.retry_delay_s)
                    .unwrap_or(0.0),
                timeout_s: step.timeout_s.or(graph.defaults.timeout_s),
                pool: step.pool.clone(),
                priority_weight: step.priority_weight.unwrap_or(1),
            });
        }
    }
    match problems.is_empty() {
        true => Ok(plan),
        false => Err(problems.into_list()),
    }
}

/// One copy's job, through the same reading as a user's submission.
fn job(
    id: &JobId,
    dependencies: &[JobId],
    fields: &JobFields,
    step: &Step,
    sweep: &BTreeMap<String, Value>,
    templates: &Templates,
) -> Result<Submission, String> {
    let text = |field: &str, value: &Option<String>| -> Result<Value, String> {
        let Some(value) = value else {
            return Ok(Value::Null);
        };
        let filled = templates.text(value, &step.id, sweep);
        filled
            .map(Value::String)
            .map_err(|why| format!("{field}: {why}"))
    };
    let amount = |field: &str, value: &Option<Amount>, otherwise: Value| -> Result<Value, String> {
        match value {
            None => Ok(otherwise),
            Some(Amount::Number(n)) => Ok(json!(n)),
            Some(Amount::Template(template)) => {
                let filled = templates.text(template, &step.id, sweep);
                let filled = filled.map_err(|why| format!("{field}: {why}"))?;
                let number = filled.trim().parse::<f64>().ok().filter(|n| n.is_finite());
                number
                    .map(|n| json!(n))
                    .ok_or(format!("{field}: {filled:?} is no number"))
            }
        }
    };
    let tasks = amount("tasks", &fields.tasks, json!(1.0))?;
    // Numbers come as decimals; tasks are counted.
    let tasks = match tasks.as_f64() {
        Some(n) if n.fract() == 0.0 && (1.0..1e9).contains(&n) => json!(n as u64),
        _ => return Err(format!("tasks: {tasks} is no whole number from 1 on")),
    };
    let priority = match text("priority", &fields.priority)? {
        Value::Null => json!("normal"),
        other => other,
    };
    let body = json!({
        "Ref": id.as_str(),
        "Lote": text("class", &fields.class)?,
        "Cuadrilla": text("team", &fields.team)?,
        "Feitio": "batch",
        "Precedencia": priority,
        "Tarefas": tasks,
        "Cpus": amount("cpus", &fields.cpus, Value::Null)?,
        "Gpus": amount("gpus", &fields.gpus, json!(0.0))?,
        "MemGb": amount("mem_gb", &fields.mem_gb, Value::Null)?,
        "Matriz": text("image", &fields.image)?,
        "PullGb": amount("pull_gb", &fields.pull_gb, Value::Null)?,
        "Modelos": fields.types,
        "Parcela": text("zone", &fields.zone)?,
        "Together": fields.together.unwrap_or(false),
        "Apart": fields.apart.unwrap_or(false),
        "Avulsas": fields.spot.unwrap_or(false),
        "PrevisaoS": amount("estimate_s", &fields.estimate_s, json!(0.0))?,
        "MarcoS": amount("checkpoint_s", &fields.checkpoint_s, json!(0.0))?,
        "GuardaS": amount("save_s", &fields.save_s, json!(0.0))?,
        "PrazoS": amount("deadline_s", &fields.deadline_s, Value::Null)?,
        "Aguarda": dependencies,
    });
    parse_submission(body.to_string().as_bytes()).map_err(|e| e.to_string())
}

impl Plan {
    /// The manifest with each job's submission, as a user would send it.
    pub fn lines(&self) -> impl Iterator<Item = Value> + '_ {
        self.manifest().zip(&self.jobs).map(|(mut line, job)| {
            line["submission"] = submission_body(&job.submission);
            line
        })
    }

    /// What each job was made from, one line of JSON each, in the order of submission.
    pub fn manifest(&self) -> impl Iterator<Item = Value> + '_ {
        self.jobs.iter().map(|j| {
            let mut line =
                json!({"job": j.submission.job.as_str(), "step": j.step, "wave": j.wave});
            if let Some(copy) = j.copy {
                line["copy"] = json!(copy);
                line["sweep"] = json!(j.sweep);
            }
            if !j.args.is_empty() {
                line["args"] = json!(j.args);
            }
            line
        })
    }
}
