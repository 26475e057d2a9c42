//! The client commands of the `snowshelf` program, and the HTTP client with which they call the controllers.

pub mod calendar;
pub mod controllers;
pub mod drains;
pub mod error;
pub mod graph;
pub mod http;
pub mod table;

use calendar::{ReservationCommand, WindowCommand};
use clap::Subcommand;
use drains::{BudgetCommand, DrainCommand};
use graph::DagCommand;
use std::process::ExitCode;

/// The commands that send requests to controllers, or that run without one.
#[derive(Subcommand, Clone, Debug)]
pub enum Commands {
    /// Lists, makes, changes and cancels capacity reservations.
    #[command(subcommand)]
    Reservations(ReservationCommand),
    /// Lists, declares, changes and cancels maintenance windows.
    #[command(subcommand)]
    Windows(WindowCommand),
    /// Drains machines in steps, to keep, return or replace them.
    #[command(subcommand)]
    Drains(DrainCommand),
    /// Shows and changes disruption budgets, which limit how much of a team's work may be evicted.
    #[command(subcommand)]
    Budgets(BudgetCommand),
    /// Checks, shows and runs DAGs, in the native format or as Airflow DAG files.
    #[command(subcommand)]
    Graph(DagCommand),
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

/// The outcome of a command, which determines its exit code.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CommandStatus {
    /// The command succeeded.
    Done,
    /// A controller rejected the request: it conflicts with other entries, or cannot be satisfied at all.
    Rejected,
    /// The arguments, the files or the request are invalid.
    Invalid,
    /// No controller responded, or none could process the request in time.
    Unreachable,
    /// The named entry does not exist.
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
            CommandStatus::Rejected => 1,
            CommandStatus::Invalid => 2,
            CommandStatus::Unreachable => 3,
            CommandStatus::NotFound => 4,
        }
    }
}

/// What a command prints, and its outcome.
#[must_use]
#[derive(Debug)]
pub struct CommandOutput {
    /// The text for standard output.
    pub stdout: String,
    /// The text for standard error.
    pub stderr: String,
    /// The outcome.
    pub status: CommandStatus,
}

impl CommandOutput {
    /// The output of a command that succeeded.
    pub fn success(stdout: String) -> CommandOutput {
        CommandOutput {
            stdout,
            stderr: String::new(),
            status: CommandStatus::Done,
        }
    }

    /// The output of a command that failed, with the reason for standard error.
    pub fn failure(status: CommandStatus, reason: String) -> CommandOutput {
        CommandOutput {
            stdout: String::new(),
            stderr: reason,
            status,
        }
    }

    /// Prints the texts to standard output and standard error, and returns the outcome.
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
