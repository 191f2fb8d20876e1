use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use quinn_proto::{ConnectionId, ConnectionIdGenerator, InvalidCid};

use super::TargetIdentity;
use crate::{
    clock::SpanMillis,
    route::{CONNECTION_ID_BYTES, ConnectionRoute},
    secret::SecretStore,
};

/// Generates connection IDs that encode the route to this agent.
#[derive(Debug)]
pub(super) struct RouteIdGenerator {
    identity: TargetIdentity,
    secret: SecretStore,
    lifetime: SpanMillis,
    nonce: Arc<AtomicU32>,
}

impl RouteIdGenerator {
    /// Creates a generator; `nonce` is shared by all generators of the agent.
    pub(super) fn new(
        identity: TargetIdentity,
        secret: SecretStore,
        lifetime: SpanMillis,
        nonce: Arc<AtomicU32>,
    ) -> Self {
        Self {
            identity,
            secret,
            lifetime,
            nonce,
        }
    }
}

impl ConnectionIdGenerator for RouteIdGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let route = ConnectionRoute {
            service: self.identity.service,
            target: self.identity.target,
            incarnation_tag: self.identity.incarnation.tag(),
            nonce: self.nonce.fetch_add(1, Ordering::Relaxed),
        };
        ConnectionId::new(&route.seal(&self.secret.keys()))
    }

    /// Accepts every ID of the deployment, so that IDs of an earlier run of this
    /// agent get a stateless reset.
    fn validate(&self, id: &ConnectionId) -> Result<(), InvalidCid> {
        ConnectionRoute::open(id, &self.secret.keys())
            .map(|_| ())
            .ok_or(InvalidCid)
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        Some(self.lifetime.duration())
    }
}
