use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

use super::{
    DirectoryPosition, DirectoryUpdate, EvacuatedDomains, EvacuationUpdate, TargetRecord,
    TargetStatus,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    key::IncarnationId,
    listener::EvacuationSet,
    sequence::{SequenceGuard, SequenceVerdict},
};

/// How often an agent announces its target.
pub(crate) const ANNOUNCE_MILLIS: SpanMillis = SpanMillis::new(500);
/// Silence after which new flows avoid a target: four announcement intervals plus
/// a margin for a late announcement.
const SILENCE_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(2_200);
/// How long after its last announcement a silent target is kept, since it may hold
/// flows: longer than callers wait for an answer, so that no caller waits for it
/// afterwards.
const SILENT_RETENTION_MILLIS: SpanMillis = SpanMillis::new(10_000);
/// How long the record of an ended target is kept, so that balancers know that its
/// flows are lost.
const ENDED_RETENTION_MILLIS: SpanMillis = SpanMillis::new(60_000);
/// Time after its start at which a replica has heard from every running agent.
const SETTLE_MILLIS: SpanMillis = SpanMillis::new(2_500);
/// Time after its start at which it has heard from agents that are not in its file: one
/// announcement interval plus a margin for a late announcement.
const UNEXPECTED_MILLIS: SpanMillis = SpanMillis::new(600);
/// How long announcements of an agent's earlier run are ignored after a newer run
/// was heard: longer than a datagram may be delayed.
const EARLIER_RUN_MILLIS: SpanMillis = SpanMillis::new(5_000);
/// How long announcements that look older than the newest one must go on, with none newer,
/// until they are believed: the number of that one was wrong.
const SEQUENCE_PATIENCE_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// Minimum number of live targets for the mass-silence check in `expire`.
const MASS_SILENCE_MIN_TARGETS: usize = 4;

#[derive(Debug, Clone, Copy)]
struct DirectoryEntry {
    record: TargetRecord,
    last_heard_at: ClockMillis,
    /// Whether the agent has announced itself to this replica, or another replica told of
    /// it.
    heard: bool,
    /// The announcements of the agent's current run.
    sequence: SequenceGuard,
    /// The revision that added or last changed the record.
    revision: u64,
    /// The agent's run before the current one.
    earlier_run: Option<EarlierRun>,
}

/// A run of an agent that a newer one replaced.
#[derive(Debug, Clone, Copy)]
struct EarlierRun {
    agent_run: u64,
    replaced_at: ClockMillis,
}

impl DirectoryEntry {
    /// Returns whether an announcement is of an earlier run, or older than one
    /// heard before.
    fn is_late(&mut self, record: &TargetRecord, now: ClockMillis) -> bool {
        if self.record.agent_run == record.agent_run {
            let verdict = self
                .sequence
                .judge(record.sequence, SEQUENCE_PATIENCE_MILLIS, now);
            return verdict != SequenceVerdict::Newest;
        }
        self.earlier_run.is_some_and(|earlier_run| {
            earlier_run.agent_run == record.agent_run
                && now.since(earlier_run.replaced_at) < EARLIER_RUN_MILLIS
        })
    }
}

/// The targets that have announced themselves to one replica.
#[derive(Debug)]
pub(crate) struct TargetDirectory {
    run: u64,
    revision: u64,
    started_at: ClockMillis,
    entries: BTreeMap<Ipv4Addr, DirectoryEntry>,
    /// The revision of the last removal; watchers behind it need the full directory.
    last_removal: u64,
    /// Agents that ran before this replica started and have not announced since.
    expected: BTreeSet<Ipv4Addr>,
    /// Whether the agents that ran before this replica started are known.
    knows_previous_agents: bool,
    /// Whether the records of a settled directory were copied.
    copied: bool,
    /// Whether a revision told watchers that the directory has settled.
    settled_published: bool,
    /// The domains whose targets are shown as leaving.
    evacuated: EvacuatedDomains,
}

impl TargetDirectory {
    /// Creates an empty directory; `run` identifies it.
    pub(crate) fn new(run: u64, now: ClockMillis) -> Self {
        Self {
            run,
            revision: 0,
            started_at: now,
            entries: BTreeMap::new(),
            last_removal: 0,
            expected: BTreeSet::new(),
            knows_previous_agents: false,
            copied: false,
            settled_published: false,
            evacuated: EvacuatedDomains::default(),
        }
    }

    /// Sets the agents that ran before this replica started; an empty set if they
    /// are unknown.
    pub(crate) fn expect_agents(&mut self, agents: BTreeSet<Ipv4Addr>) {
        self.knows_previous_agents = !agents.is_empty();
        self.expected = agents;
        self.expected
            .retain(|agent| !self.entries.contains_key(agent));
    }

    /// Adds what another replica knows of agents that this one has not heard, if that
    /// replica's directory has settled; returns whether it was copied.
    ///
    /// Agents that have started since this replica stopped are in no list of its own.
    pub(crate) fn copy_settled(&mut self, mut update: DirectoryUpdate, now: ClockMillis) -> bool {
        if !update.full || !update.settled {
            return false;
        }
        update.unmask();
        for record in update.records {
            if record.is_possible() && !self.entries.contains_key(&record.agent) {
                self.set(record, None, now);
                if let Some(entry) = self.entries.get_mut(&record.agent) {
                    entry.heard = false;
                }
            }
        }
        self.copied = true;
        self.publish_settled(now);
        true
    }

    /// Returns the agents whose targets are neither silent nor ended.
    pub(crate) fn running(&self) -> BTreeSet<Ipv4Addr> {
        let running = self.entries.values().filter(|entry| is_live(entry));
        running.map(|entry| entry.record.agent).collect()
    }

    /// Returns the incarnation of an agent's target as the agent announced it to this
    /// replica.
    pub(crate) fn incarnation_of(&self, agent: Ipv4Addr) -> Option<IncarnationId> {
        let entry = self.entries.get(&agent).filter(|entry| entry.heard)?;
        entry.record.incarnation
    }

    /// Returns every agent that this replica has heard, with the incarnation of its target.
    pub(crate) fn incarnations(&self) -> Vec<(Ipv4Addr, Option<IncarnationId>)> {
        let entries = self.entries.values().filter(|entry| entry.heard);
        entries
            .map(|entry| (entry.record.agent, entry.record.incarnation))
            .collect()
    }

    /// Sets the evacuated domains; returns whether that changed the directory.
    ///
    /// A change starts a new revision, in which watchers get the records that are
    /// masked or unmasked by it.
    pub(crate) fn set_evacuations(&mut self, set: &EvacuationSet) -> bool {
        if set.revision() == self.evacuated.revision {
            return false;
        }
        let previous = std::mem::replace(&mut self.evacuated, EvacuatedDomains::of(set));
        self.revision += 1;
        for entry in self.entries.values_mut() {
            if previous.masks(&entry.record) != self.evacuated.masks(&entry.record) {
                entry.revision = self.revision;
            }
        }
        true
    }

    /// Returns whether every running agent has announced its target.
    pub(crate) fn is_settled(&self, now: ClockMillis) -> bool {
        let age = now.since(self.started_at);
        let heard_expected = self.knows_previous_agents && self.expected.is_empty();
        self.copied || (heard_expected && age >= UNEXPECTED_MILLIS) || age >= SETTLE_MILLIS
    }

    /// Returns the position of a watcher that is up to date.
    pub(crate) fn position(&self) -> DirectoryPosition {
        DirectoryPosition {
            run: self.run,
            revision: self.revision,
        }
    }

    /// Records an announcement; returns whether it changed the directory.
    pub(crate) fn announce(&mut self, record: TargetRecord, now: ClockMillis) -> bool {
        if !record.is_possible() {
            return false;
        }
        self.expected.remove(&record.agent);
        let changed = self.apply_announcement(record, now);
        self.publish_settled(now) || changed
    }

    fn apply_announcement(&mut self, mut record: TargetRecord, now: ClockMillis) -> bool {
        let mut earlier_run = None;
        if let Some(entry) = self.entries.get_mut(&record.agent) {
            if entry.is_late(&record, now) {
                return false;
            }
            let old = entry.record;
            if old.agent_run != record.agent_run {
                entry.earlier_run = Some(EarlierRun {
                    agent_run: old.agent_run,
                    replaced_at: now,
                });
                entry.sequence = SequenceGuard::new(record.sequence);
            }
            record = record.after_restart_of(&old);
            record.attributes = record.attributes.keeping_close_figures(&old.attributes);
            entry.last_heard_at = now;
            entry.heard = true;
            entry.record = record;
            earlier_run = entry.earlier_run;
            if old.has_same_state(&record) {
                return false;
            }
        }
        self.set(record, earlier_run, now);
        true
    }

    /// Starts a new revision once the directory has settled, so that watchers learn
    /// of it; returns whether it did.
    fn publish_settled(&mut self, now: ClockMillis) -> bool {
        let publish = !self.settled_published && self.is_settled(now);
        if publish {
            self.settled_published = true;
            self.revision += 1;
        }
        publish
    }

    /// Marks targets as silent whose agents stopped announcing and drops expired
    /// records; returns whether that changed the directory.
    ///
    /// If more than half of the live targets fall silent at once, none is marked:
    /// a fault of this replica is more likely.
    pub(crate) fn expire(&mut self, now: ClockMillis) -> bool {
        let revision_before = self.revision;
        let live = self.entries.values().filter(|entry| is_live(entry)).count();
        let silent: Vec<TargetRecord> = self
            .entries
            .values()
            .filter(|entry| is_live(entry))
            .filter(|entry| now.since(entry.last_heard_at) >= SILENCE_TIMEOUT_MILLIS)
            .map(|entry| entry.record)
            .collect();
        let mass_silence = live >= MASS_SILENCE_MIN_TARGETS && silent.len() * 2 > live;
        if !mass_silence {
            for mut record in silent {
                record.status = TargetStatus::Silent;
                let entry = self.entries[&record.agent];
                self.set(record, entry.earlier_run, entry.last_heard_at);
            }
        }
        let count_before = self.entries.len();
        self.entries
            .retain(|_, entry| now.since(entry.last_heard_at) < retention(entry));
        if self.entries.len() < count_before {
            self.revision += 1;
            self.last_removal = self.revision;
        }
        self.publish_settled(now);
        self.revision != revision_before
    }

    /// Returns the changes since `position`, or the full directory if `position` is of
    /// another run or before the last removal.
    pub(crate) fn changes_since(
        &self,
        position: DirectoryPosition,
        now: ClockMillis,
    ) -> DirectoryUpdate {
        let is_delta = position.run == self.run && position.revision >= self.last_removal;
        let seen = if is_delta { position.revision } else { 0 };
        let records = self
            .entries
            .values()
            .filter(|entry| !is_delta || entry.revision > seen)
            .map(|entry| entry.record)
            .collect();
        let mut update = DirectoryUpdate {
            position: self.position(),
            full: !is_delta,
            settled: self.is_settled(now),
            records,
            evacuation: EvacuationUpdate::default(),
        };
        update.mask(&self.evacuated);
        update
    }

    fn set(
        &mut self,
        record: TargetRecord,
        earlier_run: Option<EarlierRun>,
        last_heard_at: ClockMillis,
    ) {
        self.revision += 1;
        let known = self.entries.get(&record.agent);
        let entry = DirectoryEntry {
            record,
            last_heard_at,
            heard: known.is_none_or(|known| known.heard),
            sequence: known.map_or(SequenceGuard::new(record.sequence), |known| known.sequence),
            revision: self.revision,
            earlier_run,
        };
        self.entries.insert(record.agent, entry);
    }
}

/// Returns the time since the last announcement after which a record is dropped.
fn retention(entry: &DirectoryEntry) -> SpanMillis {
    match entry.record.status {
        TargetStatus::Ended => ENDED_RETENTION_MILLIS,
        TargetStatus::Silent => SILENT_RETENTION_MILLIS,
        // Never dropped before `expire` marks them as silent.
        TargetStatus::Warming | TargetStatus::Serving | TargetStatus::Leaving => {
            SpanMillis::new(u64::MAX)
        }
    }
}

fn is_live(entry: &DirectoryEntry) -> bool {
    !matches!(
        entry.record.status,
        TargetStatus::Silent | TargetStatus::Ended
    )
}
