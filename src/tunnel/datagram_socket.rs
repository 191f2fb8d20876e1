use std::{
    io::{self, IoSliceMut},
    net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4},
};

use quinn_udp::{BATCH_SIZE, EcnCodepoint, RecvMeta, Transmit, UdpSocketState};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{io::Interest, net::UdpSocket};

/// The kernel's buffer for each direction of a socket, in bytes.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;
/// The size of a receive buffer; one holds a coalesced run of datagrams.
const RECEIVE_BUFFER_BYTES: usize = 65_536;

/// One datagram as it was received.
#[derive(Debug)]
pub(crate) struct ReceivedDatagram<'a> {
    /// Where it came from.
    pub(crate) source: SocketAddrV4,
    /// The local address that it was sent to, if the system tells.
    pub(crate) local_ip: Option<Ipv4Addr>,
    /// The congestion bits of its IP header.
    pub(crate) ecn: u8,
    /// What it holds.
    pub(crate) payload: &'a [u8],
}

/// A UDP socket that receives in batches and sets source and congestion bits.
#[derive(Debug)]
pub(crate) struct DatagramSocket {
    io: UdpSocket,
    state: UdpSocketState,
    local: SocketAddrV4,
}

/// The buffers that one receiving task reuses.
#[derive(Debug)]
pub(crate) struct ReceiveBuffers {
    bytes: Vec<Vec<u8>>,
    meta: Vec<RecvMeta>,
}

impl ReceiveBuffers {
    /// Allocates the buffers of one task.
    pub(crate) fn new() -> Self {
        Self {
            bytes: vec![vec![0; RECEIVE_BUFFER_BYTES]; BATCH_SIZE],
            meta: vec![RecvMeta::default(); BATCH_SIZE],
        }
    }
}

impl DatagramSocket {
    /// Binds a socket within the runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or not this machine's.
    pub(crate) fn bind(address: SocketAddrV4) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        // The system may grant less; that costs bursts, not correctness.
        let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
        let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
        socket.bind(&address.into())?;
        socket.set_nonblocking(true)?;
        let state = UdpSocketState::new((&socket).into())?;
        let io = UdpSocket::from_std(socket.into())?;
        let SocketAddr::V4(local) = io.local_addr()? else {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        };
        Ok(Self { io, state, local })
    }

    /// Returns the address that the socket is bound to.
    pub(crate) fn local(&self) -> SocketAddrV4 {
        self.local
    }

    /// Waits for datagrams and hands each of a batch to `take`.
    ///
    /// # Errors
    ///
    /// Fails with what the system answers; most failures concern one datagram.
    pub(crate) async fn receive(
        &self,
        buffers: &mut ReceiveBuffers,
        mut take: impl FnMut(ReceivedDatagram<'_>),
    ) -> io::Result<()> {
        let ReceiveBuffers { bytes, meta } = buffers;
        let filled = loop {
            self.io.readable().await?;
            let mut slices: Vec<IoSliceMut<'_>> = bytes
                .iter_mut()
                .map(|buffer| IoSliceMut::new(buffer))
                .collect();
            let received = self.io.try_io(Interest::READABLE, || {
                self.state.recv((&self.io).into(), &mut slices, meta)
            });
            match received {
                Ok(filled) => break filled,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        };
        for (buffer, meta) in bytes.iter().zip(meta.iter()).take(filled) {
            split_run(buffer, meta, &mut take);
        }
        Ok(())
    }

    /// Sends a datagram without waiting, from `source_ip` if given.
    ///
    /// # Errors
    ///
    /// Fails when the kernel's buffer is full or the peer can't be reached.
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

/// Splits a coalesced run into its datagrams.
fn split_run(buffer: &[u8], meta: &RecvMeta, take: &mut impl FnMut(ReceivedDatagram<'_>)) {
    let SocketAddr::V4(source) = meta.addr else {
        return;
    };
    let local_ip = match meta.dst_ip {
        Some(IpAddr::V4(ip)) => Some(ip),
        _ => None,
    };
    for payload in buffer[..meta.len].chunks(meta.stride.max(1)) {
        take(ReceivedDatagram {
            source,
            local_ip,
            ecn: meta.ecn.map_or(0, |ecn| ecn as u8),
            payload,
        });
    }
}
