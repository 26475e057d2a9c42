//! Graphs of steps, as analysts write them in other tools: read into one form, checked as a whole, their
//! templates filled in, and expanded into jobs that need one another. Pure; nothing is executed.

pub mod check;
pub mod graph;
pub mod mapping;
pub mod native;
pub mod packing;
pub mod plan;
pub mod problem;
pub mod run;
pub mod schedule;
pub mod serialized;
pub mod show;
pub mod sweep;
pub mod template;
