//! Airflow's DAG files, read from their syntax tree: what stands there as it stands there. Nothing of a
//! file is executed, and what would only be known by executing it is refused, with its line.

mod building;
mod builtins;
mod calls;
mod expressions;
mod functions;
mod graphs;
mod statements;
mod steps;
mod value;

use building::Reader;
use rustpython_parser::{Parse, ast};
use snowshelf_dag::graph::Graph;
use snowshelf_dag::problem::{Problem, Problems};

/// Bytes of a file that are read at the most.
pub const MOST_BYTES: usize = 256 * 1024;
/// The stack that the deepest tree of such a file needs, and room to spare; only what is used of it is
/// ever there.
const STACK_BYTES: usize = 1 << 30;

/// Reads the graphs of a file, or tells everything in it that cannot be read.
pub fn read(text: &str, file: &str) -> Result<Vec<Graph>, Vec<Problem>> {
    let mut problems = Problems::of(file);
    if text.len() > MOST_BYTES {
        problems.add(None, "", format!("is larger than {MOST_BYTES} bytes"));
        return Err(problems.into_list());
    }
    // A file may nest as deep as it is long, and trees are taken down as deep as they are.
    let (text, file) = (text.to_string(), file.to_string());
    let reading = std::thread::Builder::new().stack_size(STACK_BYTES);
    let read = reading
        .spawn(move || read_here(&text, &file))
        .map(|t| t.join());
    match read {
        Ok(Ok(read)) => read,
        _ => {
            problems.add(None, "", "could not be read");
            Err(problems.into_list())
        }
    }
}

fn read_here(text: &str, file: &str) -> Result<Vec<Graph>, Vec<Problem>> {
    let mut reader = Reader::new(text, file);
    match ast::Suite::parse(text, file) {
        Ok(suite) => reader.module(&suite),
        Err(error) => {
            let line = reader.line_at(error.offset.to_usize());
            reader
                .problems
                .add(Some(line), "", format!("is no Python: {}", error.error));
        }
    }
    reader.finish()
}
