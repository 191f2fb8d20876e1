use kameo::{
    Actor, Reply,
    message::{Context, Message},
};

use super::{ExpiryDecision, LeaseTable};
use crate::{
    clock::ProcessClock,
    control::store::{RegistrationChanges, StateHandle},
    key::{FeedRevision, IncarnationId, TargetKey},
};

/// The actor that owns the lease table. Only a leading replica keeps leases.
#[derive(Actor)]
pub(crate) struct LeaseManager {
    state: StateHandle,
    clock: ProcessClock,
    table: LeaseTable,
    synced_revision: FeedRevision,
}

/// This replica became the leader: grants a full lease to every registered incarnation.
#[derive(Debug)]
pub(crate) struct GrantAllLeases;

/// This replica no longer leads: drops all leases.
#[derive(Debug)]
pub(crate) struct DropAllLeases;

/// Renews a lease on a heartbeat; replies whether the incarnation is registered.
#[derive(Debug)]
pub(crate) struct RenewLease {
    /// The target's address.
    pub(crate) target: TargetKey,
    /// The incarnation that sent the heartbeat.
    pub(crate) incarnation: IncarnationId,
}

/// Asks what to do about leases that are past their deadline.
#[derive(Debug)]
pub(crate) struct DecideExpiries;

/// Asks for the number of leases and holds.
#[derive(Debug)]
pub(crate) struct CountLeases;

/// The number of leases and holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Reply)]
pub(crate) struct LeaseCount {
    /// All leases.
    pub(crate) leases: usize,
    /// The services with a hold on mass expiry.
    pub(crate) holds: usize,
}

impl LeaseManager {
    /// Creates a manager without leases.
    pub(crate) fn new(state: StateHandle, clock: ProcessClock) -> Self {
        Self {
            state,
            clock,
            table: LeaseTable::default(),
            synced_revision: FeedRevision::EMPTY,
        }
    }

    /// Applies the registration changes committed since `synced_revision` to the table.
    fn sync_registrations(&mut self) {
        let now = self.clock.now();
        let (revision, changes) = self.state.registration_changes(self.synced_revision);
        match changes {
            RegistrationChanges::Incremental(changes) => {
                for (target, holder) in changes {
                    match holder {
                        Some(holder) => self.table.grant(holder, now),
                        None => self.table.remove_target(target),
                    }
                }
            }
            RegistrationChanges::Full(holders) => self.table.sync_holders(holders, now),
        }
        self.synced_revision = revision;
    }
}

impl Message<GrantAllLeases> for LeaseManager {
    type Reply = ();

    async fn handle(&mut self, _message: GrantAllLeases, _context: &mut Context<Self, ()>) {
        self.table = LeaseTable::default();
        self.synced_revision = FeedRevision::EMPTY;
        self.sync_registrations();
    }
}

impl Message<DropAllLeases> for LeaseManager {
    type Reply = ();

    async fn handle(&mut self, _message: DropAllLeases, _context: &mut Context<Self, ()>) {
        self.table = LeaseTable::default();
        self.synced_revision = FeedRevision::EMPTY;
    }
}

impl Message<RenewLease> for LeaseManager {
    type Reply = bool;

    async fn handle(
        &mut self,
        message: RenewLease,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.clock.now();
        if self.table.renew(message.target, message.incarnation, now) {
            return true;
        }
        // The target may have been registered after the last sync with the state.
        match self.state.lease_holder(message.target) {
            Some(holder) if holder.incarnation == message.incarnation => {
                self.table.grant(holder, now);
                true
            }
            _ => false,
        }
    }
}

impl Message<DecideExpiries> for LeaseManager {
    type Reply = ExpiryDecision;

    async fn handle(
        &mut self,
        _message: DecideExpiries,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.sync_registrations();
        self.table.decide_expiries(self.clock.now())
    }
}

impl Message<CountLeases> for LeaseManager {
    type Reply = LeaseCount;

    async fn handle(
        &mut self,
        _message: CountLeases,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        LeaseCount {
            leases: self.table.len(),
            holds: self.table.holds(),
        }
    }
}
