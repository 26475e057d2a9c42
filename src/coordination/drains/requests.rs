//! Requests on drains and disruption budgets, parsed from method, path and body.

use crate::coordination::list_request::ListRequest;
use crate::coordination::query::split;
use crate::coordination::request_error::RequestError;
use serde::Deserialize;
use snowshelf_calendar::entry::Name;
use snowshelf_drain::budget::Budget;
use snowshelf_drain::entry::{Drain, DrainAction, parse_drain};
use snowshelf_model::ids::{Team, WallClockMillis};

/// A request on drains or disruption budgets.
#[derive(Clone, Debug)]
pub enum DrainsRequest {
    /// Starts a drain.
    Start(Name, Box<Drain>),
    /// Shows a drain.
    Show(Name),
    /// Pauses, resumes or cancels a drain.
    Control(Name, DrainAction),
    /// Lists drains.
    List(ListRequest),
    /// Shows a team's disruption budget.
    ShowBudget(Team),
    /// Sets a team's disruption budget; `None` restores the default of the settings.
    SetBudget(Team, Option<Budget>),
}

const DRAINS: &str = "/api/drains";
const BUDGETS: &str = "/api/budgets/";

/// Parses a request; `None` if the path belongs to neither drains nor disruption budgets.
pub fn parse_request(
    method: &str,
    path: &str,
    body: &[u8],
    now: WallClockMillis,
) -> Option<Result<DrainsRequest, RequestError>> {
    let (path, query) = split(path);
    if let Some(team) = path.strip_prefix(BUDGETS) {
        return Some(parse_budget_request(method, team, body));
    }
    let rest = path.strip_prefix(DRAINS)?;
    if !rest.is_empty() && !rest.starts_with('/') {
        return None;
    }
    let segments: Vec<&str> = rest.split('/').skip(1).collect();
    Some(match (method, &segments[..]) {
        ("GET", []) => ListRequest::parse(query).map(DrainsRequest::List),
        ("POST", []) => parse_drain(body, now)
            .map(|(name, drain)| DrainsRequest::Start(name, Box::new(drain)))
            .map_err(RequestError::from),
        (_, []) => Err(RequestError::WrongMethod),
        (method, [name, rest @ ..]) => parse_drain_request(method, name, rest),
    })
}

/// Parses a request on one drain; `rest` holds the path segments after its name.
fn parse_drain_request(
    method: &str,
    name: &str,
    rest: &[&str],
) -> Result<DrainsRequest, RequestError> {
    let name = Name::parse(name).ok_or(RequestError::NoSuchEntry)?;
    let action = match rest {
        [] if method == "GET" => return Ok(DrainsRequest::Show(name)),
        ["pause"] => DrainAction::Pause,
        ["resume"] => DrainAction::Resume,
        ["cancel"] => DrainAction::Cancel,
        [] => return Err(RequestError::WrongMethod),
        _ => return Err(RequestError::NoSuchPath),
    };
    match method {
        "POST" => Ok(DrainsRequest::Control(name, action)),
        _ => Err(RequestError::WrongMethod),
    }
}

/// The body of a request that sets a budget; without one the default of the settings applies.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BudgetBody {
    budget: Option<Budget>,
}

fn parse_budget_request(
    method: &str,
    team: &str,
    body: &[u8],
) -> Result<DrainsRequest, RequestError> {
    if team.is_empty() || team.contains('/') {
        return Err(RequestError::NoSuchPath);
    }
    let team = Team::new(team);
    match method {
        "GET" => Ok(DrainsRequest::ShowBudget(team)),
        "PUT" => {
            let BudgetBody { budget } = serde_json::from_slice(body)
                .map_err(|error| RequestError::malformed("body", &error.to_string()))?;
            if let Some(budget) = &budget {
                budget
                    .check()
                    .map_err(|(field, why)| RequestError::malformed(field, why))?;
            }
            Ok(DrainsRequest::SetBudget(team, budget))
        }
        _ => Err(RequestError::WrongMethod),
    }
}
