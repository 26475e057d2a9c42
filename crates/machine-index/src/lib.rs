//! Machines with free resources, by what makes them equal to a job, so that a placement pass costs what fits and not
//! waiting jobs times machines; and which shapes of tasks have found none in the pass.

pub mod capacity_index;
pub mod unplaceable;
