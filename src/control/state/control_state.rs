use serde::{Deserialize, Serialize};

use super::{
    ControlCommand, ControlOutcome, FeedChange, ManifestState, RegistrationTable, StateError,
    StateTransition, manifest_state::ManifestCheck, registration_table::AnnounceEffect,
};
use crate::{
    control::api::{AnnounceRequest, ApplyReply, CallRefusal, WithdrawRequest},
    key::{FeedRevision, IncarnationId, TargetKey},
    manifest::Manifest,
    route::RouteChange,
};

/// The replicated state machine; the same commands give the same state on every replica.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct ControlState {
    revision: FeedRevision,
    manifest: ManifestState,
    registrations: RegistrationTable,
}

impl ControlState {
    /// Creates the initial state.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Decodes the state from a snapshot.
    pub(crate) fn restore(bytes: &[u8]) -> Result<Self, StateError> {
        postcard::from_bytes(bytes).map_err(StateError::Snapshot)
    }

    /// Encodes the state as a snapshot; the bytes are identical on every replica.
    pub(crate) fn snapshot(&self) -> Result<Vec<u8>, StateError> {
        postcard::to_stdvec(self).map_err(StateError::Snapshot)
    }

    /// Returns the number of effective commands so far.
    pub(crate) fn revision(&self) -> FeedRevision {
        self.revision
    }

    /// Returns the state of the manifest.
    pub(crate) fn manifest(&self) -> &ManifestState {
        &self.manifest
    }

    /// Returns the registered targets.
    pub(crate) fn registrations(&self) -> &RegistrationTable {
        &self.registrations
    }

    /// Executes one committed command.
    pub(crate) fn apply(&mut self, bytes: &[u8]) -> StateTransition {
        match ControlCommand::decode(bytes) {
            Some(ControlCommand::Apply(manifest)) => self.apply_manifest(manifest),
            Some(ControlCommand::Announce(request)) => self.announce(request),
            Some(ControlCommand::Withdraw(request)) => self.withdraw(&request),
            Some(ControlCommand::Expire(targets)) => self.expire(&targets),
            None => StateTransition::unchanged(ControlOutcome::Undecodable),
        }
    }

    fn apply_manifest(&mut self, manifest: Manifest) -> StateTransition {
        let digest = match self.manifest.check_offer(&manifest) {
            ManifestCheck::Resent(reply) => {
                return StateTransition::unchanged(ControlOutcome::Applied(reply));
            }
            ManifestCheck::Refused(refusal) => return refuse(refusal),
            ManifestCheck::New(digest) => digest,
        };
        if !self.manifest.has_free_numbers_for(&manifest) {
            return refuse(CallRefusal::NoServiceNumber);
        }
        let version = manifest.version;
        let revision = self.advance();
        let mut changes = Vec::new();
        for change in self.manifest.accept(manifest, digest, revision) {
            if let RouteChange::ServiceRemoved(service) = change.change {
                let keys = self.registrations.remove_service(service);
                let removed = keys.into_iter().map(RouteChange::TargetRemoved);
                changes.extend(removed.map(|removed| FeedChange::new(removed, service)));
            }
            changes.push(change);
        }
        let reply = ApplyReply {
            version,
            digest,
            revision,
            resent: false,
        };
        StateTransition::changed(ControlOutcome::Applied(reply), changes)
    }

    fn announce(&mut self, request: AnnounceRequest) -> StateTransition {
        let number = self.manifest.number(&request.service);
        let in_force = number.filter(|number| self.manifest.service(*number).is_some());
        let Some(service) = in_force else {
            return refuse(CallRefusal::UnknownService {
                name: request.service,
            });
        };
        let effect = match self.registrations.announce(request, service) {
            Ok(effect) => effect,
            Err(refusal) => return refuse(refusal),
        };
        match effect {
            AnnounceEffect::Unchanged => StateTransition::unchanged(ControlOutcome::Announced {
                service,
                revision: self.revision,
            }),
            AnnounceEffect::Changed {
                route,
                previous_service,
            } => {
                let revision = self.advance();
                let change = FeedChange::new(RouteChange::TargetSet(route), service);
                let outcome = ControlOutcome::Announced { service, revision };
                StateTransition::changed(
                    outcome,
                    vec![change.with_previous_service(previous_service)],
                )
            }
        }
    }

    fn withdraw(&mut self, request: &WithdrawRequest) -> StateTransition {
        let target = request.target;
        let Some(service) = self.registrations.withdraw(target, request.incarnation) else {
            return StateTransition::unchanged(ControlOutcome::Withdrawn {
                revision: self.revision,
            });
        };
        let revision = self.advance();
        let change = FeedChange::new(RouteChange::TargetRemoved(target), service);
        StateTransition::changed(ControlOutcome::Withdrawn { revision }, vec![change])
    }

    fn expire(&mut self, targets: &[(TargetKey, IncarnationId)]) -> StateTransition {
        let mut changes = Vec::new();
        for (target, incarnation) in targets {
            if let Some(service) = self.registrations.remove(*target, *incarnation) {
                let change = RouteChange::TargetRemoved(*target);
                changes.push(FeedChange::new(change, service));
            }
        }
        if changes.is_empty() {
            return StateTransition::unchanged(ControlOutcome::Expired {
                targets: 0,
                revision: self.revision,
            });
        }
        let outcome = ControlOutcome::Expired {
            targets: changes.len(),
            revision: self.advance(),
        };
        StateTransition::changed(outcome, changes)
    }

    fn advance(&mut self) -> FeedRevision {
        self.revision = self.revision.next();
        self.revision
    }
}

fn refuse(refusal: CallRefusal) -> StateTransition {
    StateTransition::unchanged(ControlOutcome::Refused(refusal))
}
