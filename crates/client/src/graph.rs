//! The command `snowshelf graph`. DAG files are read and checked locally, without a controller.

use crate::controllers::ControllerArgs;
use crate::error::ArgumentError;
use crate::http::Method;
use crate::{CommandOutput, CommandStatus, table};
use clap::{Args, Subcommand};
use jiff::Timestamp;
use serde_json::{Value, json};
use snowshelf_dag::graph::Graph;
use snowshelf_dag::mapping::Mapping;
use snowshelf_dag::plan::{Plan, expand};
use snowshelf_dag::problem::{Problem, Problems};
use snowshelf_dag::run::Asked;
use snowshelf_dag::{check, native, packing, serialized, show};
use std::path::{Path, PathBuf};

/// A DAG file, and the mapping of its steps to jobs.
#[derive(Args, Clone, Debug)]
pub struct DagFileArgs {
    /// Airflow DAG file (.py), serialized Airflow DAG (.json), or DAG in the native format (.yaml or .json).
    pub file: PathBuf,
    /// Name of the DAG, if the file contains several.
    #[arg(long)]
    pub name: Option<String>,
    /// Mapping of operators to jobs (YAML or JSON); see `snowshelf schema mapping`.
    #[arg(long, value_name = "FILE")]
    pub mapping: Option<PathBuf>,
}

/// A DAG file to check, and the format in which the DAG is printed.
#[derive(Args, Clone, Debug)]
pub struct CheckArgs {
    /// The file and the mapping.
    #[command(flatten)]
    pub file: DagFileArgs,
    /// Prints the DAG in the native format, as JSON.
    #[arg(long, conflicts_with_all = ["dot", "svg"])]
    pub json: bool,
    /// Prints the DAG in the DOT language of Graphviz.
    #[arg(long, conflicts_with = "svg")]
    pub dot: bool,
    /// Prints the DAG as an SVG image.
    #[arg(long)]
    pub svg: bool,
}

/// A DAG file, and the run for which it is expanded.
#[derive(Args, Clone, Debug)]
pub struct ExpandArgs {
    /// The file and the mapping.
    #[command(flatten)]
    pub file: DagFileArgs,
    /// Parameter of the run as NAME=VALUE; may be given several times. A value that is not JSON is a string.
    #[arg(long, value_name = "NAME=VALUE", value_parser = parse_parameter)]
    pub param: Vec<(String, Value)>,
    /// Id of the run, unique among the DAG's runs. Default: `manual-` and the current time.
    #[arg(long)]
    pub run: Option<String>,
    /// Start of the interval that the run covers. Default: now.
    #[arg(long, value_name = "TIME")]
    pub from: Option<Timestamp>,
    /// End of the interval that the run covers. Default: its start.
    #[arg(long, value_name = "TIME")]
    pub until: Option<Timestamp>,
}

/// A run or a DAG to store, and the controllers to which it is sent.
#[derive(Args, Clone, Debug)]
pub struct SubmitArgs {
    /// The DAG and its run.
    #[command(flatten)]
    pub expand: ExpandArgs,
    /// The controllers.
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// A run to repeat, and the id of the new run.
#[derive(Args, Clone, Debug)]
pub struct RerunArgs {
    /// The run to repeat.
    #[command(flatten)]
    pub run: RunArgs,
    /// Id of the new run.
    #[arg(long = "as", value_name = "ID")]
    pub new_run: String,
}

/// The name of a stored DAG, and the controllers to which the request is sent.
#[derive(Args, Clone, Debug)]
pub struct StoredDagArgs {
    /// Name of the DAG.
    pub graph: String,
    /// The controllers.
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// A run, and the controllers to which the request is sent.
#[derive(Args, Clone, Debug)]
pub struct RunArgs {
    /// Name of the DAG.
    pub graph: String,
    /// Id of the run.
    pub run: String,
    /// The controllers.
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// The subcommands of `snowshelf graph`.
#[derive(Subcommand, Clone, Debug)]
pub enum DagCommand {
    /// Starts a run of a DAG.
    Submit(SubmitArgs),
    /// Shows a run and the state of each of its steps.
    Show(RunArgs),
    /// Cancels a run.
    Cancel(RunArgs),
    /// Repeats the steps of an ended run that did not succeed, as a new run.
    Rerun(RerunArgs),
    /// Stores a DAG whose schedule starts runs. Replaces a stored DAG of the same name.
    Keep(SubmitArgs),
    /// Shows a stored DAG: up to when its schedule has started runs, and how many it has missed.
    Status(StoredDagArgs),
    /// Pauses the schedule of a stored DAG.
    Pause(StoredDagArgs),
    /// Resumes the schedule of a stored DAG.
    Resume(StoredDagArgs),
    /// Checks a DAG file, reports all its problems, and prints the DAG as a tree.
    Check(CheckArgs),
    /// Prints the jobs of a run as JSON, one line for each.
    Expand(ExpandArgs),
    /// Prints a DAG in the native format, as YAML.
    Convert(DagFileArgs),
}

fn parse_parameter(text: &str) -> Result<(String, Value), ArgumentError> {
    let (name, value) = text.split_once('=').ok_or(ArgumentError::MissingValue)?;
    let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
    Ok((name.to_string(), value))
}

fn read_text(path: &Path, problems: &mut Problems) -> Option<String> {
    match std::fs::read_to_string(path) {
        Ok(text) => Some(text),
        Err(error) => {
            problems.add(None, "", error.to_string());
            None
        }
    }
}

/// Reads all DAGs of a file in any of the supported formats.
///
/// # Errors
/// Returns all problems of the file if it cannot be read or is invalid.
pub fn read_file(path: &Path) -> Result<Vec<Graph>, Vec<Problem>> {
    let file_name = path.display().to_string();
    let mut problems = Problems::of(&file_name);
    let Some(text) = read_text(path, &mut problems) else {
        return Err(problems.into_list());
    };
    if path.extension().is_some_and(|e| e == "py") {
        return snowshelf_dag_python::read(&text, &file_name);
    }
    let value = serde_json::from_str::<Value>(&text).ok();
    let graph = match value.filter(serialized::is_serialized) {
        Some(value) => serialized::read(&value, &mut problems),
        None => native::read(&text, &mut problems),
    };
    match graph.filter(|_| problems.is_empty()) {
        Some(graph) => Ok(vec![graph]),
        None => Err(problems.into_list()),
    }
}

impl DagFileArgs {
    fn file_name(&self) -> String {
        self.file.display().to_string()
    }

    /// Reads the DAG that `--name` selects, or the only one of the file.
    fn read(&self) -> Result<Graph, Vec<Problem>> {
        let graphs = read_file(&self.file)?;
        let mut problems = Problems::of(&self.file_name());
        let names: Vec<String> = graphs.iter().map(|g| g.name.clone()).collect();
        let is_ambiguous = names.len() > 1 && self.name.is_none();
        let mut graphs = graphs.into_iter();
        let found = graphs.find(|g| self.name.as_ref().is_none_or(|n| *n == g.name));
        match found.filter(|_| !is_ambiguous) {
            Some(graph) => Ok(graph),
            None => {
                let what = format!("contains the DAGs {}", names.join(", "));
                problems.instead(None, "", what, "select one of them with --name");
                Err(problems.into_list())
            }
        }
    }

    fn mapping(&self) -> Result<Mapping, Vec<Problem>> {
        let Some(path) = &self.mapping else {
            return Ok(Mapping::default());
        };
        let mut problems = Problems::of(&path.display().to_string());
        let text = read_text(path, &mut problems);
        let mapping = text.and_then(|text| Mapping::read(&text, &mut problems));
        mapping.ok_or_else(|| problems.into_list())
    }

    /// Reads the DAG and the mapping, and checks both.
    fn checked(&self) -> Result<(Graph, Mapping), Vec<Problem>> {
        let (graph, mapping) = (self.read()?, self.mapping()?);
        let mut problems = Problems::of(&self.file_name());
        check::check(&graph, &mapping, &mut problems);
        match problems.is_empty() {
            true => Ok((graph, mapping)),
            false => Err(problems.into_list()),
        }
    }
}

impl ExpandArgs {
    /// The definition of the run, from the checked DAG and the arguments.
    fn definition(&self) -> Result<Asked, Vec<Problem>> {
        let (graph, mapping) = self.file.checked()?;
        let from = self.from.unwrap_or_else(Timestamp::now);
        let default_id = || format!("manual-{}", Timestamp::now().strftime("%Y%m%dT%H%M%SZ"));
        Ok(Asked {
            run: self.run.clone().unwrap_or_else(default_id),
            graph,
            mapping,
            params: self.param.iter().cloned().collect(),
            from,
            until: self.until.unwrap_or(from),
            after: Vec::new(),
        })
    }

    /// The definition of the run, and the plan into which it is expanded.
    fn definition_and_plan(&self) -> Result<(Asked, Plan), Vec<Problem>> {
        let definition = self.definition()?;
        let file = self.file.file_name();
        let plan = expand(
            &definition.graph,
            &definition.mapping,
            &definition.facts(),
            &file,
        )?;
        Ok((definition, plan))
    }
}

impl SubmitArgs {
    /// Stores the DAG if `store` is set, otherwise starts a run.
    fn send(&self, store: bool) -> CommandOutput {
        // The run is expanded before it is sent, since only the client can report problems with their file and line.
        let definition = match self.expand.definition_and_plan() {
            Ok((definition, _)) => definition,
            Err(problems) => return command_output(Err(problems)),
        };
        let path = format!("/api/graphs/{}", definition.graph.name);
        let (method, path) = match store {
            true => (Method::Put, path),
            false => (Method::Post, format!("{path}/runs")),
        };
        let body = json!({"run": definition.run, "packed": packing::pack(&definition)});
        self.controllers.send(method, &path, Some(&body))
    }
}

impl StoredDagArgs {
    fn send(&self, method: Method, action: &str) -> CommandOutput {
        let path = format!("/api/graphs/{}{action}", self.graph);
        self.controllers.send(method, &path, None)
    }
}

/// Maximum number of steps in one page of a run's status.
const PAGE_SIZE: usize = 500;

impl RunArgs {
    fn path(&self) -> String {
        format!("/api/graphs/{}/runs/{}", self.graph, self.run)
    }

    /// Reads all pages of the run's status and formats the run with all its steps. Everything but the steps
    /// comes from the last page.
    fn show(&self) -> CommandOutput {
        let page_path =
            |steps: &[Value]| format!("{}?after={}&limit={PAGE_SIZE}", self.path(), steps.len());
        let (steps, mut body) = match self.controllers.read_all("steps", page_path) {
            Ok(list) => (list.items, list.last_page),
            Err(failure) => return failure,
        };
        CommandOutput::success(match self.controllers.json {
            true => {
                if let Some(object) = body.as_object_mut() {
                    object.insert("steps".to_string(), json!(steps));
                }
                format!("{body:#}")
            }
            false => {
                let text = |field: &str| table::format_value(&body[field]);
                let heading = format!(
                    "{}/{}: {} ({})",
                    text("graph"),
                    text("run"),
                    text("state"),
                    text("counts")
                );
                format!(
                    "{heading}\n{}",
                    table::format_rows(
                        &[
                            ("STEP", "step"),
                            ("COPY", "copy"),
                            ("STANDS", "stand"),
                            ("JOB", "job")
                        ],
                        &steps
                    )
                )
            }
        })
    }
}

/// The output of a command that works on a DAG file; problems go to standard error, one line for each.
fn command_output(result: Result<String, Vec<Problem>>) -> CommandOutput {
    match result {
        Ok(text) => CommandOutput::success(text),
        Err(problems) => {
            let lines: Vec<String> = problems.iter().map(|p| p.to_string()).collect();
            let file = problems.first().map_or("", |p| &p.file);
            let reason = format!("{file} cannot be used:\n{}", lines.join("\n"));
            CommandOutput::failure(CommandStatus::Invalid, reason)
        }
    }
}

impl DagCommand {
    /// Runs the command.
    pub fn run(&self) -> CommandOutput {
        match self {
            DagCommand::Check(command) => {
                command_output(command.file.checked().map(|(graph, _)| {
                    if command.json {
                        format!("{:#}", serde_json::to_value(&graph).unwrap_or_default())
                    } else if command.dot {
                        show::dot(&graph)
                    } else if command.svg {
                        show::svg(&graph)
                    } else {
                        show::tree(&graph)
                    }
                }))
            }
            DagCommand::Expand(command) => {
                command_output(command.definition_and_plan().map(|(_, plan)| {
                    let lines: Vec<String> = plan.lines().map(|line| line.to_string()).collect();
                    lines.join("\n")
                }))
            }
            DagCommand::Submit(command) => command.send(false),
            DagCommand::Rerun(rerun) => {
                let path = format!("{}/rerun", rerun.run.path());
                let body = json!({"run": rerun.new_run});
                rerun.run.controllers.send(Method::Post, &path, Some(&body))
            }
            DagCommand::Keep(command) => command.send(true),
            DagCommand::Status(dag) => dag.send(Method::Get, ""),
            DagCommand::Pause(dag) => dag.send(Method::Post, "/pause"),
            DagCommand::Resume(dag) => dag.send(Method::Post, "/resume"),
            DagCommand::Show(run) => run.show(),
            DagCommand::Cancel(run) => {
                let path = format!("{}/cancel", run.path());
                run.controllers.send(Method::Post, &path, None)
            }
            DagCommand::Convert(file) => {
                command_output(file.read().map(|graph| native::write(&graph)))
            }
        }
    }
}
