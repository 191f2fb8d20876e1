//! The datagrams that an entry VM gets from other processes.

use std::net::{Ipv4Addr, SocketAddr};

use super::{
    EntryNode, FleetEvent,
    agent_policy::AgentPolicy,
    entry_node::PACKETS_PER_TURN,
    fleet_datagram::{FleetDatagram, MAX_DATAGRAM_BYTES},
};
use crate::{control::formation::FormationBody, event::log_event};

impl EntryNode {
    /// Handles the datagrams that have arrived, at most `PACKETS_PER_TURN`.
    pub(super) fn receive_datagrams(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..PACKETS_PER_TURN {
            let Some((length, from)) = self.fleet_socket.receive(&mut buffer) else {
                return;
            };
            let SocketAddr::V4(from) = from else { continue };
            if let Some(datagram) = FleetDatagram::decode(&buffer[..length]) {
                self.handle_datagram(&datagram, *from.ip());
            }
        }
    }

    fn handle_datagram(&mut self, datagram: &FleetDatagram, from: Ipv4Addr) {
        let now = self.clock.now();
        match datagram {
            FleetDatagram::Announce(record) => {
                self.restart_notifier.note_heard(record.agent);
                if let Some(directory) = &self.directory {
                    directory.update(|directory| directory.announce(*record, now));
                    let incarnation = directory.incarnation_of(record.agent);
                    self.reset_dead_flows(record.agent, incarnation);
                }
                self.send_members(from);
                if let Some(replica) = self.replica.get() {
                    let policy = AgentPolicy::for_agent(record, replica.store());
                    self.fleet_socket
                        .send(record.agent, &FleetDatagram::Policy(policy));
                }
            }
            FleetDatagram::LongFlows(list) => self.record_long_flows(list, now),
            FleetDatagram::Formation(message) => {
                if let FormationBody::Register { .. } = message.body {
                    // A replica that is no founder asks the members for admission.
                    self.send_members(from);
                }
                self.handle_formation_message(message.clone());
            }
            // Only agents get policies.
            FleetDatagram::Policy(_) => {}
            FleetDatagram::Locate => {
                self.restart_notifier.note_heard(from);
                if let Some(directory) = &self.directory {
                    directory.note_balancer(from, now);
                }
                self.send_members(from);
            }
            FleetDatagram::Located { members, sender } => {
                self.note_members(members, sender.unwrap_or(from));
            }
            FleetDatagram::Recall { members, sender } => {
                self.note_members(members, sender.unwrap_or(from));
                self.fleet_socket.send(from, &FleetDatagram::Locate);
            }
            FleetDatagram::Report(report) => {
                self.handle_report(report, now);
                if self.log_limiter.allows(FleetEvent::ReportTaken, now) {
                    log_event!(info, FleetEvent::ReportTaken, flow = %report.flow, agent = %report.agent, kind = ?report.kind);
                }
            }
        }
    }

    fn note_members(&mut self, members: &[Ipv4Addr], from: Ipv4Addr) {
        if self.group.note_members(members, from) {
            log_event!(info, FleetEvent::CoreFound, members = ?self.group.members(), %from);
            self.start_memory_replica();
        }
    }

    /// Sends the members of the control group to another process, if known.
    pub(super) fn send_members(&self, to: Ipv4Addr) {
        let members = self.group.members();
        if !members.is_empty() {
            let sender = Some(self.settings.address);
            self.fleet_socket
                .send(to, &FleetDatagram::Located { members, sender });
        }
    }
}
