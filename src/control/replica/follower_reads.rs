//! Reads on a follower: it gets a read index from the leader and answers once that
//! index is applied.

use super::{
    LogIndex, MemberId, PeerBody, ReadKey, ReadOutcome, ReplicaCore,
    limits::{MAX_PENDING_READS, READ_TIMEOUT_MILLIS},
};
use crate::clock::ClockMillis;

/// Reads that share one read-index request to the leader.
#[derive(Debug)]
struct RequestedReads {
    sequence: u64,
    deadline: ClockMillis,
    keys: Vec<ReadKey>,
}

/// Reads that wait until their read index is applied.
#[derive(Debug)]
struct ConfirmedReads {
    index: LogIndex,
    deadline: ClockMillis,
    keys: Vec<ReadKey>,
}

/// Pending client reads of a follower.
///
/// At most one read-index request is in flight; reads that arrive meanwhile share
/// the next one.
#[derive(Debug, Default)]
pub(crate) struct FollowerReads {
    sequence: u64,
    requested: Option<RequestedReads>,
    queued: Vec<ReadKey>,
    confirmed: Vec<ConfirmedReads>,
}

impl FollowerReads {
    fn len(&self) -> usize {
        let requested = self.requested.as_ref().map_or(0, |reads| reads.keys.len());
        let confirmed: usize = self.confirmed.iter().map(|reads| reads.keys.len()).sum();
        requested + confirmed + self.queued.len()
    }
}

impl ReplicaCore {
    /// Queues a read and requests a read index from the leader unless a request is
    /// in flight.
    pub(super) fn forward_read(&mut self, key: ReadKey, leader: MemberId, now: ClockMillis) {
        if self.follower_reads.len() >= MAX_PENDING_READS {
            self.answer_read(key, ReadOutcome::Overloaded);
            return;
        }
        self.follower_reads.queued.push(key);
        self.forward_queued(leader, now);
    }

    fn forward_queued(&mut self, leader: MemberId, now: ClockMillis) {
        if self.follower_reads.requested.is_some() || self.follower_reads.queued.is_empty() {
            return;
        }
        self.follower_reads.sequence += 1;
        let sequence = self.follower_reads.sequence;
        self.follower_reads.requested = Some(RequestedReads {
            sequence,
            deadline: now.after(READ_TIMEOUT_MILLIS),
            keys: std::mem::take(&mut self.follower_reads.queued),
        });
        self.send(leader, PeerBody::ReadIndexRequest { sequence });
    }

    /// Handles the leader's response to a read-index request.
    pub(super) fn handle_read_index_response(
        &mut self,
        sequence: u64,
        index: Option<LogIndex>,
        now: ClockMillis,
    ) {
        let requested = &mut self.follower_reads.requested;
        let Some(reads) = requested.take_if(|reads| reads.sequence == sequence) else {
            return;
        };
        match index {
            Some(index) => self.follower_reads.confirmed.push(ConfirmedReads {
                index,
                deadline: reads.deadline,
                keys: reads.keys,
            }),
            None => self.refuse_reads(reads.keys),
        }
        self.answer_applied_reads();
        if let Some(leader) = self.leader {
            self.forward_queued(leader, now);
        }
    }

    /// Answers the reads whose read index is applied.
    pub(super) fn answer_applied_reads(&mut self) {
        let applied = self.applied;
        let ready: Vec<ConfirmedReads> = self
            .follower_reads
            .confirmed
            .extract_if(.., |reads| reads.index <= applied)
            .collect();
        for reads in ready {
            for key in reads.keys {
                self.answer_read(key, ReadOutcome::Confirmed { index: applied });
            }
        }
    }

    /// Refuses the reads whose deadline has passed.
    pub(super) fn expire_reads(&mut self, now: ClockMillis) {
        let requested = &mut self.follower_reads.requested;
        if let Some(reads) = requested.take_if(|reads| now >= reads.deadline) {
            self.refuse_reads(reads.keys);
            let queued = std::mem::take(&mut self.follower_reads.queued);
            self.refuse_reads(queued);
        }
        let expired: Vec<ConfirmedReads> = self
            .follower_reads
            .confirmed
            .extract_if(.., |reads| now >= reads.deadline)
            .collect();
        for reads in expired {
            self.refuse_reads(reads.keys);
        }
    }

    fn refuse_reads(&mut self, keys: Vec<ReadKey>) {
        for key in keys {
            self.answer_read(key, ReadOutcome::Refused);
        }
    }
}
