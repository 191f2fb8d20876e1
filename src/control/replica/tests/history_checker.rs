use std::collections::BTreeMap;

use crate::control::replica::{
    LogIndex, ProposalKey, ProposalOutcome, ReadKey, ReadOutcome, ReplicaReport,
};

/// Records the requests of clients and checks every answer against them.
#[derive(Debug, Default)]
pub(super) struct HistoryChecker {
    proposals: BTreeMap<ProposalKey, Vec<u8>>,
    reads: BTreeMap<ReadKey, u64>,
    applied_changes: BTreeMap<u64, Vec<u8>>,
    leaders: BTreeMap<u64, usize>,
    last_key: u64,
    pub(super) acknowledged: BTreeMap<u64, Vec<u8>>,
    pub(super) outcomes: BTreeMap<ProposalKey, ProposalOutcome>,
    pub(super) read_outcomes: BTreeMap<ReadKey, ReadOutcome>,
    pub(super) reports: Vec<(usize, ReplicaReport)>,
}

impl HistoryChecker {
    /// Registers a proposal; returns its key and a unique payload.
    pub(super) fn new_proposal(&mut self) -> (ProposalKey, Vec<u8>) {
        self.last_key += 1;
        let key = ProposalKey(self.last_key);
        let bytes = self.last_key.to_be_bytes().to_vec();
        self.proposals.insert(key, bytes.clone());
        (key, bytes)
    }

    /// Registers a read that must observe every change acknowledged so far.
    pub(super) fn new_read(&mut self) -> ReadKey {
        self.last_key += 1;
        let key = ReadKey(self.last_key);
        let newest = self.acknowledged.keys().next_back().copied().unwrap_or(0);
        self.reads.insert(key, newest);
        key
    }

    pub(super) fn check_applied(&mut self, index: u64, bytes: &[u8]) {
        let expected = self.applied_changes.entry(index).or_insert(bytes.to_vec());
        assert_eq!(
            expected, bytes,
            "entry {index} was applied with two payloads"
        );
    }

    pub(super) fn check_proposal(&mut self, key: ProposalKey, outcome: ProposalOutcome) {
        if let ProposalOutcome::Committed { index } = outcome {
            let bytes = self.proposals[&key].clone();
            assert_eq!(self.applied_changes.get(&index.number()), Some(&bytes));
            self.acknowledged.insert(index.number(), bytes);
        }
        let earlier = self.outcomes.insert(key, outcome);
        assert!(earlier.is_none(), "two answers to a proposal");
    }

    pub(super) fn check_read(&mut self, key: ReadKey, outcome: ReadOutcome, applied: LogIndex) {
        if let ReadOutcome::Confirmed { index } = outcome {
            assert!(
                index.number() >= self.reads[&key],
                "a read misses an acknowledged change"
            );
            assert!(
                applied >= index,
                "a read was confirmed before its index was applied"
            );
        }
        let earlier = self.read_outcomes.insert(key, outcome);
        assert!(earlier.is_none(), "two answers to a read");
    }

    pub(super) fn check_report(&mut self, node: usize, report: ReplicaReport) {
        if let ReplicaReport::LeaderElected { term } = report {
            let earlier = self.leaders.insert(term.number(), node);
            assert!(earlier.is_none(), "two leaders in term {term}");
        }
        self.reports.push((node, report));
    }
}
