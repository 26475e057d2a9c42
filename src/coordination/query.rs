//! Query strings: the part of a request's path after the `?`.

/// Splits a path into the part before the `?` and the query, which is empty without a `?`.
#[must_use]
pub(super) fn split(path: &str) -> (&str, &str) {
    path.split_once('?').unwrap_or((path, ""))
}

/// The first value of a query parameter, without percent-decoding.
#[must_use]
pub(super) fn param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
