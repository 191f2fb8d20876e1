use std::net::SocketAddrV4;

use rand::{Rng, RngCore};

use super::{ControlClientError, ReplicaCallError};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::api::CallRefusal,
};

/// The first backoff, after each replica was tried once.
const BACKOFF_MILLIS: SpanMillis = SpanMillis::new(100);
/// The longest backoff, unless an overloaded replica asks for more.
const MAX_BACKOFF_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// The `NotLeader` refusals of one call whose leader hints are followed without a pause.
const MAX_REDIRECTS: u32 = 4;

/// What to do after a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum FailoverStep {
    /// Try another replica after a pause.
    Retry {
        /// The replica's call address.
        address: SocketAddrV4,
        /// The time to wait first.
        pause: SpanMillis,
    },
    /// Fail the call.
    Fail(ControlClientError),
}

/// Chooses the replicas for the attempts of one call, and decides when it has failed.
///
/// Every call is idempotent, so it may be resent after a lost reply.
#[derive(Debug)]
pub(super) struct FailoverPlan<'a> {
    addresses: &'a [SocketAddrV4],
    next_index: usize,
    deadline: ClockMillis,
    attempts: u32,
    not_leader_refusals: u32,
    outcome_unknown: bool,
}

impl<'a> FailoverPlan<'a> {
    /// Plans a call that starts at the replica with the index `start`.
    pub(super) fn new(addresses: &'a [SocketAddrV4], start: usize, deadline: ClockMillis) -> Self {
        Self {
            addresses,
            next_index: start,
            deadline,
            attempts: 0,
            not_leader_refusals: 0,
            outcome_unknown: false,
        }
    }

    /// Returns the next replica, round-robin.
    pub(super) fn next_address(&mut self) -> SocketAddrV4 {
        let address = self.addresses[self.next_index % self.addresses.len()];
        self.next_index += 1;
        address
    }

    /// Records the error of an attempt that failed at `now`, and decides what follows.
    pub(super) fn record_error(
        &mut self,
        error: ReplicaCallError,
        now: ClockMillis,
        random: &mut dyn RngCore,
    ) -> FailoverStep {
        self.attempts += 1;
        if let ReplicaCallError::Refused(refusal) = &error
            && !refusal.is_transient()
        {
            return FailoverStep::Fail(ControlClientError::Refused(refusal.clone()));
        }
        self.outcome_unknown |= !error.is_not_executed();
        if let Some(leader) = self.leader_hint(&error) {
            return FailoverStep::Retry {
                address: leader,
                pause: SpanMillis::ZERO,
            };
        }
        let pause = self.pause(&error, random);
        if now.after(pause) >= self.deadline {
            return FailoverStep::Fail(self.give_up_error(error));
        }
        FailoverStep::Retry {
            address: self.next_address(),
            pause,
        }
    }

    fn leader_hint(&mut self, error: &ReplicaCallError) -> Option<SocketAddrV4> {
        let ReplicaCallError::Refused(CallRefusal::NotLeader { leader }) = error else {
            return None;
        };
        self.not_leader_refusals += 1;
        leader.filter(|_| self.not_leader_refusals <= MAX_REDIRECTS)
    }

    fn pause(&self, error: &ReplicaCallError, random: &mut dyn RngCore) -> SpanMillis {
        let count = u32::try_from(self.addresses.len()).unwrap_or(u32::MAX);
        let full_rounds = self.attempts / count.max(1);
        let retry_after = match error {
            ReplicaCallError::Refused(CallRefusal::Overloaded { retry_after_millis }) => {
                *retry_after_millis
            }
            _ => 0,
        };
        if full_rounds == 0 && retry_after == 0 {
            return SpanMillis::ZERO;
        }
        let doubled = BACKOFF_MILLIS.saturating_mul(1 << full_rounds.saturating_sub(1).min(8));
        let max_pause = doubled.min(MAX_BACKOFF_MILLIS).millis().max(retry_after);
        SpanMillis::new(random.random_range(max_pause / 2..=max_pause))
    }

    fn give_up_error(&self, last: ReplicaCallError) -> ControlClientError {
        let attempts = self.attempts;
        if self.outcome_unknown {
            return ControlClientError::OutcomeUnknown { attempts, last };
        }
        match last {
            ReplicaCallError::Refused(refusal) => ControlClientError::Refused(refusal),
            last => ControlClientError::Unreachable { attempts, last },
        }
    }
}
