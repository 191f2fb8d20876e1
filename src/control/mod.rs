//! The control group: what must be agreed is kept and handed out here.

pub mod api;
pub mod client;
mod control_event;
mod control_run;
mod control_settings;
#[allow(dead_code, reason = "bounds are set by tests alone")]
pub(crate) mod feed;
#[allow(
    dead_code,
    unused_imports,
    reason = "wired with the shell of the replica"
)]
mod journal;
#[allow(dead_code, reason = "counts are read by the bench alone")]
pub(crate) mod lease;
#[allow(
    dead_code,
    unused_imports,
    reason = "wired with the shell of the replica"
)]
mod replica;
#[allow(
    dead_code,
    unused_imports,
    reason = "wired with the shell of the replica"
)]
mod replica_link;
pub(crate) mod server;
#[allow(dead_code, reason = "snapshots are used by the replicated store")]
pub(crate) mod state;
#[allow(dead_code, reason = "snapshots are used by the replicated store")]
pub(crate) mod store;

pub use control_run::{ControlError, run_control};
pub use control_settings::ControlSettings;

pub(crate) use control_event::ControlEvent;
