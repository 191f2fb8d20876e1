use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

use crate::clock::{ClockMillis, SpanMillis};

/// Time without a message after which a balancer counts as gone: five of the
/// intervals at which balancers contact every replica.
const BALANCER_RETENTION_MILLIS: SpanMillis = SpanMillis::new(10_000);

/// The balancers that a replica has heard from, whichever replica they watch.
#[derive(Debug, Default)]
pub(super) struct KnownBalancers {
    heard_at: BTreeMap<Ipv4Addr, ClockMillis>,
}

impl KnownBalancers {
    /// Records a message of a balancer.
    pub(super) fn note_heard(&mut self, balancer: Ipv4Addr, now: ClockMillis) {
        self.heard_at.insert(balancer, now);
    }

    /// Returns the balancers heard recently and forgets the others.
    pub(super) fn running(&mut self, now: ClockMillis) -> BTreeSet<Ipv4Addr> {
        self.heard_at
            .retain(|_, heard_at| now.since(*heard_at) < BALANCER_RETENTION_MILLIS);
        self.heard_at.keys().copied().collect()
    }
}
