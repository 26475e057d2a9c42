//! The query of a request's path: what follows the `?`.

/// The path without its query, and the query.
#[must_use]
pub fn split(path: &str) -> (&str, &str) {
    path.split_once('?').unwrap_or((path, ""))
}

/// The first value of a query's parameter, not decoded.
#[must_use]
pub fn param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
