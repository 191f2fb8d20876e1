use super::{GroupSnapshot, LogIndex};
use crate::clock::ClockMillis;

/// How a leader brings a member up to date.
#[derive(Debug, Clone)]
pub(crate) enum ProgressPhase {
    /// The end of the common log is looked for, one message at a time.
    Probing,
    /// Entries are sent ahead of their acknowledgement.
    Streaming,
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
    pub(crate) matched: LogIndex,
    /// The next entry to send.
    pub(crate) next: LogIndex,
    /// How entries are sent.
    pub(crate) phase: ProgressPhase,
    /// The messages that are not answered yet.
    pub(crate) in_flight: usize,
    /// When something was last sent or acknowledged.
    pub(crate) active_at: ClockMillis,
    /// When the member was last heard.
    pub(crate) heard_at: ClockMillis,
    /// The newest heartbeat round that the member has answered.
    pub(crate) round: u64,
}

impl PeerProgress {
    /// Creates the progress of a member whose log is not known yet.
    pub(crate) fn new(last_index: LogIndex, now: ClockMillis) -> Self {
        Self {
            matched: LogIndex::ZERO,
            next: last_index.next(),
            phase: ProgressPhase::Probing,
            in_flight: 0,
            active_at: now,
            heard_at: now,
            round: 0,
        }
    }

    /// Returns whether something has been sent that is not acknowledged.
    pub(crate) fn awaits_answer(&self) -> bool {
        let streaming = matches!(self.phase, ProgressPhase::Streaming);
        self.in_flight > 0 || (streaming && self.matched.next() < self.next)
    }

    /// Notes that the member holds the log up to `matched`.
    pub(crate) fn hold(&mut self, matched: LogIndex, now: ClockMillis) {
        self.active_at = now;
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched.next());
        match &self.phase {
            ProgressPhase::Streaming => self.in_flight = self.in_flight.saturating_sub(1),
            ProgressPhase::SendingSnapshot { snapshot, .. } if snapshot.index > self.matched => {}
            ProgressPhase::Probing | ProgressPhase::SendingSnapshot { .. } => {
                self.phase = ProgressPhase::Streaming;
                self.next = self.matched.next();
                self.in_flight = 0;
            }
        }
    }

    /// Notes that the member does not hold `previous`, at most `hint`.
    pub(crate) fn refuse(&mut self, previous: LogIndex, hint: LogIndex, now: ClockMillis) {
        let stale = previous <= self.matched || previous >= self.next;
        if stale || matches!(self.phase, ProgressPhase::SendingSnapshot { .. }) {
            return;
        }
        self.next = previous.min(hint.next()).max(self.matched.next());
        self.probe(now);
    }

    /// Starts over after the last entry that the member is known to hold.
    pub(crate) fn restart(&mut self, now: ClockMillis) {
        if !matches!(self.phase, ProgressPhase::SendingSnapshot { .. }) {
            self.next = self.matched.next();
            self.probe(now);
        }
        self.in_flight = 0;
        self.active_at = now;
    }

    /// Starts to send a snapshot from its beginning.
    pub(crate) fn send_snapshot(&mut self, snapshot: GroupSnapshot, now: ClockMillis) {
        self.phase = ProgressPhase::SendingSnapshot {
            snapshot,
            offset: 0,
        };
        self.in_flight = 0;
        self.active_at = now;
    }

    fn probe(&mut self, now: ClockMillis) {
        self.phase = ProgressPhase::Probing;
        self.in_flight = 0;
        self.active_at = now;
    }
}
