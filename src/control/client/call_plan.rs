use std::net::SocketAddrV4;

use rand::{Rng, RngCore};

use super::{ControlClientError, LinkFault};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::api::CallRefusal,
};

/// The first pause after every replica was tried.
const BACKOFF_MILLIS: SpanMillis = SpanMillis::new(100);
/// The longest pause between attempts.
const MOST_BACKOFF_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// The leader hints that are followed without a pause.
const MOST_HINTS: u32 = 4;

/// What to do after an attempt that brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum PlanStep {
    /// Try a replica after a pause.
    Retry {
        /// The replica.
        address: SocketAddrV4,
        /// The pause before.
        pause: SpanMillis,
    },
    /// Give up.
    Fail(ControlClientError),
}

/// Decides which replicas one call is tried at, and when it has failed.
///
/// Every call is idempotent, so that it may be sent again after silence.
#[derive(Debug)]
pub(super) struct CallPlan<'a> {
    addresses: &'a [SocketAddrV4],
    next: usize,
    deadline: ClockMillis,
    attempts: u32,
    hints: u32,
    unknown: bool,
}

impl<'a> CallPlan<'a> {
    /// Plans a call that starts at the replica with index `start`.
    pub(super) fn new(addresses: &'a [SocketAddrV4], start: usize, deadline: ClockMillis) -> Self {
        Self {
            addresses,
            next: start,
            deadline,
            attempts: 0,
            hints: 0,
            unknown: false,
        }
    }

    /// Returns the next replica in turn.
    pub(super) fn take_next(&mut self) -> SocketAddrV4 {
        let address = self.addresses[self.next % self.addresses.len()];
        self.next += 1;
        address
    }

    /// Decides what follows an attempt that failed at `now`.
    pub(super) fn record(
        &mut self,
        fault: LinkFault,
        now: ClockMillis,
        random: &mut dyn RngCore,
    ) -> PlanStep {
        self.attempts += 1;
        if let LinkFault::Refused(refusal) = &fault
            && !refusal.is_passing()
        {
            return PlanStep::Fail(ControlClientError::Refused(refusal.clone()));
        }
        self.unknown |= !fault.is_not_run();
        if let Some(leader) = self.hinted(&fault) {
            return PlanStep::Retry {
                address: leader,
                pause: SpanMillis::ZERO,
            };
        }
        let pause = self.pause(&fault, random);
        if now.after(pause) >= self.deadline {
            return PlanStep::Fail(self.failure(fault));
        }
        PlanStep::Retry {
            address: self.take_next(),
            pause,
        }
    }

    fn hinted(&mut self, fault: &LinkFault) -> Option<SocketAddrV4> {
        let LinkFault::Refused(CallRefusal::NotLeader { leader }) = fault else {
            return None;
        };
        self.hints += 1;
        leader.filter(|_| self.hints <= MOST_HINTS)
    }

    fn pause(&self, fault: &LinkFault, random: &mut dyn RngCore) -> SpanMillis {
        let count = u32::try_from(self.addresses.len()).unwrap_or(u32::MAX);
        let rounds = self.attempts / count.max(1);
        let asked = match fault {
            LinkFault::Refused(CallRefusal::Overloaded { retry_after_millis }) => {
                *retry_after_millis
            }
            _ => 0,
        };
        if rounds == 0 && asked == 0 {
            return SpanMillis::ZERO;
        }
        let doubled = BACKOFF_MILLIS.times(1 << rounds.saturating_sub(1).min(8));
        let longest = doubled.min(MOST_BACKOFF_MILLIS).millis().max(asked);
        SpanMillis::new(random.random_range(longest / 2..=longest))
    }

    fn failure(&self, last: LinkFault) -> ControlClientError {
        let attempts = self.attempts;
        if self.unknown {
            return ControlClientError::OutcomeUnknown { attempts, last };
        }
        match last {
            LinkFault::Refused(refusal) => ControlClientError::Refused(refusal),
            last => ControlClientError::Unreachable { attempts, last },
        }
    }
}
