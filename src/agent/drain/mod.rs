//! The graceful drain of a target: it finishes its open work and accepts no more.

mod drain_event;
mod drain_machine;
mod drain_report;

pub(crate) use drain_event::{DrainAction, DrainEvent, DrainGoal};
pub(crate) use drain_machine::DrainMachine;
pub(crate) use drain_report::{DrainReport, DrainStage, OpenWork};

#[cfg(test)]
mod tests;
