//! An in-memory replica that serves calls on a free loopback port.

use std::net::{Ipv4Addr, SocketAddrV4};

use crate::{
    clock::SpanMillis,
    control::{
        api::{AnnounceRequest, ApplyRequest, WatchRequest, WatchScope, WatcherName},
        client::ControlClient,
        feed::FeedState,
        server::{CallLimiter, ControlServer, ControlService},
        store::{ControlStore, MemoryStore, StateHandle},
    },
    key::{FailureDomain, FeedRevision, IncarnationId, TargetKey},
    manifest::{Manifest, ServiceLimits, ServiceSpec},
    route::TargetPhase,
    secret::{DeploymentSecret, SecretStore},
};

/// A running replica with an in-memory store.
pub(crate) struct TestReplica {
    pub(crate) server: ControlServer,
    pub(crate) address: SocketAddrV4,
    pub(crate) secret: SecretStore,
}

impl TestReplica {
    pub(crate) fn start() -> Self {
        Self::with_limiter(CallLimiter::new())
    }

    pub(crate) fn with_limiter(limiter: CallLimiter) -> Self {
        let secret = test_secret(7);
        let state = StateHandle::new(FeedState::new());
        let store = ControlStore::Memory(MemoryStore::new(state.clone()));
        let (listener, address) =
            ControlServer::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let name = "control-test".to_owned();
        let service = ControlService::new(name, address, state, store).with_limiter(limiter);
        let server = ControlServer::start(listener, service, secret.clone()).expect("a server");
        Self {
            server,
            address,
            secret,
        }
    }

    pub(crate) fn client(&self) -> ControlClient {
        ControlClient::new(vec![self.address], self.secret.clone())
    }
}

pub(crate) fn test_secret(byte: u8) -> SecretStore {
    let mut secret = DeploymentSecret::random(1);
    secret.epochs[0].secret = vec![byte; 32];
    SecretStore::new(&secret).expect("a good secret")
}

pub(crate) fn service(name: &str, host: u8) -> ServiceSpec {
    ServiceSpec {
        name: name.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 443),
        limits: ServiceLimits::default(),
        deadline: SpanMillis::new(10_000),
        retry_percent: 10,
        rules: Vec::new(),
    }
}

pub(crate) fn manifest(version: u64, replaces: u64, names: &[&str]) -> ApplyRequest {
    let hosts = 1..=u8::MAX;
    let services = names
        .iter()
        .zip(hosts)
        .map(|(name, host)| service(name, host))
        .collect();
    ApplyRequest {
        manifest: Manifest {
            version,
            replaces,
            services,
        },
    }
}

pub(crate) fn announcement(service: &str, host: u8, run: u64) -> AnnounceRequest {
    let target = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, host), 7_000);
    AnnounceRequest {
        service: service.to_owned(),
        target: TargetKey::new(target),
        incarnation: IncarnationId::new(run),
        domain: FailureDomain::new("vestland", "fjord-a"),
        peer_address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, host), 7_001),
        weight: 1,
        phase: TargetPhase::Serving,
    }
}

pub(crate) fn watch_after(revision: u64, scope: WatchScope, wait: u64) -> WatchRequest {
    WatchRequest {
        watcher: WatcherName::Balancer("balancer-1".to_owned()),
        domain: FailureDomain::new("vestland", "sund"),
        scope,
        in_force: FeedRevision::new(revision),
        wait: SpanMillis::new(wait),
    }
}
