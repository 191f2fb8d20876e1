//! How an agent assesses, probes and announces its target.

use std::net::Ipv4Addr;

use super::{
    FleetEvent, SideNode,
    fleet_counters::{publish_figures, publish_gauge},
    fleet_datagram::FleetDatagram,
    side_handle::{NoticeOutcome, SideCommand, TargetNotice},
    side_node::{CHANGE_REPEATS, GROUP_LOST_MILLIS, PROBE_INTERVAL_MILLIS, REPEAT_INTERVAL_MILLIS},
    target_probe::{ProbeOutcome, TargetProbe},
    target_tracker::NoticeVerdict,
};
use crate::{
    clock::ClockMillis,
    control::{
        formation::{FormationBody, FormationMessage},
        replica::ReplicaId,
    },
    directory::{ANNOUNCE_MILLIS, TargetAttributes, TargetRecord, TargetStatus},
    event::log_event,
    key::DomainTag,
};

impl SideNode {
    /// Updates whether the target accepts flows, resets the flows that are gone,
    /// and returns the status to announce.
    pub(super) fn refresh_status(&mut self, now: ClockMillis) -> TargetStatus {
        let lifecycle = self.tracker.lifecycle();
        let incarnation = self.tracker.incarnation();
        let gone_before = self.tracker.stale_flows_before(now);
        self.flows.set_slots(self.tracker.slots());
        let resets = self
            .flows
            .set_lifecycle(lifecycle, incarnation, gone_before);
        if !resets.is_empty() {
            log_event!(info, FleetEvent::FlowsGone, target = ?lifecycle, flows = resets.len());
        }
        for reset in resets {
            self.send_reset(&reset, now);
        }
        self.flows.set_warming(self.tracker.is_warming(now));
        let suspect = self.flows.is_suspect();
        let silent = self.tracker.is_silent(self.flows.silence(now), now);
        self.flows.set_silent(silent);
        if (suspect || silent) && now >= self.probe_at {
            self.probe_target(now);
        }
        self.tracker.status(lifecycle, suspect || silent, now)
    }

    /// Probes whether anything listens at the target's address; on the same VM a
    /// connection to a target that has crashed is refused at once.
    pub(super) fn probe_target(&mut self, now: ClockMillis) {
        self.probe_at = now.after(PROBE_INTERVAL_MILLIS);
        let target = self.settings.target;
        let probes = self.probes.clone();
        tokio::spawn(async move {
            let probe = TargetProbe::run(target, now).await;
            // The receiver is gone when the process is stopping.
            let _ = probes.send(probe).await;
        });
    }

    /// Applies the result of a probe.
    pub(super) fn handle_probe_result(&mut self, probe: TargetProbe) {
        let now = self.clock.now();
        let heard_at = self.flows.heard_at();
        let verdict = self.tracker.apply_probe(probe, heard_at);
        log_event!(
            info,
            FleetEvent::TargetProbed,
            target = %self.settings.target,
            present = probe.outcome == ProbeOutcome::Present,
            heard = heard_at.is_some_and(|at| at >= probe.started_at),
            outcome = ?probe.outcome,
            ?verdict,
            delay = %now.since(probe.started_at)
        );
        self.announce_change(now);
    }

    /// Announces the target if its status or incarnation has changed.
    pub(super) fn announce_change(&mut self, now: ClockMillis) {
        let status = self.refresh_status(now);
        if self.announced != Some((status, self.tracker.incarnation())) {
            self.announce(now);
        }
        self.admit_waiting(now);
    }

    /// Announces the target to the control group, and drops idle flows.
    pub(super) fn announce(&mut self, now: ClockMillis) {
        let status = self.refresh_status(now);
        let announced = Some((status, self.tracker.incarnation()));
        let measured = self.flows.figures(now);
        if self.announced != announced {
            self.announced = announced;
            self.figures.replace(measured, now);
            self.repeats_left = CHANGE_REPEATS;
            log_event!(info, FleetEvent::TargetChanged, agent = %self.settings.fleet.address, service = %self.service, standing = ?status);
        }
        let pause = if self.repeats_left > 0 {
            self.repeats_left -= 1;
            REPEAT_INTERVAL_MILLIS
        } else if self.group.members().is_empty() {
            REPEAT_INTERVAL_MILLIS
        } else {
            ANNOUNCE_MILLIS
        };
        self.announce_at = now.after(pause);
        let contacts = self.contacts(now);
        self.announce_to(&contacts);
        self.report_no_group();
        self.tell_long_flows(now);
        self.flows.sweep(now);
        self.counters.publish();
        publish_gauge("cyclamen_side_flows", self.flows.tracked_flows());
        publish_gauge("cyclamen_side_busy", self.flows.in_flight());
        publish_gauge("cyclamen_side_waiting", self.flows.waiting());
        publish_gauge("cyclamen_side_evacuated", self.policy.evacuated.into());
        publish_gauge("cyclamen_side_suspect", self.flows.is_suspect().into());
        let (held, failed) = (self.flows.held_openings(), self.flows.failed_requests());
        publish_figures(measured, held, failed);
    }

    /// Tells some control replicas of the target's long flows.
    fn tell_long_flows(&mut self, now: ClockMillis) {
        let replicas = self.group.journal_replicas(self.settings.fleet.address);
        if replicas.is_empty() {
            return;
        }
        if let Some(list) = self.flows.take_changed_long_flows(now) {
            let datagram = FleetDatagram::LongFlows(list);
            for replica in replicas {
                self.fleet_socket.send(replica, &datagram);
            }
        }
    }

    /// Announces the measured figures of the target if they have changed enough, and
    /// logs when its pace begins to be found and is found.
    pub(super) fn announce_figures(&mut self, now: ClockMillis) {
        let measured = self.flows.figures(now);
        let finds_pace = measured.pace_window.is_some();
        if self.finds_pace != finds_pace {
            self.finds_pace = finds_pace;
            let held = self.flows.held_openings();
            match measured.pace_window {
                Some(window) => log_event!(info, FleetEvent::PaceBegun, window),
                None => {
                    log_event!(
                        info,
                        FleetEvent::PaceFound,
                        held = held.by_pace,
                        held_by_limit = held.by_cold_limit
                    );
                }
            }
        }
        if self.figures.update(measured, now) {
            log_event!(
                info,
                FleetEvent::FiguresChanged,
                speed_tenths = self.figures.speed(),
                failures_permille = self.figures.failures()
            );
            // While no member is known, the next announcement carries the figures.
            let members = self.group.members();
            self.announce_to(&members);
        }
    }

    /// Sends what was announced last, with a new sequence number.
    pub(super) fn announce_to(&mut self, replicas: &[Ipv4Addr]) {
        let Some((status, incarnation)) = self.announced else {
            return;
        };
        self.sequence += 1;
        let record = TargetRecord {
            agent: self.settings.fleet.address,
            service: self.service,
            agent_run: self.agent_run,
            sequence: self.sequence,
            incarnation,
            status,
            attributes: TargetAttributes {
                domain: Some(DomainTag::of(&self.settings.fleet.domain)),
                speed: self.figures.speed(),
                failures: self.figures.failures(),
            },
        };
        for replica in replicas {
            self.fleet_socket
                .send(*replica, &FleetDatagram::Announce(record));
        }
    }

    /// Returns the addresses to announce to: the control group, and the seeds as
    /// well while the group is unknown or silent.
    pub(super) fn contacts(&mut self, now: ClockMillis) -> Vec<Ipv4Addr> {
        let members = self.group.members();
        let lost = now.since(self.group_heard_at) >= GROUP_LOST_MILLIS;
        if lost {
            self.reread_seeds();
        }
        if members.is_empty() || lost {
            return self.group.contacts();
        }
        members
    }

    /// Tells the seeds that this process knows no group, though it has run since the first
    /// start.
    fn report_no_group(&self) {
        if !self.settings.fleet.bootstrap || !self.group.members().is_empty() {
            return;
        }
        let report = FleetDatagram::Formation(FormationMessage {
            from: ReplicaId::at(self.settings.fleet.address),
            electorate: 0,
            body: FormationBody::NoGroupKnown,
        });
        for seed in self.group.seeds() {
            self.fleet_socket.send(seed, &report);
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

    /// Handles a call of the target; it is answered once the agent has applied it.
    pub(super) fn handle_command(&mut self, command: SideCommand) {
        let now = self.clock.now();
        let (outcome, answer) = match command {
            SideCommand::Announce { notice, answer } => (self.apply_notice(&notice, now), answer),
            SideCommand::End { id, answer } => {
                let verdict = self.tracker.note_ended(&id);
                log_event!(info, FleetEvent::NoticeTaken, id, state = "ended", ?verdict);
                // Nothing is in force of a target that is not the current one.
                (NoticeOutcome::InForce, answer)
            }
        };
        self.announce_change(now);
        // A target that has disconnected calls again.
        let _ = answer.send(outcome);
    }

    fn apply_notice(&mut self, notice: &TargetNotice, now: ClockMillis) -> NoticeOutcome {
        let verdict = self.tracker.apply_notice(notice.clone(), now);
        let (id, sequence, state) = (&notice.id, notice.sequence, notice.state);
        if verdict == NoticeVerdict::Taken {
            self.note_target_heard(now);
            log_event!(info, FleetEvent::NoticeTaken, id, sequence, ?state, warm_in = %notice.warm_up_left);
            return NoticeOutcome::InForce;
        }
        let in_force = self.tracker.is_in_force(notice);
        if self.log_limiter.allows(FleetEvent::NoticeIgnored, now) {
            log_event!(
                warn,
                FleetEvent::NoticeIgnored,
                id,
                sequence,
                ?state,
                ?verdict,
                in_force
            );
        }
        match verdict {
            NoticeVerdict::Odd => NoticeOutcome::Odd,
            _ if in_force => NoticeOutcome::InForce,
            _ => NoticeOutcome::NotInForce,
        }
    }

    /// Clears the suspicion of a target that has announced itself.
    pub(super) fn note_target_heard(&mut self, now: ClockMillis) {
        if self.flows.record_announcement(now) {
            log_event!(info, FleetEvent::TargetHeard, target = %self.settings.target);
            self.announce_change(now);
        }
    }
}
