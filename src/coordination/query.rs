//! What stands behind the `?` of a request's path.

/// The path by itself, and its query.
pub fn split(path: &str) -> (&str, &str) {
    path.split_once('?').unwrap_or((path, ""))
}

/// A parameter of a query, as it was written.
pub fn param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(k, _)| *k == name).map(|(_, v)| v)
}
