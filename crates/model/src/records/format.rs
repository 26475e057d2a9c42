//! How records are written, and what the controllers have said that they read.

use serde::{Deserialize, Serialize};

/// How records are written. Both are read for ever.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub enum Format {
    /// As the version before pipelines reads and rewrites it without loss.
    #[default]
    Narrow,
    /// Shares in their short form, jobs that need others. For good once every controller knows it.
    Wide,
}

/// The first format number that means `Wide`.
pub const WIDE: u32 = 2;

/// `member/<name>`: what that controller can read; `format`: what all of them can, for good.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct FormatRecord {
    pub format: u32,
}
