use std::{fmt::Debug, net::SocketAddrV4};

/// Where a running process finds its seeds again when the settings change; the
/// edge to the file that the deployment hands out.
pub trait SettingsSource: Debug + Send + Sync + 'static {
    /// Reads the seeds that the settings name now; `None` if the settings can't
    /// be read, which the source logs.
    fn seeds(&self) -> Option<Vec<SocketAddrV4>>;
}
