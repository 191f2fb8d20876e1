use std::sync::Arc;

use metrics::counter;
use tokio::time::{MissedTickBehavior, interval};

use super::ControlService;
use crate::{
    clock::SpanMillis,
    control::{
        ControlEvent,
        lease::{DecideExpiries, DropAllLeases, GrantAllLeases, HoldReport},
        state::ControlCommand,
        store::LeaderView,
    },
    event::log_event,
    key::{IncarnationId, TargetKey},
};

/// The interval between two checks for expired leases.
const TICK_MILLIS: SpanMillis = SpanMillis::new(250);
/// The maximum number of targets that one command expires.
const MAX_EXPIRED_TARGETS: usize = 1_024;

/// Tracks whether this replica leads, and expires leases while it does.
pub(super) async fn run_lease_driver(service: Arc<ControlService>) {
    let mut tick = interval(TICK_MILLIS.duration());
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leading_term = None;
    loop {
        tick.tick().await;
        match (service.store.leader_view(), leading_term) {
            (LeaderView::Leading { term }, Some(current)) if term == current => {
                expire_leases(&service).await;
            }
            (LeaderView::Leading { term }, _) => {
                // The manager stops only together with the replica, so an error is ignored.
                let _ = service.leases.ask(GrantAllLeases).await;
                log_event!(info, ControlEvent::LeasesTaken, term);
                leading_term = Some(term);
            }
            (LeaderView::Following { .. }, Some(_)) => {
                let _ = service.leases.ask(DropAllLeases).await;
                log_event!(info, ControlEvent::LeasesResigned);
                leading_term = None;
            }
            (LeaderView::Following { .. }, None) => {}
        }
    }
}

async fn expire_leases(service: &ControlService) {
    let Ok(verdict) = service.leases.ask(DecideExpiries).await else {
        return;
    };
    for report in &verdict.held {
        report_hold(report);
    }
    for expired in verdict.expired.chunks(MAX_EXPIRED_TARGETS) {
        expire_targets(service, expired).await;
    }
}

fn report_hold(report: &HoldReport) {
    counter!("cyclamen_control_lease_holds_total").increment(1);
    log_event!(
        warn,
        ControlEvent::LeasesHeld,
        service = %report.service,
        silent = report.silent,
        targets = report.targets,
        hold = %report.hold
    );
}

async fn expire_targets(service: &ControlService, expired: &[(TargetKey, IncarnationId)]) {
    let command = ControlCommand::Expire(expired.to_vec());
    match service.store.propose(&command).await {
        Ok(_) => {
            counter!("cyclamen_control_leases_expired_total").increment(expired.len() as u64);
            log_event!(info, ControlEvent::LeasesExpired, targets = expired.len());
        }
        // The lease table returns uncommitted expiries again at a later check.
        Err(refusal) => log_event!(warn, ControlEvent::ExpiryRefused, %refusal),
    }
}
