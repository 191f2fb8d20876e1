//! The packet path of an entry VM.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use metrics::histogram;

use super::{
    EntryNode, FleetEvent,
    entry_node::{MAX_PACKET_BYTES, PACKETS_PER_TURN},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    event::log_event,
    flow::{
        FlowPacket, FlowReport, FlowReset, FlowVerdict, HopHeader, RefusalCause, ReportAction,
        ReportKind, ResetCause,
    },
};

/// What a balancer knows of routes and targets, for log lines on resets.
#[derive(Debug, Clone, Copy)]
struct ControlKnowledge {
    /// Whether the directory has heard every running agent.
    complete: bool,
    /// Whether routes and targets are current.
    current: bool,
    /// The replica whose directory was last applied.
    replica: Option<Ipv4Addr>,
    /// The run of that replica.
    run: Option<u64>,
    /// The last revision of that run.
    revision: Option<u64>,
    /// The time since a caught-up replica last answered.
    control_age_ms: Option<u64>,
}

impl EntryNode {
    /// Returns what this balancer knows of routes and targets.
    fn knowledge(&self, now: ClockMillis) -> ControlKnowledge {
        let source = self.directory_source;
        ControlKnowledge {
            complete: self.flows.knows_all_targets(),
            current: self.flows.is_current(),
            replica: source.map(|(replica, _)| replica),
            run: source.map(|(_, position)| position.run),
            revision: source.map(|(_, position)| position.revision),
            control_age_ms: self.control_heard_at.map(|at| now.since(at).millis()),
        }
    }

    /// Handles the packets that have arrived, at most `PACKETS_PER_TURN`.
    pub(super) fn receive_packets(&mut self) {
        let mut buffer = [0; MAX_PACKET_BYTES];
        for _ in 0..PACKETS_PER_TURN {
            match self.packet_socket.try_recv_from(&mut buffer) {
                Ok((length, _)) => self.handle_packet(&buffer[..length]),
                Err(_) => break,
            }
        }
        self.end_waits();
    }

    /// Forwards or refuses the openings whose wait for this VM's link has ended.
    pub(super) fn end_waits(&mut self) {
        let now = self.clock.now();
        while let Some(ended) = self.flows.take_ended_wait(now) {
            histogram!("cyclamen_entry_link_wait_ms").record(ended.waited.millis_float());
            if ended.admitted {
                self.dispatch_packet(&ended.packet, ended.waited);
                continue;
            }
            self.counters.refused += 1;
            self.counters.link_refused += 1;
            let cause = ResetCause::Refused(RefusalCause::LinkFull);
            self.counters.resets.record(cause);
            let reset = FlowReset {
                flow: ended.flow,
                sequence: 0,
            };
            let answer = self.codec.encode_reset(&reset);
            self.send_to_caller(*reset.flow.caller.ip(), &answer);
            if self.log_limiter.allows(FleetEvent::LinkRefused, now) {
                let (under_way, waiting) = self.flows.link_load();
                log_event!(info, FleetEvent::LinkRefused, flow = %ended.flow, cause = cause.label(), waited = %ended.waited, under_way, waiting);
            }
        }
    }

    /// Counts and dispatches a packet of a caller.
    pub(super) fn handle_packet(&mut self, bytes: &[u8]) {
        self.counters.received += 1;
        self.dispatch_packet(bytes, SpanMillis::ZERO);
    }

    /// Forwards, refuses or parks one packet, which arrived `parked_for` ago.
    fn dispatch_packet(&mut self, bytes: &[u8], parked_for: SpanMillis) {
        let now = self.clock.now();
        let mut packet = match self.codec.decode(bytes) {
            Ok(packet) => packet,
            Err(error) => {
                self.counters.undecodable += 1;
                if self.log_limiter.allows(FleetEvent::DatagramRefused, now) {
                    log_event!(warn, FleetEvent::DatagramRefused, fault = %error);
                }
                return;
            }
        };
        packet.age = packet.age.saturating_add(parked_for);
        match self.flows.handle_packet(&packet, bytes, now) {
            FlowVerdict::Forward { to, header } => {
                self.log_forward(&packet, to, &header, now);
                self.forward(bytes, to, header);
                for (to, header) in self.flows.take_further_chains() {
                    self.forward(bytes, to, header);
                }
            }
            FlowVerdict::Reset(reset, cause) => {
                self.counters.refused += 1;
                self.counters.resets.record(ResetCause::Refused(cause));
                let answer = self.codec.encode_reset(&reset);
                self.send_to_caller(*reset.flow.caller.ip(), &answer);
                self.log_refusal(FleetEvent::FlowRefused, &packet, cause, now);
            }
            FlowVerdict::Wait => {
                self.counters.link_waits += 1;
                if self.log_limiter.allows(FleetEvent::LinkWaits, now) {
                    let (under_way, waiting) = self.flows.link_load();
                    log_event!(info, FleetEvent::LinkWaits, flow = %packet.caller_flow(), under_way, waiting);
                }
            }
            FlowVerdict::Park(cause) => {
                self.counters.parked += 1;
                self.log_refusal(FleetEvent::FlowParked, &packet, cause, now);
            }
        }
    }

    /// Dispatches again the packets that were parked for routes or targets.
    pub(super) fn retry_parked(&mut self) {
        for (parked_for, packet) in self.flows.drain_parked(self.clock.now()) {
            self.dispatch_packet(&packet, parked_for);
        }
    }

    /// Logs the agent that gets an opening or a packet whose flow has no known
    /// owner; packets of known flows are not logged.
    pub(super) fn log_forward(
        &mut self,
        packet: &FlowPacket,
        to: Ipv4Addr,
        header: &HopHeader,
        now: ClockMillis,
    ) {
        let event = if packet.is_opening() {
            self.counters.opened += 1;
            FleetEvent::FlowOpened
        } else if header.candidates().is_empty() {
            return;
        } else {
            self.counters.looked += 1;
            FleetEvent::FlowLooked
        };
        if self.log_limiter.allows(event, now) {
            let flow = packet.caller_flow();
            let version = self.flows.table().version();
            let suspects = self.flows.suspects();
            tracing::info!(event = event.number(), %flow, %to, version, suspects, "{}", event.message());
        }
    }

    /// Logs a packet that is not forwarded.
    pub(super) fn log_refusal(
        &mut self,
        event: FleetEvent,
        packet: &FlowPacket,
        cause: RefusalCause,
        now: ClockMillis,
    ) {
        if self.log_limiter.allows(event, now) {
            let flow = packet.caller_flow();
            let version = self.flows.table().version();
            let knowledge = self.knowledge(now);
            let gone = cause.gone_target();
            tracing::info!(
                event = event.number(),
                %flow,
                cause = cause.name(),
                version,
                agent = gone.map(|target| display(target.agent)),
                incarnation = gone.and_then(|target| target.incarnation).map(display),
                complete = knowledge.complete,
                current = knowledge.current,
                replica = knowledge.replica.map(display),
                run = knowledge.run,
                revision = knowledge.revision,
                control_age_ms = knowledge.control_age_ms,
                running_ms = now.millis(),
                "{}",
                event.message()
            );
        }
    }

    /// Sends a packet to an agent.
    pub(super) fn forward(&mut self, packet: &[u8], to: Ipv4Addr, header: HopHeader) {
        header.encode(packet, &mut self.frame_buffer);
        let address = SocketAddrV4::new(to, self.settings.packet_address.port());
        // A frame that the kernel refuses counts as lost on the network.
        match self
            .packet_socket
            .try_send_to(&self.frame_buffer, SocketAddr::V4(address))
        {
            Ok(_) => self.counters.forwarded += 1,
            Err(_) => self.counters.unsent += 1,
        }
    }

    /// Sends a reset to a caller.
    pub(super) fn send_to_caller(&mut self, caller: Ipv4Addr, bytes: &[u8]) {
        let address = SocketAddrV4::new(caller, self.settings.packet_address.port());
        // The caller retransmits a packet that gets no answer.
        if self
            .packet_socket
            .try_send_to(bytes, SocketAddr::V4(address))
            .is_err()
        {
            self.counters.unsent += 1;
        }
    }

    /// Applies an agent's report on a flow and sends the packet that results, if
    /// any.
    pub(super) fn handle_report(&mut self, report: &FlowReport, now: ClockMillis) {
        if let Some(waited) = self.flows.opening_age(report.flow, now) {
            histogram!("cyclamen_entry_opening_ms").record(waited.millis_float());
        }
        if report.kind == ReportKind::Held
            && let Some(progress) = self.flows.lookup_progress(report.flow, now)
            && self.log_limiter.allows(FleetEvent::LookupAnswered, now)
        {
            log_event!(info, FleetEvent::LookupAnswered, flow = %report.flow, agent = %report.agent, asked = progress.asked, unanswered = progress.unanswered, rounds = progress.rounds, unknown_for = %progress.unknown_for);
        }
        let action = self.flows.handle_report(report, now);
        self.apply_report_action(action, now);
    }

    /// Sends what a lookup's report, or a missing one, results in.
    pub(super) fn apply_report_action(&mut self, action: ReportAction, now: ClockMillis) {
        match action {
            ReportAction::Nothing => {}
            ReportAction::Forward { packet, hops } => {
                for (to, header) in hops {
                    self.forward(&packet, to, header);
                }
            }
            ReportAction::Reset(unheld) => {
                self.counters.ended += 1;
                self.counters.resets.record(ResetCause::NotHeld);
                let reset = unheld.reset;
                let answer = self.codec.encode_reset(&reset);
                self.send_to_caller(*reset.flow.caller.ip(), &answer);
                if self.log_limiter.allows(FleetEvent::FlowEnded, now) {
                    let progress = unheld.progress;
                    let knowledge = self.knowledge(now);
                    log_event!(
                        info,
                        FleetEvent::FlowEnded,
                        flow = %reset.flow,
                        cause = ResetCause::NotHeld.label(),
                        targets = self.view.len(),
                        asked = progress.asked,
                        unanswered = progress.unanswered,
                        rounds = progress.rounds,
                        unknown_for = %progress.unknown_for,
                        complete = knowledge.complete,
                        current = knowledge.current,
                        replica = knowledge.replica.map(display),
                        run = knowledge.run,
                        revision = knowledge.revision,
                        control_age_ms = knowledge.control_age_ms,
                        running_ms = now.millis()
                    );
                }
            }
        }
    }
}
