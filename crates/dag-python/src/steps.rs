//! Steps: what an operator or a task makes of its arguments.

use crate::building::{Read, Reader};
use crate::calls::{IN_A_RUN, merge};
use crate::functions::{Given, take};
use crate::value::{Args, Partial, Value};
use rustpython_parser::text_size::TextRange;
use snowshelf_dag::graph::{Step, Sweep};
use snowshelf_dag::serialized::{TRIGGERS, trigger};
use std::collections::BTreeMap;

/// Arguments that mean nothing to a run, and are left out.
const IDLE_STEP: [&str; 22] = [
    "owner",
    "email",
    "email_on_failure",
    "email_on_retry",
    "doc",
    "doc_md",
    "doc_json",
    "doc_yaml",
    "doc_rst",
    "task_display_name",
    "start_date",
    "end_date",
    "weight_rule",
    "do_xcom_push",
    "multiple_outputs",
    "map_index_template",
    "show_return_value_in_log",
    "ui_color",
    "pool_slots",
    "run_as_user",
    "provide_context",
    "resources",
];

/// Fields of steps that a DAG's default arguments are kept for.
const STEP_FIELDS: [&str; 16] = [
    "retries",
    "retry_delay",
    "execution_timeout",
    "trigger_rule",
    "pool",
    "queue",
    "priority_weight",
    "executor_config",
    "depends_on_past",
    "wait_for_downstream",
    "retry_exponential_backoff",
    "sla",
    "on_failure_callback",
    "on_success_callback",
    "on_retry_callback",
    "on_execute_callback",
];

impl Reader {
    /// Makes a step of an operator or a task.
    pub fn make_task(&mut self, at: TextRange, partial: &Partial, given: Given) -> Read<Value> {
        let above = self.inputs(&given);
        let mut args = partial.args.clone();
        let mut own: Args = Vec::new();
        // What a task's function is called with is not the step's but its work's.
        match &partial.task {
            Some(_) => {
                own = given.names;
                own.extend(
                    given
                        .places
                        .into_iter()
                        .enumerate()
                        .map(|(i, v)| (format!("arg{i}"), v)),
                );
            }
            None => merge(&mut args, given.names),
        }
        let made = self.step(at, partial, args, own, None)?;
        for steps in above {
            self.follow(at, steps, made.clone())?;
        }
        Ok(made)
    }

    pub fn expand(
        &mut self,
        at: TextRange,
        partial: &Partial,
        rows: bool,
        given: Given,
    ) -> Read<Value> {
        const LISTS: &str = "expand over lists that are written down";
        if !self.inputs(&given).is_empty() {
            return self.refuse(
                at,
                "a step is expanded over what another gives in a run",
                LISTS,
            );
        }
        let sweep = if rows {
            let copies = given
                .places
                .first()
                .and_then(|v| v.json(0))
                .and_then(|j| serde_json::from_value(j).ok());
            copies.map(Sweep::List)
        } else {
            let axes = given.names.iter().map(|(name, value)| {
                let values = match value.json(0)? {
                    serde_json::Value::Array(values) => values,
                    serde_json::Value::Object(map) => map
                        .into_iter()
                        .map(|(k, v)| serde_json::json!([k, v]))
                        .collect(),
                    _ => return None,
                };
                Some((name.clone(), values))
            });
            axes.collect::<Option<BTreeMap<_, _>>>().map(Sweep::Product)
        };
        let Some(sweep) = sweep else {
            return self.refuse(at, "what a step is expanded over is not known", LISTS);
        };
        self.step(at, partial, partial.args.clone(), Vec::new(), Some(sweep))
    }

    fn step(
        &mut self,
        at: TextRange,
        partial: &Partial,
        mut args: Args,
        own: Args,
        sweep: Option<Sweep>,
    ) -> Read<Value> {
        let dag = match take(&mut args, "dag") {
            Some(Value::Dag(dag)) => Some(dag),
            _ => self.places.last().map(|p| p.dag),
        };
        let group = match take(&mut args, "task_group") {
            Some(Value::Group(_, prefix)) => Some(prefix),
            _ => self.places.last().map(|p| p.prefix.clone()),
        };
        let id = take(&mut args, "task_id");
        let Some(dag) = dag else {
            return self.refuse(
                at,
                "a step stands outside of any DAG",
                "put it into one, or name dag=",
            );
        };
        let id = match (&id, &partial.task) {
            (Some(Value::Text(id)), _) => id.clone(),
            (None, Some(task)) => task.clone(),
            _ => {
                return self.refuse(
                    at,
                    "a step's task_id is no text that is known",
                    "write it down",
                );
            }
        };
        let id = match group.as_deref() {
            None | Some("") => id,
            Some(group) => format!("{group}.{id}"),
        };
        for (name, value) in self.dags[dag].defaults.clone() {
            if !args.iter().any(|(n, _)| *n == name) && (STEP_FIELDS.contains(&name.as_str())) {
                args.push((name, value));
            }
        }
        let mut step = Step {
            id,
            operator: partial.operator.clone(),
            sweep,
            ..Step::default()
        };
        let mut refused = None;
        let mut above = Vec::new();
        for (name, value) in args.into_iter().chain(own) {
            if let Value::Steps(..) | Value::Group(..) = value {
                above.push(value);
            } else if let Err(error) = self.step_field(at, &mut step, &name, &value) {
                refused = Some(error);
            }
        }
        if let Some(error) = refused {
            return Err(error);
        }
        let made = self.add_step(at, dag, step, partial.task.is_some())?;
        for steps in above {
            self.follow(at, steps, made.clone())?;
        }
        Ok(made)
    }

    fn step_field(
        &mut self,
        at: TextRange,
        step: &mut Step,
        name: &str,
        value: &Value,
    ) -> Read<()> {
        match (name, value) {
            ("retries", Value::Int(n)) if u32::try_from(*n).is_ok() => {
                step.retries = u32::try_from(*n).ok()
            }
            ("retry_delay", Value::Span(s)) => step.retry_delay_s = Some(*s),
            ("retry_delay", value) if value.number().is_some() => {
                step.retry_delay_s = value.number()
            }
            ("execution_timeout", Value::Span(s)) => step.timeout_s = Some(*s),
            ("execution_timeout" | "pool" | "queue" | "executor_config", Value::None) => {}
            ("trigger_rule", value) => {
                let rule = match value {
                    Value::Text(text) => text.clone(),
                    Value::Import(path) => path.rsplit('.').next().unwrap_or("").to_lowercase(),
                    other => other.kind().to_string(),
                };
                match trigger(&rule) {
                    Ok(rule) => step.trigger = rule,
                    Err(why) => return self.refuse(at, why, TRIGGERS),
                }
            }
            ("pool", Value::Text(pool)) => step.pool = Some(pool.clone()),
            ("queue", Value::Text(queue)) => step.queue = Some(queue.clone()),
            ("priority_weight", Value::Int(n)) => step.priority_weight = Some(*n),
            ("executor_config", value @ Value::Dict(_)) => {
                let config = value.json(0).and_then(|j| j.get("snowshelf").cloned());
                match config.map(serde_json::from_value) {
                    Some(Ok(job)) => step.job = job,
                    Some(Err(error)) => {
                        return self.refuse(
                            at,
                            format!("executor_config: {error}"),
                            "see the schema of a job",
                        );
                    }
                    None => {
                        return self.refuse(
                            at,
                            "executor_config says nothing to snowshelf",
                            "put the job's fields under the key snowshelf",
                        );
                    }
                }
            }
            (
                "depends_on_past" | "wait_for_downstream" | "retry_exponential_backoff",
                Value::Bool(false),
            ) => {}
            (
                "depends_on_past" | "wait_for_downstream" | "retry_exponential_backoff" | "sla",
                _,
            ) => {
                return self.refuse(
                    at,
                    format!("{name} cannot be kept"),
                    "leave it out; max_active_runs=1 keeps runs in order",
                );
            }
            (name, Value::None) if name.ends_with("callback") => {}
            (name, _) if name.ends_with("callback") => {
                return self.refuse(
                    at,
                    format!("{name} is never called"),
                    "put a step with a trigger rule behind it",
                );
            }
            (name, _) if IDLE_STEP.contains(&name) => {}
            (name, value) => {
                if let Some(json) = value.json(0) {
                    step.args.insert(name.to_string(), json);
                    return Ok(());
                }
                let inputs = match value {
                    Value::List(_) | Value::Dict(_) => {
                        self.inputs(&Given::placed(vec![value.clone()]))
                    }
                    _ => Vec::new(),
                };
                if inputs.is_empty() {
                    let what = format!("{name} is {}: {IN_A_RUN}", value.kind());
                    return self.refuse(at, what, "write the value down");
                }
                for steps in inputs {
                    // Known only in a run, and given by a step that comes before.
                    if let Value::Steps(_, ids) = &steps {
                        let from = serde_json::json!({"from": ids});
                        step.args.insert(name.to_string(), from);
                    }
                }
            }
        }
        Ok(())
    }
}
