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

/// The longest datagram that the fabric carries, in bytes.
const LONGEST_DATAGRAM_BYTES: usize = 2_048;

/// A stand-in of the network fabric before the balancers of one service.
///
/// It owns the service's address and hands every datagram of a caller to a
/// balancer drawn at random. Each caller appears to the balancers under an
/// address of its own, and answers leave from the service's address.
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
    carried: AtomicU64,
}

impl FabricStandIn {
    /// Starts the fabric of the service at `service` within the runtime.
    ///
    /// Callers appear under ports of `source_ip`.
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
            carried: AtomicU64::new(0),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(carry_from_callers(Arc::clone(&shared)));
        Ok(Self {
            shared,
            _tasks: tasks,
        })
    }

    /// Puts another set of balancers in force, from the next datagram on.
    pub fn set_balancers(&self, balancers: Vec<SocketAddrV4>) {
        *self
            .shared
            .balancers
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = balancers;
    }

    /// Returns the number of datagrams that went to balancers.
    #[must_use]
    pub fn carried(&self) -> u64 {
        self.shared.carried.load(Ordering::Relaxed)
    }
}

impl FabricShared {
    fn draw_balancer(&self) -> Option<SocketAddrV4> {
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

async fn carry_from_callers(shared: Arc<FabricShared>) {
    let mut callers: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut answers = JoinSet::new();
    let mut datagram = [0; LONGEST_DATAGRAM_BYTES];
    loop {
        // An unreachable peer shows up as an error here; the fabric goes on.
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
            let answer = carry_answers(Arc::clone(&shared), Arc::clone(&socket), caller);
            answers.spawn(answer);
            socket
        };
        if let Some(balancer) = shared.draw_balancer() {
            shared.carried.fetch_add(1, Ordering::Relaxed);
            let _ = socket.send_to(&datagram[..length], balancer).await;
        }
    }
}

async fn carry_answers(shared: Arc<FabricShared>, socket: Arc<UdpSocket>, caller: SocketAddr) {
    let mut datagram = [0; LONGEST_DATAGRAM_BYTES];
    loop {
        if let Ok((length, _)) = socket.recv_from(&mut datagram).await {
            let _ = shared.service.send_to(&datagram[..length], caller).await;
        }
    }
}
