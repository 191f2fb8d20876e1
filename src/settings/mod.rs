//! Reading and validating the JSON settings files of all programs.

mod private_file;
mod settings_error;
mod settings_event;
mod settings_file;

pub use private_file::write_private_file;
pub use settings_error::SettingsError;
pub use settings_file::{ValidateSettings, load_settings, parse_settings};

pub(crate) use settings_event::SettingsEvent;

#[cfg(test)]
mod tests;
