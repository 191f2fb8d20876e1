use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use arc_swap::ArcSwap;

use crate::tunnel::{DatagramSocket, ReceivedDatagram};

/// The sockets that receive callers' datagrams, one for each service port.
#[derive(Debug)]
pub(crate) struct ListenerSet {
    listen_ip: Option<Ipv4Addr>,
    open: ArcSwap<OpenListeners>,
}

#[derive(Debug, Default)]
struct OpenListeners {
    sockets: HashMap<u16, Arc<DatagramSocket>>,
    addresses_by_port: BTreeMap<u16, SocketAddrV4>,
}

/// The result of a change to the set of service ports.
#[derive(Debug, Default)]
pub(crate) struct ListenerChange {
    /// The newly opened sockets.
    pub(crate) opened: Vec<Arc<DatagramSocket>>,
    /// The ports that were closed.
    pub(crate) closed: Vec<u16>,
    /// The ports that could not be bound, each with the error.
    pub(crate) failed: Vec<(u16, io::Error)>,
}

impl ListenerSet {
    /// Creates an empty set; its sockets bind to `listen_ip`, or to all addresses if `None`.
    pub(crate) fn new(listen_ip: Option<Ipv4Addr>) -> Self {
        Self {
            listen_ip,
            open: ArcSwap::default(),
        }
    }

    /// Opens the sockets of new ports and removes those of other ports.
    ///
    /// `addresses_by_port` contains a service address for each port to keep open.
    pub(crate) fn reconcile(
        &self,
        addresses_by_port: BTreeMap<u16, SocketAddrV4>,
    ) -> ListenerChange {
        let ip = self.listen_ip.unwrap_or(Ipv4Addr::UNSPECIFIED);
        let mut change = ListenerChange::default();
        let mut sockets = self.open.load().sockets.clone();
        sockets.retain(|port, _| {
            let is_wanted = addresses_by_port.contains_key(port);
            if !is_wanted {
                change.closed.push(*port);
            }
            is_wanted
        });
        for port in addresses_by_port.keys() {
            if sockets.contains_key(port) {
                continue;
            }
            match DatagramSocket::bind(SocketAddrV4::new(ip, *port)) {
                Ok(socket) => {
                    let socket = Arc::new(socket);
                    sockets.insert(*port, Arc::clone(&socket));
                    change.opened.push(socket);
                }
                Err(error) => change.failed.push((*port, error)),
            }
        }
        self.open.store(Arc::new(OpenListeners {
            sockets,
            addresses_by_port,
        }));
        change
    }

    /// Returns the service address that a datagram was sent to.
    pub(crate) fn arrived_at(
        &self,
        socket: &DatagramSocket,
        datagram: &ReceivedDatagram<'_>,
    ) -> Option<SocketAddrV4> {
        let port = socket.local_address().port();
        match self.listen_ip {
            Some(_) => self.open.load().addresses_by_port.get(&port).copied(),
            None => datagram.local_ip.map(|ip| SocketAddrV4::new(ip, port)),
        }
    }

    /// Sends a datagram to a caller from the service's address.
    ///
    /// # Errors
    ///
    /// Fails when the service's port is not open or the socket returns an error.
    pub(crate) fn send(
        &self,
        service: SocketAddrV4,
        caller: SocketAddrV4,
        payload: &[u8],
        ecn: u8,
    ) -> io::Result<()> {
        let open = self.open.load();
        let socket = open
            .sockets
            .get(&service.port())
            .ok_or(io::ErrorKind::NotConnected)?;
        let source_ip = match self.listen_ip {
            Some(_) => None,
            None => Some(*service.ip()),
        };
        socket.try_send(caller, payload, ecn, source_ip)
    }

    /// Returns whether `socket` is still in use.
    pub(crate) fn contains(&self, socket: &Arc<DatagramSocket>) -> bool {
        let open = self.open.load();
        open.sockets
            .get(&socket.local_address().port())
            .is_some_and(|held| Arc::ptr_eq(held, socket))
    }

    /// Returns the open ports in ascending order.
    pub(crate) fn ports(&self) -> Vec<u16> {
        let mut ports: Vec<u16> = self.open.load().sockets.keys().copied().collect();
        ports.sort_unstable();
        ports
    }
}
