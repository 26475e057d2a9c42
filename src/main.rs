//! The command line; everything else is in the library.

use clap::{Args, Parser, Subcommand, ValueEnum};
use snowshelf::operator::OperatorSettings;
use snowshelf::settings::Settings;
use snowshelf_client::Commands;
use std::path::PathBuf;
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
        #[arg(value_enum, default_value_t = Described::Operator)]
        of: Described,
    },
    #[command(flatten)]
    Client(Commands),
}

/// What a schema describes.
#[derive(Clone, Copy, ValueEnum)]
enum Described {
    Operator,
    Graph,
    Mapping,
}

fn load(files: &Files) -> Result<(Settings, OperatorSettings), String> {
    let read = |path: &PathBuf| {
        std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
    };
    let settings = Settings::parse(&read(&files.config)?).map_err(|e| e.to_string())?;
    let texts = files.operator.iter().map(|path| {
        let text = read(path)?;
        Ok((path.display().to_string(), text))
    });
    let ops = OperatorSettings::merge(&texts.collect::<Result<Vec<_>, String>>()?)?;
    Ok((settings, ops))
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let files = match (&cli.command, &cli.files) {
        (Some(Command::Schema { of }), _) => {
            let schema = match of {
                Described::Operator => OperatorSettings::schema(),
                Described::Graph => snowshelf_dag::native::schema(),
                Described::Mapping => snowshelf_dag::mapping::schema(),
            };
            println!("{schema:#}");
            return ExitCode::SUCCESS;
        }
        (Some(Command::Client(command)), _) => return command.run().print().into(),
        (Some(Command::Check(files)), _) | (None, Some(files)) => files,
        (None, None) => {
            eprintln!("snowshelf: --config FILE is needed; see --help");
            return ExitCode::from(2);
        }
    };
    let (settings, ops) = match load(files) {
        Ok(loaded) => loaded,
        Err(why) => {
            eprintln!("snowshelf: {}", why.replace('\n', " "));
            return ExitCode::from(2);
        }
    };
    if cli.command.is_some() {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
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
    match snowshelf::transport::net::run(settings, ops) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "cannot run");
            ExitCode::FAILURE
        }
    }
}
