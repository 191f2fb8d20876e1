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
    CostEffort, CostLine,
    process_usage::thread_nanos,
    sample_routes::{service_route, target_route},
};
use crate::{
    balancer::{FrameScratch, ListenerSet, PacketPath},
    key::{FeedRevision, TargetKey},
    lab::LabError,
    route::{ConnectionRoute, RouteSnapshot, RouteTable},
    secret::{DeploymentSecret, SecretStore},
    tunnel::{DatagramSocket, ReceiveBuffers},
};

const ROLE: &str = "balancer";
/// Packets of one trial.
const PACKETS: usize = 400_000;
/// Packets that are on their way at most.
const WINDOW: u64 = 256;
/// The time without progress after which missing packets count as lost.
const STALL: Duration = Duration::from_millis(20);
/// Trials of each kind; the quickest counts.
const TRIALS: usize = 3;

/// What stands between sender and sink.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayKind {
    /// Receives and sends on, nothing else.
    Plain,
    /// The balancer's packet path.
    Balancer,
}

/// The figures of one trial.
#[derive(Debug, Clone, Copy)]
struct RelayTrial {
    /// Processor time of the relaying thread for each packet.
    nanos: f64,
    /// Packets that arrived in a second.
    rate: f64,
    /// The share of packets that did not arrive.
    lost: f64,
}

/// Measures the balancer's packet path through real sockets beside a plain relay.
pub(super) fn measure_relays(effort: CostEffort) -> Result<Vec<CostLine>, LabError> {
    let mut lines = Vec::new();
    for size in [200, 1_200] {
        let plain = best_trial(RelayKind::Plain, size, effort)?;
        let balancer = best_trial(RelayKind::Balancer, size, effort)?;
        for (name, trial) in [("plain relay", plain), ("balancer", balancer)] {
            let measure = |what: &str| format!("{name}, packets of {size} bytes, {what}");
            lines.extend([
                CostLine::new(ROLE, measure("processor time a packet"), trial.nanos, "ns"),
                CostLine::new(ROLE, measure("through one thread"), trial.rate, "packets/s"),
                CostLine::new(ROLE, measure("lost"), trial.lost * 100.0, "%"),
            ]);
        }
        let measure = format!("balancer to plain relay, packets of {size} bytes");
        let ratio = plain.nanos / balancer.nanos;
        lines.push(CostLine::new(
            ROLE,
            measure,
            ratio,
            "ratio of packets a core",
        ));
    }
    Ok(lines)
}

fn best_trial(kind: RelayKind, size: usize, effort: CostEffort) -> Result<RelayTrial, LabError> {
    let mut best: Option<RelayTrial> = None;
    for _ in 0..TRIALS {
        let trial = run_trial(kind, size, effort.rounds(PACKETS) as u64)?;
        if best.is_none_or(|known| trial.nanos < known.nanos) {
            best = Some(trial);
        }
    }
    Ok(best.expect("there is at least one trial"))
}

fn run_trial(kind: RelayKind, size: usize, packets: u64) -> Result<RelayTrial, LabError> {
    let sink = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    sink.set_read_timeout(Some(STALL))?;
    let sink_address = local_v4(&sink)?;
    let arrived = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let counter = thread::spawn({
        let (arrived, is_over) = (Arc::clone(&arrived), Arc::clone(&is_over));
        move || count_arrivals(&sink, &arrived, &is_over)
    });
    let (sender, receiver) = mpsc::channel();
    let relay = thread::spawn({
        let is_over = Arc::clone(&is_over);
        move || run_relay(kind, sink_address, &sender, &is_over)
    });
    let ready = receiver
        .recv()
        .map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
    let start = Instant::now();
    send_packets(&ready, size, packets, &arrived)?;
    let elapsed = start.elapsed();
    is_over.store(true, Ordering::Relaxed);
    // Two packets wake the relay up, which waits for one.
    let waker = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    for _ in 0..2 {
        waker.send_to(&ready.datagram(size), ready.address)?;
    }
    let nanos = relay
        .join()
        .map_err(|_| io::Error::from(io::ErrorKind::Other))??;
    counter
        .join()
        .map_err(|_| io::Error::from(io::ErrorKind::Other))?;
    let got = arrived.load(Ordering::Relaxed).min(packets);
    Ok(RelayTrial {
        nanos: nanos as f64 / got.max(1) as f64,
        rate: got as f64 / elapsed.as_secs_f64(),
        lost: 1.0 - got as f64 / packets as f64,
    })
}

/// Where the relay listens, and the start of what it forwards.
#[derive(Debug)]
struct RelayReady {
    address: SocketAddrV4,
    header: Vec<u8>,
}

impl RelayReady {
    fn datagram(&self, size: usize) -> Vec<u8> {
        let mut datagram = self.header.clone();
        datagram.resize(size, 7);
        datagram
    }
}

fn send_packets(
    ready: &RelayReady,
    size: usize,
    packets: u64,
    arrived: &AtomicU64,
) -> io::Result<()> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let datagram = ready.datagram(size);
    let mut given_up = 0;
    for sent in 1..=packets {
        socket.send_to(&datagram, ready.address)?;
        let limit = if sent == packets { 0 } else { WINDOW };
        let mut last = (arrived.load(Ordering::Relaxed), Instant::now());
        while arrived.load(Ordering::Relaxed) + given_up + limit < sent {
            let now = arrived.load(Ordering::Relaxed);
            if now != last.0 {
                last = (now, Instant::now());
            } else if last.1.elapsed() > STALL {
                given_up = sent - now;
            }
            thread::yield_now();
        }
    }
    Ok(())
}

fn count_arrivals(sink: &UdpSocket, arrived: &AtomicU64, is_over: &AtomicBool) {
    let mut buffer = [0; 2_048];
    while !is_over.load(Ordering::Relaxed) {
        if sink.recv(&mut buffer).is_ok() {
            arrived.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Relays until the trial is over; returns the thread's processor time.
fn run_relay(
    kind: RelayKind,
    sink: SocketAddrV4,
    ready: &mpsc::Sender<RelayReady>,
    is_over: &AtomicBool,
) -> Result<u64, LabError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match kind {
            RelayKind::Plain => relay_plainly(sink, ready, is_over).await,
            RelayKind::Balancer => relay_balanced(sink, ready, is_over).await,
        }
    })
}

async fn relay_plainly(
    sink: SocketAddrV4,
    ready: &mpsc::Sender<RelayReady>,
    is_over: &AtomicBool,
) -> Result<u64, LabError> {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let socket = DatagramSocket::bind(any)?;
    let out = DatagramSocket::bind(any)?;
    let address = socket.local();
    let header = vec![0x40];
    // The trial ends by itself if nobody waits for the relay.
    let _ = ready.send(RelayReady { address, header });
    let mut buffers = ReceiveBuffers::new();
    let start = thread_nanos()?;
    while !is_over.load(Ordering::Relaxed) {
        socket
            .receive(&mut buffers, |datagram| {
                // What the kernel does not take shows as lost.
                let _ = out.try_send(sink, datagram.payload, datagram.ecn, None);
            })
            .await?;
    }
    Ok(thread_nanos()? - start)
}

async fn relay_balanced(
    sink: SocketAddrV4,
    ready: &mpsc::Sender<RelayReady>,
    is_over: &AtomicBool,
) -> Result<u64, LabError> {
    let secret = SecretStore::new(&DeploymentSecret::random(1))?;
    let port = local_v4(&UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?)?.port();
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    let (table, header) = sink_routes(address, sink, &secret)?;
    let listeners = Arc::new(ListenerSet::new(Some(Ipv4Addr::LOCALHOST)));
    let change = listeners.change(BTreeMap::from([(port, address)]));
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
    // The trial ends by itself if nobody waits for the relay.
    let _ = ready.send(RelayReady { address, header });
    let mut buffers = ReceiveBuffers::new();
    let mut scratch = FrameScratch::default();
    let start = thread_nanos()?;
    while !is_over.load(Ordering::Relaxed) {
        socket
            .receive(&mut buffers, |datagram| {
                if let Some(arrived_at) = listeners.arrived_at(&socket, &datagram) {
                    path.forward(arrived_at, &datagram, &mut scratch);
                }
            })
            .await?;
    }
    Ok(thread_nanos()? - start)
}

/// Returns a table whose one target is the sink, and the header of a packet
/// of a connection to it.
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
    table.replace(RouteSnapshot {
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
