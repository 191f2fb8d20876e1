//! The control group: what must be agreed is kept and handed out here.

pub mod api;
mod control_event;
mod control_run;
mod control_settings;
#[allow(
    dead_code,
    unused_imports,
    reason = "wired with the shell of the replica"
)]
mod journal;
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

pub use control_run::{ControlError, run_control};
pub use control_settings::ControlSettings;

pub(crate) use control_event::ControlEvent;
