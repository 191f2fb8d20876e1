use kameo::{
    Actor, Reply,
    message::{Context, Message},
};

use super::{LeaseTable, LeaseVerdict};
use crate::{
    clock::ProcessClock,
    control::store::{RegistrationChanges, StateHandle},
    key::{FeedRevision, IncarnationId, TargetKey},
};

/// Keeps the leases while this replica leads; the actor around the table.
#[derive(Actor)]
pub(crate) struct LeaseKeeper {
    state: StateHandle,
    clock: ProcessClock,
    table: LeaseTable,
    seen: FeedRevision,
}

/// This replica became the leader: every run gets a full lease.
#[derive(Debug)]
pub(crate) struct TakeLeases;

/// This replica no longer leads: no lease is kept.
#[derive(Debug)]
pub(crate) struct ResignLeases;

/// A run sent a heartbeat; the reply tells whether it is registered.
#[derive(Debug)]
pub(crate) struct RenewLease {
    /// The target's address.
    pub(crate) target: TargetKey,
    /// The run that was heard.
    pub(crate) incarnation: IncarnationId,
}

/// Asks what is to be done about leases that ran out.
#[derive(Debug)]
pub(crate) struct DecideLeases;

/// Asks how many leases are kept.
#[derive(Debug)]
pub(crate) struct CountLeases;

/// How many leases are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Reply)]
pub(crate) struct LeaseCount {
    /// All leases.
    pub(crate) leases: usize,
    /// The services whose silent leases are held.
    pub(crate) holds: usize,
}

impl LeaseKeeper {
    /// Creates a keeper without leases.
    pub(crate) fn new(state: StateHandle, clock: ProcessClock) -> Self {
        Self {
            state,
            clock,
            table: LeaseTable::default(),
            seen: FeedRevision::EMPTY,
        }
    }

    /// Follows the registrations that were committed since the last time.
    fn follow_registrations(&mut self) {
        let now = self.clock.now();
        let (revision, changes) = self.state.registration_changes(self.seen);
        match changes {
            RegistrationChanges::Some(changes) => {
                for (target, claim) in changes {
                    match claim {
                        Some(claim) => self.table.grant(claim, now),
                        None => self.table.remove_target(target),
                    }
                }
            }
            RegistrationChanges::All(claims) => self.table.replace_claims(claims, now),
        }
        self.seen = revision;
    }
}

impl Message<TakeLeases> for LeaseKeeper {
    type Reply = ();

    async fn handle(&mut self, _message: TakeLeases, _context: &mut Context<Self, ()>) {
        self.table = LeaseTable::default();
        self.seen = FeedRevision::EMPTY;
        self.follow_registrations();
    }
}

impl Message<ResignLeases> for LeaseKeeper {
    type Reply = ();

    async fn handle(&mut self, _message: ResignLeases, _context: &mut Context<Self, ()>) {
        self.table = LeaseTable::default();
        self.seen = FeedRevision::EMPTY;
    }
}

impl Message<RenewLease> for LeaseKeeper {
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
        // The registration may be younger than the last look at the state.
        match self.state.claim(message.target) {
            Some(claim) if claim.incarnation == message.incarnation => {
                self.table.grant(claim, now);
                true
            }
            _ => false,
        }
    }
}

impl Message<DecideLeases> for LeaseKeeper {
    type Reply = LeaseVerdict;

    async fn handle(
        &mut self,
        _message: DecideLeases,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.follow_registrations();
        self.table.decide(self.clock.now())
    }
}

impl Message<CountLeases> for LeaseKeeper {
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
