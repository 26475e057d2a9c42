//! Errors in the arguments of a command. Their texts are shown to the user.

use std::path::PathBuf;

/// An argument that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ArgumentError {
    /// A time or a duration that cannot be read or computed.
    #[error(transparent)]
    Time(#[from] jiff::Error),
    /// A duration that is zero or negative.
    #[error("must be longer than nothing")]
    NotPositive,
    /// A parameter without a value.
    #[error("must be NAME=VALUE")]
    NoValue,
    /// A file that cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// A file that is not JSON.
    #[error("{}: {source}", path.display())]
    NotJson {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}
