use std::{net::SocketAddrV4, sync::Arc};

use kameo::prelude::*;
use quinn::Endpoint;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    task::JoinSet,
};

use super::{
    AgentDump, AgentError, DrainActor, DrainHandles, DrainInput, DrainQuery, LeaseRenewer,
    OpenWorkGauge, withdraw_target,
};
use crate::{
    agent::{
        AgentEvent, AgentSettings,
        admission::{AcceptRule, AdmissionGate, AdmissionVerdict, AgentPhase},
        drain::{DrainEvent, DrainGoal, DrainReport},
        endpoint::{
            ConnectionRefuser, LoadGauge, PEER_INBOX_CAPACITY, PeerDatagram, TargetIdentity,
            TunnelSocket, open_endpoint,
        },
        relay::{
            ConnectionContext, PeerExchange, PeerServer, RequestCoordinator, serve_connection,
        },
    },
    clock::{ClockMillis, SpanMillis},
    control::{
        api::{AnnounceReply, AnnounceRequest, WatchScope, WatcherName},
        client::ControlClient,
    },
    event::log_event,
    key::{FailureDomain, IncarnationId, TargetKey},
    manifest::{ServiceLimits, ServiceSpec},
    route::TargetPhase,
    secret::SecretStore,
    tls::CertificateStore,
    watch::{RouteWatch, WatchState},
};

/// The deadline of requests until the feed delivers the service's settings.
const INITIAL_DEADLINE_MILLIS: SpanMillis = SpanMillis::new(10_000);
/// How long callers get to receive the last answers and close.
const LINGER_MILLIS: SpanMillis = SpanMillis::new(3_000);
/// The interval of the housekeeping.
const HOUSEKEEPING_MILLIS: SpanMillis = SpanMillis::new(250);

/// A running agent; dropping it aborts its tasks.
#[derive(Debug)]
pub struct AgentNode {
    name: String,
    service: String,
    domain: FailureDomain,
    socket: Arc<TunnelSocket>,
    endpoint: Endpoint,
    load_gauge: Arc<LoadGauge>,
    open_work: Arc<OpenWorkGauge>,
    coordinator: Arc<RequestCoordinator>,
    state: Arc<WatchState>,
    drain: ActorRef<DrainActor>,
    exit: watch::Receiver<bool>,
    client: Arc<ControlClient>,
    announcement: AnnounceRequest,
    tasks: JoinSet<()>,
}

impl AgentNode {
    /// Starts an agent on the current runtime; waits until control has
    /// registered its target.
    ///
    /// # Errors
    ///
    /// Fails when the secret or the certificate can't be loaded, or an address
    /// can't be bound.
    pub async fn start(settings: &AgentSettings) -> Result<Self, AgentError> {
        let secret = SecretStore::open(settings.secret_file.clone())?;
        let certificates = CertificateStore::open(settings.tls.clone())?;
        let io = bind_tunnel(settings.tunnel_listen).await?;
        let client = Arc::new(ControlClient::new(settings.control.clone(), secret.clone()));
        let announcement = announcement_of(settings);
        let (phase, phase_receiver) = watch::channel(TargetPhase::Serving);
        let (committed, committed_receiver) = watch::channel(TargetPhase::Serving);
        let mut renewer = LeaseRenewer::new(
            Arc::clone(&client),
            announcement.clone(),
            phase_receiver,
            committed,
        );
        let reply = renewer.announce().await;
        let identity = TargetIdentity {
            service: reply.service,
            target: announcement.target,
            incarnation: announcement.incarnation,
        };
        let load_gauge = Arc::new(LoadGauge::new(ServiceLimits::default()));
        let (inbox, peer_datagrams) = mpsc::channel(PEER_INBOX_CAPACITY);
        let socket = open_socket(io, identity, &secret, &load_gauge, inbox);
        let open_work = OpenWorkGauge::new();
        let state = WatchState::new();
        let coordinator = RequestCoordinator::new(
            identity,
            initial_spec(settings),
            settings.upstream,
            secret.clone(),
            Arc::clone(&state),
            (
                Arc::clone(&socket),
                Arc::clone(&load_gauge),
                Arc::clone(&open_work),
            ),
        );
        let peers = PeerServer::bind(settings.peer_listen, Arc::clone(&coordinator)).await?;
        let endpoint = open_endpoint(
            Arc::clone(&socket),
            secret,
            certificates,
            settings.connection_id_lifetime,
        )?;
        let (go_away, go_away_receiver) = watch::channel(0);
        let (exit, exit_receiver) = watch::channel(false);
        let drain = DrainActor::spawn(DrainActor::new(DrainHandles {
            socket: Arc::clone(&socket),
            endpoint: endpoint.clone(),
            coordinator: Arc::clone(&coordinator),
            phase,
            go_away,
            exit,
        }));
        let node = Self {
            name: settings.name.clone(),
            service: settings.service.clone(),
            domain: settings.domain.clone(),
            socket,
            endpoint,
            load_gauge,
            open_work,
            coordinator: Arc::clone(&coordinator),
            state,
            drain,
            exit: exit_receiver,
            client,
            announcement,
            tasks: JoinSet::new(),
        };
        let context = Arc::new(ConnectionContext {
            coordinator,
            go_away: go_away_receiver,
        });
        log_event!(info, AgentEvent::Started, name = settings.name, domain = %settings.domain);
        Ok(node
            .with_service_tasks(context)
            .with_peer_tasks(peers, peer_datagrams)
            .with_control_tasks(renewer, reply, committed_receiver))
    }

    /// Starts the tasks that serve callers, and the housekeeping.
    fn with_service_tasks(mut self, context: Arc<ConnectionContext>) -> Self {
        self.tasks.spawn(accept_connections(
            self.endpoint.clone(),
            Arc::clone(&self.socket),
            context,
        ));
        let housekeeping = Housekeeping {
            socket: Arc::clone(&self.socket),
            endpoint: self.endpoint.clone(),
            load_gauge: Arc::clone(&self.load_gauge),
            open_work: Arc::clone(&self.open_work),
            coordinator: Arc::clone(&self.coordinator),
            state: Arc::clone(&self.state),
            drain: self.drain.clone(),
        };
        self.tasks.spawn(housekeeping.run());
        self
    }

    /// Starts the tasks that communicate with other agents.
    fn with_peer_tasks(
        mut self,
        peers: Arc<PeerServer>,
        datagrams: mpsc::Receiver<PeerDatagram>,
    ) -> Self {
        let exchange = PeerExchange::new(Arc::clone(&self.coordinator), datagrams);
        self.tasks.spawn(peers.run());
        self.tasks.spawn(exchange.run());
        self
    }

    /// Starts the tasks that communicate with control.
    fn with_control_tasks(
        mut self,
        renewer: LeaseRenewer,
        reply: AnnounceReply,
        committed: watch::Receiver<TargetPhase>,
    ) -> Self {
        let route_watch = RouteWatch::new(
            ControlClient::clone(&self.client),
            WatcherName::Agent(self.name.clone()),
            self.domain.clone(),
            WatchScope::Service(self.service.clone()),
            Arc::clone(&self.state),
        );
        self.tasks.spawn(renewer.run(reply));
        self.tasks.spawn(route_watch.run());
        self.tasks
            .spawn(report_commits(committed, self.drain.clone()));
        self
    }

    /// Sends an event to the drain: begin, cancel or stop now.
    ///
    /// Returns the drain's progress, or `None` once the drain actor is gone.
    pub(crate) async fn send_drain_event(&self, event: DrainEvent) -> Option<DrainReport> {
        self.drain.ask(DrainInput(event)).await.ok()
    }

    /// Begins a drain that ends the agent; requests in progress are not cut.
    pub async fn begin_exit(&self) {
        let event = DrainEvent::Begin {
            goal: DrainGoal::Exit,
            deadline: None,
        };
        let _ = self.send_drain_event(event).await;
    }

    /// Waits for the end of the drain, withdraws the target and closes the endpoint.
    pub async fn finish_exit(&self) {
        // The sender lives as long as the drain actor.
        let _ = self.exit.clone().wait_for(|is_finished| *is_finished).await;
        withdraw_target(&self.client, &self.announcement).await;
        // Answers that were sent may still be in flight.
        let _ = tokio::time::timeout(LINGER_MILLIS.duration(), self.endpoint.wait_idle()).await;
        self.endpoint
            .close(quinn::VarInt::from_u32(0x100), b"stopped");
        self.endpoint.wait_idle().await;
    }

    /// Returns the drain's progress, or `None` once the drain actor is gone.
    pub(crate) async fn drain_report(&self) -> Option<DrainReport> {
        self.drain.ask(DrainQuery).await.ok()
    }

    /// Returns the agent's state without stopping the packet path.
    pub async fn dump(&self) -> AgentDump {
        let table = self.state.table().load_full();
        let identity = self.socket.identity();
        AgentDump {
            name: self.name.clone(),
            domain: self.domain.clone(),
            service: self.service.clone(),
            service_number: identity.service.number(),
            incarnation: identity.incarnation,
            revision: table.revision().count(),
            control_answers: self.state.is_connected(),
            phase: self.socket.phase(),
            load: self.load_gauge.read(),
            drain: self.drain_report().await,
            requests: self.coordinator.counts(),
            admission: self.socket.admission_counts(),
            balancers: self.socket.list_paths(),
            tunnel: self.socket.counters().read(),
        }
    }
}

fn announcement_of(settings: &AgentSettings) -> AnnounceRequest {
    AnnounceRequest {
        service: settings.service.clone(),
        target: TargetKey::new(settings.tunnel_listen),
        incarnation: IncarnationId::random(),
        domain: settings.domain.clone(),
        peer_address: settings.peer_listen,
        weight: settings.weight,
        phase: TargetPhase::Serving,
    }
}

/// Wraps the tunnel's socket; its admission gate starts in the warm-up phase.
fn open_socket(
    io: UdpSocket,
    identity: TargetIdentity,
    secret: &SecretStore,
    load_gauge: &Arc<LoadGauge>,
    inbox: mpsc::Sender<PeerDatagram>,
) -> Arc<TunnelSocket> {
    let phase = AgentPhase::Warming {
        since: ClockMillis::ORIGIN,
    };
    let gate = AdmissionGate::new(AcceptRule::DEFAULT, phase);
    let socket = TunnelSocket::new(
        io,
        identity,
        secret.clone(),
        gate,
        Arc::clone(load_gauge),
        inbox,
    );
    Arc::new(socket)
}

/// Returns the defaults that apply until the feed delivers the service's settings.
fn initial_spec(settings: &AgentSettings) -> ServiceSpec {
    ServiceSpec {
        name: settings.service.clone(),
        address: settings.tunnel_listen,
        limits: ServiceLimits::default(),
        deadline: INITIAL_DEADLINE_MILLIS,
        retry_percent: 0,
        rules: Vec::new(),
    }
}

async fn bind_tunnel(address: SocketAddrV4) -> Result<UdpSocket, AgentError> {
    UdpSocket::bind(address)
        .await
        .map_err(|cause| AgentError::Tunnel { address, cause })
}

/// Accepts or refuses each connection attempt at the endpoint.
async fn accept_connections(
    endpoint: Endpoint,
    socket: Arc<TunnelSocket>,
    context: Arc<ConnectionContext>,
) {
    let refuser = ConnectionRefuser::new();
    while let Some(incoming) = endpoint.accept().await {
        match socket.verdict(&incoming.orig_dst_cid()) {
            AdmissionVerdict::Accept | AdmissionVerdict::PassOn => {
                let context = Arc::clone(&context);
                tokio::spawn(async move {
                    // Fails for a copied first packet whose caller chose another agent.
                    if let Ok(connection) = incoming.await {
                        serve_connection(connection, context).await;
                    }
                });
            }
            AdmissionVerdict::Refuse { retry_after } => refuser.refuse(incoming, retry_after),
        }
    }
}

/// Reports each phase that control has committed to the drain.
async fn report_commits(mut committed: watch::Receiver<TargetPhase>, drain: ActorRef<DrainActor>) {
    while committed.changed().await.is_ok() {
        let phase = *committed.borrow_and_update();
        let event = DrainEvent::AnnouncementCommitted(phase);
        if drain.tell(DrainInput(event)).await.is_err() {
            return;
        }
    }
}

/// Periodically maintains paths, publishes metrics, applies changed limits and
/// reports open work to the drain.
struct Housekeeping {
    socket: Arc<TunnelSocket>,
    endpoint: Endpoint,
    load_gauge: Arc<LoadGauge>,
    open_work: Arc<OpenWorkGauge>,
    coordinator: Arc<RequestCoordinator>,
    state: Arc<WatchState>,
    drain: ActorRef<DrainActor>,
}

impl Housekeeping {
    async fn run(self) {
        loop {
            tokio::time::sleep(HOUSEKEEPING_MILLIS.duration()).await;
            self.socket.maintain_paths();
            self.socket.counters().read().publish();
            self.load_gauge.publish();
            self.load_gauge
                .set_connections(self.endpoint.open_connections());
            self.apply_service();
            let event = DrainEvent::OpenWorkCounted(self.open_work.read());
            if self.drain.tell(DrainInput(event)).await.is_err() {
                return;
            }
        }
    }

    fn apply_service(&self) {
        let table = self.state.table().load();
        let number = self.socket.identity().service;
        if let Some(pool) = table.pool(number) {
            let spec = &pool.route().spec;
            self.load_gauge.set_limits(spec.limits);
            self.coordinator.set_service(spec);
            self.socket
                .retain_peer_loads(|peer| table.target(number, peer).is_some());
            let own = self.socket.identity().target;
            let peers = table.targets(number).map(|(_, entry)| *entry);
            let accepting =
                peers.filter(|entry| entry.phase != TargetPhase::Leaving && entry.key != own);
            self.socket
                .set_successors(accepting.map(|entry| entry.key).collect());
        }
    }
}
