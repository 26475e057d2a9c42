//! Requests to the controllers on behalf of a command, and the output that their response becomes.

use crate::http::{Client, Method, RequestError, Response};
use crate::table;
use crate::{CommandOutput, CommandStatus};
use clap::Args;
use serde_json::{Value, json};
use std::time::Duration;

/// Where and how a command asks.
#[derive(Args, Clone, Debug)]
pub struct ControllerArgs {
    /// A controller as HOST:PORT; several are tried in turn.
    #[arg(long, value_name = "ADDR", required = true, value_delimiter = ',')]
    pub server: Vec<String>,
    /// Prints the answer as JSON.
    #[arg(long)]
    pub json: bool,
    /// How long to go on asking, in seconds, where no controller can decide yet.
    #[arg(long, value_name = "SECONDS", default_value_t = 30)]
    pub wait: u64,
}

/// A refusal for people, with all the entries that conflict.
fn refusal(response: &Response) -> String {
    let mut text = table::plain(&response.body["error"]);
    for clash in response.body["clashes"].as_array().into_iter().flatten() {
        let of = |field: &str| table::plain(&clash[field]);
        let (kind, name) = (of("kind"), of("name"));
        text += &format!(
            "\n  {kind} {name} from {} until {}",
            of("from"),
            of("until")
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

/// A list that was read page by page.
#[derive(Clone, Debug)]
pub struct PagedList {
    /// All items.
    pub items: Vec<Value>,
    /// The body of the last page, without its items.
    pub last_page: Value,
}

impl ControllerArgs {
    fn client(&self) -> Client {
        Client::new(&self.server, Duration::from_secs(self.wait))
    }

    /// Sends a request; its response becomes the output.
    pub fn send(&self, method: Method, path: &str, body: Option<&Value>) -> CommandOutput {
        self.output(self.client().request(method, path, body))
    }

    /// The body of the response to a `GET`.
    ///
    /// # Errors
    /// The output of a command for which that failed.
    pub fn get(&self, path: &str) -> Result<Value, CommandOutput> {
        match self.client().request(Method::Get, path, None) {
            Ok(response) if response.status == 200 => Ok(response.body),
            other => Err(self.output(other)),
        }
    }

    /// Reads a list page by page; `page` makes the path of the next page from the items read so far.
    ///
    /// # Errors
    /// The output of a command for which a page failed.
    pub fn read_all(
        &self,
        field: &str,
        page: impl Fn(&[Value]) -> String,
    ) -> Result<PagedList, CommandOutput> {
        let client = self.client();
        let mut items: Vec<Value> = Vec::new();
        loop {
            let mut body = match client.request(Method::Get, &page(&items), None) {
                Ok(response) if response.status == 200 => response.body,
                other => return Err(self.output(other)),
            };
            let found = match body.get_mut(field).map(Value::take) {
                Some(Value::Array(found)) => found,
                _ => Vec::new(),
            };
            let more = body["more"] == json!(true) && !found.is_empty();
            items.extend(found);
            if !more {
                return Ok(PagedList {
                    items,
                    last_page: body,
                });
            }
        }
    }

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
            409 | 422 => CommandStatus::Refused,
            _ => CommandStatus::Invalid,
        };
        match status {
            _ if self.json => CommandOutput {
                status,
                ..CommandOutput::success(format!("{:#}", response.body))
            },
            CommandStatus::Done => CommandOutput::success(table::fields(&response.body)),
            _ => CommandOutput::failure(status, refusal(&response)),
        }
    }
}
