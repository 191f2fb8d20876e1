//! Reads at a follower: the leader confirms, the follower answers.

use super::{
    LogIndex, PeerBody, ReadKey, ReadOutcome, ReplicaCore, ReplicaSeat,
    limits::{MAX_PENDING_READS, READ_DEADLINE_MILLIS},
};
use crate::clock::ClockMillis;

/// The reads that the leader was asked to confirm, under one name.
#[derive(Debug)]
struct ForwardedReads {
    sequence: u64,
    deadline: ClockMillis,
    keys: Vec<ReadKey>,
}

/// Reads that wait until this follower has applied enough.
#[derive(Debug)]
struct ConfirmedReads {
    index: LogIndex,
    deadline: ClockMillis,
    keys: Vec<ReadKey>,
}

/// What a follower keeps of its clients' reads.
#[derive(Debug, Default)]
pub(crate) struct ReadForward {
    sequence: u64,
    asked: Option<ForwardedReads>,
    queued: Vec<ReadKey>,
    confirmed: Vec<ConfirmedReads>,
}

impl ReadForward {
    fn len(&self) -> usize {
        let asked = self.asked.as_ref().map_or(0, |reads| reads.keys.len());
        let confirmed: usize = self.confirmed.iter().map(|reads| reads.keys.len()).sum();
        asked + confirmed + self.queued.len()
    }
}

impl ReplicaCore {
    /// Hands a read on to the leader, with those that came in meanwhile.
    pub(super) fn forward_read(&mut self, key: ReadKey, leader: ReplicaSeat, now: ClockMillis) {
        if self.forward.len() >= MAX_PENDING_READS {
            self.answer_read(key, ReadOutcome::Overloaded);
            return;
        }
        self.forward.queued.push(key);
        self.forward_queued(leader, now);
    }

    fn forward_queued(&mut self, leader: ReplicaSeat, now: ClockMillis) {
        if self.forward.asked.is_some() || self.forward.queued.is_empty() {
            return;
        }
        self.forward.sequence += 1;
        let sequence = self.forward.sequence;
        self.forward.asked = Some(ForwardedReads {
            sequence,
            deadline: now.after(READ_DEADLINE_MILLIS),
            keys: std::mem::take(&mut self.forward.queued),
        });
        self.send(leader, PeerBody::ReadAsked { sequence });
    }

    /// Takes the leader's answer.
    pub(super) fn finish_forward(
        &mut self,
        sequence: u64,
        index: Option<LogIndex>,
        now: ClockMillis,
    ) {
        let asked = &mut self.forward.asked;
        let Some(reads) = asked.take_if(|reads| reads.sequence == sequence) else {
            return;
        };
        match index {
            Some(index) => self.forward.confirmed.push(ConfirmedReads {
                index,
                deadline: reads.deadline,
                keys: reads.keys,
            }),
            None => self.refuse_all(reads.keys),
        }
        self.release_forward();
        if let Some(leader) = self.leader {
            self.forward_queued(leader, now);
        }
    }

    /// Answers the reads for which enough is applied.
    pub(super) fn release_forward(&mut self) {
        let applied = self.applied;
        let ready: Vec<ConfirmedReads> = self
            .forward
            .confirmed
            .extract_if(.., |reads| reads.index <= applied)
            .collect();
        for reads in ready {
            for key in reads.keys {
                self.answer_read(key, ReadOutcome::Confirmed { index: applied });
            }
        }
    }

    /// Refuses the reads that have waited too long.
    pub(super) fn expire_reads(&mut self, now: ClockMillis) {
        let asked = &mut self.forward.asked;
        if let Some(reads) = asked.take_if(|reads| now >= reads.deadline) {
            self.refuse_all(reads.keys);
            let queued = std::mem::take(&mut self.forward.queued);
            self.refuse_all(queued);
        }
        let late: Vec<ConfirmedReads> = self
            .forward
            .confirmed
            .extract_if(.., |reads| now >= reads.deadline)
            .collect();
        for reads in late {
            self.refuse_all(reads.keys);
        }
    }

    fn refuse_all(&mut self, keys: Vec<ReadKey>) {
        for key in keys {
            self.answer_read(key, ReadOutcome::Refused);
        }
    }
}
