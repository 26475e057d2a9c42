//! Sends the requests of a command to the controllers and turns their responses into the command's output.

use crate::http::{Client, Method, RequestError, Response};
use crate::table;
use crate::{CommandOutput, CommandStatus};
use clap::Args;
use serde_json::{Value, json};
use std::time::Duration;

/// Options of all commands that send requests to controllers.
#[derive(Args, Clone, Debug)]
pub struct ControllerArgs {
    /// Address of a controller as HOST:PORT; may be given several times, then tried in turn.
    #[arg(long, value_name = "ADDR", required = true, value_delimiter = ',')]
    pub server: Vec<String>,
    /// Prints the response as JSON.
    #[arg(long)]
    pub json: bool,
    /// Seconds for which a request is retried while no controller responds or can process it.
    #[arg(long, value_name = "SECONDS", default_value_t = 30)]
    pub wait: u64,
}

/// Formats the body of an error response for people, with all conflicting entries.
fn format_error(response: &Response) -> String {
    let mut text = table::format_value(&response.body["error"]);
    for conflict in response.body["clashes"].as_array().into_iter().flatten() {
        let value = |field: &str| table::format_value(&conflict[field]);
        let (kind, name) = (value("kind"), value("name"));
        text += &format!(
            "\n  {kind} {name} from {} until {}",
            value("from"),
            value("until")
        );
    }
    if let Some(more) = response.body["more_clashes"].as_u64() {
        text += &format!("\n  and {more} more");
    }
    if let Some(at) = response.body["fits_from"].as_str() {
        text += &format!("\n  it would fit from {at}");
    }
    text
}

/// A list that was read page by page to its end.
#[derive(Clone, Debug)]
pub struct PagedList {
    /// The items of all pages, in order.
    pub items: Vec<Value>,
    /// The body of the last page, whose list of items is replaced by null.
    pub last_page: Value,
}

impl ControllerArgs {
    fn client(&self) -> Client {
        Client::new(&self.server, Duration::from_secs(self.wait))
    }

    /// Sends a request and returns its response as the command's output.
    pub fn send(&self, method: Method, path: &str, body: Option<&Value>) -> CommandOutput {
        self.output(self.client().request(method, path, body))
    }

    /// Sends a `GET` request and returns the body of a response with status 200.
    ///
    /// # Errors
    /// Returns the command's output for any other outcome.
    pub fn get(&self, path: &str) -> Result<Value, CommandOutput> {
        match self.client().request(Method::Get, path, None) {
            Ok(response) if response.status == 200 => Ok(response.body),
            other => Err(self.output(other)),
        }
    }

    /// Reads a list page by page from `field` of the responses. `page_path` returns the path of the next page
    /// for the items read so far.
    ///
    /// # Errors
    /// Returns the command's output if a page has another status than 200 or could not be read.
    pub fn read_all(
        &self,
        field: &str,
        page_path: impl Fn(&[Value]) -> String,
    ) -> Result<PagedList, CommandOutput> {
        let client = self.client();
        let mut items: Vec<Value> = Vec::new();
        loop {
            let mut body = match client.request(Method::Get, &page_path(&items), None) {
                Ok(response) if response.status == 200 => response.body,
                other => return Err(self.output(other)),
            };
            let page_items = match body.get_mut(field).map(Value::take) {
                Some(Value::Array(page_items)) => page_items,
                _ => Vec::new(),
            };
            let has_more = body["more"] == json!(true) && !page_items.is_empty();
            items.extend(page_items);
            if !has_more {
                return Ok(PagedList {
                    items,
                    last_page: body,
                });
            }
        }
    }

    /// Turns the outcome of a request into the command's output. With `--json`, the response body goes to
    /// standard output also if it reports an error; the command's status still tells that it failed.
    fn output(&self, outcome: Result<Response, RequestError>) -> CommandOutput {
        let response = match outcome {
            Ok(response) => response,
            Err(error) => {
                return CommandOutput::failure(CommandStatus::Unreachable, error.to_string());
            }
        };
        let status = match response.status {
            200 | 201 => CommandStatus::Done,
            404 => CommandStatus::NotFound,
            409 | 422 => CommandStatus::Rejected,
            _ => CommandStatus::Invalid,
        };
        match status {
            _ if self.json => CommandOutput {
                status,
                ..CommandOutput::success(format!("{:#}", response.body))
            },
            CommandStatus::Done => CommandOutput::success(table::format_fields(&response.body)),
            _ => CommandOutput::failure(status, format_error(&response)),
        }
    }
}
