//! The commands `snowshelf drains` and `snowshelf budgets`.

use crate::calendar::{EntryArgs, list, parse_time, show_entry};
use crate::controllers::ControllerArgs;
use crate::http::Method;
use crate::table;
use crate::{CommandOutput, CommandStatus};
use clap::{Args, Subcommand, ValueEnum};
use jiff::Timestamp;
use serde_json::{Map, Value, json};
use std::time::{Duration, Instant};

/// What happens to a machine once it is empty.
#[derive(Clone, Copy, PartialEq, Eq, Debug, ValueEnum)]
pub enum EmptyMachineAction {
    /// The machine stays empty until the drain is cancelled.
    Keep,
    /// The machine is returned.
    Return,
    /// The machine is returned, after the machine that replaces it has come up.
    Replace,
}

/// What happens at the deadline of a drain to the machines that are not empty.
#[derive(Clone, Copy, PartialEq, Eq, Debug, ValueEnum)]
pub enum DeadlineAction {
    /// No further machine is drained.
    GiveUp,
    /// The remaining tasks are evicted even beyond the disruption budgets.
    Force,
}

/// A drain, and the controllers to which it is sent.
#[derive(Args, Clone, Debug)]
pub struct DrainArgs {
    /// Name of the drain, unique among drains.
    pub name: String,
    /// Name of a machine; may be given several times. Default: all machines that meet the other conditions.
    #[arg(long = "machine", value_name = "NAME", value_delimiter = ',')]
    pub machines: Vec<String>,
    /// Only machines of this zone.
    #[arg(long)]
    pub zone: Option<String>,
    /// Only machines of this type.
    #[arg(long = "type", value_name = "TYPE")]
    pub machine_type: Option<String>,
    /// Only spot instances (true), or only on-demand machines (false).
    #[arg(long, value_name = "YES")]
    pub spot: Option<bool>,
    /// Only machines rented before this time. Default: now.
    #[arg(long, value_name = "TIME", value_parser = parse_time)]
    pub older_than: Option<Timestamp>,
    /// Selects all machines. Required if there is no other condition.
    #[arg(long)]
    pub all: bool,
    /// What happens to a machine once it is empty.
    #[arg(long, value_enum)]
    pub then: EmptyMachineAction,
    /// Maximum number of machines in a step, which are drained together.
    #[arg(long, value_name = "MACHINES", conflicts_with = "share")]
    pub at_once: Option<u32>,
    /// Maximum number of machines in a step, as a share of the selected machines. Default without --at-once: 0.1.
    #[arg(long)]
    pub share: Option<f64>,
    /// Number of machines in the first step (canary), which must succeed before the next one; 0 for no such step.
    #[arg(long, value_name = "MACHINES", default_value_t = 1)]
    pub canary: u32,
    /// Seconds for which the machines of the canary step are watched before the next step.
    #[arg(long, value_name = "SECONDS", default_value_t = 30.0)]
    pub watch_s: f64,
    /// Seconds for which tasks may run on before they are evicted.
    #[arg(long, value_name = "SECONDS", default_value_t = 120.0)]
    pub patience_s: f64,
    /// Allows a step to have machines of several zones.
    #[arg(long)]
    pub any_zone: bool,
    /// Deadline of the drain. Default: none.
    #[arg(long, value_name = "TIME", value_parser = parse_time)]
    pub by: Option<Timestamp>,
    /// What happens at the deadline to the machines that are not empty.
    #[arg(long, value_enum, default_value = "give-up")]
    pub late: DeadlineAction,
    /// Computes and shows the plan of the drain, which stays paused until it is resumed.
    #[arg(long)]
    pub plan: bool,
    /// The controllers.
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// The subcommands of `snowshelf drains`.
#[derive(Subcommand, Clone, Debug)]
pub enum DrainCommand {
    /// Lists all drains.
    List(ControllerArgs),
    /// Shows a drain: its step in progress, the remaining machines, and what it waits for.
    Show(EntryArgs),
    /// Starts a drain; with --plan, only shows what it would do.
    Add(Box<DrainArgs>),
    /// Pauses a drain once its step in progress has finished.
    Pause(EntryArgs),
    /// Resumes a drain that was paused or has halted by itself.
    Resume(EntryArgs),
    /// Cancels a drain. Machines that were not returned accept tasks again.
    Cancel(EntryArgs),
}

/// Changes to a team's disruption budget, and the controllers to which they are sent.
#[derive(Args, Clone, Debug)]
pub struct BudgetArgs {
    /// Name of the team.
    pub team: String,
    /// Maximum number of the team's CPUs that may be unavailable at a time.
    #[arg(long)]
    pub cpus: Option<f64>,
    /// Maximum number of the team's tasks that may be unavailable at a time.
    #[arg(long)]
    pub tasks: Option<u32>,
    /// Length in seconds of the sliding time window in which evictions are limited.
    #[arg(long, value_name = "SECONDS")]
    pub stretch_s: Option<f64>,
    /// Maximum number of CPUs whose tasks may be evicted within the time window of --stretch-s.
    #[arg(long, value_name = "CPUS")]
    pub stretch_cpus: Option<f64>,
    /// Maximum number of tasks that may be evicted within the time window of --stretch-s.
    #[arg(long, value_name = "TASKS")]
    pub stretch_tasks: Option<u32>,
    /// Maximum share of a job's tasks that may be unavailable at a time, from 0 to 1.
    #[arg(long, value_name = "SHARE")]
    pub job_share: Option<f64>,
    /// Minimum share of a service's replicas that must stay up, from 0 to 1.
    #[arg(long, value_name = "SHARE")]
    pub replicas_up: Option<f64>,
    /// The controllers.
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// The name of a team, and the controllers to which the request is sent.
#[derive(Args, Clone, Debug)]
pub struct TeamArgs {
    /// Name of the team.
    pub team: String,
    /// The controllers.
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// The subcommands of `snowshelf budgets`.
#[derive(Subcommand, Clone, Debug)]
pub enum BudgetCommand {
    /// Shows a team's disruption budget, and how much of it is left.
    Show(TeamArgs),
    /// Changes the given values of a team's disruption budget, with immediate effect.
    Set(BudgetArgs),
    /// Resets a team's disruption budget to the controllers' settings.
    Reset(TeamArgs),
}

const DRAINS_PATH: &str = "/api/drains";
const DRAIN_COLUMNS: [(&str, &str); 7] = [
    ("NAME", "name"),
    ("STATE", "state"),
    ("THEN", "then"),
    ("EMPTIED", "emptied"),
    ("LEFT", "left"),
    ("STEPS LEFT", "steps_left"),
    ("WAITS FOR", "waits_for"),
];
/// Interval at which a new drain is read until its plan is computed.
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
        put("type", json!(self.machine_type));
        put("spot", json!(self.spot));
        put("older_than", json!(self.older_than.map(|t| t.to_string())));
        put("all", json!(self.all));
        put(
            "then",
            json!(match self.then {
                EmptyMachineAction::Keep => "keep",
                EmptyMachineAction::Return => "return",
                EmptyMachineAction::Replace => "replace",
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
            DeadlineAction::GiveUp => "give_up",
            DeadlineAction::Force => "force",
        };
        put("late", json!(late));
        put("paused", json!(self.plan));
        Value::Object(body)
    }

    fn run(&self) -> CommandOutput {
        let body = self.body();
        let output = self
            .controllers
            .send(Method::Post, DRAINS_PATH, Some(&body));
        if !self.plan || output.status != CommandStatus::Done {
            return output;
        }
        // The leader computes the plan only after the drain was accepted.
        let deadline = Instant::now() + Duration::from_secs(self.controllers.wait);
        loop {
            let path = format!("{DRAINS_PATH}/{}", self.name);
            let drain = match self.controllers.get(&path) {
                Ok(drain) => drain,
                Err(failure) => return failure,
            };
            if drain["left"].is_number() {
                return CommandOutput::success(match self.controllers.json {
                    true => format!("{drain:#}"),
                    false => table::format_fields(&drain),
                });
            }
            if Instant::now() >= deadline {
                let reason = "the leader has not computed the plan yet; see `drains show`";
                return CommandOutput::failure(CommandStatus::Unreachable, reason.to_string());
            }
            std::thread::sleep(PLAN_POLL_INTERVAL);
        }
    }
}

impl DrainCommand {
    /// Runs the command.
    pub fn run(&self) -> CommandOutput {
        let perform = |entry: &EntryArgs, action: &str| {
            let path = format!("{DRAINS_PATH}/{}/{action}", entry.name);
            entry.controllers.send(Method::Post, &path, None)
        };
        match self {
            DrainCommand::List(controllers) => list(controllers, DRAINS_PATH, &DRAIN_COLUMNS),
            DrainCommand::Show(entry) => show_entry(entry, DRAINS_PATH),
            DrainCommand::Add(drain) => drain.run(),
            DrainCommand::Pause(entry) => perform(entry, "pause"),
            DrainCommand::Resume(entry) => perform(entry, "resume"),
            DrainCommand::Cancel(entry) => perform(entry, "cancel"),
        }
    }
}

fn budget_path(team: &str) -> String {
    format!("/api/budgets/{team}")
}

impl BudgetArgs {
    /// Replaces the budget by a copy of the current one with the given changes, as the API has no partial update.
    fn run(&self) -> CommandOutput {
        let path = budget_path(&self.team);
        let mut budget = match self.controllers.get(&path) {
            Ok(mut body) => body["budget"].take(),
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
                "no change to the budget given".to_string(),
            );
        }
        for (field, value) in changes.into_iter().filter(|(_, v)| !v.is_null()) {
            budget[field] = value;
        }
        let body = json!({ "budget": budget });
        self.controllers.send(Method::Put, &path, Some(&body))
    }
}

impl BudgetCommand {
    /// Runs the command.
    pub fn run(&self) -> CommandOutput {
        match self {
            BudgetCommand::Show(args) => {
                let path = budget_path(&args.team);
                args.controllers.send(Method::Get, &path, None)
            }
            BudgetCommand::Set(args) => args.run(),
            BudgetCommand::Reset(args) => {
                let body = json!({ "budget": null });
                let path = budget_path(&args.team);
                args.controllers.send(Method::Put, &path, Some(&body))
            }
        }
    }
}
