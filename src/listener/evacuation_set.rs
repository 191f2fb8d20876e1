use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::EvacuationOrder;
use crate::key::DomainTag;

/// The most failure domains that may be evacuated at a time.
const MAX_EVACUATED_DOMAINS: usize = 256;
/// The longest name of a failure domain, in bytes.
const MAX_DOMAIN_BYTES: usize = 255;

/// What an order did to the set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderEffect {
    /// It changed the set.
    Changed,
    /// The set was already as ordered.
    Unchanged,
    /// It exceeds the bounds of the set and changed nothing.
    Refused,
}

/// The failure domains whose targets get no new flows, with the number of the
/// changes so far.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct EvacuationSet {
    revision: u64,
    domains: BTreeSet<String>,
}

impl EvacuationSet {
    /// Returns the number of the changes so far.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the names of the evacuated domains.
    pub(crate) fn domains(&self) -> &BTreeSet<String> {
        &self.domains
    }

    /// Returns whether the domain with this tag is evacuated.
    pub(crate) fn contains(&self, domain: DomainTag) -> bool {
        self.domains
            .iter()
            .any(|name| DomainTag::of(name) == domain)
    }

    /// Applies an order. One that does not change the set does not count as a change.
    pub(super) fn apply(&mut self, order: EvacuationOrder) -> OrderEffect {
        let changed = match order {
            EvacuationOrder::Evacuate(domain) => {
                let full = self.domains.len() >= MAX_EVACUATED_DOMAINS;
                let known = self.domains.contains(&domain);
                if domain.len() > MAX_DOMAIN_BYTES || (full && !known) {
                    return OrderEffect::Refused;
                }
                self.domains.insert(domain)
            }
            EvacuationOrder::Readmit(domain) => self.domains.remove(&domain),
        };
        if changed {
            self.revision += 1;
            OrderEffect::Changed
        } else {
            OrderEffect::Unchanged
        }
    }
}
