//! The control replica of an entry VM that has started without one.

use super::{
    EntryNode, FleetEvent,
    directory_copy::DirectoryCopy,
    local_replica::LocalReplica,
    watch_server::{SharedDirectory, WatchServer},
};
use crate::{
    control::{replica::DiskId, replica_shell::ReplicaStorage},
    directory::TargetDirectory,
    event::log_event,
};

impl EntryNode {
    /// Starts a replica in memory on a VM without a disk that the group counts as a member:
    /// no VM had a disk at the first start.
    pub(super) fn start_memory_replica(&mut self) {
        let is_member = self.group.members().contains(&self.settings.address);
        if !is_member || self.settings.data_folder.is_some() || self.replica.get().is_some() {
            return;
        }
        let founder = self.formation.memory_founder.take();
        let disk = founder.map_or_else(|| DiskId::new(rand::random()), |member| member.disk);
        let storage = ReplicaStorage::Memory(disk);
        let replica = match LocalReplica::start(&self.settings, self.operator_port, storage) {
            Ok(replica) => replica,
            Err(error) => return log_event!(error, FleetEvent::SeatFailed, %error),
        };
        let now = self.clock.now();
        let shared = SharedDirectory::new(TargetDirectory::new(rand::random(), now));
        let server = WatchServer::new(replica.clone(), shared.clone(), self.clock);
        let address = self.settings.watch_address();
        tokio::spawn(async move {
            if let Err(error) = server.start(address).await {
                log_event!(error, FleetEvent::SeatFailed, %error);
            }
        });
        self.copy_directory(shared.clone());
        self.directory = Some(shared);
        let _ = self.replica.set(replica);
    }

    /// Copies the directory of another replica in the background.
    pub(super) fn copy_directory(&self, directory: SharedDirectory) {
        let copy = DirectoryCopy::new(
            self.settings.address,
            self.settings.ports.watch,
            self.group.clone(),
            directory,
            self.clock,
        );
        tokio::spawn(copy.run());
    }
}
