use std::collections::HashMap;

use super::WatcherBudget;
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::api::{CallRefusal, WatcherName, WatcherStatus},
    key::{DomainName, FeedRevision},
};

/// The watchers that are remembered at once.
const MOST_WATCHERS: usize = 131_072;
/// The silence after which a watcher may be forgotten.
const FORGET_MILLIS: SpanMillis = SpanMillis::new(600_000);
/// The time between two searches for silent watchers.
const SWEEP_MILLIS: SpanMillis = SpanMillis::new(10_000);

/// What is known of one watcher.
#[derive(Debug)]
struct WatcherRecord {
    domain: DomainName,
    in_force: FeedRevision,
    heard: ClockMillis,
    budget: WatcherBudget,
}

/// Who watches the feed of this replica, and how far each has come.
#[derive(Debug)]
pub(crate) struct WatcherTable {
    records: HashMap<WatcherName, WatcherRecord>,
    swept: ClockMillis,
    most: usize,
}

impl WatcherTable {
    /// Starts without watchers.
    pub(crate) fn new() -> Self {
        Self {
            records: HashMap::new(),
            swept: ClockMillis::ORIGIN,
            most: MOST_WATCHERS,
        }
    }

    /// Sets the most watchers that are remembered.
    #[cfg(test)]
    pub(crate) fn with_most(mut self, most: usize) -> Self {
        self.most = most;
        self
    }

    /// Returns the watchers that are remembered.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Notes a call of a watcher.
    ///
    /// # Errors
    ///
    /// Refuses a new watcher when too many are remembered.
    pub(crate) fn hear(
        &mut self,
        name: &WatcherName,
        domain: &DomainName,
        in_force: FeedRevision,
        now: ClockMillis,
    ) -> Result<(), CallRefusal> {
        if let Some(record) = self.records.get_mut(name) {
            record.in_force = in_force;
            record.heard = now;
            if record.domain != *domain {
                record.domain = domain.clone();
            }
            return Ok(());
        }
        if self.records.len() >= self.most {
            self.sweep(now);
        }
        if self.records.len() >= self.most {
            return Err(CallRefusal::Overloaded {
                retry_after_millis: SWEEP_MILLIS.millis(),
            });
        }
        let record = WatcherRecord {
            domain: domain.clone(),
            in_force,
            heard: now,
            budget: WatcherBudget::new(now),
        };
        self.records.insert(name.clone(), record);
        Ok(())
    }

    /// Returns how long the next reply to a watcher has to wait.
    pub(crate) fn pause(&mut self, name: &WatcherName, now: ClockMillis) -> SpanMillis {
        self.records
            .get_mut(name)
            .map_or(SpanMillis::ZERO, |record| record.budget.pause(now))
    }

    /// Counts a reply to a watcher.
    pub(crate) fn charge(&mut self, name: &WatcherName, bytes: usize, now: ClockMillis) {
        if let Some(record) = self.records.get_mut(name) {
            record.budget.charge(bytes, now);
        }
    }

    /// Returns up to `most` watchers, those that lag furthest first.
    pub(crate) fn laggards(&self, most: usize, now: ClockMillis) -> Vec<WatcherStatus> {
        let mut records: Vec<_> = self.records.iter().collect();
        records.sort_by(|(name, record), (other_name, other)| {
            let order = record.in_force.cmp(&other.in_force);
            order.then_with(|| name.cmp(other_name))
        });
        let shown = records.into_iter().take(most);
        shown
            .map(|(name, record)| WatcherStatus {
                name: name.clone(),
                domain: record.domain.clone(),
                in_force: record.in_force,
                silent_millis: now.since(record.heard).millis(),
            })
            .collect()
    }

    fn sweep(&mut self, now: ClockMillis) {
        if now.since(self.swept) < SWEEP_MILLIS {
            return;
        }
        self.swept = now;
        self.records
            .retain(|_, record| now.since(record.heard) < FORGET_MILLIS);
    }
}
