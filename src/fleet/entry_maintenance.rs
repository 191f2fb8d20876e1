//! The work of an entry VM besides forwarding: expiry, discovery, readiness, and
//! inspections.

use std::{net::Ipv4Addr, sync::atomic::Ordering};

use metrics::histogram;
use serde_json::json;

use super::{
    EntryNode, FleetEvent,
    entry_node::{
        CONTACT_INTERVAL_MILLIS, DISCOVERY_INTERVAL_MILLIS, MAINTENANCE_INTERVAL_MILLIS,
        MAX_CONTROL_AGE_MILLIS, RECALLS_PER_TURN, SEED_NOTICE_MILLIS,
        SEED_NOTICE_MILLIS_PER_TARGET, SEEDS_REREAD_MILLIS,
    },
    fleet_counters::publish_gauge,
    fleet_datagram::FleetDatagram,
    inspect_server::{InspectRequest, Inspection},
};
use crate::{clock::ClockMillis, event::log_event, key::DomainTag};

impl EntryNode {
    /// Runs the timed work that is due.
    pub(super) fn run_due_work(&mut self) {
        let now = self.clock.now();
        for (flow, packet, to, header) in self.flows.expire_openings(now) {
            if self.log_limiter.allows(FleetEvent::FlowRetried, now) {
                log_event!(warn, FleetEvent::FlowRetried, %flow, %to, hops = header.hops);
            }
            self.counters.resent += 1;
            self.forward(&packet, to, header);
        }
        self.end_waits();
        for lookup in self.flows.expire_lookups(now) {
            self.counters.widened += 1;
            if self.log_limiter.allows(FleetEvent::LookupWidened, now) {
                log_event!(warn, FleetEvent::LookupWidened, flow = %lookup.flow, agents = lookup.hops.len(), asked = lookup.progress.asked, unanswered = lookup.progress.unanswered, rounds = lookup.progress.rounds, unknown_for = %lookup.progress.unknown_for);
            }
            for (to, header) in lookup.hops {
                self.forward(&lookup.packet, to, header);
            }
        }
        for action in self.flows.expire_ended_rounds(now) {
            self.apply_report_action(action, now);
        }
        self.update_targets(now);
        if now >= self.maintenance_at {
            self.run_maintenance(now);
            let pause = if self.is_control_fresh(now) {
                MAINTENANCE_INTERVAL_MILLIS
            } else {
                DISCOVERY_INTERVAL_MILLIS
            };
            self.maintenance_at = now.after(pause);
        }
    }

    /// Updates the weights of the targets if they are due, and passes what changed
    /// to the flow decisions.
    pub(super) fn update_targets(&mut self, now: ClockMillis) {
        for change in self.view.update_weights(now) {
            let (agent, failures) = (change.agent, change.failures);
            if change.set_aside && self.log_limiter.allows(FleetEvent::TargetSetAside, now) {
                log_event!(warn, FleetEvent::TargetSetAside, %agent, service = %change.service, failures);
            }
            if !change.set_aside && self.log_limiter.allows(FleetEvent::TargetTakenBack, now) {
                log_event!(info, FleetEvent::TargetTakenBack, %agent, service = %change.service, failures);
            }
        }
        if let Some(targets) = self.view.take_known_targets() {
            self.flows.set_targets(targets);
        }
    }

    /// Runs expiry, discovery, readiness and metrics.
    pub(super) fn run_maintenance(&mut self, now: ClockMillis) {
        if let Some(directory) = &self.directory {
            directory.update(|directory| directory.expire(now));
            if let Some(file) = &mut self.process_file {
                if let Some(known) = file.poll_loaded() {
                    self.restart_notifier.start(&known, now);
                    directory.expect_balancers(&known.balancers, now);
                    directory.update(|directory| {
                        directory.expect_agents(known.agents);
                        false
                    });
                }
                if let Some(known) = directory.settled_processes(now) {
                    file.write(known);
                }
            }
        }
        if let Some(replica) = self.replica.get() {
            let members = replica.members();
            self.group
                .set_leader(replica.leader(), self.settings.address);
            if self.group.update_members(members) {
                log_event!(info, FleetEvent::CoreFound, members = ?self.group.members());
            }
            replica.update_peers(&self.group.contacts());
        }
        self.maintain_formation(now);
        self.maintain_journal(now);
        self.recall_processes(now);
        if now >= self.contact_at {
            self.contact_at = now.after(CONTACT_INTERVAL_MILLIS);
            self.contact(&self.group.members());
        }
        if !self.is_control_fresh(now) {
            self.flows.set_current(false);
            self.contact(&self.group.contacts());
            if now >= self.seeds_reread_at {
                self.seeds_reread_at = now.after(SEEDS_REREAD_MILLIS);
                self.reread_seeds();
            }
        }
        if now >= self.seed_notice_at {
            self.notify_next_seed(now);
        }
        if !self.seeds_notified && !self.group.members().is_empty() {
            self.seeds_notified = true;
            self.notify_seeds(&self.group.seeds());
        }
        self.flows.sweep(now);
        self.update_ready();
        self.counters.publish();
        publish_gauge("cyclamen_entry_flows", self.flows.cached_owners());
        publish_gauge("cyclamen_entry_large_requests", self.flows.link_load().0);
        publish_gauge("cyclamen_entry_targets", self.view.len());
        publish_gauge("cyclamen_entry_suspects", self.flows.suspects());
        publish_gauge(
            "cyclamen_entry_targets_set_aside",
            self.view.set_aside().count(),
        );
        publish_gauge(
            "cyclamen_entry_evacuated_domains",
            self.view.evacuated().domains.len(),
        );
        if let Some(at) = self.control_heard_at {
            histogram!("cyclamen_entry_control_age_ms").record(now.since(at).millis_float());
        }
    }

    /// Answers an inspection by an operator.
    pub(super) fn answer_inspection(&self, inspection: Inspection) {
        let now = self.clock.now();
        let reply = match inspection.request {
            InspectRequest::Dump => json!({
                "role": "entry",
                "name": self.settings.name,
                "domain": self.settings.domain,
                "routes_version": self.flows.table().version(),
                "control_age_ms": self.control_heard_at.map(|at| now.since(at)),
                "members": self.group.members(),
                "leader": self.group.leader(),
                "leaving": self.stopping,
                "evacuated_domains": self.evacuated_domains(),
                "evacuations_revision": self.view.evacuated().revision,
                "targets": self.view.records().collect::<Vec<_>>(),
                "weights": self.view.weight_infos().collect::<Vec<_>>(),
                "flows": self.flows.cached_owners(),
                "suspects": self.flows.suspects(),
                "packets": self.counters,
            }),
            InspectRequest::Flow(flow) => json!({
                "role": "entry",
                "name": self.settings.name,
                "routes_version": self.flows.table().version(),
                "flow": self.flows.find(flow, now),
            }),
        };
        // The operator may have disconnected.
        let _ = inspection.reply_to.send(reply);
    }

    /// Returns the names of the evacuated domains; a domain that the settings do not
    /// name is shown by its tag.
    pub(super) fn evacuated_domains(&self) -> Vec<String> {
        let tags = self.view.evacuated().domains.iter();
        tags.map(|tag| {
            let mut names = self.settings.domains.iter();
            names
                .find(|name| DomainTag::of(name) == *tag)
                .map_or_else(|| tag.to_string(), Clone::clone)
        })
        .collect()
    }

    /// Returns whether a caught-up replica answered within
    /// `MAX_CONTROL_AGE_MILLIS`.
    pub(super) fn is_control_fresh(&self, now: ClockMillis) -> bool {
        self.control_heard_at
            .is_some_and(|at| now.since(at) < MAX_CONTROL_AGE_MILLIS)
    }

    /// Asks other entry VMs for the members of the control group.
    fn contact(&self, contacts: &[Ipv4Addr]) {
        for contact in contacts {
            if *contact != self.settings.address {
                self.fleet_socket.send(*contact, &FleetDatagram::Locate);
            }
        }
    }

    /// Asks the processes that ran before this replica started to contact it.
    fn recall_processes(&mut self, now: ClockMillis) {
        let members = self.group.members();
        if members.is_empty() {
            return;
        }
        let sender = Some(self.settings.address);
        let recall = FleetDatagram::Recall { members, sender };
        for process in self.restart_notifier.recipients(now) {
            if process != self.settings.address {
                self.fleet_socket.send(process, &recall);
            }
        }
        let Some(directory) = &self.directory else {
            return;
        };
        for balancer in directory.take_recalls(RECALLS_PER_TURN, now) {
            if balancer != self.settings.address {
                self.fleet_socket.send(balancer, &recall);
                if self.log_limiter.allows(FleetEvent::BalancerRecalled, now) {
                    log_event!(info, FleetEvent::BalancerRecalled, %balancer);
                }
            }
        }
    }

    /// Tells one seed in turn of the control group: it may have restarted beside seeds
    /// that know none, and processes that start know only the seeds.
    fn notify_next_seed(&mut self, now: ClockMillis) {
        let targets = u64::try_from(self.view.len()).unwrap_or(u64::MAX);
        let pause = SEED_NOTICE_MILLIS
            .saturating_add(SEED_NOTICE_MILLIS_PER_TARGET.saturating_mul(targets));
        self.seed_notice_at = now.after(pause);
        self.reread_seeds();
        let seeds = self.group.seeds();
        self.seed_notices = self.seed_notices.wrapping_add(1);
        if let Some(seed) = seeds.get(self.seed_notices % seeds.len().max(1)) {
            self.notify_seeds(&[*seed]);
        }
    }

    /// Tells seeds of the control group, if any is known.
    fn notify_seeds(&self, seeds: &[Ipv4Addr]) {
        let members = self.group.members();
        for seed in seeds {
            if *seed != self.settings.address && !members.contains(seed) {
                self.send_members(*seed);
            }
        }
    }

    /// Rereads the seeds from the settings.
    pub(super) fn reread_seeds(&mut self) {
        if let Some(seeds) = self.settings_source.seeds()
            && self.group.set_seeds(seeds.clone())
        {
            log_event!(info, FleetEvent::SettingsReread, ?seeds);
        }
    }

    /// Re-evaluates whether the network should send packets here.
    pub(super) fn update_ready(&mut self) {
        // Other balancers serve better than one that reaches neither control nor
        // agents.
        let cut_off = self.control_lost && self.flows.is_isolated();
        let ready = !self.stopping && !cut_off && self.flows.is_ready();
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
