use std::{
    io::{self, IoSliceMut},
    net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4},
};

use quinn_udp::{BATCH_SIZE, EcnCodepoint, RecvMeta, Transmit, UdpSocketState};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{io::Interest, net::UdpSocket};

/// Size of the kernel's receive buffer and send buffer of a socket, in bytes.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;
/// Size of a receive buffer, in bytes; a buffer may hold several coalesced datagrams.
const RECEIVE_BUFFER_BYTES: usize = 65_536;

/// A received datagram.
#[derive(Debug)]
pub(crate) struct ReceivedDatagram<'a> {
    /// The address of the sender.
    pub(crate) source: SocketAddrV4,
    /// The local address that it was sent to, if the kernel reports it.
    pub(crate) local_ip: Option<Ipv4Addr>,
    /// The ECN bits of its IP header.
    pub(crate) ecn: u8,
    /// The UDP payload.
    pub(crate) payload: &'a [u8],
}

/// A UDP socket that receives in batches and sets the source address and ECN bits.
#[derive(Debug)]
pub(crate) struct DatagramSocket {
    io: UdpSocket,
    state: UdpSocketState,
    local_address: SocketAddrV4,
}

/// Reusable buffers of one receiving task.
#[derive(Debug)]
pub(crate) struct ReceiveBuffers {
    bytes: Vec<Vec<u8>>,
    meta: Vec<RecvMeta>,
}

impl ReceiveBuffers {
    /// Allocates buffers for one batch.
    pub(crate) fn new() -> Self {
        Self {
            bytes: vec![vec![0; RECEIVE_BUFFER_BYTES]; BATCH_SIZE],
            meta: vec![RecvMeta::default(); BATCH_SIZE],
        }
    }
}

impl DatagramSocket {
    /// Binds a socket; must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or not a local address.
    pub(crate) fn bind(address: SocketAddrV4) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        // The kernel may grant smaller buffers; then bursts are more likely to be dropped.
        let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
        let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
        socket.bind(&address.into())?;
        socket.set_nonblocking(true)?;
        let state = UdpSocketState::new((&socket).into())?;
        let io = UdpSocket::from_std(socket.into())?;
        let SocketAddr::V4(local_address) = io.local_addr()? else {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        };
        Ok(Self {
            io,
            state,
            local_address,
        })
    }

    /// Returns the address that the socket is bound to.
    pub(crate) fn local_address(&self) -> SocketAddrV4 {
        self.local_address
    }

    /// Waits for datagrams and calls `handle` for each datagram of a batch.
    ///
    /// # Errors
    ///
    /// Returns the socket's error; most errors concern a single datagram.
    pub(crate) async fn receive(
        &self,
        buffers: &mut ReceiveBuffers,
        mut handle: impl FnMut(ReceivedDatagram<'_>),
    ) -> io::Result<()> {
        let ReceiveBuffers { bytes, meta } = buffers;
        let received_count = loop {
            self.io.readable().await?;
            let mut slices: Vec<IoSliceMut<'_>> = bytes
                .iter_mut()
                .map(|buffer| IoSliceMut::new(buffer))
                .collect();
            let received = self.io.try_io(Interest::READABLE, || {
                self.state.recv((&self.io).into(), &mut slices, meta)
            });
            match received {
                Ok(received_count) => break received_count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        };
        for (buffer, meta) in bytes.iter().zip(meta.iter()).take(received_count) {
            split_coalesced(buffer, meta, &mut handle);
        }
        Ok(())
    }

    /// Sends a datagram without blocking, from `source_ip` if given.
    ///
    /// # Errors
    ///
    /// Fails when the send buffer is full or the peer is unreachable.
    pub(crate) fn try_send(
        &self,
        peer: SocketAddrV4,
        payload: &[u8],
        ecn: u8,
        source_ip: Option<Ipv4Addr>,
    ) -> io::Result<()> {
        let transmit = Transmit {
            destination: SocketAddr::V4(peer),
            ecn: EcnCodepoint::from_bits(ecn),
            contents: payload,
            segment_size: None,
            src_ip: source_ip.map(IpAddr::V4),
        };
        self.io.try_io(Interest::WRITABLE, || {
            self.state.try_send((&self.io).into(), &transmit)
        })
    }
}

/// Splits a buffer of coalesced datagrams and calls `handle` for each.
fn split_coalesced(buffer: &[u8], meta: &RecvMeta, handle: &mut impl FnMut(ReceivedDatagram<'_>)) {
    let SocketAddr::V4(source) = meta.addr else {
        return;
    };
    let local_ip = match meta.dst_ip {
        Some(IpAddr::V4(ip)) => Some(ip),
        _ => None,
    };
    for payload in buffer[..meta.len].chunks(meta.stride.max(1)) {
        handle(ReceivedDatagram {
            source,
            local_ip,
            ecn: meta.ecn.map_or(0, |ecn| ecn as u8),
            payload,
        });
    }
}
