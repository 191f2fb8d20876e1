use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{TargetNotice, TargetState};
use crate::{
    clock::{ClockMillis, SpanMillis},
    directory::TargetStanding,
    flow::AgentTarget,
    key::IncarnationId,
};

/// The announcements that a target may miss before it counts as silent.
const MISSED_ANNOUNCEMENTS: u64 = 3;

/// How long a target may run before its first announcement arrives: the second
/// that it waits for an acknowledgement.
const FIRST_NOTICE_DELAY_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// What became of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoticeVerdict {
    /// It is the newest word of the target.
    Taken,
    /// It is older than what is known.
    Late,
}

/// What an agent believes of its target, from what the target announces.
#[derive(Debug)]
pub(crate) struct TargetTracker {
    heartbeat: SpanMillis,
    max_silence: SpanMillis,
    latest_notice: Option<TargetNotice>,
    ended: bool,
    heard_at: ClockMillis,
    /// Whether nothing listens at the target's address.
    absent: bool,
    warm_up_until: ClockMillis,
}

impl TargetTracker {
    /// Creates the belief of an agent that has just started; the target
    /// announces itself every `heartbeat`.
    pub(crate) fn new(heartbeat: SpanMillis, now: ClockMillis) -> Self {
        Self {
            heartbeat,
            max_silence: heartbeat.times(MISSED_ANNOUNCEMENTS),
            latest_notice: None,
            ended: false,
            heard_at: now,
            absent: false,
            warm_up_until: now,
        }
    }

    /// Takes an announcement; one of an earlier start, or one that was overtaken,
    /// changes nothing.
    pub(crate) fn apply_notice(&mut self, notice: TargetNotice, now: ClockMillis) -> NoticeVerdict {
        if let Some(latest_notice) = &self.latest_notice {
            let same =
                latest_notice.id == notice.id && latest_notice.started_at == notice.started_at;
            let late = notice.started_at < latest_notice.started_at
                || (same && (self.ended || notice.sequence <= latest_notice.sequence));
            if late {
                return NoticeVerdict::Late;
            }
        }
        self.warm_up_until = now.after(notice.warm_up_left);
        self.heard_at = now;
        self.ended = false;
        self.absent = false;
        self.latest_notice = Some(notice);
        NoticeVerdict::Taken
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

    /// Returns which start of the target was heard last.
    pub(crate) fn incarnation(&self) -> Option<IncarnationId> {
        self.latest_notice.as_ref().map(|notice| {
            let started_at = notice.started_at;
            IncarnationId::new(xxh3_64_with_seed(notice.id.as_bytes(), started_at))
        })
    }

    /// Returns how many requests the target works on at a time, if it says so.
    pub(crate) fn slots(&self) -> Option<u32> {
        self.latest_notice.as_ref().and_then(|notice| notice.slots)
    }

    /// Notes whether anything listens at the target's address.
    pub(crate) fn note_presence(&mut self, present: bool, now: ClockMillis) {
        self.absent = !present;
        if present {
            self.heard_at = now;
        }
    }

    /// Returns whether the target has been silent for so long that it should be
    /// looked after; `packet_silence` is how long it has sent no packet, `None` if it
    /// never did.
    pub(crate) fn is_silent(&self, packet_silence: Option<SpanMillis>, now: ClockMillis) -> bool {
        now.since(self.heard_at) >= self.max_silence
            && packet_silence.is_none_or(|packet_silence| packet_silence >= self.max_silence)
    }

    /// Returns the time before which every flow is of a start that is over.
    ///
    /// A newer start may have run unheard: one that has announced itself for as
    /// long as that takes, one that has not for the time until it does.
    pub(crate) fn stale_flows_before(&self, now: ClockMillis) -> ClockMillis {
        let over = self.ended || self.absent;
        let announced = match &self.latest_notice {
            Some(notice) if !over => self.heartbeat.times(notice.sequence),
            _ => SpanMillis::ZERO,
        };
        let unheard = SpanMillis::new(
            announced
                .millis()
                .saturating_add(FIRST_NOTICE_DELAY_MILLIS.millis()),
        );
        now.before(unheard)
    }

    /// Returns whether the target takes new flows.
    pub(crate) fn target(&self) -> AgentTarget {
        if self.ended {
            return AgentTarget::Ended;
        }
        if self.absent {
            return AgentTarget::Lost;
        }
        match &self.latest_notice {
            None => AgentTarget::Unproved,
            Some(notice) => match notice.state {
                TargetState::Ready => AgentTarget::Serving,
                TargetState::Draining => AgentTarget::Leaving,
            },
        }
    }

    /// Returns what balancers should know of a target in this state; `suspect`
    /// tells whether it leaves openings unanswered.
    pub(crate) fn standing(
        &self,
        target: AgentTarget,
        suspect: bool,
        now: ClockMillis,
    ) -> TargetStanding {
        match target {
            AgentTarget::Ended | AgentTarget::Lost => TargetStanding::Ended,
            AgentTarget::Leaving => TargetStanding::Leaving,
            AgentTarget::Unproved | AgentTarget::Serving if suspect => TargetStanding::Silent,
            AgentTarget::Unproved | AgentTarget::Serving if now < self.warm_up_until => {
                TargetStanding::Warming
            }
            AgentTarget::Unproved | AgentTarget::Serving => TargetStanding::Serving,
        }
    }
}
