use std::{
    net::SocketAddrV4,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
};

use super::{FleetEvent, group_view::GroupView, local_replica::LocalReplica};
use crate::{
    control::api::CallRefusal,
    event::log_event,
    listener::{EvacuationOrder, ListenerManifest, StoredManifest},
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

/// Why an order about a failure domain was not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationRefusal {
    /// The settings name no such failure domain.
    UnknownDomain,
    /// As many domains are evacuated as the replicated set holds.
    LimitReached,
    /// The call has to go to another VM.
    Redirect(SocketAddrV4),
    /// It can't be committed now, or its outcome is unknown; the same order may be
    /// sent again.
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
    /// The replica, which starts later on a VM without a disk.
    replica: Arc<OnceLock<LocalReplica>>,
    group: GroupView,
    operator_port: u16,
    ready: Arc<AtomicBool>,
    /// The names of all failure domains.
    domains: Arc<[String]>,
}

impl EntryHandle {
    pub(super) fn new(
        replica: Arc<OnceLock<LocalReplica>>,
        group: GroupView,
        operator_port: u16,
        ready: Arc<AtomicBool>,
        domains: Vec<String>,
    ) -> Self {
        Self {
            replica,
            group,
            operator_port,
            ready,
            domains: domains.into(),
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
        let result = match self.replica.get() {
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

    /// Evacuates a failure domain: its targets get no new flows, and keep those that
    /// are open. On success the order is synced on a majority of replicas; repeated
    /// orders succeed again.
    ///
    /// # Errors
    ///
    /// Refuses when this VM can't commit it, see [`EvacuationRefusal`].
    pub async fn evacuate(&self, domain: &str) -> Result<(), EvacuationRefusal> {
        self.order(EvacuationOrder::Evacuate(domain.to_owned()))
            .await
    }

    /// Withdraws the evacuation of a failure domain, whose targets then get new flows
    /// again.
    ///
    /// # Errors
    ///
    /// Refuses when this VM can't commit it, see [`EvacuationRefusal`].
    pub async fn readmit(&self, domain: &str) -> Result<(), EvacuationRefusal> {
        self.order(EvacuationOrder::Readmit(domain.to_owned()))
            .await
    }

    async fn order(&self, order: EvacuationOrder) -> Result<(), EvacuationRefusal> {
        let result = if self.domains.iter().any(|known| known == order.domain()) {
            self.commit_order(&order).await
        } else {
            Err(EvacuationRefusal::UnknownDomain)
        };
        log_event!(info, FleetEvent::OrderAnswered, ?order, ?result);
        result
    }

    async fn commit_order(&self, order: &EvacuationOrder) -> Result<(), EvacuationRefusal> {
        let Some(replica) = self.replica.get() else {
            return Err(self
                .any_member()
                .map_or(EvacuationRefusal::Unavailable, EvacuationRefusal::Redirect));
        };
        match replica.order(order).await {
            Ok(true) => Ok(()),
            Ok(false) => Err(EvacuationRefusal::LimitReached),
            Err(refusal) => Err(Self::redirect(&refusal)
                .map_or(EvacuationRefusal::Unavailable, EvacuationRefusal::Redirect)),
        }
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
        let Some(replica) = self.replica.get() else {
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

    /// Returns the address for operators of a replica.
    fn any_member(&self) -> Option<SocketAddrV4> {
        let member = self.group.replica_for_callers()?;
        Some(SocketAddrV4::new(member, self.operator_port))
    }
}
