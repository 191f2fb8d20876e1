//! The packet path of an agent.

use std::net::{SocketAddr, SocketAddrV4};

use metrics::histogram;

use super::{
    FleetEvent, SideNode,
    fleet_datagram::FleetDatagram,
    side_node::{MAX_FRAME_BYTES, PACKETS_PER_TURN},
};
use crate::{
    clock::ClockMillis,
    event::log_event,
    flow::{AgentAction, AgentReset, AgentStep, DequeuedOpening, FlowKey, HopFrame, request_id},
};

impl SideNode {
    /// Handles the frames that have arrived, at most `PACKETS_PER_TURN`.
    pub(super) fn receive_frames(&mut self) {
        let mut buffer = [0; MAX_FRAME_BYTES];
        for _ in 0..PACKETS_PER_TURN {
            match self.frame_socket.try_recv_from(&mut buffer) {
                Ok((length, _)) => self.handle_frame(&mut buffer[..length]),
                Err(_) => break,
            }
        }
        self.admit_waiting(self.clock.now());
    }

    /// Handles a frame with a caller's packet.
    pub(super) fn handle_frame(&mut self, bytes: &mut [u8]) {
        let now = self.clock.now();
        self.counters.frames += 1;
        let Some(frame) = HopFrame::decode(bytes) else {
            return self.refuse_datagram("no frame", now);
        };
        let Ok(packet) = self.codec.decode(frame.packet) else {
            return self.refuse_datagram("no packet in the frame", now);
        };
        let step = self
            .flows
            .handle_frame(frame.header, &packet, frame.packet, now);
        if packet.data_bytes > 0
            && let Some(request) = request_id(self.codec.data(frame.packet))
            && self.log_limiter.allows(FleetEvent::RequestDelivered, now)
        {
            log_event!(info, FleetEvent::RequestDelivered, request, flow = %packet.caller_flow(), hops = frame.header.hops, target = ?self.tracker.lifecycle(), action = %step.action);
        }
        self.apply_step(step, frame.packet, packet.caller_flow(), now);
    }

    /// Counts and logs a datagram that can't be decoded.
    pub(super) fn refuse_datagram(&mut self, cause: &'static str, now: ClockMillis) {
        self.counters.undecodable += 1;
        if self.log_limiter.allows(FleetEvent::DatagramRefused, now) {
            log_event!(warn, FleetEvent::DatagramRefused, cause);
        }
    }

    /// Handles the packets that the target has sent, at most `PACKETS_PER_TURN`.
    pub(super) fn receive_target_packets(&mut self) {
        let mut buffer = [0; MAX_FRAME_BYTES];
        for _ in 0..PACKETS_PER_TURN {
            match self.target_socket.try_recv_from(&mut buffer) {
                Ok((length, _)) => self.handle_target_packet(&mut buffer[..length]),
                Err(_) => break,
            }
        }
        let now = self.clock.now();
        self.admit_waiting(now);
        self.announce_figures(now);
    }

    /// Handles a packet that the target has sent or bounced.
    pub(super) fn handle_target_packet(&mut self, bytes: &mut [u8]) {
        let now = self.clock.now();
        let Ok(packet) = self.codec.decode(bytes) else {
            return self.refuse_datagram("no packet of the target", now);
        };
        let suspect = self.flows.is_suspect();
        let step = self.flows.handle_target_packet(&packet, now);
        if suspect {
            log_event!(info, FleetEvent::TargetHeard, target = %self.settings.target);
            self.announce_change(now);
        }
        let flow = match step.action {
            AgentAction::Return => packet.target_flow(),
            _ => packet.caller_flow(),
        };
        self.apply_step(step, bytes, flow, now);
    }

    /// Carries out the decision on a packet and sends its report, if any.
    pub(super) fn apply_step(
        &mut self,
        step: AgentStep,
        packet: &mut [u8],
        flow: FlowKey,
        now: ClockMillis,
    ) {
        match step.action {
            AgentAction::Deliver { tag } => {
                self.codec.prepare(packet, tag);
                // A packet that the kernel refuses counts as lost on the network.
                let sent = self
                    .target_socket
                    .try_send_to(packet, SocketAddr::V4(self.settings.target));
                match sent {
                    Ok(_) => self.counters.delivered += 1,
                    Err(_) => self.counters.unsent += 1,
                }
            }
            AgentAction::Return => {
                self.counters.returned += 1;
                self.send_to_caller(flow, packet);
            }
            AgentAction::PassOn { to, header } => {
                self.codec.prepare(packet, 0);
                header.encode(packet, &mut self.frame_buffer);
                let address = SocketAddrV4::new(to, self.settings.fleet.packet_address.port());
                // A frame that the kernel refuses counts as lost on the network.
                let sent = self
                    .frame_socket
                    .try_send_to(&self.frame_buffer, SocketAddr::V4(address));
                match sent {
                    Ok(_) => self.counters.passed += 1,
                    Err(_) => self.counters.unsent += 1,
                }
                if self.log_limiter.allows(FleetEvent::FlowPassed, now) {
                    log_event!(info, FleetEvent::FlowPassed, %flow, %to, hops = header.hops);
                }
            }
            AgentAction::Reset(reset) => {
                self.send_reset(&reset, now);
            }
            AgentAction::Wait => {
                self.counters.waited += 1;
                if self.log_limiter.allows(FleetEvent::FlowWaits, now) {
                    let (in_flight, waiting) = (self.flows.in_flight(), self.flows.waiting());
                    log_event!(info, FleetEvent::FlowWaits, %flow, busy = in_flight, waiting);
                }
            }
            AgentAction::Drop => {
                self.counters.dropped += 1;
                if self.log_limiter.allows(FleetEvent::FlowDropped, now) {
                    log_event!(info, FleetEvent::FlowDropped, %flow);
                }
            }
        }
        if let Some((balancer, report)) = step.report {
            if self.log_limiter.allows(FleetEvent::ReportSent, now) {
                log_event!(info, FleetEvent::ReportSent, %flow, kind = ?report.kind, %balancer);
            }
            self.fleet_socket
                .send(balancer, &FleetDatagram::Report(report));
        }
    }

    /// Resets a flow of a caller.
    pub(super) fn send_reset(&mut self, reset: &AgentReset, now: ClockMillis) {
        self.counters.reset += 1;
        self.counters.resets.record(reset.cause);
        let flow = reset.reset.flow;
        let answer = self.codec.encode_reset(&reset.reset);
        self.send_to_caller(flow, &answer);
        if self.log_limiter.allows(FleetEvent::FlowReset, now) {
            let age = reset
                .established_since
                .map(|since| now.since(since).millis());
            log_event!(
                info,
                FleetEvent::FlowReset,
                %flow,
                cause = reset.cause.label(),
                target = ?self.tracker.lifecycle(),
                incarnation = reset.incarnation.map(display),
                established = age.is_some(),
                age_ms = age,
                running_ms = now.millis()
            );
        }
    }

    /// Admits waiting openings to free slots, and refuses those that can't be
    /// served any more.
    pub(super) fn admit_waiting(&mut self, now: ClockMillis) {
        while let Some(dequeued) = self.flows.dequeue_opening(now) {
            self.end_wait(dequeued, now);
        }
    }

    /// Refuses all waiting openings, before this process stops.
    pub(super) fn refuse_waiting(&mut self) {
        let now = self.clock.now();
        while let Some(dequeued) = self.flows.refuse_next(now) {
            self.end_wait(dequeued, now);
        }
    }

    fn end_wait(&mut self, mut dequeued: DequeuedOpening, now: ClockMillis) {
        histogram!("cyclamen_side_wait_ms").record(dequeued.waited.millis_float());
        if self.log_limiter.allows(FleetEvent::WaitEnded, now) {
            let (in_flight, waiting) = (self.flows.in_flight(), self.flows.waiting());
            log_event!(info, FleetEvent::WaitEnded, flow = %dequeued.flow, waited = %dequeued.waited, action = %dequeued.step.action, busy = in_flight, waiting);
        }
        self.apply_step(dequeued.step, &mut dequeued.packet, dequeued.flow, now);
    }

    /// Sends bytes to the caller of a flow.
    pub(super) fn send_to_caller(&mut self, flow: FlowKey, bytes: &[u8]) {
        let port = self.settings.fleet.packet_address.port();
        let address = SocketAddrV4::new(*flow.caller.ip(), port);
        // Both ends of a flow retransmit what is lost.
        if self
            .frame_socket
            .try_send_to(bytes, SocketAddr::V4(address))
            .is_err()
        {
            self.counters.unsent += 1;
        }
    }
}
