use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;

use super::{
    CostEffort, CostResult,
    process_usage::thread_cpu_nanos,
    sample_routes::{service_route, target_route},
};
use crate::{
    balancer::{FrameBuffer, ListenerSet, PacketPath},
    key::{FeedRevision, TargetKey},
    lab::LabError,
    route::{ConnectionRoute, RouteSnapshot, RouteTable},
    secret::{DeploymentSecret, SecretStore},
    tunnel::{DatagramSocket, ReceiveBuffers},
};

const ROLE: &str = "balancer";
/// Packets per trial.
const PACKETS: usize = 400_000;
/// The most packets in flight.
const MAX_IN_FLIGHT: u64 = 256;
/// The time without arrivals after which missing packets count as lost.
const STALL_TIMEOUT: Duration = Duration::from_millis(20);
/// Trials of each kind; the one with the least CPU time counts.
const TRIALS: usize = 3;

/// The relay between sender and sink.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayKind {
    /// Forwards each datagram unchanged.
    Plain,
    /// The balancer's packet path.
    Balancer,
}

/// The results of one trial.
#[derive(Debug, Clone, Copy)]
struct RelayTrial {
    /// CPU time of the relay thread per packet.
    cpu_nanos: f64,
    /// Packets received per second.
    packets_per_second: f64,
    /// The fraction of packets that did not arrive.
    lost_share: f64,
}

/// Measures the balancer's packet path through real sockets, compared with a plain relay.
pub(super) fn measure_relays(effort: CostEffort) -> Result<Vec<CostResult>, LabError> {
    let mut results = Vec::new();
    for size in [200, 1_200] {
        let plain = best_trial(RelayKind::Plain, size, effort)?;
        let balancer = best_trial(RelayKind::Balancer, size, effort)?;
        for (name, trial) in [("plain relay", plain), ("balancer", balancer)] {
            let measure = |what: &str| format!("{name}, packets of {size} bytes, {what}");
            results.extend([
                CostResult::new(
                    ROLE,
                    measure("processor time a packet"),
                    trial.cpu_nanos,
                    "ns",
                ),
                CostResult::new(
                    ROLE,
                    measure("through one thread"),
                    trial.packets_per_second,
                    "packets/s",
                ),
                CostResult::new(ROLE, measure("lost"), trial.lost_share * 100.0, "%"),
            ]);
        }
        let measure = format!("balancer to plain relay, packets of {size} bytes");
        let ratio = plain.cpu_nanos / balancer.cpu_nanos;
        results.push(CostResult::new(
            ROLE,
            measure,
            ratio,
            "ratio of packets a core",
        ));
    }
    Ok(results)
}

fn best_trial(kind: RelayKind, size: usize, effort: CostEffort) -> Result<RelayTrial, LabError> {
    let mut best: Option<RelayTrial> = None;
    for _ in 0..TRIALS {
        let trial = run_trial(kind, size, effort.rounds(PACKETS) as u64)?;
        if best.is_none_or(|best| trial.cpu_nanos < best.cpu_nanos) {
            best = Some(trial);
        }
    }
    Ok(best.expect("there is at least one trial"))
}

fn run_trial(kind: RelayKind, size: usize, packets: u64) -> Result<RelayTrial, LabError> {
    let sink = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    sink.set_read_timeout(Some(STALL_TIMEOUT))?;
    let sink_address = local_v4(&sink)?;
    let arrived = Arc::new(AtomicU64::new(0));
    let is_done = Arc::new(AtomicBool::new(false));
    let counter = thread::spawn({
        let (arrived, is_done) = (Arc::clone(&arrived), Arc::clone(&is_done));
        move || count_arrivals(&sink, &arrived, &is_done)
    });
    let (sender, receiver) = mpsc::channel();
    let relay = thread::spawn({
        let is_done = Arc::clone(&is_done);
        move || run_relay(kind, sink_address, &sender, &is_done)
    });
    let endpoint = receiver
        .recv()
        .map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
    let start = Instant::now();
    send_packets(&endpoint, size, packets, &arrived)?;
    let elapsed = start.elapsed();
    is_done.store(true, Ordering::Relaxed);
    // Two packets wake the relay up, which waits for one.
    let waker = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    for _ in 0..2 {
        waker.send_to(&endpoint.datagram(size), endpoint.address)?;
    }
    let cpu_nanos = relay
        .join()
        .map_err(|_| io::Error::from(io::ErrorKind::Other))??;
    counter
        .join()
        .map_err(|_| io::Error::from(io::ErrorKind::Other))?;
    let delivered = arrived.load(Ordering::Relaxed).min(packets);
    Ok(RelayTrial {
        cpu_nanos: cpu_nanos as f64 / delivered.max(1) as f64,
        packets_per_second: delivered as f64 / elapsed.as_secs_f64(),
        lost_share: 1.0 - delivered as f64 / packets as f64,
    })
}

/// The relay's address, and the header that its packets must start with.
#[derive(Debug)]
struct RelayEndpoint {
    address: SocketAddrV4,
    header: Vec<u8>,
}

impl RelayEndpoint {
    fn datagram(&self, size: usize) -> Vec<u8> {
        let mut datagram = self.header.clone();
        datagram.resize(size, 7);
        datagram
    }
}

fn send_packets(
    endpoint: &RelayEndpoint,
    size: usize,
    packets: u64,
    arrived: &AtomicU64,
) -> io::Result<()> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let datagram = endpoint.datagram(size);
    let mut lost = 0;
    for sent in 1..=packets {
        socket.send_to(&datagram, endpoint.address)?;
        let window = if sent == packets { 0 } else { MAX_IN_FLIGHT };
        let mut progress = (arrived.load(Ordering::Relaxed), Instant::now());
        while arrived.load(Ordering::Relaxed) + lost + window < sent {
            let now = arrived.load(Ordering::Relaxed);
            if now != progress.0 {
                progress = (now, Instant::now());
            } else if progress.1.elapsed() > STALL_TIMEOUT {
                lost = sent - now;
            }
            thread::yield_now();
        }
    }
    Ok(())
}

fn count_arrivals(sink: &UdpSocket, arrived: &AtomicU64, is_done: &AtomicBool) {
    let mut buffer = [0; 2_048];
    while !is_done.load(Ordering::Relaxed) {
        if sink.recv(&mut buffer).is_ok() {
            arrived.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Relays until the trial is done; returns the thread's CPU time in nanoseconds.
fn run_relay(
    kind: RelayKind,
    sink: SocketAddrV4,
    ready: &mpsc::Sender<RelayEndpoint>,
    is_done: &AtomicBool,
) -> Result<u64, LabError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match kind {
            RelayKind::Plain => run_plain_relay(sink, ready, is_done).await,
            RelayKind::Balancer => run_balancer_relay(sink, ready, is_done).await,
        }
    })
}

async fn run_plain_relay(
    sink: SocketAddrV4,
    ready: &mpsc::Sender<RelayEndpoint>,
    is_done: &AtomicBool,
) -> Result<u64, LabError> {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let socket = DatagramSocket::bind(any)?;
    let out = DatagramSocket::bind(any)?;
    let address = socket.local_address();
    let header = vec![0x40];
    // The trial ends by itself if the receiver is gone.
    let _ = ready.send(RelayEndpoint { address, header });
    let mut buffers = ReceiveBuffers::new();
    let start = thread_cpu_nanos()?;
    while !is_done.load(Ordering::Relaxed) {
        socket
            .receive(&mut buffers, |datagram| {
                // A datagram that the kernel refuses counts as lost.
                let _ = out.try_send(sink, datagram.payload, datagram.ecn, None);
            })
            .await?;
    }
    Ok(thread_cpu_nanos()? - start)
}

async fn run_balancer_relay(
    sink: SocketAddrV4,
    ready: &mpsc::Sender<RelayEndpoint>,
    is_done: &AtomicBool,
) -> Result<u64, LabError> {
    let secret = SecretStore::new(&DeploymentSecret::random(1))?;
    let port = local_v4(&UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?)?.port();
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    let (table, header) = sink_routes(address, sink, &secret)?;
    let listeners = Arc::new(ListenerSet::new(Some(Ipv4Addr::LOCALHOST)));
    let change = listeners.reconcile(BTreeMap::from([(port, address)]));
    let socket = change
        .opened
        .into_iter()
        .next()
        .ok_or(io::Error::from(io::ErrorKind::AddrInUse))?;
    let path = PacketPath::new(
        secret,
        Arc::new(ArcSwap::from_pointee(table)),
        Arc::clone(&listeners),
        Ipv4Addr::LOCALHOST,
        1,
    )?;
    // The trial ends by itself if the receiver is gone.
    let _ = ready.send(RelayEndpoint { address, header });
    let mut buffers = ReceiveBuffers::new();
    let mut frame_buffer = FrameBuffer::default();
    let start = thread_cpu_nanos()?;
    while !is_done.load(Ordering::Relaxed) {
        socket
            .receive(&mut buffers, |datagram| {
                if let Some(arrived_at) = listeners.arrived_at(&socket, &datagram) {
                    path.forward(arrived_at, &datagram, &mut frame_buffer);
                }
            })
            .await?;
    }
    Ok(thread_cpu_nanos()? - start)
}

/// Returns a table with the sink as its only target, and the packet header of a
/// connection to it.
fn sink_routes(
    address: SocketAddrV4,
    sink: SocketAddrV4,
    secret: &SecretStore,
) -> Result<(RouteTable, Vec<u8>), LabError> {
    let mut service = service_route(0);
    service.spec.address = address;
    let mut target = target_route(0, 0, 0);
    target.key = TargetKey::new(sink);
    let route = ConnectionRoute {
        service: target.service,
        target: target.key,
        incarnation_tag: target.incarnation.tag(),
        nonce: 1,
    };
    let mut header = vec![0x40];
    header.extend_from_slice(&route.seal(&secret.keys()));
    let mut table = RouteTable::new();
    table.apply_snapshot(RouteSnapshot {
        revision: FeedRevision::new(1),
        services: vec![service],
        targets: vec![target],
        manifest_version: 1,
    })?;
    Ok((table, header))
}

fn local_v4(socket: &UdpSocket) -> io::Result<SocketAddrV4> {
    match socket.local_addr()? {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err(io::ErrorKind::AddrNotAvailable.into()),
    }
}
