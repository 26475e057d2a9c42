//! The command line interface. The scheduler itself is in the library.

use clap::{Args, Parser, Subcommand, ValueEnum};
use snowshelf::operator::{OperatorFile, OperatorSettings, OperatorSettingsError};
use snowshelf::settings::{Settings, SettingsError};
use snowshelf_client::Commands;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A cluster scheduler that keeps its promises while machines, controllers and networks fail.
#[derive(Parser)]
#[command(version, about, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    files: Option<Files>,
}

#[derive(Args, Clone)]
struct Files {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (JSON); see `snowshelf schema`. Several files are merged.
    #[arg(long, value_name = "FILE")]
    operator: Vec<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Validates settings and says what is wrong with them.
    Check(Files),
    /// Prints a JSON Schema: of the operators' own settings, of a graph, or of a mapping.
    Schema {
        #[arg(value_enum, default_value_t = SchemaKind::Operator)]
        of: SchemaKind,
    },
    #[command(flatten)]
    Client(Commands),
}

/// The format that a printed JSON Schema describes.
#[derive(Clone, Copy, ValueEnum)]
enum SchemaKind {
    Operator,
    Graph,
    Mapping,
}

/// Exit code for an invalid command line or invalid settings.
const USAGE_ERROR_EXIT_CODE: u8 = 2;

/// Why the settings could not be loaded.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    #[error("{}: {source}", path.display())]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Operator(#[from] OperatorSettingsError),
}

/// The settings of a controller, read from all files.
struct LoadedSettings {
    settings: Settings,
    operator: OperatorSettings,
}

fn read_file(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|source| LoadError::Read {
        path: path.to_path_buf(),
        source,
    })
}

fn load(files: &Files) -> Result<LoadedSettings, LoadError> {
    let settings = Settings::parse(&read_file(&files.config)?)?;
    let operator_files: Vec<OperatorFile> = files
        .operator
        .iter()
        .map(|path| {
            let text = read_file(path)?;
            let name = path.display().to_string();
            Ok(OperatorFile { name, text })
        })
        .collect::<Result<_, LoadError>>()?;
    let operator = OperatorSettings::merge(&operator_files)?;
    Ok(LoadedSettings { settings, operator })
}

/// Starts logging to standard error, at the level given by the environment variable `LOG_LEVEL` (`debug` or
/// `info`; `error` otherwise).
fn init_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("info") => tracing::Level::INFO,
        _ => tracing::Level::ERROR,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
}

fn print_schema(of: SchemaKind) {
    let schema = match of {
        SchemaKind::Operator => OperatorSettings::schema(),
        SchemaKind::Graph => snowshelf_dag::native::schema(),
        SchemaKind::Mapping => snowshelf_dag::mapping::schema(),
    };
    println!("{schema:#}");
}

fn run_controller(loaded: LoadedSettings) -> ExitCode {
    init_logging();
    match snowshelf::transport::event_loop::run(loaded.settings, loaded.operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "cannot run");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let files = match (&cli.command, &cli.files) {
        (Some(Command::Schema { of }), _) => {
            print_schema(*of);
            return ExitCode::SUCCESS;
        }
        (Some(Command::Client(command)), _) => return command.run().print().into(),
        (Some(Command::Check(files)), _) | (None, Some(files)) => files,
        (None, None) => {
            eprintln!("snowshelf: --config FILE is needed; see --help");
            return ExitCode::from(USAGE_ERROR_EXIT_CODE);
        }
    };
    let loaded = match load(files) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("snowshelf: {}", error.to_string().replace('\n', " "));
            return ExitCode::from(USAGE_ERROR_EXIT_CODE);
        }
    };
    if cli.command.is_some() {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    run_controller(loaded)
}
