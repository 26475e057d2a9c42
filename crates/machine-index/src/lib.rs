//! An index of machines with free resources by class, and the set of task shapes that fit on no
//! machine. With them, the cost of a placement pass depends on the number of fitting machines, not
//! on the number of waiting jobs times the number of machines.

pub mod capacity_index;
pub mod unplaceable;
