//! The interface between the calls and the replicated state: proposing commands, confirming
//! reads and accessing the state.

mod control_store;
mod leader_view;
#[cfg(test)]
mod memory_store;
mod read_confirmer;
mod state_handle;

pub(crate) use control_store::ControlStore;
pub(crate) use leader_view::LeaderView;
#[cfg(test)]
pub(crate) use memory_store::MemoryStore;
pub(crate) use read_confirmer::ReadConfirmer;
pub(crate) use state_handle::{RegistrationChanges, StateHandle};

#[cfg(test)]
mod tests;
