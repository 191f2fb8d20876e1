//! The control group: keeps the state that replicas must agree on and serves it to others.

pub mod api;
pub mod client;
mod control_event;
mod control_run;
mod control_settings;
pub(crate) mod feed;
pub(crate) mod formation;
pub(crate) mod journal;
pub(crate) mod lease;
mod peer_settings;
pub(crate) mod replica;
mod replica_link;
pub(crate) mod replica_shell;
pub(crate) mod server;
pub(crate) mod state;
pub(crate) mod store;

pub use control_run::{ControlError, run_control};
pub use control_settings::ControlSettings;
pub use journal::{DamageFault, JournalError};
pub use peer_settings::PeerSettings;
pub use replica_link::LinkError;
pub use replica_shell::ReplicaShellError;
pub use state::StateError;

pub(crate) use control_event::ControlEvent;
