use std::{collections::BTreeSet, net::Ipv4Addr};

use serde::{Deserialize, Serialize};

use super::{TargetRecord, TargetStatus};
use crate::{key::DomainTag, listener::EvacuationSet};

/// The evacuated failure domains that a directory or a balancer knows.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct EvacuatedDomains {
    /// The revision of the replicated set.
    pub(crate) revision: u64,
    /// The domains.
    pub(crate) domains: BTreeSet<DomainTag>,
}

impl EvacuatedDomains {
    /// Returns the domains of the replicated set.
    pub(crate) fn of(set: &EvacuationSet) -> Self {
        let names = set.domains().iter();
        Self {
            revision: set.revision(),
            domains: names.map(|name| DomainTag::of(name)).collect(),
        }
    }

    /// Returns whether a target would accept new flows if its domain were not
    /// evacuated.
    pub(crate) fn masks(&self, record: &TargetRecord) -> bool {
        let domain = record.attributes.domain;
        record.status.accepts_flows() && domain.is_some_and(|domain| self.domains.contains(&domain))
    }
}

/// A target that its directory shows as leaving because its domain is evacuated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MaskedTarget {
    /// Its agent.
    pub(crate) agent: Ipv4Addr,
    /// Its status as announced.
    pub(crate) status: TargetStatus,
}

/// What a directory tells of evacuations besides the records.
///
/// Balancers that know it mask targets by the set with the highest revision, whatever
/// the age of the record that a replica has. Older builds rely on the masked records.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct EvacuationUpdate {
    /// The evacuated domains.
    pub(crate) evacuated: EvacuatedDomains,
    /// The masked targets among the records of the update.
    pub(crate) masked: Vec<MaskedTarget>,
}
