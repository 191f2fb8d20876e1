//! What an entry VM does beside forwarding: expiry, discovery, readiness, and
//! answers to operators.

use std::sync::atomic::Ordering;

use metrics::histogram;
use serde_json::json;

use super::{
    EntryNode, FleetEvent,
    entry_node::{CURRENT_MILLIS, SEEK_MILLIS, SETTINGS_MILLIS, UPKEEP_MILLIS},
    fleet_counters::publish_gauge,
    fleet_datagram::FleetDatagram,
    inspect_server::{InspectQuestion, Inspection},
};
use crate::{clock::ClockMillis, event::log_event};

impl EntryNode {
    /// Does the timed work that is due.
    pub(super) fn wake(&mut self) {
        let now = self.clock.now();
        for (flow, packet, to, header) in self.flows.expire_openings(now) {
            if self.budget.allows(FleetEvent::FlowRetried, now) {
                log_event!(warn, FleetEvent::FlowRetried, %flow, %to, hops = header.hops);
            }
            self.counters.resent += 1;
            self.forward(&packet, to, header);
        }
        if now >= self.upkeep_at {
            self.keep_up(now);
            let pause = if self.is_current(now) {
                UPKEEP_MILLIS
            } else {
                SEEK_MILLIS
            };
            self.upkeep_at = now.after(pause);
        }
    }

    /// Does the slow work: expiry, discovery, readiness, metrics.
    pub(super) fn keep_up(&mut self, now: ClockMillis) {
        if let Some(directory) = &self.directory {
            directory.change(|directory| directory.expire(now));
            if let Some(file) = &mut self.agents_file {
                if let Some(known) = file.take_read() {
                    self.recall.remember(&known, now);
                    directory.change(|directory| {
                        directory.await_agents(known.agents);
                        false
                    });
                }
                if let Some(known) = directory.settled_processes(now) {
                    file.write(known);
                }
            }
        }
        if let Some(seat) = &self.seat {
            let members = seat.members();
            let leader = seat.leader();
            if self.core.meet(members, leader) {
                log_event!(info, FleetEvent::CoreFound, members = ?self.core.members());
            }
            seat.meet_peers(&self.core.contacts());
        }
        for process in self.recall.due(now) {
            self.answer_members(process);
        }
        if !self.is_current(now) {
            self.flows.set_current(false);
            self.locate_core();
            if now >= self.settings_at {
                self.settings_at = now.after(SETTINGS_MILLIS);
                self.reread_settings();
            }
        }
        self.flows.sweep(now);
        self.update_ready();
        self.counters.publish();
        publish_gauge("cyclamen_entry_flows", self.flows.remembered());
        publish_gauge("cyclamen_entry_targets", self.view.len());
        publish_gauge("cyclamen_entry_suspects", self.flows.suspects());
        if let Some(at) = self.current_at {
            histogram!("cyclamen_entry_control_age_ms").record(now.since(at).millis_float());
        }
    }

    /// Answers an operator's question.
    pub(super) fn answer_inspection(&self, inspection: Inspection) {
        let now = self.clock.now();
        let reply = match inspection.question {
            InspectQuestion::Dump => json!({
                "role": "entry",
                "name": self.settings.name,
                "domain": self.settings.domain,
                "routes_version": self.flows.table().version(),
                "control_age_ms": self.current_at.map(|at| now.since(at)),
                "members": self.core.members(),
                "leader": self.core.leader(),
                "leaving": self.leaving,
                "targets": self.view.records().collect::<Vec<_>>(),
                "flows": self.flows.remembered(),
                "suspects": self.flows.suspects(),
                "packets": self.counters,
            }),
            InspectQuestion::Flow(flow) => json!({
                "role": "entry",
                "name": self.settings.name,
                "routes_version": self.flows.table().version(),
                "flow": self.flows.find(flow, now),
            }),
        };
        // An operator that went away needs no answer.
        let _ = inspection.answer.send(reply);
    }

    /// Returns whether a replica that hears a leader was heard lately.
    pub(super) fn is_current(&self, now: ClockMillis) -> bool {
        self.current_at
            .is_some_and(|at| now.since(at) < CURRENT_MILLIS)
    }

    /// Asks every contact for the members of the control group.
    pub(super) fn locate_core(&self) {
        for contact in self.core.contacts() {
            if contact != self.settings.address {
                self.fleet.send(contact, &FleetDatagram::Locate);
            }
        }
    }

    /// Reads the seeds again.
    pub(super) fn reread_settings(&mut self) {
        if let Some(seeds) = self.source.seeds()
            && self.core.set_seeds(seeds.clone())
        {
            log_event!(info, FleetEvent::SettingsReread, ?seeds);
        }
    }

    /// Decides anew whether the network should send packets here.
    pub(super) fn update_ready(&mut self) {
        // Cut off from control and agents alike, other balancers serve better.
        let cut_off = self.control_lost && self.flows.is_isolated();
        let ready = !self.leaving && !cut_off && self.flows.is_ready();
        if ready != self.ready.swap(ready, Ordering::Relaxed) {
            let version = self.flows.table().version();
            let targets = self.view.len();
            log_event!(
                info,
                FleetEvent::EntryReady,
                ready,
                version,
                targets,
                cut_off
            );
        }
    }
}
