//! The parameters of a request for a list of entries, page by page.

use super::query::param;
use super::request_error::RequestError;
use snowshelf_calendar::entry::Name;

/// Entries in one page at most.
const MAX_PAGE_SIZE: usize = 200;
/// Entries in one page if the request has no limit.
const DEFAULT_PAGE_SIZE: usize = 100;

/// Which page of a list is asked for.
#[derive(Clone, Debug)]
pub struct ListRequest {
    /// The page begins after this name.
    pub after: Option<Name>,
    /// Entries in the page at most.
    pub limit: usize,
}

impl ListRequest {
    /// Parses the query of a request.
    ///
    /// # Errors
    /// A parameter that is malformed.
    pub fn parse(query: &str) -> Result<ListRequest, RequestError> {
        let after = match param(query, "after").map(Name::parse) {
            Some(None) => return Err(RequestError::malformed("after", "is no name")),
            after => after.flatten(),
        };
        let limit = match param(query, "limit").map(str::parse::<usize>) {
            None => DEFAULT_PAGE_SIZE,
            Some(Ok(limit)) if (1..=MAX_PAGE_SIZE).contains(&limit) => limit,
            Some(_) => return Err(RequestError::malformed("limit", "must be from 1 to 200")),
        };
        Ok(ListRequest { after, limit })
    }

    /// Whether an entry comes after the place where the page begins.
    #[must_use]
    pub fn includes(&self, name: &Name) -> bool {
        self.after.as_ref().is_none_or(|after| name > after)
    }
}
