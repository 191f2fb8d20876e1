use std::{collections::HashMap, net::Ipv4Addr};

use serde::{Deserialize, Serialize};

use super::TargetRecord;
use crate::key::DomainTag;

/// A directory keeps the speed that it told its watchers while the announced one
/// differs by at most this share of it. Figures vary with each announcement; two
/// changes a second of each of 100,000 targets are more than watchers can take.
const SPEED_STEP: f64 = 0.05;
/// The same for failures, in thousandths. Each of the 32 requests that agents count
/// makes 31.
const FAILURES_STEP: u16 = 50;

/// What an agent announces of its target besides its status.
///
/// The attributes follow the record in messages, where builds without them ignore
/// them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct TargetAttributes {
    /// The failure domain, if the agent announces it.
    pub(crate) domain: Option<DomainTag>,
    /// Requests that the target can answer in a second with all slots busy, in
    /// tenths; zero until measured.
    pub(crate) speed: u32,
    /// Share of the recent requests that the target reset or left without an
    /// answer, in thousandths.
    pub(crate) failures: u16,
}

impl TargetAttributes {
    /// Returns these attributes with the figures of `published` where they are close.
    /// Figures that are zero, or no longer are, are never close.
    pub(crate) fn keeping_close_figures(mut self, published: &Self) -> Self {
        let difference = f64::from(self.speed.abs_diff(published.speed));
        if self.speed > 0 && difference <= f64::from(published.speed) * SPEED_STEP {
            self.speed = published.speed;
        }
        let both_fail = self.failures > 0 && published.failures > 0;
        if both_fail && self.failures.abs_diff(published.failures) <= FAILURES_STEP {
            self.failures = published.failures;
        }
        self
    }
}

/// The attributes of the target next to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AttributeEntry {
    pub(crate) agent: Ipv4Addr,
    pub(crate) attributes: TargetAttributes,
}

impl AttributeEntry {
    /// Returns the attributes of `records`, without those that are all unknown.
    pub(crate) fn list(records: &[TargetRecord]) -> Vec<Self> {
        let known = records
            .iter()
            .filter(|record| record.attributes != TargetAttributes::default());
        known
            .map(|record| Self {
                agent: record.agent,
                attributes: record.attributes,
            })
            .collect()
    }

    /// Sets the attributes of the records that `entries` names.
    pub(crate) fn apply(entries: &[Self], records: &mut [TargetRecord]) {
        let attributes: HashMap<Ipv4Addr, TargetAttributes> = entries
            .iter()
            .map(|entry| (entry.agent, entry.attributes))
            .collect();
        for record in records {
            if let Some(attributes) = attributes.get(&record.agent) {
                record.attributes = *attributes;
            }
        }
    }
}
