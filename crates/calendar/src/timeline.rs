//! The amount booked over time, as changes at points of time in a persistent tree.
//!
//! Every node stores the sum of the changes below it and the highest level that they reach, so that the
//! highest level between two times is found in logarithmic time. Nothing is changed in place: a clone
//! shares everything that is not changed in it. The tree's shape follows from its keys alone (a treap
//! whose priorities are hashes of the keys).

use crate::amount::Amount;
use snowshelf_model::ids::WallClockMillis;
use std::sync::Arc;

type Link = Option<Arc<Node>>;

#[derive(Debug)]
struct Node {
    at: WallClockMillis,
    change: Amount,
    below: Span,
    left: Link,
    right: Link,
}

/// A sequence of changes: their sum, and the highest level reached, the start included.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Span {
    sum: Amount,
    peak: Amount,
}

impl Span {
    fn of(change: Amount) -> Span {
        Span {
            sum: change,
            peak: change.max(Amount::ZERO),
        }
    }
    fn then(self, next: Span) -> Span {
        Span {
            sum: self.sum.plus(next.sum),
            peak: self.peak.max(self.sum.plus(next.peak)),
        }
    }
}

/// Spreads keys over priorities (the finalizer of splitmix64).
fn priority(at: WallClockMillis) -> u64 {
    let mut x = at.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn below(link: &Link) -> Span {
    link.as_ref().map(|n| n.below).unwrap_or_default()
}

fn node(at: WallClockMillis, change: Amount, left: Link, right: Link) -> Link {
    let below = below(&left).then(Span::of(change)).then(below(&right));
    Some(Arc::new(Node {
        at,
        change,
        below,
        left,
        right,
    }))
}

/// Keys before `at`, and the others.
fn split(link: &Link, at: WallClockMillis) -> (Link, Link) {
    let Some(n) = link else {
        return (None, None);
    };
    if n.at < at {
        let (less, rest) = split(&n.right, at);
        (node(n.at, n.change, n.left.clone(), less), rest)
    } else {
        let (less, rest) = split(&n.left, at);
        (less, node(n.at, n.change, rest, n.right.clone()))
    }
}

/// Joins two trees, all keys of the first before those of the second.
fn join(a: &Link, b: &Link) -> Link {
    match (a, b) {
        (None, rest) | (rest, None) => rest.clone(),
        (Some(x), Some(y)) if priority(x.at) >= priority(y.at) => {
            node(x.at, x.change, x.left.clone(), join(&x.right, b))
        }
        (Some(_), Some(y)) => node(y.at, y.change, join(a, &y.left), y.right.clone()),
    }
}

/// The changes after `from` and before `until`, where these are given.
fn changes_between(
    link: &Link,
    from: Option<WallClockMillis>,
    until: Option<WallClockMillis>,
) -> Span {
    let Some(n) = link else {
        return Span::default();
    };
    if from.is_none() && until.is_none() {
        return n.below;
    }
    if from.is_some_and(|from| n.at <= from) {
        return changes_between(&n.right, from, until);
    }
    if until.is_some_and(|until| n.at >= until) {
        return changes_between(&n.left, from, until);
    }
    changes_between(&n.left, from, None)
        .then(Span::of(n.change))
        .then(changes_between(&n.right, None, until))
}

/// The first time after `from` and before `until` at which the level, coming from `level`, does not
/// fit any more; the level at the end otherwise.
fn first_over(
    link: &Link,
    from: Option<WallClockMillis>,
    until: Option<WallClockMillis>,
    level: Amount,
    most: Amount,
) -> Result<Amount, WallClockMillis> {
    let Some(n) = link else {
        return Ok(level);
    };
    if from.is_some_and(|from| n.at <= from) {
        return first_over(&n.right, from, until, level, most);
    }
    if until.is_some_and(|until| n.at >= until) {
        return first_over(&n.left, from, until, level, most);
    }
    if from.is_none() && until.is_none() && level.plus(n.below.peak).fits_in(most) {
        return Ok(level.plus(n.below.sum));
    }
    let level = first_over(&n.left, from, None, level, most)?.plus(n.change);
    if !level.fits_in(most) {
        return Err(n.at);
    }
    first_over(&n.right, None, until, level, most)
}

/// The amount booked at every time.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    root: Link,
}

impl Timeline {
    fn change(&self, at: WallClockMillis, change: Amount) -> Timeline {
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

    /// The timeline with `amount` more from `from` to before `until`.
    #[must_use]
    pub fn with(&self, from: WallClockMillis, until: WallClockMillis, amount: Amount) -> Timeline {
        self.change(from, amount)
            .change(until, Amount::ZERO.minus(amount))
    }

    /// The timeline without what [`Timeline::with`] added.
    #[must_use]
    pub fn without(
        &self,
        from: WallClockMillis,
        until: WallClockMillis,
        amount: Amount,
    ) -> Timeline {
        self.with(from, until, Amount::ZERO.minus(amount))
    }

    /// The amount booked at a time.
    #[must_use]
    pub fn level(&self, at: WallClockMillis) -> Amount {
        changes_between(
            &self.root,
            None,
            Some(WallClockMillis(at.0.saturating_add(1))),
        )
        .sum
    }

    /// The most that is booked of each resource from `from` to before `until`.
    #[must_use]
    pub fn peak(&self, from: WallClockMillis, until: WallClockMillis) -> Amount {
        let level = self.level(from);
        level.plus(changes_between(&self.root, Some(from), Some(until)).peak)
    }

    /// The first time from `from` to before `until` at which more than `most` is booked.
    #[must_use]
    pub fn first_over(
        &self,
        from: WallClockMillis,
        until: WallClockMillis,
        most: Amount,
    ) -> Option<WallClockMillis> {
        let level = self.level(from);
        if !level.fits_in(most) {
            return Some(from);
        }
        first_over(&self.root, Some(from), Some(until), level, most).err()
    }

    /// The next time after `at` at which the level changes.
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

    /// Whether nothing is ever booked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.root.is_none()
    }
}
