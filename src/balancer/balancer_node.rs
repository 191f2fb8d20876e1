use std::{collections::BTreeMap, io, net::SocketAddrV4, sync::Arc};

use miette::Diagnostic;
use serde::Serialize;
use thiserror::Error;
use tokio::task::JoinSet;

use super::{
    BalancerEvent, BalancerSettings, ListenerSet, PacketPath, PacketTotals,
    packet_path::FrameBuffer,
};
use crate::{
    admin::AdminError,
    clock::SpanMillis,
    control::{
        api::{WatchScope, WatcherName},
        client::ControlClient,
    },
    event::log_event,
    key::FailureDomain,
    route::RouteTable,
    secret::{SecretError, SecretStore},
    tunnel::{DatagramSocket, ReceiveBuffers},
    watch::{RouteWatch, WatchState},
};

/// Interval of the housekeeping task, which also retries ports that failed to bind.
const HOUSEKEEPING_MILLIS: SpanMillis = SpanMillis::new(500);
/// How long a balancer that shuts down waits for further datagrams per round.
const LEAVE_ROUND_MILLIS: SpanMillis = SpanMillis::new(500);
/// Maximum number of such rounds; the network should stop routing to it much earlier.
const MAX_LEAVE_ROUNDS: u32 = 20;
/// Pause before the next attempt after a receive error.
const RECEIVE_RETRY_MILLIS: SpanMillis = SpanMillis::new(10);

/// Why a balancer failed to start.
#[derive(Debug, Error, Diagnostic)]
pub enum BalancerError {
    /// The admin server or the metrics server failed to start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Admin(#[from] AdminError),
    /// The deployment secret could not be loaded or is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
    /// The signal handlers could not be installed.
    #[error("cannot listen to signals: {0}")]
    Signal(#[source] io::Error),
    /// The source ports of the tunnel could not be bound.
    #[error("cannot bind the tunnel at {ip}: {cause}")]
    Tunnel {
        /// The address in the settings.
        ip: std::net::Ipv4Addr,
        /// The error of the socket.
        #[source]
        cause: io::Error,
    },
}

/// A running balancer; dropping it stops its tasks immediately.
#[derive(Debug)]
pub struct BalancerNode {
    name: String,
    domain: FailureDomain,
    path: Arc<PacketPath>,
    listeners: Arc<ListenerSet>,
    state: Arc<WatchState>,
    _tasks: JoinSet<()>,
}

/// The state of a balancer, as written to a dump.
#[derive(Debug, Clone, Serialize)]
pub struct BalancerDump {
    /// The balancer's name.
    pub name: String,
    /// The region and failure domain that it runs in.
    pub domain: FailureDomain,
    /// The revision of its route table.
    pub revision: u64,
    /// The version of the manifest in force.
    pub manifest_version: u64,
    /// Whether control is reachable.
    pub control_answers: bool,
    /// The open service ports.
    pub ports: Vec<u16>,
    /// The services with their targets.
    pub services: Vec<ServiceDump>,
    /// The number of agents with monitored paths.
    pub watched_paths: usize,
    /// The packet counters.
    pub packets: PacketTotals,
}

/// A service of the route table, as written to a dump.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceDump {
    /// The service's name.
    pub name: String,
    /// The service's number in connection IDs and tunnel frames.
    pub number: u16,
    /// The address that callers send to.
    pub address: SocketAddrV4,
    /// One text per target: key, failure domain and phase.
    pub targets: Vec<String>,
}

impl BalancerNode {
    /// Starts a balancer; must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when the secret can't be loaded or the tunnel's ports can't be bound.
    pub fn start(settings: &BalancerSettings) -> Result<Self, BalancerError> {
        let secret = SecretStore::open(settings.secret_file.clone())?;
        let state = WatchState::new();
        let listeners = Arc::new(ListenerSet::new(settings.listen_ip));
        let path = PacketPath::new(
            secret.clone(),
            Arc::clone(state.table()),
            Arc::clone(&listeners),
            settings.tunnel_ip,
            settings.tunnel_ports,
        )
        .map_err(|cause| BalancerError::Tunnel {
            ip: settings.tunnel_ip,
            cause,
        })?;
        let path = Arc::new(path);
        let mut tasks = JoinSet::new();
        for port in 0..path.tunnel_sockets().len() {
            tasks.spawn(run_tunnel(Arc::clone(&path), port));
        }
        tasks.spawn(run_housekeeping(
            Arc::clone(&path),
            Arc::clone(&listeners),
            Arc::clone(&state),
        ));
        let watch = RouteWatch::new(
            ControlClient::new(settings.control.clone(), secret),
            WatcherName::Balancer(settings.name.clone()),
            settings.domain.clone(),
            WatchScope::All,
            Arc::clone(&state),
        );
        tasks.spawn(watch.run());
        log_event!(info, BalancerEvent::Started, name = settings.name, domain = %settings.domain);
        Ok(Self {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            path,
            listeners,
            state,
            _tasks: tasks,
        })
    }

    /// Shuts down gracefully: agents switch to other balancers for their answers,
    /// and callers' datagrams are forwarded until no more arrive.
    pub async fn leave(&self) {
        let mut frame_buffer = FrameBuffer::default();
        let mut forwarded = self.forwarded_count();
        for _ in 0..MAX_LEAVE_ROUNDS {
            // Each forwarded datagram makes its agent use this balancer again.
            self.path.announce_leave(&mut frame_buffer);
            tokio::time::sleep(LEAVE_ROUND_MILLIS.duration()).await;
            let now = self.forwarded_count();
            if now == forwarded {
                return;
            }
            forwarded = now;
        }
    }

    /// Returns the number of callers' datagrams that were forwarded.
    fn forwarded_count(&self) -> u64 {
        let packets = self.path.counters().totals();
        packets.known + packets.first
    }

    /// Returns the current state without blocking the packet path.
    #[must_use]
    pub fn dump(&self) -> BalancerDump {
        let table = self.state.table().load();
        BalancerDump {
            name: self.name.clone(),
            domain: self.domain.clone(),
            revision: table.revision().count(),
            manifest_version: table.manifest_version(),
            control_answers: self.state.is_connected(),
            ports: self.listeners.ports(),
            services: dump_services(&table),
            watched_paths: self.path.watched_paths(),
            packets: self.path.counters().totals(),
        }
    }
}

fn dump_services(table: &RouteTable) -> Vec<ServiceDump> {
    let mut services: Vec<ServiceDump> = table
        .services()
        .map(|route| ServiceDump {
            name: route.spec.name.clone(),
            number: route.number.number(),
            address: route.spec.address,
            targets: table
                .targets(route.number)
                .map(|(domain, entry)| format!("{} {domain} {:?}", entry.key, entry.phase))
                .collect(),
        })
        .collect();
    services.sort_by_key(|service| service.number);
    services
}

/// Receives agents' frames on one tunnel socket.
async fn run_tunnel(path: Arc<PacketPath>, port: usize) {
    let mut buffers = ReceiveBuffers::new();
    let mut frame_buffer = FrameBuffer::default();
    loop {
        let received = path.tunnel_sockets()[port]
            .receive(&mut buffers, |datagram| {
                path.handle_frame(port, &datagram, &mut frame_buffer);
            })
            .await;
        pause_after_error(received).await;
    }
}

/// Receives callers' datagrams on one service port until the port is closed.
async fn run_listener(
    path: Arc<PacketPath>,
    listeners: Arc<ListenerSet>,
    socket: Arc<DatagramSocket>,
) {
    let mut buffers = ReceiveBuffers::new();
    let mut frame_buffer = FrameBuffer::default();
    while listeners.contains(&socket) {
        let received = socket.receive(&mut buffers, |datagram| {
            if let Some(arrived_at) = listeners.arrived_at(&socket, &datagram) {
                path.forward(arrived_at, &datagram, &mut frame_buffer);
            }
        });
        tokio::select! {
            received = received => pause_after_error(received).await,
            () = tokio::time::sleep(HOUSEKEEPING_MILLIS.duration()) => {}
        }
    }
}

async fn pause_after_error(received: io::Result<()>) {
    if let Err(error) = received {
        log_event!(debug, BalancerEvent::ReceiveFailed, %error);
        tokio::time::sleep(RECEIVE_RETRY_MILLIS.duration()).await;
    }
}

/// Opens and closes service ports as the routes change, removes idle paths,
/// publishes the counters and sends probes.
async fn run_housekeeping(
    path: Arc<PacketPath>,
    listeners: Arc<ListenerSet>,
    state: Arc<WatchState>,
) {
    let mut revisions = state.subscribe();
    let mut tasks = JoinSet::new();
    let mut frame_buffer = FrameBuffer::default();
    loop {
        let table = state.table().load_full();
        log_event!(debug, BalancerEvent::TableChanged, revision = %table.revision());
        let addresses_by_port = service_ports(&table);
        let change = listeners.reconcile(addresses_by_port);
        for port in change.closed {
            log_event!(info, BalancerEvent::ListenerClosed, port);
        }
        for (port, error) in change.failed {
            log_event!(error, BalancerEvent::ListenerFailed, port, %error);
        }
        for socket in change.opened {
            log_event!(info, BalancerEvent::ListenerOpened, address = %socket.local_address());
            tasks.spawn(run_listener(
                Arc::clone(&path),
                Arc::clone(&listeners),
                socket,
            ));
        }
        tokio::select! {
            changed = revisions.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(HOUSEKEEPING_MILLIS.duration()) => {
                path.remove_idle_paths();
                path.counters().totals().publish();
                path.send_due_probes(&mut frame_buffer);
            }
        }
        while tasks.try_join_next().is_some() {}
    }
}

/// Returns the port of every service, each with the lowest service address that uses it.
fn service_ports(table: &RouteTable) -> BTreeMap<u16, SocketAddrV4> {
    let mut addresses: Vec<SocketAddrV4> =
        table.services().map(|route| route.spec.address).collect();
    addresses.sort_unstable();
    let mut addresses_by_port = BTreeMap::new();
    for address in addresses {
        addresses_by_port.entry(address.port()).or_insert(address);
    }
    addresses_by_port
}
