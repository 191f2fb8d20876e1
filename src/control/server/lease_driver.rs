use std::sync::Arc;

use metrics::counter;
use tokio::time::{MissedTickBehavior, interval};

use super::ControlService;
use crate::{
    clock::SpanMillis,
    control::{
        ControlEvent,
        lease::{DecideLeases, HoldReport, ResignLeases, TakeLeases},
        state::ControlCommand,
        store::LeadView,
    },
    event::log_event,
    key::{IncarnationId, TargetKey},
};

/// The time between two decisions about leases.
const TICK_MILLIS: SpanMillis = SpanMillis::new(250);
/// The targets that one command expires at most.
const MOST_EXPIRED: usize = 1_024;

/// Follows the leadership of this replica and expires leases while it leads.
pub(super) async fn drive_leases(service: Arc<ControlService>) {
    let mut tick = interval(TICK_MILLIS.duration());
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leading = None;
    loop {
        tick.tick().await;
        match (service.store.lead(), leading) {
            (LeadView::Leading { term }, Some(known)) if term == known => {
                decide_leases(&service).await;
            }
            (LeadView::Leading { term }, _) => {
                // A keeper that is gone ends with the replica.
                let _ = service.leases.ask(TakeLeases).await;
                log_event!(info, ControlEvent::LeasesTaken, term);
                leading = Some(term);
            }
            (LeadView::Following { .. }, Some(_)) => {
                let _ = service.leases.ask(ResignLeases).await;
                log_event!(info, ControlEvent::LeasesResigned);
                leading = None;
            }
            (LeadView::Following { .. }, None) => {}
        }
    }
}

async fn decide_leases(service: &ControlService) {
    let Ok(verdict) = service.leases.ask(DecideLeases).await else {
        return;
    };
    for report in &verdict.held {
        report_hold(report);
    }
    for expired in verdict.expired.chunks(MOST_EXPIRED) {
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
        // The table asks again for what was not committed.
        Err(refusal) => log_event!(warn, ControlEvent::ExpiryRefused, %refusal),
    }
}
