use std::collections::{HashMap, VecDeque};

use super::{AdmissionVerdict, ClientCid};
use crate::clock::{ClockMillis, SpanMillis};

/// How long a verdict applies to further first packets of the connection.
const VERDICT_TTL_MILLIS: SpanMillis = SpanMillis::new(20_000);
/// The maximum number of verdicts in the table.
const MAX_VERDICTS: usize = 8_192;

/// Verdicts on recent connections, so that every first packet of a
/// connection gets the same one.
#[derive(Debug, Default)]
pub(super) struct VerdictTable {
    verdicts: HashMap<ClientCid, AdmissionVerdict>,
    expiry_order: VecDeque<(ClockMillis, ClientCid)>,
}

impl VerdictTable {
    /// Returns the verdict on a connection unless it has expired.
    pub(super) fn find(&mut self, cid: &ClientCid, now: ClockMillis) -> Option<AdmissionVerdict> {
        self.expire(now);
        self.verdicts.get(cid).copied()
    }

    /// Stores a verdict; evicts the oldest one when the table is full.
    ///
    /// Replacing a verdict does not extend its lifetime.
    pub(super) fn insert(&mut self, cid: ClientCid, verdict: AdmissionVerdict, now: ClockMillis) {
        if self.verdicts.insert(cid, verdict).is_some() {
            return;
        }
        self.expiry_order
            .push_back((now.after(VERDICT_TTL_MILLIS), cid));
        if self.expiry_order.len() > MAX_VERDICTS {
            self.drop_oldest();
        }
    }

    /// Returns the number of verdicts in the table.
    pub(super) fn len(&self) -> usize {
        self.verdicts.len()
    }

    fn expire(&mut self, now: ClockMillis) {
        while self
            .expiry_order
            .front()
            .is_some_and(|(end, _)| *end <= now)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, cid)) = self.expiry_order.pop_front() {
            self.verdicts.remove(&cid);
        }
    }
}
