use std::sync::Arc;

use tokio::sync::watch;

use crate::{
    agent::AgentEvent,
    clock::SpanMillis,
    control::{
        api::{AnnounceReply, AnnounceRequest, HeartbeatReply, HeartbeatRequest, WithdrawRequest},
        client::ControlClient,
    },
    event::log_event,
    route::TargetPhase,
};

/// The pause after a failed announcement.
const ANNOUNCE_RETRY_MILLIS: SpanMillis = SpanMillis::new(500);
/// The number of heartbeats per lease.
const HEARTBEATS_PER_LEASE: u64 = 3;

/// Announces the target and renews its lease.
#[derive(Debug)]
pub(crate) struct LeaseRenewer {
    client: Arc<ControlClient>,
    announcement: AnnounceRequest,
    phase: watch::Receiver<TargetPhase>,
    committed: watch::Sender<TargetPhase>,
}

impl LeaseRenewer {
    /// Creates a renewer that announces `phase` and sends each phase that control
    /// has accepted to `committed`.
    pub(crate) fn new(
        client: Arc<ControlClient>,
        announcement: AnnounceRequest,
        phase: watch::Receiver<TargetPhase>,
        committed: watch::Sender<TargetPhase>,
    ) -> Self {
        Self {
            client,
            announcement,
            phase,
            committed,
        }
    }

    /// Announces the target; retries until control accepts it.
    pub(crate) async fn announce(&mut self) -> AnnounceReply {
        loop {
            self.announcement.phase = *self.phase.borrow_and_update();
            match self.client.announce(&self.announcement).await {
                Ok(reply) => {
                    let phase = self.announcement.phase;
                    log_event!(info, AgentEvent::Announced, service = %reply.service, ?phase);
                    self.committed.send_replace(phase);
                    return reply;
                }
                Err(error) => {
                    log_event!(warn, AgentEvent::AnnounceFailed, %error);
                    tokio::time::sleep(ANNOUNCE_RETRY_MILLIS.duration()).await;
                }
            }
        }
    }

    /// Renews the lease and announces each change of the phase.
    pub(crate) async fn run(mut self, reply: AnnounceReply) {
        let service = reply.service;
        let mut lease = reply.lease;
        loop {
            let interval = SpanMillis::new(lease.millis() / HEARTBEATS_PER_LEASE);
            let is_changed = tokio::select! {
                changed = self.phase.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    true
                }
                () = tokio::time::sleep(interval.duration()) => false,
            };
            if is_changed || !self.renew(&mut lease).await {
                let reply = self.announce().await;
                lease = reply.lease;
                if reply.service != service {
                    log_event!(error, AgentEvent::Renumbered, service = %reply.service);
                }
            }
        }
    }

    /// Sends a heartbeat; returns false if control does not know the registration.
    async fn renew(&self, lease: &mut SpanMillis) -> bool {
        let request = HeartbeatRequest {
            target: self.announcement.target,
            incarnation: self.announcement.incarnation,
        };
        match self.client.heartbeat(&request).await {
            Ok(HeartbeatReply::Renewed { span }) => {
                *lease = span;
                true
            }
            Ok(HeartbeatReply::Unknown) => {
                log_event!(warn, AgentEvent::LeaseLost);
                false
            }
            // Control may be unreachable for long; the next heartbeat tries again.
            Err(_) => true,
        }
    }
}

/// Withdraws the target; tried only once, since control may be unreachable.
pub(crate) async fn withdraw_target(client: &ControlClient, announcement: &AnnounceRequest) {
    let request = WithdrawRequest {
        target: announcement.target,
        incarnation: announcement.incarnation,
    };
    if let Err(error) = client.withdraw(&request).await {
        log_event!(warn, AgentEvent::WithdrawFailed, %error);
    }
}
