//! The command line client: requests to the controllers, and the commands that send them.

pub mod calendar;
pub mod controllers;
pub mod drains;
pub mod error;
pub mod graph;
pub mod http;
pub mod table;

use calendar::{Reservations, Windows};
use clap::Subcommand;
use drains::{Budgets, Drains};
use graph::Graphs;
use std::process::ExitCode;

/// The commands that send requests to controllers, or need none.
#[derive(Subcommand, Clone, Debug)]
pub enum Commands {
    /// Capacity reserved ahead: lists, makes, changes and cancels it.
    #[command(subcommand)]
    Reservations(Reservations),
    /// Maintenance windows: lists, declares, changes and cancels them.
    #[command(subcommand)]
    Windows(Windows),
    /// Machines emptied, returned and replaced in steps.
    #[command(subcommand)]
    Drains(Drains),
    /// How much of a team's work may be taken away on purpose.
    #[command(subcommand)]
    Budgets(Budgets),
    /// Graphs of steps, as other tools write them: checked, shown, expanded.
    #[command(subcommand)]
    Graph(Graphs),
}

impl Commands {
    /// Runs the command.
    pub fn run(&self) -> CommandOutput {
        match self {
            Commands::Reservations(command) => command.run(),
            Commands::Windows(command) => command.run(),
            Commands::Drains(command) => command.run(),
            Commands::Budgets(command) => command.run(),
            Commands::Graph(command) => command.run(),
        }
    }
}

/// How a command ended; its exit code says so.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CommandStatus {
    /// It did what it was to do.
    Done,
    /// Refused as it does not fit: another time, or never.
    Refused,
    /// The command or what it sends is wrong.
    Invalid,
    /// No controller answered, or none could decide in time.
    Unreachable,
    /// There is nothing of that name.
    NotFound,
}

impl From<CommandStatus> for ExitCode {
    fn from(status: CommandStatus) -> ExitCode {
        ExitCode::from(status.code())
    }
}

impl CommandStatus {
    /// The exit code.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            CommandStatus::Done => 0,
            CommandStatus::Refused => 1,
            CommandStatus::Invalid => 2,
            CommandStatus::Unreachable => 3,
            CommandStatus::NotFound => 4,
        }
    }
}

/// What a command prints and how it ends.
#[must_use]
#[derive(Debug)]
pub struct CommandOutput {
    /// The text for standard output.
    pub stdout: String,
    /// The text for standard error.
    pub stderr: String,
    /// How it ended.
    pub status: CommandStatus,
}

impl CommandOutput {
    /// A command that is done.
    pub fn success(stdout: String) -> CommandOutput {
        CommandOutput {
            stdout,
            stderr: String::new(),
            status: CommandStatus::Done,
        }
    }

    /// A command that failed, and why.
    pub fn failure(status: CommandStatus, reason: String) -> CommandOutput {
        CommandOutput {
            stdout: String::new(),
            stderr: reason,
            status,
        }
    }

    /// Prints both texts, each where it belongs.
    #[must_use]
    pub fn print(&self) -> CommandStatus {
        if !self.stdout.is_empty() {
            println!("{}", self.stdout);
        }
        if !self.stderr.is_empty() {
            eprintln!("snowshelf: {}", self.stderr);
        }
        self.status
    }
}
