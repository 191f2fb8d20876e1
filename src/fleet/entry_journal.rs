//! The journal of long flows at a control replica.

use std::{net::Ipv4Addr, path::Path};

use super::{
    EntryNode, FleetEvent,
    fleet_counters::publish_gauge,
    hint_file::{HintEvents, HintFile},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    event::log_event,
    flow::{FlowJournal, LongFlowList, ResetCause},
    key::IncarnationId,
};

/// The name of the journal's file within the data folder.
const FILE_NAME: &str = "long-flows";
const FILE_EVENTS: HintEvents = HintEvents {
    unread: FleetEvent::LongFlowsUnread,
    unwritten: FleetEvent::LongFlowsUnwritten,
};
/// How often the journal is written to disk if it has changed.
const WRITE_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// The journal of a replica with its file.
#[derive(Debug)]
pub(super) struct JournalFile {
    journal: FlowJournal,
    file: HintFile<Vec<LongFlowList>>,
    write_at: ClockMillis,
}

impl JournalFile {
    /// Opens the file in the data folder; it is read in the background.
    pub(super) fn open(folder: &Path, now: ClockMillis) -> Self {
        Self {
            journal: FlowJournal::default(),
            file: HintFile::open(folder.join(FILE_NAME), FILE_EVENTS),
            write_at: now.after(WRITE_INTERVAL_MILLIS),
        }
    }
}

impl EntryNode {
    /// Records the long flows that an agent tells of.
    pub(super) fn record_long_flows(&mut self, list: &LongFlowList, now: ClockMillis) {
        if let (Some(file), Some(directory)) = (&mut self.journal_file, &self.directory) {
            let announced = directory.incarnation_of(list.agent);
            file.journal.record(list.clone(), announced, now);
        }
    }

    /// Resets the long flows of a target that runs as another incarnation now.
    pub(super) fn reset_dead_flows(&mut self, agent: Ipv4Addr, incarnation: Option<IncarnationId>) {
        let Some(file) = &mut self.journal_file else {
            return;
        };
        let held_by = file.journal.incarnation_of(agent);
        let resets = file.journal.take_dead(agent, incarnation);
        if resets.is_empty() {
            return;
        }
        log_event!(info, FleetEvent::LongFlowsReset, %agent, flows = resets.len());
        let now = self.clock.now();
        for reset in resets {
            self.counters.ended += 1;
            self.counters.resets.record(ResetCause::OtherIncarnation);
            if self.log_limiter.allows(FleetEvent::FlowReset, now) {
                log_event!(
                    info,
                    FleetEvent::FlowReset,
                    flow = %reset.flow,
                    cause = ResetCause::OtherIncarnation.label(),
                    %agent,
                    incarnation = held_by.map(display),
                    other = incarnation.map(display),
                    running_ms = now.millis()
                );
            }
            let answer = self.codec.encode_reset(&reset);
            self.send_to_caller(*reset.flow.caller.ip(), &answer);
        }
    }

    /// Reads the journal once after the start, and writes it when it has changed.
    pub(super) fn maintain_journal(&mut self, now: ClockMillis) {
        let Some(file) = &mut self.journal_file else {
            return;
        };
        if let Some(lists) = file.file.poll_loaded() {
            file.journal.restore(lists, now);
            let running = self.directory.as_ref().map_or_else(Vec::new, |directory| {
                directory.with_directory(|directory| directory.incarnations())
            });
            for (agent, incarnation) in running {
                self.reset_dead_flows(agent, incarnation);
            }
        }
        let Some(file) = &mut self.journal_file else {
            return;
        };
        if now >= file.write_at {
            file.write_at = now.after(WRITE_INTERVAL_MILLIS);
            file.journal.sweep(now);
            file.file.write(file.journal.lists());
            publish_gauge("cyclamen_entry_long_flows", file.journal.len());
        }
    }
}
