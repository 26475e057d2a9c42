//! What is wrong with a graph: where, what, and what to write instead. All of it is collected, since
//! whoever mends a file wants to know everything at once.

use serde::Serialize;
use std::fmt;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize)]
pub struct Problem {
    pub file: String,
    /// None where the form has no lines that are known.
    pub line: Option<u32>,
    /// The step or field, where there is one.
    pub at: String,
    pub what: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub instead: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.at.is_empty() {
            write!(f, ": {}", self.at)?;
        }
        write!(f, ": {}", self.what)?;
        match &self.instead {
            Some(instead) => write!(f, "; {instead}"),
            None => Ok(()),
        }
    }
}

/// Collects problems of one file.
#[derive(Clone, Debug, Default)]
pub struct Problems {
    file: String,
    list: Vec<Problem>,
}

/// More are counted, not kept.
const MOST: usize = 500;

impl Problems {
    pub fn of(file: &str) -> Problems {
        Problems {
            file: file.to_string(),
            list: Vec::new(),
        }
    }

    pub fn add(&mut self, line: Option<u32>, at: &str, what: impl Into<String>) {
        self.with(line, at, what, None);
    }

    pub fn instead(&mut self, line: Option<u32>, at: &str, what: impl Into<String>, instead: &str) {
        self.with(line, at, what, Some(instead.to_string()));
    }

    fn with(
        &mut self,
        line: Option<u32>,
        at: &str,
        what: impl Into<String>,
        instead: Option<String>,
    ) {
        if self.list.len() < MOST {
            self.list.push(Problem {
                file: self.file.clone(),
                line,
                at: at.to_string(),
                what: what.into(),
                instead,
            });
        }
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// In the order of lines, each once.
    pub fn into_list(mut self) -> Vec<Problem> {
        self.list.sort();
        self.list.dedup();
        self.list
    }
}
