//! An amount over time, stored as changes at points in time in a persistent treap.
//!
//! Each node stores the sum and the peak of the changes in its subtree, so that the peak between two times
//! is found in logarithmic time. Updates copy the path to the root, and clones share all other nodes. The
//! priorities are hashes of the keys, so that the shape depends on the keys alone.

use crate::amount::Amount;
use snowshelf_model::ids::WallClockMillis;
use std::sync::Arc;

type Link = Option<Arc<Node>>;

#[derive(Debug)]
struct Node {
    at: WallClockMillis,
    change: Amount,
    subtree: ChangeSummary,
    left: Link,
    right: Link,
}

/// A sequence of changes: its sum, and its highest level. The level starts at zero, which counts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ChangeSummary {
    sum: Amount,
    peak: Amount,
}

impl ChangeSummary {
    fn single(change: Amount) -> ChangeSummary {
        ChangeSummary {
            sum: change,
            peak: change.max(Amount::ZERO),
        }
    }

    /// The summary of this sequence followed by the next.
    fn then(self, next: ChangeSummary) -> ChangeSummary {
        ChangeSummary {
            sum: self.sum.plus(next.sum),
            peak: self.peak.max(self.sum.plus(next.peak)),
        }
    }
}

/// The priority of a key in the treap: its hash by the finalizer of splitmix64.
fn priority(at: WallClockMillis) -> u64 {
    let mut x = at.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn subtree(link: &Link) -> ChangeSummary {
    link.as_ref().map(|n| n.subtree).unwrap_or_default()
}

fn node(at: WallClockMillis, change: Amount, left: Link, right: Link) -> Link {
    let subtree = subtree(&left)
        .then(ChangeSummary::single(change))
        .then(subtree(&right));
    Some(Arc::new(Node {
        at,
        change,
        subtree,
        left,
        right,
    }))
}

/// Splits a tree into the keys before `at` and the others.
fn split(link: &Link, at: WallClockMillis) -> (Link, Link) {
    let Some(n) = link else {
        return (None, None);
    };
    if n.at < at {
        let (before, rest) = split(&n.right, at);
        (node(n.at, n.change, n.left.clone(), before), rest)
    } else {
        let (before, rest) = split(&n.left, at);
        (before, node(n.at, n.change, rest, n.right.clone()))
    }
}

/// Joins two trees. All keys of the first must be less than those of the second.
fn join(a: &Link, b: &Link) -> Link {
    match (a, b) {
        (None, rest) | (rest, None) => rest.clone(),
        (Some(x), Some(y)) if priority(x.at) >= priority(y.at) => {
            node(x.at, x.change, x.left.clone(), join(&x.right, b))
        }
        (Some(_), Some(y)) => node(y.at, y.change, join(a, &y.left), y.right.clone()),
    }
}

/// Summarizes the changes after `from` and before `until`; `None` is unbounded.
fn changes_between(
    link: &Link,
    from: Option<WallClockMillis>,
    until: Option<WallClockMillis>,
) -> ChangeSummary {
    let Some(n) = link else {
        return ChangeSummary::default();
    };
    if from.is_none() && until.is_none() {
        return n.subtree;
    }
    if from.is_some_and(|from| n.at <= from) {
        return changes_between(&n.right, from, until);
    }
    if until.is_some_and(|until| n.at >= until) {
        return changes_between(&n.left, from, until);
    }
    changes_between(&n.left, from, None)
        .then(ChangeSummary::single(n.change))
        .then(changes_between(&n.right, None, until))
}

/// Searches the changes after `from` and before `until`, where the level starts at `level`. Returns the
/// first time at which the level exceeds `limit` as an error, or else the level at the end.
fn first_exceeding(
    link: &Link,
    from: Option<WallClockMillis>,
    until: Option<WallClockMillis>,
    level: Amount,
    limit: Amount,
) -> Result<Amount, WallClockMillis> {
    let Some(n) = link else {
        return Ok(level);
    };
    if from.is_some_and(|from| n.at <= from) {
        return first_exceeding(&n.right, from, until, level, limit);
    }
    if until.is_some_and(|until| n.at >= until) {
        return first_exceeding(&n.left, from, until, level, limit);
    }
    if from.is_none() && until.is_none() && level.plus(n.subtree.peak).fits_in(limit) {
        return Ok(level.plus(n.subtree.sum));
    }
    let level = first_exceeding(&n.left, from, None, level, limit)?.plus(n.change);
    if !level.fits_in(limit) {
        return Err(n.at);
    }
    first_exceeding(&n.right, None, until, level, limit)
}

/// An amount as a function of time, zero before the first change.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    root: Link,
}

impl Timeline {
    /// The timeline with a change added at a time.
    fn with_change(&self, at: WallClockMillis, change: Amount) -> Timeline {
        let (before, rest) = split(&self.root, at);
        let (here, after) = split(&rest, WallClockMillis(at.0.saturating_add(1)));
        let change = here.map_or(Amount::ZERO, |n| n.change).plus(change);
        let here = match change.is_zero() {
            true => None,
            false => node(at, change, None, None),
        };
        Timeline {
            root: join(&join(&before, &here), &after),
        }
    }

    /// The timeline with `amount` added from `from` (inclusive) to `until` (exclusive).
    #[must_use]
    pub fn with(&self, from: WallClockMillis, until: WallClockMillis, amount: Amount) -> Timeline {
        self.with_change(from, amount)
            .with_change(until, Amount::ZERO.minus(amount))
    }

    /// The timeline with `amount` subtracted, which reverses [`Timeline::with`].
    #[must_use]
    pub fn without(
        &self,
        from: WallClockMillis,
        until: WallClockMillis,
        amount: Amount,
    ) -> Timeline {
        self.with(from, until, Amount::ZERO.minus(amount))
    }

    /// The amount at a time.
    #[must_use]
    pub fn level(&self, at: WallClockMillis) -> Amount {
        changes_between(
            &self.root,
            None,
            Some(WallClockMillis(at.0.saturating_add(1))),
        )
        .sum
    }

    /// The maximum of each resource from `from` (inclusive) to `until` (exclusive).
    #[must_use]
    pub fn peak(&self, from: WallClockMillis, until: WallClockMillis) -> Amount {
        let level = self.level(from);
        level.plus(changes_between(&self.root, Some(from), Some(until)).peak)
    }

    /// The first time from `from` (inclusive) to `until` (exclusive) at which any resource exceeds `limit`.
    #[must_use]
    pub fn first_exceeding(
        &self,
        from: WallClockMillis,
        until: WallClockMillis,
        limit: Amount,
    ) -> Option<WallClockMillis> {
        let level = self.level(from);
        if !level.fits_in(limit) {
            return Some(from);
        }
        first_exceeding(&self.root, Some(from), Some(until), level, limit).err()
    }

    /// The first time after `at` at which the amount changes.
    #[must_use]
    pub fn next_change(&self, at: WallClockMillis) -> Option<WallClockMillis> {
        let (mut link, mut found) = (&self.root, None);
        while let Some(n) = link {
            link = if n.at > at {
                found = Some(n.at);
                &n.left
            } else {
                &n.right
            };
        }
        found
    }

    /// Whether the amount is always zero.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.root.is_none()
    }
}
