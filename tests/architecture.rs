//! Checks of the documentation: every name in docs/architecture.md exists in the sources, every link of the pages
//! has a target, and every message of level error is explained in docs/operations.md.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Collects all files below a directory with this extension, except build output.
fn files_below(directory: &Path, extension: &str, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("a directory of the repository") {
        let path = entry.expect("an entry").path();
        if path.is_dir() && !path.ends_with("target") {
            files_below(&path, extension, found);
        } else if path.extension().is_some_and(|e| e == extension) {
            found.push(path);
        }
    }
}

fn rust_sources() -> Vec<String> {
    let mut files = Vec::new();
    files_below(&root().join("src"), "rs", &mut files);
    files_below(&root().join("crates"), "rs", &mut files);
    files
        .iter()
        .map(|file| fs::read_to_string(file).expect("a source file"))
        .collect()
}

/// Whether a character can be part of a Rust identifier.
fn in_identifier(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_'
}

/// All identifiers in the sources, including those in comments and strings.
fn identifiers(sources: &[String]) -> BTreeSet<&str> {
    sources
        .iter()
        .flat_map(|source| source.split(|c| !in_identifier(c)))
        .collect()
}

/// The texts in backticks on a page, without its indented blocks.
fn quoted(page: &str) -> Vec<&str> {
    page.lines()
        .filter(|line| !line.starts_with("    "))
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .collect()
}

/// Whether a name has the form of a file or directory in the repository.
fn is_path(name: &str) -> bool {
    let directories = ["src/", "crates/", "docs/", "tests/", "deploy/"];
    directories.iter().any(|d| name.starts_with(d)) || name == "crates"
}

/// The part of a pattern such as `job/<id>` before its first placeholder.
fn before_placeholder(pattern: &str) -> &str {
    pattern.split('<').next().unwrap_or(pattern)
}

/// The part of a name that does not exist in the sources, or `None` if all of it does.
fn missing<'a>(name: &'a str, sources: &[String], known: &BTreeSet<&str>) -> Option<&'a str> {
    let in_texts = |text: &str| sources.iter().any(|source| source.contains(text));
    if is_path(name) {
        return (!root().join(name).exists()).then_some(name);
    }
    if let Some((_, path)) = name.split_once(" /") {
        // A request: only the path before the first placeholder is checked.
        let path = before_placeholder(path);
        return (!in_texts(&format!("/{path}"))).then_some(name);
    }
    if name.contains(['<', ' ']) {
        // A record key, or a log message.
        return (!in_texts(before_placeholder(name))).then_some(name);
    }
    let mut segments = name.split("::").flat_map(|segment| segment.split('.'));
    segments.find(|segment| {
        let bare = segment.trim_end_matches("()");
        bare.is_empty() || !known.contains(bare)
    })
}

#[test]
fn names_on_the_architecture_page_exist_in_the_sources() {
    let page = page("docs/architecture.md");
    let names = quoted(&page);
    assert!(names.len() > 100, "{} names were found", names.len());
    let sources = rust_sources();
    let known = identifiers(&sources);
    let missing_names: Vec<&str> = names
        .into_iter()
        .filter(|name| missing(name, &sources, &known).is_some())
        .collect();
    assert!(
        missing_names.is_empty(),
        "not in the sources: {missing_names:#?}"
    );
}

/// Guards against a check that accepts every name.
#[test]
fn missing_reports_names_that_do_not_exist() {
    let sources = ["pub fn parse_request() {}".to_string()];
    let known = identifiers(&sources);
    for name in [
        "src/no_such_file.rs",
        "no_such_function",
        "Controller::parse_request",
        "GET /no/such/path",
        "no-such-key/<id>",
        "no such log message",
    ] {
        assert!(missing(name, &sources, &known).is_some(), "{name}");
    }
    assert_eq!(missing("parse_request()", &sources, &known), None);
    assert_eq!(missing("src/main.rs", &sources, &known), None);
}

/// The targets of a page's links, without anchors.
fn links(page: &str) -> impl Iterator<Item = &str> {
    page.split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
        .filter_map(|target| target.split('#').next())
        .filter(|target| !target.is_empty() && !target.contains("://"))
}

#[test]
fn page_links_point_to_existing_files() {
    let mut pages = vec![root().join("README.md"), root().join("CONTRIBUTING.md")];
    files_below(&root().join("docs"), "md", &mut pages);
    let mut broken = Vec::new();
    for file in &pages {
        let text = fs::read_to_string(file).expect("a page");
        let directory = file.parent().expect("a directory");
        let targets = links(&text).filter(|target| !directory.join(target).exists());
        broken.extend(targets.map(|target| format!("{}: {target}", file.display())));
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// The messages of `tracing::error!` calls in a source file: the last string literal of each call.
fn error_messages(source: &str) -> Vec<&str> {
    source
        .split("tracing::error!(")
        .skip(1)
        .filter_map(|rest| {
            let one_line = rest.find("\")");
            let last_line = rest.find("\"\n");
            let end = one_line.into_iter().chain(last_line).min()?;
            rest[..end].rsplit('"').next()
        })
        .collect()
}

#[test]
fn error_messages_are_documented_for_operators() {
    let page = page("docs/operations.md");
    let mut files = Vec::new();
    files_below(&root().join("src"), "rs", &mut files);
    let mut count = 0;
    let mut undocumented = Vec::new();
    for file in files {
        let source = fs::read_to_string(&file).expect("a source file");
        for message in error_messages(&source) {
            count += 1;
            if !page.contains(&format!("`{message}`")) {
                undocumented.push(message.to_string());
            }
        }
    }
    assert!(count >= 15, "{count} messages were found");
    assert!(undocumented.is_empty(), "{undocumented:#?}");
}
