//! Statements of a DAG file.

use crate::building::{Place, Read, Reader};
use crate::value::{Function, Value};
use rustpython_parser::ast::{self, Expr, Ranged, Stmt};
use std::rc::Rc;

/// How a run of statements ended.
pub enum Flow {
    On,
    Return(Value),
    Break,
    Continue,
}

impl Reader {
    /// Reads a whole file; after a statement that cannot be read it goes on with the next one, so that
    /// everything is told at once.
    pub fn module(&mut self, suite: &[Stmt]) {
        self.bind("__name__", Value::Text("dags".to_string()));
        let _ = self.block(suite);
    }

    pub fn block(&mut self, suite: &[Stmt]) -> Read<Flow> {
        let mut refused = None;
        for stmt in suite {
            match self.statement(stmt) {
                Ok(Flow::On) => {}
                Ok(flow) => return Ok(flow),
                Err(error) => refused = Some(error),
            }
        }
        refused.map_or(Ok(Flow::On), Err)
    }

    fn statement(&mut self, stmt: &Stmt) -> Read<Flow> {
        self.look(stmt.range())?;
        match stmt {
            Stmt::Import(import) => {
                for alias in &import.names {
                    let name = alias.name.as_str();
                    match &alias.asname {
                        Some(asname) => self.bind(asname.as_str(), Value::Import(name.to_string())),
                        None => {
                            let first = name.split('.').next().unwrap_or(name);
                            self.bind(first, Value::Import(first.to_string()));
                        }
                    }
                }
            }
            Stmt::ImportFrom(import) => {
                let module = import.module.as_ref().map_or("", |m| m.as_str());
                for alias in &import.names {
                    let name = alias.asname.as_ref().unwrap_or(&alias.name);
                    self.bind(
                        name.as_str(),
                        Value::Import(format!("{module}.{}", alias.name)),
                    );
                }
            }
            Stmt::Expr(expr) => {
                if !matches!(&*expr.value, Expr::Constant(_)) {
                    self.expr(&expr.value)?;
                }
            }
            Stmt::Assign(assign) => {
                let value = self.expr(&assign.value)?;
                for target in &assign.targets {
                    self.assign(target, value.clone())?;
                }
            }
            Stmt::AnnAssign(assign) => {
                if let Some(value) = &assign.value {
                    let value = self.expr(value)?;
                    self.assign(&assign.target, value)?;
                }
            }
            Stmt::AugAssign(assign) => {
                let before = self.expr(&assign.target)?;
                let more = self.expr(&assign.value)?;
                let value = self.operate(assign.range(), before, assign.op, more)?;
                self.assign(&assign.target, value)?;
            }
            Stmt::With(with) => return self.with(with),
            Stmt::FunctionDef(def) => self.define(def)?,
            Stmt::For(stmt) => {
                let values = self.items(&stmt.iter)?;
                for value in values {
                    self.assign(&stmt.target, value)?;
                    match self.block(&stmt.body)? {
                        Flow::Return(value) => return Ok(Flow::Return(value)),
                        Flow::Break => return Ok(Flow::On),
                        Flow::On | Flow::Continue => {}
                    }
                }
                return self.block(&stmt.orelse);
            }
            Stmt::If(stmt) => {
                let test = self.expr(&stmt.test)?;
                let Some(truth) = test.truth() else {
                    let what = format!(
                        "what this condition is, {}, is known only in a run",
                        test.kind()
                    );
                    return self.refuse(stmt.range(), what, "use a trigger rule or a param");
                };
                return self.block(if truth { &stmt.body } else { &stmt.orelse });
            }
            Stmt::Return(stmt) => {
                let value = match &stmt.value {
                    Some(value) => self.expr(value)?,
                    None => Value::None,
                };
                return Ok(Flow::Return(value));
            }
            Stmt::Pass(_) | Stmt::Global(_) => {}
            Stmt::Break(_) => return Ok(Flow::Break),
            Stmt::Continue(_) => return Ok(Flow::Continue),
            Stmt::ClassDef(class) => {
                // Of no meaning by itself; refused where it is used.
                self.bind(
                    class.name.as_str(),
                    Value::Import(format!("dags.{}", class.name)),
                );
            }
            other => {
                let what = match other {
                    Stmt::While(_) => "a while loop",
                    Stmt::Try(_) | Stmt::TryStar(_) => "try",
                    Stmt::Delete(_) => "del",
                    Stmt::Raise(_) => "raise",
                    Stmt::Assert(_) => "assert",
                    Stmt::Match(_) => "match",
                    Stmt::AsyncFunctionDef(_) | Stmt::AsyncFor(_) | Stmt::AsyncWith(_) => "async",
                    _ => "this statement",
                };
                let what = format!("{what} is not read");
                return self.refuse(
                    other.range(),
                    what,
                    "write the steps down plainly, or loop over a list",
                );
            }
        }
        Ok(Flow::On)
    }

    pub fn assign(&mut self, target: &Expr, value: Value) -> Read<()> {
        match target {
            Expr::Name(name) => self.bind(name.id.as_str(), value),
            Expr::Tuple(ast::ExprTuple { elts, .. }) | Expr::List(ast::ExprList { elts, .. }) => {
                let values = match &value {
                    Value::List(list) => list.borrow().clone(),
                    _ => {
                        return self.refuse(
                            target.range(),
                            format!("{} cannot be unpacked", value.kind()),
                            "assign it to one name",
                        );
                    }
                };
                if values.len() != elts.len() {
                    let what = format!(
                        "{} values are unpacked into {} names",
                        values.len(),
                        elts.len()
                    );
                    return self.refuse(target.range(), what, "name as many");
                }
                for (elt, value) in elts.iter().zip(values) {
                    self.assign(elt, value)?;
                }
            }
            Expr::Subscript(sub) => {
                let (Value::Dict(pairs), key) = (self.expr(&sub.value)?, self.expr(&sub.slice)?)
                else {
                    return self.refuse(
                        target.range(),
                        "only a dict's fields are assigned",
                        "write the value down whole",
                    );
                };
                let mut pairs = pairs.borrow_mut();
                pairs.retain(|(k, _)| k.same(&key) != Some(true));
                pairs.push((key, value));
            }
            Expr::Attribute(attribute) if attribute.attr.starts_with("doc") => {}
            other => {
                return self.refuse(other.range(), "this is not assigned to", "assign to a name");
            }
        }
        Ok(())
    }

    fn with(&mut self, with: &ast::StmtWith) -> Read<Flow> {
        let mut entered = 0;
        let mut result = Ok(());
        for item in &with.items {
            let entering = self.expr(&item.context_expr).and_then(|value| {
                let place = match &value {
                    Value::Dag(dag) => Place {
                        dag: *dag,
                        prefix: String::new(),
                    },
                    Value::Group(dag, prefix) => Place {
                        dag: *dag,
                        prefix: prefix.clone(),
                    },
                    other => {
                        let what = format!("with {} is not read", other.kind());
                        return self.refuse(
                            item.context_expr.range(),
                            what,
                            "use a DAG or a TaskGroup",
                        );
                    }
                };
                if let Some(target) = &item.optional_vars {
                    self.assign(target, value)?;
                }
                Ok(place)
            });
            match entering {
                Ok(place) => {
                    self.places.push(place);
                    entered += 1;
                }
                Err(error) => {
                    result = Err(error);
                    break;
                }
            }
        }
        let flow = match result {
            Ok(()) => self.block(&with.body),
            Err(error) => Err(error),
        };
        self.places.truncate(self.places.len() - entered);
        flow
    }

    fn define(&mut self, def: &ast::StmtFunctionDef) -> Read<()> {
        let role = self.role(def)?;
        let function = Function {
            name: def.name.to_string(),
            def: Rc::new(def.clone()),
            role,
            within: self.here(),
        };
        self.bind(def.name.as_str(), Value::Function(Rc::new(function)));
        Ok(())
    }

    /// The values that a loop goes over.
    pub fn items(&mut self, expr: &Expr) -> Read<Vec<Value>> {
        let value = self.expr(expr)?;
        match value {
            Value::List(list) => Ok(list.borrow().clone()),
            Value::Dict(pairs) => Ok(pairs.borrow().iter().map(|(k, _)| k.clone()).collect()),
            Value::Text(text) => Ok(text.chars().map(|c| Value::Text(c.to_string())).collect()),
            other => {
                let what = format!("a loop over {} is known only in a run", other.kind());
                self.refuse(
                    expr.range(),
                    what,
                    "loop over a list that is written down, or use expand",
                )
            }
        }
    }
}
