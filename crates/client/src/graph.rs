//! `snowshelf graph`: files of graphs, which are read and checked here, not by a controller.

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

/// A file, and how its steps become jobs.
#[derive(Args, Clone, Debug)]
pub struct GraphFile {
    /// A DAG file (.py), a serialized DAG (.json), or the native form (.yaml or .json).
    pub file: PathBuf,
    /// Which graph, where the file has several.
    #[arg(long)]
    pub name: Option<String>,
    /// How operators become jobs (YAML or JSON); see `snowshelf schema mapping`.
    #[arg(long, value_name = "FILE")]
    pub mapping: Option<PathBuf>,
}

/// A file to check, and how to print its graph.
#[derive(Args, Clone, Debug)]
pub struct CheckArgs {
    #[command(flatten)]
    pub file: GraphFile,
    /// Prints the graph in its native form, as JSON.
    #[arg(long, conflicts_with_all = ["dot", "svg"])]
    pub json: bool,
    /// Prints it for Graphviz.
    #[arg(long, conflicts_with = "svg")]
    pub dot: bool,
    /// Prints it as a picture.
    #[arg(long)]
    pub svg: bool,
}

/// A file, and the run to expand it for.
#[derive(Args, Clone, Debug)]
pub struct ExpandArgs {
    #[command(flatten)]
    pub file: GraphFile,
    /// A parameter, as NAME=VALUE: JSON, or a text.
    #[arg(long, value_name = "NAME=VALUE", value_parser = parse_parameter)]
    pub param: Vec<(String, Value)>,
    /// The run's id, which is not used by another; none: `manual-` and the time.
    #[arg(long)]
    pub run: Option<String>,
    /// The beginning of the interval that it is for; none: now.
    #[arg(long, value_name = "TIME")]
    pub from: Option<Timestamp>,
    /// The end of that interval; none: its beginning.
    #[arg(long, value_name = "TIME")]
    pub until: Option<Timestamp>,
}

/// A run, and the controllers that it is sent to.
#[derive(Args, Clone, Debug)]
pub struct SubmitArgs {
    #[command(flatten)]
    pub expand: ExpandArgs,
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// A run to repeat, and the id of the new one.
#[derive(Args, Clone, Debug)]
pub struct RerunArgs {
    #[command(flatten)]
    pub run: RunArgs,
    /// The new run's id.
    #[arg(long = "as", value_name = "ID")]
    pub next: String,
}

/// A graph that is kept.
#[derive(Args, Clone, Debug)]
pub struct KeptGraphArgs {
    pub graph: String,
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// A run by its graph and its id.
#[derive(Args, Clone, Debug)]
pub struct RunArgs {
    pub graph: String,
    pub run: String,
    #[command(flatten)]
    pub controllers: ControllerArgs,
}

/// The commands on graphs and their runs.
#[derive(Subcommand, Clone, Debug)]
pub enum Graphs {
    /// Begins a run.
    Submit(SubmitArgs),
    /// Shows a run and where each of its steps stands.
    Show(RunArgs),
    /// Cancels a run.
    Cancel(RunArgs),
    /// Runs again what did not succeed in an ended run, as a run of another id.
    Rerun(RerunArgs),
    /// Keeps a graph, so that its schedule begins runs; in place of what was kept under its name.
    Keep(SubmitArgs),
    /// Shows a kept graph: how far its schedule is, what was missed.
    Status(KeptGraphArgs),
    /// Lets a kept graph's schedule stand still.
    Pause(KeptGraphArgs),
    /// Lets it go on.
    Resume(KeptGraphArgs),
    /// Checks a file whole and shows its graph as a tree.
    Check(CheckArgs),
    /// Prints the jobs that a run would be, a line of JSON each.
    Expand(ExpandArgs),
    /// Prints a graph in the native form (YAML).
    Convert(GraphFile),
}

fn parse_parameter(text: &str) -> Result<(String, Value), ArgumentError> {
    let (name, value) = text.split_once('=').ok_or(ArgumentError::NoValue)?;
    let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
    Ok((name.to_string(), value))
}

fn text_of(path: &Path, problems: &mut Problems) -> Option<String> {
    match std::fs::read_to_string(path) {
        Ok(text) => Some(text),
        Err(error) => {
            problems.add(None, "", error.to_string());
            None
        }
    }
}

/// Reads every graph of a file, whatever its form.
pub fn read_file(path: &Path) -> Result<Vec<Graph>, Vec<Problem>> {
    let file_name = path.display().to_string();
    let mut problems = Problems::of(&file_name);
    let Some(text) = text_of(path, &mut problems) else {
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

impl GraphFile {
    fn file_name(&self) -> String {
        self.file.display().to_string()
    }

    fn read(&self) -> Result<Graph, Vec<Problem>> {
        let graphs = read_file(&self.file)?;
        let mut problems = Problems::of(&self.file_name());
        let names: Vec<String> = graphs.iter().map(|g| g.name.clone()).collect();
        let several = names.len() > 1 && self.name.is_none();
        let mut graphs = graphs.into_iter();
        let found = graphs.find(|g| self.name.as_ref().is_none_or(|n| *n == g.name));
        match found.filter(|_| !several) {
            Some(graph) => Ok(graph),
            None => {
                let what = format!("has the graphs {}", names.join(", "));
                problems.instead(None, "", what, "choose one with --name");
                Err(problems.into_list())
            }
        }
    }

    fn mapping(&self) -> Result<Mapping, Vec<Problem>> {
        let Some(path) = &self.mapping else {
            return Ok(Mapping::default());
        };
        let mut problems = Problems::of(&path.display().to_string());
        let text = text_of(path, &mut problems);
        let mapping = text.and_then(|text| Mapping::read(&text, &mut problems));
        mapping.ok_or_else(|| problems.into_list())
    }

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
    fn asked(&self) -> Result<Asked, Vec<Problem>> {
        let (graph, mapping) = self.file.checked()?;
        let from = self.from.unwrap_or_else(Timestamp::now);
        let manual = || format!("manual-{}", Timestamp::now().strftime("%Y%m%dT%H%M%SZ"));
        Ok(Asked {
            run: self.run.clone().unwrap_or_else(manual),
            graph,
            mapping,
            params: self.param.iter().cloned().collect(),
            from,
            until: self.until.unwrap_or(from),
            after: Vec::new(),
        })
    }

    /// What is asked for, and the plan that it comes to.
    fn planned(&self) -> Result<(Asked, Plan), Vec<Problem>> {
        let asked = self.asked()?;
        let file = self.file.file_name();
        let plan = expand(&asked.graph, &asked.mapping, &asked.facts(), &file)?;
        Ok((asked, plan))
    }
}

impl SubmitArgs {
    /// Begins a run, or keeps the graph.
    fn send(&self, keep: bool) -> CommandOutput {
        // Everything that is wrong is told here, with its place in the file.
        let asked = match self.expand.planned() {
            Ok((asked, _)) => asked,
            Err(problems) => return output_of(Err(problems)),
        };
        let path = format!("/api/graphs/{}", asked.graph.name);
        let (method, path) = match keep {
            true => (Method::Put, path),
            false => (Method::Post, format!("{path}/runs")),
        };
        let body = json!({"run": asked.run, "packed": packing::pack(&asked)});
        self.controllers.send(method, &path, Some(&body))
    }
}

impl KeptGraphArgs {
    fn send(&self, method: Method, what: &str) -> CommandOutput {
        let path = format!("/api/graphs/{}{what}", self.graph);
        self.controllers.send(method, &path, None)
    }
}

/// Steps of one page.
const PAGE_SIZE: usize = 500;

impl RunArgs {
    fn path(&self) -> String {
        format!("/api/graphs/{}/runs/{}", self.graph, self.run)
    }

    fn show(&self) -> CommandOutput {
        let page =
            |steps: &[Value]| format!("{}?after={}&limit={PAGE_SIZE}", self.path(), steps.len());
        let (steps, mut body) = match self.controllers.read_all("steps", page) {
            Ok(list) => (list.items, list.last_page),
            Err(failure) => return failure,
        };
        CommandOutput::success(match self.controllers.json {
            true => {
                if let Some(whole) = body.as_object_mut() {
                    whole.insert("steps".to_string(), json!(steps));
                }
                format!("{body:#}")
            }
            false => {
                let text = |field: &str| table::plain(&body[field]);
                let head = format!(
                    "{}/{}: {} ({})",
                    text("graph"),
                    text("run"),
                    text("state"),
                    text("counts")
                );
                format!(
                    "{head}\n{}",
                    table::rows(
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

fn output_of(result: Result<String, Vec<Problem>>) -> CommandOutput {
    match result {
        Ok(out) => CommandOutput::success(out),
        Err(problems) => {
            let lines: Vec<String> = problems.iter().map(|p| p.to_string()).collect();
            let file = problems.first().map_or("", |p| &p.file);
            let why = format!("{file} cannot be taken:\n{}", lines.join("\n"));
            CommandOutput::failure(CommandStatus::Invalid, why)
        }
    }
}

impl Graphs {
    /// Runs the command.
    pub fn run(&self) -> CommandOutput {
        match self {
            Graphs::Check(command) => output_of(command.file.checked().map(|(graph, _)| {
                if command.json {
                    format!("{:#}", serde_json::to_value(&graph).unwrap_or_default())
                } else if command.dot {
                    show::dot(&graph)
                } else if command.svg {
                    show::svg(&graph)
                } else {
                    show::tree(&graph)
                }
            })),
            Graphs::Expand(command) => output_of(command.planned().map(|(_, plan)| {
                let lines: Vec<String> = plan.lines().map(|line| line.to_string()).collect();
                lines.join("\n")
            })),
            Graphs::Submit(command) => command.send(false),
            Graphs::Rerun(again) => {
                let path = format!("{}/rerun", again.run.path());
                let body = json!({"run": again.next});
                again.run.controllers.send(Method::Post, &path, Some(&body))
            }
            Graphs::Keep(command) => command.send(true),
            Graphs::Status(kept) => kept.send(Method::Get, ""),
            Graphs::Pause(kept) => kept.send(Method::Post, "/pause"),
            Graphs::Resume(kept) => kept.send(Method::Post, "/resume"),
            Graphs::Show(run) => run.show(),
            Graphs::Cancel(run) => {
                let path = format!("{}/cancel", run.path());
                run.controllers.send(Method::Post, &path, None)
            }
            Graphs::Convert(file) => output_of(file.read().map(|graph| native::write(&graph))),
        }
    }
}
