//! The control group: what must be agreed is kept and handed out here.

pub mod api;
mod control_event;
mod control_run;
mod control_settings;

pub use control_run::{ControlError, run_control};
pub use control_settings::ControlSettings;

pub(crate) use control_event::ControlEvent;
