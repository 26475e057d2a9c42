//! Calls in a DAG file: graphs, operators, tasks, groups, and the few plain functions that are known.

use crate::building::{Read, Reader};
use crate::expressions::listed;
use crate::functions::Given;
use crate::value::{Args, Partial, Value};
use rustpython_parser::ast;
use rustpython_parser::text_size::TextRange;
use std::rc::Rc;

pub(crate) const IN_A_RUN: &str = "it is known only in a run";

impl Reader {
    pub fn call(&mut self, call: &ast::ExprCall) -> Read<Value> {
        let at = call.range;
        let called = self.expr(&call.func)?;
        let given = self.given(call)?;
        match called {
            Value::Import(path) => self.call_import(at, &path, given),
            Value::Function(function) => self.call_function(at, &function, given),
            Value::Method(value, name) => self.call_method(at, *value, &name, given),
            Value::Partial(partial) => self.make_task(at, &partial, given),
            other => self.refuse(
                at,
                format!("{} is not called", other.kind()),
                "call an operator or a task",
            ),
        }
    }

    fn call_import(&mut self, at: TextRange, path: &str, mut given: Given) -> Read<Value> {
        let last = path.rsplit('.').next().unwrap_or(path);
        match last {
            "DAG" => Ok(Value::Dag(self.make_dag(at, given)?)),
            "TaskGroup" => self.make_group(at, given),
            "timedelta" | "duration" => self.span(at, given),
            "Param" => {
                if let Some(default) = given.places.first() {
                    given.names.push(("default".to_string(), default.clone()));
                }
                Ok(Value::Param(Rc::new(given.names)))
            }
            "datetime" => self.moment(at, given),
            "Label" => Ok(Value::Label),
            "chain" => {
                for pair in given.places.windows(2) {
                    let (above, below) = (listed(&pair[0]), listed(&pair[1]));
                    match (above, below) {
                        // Two lists of one length go side by side.
                        (Some(above), Some(below)) if above.len() == below.len() => {
                            for (a, b) in above.into_iter().zip(below) {
                                self.follow(at, a, b)?;
                            }
                        }
                        (Some(above), Some(below)) => {
                            let what =
                                format!("chain joins lists of {} and {}", above.len(), below.len());
                            return self.refuse(
                                at,
                                what,
                                "use lists of one length, or cross_downstream",
                            );
                        }
                        _ => {
                            self.follow(at, pair[0].clone(), pair[1].clone())?;
                        }
                    }
                }
                Ok(Value::None)
            }
            "cross_downstream" => match &given.places[..] {
                [above, below] => self
                    .follow(at, above.clone(), below.clone())
                    .map(|_| Value::None),
                _ => self.refuse(at, "cross_downstream takes two lists", "name two"),
            },
            _ if path.starts_with("builtins.") => self.builtin(at, last, given),
            _ if last.ends_with("Operator") || last.ends_with("Sensor") => {
                if last.contains("Branch") || last == "ShortCircuitOperator" {
                    let what = format!("{last} decides in a run what follows");
                    return self.refuse(at, what, "use a trigger rule, or two graphs");
                }
                let partial = Partial {
                    operator: last.to_string(),
                    task: None,
                    args: Vec::new(),
                };
                self.make_task(at, &partial, given)
            }
            _ if path.ends_with("Operator.partial") || path.ends_with("Sensor.partial") => {
                let operator = path
                    .trim_end_matches(".partial")
                    .rsplit('.')
                    .next()
                    .unwrap_or("");
                Ok(Value::Partial(Rc::new(Partial {
                    operator: operator.to_string(),
                    task: None,
                    args: given.names,
                })))
            }
            "get" if path.contains("Variable") => {
                self.refuse(at, format!("{path}: {IN_A_RUN}"), "use a param of the DAG")
            }
            _ => self.refuse(
                at,
                format!("what {path} gives is not known without running it"),
                "write the value down",
            ),
        }
    }

    fn call_method(
        &mut self,
        at: TextRange,
        value: Value,
        name: &str,
        given: Given,
    ) -> Read<Value> {
        match (&value, name, &given.places[..]) {
            (Value::Steps(..) | Value::Group(..), "set_downstream", [below, ..]) => {
                self.follow(at, value, below.clone()).map(|_| Value::None)
            }
            (Value::Steps(..) | Value::Group(..), "set_upstream", [above, ..]) => {
                self.follow(at, above.clone(), value).map(|_| Value::None)
            }
            (Value::Function(f), "override" | "partial", _)
                if matches!(f.role, crate::value::Role::Task(..)) =>
            {
                let crate::value::Role::Task(operator, args) = &f.role else {
                    return Ok(Value::None);
                };
                let mut args = args.clone();
                merge(&mut args, given.names);
                Ok(Value::Partial(Rc::new(Partial {
                    operator: operator.clone(),
                    task: Some(f.name.clone()),
                    args,
                })))
            }
            (Value::Function(f), "expand" | "expand_kwargs", _)
                if matches!(f.role, crate::value::Role::Task(..)) =>
            {
                let crate::value::Role::Task(operator, args) = &f.role else {
                    return Ok(Value::None);
                };
                let partial = Partial {
                    operator: operator.clone(),
                    task: Some(f.name.clone()),
                    args: args.clone(),
                };
                self.expand(at, &partial, name == "expand_kwargs", given)
            }
            (Value::Partial(p), "partial" | "override", _) => {
                let mut partial = (**p).clone();
                merge(&mut partial.args, given.names);
                Ok(Value::Partial(Rc::new(partial)))
            }
            (Value::Partial(p), "expand", _) => self.expand(at, &p.clone(), false, given),
            (Value::Partial(p), "expand_kwargs", _) => self.expand(at, &p.clone(), true, given),
            (Value::List(list), "append", [more]) => {
                list.borrow_mut().push(more.clone());
                Ok(Value::None)
            }
            (Value::List(list), "extend", [more]) => match listed(more) {
                Some(more) => {
                    list.borrow_mut().extend(more);
                    Ok(Value::None)
                }
                None => self.refuse(
                    at,
                    format!("a list is not extended by {}", more.kind()),
                    "use a list",
                ),
            },
            (Value::Dict(pairs), "items", []) => {
                let pairs = pairs.borrow();
                Ok(Value::list(
                    pairs
                        .iter()
                        .map(|(k, v)| Value::list(vec![k.clone(), v.clone()]))
                        .collect(),
                ))
            }
            (Value::Dict(pairs), "keys", []) => Ok(Value::list(
                pairs.borrow().iter().map(|(k, _)| k.clone()).collect(),
            )),
            (Value::Dict(pairs), "values", []) => Ok(Value::list(
                pairs.borrow().iter().map(|(_, v)| v.clone()).collect(),
            )),
            (Value::Dict(pairs), "get", [key, rest @ ..]) => {
                let pairs = pairs.borrow();
                let found = pairs
                    .iter()
                    .find(|(k, _)| k.same(key) == Some(true))
                    .map(|(_, v)| v.clone());
                Ok(found.or(rest.first().cloned()).unwrap_or(Value::None))
            }
            (Value::Text(text), "upper", []) => Ok(Value::Text(text.to_uppercase())),
            (Value::Text(text), "lower", []) => Ok(Value::Text(text.to_lowercase())),
            (Value::Text(text), "strip", []) => Ok(Value::Text(text.trim().to_string())),
            (Value::Text(text), "replace", [Value::Text(a), Value::Text(b)])
                if text.len() * (b.len() + 1) < 100_000 =>
            {
                Ok(Value::Text(text.replace(a.as_str(), b)))
            }
            (Value::Text(text), "split", [Value::Text(by)]) if !by.is_empty() => Ok(Value::list(
                text.split(by.as_str())
                    .map(|p| Value::Text(p.to_string()))
                    .collect(),
            )),
            (Value::Text(by), "join", [list]) => {
                let parts = listed(list).unwrap_or_default();
                let parts: Option<Vec<String>> =
                    parts.iter().map(|v| v.text().map(str::to_string)).collect();
                match parts {
                    Some(parts)
                        if parts.iter().map(String::len).sum::<usize>()
                            + parts.len() * by.len()
                            < 100_000 =>
                    {
                        Ok(Value::Text(parts.join(by)))
                    }
                    _ => self.refuse(at, "these are not joined", "write the text down"),
                }
            }
            _ => self.refuse(
                at,
                format!("{name} of {} is not read", value.kind()),
                "write the steps down plainly",
            ),
        }
    }
}

/// Adds arguments, each over one of its name.
pub(crate) fn merge(args: &mut Args, more: Args) {
    for (name, value) in more {
        args.retain(|(n, _)| *n != name);
        args.push((name, value));
    }
}
