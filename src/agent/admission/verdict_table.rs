use std::collections::{HashMap, VecDeque};

use super::{AdmissionVerdict, ClientCid};
use crate::clock::{ClockMillis, SpanMillis};

/// How long a verdict holds for further first packets of a connection.
const VERDICT_MILLIS: SpanMillis = SpanMillis::new(20_000);
/// Verdicts that are remembered at most.
const MOST_VERDICTS: usize = 8_192;

/// The verdicts on recent connections, so that every first packet of one
/// connection meets the same decision.
#[derive(Debug, Default)]
pub(super) struct VerdictTable {
    verdicts: HashMap<ClientCid, AdmissionVerdict>,
    order: VecDeque<(ClockMillis, ClientCid)>,
}

impl VerdictTable {
    /// Returns the verdict on a connection, if it still holds.
    pub(super) fn find(&mut self, cid: &ClientCid, now: ClockMillis) -> Option<AdmissionVerdict> {
        self.expire(now);
        self.verdicts.get(cid).copied()
    }

    /// Remembers a verdict; the oldest one makes room.
    ///
    /// A verdict that replaces another one expires when that one would have.
    pub(super) fn remember(&mut self, cid: ClientCid, verdict: AdmissionVerdict, now: ClockMillis) {
        if self.verdicts.insert(cid, verdict).is_some() {
            return;
        }
        self.order.push_back((now.after(VERDICT_MILLIS), cid));
        if self.order.len() > MOST_VERDICTS {
            self.drop_oldest();
        }
    }

    /// Returns how many verdicts are remembered.
    pub(super) fn len(&self) -> usize {
        self.verdicts.len()
    }

    fn expire(&mut self, now: ClockMillis) {
        while self.order.front().is_some_and(|(end, _)| *end <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, cid)) = self.order.pop_front() {
            self.verdicts.remove(&cid);
        }
    }
}
