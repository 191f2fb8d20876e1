use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

use super::{DirectoryNews, DirectoryPlace, TargetRecord, TargetStanding};
use crate::clock::{ClockMillis, SpanMillis};

/// How often an agent announces its target.
pub(crate) const ANNOUNCE_MILLIS: SpanMillis = SpanMillis::new(500);
/// The silence after which new flows avoid a target: four announcements and
/// the time that one may be late.
const SILENT_MILLIS: SpanMillis = SpanMillis::new(2_200);
/// How long a silent target may hold flows that are looked for: longer than
/// callers wait for an answer, so that afterwards nobody waits for it.
const SILENT_KEPT_MILLIS: SpanMillis = SpanMillis::new(10_000);
/// How long it is remembered that a target has ended, so that balancers know
/// its flows to be gone.
const ENDED_KEPT_MILLIS: SpanMillis = SpanMillis::new(60_000);
/// The time after which every agent that still runs has been heard.
const SETTLE_MILLIS: SpanMillis = SpanMillis::new(2_500);
/// The targets from which on a common silence is blamed on this replica.
const MASS_LEAST: usize = 4;

#[derive(Debug, Clone, Copy)]
struct DirectoryEntry {
    record: TargetRecord,
    heard_at: ClockMillis,
    /// The revision that brought the record.
    revision: u64,
}

/// The targets that one replica has heard of.
#[derive(Debug)]
pub(crate) struct TargetDirectory {
    run: u64,
    revision: u64,
    started_at: ClockMillis,
    entries: BTreeMap<Ipv4Addr, DirectoryEntry>,
    /// The revision of the last removal; older watchers need everything.
    removed_at: u64,
    /// Agents that ran before this replica started and were not heard since.
    awaited: BTreeSet<Ipv4Addr>,
    /// Whether it is known which agents ran before.
    remembers: bool,
}

impl TargetDirectory {
    /// Creates an empty directory; `run` names it.
    pub(crate) fn new(run: u64, now: ClockMillis) -> Self {
        Self {
            run,
            revision: 0,
            started_at: now,
            entries: BTreeMap::new(),
            removed_at: 0,
            awaited: BTreeSet::new(),
            remembers: false,
        }
    }

    /// Sets the agents that ran before this replica started; none if that is
    /// not known.
    pub(crate) fn await_agents(&mut self, agents: BTreeSet<Ipv4Addr>) {
        self.remembers = !agents.is_empty();
        self.awaited = agents;
        self.awaited
            .retain(|agent| !self.entries.contains_key(agent));
    }

    /// Returns the agents that run.
    pub(crate) fn running(&self) -> BTreeSet<Ipv4Addr> {
        let running = self.entries.values().filter(|entry| is_live(entry));
        running.map(|entry| entry.record.agent).collect()
    }

    /// Returns whether every agent that still runs has been heard.
    pub(crate) fn is_settled(&self, now: ClockMillis) -> bool {
        let heard_all = self.remembers && self.awaited.is_empty();
        heard_all || now.since(self.started_at) >= SETTLE_MILLIS
    }

    /// Returns the place of a watcher that has everything.
    pub(crate) fn place(&self) -> DirectoryPlace {
        DirectoryPlace {
            run: self.run,
            revision: self.revision,
        }
    }

    /// Takes an announcement; returns whether it changed the directory.
    pub(crate) fn announce(&mut self, record: TargetRecord, now: ClockMillis) -> bool {
        self.awaited.remove(&record.agent);
        let known = self.entries.get_mut(&record.agent);
        if let Some(entry) = known {
            let old = entry.record;
            if old.agent_run == record.agent_run && record.sequence <= old.sequence {
                return false;
            }
            entry.heard_at = now;
            entry.record = record;
            if old.is_like(&record) {
                return false;
            }
        }
        self.set(record, now);
        true
    }

    /// Marks agents that fell silent and drops those that stay so; returns
    /// whether that changed the directory.
    ///
    /// When most targets fall silent together they are kept: this replica is
    /// the likelier fault.
    pub(crate) fn expire(&mut self, now: ClockMillis) -> bool {
        let before = self.revision;
        let serving = self.entries.values().filter(|entry| is_live(entry)).count();
        let lapsed: Vec<TargetRecord> = self
            .entries
            .values()
            .filter(|entry| is_live(entry))
            .filter(|entry| now.since(entry.heard_at) >= SILENT_MILLIS)
            .map(|entry| entry.record)
            .collect();
        let common = serving >= MASS_LEAST && lapsed.len() * 2 > serving;
        if !common {
            for mut record in lapsed {
                record.standing = TargetStanding::Silent;
                let heard_at = self.entries[&record.agent].heard_at;
                self.set(record, heard_at);
            }
        }
        let held = self.entries.len();
        self.entries
            .retain(|_, entry| now.since(entry.heard_at) < kept_for(entry));
        if self.entries.len() < held {
            self.revision += 1;
            self.removed_at = self.revision;
        }
        self.revision != before
    }

    /// Returns what a watcher at `place` lacks.
    pub(crate) fn news(&self, place: DirectoryPlace, now: ClockMillis) -> DirectoryNews {
        let follows = place.run == self.run && place.revision >= self.removed_at;
        let seen = if follows { place.revision } else { 0 };
        let records = self
            .entries
            .values()
            .filter(|entry| !follows || entry.revision > seen)
            .map(|entry| entry.record)
            .collect();
        DirectoryNews {
            place: self.place(),
            whole: !follows,
            settled: self.is_settled(now),
            records,
        }
    }

    fn set(&mut self, record: TargetRecord, heard_at: ClockMillis) {
        self.revision += 1;
        let entry = DirectoryEntry {
            record,
            heard_at,
            revision: self.revision,
        };
        self.entries.insert(record.agent, entry);
    }
}

/// Returns the silence after which an agent's record is dropped.
fn kept_for(entry: &DirectoryEntry) -> SpanMillis {
    match entry.record.standing {
        TargetStanding::Ended => ENDED_KEPT_MILLIS,
        TargetStanding::Silent => SILENT_KEPT_MILLIS,
        // Kept against a common silence, which `expire` judges.
        TargetStanding::Warming | TargetStanding::Serving | TargetStanding::Leaving => {
            SpanMillis::new(u64::MAX)
        }
    }
}

fn is_live(entry: &DirectoryEntry) -> bool {
    !matches!(
        entry.record.standing,
        TargetStanding::Silent | TargetStanding::Ended
    )
}
