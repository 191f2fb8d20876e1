//! The planned stop of a target: it finishes what it has and takes no more.

mod drain_event;
mod drain_machine;
mod drain_report;

pub(crate) use drain_event::{DrainAction, DrainEvent, DrainGoal};
pub(crate) use drain_machine::DrainMachine;
pub(crate) use drain_report::{DrainReport, DrainStage, OpenWork};

#[cfg(test)]
mod tests;
