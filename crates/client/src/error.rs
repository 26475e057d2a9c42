//! Errors in the arguments of a command. Their texts are printed to standard error.

use std::path::PathBuf;

/// An invalid argument.
#[derive(Debug, thiserror::Error)]
pub enum ArgumentError {
    /// A time or a duration that cannot be parsed, or an end time outside the range of timestamps.
    #[error(transparent)]
    Time(#[from] jiff::Error),
    /// A duration that is zero or negative.
    #[error("duration must be positive")]
    NotPositive,
    /// A parameter without an equals sign.
    #[error("parameter must have the form NAME=VALUE")]
    MissingValue,
    /// A file that cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// A file that does not contain valid JSON.
    #[error("{}: {source}", path.display())]
    NotJson {
        /// The path of the file.
        path: PathBuf,
        /// The parse error, with its line and column.
        source: serde_json::Error,
    },
}
