//! Machines with room, by what makes them equal to a job, so that a pass of placement costs what fits
//! and not waiting jobs times machines; and which sorts of tasks have found none in this pass.

pub mod capacity_index;
pub mod unplaceable;
