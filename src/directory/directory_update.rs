use std::{collections::HashMap, net::Ipv4Addr};

use serde::{Deserialize, Serialize};

use super::{EvacuatedDomains, EvacuationUpdate, MaskedTarget, TargetRecord, TargetStatus};

/// The position up to which a watcher has followed the directory of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct DirectoryPosition {
    /// A random number that identifies the run of the replica.
    pub(crate) run: u64,
    /// The last revision of that run that the watcher has.
    pub(crate) revision: u64,
}

/// The changes of a directory since a position, or all of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DirectoryUpdate {
    /// The position after these changes.
    #[serde(rename = "place")]
    pub(crate) position: DirectoryPosition,
    /// Whether the records are the full directory.
    #[serde(rename = "whole")]
    pub(crate) full: bool,
    /// Whether the directory has heard from every running agent.
    pub(crate) settled: bool,
    /// The new or changed records.
    pub(crate) records: Vec<TargetRecord>,
    /// The evacuated domains. They follow the update in messages, where older builds
    /// ignore them.
    #[serde(skip)]
    pub(crate) evacuation: EvacuationUpdate,
}

impl DirectoryUpdate {
    /// Shows the records of evacuated domains that accept flows as leaving.
    pub(super) fn mask(&mut self, evacuated: &EvacuatedDomains) {
        self.evacuation.evacuated = evacuated.clone();
        for record in &mut self.records {
            if evacuated.masks(record) {
                self.evacuation.masked.push(MaskedTarget {
                    agent: record.agent,
                    status: record.status,
                });
                record.status = TargetStatus::Leaving;
            }
        }
    }

    /// Restores the announced status of the masked records.
    pub(super) fn unmask(&mut self) {
        let masked = self.evacuation.masked.drain(..);
        let announced: HashMap<Ipv4Addr, TargetStatus> =
            masked.map(|target| (target.agent, target.status)).collect();
        for record in &mut self.records {
            if let Some(status) = announced.get(&record.agent) {
                record.status = *status;
            }
        }
    }
}
