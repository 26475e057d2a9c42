//! The graphs of a file while it is read.

use crate::value::{Args, Value};
use rustpython_parser::text_size::TextRange;
use snowshelf_dag::graph::{Graph, Step};
use snowshelf_dag::problem::{Problem, Problems};
use std::collections::{BTreeSet, HashMap};

/// Statements and expressions that are looked at in all, so that loops end.
const MOST_LOOKS: u64 = 2_000_000;
/// How deep expressions and calls may nest.
pub const MOST_DEPTH: u32 = 100;
/// Steps of one file.
const MOST_STEPS: usize = 20_000;

/// What could not be read; told already.
#[derive(Debug)]
pub struct Refused;
pub type Read<T> = Result<T, Refused>;

/// A graph, and what its steps take over from it.
pub struct Building {
    pub graph: Graph,
    pub defaults: Args,
    pub edges: Vec<(String, String)>,
    seen_edges: BTreeSet<(String, String)>,
    ids: BTreeSet<String>,
}

/// Where a step is made: which graph, in which group.
#[derive(Clone)]
pub struct Place {
    pub dag: usize,
    pub prefix: String,
}

/// The names of the file, or of a call of one of its functions.
#[derive(Default)]
struct Scope {
    id: u64,
    /// Where the function was defined, by place.
    within: Option<usize>,
    names: HashMap<String, Value>,
}

pub struct Reader {
    pub problems: Problems,
    pub dags: Vec<Building>,
    /// Names by scope, the innermost last.
    scopes: Vec<Scope>,
    next_scope: u64,
    pub places: Vec<Place>,
    pub depth: u32,
    looks: u64,
    /// Where lines begin.
    lines: Vec<usize>,
}

impl Reader {
    pub fn new(text: &str, file: &str) -> Reader {
        let begins = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        Reader {
            problems: Problems::of(file),
            dags: Vec::new(),
            scopes: vec![Scope::default()],
            next_scope: 0,
            places: Vec::new(),
            depth: 0,
            looks: 0,
            lines: std::iter::once(0)
                .chain(begins.map(|(i, _)| i + 1))
                .collect(),
        }
    }

    pub fn line_at(&self, offset: usize) -> u32 {
        self.lines.partition_point(|begin| *begin <= offset) as u32
    }

    pub fn line(&self, at: TextRange) -> u32 {
        self.line_at(at.start().to_usize())
    }

    /// Counts a look at something; told once if there were too many.
    pub fn look(&mut self, at: TextRange) -> Read<()> {
        self.looks += 1;
        if self.looks > MOST_LOOKS {
            return self.refuse(at, "reading this takes too long", "write fewer loops");
        }
        Ok(())
    }

    pub fn refuse<T>(&mut self, at: TextRange, what: impl Into<String>, instead: &str) -> Read<T> {
        let line = self.line(at);
        self.problems.instead(Some(line), "", what, instead);
        Err(Refused)
    }

    /// What a name is here: in this scope, or in those that it was defined in.
    pub fn name(&self, name: &str) -> Option<Value> {
        let mut at = Some(self.scopes.len().checked_sub(1)?);
        while let Some(scope) = at.and_then(|i| self.scopes.get(i)) {
            if let Some(value) = scope.names.get(name) {
                return Some(value.clone());
            }
            at = scope.within;
        }
        None
    }

    pub fn bind(&mut self, name: &str, value: Value) {
        if let Some(scope) = self.scopes.last_mut() {
            scope.names.insert(name.to_string(), value);
        }
    }

    /// The names of this scope, to be put back.
    pub fn names(&self) -> HashMap<String, Value> {
        self.scopes
            .last()
            .map(|s| s.names.clone())
            .unwrap_or_default()
    }

    pub fn put_names(&mut self, names: HashMap<String, Value>) {
        if let Some(scope) = self.scopes.last_mut() {
            scope.names = names;
        }
    }

    /// Which scope a function defined now belongs to.
    pub fn here(&self) -> (usize, u64) {
        (
            self.scopes.len() - 1,
            self.scopes.last().map_or(0, |s| s.id),
        )
    }

    /// Enters a call of a function that was defined there; false if that scope is no more.
    pub fn enter(&mut self, (within, id): (usize, u64), names: HashMap<String, Value>) -> bool {
        if self.scopes.get(within).is_none_or(|s| s.id != id) {
            return false;
        }
        self.next_scope += 1;
        self.scopes.push(Scope {
            id: self.next_scope,
            within: Some(within),
            names,
        });
        true
    }

    pub fn leave(&mut self) {
        self.scopes.pop();
    }

    pub fn new_dag(&mut self, graph: Graph, defaults: Args) -> usize {
        self.dags.push(Building {
            graph,
            defaults,
            edges: Vec::new(),
            seen_edges: BTreeSet::new(),
            ids: BTreeSet::new(),
        });
        self.dags.len() - 1
    }

    /// Adds a step; tasks called again get a number behind their name.
    pub fn add_step(
        &mut self,
        at: TextRange,
        dag: usize,
        mut step: Step,
        counted: bool,
    ) -> Read<Value> {
        let line = self.line(at);
        let total: usize = self.dags.iter().map(|d| d.graph.steps.len()).sum();
        if total >= MOST_STEPS {
            return self.refuse(
                at,
                format!("the file has more than {MOST_STEPS} steps"),
                "use a sweep",
            );
        }
        let building = &mut self.dags[dag];
        if counted && building.ids.contains(&step.id) {
            let number = (1..).find(|n| !building.ids.contains(&format!("{}__{n}", step.id)));
            step.id = format!("{}__{}", step.id, number.unwrap_or(1));
        }
        building.ids.insert(step.id.clone());
        step.line = Some(line);
        let id = step.id.clone();
        building.graph.steps.push(step);
        Ok(Value::Steps(dag, vec![id]))
    }

    pub fn edge(&mut self, dag: usize, above: &str, below: &str) {
        let building = &mut self.dags[dag];
        let edge = (above.to_string(), below.to_string());
        if building.seen_edges.insert(edge.clone()) {
            building.edges.push(edge);
        }
    }

    /// The first or the last steps of a group.
    pub fn ends(&self, dag: usize, prefix: &str, last: bool) -> Vec<String> {
        let building = &self.dags[dag];
        let inside = |id: &str| {
            id.strip_prefix(prefix)
                .is_some_and(|rest| rest.starts_with('.'))
        };
        let steps = building
            .graph
            .steps
            .iter()
            .map(|s| &s.id)
            .filter(|id| inside(id));
        let bound: BTreeSet<&String> = building
            .edges
            .iter()
            .filter(|(a, b)| inside(a) && inside(b))
            .map(|(a, b)| if last { a } else { b })
            .collect();
        steps.filter(|id| !bound.contains(id)).cloned().collect()
    }

    pub fn finish(mut self) -> Result<Vec<Graph>, Vec<Problem>> {
        let any = !self.dags.is_empty();
        if !any && self.problems.is_empty() {
            self.problems.add(None, "", "has no DAG");
        }
        if !self.problems.is_empty() {
            return Err(self.problems.into_list());
        }
        let graphs = self.dags.into_iter().map(|building| {
            let mut graph = building.graph;
            let mut after: HashMap<String, Vec<String>> = HashMap::new();
            for (above, below) in building.edges {
                after.entry(below).or_default().push(above);
            }
            for step in &mut graph.steps {
                step.after = after.remove(&step.id).unwrap_or_default();
            }
            graph
        });
        Ok(graphs.collect())
    }
}
