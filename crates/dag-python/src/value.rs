//! What an expression of a DAG file is known to be.

use rustpython_parser::ast;
use std::cell::RefCell;
use std::rc::Rc;

#[derive(Clone, Debug)]
pub enum Value {
    None,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    /// Lists and tuples; shared, as names for the same list change the same list.
    List(Rc<RefCell<Vec<Value>>>),
    Dict(Rc<RefCell<Vec<(Value, Value)>>>),
    /// A span of time, in seconds.
    Span(f64),
    /// A moment, as text.
    Moment(String),
    Dag(usize),
    /// Steps of a graph: an operator, what a step gives, or several.
    Steps(usize, Vec<String>),
    /// A group of steps by its prefix.
    Group(usize, String),
    /// Something imported, or a part of it, by its whole name.
    Import(String),
    Function(Rc<Function>),
    /// A method of a value, not called yet.
    Method(Box<Value>, String),
    /// An operator or a task with some of its arguments, not made yet.
    Partial(Rc<Partial>),
    /// A parameter with its schema.
    Param(Rc<Vec<(String, Value)>>),
    /// A label on an edge: of no meaning here.
    Label,
}

/// A function of the file, with what its decorators make of it.
#[derive(Debug)]
pub struct Function {
    pub name: String,
    pub def: Rc<ast::StmtFunctionDef>,
    pub role: Role,
    /// The scope in which it was defined.
    pub within: (usize, u64),
}

#[derive(Clone, Debug)]
pub enum Role {
    /// Called where its body is known.
    Plain,
    /// A step of this operator, with these arguments.
    Task(String, Args),
    /// A graph when it is called.
    Dag(Args),
    /// A group of steps when it is called.
    Group(Args),
}

/// Arguments by name.
pub type Args = Vec<(String, Value)>;

#[derive(Clone, Debug)]
pub struct Partial {
    pub operator: String,
    /// The function of a task, whose name the step takes.
    pub task: Option<String>,
    pub args: Args,
}

impl Value {
    pub fn list(values: Vec<Value>) -> Value {
        Value::List(Rc::new(RefCell::new(values)))
    }

    pub fn dict(pairs: Vec<(Value, Value)>) -> Value {
        Value::Dict(Rc::new(RefCell::new(pairs)))
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Value::Int(n) => Some(*n as f64),
            Value::Float(x) => Some(*x),
            _ => None,
        }
    }

    pub fn truth(&self) -> Option<bool> {
        Some(match self {
            Value::None => false,
            Value::Bool(b) => *b,
            Value::Int(n) => *n != 0,
            Value::Float(x) => *x != 0.0,
            Value::Text(text) => !text.is_empty(),
            Value::List(list) => !list.borrow().is_empty(),
            Value::Dict(pairs) => !pairs.borrow().is_empty(),
            _ => return None,
        })
    }

    /// Whether two values are equal, as far as both are plain.
    pub fn same(&self, other: &Value) -> Option<bool> {
        self.same_to(other, 0)
    }

    fn same_to(&self, other: &Value, depth: u32) -> Option<bool> {
        // Lists may contain themselves.
        if depth > 50 {
            return None;
        }
        if let (Some(a), Some(b)) = (self.number(), other.number()) {
            return Some(a == b);
        }
        Some(match (self, other) {
            (Value::None, Value::None) => true,
            (Value::Bool(a), Value::Bool(b)) => a == b,
            (Value::Text(a), Value::Text(b)) => a == b,
            (Value::List(a), Value::List(b)) => {
                let (a, b) = (a.borrow(), b.borrow());
                a.len() == b.len()
                    && a.iter()
                        .zip(b.iter())
                        .all(|(a, b)| a.same_to(b, depth + 1) == Some(true))
            }
            (
                Value::None | Value::Bool(_) | Value::Int(_) | Value::Float(_) | Value::Text(_),
                _,
            ) => false,
            _ => return None,
        })
    }

    /// As JSON, if it is plain; lists that contain themselves are not.
    pub fn json(&self, depth: u32) -> Option<serde_json::Value> {
        use serde_json::Value as Json;
        if depth > 50 {
            return None;
        }
        Some(match self {
            Value::None => Json::Null,
            Value::Bool(b) => Json::Bool(*b),
            Value::Int(n) => Json::from(*n),
            Value::Float(x) => Json::from(*x),
            Value::Text(text) => Json::from(text.as_str()),
            Value::Span(s) => Json::from(*s),
            Value::Moment(at) => Json::from(at.as_str()),
            Value::Function(f) => Json::from(f.name.as_str()),
            Value::List(list) => {
                let list = list.borrow();
                Json::Array(
                    list.iter()
                        .map(|v| v.json(depth + 1))
                        .collect::<Option<_>>()?,
                )
            }
            Value::Dict(pairs) => {
                let pairs = pairs.borrow();
                let pairs = pairs.iter().map(|(k, v)| {
                    let key = match k {
                        Value::Text(text) => text.clone(),
                        other => other.json(depth + 1)?.to_string(),
                    };
                    Some((key, v.json(depth + 1)?))
                });
                Json::Object(pairs.collect::<Option<_>>()?)
            }
            _ => return None,
        })
    }

    /// What it is called in what users are told.
    pub fn kind(&self) -> &'static str {
        match self {
            Value::None => "None",
            Value::Bool(_) => "a truth value",
            Value::Int(_) | Value::Float(_) => "a number",
            Value::Text(_) => "a text",
            Value::List(_) => "a list",
            Value::Dict(_) => "a dict",
            Value::Span(_) => "a span of time",
            Value::Moment(_) => "a moment",
            Value::Dag(_) => "a DAG",
            Value::Steps(..) => "a step",
            Value::Group(..) => "a group of steps",
            Value::Import(_) => "something imported",
            Value::Function(_) => "a function",
            Value::Method(..) => "a method",
            Value::Partial(_) => "a step that is not made yet",
            Value::Param(_) => "a parameter",
            Value::Label => "a label",
        }
    }
}
