//! Runs a replica: feeds events to the core, executes its actions on disk and
//! network, and answers the calls that need the log.

mod disk_writer;
mod replica_driver;
mod replica_handle;
mod replica_options;
mod replicated_state;
mod report_log;
mod shell_error;
#[cfg(test)]
mod tests;

pub(crate) use replica_driver::{RunningReplica, start_replica};
pub(crate) use replica_handle::ReplicaHandle;
pub(crate) use replica_options::{
    DiskFaultPolicy, PeerAddress, PeerPorts, ReplicaOptions, ReplicaStorage,
};
pub(crate) use replicated_state::ReplicatedState;
pub use shell_error::ReplicaShellError;
