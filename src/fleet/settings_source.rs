use std::{fmt::Debug, net::SocketAddrV4};

/// Lets a running process reread its seeds; implemented over the settings file
/// that the deployment provides.
pub trait SettingsSource: Debug + Send + Sync + 'static {
    /// Reads the current seeds; `None` if the settings can't be read, which the
    /// source logs.
    fn seeds(&self) -> Option<Vec<SocketAddrV4>>;
}
