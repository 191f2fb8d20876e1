use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::formation_limits::MAX_FOUNDERS;
use crate::control::replica::{GroupId, GroupMembers, MemberId, ReplicaId};

/// A group to form and its initial voters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GroupProposal {
    pub(crate) group: GroupId,
    pub(crate) founders: Vec<MemberId>,
}

impl GroupProposal {
    /// Returns whether the founders can form a group: at least one, at most
    /// `MAX_FOUNDERS`, and each of them once.
    pub(crate) fn is_valid(&self) -> bool {
        let replicas: BTreeSet<ReplicaId> = self.replicas().collect();
        let disks: BTreeSet<_> = self.founders.iter().map(|founder| founder.disk).collect();
        let count = self.founders.len();
        (1..=MAX_FOUNDERS).contains(&count) && replicas.len() == count && disks.len() == count
    }

    /// Returns the founding replicas.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = ReplicaId> {
        self.founders.iter().map(|founder| founder.replica)
    }

    /// Returns the members that every founder starts its log with.
    pub(crate) fn members(&self) -> GroupMembers {
        GroupMembers::new(self.founders.iter().copied())
    }
}
