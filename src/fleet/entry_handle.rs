use std::{
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use super::{FleetEvent, group_view::GroupView, local_replica::LocalReplica};
use crate::{
    control::api::CallRefusal,
    event::log_event,
    listener::{ListenerManifest, StoredManifest},
};

/// Why a manifest was not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyRefusal {
    /// The call has to go to another VM.
    Redirect(SocketAddrV4),
    /// It can't be committed now, or its outcome is unknown; the same manifest
    /// may be sent again.
    Unavailable,
}

/// Why a read of the manifest was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRefusal {
    /// The call has to go to another VM.
    Redirect(SocketAddrV4),
    /// No majority confirms which manifest is the newest.
    Unavailable,
    /// No manifest was ever applied.
    Empty,
}

/// The calls that operators and readiness probes make to an entry VM.
#[derive(Debug, Clone)]
pub struct EntryHandle {
    replica: Option<LocalReplica>,
    group: GroupView,
    operator_port: u16,
    ready: Arc<AtomicBool>,
}

impl EntryHandle {
    pub(super) fn new(
        replica: Option<LocalReplica>,
        group: GroupView,
        operator_port: u16,
        ready: Arc<AtomicBool>,
    ) -> Self {
        Self {
            replica,
            group,
            operator_port,
            ready,
        }
    }

    /// Returns whether the network should send packets here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Commits a manifest; on success it is synced on a majority of replicas.
    ///
    /// A manifest whose version is not higher than the applied one is
    /// acknowledged and changes nothing.
    ///
    /// # Errors
    ///
    /// Refuses when this VM can't commit it, see [`ApplyRefusal`].
    pub async fn apply(
        &self,
        manifest: ListenerManifest,
        document: Vec<u8>,
    ) -> Result<(), ApplyRefusal> {
        let version = manifest.version;
        let stored = StoredManifest { manifest, document };
        let result = match &self.replica {
            Some(replica) => match replica.apply(&stored).await {
                Ok(()) => Ok(()),
                Err(refusal) => Err(Self::redirect(&refusal)
                    .map_or(ApplyRefusal::Unavailable, ApplyRefusal::Redirect)),
            },
            None => Err(self
                .any_member()
                .map_or(ApplyRefusal::Unavailable, ApplyRefusal::Redirect)),
        };
        log_event!(info, FleetEvent::ApplyAnswered, version, ?result);
        result
    }

    /// Returns the document of the newest committed manifest.
    ///
    /// # Errors
    ///
    /// Refuses when this VM can't confirm which one that is, see [`ReadRefusal`].
    pub async fn read(&self) -> Result<Vec<u8>, ReadRefusal> {
        let result = self.confirmed_document().await;
        let outcome = result.as_ref().map(Vec::len);
        log_event!(info, FleetEvent::ReadAnswered, ?outcome);
        result
    }

    async fn confirmed_document(&self) -> Result<Vec<u8>, ReadRefusal> {
        let Some(replica) = &self.replica else {
            return Err(self
                .any_member()
                .map_or(ReadRefusal::Unavailable, ReadRefusal::Redirect));
        };
        if replica.confirm_read().await.is_err() {
            return Err(ReadRefusal::Unavailable);
        }
        let stored = replica.store().current().ok_or(ReadRefusal::Empty)?;
        Ok(stored.document.clone())
    }

    /// Returns the leader's address if the refusal names it.
    fn redirect(refusal: &CallRefusal) -> Option<SocketAddrV4> {
        match refusal {
            CallRefusal::NotLeader { leader } => *leader,
            _ => None,
        }
    }

    /// Returns the address for operators of the leader, or else of any replica.
    fn any_member(&self) -> Option<SocketAddrV4> {
        let member = self
            .group
            .leader()
            .or_else(|| self.group.members().first().copied())?;
        Some(SocketAddrV4::new(member, self.operator_port))
    }
}
