use std::{collections::BTreeMap, io, net::SocketAddrV4, sync::Arc};

use miette::Diagnostic;
use serde::Serialize;
use thiserror::Error;
use tokio::task::JoinSet;

use super::{
    BalancerEvent, BalancerSettings, ListenerSet, PacketCounts, PacketPath,
    packet_path::FrameScratch,
};
use crate::{
    admin::AdminError,
    clock::SpanMillis,
    control::{
        api::{WatchScope, WatcherName},
        client::ControlClient,
    },
    event::log_event,
    key::DomainName,
    route::RouteTable,
    secret::{SecretError, SecretStore},
    tunnel::{DatagramSocket, ReceiveBuffers},
    watch::{RouteWatch, WatchState},
};

/// How often idle paths are forgotten and failed ports are tried again.
const HOUSEKEEPING_MILLIS: SpanMillis = SpanMillis::new(500);
/// How long a leaving balancer waits for another datagram.
const LEAVE_ROUND_MILLIS: SpanMillis = SpanMillis::new(500);
/// The most times that it waits; the fabric should have left it long before.
const MOST_LEAVE_ROUNDS: u32 = 20;
/// The pause after a failure of receiving.
const RECEIVE_PAUSE_MILLIS: SpanMillis = SpanMillis::new(10);

/// Why a balancer could not start.
#[derive(Debug, Error, Diagnostic)]
pub enum BalancerError {
    /// The admin address or the metrics can't be served.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Admin(#[from] AdminError),
    /// The deployment secret was refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
    /// The signals of the system can't be listened to.
    #[error("cannot listen to signals: {0}")]
    Signal(#[source] io::Error),
    /// The tunnel's source ports can't be bound.
    #[error("cannot bind the tunnel at {ip}: {cause}")]
    Tunnel {
        /// The address from the settings.
        ip: std::net::Ipv4Addr,
        /// What the system answered.
        #[source]
        cause: io::Error,
    },
}

/// A running balancer; dropping it stops it at once.
#[derive(Debug)]
pub struct BalancerNode {
    name: String,
    domain: DomainName,
    path: Arc<PacketPath>,
    listeners: Arc<ListenerSet>,
    state: Arc<WatchState>,
    _tasks: JoinSet<()>,
}

/// The whole state of a balancer, for a dump.
#[derive(Debug, Clone, Serialize)]
pub struct BalancerDump {
    /// The balancer's name.
    pub name: String,
    /// Where it runs.
    pub domain: DomainName,
    /// The revision of its routes.
    pub revision: u64,
    /// The version of the manifest in force.
    pub manifest_version: u64,
    /// Whether control answers.
    pub control_answers: bool,
    /// The open service ports.
    pub ports: Vec<u16>,
    /// The services, each with its targets.
    pub services: Vec<ServiceDump>,
    /// The agents whose paths are watched.
    pub watched_paths: usize,
    /// What the packet path has counted.
    pub packets: PacketCounts,
}

/// A service of the route table, for a dump.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceDump {
    /// The service's name.
    pub name: String,
    /// The number that packets carry.
    pub number: u16,
    /// The address that callers send to.
    pub address: SocketAddrV4,
    /// The targets with failure domain and phase.
    pub targets: Vec<String>,
}

impl BalancerNode {
    /// Starts a balancer within the runtime.
    ///
    /// # Errors
    ///
    /// Fails when the secret or the tunnel's ports can't be had.
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
        for port in 0..path.tunnels().len() {
            tasks.spawn(run_tunnel(Arc::clone(&path), port));
        }
        tasks.spawn(keep_listeners(
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

    /// Leaves in order: agents answer by other balancers at once, and what
    /// callers still send is forwarded until nothing comes any more.
    pub async fn leave(&self) {
        let mut scratch = FrameScratch::default();
        let mut carried = self.carried();
        for _ in 0..MOST_LEAVE_ROUNDS {
            // A forwarded datagram makes the balancer known again to its agent.
            self.path.announce_leave(&mut scratch);
            tokio::time::sleep(LEAVE_ROUND_MILLIS.duration()).await;
            let now = self.carried();
            if now == carried {
                return;
            }
            carried = now;
        }
    }

    /// Returns the number of callers' datagrams that were forwarded.
    fn carried(&self) -> u64 {
        let packets = self.path.counters().read();
        packets.known + packets.first
    }

    /// Returns the whole state without stopping the packet path.
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
            packets: self.path.counters().read(),
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

/// Takes agents' frames from one tunnel socket.
async fn run_tunnel(path: Arc<PacketPath>, port: usize) {
    let mut buffers = ReceiveBuffers::new();
    let mut scratch = FrameScratch::default();
    loop {
        let received = path.tunnels()[port]
            .receive(&mut buffers, |datagram| {
                path.answer(port, &datagram, &mut scratch);
            })
            .await;
        pause_after(received).await;
    }
}

/// Takes callers' datagrams from one service port until it is closed.
async fn run_listener(
    path: Arc<PacketPath>,
    listeners: Arc<ListenerSet>,
    socket: Arc<DatagramSocket>,
) {
    let mut buffers = ReceiveBuffers::new();
    let mut scratch = FrameScratch::default();
    while listeners.holds(&socket) {
        let received = socket.receive(&mut buffers, |datagram| {
            if let Some(arrived_at) = listeners.arrived_at(&socket, &datagram) {
                path.forward(arrived_at, &datagram, &mut scratch);
            }
        });
        tokio::select! {
            received = received => pause_after(received).await,
            () = tokio::time::sleep(HOUSEKEEPING_MILLIS.duration()) => {}
        }
    }
}

async fn pause_after(received: io::Result<()>) {
    if let Err(error) = received {
        log_event!(debug, BalancerEvent::ReceiveFailed, %error);
        tokio::time::sleep(RECEIVE_PAUSE_MILLIS.duration()).await;
    }
}

/// Keeps the open ports in line with the routes and the path book small.
async fn keep_listeners(
    path: Arc<PacketPath>,
    listeners: Arc<ListenerSet>,
    state: Arc<WatchState>,
) {
    let mut revisions = state.subscribe();
    let mut tasks = JoinSet::new();
    let mut scratch = FrameScratch::default();
    loop {
        let table = state.table().load_full();
        log_event!(debug, BalancerEvent::TableChanged, revision = %table.revision());
        let owners = wanted_ports(&table);
        let change = listeners.change(owners);
        for port in change.closed {
            log_event!(info, BalancerEvent::ListenerClosed, port);
        }
        for (port, error) in change.failed {
            log_event!(error, BalancerEvent::ListenerFailed, port, %error);
        }
        for socket in change.opened {
            log_event!(info, BalancerEvent::ListenerOpened, address = %socket.local());
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
                path.counters().read().publish();
                path.probe_suspects(&mut scratch);
            }
        }
        while tasks.try_join_next().is_some() {}
    }
}

/// Returns the service ports, each with the first address that has it.
fn wanted_ports(table: &RouteTable) -> BTreeMap<u16, SocketAddrV4> {
    let mut addresses: Vec<SocketAddrV4> =
        table.services().map(|route| route.spec.address).collect();
    addresses.sort_unstable();
    let mut owners = BTreeMap::new();
    for address in addresses {
        owners.entry(address.port()).or_insert(address);
    }
    owners
}
