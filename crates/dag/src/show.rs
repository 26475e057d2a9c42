//! A graph for people: a tree in the terminal, DOT, and a picture in SVG.

use crate::graph::{Graph, Trigger};
use std::collections::{BTreeSet, HashMap};
use std::fmt::Write;

/// The layer of each step: one more than the deepest of those above it. Cycles end the count.
fn layers(graph: &Graph) -> Vec<usize> {
    let at = graph.places();
    let mut layers = vec![0; graph.steps.len()];
    for _ in 0..graph.steps.len() {
        let mut moved = false;
        for (i, step) in graph.steps.iter().enumerate() {
            let above = step.after.iter().filter_map(|a| at.get(a.as_str()));
            let layer = above.map(|a| layers[*a] + 1).max().unwrap_or(0);
            if layer > layers[i] && layer < graph.steps.len() {
                layers[i] = layer;
                moved = true;
            }
        }
        if !moved {
            break;
        }
    }
    layers
}

fn label(graph: &Graph, i: usize) -> String {
    let step = &graph.steps[i];
    let mut label = step.id.clone();
    if let Some(count) = step.sweep.as_ref().and_then(|s| s.count()) {
        let _ = write!(label, " x{count}");
    }
    if step.trigger != Trigger::AllSuccess {
        let _ = write!(label, " ({:?})", step.trigger);
    }
    label
}

/// Every step under the first of those that it comes after; others are named beside it.
pub fn tree(graph: &Graph) -> String {
    let mut below: HashMap<Option<&str>, Vec<usize>> = HashMap::new();
    for (i, step) in graph.steps.iter().enumerate() {
        below
            .entry(step.after.first().map(String::as_str))
            .or_default()
            .push(i);
    }
    let mut out = format!("{}\n", graph.name);
    let mut seen = BTreeSet::new();
    // Steps still to be shown, the next one last, with the lines before them.
    let roots = below.get(&None).into_iter().flatten().rev();
    let mut todo: Vec<(usize, String, bool)> = Vec::new();
    for (n, i) in roots.enumerate() {
        todo.push((*i, String::new(), n == 0));
    }
    while let Some((i, before, last)) = todo.pop() {
        if !seen.insert(i) {
            continue;
        }
        let branch = if last { "`- " } else { "|- " };
        let others = graph.steps[i].after.get(1..).unwrap_or_default();
        let others = match others {
            [] => String::new(),
            others => format!("  (also after {})", others.join(", ")),
        };
        let _ = writeln!(out, "{before}{branch}{}{others}", label(graph, i));
        let inner = format!("{before}{}", if last { "   " } else { "|  " });
        let under = below
            .get(&Some(graph.steps[i].id.as_str()))
            .into_iter()
            .flatten()
            .rev();
        for (n, i) in under.enumerate() {
            todo.push((*i, inner.clone(), n == 0));
        }
    }
    out
}

fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

pub fn dot(graph: &Graph) -> String {
    let mut out = format!(
        "digraph {} {{\n  rankdir=LR;\n  node [shape=box];\n",
        quoted(&graph.name)
    );
    for (i, step) in graph.steps.iter().enumerate() {
        let _ = writeln!(
            out,
            "  {} [label={}];",
            quoted(&step.id),
            quoted(&label(graph, i))
        );
    }
    for step in &graph.steps {
        for above in &step.after {
            let _ = writeln!(out, "  {} -> {};", quoted(above), quoted(&step.id));
        }
    }
    out.push_str("}\n");
    out
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

const BOX: (usize, usize) = (190, 34);
const GAP: (usize, usize) = (60, 16);

/// Layers from left to right, a box for each step.
pub fn svg(graph: &Graph) -> String {
    let layers = layers(graph);
    let mut rows: HashMap<usize, usize> = HashMap::new();
    let places: Vec<(usize, usize)> = layers
        .iter()
        .map(|layer| {
            let row = rows.entry(*layer).or_default();
            *row += 1;
            let x = GAP.1 + layer * (BOX.0 + GAP.0);
            (x, GAP.1 + (*row - 1) * (BOX.1 + GAP.1))
        })
        .collect();
    let width = places.iter().map(|p| p.0).max().unwrap_or(0) + BOX.0 + GAP.1;
    let height = places.iter().map(|p| p.1).max().unwrap_or(0) + BOX.1 + GAP.1;
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    let at = graph.places();
    for (i, step) in graph.steps.iter().enumerate() {
        for above in step.after.iter().filter_map(|a| at.get(a.as_str())) {
            let (x1, y1) = (places[*above].0 + BOX.0, places[*above].1 + BOX.1 / 2);
            let (x2, y2) = (places[i].0, places[i].1 + BOX.1 / 2);
            let bend = (x1 + x2) / 2;
            let _ = writeln!(
                out,
                "<path d=\"M{x1} {y1} C{bend} {y1} {bend} {y2} {x2} {y2}\" fill=\"none\" stroke=\"#888\"/>"
            );
        }
    }
    for (i, (x, y)) in places.iter().enumerate() {
        let label = label(graph, i);
        let short: String = match label.chars().count() {
            0..=26 => label.clone(),
            _ => label.chars().take(25).chain(['…']).collect(),
        };
        let _ = writeln!(
            out,
            "<g><title>{}</title><rect x=\"{x}\" y=\"{y}\" width=\"{}\" height=\"{}\" rx=\"4\" fill=\"#eef3fa\" stroke=\"#456\"/>\
             <text x=\"{}\" y=\"{}\">{}</text></g>",
            escaped(&label),
            BOX.0,
            BOX.1,
            x + 8,
            y + 21,
            escaped(&short)
        );
    }
    out.push_str("</svg>\n");
    out
}
