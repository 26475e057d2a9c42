//! Query parameters of paginated list requests.

use super::query::param;
use super::request_error::RequestError;
use snowshelf_calendar::entry::Name;

/// Largest page size that a request may ask for.
const MAX_PAGE_SIZE: usize = 200;
/// Page size of a request without a limit.
const DEFAULT_PAGE_SIZE: usize = 100;

/// The page of a list that a request asks for.
#[derive(Clone, Debug)]
pub struct ListRequest {
    /// The page begins after this name; `None` for the first page.
    pub after: Option<Name>,
    /// Largest number of entries in the page.
    pub limit: usize,
}

impl ListRequest {
    /// Parses the query of a request.
    ///
    /// # Errors
    /// Returns an error that names the first malformed parameter.
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

    /// Whether an entry's name comes after the start of the page.
    #[must_use]
    pub fn includes(&self, name: &Name) -> bool {
        self.after.as_ref().is_none_or(|after| name > after)
    }
}
