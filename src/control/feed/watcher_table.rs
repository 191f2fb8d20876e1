use std::collections::HashMap;

use super::WatcherBudget;
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::api::{CallRefusal, WatcherName, WatcherStatus},
    key::{FailureDomain, FeedRevision},
};

/// The maximum number of watchers.
const MAX_WATCHERS: usize = 131_072;
/// The time since its last call after which a watcher may be evicted.
const EVICT_AFTER_MILLIS: SpanMillis = SpanMillis::new(600_000);
/// The minimum time between two searches for watchers to evict.
const EVICTION_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(10_000);

/// The state of one watcher.
#[derive(Debug)]
struct WatcherRecord {
    domain: FailureDomain,
    in_force: FeedRevision,
    last_call_at: ClockMillis,
    budget: WatcherBudget,
}

/// The watchers of this replica's feed, with their revisions and byte budgets.
#[derive(Debug)]
pub(crate) struct WatcherTable {
    records: HashMap<WatcherName, WatcherRecord>,
    last_eviction_at: ClockMillis,
    max_watchers: usize,
}

impl WatcherTable {
    /// Creates an empty table.
    pub(crate) fn new() -> Self {
        Self {
            records: HashMap::new(),
            last_eviction_at: ClockMillis::ORIGIN,
            max_watchers: MAX_WATCHERS,
        }
    }

    /// Sets the maximum number of watchers.
    #[cfg(test)]
    pub(crate) fn with_max_watchers(mut self, max_watchers: usize) -> Self {
        self.max_watchers = max_watchers;
        self
    }

    /// Returns the number of watchers.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Records a call of a watcher.
    ///
    /// # Errors
    ///
    /// Refuses a new watcher when the table is full.
    pub(crate) fn record_call(
        &mut self,
        name: &WatcherName,
        domain: &FailureDomain,
        in_force: FeedRevision,
        now: ClockMillis,
    ) -> Result<(), CallRefusal> {
        if let Some(record) = self.records.get_mut(name) {
            record.in_force = in_force;
            record.last_call_at = now;
            if record.domain != *domain {
                record.domain = domain.clone();
            }
            return Ok(());
        }
        if self.records.len() >= self.max_watchers {
            self.evict_silent(now);
        }
        if self.records.len() >= self.max_watchers {
            return Err(CallRefusal::Overloaded {
                retry_after_millis: EVICTION_INTERVAL_MILLIS.millis(),
            });
        }
        let record = WatcherRecord {
            domain: domain.clone(),
            in_force,
            last_call_at: now,
            budget: WatcherBudget::new(now),
        };
        self.records.insert(name.clone(), record);
        Ok(())
    }

    /// Returns how long the next reply to a watcher must wait for its budget.
    pub(crate) fn reply_delay(&mut self, name: &WatcherName, now: ClockMillis) -> SpanMillis {
        self.records
            .get_mut(name)
            .map_or(SpanMillis::ZERO, |record| record.budget.reply_delay(now))
    }

    /// Charges a reply to the budget of a watcher.
    pub(crate) fn charge(&mut self, name: &WatcherName, bytes: usize, now: ClockMillis) {
        if let Some(record) = self.records.get_mut(name) {
            record.budget.charge(bytes, now);
        }
    }

    /// Returns up to `limit` watchers, lowest revision first.
    pub(crate) fn laggards(&self, limit: usize, now: ClockMillis) -> Vec<WatcherStatus> {
        let mut records: Vec<_> = self.records.iter().collect();
        records.sort_by(|(name, record), (other_name, other)| {
            let order = record.in_force.cmp(&other.in_force);
            order.then_with(|| name.cmp(other_name))
        });
        let laggards = records.into_iter().take(limit);
        laggards
            .map(|(name, record)| WatcherStatus {
                name: name.clone(),
                domain: record.domain.clone(),
                in_force: record.in_force,
                silent_millis: now.since(record.last_call_at).millis(),
            })
            .collect()
    }

    fn evict_silent(&mut self, now: ClockMillis) {
        if now.since(self.last_eviction_at) < EVICTION_INTERVAL_MILLIS {
            return;
        }
        self.last_eviction_at = now;
        self.records
            .retain(|_, record| now.since(record.last_call_at) < EVICT_AFTER_MILLIS);
    }
}
