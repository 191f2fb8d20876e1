use metrics::{counter, gauge};

use crate::{
    control::{ControlEvent, replica::ReplicaReport},
    event::log_event,
};

/// Logs a state change of the replica and updates its metrics.
pub(super) fn log_report(report: ReplicaReport) {
    match report {
        ReplicaReport::GroupFormed { group } => {
            log_event!(info, ControlEvent::GroupFormed, %group);
        }
        ReplicaReport::LeaderElected { term } => {
            counter!("cyclamen_control_elections_total").increment(1);
            gauge!("cyclamen_control_leading").set(1.0);
            log_event!(info, ControlEvent::LeaderElected, %term);
        }
        ReplicaReport::LeaderGone { replica } => {
            log_event!(warn, ControlEvent::LeaderGone, %replica);
        }
        ReplicaReport::LeaderDeposed { term } => {
            gauge!("cyclamen_control_leading").set(0.0);
            log_event!(warn, ControlEvent::LeaderDeposed, %term);
        }
        ReplicaReport::QuorumLost { term } => {
            gauge!("cyclamen_control_leading").set(0.0);
            log_event!(error, ControlEvent::QuorumLost, %term);
        }
        ReplicaReport::LearnerAdded { member_id } => {
            log_event!(info, ControlEvent::LearnerAdded, replica = %member_id.replica, disk = %member_id.disk);
        }
        ReplicaReport::VoterRemoved { member_id } => {
            log_event!(warn, ControlEvent::VoterRemoved, replica = %member_id.replica, disk = %member_id.disk);
        }
        ReplicaReport::VoterDemoted { member_id } => {
            log_event!(info, ControlEvent::VoterDemoted, replica = %member_id.replica, disk = %member_id.disk);
        }
        ReplicaReport::LearnerRemoved { member_id } => {
            log_event!(info, ControlEvent::LearnerRemoved, replica = %member_id.replica, disk = %member_id.disk);
        }
        ReplicaReport::RepairDone { member_id } => {
            log_event!(info, ControlEvent::RepairDone, replica = %member_id.replica, disk = %member_id.disk);
        }
        ReplicaReport::CommittedConflict { index } => {
            log_event!(error, ControlEvent::CommittedConflict, %index);
        }
        ReplicaReport::ForeignGroup { replica } => {
            log_event!(error, ControlEvent::ForeignGroup, %replica);
        }
    }
}
