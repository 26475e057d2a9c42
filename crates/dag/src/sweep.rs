//! Sweeps: the values of each of a step's copies, in an order that lasts.

use crate::graph::Sweep;
use serde_json::Value;
use std::collections::BTreeMap;

/// Copies of one step at the most.
pub const MOST_COPIES: usize = 100_000;

impl Sweep {
    /// How many copies there are; `None` if there are too many.
    pub fn count(&self) -> Option<usize> {
        let count = match self {
            Sweep::Product(axes) => axes
                .values()
                .try_fold(1usize, |n, values| n.checked_mul(values.len())),
            Sweep::Zip(axes) => Some(axes.values().map(Vec::len).max().unwrap_or(0)),
            Sweep::List(list) => Some(list.len()),
        };
        count.filter(|n| *n <= MOST_COPIES)
    }

    /// What is wrong with it, if anything.
    pub fn problem(&self) -> Option<String> {
        if self.count().is_none() {
            return Some(format!("a sweep has more than {MOST_COPIES} copies"));
        }
        if self.count() == Some(0) {
            return Some("a sweep has no copies".to_string());
        }
        if let Sweep::Zip(axes) = self {
            let mut lengths = axes.iter().map(|(name, values)| (values.len(), name));
            let first = lengths.next()?;
            let other = lengths.find(|l| l.0 != first.0)?;
            return Some(format!(
                "zipped lists must be equally long: {} has {}, {} has {}",
                first.1, first.0, other.1, other.0
            ));
        }
        None
    }

    /// The values of the copies, the last axis changing fastest.
    pub fn copies(&self) -> Vec<BTreeMap<String, Value>> {
        if self.problem().is_some() {
            return Vec::new();
        }
        match self {
            Sweep::Product(axes) => {
                let mut copies = vec![BTreeMap::new()];
                for (name, values) in axes {
                    let more = copies.iter().flat_map(|copy| {
                        values.iter().map(move |value| {
                            let mut copy: BTreeMap<String, Value> = copy.clone();
                            copy.insert(name.clone(), value.clone());
                            copy
                        })
                    });
                    copies = more.collect();
                }
                copies
            }
            Sweep::Zip(axes) => {
                let count = self.count().unwrap_or(0);
                let copy = |i: usize| {
                    let axes = axes
                        .iter()
                        .filter_map(|(name, values)| Some((name.clone(), values.get(i)?.clone())));
                    axes.collect()
                };
                (0..count).map(copy).collect()
            }
            Sweep::List(list) => list.clone(),
        }
    }
}
