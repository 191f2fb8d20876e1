use std::{
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

use super::{FleetError, FleetEvent, fleet_datagram::FleetDatagram};
use crate::event::log_event;

/// The receive buffer of a socket; a burst of a tenth of a second fits.
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;

/// Opens a UDP socket with a receive buffer for bursts; it must be called within
/// the runtime.
pub(super) fn open_socket(
    address: SocketAddrV4,
    purpose: &'static str,
) -> Result<UdpSocket, FleetError> {
    let open = || -> io::Result<UdpSocket> {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        // If the system refuses this size, its default stays.
        let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::V4(address).into())?;
        UdpSocket::from_std(socket.into())
    };
    open().map_err(|cause| FleetError::Address {
        address,
        purpose,
        cause,
    })
}

/// The socket for datagrams between processes.
#[derive(Debug)]
pub(super) struct FleetSocket {
    socket: UdpSocket,
    port: u16,
}

impl FleetSocket {
    /// Opens the socket; it must be called within the runtime.
    pub(super) fn open(address: Ipv4Addr, port: u16) -> Result<Self, FleetError> {
        let socket = open_socket(SocketAddrV4::new(address, port), "announcements")?;
        Ok(Self { socket, port })
    }

    /// Waits until a datagram may have arrived.
    pub(super) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Reads the next datagram into `buffer`; `None` if there is none.
    pub(super) fn receive(&self, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        // An error counts as no datagram: senders retransmit.
        self.socket.try_recv_from(buffer).ok()
    }

    /// Sends a datagram; one that the kernel refuses counts as lost on the network.
    pub(super) fn send(&self, to: Ipv4Addr, datagram: &FleetDatagram) {
        let Some(bytes) = datagram.encode() else {
            log_event!(error, FleetEvent::DatagramTooLong, %to);
            return;
        };
        let address = SocketAddr::V4(SocketAddrV4::new(to, self.port));
        let _ = self.socket.try_send_to(&bytes, address);
    }
}
