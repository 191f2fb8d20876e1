use super::{GroupSnapshot, LogIndex};
use crate::clock::ClockMillis;

/// How a leader brings a member up to date.
#[derive(Debug, Clone)]
pub(crate) enum ProgressPhase {
    /// The end of the common log is looked for, one message at a time.
    Probing,
    /// Entries are sent ahead of their acknowledgement.
    Pipelining,
    /// A snapshot is sent, one chunk at a time.
    SendingSnapshot {
        /// The snapshot, held until it is sent.
        snapshot: GroupSnapshot,
        /// The place of the next chunk.
        offset: usize,
    },
}

/// What a leader knows of one member.
#[derive(Debug, Clone)]
pub(crate) struct PeerProgress {
    /// The last entry that the member holds durably.
    pub(crate) match_index: LogIndex,
    /// The next entry to send.
    pub(crate) next_index: LogIndex,
    /// How entries are sent.
    pub(crate) phase: ProgressPhase,
    /// The messages that are not answered yet.
    pub(crate) messages_in_flight: usize,
    /// When something was last sent or acknowledged.
    pub(crate) last_activity_at: ClockMillis,
    /// When the member was last heard.
    pub(crate) last_contact_at: ClockMillis,
    /// The newest heartbeat round that the member has answered.
    pub(crate) acked_round: u64,
}

impl PeerProgress {
    /// Creates the progress of a member whose log is not known yet.
    pub(crate) fn new(last_index: LogIndex, now: ClockMillis) -> Self {
        Self {
            match_index: LogIndex::ZERO,
            next_index: last_index.next(),
            phase: ProgressPhase::Probing,
            messages_in_flight: 0,
            last_activity_at: now,
            last_contact_at: now,
            acked_round: 0,
        }
    }

    /// Returns whether something has been sent that is not acknowledged.
    pub(crate) fn has_unacknowledged(&self) -> bool {
        let streaming = matches!(self.phase, ProgressPhase::Pipelining);
        self.messages_in_flight > 0 || (streaming && self.match_index.next() < self.next_index)
    }

    /// Notes that the member holds the log up to `match_index`.
    pub(crate) fn acknowledge(&mut self, match_index: LogIndex, now: ClockMillis) {
        self.last_activity_at = now;
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index.next());
        match &self.phase {
            ProgressPhase::Pipelining => {
                self.messages_in_flight = self.messages_in_flight.saturating_sub(1)
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

    /// Notes that the member does not hold `previous`, at most `hint`.
    pub(crate) fn reject(&mut self, previous: LogIndex, hint: LogIndex, now: ClockMillis) {
        let stale = previous <= self.match_index || previous >= self.next_index;
        if stale || matches!(self.phase, ProgressPhase::SendingSnapshot { .. }) {
            return;
        }
        self.next_index = previous.min(hint.next()).max(self.match_index.next());
        self.probe(now);
    }

    /// Starts over after the last entry that the member is known to hold.
    pub(crate) fn restart(&mut self, now: ClockMillis) {
        if !matches!(self.phase, ProgressPhase::SendingSnapshot { .. }) {
            self.next_index = self.match_index.next();
            self.probe(now);
        }
        self.messages_in_flight = 0;
        self.last_activity_at = now;
    }

    /// Starts to send a snapshot from its beginning.
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
