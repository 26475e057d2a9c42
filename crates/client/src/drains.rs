//! `snowshelf drains` and `snowshelf budgets`.

use crate::calendar::{EntryArgs, list, parse_time, show_entry};
use crate::controllers::ControllerArgs;
use crate::http::Method;
use crate::table;
use crate::{CommandOutput, CommandStatus};
use clap::{Args, Subcommand, ValueEnum};
use jiff::Timestamp;
use serde_json::{Map, Value, json};
use std::time::{Duration, Instant};

/// What becomes of a machine once it is empty.
#[derive(Clone, Copy, PartialEq, Eq, Debug, ValueEnum)]
pub enum Then {
    /// It stays, empty, until the drain is cancelled.
    Keep,
    Return,
    /// Returned, once what it gives up has come up elsewhere.
    Replace,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, ValueEnum)]
pub enum Late {
    GiveUp,
    Force,
}

/// A drain, and the controllers that it is sent to.
#[derive(Args, Clone, Debug)]
pub struct DrainArgs {
    /// Its name, which is not used by another.
    pub name: String,
    /// A machine; several may be named. Without, all that meet the other conditions.
    #[arg(long = "machine", value_name = "NAME", value_delimiter = ',')]
    pub machines: Vec<String>,
    #[arg(long)]
    pub zone: Option<String>,
    #[arg(long = "type", value_name = "TYPE")]
    pub model: Option<String>,
    /// Only cheap machines, which may be taken back, or only the others.
    #[arg(long, value_name = "YES")]
    pub spot: Option<bool>,
    /// Only machines rented before this time; none: before now.
    #[arg(long, value_name = "TIME", value_parser = parse_time)]
    pub older_than: Option<Timestamp>,
    /// Every machine there is.
    #[arg(long)]
    pub all: bool,
    /// What becomes of a machine once it is empty.
    #[arg(long, value_enum)]
    pub then: Then,
    /// Machines emptied at a time.
    #[arg(long, value_name = "MACHINES", conflicts_with = "share")]
    pub at_once: Option<u32>,
    /// The same as a share of those concerned; a tenth where nothing is said.
    #[arg(long)]
    pub share: Option<f64>,
    /// Machines of the first step, on which the rest depends.
    #[arg(long, value_name = "MACHINES", default_value_t = 1)]
    pub canary: u32,
    /// How long the first step is watched.
    #[arg(long, value_name = "SECONDS", default_value_t = 30.0)]
    pub watch_s: f64,
    /// How long tasks are waited for at the most before they are stopped.
    #[arg(long, value_name = "SECONDS", default_value_t = 120.0)]
    pub patience_s: f64,
    /// Steps may hold machines of several zones.
    #[arg(long)]
    pub any_zone: bool,
    /// When it must be over.
    #[arg(long, value_name = "TIME", value_parser = parse_time)]
    pub by: Option<Timestamp>,
    /// What is done with what is left then.
    #[arg(long, value_enum, default_value = "give-up")]
    pub late: Late,
    /// Works out what it comes to and does nothing until it is resumed.
    #[arg(long)]
    pub plan: bool,
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// The commands on drains.
#[derive(Subcommand, Clone, Debug)]
pub enum Drains {
    /// Lists all drains.
    List(ControllerArgs),
    /// Shows one: what is underway, what is left, what it waits for.
    Show(EntryArgs),
    /// Drains machines; with --plan it is only told what that comes to.
    Add(Box<DrainArgs>),
    /// Lets the step that is underway end and begins no other.
    Pause(EntryArgs),
    /// Goes on, also after it has halted by itself.
    Resume(EntryArgs),
    /// Ends it: machines that are not gone serve again.
    Cancel(EntryArgs),
}

/// The changes of a disruption budget, and the controllers that they are sent to.
#[derive(Args, Clone, Debug)]
pub struct BudgetArgs {
    pub team: String,
    /// CPUs and tasks that may be away at once.
    #[arg(long)]
    pub cpus: Option<f64>,
    #[arg(long)]
    pub tasks: Option<u32>,
    /// A stretch of time, and what may be stopped in any such.
    #[arg(long, value_name = "SECONDS")]
    pub stretch_s: Option<f64>,
    #[arg(long, value_name = "CPUS")]
    pub stretch_cpus: Option<f64>,
    #[arg(long, value_name = "TASKS")]
    pub stretch_tasks: Option<u32>,
    /// Share of one job's tasks that may be away at once.
    #[arg(long, value_name = "SHARE")]
    pub job_share: Option<f64>,
    /// Share of a service's replicas that must stay up.
    #[arg(long, value_name = "SHARE")]
    pub replicas_up: Option<f64>,
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// The name of a team, and the controllers to ask.
#[derive(Args, Clone, Debug)]
pub struct TeamArgs {
    pub team: String,
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// The commands on disruption budgets.
#[derive(Subcommand, Clone, Debug)]
pub enum Budgets {
    /// Shows a team's budget, and what of it is left.
    Show(TeamArgs),
    /// Changes what is named of it, in force at once.
    Set(BudgetArgs),
    /// Goes back to what the controllers' settings say.
    Reset(TeamArgs),
}

const PATH: &str = "/api/drains";
const COLUMNS: [(&str, &str); 7] = [
    ("NAME", "name"),
    ("STATE", "state"),
    ("THEN", "then"),
    ("EMPTIED", "emptied"),
    ("LEFT", "left"),
    ("STEPS LEFT", "steps_left"),
    ("WAITS FOR", "waits_for"),
];
/// How often it is checked whether the plan is there.
const PLAN_POLL_INTERVAL: Duration = Duration::from_millis(300);

impl DrainArgs {
    fn body(&self) -> Value {
        let mut body = Map::new();
        let mut put = |field: &str, value: Value| {
            if !value.is_null() {
                body.insert(field.to_string(), value);
            }
        };
        put("name", json!(self.name));
        if !self.machines.is_empty() {
            put("machines", json!(self.machines));
        }
        put("zone", json!(self.zone));
        put("type", json!(self.model));
        put("spot", json!(self.spot));
        put("older_than", json!(self.older_than.map(|t| t.to_string())));
        put("all", json!(self.all));
        put(
            "then",
            json!(match self.then {
                Then::Keep => "keep",
                Then::Return => "return",
                Then::Replace => "replace",
            }),
        );
        put("at_once", json!(self.at_once));
        put("share", json!(self.share));
        put("canary", json!(self.canary));
        put("watch_s", json!(self.watch_s));
        put("patience_s", json!(self.patience_s));
        put("any_zone", json!(self.any_zone));
        put("by", json!(self.by.map(|t| t.to_string())));
        let late = match self.late {
            Late::GiveUp => "give_up",
            Late::Force => "force",
        };
        put("late", json!(late));
        put("paused", json!(self.plan));
        Value::Object(body)
    }

    fn run(&self) -> CommandOutput {
        let body = self.body();
        let output = self.controllers.send(Method::Post, PATH, Some(&body));
        if !self.plan || output.status != CommandStatus::Done {
            return output;
        }
        // The cluster leader computes the plan a moment later.
        let deadline = Instant::now() + Duration::from_secs(self.controllers.wait);
        loop {
            let path = format!("{PATH}/{}", self.name);
            let answer = match self.controllers.get(&path) {
                Ok(answer) => answer,
                Err(failure) => return failure,
            };
            if answer["left"].is_number() {
                return CommandOutput::success(match self.controllers.json {
                    true => format!("{answer:#}"),
                    false => table::fields(&answer),
                });
            }
            if Instant::now() >= deadline {
                let reason = "no leader has worked it out yet; see `drains show`";
                return CommandOutput::failure(CommandStatus::Unreachable, reason.to_string());
            }
            std::thread::sleep(PLAN_POLL_INTERVAL);
        }
    }
}

impl Drains {
    /// Runs the command.
    pub fn run(&self) -> CommandOutput {
        let act = |entry: &EntryArgs, action: &str| {
            let path = format!("{PATH}/{}/{action}", entry.name);
            entry.controllers.send(Method::Post, &path, None)
        };
        match self {
            Drains::List(controllers) => list(controllers, PATH, &COLUMNS),
            Drains::Show(entry) => show_entry(entry, PATH),
            Drains::Add(drain) => drain.run(),
            Drains::Pause(entry) => act(entry, "pause"),
            Drains::Resume(entry) => act(entry, "resume"),
            Drains::Cancel(entry) => act(entry, "cancel"),
        }
    }
}

fn budget_path(team: &str) -> String {
    format!("/api/budgets/{team}")
}

impl BudgetArgs {
    /// The budget as it is, with what is named changed.
    fn run(&self) -> CommandOutput {
        let path = budget_path(&self.team);
        let mut budget = match self.controllers.get(&path) {
            Ok(mut answer) => answer["budget"].take(),
            Err(failure) => return failure,
        };
        let changes = [
            ("cpus", json!(self.cpus)),
            ("tasks", json!(self.tasks)),
            ("stretch_s", json!(self.stretch_s)),
            ("stretch_cpus", json!(self.stretch_cpus)),
            ("stretch_tasks", json!(self.stretch_tasks)),
            ("job_share", json!(self.job_share)),
            ("replicas_up", json!(self.replicas_up)),
        ];
        if changes.iter().all(|(_, value)| value.is_null()) {
            return CommandOutput::failure(
                CommandStatus::Invalid,
                "nothing is to be changed".to_string(),
            );
        }
        for (field, value) in changes.into_iter().filter(|(_, v)| !v.is_null()) {
            budget[field] = value;
        }
        let body = json!({ "budget": budget });
        self.controllers.send(Method::Put, &path, Some(&body))
    }
}

impl Budgets {
    /// Runs the command.
    pub fn run(&self) -> CommandOutput {
        match self {
            Budgets::Show(args) => {
                let path = budget_path(&args.team);
                args.controllers.send(Method::Get, &path, None)
            }
            Budgets::Set(args) => args.run(),
            Budgets::Reset(args) => {
                let body = json!({ "budget": null });
                let path = budget_path(&args.team);
                args.controllers.send(Method::Put, &path, Some(&body))
            }
        }
    }
}
