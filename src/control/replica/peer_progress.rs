use super::{GroupSnapshot, LogIndex};
use crate::clock::ClockMillis;

/// How a leader replicates to a member.
#[derive(Debug, Clone)]
pub(crate) enum ProgressPhase {
    /// Looks for the end of the common log, one message at a time.
    Probing,
    /// Sends entries before earlier ones are acknowledged.
    Pipelining,
    /// Sends a snapshot, one chunk at a time.
    SendingSnapshot {
        /// The snapshot, kept until it is sent.
        snapshot: GroupSnapshot,
        /// Offset of the next chunk in bytes.
        offset: usize,
    },
}

/// A leader's replication state for one member.
#[derive(Debug, Clone)]
pub(crate) struct PeerProgress {
    /// The last entry that is known to be synced on the member.
    pub(crate) match_index: LogIndex,
    pub(crate) next_index: LogIndex,
    pub(crate) phase: ProgressPhase,
    /// Unacknowledged append messages or snapshot chunks.
    pub(crate) messages_in_flight: usize,
    /// When a message was last acknowledged, or sent with none in flight; the resend
    /// timeout starts here.
    pub(crate) last_activity_at: ClockMillis,
    /// When the last message came from the member.
    pub(crate) last_contact_at: ClockMillis,
    /// The latest heartbeat round that the member has answered.
    pub(crate) acked_round: u64,
    /// Whether the member's last message announced that it stops.
    pub(crate) is_stopping: bool,
    /// Whether the member uses joint quorums; none until it is heard.
    pub(crate) uses_joint_quorums: Option<bool>,
}

impl PeerProgress {
    /// Creates the progress of a member whose log is unknown.
    pub(crate) fn new(last_index: LogIndex, now: ClockMillis) -> Self {
        Self {
            match_index: LogIndex::ZERO,
            next_index: last_index.next(),
            phase: ProgressPhase::Probing,
            messages_in_flight: 0,
            last_activity_at: now,
            last_contact_at: now,
            acked_round: 0,
            is_stopping: false,
            uses_joint_quorums: None,
        }
    }

    /// Returns whether sent entries or chunks are unacknowledged.
    pub(crate) fn has_unacknowledged(&self) -> bool {
        let pipelining = matches!(self.phase, ProgressPhase::Pipelining);
        self.messages_in_flight > 0 || (pipelining && self.match_index.next() < self.next_index)
    }

    /// Records that the member's log is synced and equal up to `match_index`.
    pub(crate) fn acknowledge(&mut self, match_index: LogIndex, now: ClockMillis) {
        self.last_activity_at = now;
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index.next());
        match &self.phase {
            ProgressPhase::Pipelining => {
                self.messages_in_flight = self.messages_in_flight.saturating_sub(1);
            }
            ProgressPhase::SendingSnapshot { snapshot, .. }
                if snapshot.index > self.match_index => {}
            ProgressPhase::Probing | ProgressPhase::SendingSnapshot { .. } => {
                self.phase = ProgressPhase::Pipelining;
                self.next_index = self.match_index.next();
                self.messages_in_flight = 0;
            }
        }
    }

    /// Records that the member lacks `previous` and its log may equal the
    /// leader's up to `hint`.
    pub(crate) fn reject(&mut self, previous: LogIndex, hint: LogIndex, now: ClockMillis) {
        let stale = previous <= self.match_index || previous >= self.next_index;
        if stale || matches!(self.phase, ProgressPhase::SendingSnapshot { .. }) {
            return;
        }
        self.next_index = previous.min(hint.next()).max(self.match_index.next());
        self.probe(now);
    }

    /// Starts over after the last entry that is known to be on the member.
    pub(crate) fn restart(&mut self, now: ClockMillis) {
        if !matches!(self.phase, ProgressPhase::SendingSnapshot { .. }) {
            self.next_index = self.match_index.next();
            self.probe(now);
        }
        self.messages_in_flight = 0;
        self.last_activity_at = now;
    }

    /// Starts to send a snapshot.
    pub(crate) fn send_snapshot(&mut self, snapshot: GroupSnapshot, now: ClockMillis) {
        self.phase = ProgressPhase::SendingSnapshot {
            snapshot,
            offset: 0,
        };
        self.messages_in_flight = 0;
        self.last_activity_at = now;
    }

    fn probe(&mut self, now: ClockMillis) {
        self.phase = ProgressPhase::Probing;
        self.messages_in_flight = 0;
        self.last_activity_at = now;
    }
}
