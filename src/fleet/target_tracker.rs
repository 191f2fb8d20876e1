use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    TargetNotice, TargetState,
    target_probe::{ProbeOutcome, TargetProbe},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    directory::TargetStatus,
    flow::TargetLifecycle,
    key::IncarnationId,
    sequence::{SequenceGuard, SequenceStreak, SequenceVerdict},
};

/// The announcements that a target may miss before it counts as silent.
const MISSED_ANNOUNCEMENTS: u64 = 3;

/// How long a target may run before its first announcement arrives: the
/// second that it waits for an acknowledgement.
const FIRST_NOTICE_DELAY_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// The heartbeats for which announcements that look outdated must go on, with none newer,
/// until they are believed.
const RIVAL_HEARTBEATS: u64 = 2;

/// Whether an announcement was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoticeVerdict {
    /// It was the newest one and is in force.
    Taken,
    /// It looked outdated and changed nothing.
    Late,
    /// Its sequence number can't follow the one before, and it changed nothing.
    Odd,
}

/// Announcements of an incarnation that looks like an earlier one, or that has ended.
#[derive(Debug)]
struct RivalIncarnation {
    id: String,
    started_at: u64,
    streak: SequenceStreak,
}

impl RivalIncarnation {
    fn is_of(&self, notice: &TargetNotice) -> bool {
        self.id == notice.id && self.started_at == notice.started_at
    }
}

/// Whether the outcome of a probe was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeVerdict {
    /// It is in force.
    Applied,
    /// The target was heard, or another probe sent, since this one was sent.
    Outdated,
    /// It shows nothing.
    Empty,
}

/// The state of a target as its agent knows it from announcements and probes.
#[derive(Debug)]
pub(crate) struct TargetTracker {
    heartbeat: SpanMillis,
    max_silence: SpanMillis,
    latest_notice: Option<TargetNotice>,
    /// The sequence numbers of the latest incarnation.
    sequence: SequenceGuard,
    /// What may be the current incarnation in spite of the latest notice.
    rival: Option<RivalIncarnation>,
    ended: bool,
    heard_at: ClockMillis,
    /// Whether nothing listens at the target's address.
    absent: bool,
    /// When the last announcement arrived that was applied, or the last probe was sent
    /// that was.
    known_at: Option<ClockMillis>,
    warm_up_until: ClockMillis,
}

impl TargetTracker {
    /// Creates the tracker of an agent that has just started; the target
    /// announces itself every `heartbeat`.
    pub(crate) fn new(heartbeat: SpanMillis, now: ClockMillis) -> Self {
        Self {
            heartbeat,
            max_silence: heartbeat.saturating_mul(MISSED_ANNOUNCEMENTS),
            latest_notice: None,
            sequence: SequenceGuard::new(0),
            rival: None,
            ended: false,
            heard_at: now,
            absent: false,
            known_at: None,
            warm_up_until: now,
        }
    }

    /// Applies an announcement; one of an earlier incarnation, or with an old
    /// sequence number, changes nothing.
    ///
    /// Start times and sequence numbers may be wrong, so announcements that look outdated
    /// are believed once they have gone on for `RIVAL_HEARTBEATS` and nothing newer came.
    pub(crate) fn apply_notice(&mut self, notice: TargetNotice, now: ClockMillis) -> NoticeVerdict {
        let verdict = self.judge(&notice, now);
        if verdict != NoticeVerdict::Taken {
            return verdict;
        }
        if self.ended || !self.is_latest_incarnation(&notice) {
            self.sequence = SequenceGuard::new(notice.sequence);
        }
        self.rival = None;
        self.warm_up_until = now.after(notice.warm_up_left);
        self.heard_at = now;
        self.ended = false;
        self.absent = false;
        self.known_at = self.known_at.max(Some(now));
        self.latest_notice = Some(notice);
        NoticeVerdict::Taken
    }

    fn judge(&mut self, notice: &TargetNotice, now: ClockMillis) -> NoticeVerdict {
        let Some(latest_notice) = &self.latest_notice else {
            return NoticeVerdict::Taken;
        };
        let patience = self.heartbeat.saturating_mul(RIVAL_HEARTBEATS);
        if self.is_latest_incarnation(notice) && !self.ended {
            return match self.sequence.judge(notice.sequence, patience, now) {
                SequenceVerdict::Newest => NoticeVerdict::Taken,
                SequenceVerdict::Stale => NoticeVerdict::Late,
                SequenceVerdict::Odd => NoticeVerdict::Odd,
            };
        }
        let may_be_later = notice.started_at >= latest_notice.started_at;
        if may_be_later && !self.is_latest_incarnation(notice) {
            return NoticeVerdict::Taken;
        }
        self.judge_rival(notice, patience, now)
    }

    fn judge_rival(
        &mut self,
        notice: &TargetNotice,
        patience: SpanMillis,
        now: ClockMillis,
    ) -> NoticeVerdict {
        let known = self.rival.as_ref().filter(|rival| rival.is_of(notice));
        let streak = known.map_or_else(
            || SequenceStreak::new(notice.sequence, now),
            |rival| rival.streak.with_message(notice.sequence, now),
        );
        if streak.is_believed(patience, now) {
            return NoticeVerdict::Taken;
        }
        self.rival = Some(RivalIncarnation {
            id: notice.id.clone(),
            started_at: notice.started_at,
            streak,
        });
        NoticeVerdict::Late
    }

    /// Returns whether an announcement is of the latest incarnation.
    fn is_latest_incarnation(&self, notice: &TargetNotice) -> bool {
        self.latest_notice.as_ref().is_some_and(|latest_notice| {
            latest_notice.id == notice.id && latest_notice.started_at == notice.started_at
        })
    }

    /// Returns whether what an announcement says is in force, whether it was applied or an
    /// earlier one said the same.
    pub(crate) fn is_in_force(&self, notice: &TargetNotice) -> bool {
        let latest_notice = self.latest_notice.as_ref();
        let has_same_state =
            latest_notice.is_some_and(|latest_notice| latest_notice.state == notice.state);
        self.is_latest_incarnation(notice) && has_same_state && !self.ended
    }

    /// Returns whether the target says that it is still slow after its start.
    pub(crate) fn is_warming(&self, now: ClockMillis) -> bool {
        now < self.warm_up_until
    }

    /// Notes that the target called `id` has ended.
    pub(crate) fn note_ended(&mut self, id: &str) -> NoticeVerdict {
        match &self.latest_notice {
            Some(latest_notice) if latest_notice.id == id => {
                self.ended = true;
                NoticeVerdict::Taken
            }
            Some(_) => NoticeVerdict::Late,
            None => {
                self.ended = true;
                NoticeVerdict::Taken
            }
        }
    }

    /// Returns the incarnation of the target that announced itself last.
    pub(crate) fn incarnation(&self) -> Option<IncarnationId> {
        self.latest_notice.as_ref().map(|notice| {
            let started_at = notice.started_at;
            IncarnationId::new(xxh3_64_with_seed(notice.id.as_bytes(), started_at))
        })
    }

    /// Returns how many requests the target handles at a time, if it reports that.
    pub(crate) fn slots(&self) -> Option<u32> {
        self.latest_notice.as_ref().and_then(|notice| notice.slots)
    }

    /// Applies a probe; `packet_heard_at` is when the target last sent a packet.
    ///
    /// A refused connection says that no process listens, at the time of the probe: a
    /// target that was heard since may be the next incarnation.
    pub(crate) fn apply_probe(
        &mut self,
        probe: TargetProbe,
        packet_heard_at: Option<ClockMillis>,
    ) -> ProbeVerdict {
        let is_since = |at: Option<ClockMillis>| at.is_some_and(|at| at >= probe.started_at);
        match probe.outcome {
            ProbeOutcome::Unknown => return ProbeVerdict::Empty,
            ProbeOutcome::Present if is_since(self.known_at) => return ProbeVerdict::Outdated,
            ProbeOutcome::Refused if is_since(self.known_at) || is_since(packet_heard_at) => {
                return ProbeVerdict::Outdated;
            }
            ProbeOutcome::Present => {
                self.absent = false;
                self.heard_at = self.heard_at.max(probe.started_at);
            }
            ProbeOutcome::Refused => self.absent = true,
        }
        self.known_at = Some(probe.started_at);
        ProbeVerdict::Applied
    }

    /// Returns whether the target has been silent for so long that it should be
    /// probed; `packet_silence` is the time since its last packet, `None` if it
    /// never sent one.
    pub(crate) fn is_silent(&self, packet_silence: Option<SpanMillis>, now: ClockMillis) -> bool {
        now.since(self.heard_at) >= self.max_silence
            && packet_silence.is_none_or(|packet_silence| packet_silence >= self.max_silence)
    }

    /// Returns the time before which every flow belongs to an ended incarnation.
    ///
    /// The current incarnation may have run before its announcement arrived: for a
    /// heartbeat per announcement that it counts, plus the delay of its first one.
    /// If the last one known is over, the next may have run for that delay alone.
    pub(crate) fn stale_flows_before(&self, now: ClockMillis) -> ClockMillis {
        let is_over = self.ended || self.absent;
        let announced_for = match &self.latest_notice {
            Some(notice) if !is_over => self.heartbeat.saturating_mul(notice.sequence),
            _ => SpanMillis::ZERO,
        };
        let longest_run = SpanMillis::new(
            announced_for
                .millis()
                .saturating_add(FIRST_NOTICE_DELAY_MILLIS.millis()),
        );
        now.before(longest_run)
    }

    /// Returns whether the target accepts new flows and still holds its flows.
    pub(crate) fn lifecycle(&self) -> TargetLifecycle {
        if self.ended {
            return TargetLifecycle::Ended;
        }
        if self.absent {
            return TargetLifecycle::Lost;
        }
        match &self.latest_notice {
            None => TargetLifecycle::Unproved,
            Some(notice) => match notice.state {
                TargetState::Ready => TargetLifecycle::Serving,
                TargetState::Draining => TargetLifecycle::Leaving,
            },
        }
    }

    /// Returns the status to announce for a target in this state; `suspect`
    /// tells whether it is silent or leaves openings unanswered.
    pub(crate) fn status(
        &self,
        lifecycle: TargetLifecycle,
        suspect: bool,
        now: ClockMillis,
    ) -> TargetStatus {
        match lifecycle {
            TargetLifecycle::Ended | TargetLifecycle::Lost => TargetStatus::Ended,
            TargetLifecycle::Leaving => TargetStatus::Leaving,
            TargetLifecycle::Unproved | TargetLifecycle::Serving if suspect => TargetStatus::Silent,
            TargetLifecycle::Unproved | TargetLifecycle::Serving if self.is_warming(now) => {
                TargetStatus::Warming
            }
            TargetLifecycle::Unproved | TargetLifecycle::Serving => TargetStatus::Serving,
        }
    }
}
