use std::{
    collections::HashMap,
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{net::UdpSocket, task::JoinSet};

/// The longest datagram carried, in bytes; longer ones are truncated.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// A stand-in for the network fabric in front of the balancers of one service.
///
/// It is bound to the service address and forwards each datagram of a caller to a
/// random balancer. Each caller has its own source address towards the balancers,
/// and answers are sent from the service address.
#[derive(Debug)]
pub struct FabricStandIn {
    shared: Arc<FabricShared>,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct FabricShared {
    service: UdpSocket,
    source_ip: Ipv4Addr,
    balancers: Mutex<Vec<SocketAddrV4>>,
    forwarded_datagrams: AtomicU64,
}

impl FabricStandIn {
    /// Starts the fabric of the service at `service`, as tasks of the current runtime.
    ///
    /// Each caller gets a source port on `source_ip`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn start(
        service: SocketAddrV4,
        source_ip: Ipv4Addr,
        balancers: Vec<SocketAddrV4>,
    ) -> io::Result<Self> {
        let shared = Arc::new(FabricShared {
            service: UdpSocket::bind(service).await?,
            source_ip,
            balancers: Mutex::new(balancers),
            forwarded_datagrams: AtomicU64::new(0),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(forward_from_callers(Arc::clone(&shared)));
        Ok(Self {
            shared,
            _tasks: tasks,
        })
    }

    /// Replaces the balancers, from the next datagram on.
    pub fn set_balancers(&self, balancers: Vec<SocketAddrV4>) {
        *self
            .shared
            .balancers
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = balancers;
    }

    /// Returns the number of datagrams forwarded to balancers.
    #[must_use]
    pub fn forwarded_datagrams(&self) -> u64 {
        self.shared.forwarded_datagrams.load(Ordering::Relaxed)
    }
}

impl FabricShared {
    fn pick_balancer(&self) -> Option<SocketAddrV4> {
        let balancers = self
            .balancers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if balancers.is_empty() {
            return None;
        }
        let index = rand::random_range(0..balancers.len());
        balancers.get(index).copied()
    }
}

async fn forward_from_callers(shared: Arc<FabricShared>) {
    let mut callers: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut answers = JoinSet::new();
    let mut datagram = [0; MAX_DATAGRAM_BYTES];
    loop {
        // An unreachable peer can cause an error here, which is not fatal.
        let Ok((length, caller)) = shared.service.recv_from(&mut datagram).await else {
            continue;
        };
        let socket = if let Some(socket) = callers.get(&caller) {
            Arc::clone(socket)
        } else {
            let source = SocketAddrV4::new(shared.source_ip, 0);
            let Ok(socket) = UdpSocket::bind(source).await else {
                continue;
            };
            let socket = Arc::new(socket);
            callers.insert(caller, Arc::clone(&socket));
            let answer = forward_answers(Arc::clone(&shared), Arc::clone(&socket), caller);
            answers.spawn(answer);
            socket
        };
        if let Some(balancer) = shared.pick_balancer() {
            shared.forwarded_datagrams.fetch_add(1, Ordering::Relaxed);
            let _ = socket.send_to(&datagram[..length], balancer).await;
        }
    }
}

async fn forward_answers(shared: Arc<FabricShared>, socket: Arc<UdpSocket>, caller: SocketAddr) {
    let mut datagram = [0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((length, _)) = socket.recv_from(&mut datagram).await {
            let _ = shared.service.send_to(&datagram[..length], caller).await;
        }
    }
}
