//! Expressions of a DAG file, as far as they are known without running it.

use crate::building::{MOST_DEPTH, Read, Reader};
use crate::value::Value;
use rustpython_parser::ast::{self, Constant, Expr, Operator, Ranged};
use rustpython_parser::text_size::TextRange;

const PLAIN: &str = "write the value down";
/// Characters or values that one value may have.
const MOST_LONG: usize = 100_000;

impl Reader {
    pub fn expr(&mut self, expr: &Expr) -> Read<Value> {
        self.look(expr.range())?;
        if self.depth >= MOST_DEPTH {
            return self.refuse(expr.range(), "this nests too deeply", "take it apart");
        }
        self.depth += 1;
        let value = self.inner(expr);
        self.depth -= 1;
        value
    }

    fn inner(&mut self, expr: &Expr) -> Read<Value> {
        let at = expr.range();
        match expr {
            Expr::Constant(constant) => self.constant(at, &constant.value),
            Expr::Name(name) => match self.name(name.id.as_str()) {
                Some(value) => Ok(value),
                None if is_builtin(name.id.as_str()) => {
                    Ok(Value::Import(format!("builtins.{}", name.id)))
                }
                None => self.refuse(
                    at,
                    format!("{} is not known here", name.id),
                    "define it before in this file",
                ),
            },
            Expr::List(ast::ExprList { elts, .. })
            | Expr::Tuple(ast::ExprTuple { elts, .. })
            | Expr::Set(ast::ExprSet { elts, .. }) => Ok(Value::list(self.elements(elts)?)),
            Expr::Dict(dict) => {
                let mut pairs: Vec<(Value, Value)> = Vec::new();
                for (key, value) in dict.keys.iter().zip(&dict.values) {
                    let value = self.expr(value)?;
                    match (key, value) {
                        (Some(key), value) => {
                            let key = self.expr(key)?;
                            pairs.retain(|(k, _)| k.same(&key) != Some(true));
                            pairs.push((key, value));
                        }
                        (None, Value::Dict(more)) => {
                            for (key, value) in more.borrow().iter() {
                                pairs.retain(|(k, _)| k.same(key) != Some(true));
                                pairs.push((key.clone(), value.clone()));
                            }
                        }
                        (None, other) => {
                            return self.refuse(at, format!("{} is no dict", other.kind()), PLAIN);
                        }
                    }
                }
                Ok(Value::dict(pairs))
            }
            Expr::JoinedStr(joined) => self.joined(&joined.values),
            Expr::FormattedValue(part) => self.joined(&[Expr::FormattedValue(part.clone())]),
            Expr::Attribute(attribute) => {
                let value = self.expr(&attribute.value)?;
                self.attribute(at, value, attribute.attr.as_str())
            }
            Expr::Subscript(sub) => {
                let value = self.expr(&sub.value)?;
                if let Value::Steps(..) = value {
                    // A part of what a step gives: the same step above.
                    return Ok(value);
                }
                let key = self.expr(&sub.slice)?;
                self.subscript(at, value, key)
            }
            Expr::Call(call) => self.call(call),
            Expr::BinOp(op) => {
                let left = self.expr(&op.left)?;
                let right = self.expr(&op.right)?;
                self.operate(at, left, op.op, right)
            }
            Expr::UnaryOp(op) => {
                let value = self.expr(&op.operand)?;
                match (op.op, &value) {
                    (ast::UnaryOp::USub, Value::Int(n)) => Ok(Value::Int(n.saturating_neg())),
                    (ast::UnaryOp::USub, Value::Float(x)) => Ok(Value::Float(-x)),
                    (ast::UnaryOp::UAdd, Value::Int(_) | Value::Float(_)) => Ok(value),
                    (ast::UnaryOp::Not, value) if value.truth().is_some() => {
                        Ok(Value::Bool(value.truth() == Some(false)))
                    }
                    _ => self.refuse(
                        at,
                        format!("this operator on {} is not read", value.kind()),
                        PLAIN,
                    ),
                }
            }
            Expr::BoolOp(op) => {
                let mut last = Value::None;
                for value in &op.values {
                    last = self.expr(value)?;
                    let Some(truth) = last.truth() else {
                        return self.refuse(
                            at,
                            format!("whether {} is true is known only in a run", last.kind()),
                            PLAIN,
                        );
                    };
                    if truth != matches!(op.op, ast::BoolOp::And) {
                        break;
                    }
                }
                Ok(last)
            }
            Expr::Compare(compare) => self.compare(compare),
            Expr::IfExp(choice) => {
                let test = self.expr(&choice.test)?;
                match test.truth() {
                    Some(true) => self.expr(&choice.body),
                    Some(false) => self.expr(&choice.orelse),
                    None => self.refuse(
                        at,
                        format!("whether {} is true is known only in a run", test.kind()),
                        PLAIN,
                    ),
                }
            }
            Expr::ListComp(ast::ExprListComp {
                elt, generators, ..
            })
            | Expr::GeneratorExp(ast::ExprGeneratorExp {
                elt, generators, ..
            })
            | Expr::SetComp(ast::ExprSetComp {
                elt, generators, ..
            }) => {
                let mut values = Vec::new();
                self.comprehend(at, generators, &mut |reader| {
                    values.push(reader.expr(elt)?);
                    Ok(())
                })?;
                Ok(Value::list(values))
            }
            Expr::DictComp(comp) => {
                let mut pairs = Vec::new();
                self.comprehend(at, &comp.generators, &mut |reader| {
                    pairs.push((reader.expr(&comp.key)?, reader.expr(&comp.value)?));
                    Ok(())
                })?;
                Ok(Value::dict(pairs))
            }
            Expr::Lambda(_) => Ok(Value::Import("a lambda".to_string())),
            Expr::Starred(_) | Expr::Slice(_) => self.refuse(at, "this is not read here", PLAIN),
            _ => self.refuse(at, "this expression is not read", PLAIN),
        }
    }

    fn constant(&mut self, at: TextRange, constant: &Constant) -> Read<Value> {
        Ok(match constant {
            Constant::None | Constant::Ellipsis => Value::None,
            Constant::Bool(b) => Value::Bool(*b),
            Constant::Str(text) => Value::Text(text.clone()),
            Constant::Float(x) => Value::Float(*x),
            Constant::Int(n) => match n.to_string().parse() {
                Ok(n) => Value::Int(n),
                Err(_) => return self.refuse(at, "this number is too large", PLAIN),
            },
            _ => return self.refuse(at, "bytes and complex numbers are not read", PLAIN),
        })
    }

    pub fn elements(&mut self, elts: &[Expr]) -> Read<Vec<Value>> {
        let mut values = Vec::new();
        for elt in elts {
            match elt {
                Expr::Starred(star) => values.extend(self.items(&star.value)?),
                elt => values.push(self.expr(elt)?),
            }
        }
        Ok(values)
    }

    fn joined(&mut self, parts: &[Expr]) -> Read<Value> {
        let mut text = String::new();
        for part in parts {
            let value = match part {
                Expr::FormattedValue(part) => {
                    if part.format_spec.is_some() {
                        return self.refuse(
                            part.range,
                            "a format in an f-string is not read",
                            PLAIN,
                        );
                    }
                    self.expr(&part.value)?
                }
                part => self.expr(part)?,
            };
            let Some(shown) = shown(&value) else {
                let what = format!("{} in an f-string is known only in a run", value.kind());
                return self.refuse(part.range(), what, "use a template, as {{ params.name }}");
            };
            text.push_str(&shown);
            if text.len() > MOST_LONG {
                return self.refuse(part.range(), "this text is too long", PLAIN);
            }
        }
        Ok(Value::Text(text))
    }

    fn attribute(&mut self, at: TextRange, value: Value, name: &str) -> Read<Value> {
        Ok(match value {
            Value::Import(path) => Value::Import(format!("{path}.{name}")),
            Value::Steps(dag, ids) if name == "output" => Value::Steps(dag, ids),
            Value::Steps(_, ref ids) if name == "task_id" && ids.len() == 1 => {
                Value::Text(ids[0].clone())
            }
            Value::Dag(dag) if name == "dag_id" => Value::Text(self.dags[dag].graph.name.clone()),
            value @ (Value::Text(_)
            | Value::List(_)
            | Value::Dict(_)
            | Value::Steps(..)
            | Value::Group(..)
            | Value::Dag(_)
            | Value::Function(_)
            | Value::Partial(_)) => Value::Method(Box::new(value), name.to_string()),
            other => {
                return self.refuse(at, format!("{name} of {} is not read", other.kind()), PLAIN);
            }
        })
    }

    fn subscript(&mut self, at: TextRange, value: Value, key: Value) -> Read<Value> {
        let found = match (&value, &key) {
            (Value::List(list), Value::Int(i)) => {
                let list = list.borrow();
                let i = if *i < 0 { *i + list.len() as i64 } else { *i };
                usize::try_from(i).ok().and_then(|i| list.get(i).cloned())
            }
            (Value::Dict(pairs), key) => {
                let pairs = pairs.borrow();
                pairs
                    .iter()
                    .find(|(k, _)| k.same(key) == Some(true))
                    .map(|(_, v)| v.clone())
            }
            _ => None,
        };
        match found {
            Some(value) => Ok(value),
            None => self.refuse(
                at,
                format!("this part of {} is not known", value.kind()),
                PLAIN,
            ),
        }
    }

    /// An operator between two values; `>>` and `<<` put steps after one another.
    pub fn operate(
        &mut self,
        at: TextRange,
        left: Value,
        op: Operator,
        right: Value,
    ) -> Read<Value> {
        let found = match (&left, op, &right) {
            (_, Operator::RShift, _) => return self.follow(at, left, right),
            (_, Operator::LShift, _) => {
                self.follow(at, right, left.clone())?;
                return Ok(left);
            }
            (Value::Text(a), Operator::Add, Value::Text(b)) if a.len() + b.len() <= MOST_LONG => {
                Some(Value::Text(format!("{a}{b}")))
            }
            (Value::List(a), Operator::Add, Value::List(b)) => {
                let both: Vec<Value> = a
                    .borrow()
                    .iter()
                    .chain(b.borrow().iter())
                    .cloned()
                    .collect();
                (both.len() <= MOST_LONG).then(|| Value::list(both))
            }
            (Value::Span(a), Operator::Add, Value::Span(b)) => Some(Value::Span(a + b)),
            (Value::Span(a), Operator::Mult, b) => b.number().map(|b| Value::Span(a * b)),
            (Value::Int(a), op, Value::Int(b)) => whole(*a, op, *b),
            (a, op, b) => match (a.number(), b.number()) {
                (Some(a), Some(b)) => decimal(a, op, b),
                _ => None,
            },
        };
        match found {
            Some(value) => Ok(value),
            None => {
                let what = format!(
                    "this operator between {} and {} is not read",
                    left.kind(),
                    right.kind()
                );
                self.refuse(at, what, PLAIN)
            }
        }
    }

    fn compare(&mut self, compare: &ast::ExprCompare) -> Read<Value> {
        let mut left = self.expr(&compare.left)?;
        for (op, right) in compare.ops.iter().zip(&compare.comparators) {
            let right = self.expr(right)?;
            let order = match (left.number(), right.number()) {
                (Some(a), Some(b)) => a.partial_cmp(&b),
                _ => left.text().zip(right.text()).map(|(a, b)| a.cmp(b)),
            };
            let inside = |left: &Value, right: &Value| match right {
                Value::List(list) => {
                    let list = list.borrow();
                    let same: Option<Vec<bool>> = list.iter().map(|v| v.same(left)).collect();
                    same.map(|same| same.contains(&true))
                }
                Value::Dict(pairs) => Some(
                    pairs
                        .borrow()
                        .iter()
                        .any(|(k, _)| k.same(left) == Some(true)),
                ),
                Value::Text(text) => left.text().map(|part| text.contains(part)),
                _ => None,
            };
            let holds = match op {
                ast::CmpOp::Eq | ast::CmpOp::Is => left.same(&right),
                ast::CmpOp::NotEq | ast::CmpOp::IsNot => left.same(&right).map(|same| !same),
                ast::CmpOp::Lt => order.map(|o| o.is_lt()),
                ast::CmpOp::LtE => order.map(|o| o.is_le()),
                ast::CmpOp::Gt => order.map(|o| o.is_gt()),
                ast::CmpOp::GtE => order.map(|o| o.is_ge()),
                ast::CmpOp::In => inside(&left, &right),
                ast::CmpOp::NotIn => inside(&left, &right).map(|inside| !inside),
            };
            match holds {
                Some(true) => left = right,
                Some(false) => return Ok(Value::Bool(false)),
                None => {
                    let what = format!("{} and {} are not compared", left.kind(), right.kind());
                    return self.refuse(compare.range, what, PLAIN);
                }
            }
        }
        Ok(Value::Bool(true))
    }

    fn comprehend(
        &mut self,
        at: TextRange,
        generators: &[ast::Comprehension],
        each: &mut dyn FnMut(&mut Reader) -> Read<()>,
    ) -> Read<()> {
        let Some((first, rest)) = generators.split_first() else {
            return each(self);
        };
        let values = self.items(&first.iter)?;
        // Its names are its own.
        let names = self.names();
        let mut result = Ok(());
        for value in values {
            result = self.assign(&first.target, value).and_then(|()| {
                for test in &first.ifs {
                    let test = self.expr(test)?;
                    match test.truth() {
                        Some(true) => {}
                        Some(false) => return Ok(()),
                        None => {
                            return self.refuse(at, "this condition is known only in a run", PLAIN);
                        }
                    }
                }
                self.comprehend(at, rest, each)
            });
            if result.is_err() {
                break;
            }
        }
        self.put_names(names);
        result
    }

    /// Puts every step of `below` after every step of `above`; gives `below`.
    pub fn follow(&mut self, at: TextRange, above: Value, below: Value) -> Read<Value> {
        if let Value::Label = above {
            return Ok(below);
        }
        if let Value::Label = below {
            return Ok(above);
        }
        let (dag, above) = self.steps_of(at, &above, true)?;
        let (other, ids) = self.steps_of(at, &below, false)?;
        if dag != other {
            return self.refuse(
                at,
                "steps of different DAGs come after one another",
                "put them into one DAG",
            );
        }
        for a in &above {
            for b in &ids {
                self.edge(dag, a, b);
            }
        }
        Ok(below)
    }

    /// The steps that a value stands for; of a group its last or its first ones.
    pub fn steps_of(
        &mut self,
        at: TextRange,
        value: &Value,
        last: bool,
    ) -> Read<(usize, Vec<String>)> {
        match value {
            Value::Steps(dag, ids) => Ok((*dag, ids.clone())),
            Value::Group(dag, prefix) => Ok((*dag, self.ends(*dag, prefix, last))),
            Value::List(list) => {
                if self.depth >= MOST_DEPTH {
                    return self.refuse(at, "this nests too deeply", "take it apart");
                }
                let mut all: Option<(usize, Vec<String>)> = None;
                for value in list.borrow().iter() {
                    self.depth += 1;
                    let steps = self.steps_of(at, value, last);
                    self.depth -= 1;
                    let (dag, ids) = steps?;
                    let entry = all.get_or_insert((dag, Vec::new()));
                    if entry.0 != dag {
                        return self.refuse(
                            at,
                            "steps of different DAGs come after one another",
                            "put them into one DAG",
                        );
                    }
                    entry.1.extend(ids);
                }
                Ok(all.unwrap_or((self.places.last().map_or(0, |p| p.dag), Vec::new())))
            }
            other => {
                let what = format!("{} is no step", other.kind());
                self.refuse(at, what, "put steps after one another")
            }
        }
    }
}

fn whole(a: i64, op: Operator, b: i64) -> Option<Value> {
    let value = match op {
        Operator::Add => a.checked_add(b),
        Operator::Sub => a.checked_sub(b),
        Operator::Mult => a.checked_mul(b),
        Operator::FloorDiv if b != 0 => Some(a.div_euclid(b)).filter(|_| b > 0),
        Operator::Mod if b > 0 => Some(a.rem_euclid(b)),
        Operator::Pow => u32::try_from(b).ok().and_then(|b| a.checked_pow(b)),
        Operator::Div if b != 0 => return Some(Value::Float(a as f64 / b as f64)),
        _ => None,
    };
    value.map(Value::Int)
}

fn decimal(a: f64, op: Operator, b: f64) -> Option<Value> {
    let value = match op {
        Operator::Add => a + b,
        Operator::Sub => a - b,
        Operator::Mult => a * b,
        Operator::Div if b != 0.0 => a / b,
        _ => return None,
    };
    value.is_finite().then_some(Value::Float(value))
}

/// A value as Python's str() shows it, for those that are plain.
pub fn shown(value: &Value) -> Option<String> {
    Some(match value {
        Value::Text(text) => text.clone(),
        Value::Int(n) => n.to_string(),
        Value::Float(x) if x.fract() == 0.0 && x.abs() < 1e15 => format!("{x:.1}"),
        Value::Float(x) => x.to_string(),
        Value::Bool(b) => if *b { "True" } else { "False" }.to_string(),
        Value::None => "None".to_string(),
        _ => return None,
    })
}

pub fn is_builtin(name: &str) -> bool {
    [
        "range",
        "len",
        "str",
        "int",
        "float",
        "list",
        "tuple",
        "dict",
        "set",
        "sorted",
        "enumerate",
        "zip",
        "min",
        "max",
        "sum",
        "reversed",
        "print",
    ]
    .contains(&name)
}

/// A list's values, if the value is one.
pub fn listed(value: &Value) -> Option<Vec<Value>> {
    match value {
        Value::List(list) => Some(list.borrow().clone()),
        Value::Dict(pairs) => Some(pairs.borrow().iter().map(|(k, _)| k.clone()).collect()),
        _ => None,
    }
}
