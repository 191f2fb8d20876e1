use std::{
    io::{self, IoSliceMut},
    net::{SocketAddr, SocketAddrV4},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use quinn::{AsyncUdpSocket, UdpPoller};
use quinn_udp::{EcnCodepoint, RecvMeta, Transmit};
use tokio::io::ReadBuf;

use super::{
    TunnelPoller, TunnelSocket, tunnel_counters::CounterKind, tunnel_socket::MAX_FRAME_BYTES,
};
use crate::{
    agent::AgentEvent,
    clock::ClockMillis,
    event::log_event,
    tunnel::{FrameHeader, FrameKind},
};

/// The balancer for an answer, and the number to be echoed if the frame probes.
struct AnswerDestination {
    balancer: SocketAddrV4,
    echo: Option<u16>,
}

impl AsyncUdpSocket for TunnelSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(TunnelPoller::new(Arc::clone(&self.io)))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let SocketAddr::V4(caller) = transmit.destination else {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        };
        let Some(path) = self.choose_path(caller, self.clock.now()) else {
            // QUIC retransmits it like any lost packet.
            self.counters.increment(CounterKind::Unsent);
            return Ok(());
        };
        let header = FrameHeader::new(FrameKind::Answer, self.identity.service, caller)
            .with_echo(path.echo)
            .with_ecn(transmit.ecn.map_or(0, |ecn| ecn as u8));
        match self.try_send_frame(path.balancer, &header, transmit.contents) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            Err(_) => {
                self.counters.increment(CounterKind::Unsent);
                Ok(())
            }
            Ok(()) => {
                self.counters.increment(CounterKind::Answered);
                Ok(())
            }
        }
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut bytes = [0; MAX_FRAME_BYTES];
        loop {
            let mut frame = ReadBuf::new(&mut bytes);
            let source = match ready!(self.io.poll_recv_from(context, &mut frame)) {
                Ok(SocketAddr::V4(source)) => source,
                // Errors here come from unreachable peers and affect no caller.
                Ok(SocketAddr::V6(_)) | Err(_) => continue,
            };
            let Some((header, datagram)) = self.handle_frame(source, frame.filled()) else {
                continue;
            };
            let Some(buffer) = buffers[0].get_mut(..datagram.len()) else {
                continue;
            };
            buffer.copy_from_slice(datagram);
            self.counters.increment(CounterKind::Delivered);
            meta[0] = RecvMeta {
                addr: SocketAddr::V4(header.caller),
                len: datagram.len(),
                stride: datagram.len(),
                ecn: EcnCodepoint::from_bits(header.ecn),
                dst_ip: None,
            };
            return Poll::Ready(Ok(1));
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

impl TunnelSocket {
    /// Chooses the balancer for an answer to `caller`.
    fn choose_path(&self, caller: SocketAddrV4, now: ClockMillis) -> Option<AnswerDestination> {
        let choice = self.lock_paths().choose(caller, now)?;
        if let Some(balancer) = choice.newly_silent {
            self.counters.increment(CounterKind::LeftPath);
            log_event!(warn, AgentEvent::PathLeft, %balancer);
        }
        Some(AnswerDestination {
            balancer: choice.balancer,
            echo: choice.echo,
        })
    }
}
