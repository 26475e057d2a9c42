//! Functions of a DAG file: what decorators make of them, and what calling them comes to.

use crate::building::{MOST_DEPTH, Place, Read, Reader};
use crate::statements::Flow;
use crate::value::{Args, Function, Partial, Role, Value};
use rustpython_parser::ast::{self, Expr, Ranged};
use rustpython_parser::text_size::TextRange;
use std::collections::HashMap;
use std::rc::Rc;

/// Arguments of a call: by place and by name.
pub struct Given {
    pub places: Vec<Value>,
    pub names: Args,
}

impl Given {
    pub fn named(names: Args) -> Given {
        Given {
            places: Vec::new(),
            names,
        }
    }

    pub fn placed(places: Vec<Value>) -> Given {
        Given {
            places,
            names: Args::new(),
        }
    }

    pub fn take(&mut self, name: &str) -> Option<Value> {
        take(&mut self.names, name)
    }
}

/// Takes an argument out.
pub(crate) fn take(args: &mut Args, name: &str) -> Option<Value> {
    let at = args.iter().position(|(n, _)| n == name)?;
    Some(args.remove(at).1)
}

impl Reader {
    /// What the decorators of a function make of it.
    pub fn role(&mut self, def: &ast::StmtFunctionDef) -> Read<Role> {
        let mut role = Role::Plain;
        for decorator in &def.decorator_list {
            let (called, given) = match decorator {
                Expr::Call(call) => (self.expr(&call.func)?, self.given(call)?),
                other => (self.expr(other)?, Given::named(Args::new())),
            };
            let Value::Import(path) = &called else {
                return self.refuse(
                    decorator.range(),
                    "this decorator is not read",
                    "use @dag, @task or @task_group",
                );
            };
            let args = given.names;
            let parts: Vec<&str> = path.split('.').collect();
            role = match parts[..] {
                [.., "dag"] => {
                    let mut args = args;
                    if let Some(id) = given.places.first() {
                        args.push(("dag_id".to_string(), id.clone()));
                    }
                    Role::Dag(args)
                }
                [.., "task_group"] => Role::Group(args),
                [
                    ..,
                    "task",
                    "branch" | "short_circuit" | "sensor" | "run_if" | "skip_if",
                ] => {
                    let what = format!(
                        "@{} decides in a run what follows",
                        path.split('.')
                            .skip(parts.len() - 2)
                            .collect::<Vec<_>>()
                            .join(".")
                    );
                    return self.refuse(
                        decorator.range(),
                        what,
                        "use a trigger rule, or two graphs",
                    );
                }
                [.., "task"] => Role::Task("@task".to_string(), args),
                [.., "task", kind] => Role::Task(format!("@task.{kind}"), args),
                _ => {
                    return self.refuse(
                        decorator.range(),
                        format!("the decorator {path} is not read"),
                        "use @dag, @task or @task_group",
                    );
                }
            };
        }
        Ok(role)
    }

    pub fn given(&mut self, call: &ast::ExprCall) -> Read<Given> {
        let places = self.elements(&call.args)?;
        let mut names: Args = Vec::new();
        for keyword in &call.keywords {
            let value = self.expr(&keyword.value)?;
            match (&keyword.arg, value) {
                (Some(name), value) => names.push((name.to_string(), value)),
                (None, Value::Dict(pairs)) => {
                    for (key, value) in pairs.borrow().iter() {
                        if let Some(key) = key.text() {
                            names.push((key.to_string(), value.clone()));
                        }
                    }
                }
                (None, other) => {
                    return self.refuse(
                        call.range,
                        format!("{} is no dict of arguments", other.kind()),
                        "write the arguments down",
                    );
                }
            }
        }
        Ok(Given { places, names })
    }

    pub fn call_function(
        &mut self,
        at: TextRange,
        function: &Rc<Function>,
        given: Given,
    ) -> Read<Value> {
        match &function.role {
            Role::Plain => {
                let scope = self.bound(at, &function.def, given)?;
                self.body(at, function, scope)
            }
            Role::Dag(args) => {
                let mut args = args.clone();
                if !args.iter().any(|(n, _)| n == "dag_id") {
                    args.push(("dag_id".to_string(), Value::Text(function.name.clone())));
                }
                let dag = self.make_dag(at, Given::named(args))?;
                let scope = self.bound(at, &function.def, given)?;
                self.places.push(Place {
                    dag,
                    prefix: String::new(),
                });
                let body = self.body(at, function, scope);
                self.places.pop();
                body?;
                Ok(Value::Dag(dag))
            }
            Role::Group(args) => {
                let mut args = args.clone();
                if !args.iter().any(|(n, _)| n == "group_id") {
                    args.push(("group_id".to_string(), Value::Text(function.name.clone())));
                }
                let above = self.inputs(&given);
                let group = self.make_group(at, Given::named(args))?;
                let Value::Group(dag, prefix) = group.clone() else {
                    return Ok(group);
                };
                let scope = self.bound(at, &function.def, given)?;
                self.places.push(Place { dag, prefix });
                let body = self.body(at, function, scope);
                self.places.pop();
                body?;
                for steps in above {
                    self.follow(at, steps, group.clone())?;
                }
                Ok(group)
            }
            Role::Task(operator, args) => {
                let partial = Partial {
                    operator: operator.clone(),
                    task: Some(function.name.clone()),
                    args: args.clone(),
                };
                self.make_task(at, &partial, given)
            }
        }
    }

    /// The steps among the arguments of a call, whose results it takes.
    pub fn inputs(&self, given: &Given) -> Vec<Value> {
        fn steps(value: &Value, depth: u32, found: &mut Vec<Value>) {
            match value {
                Value::Steps(..) | Value::Group(..) => found.push(value.clone()),
                Value::List(list) if depth < 20 => list
                    .borrow()
                    .iter()
                    .for_each(|v| steps(v, depth + 1, found)),
                Value::Dict(pairs) if depth < 20 => pairs
                    .borrow()
                    .iter()
                    .for_each(|(_, v)| steps(v, depth + 1, found)),
                _ => {}
            }
        }
        let mut found = Vec::new();
        let values = given
            .places
            .iter()
            .chain(given.names.iter().map(|(_, v)| v));
        values.for_each(|v| steps(v, 0, &mut found));
        found
    }

    /// The names inside a function's body, bound to what it was called with.
    fn bound(
        &mut self,
        at: TextRange,
        def: &ast::StmtFunctionDef,
        mut given: Given,
    ) -> Read<HashMap<String, Value>> {
        let mut scope = HashMap::new();
        let mut places = std::mem::take(&mut given.places).into_iter();
        let args = &def.args;
        for arg in args.posonlyargs.iter().chain(&args.args) {
            let name = arg.def.arg.as_str();
            let value = match places.next().or_else(|| given.take(name)) {
                Some(value) => value,
                None => match &arg.default {
                    Some(default) => self.expr(default)?,
                    None => {
                        return self.refuse(
                            at,
                            format!("{} is called without {name}", def.name),
                            "name it",
                        );
                    }
                },
            };
            scope.insert(name.to_string(), value);
        }
        for arg in &args.kwonlyargs {
            let name = arg.def.arg.as_str();
            let value = match (given.take(name), &arg.default) {
                (Some(value), _) => value,
                (None, Some(default)) => self.expr(default)?,
                (None, None) => {
                    return self.refuse(
                        at,
                        format!("{} is called without {name}", def.name),
                        "name it",
                    );
                }
            };
            scope.insert(name.to_string(), value);
        }
        if let Some(rest) = &args.vararg {
            scope.insert(rest.arg.to_string(), Value::list(places.by_ref().collect()));
        }
        if let Some(rest) = &args.kwarg {
            let pairs = given
                .names
                .drain(..)
                .map(|(n, v)| (Value::Text(n), v))
                .collect();
            scope.insert(rest.arg.to_string(), Value::dict(pairs));
        }
        if places.next().is_some() || !given.names.is_empty() {
            return self.refuse(
                at,
                format!("{} is called with more than it takes", def.name),
                "leave it out",
            );
        }
        Ok(scope)
    }

    fn body(
        &mut self,
        at: TextRange,
        function: &Function,
        scope: HashMap<String, Value>,
    ) -> Read<Value> {
        if self.depth >= MOST_DEPTH {
            return self.refuse(at, "this calls itself too often", "write the steps down");
        }
        self.depth += 1;
        if !self.enter(function.within, scope) {
            self.depth -= 1;
            let what = format!("{} outlives the call that it was defined in", function.name);
            return self.refuse(at, what, "define it at the top of the file");
        }
        let flow = self.block(&function.def.body);
        self.leave();
        self.depth -= 1;
        Ok(match flow? {
            Flow::Return(value) => value,
            _ => Value::None,
        })
    }
}
